"""The owner task: one thread that owns all pool shards of this VM.

Workers talk to it by messages and wait on a future::

    grant = owner.submit(key, make_shard, route, customer, deadline).result()
    owner.complete(key, grant.attempt_id, result)

A request that a server shed (``AttemptResult.REFUSED``) may go back to the queue once::

    fut = owner.complete(key, grant.attempt_id, result, requeue=True)
    grant = fut.result()                # another ``Grant``, or a ``Refusal``

A future holds a ``pools.Grant`` or a ``pools.Refusal``, or raises an ``errors.RequestError``:
``NotRunError`` when the task failed before a slot was given, ``OutcomeUnknownError`` when the
request may not be sent again. A worker that gives up cancels its future; its slot is then freed.
"""

import collections
import concurrent.futures
import itertools
import queue
import threading
import time
from collections.abc import Callable, Collection

import msgspec
from loguru import logger

from dotterelfront import errors, health, limits, models, placement, pools, queueing

TICK_S = 0.05
SECOND_OWNER_DIVISOR = 3
"""A VM that is not the first owner uses a third of the slots, so that two owners load a server
with at most 4/3 of its slots."""


class ShardKey(msgspec.Struct, frozen=True):
    pool: models.PoolName
    shard: int


class Status(msgspec.Struct, frozen=True):
    """Counters of the task and the state of its shards, for metrics and status."""

    counters: dict[str, int]
    shards: dict[str, pools.Snapshot]


class _Waiter(msgspec.Struct):
    key: ShardKey
    fut: concurrent.futures.Future


