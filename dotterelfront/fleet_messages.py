"""Messages between the VMs of a fleet: msgspec structs in MessagePack, tagged by type.

All are one-way; a reply is a message of its own to the sender's address::

    raw = fleet_messages.encode(SlotRelease(sender, 7, health.AttemptResult.ANSWERED))
    fleet_messages.decode(raw)

Large messages are compressed: a configuration of 1,450 routes goes to all VMs of a zone, and the
links of the smallest VMs carry 10 Mbit/s.
"""

import zlib

import msgspec

from dotterelfront import errors, fleetmodel, health, models, pools


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages."""


class SlotRequest(Message, frozen=True):
    """Asks the owner of a pool's servers in a zone for a slot; ``call_id`` is the sender's.

    ``left_s`` is the time in which the request must end. Without ``wait`` the answer is a free slot
    or a refusal. ``repeat`` says that the request was sent to a server before. A second message
    with the same ``call_id`` asks whether the request still waits.
    """

    sender: models.VmId
    reply_to: str
    call_id: int
    pool: models.PoolName
    zone: models.ZoneName
    route: models.RouteName
    priority: models.Priority
    idempotent: bool
    left_s: float
    wait: bool
    repeat: bool
    avoid: tuple[models.ServerId, ...] = ()


class SlotWaiting(Message, frozen=True):
    """The request waits for a slot."""

    call_id: int


class SlotGrant(Message, frozen=True):
    """The request may be sent to ``server``; it then must be released."""

    call_id: int
    server: models.ServerId


class SlotRefusal(Message, frozen=True):
    """There is no slot.

    ``retry_after_s`` is when the caller may come back, ``wait_s`` the expected wait in the queue,
    which is infinite where no server is good.
    """

    call_id: int
    reason: pools.RefuseReason
    retry_after_s: float
    wait_s: float


class SlotRelease(Message, frozen=True):
    """The request has ended, or no longer waits."""

    sender: models.VmId
    call_id: int
    result: health.AttemptResult


class Ping(Message, frozen=True):
    """Says that the sender lives and which changes it has; ``answer`` asks for a ping in return.

    ``well_s`` is set by a VM that watches the store: for how long the store has been well.
    """

    sender: models.VmId
    reply_to: str
    zone: models.ZoneName
    incarnation: models.Incarnation
    leaving: bool
    revision: int
    well_s: float | None
    answer: bool = False


class Notice(Message, frozen=True):
    """Says that the sender has a change, up to ``revision``, that binds all VMs within seconds."""

    reply_to: str
    revision: int


class Pull(Message, frozen=True):
    """Asks for the changes after a revision; ``pass_on`` comes back with the push."""

    reply_to: str
    after: int
    pass_on: bool = False


class Push(Message, frozen=True):
    """Changes that follow on the revision ``after``.

    With ``pass_on`` the receiver sends them to the VMs of its zone.
    """

    after: int
    changes: fleetmodel.Changes
    pass_on: bool = False


AnyMessage = (
    SlotRequest | SlotWaiting | SlotGrant | SlotRefusal | SlotRelease | Ping | Notice | Pull | Push
)

COMPRESS_FROM_BYTES = 4_000
"""Smaller messages gain nothing that a link notices; slot messages have about 100 bytes."""
COMPRESSION_LEVEL = 1
"""258 KB of routes become 42 KB in 1.6 ms; level 6 takes twice the time for 37 KB."""
MAX_MESSAGE_BYTES = 4_000_000
"""A push holds the whole configuration, at most a value of the store, and all servers."""
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
    """Returns the message; raises ``errors.MessageError``."""
    try:
        return _decoder.decode(_decompressed(raw))
    except (msgspec.MsgspecError, zlib.error) as exc:
        raise errors.MessageError(str(exc)) from exc


def _decompressed(raw: bytes) -> bytes:
    if not raw.startswith(_COMPRESSED):
        return raw
    stream = zlib.decompressobj()
    found = stream.decompress(raw[1:], MAX_MESSAGE_BYTES)
    if not stream.eof:
        raise errors.MessageError(f"incomplete, or over {MAX_MESSAGE_BYTES} bytes")
    return found
