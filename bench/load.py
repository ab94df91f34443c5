"""Simulates pool shards under load on a fake clock.

``python -m bench.load [--seed 1] [scenario ...]`` prints one JSON object per scenario, fleet size
and policy. The policy ``shard`` is ``pools.PoolShard``. The policy ``fifo`` is a minimal baseline:
first in, first out, round robin over free slots, no early rejection. With both policies, a server
aborts a request at its deadline and rejects a request that arrives after its deadline.

``cost`` measures CPU time and memory of a shard on the real clock.
"""

import argparse
import collections
import gc
import heapq
import itertools
import json
import math
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec

from dotterelfront import health, models, pools, queueing

SIZES = {"6x6": ((6, 6),), "20x4": ((10, 4), (10, 4))}
"""Shards as (servers, slots per server). 20 servers are split into two shards."""
TICK_S = 0.05
SERVICE_SIGMA = 0.5
"""Standard deviation of the logarithm of the service time."""
RESULT = health.AttemptResult


class RouteProfile(msgspec.Struct, frozen=True):
    """A route of the traffic mix.

    ``share`` is its share of all requests. ``straggler_share`` is the share of its requests that
    take 20 times as long.
    """

    name: str
    priority: models.Priority
    mean_s: float
    deadline_s: float
    share: float
    idempotent: bool = True
    straggler_share: float = 0.0


MIX = (
    RouteProfile("stock", models.Priority.HIGH, 0.02, 0.3, 0.40),
    RouteProfile("order", models.Priority.NORMAL, 0.06, 2.0, 0.30, idempotent=False),
    RouteProfile("lookup", models.Priority.LOW, 0.12, 4.0, 0.25),
    RouteProfile("report", models.Priority.NORMAL, 0.80, 8.0, 0.05),
)
HIGH_MIX = (
    RouteProfile("stock", models.Priority.HIGH, 0.04, 0.4, 0.80),
    RouteProfile("lookup", models.Priority.LOW, 0.16, 4.0, 0.20),
)
STRAGGLER_FACTOR = 20


class Request(msgspec.Struct, eq=False):
    """One request of a caller.

    ``granted_at`` is the time of its slot grant. ``answered_at`` is the time of the response, None
    if there was no response before the deadline.
    """

    route: RouteProfile
    customer: str
    arrival: float
    service_s: float
    straggler: bool
    retries_left: int = 0
    first_arrival: float = 0.0
    granted_at: float | None = None
    answered_at: float | None = None


class Fifo:
    """Baseline with the interface of ``pools.PoolShard``."""

    def __init__(self, servers: tuple[models.Server, ...]):
        self._free_slots = {server.address: server.slots for server in servers}
        self._rotation = collections.deque(self._free_slots)
        self._queue: collections.deque = collections.deque()
        self._servers: dict[int, models.ServerId] = {}
        self._ids = itertools.count(1)

    def submit(self, ticket: queueing.Ticket, now: float) -> list[pools.Effect]:
        self._queue.append(ticket)
        return self._advance()

    def complete(
        self, attempt_id: int, result: RESULT, now: float, requeue: bool = False
    ) -> list[pools.Effect]:
        self._free_slots[self._servers.pop(attempt_id)] += 1
        return self._advance()

    def tick(self, now: float) -> list[pools.Effect]:
        return []

    def _advance(self) -> list[pools.Effect]:
        effects = []
        while self._queue and any(self._free_slots.values()):
            while not self._free_slots[self._rotation[0]]:
                self._rotation.rotate(-1)
            server = self._rotation[0]
            self._rotation.rotate(-1)
            self._free_slots[server] -= 1
            attempt_id = next(self._ids)
            self._servers[attempt_id] = server
            effects.append(pools.Grant(self._queue.popleft().ticket_id, server, attempt_id))
        return effects


