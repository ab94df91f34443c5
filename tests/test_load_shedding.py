"""What refusals cost a server."""

from dotterelfront import load_shedding


def test_a_full_server_that_sheds_is_paused_and_gets_less():
    """Guards against a server that refuses at once and thereby draws all requests."""
    limits = load_shedding.ShedLimits()
    limits.refused("i-1", busy=4, slots=4, now=0.0)
    assert limits.paused("i-1", 0.01)
    assert limits.share("i-1", 0.0) == load_shedding.SHED_FACTOR
    assert limits.share("i-1", 10.0) == 1.0


def test_refusals_of_servers_with_free_slots_cost_no_capacity_when_all_work_is_counted():
    """Guards against a service whose servers refuse at random and that loses all capacity to it."""
    limits = load_shedding.ShedLimits()
    limits.exact = True
    for _ in range(10):
        limits.refused("i-1", busy=2, slots=6, now=0.0)
    assert not limits.paused("i-1", 0.0)
    assert limits.share("i-1", 0.0) == 1.0
    limits.refused("i-1", busy=6, slots=6, now=0.0)
    assert limits.paused("i-1", 0.0)


def test_pauses_grow_with_refusals_in_a_row_and_end_with_a_success():
    limits = load_shedding.ShedLimits()
    for _ in range(5):
        limits.refused("i-1", busy=4, slots=4, now=0.0)
    assert limits.paused("i-1", 0.7)
    limits.accepted("i-1")
    limits.refused("i-1", busy=4, slots=4, now=10.0)
    assert not limits.paused("i-1", 10.0 + load_shedding.SHED_PAUSE_S)
