"""A client's POST meets a frozen process and gets no answer in time. The client cancels the job at another process."""
import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
from platform_standin import Runner, call, config, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 4.0  # The longest node_freeze in the site file; one machine.
CANCEL_MS = 3000
STEP_S = 5.0
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 2, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": int(STEP_S * 1000)}


async def thaw(process, record):
    await asyncio.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
    record("the frozen process goes on")


async def case(system, record):
    await system.begin(config())
    capacity = {"cpu": 128000, "memMb": 262144, "gpu": 8}
    for i in range(6):
        await system.add_runner(
            Runner(record, system.store, f"i-00000{i}", "svc", lambda task: (STEP_S, "done"), capacity))
    if not await system.ready():
        return None
    await asyncio.sleep(2)
    leader = system.leader()
    frozen, other = [node for node in range(system.count) if node != leader]
    record(f"node {leader} gives the orders; clients use nodes {frozen} and {other}")
    thawing = None
    if TROUBLE:
        system.processes[frozen].send_signal(signal.SIGSTOP)
        record(f"node {frozen} freezes")
        thawing = asyncio.create_task(thaw(system.processes[frozen], record))
    status, _ = await call(system.address(frozen), "POST", f"/q1/{JOB}",
                           {"spec": "x", "steps": [STEP, {**STEP, "after": [0]}]})
    record(f"POST of the job to node {frozen}: {status or 'no answer in time'}")
    status, _ = await call(system.address(other), "DELETE", f"/q1/{JOB}")
    acknowledged, at = time.monotonic(), record.now()
    record(f"DELETE of the job to node {other}: {status}")
    if status != 410 and status // 100 != 2:
        return None  # Not acknowledged.
    while time.monotonic() - acknowledged < 2 * STEP_S + 5:
        await asyncio.sleep(1)
        record(f"GET of the job at node {other}: {await call(system.address(other), 'GET', f'/q1/{JOB}')}")
    if thawing:
        await thawing
    if system.leader() != leader:
        record("the decider has changed, so that its machine may not have been in touch")
        return None
    late = [(name, task, when) for name, runner in system.runners.items()
            for task, number, when in runner.starts if when > at + CANCEL_MS / 1000]
    for name, task, when in late:
        record(f"broken: {name} was told to start {task} {when - at:.2f} s after the acknowledged cancel")
    return not late


main(case, FOLDER)
