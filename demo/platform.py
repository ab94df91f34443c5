"""``python -m demo.platform``: VMs on the stand-in of the users' platform, with a series of faults.

Prints the callers' results in each phase and exits with status 1 if a rule was violated.
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
"""Minimum share of requests that must be served over the whole demo, including all faults."""


def count_served(results) -> int:
    return sum(200 <= result.status < 300 for result in results)


def format_row(name: str, results: list[records.Result]) -> str:
    """Returns the table row of a phase: number of requests, served requests, other statuses."""
    other_statuses = collections.Counter(
        result.status for result in results if not 200 <= result.status < 300
    )
    listed = ", ".join(
        f"{status or 'no answer'} {n}" for status, n in sorted(other_statuses.items())
    )
    return f"{name:34}{len(results):>6}{count_served(results):>8}   {listed}"


async def scenario(env: play.Environment) -> list[str]:
    """Runs the phases under load; returns the failures."""
    load = asyncio.ensure_future(env.load.run(RATE_PER_S))
    print(f"{'phase':34}{'sent':>6}{'served':>8}   others")
    try:
        for name, phase in phases.PHASES.items():
            start = len(env.observations.results)
            await phase(env)
            end = len(env.observations.results)
            await asyncio.sleep(phases.DEADLINE_S)
            print(format_row(name, list(env.observations.results.values())[start:end]))
    finally:
        load.cancel()
    results = env.observations.results.values()
    failures = records.violations(env.observations)
    if count_served(results) < MIN_SERVED * len(results):
        failures.append(f"only {count_served(results)} of {len(results)} requests were served")
    return failures


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        failures = asyncio.run(play.run_with_fleet(SEED, pathlib.Path(folder), scenario))
    for failure in failures:
        print(f"BROKEN: {failure}")
    print("failed" if failures else "all rules kept")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
