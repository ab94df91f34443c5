"""Measures the time to detect failing servers, and false ejections, on a simulated clock.

``python -m bench.detection detect --seeds 30`` injects each fault into one server of pools of the
users' sizes. ``python -m bench.detection healthy --pool 20x4 --days 1.5 --seed 1`` runs a healthy
pool with stragglers and load peaks. Both print JSON.

The simulation drives only ``health.ShardHealth``; it grants ejection permits immediately, as far as
the floor allows. Two baseline detectors get the same requests: one ejects a server after five
consecutive failures, the other after five consecutive responses that failed or exceeded a fixed
latency limit.
"""

import collections
import enum
import heapq
import itertools
import json
import math
import random
import statistics
from typing import Annotated

import msgspec
import typer

from dotterelfront import health, models

POOLS = {"6x6": (6, 6), "20x6": (20, 6), "8x4": (8, 4), "10x4": (10, 4), "20x4": (20, 4)}
"""Pools as (servers, slots per server), in the sizes that the users run.

Hanbit has pools of 6 and nearly 20 servers with 6 slots, Cámara of 8, 10 and 20 servers with 4.
"""

TICK_S = 0.05
WARM_UP_S = 30.0
OBSERVE_S = 60.0
MEDIAN_SERVICE_S = 0.04
SERVICE_SIGMA = 0.4
"""Standard deviation of the logarithm of the service time."""
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 20.0
DEADLINE_S = 2.0
FIXED_LATENCY_LIMIT_S = 0.2
BASELINE_EJECTION_S = 30.0
PEAK_INTERVAL_S = 600.0
PEAK_S = 10.0
PEAK_FACTOR = 3.0
FLAP_PHASE_S = 4.0
"""Length of each of the alternating faulty and healthy phases of a flapping server."""

app = typer.Typer()


class Fault(enum.Enum):
    ERRORS = "errors only"
    SLOW = "slow 10x"
    PROBES = "answers probes, fails work"
    ONE_WAY = "one-way reachable, requests hang"
    FLAPPING = "flapping"


class Router(enum.Enum):
    LEAST_BUSY = "least-busy"
    ROUND_ROBIN = "round-robin"


class ConsecutiveFailures:
    """Baseline: ejects a server for a fixed time after five consecutive failures.

    A response that takes longer than ``limit_s`` counts as a failure.
    """

    def __init__(self, servers, limit_s: float = math.inf):
        self._limit_s = limit_s
        self._failures = dict.fromkeys(servers, 0)
        self._ejected_until = dict.fromkeys(servers, 0.0)

    def eligible(self, server, idempotent, now) -> bool:
        return now >= self._ejected_until[server]

    def penalty(self, server, now) -> float:
        return 0.0

    def slot_share(self, server, now) -> float:
        return 1.0

    def on_start(self, attempt, now) -> None:
        pass

    def on_finish(self, attempt, result, now) -> None:
        succeeded = (
            result is health.AttemptResult.ANSWERED and now - attempt.started <= self._limit_s
        )
        self._failures[attempt.server] = 0 if succeeded else self._failures[attempt.server] + 1
        if self._failures[attempt.server] == 5:
            self._failures[attempt.server] = 0
            self._ejected_until[attempt.server] = now + BASELINE_EJECTION_S

    def tick(self, now) -> None:
        pass

    def unhealthy(self) -> dict:
        return {}


class Case(msgspec.Struct, frozen=True):
    """Parameters of one simulated run. ``rate`` is in requests/s for the whole pool."""

    servers: int
    slots: int
    rate: float
    detector: str
    router: Router
    median_s: float = MEDIAN_SERVICE_S
    fault: Fault | None = None
    peaks: bool = False
    idempotent_share: float = 0.8


