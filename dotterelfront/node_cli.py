"""Commands for the platform: ``node run``, ``check``, ``status``, ``rollout``, and ``explain``."""

import asyncio
import pathlib
import sys
from typing import Annotated

import msgspec
import typer

from dotterelfront import errors, explain, fleet_status, fleetmodel, models, node, rollout
from dotterelfront.platform import boot, store

node_app = typer.Typer(no_args_is_help=True, help="A VM on the deployment platform.")

SettingsPath = Annotated[pathlib.Path, typer.Argument(help="Settings file of the VM.")]


@node_app.command(epilog="Example: dotterelfront node run local.json")
def run(path: SettingsPath) -> None:
    """Runs the VM until SIGTERM."""
    node.run(str(path))


@node_app.command(epilog="Example: dotterelfront node check local.json")
def check(path: SettingsPath) -> None:
    """Validates a settings file and lists all problems. Needs no network."""
    cfg = boot.load(str(path))
    typer.echo(f"valid: VM {cfg.vm_id} at {cfg.http_address}, zone {cfg.zone}")


@node_app.command(epilog="Example: dotterelfront node status 10.200.1.7:8642")
def status(
    address: Annotated[str, typer.Argument(help="Address of the platform's store, ip:port.")],
    as_json: Annotated[bool, typer.Option("--json", help="Prints JSON.")] = False,
) -> None:
    """Shows the configuration, VMs and servers in the store. Fails if a record is unreadable."""
    fleet = fleet_status.build(asyncio.run(_list_all(address)).records)
    if as_json:
        typer.echo(msgspec.json.encode(fleet).decode())
    else:
        typer.echo("\n".join(fleet_status.as_lines(fleet)))
    if fleet.unreadable:
        raise typer.Exit(1)


@node_app.command("rollout", epilog="Example: dotterelfront node rollout 10.200.1.7:8642")
def show_rollout(
    address: Annotated[str, typer.Argument(help="Address of the platform's store, ip:port.")],
    revision: Annotated[
        int, typer.Option(help="Wanted revision; by default the newest one in the store.")
    ] = 0,
    as_json: Annotated[bool, typer.Option("--json", help="Prints JSON.")] = False,
) -> None:
    """Shows which VMs have a configuration in force. Fails if any of them has not."""
    report = asyncio.run(_rollout(address, revision))
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
    else:
        typer.echo("\n".join(rollout.as_lines(report)))
    if not report.is_complete:
        raise typer.Exit(1)


async def _rollout(address: str, revision: int) -> rollout.Report:
    vms, newest = rollout.vms_and_revision((await _list_all(address)).records)
    states = await rollout.ask_all(vms, node.METRICS_PORT)
    return rollout.build(models.Revision(revision or newest), states)


async def _list_all(address: str) -> fleetmodel.Changes:
    client = store.Client(address)
    try:
        return await client.list_all("")
    finally:
        client.close()


def explain_request(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Log files; standard input if none is given."),
    ] = None,
) -> None:
    """Shows the log events of a request in order of time."""
    lines = (line for path in files for line in _read_lines(path)) if files else sys.stdin
    events = explain.steps(lines, request_id)
    for event in events:
        typer.echo(event.text())
    if not events:
        typer.echo(
            f"no log event of request {request_id}: it was answered without a failure, or its "
            "events are not in these logs",
            err=True,
        )
        raise typer.Exit(1)


def _read_lines(path: pathlib.Path):
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
    except OSError as exc:
        raise errors.ConfigurationError(f"{path}: {exc.strerror}") from exc
