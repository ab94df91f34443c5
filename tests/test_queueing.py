"""Queue of a pool shard: priority classes, fair share, maximum length, deadlines."""

import collections
import math

from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import models, queueing

HIGH, NORMAL, LOW = models.Priority
MAX_COST = 1.0


def make_ticket(ticket_id, customer="a", priority=NORMAL, deadline=math.inf, route="r"):
    return queueing.Ticket(ticket_id, route, customer, priority, True, deadline, 0.0)


def drain(queue, allow_long=True):
    while entry := queue.select(allow_long):
        queue.dequeue(entry, allow_long)
        yield entry


COSTS = st.floats(0.2, MAX_COST)


@given(COSTS, COSTS, COSTS)
def test_share_of_the_classes(high, normal, low):
    """Guards against a starved lower class, and against one that takes more than its share."""
    queue = queueing.RequestQueue(max_length=1_000)
    costs = {HIGH: high, NORMAL: normal, LOW: low}
    for index in range(600):
        priority = models.Priority(index % 3)
        queue.push(make_ticket(index, f"c{index % 7}", priority), costs[priority])
    served = dict.fromkeys(models.Priority, 0.0)
    for entry, _ in zip(drain(queue), range(200), strict=False):
        served[entry.ticket.priority] += entry.cost
        higher_served = 0.0
        for priority in models.Priority:
            if priority is not HIGH:
                assert abs(served[priority] - queueing.MIN_SHARE * higher_served) <= 2 * MAX_COST
            higher_served += served[priority]


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.01, MAX_COST)), max_size=60))
def test_waiting_customers_get_equal_shares(pushes):
    """Guards against one customer's tickets delaying another's by more than one turn each."""
    queue = queueing.RequestQueue()
    remaining = collections.Counter(customer for customer, _ in pushes)
    for index, (customer, cost) in enumerate(pushes):
        queue.push(make_ticket(index, customer), cost)
    served = collections.Counter()
    for entry in drain(queue):
        customer = entry.ticket.customer
        served[customer] += entry.cost
        remaining[customer] -= 1
        for other in remaining:
            if remaining[other]:
                assert served[customer] - served[other] <= 2 * MAX_COST


@given(st.integers(1, 8), COSTS, COSTS)
def test_customer_that_returns_at_once_gets_no_extra_share(others, cost, returning):
    """Guards against one ticket at a time getting more than a backlog, or waiting several turns."""
    queue = queueing.RequestQueue(max_length=1_000)
    for index in range(100 * others):
        queue.push(make_ticket(index, f"c{index % others}"), cost)
    queue.push(make_ticket(1_000, "returning"), returning)
    served, passed = collections.Counter(), collections.Counter()
    for step in range(20 * others):
        entry = queue.select(True)
        queue.dequeue(entry, True)
        served[entry.ticket.customer] += entry.cost
        passed[entry.ticket.customer] += entry.cost
        if entry.ticket.customer == "returning":
            queue.push(make_ticket(1_001 + step, "returning"), returning)
            passed.clear()
        assert all(work <= returning + 2 * MAX_COST for work in passed.values())
    assert served["returning"] - min(served[f"c{i}"] for i in range(others)) <= 2 * MAX_COST


def test_stream_of_new_customers_does_not_starve_an_older_backlog():
    """Guards against virtual time that does not advance while each new customer goes first."""
    queue = queueing.RequestQueue()
    for index in range(50):
        queue.push(make_ticket(index, "old"), 1.0)
    served = collections.Counter()
    for step in range(60):
        queue.push(make_ticket(100 + step, f"new-{step}"), 1.0)
        entry = queue.select(True)
        queue.dequeue(entry, True)
        served[entry.ticket.customer] += 1
    assert served["old"] > 5