class Simulation:
    """Runs requests through the shards of a pool.

    ``real_slots`` limits the concurrent requests of a server, which sheds the others. Servers
    without an entry have no limit.
    """

    def __init__(self, policy: str, size: str, seed: int, real_slots: dict | None = None):
        self.rng = random.Random(f"{seed}-{size}")
        self.slots = sum(servers * slots for servers, slots in SIZES[size])
        self._real_slots = real_slots or {}
        self._shards = [
            _make_shard(policy, index, *shape, seed) for index, shape in enumerate(SIZES[size])
        ]
        self._events: list = []
        self._event_ids = itertools.count()
        self._pending: dict[tuple[int, int], Request] = {}
        self._running: collections.Counter = collections.Counter()
        self._ids = itertools.count(1)
        self.requests: list[Request] = []
        self.refused = 0

    def run(self, arrivals: Iterator[Request], until: float) -> list[Request]:
        self._schedule(0.0, self._tick)
        self._next_arrival(arrivals)
        while self._events and self._events[0][0] <= until:
            now, _, callback, args = heapq.heappop(self._events)
            callback(now, *args)
        return self.requests

    def _schedule(self, when: float, callback: Callable, *args) -> None:
        heapq.heappush(self._events, (when, next(self._event_ids), callback, args))

    def _next_arrival(self, arrivals: Iterator[Request]) -> None:
        if req := next(arrivals, None):
            self._schedule(req.arrival, self._arrive, req, arrivals)

    def _arrive(self, now: float, req: Request, arrivals: Iterator[Request] | None) -> None:
        self.requests.append(req)
        index = self.rng.randrange(len(self._shards))
        route = req.route
        ticket = queueing.Ticket(
            next(self._ids),
            models.RouteName(route.name),
            models.CustomerId(req.customer),
            route.priority,
            route.idempotent,
            now + route.deadline_s,
            now,
        )
        self._pending[index, ticket.ticket_id] = req
        self._apply_effects(index, self._shards[index].submit(ticket, now), now)
        if arrivals is not None:
            self._next_arrival(arrivals)

    def _apply_effects(self, index: int, effects: list[pools.Effect], now: float) -> None:
        for effect in effects:
            req = self._pending.pop((index, effect.ticket_id))
            if isinstance(effect, pools.Refusal):
                self._on_failure(now, req)
                continue
            self._send(now, index, effect, req)

    def _send(self, now: float, index: int, grant: pools.Grant, req: Request) -> None:
        deadline = req.arrival + req.route.deadline_s
        limit = self._real_slots.get(grant.server, math.inf)
        if self._running[grant.server] >= limit:
            self.refused += 1
            self._schedule(now + 0.001, self._finish, index, grant, req, RESULT.REFUSED)
            return
        self._running[grant.server] += 1
        req.granted_at = now
        if now + req.service_s <= deadline:
            self._schedule(now + req.service_s, self._finish, index, grant, req, RESULT.ANSWERED)
        else:
            aborted_at = max(now, deadline)
            self._schedule(aborted_at, self._finish, index, grant, req, RESULT.TIMEOUT)

    def _finish(
        self, now: float, index: int, grant: pools.Grant, req: Request, result: RESULT
    ) -> None:
        if result is RESULT.REFUSED:
            self._pending[index, grant.ticket_id] = req
        else:
            self._running[grant.server] -= 1
        if result is RESULT.ANSWERED:
            req.answered_at = now
        shard = self._shards[index]
        effects = shard.complete(grant.attempt_id, result, now, requeue=result is RESULT.REFUSED)
        self._apply_effects(index, effects, now)
        if result is RESULT.TIMEOUT:
            self._on_failure(now, req)
        elif result is RESULT.REFUSED and isinstance(shard, Fifo):
            self._on_failure(now, self._pending.pop((index, grant.ticket_id)))

    def _on_failure(self, now: float, req: Request) -> None:
        if req.retries_left:
            retry = msgspec.structs.replace(
                req, arrival=now + self.rng.uniform(0.05, 0.3), retries_left=req.retries_left - 1
            )
            retry.granted_at = None
            self._schedule(retry.arrival, self._arrive, retry, None)

    def _tick(self, now: float) -> None:
        for index, shard in enumerate(self._shards):
            self._apply_effects(index, shard.tick(now), now)
        self._schedule(now + TICK_S, self._tick)


def _make_servers(index: int, count: int, slots: int) -> tuple[models.Server, ...]:
    return tuple(
        models.Server(models.ServerId(f"10.0.{index}.{i}:80"), models.ZoneName("a"), slots)
        for i in range(count)
    )


def _make_shard(policy: str, index: int, count: int, slots: int, seed: int):
    servers = _make_servers(index, count, slots)
    if policy == "fifo":
        return Fifo(servers)
    pool = models.Pool(models.PoolName("bench"), servers, floor=slots)
    return pools.PoolShard(pool, servers, 0.0, rng=random.Random(seed))


