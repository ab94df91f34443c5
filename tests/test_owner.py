"""Tests of the owner task: waiters, tables, ranks, exceptions and shutdown."""

import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelfront import errors, health, models, owner, pools

RESULT = health.AttemptResult
KEY = owner.ShardKey("p", 0)
ROUTE = models.Route("r", "/", "p")
WAIT_S = 10


def make_pool(count=2, slots=3, first_index=0):
    indexes = range(first_index, first_index + count)
    return models.Pool(
        "p", tuple(models.Server(f"10.0.0.{i}:80", "a", slots) for i in indexes), floor=1
    )


def make_tables(*pool_list):
    return models.Tables(models.Revision(1), (ROUTE,), pool_list)


class Harness:
    """An owner task on a simulated clock.

    ``settle`` waits until the mailbox is processed, advances the clock and waits for the tick.
    """

    def __init__(self, pool=None, queue=100):
        self.now, self.pool, self.queue = 0.0, pool or make_pool(), queue
        self.task = owner.OwnerTask(lambda: self.now)
        self.task.start()

    def make_shard(self, now):
        return pools.PoolShard(self.pool, self.pool.servers, now, max_queue_length=self.queue)

    def submit(self, route=ROUTE, deadline=100.0, customer="c", key=KEY):
        return self.task.submit(key, self.make_shard, route, customer, deadline)

    def complete(self, grant, result=RESULT.ANSWERED, requeue=False):
        return self.task.complete(KEY, grant.attempt_id, result, requeue)

    def settle(self, seconds=0.0):
        self.wait_for_mailbox()
        self.now += seconds
        self.wait_for_mailbox()
        return self.wait_for_mailbox()

    def wait_for_mailbox(self):
        """Waits for the steps sent so far; returns the status, or None if the step raised."""
        with contextlib.suppress(errors.NotRunError):
            return self.task.status().result(WAIT_S)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.task.stop()
        self.task._thread.join(WAIT_S)


def test_freed_slot_goes_to_a_waiter_and_a_refused_request_is_requeued():
    """Guards against a slot or waiter lost when an attempt is completed or requeued."""
    with Harness(make_pool(1, 1)) as harness:
        grant = harness.submit().result(WAIT_S)
        second = harness.submit()
        requeued = harness.complete(grant, RESULT.REFUSED, True)
        assert not harness.settle().counters.get("unknown-attempts")
        harness.settle(2.0)
        done = [fut for fut in (requeued, second) if fut.done()]
        assert len(done) == 1
        harness.complete(done[0].result())
        harness.settle()
        assert isinstance(requeued.result(WAIT_S), pools.Grant)
        assert isinstance(second.result(WAIT_S), pools.Grant)


def test_requeue_of_a_request_that_may_have_run_fails():
    """Guards against a waiter that never ends, or a second run, after an unsafe ``requeue``."""
    with Harness() as harness:
        grant = harness.submit().result(WAIT_S)
        fut = harness.complete(grant, RESULT.BROKEN, True)
        with pytest.raises(errors.OutcomeUnknownError):
            fut.result(WAIT_S)
        assert harness.settle().shards["p/0"].in_flight == 0


def test_customer_rate_limit_is_enforced():
    """Guards against a route whose rate limit per customer is not enforced."""
    route = models.Route("limited", "/", "p", customer_rate=2.0)
    with Harness() as harness:
        effects = [harness.submit(route).result(WAIT_S) for _ in range(3)]
        assert effects[2].reason is pools.RefusalReason.CUSTOMER_LIMIT
        assert isinstance(harness.submit(route, customer="d").result(WAIT_S), pools.Grant)


def test_new_tables_apply_to_existing_shards():
    """Guards against requests to a removed server, and slots lost when it moves to a shard."""
    with Harness(make_pool(2, 1)) as harness:
        grants = [harness.submit().result(WAIT_S) for _ in range(2)]
        waiting = harness.submit()
        harness.task.apply_tables(make_tables(make_pool(1, 1, first_index=1)))
        by_server = {grant.server: grant for grant in grants}
        harness.complete(by_server["10.0.0.0:80"])
        harness.settle()
        assert not waiting.done()
        harness.complete(by_server["10.0.0.1:80"])
        assert waiting.result(WAIT_S).server == "10.0.0.1:80"
        other = owner.ShardKey(KEY.pool, 1)
        moved = harness.submit(key=other)
        harness.settle()
        assert moved.result(WAIT_S).server == "10.0.0.0:80"
        last_waiter = harness.submit(key=other)
        harness.settle()
        assert not last_waiter.done()


