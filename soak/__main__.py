"""Command line of the fault soak.

``python -m soak --seeds 50`` plays the seeds 1 to 50 one after the other, prints a line for each
and every broken rule, and exits with status 1 if there is one.
"""

import asyncio
import pathlib
import tempfile
from typing import Annotated

import typer

from soak import play


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 50,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of the faults of a seed.")] = 15.0,
    logs: Annotated[str, typer.Option(help="Folder that keeps the VMs' logs.")] = "",
) -> None:
    """Plays seeds and reports."""
    broken = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(logs or scratch) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(play.play(seed, seconds, folder))
        broken += bool(outcome.violations)
        typer.echo(outcome.line())
        for line in outcome.violations:
            typer.echo(f"  {line}")
    typer.echo(f"{seeds - broken} passed, {broken} failed")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