class Simulation:
    """Simulates a pool with Poisson arrivals, a queue and slots.

    Records when the faulty server is ejected and how many ejections are false.
    """

    def __init__(self, case: Case, seed: int):
        self._case = case
        self._rng = random.Random(seed)
        self._names = [models.ServerId(f"10.0.0.{i}:80") for i in range(case.servers)]
        servers = tuple(
            models.Server(name, models.ZoneName("a"), case.slots) for name in self._names
        )
        floor = case.servers * case.slots * 2 // 3
        self._max_ejected = case.servers - math.ceil(floor / case.slots)
        pool = models.Pool(models.PoolName("p"), servers, floor)
        self._health = {
            "sequential": lambda: health.ShardHealth(pool, servers, 0.0),
            "five-failures": lambda: ConsecutiveFailures(self._names),
            "fixed-latency": lambda: ConsecutiveFailures(self._names, FIXED_LATENCY_LIMIT_S),
        }[case.detector]()
        self._route = models.RouteName("r")
        self._busy = dict.fromkeys(self._names, 0)
        self._queue: collections.deque = collections.deque()
        self._events: list = []
        self._ids = itertools.count(1)
        self._first_index = 0
        self._ejected: set = set()
        self.faulty_server = self._rng.choice(self._names)
        self.fault_start = math.inf
        self.false_ejections = 0
        self.detected_at: float | None = None
        self.requests = 0
        self.bad_requests = 0
        """Requests on the faulty server that failed, hung or were slow since the fault began."""

    def run(self, until: float, stop_at_detection: bool) -> None:
        now, next_tick = 0.0, TICK_S
        next_arrival = self._rng.expovariate(self._case.rate)
        while now < until and not (stop_at_detection and self.detected_at is not None):
            next_event = self._events[0][0] if self._events else math.inf
            now = min(next_tick, next_arrival, next_event)
            if now == next_event:
                _, attempt_id, attempt, result = heapq.heappop(self._events)
                self._busy[attempt.server] -= 1
                self._health.on_finish(attempt, result, now)
            elif now == next_arrival:
                next_arrival = now + self._rng.expovariate(self._rate(now))
                self._queue.append(now)
            else:
                next_tick = now + TICK_S
                self._tick(now)
            self._dispatch(now)

    def _rate(self, now: float) -> float:
        peak = self._case.peaks and now % PEAK_INTERVAL_S < PEAK_S
        return self._case.rate * (PEAK_FACTOR if peak else 1.0)

    def _tick(self, now: float) -> None:
        self._health.tick(now)
        if not isinstance(self._health, ConsecutiveFailures):
            evidence = self._health.unhealthy()
            granted = sorted(evidence, key=evidence.get, reverse=True)[: self._max_ejected]
            for server in granted:
                self._health.permit(server, now + 6.0)
        if isinstance(self._health, ConsecutiveFailures):
            ejected = {name for name in self._names if not self._health.eligible(name, False, now)}
        else:
            ejected = set(granted)
        for server in ejected - self._ejected:
            if server != self.faulty_server or now < self.fault_start:
                self.false_ejections += 1
            elif self.detected_at is None:
                self.detected_at = now
        self._ejected = ejected

    def _dispatch(self, now: float) -> None:
        while self._queue:
            if self._queue[0] + DEADLINE_S <= now:
                self._queue.popleft()
                continue
            idempotent = self._rng.random() < self._case.idempotent_share
            server = self._pick_server(idempotent, now)
            if server is None:
                return
            self._start(server, idempotent, self._queue.popleft() + DEADLINE_S, now)

    def _pick_server(self, idempotent: bool, now: float):
        names = self._names
        self._first_index = (self._first_index + 1) % len(names)
        if self._case.router is Router.LEAST_BUSY:
            self._first_index = self._rng.randrange(len(names))
        best, best_key = None, (math.inf, math.inf)
        for name in names[self._first_index :] + names[: self._first_index]:
            slots = max(1, int(self._case.slots * self._health.slot_share(name, now)))
            if self._busy[name] >= slots or not self._health.eligible(name, idempotent, now):
                continue
            busy = self._busy[name] if self._case.router is Router.LEAST_BUSY else 0
            key = (self._health.penalty(name, now), busy)
            if key < best_key:
                best, best_key = name, key
        return best

    def _start(self, server, idempotent: bool, deadline: float, now: float) -> None:
        attempt = health.Attempt(next(self._ids), server, self._route, idempotent, now)
        self.requests += 1
        self._busy[server] += 1
        self._health.on_start(attempt, now)
        service_s, result = self._simulate_service(server, now)
        if now + service_s > deadline:
            service_s, result = deadline - now, health.AttemptResult.TIMEOUT
        heapq.heappush(self._events, (now + service_s, attempt.attempt_id, attempt, result))

    def _simulate_service(self, server, now: float):
        load = self._busy[server] / self._case.slots
        service_s = self._rng.lognormvariate(math.log(self._case.median_s), SERVICE_SIGMA)
        service_s *= 1 + load * load
        if self._rng.random() < STRAGGLER_SHARE:
            service_s *= STRAGGLER_FACTOR
        answered = health.AttemptResult.ANSWERED
        if server != self.faulty_server or now < self.fault_start:
            return service_s, answered
        fault_age_s = now - self.fault_start
        if self._case.fault is Fault.FLAPPING and int(fault_age_s / FLAP_PHASE_S) % 2:
            return service_s, answered
        self.bad_requests += 1
        if self._case.fault is Fault.SLOW:
            return service_s * 10, answered
        if self._case.fault is Fault.ONE_WAY:
            return math.inf, answered
        if self._case.fault is Fault.PROBES:
            return service_s, health.AttemptResult.SERVER_ERROR
        return 0.005, health.AttemptResult.SERVER_ERROR


