"""Slot client: asks the nearest zone first and skips owners that do not answer."""

import asyncio
import math

import pytest

from dotterelfront import errors, fleet_messages, health, models, pools, slot_client

VM = models.Vm(models.VmId("me"), "me:1", models.ZoneName("a"), "r")
NO_FREE_SLOT, DEADLINE = pools.RefusalReason.NO_FREE_SLOT, pools.RefusalReason.DEADLINE


def vm(name):
    return models.Vm(models.VmId(name), f"{name}:1", models.ZoneName("a"), "r")


class Fleet:
    """Owners of two zones. ``script`` maps an owner to its replies; without any it is silent."""

    def __init__(
        self, monkeypatch, script, zones=("b", "a"), poll_s=9.0, incarnation=0, objective_s=1.0
    ):
        monkeypatch.setattr(slot_client, "REPLY_TIMEOUT_S", 0.0)
        monkeypatch.setattr(slot_client, "KEEPALIVE_INTERVAL_S", 0.0)
        monkeypatch.setattr(slot_client, "POLL_S", poll_s)
        self.objective_s = objective_s
        self.script = {name: list(replies) for name, replies in script.items()}
        self.sent, self.unreachable = [], []
        topology = slot_client.Topology(
            lambda pool: list(zones),
            lambda pool, zone: [vm(f"{zone}1"), vm(f"{zone}2")],
            lambda owner: self.unreachable.append(owner.id),
        )
        self.client = slot_client.SlotClient(VM, self.send, topology, incarnation)

    def send(self, owner, message):
        self.sent.append((owner.id, message))
        if isinstance(message, fleet_messages.SlotRequest) and self.script.get(owner.id):
            self.client.on_reply(reply(self.script[owner.id].pop(0), message.call_id))
        return True

    def acquire(self):
        async def acquire_and_release():
            now = asyncio.get_running_loop().time()
            requirements = slot_client.SlotRequirements(
                "orders",
                "r",
                models.Priority.NORMAL,
                True,
                now + 5.0,
                objective=now + self.objective_s,
            )
            lease = await self.client.acquire(requirements)
            lease.release(health.AttemptResult.ANSWERED)
            return lease

        return asyncio.run(acquire_and_release())

    @property
    def asked(self):
        return [
            (name, message.wait)
            for name, message in self.sent
            if isinstance(message, fleet_messages.SlotRequest)
        ]

    @property
    def released(self):
        return [
            (name, message.result)
            for name, message in self.sent
            if isinstance(message, fleet_messages.SlotRelease)
        ]


def reply(step, call_id):
    if step == "short wait":
        return fleet_messages.SlotRefusal(call_id, NO_FREE_SLOT, 0.4, expected_wait_s=0.05)
    if step == "all suspected":
        return fleet_messages.SlotRefusal(call_id, NO_FREE_SLOT, 0.4, expected_wait_s=math.inf)
    if isinstance(step, pools.RefusalReason):
        return fleet_messages.SlotRefusal(call_id, step, 0.4, expected_wait_s=0.4)
    if step == "waiting":
        return fleet_messages.SlotWaiting(call_id)
    return fleet_messages.SlotGrant(call_id, step)


def test_the_own_zone_is_asked_first(monkeypatch):
    """Guards against needless traffic between zones."""
    fleet = Fleet(monkeypatch, {"a1": ["i-1"], "b1": ["i-2"]})
    assert fleet.acquire().server == "i-1"
    assert fleet.asked == [("a1", False)]
    assert fleet.released == [("a1", health.AttemptResult.ANSWERED)]


def test_a_deadline_beyond_the_limit_of_owners_is_shortened(monkeypatch):
    """Guards against routes with a long timeout whose requests all fail."""
    fleet = Fleet(monkeypatch, {"a1": ["i-1"]})

    async def scenario():
        deadline = asyncio.get_running_loop().time() + 10 * fleet_messages.MAX_REMAINING_S
        requirements = slot_client.SlotRequirements(
            "orders", "r", models.Priority.NORMAL, True, deadline
        )
        return await fleet.client.acquire(requirements)

    assert asyncio.run(scenario()).server == "i-1"


def test_a_free_slot_in_another_zone_is_preferred_to_a_queue(monkeypatch):
    """Guards against requests that wait while other zones have free slots."""
    fleet = Fleet(monkeypatch, {"a1": [NO_FREE_SLOT], "b1": ["i-2"]})
    assert fleet.acquire().server == "i-2"


def test_a_short_wait_in_the_own_zone_is_preferred_to_another_zone(monkeypatch):
    """Guards against traffic between zones that only saves a wait of some milliseconds."""
    fleet = Fleet(monkeypatch, {"a1": ["short wait", "waiting", "i-1"], "b1": ["i-2"]})
    assert fleet.acquire().server == "i-1"
    assert ("b1", False) not in fleet.asked


