"""The queue of a pool shard: priority classes, fair share per customer, deadlines.

Does no I/O. Every ticket has a cost, its expected slot time in seconds::

    queue = RequestQueue(max_length=256)
    evicted = queue.push(ticket, cost=0.05)      # None, or the ticket that was evicted
    entry = queue.select(allow_long=True)        # next in order, stays queued
    queue.dequeue(entry, allow_long=True)        # it got a slot

- Between classes: strict priority, except that a waiting lower class gets ``MIN_SHARE`` of the
  slot time, so that it is never starved.
- Within a class: weighted fair queueing with equal weights. Each customer with waiting tickets has
  a virtual start time that advances by the cost of its granted tickets. The customer with the
  earliest start time, rounded down to ``FAIR_QUANTUM_S``, is served first, so a customer that
  floods the queue only lengthens its own wait.
- Tickets of long routes wait in a separate lane, so that they can be skipped while only reserved
  slots are free.

Operations are O(log n). Removed tickets are purged from a heap once they are the majority of it.
"""

import collections
import heapq
import itertools
import math

import msgspec

from dotterelfront import models

MIN_SHARE = 1 / 16
"""Share of slot time for each lower class that waits; the two lower classes together get at most an
eighth."""
FAIR_QUANTUM_S = 0.2
"""Start times are rounded down to a multiple of this. Customers with the same rounded start time
are served first come, first served.

Without it, customers with equal shares have a higher p99 wait than in a single FIFO queue: at load
0.97, long requests made the wait of short ones 2.2 times as long, against 1.7 times with FIFO. A
customer that floods the queue gains at most this much slot time.
"""
_CLASSES = tuple(models.Priority)
COMPACT_MIN = 64
"""Removed tickets are not purged from heaps shorter than this."""


class Ticket(msgspec.Struct, frozen=True):
    """A request that waits for a slot.

    ``deadline`` and ``enqueued`` are times of the shard's clock.
    """

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
    connected: frozenset[models.ServerId] = frozenset()
    """Servers that are preferred because the caller's VM has an idle connection to them."""
    healthy_only: bool = False
    """Whether the ticket waits only until all servers are suspected."""
    excluded: frozenset[models.ServerId] = frozenset()
    """Servers that are not used for the ticket."""


class Entry(msgspec.Struct, eq=False):
    """A queued ticket.

    ``tag`` is its virtual start time: the start time of its customer plus the cost of the earlier
    tickets of this customer.
    """

    ticket: Ticket
    cost: float
    long: bool
    seq: int
    tag: float = 0.0
    queued: bool = True


class _Flow:
    """The waiting tickets of one customer in one lane.

    ``start`` is the customer's virtual start time, ``backlog`` the total cost of its tickets.
    ``version`` identifies its current entry in the lane's heap; older entries are stale.
    """

    __slots__ = ("backlog", "customer", "entries", "version", "start")

    def __init__(self, customer: models.CustomerId, start: float):
        self.customer = customer
        self.entries: collections.OrderedDict[int, Entry] = collections.OrderedDict()
        self.start = start
        self.backlog = 0.0
        self.version = 0


