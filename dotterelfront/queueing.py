"""The queue of a pool shard: priority classes, fair share per customer, deadlines.

Pure. Every ticket has a cost, the slot time in seconds that it is expected to take::

    queue = RequestQueue(max_length=256)
    evicted = queue.push(ticket, cost=0.05)      # None, or the ticket that gave way
    entry = queue.select(allow_long=True)        # next in turn, stays queued
    queue.take(entry)                            # it got a slot

- Between classes: strict priority, except that a waiting lower class gets ``MIN_SHARE`` of the
  slot time, so that it is never starved.
- Within a class: weighted fair queueing with equal weights. Each customer with waiting tickets has
  a virtual start time that advances by the cost of what it was given; the least goes first, to the
  nearest ``FAIR_QUANTUM_S``, so a customer that floods the queue only lengthens its own wait.
- Tickets of routes that run long wait in a lane of their own, so that they can be passed over while
  only reserved slots are free.

Operations are O(log n); heaps are cleaned of removed tickets when these are the majority.
"""

import collections
import heapq
import itertools
import math

import msgspec

from dotterelfront import models

MIN_SHARE = 1 / 16
"""Share of slot time for each lower class that waits; both together take at most an eighth."""
FAIR_QUANTUM_S = 0.2
"""Customers whose start times differ by less are served first come, first served.

Without it, customers with equal shares wait longer at p99 than in one line (short requests beside
long ones at load 0.97: 2.2 times instead of 1.7 times as long as without the long ones). A flood
gains at most this much slot time.
"""
_CLASSES = tuple(models.Priority)
COMPACT_MIN = 64
"""Heaps shorter than this are not cleaned of removed tickets."""


class Ticket(msgspec.Struct, frozen=True):
    """A request that waits for a slot. ``deadline`` is on the clock that the shard is given."""

    ticket_id: int
    route: models.RouteName
    customer: models.CustomerId
    priority: models.Priority
    idempotent: bool
    deadline: float
    enqueued: float
    requeued: bool = False
    avoid: frozenset[models.ServerId] = frozenset()
    """Servers that are used only when no other server has a free slot."""


class Entry(msgspec.Struct, eq=False):
    """A queued ticket. ``tag`` is the virtual time at which its customer's share reaches it."""

    ticket: Ticket
    cost: float
    long: bool
    seq: int
    tag: float = 0.0
    queued: bool = True


class _Flow:
    """The waiting tickets of one customer in one lane."""

    __slots__ = ("backlog", "customer", "entries", "stamp", "start")

    def __init__(self, customer: models.CustomerId, start: float):
        self.customer = customer
        self.entries: collections.OrderedDict[int, Entry] = collections.OrderedDict()
        self.start = start
        self.backlog = 0.0
        self.stamp = 0


