"""Measures how many requests fail on gray servers of one zone, by the product's own slot owner.

``python -m bench.gray`` prints one line per scenario as JSON. Arrivals, service times and gray
periods are simulated; the decisions are those of ``dotterelfront.slot_owner``. A gray server fails
most of its requests at once. Each server has a new state in each period, drawn independently::

    python -m bench.gray --seeds 3 --seconds 120

``failed`` and ``refused`` are shares of the requests, ``mean_s`` and ``p99_s`` the response times
of the answered ones. ``onsets`` is the share of the requests that would fail if each gray period of
a server cost exactly one request. ``floor`` is the smallest share of the servers that got a request
in any two seconds in which over a tenth of the requests, but under half, were not served. Servers
that failed within two seconds before do not count.
"""

import collections
import heapq
import json
import random
from typing import Annotated

import msgspec
import typer

from dotterelfront import fleet_messages, fleetmodel, health, models, slot_owner

TICK_S = 0.05
WARMUP_S = 5.0
"""Time at the start that is not measured."""
GRAY_SHARE = 0.3
PERIOD_S = 9.0
GRAY_FAILS = 0.9
"""Share of the requests that a gray server fails."""
HEALTHY_FAILS = 0.012
FAIL_S = 0.003
MAX_ATTEMPTS = 3
WINDOW_S = 2.0
"""Window in which the floor counts the servers that get requests."""
POOL, ZONE = models.PoolName("pool"), models.ZoneName("a")


class Scenario(msgspec.Struct, frozen=True):
    """One pool in one zone. ``work_s`` is the mean service time; rates are in requests/s."""

    servers: int
    slots: int
    rate_per_s: float
    work_s: float
    idempotent: bool
    objective_s: float
    timeout_s: float
    gray_share: float = GRAY_SHARE
    crest: float = 1.0
    """Factor of the rate in the middle third of the time."""


SCENARIOS = {
    "refunds": Scenario(88, 6, 68.0, 0.94, False, 4.0, 6.0),
    "refunds at a crest": Scenario(88, 6, 68.0, 0.94, False, 4.0, 6.0, crest=7.0),
    "orders": Scenario(12, 6, 13.5, 0.66, False, 2.0, 3.0),
    "invoices": Scenario(34, 6, 20.0, 1.2, True, 4.0, 5.0),
    "reservations": Scenario(29, 3, 100.0, 0.2, False, 1.3, 3.0),
    "few servers": Scenario(2, 6, 4.0, 0.27, False, 0.8, 2.0),
    "six servers": Scenario(6, 6, 20.0, 0.39, False, 2.0, 4.0),
    "six servers at a crest": Scenario(6, 6, 20.0, 0.39, False, 2.0, 4.0, crest=4.0),
    "stable servers": Scenario(44, 6, 68.0, 0.94, False, 4.0, 6.0, gray_share=0.0),
    "mostly gray": Scenario(44, 6, 68.0, 0.94, False, 4.0, 6.0, gray_share=0.6),
}


class _Request(msgspec.Struct):
    arrived: float
    attempts: int = 0
    avoid: tuple[models.ServerId, ...] = ()