class Lane:
    """Weighted fair queue of the short or the long tickets of one class.

    Virtual time advances with every grant by its cost divided by the number of waiting customers,
    as in generalised processor sharing. The start time of a customer without tickets is kept until
    virtual time reaches it. Otherwise a customer that returns at once would get up to 1.5 times the
    share of the others.

    ``clock`` adds up these advances, and catches up with the clock of the other lane while this one
    cannot be served. Of the two lanes of a class, the one with the smaller clock is served first.
    """

    def __init__(self):
        self.count = 0
        self.work = 0.0
        self.active_customers = 0
        self.clock = 0.0
        self._virtual = 0.0
        self._flows: dict[models.CustomerId, _Flow] = {}
        self._heads: list[tuple[float, int, int, _Flow]] = []
        self._tail_heap: list[tuple[float, int, Entry]] = []
        self._saved_starts: dict[models.CustomerId, float] = {}
        self._saved_starts_heap: list[tuple[float, models.CustomerId]] = []
        self._versions = itertools.count(1)

    def push(self, entry: Entry, front: bool = False) -> None:
        flow = self._flows.get(entry.ticket.customer)
        if flow is None:
            start = self._saved_starts.pop(entry.ticket.customer, self._virtual)
            flow = _Flow(entry.ticket.customer, max(start, self._virtual))
            self._flows[flow.customer] = flow
            self.active_customers += 1
            self._push_head(flow, entry)
        entry.tag = flow.start + (0.0 if front else flow.backlog)
        flow.entries[entry.ticket.ticket_id] = entry
        if front:
            flow.entries.move_to_end(entry.ticket.ticket_id, last=False)
        flow.backlog += entry.cost
        self.count += 1
        self.work += entry.cost
        heapq.heappush(self._tail_heap, (-entry.tag, -entry.seq, entry))
        if len(self._tail_heap) > 2 * self.count + COMPACT_MIN:
            self._tail_heap = [item for item in self._tail_heap if item[2].queued]
            heapq.heapify(self._tail_heap)

    def head(self) -> Entry | None:
        """Returns the next ticket, of the customer with the earliest start time."""
        while self._heads:
            _, _, version, flow = self._heads[0]
            if flow.version == version and flow.entries:
                return next(iter(flow.entries.values()))
            heapq.heappop(self._heads)
        return None

    def tail(self) -> tuple[float, int, Entry] | None:
        """Returns the ticket that would be served last, as (virtual time until it, seq, entry)."""
        while self._tail_heap:
            negated_tag, negated_seq, entry = self._tail_heap[0]
            if entry.queued:
                return -negated_tag - self._virtual, -negated_seq, entry
            heapq.heappop(self._tail_heap)
        return None

    def dequeue(self, entry: Entry) -> None:
        """Removes a ticket that got a slot and charges its cost to its customer."""
        flow = self._flows[entry.ticket.customer]
        step = entry.cost / self.active_customers
        self._virtual = max(self._virtual, flow.start) + step
        self.clock += step
        flow.start += entry.cost
        self.remove(entry)
        if flow.entries:
            self._push_head(flow, next(iter(flow.entries.values())))

    def remove(self, entry: Entry) -> None:
        """Removes a ticket without charging its customer."""
        flow = self._flows[entry.ticket.customer]
        del flow.entries[entry.ticket.ticket_id]
        entry.queued = False
        flow.backlog -= entry.cost
        self.count -= 1
        self.work = self.work - entry.cost if self.count else 0.0
        if not flow.entries:
            self.active_customers -= 1
            del self._flows[flow.customer]
            self._save_start(flow)

    def backlog(self, customer: models.CustomerId) -> float:
        flow = self._flows.get(customer)
        return flow.backlog if flow else 0.0

    def _save_start(self, flow: _Flow) -> None:
        """Saves the start time of a customer whose start time is ahead of virtual time."""
        if not self.count:
            self._saved_starts.clear()
            self._saved_starts_heap.clear()
            return
        if flow.start > self._virtual:
            self._saved_starts[flow.customer] = flow.start
            heapq.heappush(self._saved_starts_heap, (flow.start, flow.customer))
        while self._saved_starts_heap and self._saved_starts_heap[0][0] <= self._virtual:
            start, customer = heapq.heappop(self._saved_starts_heap)
            if self._saved_starts.get(customer) == start:
                del self._saved_starts[customer]
        if len(self._saved_starts_heap) > 2 * len(self._saved_starts) + COMPACT_MIN:
            self._saved_starts_heap = [
                (start, customer) for customer, start in self._saved_starts.items()
            ]
            heapq.heapify(self._saved_starts_heap)

    def _push_head(self, flow: _Flow, first: Entry) -> None:
        flow.version = next(self._versions)
        rounded_start = flow.start // FAIR_QUANTUM_S
        heapq.heappush(self._heads, (rounded_start, first.seq, flow.version, flow))
        if len(self._heads) > 2 * self.active_customers + COMPACT_MIN:
            self._heads = [item for item in self._heads if item[3].version == item[2]]
            heapq.heapify(self._heads)


