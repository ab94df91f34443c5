"""Load pattern: configurations and servers change in quick succession, while VMs end and start.

Watchers get changes from the store, or list it after it has lost its history; pushes and pulls
between VMs are delayed, lost and reordered. No VM returns to an older configuration or to a server
that it knows to be gone, and once each VM has heard from one that is up to date, all agree.
"""

import json
import unittest.mock

import hypothesis
from hypothesis import strategies as st

from dotterelfront import errors, fleet_view, fleetmodel, follow, models, record_patches
from dotterelfront.platform import records
from tests import test_platform

VMS = range(3)
SERVERS = [f"{records.SERVERS_PREFIX}i-{number}" for number in range(3)]
VM_NUMBERS = st.sampled_from(VMS)
STEPS = st.one_of(
    st.tuples(st.just("configure"), st.integers(1, 9)),
    st.tuples(st.just("invalid"), st.just(0)),
    st.tuples(st.just("add"), st.sampled_from(SERVERS)),
    st.tuples(st.just("remove"), st.sampled_from(SERVERS)),
    st.tuples(st.just("watch"), VM_NUMBERS),
    st.tuples(st.just("push"), VM_NUMBERS, VM_NUMBERS, st.integers(0, 5)),
    st.tuples(st.just("pull"), VM_NUMBERS, VM_NUMBERS),
    st.tuples(st.just("deliver"), st.integers(0, 9)),
    st.tuples(st.just("lose"), st.integers(0, 9)),
    st.tuples(st.just("restart"), VM_NUMBERS),
    st.tuples(st.just("forget"), st.just(0)),
)


class Store:
    """The store: the newest record of each key, and the history since ``history_from``."""

    def __init__(self):
        self.revision = 1
        self.history_from = 1
        self.version = 0
        self.log: list[fleetmodel.Record] = []

    def write(self, key, value):
        self.revision += 1
        self.log.append(fleetmodel.Record(key, self.revision, value))

    def newest(self):
        return {record.key: record for record in self.log if record.key}

    def listing(self):
        present = tuple(r for r in self.newest().values() if r.value is not None)
        return fleetmodel.Changes(present, self.revision)

    def since(self, revision):
        return fleetmodel.Changes(
            tuple(record for record in self.log if record.revision > revision), self.revision
        )


class Vm:
    """One VM: its copy of the records and its view; checks that neither goes back."""

    def __init__(self, number):
        self.vm = models.Vm(models.VmId(f"vm-{number}"), f"10.0.0.{number}:7", "a", "r")
        self.view = fleet_view.FleetView(self.vm, models.Incarnation(1), now=0.0)
        callbacks = follow.Callbacks(self._on_changed, lambda after: None, lambda: None)
        self.follower = follow.StoreFollower(None, None, None, callbacks)
        self.newest_seen: dict[str, int] = {}

    @property
    def revision(self):
        return self.view.config.revision if self.view.config else 0

    def watch(self, store):
        """Gets the changes from the store, or all records when it has lost the history."""
        copy = self.follower.local_copy
        if self.follower.is_complete and copy.revision >= store.history_from:
            self._on_changed(copy.merge(store.since(copy.revision), 0.0))
        else:
            self._on_changed(copy.replace(store.listing(), 0.0))
            self.follower.is_complete = True

    def _on_changed(self, keys):
        copy, before = self.follower.local_copy, self.revision
        if records.CONFIG_KEY in keys:
            self.view.on_config(copy.get(records.CONFIG_KEY), 0.0)
        assert self.revision >= before
        for record in copy.items(""):
            assert record.revision >= self.newest_seen.get(record.key, 0)
            self.newest_seen[record.key] = record.revision
        changed = [fleetmodel.Record(key, 0, copy.get(key)) for key in sorted(keys)]
        servers = [record for record in changed if record.key.startswith(records.SERVERS_PREFIX)]
        self.view.on_servers(servers, True, 0.0)

    def servers(self):
        return {i.id for i in self.view.catalog.instances(models.PoolName("orders"))}


def server_value(key, started_ms):
    return json.dumps(test_platform.SERVER | {"born": started_ms}).encode()


class Fleet:
    """The store, the VMs and the messages on their way."""

    def __init__(self):
        self.store = Store()
        self.vms = [Vm(number) for number in VMS]
        self.messages: list[tuple] = []
        """Source, target, start revision, changes and patches."""

    def configure(self, step):
        self.store.version += step
        value = test_platform.CONFIG | {"version": f"r{self.store.version}"}
        self.store.write(records.CONFIG_KEY, json.dumps(value).encode())

    def invalid(self, _):
        self.store.write(records.CONFIG_KEY, b'{"version": 3}')

    def add(self, key):
        self.store.write(key, server_value(key, self.store.revision))

    def remove(self, key):
        self.store.write(key, None)

    def watch(self, number):
        self.vms[number].watch(self.store)

    def push(self, source, target, age):
        """Sends the changes since a few revisions ago, as after a watch."""
        after = max(1, self.vms[source].follower.local_copy.revision - age)
        self._send(source, target, after)

    def pull(self, source, target):
        self._send(source, target, self.vms[target].follower.local_copy.revision)

    def _send(self, source, target, after):
        """Sends patches where the source knows the version that the target should have."""
        found = self.vms[source].follower.changes_for(after)
        if found is not None:
            after, changes = found
            copy = self.vms[source].follower.local_copy
            self.messages.append((source, target, after, *copy.split_patches(after, changes)))

    def deliver(self, index):
        if self.messages:
            source, target, after, changes, patches = self.messages.pop(index % len(self.messages))
            follower = self.vms[target].follower
            try:
                follower.apply_changes(after, changes, patches)
            except errors.BaseVersionError:
                found = self.vms[source].follower.changes_for(follower.local_copy.revision)
                self.messages.append((source, target, *found, ()))

    def lose(self, index):
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def restart(self, number):
        self.vms[number] = Vm(number)

    def forget(self, _):
        self.store.history_from = self.store.revision


@hypothesis.settings(max_examples=300)
@hypothesis.given(st.lists(STEPS, min_size=20, max_size=60))
def test_a_storm_of_changes_reaches_every_vm_and_none_goes_back(steps):
    """Guards against VMs that keep an old configuration, or a server that has left."""
    fleet = Fleet()
    small_values_are_patched = unittest.mock.patch.multiple(
        record_patches, LARGE_VALUE_BYTES=0, MAX_PATCH_SHARE=1.0
    )
    stopped_clock = unittest.mock.patch.object(follow, "_now", return_value=0.0)
    with stopped_clock, small_values_are_patched:
        for name, *args in steps:
            getattr(fleet, name)(*args)
        fleet.configure(1)
        fleet.watch(0)
        for number in VMS[1:]:
            fleet.pull(0, number)
        while fleet.messages:
            fleet.deliver(len(fleet.messages) - 1)
    newest = fleet.store.newest()
    expected = {
        key.removeprefix(records.SERVERS_PREFIX)
        for key in SERVERS
        if key in newest and newest[key].value is not None
    }
    for vm in fleet.vms:
        assert vm.revision == fleet.store.version
        assert vm.servers() == expected
