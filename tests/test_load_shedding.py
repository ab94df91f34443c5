"""Load shedding: effect of refusals on a server's share of slots and its pauses."""

from dotterelfront import load_shedding


def test_a_full_server_that_sheds_a_request_is_paused_and_its_share_reduced():
    """Guards against a server that attracts all requests because it refuses them at once."""
    limits = load_shedding.ShedLimits()
    limits.record_refusal("i-1", busy=4, slots=4, now=0.0)
    assert limits.is_paused("i-1", 0.01)
    assert limits.share("i-1", 0.0) == load_shedding.SHED_FACTOR
    assert limits.share("i-1", 10.0) == 1.0


def test_refusals_of_servers_with_free_slots_are_ignored_when_all_work_is_counted():
    """Guards against a service that loses its capacity because its servers refuse at random."""
    limits = load_shedding.ShedLimits()
    limits.counts_all_work = True
    for _ in range(10):
        limits.record_refusal("i-1", busy=2, slots=6, now=0.0)
    assert not limits.is_paused("i-1", 0.0)
    assert limits.share("i-1", 0.0) == 1.0
    limits.record_refusal("i-1", busy=6, slots=6, now=0.0)
    assert limits.is_paused("i-1", 0.0)


def test_pauses_grow_with_consecutive_refusals_and_reset_after_a_success():
    """Guards against frequent requests to a full server, and long pauses after it recovered."""
    limits = load_shedding.ShedLimits()
    for _ in range(5):
        limits.record_refusal("i-1", busy=4, slots=4, now=0.0)
    assert limits.is_paused("i-1", 0.7)
    limits.record_accepted("i-1")
    limits.record_refusal("i-1", busy=4, slots=4, now=10.0)
    assert not limits.is_paused("i-1", 10.0 + load_shedding.SHED_PAUSE_S)
