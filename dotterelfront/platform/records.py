"""Decodes the records of the platform's store into the package's types.

::

    server = records.server("servers/i-7f3a91c2", raw)
    config = records.configuration(raw)   # revision, routes, weighted pools, limits

A record that another writer corrupted raises ``errors.RecordError``; no part of it is used.
"""

import ipaddress
import re
from typing import Annotated, Any

import msgspec

from dotterelfront import codec, errors, fleetmodel, models
from dotterelfront.platform import formats

CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"
OWN_PREFIX = "dotterelfront/"
"""Prefix of the keys that the fleet itself writes."""

_STATE_BY_NAME = {"ready": models.ServerState.ACTIVE, "draining": models.ServerState.LEAVING}
_IDEMPOTENT_BY_KIND = {"safe": True, "download": True, "unsafe": False}
"""Whether requests of a kind are idempotent."""
MAX_RECORD_BYTES = 4_000
"""A record of a server or VM has a few hundred bytes; larger ones are reduced by ``compact``."""
_UNREADABLE = b""
"""Value that every decoder rejects."""
MAX_SLOTS = 100_000
"""Larger slot counts are errors of the writer."""
_SERVER_ID = re.compile(r"[!-~]+")
"""The id is sent in a header, so it has only visible ASCII characters."""
_PORT = re.compile(r"[0-9]{1,5}")


class _ServerInfo(msgspec.Struct):
    service: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
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


def compact(record: fleetmodel.Record) -> fleetmodel.Record:
    """Returns a record without what no decoder reads, so that VMs do not copy it to each other.

    A large record of a server keeps only the known fields. Other large records, and keys of other
    writers, become malformed.
    """
    raw = record.value
    if raw is None or record.key == CONFIG_KEY:
        return record
    if record.key.startswith((SERVERS_PREFIX, OWN_PREFIX)) and len(raw) <= MAX_RECORD_BYTES:
        return record
    value = _known_fields(raw) if record.key.startswith(SERVERS_PREFIX) else _UNREADABLE
    return fleetmodel.Record(record.key, record.revision, value)


def _known_fields(raw: bytes) -> bytes:
    """Returns the known fields of a server's record, nothing if it is malformed or still large."""
    try:
        value = msgspec.json.encode(_decode(raw, _ServerRecord))
    except errors.RecordError:
        return _UNREADABLE
    return value if len(value) <= MAX_RECORD_BYTES else _UNREADABLE


def server(key: str, raw: bytes) -> fleetmodel.Instance:
    """Decodes the record of a server; raises ``errors.RecordError``."""
    record = _decode(raw, _ServerRecord)
    server_id = key.removeprefix(SERVERS_PREFIX)
    state = _STATE_BY_NAME.get(record.status.state)
    if state is None or not _SERVER_ID.fullmatch(server_id) or not _is_address(record.addr):
        raise errors.RecordError(f"{key}: invalid id, state or address of a server")
    return fleetmodel.Instance(
        id=models.ServerId(server_id),
        address=record.addr,
        pool=models.PoolName(record.info.service),
        zone=models.ZoneName(record.info.zone),
        slots=record.info.slots,
        state=state,
        sequence=record.status.seq,
        warmup_left_s=formats.seconds(record.status.warmup_left),
        started_ms=record.born,
    )


def configuration(raw: bytes) -> fleetmodel.Configuration:
    """Decodes the operators' configuration; raises ``errors.RecordError``."""
    record = _decode(raw, _ConfigRecord)
    return fleetmodel.Configuration(
        revision=formats.revision(record.version),
        routes=tuple(_route(name, route) for name, route in sorted(record.routes.items())),
        pools=frozenset(models.PoolName(name) for name in record.services),
        head_timeout_s=formats.seconds(record.limits.header_timeout),
        idle_timeout_s=formats.seconds(record.limits.idle_timeout),
        max_body_bytes=record.limits.max_body_bytes,
    )


def _route(name: str, record: _RouteRecord) -> fleetmodel.FleetRoute:
    weighted_pools = tuple(
        fleetmodel.WeightedPool(models.PoolName(backend.service), backend.weight)
        for backend in record.weighted_backends
    ) or (
        fleetmodel.WeightedPool(models.PoolName(record.service), 1.0),
    )
    return fleetmodel.FleetRoute(
        name=models.RouteName(name),
        host=record.host.lower(),
        path_prefix=record.prefix,
        weighted_pools=weighted_pools,
        # Requests of an unknown kind count as non-idempotent.
        idempotent=_IDEMPOTENT_BY_KIND.get(record.kind, False),
        priority=models.Priority(min(max(record.priority, 0), max(models.Priority))),
        timeout_s=formats.seconds(record.timeout),
        objective_s=formats.seconds(record.goal),
        attempts=max(1, record.attempts),
    )


def _is_address(text: str) -> bool:
    """Whether a text is an IPv4 address with a port, such as ``10.0.0.7:8080``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return bool(_PORT.fullmatch(port)) and 0 < int(port) <= 65_535


def _decode(raw: bytes, record_type: type) -> Any:
    try:
        return msgspec.json.decode(raw, type=record_type)
    except codec.DECODE_ERRORS as exc:
        raise errors.RecordError(str(exc)) from exc
