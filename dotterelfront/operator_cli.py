"""The operators' commands: validate, diff, apply, show, status, drain.

``EXIT_CODES_HELP`` documents the exit codes and is part of the help of each command. With
``--json``, errors are printed as one JSON value as well.
"""

import contextlib
import pathlib
import sys
import time
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
import typer

from dotterelfront import errors, models, publish, revisions, tables
from dotterelfront import operator_session as session

EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 other error; 2 usage error; 3 the files are invalid; 4 conflict with "
    "another operator's edit; 5 not accepted; 6 outcome unknown; 7 accepted, but not in force on "
    "all VMs in time; 8 too few VMs respond, or status shows a VM that is not up to date."
)
EXIT_CODE_BY_ERROR = {
    errors.InvalidTablesError: 3,
    publish.EditConflictError: 4,
    errors.StoreConflictError: 5,
    errors.StoreRefusedError: 5,
    errors.StoreUnavailableError: 5,
    publish.ForkedError: 8,
    session.FleetUnreachableError: 8,
}
EXIT_CODE_BY_OUTCOME = {publish.Outcome.NOT_ACCEPTED: 5, publish.Outcome.UNKNOWN: 6}
EXIT_NOT_IN_FORCE = 7
EXIT_NOT_UP_TO_DATE = 8

ADVICE = {
    "INVALID_TABLES": "Correct the files. Nothing was sent.",
    "EDIT_CONFLICT": "Nothing was accepted. Repeat the command with --merge if there are no "
    "conflicts, or write the tables in force to files with `show --routes FILE --pools FILE` and "
    "edit those.",
    "STORE_CONFLICT": "Nothing was accepted. Repeat the command.",
    "STORE_REFUSED": "Nothing was accepted. The store is over its limits; repeat the command "
    "later.",
    "STORE_UNAVAILABLE": "Nothing was accepted. Check --store-url, --platform-url and the network.",
    "FORKED": "Nothing was accepted.",
    "BROKEN_CONFIGURATION": "Nothing was accepted. A part of the configuration in the store is "
    "missing or altered. The VMs continue with their current tables.",
    "UNKNOWN_SERVER": "Look up the address with `show`.",
    "FLEET_UNREACHABLE": "Check the network and the certificates. With --partial-fleet the command "
    "continues, but may miss an edit if the store was restored to an older state.",
}

app = typer.Typer()


def _epilog(example: str) -> str:
    return f"Example: {example}\n\n{EXIT_CODES_HELP}"


SettingsFile = Annotated[
    pathlib.Path | None,
    typer.Option("--settings", envvar="DOTTERELFRONT_OPERATOR", help="Operator settings file."),
]
StoreUrl = Annotated[str, typer.Option("--store-url", help="URL of the key-value service.")]
PlatformUrl = Annotated[str, typer.Option("--platform-url", help="URL of the platform's VM list.")]
ControlPort = Annotated[
    int | None, typer.Option("--control-port", help="Control port of the VMs; 7402 by default.")
]
TlsFiles = Annotated[
    tuple[str, str, str] | None,
    typer.Option("--tls", metavar="CA CERT KEY", help="PEM files of the operator's machine."),
]
Json = Annotated[bool, typer.Option("--json", help="Prints one JSON value.")]
RoutesFile = Annotated[pathlib.Path, typer.Option("--routes", help="Routes file.")]
PoolsFile = Annotated[pathlib.Path, typer.Option("--pools", help="Pools file.")]
Timeout = Annotated[
    float, typer.Option(help="Seconds to wait until the edit is in force; 0 does not wait.")
]
PartialFleet = Annotated[
    bool, typer.Option("--partial-fleet", help="Continues even if most VMs do not respond.")
]


@app.command(epilog=_epilog("dotterelfront validate --routes routes.json --pools pools.json"))
def validate(routes: RoutesFile, pools: PoolsFile, as_json: Json = False) -> None:
    """Validates the files and reports all problems. Needs no network."""
    content = session.read_files(routes, pools)
    counts = {name: len(getattr(content, name)) for name in revisions.BUCKETS}
    _print(as_json, counts, "valid: " + ", ".join(f"{n} {name}" for name, n in counts.items()))


