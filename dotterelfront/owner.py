"""The owner task: one thread that owns all pool shards of this VM.

Worker threads call its methods and wait on the returned future::

    grant = owner.submit(key, make_shard, route, customer, deadline).result()
    owner.complete(key, grant.attempt_id, result)

A request that a server refused because of overload (``AttemptResult.REFUSED``) may be queued again
once::

    fut = owner.complete(key, grant.attempt_id, result, requeue=True)
    grant = fut.result()                # another ``Grant``, or a ``Refusal``

A future holds a ``pools.Grant`` or a ``pools.Refusal``, or raises an ``errors.RequestError``:
``NotRunError`` if the task failed before it granted a slot, ``OutcomeUnknownError`` if the request
must not be retried. A worker that stops waiting cancels its future, which frees the slot.
"""

import collections
import concurrent.futures
import itertools
import queue
import threading
from collections.abc import Callable, Collection

import msgspec
from loguru import logger

from dotterelfront import clock, errors, health, limits, models, placement, pools, queueing

TICK_S = 0.05
SECOND_OWNER_DIVISOR = 3
"""A VM that is not the first owner of a shard uses a third of the slots, so that two owners
together use at most 4/3 of a server's slots."""


class ShardKey(msgspec.Struct, frozen=True):
    """A pool and the index of one of its shards."""

    pool: models.PoolName
    shard: int


class Status(msgspec.Struct, frozen=True):
    """Counters of the task and snapshots of its shards, for metrics and status reports."""

    counters: dict[str, int]
    shards: dict[str, pools.Snapshot]


class _Waiter(msgspec.Struct):
    """A future that waits for the next effect on a ticket."""

    key: ShardKey
    fut: concurrent.futures.Future


