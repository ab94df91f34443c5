"""Ejection rights and permits with a fake store and fake messages; all calls run inline."""

import types

import msgspec
import pytest

from dotterelfront import (
    ejection,
    errors,
    health,
    messages,
    models,
    owner,
    permits,
    placement,
    store,
)

SERVERS = tuple(
    models.Server(models.ServerId(f"10.0.0.{i}:80"), models.ZoneName("z"), 4) for i in range(4)
)
POOL = models.Pool(models.PoolName("p"), SERVERS, floor=12)
TABLES = models.Tables(models.Revision(1), (), (POOL,))
BAD, OTHER = SERVERS[0].address, SERVERS[1].address


class FakeStore:
    """In-memory store with compare-and-swap; with ``lose_replies``, successful writes raise."""

    def __init__(self):
        self.entries: dict[str, store.Entry] = {}
        self.available, self.lose_replies = True, False

    def get(self, key):
        if not self.available:
            raise errors.StoreUnavailableError("down")
        return self.entries.get(key)

    def put(self, key, value, if_version):
        version = self.get(key).version if self.get(key) else 0
        if version != if_version:
            raise errors.StoreConflictError("another version")
        self.entries[key] = store.Entry(value, version + 1)
        if self.lose_replies:
            raise errors.StoreUnavailableError("reply lost")
        return version + 1


class FakeHealth:
    def __init__(self):
        self.evidence, self.path_checks, self.path_results, self.permitted_until = {}, [], [], {}

    def unhealthy(self):
        return self.evidence

    def cold(self, now):
        return ()

    def permit(self, server, valid_until):
        self.permitted_until[server] = valid_until

    def take_effects(self):
        pending, self.path_checks = self.path_checks, []
        return pending

    def on_path_check_result(self, server, reachable, now):
        self.path_results.append((server, reachable))


class InlineExecutor:
    """Runs submitted calls at once."""

    def submit(self, func, *args):
        func(*args)

    def shutdown(self, wait, cancel_futures):
        pass


class Fleet:
    """VMs whose control channels, owner tasks and workers are direct calls on one clock."""

    def __init__(self, shards):
        vms = [models.Vm(models.VmId(name), name, models.ZoneName("z"), "r") for name in ("a", "b")]
        self.vms = tuple(placement.owner_order(POOL.name, 0, vms))
        self.now = 100.0
        self.store = FakeStore()
        self.handlers: dict[tuple, object] = {}
        self.unreachable: set = set()
        self.health = [FakeHealth() for _ in self.vms]
        self.shards = [
            {owner.ShardKey(POOL.name, shard): types.SimpleNamespace(health=shard_health)}
            for shard, shard_health in zip(shards, self.health, strict=True)
        ]
        self.members = [self.start(index, 1) for index in range(len(self.vms))]

    def start(self, index, incarnation):
        vm = self.vms[index]
        channel = types.SimpleNamespace(
            register=lambda kind, handler: self.handlers.__setitem__((vm.id, kind), handler),
            call=self._call,
        )
        return permits.Permits(
            vm,
            incarnation,
            self.store,
            channel,
            lambda step: step(self.now),
            tables=lambda: TABLES,
            vms=lambda: self.vms,
            incarnation_of=lambda vm_id: None,
            executor=InlineExecutor(),
        )

    def _call(self, vm, message, timeout_s):
        if vm.id in self.unreachable:
            raise errors.PeerReplyLostError("no reply")
        raw = messages.encode(self.handlers[vm.id, type(message)](message))
        return messages.decode(raw, messages.CONTROL_LIMIT_BYTES)

    def run(self, seconds, running=(0, 1), listed=None):
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for index in running:
                self.members[index].on_list(self.vms if listed is None else listed)
                self.members[index].on_tick(self.shards[index], self.now)

    def ejected(self, index):
        return {
            server
            for server, until in self.health[index].permitted_until.items()
            if until > self.now
        }

    def record(self):
        value = self.store.entries[permits.record_key(POOL.name)].value
        return msgspec.json.decode(value, type=ejection.RightRecord)


