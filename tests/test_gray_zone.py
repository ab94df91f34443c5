"""Load of a small pool whose servers in one zone are all gray, while the other zones are full.

Three zones have two servers each with six slots. The servers of zone c fail every request after
3 ms. The other four servers can run 46 requests a second; 45 arrive, as many in each zone.
"""

import asyncio
import collections
import random

import pytest

from dotterelfront import (
    errors,
    fleet_messages,
    fleetmodel,
    health,
    models,
    pools,
    slot_client,
    slot_owner,
)
from tests import test_slot_client, test_slot_owner, virtual_time

POOL = models.PoolName("archive")
ZONES = tuple(models.ZoneName(name) for name in "abc")
GRAY_ZONE = ZONES[2]
SLOTS, WORK_S, FAIL_S = 6, 0.52, 0.003
RATE_PER_S, SECONDS = 45.0, 40.0
OBJECTIVE_S, TIMEOUT_S = 2.0, 4.0
ATTEMPTS = 2
FLOOR_WINDOW_S = 2.0


class Fleet:
    """One entry VM and one owner of the pool's slots per zone, on one event loop."""

    def __init__(self, gray_zones, idempotent):
        self.gray_zones, self.idempotent = gray_zones, idempotent
        self.rng = random.Random(7)
        self.owners = {zone: self._owner(zone) for zone in ZONES}
        self.clients = {zone: self._client(zone) for zone in ZONES}
        self.outcomes = collections.Counter()
        self.sent = collections.defaultdict(list)

    def _owner(self, zone):
        limits = slot_owner.RetryLimits(0.2, 3.0)
        core = slot_owner.SlotOwner(limits, self._reply, seed=ord(zone))
        instances = tuple(
            fleetmodel.Instance(
                models.ServerId(f"{zone}-{number}"),
                f"{zone}:{number}",
                POOL,
                zone,
                SLOTS,
                models.ServerState.ACTIVE,
                1,
            )
            for number in range(2)
        )
        core.set_servers(POOL, {zone: instances}, 0.0)
        return core

    def _client(self, zone):
        vm = self._vm(zone)
        topology = slot_client.Topology(
            lambda pool: list(ZONES), lambda pool, other: [self._vm(other)], lambda vm: None
        )
        return slot_client.SlotClient(vm, self._send, topology, incarnation=ord(zone))

    def _vm(self, zone):
        return models.Vm(models.VmId(f"vm-{zone}"), f"vm-{zone}", zone, "r")

    def _send(self, vm, message):
        loop = asyncio.get_running_loop()
        owner = self.owners[vm.zone]
        is_request = isinstance(message, fleet_messages.SlotRequest)
        handle = owner.request if is_request else owner.release
        loop.call_later(0.001, lambda: handle(message, loop.time()))
        return True

    def _reply(self, address, message):
        client = self.clients[address.removeprefix("vm-")]
        asyncio.get_running_loop().call_later(0.001, client.on_reply, message)

    async def play(self):
        loop = asyncio.get_running_loop()
        ticking = asyncio.ensure_future(self._tick())
        tasks = []
        while loop.time() < SECONDS:
            await asyncio.sleep(self.rng.expovariate(RATE_PER_S))
            tasks.append(asyncio.ensure_future(self._request(self.rng.choice(ZONES))))
        await asyncio.gather(*tasks)
        ticking.cancel()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.05)
            for owner in self.owners.values():
                owner.tick(asyncio.get_running_loop().time())

    async def _request(self, zone):
        now = asyncio.get_running_loop().time()
        avoid = ()
        for attempt in range(ATTEMPTS if self.idempotent else 1):
            requirements = slot_client.SlotRequirements(
                POOL,
                models.RouteName("archive"),
                models.Priority.NORMAL,
                self.idempotent,
                deadline=now + TIMEOUT_S,
                is_retry=attempt > 0,
                avoid=avoid,
                objective=now + OBJECTIVE_S,
            )
            try:
                lease = await self.clients[zone].acquire(requirements)
            except errors.OverloadedError:
                self.outcomes["refused" if not avoid else "failed"] += 1
                return
            if await self._run(lease):
                self.outcomes["answered"] += 1
                return
            avoid = (*avoid, lease.server)
        self.outcomes["failed"] += 1

    async def _run(self, lease):
        self.sent[lease.server].append(asyncio.get_running_loop().time())
        is_gray = lease.server[0] in self.gray_zones
        await asyncio.sleep(FAIL_S if is_gray else self.rng.expovariate(1 / WORK_S))
        result = health.AttemptResult.SERVER_ERROR if is_gray else health.AttemptResult.ANSWERED
        lease.release(result)
        return not is_gray