def test_new_customer_overtakes_a_flood_and_evicts_its_tickets():
    """Guards against a flood that delays or evicts the ticket of a quiet customer."""
    queue = queueing.RequestQueue(max_length=50)
    evicted = [queue.push(make_ticket(i, "flood"), 0.1) for i in range(60)]
    assert [ticket.ticket_id for ticket in evicted[50:]] == list(range(50, 60))
    for _, entry in zip(range(5), drain(queue), strict=False):
        assert entry.ticket.customer == "flood"
    for index in range(6):
        evicted_ticket = queue.push(make_ticket(100 + index, f"quiet-{index}"), 0.1)
    assert evicted_ticket.ticket_id == 49
    ahead = round(queueing.FAIR_QUANTUM_S / 0.1)
    first = [entry.ticket.ticket_id for entry in drain(queue)][: 6 + ahead]
    assert set(range(100, 106)) <= set(first)


@given(st.lists(st.sampled_from(list(models.Priority)), min_size=6, max_size=30))
def test_full_queue_evicts_the_lowest_priority(priorities):
    """Guards against a full queue that rejects a ticket while one of lower priority waits."""
    queue = queueing.RequestQueue(max_length=5)
    waiting = {}
    for index, priority in enumerate(priorities):
        waiting[index] = priority
        if evicted := queue.push(make_ticket(index, f"c{index}", priority), 0.1):
            assert waiting[evicted.ticket_id] == max(waiting.values())
            worst = [i for i, p in waiting.items() if p == max(waiting.values())]
            assert evicted.ticket_id == max(worst)
            del waiting[evicted.ticket_id]
    assert len(queue) == len(waiting) <= 5


@given(
    st.lists(st.tuples(st.sampled_from(["push", "take", "expire", "move"]), st.integers(0, 9))),
)
def test_bookkeeping_over_any_order_of_operations(steps):
    """Guards against tickets lost or served twice and against state kept for absent customers."""
    queue = queueing.RequestQueue(max_length=6)
    waiting, now = {}, 0
    for index, (step, value) in enumerate(steps):
        if step == "push":
            ticket = make_ticket(index, f"c{value % 3}", models.Priority(value % 3), now + value)
            waiting[index] = ticket
            if evicted := queue.push(ticket, 0.1 * (value + 1), long=value == 5):
                del waiting[evicted.ticket_id]
        elif step == "take" and (entry := queue.select(value > 2)):
            queue.dequeue(entry, value > 2)
            del waiting[entry.ticket.ticket_id]
        elif step == "move" and (entry := queue.select(False)):
            queue.move_to_long(entry)
        elif step == "expire":
            now += value
            expired = {ticket.ticket_id for ticket in queue.remove_expired(now)}
            assert expired == {i for i, ticket in waiting.items() if ticket.deadline <= now}
            waiting = {i: ticket for i, ticket in waiting.items() if i not in expired}
        assert len(queue) == len(waiting)
        assert sum(queue.lengths().values()) == len(waiting)
        for lane in (lane for lanes in queue._lanes for lane in lanes):
            assert len(lane._flows) == lane.active_customers <= lane.count
    assert {entry.ticket.ticket_id for entry in drain(queue)} == set(waiting)


def test_work_ahead_of_a_quiet_customer_is_one_turn_per_customer():
    """Guards against rejecting a quiet customer early because another one floods the queue."""
    queue = queueing.RequestQueue()
    for index in range(100):
        queue.push(make_ticket(index, "flood"), 0.1)
    queue.push(make_ticket(200, "urgent", HIGH), 0.3)
    higher, own = queue.work_ahead(make_ticket(201, "quiet"), 0.1, False)
    assert (higher, round(own, 6)) == (0.3, 0.1)
    assert round(queue.work_ahead(make_ticket(202, "flood"), 0.1, False)[1], 6) == 10.0


def test_learned_times_ignore_stragglers_and_age():
    """Guards against stragglers or a slow period long ago that distort the expected times."""
    times = queueing.RouteTimes()
    for index in range(2_000):
        times.observe("r", 2.0 if index % 50 == 0 else 0.1, now=index * 0.01)
    assert 0.09 < times.median("r", now=20.0) < 0.12
    assert times.overdue_after("r", 2.0) < 1.0
    assert times.median("r", now=120.0) < 0.001
