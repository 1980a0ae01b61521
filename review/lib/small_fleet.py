"""What the scripts share: one pool of runners, its queue, and their calls."""

import asyncio
import os
import pathlib
import signal
import sys

from deployment import Deployment
from runner import Log
from wire import call, call_control, serve

SERVICE, HOST, PREFIX = "huvo11a", "pule25.example", "/puxa400/"
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
PATIENCE_MS = 3000


def configuration():
    """As in the example of PROTOCOL.md, with one queue."""
    route = {
        "name": "r-anu6wsj",
        "host": HOST,
        "path_prefix": PREFIX,
        "type": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "stretch": 1.6,
    }
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "max_conns": 64,
        "protocol": "h1",
        "tls": False,
        "rejects_overload": False,
        "spare": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


class CouldNotRun(Exception):
    """The case says nothing."""


async def until(condition, seconds, what):
    for _ in range(int(seconds * 20)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise CouldNotRun("in vain waited for: " + what)


async def begin(deployment, log, runners):
    """Starts daemons and platform; returns when the runners are known."""

    async def cloud(request):
        if request.target.startswith("/api/machines"):
            return 200, {"machines": [each.as_machine() for each in runners]}
        log.write(f"platform: {request.target} {request.body!r}")
        return 400, {}

    platform = deployment.address(10, deployment.CLOUD)
    await serve(platform, cloud)
    for number in range(1, deployment.controls + 1):
        deployment.start("control", number, cloud=platform)
    for number in range(deployment.controls + 1, deployment.controls + deployment.entries + 1):
        deployment.start("entry", number)
    controls = deployment.control_addresses()
    for attempt in range(150):
        status, _ = await call_control(controls, attempt, "PUT", "/api/config", configuration())
        if status == 200:
            break
        await asyncio.sleep(0.2)
    log.write(f"PUT /api/config: {status}")
    if status != 200:
        raise CouldNotRun("no configuration was accepted")
    for each in runners:
        await each.begin(controls)
    await asyncio.sleep(3.0)


async def submit(deployment, log, job, steps):
    """Hands a job in, at one entry daemon after the other, until it is accepted."""
    entries = deployment.entry_addresses()
    headers = {"Host": HOST, "Deadline-Ms": str(PATIENCE_MS)}
    for attempt in range(20):
        status, _, _ = await call(
            entries[attempt % len(entries)],
            "POST",
            PREFIX + job,
            {"spec": "reconcile", "steps": steps},
            headers,
            timeout=PATIENCE_MS / 1000,
        )
        log.write(f"POST {PREFIX}{job}: {status}")
        if status == 200:
            return
        await asyncio.sleep(0.5)
    raise CouldNotRun("the job was not accepted")


async def state_of(deployment, log, job):
    """What a client is told of a job, by any of the entry daemons."""
    headers = {"Host": HOST, "Deadline-Ms": str(PATIENCE_MS)}
    for address in deployment.entry_addresses() * 2:
        status, _, answer = await call(address, "GET", PREFIX + job, headers=headers, timeout=3.0)
        log.write(f"GET {PREFIX}{job}: {status} {answer}")
        if status == 200:
            return answer.get("state", "")
    return ""


def run(play, judge):
    """Plays a case and judges it; returns the exit code.

    `play(deployment, log, has_trouble)` is a coroutine; `judge(log)` writes what
    it finds and gives whether the rule was broken.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = pathlib.Path(sys.argv[1])
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    log = Log()
    result = 2
    deployment = None
    try:
        deployment = Deployment()
        asyncio.run(asyncio.wait_for(play(deployment, log, has_trouble), 100))
        if deployment.ended():
            raise CouldNotRun(f"daemons ended by themselves: {deployment.ended()}")
        result = 1 if judge(log) else 0
    except (CouldNotRun, OSError, TimeoutError) as error:
        log.write(f"could not run: {error!r}")
    finally:
        if deployment is not None:
            deployment.stop(keep=os.environ.get("KEEP") == "1")
        text = "\n".join([f"TROUBLE={int(has_trouble)}, exit code {result}", *log.lines]) + "\n"
        (folder / "record.txt").write_text(text)
    print(f"TROUBLE={int(has_trouble)}: exit code {result}")
    return result
