"""Status of a fleet on the users' platform, from the records of the store.

::

    found = build(records)
    print("\\n".join(as_lines(found)))     # configuration, VMs by zone, servers by pool

Pure. Records that cannot be read are named; they count nowhere else.
"""

import collections
from collections.abc import Iterable

import msgspec

from dotterelfront import errors, fleet_view, fleetmodel, models
from dotterelfront.platform import records


class PoolStatus(msgspec.Struct):
    """Servers and slots of one pool; leaving servers' slots are not counted."""

    active: int = 0
    leaving: int = 0
    warming_up: int = 0
    slots: int = 0


class FleetStatus(msgspec.Struct):
    """What the store's records say; ``revision`` is None without a readable configuration."""

    revision: models.Revision | None = None
    routes: int = 0
    vms: dict[str, int] = {}
    pools: dict[str, PoolStatus] = {}
    unreadable: list[str] = []


def build(found: Iterable[fleetmodel.Record]) -> FleetStatus:
    """Returns the status; pools that the configuration names and that have no server are listed."""
    status = FleetStatus(pools=collections.defaultdict(PoolStatus), vms=collections.Counter())
    for record in found:
        for prefix, take in _TAKERS.items():
            if record.key.startswith(prefix):
                _take(status, record, take)
    status.pools = dict(sorted(status.pools.items()))
    status.vms = dict(sorted(status.vms.items()))
    return status


def as_lines(status: FleetStatus) -> list[str]:
    """Returns the status as lines for a terminal."""
    config = "none" if status.revision is None else f"{status.revision}, {status.routes} routes"
    zones = ", ".join(f"{zone} {count}" for zone, count in status.vms.items())
    lines = [f"configuration: {config}", f"VMs: {sum(status.vms.values())} ({zones or 'none'})"]
    for name, pool in status.pools.items():
        lines.append(
            f"pool {name}: {pool.active} servers, {pool.slots} slots,"
            f" {pool.leaving} leaving, {pool.warming_up} warming up"
        )
    lines += [f"unreadable: {key}" for key in status.unreadable]
    return lines


def _take(status: FleetStatus, record: fleetmodel.Record, take) -> None:
    try:
        take(status, record)
    except (errors.RecordError, msgspec.MsgspecError):
        status.unreadable.append(record.key)


def _take_configuration(status: FleetStatus, record: fleetmodel.Record) -> None:
    config = records.configuration(record.value)
    status.revision, status.routes = config.revision, len(config.routes)
    for pool in config.pools:
        status.pools[pool]


def _take_server(status: FleetStatus, record: fleetmodel.Record) -> None:
    server = records.server(record.key, record.value)
    pool = status.pools[server.pool]
    if server.state is models.ServerState.LEAVING:
        pool.leaving += 1
        return
    pool.active += 1
    pool.slots += server.slots
    pool.warming_up += server.warmup_left_s > 0


def _take_vm(status: FleetStatus, record: fleetmodel.Record) -> None:
    status.vms[msgspec.json.decode(record.value, type=fleet_view.VmRecord).zone] += 1


_TAKERS = {
    records.CONFIG_KEY: _take_configuration,
    records.SERVERS_PREFIX: _take_server,
    fleet_view.VMS_PREFIX: _take_vm,
}