DETECTORS = ("sequential", "five-failures", "fixed-latency")


def _detect_case(case: Case, seeds: int, first_seed: int) -> dict:
    times_s, bad_request_counts, missed, others_ejected = [], [], 0, 0
    for seed in range(first_seed, first_seed + seeds):
        sim = Simulation(case, seed)
        sim.fault_start = WARM_UP_S + seed % 7 * 0.13
        sim.run(sim.fault_start + OBSERVE_S, stop_at_detection=case.fault is not Fault.FLAPPING)
        others_ejected += sim.false_ejections
        bad_request_counts.append(sim.bad_requests)
        if sim.detected_at is None:
            missed += 1
        else:
            times_s.append(sim.detected_at - sim.fault_start)
    return {
        "p50_s": round(statistics.median(times_s), 2) if times_s else None,
        "max_s": round(max(times_s), 2) if times_s else None,
        "missed": missed,
        "bad_requests_p50": statistics.median(bad_request_counts),
        "others_ejected": others_ejected,
    }


@app.command()
def detect(
    seeds: int = 30,
    first_seed: int = 1,
    rate: float = 50.0,
    median_ms: float = MEDIAN_SERVICE_S * 1000,
    pools: Annotated[str, typer.Option(help="Comma-separated, such as 6x6,20x4.")] = ",".join(
        POOLS
    ),
):
    """Measures the time to detect each fault, by pool, router and detector."""
    rows = []
    for pool, router, fault in itertools.product(pools.split(","), Router, Fault):
        servers, slots = (int(part) for part in pool.split("x"))
        row = {"pool": pool, "router": router.value, "fault": fault.value}
        for detector in DETECTORS:
            case = Case(servers, slots, rate, detector, router, median_ms / 1000, fault)
            row[detector] = _detect_case(case, seeds, first_seed)
        rows.append(row)
    print(
        json.dumps(
            {"seeds": seeds, "first_seed": first_seed, "rate": rate, "median_ms": median_ms},
        )[:-1]
        + ', "rows": [\n  '
        + ",\n  ".join(json.dumps(row) for row in rows)
        + "\n]}"
    )


@app.command()
def healthy(
    pool: str = "20x4",
    days: float = 0.05,
    seed: int = 1,
    rate: float = 50.0,
    detectors: str = ",".join(DETECTORS),
):
    """Counts false ejections in a healthy pool with stragglers and load peaks."""
    servers, slots = (int(part) for part in pool.split("x"))
    result = {"pool": pool, "days": days, "seed": seed, "server_days": days * servers}
    for detector in detectors.split(","):
        case = Case(servers, slots, rate, detector, Router.LEAST_BUSY, peaks=True)
        sim = Simulation(case, seed)
        sim.run(days * 86_400, stop_at_detection=False)
        result[detector] = {
            "requests": sim.requests,
            "false_ejections": sim.false_ejections,
            "per_server_day": round(sim.false_ejections / (days * servers), 4),
        }
    print(json.dumps(result))


if __name__ == "__main__":
    app()
