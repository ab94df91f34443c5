"""Following the store: lost history, outages and changes from other VMs."""

import asyncio

import msgspec
import pytest

from dotterelfront import errors, fleetmodel, follow, watch_role


def changes(revision, *keys):
    records = tuple(fleetmodel.Record(key, revision, b"x") for key in keys)
    return fleetmodel.Changes(records, revision)


class Client:
    """Returns or raises the steps in order, one per call; further calls never return."""

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


class FollowerHarness:
    """A follower with a scripted client; records callbacks. Times are those of the event loop."""

    def __init__(self, *steps, watches=True, monkeypatch=None):
        monkeypatch.setattr(follow, "BATCH_S", 0.0)
        monkeypatch.setattr(follow, "BACKOFF_MIN_S", 0.0)
        monkeypatch.setattr(follow, "BACKOFF_MAX_S", 0.0)
        now = asyncio.get_running_loop().time()
        self.client = Client(*steps)
        self.state = follow.StoreState(now)
        self.role = watch_role.WatchRole("vm-1", now - 100.0 if watches else now + 100.0)
        self.changed, self.pushed = [], []
        self.checks = 0
        callbacks = follow.Callbacks(self.changed.append, self.pushed.append, self.check_store)
        self.follower = follow.StoreFollower(self.client, self.state, self.role, callbacks)

    def check_store(self):
        self.checks += 1

    async def run(self):
        task = asyncio.ensure_future(self.follower.run())
        for _ in range(60):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return self


def run(monkeypatch, *steps, **options):
    async def scenario():
        return await FollowerHarness(*steps, monkeypatch=monkeypatch, **options).run()

    return asyncio.run(scenario())


@pytest.mark.parametrize(("apply_s", "wait_s"), [(1.5, 1.2), (2.0, 1.2), (3.0, 2.2)])
def test_a_forgotten_watch_ends_before_a_change_must_be_in_force(apply_s, wait_s):
    """Guards against calls that the time for a change does not need, and against late changes."""
    assert follow.watch_wait_s(apply_s) == pytest.approx(wait_s)


def test_records_are_listed_once_and_then_watched(monkeypatch):
    harness = run(monkeypatch, changes(5, "a"), changes(6, "b"))
    assert harness.client.calls == ["list", "watch 5", "watch 6"]
    assert harness.changed == [{"a"}, {"b"}]
    assert harness.pushed == [5]
    assert harness.follower.local_copy.since(5) == changes(6, "b")


def test_lost_history_is_recovered_by_a_listing(monkeypatch):
    """Guards against a watch from a revision that is no longer in the store's history."""
    harness = run(monkeypatch, changes(5, "a"), errors.HistoryLostError(), changes(9, "c"))
    assert harness.client.calls == ["list", "watch 5", "list", "watch 9"]
    assert [record.key for record in harness.follower.local_copy.items("")] == ["c"]


def test_listing_after_lost_history_is_pushed(monkeypatch):
    """Guards against VMs that never get a change that their watcher learned from a listing."""
    harness = run(monkeypatch, changes(5, "a"), errors.HistoryLostError(), changes(9, "c"))
    assert harness.pushed == [5]
    pushed = harness.follower.local_copy.since(5)
    assert {record.key for record in pushed.records} == {"a", "c"}


def test_only_the_newest_record_of_a_key_is_pushed(monkeypatch):
    """Guards against a burst of changes that fills links with outdated configurations."""
    burst = fleetmodel.Changes(
        tuple(fleetmodel.Record("a", revision, b"x") for revision in (6, 7, 8)), 8
    )
    harness = run(monkeypatch, changes(5, "a"), burst)
    assert [record.revision for record in harness.follower.local_copy.since(5).records] == [8]


def test_records_from_the_store_are_compacted(monkeypatch):
    """Guards against large odd records that reach the copy, and from there all VMs."""

    async def scenario():
        harness = FollowerHarness(changes(5, "a"), changes(6, "b"), monkeypatch=monkeypatch)
        harness.follower._compact = lambda record: msgspec.structs.replace(record, value=b"")
        return await harness.run()

    copied = asyncio.run(scenario()).follower.local_copy.items("")
    assert [(record.key, record.value) for record in copied] == [("a", b""), ("b", b"")]


def test_vm_that_does_not_watch_applies_changes_from_others(monkeypatch):
    async def scenario():
        harness = FollowerHarness(changes(5, "a"), watches=False, monkeypatch=monkeypatch)
        await harness.run()
        assert harness.follower.apply_changes(5, changes(7, "b"))
        assert not harness.follower.apply_changes(9, changes(10, "c"))
        return harness

    harness = asyncio.run(scenario())
    assert harness.client.calls == ["list"]
    assert harness.follower.local_copy.revision == 7


