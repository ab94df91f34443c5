"""Messages between VMs: what is dropped, counted and sent again."""

import asyncio
import itertools
import os

from dotterelfront import errors, fleet_messages, health, mesh, pools

_ports = itertools.count(22_000)


def address():
    pid = os.getpid()
    return f"127.{110 + pid % 100}.{pid // 100 % 250}.2:{next(_ports)}"


def release(call_id):
    return fleet_messages.SlotRelease("vm-1", call_id, health.AttemptResult.ANSWERED)


def test_each_message_survives_the_wire():
    grant = fleet_messages.SlotGrant(7, "i-1")
    refusal = fleet_messages.SlotRefusal(8, pools.RefuseReason.NO_ROOM, 0.5, float("inf"))
    for message in (release(1), grant, refusal):
        assert fleet_messages.decode(fleet_messages.encode(message)) == message


def test_bytes_that_are_no_message_are_counted_and_dropped():
    """Guards against a VM that ends because of another writer's bytes."""
    received = []
    subject = mesh.Mesh(address(), received.append)
    for raw in (b"", b"\xff", fleet_messages.encode(release(1))[:-1]):
        subject._receive(raw)
    assert (received, subject.counters["malformed"]) == ([], 3)


def test_a_message_that_cannot_be_handled_does_not_end_the_next_ones():
    """Guards against one message that takes a VM out of the fleet."""
    received = []

    def handle(message):
        if message.call_id == 1:
            raise KeyError("unknown")
        received.append(message.call_id)

    subject = mesh.Mesh(address(), handle)
    for call_id in (1, 2):
        subject._receive(fleet_messages.encode(release(call_id)))
    assert (received, subject.counters["failed"]) == ([2], 1)


def test_messages_reach_a_peer_also_after_it_was_away_and_the_socket_reset():
    """Guards against a connection that stays silent after its peer started again."""

    async def play():
        received = asyncio.Queue()
        sender = mesh.Mesh(address(), lambda message: None)
        target = address()
        for call_id in (1, 2):
            listener = mesh.Mesh(target, received.put_nowait)
            listener.listen()
            task = asyncio.ensure_future(listener.run())
            sender.send(target, release(call_id))
            assert (await received.get()).call_id == call_id
            listener.close()
            await task
            sender.reset(target)
        sender.close()

    asyncio.run(play())


def test_a_taken_address_is_told_with_its_type():
    async def play():
        first, second = (mesh.Mesh(taken, lambda message: None) for _ in range(2))
        first.listen()
        try:
            second.listen()
        except errors.PeerError as exc:
            return exc.code
        finally:
            second.close()
            first.close()

    taken = address()
    assert asyncio.run(play()) == "PEER"
