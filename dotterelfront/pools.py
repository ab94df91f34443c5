"""A pool shard: the queue, the slots and the health of its servers in one state machine.

Does no I/O: the caller passes in every event with the time and applies the returned effects::

    shard = PoolShard(pool, servers, now=0.0)
    effects = shard.submit(ticket, now=0.0)       # [Grant(ticket_id, server, attempt_id)]
    effects = shard.complete(attempt_id, health.AttemptResult.ANSWERED, now=0.1)

Each ticket gets one ``Grant`` or ``Refusal``, and one more of either when ``complete`` returns it
to the queue. Effects are stored until they are returned, so that an exception in a health rule
loses none: ``take_effects`` returns the effects of a call that was interrupted by an exception.
"""

import collections
import enum
import heapq
import math
import random
from collections.abc import Collection, Iterable

import msgspec

from dotterelfront import (
    floor_guard,
    gray_server,
    health,
    load_shedding,
    models,
    queueing,
    server_choice,
)

MAX_QUEUE_LENGTH = 256
RESERVED_SHARE = 0.25
"""Upper bound of the share of slots that is reserved for short routes. The reserve is smaller when
short routes need fewer slots."""
LONG_FACTOR = 4.0
"""A route is long when its median service time is at least this many times the shortest median
among the routes in recent use."""
RECENT_S = 10.0
"""A route is in recent use for this long after a request."""
ROUTE_MEMORY_S = 3_600.0
"""A reconfiguration drops the learned times of routes without requests for this long."""
OVERDUE_FACTOR = 2.0
"""A request is overdue after this many times the 95th percentile of its route."""
OVERDUE_CAP = 0.25
"""A route whose overdue requests hold this share of the slots is treated as long."""
GRANT_RATE_TAU_S = 1.0
"""Time constant of the moving average of slot time granted to each priority class."""

NOT_RUN_RESULTS = (health.AttemptResult.REFUSED, health.AttemptResult.CONNECT_FAILED)
"""Results after which a non-idempotent request may be retried, because it was not executed."""
TIMED_RESULTS = (health.AttemptResult.ANSWERED, health.AttemptResult.TIMEOUT)
"""Results whose duration is a sample of the route's service time; errors are often quick."""
UNSERVED_RESULTS = (
    health.AttemptResult.SERVER_ERROR,
    health.AttemptResult.BROKEN,
    health.AttemptResult.TIMEOUT,
)
"""Results after which a non-idempotent request, or a retry, is not served."""


class RefusalReason(enum.Enum):
    """Why a shard did not give a request a slot."""

    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    CUSTOMER_LIMIT = "customer-limit"
    EXCLUDED = "excluded"
    """The request excludes all servers."""
    NO_FREE_SLOT = "no-room"
    """No slot is free now, and the request asked not to wait."""


class Grant(msgspec.Struct, frozen=True):
    """The request may be sent to ``server`` now."""

    ticket_id: int
    server: models.ServerId
    attempt_id: int


class Refusal(msgspec.Struct, frozen=True):
    """The request was not sent to a server and will not be."""

    ticket_id: int
    reason: RefusalReason


Effect = Grant | Refusal


class ServerSnapshot(msgspec.Struct, frozen=True):
    """State of one server for metrics and status.

    ``usable`` is the number of its slots that may be in use at the moment.
    """

    address: models.ServerId
    in_flight: int
    usable: int
    leaving: bool
    eligible: bool
    penalty: float


class Snapshot(msgspec.Struct, frozen=True):
    """State of a shard for metrics and status."""

    pool: models.PoolName
    queued: dict[str, int]
    in_flight: int
    overdue: int
    slots: int
    slot_divisor: int
    long_routes: tuple[models.RouteName, ...]
    servers: tuple[ServerSnapshot, ...]
    counters: dict[str, int]


class _Running(msgspec.Struct):
    """A request in flight. Requests marked ``slow`` may not use the reserved slots."""

    attempt: health.Attempt
    ticket: queueing.Ticket
    slow: bool
    overdue: bool = False