def mean_service_s(mix: tuple[RouteProfile, ...]) -> float:
    return sum(route.share * route.mean_s for route in mix)


def arrivals(
    sim: Simulation,
    load: Callable[[float], float],
    until: float,
    mix: tuple[RouteProfile, ...] = MIX,
    max_attempts: int = 1,
    customers: int = 50,
    seed: int = 1,
) -> Iterator[Request]:
    """Yields Poisson arrivals.

    ``load`` returns the load at a time, relative to the capacity for the mix.
    """
    rng = random.Random(f"arrivals-{seed}")
    capacity_rate = sim.slots / mean_service_s(mix)
    now = 0.0
    while True:
        now += rng.expovariate(capacity_rate * max(load(now), 0.01))
        if now >= until:
            return
        route = rng.choices(mix, [route.share for route in mix])[0]
        service_s = route.mean_s * rng.lognormvariate(
            -SERVICE_SIGMA * SERVICE_SIGMA / 2, SERVICE_SIGMA
        )
        straggler = rng.random() < route.straggler_share
        service_s *= STRAGGLER_FACTOR if straggler else 1
        customer = f"c{rng.randrange(customers)}"
        yield Request(route, customer, now, service_s, straggler, max_attempts - 1, now)


def share_in_time(requests: list[Request]) -> float:
    return round(sum(req.answered_at is not None for req in requests) / max(1, len(requests)), 4)


def share_in_time_by_route(requests: list[Request]) -> dict[str, float]:
    names = sorted({req.route.name for req in requests})
    return {name: share_in_time([r for r in requests if r.route.name == name]) for name in names}


def percentile(values: list[float], share: float) -> float | None:
    if not values:
        return None
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 5)


def peak(policy: str, size: str, seed: int) -> dict:
    """Load rises from 0.4 to 1.2 of the capacity and falls back within 60 s.

    Reports the 10 s around the peak.
    """
    sim = Simulation(policy, size, seed)

    def load(now: float) -> float:
        return 0.8 - 0.4 * math.cos(2 * math.pi * now / 60)

    requests = sim.run(arrivals(sim, load, 60.0, seed=seed), 70.0)
    at_peak = [req for req in requests if 25 <= req.arrival < 35]
    return {"in_time": share_in_time(at_peak), "by_route": share_in_time_by_route(at_peak)}


def _overload(policy: str, size: str, seed: int, mix: tuple[RouteProfile, ...]) -> dict:
    sim = Simulation(policy, size, seed)
    requests = sim.run(arrivals(sim, lambda now: 1.5, 40.0, mix, seed=seed), 50.0)
    answered = [
        req for req in requests if req.answered_at is not None and 10 <= req.answered_at < 40
    ]
    high = [
        r for r in requests if r.route.priority is models.Priority.HIGH and 10 <= r.arrival < 39
    ]
    return {
        "goodput": round(sum(req.service_s for req in answered) / (30 * sim.slots), 4),
        "high_in_time": share_in_time(high),
        "by_route": share_in_time_by_route([req for req in requests if 10 <= req.arrival < 35]),
    }


def overload(policy: str, size: str, seed: int) -> dict:
    """Load of 1.5 times the capacity for 40 s, with 8% of the work at high priority.

    Reports from the tenth second on.
    """
    return _overload(policy, size, seed, MIX)


def overload_high(policy: str, size: str, seed: int) -> dict:
    """Same as ``overload``, with half of the work, 75% of the capacity, at high priority."""
    return _overload(policy, size, seed, HIGH_MIX)


def recovery(policy: str, size: str, seed: int) -> dict:
    """Load of 0.7, tripled for 10 s. Callers make up to three attempts per request.

    The pool has recovered when, in each second from then on, at least 99% of the new requests are
    answered in time on the first attempt.
    """
    sim = Simulation(policy, size, seed)
    until = 120.0
    load = arrivals(
        sim, lambda now: 2.1 if 20 <= now < 30 else 0.7, until, max_attempts=3, seed=seed
    )
    requests = sim.run(load, until + 10)
    first_attempts = [req for req in requests if req.arrival == req.first_arrival]
    seconds = collections.defaultdict(list)
    for req in first_attempts:
        seconds[int(req.arrival)].append(req)
    bad_seconds = [s for s in range(30, int(until)) if share_in_time(seconds[s]) < 0.99]
    return {
        "recovery_s": bad_seconds[-1] - 29 if bad_seconds else 0,
        "recovered": not bad_seconds or bad_seconds[-1] < until - 2,
        "peak_in_time": share_in_time([r for r in first_attempts if 20 <= r.arrival < 30]),
    }