class RequestQueue:
    """Waiting tickets in the order in which they are to get slots."""

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
        """Queues a ticket; returns the ticket evicted when the queue is full.

        The evicted ticket is the last in order of the lowest priority class; it may be the new
        ticket itself. ``front`` puts the ticket before the other tickets of its customer.
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
        victim = self._eviction_victim()
        self._remove(victim)
        return victim.ticket

    def select(self, allow_long: bool) -> Entry | None:
        """Returns the next ticket and leaves it queued."""
        waiting = [head for priority in _CLASSES if (head := self._head(priority, allow_long))]
        for head in reversed(waiting):
            if self._credit[head.ticket.priority] >= head.cost:
                return head
        return waiting[0] if waiting else None

    def dequeue(self, entry: Entry, allow_long: bool) -> None:
        """Removes the selected ticket, which got a slot, and updates the credits of the classes."""
        priority = entry.ticket.priority
        for lower in _CLASSES[priority + 1 :]:
            head = self._head(lower, allow_long)
            if head and self._credit[lower] < head.cost:
                self._credit[lower] += entry.cost * MIN_SHARE
        self._credit[priority] = max(0.0, self._credit[priority] - entry.cost)
        lane = self._lane(entry)
        other = self._lanes[priority][not entry.long]
        lane.dequeue(entry)
        if not other.count or (other is self._lanes[priority][1] and not allow_long):
            other.clock = max(other.clock, lane.clock)
        del self._entries[entry.ticket.ticket_id]
        self._reset_credit(priority)

    def move_to_long(self, entry: Entry) -> None:
        """Moves a ticket to the long lane after its route has become a long route."""
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

    def remove_healthy_only(self) -> list[Ticket]:
        """Removes and returns the tickets that wait only for servers that are not suspected."""
        ids = [number for number, entry in self._entries.items() if entry.ticket.healthy_only]
        return [self.remove(ticket_id) for ticket_id in ids]

    def work_ahead(self, ticket: Ticket, cost: float, long: bool) -> tuple[float, float]:
        """Returns the slot time in seconds ahead of a new ticket, as (higher classes, own class).

        Under fair sharing each other customer of the own class is served at most as much as the
        ticket's customer, this ticket included. The work queued in the class is an upper bound too.
        """
        higher = 0.0
        for short_lane, long_lane in self._lanes[: ticket.priority]:
            higher += short_lane.work + long_lane.work
        lane, other = self._lanes[ticket.priority][long], self._lanes[ticket.priority][not long]
        backlog = lane.backlog(ticket.customer)
        fair_bound = (backlog + cost) * (lane.active_customers + other.active_customers) + backlog
        return higher, min(lane.work + other.work, fair_bound)

    def total_work(self) -> float:
        """Returns the slot time in seconds of all waiting tickets."""
        return math.fsum(lane.work for lanes in self._lanes for lane in lanes)

    def long_work(self, priority: models.Priority) -> float:
        """Returns the slot time in seconds of waiting long tickets of this and higher classes."""
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

    def _eviction_victim(self) -> Entry:
        for priority in reversed(_CLASSES):
            candidates = [item for lane in self._lanes[priority] if (item := lane.tail())]
            if candidates:
                return max(candidates, key=lambda item: item[:2])[2]
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

    ``mean`` estimates work and cost. The median and the 95th percentile are tracked by stochastic
    approximation, so that a few stragglers do not move them.
    """

    DEFAULT_S = 0.02
    STALE_S = 5.0
    """Half-life of the median without new samples, so that a slow period loses its effect."""
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
        time.last_sample = now
        time.mean += (elapsed - time.mean) * max(0.03, 1 / time.samples)
        gain = max(0.05, 1 / time.samples)
        time.median *= math.exp(gain if elapsed > time.median else -gain)
        gain = max(0.1, 2 / time.samples)
        time.p95 *= math.exp(gain * (0.95 if elapsed > time.p95 else -0.05))

    def mean(self, route: models.RouteName) -> float:
        time = self._routes.get(route)
        return time.mean if time else self.DEFAULT_S

    def known_mean(self, route: models.RouteName) -> float | None:
        """Returns the mean, or None while there are too few samples."""
        time = self._routes.get(route)
        return time.mean if time and time.samples >= self.MIN_SAMPLES else None

    def median(self, route: models.RouteName, now: float) -> float:
        """Returns the median, or 0 while there are too few samples.

        It decays with the age of the last sample.
        """
        time = self._routes.get(route)
        if time is None or time.samples < self.MIN_SAMPLES:
            return 0.0
        return time.median * 0.5 ** ((now - time.last_sample) / self.STALE_S)

    def overdue_after(self, route: models.RouteName, factor: float) -> float | None:
        """Returns the time in flight after which a request of the route is overdue.

        Returns None while there are too few samples.
        """
        time = self._routes.get(route)
        if time is None or time.samples < self.MIN_SAMPLES:
            return None
        return factor * max(time.p95, 2 * time.median)

    def long_routes(self, factor: float, now: float, recent_s: float) -> set[models.RouteName]:
        """Returns the routes whose median is at least ``factor`` times the shortest recent one.

        A median is recent if the route has a sample from the last ``recent_s`` seconds.
        """
        known = {r: t for r, t in self._routes.items() if t.samples >= self.MIN_SAMPLES}
        recent = [t.median for t in known.values() if now - t.last_sample <= recent_s]
        if not recent:
            return set()
        return {route for route, time in known.items() if time.median >= factor * min(recent)}

    def forget(self, route: models.RouteName) -> None:
        self._routes.pop(route, None)


class _RouteTime(msgspec.Struct):
    mean: float
    median: float
    p95: float
    samples: int = 0
    last_sample: float = 0.0
