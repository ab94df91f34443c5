"""Messages between the VMs of a fleet: msgspec structs in MessagePack, tagged by type.

All messages are one-way; a reply is a separate message to the sender's address::

    raw = fleet_messages.encode(SlotRelease(sender, 7, health.AttemptResult.ANSWERED))
    fleet_messages.decode(raw)

Large messages are compressed, because a watcher pushes a configuration of 1,450 routes to all VMs
of its zone, and the links of the smallest VMs carry 10 Mbit/s.
"""

import math
import zlib

import msgspec

from dotterelfront import codec, errors, fleetmodel, health, models, pools, record_patches

MAX_REMAINING_S = 600.0
"""Longest time until the deadline of a request that an owner accepts."""


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages."""


class SlotRequest(Message, frozen=True):
    """Asks the owner of a pool's servers in a zone for a slot; the sender chooses ``call_id``.

    ``remaining_s`` is the time until the request's deadline. Without ``wait``, the reply is a free
    slot or a refusal at once. ``is_retry`` is set for a retry of a request that was already sent to
    a server, and ``avoid`` lists servers to grant only when no other one has a free slot. Servers
    in ``connected`` are preferred, which saves a new connection. With ``healthy_only`` the request
    waits only until all servers are suspected, because it can wait in another zone. Servers in
    ``excluded`` are not granted. A second message with the same ``call_id`` asks whether the
    request is still queued.
    """

    sender: models.VmId
    reply_to: str
    call_id: int
    pool: models.PoolName
    zone: models.ZoneName
    route: models.RouteName
    priority: models.Priority
    idempotent: bool
    remaining_s: float
    wait: bool
    is_retry: bool
    avoid: tuple[models.ServerId, ...] = ()
    connected: tuple[models.ServerId, ...] = ()
    healthy_only: bool = False
    excluded: tuple[models.ServerId, ...] = ()

    def __post_init__(self):
        # A slot with a deadline that is no number would never be reclaimed.
        if not self.remaining_s <= MAX_REMAINING_S:
            raise ValueError(f"remaining_s is {self.remaining_s}")


class SlotWaiting(Message, frozen=True):
    """The request is queued for a slot."""

    call_id: int


class SlotGrant(Message, frozen=True):
    """The request may be sent to ``server``; the slot must be released afterwards."""

    call_id: int
    server: models.ServerId


class SlotRefusal(Message, frozen=True):
    """No slot is granted.

    ``retry_after_s`` is the time after which the caller may retry. ``expected_wait_s`` is the
    expected wait in the queue, which is infinite when no server is healthy. ``trial_due`` is set
    when none is and one of them should be tested by a request.
    """

    call_id: int
    reason: pools.RefusalReason
    retry_after_s: float
    expected_wait_s: float
    trial_due: bool = False

    def __post_init__(self):
        if not math.isfinite(self.retry_after_s) or math.isnan(self.expected_wait_s):
            raise ValueError(f"retry {self.retry_after_s}, wait {self.expected_wait_s}")


class SlotRelease(Message, frozen=True):
    """The request has ended, or is no longer queued."""

    sender: models.VmId
    call_id: int
    result: health.AttemptResult


class Ping(Message, frozen=True):
    """Announces that the sender runs and which revision it has.

    ``reply_requested`` asks for a ping back. ``store_available_s`` is set by a VM that watches the
    store: for how long the store has been available.
    """

    sender: models.VmId
    reply_to: str
    zone: models.ZoneName
    incarnation: models.Incarnation
    leaving: bool
    revision: int
    store_available_s: float | None
    reply_requested: bool = False

    def __post_init__(self):
        if self.store_available_s is not None and not math.isfinite(self.store_available_s):
            raise ValueError(f"store_available_s is {self.store_available_s}")


class Notice(Message, frozen=True):
    """Announces a change, up to ``revision``, that all VMs must apply within seconds."""

    reply_to: str
    revision: int


class ServerLeaving(Message, frozen=True):
    """Tells the owner of a pool's servers that one of them leaves, by its own response.

    ``started_ms`` identifies the start of the server. The message is a hint that saves grants; each
    VM keeps away from the servers that told it themselves.
    """

    server: models.ServerId
    started_ms: int
    pool: models.PoolName


class Pull(Message, frozen=True):
    """Asks for the changes after a revision; the push returns the same ``forward_to_zone``.

    With ``accepts_patches``, the reply may be a ``PatchPush``.
    """

    reply_to: str
    after: int
    forward_to_zone: bool = False
    accepts_patches: bool = False


class Push(Message, frozen=True):
    """Carries the changes after the revision ``after``.

    With ``forward_to_zone``, the receiver pushes them to the VMs of its zone.
    """

    after: int
    changes: fleetmodel.Changes
    forward_to_zone: bool = False


class PatchPush(Message, frozen=True):
    """A ``Push`` whose large records are patches of the versions that the receiver should have.

    A receiver with other versions pulls whole records from ``reply_to``.
    """

    reply_to: str
    after: int
    changes: fleetmodel.Changes
    patches: tuple[record_patches.Patch, ...]
    forward_to_zone: bool = False


AnyMessage = (
    SlotRequest
    | SlotWaiting
    | SlotGrant
    | SlotRefusal
    | SlotRelease
    | Ping
    | Notice
    | Pull
    | Push
    | PatchPush
    | ServerLeaving
)

COMPRESS_FROM_BYTES = 4_000
"""Compressing smaller messages saves no relevant bandwidth; slot messages have about 100 bytes."""
COMPRESSION_LEVEL = 1
"""Compresses 258 KB of routes to 42 KB in 1.6 ms; level 6 takes twice the time for 37 KB."""
MAX_MESSAGE_BYTES = 16_000_000
"""A push may hold the whole configuration, which is limited to one value of the store, and the
records of all servers and VMs: 4.2 MB for 1,600 VMs and 16,000 servers."""
_COMPRESSED = b"\xc1"
"""First byte of a compressed message; MessagePack never uses it."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    raw = _encoder.encode(message)
    if len(raw) < COMPRESS_FROM_BYTES:
        return raw
    return _COMPRESSED + zlib.compress(raw, COMPRESSION_LEVEL)


def decode(raw: bytes) -> AnyMessage:
    """Decodes and returns a message; raises ``errors.MessageError``."""
    try:
        return _decoder.decode(_decompress(raw))
    except (*codec.DECODE_ERRORS, zlib.error) as exc:
        raise errors.MessageError(str(exc)) from exc


def _decompress(raw: bytes) -> bytes:
    if not raw.startswith(_COMPRESSED):
        return raw
    stream = zlib.decompressobj()
    data = stream.decompress(raw[1:], MAX_MESSAGE_BYTES)
    if not stream.eof:
        raise errors.MessageError(
            f"compressed message is truncated, or over {MAX_MESSAGE_BYTES} bytes"
        )
    return data
