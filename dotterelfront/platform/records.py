"""Records of the platform's store, decoded into the package's types.

::

    server = records.server("servers/i-7f3a91c2", raw)
    found = records.configuration(raw)   # revision, routes, split routes, limits

A record that another writer spoiled raises ``errors.RecordError``; it names nothing to use.
"""

from typing import Any

import msgspec

from dotterelfront import errors, fleetmodel, models
from dotterelfront.platform import formats

CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_STATES = {"ready": models.ServerState.ACTIVE, "draining": models.ServerState.LEAVING}
_KINDS = {"safe": True, "unsafe": False}
"""Whether requests of a kind may run more than once."""


class _ServerInfo(msgspec.Struct):
    service: str
    zone: str
    slots: int
    version: str | None = None


class _ServerStatus(msgspec.Struct, rename="kebab"):
    state: str
    seq: int
    warmup_left: str


class _ServerRecord(msgspec.Struct):
    addr: str
    info: _ServerInfo
    status: _ServerStatus
    born: int = 0


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _RouteRecord(msgspec.Struct, rename="kebab"):
    host: str
    prefix: str
    kind: str
    timeout: str
    goal: str
    priority: int = 1
    attempts: int = 1
    service: str = ""
    weighted_backends: list[_Backend] = []


class _ServiceRecord(msgspec.Struct, rename="kebab"):
    max_conns: int = 0


class _LimitsRecord(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout: str = "3000ms"
    idle_timeout: str = "15000ms"


class _ConfigRecord(msgspec.Struct):
    version: str
    routes: dict[str, _RouteRecord]
    services: dict[str, _ServiceRecord]
    limits: _LimitsRecord = msgspec.field(default_factory=_LimitsRecord)


def server(key: str, raw: bytes) -> fleetmodel.Instance:
    """Decodes the entry of a server; raises ``errors.RecordError``."""
    found = _decode(raw, _ServerRecord)
    state = _STATES.get(found.status.state)
    host, colon, port = found.addr.rpartition(":")
    if state is None or found.info.slots < 1 or not (host and colon and port.isdecimal()):
        raise errors.RecordError(f"{key}: not the entry of a server")
    return fleetmodel.Instance(
        id=models.ServerId(key.removeprefix(SERVERS_PREFIX)),
        address=found.addr,
        pool=models.PoolName(found.info.service),
        zone=models.ZoneName(found.info.zone),
        slots=found.info.slots,
        state=state,
        sequence=found.status.seq,
        warmup_left_s=formats.seconds(found.status.warmup_left),
        started_ms=found.born,
    )


def configuration(raw: bytes) -> fleetmodel.Configuration:
    """Decodes the operators' configuration; raises ``errors.RecordError``."""
    found = _decode(raw, _ConfigRecord)
    return fleetmodel.Configuration(
        revision=formats.revision(found.version),
        routes=tuple(_route(name, route) for name, route in sorted(found.routes.items())),
        pools=frozenset(models.PoolName(name) for name in found.services),
        head_timeout_s=formats.seconds(found.limits.header_timeout),
        idle_timeout_s=formats.seconds(found.limits.idle_timeout),
        max_body_bytes=found.limits.max_body_bytes,
    )


def _route(name: str, found: _RouteRecord) -> fleetmodel.FleetRoute:
    parts = tuple(
        fleetmodel.Part(models.PoolName(part.service), part.weight)
        for part in found.weighted_backends
    ) or (
        fleetmodel.Part(models.PoolName(found.service), 1.0),
    )
    return fleetmodel.FleetRoute(
        name=models.RouteName(name),
        host=found.host.lower(),
        path_prefix=found.prefix,
        parts=parts,
        # A kind that is not known may not be repeated.
        idempotent=_KINDS.get(found.kind, False),
        priority=models.Priority(min(max(found.priority, 0), max(models.Priority))),
        timeout_s=formats.seconds(found.timeout),
        objective_s=formats.seconds(found.goal),
        attempts=max(1, found.attempts),
    )


def _decode(raw: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.RecordError(str(exc)) from exc