@pytest.fixture
def fleet():
    return Fleet(shards=(0, 1))


def test_two_shard_owners_eject_within_the_floor(fleet):
    """Guards against two shard owners that each use the pool's whole capacity above the floor."""
    fleet.health[0].evidence, fleet.health[1].evidence = {BAD: 0.9}, {OTHER: 0.8}
    fleet.run(7)
    assert not fleet.ejected(0) | fleet.ejected(1)
    fleet.run(5)
    assert len(fleet.ejected(0) | fleet.ejected(1)) == 1
    fleet.health[0].evidence = {}
    fleet.run(3)
    assert fleet.ejected(1) == {OTHER}


def test_claim_succeeds_when_its_reply_is_lost(fleet):
    """Guards against a holder that is unaware that its write took effect."""
    fleet.store.lose_replies = True
    fleet.health[0].evidence = {BAD: 0.9}
    fleet.run(12)
    assert fleet.ejected(0) == {BAD}
    assert fleet.record() == ejection.RightRecord(fleet.vms[0].id, 1, 1)


def test_ejection_works_during_a_store_outage_of_hours(fleet):
    """Guards against ejections that depend on a store that is unavailable."""
    fleet.run(12)
    fleet.store.available = False
    fleet.run(7_200)
    fleet.health[1].evidence = {OTHER: 0.8}
    fleet.run(2)
    assert fleet.ejected(1) == {OTHER}


def test_stalled_holder_confirms_its_right_before_ejecting(fleet):
    """Guards against a resumed holder that ejects at the same time as its successor."""
    fleet.health[0].evidence = {BAD: 0.9}
    fleet.run(12)
    fleet.store.available = False
    fleet.now += 3.0
    fleet.run(3)
    assert not fleet.ejected(0)
    fleet.store.available = True
    fleet.run(3)
    assert fleet.ejected(0) == {BAD}


def test_restarted_holder_process_claims_the_right_at_once(fleet):
    """Guards against a right that remains with the previous process of the VM."""
    fleet.run(12)
    fleet.members[0] = fleet.start(0, 2)
    fleet.run(2)
    assert fleet.record() == ejection.RightRecord(fleet.vms[0].id, 2, 2)


def test_takeover_only_after_the_holder_left_the_list(fleet):
    """Guards against a takeover from a holder that is only unreachable."""
    fleet.shards[1] = {owner.ShardKey(POOL.name, 0): next(iter(fleet.shards[1].values()))}
    fleet.health[1].evidence = {OTHER: 0.8}
    fleet.run(12)
    fleet.unreachable = {fleet.vms[0].id}
    fleet.run(60, running=[1])
    assert fleet.record().holder == fleet.vms[0].id
    fleet.vms = fleet.vms[1:]
    fleet.run(9, running=[1])
    assert fleet.record().holder != fleet.vms[0].id
    fleet.run(4, running=[1])
    assert fleet.record() == ejection.RightRecord(fleet.vms[0].id, 1, 2)


def test_shutdown_releases_the_record(fleet):
    """Guards against a takeover delay of 10 s after each graceful shutdown."""
    fleet.health[0].evidence = {BAD: 0.9}
    fleet.run(12)
    fleet.members[0].release()
    assert fleet.record() == ejection.RightRecord(ejection.NO_HOLDER, 0, 1)


@pytest.mark.parametrize(("unreachable", "expected"), [((), False), (("b", "a"), None)])
def test_path_check_goes_to_another_vm(fleet, unreachable, expected, monkeypatch):
    """Guards against ejecting a server whose network path fails from this VM only."""
    monkeypatch.setattr(permits, "_can_connect", lambda server: False)
    fleet.unreachable = set(unreachable)
    fleet.health[0].path_checks = [health.RequestPathCheck(BAD)]
    fleet.run(0.5)
    assert fleet.health[0].path_results == [(BAD, expected)]
