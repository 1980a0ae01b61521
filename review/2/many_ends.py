"""One job of many short tasks on two runners, which are cut off for 3 s.

Usage: many_ends.py FOLDER. TROUBLE=0 leaves the cut out. The exit code is 1 if
TWICE was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from runner import Runner, twice
from small_fleet import CAPACITY, SERVICE, CouldNotRun, begin, run, state_of, submit, until

TASKS = 6000  # 3,000 for each of the two runners, which have room for 3,200.
STEP = {"count": TASKS, "cpu": 10, "mem_mb": 16, "estimate_ms": 11000}
SHORTEST_S, LONGEST_S = 7.0, 15.0
# Leases of 6 s are renewed every 2 s: 4 s are left of each, and none lapses.
CUT_S = 3.0
CUT_AFTER_S = 2.0  # After the first end.
JOB = "5c0e7a21d94b36f8"
SHOWN = 20


async def play(deployment, log, has_trouble):
    durations = random.Random(1)

    def duration_s(_task, _run):
        return durations.uniform(SHORTEST_S, LONGEST_S)

    runners = []
    for number in (8, 9):
        address = deployment.address(number, deployment.RUNNER)
        name, machine = f"i-{number}", f"m-{number}"
        runners.append(
            Runner(log, name, address, SERVICE, "zone-1", CAPACITY, duration_s, machine)
        )
    await begin(deployment, log, runners)
    await submit(deployment, log, JOB, [STEP])
    await until(lambda: log.starts, 5, "the first start")
    await until(lambda: log.ends, 20, "the first end")
    log.write(f"{len(log.starts)} tasks have been started when the first one ends")
    if has_trouble:
        await asyncio.sleep(CUT_AFTER_S)
        for each in runners:
            each.cut()
            log.write(f"{each.name} is cut off; {len(each.running)} tasks run there")
        await asyncio.sleep(CUT_S)
        for each in runners:
            each.heal()
            log.write(f"{each.name} is back; {len(each.ended)} ends wait to be seen there")

    def are_all_done():
        done = {task for _, task, _, _, how, _ in log.ends if how == "done"}
        return len(done) >= TASKS and all(not each.running for each in runners)

    await until(are_all_done, 45, "the end of all tasks")
    for _ in range(20):
        if await state_of(deployment, log, JOB) == "succeeded":
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(2.5)  # The last ends are taken note of.
    if any(log.lapsed.values()):
        raise CouldNotRun("a lease lapsed")


def judge(log):
    broken = twice(log)
    done = sum(how == "done" for _, _, _, _, how, _ in log.ends)
    log.write(
        f"{len(log.starts)} starts of {len({start[1] for start in log.starts})} tasks, "
        f"{done} runs ended done, last_seen {log.seen}"
    )
    tasks = {task for _, task, _, _ in broken}
    log.write(f"TWICE: {len(broken)} breaks, {len(tasks)} tasks")
    for when, task, number, why in broken[:SHOWN]:
        log.write(f"  {task} run {number} started at {when:.3f}: {why}")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(run(play, judge))
