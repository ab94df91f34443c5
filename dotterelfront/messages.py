"""Messages between VMs: msgspec structs encoded as MessagePack arrays, tagged with their type.

All messages are encoded by ``encode`` and decoded by ``decode``::

    raw = messages.encode(messages.Heartbeat("vm-1", incarnation=1, leaving=False))
    messages.decode(raw, limit_bytes=messages.CONTROL_LIMIT_BYTES)
"""

import msgspec

from dotterelfront import burn, ejection, errors, models

CONTROL_LIMIT_BYTES = 1_000_000
DATA_OVERHEAD_BYTES = 64_000


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages."""


class Call(Message, frozen=True):
    """Base class of messages that carry the HTTP request of a caller.

    ``call_id`` is unique within the sender's incarnation; the receiver drops duplicates.
    ``deadline`` is in seconds since the epoch.
    """

    sender: models.VmId
    incarnation: models.Incarnation
    call_id: int
    request_id: models.RequestId
    revision: models.Revision
    route: models.RouteName
    customer: models.CustomerId
    deadline: float
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Forward(Call, frozen=True):
    """Forwards a caller's request to the owner of a pool shard.

    ``idempotent`` comes from the sender's configuration of the route. The owner's configuration may
    differ; the request counts as idempotent only if both agree.
    """

    pool: models.PoolName
    shard: int
    idempotent: bool


class Deliver(Call, frozen=True):
    """Forwards a caller's request to the VM that issued its operation token."""

    operation: models.OperationId


class Forwarded(Message, frozen=True):
    """Reply to a ``Call``, with its ``call_id``.

    ``code`` is an error code, empty if a server responded.
    """

    outcome: models.Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    code: str = ""
    detail: str = ""
    call_id: int = 0


class Heartbeat(Message, frozen=True):
    """Reports that the sender is alive, and which VMs it cannot reach (at most 16)."""

    sender: models.VmId
    incarnation: models.Incarnation
    leaving: bool
    unreachable: tuple[models.VmId, ...] = ()


class HeartbeatReply(Message, frozen=True):
    """Reply to ``Heartbeat``."""

    sender: models.VmId
    incarnation: models.Incarnation
    leaving: bool


class BurnQuery(Message, frozen=True):
    """Requests the receiver's counters for the service-level objectives."""


class BurnReply(Message, frozen=True):
    """Reply to ``BurnQuery``: tallies by route and window; see ``burn``."""

    totals: dict[models.RouteName, dict[int, burn.Tally]]


class Rejected(Message, frozen=True):
    """Error reply to any message; ``code`` is the code of a class in ``errors``."""

    code: str
    detail: str = ""


class ConfigNotice(Message, frozen=True):
    """Summary of a VM's configuration.

    VMs send it as an announcement, in periodic exchanges and as the reply to both.
    ``watcher_age_s`` is the time since the latest reply of the store that the sender knows of, its
    own or another VM's. Revision 0 means no configuration.
    """

    sender: models.VmId
    address: str
    revision: models.Revision
    digest: str
    watcher_age_s: float


class ConfigRootPull(Message, frozen=True):
    """Requests the configuration root in force."""


class ConfigRoot(Message, frozen=True):
    """Reply to ``ConfigRootPull``: the encoded root, empty without a configuration."""

    root: bytes


class ConfigChunkPull(Message, frozen=True):
    """Requests configuration chunks by their ids."""

    chunks: tuple[str, ...]


class ConfigChunks(Message, frozen=True):
    """Reply to ``ConfigChunkPull``: the requested chunks that the sender has and that fit."""

    chunks: tuple[bytes, ...]


class ConfigStatusPull(Message, frozen=True):
    """Requests the state of the receiver's configuration."""


class ConfigStatus(Message, frozen=True):
    """Reply to ``ConfigStatusPull``. ``age_s`` is the time since the revision was adopted."""

    sender: models.VmId
    revision: models.Revision
    digest: str
    age_s: float
    watcher: bool
    watcher_age_s: float
    ready: bool
    alarms: int


class PermitRequest(Message, frozen=True):
    """Request of a shard owner to the holder of a pool's ejection right.

    ``record`` is the record of the right as the sender knows it, None if it knows none.
    """

    sender: models.VmId
    incarnation: models.Incarnation
    pool: models.PoolName
    shard: int
    request: ejection.ShardPermitRequest
    record: ejection.RightRecord | None = None


class PermitAnswer(Message, frozen=True):
    """Reply to ``PermitRequest``; ``answer`` is None if the sender does not hold the right."""

    answer: ejection.ShardPermitAnswer | None
    record: ejection.RightRecord | None = None


class PathCheck(Message, frozen=True):
    """Asks a VM whether it can connect to a backend server."""

    sender: models.VmId
    server: models.ServerId


class PathChecked(Message, frozen=True):
    """Reply to ``PathCheck``."""

    reachable: bool


AnyMessage = (
    Deliver
    | Forward
    | Forwarded
    | Heartbeat
    | HeartbeatReply
    | BurnQuery
    | BurnReply
    | Rejected
    | ConfigNotice
    | ConfigRootPull
    | ConfigRoot
    | ConfigChunkPull
    | ConfigChunks
    | ConfigStatusPull
    | ConfigStatus
    | PermitRequest
    | PermitAnswer
    | PathCheck
    | PathChecked
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(raw: bytes, limit_bytes: int) -> AnyMessage:
    """Decodes one message; raises ``errors.MessageError`` if it is malformed or too large."""
    if len(raw) > limit_bytes:
        raise errors.MessageError(f"message of {len(raw)} bytes exceeds the limit of {limit_bytes}")
    try:
        return _decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.MessageError(str(exc)) from exc
