"""Copies of the store's records: the same content from any order of deliveries."""

import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import fleetmodel, follow, replica

CALLBACKS = follow.Callbacks(lambda keys: None, lambda after: None, lambda: None)
KEYS = st.sampled_from(["a", "b", "c"])
HISTORY = st.lists(st.tuples(KEYS, st.booleans()), min_size=1, max_size=12)


def record(revision, key, exists):
    return fleetmodel.Record(key, revision, b"%d" % revision if exists else None)


def records_of(history):
    return [record(number, key, exists) for number, (key, exists) in enumerate(history, 1)]


def contents(copy):
    return {item.key: item.value for item in copy.items("")}


@given(HISTORY, st.randoms(use_true_random=False))
def test_deliveries_in_any_order_give_the_same_copy(history, rng):
    """Guards against an older record from another VM that replaces a newer one."""
    records = records_of(history)
    newest = {item.key: item.value for item in records}
    expected = {key: value for key, value in newest.items() if value is not None}
    shuffled = [*records, *records]
    rng.shuffle(shuffled)
    copy = replica.Replica()
    for item in shuffled:
        copy.merge(fleetmodel.Changes((item,), item.revision), now=0.0)
    assert contents(copy) == expected
    assert copy.revision == len(records)


@given(HISTORY, st.integers(0, 12))
def test_changes_since_a_revision_complete_another_copy(history, cut):
    """Guards against removals that never reach a VM that pulls."""
    records = records_of(history)
    full, other = replica.Replica(), replica.Replica()
    full.merge(fleetmodel.Changes(tuple(records), len(records)), now=0.0)
    other.merge(fleetmodel.Changes(tuple(records[:cut]), min(cut, len(records))), now=0.0)
    other.merge(full.since(other.revision), now=0.0)
    assert contents(other) == contents(full)
    assert other.revision == full.revision


def test_listing_removes_missing_keys_unless_they_are_newer():
    """Guards against removed keys that survive lost history, and against an outdated listing."""
    copy = replica.Replica()
    copy.merge(fleetmodel.Changes((record(1, "a", True), record(9, "b", True)), 9), now=0.0)
    changed = copy.replace(fleetmodel.Changes((record(5, "c", True),), 6), now=0.0)
    assert changed == {"a", "c"}
    assert contents(copy) == {"b": b"9", "c": b"5"}


def test_removed_key_stays_removed_after_its_tombstone_is_purged():
    """Guards against an outdated record that restores a removed server."""
    copy = replica.Replica()
    copy.merge(fleetmodel.Changes((record(2, "a", False),), 2), now=0.0)
    later = replica.TOMBSTONE_TTL_S + 1
    copy.merge(fleetmodel.Changes((record(3, "b", True),), 3), now=later)
    copy.merge(fleetmodel.Changes((record(1, "a", True),), 3), now=later)
    assert contents(copy) == {"b": b"3"}
    assert copy.since(1) is None


@given(
    HISTORY,
    st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12), st.booleans()), max_size=6),
    st.lists(st.tuples(st.integers(0, 6), st.integers(0, 6)), max_size=12),
)
def test_copies_of_copies_never_hold_a_removed_key(history, listings, transfers):
    """Guards against servers that left and are in use again at a VM that has been restarted.

    Some VMs list the store at a revision, some twice, and some follow it by changes. Then they pull
    from each other in any order, as VMs do whose revision is lower; what they hold always equals
    the store at their revision.
    """
    records = records_of(history)

    def changes(after, revision):
        newest = {item.key: item for item in records[after:revision]}
        return fleetmodel.Changes(tuple(newest.values()), revision)

    def listing(revision):
        existing = [item for item in changes(0, revision).records if item.value is not None]
        return fleetmodel.Changes(tuple(existing), revision)

    def expected(revision):
        return {item.key: item.value for item in listing(revision).records}

    now = 0.0
    followers = []
    for first, second, lists_again in listings:
        subject = follow.StoreFollower(None, None, None, CALLBACKS)
        first, second = sorted((min(first, len(records)), min(second, len(records))))
        subject.local_copy.replace(listing(first), now)
        if lists_again:
            subject.local_copy.replace(listing(second), now)
        else:
            subject.local_copy.merge(changes(first, second), now)
        subject.is_complete = True
        followers.append(subject)
    followers.append(follow.StoreFollower(None, None, None, CALLBACKS))
    for source, target in transfers:
        source, target = (followers[index % len(followers)] for index in (source, target))
        found = source.changes_for(target.local_copy.revision)
        if found is not None and source.local_copy.revision > target.local_copy.revision:
            with unittest.mock.patch.object(follow, "_now", return_value=now):
                target.apply_changes(*found)
        for subject in followers:
            assert contents(subject.local_copy) == expected(subject.local_copy.revision)


def test_a_vm_that_was_away_for_longer_than_tombstones_gets_the_whole_copy(monkeypatch):
    """Guards against a VM that stays behind for ever, and against removed keys that it keeps."""
    monkeypatch.setattr(follow, "_now", lambda: 100.0)
    other = follow.StoreFollower(None, None, None, CALLBACKS)
    away = follow.StoreFollower(None, None, None, CALLBACKS)
    for subject in (other, away):
        subject.is_complete = True
        subject.local_copy.merge(fleetmodel.Changes((record(1, "a", True),), 1), now=0.0)
    other.local_copy.merge(fleetmodel.Changes((record(2, "a", False),), 2), now=0.0)
    other.local_copy.merge(
        fleetmodel.Changes((record(3, "b", True),), 3), now=replica.TOMBSTONE_TTL_S + 1
    )
    assert away.apply_changes(*other.changes_for(away.local_copy.revision))
    assert contents(away.local_copy) == {"b": b"3"}


def test_a_copy_that_is_not_complete_is_not_given_to_others():
    """Guards against a restarted VM that takes the empty copy of another one for complete."""
    assert follow.StoreFollower(None, None, None, CALLBACKS).changes_for(0) is None


def test_an_older_whole_copy_is_ignored(monkeypatch):
    """Guards against servers that left and come back with the copy of a VM that was cut off."""
    monkeypatch.setattr(follow, "_now", lambda: 0.0)
    subject = follow.StoreFollower(None, None, None, CALLBACKS)
    assert subject.apply_changes(0, fleetmodel.Changes((record(2, "b", True),), 3))
    assert not subject.apply_changes(0, fleetmodel.Changes((record(1, "a", True),), 2))
    assert subject.apply_changes(1, fleetmodel.Changes((record(2, "a", True),), 2))
    assert contents(subject.local_copy) == {"b": b"2"}