class PoolShard:
    """Queue, slots and health of the servers of one shard.

    ``rng`` breaks ties between equally ranked servers. ``slot_divisor`` is above 1 on a VM that is
    not the first owner.
    """

    def __init__(
        self,
        pool: models.Pool,
        servers: tuple[models.Server, ...],
        now: float,
        slot_divisor: int = 1,
        rng: random.Random | None = None,
        max_queue_length: int = MAX_QUEUE_LENGTH,
        suspicion: gray_server.Suspicion | None = None,
    ):
        self._pool = pool
        self._suspicion = suspicion or gray_server.Suspicion()
        self._servers = {server.address: server for server in servers}
        self._queue = queueing.RequestQueue(max_queue_length)
        self._held: dict[int, queueing.Entry] = {}
        """Tickets from the head of the queue whose permitted servers are busy, by id. Tickets that
        may use other servers pass them."""
        self._times = queueing.RouteTimes()
        self._in_flight: dict[int, _Running] = {}
        self._busy: collections.Counter[models.ServerId] = collections.Counter()
        self._in_flight_by_route: collections.Counter[models.RouteName] = collections.Counter()
        self._overdue: collections.Counter[models.RouteName] = collections.Counter()
        self._overdue_heap: list[tuple[float, int]] = []
        self._slow_in_flight = 0
        self._last_use: dict[models.RouteName, float] = {}
        self._long: set[models.RouteName] = set()
        self._mean_short_in_flight = 0.0
        self._grant_rates = [(0.0, now) for _ in models.Priority]
        self.shedding = load_shedding.ShedLimits()
        self._floor_guard = floor_guard.FloorGuard()
        self._platform_leaving: frozenset[models.ServerId] = frozenset()
        self._signalled_leaving: set[models.ServerId] = set()
        self._slots_exhausted = False
        self._next_attempt = 1
        self._effects: list[Effect] = []
        self._refreshed_at = now
        self.counters: collections.Counter[str] = collections.Counter()
        self.health = health.ShardHealth(pool, servers, now)
        self._choice = server_choice.ServerChoice(
            self._suspicion,
            self.shedding,
            self.health,
            self._floor_guard,
            self._busy,
            rng or random.Random(pool.name),
            slot_divisor,
        )
        self._refresh(now)

    def submit(self, ticket: queueing.Ticket, now: float, wait: bool = True) -> list[Effect]:
        """Queues a request, or refuses it at once when it cannot finish before its deadline.

        Without ``wait`` a request is refused unless a server that is not suspected has a free slot.
        """
        self.counters["submitted"] += 1
        if not wait and not self._has_free_slot(ticket, now):
            self._refuse(ticket, RefusalReason.NO_FREE_SLOT, now)
            return self.take_effects()
        self._last_use[ticket.route] = now
        long = self._is_long(ticket.route)
        cost = self._times.mean(ticket.route)
        if ticket.healthy_only and self._choice.sends_away(now):
            self._refuse(ticket, RefusalReason.NO_FREE_SLOT, now)
        elif not self._choice.active:
            self._refuse(ticket, RefusalReason.OVERLOADED, now)
        elif not self._choice.has_candidates(ticket):
            self._refuse(ticket, RefusalReason.EXCLUDED, now)
        elif now + self._expected_time(ticket, cost, long, now) >= ticket.deadline:
            self._refuse(ticket, RefusalReason.DEADLINE, now)
        else:
            self._enqueue(ticket, cost, long, now)
            if not self._slots_exhausted:
                self._dispatch(now)
        return self.take_effects()

    def complete(
        self, attempt_id: int, result: health.AttemptResult, now: float, requeue: bool = False
    ) -> list[Effect]:
        """Frees the slot of an attempt; an unknown attempt changes nothing.

        With ``requeue`` the ticket gets one more ``Grant`` or ``Refusal``: it returns to the front
        of its customer's tickets if it can still meet its deadline and was not requeued before. A
        non-idempotent request is requeued only after a result that proves that it was not executed;
        otherwise ``requeue`` is ignored and the ticket gets no effect.
        """
        running = self._in_flight.pop(attempt_id, None)
        if running is None:
            return self.take_effects()
        attempt = running.attempt
        self._free_slot(running)
        self.counters[result.value] += 1
        if result in TIMED_RESULTS:
            self._times.observe(attempt.route, now - attempt.started, now)
        self._record_shedding(attempt.server, result, now)
        self._record_served(running.ticket, result, now)
        if requeue and (running.ticket.idempotent or result in NOT_RUN_RESULTS):
            self._requeue(running.ticket, now)
        try:
            self.health.on_finish(attempt, result, now)
        finally:
            self._dispatch(now)
        return self.take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Drops expired tickets and refreshes the derived state; call it every 50 ms."""
        try:
            self.health.tick(now)
        finally:
            self._refresh(now)
            self._dispatch(now)
        return self.take_effects()

    def reconfigure(
        self, pool: models.Pool, servers: tuple[models.Server, ...], now: float
    ) -> list[Effect]:
        """Applies a changed pool or server list.

        The queue, the requests in flight and the health of the remaining servers are kept. A
        removed server gets no new work; its requests in flight complete and still count against its
        slots if it is added again.
        """
        old, self._pool = self._servers, pool
        self._servers = {server.address: server for server in servers}
        for address, server in old.items():
            if self._servers.get(address) != server:
                self._signalled_leaving.discard(address)
                self.shedding.forget(address)
        self._floor_guard.retain(self._servers)
        for route in [r for r, last in self._last_use.items() if now - last > ROUTE_MEMORY_S]:
            self._forget_route(route)
        try:
            self.health.reconfigure(pool, servers, now)
        finally:
            self._refresh(now)
            self._dispatch(now)
        return self.take_effects()

    def set_slot_divisor(self, slot_divisor: int, now: float) -> list[Effect]:
        """Changes the divisor of the slots after this VM became or ceased to be the first owner."""
        self._choice.slot_divisor = slot_divisor
        self._refresh(now)
        self._dispatch(now)
        return self.take_effects()

    def set_leaving(self, servers: Collection[models.ServerId], now: float) -> list[Effect]:
        """Replaces the platform's list of leaving servers."""
        self._platform_leaving = frozenset(servers)
        self._refresh(now)
        self._dispatch(now)
        return self.take_effects()

    def mark_leaving(
        self, server: models.ServerId, now: float, leaving: bool = True
    ) -> list[Effect]:
        """Records a server's own signal that it is leaving.

        The signal applies until it is withdrawn or the server's configuration changes.
        """
        if leaving and server in self._servers:
            self._signalled_leaving.add(server)
        else:
            self._signalled_leaving.discard(server)
        self._refresh(now)
        self._dispatch(now)
        return self.take_effects()

    @property
    def pool(self) -> models.Pool:
        return self._pool

    def queued(self, ticket_id: int) -> bool:
        return ticket_id in self._queue or ticket_id in self._held

    def withdraw(self, ticket_id: int, now: float) -> list[Effect]:
        """Removes a queued ticket that its caller has given up; the ticket gets no effect."""
        held = self._held.pop(ticket_id, None)
        if held is not None or self._queue.remove(ticket_id) is not None:
            self.counters["withdrawn"] += 1
            self._dispatch(now)
        return self.take_effects()

    def mean_service_s(self, route: models.RouteName) -> float | None:
        """Returns the mean service time of a route, None while there are too few samples."""
        return self._times.known_mean(route)

    def expected_wait_s(self, route: models.RouteName, now: float) -> float:
        """Returns the expected wait in seconds of a new request when all slots are busy.

        It is infinite while all servers are suspected.
        """
        if self._choice.all_suspect(now):
            return math.inf
        return (self._queue.total_work() + self._times.mean(route)) / self._good_slots

    def is_trial_due(self, now: float) -> bool:
        """Whether all servers are suspected and one of them should be tested by a request."""
        return self._choice.is_trial_due(now)

    def has_servers(self) -> bool:
        return bool(self._servers)

    def share_busy_counts(self, busy: "collections.Counter[models.ServerId]") -> None:
        """Uses ``busy`` as the count of busy slots, shared with the other shards of the pool.

        The count of a server then stays correct when it moves between two shards of one VM.
        """
        busy.update(self._busy)
        self._busy = self._choice.busy = busy

    def take_effects(self) -> list[Effect]:
        """Returns and clears the effects that no call has returned yet."""
        effects, self._effects = self._effects, []
        return effects

    def is_empty(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not (self._queue or self._held or self._in_flight or self._effects)

    def snapshot(self, now: float) -> Snapshot:
        return Snapshot(
            pool=self._pool.name,
            queued={p.name.lower(): count for p, count in self._queue.lengths().items()},
            in_flight=len(self._in_flight),
            overdue=self._overdue.total(),
            slots=self._capacity,
            slot_divisor=self._choice.slot_divisor,
            long_routes=tuple(sorted(r for r in self._last_use if self._is_long(r))),
            servers=tuple(
                ServerSnapshot(
                    address,
                    self._busy[address],
                    self._choice.usable_slots(server, now),
                    address not in self._choice.active,
                    self.health.eligible(address, False, now),
                    self.health.penalty(address, now),
                )
                for address, server in self._servers.items()
            ),
            counters=dict(self.counters),
        )

    def _dispatch(self, now: float) -> None:
        """Refuses tickets that are too late and grants free slots to the next tickets."""
        for ticket in self._queue.remove_expired(now):
            self._refuse(ticket, RefusalReason.DEADLINE, now)
        if self._queue and self._choice.sends_away(now):
            tickets = self._queue.remove_healthy_only()
            self._refuse_all(tickets, RefusalReason.NO_FREE_SLOT, now)
        if not self._choice.active:
            self._refuse_all(self._queue.remove_all(), RefusalReason.OVERLOADED, now)
        self._mark_overdue(now)
        self._dispatch_held(now)
        self._slots_exhausted = False
        while self._queue:
            allow_long = self._slow_in_flight < self._long_limit
            entry = self._next_ticket(allow_long, now)
            if entry is None:
                return
            server = self._choice.select(entry.ticket, now)
            if server is not None and self._choice.should_hold(entry.ticket, server, now):
                return
            if server is None and entry.ticket.excluded:
                self._queue.dequeue(entry, allow_long)
                self._held[entry.ticket.ticket_id] = entry
                continue
            if server is None:
                # A server may be eligible for idempotent requests only. Only an idempotent ticket
                # without a slot therefore proves that no other ticket can get one.
                self._slots_exhausted = entry.ticket.idempotent
                return
            self._queue.dequeue(entry, allow_long)
            self._grant(entry, server, now)

    def _dispatch_held(self, now: float) -> None:
        """Grants slots to held tickets, oldest first, and refuses those that cannot be served."""
        for entry in list(self._held.values()):
            ticket = entry.ticket
            reason = self._held_refusal(ticket, now)
            server = self._choice.select(ticket, now) if reason is None else None
            if reason is not None:
                del self._held[ticket.ticket_id]
                self._refuse(ticket, reason, now)
            elif server is not None and not self._choice.should_hold(ticket, server, now):
                del self._held[ticket.ticket_id]
                self._grant(entry, server, now)

    def _held_refusal(self, ticket: queueing.Ticket, now: float) -> RefusalReason | None:
        """Returns why a held ticket can no longer be served, None if it can."""
        if not self._choice.active:
            return RefusalReason.OVERLOADED
        if ticket.healthy_only and self._choice.sends_away(now):
            return RefusalReason.NO_FREE_SLOT
        return self._refusal(ticket, now)

    def _refusal(self, ticket: queueing.Ticket, now: float) -> RefusalReason | None:
        """Returns why a ticket cannot be served in time, None if it can."""
        if now + self._service_time(ticket.route, now) >= ticket.deadline:
            return RefusalReason.DEADLINE
        return None if self._choice.has_candidates(ticket) else RefusalReason.EXCLUDED

    def _next_ticket(self, allow_long: bool, now: float) -> queueing.Entry | None:
        """Returns the next ticket that can be served in time; refuses those that cannot."""
        while entry := self._queue.select(allow_long):
            ticket = entry.ticket
            reason = self._refusal(ticket, now)
            if reason is not None:
                self._queue.remove(ticket.ticket_id)
                self._refuse(ticket, reason, now)
            elif not entry.long and self._is_long(ticket.route):
                self._queue.move_to_long(entry)
            else:
                return entry
        return None

    def _grant(self, entry: queueing.Entry, server: models.ServerId, now: float) -> None:
        ticket = entry.ticket
        attempt = health.Attempt(
            self._next_attempt, server, ticket.route, ticket.idempotent, started=now
        )
        self._next_attempt += 1
        self._in_flight[attempt.attempt_id] = _Running(attempt, ticket, slow=entry.long)
        self._busy[server] += 1
        self._in_flight_by_route[ticket.route] += 1
        self._slow_in_flight += entry.long
        overdue_after_s = self._times.overdue_after(ticket.route, OVERDUE_FACTOR)
        if overdue_after_s is not None:
            heapq.heappush(self._overdue_heap, (now + overdue_after_s, attempt.attempt_id))
            if len(self._overdue_heap) > 2 * len(self._in_flight) + queueing.COMPACT_MIN:
                self._overdue_heap = [i for i in self._overdue_heap if i[1] in self._in_flight]
                heapq.heapify(self._overdue_heap)
        self._grant_rates[ticket.priority] = (
            self._grant_rate(ticket.priority, now) + entry.cost / GRANT_RATE_TAU_S,
            now,
        )
        self.counters["granted"] += 1
        self._choice.record_grant(server, now)
        self._effects.append(Grant(ticket.ticket_id, server, attempt.attempt_id))
        self.health.on_start(attempt, now)

    def _free_slot(self, running: _Running) -> None:
        route, server = running.attempt.route, running.attempt.server
        self._choice.record_freed(server)
        self._busy[server] -= 1
        if not self._busy[server]:
            del self._busy[server]
        self._in_flight_by_route[route] -= 1
        self._slow_in_flight -= running.slow
        self._overdue[route] -= running.overdue

    def _enqueue(
        self, ticket: queueing.Ticket, cost: float, long: bool, now: float, front: bool = False
    ) -> None:
        evicted = self._queue.push(ticket, cost, long, front)
        if evicted:
            self._refuse(evicted, RefusalReason.OVERLOADED, now)

    def _requeue(self, ticket: queueing.Ticket, now: float) -> None:
        if ticket.requeued or now + self._service_time(ticket.route, now) >= ticket.deadline:
            reason = RefusalReason.OVERLOADED if ticket.deadline > now else RefusalReason.DEADLINE
            self._refuse(ticket, reason, now)
            return
        self.counters["requeued"] += 1
        ticket = msgspec.structs.replace(ticket, requeued=True)
        cost = self._times.mean(ticket.route)
        self._enqueue(ticket, cost, self._is_long(ticket.route), now, front=True)

    def _record_served(
        self, ticket: queueing.Ticket, result: health.AttemptResult, now: float
    ) -> None:
        if result is health.AttemptResult.ANSWERED:
            self._floor_guard.record_outcome(True, now)
        elif result in UNSERVED_RESULTS and (ticket.avoid or not ticket.idempotent):
            self._floor_guard.record_outcome(False, now)

    def _refuse(self, ticket: queueing.Ticket, reason: RefusalReason, now: float) -> None:
        if reason not in (RefusalReason.NO_FREE_SLOT, RefusalReason.EXCLUDED):
            self._floor_guard.record_outcome(False, now)
        self.counters[f"refused-{reason.value}"] += 1
        self._effects.append(Refusal(ticket.ticket_id, reason))

    def _refuse_all(
        self, tickets: Iterable[queueing.Ticket], reason: RefusalReason, now: float
    ) -> None:
        for ticket in tickets:
            self._refuse(ticket, reason, now)

    def _has_free_slot(self, ticket: queueing.Ticket, now: float) -> bool:
        if self._queue or not self._choice.active:
            return False
        server = self._choice.select(ticket, now)
        return server is not None and self._choice.is_good(server, ticket, now)

    def _record_shedding(
        self, address: models.ServerId, result: health.AttemptResult, now: float
    ) -> None:
        """Records whether a server shed load; call it after the request's slot was freed."""
        if result is not health.AttemptResult.REFUSED:
            self.shedding.record_accepted(address)
        elif (server := self._servers.get(address)) is not None:
            self.shedding.record_refusal(address, self._busy[address] + 1, server.slots, now)

    def _refresh(self, now: float) -> None:
        """Recomputes the active servers, their capacity and the limits for long routes."""
        leaving = self._platform_leaving | self._signalled_leaving
        active = {
            address: server
            for address, server in self._servers.items()
            if server.state is models.ServerState.ACTIVE and address not in leaving
        }
        self._choice.refresh(active, now)
        self._capacity = self._choice.capacity(now)
        self._good_slots = self._choice.good_slots(self._capacity, now)
        self._long = self._times.long_routes(LONG_FACTOR, now, RECENT_S)
        gain = 1 - math.exp(-(now - self._refreshed_at) / GRANT_RATE_TAU_S)
        self._mean_short_in_flight += gain * (
            len(self._in_flight) - self._slow_in_flight - self._mean_short_in_flight
        )
        self._refreshed_at = now
        self._long_limit = self._measure_long_limit(now)

    def _mark_overdue(self, now: float) -> None:
        """Marks overdue requests as slow."""
        while self._overdue_heap and self._overdue_heap[0][0] <= now:
            running = self._in_flight.get(heapq.heappop(self._overdue_heap)[1])
            if running:
                running.overdue = True
                self._overdue[running.attempt.route] += 1
                self._slow_in_flight += not running.slow
                running.slow = True

    def _is_long(self, route: models.RouteName) -> bool:
        return route in self._long or self._overdue[route] >= max(1, OVERDUE_CAP * self._capacity)

    def _measure_long_limit(self, now: float) -> int:
        """Returns how many slots long routes and overdue requests may use."""
        short_in_use = any(
            now - last <= RECENT_S and not self._is_long(route)
            for route, last in self._last_use.items()
        )
        if not short_in_use:
            return self._capacity
        need = max(1, math.ceil(2 * self._mean_short_in_flight))
        return max(1, self._capacity - min(need, math.ceil(RESERVED_SHARE * self._capacity)))

    def _forget_route(self, route: models.RouteName) -> None:
        if not self._in_flight_by_route[route]:
            self._times.forget(route)
            for state in (self._last_use, self._in_flight_by_route, self._overdue):
                del state[route]

    def _service_time(self, route: models.RouteName, now: float) -> float:
        """Returns the median service time in seconds, 0 if no request of the route is in flight.

        After a slow period the learned time may exceed every deadline of the route. Returning 0
        then admits one request, which provides a new sample.
        """
        return self._times.median(route, now) if self._in_flight_by_route[route] else 0.0

    def _expected_time(self, ticket: queueing.Ticket, cost: float, long: bool, now: float) -> float:
        """Returns the expected time in seconds until a new ticket is finished."""
        service = self._service_time(ticket.route, now)
        slots = self._capacity if ticket.idempotent else self._good_slots
        free = len(self._in_flight) < slots
        if free and (not long or (not self._queue and self._slow_in_flight < self._long_limit)):
            return service
        serving_slots = max(1, self._good_slots - self._overdue.total())
        higher, own = self._queue.work_ahead(ticket, cost, long)
        higher_slots = sum(self._grant_rate(priority, now) for priority in range(ticket.priority))
        share = max(queueing.MIN_SHARE, 1 - higher_slots / serving_slots)
        wait = higher / serving_slots + (own + cost) / (serving_slots * share)
        if long:
            wait = max(wait, self._queue.long_work(ticket.priority) / self._long_limit)
        return wait + service

    def _grant_rate(self, priority: int, now: float) -> float:
        """Returns the recent average of slots used by the priority class."""
        value, since = self._grant_rates[priority]
        return value * math.exp(-(now - since) / GRANT_RATE_TAU_S)
