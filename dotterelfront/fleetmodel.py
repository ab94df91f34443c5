"""Types of a fleet whose servers, VMs and configuration come from replicated records.

Times are in seconds unless a name ends in ``_ms``. The structs are immutable; a change is a new
value.
"""

import msgspec

from dotterelfront import models


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One key of the store at one revision; ``value`` is None for a removed key."""

    key: str
    revision: int
    value: bytes | None


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Records that changed up to ``revision``.

    ``from_listing`` is set if removals of keys that were created after the start revision may be
    missing. The changes are then of no use to a copy with a later revision than the start.
    """

    records: tuple[Record, ...]
    revision: int
    from_listing: bool = False


class Instance(msgspec.Struct, frozen=True):
    """One start of a backend server. The id distinguishes it from others at the same address.

    ``sequence`` grows with each report of the same start; a restart has a later ``started_ms``.
    """

    id: models.ServerId
    address: str
    pool: models.PoolName
    zone: models.ZoneName
    slots: int
    state: models.ServerState
    sequence: int
    warmup_left_s: float = 0.0
    started_ms: int = 0


class WeightedPool(msgspec.Struct, frozen=True):
    """One of the pools among which a route's requests are split by weight."""

    pool: models.PoolName
    weight: float


class FleetRoute(msgspec.Struct, frozen=True):
    """A route for requests to ``host`` whose path begins with ``path_prefix``.

    ``attempts`` is the maximum number of servers that one request is sent to. ``timeout_s`` is the
    maximum time that a caller waits. ``objective_s`` is the latency objective: a response after it
    is of less use to the caller.
    """

    name: models.RouteName
    host: str
    path_prefix: str
    weighted_pools: tuple[WeightedPool, ...]
    idempotent: bool
    priority: models.Priority
    timeout_s: float
    objective_s: float
    attempts: int
    methods: tuple[str, ...] = ()


class Configuration(msgspec.Struct, frozen=True):
    """The operators' accepted configuration."""

    revision: models.Revision
    routes: tuple[FleetRoute, ...]
    pools: frozenset[models.PoolName]
    head_timeout_s: float
    idle_timeout_s: float
    max_body_bytes: int