class OwnerTask:
    """Owns the shards and runs all steps on one thread; ``now`` is a monotonic clock in seconds."""

    def __init__(self, now: Callable[[], float] = clock.now):
        self._now = now
        self._mailbox: queue.SimpleQueue = queue.SimpleQueue()
        self._open = True
        self._open_lock = threading.Lock()
        self._shards: dict[ShardKey, pools.PoolShard] = {}
        self._busy_counts: dict[models.PoolName, collections.Counter] = {}
        self._ticket_by_attempt: dict[tuple[ShardKey, int], int] = {}
        self._waiting: dict[int, _Waiter] = {}
        self._ticket_ids = itertools.count(1)
        self._customer_limiter = limits.CustomerRateLimiter()
        self._rank: Callable[[ShardKey], int | None] | None = None
        self._leaving: frozenset[models.ServerId] = frozenset()
        self._counters: collections.Counter[str] = collections.Counter()
        self._next_tick = now() + TICK_S
        self._after_tick: Callable[[dict, float], None] = lambda shards, now: None
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Stops the task; requests still waiting for a slot are refused as not run."""
        with self._open_lock:
            self._open = False
            self._mailbox.put(None)

    def set_after_tick(self, hook: Callable[[dict, float], None]) -> None:
        """Sets a function that the task calls with the shards and the time after each tick."""
        self._after_tick = hook

    def post(self, step: Callable[[float], None]) -> None:
        """Runs ``step(now)`` on the task."""
        self._enqueue(step)

    def submit(
        self,
        key: ShardKey,
        make_shard: Callable[[float], pools.PoolShard],
        route: models.Route,
        customer: models.CustomerId,
        deadline: float,
        shard_count: int = 1,
    ) -> concurrent.futures.Future:
        """Requests a slot; the future holds a ``pools.Grant`` or a ``pools.Refusal``.

        ``deadline`` is a time of the task's clock. ``make_shard`` builds the shard on first use.
        The customer's rate is divided equally among the ``shard_count`` shards of the pool.
        """
        fut: concurrent.futures.Future = concurrent.futures.Future()
        ticket_id = next(self._ticket_ids)

        def step(now: float) -> None:
            self._waiting[ticket_id] = _Waiter(key, fut)
            rate = route.customer_rate / shard_count
            if not self._customer_limiter.allow(route.name, customer, rate, now):
                refusal = pools.Refusal(ticket_id, pools.RefusalReason.CUSTOMER_LIMIT)
                self._apply_effects(key, [refusal])
                return
            ticket = queueing.Ticket(
                ticket_id, route.name, customer, route.priority, route.idempotent, deadline, now
            )
            self._apply_effects(key, self._shard(key, make_shard, now).submit(ticket, now))

        self._enqueue(step, key, ticket_id, fut)
        return fut

    def complete(
        self,
        key: ShardKey,
        attempt_id: int,
        result: health.AttemptResult,
        requeue: bool = False,
    ) -> concurrent.futures.Future | None:
        """Reports the result of an attempt and frees its slot.

        With ``requeue`` the request goes back to the queue, at most once, and the returned future
        holds its next ``Grant`` or a ``Refusal``. Use it only if the server reported that it did
        not run the request, or if the request is idempotent. The future of a non-idempotent request
        raises ``errors.OutcomeUnknownError`` after any other result. A ``Refusal`` or
        ``NotRunError`` of this future concerns the next attempt only; the outcome of the request
        also depends on the result of this attempt.
        """
        fut: concurrent.futures.Future | None = concurrent.futures.Future() if requeue else None

        def step(now: float) -> None:
            ticket_id = self._ticket_by_attempt.pop((key, attempt_id), None)
            shard = self._shards.get(key)
            if ticket_id is None or shard is None:
                self._counters["unknown-attempts"] += 1
                if fut is not None:
                    _fail_future(fut, errors.OutcomeUnknownError(f"unknown attempt {attempt_id}"))
                return
            if fut is not None:
                self._waiting[ticket_id] = _Waiter(key, fut)
            self._call_shard(key, lambda: shard.complete(attempt_id, result, now, requeue))
            self._fail_lost_waiter(
                key, ticket_id, errors.OutcomeUnknownError("not retried, may have run")
            )

        self._enqueue(step, key, None, fut)
        return fut

    def apply_tables(
        self, tables: models.Tables, rank: Callable[[ShardKey], int | None] | None = None
    ) -> None:
        """Applies new tables to the shards, and this VM's rank among the owners of each shard.

        ``rank`` returns 0 for the first owner and None if this VM is not an owner. A shard without
        a rank, or without servers in the tables, finishes its pending requests and is dropped once
        it is empty. A late request for a dropped shard creates it again with the slots of a second
        owner.
        """

        def step(now: float) -> None:
            self._rank = rank or self._rank
            pools_by_name = {pool.name: (pool, placement.shards(pool)) for pool in tables.pools}
            for key, shard in list(self._shards.items()):
                pool, shard_servers = pools_by_name.get(key.pool, (shard.pool, ()))
                servers = shard_servers[key.shard] if key.shard < len(shard_servers) else ()
                self._call_shard(key, lambda s=shard, p=pool, v=servers: s.reconfigure(p, v, now))
            self._apply_ranks(now)

        self._enqueue(step)

    def apply_ranks(self, rank: Callable[[ShardKey], int | None]) -> None:
        """Applies changed ranks among the owners; see ``apply_tables``."""

        def step(now: float) -> None:
            self._rank = rank
            self._apply_ranks(now)

        self._enqueue(step)

    def set_leaving(self, servers: Collection[models.ServerId]) -> None:
        """Applies the platform's list of leaving servers to all shards."""

        def step(now: float) -> None:
            self._leaving = frozenset(servers)
            for key, shard in list(self._shards.items()):
                self._call_shard(key, lambda s=shard: s.set_leaving(self._leaving, now))

        self._enqueue(step)

    def mark_leaving(self, key: ShardKey, server: models.ServerId, leaving: bool = True) -> None:
        """Records a server's own signal that it is leaving; it then gets no new requests."""

        def step(now: float) -> None:
            if shard := self._shards.get(key):
                self._apply_effects(key, shard.mark_leaving(server, now, leaving))

        self._enqueue(step, key)

    def status(self) -> concurrent.futures.Future:
        """Returns a future of the ``Status``."""
        fut: concurrent.futures.Future = concurrent.futures.Future()

        def step(now: float) -> None:
            shards = {f"{k.pool}/{k.shard}": s.snapshot(now) for k, s in self._shards.items()}
            counters = dict(self._counters) | {"waiting": len(self._waiting)}
            fut.set_result(Status(counters, shards))

        self._enqueue(step, fut=fut)
        return fut

    def _enqueue(
        self,
        step: Callable[[float], None],
        key: ShardKey | None = None,
        ticket_id: int | None = None,
        fut: concurrent.futures.Future | None = None,
    ) -> None:
        """Puts a step in the mailbox; an exception in the step fails only its own waiter."""

        def run_step(now: float) -> None:
            try:
                step(now)
            except Exception as exc:
                self._record_error(exc)
                error = errors.NotRunError(f"owner task: {type(exc).__name__}")
                if key is not None:
                    self._fail_lost_waiter(key, ticket_id, error)
                elif fut is not None:
                    _fail_future(fut, error)

        with self._open_lock:
            if self._open:
                self._mailbox.put(run_step)
                return
        if fut is not None:
            _fail_future(fut, errors.NotRunError("the proxy is shutting down"))

    def _run(self) -> None:
        while True:
            try:
                step = self._mailbox.get(timeout=max(0.0, self._next_tick - self._now()))
            except queue.Empty:
                step = _no_op
            if step is None:
                break
            step(self._now())
            if self._now() >= self._next_tick:
                self._next_tick = self._now() + TICK_S
                self._tick(self._now())
        self._refuse_waiters()

    def _tick(self, now: float) -> None:
        for key, shard in list(self._shards.items()):
            self._call_shard(key, lambda s=shard: s.tick(now))
            is_unowned = self._rank is not None and self._rank(key) is None
            if shard.is_empty() and (is_unowned or not shard.has_servers()):
                del self._shards[key]
                self._counters["shards-dropped"] += 1
        self._after_tick(self._shards, now)

    def _refuse_waiters(self) -> None:
        for ticket_id, waiter in list(self._waiting.items()):
            refusal = pools.Refusal(ticket_id, pools.RefusalReason.OVERLOADED)
            self._apply_effects(waiter.key, [refusal])

    def _shard(
        self, key: ShardKey, make_shard: Callable[[float], pools.PoolShard], now: float
    ) -> pools.PoolShard:
        shard = self._shards.get(key)
        if shard is None:
            shard = make_shard(now)
            shard.share_busy_counts(self._busy_counts.setdefault(key.pool, collections.Counter()))
            shard.set_leaving(self._leaving, now)
            self._shards[key] = shard
            self._apply_rank(key, now)
        return shard

    def _apply_ranks(self, now: float) -> None:
        for key in list(self._shards):
            self._apply_rank(key, now)

    def _apply_rank(self, key: ShardKey, now: float) -> None:
        """Sets the slot divisor by rank; until ranks are known, that of ``make_shard`` applies."""
        if self._rank is not None:
            divisor = 1 if self._rank(key) == 0 else SECOND_OWNER_DIVISOR
            self._call_shard(key, lambda: self._shards[key].set_slot_divisor(divisor, now))

    def _call_shard(self, key: ShardKey, call: Callable[[], list[pools.Effect]]) -> None:
        """Calls a shard and applies its effects, including those decided before an exception."""
        try:
            self._apply_effects(key, call())
        except Exception as exc:
            self._record_error(exc)
            self._apply_effects(key, self._shards[key].take_effects())

    def _apply_effects(self, key: ShardKey, effects: list[pools.Effect]) -> None:
        for effect in effects:
            is_grant = isinstance(effect, pools.Grant)
            if is_grant:
                self._ticket_by_attempt[key, effect.attempt_id] = effect.ticket_id
            waiter = self._waiting.pop(effect.ticket_id, None)
            if waiter and waiter.fut.set_running_or_notify_cancel():
                waiter.fut.set_result(effect)
            elif is_grant:
                self._counters["abandoned"] += 1
                self.complete(key, effect.attempt_id, health.AttemptResult.CANCELLED)

    def _fail_lost_waiter(
        self, key: ShardKey, ticket_id: int | None, error: errors.RequestError
    ) -> None:
        """Fails the waiter of a ticket that has no effect and is no longer queued."""
        shard = self._shards.get(key)
        if shard:
            self._apply_effects(key, shard.take_effects())
        if ticket_id in self._waiting and not (shard and shard.queued(ticket_id)):
            _fail_future(self._waiting.pop(ticket_id).fut, error)

    def _record_error(self, exc: Exception) -> None:
        self._counters["step-errors"] += 1
        if self._counters["step-errors"] == 1:
            logger.opt(exception=exc).error("a step of the owner task failed")


def _no_op(now: float) -> None:
    """Replaces a step if the mailbox is empty until the next tick."""


def _fail_future(fut: concurrent.futures.Future, error: errors.RequestError) -> None:
    if fut.set_running_or_notify_cancel():
        fut.set_exception(error)
