"""Which VMs of a zone watch the store."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import watch_role

NAMES = [f"vm-{number}" for number in range(8)]
LATE = watch_role.START_WAIT_S + 10


def simulate(alive, start=0.0, duration_s=6.0, step_s=0.05):
    """Plays beats among the VMs alive; returns who watched at any time, and who does at the end."""
    roles = {name: watch_role.WatchRole(name, start) for name in alive}
    now, due, ever = start, {}, set()
    watching = set()
    while now < start + duration_s:
        now += step_s
        watching = {name for name in alive if roles[name].should_watch(now)}
        ever |= watching
        for name in watching:
            if now >= due.get(name, 0.0):
                due[name] = now + watch_role.BEAT_S
                for other in alive:
                    if other != name:
                        roles[other].heard(name, now)
    return ever, watching


@given(st.sets(st.sampled_from(NAMES), min_size=watch_role.WATCHERS_PER_ZONE))
def test_beats_leave_the_wanted_number_of_watchers(alive):
    """Guards against calls to the store that grow with the zone, and against none at all."""
    _, watching = simulate(sorted(alive))
    assert len(watching) == watch_role.WATCHERS_PER_ZONE


def test_few_vms_watch_when_a_large_zone_starts():
    """Guards against pushes of all records from each VM of a zone to each other."""
    ever, watching = simulate([f"vm-{number}" for number in range(100)])
    assert len(watching) == watch_role.WATCHERS_PER_ZONE
    assert len(ever) <= 10


@given(st.sampled_from(NAMES))
def test_a_silent_watcher_is_replaced_in_time(name):
    """Guards against a zone without changes after its watcher's end."""
    role = watch_role.WatchRole(name, 0.0)
    for other in NAMES:
        if other != name:
            role.heard(other, LATE)
    role.should_watch(LATE)
    silent = LATE + watch_role.SILENCE_S + 0.001
    role.should_watch(silent)
    assert role.should_watch(silent + watch_role.TAKEOVER_SPREAD_S)


def test_a_watcher_that_says_that_it_lost_the_store_is_replaced_at_once():
    """Guards against a zone that waits for the silence of watchers that were turned away."""
    role = watch_role.WatchRole("vm-1", 0.0)
    others = [name for name in NAMES if name != "vm-1"]
    for other in others:
        role.heard(other, LATE)
    role.should_watch(LATE)
    for other in others:
        role.lost(other)
    role.should_watch(LATE + 0.01)
    assert role.should_watch(LATE + 0.02 + watch_role.TAKEOVER_SPREAD_S)


def test_a_starting_vm_listens_first():
    """Guards against a call to the store for each restart."""
    role = watch_role.WatchRole("vm-1", 5.0)
    assert not role.should_watch(5.0 + watch_role.START_WAIT_S / 2)
    assert role.should_watch(5.0 + watch_role.START_WAIT_S + watch_role.START_SPREAD_S)
