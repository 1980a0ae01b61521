"""Starts the project's own programs as the deploy file says, on loopback.

Each machine has an address of its own in 127.0.0.0/8; the ports are the same on
all of them. Settings come from the templates that the deploy file names.
"""

import json
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{([#^/]?)([A-Za-z0-9_.@,]+)(\|json)?\}\}")


def lookup(fields, path):
    """The value at a path such as `port_range.0`; None if there is none."""
    value = fields
    for part in path.split("."):
        if not part:
            continue
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def render(text, fields, current=None):
    """Fills in a template, as far as the project's templates need it."""
    out, at = [], 0
    while True:
        found = PLACEHOLDER.search(text, at)
        if found is None:
            out.append(text[at:])
            return "".join(out)
        out.append(text[at : found.start()])
        mark, name, as_json = found.groups()
        at = found.end()
        value = current if name == "." else lookup(fields, name)
        if mark in ("#", "^"):
            end = text.index("{{/" + name + "}}", at)
            inner = text[at:end]
            at = end + len("{{/" + name + "}}")
            is_there = value not in (None, False)
            if mark == "#" and is_there:
                out.append(render(inner, fields, value))
            elif mark == "^" and not is_there:
                out.append(render(inner, fields, current))
        elif as_json:
            out.append(json.dumps(value))
        elif value is not None:
            out.append(str(value))


def is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Deployment:
    """A few control and entry daemons, numbered from 1 on, controls first."""

    INNER, CONTROL, FRONT, READY, CLOUD, RUNNER, METRICS = range(7)

    def __init__(self, controls=5, entries=2):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.controls = controls
        self.entries = entries
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review."))
        self.processes = {}
        self.net, self.base = self._find_free()

    def _find_free(self):
        chooser = random.Random(os.getpid())
        for _ in range(200):
            net = f"127.{chooser.randint(20, 250)}.{chooser.randint(1, 250)}."
            base = chooser.randrange(20000, 30000, 20)
            ports = [base + kind for kind in range(7)] + [9464]
            hosts = range(1, 12)
            if all(is_free(net + str(host), port) for host in hosts for port in ports):
                return net, base
        raise OSError("no free ports")

    def ip(self, number):
        return self.net + str(number)

    def address(self, number, kind):
        return f"{self.ip(number)}:{self.base + kind}"

    def control_addresses(self):
        return [self.address(n, self.CONTROL) for n in range(1, self.controls + 1)]

    def entry_addresses(self):
        first = self.controls + 1
        return [self.address(n, self.FRONT) for n in range(first, first + self.entries)]

    def program(self, role):
        """The words of `run`. Where only `make` has built, its binary is taken."""
        words = self.roles[role]["run"].split()
        for folder in ("target/", "build/"):
            path = words[0].replace("target/", folder, 1)
            if (ROOT / path).exists():
                return [path, *words[1:]]
        raise FileNotFoundError(f"{words[0]} is not built")

    def fields(self, role, number, cloud):
        """What the platform tells a process, as the pages show it."""
        zone = f"zone-{(number - 1) % 3 + 1}"
        is_core = role == "control"
        return {
            "node": f"{role}-{number}",
            "role": role,
            "ip": self.ip(number),
            "zone": zone,
            "region": "region",
            "listen": {
                "front": self.address(number, self.FRONT),
                "ready": self.address(number, self.READY),
                "control": self.address(number, self.CONTROL),
            },
            "port_range": [self.base + self.INNER, self.base + self.INNER],
            "seeds": [self.address(n, self.CONTROL) for n in (1, 2, 3)],
            "bootstrap": True,
            "data_dir": str(self.folder / f"data-{number}") if is_core else None,
            "bounds": {"grace_s": 6, "hold_max_ms": 6000, "upkeep_s": 2},
            "cloud": {"address": cloud},
        }

    def start(self, role, number, cloud=None):
        """Starts a daemon; `cloud` is the platform's address."""
        template = (ROOT / self.roles[role]["template"]).read_text()
        settings = json.loads(render(template, self.fields(role, number, cloud)))
        file = self.folder / f"{role}-{number}.json"
        file.write_text(json.dumps(settings, indent=1))
        words = self.program(role)
        words[words.index("--settings") + 1] = str(file)
        log = open(self.folder / f"{role}-{number}.log", "ab")
        self.processes[(role, number)] = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )
        log.close()

    def ended(self):
        return [key for key, process in self.processes.items() if process.poll() is not None]

    def stop(self, keep=False):
        """Ends all that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
