"""Following the store: lost history, trouble, changes from other VMs."""

import asyncio

import pytest

from dotterelfront import errors, fleetmodel, follow, watch_role


def changes(revision, *keys):
    records = tuple(fleetmodel.Record(key, revision, b"x") for key in keys)
    return fleetmodel.Changes(records, revision)


class Client:
    """Plays the steps: results of calls in order, exceptions included, then waits for ever."""

    def __init__(self, *steps):
        self.steps, self.calls = list(steps), []

    async def list_all(self, prefix):
        return await self._next("list")

    async def watch(self, prefix, after, wait_s):
        return await self._next(f"watch {after}")

    async def _next(self, call):
        self.calls.append(call)
        if not self.steps:
            await asyncio.Event().wait()
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


class Following:
    """A follower with its client and what it reported; times are those of the event loop."""

    push_s = 0.0

    def __init__(self, *steps, watches=True, monkeypatch=None):
        monkeypatch.setattr(follow, "BATCH_S", 0.0)
        monkeypatch.setattr(follow, "BACKOFF_MIN_S", 0.0)
        monkeypatch.setattr(follow, "BACKOFF_MAX_S", 0.0)
        now = asyncio.get_running_loop().time()
        self.client = Client(*steps)
        self.state = follow.StoreState(now)
        self.role = watch_role.WatchRole("vm-1", now - 100.0 if watches else now + 100.0)
        self.changed, self.watched = [], []
        callbacks = follow.Callbacks(self.changed.append, self.pass_on, lambda: None)
        self.follower = follow.Follower(self.client, self.state, self.role, callbacks)

    def pass_on(self, after, found):
        self.watched.append((after, found))
        return self.push_s

    async def run(self):
        task = asyncio.ensure_future(self.follower.run())
        for _ in range(60):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return self


def run(monkeypatch, *steps, **options):
    async def play():
        return await Following(*steps, monkeypatch=monkeypatch, **options).run()

    return asyncio.run(play())


def test_records_are_listed_once_and_then_watched(monkeypatch):
    found = run(monkeypatch, changes(5, "a"), changes(6, "b"))
    assert found.client.calls == ["list", "watch 5", "watch 6"]
    assert found.changed == [{"a"}, {"b"}]
    assert found.watched == [(5, changes(6, "b"))]


def test_lost_history_is_made_good_by_a_listing(monkeypatch):
    """Guards against a VM that watches from a revision that the store has forgotten."""
    found = run(monkeypatch, changes(5, "a"), errors.HistoryLostError(), changes(9, "c"))
    assert found.client.calls == ["list", "watch 5", "list", "watch 9"]
    assert [record.key for record in found.follower.copy.items("")] == ["c"]


def test_what_a_listing_shows_after_lost_history_is_pushed(monkeypatch):
    """Guards against VMs that never hear of a change that the watcher found by listing."""
    found = run(monkeypatch, changes(5, "a"), errors.HistoryLostError(), changes(9, "c"))
    assert [after for after, _ in found.watched] == [5]
    assert {record.key for record in found.watched[0][1].records} == {"a", "c"}


def test_only_the_newest_record_of_a_key_is_passed_on(monkeypatch):
    """Guards against a storm of changes that fills links with configurations out of date."""
    storm = fleetmodel.Changes(
        tuple(fleetmodel.Record("a", revision, b"x") for revision in (6, 7, 8)), 8
    )
    found = run(monkeypatch, changes(5, "a"), storm)
    assert [record.revision for record in found.watched[0][1].records] == [8]


def test_changes_are_collected_while_a_push_is_under_way(monkeypatch):
    """Guards against pushes that queue behind each other on a small link."""
    monkeypatch.setattr(Following, "push_s", 60.0)
    found = run(monkeypatch, changes(5, "a"), changes(6, "b"), changes(7, "c"))
    assert found.client.calls == ["list", "watch 5"]


def test_a_vm_that_does_not_watch_takes_changes_from_others(monkeypatch):
    async def play():
        found = Following(changes(5, "a"), watches=False, monkeypatch=monkeypatch)
        await found.run()
        assert found.follower.take(5, changes(7, "b"))
        assert not found.follower.take(9, changes(10, "c"))
        return found

    found = asyncio.run(play())
    assert found.client.calls == ["list"]
    assert found.follower.copy.revision == 7


def test_a_failed_watch_is_tried_again(monkeypatch):
    """Guards against a follower that ends with its first failed call."""
    found = run(monkeypatch, changes(5, "a"), errors.StoreUnavailableError("cut"), changes(6, "b"))
    assert found.client.calls == ["list", "watch 5", "watch 5", "watch 6"]


def test_one_failed_call_is_no_trouble_but_failures_for_a_while_are():
    """Guards against a cut watch that makes records of living servers suspect."""
    state = follow.StoreState(0.0)
    state.failed(10.0)
    assert state.well_since(10.0) == 0.0
    assert not state.trusted(10.0, 2.0)
    state.failed(10.01 + follow.TROUBLE_S)
    assert state.well_since(11.0) is None
    assert not state.reachable
    state.succeeded(20.0)
    assert (state.trusted(21.9, 2.0), state.trusted(22.0, 2.0)) == (False, True)


def test_a_vm_that_does_not_watch_believes_the_watchers():
    state = follow.StoreState(0.0)
    state.failed(5.0, since=1.0)
    state.reported("vm-2", 60.0, watches=False, now=6.0)
    assert state.trusted(6.0, 2.0)


@pytest.mark.parametrize("watches", [False, True])
def test_a_watcher_that_was_cut_off_alone_makes_nobody_distrust_the_store(watches):
    """Guards against a server that has left and is kept for 2 s as if its record had lapsed."""
    state = follow.StoreState(0.0)
    state.reported("vm-2", 60.0, watches, now=100.0)
    state.reported("vm-3", 0.1, watches, now=100.1)
    assert state.trusted(100.2, 2.0)
    state.failed(100.3, since=99.0)
    state.succeeded(100.4)
    state.reported("vm-2", 60.5, watches, now=100.5)
    assert state.trusted(100.5, 2.0)


def test_an_outage_that_all_watchers_saw_is_believed():
    """Guards against servers that are dropped because their records lapsed in an outage."""
    state = follow.StoreState(0.0)
    state.reported("vm-2", 60.0, watches=False, now=100.0)
    state.failed(103.0, since=101.5)
    assert state.well_since(103.0) is None
    state.succeeded(110.0)
    state.reported("vm-2", 0.2, watches=True, now=110.2)
    assert not state.trusted(111.0, 2.0)
    assert state.trusted(112.3, 2.0)


def test_other_zones_are_asked_only_when_the_own_one_stays_behind(monkeypatch):
    """Guards against copies of all records that cross zones with each change."""

    async def play():
        found = await Following(changes(5, "a"), watches=False, monkeypatch=monkeypatch).run()
        follower, clock = found.follower, iter([10.0, 10.0, 10.5, 10.9, 20.0])
        monkeypatch.setattr(follow, "_now", lambda: next(clock))
        assert not follower.should_pull(5, same_zone=True)
        assert follower.should_pull(6, same_zone=True)
        assert [follower.should_pull(6, same_zone=False) for _ in range(3)] == [False, False, True]
        found.state.failed(30.0, since=20.0)
        assert follower.should_pull(7, same_zone=False)

    asyncio.run(play())
