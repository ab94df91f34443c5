"""Ids, tables and enums shared by all modules.

The structs are immutable; a changed configuration is a new ``Tables``. Times are in seconds, except
in fields whose name ends in ``_ms``.
"""

import enum
from typing import NewType

import msgspec

VmId = NewType("VmId", str)
Incarnation = NewType("Incarnation", int)
"""Start time of a proxy process in ms since the epoch; a restarted process has a larger value."""
ServerId = NewType("ServerId", str)
"""Address of a backend server, such as ``"10.0.0.7:8080"``."""
PoolName = NewType("PoolName", str)
RouteName = NewType("RouteName", str)
CustomerId = NewType("CustomerId", str)
ZoneName = NewType("ZoneName", str)
Revision = NewType("Revision", int)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)

NO_CUSTOMER = CustomerId("")


class ServerState(enum.Enum):
    """State of a server as configured by operators in the pools table."""

    ACTIVE = "active"
    LEAVING = "leaving"


class OperationPolicy(enum.Enum):
    """Whether a non-idempotent route requires an operation token."""

    OPTIONAL = "optional"
    REQUIRED = "required"


class Priority(enum.IntEnum):
    """Queueing priority of a route; lower values are served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


class Sensitivity(enum.Enum):
    """How much evidence is required to consider a server unhealthy; ``FAST`` requires the least."""

    FAST = "fast"
    BALANCED = "balanced"
    CAUTIOUS = "cautious"


class Outcome(enum.Enum):
    """What a caller may conclude about its request; value of header ``Dotterelfront-Outcome``."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Server(msgspec.Struct, frozen=True):
    """One backend server of a pool.

    ``slots`` limits its concurrent requests, ``connections`` the connections of each VM to it.
    """

    address: ServerId
    zone: ZoneName
    slots: int
    connections: int = 300
    state: ServerState = ServerState.ACTIVE


class Pool(msgspec.Struct, frozen=True):
    """Servers that provide the same service.

    ``floor`` is the number of healthy slots that ejections must leave.
    """

    name: PoolName
    servers: tuple[Server, ...]
    floor: int
    sensitivity: Sensitivity = Sensitivity.BALANCED
    warmup_s: float = 10.0


class Route(msgspec.Struct, frozen=True):
    """Requests that match ``host``, ``path_prefix`` and ``methods`` go to ``pool``.

    An empty ``host`` or ``methods`` matches every host or method. ``objective`` is the share of
    requests that must be answered within ``deadline_ms``.
    """

    name: RouteName
    path_prefix: str
    pool: PoolName
    host: str = ""
    methods: tuple[str, ...] = ()
    idempotent: bool = False
    operation: OperationPolicy = OperationPolicy.OPTIONAL
    priority: Priority = Priority.NORMAL
    deadline_ms: int = 2_000
    max_request_bytes: int = 1_000_000
    max_response_bytes: int = 4_000_000
    objective: float = 0.999
    customer_rate: float = 0.0
    """Requests/s allowed per customer, 0 for no limit."""


class Customer(msgspec.Struct, frozen=True):
    """Settings of one customer. ``rates`` in requests/s replace the route's ``customer_rate``."""

    name: CustomerId
    rates: dict[RouteName, float]


class Tables(msgspec.Struct, frozen=True):
    """One accepted configuration: all tables under one revision, with entries sorted by name."""

    revision: Revision
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    customers: tuple[Customer, ...] = ()


class Vm(msgspec.Struct, frozen=True):
    """One VM of the fleet. VMs with ``leaving`` set take no new roles.

    ``address`` is an IP address in the platform's list of VMs, and ``"ip:port"`` in the records
    that VMs write to the store.
    """

    id: VmId
    address: str
    zone: ZoneName
    region: str
    leaving: bool = False