@pytest.mark.parametrize(("objective_s", "server"), [(4.0, "i-1"), (1.0, "i-2")])
def test_wait_in_the_own_zone_depends_on_the_objective(monkeypatch, objective_s, server):
    """Guards against traffic between zones when the wait would not make the response late."""
    script = {"a1": [NO_FREE_SLOT, "waiting", "i-1"], "b1": ["i-2"]}
    assert Fleet(monkeypatch, script, objective_s=objective_s).acquire().server == server


def test_a_wait_that_exceeds_its_estimate_ends_in_another_zone(monkeypatch):
    """Guards against requests that keep waiting because a wait estimate was too low."""
    script = {"a1": ["short wait"] + ["waiting"] * 50_000, "b1": ["i-2"]}
    assert Fleet(monkeypatch, script, objective_s=0.24).acquire().server == "i-2"


def test_without_free_slots_in_any_zone_the_request_waits_in_its_own(monkeypatch):
    """Guards against refusing a request, or queueing it in another zone, when all are full."""
    fleet = Fleet(
        monkeypatch, {"a1": [NO_FREE_SLOT, "waiting", "waiting", "i-1"], "b1": [NO_FREE_SLOT]}
    )
    assert fleet.acquire().server == "i-1"
    assert fleet.asked[:3] == [("a1", False), ("b1", False), ("a1", True)]


def test_a_queued_request_takes_a_slot_that_becomes_free_in_another_zone(monkeypatch):
    """Guards against requests that wait in one zone while others have free slots again."""
    script = {"a1": [NO_FREE_SLOT] + ["waiting"] * 50, "b1": [NO_FREE_SLOT, "i-2"]}
    fleet = Fleet(monkeypatch, script, poll_s=0.0)
    assert fleet.acquire().server == "i-2"
    assert ("a1", health.AttemptResult.CANCELLED) in fleet.released


def test_a_silent_owner_is_skipped(monkeypatch):
    """Guards against requests that wait for a VM that has ended."""
    fleet = Fleet(monkeypatch, {"a2": ["i-1"]})
    assert fleet.acquire().server == "i-1"
    assert fleet.unreachable == ["a1"]
    assert ("a1", health.AttemptResult.CANCELLED) in fleet.released


def test_the_vm_grants_its_own_slots_when_no_owner_answers(monkeypatch):
    """Guards against a fleet that serves nothing while messages between VMs are lost."""
    fleet = Fleet(monkeypatch, {"me": ["i-3"]})
    assert fleet.acquire().server == "i-3"


def test_a_refusal_carries_the_retry_delay(monkeypatch):
    """Guards against an error with the default retry delay instead of the owner's estimate."""
    fleet = Fleet(monkeypatch, {"a1": [NO_FREE_SLOT, DEADLINE], "b1": [NO_FREE_SLOT]})
    with pytest.raises(errors.OverloadedError) as caught:
        fleet.acquire()
    assert caught.value.retry_after_s == 0.4
    assert str(caught.value) == "no slot is available: deadline"


def test_a_pool_without_servers_refuses_at_once(monkeypatch):
    """Guards against requests that wait until their deadline for a pool without servers."""
    fleet = Fleet(monkeypatch, {}, zones=())
    with pytest.raises(errors.OverloadedError):
        fleet.acquire()
    assert fleet.sent == []


def test_processes_of_one_vm_use_different_call_ids(monkeypatch):
    """Guards against a restarted VM that accepts replies and slots of its previous process."""
    ids = []
    for incarnation in (1_000, 1_001):
        fleet = Fleet(monkeypatch, {"a1": ["i-1"] * 50}, incarnation=incarnation)
        for _ in range(50):
            fleet.acquire()
        ids.append({message.call_id for _, message in fleet.sent})
    assert not ids[0] & ids[1]


def test_a_grant_of_an_owner_that_was_passed_over_is_not_used(monkeypatch):
    """Guards against a request that goes out twice around a change of owner.

    Both owners grant a slot, the first one late. The request uses one of them, and the other owner
    learns that its slot is not used.
    """
    fleet = Fleet(monkeypatch, {"a2": ["i-2"]})
    original = fleet.send

    def send(owner, message):
        if owner.id == "a2" and isinstance(message, fleet_messages.SlotRequest):
            [(_, first)] = [
                sent for sent in fleet.sent if sent[0] == "a1" and hasattr(sent[1], "pool")
            ]
            fleet.client.on_reply(reply("i-1", first.call_id))
        return original(owner, message)

    fleet.client._send = send
    assert fleet.acquire().server == "i-2"
    assert fleet.released == [
        ("a1", health.AttemptResult.CANCELLED),
        ("a2", health.AttemptResult.ANSWERED),
    ]
