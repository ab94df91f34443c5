"""A pool shard: the queue, the slots and the health of its servers in one state machine.

Pure: the owner task passes every event in with the time and carries out the effects::

    shard = PoolShard(pool, servers, now=0.0)
    effects = shard.submit(ticket, now=0.0)       # [Grant(ticket_id, server, attempt_id)]
    effects = shard.complete(attempt_id, health.AttemptResult.ANSWERED, now=0.1)

Each ticket gets one ``Grant`` or ``Refuse``, and one more of either when ``complete`` returns it to
the queue. Effects are kept until they are returned, so that an exception in a health rule loses
none: ``take_effects`` returns what an interrupted call had decided.
"""

import collections
import enum
import heapq
import math
import random
from collections.abc import Collection, Iterable

import msgspec

from dotterelfront import gray_server, health, load_shedding, models, queueing

MAX_QUEUE_LENGTH = 256
RESERVED_SHARE = 0.25
"""Most of the slots that long routes may not use; less when short routes need less."""
LONG_FACTOR = 4.0
"""A route is long when it usually takes this many times as long as the shortest in recent use."""
RECENT_S = 10.0
"""A route is in recent use for this long after a request."""
FORGET_S = 3_600.0
"""What was learned of a route without requests for this long is dropped at a reconfiguration."""
OVERDUE_FACTOR = 2.0
"""A request is overdue after this many times the 95th percentile of its route."""
OVERDUE_CAP = 0.25
"""A route with overdue requests on this share of the slots is treated as long."""
GRANT_RATE_S = 1.0
"""Time constant of the slot time granted to each class."""

NOT_RUN_RESULTS = (health.AttemptResult.REFUSED, health.AttemptResult.CONNECT_FAILED)
"""Results after which a non-idempotent request may be sent again."""
TIMED_RESULTS = (health.AttemptResult.ANSWERED, health.AttemptResult.TIMEOUT)
"""Results whose duration says how long the route takes; errors are often quick."""


class RefuseReason(enum.Enum):
    """Why a shard did not give a request a slot."""

    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    CUSTOMER_LIMIT = "customer-limit"
    NO_ROOM = "no-room"
    """No free slot now, and the request was not to wait."""


class Grant(msgspec.Struct, frozen=True):
    """The request may be sent to ``server`` now."""

    ticket_id: int
    server: models.ServerId
    attempt_id: int


class Refuse(msgspec.Struct, frozen=True):
    """The request was not sent and will not be."""

    ticket_id: int
    reason: RefuseReason


Effect = Grant | Refuse


class ServerSnapshot(msgspec.Struct, frozen=True):
    """State of one server for metrics and status. ``usable`` is its slots in use at most now."""

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
    """A request in flight. ``slow`` ones may not fill the reserved slots."""

    attempt: health.Attempt
    ticket: queueing.Ticket
    slow: bool
    overdue: bool = False


