"""Decoding of messages that arrive from other VMs."""

import contextlib

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from dotterelfront import errors, messages, models, peers

LIMIT_BYTES = 500
FORWARD = messages.Forward(
    models.VmId("vm-1"), models.Incarnation(1), 7, models.RequestId("r"), models.Revision(1),
    models.RouteName("order"), models.NO_CUSTOMER, 5.0, "POST", "/order", (("a", "b"),), b"body",
    models.PoolName("p"), 0, False,
)  # fmt: skip
NESTED_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
LISTENER = peers.Listener("127.0.0.1:0", lambda message: message, 0, LIMIT_BYTES)


def _assert_counted_if_dropped(raw: bytes) -> None:
    dropped_before = LISTENER.counts.total()
    reply = LISTENER.answer(raw)
    assert (reply is None) == (LISTENER.counts.total() == dropped_before + 1)


@given(st.binary(max_size=600))
@example(b"\x91" * 5_000)
@example(b"\x91" * 400)
def test_random_bytes_are_counted_and_dropped(raw):
    """Guards against random bytes from the network that end a worker or reach a handler."""
    _assert_counted_if_dropped(raw)


@given(
    st.sampled_from(["Forward", "Deliver", "Forwarded", "Heartbeat"]),
    st.lists(NESTED_VALUES, max_size=16),
)
def test_wrong_fields_are_counted_and_dropped(tag, fields):
    """Guards against a well-formed message with fields of the wrong types reaching a handler."""
    _assert_counted_if_dropped(msgspec.msgpack.encode([tag, *fields]))


@given(st.integers(0, 200), st.integers(1, 255))
def test_corrupted_byte_raises_only_message_error(position, change):
    """Guards against a corrupted message that raises anything but ``MessageError``."""
    raw = bytearray(messages.encode(FORWARD))
    raw[position % len(raw)] ^= change
    with contextlib.suppress(errors.MessageError):
        assert isinstance(messages.decode(bytes(raw), LIMIT_BYTES), messages.Message)


def test_duplicate_call_is_counted_and_dropped():
    """Guards against handling a call twice because it arrives twice."""
    raw = messages.encode(FORWARD)
    assert LISTENER.answer(raw) == FORWARD
    assert LISTENER.answer(raw) is None
    assert LISTENER.counts["duplicate"] == 1


def test_oversized_message_is_dropped():
    """Guards against a valid message above the limit reaching a handler."""
    large = msgspec.structs.replace(FORWARD, call_id=8, body=b"x" * LIMIT_BYTES)
    assert LISTENER.answer(messages.encode(large)) is None
