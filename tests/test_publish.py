"""Publishing a configuration to an in-memory store."""

import contextlib
import functools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import config as bench_config
from dotterelfront import errors, models, publish, revisions
from tests import fakes

DAY_S = publish.UNUSED_RETENTION_S


def _apply(client, edit, fleet=None, now=0.0, fork_base=publish.ForkBase.NEITHER):
    return publish.apply_edit(
        client,
        fleet or publish.FleetConfiguration(),
        edit,
        fork_base,
        pause=lambda _: None,
        now=lambda: now,
    )


def _set_rate(name, rate):
    return lambda root, current: fakes.with_rate(current, name, rate)


def _rates(client):
    tables = publish.read_tables(client, publish.read_root(client).root)
    return {customer.name: customer.rates["stock"] for customer in tables.customers}


def _fleet_of(client):
    """Returns a fleet with the configuration that the store has now."""
    root = publish.read_root(client).root
    chunks = publish.read_chunks(client, root.chunks)
    return publish.FleetConfiguration(root, lambda names: {name: chunks[name] for name in names})


STEPS = st.sampled_from(["", "down", "lost", "other", "sweep"])


@given(st.lists(st.lists(STEPS, max_size=12), max_size=4))
def test_no_accepted_edit_is_lost_and_outcomes_are_true(scripts):
    """Guards against an edit that overwrites a concurrent one, a wrong outcome after a lost reply,
    and a root whose chunks a concurrent sweep has deleted."""
    client, outcomes, revision = fakes.FakeStore(), {}, 0

    def edit(now):
        name = f"c{len(outcomes)}"
        outcomes[name] = publish.Outcome.NOT_ACCEPTED
        with contextlib.suppress(errors.StoreError):
            outcomes[name] = _apply(client, _set_rate(name, 1), now=now).outcome

    for number, script in enumerate(scripts):
        publish.sweep(client, number * DAY_S)
        now = (number + 1) * DAY_S
        steps = {"other": functools.partial(edit, now)}
        steps["sweep"] = functools.partial(publish.sweep, client, now)
        client.script = [steps.get(step, step) for step in script]
        edit(now)
        client.script = []
        root = publish.read_root(client).root
        rates = _rates(client) if root else {}
        for name, outcome in outcomes.items():
            if outcome is not publish.Outcome.UNKNOWN:
                assert (name in rates) == (outcome is publish.Outcome.ACCEPTED), name
        assert (root.revision if root else 0) >= revision
        revision = root.revision if root else 0


@given(st.lists(st.sampled_from(["edit", "snapshot", "restore"]), max_size=10))
def test_restored_store_loses_no_edit_that_the_fleet_has(steps):
    """Guards against an edit of an older base than the fleet has, and against a revision that is
    not higher than the fleet's, after the store is restored from a backup."""
    client, fleet = fakes.FakeStore(), publish.FleetConfiguration()
    saved_entries, expected = {}, {}
    for number, step in enumerate(steps):
        if step == "snapshot":
            saved_entries = dict(client.entries)
        elif step == "restore":
            client.entries = dict(saved_entries)
        else:
            expected[f"c{number}"] = 1
            result = _apply(client, _set_rate(f"c{number}", 1), fleet)
            assert result.outcome is publish.Outcome.ACCEPTED
            assert result.root.revision > (fleet.root.revision if fleet.root else 0)
            fleet = _fleet_of(client)
            assert _rates(client) == expected


def test_edit_on_an_outdated_base_reports_both_changes_and_conflicts():
    """Guards against overwriting a concurrent edit of the same entry, and against refusing to merge
    edits of different entries."""
    client, base = fakes.FakeStore(), fakes.make_tables(a=1, b=1)
    _apply(client, lambda root, current: base)
    _apply(client, _set_rate("a", 2))
    mine = fakes.with_rate(base, "a", 3)
    with pytest.raises(publish.EditConflictError) as caught:
        _apply(client, publish.merge_edit(base, mine, allow_merge=True))
    (conflict,) = caught.value.conflicts
    sides = (conflict.base, conflict.theirs, conflict.mine)
    assert [side.rates["stock"] for side in sides] == [1, 2, 3]
    mine = fakes.with_rate(base, "b", 3)
    with pytest.raises(publish.EditConflictError) as caught:
        _apply(client, publish.merge_edit(base, mine, allow_merge=False))
    assert list(caught.value.theirs) == [("customers", "a")]
    assert list(caught.value.mine) == [("customers", "b")]
    _apply(client, publish.merge_edit(base, mine, allow_merge=True))
    assert _rates(client) == {"a": 2, "b": 3}


