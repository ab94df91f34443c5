"""Messages between VMs on the platform: large ones are compressed, malformed ones rejected."""

import json
import math
import random
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import copies
from dotterelfront import errors, fleet_messages, fleetmodel, health, pools

ROUTES = 1_450
VMS_OF_A_ZONE = 36
LINK_BITS_PER_S = 10e6
"""The slowest links of the largest deployments, and the number of VMs in their largest zone."""
MAX_APPLY_S = 2.5


def push(value):
    record = fleetmodel.Record("op/config", 7, value)
    return fleet_messages.Push(3, fleetmodel.Changes((record,), 7))


def large_configuration():
    rng = random.Random(1)

    def name():
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))

    hosts = [f"{name()}.example" for _ in range(12)]
    routes = {
        f"r-{name()}": {
            "host": rng.choice(hosts),
            "prefix": f"/{name()}/{name()}/",
            "service": rng.choice(hosts),
            "kind": "safe",
            "timeout": "2500ms",
            "goal": "1200ms",
            "attempts": 2,
            "priority": 1,
        }
        for _ in range(ROUTES)
    }
    return json.dumps({"version": "r12", "routes": routes}).encode()


def test_large_configuration_passes_a_slow_link_in_time():
    """Guards against a late change because pushes saturate the watcher's link."""
    raw = fleet_messages.encode(push(large_configuration()))
    assert len(raw) * VMS_OF_A_ZONE * 8 / LINK_BITS_PER_S < MAX_APPLY_S


def test_whole_copy_of_the_target_fleet_is_accepted():
    """Guards against VMs of a large fleet that can pull no copy, and never catch up or start."""
    copy = fleet_messages.Push(0, copies.whole_copy(1_600))
    assert len(copy.changes.records) > 17_600
    assert fleet_messages.decode(fleet_messages.encode(copy)) == copy


@given(st.binary(max_size=20_000))
def test_push_of_any_size_survives_encoding(value):
    assert fleet_messages.decode(fleet_messages.encode(push(value))) == push(value)


def test_short_message_is_not_compressed():
    """Guards against CPU time for compression on each slot message."""
    message = fleet_messages.SlotRelease("vm-1", 7, health.AttemptResult.ANSWERED)
    assert len(fleet_messages.encode(message)) < 40
    assert fleet_messages.decode(fleet_messages.encode(message)) == message


@pytest.mark.parametrize(
    "raw",
    [
        b"\xc1",
        b"\xc1junk",
        b"\xc1" + zlib.compress(b"no message"),
        fleet_messages.encode(push(b"x" * 10_000))[:-5],
        b"\xc1" + zlib.compress(bytes(2 * fleet_messages.MAX_MESSAGE_BYTES)),
    ],
    ids=["empty", "junk", "no message", "cut short", "too large"],
)
def test_malformed_compressed_message_is_rejected(raw):
    """Guards against a decompression bomb, and against uncaught exceptions of libraries."""
    with pytest.raises(errors.MessageError):
        fleet_messages.decode(raw)


SLOT_REQUEST = ["SlotRequest", "vm-1", "10.0.0.1:7620", 7, "p", "a", "r", 1, True, 1.0, True, False]
PING = ["Ping", "vm-1", "10.0.0.1:7620", "a", 1, False, 9, 1.0]
REFUSAL = ["SlotRefusal", 7, pools.RefusalReason.NO_FREE_SLOT.value, 0.5, math.inf]


@pytest.mark.parametrize(
    ("fields", "position", "values"),
    [
        (SLOT_REQUEST, 9, [math.nan, math.inf, 1e9]),
        (PING, 7, [math.nan, math.inf]),
        (REFUSAL, 3, [math.nan, math.inf]),
        (REFUSAL, 4, [math.nan]),
    ],
)
def test_a_time_that_is_no_number_is_rejected(fields, position, values):
    """Guards against a slot that is never reclaimed, and against a VM that never retries."""
    fleet_messages.decode(msgspec.msgpack.encode(fields))
    for value in values:
        changed = [*fields[:position], value, *fields[position + 1 :]]
        with pytest.raises(errors.MessageError):
            fleet_messages.decode(msgspec.msgpack.encode(changed))
