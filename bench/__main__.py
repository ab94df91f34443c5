"""Runs the named benchmarks, or all of them, and prints their results as JSON."""

import json
import sys
from typing import Annotated

import typer

from bench import latency

BENCHMARKS = {"latency": latency.run}


def main(
    names: Annotated[list[str] | None, typer.Argument(help=", ".join(BENCHMARKS))] = None,
    seconds: Annotated[float, typer.Option(help="Duration of one block of load.")] = 4.0,
    pairs: Annotated[int, typer.Option(help="Rounds at each rate, with one block per path.")] = 4,
    seed: Annotated[int, typer.Option(help="Seed of the arrival times.")] = 1,
) -> None:
    results = {name: BENCHMARKS[name](seconds, pairs, seed) for name in names or BENCHMARKS}
    json.dump(results, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    typer.run(main)