def test_edit_with_lost_reply_and_a_successor_is_accepted():
    """Guards against reporting an accepted edit as not accepted because the reply was lost and
    another edit has replaced it since."""
    client = fakes.FakeStore()
    _apply(client, _set_rate("a", 1))
    stored = publish.read_root(client)
    content = fakes.make_tables(a=1, b=1)
    # The first three calls read the mark, read the chunk and write the chunk.
    client.script = ["", "", "", "lost", lambda: _apply(client, _set_rate("c", 1))]
    result = publish.publish(client, content, stored, models.Revision(2), pause=lambda _: None)
    assert (result.outcome, result.detail) == (publish.Outcome.ACCEPTED, "replaced by 3")


def test_store_that_stays_down_gives_an_unknown_outcome():
    """Guards against reporting an edit as accepted or not accepted when its outcome is unknown."""
    client = fakes.FakeStore()
    stored = publish.read_root(client)
    chunks = revisions.split(fakes.make_tables())
    client.script = [""] * 3 * len(chunks) + ["lost"] + ["down"] * 20
    result = publish.publish(client, fakes.make_tables(), stored, 1, pause=lambda _: None)
    assert result.outcome is publish.Outcome.UNKNOWN


def test_fork_requires_an_explicit_base():
    """Guards against silently dropping an accepted edit when store and fleet have the same revision
    with different content."""
    ours, theirs = fakes.FakeStore(), fakes.FakeStore()
    _apply(ours, _set_rate("a", 1))
    _apply(theirs, _set_rate("b", 1))
    with pytest.raises(publish.ForkedError):
        _apply(ours, _set_rate("c", 1), _fleet_of(theirs))
    result = _apply(ours, _set_rate("c", 1), _fleet_of(theirs), fork_base=publish.ForkBase.FLEET)
    assert (result.root.revision, _rates(ours)) == (2, {"b": 1, "c": 1})


def test_unreferenced_chunks_are_deleted_after_a_day_and_not_before():
    """Guards against a store that fills up, and against deleting chunks that a slow VM still
    reads."""
    client = fakes.FakeStore()
    _apply(client, _set_rate("a", 1))
    old = set(client.entries)
    _apply(client, _set_rate("a", 2))
    publish.sweep(client, 0.0)
    publish.sweep(client, DAY_S - 1)
    assert old <= set(client.entries)
    assert publish.sweep(client, DAY_S) == 1
    assert publish.sweep(client, 2 * DAY_S) == 0
    assert _rates(client) == {"a": 2}
    assert not client.keys(publish.UNUSED_MARK_PREFIX)


def test_one_edit_changes_one_chunk_and_values_stay_small():
    """Guards against rewriting all chunks for one edit, and against values over the store's
    limit."""
    content = bench_config.make_tables("target")
    chunks = revisions.split(content)
    assert max(map(len, chunks.values())) < 100_000
    assert len(revisions.encode_root(revisions.make_root(1, chunks))) < 12_000
    edited = bench_config.change_one(content, random.Random(1))
    assert len(revisions.split(edited).keys() - chunks.keys()) == 1


@pytest.mark.parametrize("calls_before", range(12))
@pytest.mark.parametrize("inner", [("sweep",), ("apply",), ("sweep", "apply")])
def test_reused_chunk_survives_a_concurrent_sweep(inner, calls_before):
    """Guards against a sweep that deletes a chunk after a publisher has written it again and before
    the root that lists it is written."""
    client = fakes.FakeStore()
    _apply(client, _set_rate("a", 1))
    _apply(client, _set_rate("a", 2))
    publish.sweep(client, 0.0)

    def sweep():
        publish.sweep(client, DAY_S)

    def apply():
        assert _apply(client, _set_rate("a", 1), now=DAY_S).outcome is publish.Outcome.ACCEPTED

    def interrupt():
        for name in inner:
            runs[name]()

    runs = {"sweep": sweep, "apply": apply}
    client.script = [""] * calls_before + [interrupt]
    runs["apply" if inner == ("sweep",) else "sweep"]()
    client.script = []
    assert _rates(client)["a"] in (1, 2)