def stragglers(policy: str, size: str, seed: int, load: float = 0.6) -> dict:
    """Load of 0.6 of short requests, without stragglers and with 2% of the requests as stragglers.

    The stragglers use the route of the short requests (``hidden``) or a separate ``own_route``.
    The wait time is from arrival to slot grant, the response time from arrival to response. Both
    cover short requests only.
    """
    short = RouteProfile("short", models.Priority.NORMAL, 0.05, 4.0, 1.0)
    mixes = {
        "none": (short,),
        "hidden": (msgspec.structs.replace(short, straggler_share=0.02),),
        "own_route": (
            msgspec.structs.replace(short, share=0.98),
            RouteProfile("long", models.Priority.NORMAL, 0.05 * STRAGGLER_FACTOR, 4.0, 0.02),
        ),
    }
    result = {}
    for name, mix in mixes.items():
        sim = Simulation(policy, size, seed)
        rate = load * mean_service_s(mix) / short.mean_s
        all_requests = sim.run(arrivals(sim, lambda now, r=rate: r, 120.0, mix, seed=seed), 130.0)
        requests = [r for r in all_requests if r.route.name == "short" and not r.straggler]
        requests = [r for r in requests if r.arrival > 10]
        times = [r.answered_at - r.arrival for r in requests if r.answered_at is not None]
        p99_s = percentile(times, 0.99)
        result[name] = {
            "p99_wait_s": percentile(
                [r.granted_at - r.arrival for r in requests if r.granted_at], 0.99
            ),
            "p99_s": p99_s,
            "p99_ratio": round(p99_s / (result.get("none") or {"p99_s": p99_s})["p99_s"], 3),
            "in_time": share_in_time(requests),
        }
    return result


def stragglers_busy(policy: str, size: str, seed: int) -> dict:
    """Same as ``stragglers`` at a load of 0.7, which the stragglers raise to 0.97."""
    return stragglers(policy, size, seed, load=0.7)


def stuck(policy: str, size: str, seed: int) -> dict:
    """Load of 0.6 of short requests. One of two routes takes 20 times as long from 40 s to 70 s.

    The slow route has a third of the requests. Reports the other route, whose deadline is 0.5 s,
    during that time and from 5 s after it.
    """
    normal = RouteProfile("short", models.Priority.NORMAL, 0.05, 0.5, 0.67)
    slow = RouteProfile("bad", models.Priority.NORMAL, 0.05, 4.0, 0.33)
    sim = Simulation(policy, size, seed)

    def slowed() -> Iterator[Request]:
        for req in arrivals(sim, lambda now: 0.6, 90.0, (normal, slow), seed=seed):
            if req.route is slow and 40 <= req.arrival < 70:
                req.service_s *= STRAGGLER_FACTOR
            yield req

    requests = [req for req in sim.run(slowed(), 100.0) if req.route is normal]
    during = [req for req in requests if 40 <= req.arrival < 70]
    times = [req.answered_at - req.arrival for req in during if req.answered_at is not None]
    after = [req for req in requests if req.arrival >= 75]
    return {
        "in_time": share_in_time(during),
        "p99_s": percentile(times, 0.99),
        "in_time_5s_after": share_in_time(after),
    }


def flood(policy: str, size: str, seed: int) -> dict:
    """20 customers with a load of 0.5 in total, and one with a load of 1.5 times the capacity."""
    route = RouteProfile("order", models.Priority.NORMAL, 0.06, 2.0, 1.0)
    sim = Simulation(policy, size, seed)

    quiet = arrivals(sim, lambda now: 0.5, 40.0, (route,), customers=20, seed=seed)
    flooding = arrivals(sim, lambda now: 1.5, 40.0, (route,), customers=1, seed=seed + 1)
    flooding = (msgspec.structs.replace(req, customer="flood") for req in flooding)
    merged = heapq.merge(quiet, flooding, key=lambda req: req.arrival)
    requests = [req for req in sim.run(merged, 50.0) if 10 <= req.arrival < 38]
    quiet = [req for req in requests if req.customer != "flood"]
    waits = [r.granted_at - r.arrival for r in quiet if r.granted_at is not None]
    return {
        "quiet_in_time": share_in_time(quiet),
        "flood_in_time": share_in_time([r for r in requests if r.customer == "flood"]),
        "quiet_p99_wait_s": percentile(waits, 0.99),
    }


