"""Compares what an owner does with a server that asked one VM for a pause.

``python -m bench.pauses`` prints JSON. One owner grants the slots of a pool to several VMs. For a
time one server rejects requests: either all of them, or those beyond a limit for each VM. Every
rejection asks its VM for a pause. The owner either goes on to grant the server to the other VMs, or
to none until the end of the pause. All times are simulated.
"""

import heapq
import json
import random
from collections.abc import Callable

import msgspec

from dotterelfront import fleet_messages, fleetmodel, health, models, server_signals, slot_owner

POOL, ZONE, ROUTE = models.PoolName("pool"), models.ZoneName("a"), models.RouteName("r")
VMS, SERVERS, SLOTS = 12, 6, 6
WORK_S, DEADLINE_S, PAUSE_S = 0.4, 2.0, 2.0
LOADS = (0.6, 0.9)
"""Load as a share of the slots of all servers."""
SECONDS = 60.0
REJECTING_S = (10.0, 40.0)
"""Start and end of the time in which one server rejects requests."""
MAX_ATTEMPTS = 3
VM_LIMIT = 1
"""Requests of one VM that a server with limits accepts at a time."""
TICK_S = 0.05
SEEDS = (1, 2, 3, 4, 5)


class _Request(msgspec.Struct):
    vm: int
    deadline: float
    attempts: int = 0


class _Events:
    """Callbacks in the order of their times."""

    def __init__(self):
        self._heap: list = []
        self._count = 0
        self.now = 0.0

    def at(self, time: float, run: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (time, self._count, run))

    def run_until(self, end: float) -> None:
        while self._heap and self._heap[0][0] < end:
            self.now, _, run = heapq.heappop(self._heap)
            run()


class Simulation:
    """One run; ``shares`` tells whether the owner grants a pausing server to other VMs."""

    def __init__(self, load: float, limits_vms: bool, shares: bool, seed: int):
        self._rng = random.Random(seed)
        self._events = _Events()
        self._limits_vms, self._shares = limits_vms, shares
        self._rate = load * SERVERS * SLOTS / WORK_S
        self._servers = {f"i-{n}": self._instance(f"i-{n}") for n in range(SERVERS)}
        self._signals = [server_signals.ServerSignals() for _ in range(VMS)]
        limits = slot_owner.RetryLimits(0.2, 20.0)
        self._owner = slot_owner.SlotOwner(limits, self._on_reply, seed=seed)
        self._owner.set_servers(POOL, {ZONE: tuple(self._servers.values())}, 0.0)
        self._calls: dict[int, _Request] = {}
        self._running: dict[tuple[str, int], int] = {}
        self.arrived = self.served = self.rejections = 0

    def run(self) -> dict:
        """Returns the share of requests served in time, and rejections per 1,000 requests."""
        self._events.at(0.0, self._arrive)
        self._events.at(TICK_S, self._tick)
        self._events.run_until(SECONDS)
        return {
            "served": round(self.served / self.arrived, 4),
            "rejections_per_1000": round(1000 * self.rejections / self.arrived, 1),
        }

    def _instance(self, name: str) -> fleetmodel.Instance:
        active = models.ServerState.ACTIVE
        return fleetmodel.Instance(name, f"{name}:80", POOL, ZONE, SLOTS, active, 1)

    def _arrive(self) -> None:
        self._events.at(self._events.now + self._rng.expovariate(self._rate), self._arrive)
        self.arrived += 1
        self._ask(_Request(self._rng.randrange(VMS), self._events.now + DEADLINE_S))

    def _tick(self) -> None:
        self._events.at(self._events.now + TICK_S, self._tick)
        self._owner.tick(self._events.now)

    def _ask(self, req: _Request) -> None:
        call_id = len(self._calls)
        self._calls[call_id] = req
        message = fleet_messages.SlotRequest(
            sender=models.VmId(str(req.vm)),
            reply_to="",
            call_id=call_id,
            pool=POOL,
            zone=ZONE,
            route=ROUTE,
            priority=models.Priority.NORMAL,
            idempotent=True,
            remaining_s=req.deadline - self._events.now,
            wait=True,
            is_retry=req.attempts > 0,
            excluded=self._excluded(req.vm),
        )
        self._owner.request(message, self._events.now)

    def _excluded(self, vm: int) -> tuple[models.ServerId, ...]:
        sources = [self._signals[vm]] if self._shares else self._signals
        blocked = [s.blocked(self._servers.values(), self._events.now) for s in sources]
        return tuple({server for servers in blocked for server in servers})

    def _on_reply(self, address: str, message: fleet_messages.Message) -> None:
        if isinstance(message, fleet_messages.SlotGrant):
            grant = message
            self._events.at(self._events.now, lambda: self._send(grant.call_id, grant.server))

    def _send(self, call_id: int, server: models.ServerId) -> None:
        req, now = self._calls[call_id], self._events.now
        req.attempts += 1
        key = (server, req.vm)
        if self._rejects(server, key):
            self.rejections += 1
            self._signals[req.vm].on_pause(self._servers[server], PAUSE_S, now)
            self._release(call_id, health.AttemptResult.REFUSED)
            if req.attempts < MAX_ATTEMPTS and now < req.deadline:
                self._ask(req)
            return
        self._running[key] = self._running.get(key, 0) + 1
        work_s = self._rng.expovariate(1 / WORK_S)
        self._events.at(now + work_s, lambda: self._finish(call_id, key))

    def _rejects(self, server: models.ServerId, key: tuple[str, int]) -> bool:
        start, end = REJECTING_S
        if server != "i-0" or not start <= self._events.now < end:
            return False
        return not self._limits_vms or self._running.get(key, 0) >= VM_LIMIT

    def _finish(self, call_id: int, key: tuple[str, int]) -> None:
        self._running[key] -= 1
        self.served += self._events.now <= self._calls[call_id].deadline
        self._release(call_id, health.AttemptResult.ANSWERED)

    def _release(self, call_id: int, result: health.AttemptResult) -> None:
        sender = models.VmId(str(self._calls[call_id].vm))
        self._owner.release(fleet_messages.SlotRelease(sender, call_id, result), self._events.now)


def main() -> None:
    for load in LOADS:
        for limits_vms in (False, True):
            for shares in (True, False):
                runs = [Simulation(load, limits_vms, shares, seed).run() for seed in SEEDS]
                mean = {
                    name: round(sum(run[name] for run in runs) / len(runs), 4) for name in runs[0]
                }
                case = {"load": load, "limits_each_vm": limits_vms, "others_get_grants": shares}
                print(json.dumps(case | mean))


if __name__ == "__main__":
    main()
