"""Runs one seed of the soak: a fleet on its platform under load, with a seeded fault schedule."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TypeVar

from soak import backend, caller, fleet, records
from standins import platform_store

VMS = 6
SERVERS_PER_POOL = 4
POOLS = ("stock", "orders")
RATE_PER_S = 40.0
SETTLE_S = 4.0
"""Time after a fault in which time bounds are not checked."""
START_TIMEOUT_S = 20.0
DRAIN_PERIOD_S = 3.0
"""Time for which a draining server still serves after it has updated its record."""
Result = TypeVar("Result")


@dataclasses.dataclass
class Outcome:
    """Result of one seed."""

    seed: int
    violations: list[str]
    statuses: collections.Counter
    faults: list[str]

    def line(self) -> str:
        counts = " ".join(f"{status}:{n}" for status, n in sorted(self.statuses.items()))
        verdict = "broken" if self.violations else "ok"
        return f"seed {self.seed}: {verdict}; {counts}; {', '.join(self.faults)}"


class World:
    """The fleet under test with its platform, backend servers and load."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.seen = records.Observations()
        self.network = f"127.{60 + seed % 40}.{seed // 40 % 250}"
        self.store = platform_store.PlatformStore()
        self.vms = [
            fleet.FleetVm(number, self.network, "ab"[number % 2], folder)
            for number in range(1, VMS + 1)
        ]
        self.load = caller.LoadGenerator(self.vms, self.seen, self.rng)
        self.servers: list[backend.Backend] = []
        self._servers_started = 0
        self._version = 0
        self._extra_prefixes: list[str] = []

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def add_server(self, pool: str) -> None:
        """Starts a backend server and registers it in the store."""
        self._servers_started += 1
        address = f"{self.network}.{100 + self._servers_started}:9000"
        server = backend.Backend(
            f"i-{self._servers_started}", pool, "ab"[self._servers_started % 2], address, self.seen
        )
        await server.start()
        server.register(self.store)
        self.servers.append(server)

    def configure(self, extra_prefix: str = "") -> None:
        """Writes the next configuration, with a further route if ``extra_prefix`` is given."""
        self._version += self.rng.randint(1, 5)
        if extra_prefix:
            self._extra_prefixes.append(extra_prefix)
        routes = {
            "r-stock": _route("/stock/", "safe", "stock"),
            "r-orders": _route("/orders/", "unsafe", "orders"),
        } | {
            f"r-{number}": _route(prefix, "safe", "stock")
            for number, prefix in enumerate(self._extra_prefixes)
        }
        services = {
            pool: {"health-path": "/h", "max-conns": 100, "proto": "h1", "tls": False}
            for pool in POOLS
        }
        config = {"version": f"r{self._version}", "routes": routes, "services": services}
        self.store.put("op/config", json.dumps(config).encode())
        if extra_prefix:
            self.seen.routes_added_at[extra_prefix] = self.now
            self.load.paths["safe"].append(extra_prefix)

    def record_fault_window(self, since: float) -> None:
        """Suspends time bounds from the start of a fault until ``SETTLE_S`` after now."""
        self.seen.fault_windows.append((since, self.now + SETTLE_S))


def _route(prefix: str, kind: str, pool: str) -> dict:
    return {
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": "1500ms",
        "goal": "500ms",
        "priority": 1,
        "service": pool,
        "attempts": 2,
    }


async def run_seed(seed: int, seconds: float, folder: pathlib.Path) -> Outcome:
    """Runs one seed with faults for ``seconds``; returns the outcome."""

    async def scenario(world: World) -> Outcome:
        faults: list[str] = []
        world.seen.fault_windows.append((0.0, world.now + SETTLE_S))
        load = asyncio.ensure_future(world.load.run(RATE_PER_S))
        try:
            await _run_faults(world, seconds, faults)
            await asyncio.sleep(SETTLE_S)
        finally:
            load.cancel()
        statuses = collections.Counter(result.status for result in world.seen.results.values())
        return Outcome(seed, records.violations(world.seen), statuses, faults)

    return await with_fleet(seed, folder, scenario)


async def with_fleet(
    seed: int, folder: pathlib.Path, scenario: Callable[[World], Awaitable[Result]]
) -> Result:
    """Runs a scenario on a fleet that is ready; stops its processes and servers afterwards."""
    world = World(seed, folder)
    for vm in world.vms:
        await world.store.serve(vm.store_host, fleet.STORE_PORT)
    for pool in POOLS * SERVERS_PER_POOL:
        await world.add_server(pool)
    world.configure()
    tasks = [asyncio.ensure_future(vm.supervise()) for vm in world.vms]
    tasks.append(asyncio.ensure_future(world.load.poll_readiness()))
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(world.load.ready) < VMS:
                await asyncio.sleep(0.1)
        return await scenario(world)
    finally:
        await _stop(world, tasks)


