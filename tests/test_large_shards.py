"""Load of a zone with hundreds of servers of one pool, all granted by one small VM."""

import collections
import random

import pytest

from dotterelfront import health, models, pools, queueing, server_choice

SERVERS, SLOTS = 400, 6
MAX_CHECKED = 2 * (server_choice.SAMPLE_SERVERS + 6)
"""Servers that may be checked for a request that finds a free slot, twice: for a free slot, and for
the grant."""


def make_ticket(number, now, **changes):
    fields = {"idempotent": False, "deadline": now + 6.0, "enqueued": now}
    priority = models.Priority.NORMAL
    return queueing.Ticket(number, "r", models.NO_CUSTOMER, priority, **fields | changes)


class Zone:
    """One shard; counts the servers that are checked for each request."""

    def __init__(self, monkeypatch, count=SERVERS):
        self.names = [models.ServerId(f"i-{number}") for number in range(count)]
        servers = tuple(models.Server(name, "a", SLOTS) for name in self.names)
        pool = models.Pool("p", servers, floor=0, warmup_s=0.0)
        self.shard = pools.PoolShard(pool, servers, 0.0, rng=random.Random(3))
        self.checked = 0
        self.ids = iter(range(1_000_000))
        original = self.shard.health.eligible

        def eligible(*args):
            self.checked += 1
            return original(*args)

        monkeypatch.setattr(self.shard.health, "eligible", eligible)

    def submit(self, now, wait=False, **changes):
        """Submits a request; returns its effect and the number of servers that were checked."""
        self.checked = 0
        effects = self.shard.submit(make_ticket(next(self.ids), now, **changes), now, wait=wait)
        return (effects[0] if effects else None), self.checked


def test_a_request_does_not_check_all_servers(monkeypatch):
    """Guards against processor time that grows with the servers of a zone for each request."""
    zone = Zone(monkeypatch)
    for _ in range(SERVERS):
        effect, checked = zone.submit(1.0)
        assert isinstance(effect, pools.Grant)
        assert checked <= MAX_CHECKED


def test_load_stays_even(monkeypatch):
    """Guards against servers that are full while others are idle."""
    zone = Zone(monkeypatch)
    used = collections.Counter(zone.submit(1.0)[0].server for _ in range(2 * SERVERS))
    assert max(used.values()) <= 4
    assert len(used) > 0.9 * SERVERS


def test_the_last_free_slot_is_found(monkeypatch):
    """Guards against a refusal while one of hundreds of servers has a free slot."""
    zone = Zone(monkeypatch)
    granted = [zone.submit(1.0)[0] for _ in range(SERVERS * SLOTS)]
    assert all(isinstance(effect, pools.Grant) for effect in granted)
    assert isinstance(zone.submit(1.0)[0], pools.Refusal)
    zone.shard.complete(granted[7].attempt_id, health.AttemptResult.ANSWERED, 1.1)
    assert zone.submit(1.1)[0].server == granted[7].server


def test_a_freed_slot_is_granted_without_a_search(monkeypatch):
    """Guards against processor time that grows with the servers when the zone is full."""
    zone = Zone(monkeypatch)
    granted = [zone.submit(1.0)[0] for _ in range(SERVERS * SLOTS)]
    for _ in range(20):
        zone.submit(1.0, wait=True)
    for effect in granted[:20]:
        zone.checked = 0
        [grant] = zone.shard.complete(effect.attempt_id, health.AttemptResult.ANSWERED, 1.1)
        assert grant.server == effect.server
        assert zone.checked <= 2 * MAX_CHECKED


@pytest.mark.parametrize("suspected", [1, SERVERS // 2, SERVERS - 1])
def test_servers_that_are_not_suspected_are_preferred(monkeypatch, suspected):
    """Guards against gray servers that are used because the healthy ones are not looked at."""
    zone = Zone(monkeypatch)
    gray = set(zone.names[:suspected])
    for name in gray:
        zone.shard._suspicion.record_failure(name, 1.0)
    servers = [zone.submit(1.1)[0].server for _ in range(SLOTS)]
    assert not gray & set(servers)


def test_servers_that_the_floor_needs_are_used(monkeypatch):
    """Guards against unused servers that chance leaves out."""
    zone = Zone(monkeypatch)
    for name in zone.names:
        zone.shard._floor_guard.record_grant(name, 1.0 if name == "i-9" else 3.5)
    for _ in range(20):
        zone.shard._floor_guard.record_outcome(served=False, now=3.6)
    zone.shard._choice.starved = {zone.names[9]}
    assert zone.submit(3.7)[0].server == "i-9"


def test_a_connected_server_is_preferred(monkeypatch):
    """Guards against new connections to servers to which the VM has one."""
    monkeypatch.setattr(server_choice, "EXPLORE_SHARE", 0.0)
    zone = Zone(monkeypatch)
    server = zone.submit(1.0, connected=frozenset({zone.names[17]}))[0].server
    assert server == zone.names[17]
