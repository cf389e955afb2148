"""One runner at a time is lost for good. A task that lasts must be at work again within 9 s."""
import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
from platform_standin import Runner, call, config, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 12  # One of them is a share of 0.083.
LOSSES = 7
AFTER_S = 6.0  # LOST holds for a task that lasts from 6 s after its last run ...
IDLE_S = 3.0  # ... if nothing of it runs for 3 s.
SPACING_S = 11.5  # The next loss comes after the window of the one before.
LASTING = "c1c0e7a21d94b36f"


class SmallTasksRunner(Runner):
    """All tasks together take a small part of its room, so that there is capacity several times over."""

    def needs(self, task):
        return {"gpu": 0}


def work(task):
    return (3600.0 if task.startswith(LASTING) else random.uniform(0.05, 0.15)), "done"


async def case(system, record):
    await system.begin(config(priorities=(1, 2)))
    capacity = {"cpu": 128000, "memMb": 262144, "gpu": 8}

    async def add(number):
        return await system.add_runner(
            SmallTasksRunner(record, system.store, f"i-0000{number:02d}", "svc", work, capacity))

    runners = [await add(i) for i in range(RUNNERS)]
    record.quiet = True  # Only the lasting job, and not thousands of short tasks.
    if not await system.ready():
        return None
    await asyncio.sleep(2)
    status, _ = await call(system.address(0), "POST", f"/q2/{LASTING}", {"spec": "x", "steps": [
        {"count": 10, "cpu": 100, "memMb": 1, "perpetual": True, "antiAffinity": 2}]})
    record(f"POST of a job of 10 tasks that last: {status}", True)
    if status != 200:
        return None
    ended = False

    async def submit_short_jobs():
        number = 0
        while not ended:
            number += 1
            await call(system.address(number % system.count), "POST", f"/q1/a{number:015x}", {"spec": "x", "steps": [
                {"count": 100, "cpu": 10, "memMb": 1, "estimateMs": 100}]})
            await asyncio.sleep(0.2)

    traffic = asyncio.create_task(submit_short_jobs())
    await asyncio.sleep(4)
    broken = False
    for number in range(LOSSES):
        holders = [r for r in runners if any(task.startswith(LASTING) for task in r.running)]
        lost = random.choice(holders)
        tasks = [task for task in lost.running if task.startswith(LASTING)]
        at = record.now()
        if TROUBLE:
            runners.remove(lost)
            lost.leave()
            record(f"{lost.name} is lost for good, with {tasks}", True)
        await asyncio.sleep(SPACING_S)
        if TROUBLE:
            for task in tasks:
                again = min((when for r in runners for t, _, when in r.starts if t == task and when > at), default=None)
                late = again is None or again - at > AFTER_S + IDLE_S
                broken = broken or late
                record(f"{'broken: ' if late else ''}{task} started again "
                       + (f"after {again - at:.2f} s" if again else f"not within {SPACING_S} s"), True)
            runners.append(await add(RUNNERS + number))
        elif any(task not in lost.running for task in tasks):
            return None  # A task has ended without a disruption.
    ended = True
    await traffic
    return not broken


main(case, FOLDER)