@app.command(epilog=_epilog("dotterelfront diff --routes routes.json --pools pools.json"))
def diff(
    routes: RoutesFile,
    pools: PoolsFile,
    settings: SettingsFile = None,
    store_url: StoreUrl = "",
    platform_url: PlatformUrl = "",
    control_port: ControlPort = None,
    tls: TlsFiles = None,
    as_json: Json = False,
) -> None:
    """Shows how the files differ from the configuration in force."""
    content = session.read_files(routes, pools)
    cfg = session.load_settings(settings, store_url, platform_url, control_port, tls)
    with contextlib.closing(session.Session(cfg)) as fleet_session:
        root, current = fleet_session.newest_configuration()[:2]
    difference = revisions.changes(current, content)
    value = {"revision": root.revision if root else 0, "changes": _plain_changes(difference)}
    _print(as_json, value, "\n".join(_describe(difference)) or "no difference")


@app.command(
    name="apply",
    epilog=_epilog("dotterelfront apply --routes routes.json --pools pools.json --timeout 30"),
)
def apply_files(
    routes: RoutesFile,
    pools: PoolsFile,
    settings: SettingsFile = None,
    store_url: StoreUrl = "",
    platform_url: PlatformUrl = "",
    control_port: ControlPort = None,
    tls: TlsFiles = None,
    timeout: Timeout = 30.0,
    merge: Annotated[
        bool,
        typer.Option("--merge", help="Merges this edit with other edits that do not conflict."),
    ] = False,
    replace: Annotated[
        bool,
        typer.Option(
            "--replace",
            help="Replaces the tables in force, even if they have changed since the base.",
        ),
    ] = False,
    take: Annotated[
        publish.ForkBase, typer.Option(help="Base of the edit if store and fleet are forked.")
    ] = publish.ForkBase.NEITHER,
    partial_fleet: PartialFleet = False,
    as_json: Json = False,
) -> None:
    """Publishes the files and waits until they are in force on all VMs.

    The tables that the edit is based on are stored next to the routes file, in FILE.base. If the
    configuration has changed since then, the command shows both changes and exits with code 4.
    """
    mine = session.read_files(routes, pools)
    cfg = session.load_settings(settings, store_url, platform_url, control_port, tls)
    base = session.read_base(routes)
    edit = publish.replace_edit(mine) if replace else publish.merge_edit(base, mine, merge)
    with contextlib.closing(session.Session(cfg)) as fleet_session:
        result = fleet_session.apply(edit, take, partial_fleet)
        if result.outcome is publish.Outcome.ACCEPTED:
            session.write_base(routes, mine)
        _report_result(fleet_session, result, timeout, as_json)


@app.command(epilog=_epilog("dotterelfront show --routes routes.json --pools pools.json"))
def show(
    routes: Annotated[
        pathlib.Path | None, typer.Option("--routes", help="Writes the routes file.")
    ] = None,
    pools: Annotated[
        pathlib.Path | None, typer.Option("--pools", help="Writes the pools file.")
    ] = None,
    settings: SettingsFile = None,
    store_url: StoreUrl = "",
    platform_url: PlatformUrl = "",
    control_port: ControlPort = None,
    tls: TlsFiles = None,
    as_json: Json = False,
) -> None:
    """Shows the newest configuration, or writes it to files as the base of an edit."""
    if (routes is None) != (pools is None):
        raise typer.BadParameter("--routes and --pools must be given together")
    cfg = session.load_settings(settings, store_url, platform_url, control_port, tls)
    with contextlib.closing(session.Session(cfg)) as fleet_session:
        root, current, source = fleet_session.newest_configuration()
    revision = root.revision if root else 0
    texts = tables.render(current)
    if routes and pools:
        routes.write_text(texts[0])
        pools.write_text(texts[1])
        session.write_base(routes, current)
        value = {"revision": revision, "source": source, "files": [str(routes), str(pools)]}
        _print(as_json, value, f"revision {revision} (from the {source}) written")
        return
    value = {
        "revision": revision,
        "digest": root.digest if root else "",
        "source": source,
        "tables": msgspec.to_builtins(current),
    }
    _print(as_json, value, f"// revision {revision} (from the {source})\n{texts[0]}\n{texts[1]}")


