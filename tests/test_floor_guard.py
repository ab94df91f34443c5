"""Load pattern: most servers of a pool fail, and the few good ones must not carry all requests.

Servers that failed are avoided. While over a tenth of the requests are not served, at least seven
in ten of the servers that have not failed in the last two seconds must get requests all the same.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import floor_guard, models
from tests import test_unproven_servers

SERVERS = [models.ServerId(f"i-{number}") for number in range(10)]


def any_server(server):
    return True


def guard_with(served, unserved, now=10.0):
    """Returns a guard with outcomes at ``now`` and a grant of each server just before 10.0."""
    guard = floor_guard.FloorGuard()
    for number, server in enumerate(SERVERS):
        guard.record_grant(server, 9.5 + 0.01 * number)
    for number in range(served + unserved):
        guard.record_outcome(number < served, now)
    return guard


def test_no_server_is_named_while_requests_are_served():
    """Guards against requests that are spent on servers that failed, without need."""
    guard = guard_with(served=95, unserved=5)
    assert guard.starved(SERVERS, any_server, 11.9) == set()


def test_the_longest_unused_servers_are_named_until_seven_in_ten_are_in_use():
    """Guards against healthy capacity that lies idle while requests fail."""
    guard = guard_with(served=85, unserved=15)
    for server in SERVERS[6:]:
        guard.record_grant(server, 11.5)
    assert guard.starved(SERVERS, any_server, 11.9) == set(SERVERS[:3])
    for server in SERVERS[:3]:
        guard.record_grant(server, 11.9)
    assert guard.starved(SERVERS, any_server, 11.95) == set()


def test_servers_that_have_just_failed_are_not_named():
    """Guards against requests to a server that certainly fails them."""
    guard = guard_with(served=85, unserved=15)
    assert guard.starved(SERVERS, lambda server: server == SERVERS[3], 11.9) == {SERVERS[3]}


def test_outcomes_count_for_two_seconds():
    """Guards against servers that are named long after the last failure."""
    guard = guard_with(served=85, unserved=15)
    assert guard.many_unserved(11.9)
    assert not guard.many_unserved(12.1)


def test_a_new_server_is_named_only_after_a_while():
    """Guards against all requests going to servers that have just been added."""
    guard = guard_with(served=85, unserved=15)
    for server in SERVERS:
        guard.record_grant(server, 11.8)
    new = [models.ServerId(f"new-{number}") for number in range(10)]
    assert guard.starved(SERVERS + new, any_server, 11.9) == set()


def test_removed_servers_are_forgotten():
    """Guards against memory that grows with each replaced server."""
    guard = guard_with(served=1, unserved=9)
    guard.retain(SERVERS[:1])
    assert guard.starved(SERVERS[1:], any_server, 11.9) == set()


@pytest.mark.parametrize("gray_count", [12, 20, 26])
def test_sound_servers_stay_in_use_while_most_servers_are_gray(gray_count):
    """Guards against a floor that is broken because nearly all servers have failed."""
    zone = test_unproven_servers.Zone(
        {server.address for server in test_unproven_servers.SERVERS[:gray_count]}
    )
    zone.play(0.0, 30.0)
    for start in range(6, 28):
        sent = [server for at, server in zone.granted if start <= at < start + 2]
        failed = [server for at, server in zone.failed if start <= at < start + 2]
        if not 0.1 * len(sent) < len(failed) < 0.5 * len(sent):
            continue
        lately_failed = {server for at, server in zone.failed if start - 2 <= at < start}
        servers = {server.address for server in test_unproven_servers.SERVERS}
        sound = servers - lately_failed
        assert len(set(sent) & sound) >= 0.7 * len(sound)


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 1)), max_size=80))
def test_the_share_of_unserved_requests_is_that_of_the_window(steps):
    """Guards against a count that drifts from the outcomes it is taken from."""
    guard, now, log = floor_guard.FloorGuard(), 0.0, []
    for served, pause_s in steps:
        now += pause_s
        guard.record_outcome(served, now)
        log.append((now, served))
        recent = [served for at, served in log if now - at <= floor_guard.WINDOW_S]
        unserved = recent.count(False)
        limit = max(floor_guard.MIN_UNSERVED, floor_guard.UNSERVED_SHARE * len(recent))
        assert guard.many_unserved(now) == (unserved >= limit)