class PoolShard:
    """Queue, slots and health of the servers of one shard.

    ``rng`` breaks ties between equal servers. ``slot_divisor`` is above 1 on a VM that is not the
    first owner.
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
        self._slot_divisor = slot_divisor
        self._rng = rng or random.Random(pool.name)
        self._queue = queueing.RequestQueue(max_queue_length)
        self._times = queueing.RouteTimes()
        self._in_flight: dict[int, _Running] = {}
        self._busy: collections.Counter[models.ServerId] = collections.Counter()
        self._by_route: collections.Counter[models.RouteName] = collections.Counter()
        self._overdue: collections.Counter[models.RouteName] = collections.Counter()
        self._overdue_at: list[tuple[float, int]] = []
        self._slow = 0
        self._last_use: dict[models.RouteName, float] = {}
        self._long: set[models.RouteName] = set()
        self._short_in_flight = 0.0
        self._granted = [(0.0, now) for _ in models.Priority]
        self.shedding = load_shedding.ShedLimits()
        self._platform_leaving: frozenset[models.ServerId] = frozenset()
        self._signalled_leaving: set[models.ServerId] = set()
        self._full = False
        self._next_attempt = 1
        self._effects: list[Effect] = []
        self._last_tick = now
        self.counters: collections.Counter[str] = collections.Counter()
        self.health = health.ShardHealth(pool, servers, now)
        self._adapt(now)

    def submit(self, ticket: queueing.Ticket, now: float, wait: bool = True) -> list[Effect]:
        """Queues a request, or refuses it at once when it cannot finish in time.

        Without ``wait`` a request is refused unless a server that is not suspected has a free slot.
        """
        self.counters["submitted"] += 1
        if not wait and not self._has_room(ticket, now):
            self._refuse(ticket, RefuseReason.NO_ROOM)
            return self.take_effects()
        self._last_use[ticket.route] = now
        long = self._is_long(ticket.route)
        cost = self._times.mean(ticket.route)
        if not self._active:
            self._refuse(ticket, RefuseReason.OVERLOADED)
        elif now + self._expected(ticket, cost, long, now) >= ticket.deadline:
            self._refuse(ticket, RefuseReason.DEADLINE)
        else:
            self._enqueue(ticket, cost, long)
            if not self._full:
                self._advance(now)
        return self.take_effects()

    def complete(
        self, attempt_id: int, result: health.AttemptResult, now: float, requeue: bool = False
    ) -> list[Effect]:
        """Frees the slot of an attempt; an unknown attempt changes nothing.

        With ``requeue`` the ticket gets one more ``Grant`` or ``Refuse``: it goes back to the front
        of its customer's tickets if it is still in time and was not returned before. A
        non-idempotent request goes back only after a result that says that it was not run;
        otherwise ``requeue`` is ignored and the ticket gets no effect.
        """
        running = self._in_flight.pop(attempt_id, None)
        if running is None:
            return self.take_effects()
        attempt = running.attempt
        self._free(running)
        self.counters[result.value] += 1
        if result in TIMED_RESULTS:
            self._times.observe(attempt.route, now - attempt.started, now)
        self._note_shedding(attempt.server, result, now)
        if requeue and (running.ticket.idempotent or result in NOT_RUN_RESULTS):
            self._requeue(running.ticket, now)
        try:
            self.health.on_finish(attempt, result, now)
        finally:
            self._advance(now)
        return self.take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Drops expired tickets, adapts to health and learned times; call it every 50 ms."""
        try:
            self.health.tick(now)
        finally:
            self._adapt(now)
            self._advance(now)
        return self.take_effects()

    def reconfigure(
        self, pool: models.Pool, servers: tuple[models.Server, ...], now: float
    ) -> list[Effect]:
        """Adopts a changed pool or server list.

        The queue, the requests in flight and the health of servers that stay are kept. A removed
        server gets no new work; its requests in flight complete and still count against its slots
        if it is added again.
        """
        old, self._pool = self._servers, pool
        self._servers = {server.address: server for server in servers}
        for address, server in old.items():
            if self._servers.get(address) != server:
                self._signalled_leaving.discard(address)
                self.shedding.forget(address)
        for route in [r for r, last in self._last_use.items() if now - last > FORGET_S]:
            self._forget(route)
        try:
            self.health.reconfigure(pool, servers, now)
        finally:
            self._adapt(now)
            self._advance(now)
        return self.take_effects()

    def set_slot_divisor(self, slot_divisor: int, now: float) -> list[Effect]:
        """Changes the share of slots, because this VM became or is no longer the first owner."""
        self._slot_divisor = slot_divisor
        self._adapt(now)
        self._advance(now)
        return self.take_effects()

    def set_leaving(self, servers: Collection[models.ServerId], now: float) -> list[Effect]:
        """Adopts the platform's list of leaving servers; it replaces the previous one."""
        self._platform_leaving = frozenset(servers)
        self._adapt(now)
        self._advance(now)
        return self.take_effects()

    def mark_leaving(
        self, server: models.ServerId, now: float, leaving: bool = True
    ) -> list[Effect]:
        """Records a server's own signal that it leaves.

        It holds until it is withdrawn or the server's entry in the table changes.
        """
        if leaving and server in self._servers:
            self._signalled_leaving.add(server)
        else:
            self._signalled_leaving.discard(server)
        self._adapt(now)
        self._advance(now)
        return self.take_effects()

    @property
    def pool(self) -> models.Pool:
        return self._pool

    def queued(self, ticket_id: int) -> bool:
        return ticket_id in self._queue

    def withdraw(self, ticket_id: int, now: float) -> list[Effect]:
        """Removes a waiting ticket, because nobody waits for it; it gets no effect."""
        if self._queue.remove(ticket_id) is not None:
            self.counters["withdrawn"] += 1
            self._advance(now)
        return self.take_effects()

    def usual_s(self, route: models.RouteName) -> float | None:
        """Returns the mean time of a route, None while too little is known."""
        return self._times.known_mean(route)

    def wait_s(self, route: models.RouteName, now: float) -> float:
        """Returns the expected wait in seconds of a new request when all slots are taken.

        It is infinite while no server is good.
        """
        if self._all_suspect(now):
            return math.inf
        return (self._queue.total_work() + self._times.mean(route)) / self._good_slots

    def has_servers(self) -> bool:
        return bool(self._servers)

    def share_slots(self, busy: "collections.Counter[models.ServerId]") -> None:
        """Counts slots in ``busy`` from now on, together with the other shards of the pool.

        A server that moves between two shards of one VM then keeps its requests in flight.
        """
        busy.update(self._busy)
        self._busy = busy

    def take_effects(self) -> list[Effect]:
        """Returns the effects decided and not yet returned."""
        effects, self._effects = self._effects, []
        return effects

    def empty(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not self._queue and not self._in_flight and not self._effects

    def snapshot(self, now: float) -> Snapshot:
        return Snapshot(
            pool=self._pool.name,
            queued={p.name.lower(): count for p, count in self._queue.lengths().items()},
            in_flight=len(self._in_flight),
            overdue=self._overdue.total(),
            slots=self._capacity,
            slot_divisor=self._slot_divisor,
            long_routes=tuple(sorted(r for r in self._last_use if self._is_long(r))),
            servers=tuple(
                ServerSnapshot(
                    address,
                    self._busy[address],
                    self._usable(server, now),
                    address not in self._active,
                    self.health.eligible(address, False, now),
                    self.health.penalty(address, now),
                )
                for address, server in self._servers.items()
            ),
            counters=dict(self.counters),
        )

    def _advance(self, now: float) -> None:
        """Drops what is too late and gives free slots to the tickets next in turn."""
        for ticket in self._queue.remove_expired(now):
            self._refuse(ticket, RefuseReason.DEADLINE)
        if not self._active:
            self._refuse_all(self._queue.remove_all())
        self._note_overdue(now)
        self._full = False
        while self._queue:
            allow_long = self._slow < self._long_limit
            entry = self._next(allow_long, now)
            if entry is None:
                return
            server = self._pick(entry.ticket, now)
            if server is not None and self._holds(entry.ticket, server, now):
                return
            if server is None:
                # A server may be eligible for idempotent requests only, so this ticket must be one
                # to show that no other ticket can have a slot either.
                self._full = entry.ticket.idempotent
                return
            self._queue.take(entry, allow_long)
            self._grant(entry, server, now)

    def _next(self, allow_long: bool, now: float) -> queueing.Entry | None:
        """Returns the next ticket that can still finish; refuses those before it that cannot."""
        while entry := self._queue.select(allow_long):
            ticket = entry.ticket
            if now + self._service(ticket.route, now) >= ticket.deadline:
                self._queue.remove(ticket.ticket_id)
                self._refuse(ticket, RefuseReason.DEADLINE)
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
        self._by_route[ticket.route] += 1
        self._slow += entry.long
        usual = self._times.overdue_after(ticket.route, OVERDUE_FACTOR)
        if usual is not None:
            heapq.heappush(self._overdue_at, (now + usual, attempt.attempt_id))
            if len(self._overdue_at) > 2 * len(self._in_flight) + queueing.COMPACT_MIN:
                self._overdue_at = [i for i in self._overdue_at if i[1] in self._in_flight]
                heapq.heapify(self._overdue_at)
        self._granted[ticket.priority] = (
            self._grant_rate(ticket.priority, now) + entry.cost / GRANT_RATE_S,
            now,
        )
        self.counters["granted"] += 1
        self._suspicion.used(server, now)
        self._effects.append(Grant(ticket.ticket_id, server, attempt.attempt_id))
        self.health.on_start(attempt, now)

    def _free(self, running: _Running) -> None:
        route, server = running.attempt.route, running.attempt.server
        self._busy[server] -= 1
        if not self._busy[server]:
            del self._busy[server]
        self._by_route[route] -= 1
        self._slow -= running.slow
        self._overdue[route] -= running.overdue

    def _enqueue(
        self, ticket: queueing.Ticket, cost: float, long: bool, front: bool = False
    ) -> None:
        evicted = self._queue.push(ticket, cost, long, front)
        if evicted:
            self._refuse(evicted, RefuseReason.OVERLOADED)

    def _requeue(self, ticket: queueing.Ticket, now: float) -> None:
        if ticket.requeued or now + self._service(ticket.route, now) >= ticket.deadline:
            overloaded = ticket.deadline > now
            self._refuse(ticket, RefuseReason.OVERLOADED if overloaded else RefuseReason.DEADLINE)
            return
        self.counters["requeued"] += 1
        ticket = msgspec.structs.replace(ticket, requeued=True)
        cost = self._times.mean(ticket.route)
        self._enqueue(ticket, cost, self._is_long(ticket.route), front=True)

    def _refuse(self, ticket: queueing.Ticket, reason: RefuseReason) -> None:
        self.counters[f"refused-{reason.value}"] += 1
        self._effects.append(Refuse(ticket.ticket_id, reason))

    def _refuse_all(self, tickets: Iterable[queueing.Ticket]) -> None:
        for ticket in tickets:
            self._refuse(ticket, RefuseReason.OVERLOADED)

    def _has_room(self, ticket: queueing.Ticket, now: float) -> bool:
        if self._queue or not self._active:
            return False
        server = self._pick(ticket, now)
        return (
            server is not None
            and server not in ticket.avoid
            and not self._suspicion.suspect(server, now)
        )

    def _pick(self, ticket: queueing.Ticket, now: float) -> models.ServerId | None:
        """Returns the server to use: least suspect, least penalty, least load, ties at random."""
        idempotent = ticket.idempotent
        best, best_rank, ties = None, None, 0
        for address, server in self._active.items():
            busy = self._busy[address]
            if busy >= server.slots:
                continue
            if self.shedding.paused(address, now) or self._withheld(ticket, address, now):
                continue
            usable = self._usable(server, now)
            if busy >= usable or not self.health.eligible(address, idempotent, now):
                continue
            suspect = self._suspicion.suspect(address, now)
            rank = (
                address in ticket.avoid,
                self._suspicion.level(address, now) if suspect else 0.0,
                self.health.penalty(address, now),
                busy / usable,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank, ties = address, rank, 1
            elif rank == best_rank:
                ties += 1
                if self._rng.random() * ties < 1:
                    best = address
        return best

    def _withheld(self, ticket: queueing.Ticket, address: models.ServerId, now: float) -> bool:
        """Whether a request that may run only once must not risk a server that failed in a row."""
        if ticket.idempotent:
            return False
        probing = self._suspicion.probing(address) and self._busy[address] > 0
        return probing or self._suspicion.paused(address, now)

    def _holds(self, ticket: queueing.Ticket, server: models.ServerId, now: float) -> bool:
        """Whether a ticket rather waits for a server that is not suspected."""
        if not self._suspicion.suspect(server, now) or self._all_suspect(now):
            return False
        first = not ticket.avoid
        if first and ticket.idempotent and self._suspicion.trial_due(server, now):
            return False
        share = gray_server.HOLD_SHARE if first else gray_server.HOLD_SHARE_REPEATED
        return now < ticket.enqueued + share * (ticket.deadline - ticket.enqueued)

    def _all_suspect(self, now: float) -> bool:
        return all(self._suspicion.suspect(address, now) for address in self._active)

    def _usable(self, server: models.Server, now: float) -> int:
        address = server.address
        share = self.health.slot_share(address, now) * self.shedding.share(address, now)
        return max(1, int(server.slots * share / self._slot_divisor + 1e-9))

    def _measure_capacity(self, now: float) -> int:
        """Returns the slots of the servers that take every request, at least one."""
        return max(
            1,
            sum(
                self._usable(server, now)
                for address, server in self._active.items()
                if self.health.eligible(address, False, now)
            ),
        )

    def _measure_good_slots(self, now: float) -> int:
        """Returns the part of the capacity that is not on suspected servers."""
        if self._all_suspect(now):
            return self._capacity
        suspected = sum(
            self._usable(server, now)
            for address, server in self._active.items()
            if self._suspicion.suspect(address, now)
        )
        return max(1, self._capacity - suspected)

    def _note_shedding(
        self, address: models.ServerId, result: health.AttemptResult, now: float
    ) -> None:
        """Takes a result after its request has been taken off the server's count."""
        if result is not health.AttemptResult.REFUSED:
            self.shedding.accepted(address)
        elif (server := self._servers.get(address)) is not None:
            self.shedding.refused(address, self._busy[address] + 1, server.slots, now)

    def _adapt(self, now: float) -> None:
        """Updates the servers that may get work, and what changes slowly: capacity, long routes."""
        leaving = self._platform_leaving | self._signalled_leaving
        self._active = {
            address: server
            for address, server in self._servers.items()
            if server.state is models.ServerState.ACTIVE and address not in leaving
        }
        self._capacity = self._measure_capacity(now)
        self._good_slots = self._measure_good_slots(now)
        self._long = self._times.long_routes(LONG_FACTOR, now, RECENT_S)
        gain = 1 - math.exp(-(now - self._last_tick) / GRANT_RATE_S)
        self._short_in_flight += gain * (len(self._in_flight) - self._slow - self._short_in_flight)
        self._last_tick = now
        self._long_limit = self._measure_long_limit(now)

    def _note_overdue(self, now: float) -> None:
        """Counts requests that run past their usual time as slow."""
        while self._overdue_at and self._overdue_at[0][0] <= now:
            running = self._in_flight.get(heapq.heappop(self._overdue_at)[1])
            if running:
                running.overdue = True
                self._overdue[running.attempt.route] += 1
                self._slow += not running.slow
                running.slow = True

    def _is_long(self, route: models.RouteName) -> bool:
        return route in self._long or self._overdue[route] >= max(1, OVERDUE_CAP * self._capacity)

    def _measure_long_limit(self, now: float) -> int:
        """Returns how many slots long routes and overdue requests may hold."""
        short_in_use = any(
            now - last <= RECENT_S and not self._is_long(route)
            for route, last in self._last_use.items()
        )
        if not short_in_use:
            return self._capacity
        need = 1 + math.ceil(2 * self._short_in_flight)
        return max(1, self._capacity - min(need, math.ceil(RESERVED_SHARE * self._capacity)))

    def _forget(self, route: models.RouteName) -> None:
        if not self._by_route[route]:
            self._times.forget(route)
            for state in (self._last_use, self._by_route, self._overdue):
                del state[route]

    def _service(self, route: models.RouteName, now: float) -> float:
        """Returns the usual service time, or 0 when none of the route is in flight.

        The exception lets one request through to measure again, when a slow period taught that
        no request of the route can finish in time.
        """
        return self._times.median(route, now) if self._by_route[route] else 0.0

    def _expected(self, ticket: queueing.Ticket, cost: float, long: bool, now: float) -> float:
        """Returns the time in seconds until a new ticket should be finished."""
        service = self._service(ticket.route, now)
        slots = self._capacity if ticket.idempotent else self._good_slots
        free = len(self._in_flight) < slots
        if free and (not long or (not self._queue and self._slow < self._long_limit)):
            return service
        drain = max(1, self._good_slots - self._overdue.total())
        higher, own = self._queue.work_ahead(ticket, cost, long)
        rate = sum(self._grant_rate(priority, now) for priority in range(ticket.priority))
        share = max(queueing.MIN_SHARE, 1 - rate / drain)
        wait = higher / drain + (own + cost) / (drain * share)
        if long:
            wait = max(wait, self._queue.long_work(ticket.priority) / self._long_limit)
        return wait + service

    def _grant_rate(self, priority: int, now: float) -> float:
        """Returns the slots that the class has lately taken on average."""
        value, since = self._granted[priority]
        return value * math.exp(-(now - since) / GRANT_RATE_S)
