"""Load pattern: stragglers. Three in a hundred requests take seven times as long as the others.

An idempotent request that hits one is sent to a second server with a free slot, and the first
answer counts. An order is never sent twice.
"""

import asyncio

import msgspec
import pytest

from dotterelfront import errors, fleet_messages, health, models, relay, slot_client
from tests import test_relay

RESULT = health.AttemptResult


class SlowServers(test_relay.Servers):
    """Each request takes its step's seconds; a step is the seconds and the name of a response."""

    def __init__(self, steps):
        super().__init__([])
        self.timed_steps, self.cancelled = list(steps), []

    async def send(self, server, req, remaining_s, reuse=True, may_send=None):
        self.sent.append((server.id, remaining_s))
        seconds, name = self.timed_steps.pop(0)
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled.append(server.id)
            raise
        step = test_relay.STEPS[name]
        if isinstance(step, Exception):
            raise step
        return step


def handle(steps, slots=None, idempotent=True, attempts=2, cancel_after_s=None):
    """Handles a request whose objective is 0.2 s; returns answer or error, slots and servers."""
    slots, servers = slots or test_relay.Slots(), SlowServers(steps)

    async def scenario():
        subject = relay.Relay(slots, relay.Fleet(test_relay.instance), servers)
        config = test_relay.configuration(idempotent=idempotent, attempts=attempts)
        route = msgspec.structs.replace(config.routes[0], objective_s=0.2, timeout_s=0.6)
        subject.configure(msgspec.structs.replace(config, routes=(route,)))
        call = test_relay.make_call(arrived=asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(cancel_after_s):
                return await subject.handle(call)
        except (errors.RequestError, TimeoutError) as exc:
            return exc

    return asyncio.run(scenario()), slots, servers


def test_a_straggler_is_answered_by_a_second_server():
    """Guards against look-ups that miss their deadline because one server took long."""
    answer, slots, servers = handle([(5.0, "answer"), (0.0, "answer")])
    assert answer.status == 200
    assert [server for server, _ in servers.sent] == ["i-1", "i-2"]
    assert servers.cancelled == ["i-1"]
    assert sorted(result.value for result in slots.results) == ["answered", "cancelled"]
    assert slots.all_requirements[1].is_retry
    assert not slots.all_requirements[1].may_wait


def test_a_usual_request_is_sent_once():
    """Guards against a retry budget that is spent on requests that take their usual time."""
    answer, _, servers = handle([(0.05, "answer")])
    assert answer.status == 200
    assert len(servers.sent) == 1


def test_an_order_is_never_hedged():
    """Guards against an order that runs twice."""
    answer, _, servers = handle([(0.3, "answer")], idempotent=False)
    assert answer.status == 200
    assert len(servers.sent) == 1


@pytest.mark.parametrize("second", ["failure", "broken", "not run"])
def test_the_first_server_still_counts_when_the_second_fails(second):
    """Guards against an answer that is ready and not delivered."""
    answer, _, servers = handle([(0.25, "answer"), (0.0, second)])
    assert answer.status == 200
    assert len(servers.sent) == 2


def test_the_second_server_still_counts_when_the_first_fails():
    """Guards against a failure that is reported while an answer is on its way."""
    answer, _, _ = handle([(0.15, "failure"), (0.1, "answer")])
    assert answer.status == 200


def test_without_a_free_slot_the_first_server_is_awaited():
    """Guards against hedges that queue at a load peak."""
    answer, slots, servers = handle([(0.3, "answer")], slots=test_relay.Slots(grants=1))
    assert answer.status == 200
    assert len(servers.sent) == 1
    assert len(slots.all_requirements) == 2


@pytest.mark.parametrize(("attempts", "sent"), [(1, 1), (2, 2), (3, 3)])
def test_hedges_count_as_attempts(attempts, sent):
    """Guards against a request that runs on more servers than its route allows."""
    steps = [(0.3, "failure"), (0.0, "failure"), (0.0, "failure"), (0.0, "failure")]
    _, _, servers = handle(steps, attempts=attempts)
    assert len(servers.sent) == sent


def test_a_caller_that_leaves_ends_both_requests():
    """Guards against servers that go on working for a caller that has left."""
    outcome, slots, servers = handle([(5.0, "answer"), (5.0, "answer")], cancel_after_s=0.3)
    assert isinstance(outcome, TimeoutError)
    assert sorted(servers.cancelled) == ["i-1", "i-2"]
    assert slots.results == [RESULT.CANCELLED, RESULT.CANCELLED]


def test_a_request_that_waits_for_a_slot_is_not_hedged():
    """Guards against one request that takes two places in the queues of a crowded pool."""

    class SlowSlots(test_relay.Slots):
        async def acquire(self, requirements):
            lease = await super().acquire(requirements)
            await asyncio.sleep(0.25)
            return lease

    answer, slots, servers = handle([(0.0, "answer")], slots=SlowSlots())
    assert answer.status == 200
    assert len(slots.all_requirements) == len(servers.sent) == 1


def test_a_hedge_takes_only_a_free_slot():
    """Guards against hedges that lengthen the queue of a pool without a free slot."""
    requirements = slot_client.SlotRequirements(
        test_relay.POOL, "r", models.Priority.NORMAL, True, 9.0, is_retry=True, may_wait=False
    )
    asked = []

    async def scenario():
        vm = models.Vm(models.VmId("vm-1"), "10.0.0.1:1", models.ZoneName("a"), "r")
        topology = slot_client.Topology(lambda pool: ["a"], lambda pool, zone: [vm], asked.append)

        def send(owner, message):
            if hasattr(message, "wait"):
                asked.append(message.wait)
                refusal = fleet_messages.SlotRefusal(
                    message.call_id, slot_client.NO_FREE_SLOT, 0.5, 0.5
                )
                asyncio.get_running_loop().call_soon(client.on_reply, refusal)
            return True

        client = slot_client.SlotClient(vm, send, topology)
        loop = asyncio.get_running_loop()
        timed = msgspec.structs.replace(requirements, deadline=loop.time() + 2.0)
        with pytest.raises(errors.OverloadedError):
            await client.acquire(timed)

    asyncio.run(scenario())
    assert asked == [False]
