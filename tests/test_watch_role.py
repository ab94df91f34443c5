"""Which VMs of a zone watch the store."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import watch_role

NAMES = [f"vm-{number}" for number in range(8)]
LATE = watch_role.START_WAIT_S + 10


def simulate(alive, names=NAMES, rounds=12):
    """Returns who watches after some beats among the VMs that are alive."""
    roles = {name: watch_role.WatchRole(name, 0.0) for name in names}
    now = LATE
    for _ in range(rounds):
        watching = [name for name in alive if roles[name].should_watch(now)]
        for name in watching:
            for other in alive:
                if other != name:
                    roles[other].heard(name, now)
        now += watch_role.BEAT_S
    return {name for name in alive if roles[name].should_watch(now)}


@given(st.sets(st.sampled_from(NAMES), min_size=watch_role.WATCHERS_PER_ZONE))
def test_beats_leave_the_wanted_number_of_watchers(alive):
    """Guards against calls to the store that grow with the zone, and against none at all."""
    assert len(simulate(sorted(alive))) == watch_role.WATCHERS_PER_ZONE


@given(st.sampled_from(NAMES))
def test_a_silent_watcher_is_replaced_in_time(name):
    """Guards against a zone without changes after its watcher's end."""
    role = watch_role.WatchRole(name, 0.0)
    for other in NAMES:
        if other != name:
            role.heard(other, LATE)
    assert role.should_watch(LATE + watch_role.SILENCE_S + 0.001)


def test_a_starting_vm_listens_first():
    """Guards against a call to the store for each restart."""
    role = watch_role.WatchRole("vm-1", 5.0)
    assert not role.should_watch(5.0 + watch_role.START_WAIT_S / 2)
    assert role.should_watch(5.0 + watch_role.START_WAIT_S)
