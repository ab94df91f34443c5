"""Command line of the fault soak.

``python -m soak --seeds 50`` runs the seeds 1 to 50 one after the other. It prints a line for each
seed and each violated safety rule, and exits with status 1 if a rule was violated.
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
    seconds: Annotated[
        float, typer.Option(help="Seconds of fault injection for each seed.")
    ] = 15.0,
    vms: Annotated[int, typer.Option(help="Number of VMs.", min=4, max=play.MAX_VMS)] = play.VMS,
    logs: Annotated[
        str, typer.Option(help="Directory for the VMs' logs; without it, they are deleted.")
    ] = "",
) -> None:
    """Runs seeds of the fault soak and prints the results."""
    failed_seeds = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(logs or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(play.run_seed(seed, seconds, folder, vms))
        failed_seeds += bool(outcome.violations)
        typer.echo(outcome.line())
        for line in outcome.violations:
            typer.echo(f"  {line}")
    typer.echo(f"{seeds - failed_seeds} passed, {failed_seeds} failed")
    raise typer.Exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    typer.run(main)
