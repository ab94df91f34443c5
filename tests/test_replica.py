"""Copies of the store's records: the same content from any order of deliveries."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import fleetmodel, replica

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
