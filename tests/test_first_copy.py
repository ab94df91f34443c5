"""Load pattern: all VMs of a zone start within the same moment and need a copy of all records."""

import math
import random

import pytest

from dotterelfront import first_copy, watch_role

STEP_S, HEARTBEAT_S = 0.02, watch_role.HEARTBEAT_INTERVAL_S
COPY_S = 0.016
"""Time of one copy of 40 KB on a link of 20 Mbit/s; a watcher sends one after the other."""


class StartingVm:
    """A VM that lists, pulls and watches as its role says."""

    def __init__(self, number, start):
        self.vm_id = f"vm-{number}"
        self.role = watch_role.WatchRole(self.vm_id, start)
        self.first = first_copy.FirstCopy(self.role, True, start)
        self.start, self.complete_at, self.has_listed = start, math.inf, False
        self.next_heartbeat, self.link_free_at = start, start


def play(count, seconds, seed):
    """Plays the start of a zone; returns its VMs."""
    rng = random.Random(seed)
    vms = [StartingVm(f"{seed}-{number}", rng.uniform(0.0, 0.8)) for number in range(count)]
    for now in (step * STEP_S for step in range(int(seconds / STEP_S))):
        for vm in vms:
            if now < vm.start:
                continue
            if now < vm.complete_at and vm.first.list_due(now):
                vm.has_listed, vm.complete_at = True, now
            elif now >= max(vm.complete_at, vm.next_heartbeat) and vm.role.should_watch(now):
                vm.next_heartbeat = now + HEARTBEAT_S
                _send_heartbeats(vm, vms, now)
    return vms


def _send_heartbeats(watcher, vms, now):
    for vm in vms:
        # The watcher knows a VM once it has written its record.
        if vm is watcher or now < vm.start + 0.1:
            continue
        vm.role.on_heartbeat(watcher.vm_id, now)
        if now < vm.complete_at and vm.first.may_pull(now):
            watcher.link_free_at = max(watcher.link_free_at, now) + COPY_S
            vm.complete_at = watcher.link_free_at


@pytest.mark.parametrize("count", [1, 2, 12, 69, 114])
def test_only_watchers_list_the_records_at_the_first_start(count):
    """Guards against calls to the store that grow with VMs times records when a fleet starts."""
    for seed in range(5):
        vms = play(count, 6.0, seed)
        listed = sum(vm.has_listed for vm in vms)
        assert 1 <= listed <= watch_role.WATCHERS_PER_ZONE + count / 10
        assert max(vm.complete_at - vm.start for vm in vms) <= first_copy.LIST_AFTER_S + 1.0


def test_a_vm_that_no_watcher_finds_lists_the_records_itself():
    """Guards against a VM that never serves because its zone's watchers cannot reach it."""
    role = watch_role.WatchRole("vm-1", 0.0)
    first = first_copy.FirstCopy(role, True, 0.0)
    for now in (0.9, 1.5, 2.0):
        for watcher in ("vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"):
            role.on_heartbeat(watcher, now)
        assert not first.list_due(now)
    assert first.list_due(first_copy.LIST_AFTER_S)


def test_a_restarted_vm_lists_the_records_at_once():
    """Guards against a restarted VM that uses servers which left while it was away."""
    assert first_copy.FirstCopy(watch_role.WatchRole("vm-1", 5.0), False, 5.0).list_due(5.0)


def test_a_lost_pull_is_repeated_and_others_are_not():
    """Guards against whole copies sent twice over the links of small VMs, or never."""
    first = first_copy.FirstCopy(watch_role.WatchRole("vm-1", 0.0), True, 0.0)
    assert [first.may_pull(now) for now in (1.0, 1.1, 2.9, 3.1)] == [True, False, False, True]
