"""Command line interface, built with typer."""

import pathlib
import signal
import sys
from typing import Annotated

import typer

from dotterelfront import (
    __version__,
    errors,
    logs,
    node_cli,
    operator_cli,
    proxy,
    report_cli,
    settings,
)

app = typer.Typer(no_args_is_help=True, help="HTTP proxy fleet for servers with gray failures.")
app.add_typer(operator_cli.app)
app.add_typer(report_cli.report, name="report")
app.add_typer(report_cli.config, name="config")
app.add_typer(node_cli.node_app, name="node")
app.command(name="explain")(node_cli.explain_request)


def _print_version(enabled: bool) -> None:
    if enabled:
        typer.echo(__version__)
        raise typer.Exit


@app.callback()
def options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Prints the version and exits.",
        ),
    ] = False,
) -> None:
    """HTTP proxy fleet for servers with gray failures."""


@app.command(name="proxy")
def run_proxy(
    settings_file: Annotated[pathlib.Path, typer.Option("--settings", help="Settings file.")],
) -> None:
    """Runs the proxy of this VM until SIGTERM."""
    cfg = settings.load(settings_file)
    logs.configure(cfg.log_format, cfg.vm_id)
    process = proxy.Proxy(cfg)
    signal.signal(signal.SIGTERM, lambda *_: process.stop())
    process.run()


def main() -> None:
    """Runs the command line. An error is printed with its code and sets the exit status."""
    try:
        app()
    except errors.DotterelfrontError as exc:
        operator_cli.print_error(exc, as_json="--json" in sys.argv)
        raise SystemExit(operator_cli.exit_code(exc)) from None