async def _run_faults(world: World, seconds: float, faults: list[str]) -> None:
    end = world.now + seconds
    running = []
    while world.now < end:
        kind = world.rng.choice(sorted(FAULTS))
        faults.append(kind)
        running.append(asyncio.ensure_future(FAULTS[kind](world)))
        await asyncio.sleep(world.rng.uniform(0.3, 2.5))
    await asyncio.gather(*running)


async def _stop(world: World, tasks: list[asyncio.Task]) -> None:
    for vm in world.vms:
        vm.keep_running = False
        vm.send(signal.SIGCONT)
        vm.send(signal.SIGKILL)
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for server in world.servers:
        server.stop()
    world.store.close()


async def _signal_vms(world: World, signum: signal.Signals, count: int) -> None:
    since = world.now
    for vm in world.rng.sample(world.vms, count):
        vm.send(signum)
    await asyncio.sleep(1.5)
    world.record_fault_window(since)


async def _kill(world: World) -> None:
    await _signal_vms(world, signal.SIGKILL, world.rng.randint(1, 3))


async def _kill_all(world: World) -> None:
    world.configure()
    await _signal_vms(world, signal.SIGKILL, VMS)


async def _terminate(world: World) -> None:
    await _signal_vms(world, signal.SIGTERM, 1)


async def _suspend(world: World) -> None:
    since, vm = world.now, world.rng.choice(world.vms)
    vm.send(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(0.5, 4.0))
    vm.send(signal.SIGCONT)
    world.record_fault_window(since)


async def _change_settings(world: World) -> None:
    """Changes settings files; some are invalid for 0.3 s before they get valid content."""
    for vm in world.rng.sample(world.vms, 3):
        vm.settings["limits"]["retry-ratio"] = world.rng.choice([0.1, 0.2])
        if world.rng.random() < 0.3:
            vm.write_settings("{")
            vm.send(signal.SIGHUP)
            await asyncio.sleep(0.3)
        vm.write_settings(json.dumps(vm.settings))
        if world.rng.random() < 0.5:
            vm.send(signal.SIGHUP)


async def _store_fault(world: World) -> None:
    since = world.now
    kind = world.rng.choice(["down", "busy", "slow", "lose", "forget", "some", "silent"])
    affected_hosts = {vm.store_host for vm in world.rng.sample(world.vms, VMS // 2)}
    world.store.down, world.store.busy = kind == "down", kind == "busy"
    world.store.slow_s = 0.3 if kind == "slow" else 0.0
    world.store.lose_replies = 5 if kind == "lose" else 0
    world.store.refused_hosts = affected_hosts if kind == "some" else set()
    world.store.silent = affected_hosts if kind == "silent" else set()
    if kind == "forget":
        world.store.discard_history()
    await asyncio.sleep(world.rng.uniform(1.0, 5.0))
    world.store.down = world.store.busy = False
    world.store.slow_s, world.store.lose_replies = 0.0, 0
    world.store.refused_hosts, world.store.silent = set(), set()
    world.record_fault_window(since)


async def _make_servers_gray(world: World) -> None:
    for server in world.rng.sample(world.servers, 2):
        server.fault, server.share = world.rng.choice(backend.FAULTS), world.rng.uniform(0.2, 1.0)
    await asyncio.sleep(world.rng.uniform(1.0, 4.0))
    for server in world.servers:
        server.fault, server.share = "", 0.0


async def _replace_server(world: World) -> None:
    server = world.servers.pop(world.rng.randrange(len(world.servers)))
    await world.add_server(server.pool)
    server.state = "draining"
    server.register(world.store)
    world.seen.leaving_since[server.name] = world.now
    await asyncio.sleep(DRAIN_PERIOD_S)
    world.store.delete(f"servers/{server.name}")
    server.stop()


async def _add_route(world: World) -> None:
    world.configure(f"/extra{len(world.load.paths['safe'])}/")


async def _write_unreadable_record(world: World) -> None:
    """Writes a server record that cannot be decoded, as a faulty writer would."""
    raw = world.rng.choice([b"", b"\xff", b"{}", b'{"addr": 1}'])
    world.store.put(f"servers/x-{world.rng.randrange(5)}", raw)


FAULTS = {
    "kill": _kill,
    "kill all": _kill_all,
    "terminate": _terminate,
    "freeze": _suspend,
    "store": _store_fault,
    "gray": _make_servers_gray,
    "leave": _replace_server,
    "route": _add_route,
    "spoil": _write_unreadable_record,
    "settings": _change_settings,
}