class OwnerTask:
    """Mailbox in front of the shards. ``now`` is a monotonic clock in seconds."""

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._mailbox: queue.SimpleQueue = queue.SimpleQueue()
        self._open = True
        self._open_lock = threading.Lock()
        self._shards: dict[ShardKey, pools.PoolShard] = {}
        self._busy: dict[models.PoolName, collections.Counter] = {}
        self._attempts: dict[tuple[ShardKey, int], int] = {}
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
        """Ends the task; requests that still wait for a slot are refused as not run."""
        with self._open_lock:
            self._open = False
            self._mailbox.put(None)

    def set_after_tick(self, hook: Callable[[dict, float], None]) -> None:
        """Sets a function that runs on the task with the shards after each tick."""
        self._after_tick = hook

    def post(self, step: Callable[[float], None]) -> None:
        """Runs ``step(now)`` on the task."""
        self._send(step)

    def submit(
        self,
        key: ShardKey,
        make_shard: Callable[[float], pools.PoolShard],
        route: models.Route,
        customer: models.CustomerId,
        deadline: float,
        shard_count: int = 1,
    ) -> concurrent.futures.Future:
        """Asks for a slot; the future holds a ``pools.Grant`` or a ``pools.Refusal``.

        ``deadline`` is on the task's clock. ``make_shard`` builds the shard on its first use. With
        ``shard_count`` shards in the pool, each enforces its part of the customer's rate.
        """
        fut: concurrent.futures.Future = concurrent.futures.Future()
        ticket_id = next(self._ticket_ids)

        def step(now: float) -> None:
            self._waiting[ticket_id] = _Waiter(key, fut)
            rate = route.customer_rate / shard_count
            if not self._customer_limiter.allow(route.name, customer, rate, now):
                refusal = pools.Refusal(ticket_id, pools.RefusalReason.CUSTOMER_LIMIT)
                self._carry_out(key, [refusal])
                return
            ticket = queueing.Ticket(
                ticket_id, route.name, customer, route.priority, route.idempotent, deadline, now
            )
            self._carry_out(key, self._shard(key, make_shard, now).submit(ticket, now))

        self._send(step, key, ticket_id, fut)
        return fut

    def complete(
        self,
        key: ShardKey,
        attempt_id: int,
        result: health.AttemptResult,
        requeue: bool = False,
    ) -> concurrent.futures.Future | None:
        """Reports how an attempt ended and frees its slot.

        With ``requeue`` the request goes back to the queue, at most once, and the returned future
        holds its next ``Grant`` or a ``Refusal``. Use it only when the server said that it did not
        run the request, or for an idempotent one. The future of a non-idempotent request raises
        ``errors.OutcomeUnknownError`` after any other result. A ``Refusal`` or ``NotRunError`` of
        this future is about the next attempt only; what the caller may conclude also depends on how
        this one ended.
        """
        fut: concurrent.futures.Future | None = concurrent.futures.Future() if requeue else None

        def step(now: float) -> None:
            ticket_id = self._attempts.pop((key, attempt_id), None)
            shard = self._shards.get(key)
            if ticket_id is None or shard is None:
                self._counters["unknown-attempts"] += 1
                if fut is not None:
                    _fail(fut, errors.OutcomeUnknownError(f"unknown attempt {attempt_id}"))
                return
            if fut is not None:
                self._waiting[ticket_id] = _Waiter(key, fut)
            self._guarded(key, lambda: shard.complete(attempt_id, result, now, requeue))
            self._recover(key, ticket_id, errors.OutcomeUnknownError("not sent again"))

        self._send(step, key, None, fut)
        return fut

    def apply_tables(
        self, tables: models.Tables, rank: Callable[[ShardKey], int | None] | None = None
    ) -> None:
        """Applies new tables to the shards, and this VM's place among each shard's owners.

        ``rank`` returns 0 for the first owner and None where this VM is none of the owners. A shard
        without a rank, or that the tables no longer have, serves what it has and is dropped once it
        is empty. A late request for a dropped shard builds it anew as that of a second owner.
        """

        def step(now: float) -> None:
            self._rank = rank or self._rank
            found = {pool.name: (pool, placement.shards(pool)) for pool in tables.pools}
            for key, shard in list(self._shards.items()):
                pool, parts = found.get(key.pool, (shard.pool, ()))
                servers = parts[key.shard] if key.shard < len(parts) else ()
                self._guarded(key, lambda s=shard, p=pool, v=servers: s.reconfigure(p, v, now))
            self._apply_ranks(now)

        self._send(step)

    def apply_ranks(self, rank: Callable[[ShardKey], int | None]) -> None:
        """Applies a changed place among the owners; see ``apply_tables``."""

        def step(now: float) -> None:
            self._rank = rank
            self._apply_ranks(now)

        self._send(step)

    def set_leaving(self, servers: Collection[models.ServerId]) -> None:
        """Applies the platform's list of leaving servers to all shards."""

        def step(now: float) -> None:
            self._leaving = frozenset(servers)
            for key, shard in list(self._shards.items()):
                self._guarded(key, lambda s=shard: s.set_leaving(self._leaving, now))

        self._send(step)

    def mark_leaving(self, key: ShardKey, server: models.ServerId, leaving: bool = True) -> None:
        """Records a server's own signal that it leaves; it gets no new work from then on."""

        def step(now: float) -> None:
            if shard := self._shards.get(key):
                self._carry_out(key, shard.mark_leaving(server, now, leaving))

        self._send(step, key)

    def status(self) -> concurrent.futures.Future:
        """Returns a future of the ``Status``."""
        fut: concurrent.futures.Future = concurrent.futures.Future()

        def step(now: float) -> None:
            shards = {f"{k.pool}/{k.shard}": s.snapshot(now) for k, s in self._shards.items()}
            counters = dict(self._counters) | {"waiting": len(self._waiting)}
            fut.set_result(Status(counters, shards))

        self._send(step, fut=fut)
        return fut

    def _send(
        self,
        step: Callable[[float], None],
        key: ShardKey | None = None,
        ticket_id: int | None = None,
        fut: concurrent.futures.Future | None = None,
    ) -> None:
        """Puts a step in the mailbox; a step that raises fails its own waiter only."""

        def guarded(now: float) -> None:
            try:
                step(now)
            except Exception as exc:
                self._note_error(exc)
                error = errors.NotRunError(f"owner task: {type(exc).__name__}")
                if key is not None:
                    self._recover(key, ticket_id, error)
                elif fut is not None:
                    _fail(fut, error)

        with self._open_lock:
            if self._open:
                self._mailbox.put(guarded)
                return
        if fut is not None:
            _fail(fut, errors.NotRunError("the proxy is shutting down"))

    def _run(self) -> None:
        while True:
            try:
                step = self._mailbox.get(timeout=max(0.0, self._next_tick - self._now()))
            except queue.Empty:
                step = _nothing
            if step is None:
                break
            step(self._now())
            if self._now() >= self._next_tick:
                self._next_tick = self._now() + TICK_S
                self._tick(self._now())
        self._refuse_waiters()

    def _tick(self, now: float) -> None:
        for key, shard in list(self._shards.items()):
            self._guarded(key, lambda s=shard: s.tick(now))
            unowned = self._rank is not None and self._rank(key) is None
            if shard.is_empty() and (unowned or not shard.has_servers()):
                del self._shards[key]
                self._counters["shards-dropped"] += 1
        self._after_tick(self._shards, now)

    def _refuse_waiters(self) -> None:
        for ticket_id, waiter in list(self._waiting.items()):
            refusal = pools.Refusal(ticket_id, pools.RefusalReason.OVERLOADED)
            self._carry_out(waiter.key, [refusal])

    def _shard(
        self, key: ShardKey, make_shard: Callable[[float], pools.PoolShard], now: float
    ) -> pools.PoolShard:
        shard = self._shards.get(key)
        if shard is None:
            shard = make_shard(now)
            shard.share_busy_counts(self._busy.setdefault(key.pool, collections.Counter()))
            shard.set_leaving(self._leaving, now)
            self._shards[key] = shard
            self._apply_rank(key, now)
        return shard

    def _apply_ranks(self, now: float) -> None:
        for key in list(self._shards):
            self._apply_rank(key, now)

    def _apply_rank(self, key: ShardKey, now: float) -> None:
        """Leaves the divisor that ``make_shard`` chose until the ranks are known."""
        if self._rank is not None:
            divisor = 1 if self._rank(key) == 0 else SECOND_OWNER_DIVISOR
            self._guarded(key, lambda: self._shards[key].set_slot_divisor(divisor, now))

    def _guarded(self, key: ShardKey, call: Callable[[], list[pools.Effect]]) -> None:
        """Carries out a call to a shard; what it decided before an exception is carried out too."""
        try:
            self._carry_out(key, call())
        except Exception as exc:
            self._note_error(exc)
            self._carry_out(key, self._shards[key].take_effects())

    def _carry_out(self, key: ShardKey, effects: list[pools.Effect]) -> None:
        for effect in effects:
            granted = isinstance(effect, pools.Grant)
            if granted:
                self._attempts[key, effect.attempt_id] = effect.ticket_id
            waiter = self._waiting.pop(effect.ticket_id, None)
            if waiter and waiter.fut.set_running_or_notify_cancel():
                waiter.fut.set_result(effect)
            elif granted:
                self._counters["abandoned"] += 1
                self.complete(key, effect.attempt_id, health.AttemptResult.CANCELLED)

    def _recover(self, key: ShardKey, ticket_id: int | None, error: errors.RequestError) -> None:
        """Fails the waiter of a ticket that an interrupted step left without an effect."""
        shard = self._shards.get(key)
        if shard:
            self._carry_out(key, shard.take_effects())
        if ticket_id in self._waiting and not (shard and shard.queued(ticket_id)):
            _fail(self._waiting.pop(ticket_id).fut, error)

    def _note_error(self, exc: Exception) -> None:
        self._counters["step-errors"] += 1
        if self._counters["step-errors"] == 1:
            logger.opt(exception=exc).error("a step of the owner task failed")


def _nothing(now: float) -> None:
    """Takes the place of a step when the mailbox is empty until the next tick."""


def _fail(fut: concurrent.futures.Future, error: errors.RequestError) -> None:
    if fut.set_running_or_notify_cancel():
        fut.set_exception(error)