def shedding(policy: str, size: str, seed: int) -> dict:
    """Load of 0.6. One server per shard runs only one request at a time and sheds the others."""
    real_slots = {f"10.0.{index}.0:80": 1 for index in range(len(SIZES[size]))}
    sim = Simulation(policy, size, seed, real_slots)
    requests = sim.run(arrivals(sim, lambda now: 0.6, 60.0, seed=seed), 70.0)
    steady = [req for req in requests if req.arrival > 10]
    return {
        "in_time": share_in_time(steady),
        "refusals_per_request": round(sim.refused / len(requests), 4),
    }


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        peak,
        overload,
        overload_high,
        recovery,
        stragglers,
        stragglers_busy,
        stuck,
        flood,
        shedding,
    )
}


def _ticket(index: int, customers: int = 100) -> queueing.Ticket:
    route = MIX[index % len(MIX)]
    return queueing.Ticket(
        index,
        models.RouteName(route.name),
        models.CustomerId(f"customer-{index % customers}"),
        route.priority,
        route.idempotent,
        1e9,
        0.0,
    )


def cost() -> Iterator[dict]:
    """Yields the CPU time of a submit and a complete at a constant queue length, and memory use.

    The memory use is in bytes per queued ticket and per shard.
    """
    for count, queued in itertools.product((2, 6, 16), (0, 64, 256, 1024)):
        yield {"servers": count, "queued": queued, "cpu_us": _cpu_us(count, queued)}
    for queued in (64, 256, 1024, 4096):
        yield {"queued": queued, "bytes_per_ticket": _bytes_per_item(_full_queue, queued)}
    for count in (2, 6, 16):
        size = _bytes_per_item(
            lambda n, servers=count: [_cost_shard(servers, 16) for _ in range(n)], 20
        )
        yield {"servers": count, "bytes_per_shard": size}


def _cost_shard(count: int, max_queue_length: int) -> pools.PoolShard:
    servers = _make_servers(0, count, 6)
    pool = models.Pool(models.PoolName("cost"), servers, floor=6)
    return pools.PoolShard(pool, servers, 0.0, max_queue_length=max_queue_length)


def _cpu_us(count: int, queued: int, rounds: int = 20_000) -> float:
    shard = _cost_shard(count, queued + 10)
    ids = itertools.count(1)
    running = collections.deque()
    now = 0.0

    def submit() -> None:
        effects = shard.submit(_ticket(next(ids)), now)
        running.extend(e.attempt_id for e in effects if isinstance(e, pools.Grant))

    for _ in range(count * 6 + queued if queued else 1):
        submit()
    best = math.inf
    for _ in range(5):
        started = time.process_time()
        for _ in range(rounds // 5):
            now += 0.001
            effects = shard.complete(running.popleft(), RESULT.ANSWERED, now)
            running.extend(e.attempt_id for e in effects)
            submit()
        best = min(best, (time.process_time() - started) / (rounds // 5))
    return round(best * 1e6, 1)


def _full_queue(count: int) -> tuple:
    queue = queueing.RequestQueue(count)
    for index in range(count):
        queue.push(_ticket(index), 0.05)
    return (queue,)


def _bytes_per_item(make: Callable[[int], object], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    objects = make(count)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del objects
    return round(used_bytes / count)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("scenarios", nargs="*", default=[*SCENARIOS, "cost"])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for name in args.scenarios:
        if name == "cost":
            for figures in cost():
                print(json.dumps({"scenario": "cost"} | figures), flush=True)
            continue
        for size, policy in itertools.product(SIZES, ("fifo", "shard")):
            figures = SCENARIOS[name](policy, size, args.seed)
            run = {"scenario": name, "size": size, "policy": policy, "seed": args.seed}
            print(json.dumps(run | figures), flush=True)


if __name__ == "__main__":
    main()