class Lane:
    """Weighted fair queue of the short or the long tickets of one class.

    Virtual time advances with every grant by its cost divided among the waiting customers, as in
    generalised processor sharing. A customer without tickets is remembered only until virtual time
    has reached its start time; without that one that returns at once would get up to 1.5 times
    the share of the others.
    """

    def __init__(self):
        self.count = 0
        self.work = 0.0
        self.active = 0
        self.clock = 0.0
        self._virtual = 0.0
        self._flows: dict[models.CustomerId, _Flow] = {}
        self._heads: list[tuple[float, int, int, _Flow]] = []
        self._newest: list[tuple[float, int, Entry]] = []
        self._ahead: dict[models.CustomerId, float] = {}
        self._ahead_order: list[tuple[float, models.CustomerId]] = []
        self._stamps = itertools.count(1)

    def push(self, entry: Entry, front: bool = False) -> None:
        flow = self._flows.get(entry.ticket.customer)
        if flow is None:
            start = self._ahead.pop(entry.ticket.customer, self._virtual)
            flow = _Flow(entry.ticket.customer, max(start, self._virtual))
            self._flows[flow.customer] = flow
            self.active += 1
            self._offer(flow, entry)
        entry.tag = flow.start + (0.0 if front else flow.backlog)
        flow.entries[entry.ticket.ticket_id] = entry
        if front:
            flow.entries.move_to_end(entry.ticket.ticket_id, last=False)
        flow.backlog += entry.cost
        self.count += 1
        self.work += entry.cost
        heapq.heappush(self._newest, (-entry.tag, -entry.seq, entry))
        if len(self._newest) > 2 * self.count + COMPACT_MIN:
            self._newest = [item for item in self._newest if item[2].queued]
            heapq.heapify(self._newest)

    def head(self) -> Entry | None:
        """Returns the ticket whose customer has had the least."""
        while self._heads:
            _, _, stamp, flow = self._heads[0]
            if flow.stamp == stamp and flow.entries:
                return next(iter(flow.entries.values()))
            heapq.heappop(self._heads)
        return None

    def newest(self) -> tuple[float, int, Entry] | None:
        """Returns the ticket that would be served last, with its virtual distance."""
        while self._newest:
            tag, seq, entry = self._newest[0]
            if entry.queued:
                return -tag - self._virtual, -seq, entry
            heapq.heappop(self._newest)
        return None

    def take(self, entry: Entry) -> None:
        """Removes a ticket that got a slot and charges its customer."""
        flow = self._flows[entry.ticket.customer]
        step = entry.cost / self.active
        self._virtual = max(self._virtual, flow.start) + step
        self.clock += step
        flow.start += entry.cost
        self.remove(entry)
        if flow.entries:
            self._offer(flow, next(iter(flow.entries.values())))

    def remove(self, entry: Entry) -> None:
        """Removes a ticket without charge."""
        flow = self._flows[entry.ticket.customer]
        del flow.entries[entry.ticket.ticket_id]
        entry.queued = False
        flow.backlog -= entry.cost
        self.count -= 1
        self.work = self.work - entry.cost if self.count else 0.0
        if not flow.entries:
            self.active -= 1
            del self._flows[flow.customer]
            self._remember(flow)

    def backlog(self, customer: models.CustomerId) -> float:
        flow = self._flows.get(customer)
        return flow.backlog if flow else 0.0

    def _remember(self, flow: _Flow) -> None:
        """Keeps the start time of a customer that was served ahead of virtual time."""
        if not self.count:
            self._ahead.clear()
            self._ahead_order.clear()
            return
        if flow.start > self._virtual:
            self._ahead[flow.customer] = flow.start
            heapq.heappush(self._ahead_order, (flow.start, flow.customer))
        while self._ahead_order and self._ahead_order[0][0] <= self._virtual:
            start, customer = heapq.heappop(self._ahead_order)
            if self._ahead.get(customer) == start:
                del self._ahead[customer]
        if len(self._ahead_order) > 2 * len(self._ahead) + COMPACT_MIN:
            self._ahead_order = [(start, customer) for customer, start in self._ahead.items()]
            heapq.heapify(self._ahead_order)

    def _offer(self, flow: _Flow, first: Entry) -> None:
        flow.stamp = next(self._stamps)
        turn = flow.start // FAIR_QUANTUM_S
        heapq.heappush(self._heads, (turn, first.seq, flow.stamp, flow))
        if len(self._heads) > 2 * self.active + COMPACT_MIN:
            self._heads = [item for item in self._heads if item[3].stamp == item[2]]
            heapq.heapify(self._heads)