def test_failed_watch_is_retried(monkeypatch):
    """Guards against a follower that stops after its first failed call."""
    harness = run(
        monkeypatch, changes(5, "a"), errors.StoreUnavailableError("cut"), changes(6, "b")
    )
    assert harness.client.calls == ["list", "watch 5", "watch 5", "watch 6"]


def test_start_and_failure_of_a_watch_ask_for_a_check_of_the_store(monkeypatch):
    """Guards against a watcher that its zone gives up because the store cut one watch."""
    harness = run(monkeypatch, changes(5, "a"), changes(6, "b"))
    assert harness.checks == 1
    harness = run(monkeypatch, changes(5, "a"), errors.StoreUnavailableError("cut"))
    assert harness.checks == 2
    harness = run(monkeypatch, errors.StoreUnavailableError("cut"), changes(5, "a"), watches=False)
    assert harness.checks == 0


def test_store_is_unavailable_only_after_failures_for_a_while():
    """Guards against one broken watch that counts as an outage."""
    state = follow.StoreState(0.0)
    state.failed(10.0)
    assert state.available_since(10.0) == 0.0
    assert not state.removals_trusted(10.0, 2.0)
    state.failed(10.01 + follow.OUTAGE_AFTER_S)
    assert state.available_since(11.0) is None
    assert not state.reachable
    state.succeeded(20.0)
    assert (state.removals_trusted(21.9, 2.0), state.removals_trusted(22.0, 2.0)) == (False, True)


def test_outage_begins_with_the_earliest_failed_call():
    """Guards against a watcher that stays in its role because a later call failed first."""
    state = follow.StoreState(0.0)
    state.succeeded(5.0)
    state.failed(6.7)
    state.failed(6.8, since=6.0)
    assert not state.reachable


def test_call_that_began_before_the_latest_success_is_no_outage():
    state = follow.StoreState(0.0)
    state.succeeded(6.6)
    state.failed(6.8, since=6.0)
    assert state.reachable


def test_only_an_own_successful_call_confirms_the_store():
    """Guards against watchers that others rely on although the store does not answer them."""
    state = follow.StoreState(0.0)
    assert not state.confirmed
    for doubt in (
        lambda: state.failed(5.0),
        state.on_late,
        lambda: state.on_report("vm-2", 60.0, watches=False, now=6.0),
    ):
        state.succeeded(4.0)
        assert state.confirmed
        doubt()
        assert not state.confirmed


def test_vm_that_does_not_watch_adopts_the_watchers_reports():
    state = follow.StoreState(0.0)
    state.failed(5.0, since=1.0)
    state.on_report("vm-2", 60.0, watches=False, now=6.0)
    assert state.removals_trusted(6.0, 2.0)


@pytest.mark.parametrize("watches", [False, True])
def test_one_watcher_without_the_store_does_not_make_removals_untrusted(watches):
    """Guards against a removed server that stays in use for 2 s as if its record had expired."""
    state = follow.StoreState(0.0)
    state.on_report("vm-2", 60.0, watches, now=100.0)
    state.on_report("vm-3", 0.1, watches, now=100.1)
    assert state.removals_trusted(100.2, 2.0)
    state.failed(100.3, since=99.0)
    state.succeeded(100.4)
    state.on_report("vm-2", 60.5, watches, now=100.5)
    assert state.removals_trusted(100.5, 2.0)


def test_outage_seen_by_all_watchers_makes_removals_untrusted():
    """Guards against servers that are dropped because their records expired in an outage."""
    state = follow.StoreState(0.0)
    state.on_report("vm-2", 60.0, watches=False, now=100.0)
    state.failed(103.0, since=101.5)
    assert state.available_since(103.0) is None
    state.succeeded(110.0)
    state.on_report("vm-2", 0.2, watches=True, now=110.2)
    assert not state.removals_trusted(111.0, 2.0)
    assert state.removals_trusted(112.3, 2.0)


def test_other_zones_are_pulled_from_only_when_the_own_zone_lags(monkeypatch):
    """Guards against costly pulls from other zones at each change."""

    async def scenario():
        harness = await FollowerHarness(
            changes(5, "a"), watches=False, monkeypatch=monkeypatch
        ).run()
        follower, clock = harness.follower, iter([10.0, 10.0, 10.5, 10.9, 20.0])
        monkeypatch.setattr(follow, "_now", lambda: next(clock))
        assert not follower.should_pull(5, same_zone=True)
        assert follower.should_pull(6, same_zone=True)
        assert [follower.should_pull(6, same_zone=False) for _ in range(3)] == [False, False, True]
        harness.state.failed(30.0, since=20.0)
        assert follower.should_pull(7, same_zone=False)

    asyncio.run(scenario())
