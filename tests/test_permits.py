"""Rights and permits over messages and the store, with fakes for both; all calls run inline."""

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
    """Compare-and-swap of one process; ``lose_replies`` lets writes take effect unanswered."""

    def __init__(self):
        self.entries: dict[str, store.Entry] = {}
        self.up, self.lose_replies = True, False

    def get(self, key):
        if not self.up:
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
        self.bad, self.questions, self.answers, self.until = {}, [], [], {}

    def unhealthy(self):
        return self.bad

    def cold(self, now):
        return ()

    def permit(self, server, valid_until):
        self.until[server] = valid_until

    def take_effects(self):
        asked, self.questions = self.questions, []
        return asked

    def on_path_check_result(self, server, reachable, now):
        self.answers.append((server, reachable))


class Inline:
    def submit(self, function, *args):
        function(*args)

    def shutdown(self, wait, cancel_futures):
        pass


class Fleet:
    """VMs whose control channel, owner tasks and workers are plain calls on one clock."""

    def __init__(self, shards):
        vms = [models.Vm(models.VmId(name), name, models.ZoneName("z"), "r") for name in ("a", "b")]
        self.vms = tuple(placement.owner_order(POOL.name, 0, vms))
        self.now = 100.0
        self.store = FakeStore()
        self.handlers: dict[tuple, object] = {}
        self.unreachable: set = set()
        self.health = [FakeHealth() for _ in self.vms]
        self.shards = [
            {owner.ShardKey(POOL.name, shard): types.SimpleNamespace(health=fake)}
            for shard, fake in zip(shards, self.health, strict=True)
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
            executor=Inline(),
        )

    def _call(self, vm, message, timeout_s):
        if vm.id in self.unreachable:
            raise errors.PeerLostError("no reply")
        raw = messages.encode(self.handlers[vm.id, type(message)](message))
        return messages.decode(raw, messages.CONTROL_LIMIT_BYTES)

    def run(self, seconds, running=(0, 1), listed=None):
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for index in running:
                self.members[index].on_list(self.vms if listed is None else listed)
                self.members[index].on_tick(self.shards[index], self.now)

    def ejected(self, index):
        return {server for server, until in self.health[index].until.items() if until > self.now}

    def record(self):
        value = self.store.entries[permits.record_key(POOL.name)].value
        return msgspec.json.decode(value, type=ejection.Record)


@pytest.fixture
def fleet():
    return Fleet(shards=(0, 1))


def test_other_shard_ejects_with_a_permit_within_the_floor(fleet):
    """Guards against two shard owners that each use up the pool's whole reserve."""
    fleet.health[0].bad, fleet.health[1].bad = {BAD: 0.9}, {OTHER: 0.8}
    fleet.run(7)
    assert not fleet.ejected(0) | fleet.ejected(1)
    fleet.run(5)
    assert len(fleet.ejected(0) | fleet.ejected(1)) == 1
    fleet.health[0].bad = {}
    fleet.run(3)
    assert fleet.ejected(1) == {OTHER}


def test_lost_reply_to_the_claim(fleet):
    """Guards against a holder that does not know that its write took effect."""
    fleet.store.lose_replies = True
    fleet.health[0].bad = {BAD: 0.9}
    fleet.run(12)
    assert fleet.ejected(0) == {BAD}
    assert fleet.record() == ejection.Record(fleet.vms[0].id, 1, 1)


def test_store_outage_of_hours(fleet):
    """Guards against ejections that end because the store cannot confirm the record."""
    fleet.run(12)
    fleet.store.up = False
    fleet.run(7_200)
    fleet.health[1].bad = {OTHER: 0.8}
    fleet.run(2)
    assert fleet.ejected(1) == {OTHER}


def test_stalled_holder_waits_for_the_store(fleet):
    """Guards against a paused holder that ejects beside its successor."""
    fleet.health[0].bad = {BAD: 0.9}
    fleet.run(12)
    fleet.store.up = False
    fleet.now += 3.0
    fleet.run(3)
    assert not fleet.ejected(0)
    fleet.store.up = True
    fleet.run(3)
    assert fleet.ejected(0) == {BAD}


def test_restarted_process_takes_over_at_once(fleet):
    """Guards against a right that stays with a process that has ended."""
    fleet.run(12)
    fleet.members[0] = fleet.start(0, 2)
    fleet.run(2)
    assert fleet.record() == ejection.Record(fleet.vms[0].id, 2, 2)


def test_takeover_only_after_the_list_showed_the_holder_gone(fleet):
    """Guards against taking the right from a holder that is only unreachable."""
    fleet.shards[1] = {owner.ShardKey(POOL.name, 0): next(iter(fleet.shards[1].values()))}
    fleet.health[1].bad = {OTHER: 0.8}
    fleet.run(12)
    fleet.unreachable = {fleet.vms[0].id}
    fleet.run(60, running=[1])
    assert fleet.record().holder == fleet.vms[0].id
    fleet.vms = fleet.vms[1:]
    fleet.run(9, running=[1])
    assert fleet.record().holder != fleet.vms[0].id
    fleet.run(4, running=[1])
    assert fleet.record() == ejection.Record(fleet.vms[0].id, 1, 2)


def test_release_at_shutdown_frees_the_record(fleet):
    """Guards against a wait of 10 s after each graceful shutdown."""
    fleet.health[0].bad = {BAD: 0.9}
    fleet.run(12)
    fleet.members[0].release()
    assert fleet.record() == ejection.Record(ejection.NOBODY, 0, 1)


@pytest.mark.parametrize(("unreachable", "expected"), [((), False), (("b", "a"), None)])
def test_path_question_goes_to_another_vm(fleet, unreachable, expected, monkeypatch):
    """Guards against blaming a server for a path that fails from this VM only."""
    monkeypatch.setattr(permits, "_can_connect", lambda server: False)
    fleet.unreachable = set(unreachable)
    fleet.health[0].questions = [health.RequestPathCheck(BAD)]
    fleet.run(0.5)
    assert fleet.health[0].answers == [(BAD, expected)]