class RequestQueue:
    """Waiting tickets in the order in which they should get slots."""

    def __init__(self, max_length: int = 256):
        self._max_length = max_length
        self._lanes = [(Lane(), Lane()) for _ in _CLASSES]
        self._credit = [0.0 for _ in _CLASSES]
        self._entries: dict[int, Entry] = {}
        self._deadlines: list[tuple[float, int, Entry]] = []
        self._seq = itertools.count(1)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, ticket_id: int) -> bool:
        return ticket_id in self._entries

    def lengths(self) -> dict[models.Priority, int]:
        return {p: sum(lane.count for lane in self._lanes[p]) for p in _CLASSES}

    def push(
        self, ticket: Ticket, cost: float, long: bool = False, front: bool = False
    ) -> Ticket | None:
        """Queues a ticket; returns the ticket that gives way when the queue is full.

        That is the last in turn of the least important class, which may be the new one itself.
        ``front`` puts it before the other tickets of its customer.
        """
        entry = Entry(ticket, cost, long, next(self._seq))
        self._lane(entry).push(entry, front)
        self._entries[ticket.ticket_id] = entry
        heapq.heappush(self._deadlines, (ticket.deadline, entry.seq, entry))
        if len(self._deadlines) > 2 * len(self._entries) + COMPACT_MIN:
            self._deadlines = [item for item in self._deadlines if item[2].queued]
            heapq.heapify(self._deadlines)
        if len(self._entries) <= self._max_length:
            return None
        victim = self._least_important()
        self._remove(victim)
        return victim.ticket

    def select(self, allow_long: bool) -> Entry | None:
        """Returns the ticket next in turn and leaves it queued."""
        waiting = [head for priority in _CLASSES if (head := self._head(priority, allow_long))]
        for head in reversed(waiting):
            if self._credit[head.ticket.priority] >= head.cost:
                return head
        return waiting[0] if waiting else None

    def take(self, entry: Entry, allow_long: bool) -> None:
        """Removes the selected ticket because it got a slot."""
        priority = entry.ticket.priority
        for lower in _CLASSES[priority + 1 :]:
            head = self._head(lower, allow_long)
            if head and self._credit[lower] < head.cost:
                self._credit[lower] += entry.cost * MIN_SHARE
        self._credit[priority] = max(0.0, self._credit[priority] - entry.cost)
        lane = self._lane(entry)
        other = self._lanes[priority][not entry.long]
        lane.take(entry)
        if not other.count or (other is self._lanes[priority][1] and not allow_long):
            other.clock = max(other.clock, lane.clock)
        del self._entries[entry.ticket.ticket_id]
        self._reset_credit(priority)

    def move_to_long(self, entry: Entry) -> None:
        """Moves a ticket to the long lane after its route turned out to run long."""
        self._lane(entry).remove(entry)
        moved = Entry(entry.ticket, entry.cost, True, next(self._seq))
        self._lane(moved).push(moved)
        self._entries[entry.ticket.ticket_id] = moved
        heapq.heappush(self._deadlines, (entry.ticket.deadline, moved.seq, moved))

    def remove(self, ticket_id: int) -> Ticket | None:
        entry = self._entries.get(ticket_id)
        if entry is None:
            return None
        self._remove(entry)
        return entry.ticket

    def remove_expired(self, now: float) -> list[Ticket]:
        """Removes and returns the tickets whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            entry = heapq.heappop(self._deadlines)[2]
            if entry.queued:
                self._remove(entry)
                expired.append(entry.ticket)
        return expired

    def remove_all(self) -> list[Ticket]:
        return [self.remove(ticket_id) for ticket_id in list(self._entries)]

    def work_ahead(self, ticket: Ticket, cost: float, long: bool) -> tuple[float, float]:
        """Returns the slot time in seconds due before a new ticket: of higher and of its own class.

        In its own class that is at most one such turn of each customer, and not more than what
        waits there.
        """
        higher = 0.0
        for short_lane, long_lane in self._lanes[: ticket.priority]:
            higher += short_lane.work + long_lane.work
        lane, other = self._lanes[ticket.priority][long], self._lanes[ticket.priority][not long]
        backlog = lane.backlog(ticket.customer)
        turns = (backlog + cost) * (lane.active + other.active) + backlog
        return higher, min(lane.work + other.work, turns)

    def total_work(self) -> float:
        """Returns the slot time of all waiting tickets."""
        return math.fsum(lane.work for lanes in self._lanes for lane in lanes)

    def long_work(self, priority: models.Priority) -> float:
        """Returns the slot time of waiting long tickets of this and more important classes."""
        return math.fsum(lanes[1].work for lanes in self._lanes[: priority + 1])

    def _lane(self, entry: Entry) -> Lane:
        return self._lanes[entry.ticket.priority][entry.long]

    def _head(self, priority: models.Priority, allow_long: bool) -> Entry | None:
        short, long = self._lanes[priority]
        first = short.head() if short.count else None
        second = long.head() if allow_long and long.count else None
        if first and second:
            return first if (short.clock, first.seq) <= (long.clock, second.seq) else second
        return first or second

    def _least_important(self) -> Entry:
        for priority in reversed(_CLASSES):
            found = [item for lane in self._lanes[priority] if (item := lane.newest())]
            if found:
                return max(found, key=lambda item: item[:2])[2]
        raise LookupError("the queue is empty")

    def _remove(self, entry: Entry) -> None:
        self._lane(entry).remove(entry)
        del self._entries[entry.ticket.ticket_id]
        self._reset_credit(entry.ticket.priority)

    def _reset_credit(self, priority: models.Priority) -> None:
        if not any(lane.count for lane in self._lanes[priority]):
            self._credit[priority] = 0.0


class RouteTimes:
    """Learned service times of the routes of a shard, in seconds.

    ``mean`` is for work and cost, ``median`` and ``high`` (95th percentile) are tracked by
    stochastic approximation, so that a few stragglers do not move them.
    """

    DEFAULT_S = 0.02
    STALE_S = 5.0
    """Without new samples an estimate halves in this time, so that a bad period is forgotten."""
    MIN_SAMPLES = 20

    def __init__(self):
        self._routes: dict[models.RouteName, _RouteTime] = {}

    def observe(self, route: models.RouteName, elapsed: float, now: float) -> None:
        elapsed = max(elapsed, 1e-5)
        time = self._routes.get(route)
        if time is None:
            self._routes[route] = _RouteTime(elapsed, elapsed, 3 * elapsed, 1, now)
            return
        time.samples += 1
        time.last = now
        time.mean += (elapsed - time.mean) * max(0.03, 1 / time.samples)
        gain = max(0.05, 1 / time.samples)
        time.median *= math.exp(gain if elapsed > time.median else -gain)
        gain = max(0.1, 2 / time.samples)
        time.high *= math.exp(gain * (0.95 if elapsed > time.high else -0.05))

    def mean(self, route: models.RouteName) -> float:
        time = self._routes.get(route)
        return time.mean if time else self.DEFAULT_S

    def known_mean(self, route: models.RouteName) -> float | None:
        """Returns the mean, None while there are too few samples."""
        time = self._routes.get(route)
        return time.mean if time and time.samples >= self.MIN_SAMPLES else None

    def median(self, route: models.RouteName, now: float) -> float:
        """Returns the usual time, 0 while unknown, less and less the older the last sample is."""
        time = self._routes.get(route)
        if time is None or time.samples < self.MIN_SAMPLES:
            return 0.0
        return time.median * 0.5 ** ((now - time.last) / self.STALE_S)

    def overdue_after(self, route: models.RouteName, factor: float) -> float | None:
        """Returns the time in flight that is unusual for the route, or None while unknown."""
        time = self._routes.get(route)
        if time is None or time.samples < self.MIN_SAMPLES:
            return None
        return factor * max(time.high, 2 * time.median)

    def long_routes(self, factor: float, now: float, recent_s: float) -> set[models.RouteName]:
        """Returns the routes that usually take ``factor`` times the shortest one in recent use."""
        known = {r: t for r, t in self._routes.items() if t.samples >= self.MIN_SAMPLES}
        recent = [t.median for t in known.values() if now - t.last <= recent_s]
        if not recent:
            return set()
        return {route for route, time in known.items() if time.median >= factor * min(recent)}

    def forget(self, route: models.RouteName) -> None:
        self._routes.pop(route, None)


class _RouteTime(msgspec.Struct):
    mean: float
    median: float
    high: float
    samples: int = 0
    last: float = 0.0
