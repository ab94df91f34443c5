"""Messages between VMs: malformed messages, failing handlers and reconnects."""

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


def test_messages_survive_encoding():
    grant = fleet_messages.SlotGrant(7, "i-1")
    refusal = fleet_messages.SlotRefusal(8, pools.RefusalReason.NO_FREE_SLOT, 0.5, float("inf"))
    for message in (release(1), grant, refusal):
        assert fleet_messages.decode(fleet_messages.encode(message)) == message


def test_malformed_messages_are_counted_and_dropped():
    """Guards against a VM that stops because of bytes from another sender."""
    received = []
    receiver = mesh.Mesh(address(), received.append)
    for raw in (b"", b"\xff", fleet_messages.encode(release(1))[:-1]):
        receiver._receive(raw)
    assert (received, receiver.counters["malformed"]) == ([], 3)


def test_failure_to_handle_a_message_does_not_affect_the_next():
    """Guards against one message that stops a VM from receiving any more."""
    received = []

    def handle(message):
        if message.call_id == 1:
            raise KeyError("unknown")
        received.append(message.call_id)

    receiver = mesh.Mesh(address(), handle)
    for call_id in (1, 2):
        receiver._receive(fleet_messages.encode(release(call_id)))
    assert (received, receiver.counters["failed"]) == ([2], 1)


def test_messages_and_bytes_are_counted_by_kind():
    """Guards against control traffic whose growth with the fleet nobody can see."""

    async def scenario():
        sender = mesh.Mesh(address(), lambda message: None)
        sender.send(address(), release(1))
        sender.close()
        return sender

    sender, receiver = asyncio.run(scenario()), mesh.Mesh(address(), lambda message: None)
    receiver._receive(fleet_messages.encode(release(1)))
    size = len(fleet_messages.encode(release(1)))
    assert (sender.messages, sender.bytes) == ({"sent SlotRelease": 1}, {"sent SlotRelease": size})
    assert receiver.bytes == {"received SlotRelease": size}


def test_messages_reach_a_restarted_peer_after_a_reset():
    """Guards against a connection that stays unresponsive after its peer restarted."""

    async def scenario():
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

    asyncio.run(scenario())


def test_address_in_use_raises_a_peer_error():
    async def scenario():
        first, second = (mesh.Mesh(in_use, lambda message: None) for _ in range(2))
        first.listen()
        try:
            second.listen()
        except errors.PeerError as exc:
            return exc.code
        finally:
            second.close()
            first.close()

    in_use = address()
    assert asyncio.run(scenario()) == "PEER"
