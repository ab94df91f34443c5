"""Suspicion of gray servers."""

import random

import pytest

from dotterelfront import gray_server, health, models, pools, queueing

SERVER, OTHER = "i-1", "i-2"


def test_one_failure_makes_only_the_failed_server_suspect():
    """Guards against a gray server that fails one request of each VM before it is avoided."""
    suspicion = gray_server.Suspicion()
    suspicion.record_failure(SERVER, 0.0)
    assert suspicion.is_suspect(SERVER, 1.5)
    assert not suspicion.is_suspect(OTHER, 0.1)


def test_suspicion_decays():
    """Guards against capacity that is permanently lost after a short gray period."""
    suspicion = gray_server.Suspicion()
    for _ in range(20):
        suspicion.record_failure(SERVER, 0.0)
    assert suspicion.is_suspect(SERVER, 3.0)
    assert not suspicion.is_suspect(SERVER, 6.0)


def test_successes_clear_a_single_failure():
    """Guards against rare failures that keep a healthy server out of use."""
    suspicion = gray_server.Suspicion()
    suspicion.record_failure(SERVER, 0.0)
    for _ in range(3):
        suspicion.record_success(SERVER, 0.0)
    assert not suspicion.is_suspect(SERVER, 0.0)


def test_state_of_removed_servers_is_dropped():
    """Guards against state that grows with each restart of a server."""
    suspicion = gray_server.Suspicion()
    suspicion.record_failure(SERVER, 0.0)
    suspicion.retain({OTHER})
    assert not suspicion.is_suspect(SERVER, 0.0)


SERVERS = tuple(models.Server(name, "a", 1) for name in (SERVER, OTHER))


def make_shard(suspected):
    suspicion = gray_server.Suspicion()
    for name in suspected:
        suspicion.record_failure(name, 0.0)
    pool = models.Pool("p", SERVERS, floor=0, warmup_s=0.0)
    return pools.PoolShard(pool, SERVERS, 0.0, rng=random.Random(1), suspicion=suspicion)


def make_ticket(number, idempotent=False, enqueued=0.0):
    priority, deadline = models.Priority.NORMAL, enqueued + 8.0
    return queueing.Ticket(
        number, "r", models.NO_CUSTOMER, priority, idempotent, deadline, enqueued
    )


def granted(effects):
    return [effect.server for effect in effects if isinstance(effect, pools.Grant)]


def test_requests_wait_for_good_servers_while_a_suspected_server_has_free_slots():
    """Guards against a gray server that gets and fails all excess requests of full good servers."""
    shard = make_shard([SERVER])
    assert granted(shard.submit(make_ticket(1), 0.0)) == [OTHER]
    assert granted(shard.submit(make_ticket(2), 0.0)) == []
    assert granted(shard.complete(1, health.AttemptResult.ANSWERED, 0.3)) == [OTHER]


def test_a_request_goes_to_a_suspected_server_before_its_deadline():
    """Guards against requests that are never sent although a server has a free slot."""
    shard = make_shard([SERVER])
    shard.submit(make_ticket(1), 0.0)
    shard.submit(make_ticket(2), 0.0)
    assert granted(shard.tick(8.0 * gray_server.HOLD_SHARE + 0.01)) == [SERVER]


@pytest.mark.parametrize(("idempotent", "expected"), [(True, [SERVER]), (False, [])])
def test_only_idempotent_requests_try_a_suspected_server(idempotent, expected):
    """Guards against risking non-idempotent requests to check whether a server has recovered."""
    shard = make_shard([SERVER])
    shard.submit(make_ticket(1), 0.0)
    now = gray_server.TRIAL_INTERVAL_S
    effects = shard.submit(make_ticket(2, idempotent, now), now)
    assert granted(effects) == expected


def test_requests_do_not_wait_while_all_servers_are_suspected():
    """Guards against a service that stalls because each of its servers failed once."""
    shard = make_shard([SERVER, OTHER])
    assert len(granted(shard.submit(make_ticket(1), 0.0))) == 1


def test_two_late_requests_make_a_server_suspect():
    """Guards against a hanging server that is detected only when requests time out."""
    suspicion = gray_server.Suspicion()
    suspicion.record_late(SERVER, 0.0)
    assert not suspicion.is_suspect(SERVER, 0.0)
    suspicion.record_late(SERVER, 0.1)
    assert suspicion.is_suspect(SERVER, 0.1)


