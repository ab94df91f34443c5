"""Status of a fleet on the deployment platform, computed from the records in the store.

::

    status = build(store_records)
    print("\\n".join(as_lines(status)))     # configuration, VMs by zone, servers by pool

The functions do no I/O. Records that cannot be decoded are listed and otherwise ignored.
"""

import collections
from collections.abc import Iterable

import msgspec

from dotterelfront import errors, fleet_view, fleetmodel, models
from dotterelfront.platform import records


class PoolStatus(msgspec.Struct):
    """Numbers of servers and slots of one pool.

    ``slots`` and ``warming_up`` count only active servers.
    """

    active: int = 0
    leaving: int = 0
    warming_up: int = 0
    slots: int = 0


class FleetStatus(msgspec.Struct):
    """Status of a fleet.

    ``revision`` is None without a readable configuration. ``vms`` has the number of VMs by zone,
    ``unreadable`` the keys of records that cannot be decoded.
    """

    revision: models.Revision | None = None
    routes: int = 0
    vms: dict[str, int] = {}
    pools: dict[str, PoolStatus] = {}
    unreadable: list[str] = []


def build(store_records: Iterable[fleetmodel.Record]) -> FleetStatus:
    """Returns the status of a fleet.

    It includes the pools of the configuration that have no server.
    """
    status = FleetStatus(pools=collections.defaultdict(PoolStatus), vms=collections.Counter())
    for record in store_records:
        for prefix, add in _HANDLERS.items():
            if record.key.startswith(prefix):
                _add_record(status, record, add)
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


def _add_record(status: FleetStatus, record: fleetmodel.Record, add) -> None:
    try:
        add(status, record)
    except (errors.RecordError, msgspec.MsgspecError):
        status.unreadable.append(record.key)


def _add_configuration(status: FleetStatus, record: fleetmodel.Record) -> None:
    config = records.configuration(record.value)
    status.revision, status.routes = config.revision, len(config.routes)
    for pool in config.pools:
        status.pools[pool]  # creates the entry of a pool without servers


def _add_server(status: FleetStatus, record: fleetmodel.Record) -> None:
    server = records.server(record.key, record.value)
    pool = status.pools[server.pool]
    if server.state is models.ServerState.LEAVING:
        pool.leaving += 1
        return
    pool.active += 1
    pool.slots += server.slots
    pool.warming_up += server.warmup_left_s > 0


def _add_vm(status: FleetStatus, record: fleetmodel.Record) -> None:
    status.vms[msgspec.json.decode(record.value, type=fleet_view.VmRecord).zone] += 1


_HANDLERS = {
    records.CONFIG_KEY: _add_configuration,
    records.SERVERS_PREFIX: _add_server,
    fleet_view.VMS_PREFIX: _add_vm,
}