@app.command(epilog=_epilog("dotterelfront status --json"))
def status(
    settings: SettingsFile = None,
    store_url: StoreUrl = "",
    platform_url: PlatformUrl = "",
    control_port: ControlPort = None,
    tls: TlsFiles = None,
    as_json: Json = False,
) -> None:
    """Shows the revision and state of each VM of the platform's list.

    Exits with code 8 if a VM does not respond, is behind, is not ready or has an alarm.
    """
    cfg = session.load_settings(settings, store_url, platform_url, control_port, tls)
    with contextlib.closing(session.Session(cfg)) as fleet_session:
        states = fleet_session.statuses(fleet_session.vms())
        stored = fleet_session.stored_revision()
    newest = max([stored or 0, *(state.revision for state in states.values() if state)])
    rows = [_status_row(vm, state, newest) for vm, state in states.items()]
    following = sum(row["following"] for row in rows)
    value = {"newest": newest, "store": stored, "following": following, "vms": rows}
    store_text = "does not respond" if stored is None else f"has revision {stored}"
    lines = [
        f"revision {newest}: {following} of {len(rows)} VMs are up to date; the store {store_text}"
    ]
    lines += [_status_line(row) for row in rows]
    _print(as_json, value, "\n".join(lines))
    if following < len(rows):
        raise typer.Exit(EXIT_NOT_UP_TO_DATE)


@app.command(epilog=_epilog("dotterelfront drain 10.0.0.7:8080"))
def drain(
    server: Annotated[str, typer.Argument(help="Address of the server, IP:PORT.")],
    undo: Annotated[bool, typer.Option("--undo", help="Returns the server to service.")] = False,
    settings: SettingsFile = None,
    store_url: StoreUrl = "",
    platform_url: PlatformUrl = "",
    control_port: ControlPort = None,
    tls: TlsFiles = None,
    timeout: Timeout = 30.0,
    partial_fleet: PartialFleet = False,
    as_json: Json = False,
) -> None:
    """Marks a server as leaving in the tables in force and waits until all VMs have the change."""
    cfg = session.load_settings(settings, store_url, platform_url, control_port, tls)
    state = models.ServerState.ACTIVE if undo else models.ServerState.LEAVING
    edit = publish.server_edit(models.ServerId(server), state)
    with contextlib.closing(session.Session(cfg)) as fleet_session:
        result = fleet_session.apply(edit, publish.ForkBase.NEITHER, partial_fleet)
        _report_result(fleet_session, result, timeout, as_json)


def exit_code(exc: errors.DotterelfrontError) -> int:
    """Returns the exit code of a command that failed with an error."""
    return EXIT_CODE_BY_ERROR.get(type(exc), 1)


def print_error(exc: errors.DotterelfrontError, as_json: bool) -> None:
    """Prints an error with its code and advice on how to proceed."""
    advice = ADVICE.get(exc.code, "")
    if as_json:
        value = {"error": exc.code, "text": str(exc), "advice": advice} | _plain_details(exc)
        typer.echo(msgspec.json.encode(value).decode())
        return
    if isinstance(exc, publish.EditConflictError):
        for title, changes in (("theirs", exc.theirs), ("mine", exc.mine)):
            typer.echo(f"{title}, since the base:", err=True)
            for line in _describe(changes):
                typer.echo(f"  {line}", err=True)
        for conflict in exc.conflicts:
            typer.echo(f"conflict: {conflict.table} {conflict.name}", err=True)
    typer.echo(f"error {exc.code}: {exc}", err=True)
    if advice:
        typer.echo(advice, err=True)


def _plain_details(exc: errors.DotterelfrontError) -> dict[str, Any]:
    if isinstance(exc, errors.InvalidTablesError):
        return {"problems": exc.problems}
    if isinstance(exc, publish.EditConflictError):
        return {
            "theirs": _plain_changes(exc.theirs),
            "mine": _plain_changes(exc.mine),
            "conflicts": exc.conflicts,
        }
    return {}


