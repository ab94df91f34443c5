"""The commands ``report burn`` and ``config check``.

``report burn`` queries the counters of every VM of the platform's list. Its exit code is 9 if a VM
did not respond, so that a script can tell a partial report from a complete one.
"""

import contextlib
import pathlib
from typing import Annotated

import msgspec
import typer

from dotterelfront import operator_cli, reports, settings
from dotterelfront import operator_session as session

EXIT_VMS_MISSING = 9

report = typer.Typer(no_args_is_help=True, help="Reports gathered from all VMs.")
config = typer.Typer(no_args_is_help=True, help="Settings of a proxy process.")


@report.command(name="burn", epilog="Example: dotterelfront report burn --html burn.html")
def burn_report(
    settings_file: operator_cli.SettingsFile = None,
    store_url: operator_cli.StoreUrl = "",
    platform_url: operator_cli.PlatformUrl = "",
    control_port: operator_cli.ControlPort = None,
    tls: operator_cli.TlsFiles = None,
    html_file: Annotated[
        pathlib.Path | None, typer.Option("--html", help="Also writes an HTML page with plots.")
    ] = None,
    as_json: operator_cli.Json = False,
) -> None:
    """Shows the fleet-wide objective, burn rates and remaining error budget of each route."""
    cfg = session.load_settings(settings_file, store_url, platform_url, control_port, tls)
    with contextlib.closing(session.Session(cfg)) as fleet_session:
        tables = fleet_session.newest_configuration()[1]
        objectives = {route.name: route.objective for route in tables.routes}
        fleet_report = reports.gather(fleet_session.vms(), fleet_session.call, objectives)
    if html_file:
        html_file.write_text(reports.as_html(fleet_report))
    typer.echo(
        msgspec.json.encode(fleet_report).decode() if as_json else reports.as_text(fleet_report)
    )
    if fleet_report.missing_vms:
        raise typer.Exit(EXIT_VMS_MISSING)


@config.command(epilog="Example: dotterelfront config check settings.json")
def check(path: Annotated[pathlib.Path, typer.Argument(help="Settings file of a VM.")]) -> None:
    """Validates a settings file and lists all problems. Needs no network."""
    cfg = settings.load(path)
    typer.echo(f"valid: VM {cfg.vm_id} at {cfg.address}, zone {cfg.zone}, region {cfg.region}")
