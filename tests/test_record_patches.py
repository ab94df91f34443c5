"""Patches of large records: exact, small, and refused where they do not fit."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import errors, fleet_messages, fleetmodel, record_patches, replica
from tests import test_fleet_messages

KEY = "op/config"
VALUES = st.lists(st.sampled_from([b"{", b"}", b"a", b"bb}", b'{"r-1": {"x": 1}}'])).map(b"".join)


@given(VALUES, VALUES)
def test_a_patch_makes_exactly_the_new_value(old, new):
    """Guards against a configuration that differs from the operators' one."""
    parts = record_patches.make_parts(old, new)
    assert record_patches.apply_parts(old, parts) == new


@pytest.mark.parametrize("part", [(-1, 1), (0, 4), (2, 2), (1, -1)])
def test_copies_beyond_the_old_value_are_refused(part):
    """Guards against a truncated value that is taken for a whole one."""
    with pytest.raises(errors.MessageError):
        record_patches.apply_parts(b"abc", (record_patches.Copy(*part),))


def copy_with(*values):
    """Returns a copy with the given versions of the key, at the revisions 1, 2, and so on."""
    copy = replica.Replica()
    for revision, value in enumerate(values, 1):
        changes = fleetmodel.Changes((fleetmodel.Record(KEY, revision, value),), revision)
        copy.merge(changes, now=0.0)
    return copy


def versions(count):
    """Returns versions of a large configuration, each with one route moved."""
    config = json.loads(test_fleet_messages.large_configuration())
    values = []
    for number in range(count):
        config["version"] = f"r{number + 1}"
        name = sorted(config["routes"])[100 * number]
        config["routes"][name]["service"] = f"moved-{number}"
        values.append(json.dumps(config).encode())
    return values


def test_a_small_change_of_a_large_configuration_is_a_small_message():
    """Guards against late changes because a zone gets the whole configuration for each of them."""
    values = versions(4)
    source = copy_with(*values)
    changes, patches = source.split_patches(2, source.since(2))
    message = fleet_messages.PatchPush("vm-1:7", 2, changes, patches)
    raw = fleet_messages.encode(message)
    assert len(raw) < 0.02 * len(fleet_messages.encode(fleet_messages.Push(2, source.since(2))))
    received = fleet_messages.decode(raw)
    target = copy_with(*values[:2])
    [record] = target.patched(received.patches)
    assert (record.revision, record.value) == (4, values[3])


def test_patch_of_another_version_is_refused():
    """Guards against a value that is put together from two different versions."""
    values = versions(4)
    source = copy_with(*values)
    _, patches = source.split_patches(1, source.since(1))
    with pytest.raises(errors.BaseVersionError):
        copy_with(*values[:3]).patched(patches)
    with pytest.raises(errors.BaseVersionError):
        replica.Replica().patched(patches)
    assert copy_with(*values).patched(patches) == ()


def test_unknown_and_distant_versions_are_sent_whole():
    """Guards against patches that are larger than the value, or that no receiver can apply."""
    old, new = versions(2)[0], b"{" + bytes(range(200)) * 100 + b"}"
    source = copy_with(old, new)
    changes = source.since(1)
    assert source.split_patches(1, changes) == (changes, ())
    assert source.split_patches(0, source.since(0)) == (source.since(0), ())


def test_history_is_limited(monkeypatch):
    """Guards against memory that grows with each change of a large configuration."""
    values = versions(5)
    monkeypatch.setattr(record_patches, "HISTORY_BYTES", 2 * len(values[0]) + 100)
    source = copy_with(*values)
    kept = [source.split_patches(after, source.since(after))[1] for after in (1, 2, 3, 4)]
    assert [bool(patches) for patches in kept] == [False, False, True, True]
