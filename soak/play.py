"""One seed of the soak: a fleet, its platform, load, and faults from a seeded schedule."""

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
SERVERS_A_POOL = 4
POOLS = ("stock", "orders")
RATE_PER_S = 40.0
SETTLE_S = 4.0
"""Time after a fault in which time bounds do not hold."""
START_S = 20.0
LEAVE_S = 3.0
"""A leaving server serves for this long after its record says so."""
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
    """The fleet and all around it."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.seen = records.Seen()
        self.network = f"127.{60 + seed % 40}.{seed // 40 % 250}"
        self.store = platform_store.PlatformStore()
        self.vms = [
            fleet.FleetVm(number, self.network, "ab"[number % 2], folder)
            for number in range(1, VMS + 1)
        ]
        self.load = caller.Load(self.vms, self.seen, self.rng)
        self.servers: list[backend.Backend] = []
        self._made = 0
        self._version = 0
        self._extra: list[str] = []

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def add_server(self, pool: str) -> None:
        self._made += 1
        address = f"{self.network}.{100 + self._made}:9000"
        server = backend.Backend(f"i-{self._made}", pool, "ab"[self._made % 2], address, self.seen)
        await server.start()
        server.register(self.store)
        self.servers.append(server)

    def configure(self, extra: str = "") -> None:
        """Writes the next configuration; ``extra`` adds a route."""
        self._version += self.rng.randint(1, 5)
        if extra:
            self._extra.append(extra)
        routes = {
            "r-stock": _route("/stock/", "safe", "stock"),
            "r-orders": _route("/orders/", "unsafe", "orders"),
        } | {
            f"r-{number}": _route(path, "safe", "stock") for number, path in enumerate(self._extra)
        }
        services = {
            pool: {"health-path": "/h", "max-conns": 100, "proto": "h1", "tls": False}
            for pool in POOLS
        }
        table = {"version": f"r{self._version}", "routes": routes, "services": services}
        self.store.put("op/config", json.dumps(table).encode())
        if extra:
            self.seen.added[extra] = self.now
            self.load.paths["safe"].append(extra)

    def unwell(self, since: float) -> None:
        self.seen.unwell.append((since, self.now + SETTLE_S))


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


async def play(seed: int, seconds: float, folder: pathlib.Path) -> Outcome:
    """Plays one seed; returns what was seen."""

    async def scenario(world: World) -> Outcome:
        faults: list[str] = []
        world.seen.unwell.append((0.0, world.now + SETTLE_S))
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
    """Runs a scenario in a fleet that serves; processes and servers are gone afterwards."""
    world = World(seed, folder)
    for vm in world.vms:
        await world.store.serve(vm.store_host, fleet.STORE_PORT)
    for pool in POOLS * SERVERS_A_POOL:
        await world.add_server(pool)
    world.configure()
    tasks = [asyncio.ensure_future(vm.supervise()) for vm in world.vms]
    tasks.append(asyncio.ensure_future(world.load.check_ready()))
    try:
        async with asyncio.timeout(START_S):
            while len(world.load.ready) < VMS:
                await asyncio.sleep(0.1)
        return await scenario(world)
    finally:
        await _stop(world, tasks)


async def _run_faults(world: World, seconds: float, faults: list[str]) -> None:
    end = world.now + seconds
    running = []
    while world.now < end:
        name = world.rng.choice(sorted(FAULTS))
        faults.append(name)
        running.append(asyncio.ensure_future(FAULTS[name](world)))
        await asyncio.sleep(world.rng.uniform(0.3, 2.5))
    await asyncio.gather(*running)


async def _stop(world: World, tasks: list[asyncio.Task]) -> None:
    for vm in world.vms:
        vm.wanted = False
        vm.send(signal.SIGCONT)
        vm.send(signal.SIGKILL)
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for server in world.servers:
        server.stop()
    world.store.close()


async def _signal(world: World, number: signal.Signals, count: int) -> None:
    since = world.now
    for vm in world.rng.sample(world.vms, count):
        vm.send(number)
    await asyncio.sleep(1.5)
    world.unwell(since)


async def _kill(world: World) -> None:
    await _signal(world, signal.SIGKILL, world.rng.randint(1, 3))


async def _kill_all(world: World) -> None:
    world.configure()
    await _signal(world, signal.SIGKILL, VMS)


async def _terminate(world: World) -> None:
    await _signal(world, signal.SIGTERM, 1)


async def _freeze(world: World) -> None:
    since, vm = world.now, world.rng.choice(world.vms)
    vm.send(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(0.5, 4.0))
    vm.send(signal.SIGCONT)
    world.unwell(since)


async def _settings(world: World) -> None:
    """Changes settings files, some to one that is faulty until it is mended."""
    for vm in world.rng.sample(world.vms, 3):
        vm.fields["limits"]["retry-ratio"] = world.rng.choice([0.1, 0.2])
        if world.rng.random() < 0.3:
            vm.change_settings("{")
            vm.send(signal.SIGHUP)
            await asyncio.sleep(0.3)
        vm.change_settings(json.dumps(vm.fields))
        if world.rng.random() < 0.5:
            vm.send(signal.SIGHUP)


async def _store_fault(world: World) -> None:
    since = world.now
    kind = world.rng.choice(["down", "busy", "slow", "lose", "forget", "some", "silent"])
    hosts = {vm.store_host for vm in world.rng.sample(world.vms, VMS // 2)}
    world.store.down, world.store.busy = kind == "down", kind == "busy"
    world.store.slow_s = 0.3 if kind == "slow" else 0.0
    world.store.lose_replies = 5 if kind == "lose" else 0
    world.store.refused = hosts if kind == "some" else set()
    world.store.silent = hosts if kind == "silent" else set()
    if kind == "forget":
        world.store.forget_history()
    await asyncio.sleep(world.rng.uniform(1.0, 5.0))
    world.store.down = world.store.busy = False
    world.store.slow_s, world.store.lose_replies = 0.0, 0
    world.store.refused, world.store.silent = set(), set()
    world.unwell(since)


async def _gray(world: World) -> None:
    for server in world.rng.sample(world.servers, 2):
        server.fault, server.share = world.rng.choice(backend.FAULTS), world.rng.uniform(0.2, 1.0)
    await asyncio.sleep(world.rng.uniform(1.0, 4.0))
    for server in world.servers:
        server.fault, server.share = "", 0.0


async def _leave(world: World) -> None:
    server = world.servers.pop(world.rng.randrange(len(world.servers)))
    await world.add_server(server.pool)
    server.state = "draining"
    server.register(world.store)
    world.seen.leaving[server.name] = world.now
    await asyncio.sleep(LEAVE_S)
    world.store.delete(f"servers/{server.name}")
    server.stop()


async def _add_route(world: World) -> None:
    world.configure(f"/extra{len(world.load.paths['safe'])}/")


async def _spoil(world: World) -> None:
    """Another writer leaves a record that cannot be read."""
    raw = world.rng.choice([b"", b"\xff", b"{}", b'{"addr": 1}'])
    world.store.put(f"servers/x-{world.rng.randrange(5)}", raw)


FAULTS = {
    "kill": _kill,
    "kill all": _kill_all,
    "terminate": _terminate,
    "freeze": _freeze,
    "store": _store_fault,
    "gray": _gray,
    "leave": _leave,
    "route": _add_route,
    "spoil": _spoil,
    "settings": _settings,
}
