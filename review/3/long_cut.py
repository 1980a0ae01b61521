"""Three runners are cut off for 16 s and run on; a job is handed in afterwards.

Usage: long_cut.py FOLDER. TROUBLE=0 leaves the cut out. The exit code is 1 if
LOST was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from runner import Runner
from small_fleet import CAPACITY, SERVICE, CouldNotRun, begin, run, state_of, submit, until

STEP = {"count": 3, "cpu": 1000, "mem_mb": 512, "estimate_ms": 1000}
CUT_S = 16.0
CALM_S = 7.0  # contact_ms and catch_up_s.
FINISH_S = 14.0  # finish_s
STUCK_S = 3.0
BEFORE, AFTER = "5c0e7a21d94b36f8", "7d1f8b32ea5c47a9"


def starts_of(log, job):
    return [start for start in log.starts if start[1].startswith(job)]


async def play(deployment, log, has_trouble):
    runners = []
    for number in (8, 9, 10):
        address = deployment.address(number, deployment.RUNNER)
        name, machine = f"i-{number}", f"m-{number}"
        runners.append(
            Runner(log, name, address, SERVICE, "zone-1", CAPACITY, lambda *_: 1.0, machine)
        )
    await begin(deployment, log, runners)
    await submit(deployment, log, BEFORE, [STEP])
    await until(lambda: len(starts_of(log, BEFORE)) == 3, 10, "the first job's tasks")
    await asyncio.sleep(3.0)
    if await state_of(deployment, log, BEFORE) != "succeeded":
        raise CouldNotRun("the first job was not done")
    if has_trouble:
        for each in runners:
            each.cut()
        log.write("the runners are cut off")
        await asyncio.sleep(CUT_S)
        for each in runners:
            each.heal()
        log.write("the runners are back")
    await asyncio.sleep(CALM_S)
    log.accepted_at = log.now()
    await submit(deployment, log, AFTER, [STEP])
    await asyncio.sleep(FINISH_S + STUCK_S)
    log.state = await state_of(deployment, log, AFTER)


def judge(log):
    for name, beats in sorted(log.beats.items()):
        since = [status for when, status in beats if when > log.accepted_at]
        holds = [when for when in log.holds.get(name, []) if when > log.accepted_at]
        log.write(
            f"{name} since the job was accepted: answers to heartbeats {sorted(set(since))} "
            f"({len(since)}), hold calls {len(holds)}"
        )
    starts = starts_of(log, AFTER)
    log.write(f"{len(starts)} of 3 tasks of {AFTER} were started; it is shown as {log.state}")
    is_lost = not starts
    log.write(
        f"LOST: {'broken' if is_lost else 'held'}; three runners with nothing else to do, "
        f"{FINISH_S + STUCK_S:.0f} s after the job was accepted"
    )
    return is_lost


if __name__ == "__main__":
    sys.exit(run(play, judge))
