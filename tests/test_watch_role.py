"""Selection of the VMs of a zone that watch the store."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import watch_role

VM_IDS = [f"vm-{number}" for number in range(8)]
AFTER_START = watch_role.START_WAIT_S + 10


def simulate(vm_ids, start=0.0, duration_s=6.0, step_s=0.05):
    """Simulates heartbeats; returns the VMs that watched at any time, and those at the end."""
    roles = {vm_id: watch_role.WatchRole(vm_id, start) for vm_id in vm_ids}
    now, next_heartbeat, ever_watched = start, {}, set()
    watching = set()
    while now < start + duration_s:
        now += step_s
        watching = {vm_id for vm_id in vm_ids if roles[vm_id].should_watch(now)}
        ever_watched |= watching
        for vm_id in watching:
            if now >= next_heartbeat.get(vm_id, 0.0):
                next_heartbeat[vm_id] = now + watch_role.HEARTBEAT_INTERVAL_S
                for other in vm_ids:
                    if other != vm_id:
                        roles[other].on_heartbeat(vm_id, now)
    return ever_watched, watching


@given(st.sets(st.sampled_from(VM_IDS), min_size=watch_role.WATCHERS_PER_ZONE))
def test_heartbeats_limit_the_number_of_watchers(vm_ids):
    """Guards against store calls that grow with the zone, and against a zone without watchers."""
    _, watching = simulate(sorted(vm_ids))
    assert len(watching) == watch_role.WATCHERS_PER_ZONE


def test_few_vms_watch_when_a_large_zone_starts():
    """Guards against every VM of a zone pushing all records to every other."""
    ever_watched, watching = simulate([f"vm-{number}" for number in range(100)])
    assert len(watching) == watch_role.WATCHERS_PER_ZONE
    assert len(ever_watched) <= 10


@given(st.sampled_from(VM_IDS))
def test_watchers_without_heartbeats_are_replaced_in_time(vm_id):
    """Guards against a zone that gets no changes after its watchers stopped."""
    role = watch_role.WatchRole(vm_id, 0.0)
    for other in VM_IDS:
        if other != vm_id:
            role.on_heartbeat(other, AFTER_START)
    role.should_watch(AFTER_START)
    timed_out = AFTER_START + watch_role.HEARTBEAT_TIMEOUT_S + 0.001
    role.should_watch(timed_out)
    assert role.should_watch(timed_out + watch_role.TAKEOVER_SPREAD_S)


def test_watchers_that_report_a_lost_store_are_replaced_at_once():
    """Guards against a zone that waits for the timeout of watchers that the store rejected."""
    role = watch_role.WatchRole("vm-1", 0.0)
    others = [vm_id for vm_id in VM_IDS if vm_id != "vm-1"]
    for other in others:
        role.on_heartbeat(other, AFTER_START)
    role.should_watch(AFTER_START)
    for other in others:
        role.on_watch_ended(other)
    role.should_watch(AFTER_START + 0.01)
    assert role.should_watch(AFTER_START + 0.02 + watch_role.TAKEOVER_SPREAD_S)


def test_starting_vm_waits_for_heartbeats_first():
    """Guards against a store watch at each restart of a VM."""
    role = watch_role.WatchRole("vm-1", 5.0)
    assert not role.should_watch(5.0 + watch_role.START_WAIT_S / 2)
    assert role.should_watch(5.0 + watch_role.START_WAIT_S + watch_role.START_SPREAD_S)