def fail_all(shard, seconds, step_s=0.01):
    """Fails each request of the suspected server immediately while the good one is full.

    Returns the number of failed requests.
    """
    failed, now = 0, 0.0
    while now < seconds:
        now += step_s
        for effect in shard.tick(now):
            if isinstance(effect, pools.Grant) and effect.server == SERVER:
                failed += 1
                shard._suspicion.record_failure(SERVER, now)
                shard.complete(effect.attempt_id, health.AttemptResult.SERVER_ERROR, now)
    return failed


def test_a_gray_server_does_not_drain_the_queue_of_full_good_servers():
    """Guards against a load peak in which a gray server with free slots fails the whole queue."""
    shard = make_shard([SERVER])
    for number in range(1, 81):
        shard.submit(make_ticket(number, idempotent=False), 0.0)
    hold_s = 8.0 * gray_server.HOLD_SHARE
    assert 1 <= fail_all(shard, hold_s + 3.0) <= 3.0 / gray_server.PAUSE_MAX_S + 4


def test_a_server_that_answers_between_failures_is_paused_only_briefly():
    """Guards against losing the capacity of a server that fails half of its requests."""
    suspicion = gray_server.Suspicion()
    for second in range(4):
        suspicion.record_failure(SERVER, float(second))
        suspicion.record_failure(SERVER, float(second))
        assert suspicion.is_paused(SERVER, second + gray_server.PAUSE_MIN_S / 2)
        assert not suspicion.is_paused(SERVER, second + gray_server.PAUSE_MIN_S)
        suspicion.record_success(SERVER, second + 0.5)


def test_free_slots_of_a_suspected_server_do_not_count_for_admission():
    """Guards against requests that are queued and refused only shortly before their deadline."""
    shard = make_shard([SERVER])
    for number in range(60):
        [grant] = shard.submit(make_ticket(number, enqueued=float(number)), float(number))
        shard.complete(grant.attempt_id, health.AttemptResult.ANSWERED, number + 0.9)
        shard._suspicion.record_failure(SERVER, number + 0.9)
        shard.tick(number + 0.9)
    effects = [shard.submit(make_ticket(100 + n, enqueued=60.0), 60.0) for n in range(20)]
    refused = [result for result in effects if result and isinstance(result[0], pools.Refusal)]
    assert len(refused) >= 10


def use(shard, now, result=health.AttemptResult.ANSWERED, number=1):
    """Sends one non-idempotent request through the shard; returns the server that got it."""
    [grant] = shard.submit(make_ticket(number, enqueued=now), now)
    shard.complete(grant.attempt_id, result, now)
    return grant.server


def test_a_server_that_failed_once_gets_requests_again_in_time_for_the_floor():
    """Guards against sending no requests to a server while the floor counts it as healthy, which it
    does from two seconds after the server's last failure."""
    shard = make_shard([SERVER])
    times = [2.0 + step / 10 for step in range(20)]
    assert SERVER in {use(shard, now, number=number) for number, now in enumerate(times)}


def test_only_one_request_is_sent_at_the_end_of_a_pause():
    """Guards against a failure on every slot of the server at the end of each pause."""
    servers = (models.Server(SERVER, "a", 6),)
    suspicion = gray_server.Suspicion()
    pool = models.Pool("p", servers, floor=0, warmup_s=0.0)
    shard = pools.PoolShard(pool, servers, 0.0, rng=random.Random(1), suspicion=suspicion)
    for _ in range(gray_server.PAUSE_AFTER_FAILURES):
        suspicion.record_failure(SERVER, 0.0)
    for number in range(6):
        shard.submit(make_ticket(number), 0.0)
    [grant] = shard.tick(gray_server.PAUSE_MIN_S + 0.01)
    suspicion.record_success(SERVER, 0.3)
    assert len(shard.complete(grant.attempt_id, health.AttemptResult.ANSWERED, 0.3)) == 5


def test_one_success_does_not_end_probing():
    """Guards against a server that answers one request in ten and then fails one on every slot."""
    suspicion = gray_server.Suspicion()
    for number in range(20):
        suspicion.record_failure(SERVER, number * 1.5)
    suspicion.record_success(SERVER, 30.0)
    assert suspicion.is_probing(SERVER)
    suspicion.record_success(SERVER, 30.1)
    assert not suspicion.is_probing(SERVER)
