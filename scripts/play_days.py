#!/usr/bin/env python3
"""Plays the days of deploy/days on deployments and prints a table.

Each day is the quiet day of the deployment's file with the troubles of one of
our files in place of its own.

play_days.py PLAYER SITE... [--only NAME] [--jobs N]
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAYS = ROOT / "deploy" / "days"


def quiet_day(site: str) -> str:
    """The text of the first day of a deployment's file."""
    return pathlib.Path(site).read_text().split("[[day]]")[1]


def compose(site: str, day: pathlib.Path) -> str:
    """The quiet day with a day's own troubles."""
    text = quiet_day(site)
    for name in ("plan", "faults"):
        own = re.search(rf"^{name} = \[(.*?)\]\n", day.read_text(), re.M | re.S)
        text = re.sub(rf"^{name} = \[\]\n", "", text, flags=re.M)
        text = re.sub(rf"^{name} = \[\n.*?^\]\n", "", text, flags=re.M | re.S)
        if own is not None:
            text = text.replace("\ntraffic = [", f"\n{name} = [{own.group(1)}]\ntraffic = [", 1)
    return re.sub(r'^name = ".*?"', f'name = "{day.stem}"', text, flags=re.M)


def play(player: str, site: str, day: pathlib.Path) -> tuple[str, str]:
    """Plays a day; its place in the table and what was seen."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(compose(site, day))
        file.flush()
        run = subprocess.run(
            [player, "run", site, file.name], cwd=ROOT, capture_output=True, text=True, check=False
        )
    row = re.search(rf"^{re.escape(day.stem)} .*$", run.stdout, re.M)
    broken = "".join(f"\n    {line}" for line in re.findall(r"^[A-Z]{4,} at .*$", run.stdout, re.M))
    last = (run.stdout + run.stderr).strip().splitlines()[-1:]
    return pathlib.Path(site).stem, (row.group(0) if row else f"{day.stem}: {last}") + broken


def main() -> int:
    """Returns 1 when a rule was broken or a day was not played."""
    parser = argparse.ArgumentParser()
    parser.add_argument("player")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=3)
    given = parser.parse_args()
    days = sorted(day for day in DAYS.glob("*.toml") if given.only in day.stem)
    tasks = [(site, day) for site in given.sites for day in days]
    is_bad = False
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        for site, row in pool.map(lambda task: play(given.player, *task), tasks):
            print(f"{site:18} {row}", flush=True)
            is_bad = is_bad or "BROKEN" in row or "worth" not in row and "prices" not in row
    return 1 if is_bad else 0


if __name__ == "__main__":
    sys.exit(main())
