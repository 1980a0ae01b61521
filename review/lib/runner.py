"""A runner, as the platform's pages describe it, and the log of what it saw.

The runner does what the section "Running tasks" of PROTOCOL.md says: it keeps
the highest fence, bars runs that are not higher than one that ended, forgets
ends up to `last_seen`, lists 500 of the others at a time, and ends everything
when its lease is over.
"""

import asyncio
import time

from wire import call_control, serve

ENDS_IN_A_LIST = 500
LONGEST_LEASE_MS = 6000
HEARTBEAT_S = 1.5
LABELS = ["a", "r1-1"]


class Log:
    """What was sent, answered and run, with the seconds since the beginning."""

    def __init__(self):
        self.begun = time.monotonic()
        self.lines = []
        self.starts = []  # (time, task, run, runner)
        self.ends = []  # (time, task, run, runner, how, number)
        self.seen = {}  # Highest last_seen, by runner.
        self.lapsed = {}  # Times, by runner.
        self.holds = {}  # Times, by runner.
        self.beats = {}  # (time, status of the answer), by runner.

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.lines.append(f"{self.now():9.3f}  {text}")


class Runner:
    """One life of a machine.

    `duration_s(task, run)` says how long a run works.
    """

    def __init__(self, log, name, address, service, zone, capacity, duration_s, machine):
        self.log = log
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.duration_s = duration_s
        self.machine = machine
        self.running = {}  # (run, begun, duration), by task.
        self.barred = {}  # Highest run that ended here, by task.
        self.ended = []
        self.next_end = 1
        self.fence = 0
        self.lease_end = 0
        self.last_seen = 0
        self.beats = 0
        self.is_cut = False
        self.changed = asyncio.Event()
        self.timers = set()

    def as_machine(self):
        """An entry of the platform's list of machines."""
        return {
            "machine": self.machine,
            "pool": self.service,
            "state": "up",
            "zone": self.zone,
            "labels": LABELS,
            "capacity": self.capacity,
            "id": self.name,
        }

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def cut(self):
        """From now on nothing comes in or goes out; what runs goes on."""
        self.is_cut = True

    def heal(self):
        self.is_cut = False

    async def begin(self, control):
        self.control = control
        self.server = await serve(self.address, self.handle)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.watch())]

    async def beat(self):
        turn = hash(self.name)
        while True:
            if not self.is_cut:
                self.beats += 1
                content = {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": self.capacity,
                    "labels": LABELS,
                    "machine": self.machine,
                    "clock_ms": self.clock_ms(),
                    "seq": self.beats,
                }
                turn += 1
                status, _ = await call_control(
                    self.control, turn, "PUT", "/api/instances/" + self.name, content
                )
                self.log.beats.setdefault(self.name, []).append((self.log.now(), status))
            await asyncio.sleep(HEARTBEAT_S)

    async def watch(self):
        """Ends the runs that have worked for long enough, or whose lease is over."""
        while True:
            now = time.monotonic()
            if self.running and self.clock_ms() >= self.lease_end:
                self.log.lapsed.setdefault(self.name, []).append(self.log.now())
                self.log.write(f"{self.name} lease is over with {len(self.running)} runs")
                for task in list(self.running):
                    self.close(task, "lapsed")
            for task, (_, begun, duration) in list(self.running.items()):
                if now - begun >= duration:
                    self.close(task, "done")
            await asyncio.sleep(0.005)

    def close(self, task, how):
        run, _, _ = self.running.pop(task)
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.ended.append([self.next_end, task, run, how, ""])
        self.log.ends.append((self.log.now(), task, run, self.name, how, self.next_end))
        self.next_end += 1
        self.changed.set()

    async def handle(self, request):
        if self.is_cut:
            await asyncio.sleep(3600)  # Silence: no answer and no reset.
            return None
        if request.method != "POST":
            return 200, {}
        if request.headers.get("expect-instance") not in (None, self.name):
            return 421, {"clock_ms": self.clock_ms()}
        order = request.json()
        fence = order.get("fence", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if request.target == "/api/run-start":
            return self.start(order)
        if request.target == "/api/run-stop":
            return self.stop(order)
        if request.target == "/api/hold":
            return await self.hold(order)
        return 200, {"clock_ms": self.clock_ms()}

    def extend(self, order):
        if "deadline_ms" in order:
            most = self.clock_ms() + LONGEST_LEASE_MS
            self.lease_end = max(self.lease_end, min(most, order["deadline_ms"]))

    def start(self, order):
        task, run = order["task"], order["run"]
        clock = {"clock_ms": self.clock_ms()}
        if task in self.running and self.running[task][0] == run:
            self.extend(order)
            return 200, clock
        if run <= self.barred.get(task, 0) or task in self.running:
            self.extend(order)
            return 409, {**clock, "reason": "old"}
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.extend(order)
        self.running[task] = (run, time.monotonic(), self.duration_s(task, run))
        self.log.starts.append((self.log.now(), task, run, self.name))
        return 200, clock

    def stop(self, order):
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task][0] == run:
            self.close(task, "stopped")
        else:
            self.barred[task] = max(run, self.barred.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, order):
        self.extend(order)
        self.log.holds.setdefault(self.name, []).append(self.log.now())
        seen = order.get("last_seen", 0)
        self.last_seen = max(self.last_seen, seen)
        self.log.seen[self.name] = self.last_seen
        while self.ended and self.ended[0][0] <= seen:
            self.ended.pop(0)
        wait_s = order.get("wait_ms", 0) / 1000
        if not self.ended and wait_s > 0:
            self.changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
            if self.is_cut:
                await asyncio.sleep(3600)
                return None
        return 200, self.lists()

    def lists(self):
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int(100 * (now - begun) / duration)), 1]
            for task, (run, begun, duration) in self.running.items()
        ]
        return {
            "clock_ms": self.clock_ms(),
            "running": running,
            "ended": self.ended[:ENDS_IN_A_LIST],
        }


def twice(log):
    """Breaks of TWICE: (when, task, run, why), as RULES.md states it.

    A start after a run of the task has ended `done`, if that end is taken note
    of then or later, and the runner's lease did not lapse in between; or two
    runs at the same time.
    """
    ends = {}
    for when, task, run, runner, how, number in log.ends:
        ends.setdefault(task, []).append((when, run, runner, how, number))
    broken = []
    by_task = {}
    for when, task, run, runner in log.starts:
        by_task.setdefault(task, []).append((when, run, runner))
    for task, starts in by_task.items():
        for when, run, runner in starts:
            for ended_at, other, where, how, number in ends.get(task, []):
                is_noted = log.seen.get(where, 0) >= number
                has_lapsed = any(at >= ended_at for at in log.lapsed.get(where, []))
                if other != run and ended_at < when and how == "done" and is_noted and not has_lapsed:
                    broken.append((when, task, run, f"run {other} ended done on {where} at {ended_at:.3f}, end {number}"))
            for began, other, where in starts:
                over = [e[0] for e in ends.get(task, []) if e[1] == other and e[2] == where]
                until = over[0] if over else float("inf")
                if other < run and began <= when < until:
                    broken.append((when, task, run, f"run {other} still works on {where}"))
    return broken