def play(gray_zones=(GRAY_ZONE,), idempotent=True):
    fleet = Fleet(gray_zones, idempotent)
    virtual_time.run(fleet.play())
    return fleet


@pytest.mark.parametrize(("idempotent", "failed"), [(True, 0.01), (False, 0.05)])
def test_requests_wait_in_other_zones_for_servers_that_are_not_suspected(idempotent, failed):
    """Guards against a zone that fails all requests for which the other zones have no free slot."""
    fleet = play(idempotent=idempotent)
    total = fleet.outcomes.total()
    assert fleet.outcomes["failed"] < failed * total
    assert fleet.outcomes["answered"] > 0.85 * total


def pauses(fleet, server):
    """Returns the times between the requests of a server."""
    times = [0.0, *fleet.sent[server], SECONDS]
    return [later - earlier for earlier, later in zip(times, times[1:], strict=False)]


def test_suspected_servers_get_few_requests():
    """Guards against a gray zone that is used like a healthy one, and one that is never used."""
    fleet = play()
    for server in ("c-0", "c-1"):
        assert max(pauses(fleet, server)) < 3 * FLOOR_WINDOW_S
        assert len(fleet.sent[server]) < SECONDS


@pytest.mark.parametrize("idempotent", [True, False])
def test_suspected_servers_are_tested_while_requests_are_refused(idempotent):
    """Guards against the floor: servers count as healthy two seconds after their last failure."""
    fleet = play(gray_zones=ZONES[1:], idempotent=idempotent)
    assert fleet.outcomes["refused"] > 0.1 * fleet.outcomes.total()
    for server in ("b-0", "b-1", "c-0", "c-1"):
        assert max(pauses(fleet, server)) < FLOOR_WINDOW_S


def test_requests_use_suspected_servers_when_all_are_suspected():
    """Guards against holding requests for better servers that no zone has."""
    fleet = play(gray_zones=ZONES)
    assert sum(map(len, fleet.sent.values())) > 0.9 * fleet.outcomes.total()


@pytest.mark.parametrize(("healthy_only", "sent"), [(True, 1), (False, 6)])
def test_a_queue_does_not_drain_into_a_server_that_turns_gray(healthy_only, sent):
    """Guards against a gray server that fails all requests that waited for a healthy one."""
    owner = test_slot_owner.Owner(names=("i-1",))
    for call_id in range(test_slot_owner.SLOTS + 5):
        owner.ask(call_id, healthy_only=healthy_only)
    owner.end(0, health.AttemptResult.SERVER_ERROR)
    waiting = range(test_slot_owner.SLOTS, test_slot_owner.SLOTS + 5)
    granted = [call_id for call_id in waiting if test_slot_owner.granted(owner.last(call_id))]
    assert len(granted) < sent
    for call_id in set(waiting) - set(granted):
        if healthy_only:
            assert owner.last(call_id).reason is slot_client.NO_FREE_SLOT


def test_a_request_leaves_a_zone_that_has_no_healthy_server_left(monkeypatch):
    """Guards against a refusal of a request that another zone can still serve in time."""
    full = slot_client.NO_FREE_SLOT
    script = {"a1": [full, "waiting", "all suspected"], "b1": [full, full, "waiting", "i-2"]}
    fleet = test_slot_client.Fleet(monkeypatch, script)
    assert fleet.acquire().server == "i-2"


@pytest.mark.parametrize(
    ("healthy_only", "reason"),
    [(True, slot_client.NO_FREE_SLOT), (False, pools.RefusalReason.OVERLOADED)],
)
def test_a_queue_moves_on_when_the_last_server_of_its_zone_leaves(healthy_only, reason):
    """Guards against refusals at a planned stop of servers while other zones have servers.

    Requests that may wait in another zone are told so, queued and new ones.
    """
    owner = test_slot_owner.Owner(names=("i-1",))
    waiting = range(test_slot_owner.SLOTS, test_slot_owner.SLOTS + 3)
    for call_id in range(waiting.stop):
        owner.ask(call_id, healthy_only=healthy_only)
    leaving = test_slot_owner.servers("i-1", state=models.ServerState.LEAVING)
    owner.core.set_servers(test_slot_owner.POOL, {test_slot_owner.ZONE: leaving}, 101.0)
    owner.ask(waiting.stop, healthy_only=healthy_only, now=101.0)
    refusals = [owner.last(call_id) for call_id in [*waiting, waiting.stop]]
    assert {refusal.reason for refusal in refusals} == {reason}
