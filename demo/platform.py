"""``python -m demo.platform``: VMs on the stand-in of the users' platform, with faults in turn.

Prints what the callers saw in each phase and exits with status 1 when a rule was broken.
"""

import asyncio
import collections
import pathlib
import sys
import tempfile

from demo import phases
from soak import play, records

SEED = 1
RATE_PER_S = 40.0
MIN_SERVED = 0.8
"""Share of the requests of the whole demo that must be served, faults included."""


def served(results) -> int:
    return sum(200 <= result.status < 300 for result in results)


def line(name: str, results: list[records.Result]) -> str:
    """Returns the row of one phase: requests, served ones, and the other statuses."""
    others = collections.Counter(r.status for r in results if not 200 <= r.status < 300)
    rest = ", ".join(f"{status or 'no answer'} {n}" for status, n in sorted(others.items()))
    return f"{name:34}{len(results):>6}{served(results):>8}   {rest}"


async def scenario(world: play.World) -> list[str]:
    """Plays the phases under load; returns the broken rules."""
    load = asyncio.ensure_future(world.load.run(RATE_PER_S))
    print(f"{'phase':34}{'sent':>6}{'served':>8}   others")
    try:
        for name, phase in phases.PHASES.items():
            before = len(world.seen.results)
            await phase(world)
            after = len(world.seen.results)
            await asyncio.sleep(phases.DEADLINE_S)
            print(line(name, list(world.seen.results.values())[before:after]))
    finally:
        load.cancel()
    results = world.seen.results.values()
    broken = records.violations(world.seen)
    if served(results) < MIN_SERVED * len(results):
        broken.append(f"only {served(results)} of {len(results)} requests were served")
    return broken


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        broken = asyncio.run(play.with_fleet(SEED, pathlib.Path(folder), scenario))
    for text in broken:
        print(f"BROKEN: {text}")
    print("failed" if broken else "all rules kept")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