def _report_result(fleet_session, result: publish.Result, timeout_s: float, as_json: bool) -> None:
    """Waits until an accepted edit is in force, prints the result and sets the exit code."""
    value: dict[str, Any] = {
        "outcome": result.outcome.value,
        "revision": result.root.revision if result.root else 0,
        "detail": result.detail,
    }
    if result.outcome is not publish.Outcome.ACCEPTED:
        advice = (
            "The store may have accepted the edit. Run `status`, then repeat the command; "
            "repeating an edit that is already in force changes nothing."
            if result.outcome is publish.Outcome.UNKNOWN
            else "Nothing was accepted. Repeat the command."
        )
        _print(as_json, value, f"{result.outcome.value}: {result.detail}. {advice}")
        raise typer.Exit(EXIT_CODE_BY_OUTCOME[result.outcome])
    fleet_session.sweep_unused_chunks()
    following, missing, wait_text = 0, [], f"within {timeout_s:g} s"
    interrupted = False
    try:
        for following, missing in fleet_session.wait_in_force(
            result.root.revision, timeout_s, time.monotonic
        ):
            _print_progress(following, following + len(missing))
    except KeyboardInterrupt:
        interrupted, wait_text = True, "before the interrupt"
    value |= {"following": following, "missing": missing}
    text = f"revision {value['revision']} accepted; in force on {following} VMs"
    if missing:
        text += f", not confirmed by {len(missing)} {wait_text}: {', '.join(missing)}"
    detail = f" ({result.detail})" if result.detail else ""
    _print(as_json, value, text + detail)
    if interrupted or (missing and timeout_s > 0):
        raise typer.Exit(EXIT_NOT_IN_FORCE)


def _print_progress(following: int, total: int) -> None:
    if sys.stderr.isatty():
        end = "\n" if following == total else ""
        sys.stderr.write(f"\rin force on {following} of {total} VMs{end}")
        sys.stderr.flush()


def _print(as_json: bool, value: Any, text: str) -> None:
    typer.echo(msgspec.json.encode(value).decode() if as_json else text)


def _status_row(vm: models.Vm, state, newest: int) -> dict[str, Any]:
    row = {"vm": vm.id, "zone": vm.zone, "leaving": vm.leaving, "answered": state is not None}
    if state is None:
        return row | {"following": False}
    following = state.revision == newest and state.ready and not state.alarms
    return row | {
        "revision": state.revision,
        "behind": newest - state.revision,
        "in_force_s": round(state.age_s, 1),
        "role": "watcher" if state.watcher else "follower",
        "store_heard_s": round(state.watcher_age_s, 1),
        "ready": state.ready,
        "alarms": state.alarms,
        "following": following,
    }


def _status_line(row: dict[str, Any]) -> str:
    if not row["answered"]:
        return f"{row['vm']:<16} {row['zone']:<10} no response"
    ready = "ready" if row["ready"] else "not ready"
    alarms = f", {row['alarms']} alarms" if row["alarms"] else ""
    return (
        f"{row['vm']:<16} {row['zone']:<10} revision {row['revision']} ({row['behind']} behind), "
        f"in force for {row['in_force_s']} s, {row['role']}, {ready}{alarms}"
    )


def _plain_changes(changes: revisions.Changes) -> list[dict[str, Any]]:
    return [
        {
            "table": table,
            "name": name,
            "before": msgspec.to_builtins(before),
            "after": msgspec.to_builtins(after),
        }
        for (table, name), (before, after) in changes.items()
    ]


def _describe(changes: revisions.Changes) -> Iterator[str]:
    for (table, name), (before, after) in changes.items():
        if before is None:
            yield f"+ {table} {name}: {_shorten(after)}"
        elif after is None:
            yield f"- {table} {name}"
        else:
            for change in _describe_fields(before, after):
                yield f"~ {table} {name}: {change}"


def _describe_fields(before: msgspec.Struct, after: msgspec.Struct) -> Iterator[str]:
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if field == "servers":
            yield from _describe_servers(old, new)
        elif old != new:
            yield f"{field} {_shorten(old)} -> {_shorten(new)}"


def _describe_servers(old: tuple[models.Server, ...], new: tuple[models.Server, ...]):
    before = {server.address: server for server in old}
    after = {server.address: server for server in new}
    for address in sorted(before.keys() | after.keys()):
        if address not in before:
            yield f"+ server {address}: {_shorten(after[address])}"
        elif address not in after:
            yield f"- server {address}"
        else:
            for change in _describe_fields(before[address], after[address]):
                yield f"server {address}: {change}"
    if list(before) != list(after) and before.keys() == after.keys():
        yield "the order of servers differs, which moves servers between shards"


def _shorten(value: Any) -> str:
    """Returns a value as JSON, truncated if it is long."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 300 else f"{text[:300]}... ({len(text)} characters)"