def test_removed_pool_refuses_waiters_and_is_dropped_once_empty():
    """Guards against lost waiters and aborted in-flight requests when a pool is removed."""
    with Harness(make_pool(1, 1)) as harness:
        grant = harness.submit().result(WAIT_S)
        waiting = harness.submit()
        harness.task.apply_tables(make_tables())
        assert isinstance(waiting.result(WAIT_S), pools.Refusal)
        assert harness.settle(0.1).shards["p/0"].in_flight == 1
        harness.complete(grant)
        assert harness.settle(0.1).shards == {}


def test_rank_sets_the_slots_and_drops_unowned_shards():
    """Guards against two owners that both use all slots, and against shards never dropped."""
    with Harness(make_pool(1, 6)) as harness:
        harness.task.apply_ranks(lambda key: 1)
        futs = [harness.submit() for _ in range(4)]
        assert harness.settle().shards["p/0"].in_flight == 2
        harness.task.apply_ranks(lambda key: 0)
        grants = [fut.result(WAIT_S) for fut in futs]
        harness.task.apply_ranks(lambda key: None)
        harness.complete(grants[0])
        assert harness.settle(0.1).shards["p/0"].in_flight == 3
        for grant in grants[1:]:
            harness.complete(grant)
        status = harness.settle(0.1)
        assert (status.shards, status.counters["shards-dropped"]) == ({}, 1)
        assert isinstance(harness.submit().result(WAIT_S), pools.Grant)


def test_leaving_servers_get_no_requests():
    """Guards against requests to a server marked as leaving by the platform or by itself."""
    with Harness(make_pool(3, 1)) as harness:
        harness.task.set_leaving({"10.0.0.0:80"})
        harness.submit().result(WAIT_S)
        harness.task.mark_leaving(KEY, "10.0.0.1:80")
        harness.task.mark_leaving(KEY, "10.0.0.2:80")
        assert isinstance(harness.submit().result(WAIT_S), pools.Refusal)
        harness.task.set_leaving(())
        assert harness.submit().result(WAIT_S).server == "10.0.0.0:80"


def test_shutdown_refuses_waiters_and_new_requests():
    """Guards against callers that wait forever for a stopped task."""
    with Harness(make_pool(1, 1)) as harness:
        grant = harness.submit().result(WAIT_S)
        waiting = [harness.submit() for _ in range(5)]
    assert all(isinstance(fut.result(WAIT_S), pools.Refusal) for fut in waiting)
    with pytest.raises(errors.NotRunError):
        harness.submit().result(WAIT_S)
    harness.complete(grant)


def test_failed_and_cancelled_waiters_leak_no_slot():
    """Guards against a waiter lost by an exception, and a slot lost by a cancelled waiter."""
    with Harness(make_pool(1, 1)) as harness:
        harness.pool, pool = None, harness.pool
        with pytest.raises(errors.NotRunError):
            harness.submit().result(WAIT_S)
        harness.pool = pool
        grant = harness.submit().result(WAIT_S)
        assert harness.submit().cancel()
        last_waiter = harness.submit()
        harness.complete(grant)
        assert isinstance(last_waiter.result(WAIT_S), pools.Grant)


STEPS = st.lists(st.sampled_from(["submit", "complete", "requeue", "tick", "tables"]), max_size=25)


@settings(max_examples=60)
@given(STEPS, st.sampled_from(["on_start", "on_finish", "tick", "eligible", "penalty"]))
def test_exceptions_leak_no_waiter_and_no_slot(steps, method):
    """Guards against lost waiters and slots when a method of the health test raises."""
    with Harness(make_pool(2, 1), queue=3) as harness:
        rng = random.Random(len(steps))
        futs, completed = [harness.submit()], set()
        harness.settle()
        shard_health = harness.task._shards[KEY].health
        original = getattr(shard_health, method)

        def failing_call(*args):
            if rng.random() < 0.3:
                raise RuntimeError("health")
            return original(*args)

        setattr(shard_health, method, failing_call)
        for step in steps:
            harness.settle(0.06 if step == "tick" else 0.0)
            grants = {f.result() for f in futs if f.done() and isinstance(f.result(), pools.Grant)}
            if step == "submit":
                futs.append(harness.submit())
            elif step == "tables":
                harness.task.apply_tables(make_tables(make_pool(2, 1)))
            elif step != "tick" and grants - completed:
                grant = min(grants - completed, key=lambda grant: grant.attempt_id)
                completed.add(grant)
                fut = harness.complete(grant, RESULT.REFUSED, requeue=step == "requeue")
                futs += [fut] if fut else []
        setattr(shard_health, method, original)
        harness.settle(200.0)
        status = harness.settle()
        assert all(fut.done() for fut in futs)
        granted = sum(isinstance(fut.result(), pools.Grant) for fut in futs)
        assert status.counters["waiting"] == 0
        assert status.shards["p/0"].in_flight == granted - len(completed)
