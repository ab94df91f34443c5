"""Pool shards under load, on a fake clock: ``python -m bench.load [--seed 1] [scenario ...]``.

Prints one JSON object per scenario, fleet size and policy. ``shard`` is ``pools.PoolShard``;
``fifo`` is the simplest baseline: first in first out, round robin over free slots, no early
rejection. Servers of both stop a request at its deadline and refuse one that is already late.
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
"""Shards as (servers, slots); 20 servers make two shards."""
TICK_S = 0.05
SIGMA = 0.5
RESULT = health.AttemptResult


class Kind(msgspec.Struct, frozen=True):
    """A route of the mix. ``share`` is of the requests, ``straggler`` the share 20x longer."""

    name: str
    priority: models.Priority
    mean_s: float
    deadline_s: float
    share: float
    idempotent: bool = True
    straggler: float = 0.0


MIX = (
    Kind("stock", models.Priority.HIGH, 0.02, 0.3, 0.40),
    Kind("order", models.Priority.NORMAL, 0.06, 2.0, 0.30, idempotent=False),
    Kind("lookup", models.Priority.LOW, 0.12, 4.0, 0.25),
    Kind("report", models.Priority.NORMAL, 0.80, 8.0, 0.05),
)
HIGH_MIX = (
    Kind("stock", models.Priority.HIGH, 0.04, 0.4, 0.80),
    Kind("lookup", models.Priority.LOW, 0.16, 4.0, 0.20),
)
STRAGGLER_FACTOR = 20


class Request(msgspec.Struct, eq=False):
    """One request of a caller; ``done`` is when it was answered in time, else None."""

    kind: Kind
    customer: str
    arrival: float
    service_s: float
    straggler: bool
    tries_left: int = 0
    first_arrival: float = 0.0
    granted: float | None = None
    done: float | None = None


class Fifo:
    """Baseline with the interface of ``pools.PoolShard``."""

    def __init__(self, servers: tuple[models.Server, ...]):
        self._free = {server.address: server.slots for server in servers}
        self._turn = collections.deque(self._free)
        self._queue: collections.deque = collections.deque()
        self._servers: dict[int, models.ServerId] = {}
        self._ids = itertools.count(1)

    def submit(self, ticket: queueing.Ticket, now: float) -> list[pools.Effect]:
        self._queue.append(ticket)
        return self._advance()

    def complete(
        self, attempt_id: int, result: RESULT, now: float, requeue: bool = False
    ) -> list[pools.Effect]:
        self._free[self._servers.pop(attempt_id)] += 1
        return self._advance()

    def tick(self, now: float) -> list[pools.Effect]:
        return []

    def _advance(self) -> list[pools.Effect]:
        effects = []
        while self._queue and any(self._free.values()):
            while not self._free[self._turn[0]]:
                self._turn.rotate(-1)
            server = self._turn[0]
            self._turn.rotate(-1)
            self._free[server] -= 1
            attempt_id = next(self._ids)
            self._servers[attempt_id] = server
            effects.append(pools.Grant(self._queue.popleft().ticket_id, server, attempt_id))
        return effects


class Simulation:
    """Runs requests through the shards of a pool. ``real_slots`` is where a server sheds."""

    def __init__(self, policy: str, size: str, seed: int, real_slots: dict | None = None):
        self.rng = random.Random(f"{seed}-{size}")
        self.slots = sum(servers * slots for servers, slots in SIZES[size])
        self._real_slots = real_slots or {}
        self._shards = [
            _make_shard(policy, index, *part, seed) for index, part in enumerate(SIZES[size])
        ]
        self._events: list = []
        self._order = itertools.count()
        self._waiting: dict[tuple[int, int], Request] = {}
        self._running: collections.Counter = collections.Counter()
        self._ids = itertools.count(1)
        self.requests: list[Request] = []
        self.refused = 0

    def run(self, arrivals: Iterator[Request], until: float) -> list[Request]:
        self._at(0.0, self._tick)
        self._next_arrival(arrivals)
        while self._events and self._events[0][0] <= until:
            now, _, call, args = heapq.heappop(self._events)
            call(now, *args)
        return self.requests

    def _at(self, when: float, call: Callable, *args) -> None:
        heapq.heappush(self._events, (when, next(self._order), call, args))

    def _next_arrival(self, arrivals: Iterator[Request]) -> None:
        if req := next(arrivals, None):
            self._at(req.arrival, self._arrive, req, arrivals)

    def _arrive(self, now: float, req: Request, arrivals: Iterator[Request] | None) -> None:
        self.requests.append(req)
        index = self.rng.randrange(len(self._shards))
        kind = req.kind
        ticket = queueing.Ticket(
            next(self._ids),
            models.RouteName(kind.name),
            models.CustomerId(req.customer),
            kind.priority,
            kind.idempotent,
            now + kind.deadline_s,
            now,
        )
        self._waiting[index, ticket.ticket_id] = req
        self._carry_out(index, self._shards[index].submit(ticket, now), now)
        if arrivals is not None:
            self._next_arrival(arrivals)

    def _carry_out(self, index: int, effects: list[pools.Effect], now: float) -> None:
        for effect in effects:
            req = self._waiting.pop((index, effect.ticket_id))
            if isinstance(effect, pools.Refusal):
                self._fail(now, req)
                continue
            self._send(now, index, effect, req)

    def _send(self, now: float, index: int, grant: pools.Grant, req: Request) -> None:
        deadline = req.arrival + req.kind.deadline_s
        limit = self._real_slots.get(grant.server, math.inf)
        if self._running[grant.server] >= limit:
            self.refused += 1
            self._at(now + 0.001, self._finish, index, grant, req, RESULT.REFUSED)
            return
        self._running[grant.server] += 1
        req.granted = now
        if now + req.service_s <= deadline:
            self._at(now + req.service_s, self._finish, index, grant, req, RESULT.ANSWERED)
        else:
            end = max(now, deadline)
            self._at(end, self._finish, index, grant, req, RESULT.TIMEOUT)

    def _finish(
        self, now: float, index: int, grant: pools.Grant, req: Request, result: RESULT
    ) -> None:
        if result is RESULT.REFUSED:
            self._waiting[index, grant.ticket_id] = req
        else:
            self._running[grant.server] -= 1
        if result is RESULT.ANSWERED:
            req.done = now
        shard = self._shards[index]
        effects = shard.complete(grant.attempt_id, result, now, requeue=result is RESULT.REFUSED)
        self._carry_out(index, effects, now)
        if result is RESULT.TIMEOUT:
            self._fail(now, req)
        elif result is RESULT.REFUSED and isinstance(shard, Fifo):
            self._fail(now, self._waiting.pop((index, grant.ticket_id)))

    def _fail(self, now: float, req: Request) -> None:
        if req.tries_left:
            again = msgspec.structs.replace(
                req, arrival=now + self.rng.uniform(0.05, 0.3), tries_left=req.tries_left - 1
            )
            again.granted = None
            self._at(again.arrival, self._arrive, again, None)

    def _tick(self, now: float) -> None:
        for index, shard in enumerate(self._shards):
            self._carry_out(index, shard.tick(now), now)
        self._at(now + TICK_S, self._tick)


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


def mean_work(mix: tuple[Kind, ...]) -> float:
    return sum(kind.share * kind.mean_s for kind in mix)


def arrivals(
    sim: Simulation,
    load: Callable[[float], float],
    until: float,
    mix: tuple[Kind, ...] = MIX,
    tries: int = 1,
    customers: int = 50,
    seed: int = 1,
) -> Iterator[Request]:
    """Yields Poisson arrivals; ``load`` is relative to the capacity for the mix."""
    rng = random.Random(f"arrivals-{seed}")
    full_rate = sim.slots / mean_work(mix)
    now = 0.0
    while True:
        now += rng.expovariate(full_rate * max(load(now), 0.01))
        if now >= until:
            return
        kind = rng.choices(mix, [kind.share for kind in mix])[0]
        service_s = kind.mean_s * rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        straggler = rng.random() < kind.straggler
        service_s *= STRAGGLER_FACTOR if straggler else 1
        customer = f"c{rng.randrange(customers)}"
        yield Request(kind, customer, now, service_s, straggler, tries - 1, now)


def share_in_time(requests: list[Request]) -> float:
    return round(sum(req.done is not None for req in requests) / max(1, len(requests)), 4)


def by_route(requests: list[Request]) -> dict[str, float]:
    names = sorted({req.kind.name for req in requests})
    return {name: share_in_time([r for r in requests if r.kind.name == name]) for name in names}


def percentile(values: list[float], share: float) -> float | None:
    if not values:
        return None
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 5)


def peak(policy: str, size: str, seed: int) -> dict:
    """Demand swings from 0.4 to 1.2 of the capacity and back in 60 s; figures of the peak 10 s."""
    sim = Simulation(policy, size, seed)

    def load(now: float) -> float:
        return 0.8 - 0.4 * math.cos(2 * math.pi * now / 60)

    requests = sim.run(arrivals(sim, load, 60.0, seed=seed), 70.0)
    at_peak = [req for req in requests if 25 <= req.arrival < 35]
    return {"in_time": share_in_time(at_peak), "by_route": by_route(at_peak)}


def _overload(policy: str, size: str, seed: int, mix: tuple[Kind, ...]) -> dict:
    sim = Simulation(policy, size, seed)
    requests = sim.run(arrivals(sim, lambda now: 1.5, 40.0, mix, seed=seed), 50.0)
    steady = [req for req in requests if req.done is not None and 10 <= req.done < 40]
    high = [r for r in requests if r.kind.priority is models.Priority.HIGH and 10 <= r.arrival < 39]
    return {
        "goodput": round(sum(req.service_s for req in steady) / (30 * sim.slots), 4),
        "high_in_time": share_in_time(high),
        "by_route": by_route([req for req in requests if 10 <= req.arrival < 35]),
    }


def overload(policy: str, size: str, seed: int) -> dict:
    """1.5 times the capacity for 40 s, 8% of the work of high priority; from the tenth second."""
    return _overload(policy, size, seed, MIX)


def overload_high(policy: str, size: str, seed: int) -> dict:
    """The same with half of the work of high priority, 75% of the capacity."""
    return _overload(policy, size, seed, HIGH_MIX)


def recovery(policy: str, size: str, seed: int) -> dict:
    """Load 0.7, three times that for 10 s; callers try a failed request up to three times.

    Normal again is the first second after which every second has 99% of its new requests answered
    by their first try.
    """
    sim = Simulation(policy, size, seed)
    until = 120.0
    load = arrivals(sim, lambda now: 2.1 if 20 <= now < 30 else 0.7, until, tries=3, seed=seed)
    requests = sim.run(load, until + 10)
    first = [req for req in requests if req.arrival == req.first_arrival]
    seconds = collections.defaultdict(list)
    for req in first:
        seconds[int(req.arrival)].append(req)
    bad = [s for s in range(30, int(until)) if share_in_time(seconds[s]) < 0.99]
    return {
        "recovery_s": bad[-1] - 29 if bad else 0,
        "recovered": not bad or bad[-1] < until - 2,
        "peak_in_time": share_in_time([r for r in first if 20 <= r.arrival < 30]),
    }


def stragglers(policy: str, size: str, seed: int, load: float = 0.6) -> dict:
    """Load 0.6 of short requests, to which 2% stragglers are added, ``hidden`` in the same route or
    as their ``own_route``.

    The wait is from arrival to slot, the time from arrival to answer, both of short requests only.
    """
    short = Kind("short", models.Priority.NORMAL, 0.05, 4.0, 1.0)
    mixes = {
        "none": (short,),
        "hidden": (msgspec.structs.replace(short, straggler=0.02),),
        "own_route": (
            msgspec.structs.replace(short, share=0.98),
            Kind("long", models.Priority.NORMAL, 0.05 * STRAGGLER_FACTOR, 4.0, 0.02),
        ),
    }
    result = {}
    for name, mix in mixes.items():
        sim = Simulation(policy, size, seed)
        rate = load * mean_work(mix) / short.mean_s
        found = sim.run(arrivals(sim, lambda now, r=rate: r, 120.0, mix, seed=seed), 130.0)
        requests = [r for r in found if r.kind.name == "short" and not r.straggler]
        requests = [r for r in requests if r.arrival > 10]
        times = [r.done - r.arrival for r in requests if r.done is not None]
        p99_s = percentile(times, 0.99)
        result[name] = {
            "p99_wait_s": percentile([r.granted - r.arrival for r in requests if r.granted], 0.99),
            "p99_s": p99_s,
            "p99_ratio": round(p99_s / (result.get("none") or {"p99_s": p99_s})["p99_s"], 3),
            "in_time": share_in_time(requests),
        }
    return result


def stragglers_busy(policy: str, size: str, seed: int) -> dict:
    """The same with load 0.7, which the stragglers raise to 0.97."""
    return stragglers(policy, size, seed, load=0.7)


def stuck(policy: str, size: str, seed: int) -> dict:
    """Load 0.6 of short requests; from 40 s to 70 s one route, a third of them, takes 20x longer.

    The figures are of the other route meanwhile, whose requests must be answered within 0.5 s.
    """
    good = Kind("short", models.Priority.NORMAL, 0.05, 0.5, 0.67)
    bad = Kind("bad", models.Priority.NORMAL, 0.05, 4.0, 0.33)
    sim = Simulation(policy, size, seed)

    def slowed() -> Iterator[Request]:
        for req in arrivals(sim, lambda now: 0.6, 90.0, (good, bad), seed=seed):
            if req.kind is bad and 40 <= req.arrival < 70:
                req.service_s *= STRAGGLER_FACTOR
            yield req

    requests = [req for req in sim.run(slowed(), 100.0) if req.kind is good]
    meanwhile = [req for req in requests if 40 <= req.arrival < 70]
    times = [req.done - req.arrival for req in meanwhile if req.done is not None]
    after = [req for req in requests if req.arrival >= 75]
    return {
        "in_time": share_in_time(meanwhile),
        "p99_s": percentile(times, 0.99),
        "in_time_5s_after": share_in_time(after),
    }


def flood(policy: str, size: str, seed: int) -> dict:
    """20 customers with load 0.5 in total, and one that alone sends 1.5 times the capacity."""
    kind = Kind("order", models.Priority.NORMAL, 0.06, 2.0, 1.0)
    sim = Simulation(policy, size, seed)

    quiet = arrivals(sim, lambda now: 0.5, 40.0, (kind,), customers=20, seed=seed)
    loud = arrivals(sim, lambda now: 1.5, 40.0, (kind,), customers=1, seed=seed + 1)
    loud = (msgspec.structs.replace(req, customer="flood") for req in loud)
    merged = heapq.merge(quiet, loud, key=lambda req: req.arrival)
    requests = [req for req in sim.run(merged, 50.0) if 10 <= req.arrival < 38]
    quiet = [req for req in requests if req.customer != "flood"]
    waits = [r.granted - r.arrival for r in quiet if r.granted is not None]
    return {
        "quiet_in_time": share_in_time(quiet),
        "flood_in_time": share_in_time([r for r in requests if r.customer == "flood"]),
        "quiet_p99_wait_s": percentile(waits, 0.99),
    }


def shedding(policy: str, size: str, seed: int) -> dict:
    """Load 0.6 while one server in each shard takes only one request and sheds the rest."""
    real_slots = {f"10.0.{index}.0:80": 1 for index in range(len(SIZES[size]))}
    sim = Simulation(policy, size, seed, real_slots)
    requests = sim.run(arrivals(sim, lambda now: 0.6, 60.0, seed=seed), 70.0)
    steady = [req for req in requests if req.arrival > 10]
    return {
        "in_time": share_in_time(steady),
        "refusals_per_request": round(sim.refused / len(requests), 4),
    }


SCENARIOS = {
    call.__name__: call
    for call in (
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
    kind = MIX[index % len(MIX)]
    return queueing.Ticket(
        index,
        models.RouteName(kind.name),
        models.CustomerId(f"customer-{index % customers}"),
        kind.priority,
        kind.idempotent,
        1e9,
        0.0,
    )


def cost() -> Iterator[dict]:
    """CPU time per submit and complete with a steady queue; bytes per ticket and per server."""
    for count, queued in itertools.product((2, 6, 16), (0, 64, 256, 1024)):
        yield {"servers": count, "queued": queued, "cpu_us": _cpu_us(count, queued)}
    for queued in (64, 256, 1024, 4096):
        yield {"queued": queued, "bytes_per_ticket": _bytes(_full_queue, queued)}
    for count in (2, 6, 16):
        size = _bytes(lambda n, servers=count: [_cost_shard(servers, 16) for _ in range(n)], 20)
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


def _bytes(make: Callable[[int], object], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make(count)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return round(used / count)


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
            head = {"scenario": name, "size": size, "policy": policy, "seed": args.seed}
            print(json.dumps(head | figures), flush=True)


if __name__ == "__main__":
    main()