class Zone:
    """Plays one scenario; see the module docstring."""

    def __init__(self, scenario: Scenario, seed: int, seconds: float):
        self._scenario = scenario
        self._seconds = seconds
        self._rng = random.Random(seed)
        limits = slot_owner.RetryLimits(0.17, 35.0)
        self._owner = slot_owner.SlotOwner(limits, self._on_reply, seed=seed)
        self._servers = [models.ServerId(f"i-{number}") for number in range(scenario.servers)]
        instances = tuple(
            fleetmodel.Instance(
                server, f"{server}:80", POOL, ZONE, scenario.slots, models.ServerState.ACTIVE, 1
            )
            for server in self._servers
        )
        self._owner.set_servers(POOL, {ZONE: instances}, 0.0)
        self._offset = {server: self._rng.uniform(0, PERIOD_S) for server in self._servers}
        self._states: dict[tuple[models.ServerId, int], bool] = {}
        self._speed = {server: self._rng.uniform(0.7, 1.3) for server in self._servers}
        self._open: dict[int, _Request] = {}
        self._ends: list[tuple[float, int, models.ServerId, bool]] = []
        self._next_call = 0
        self._now = 0.0
        self._busy: collections.Counter[models.ServerId] = collections.Counter()
        self.outcomes: list[tuple[float, str, float]] = []
        """Time, outcome and response time of each measured request."""
        self.sent: list[tuple[float, models.ServerId]] = []
        self.failures: list[tuple[float, models.ServerId]] = []

    def run(self) -> None:
        next_arrival, next_tick = 0.0, 0.0
        while self._now < self._seconds:
            due_end = self._ends[0][0] if self._ends else float("inf")
            self._now = min(next_arrival, next_tick, due_end)
            if self._now == due_end:
                _, call_id, server, ok = heapq.heappop(self._ends)
                self._on_end(call_id, server, ok)
            elif self._now == next_tick:
                self._owner.tick(self._now)
                next_tick += TICK_S
            else:
                self._ask(_Request(self._now))
                next_arrival = self._now + self._rng.expovariate(self._rate())

    def _rate(self) -> float:
        third = self._seconds / 3
        in_crest = third < self._now < 2 * third
        return self._scenario.rate_per_s * (self._scenario.crest if in_crest else 1.0)

    def is_gray(self, server: models.ServerId, at: float) -> bool:
        period = (server, int((at + self._offset[server]) / PERIOD_S))
        if period not in self._states:
            self._states[period] = self._rng.random() < self._scenario.gray_share
        return self._states[period]

    def onsets(self) -> int:
        """Returns the number of gray periods that follow a healthy one."""
        return sum(
            gray and self._states.get((server, period - 1)) is False
            for (server, period), gray in self._states.items()
        )

    def _ask(self, req: _Request) -> None:
        self._next_call += 1
        self._open[self._next_call] = req
        scenario = self._scenario
        message = fleet_messages.SlotRequest(
            sender=models.VmId("vm-1"),
            reply_to="vm-1",
            call_id=self._next_call,
            pool=POOL,
            zone=ZONE,
            route=models.RouteName("route"),
            priority=models.Priority.NORMAL,
            idempotent=scenario.idempotent,
            remaining_s=req.arrived + scenario.timeout_s - self._now,
            wait=True,
            is_retry=req.attempts > 0,
            avoid=req.avoid,
        )
        self._owner.request(message, self._now)

    def _on_reply(self, address: str, message) -> None:
        if isinstance(message, fleet_messages.SlotGrant):
            self._on_grant(message.call_id, message.server)
        elif isinstance(message, fleet_messages.SlotRefusal):
            req = self._open.pop(message.call_id)
            self._record("failed" if req.attempts else "refused", req)

    def _on_grant(self, call_id: int, server: models.ServerId) -> None:
        scenario = self._scenario
        self.sent.append((self._now, server))
        self._busy[server] += 1
        share = GRAY_FAILS if self.is_gray(server, self._now) else HEALTHY_FAILS
        ok = self._rng.random() >= share
        crowded = 1.0 + max(0.0, self._busy[server] / scenario.slots - 0.7)
        work_s = self._rng.lognormvariate(-0.2, 0.63) * scenario.work_s * self._speed[server]
        took_s = work_s * crowded if ok else FAIL_S
        heapq.heappush(self._ends, (self._now + took_s, call_id, server, ok))

    def _on_end(self, call_id: int, server: models.ServerId, ok: bool) -> None:
        self._busy[server] -= 1
        result = health.AttemptResult.ANSWERED if ok else health.AttemptResult.SERVER_ERROR
        req = self._open.pop(call_id)
        release = fleet_messages.SlotRelease(models.VmId("vm-1"), call_id, result)
        self._owner.release(release, self._now)
        req.attempts += 1
        if not ok:
            self.failures.append((self._now, server))
        if ok:
            self._record("answered", req)
        elif self._scenario.idempotent and req.attempts < MAX_ATTEMPTS:
            req.avoid = (*req.avoid, server)
            self._ask(req)
        else:
            self._record("failed", req)

    def _record(self, outcome: str, req: _Request) -> None:
        if req.arrived >= WARMUP_S:
            self.outcomes.append((self._now, outcome, self._now - req.arrived))

    def floor(self) -> float:
        """Returns the smallest share of servers in use while requests are not served."""
        lowest = 1.0
        start = WARMUP_S
        while start + WINDOW_S <= self._seconds:
            end = start + WINDOW_S
            outcomes = [outcome for at, outcome, _ in self.outcomes if start <= at < end]
            unserved = sum(outcome != "answered" for outcome in outcomes)
            if 0.1 * len(outcomes) < unserved < 0.5 * len(outcomes):
                failed = {server for at, server in self.failures if start - WINDOW_S <= at < start}
                sound = set(self._servers) - failed
                used = {server for at, server in self.sent if start <= at < end}
                lowest = min(lowest, len(used & sound) / len(sound)) if sound else lowest
            start += WINDOW_S / 4
        return lowest


def measure(scenario: Scenario, seeds: int, seconds: float) -> dict[str, float]:
    """Returns the figures of a scenario over all seeds."""
    counts: collections.Counter[str] = collections.Counter()
    times: list[float] = []
    floors: list[float] = []
    for seed in range(1, seeds + 1):
        zone = Zone(scenario, seed, seconds)
        zone.run()
        counts.update(outcome for _, outcome, _ in zone.outcomes)
        counts["onsets"] += zone.onsets()
        times += [took for _, outcome, took in zone.outcomes if outcome == "answered"]
        floors.append(zone.floor())
    total = counts["answered"] + counts["failed"] + counts["refused"]
    times.sort()
    in_time = sum(took <= scenario.objective_s for took in times)
    return {
        "requests": total,
        "failed": round(counts["failed"] / total, 4),
        "refused": round(counts["refused"] / total, 4),
        "in_time": round(in_time / total, 4),
        "mean_s": round(sum(times) / len(times), 3),
        "p99_s": round(times[int(0.99 * len(times))], 2),
        "onsets": round(counts["onsets"] / total, 4),
        "floor": round(min(floors), 2),
    }


def main(
    names: Annotated[list[str] | None, typer.Argument(help=", ".join(SCENARIOS))] = None,
    seeds: Annotated[int, typer.Option(help="Number of seeds, from 1 on.")] = 3,
    seconds: Annotated[float, typer.Option(help="Simulated time of one seed.")] = 120.0,
) -> None:
    for name in names or SCENARIOS:
        print(json.dumps({"scenario": name, **measure(SCENARIOS[name], seeds, seconds)}))


if __name__ == "__main__":
    typer.run(main)
