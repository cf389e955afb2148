"""One runner refuses starts. The number of waiting jobs that callers get must count the jobs that have not begun."""
import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
from platform_standin import Runner, call, config, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHED_S = 6.5  # The longest srv_grey in the site file; 1 of 12 runners is a share of 0.083.
RUNNERS = 12
VISIBLE_S = 3.0
LAG_S = 2.0
JOBS = [f"5c0e7a21d94b36{i:02x}" for i in range(6)]


async def case(system, record):
    await system.begin(config())
    capacity = {"cpu": 128000, "memMb": 262144, "gpu": 8}
    for i in range(RUNNERS):
        await system.add_runner(Runner(record, system.store, f"i-0000{i:02d}", "svc", lambda task: (2.0, "done"),
                                       capacity, labels=("b" if i == 0 else "a", "r1")))
    if not await system.ready():
        return None
    await asyncio.sleep(2)
    runner = system.runners["i-000000"]
    runner.sheds = TROUBLE
    if TROUBLE:
        record("the runner with label b refuses starts from now on")
    begun_at = time.monotonic()
    accepted = {}
    step = {"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 2000, "requirements": "b"}
    for i, job in enumerate(JOBS):
        status, _ = await call(system.address(i % system.count), "POST", f"/q1/{job}", {"spec": "x", "steps": [step]})
        record(f"POST of {job}: {status}")
        if status == 200:
            accepted[job] = time.monotonic()
    if len(accepted) < len(JOBS):
        return None
    wrong = 0

    def waiting(before):
        """Jobs accepted before the given time of which no task has begun."""
        started = {task.split(".")[0] for task, _, _ in runner.starts}
        return [job for job, at in accepted.items() if at < before and job not in started]

    while time.monotonic() - begun_at < 20 and waiting(time.monotonic()):
        await asyncio.sleep(0.3)
        if runner.sheds and time.monotonic() - begun_at >= SHED_S:
            runner.sheds = False
            record("the runner accepts starts again")
        for node in range(system.count):
            asked = time.monotonic()
            status, body = await call(system.address(node), "GET", "/q1/")
            true_count = len(waiting(asked - VISIBLE_S - LAG_S))
            record(f"GET of the queue at node {node}: {status} {body}; accepted over {VISIBLE_S + LAG_S} s before and "
                   f"not begun: {true_count}")
            if status == 200 and 2 * body.get("waiting", 0) < true_count:
                wrong += 1
    if wrong:
        record(f"broken: {wrong} answers gave under half of the jobs that have not begun")
    return wrong == 0 and not waiting(time.monotonic())


main(case, FOLDER)
