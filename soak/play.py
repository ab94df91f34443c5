"""Runs one seed of the soak: a fleet on its platform under load, with a seeded fault schedule."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import pynng

from dotterelfront import fleet_messages, fleetmodel
from soak import backend, caller, fleet, records
from standins import platform_store

VMS = 6
MAX_VMS = 54
"""The hosts of VMs, their stores and the servers share the last octet of an address."""
SERVERS_PER_POOL = 4
POOLS = ("stock", "orders")
RATE_PER_S = 40.0
"""Requests of all callers to ``VMS`` VMs; more VMs get more requests."""
SETTLE_S = 4.0
"""Time after a fault in which time bounds are not checked."""
START_TIMEOUT_S = 20.0
SERIAL_STOPS = 4
GRACE_S = 6.0
"""Time after SIGTERM within which a VM ends, as its settings state."""
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


class Environment:
    """The fleet under test with its platform, backend servers and load."""

    def __init__(self, seed: int, folder: pathlib.Path, zones: str = "ab", vms: int = VMS):
        self.rng = random.Random(seed)
        self.observations = records.Observations()
        self._zones = zones
        # The process id separates runs of the same seed beside each other.
        self.network = f"127.{60 + seed % 40}.{(seed // 40 + os.getpid()) % 250}"
        self.store = platform_store.PlatformStore()
        self.vms = [
            fleet.FleetVm(number, self.network, zones[number % len(zones)], folder)
            for number in range(1, vms + 1)
        ]
        self.load = caller.LoadGenerator(self.vms, self.observations, self.rng)
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
            f"i-{self._servers_started}",
            pool,
            self._zones[self._servers_started % len(self._zones)],
            address,
            self.observations,
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
            self.observations.routes_added_at[extra_prefix] = self.now
            self.load.paths["safe"].append(extra_prefix)

    def record_fault_window(self, since: float) -> None:
        """Suspends time bounds from the start of a fault until ``SETTLE_S`` after now."""
        self.observations.fault_windows.append((since, self.now + SETTLE_S))

    def record_vm_fault(self, vm: fleet.FleetVm, start: float, end: float) -> None:
        """Excuses a VM that has forgotten what servers told it, or could not act on it."""
        self.observations.vm_faults.append((vm.name, start, end))


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


async def run_seed(seed: int, seconds: float, folder: pathlib.Path, vms: int = VMS) -> Outcome:
    """Runs one seed with faults for ``seconds``; returns the outcome."""

    async def scenario(env: Environment) -> Outcome:
        faults: list[str] = []
        env.observations.fault_windows.append((0.0, env.now + SETTLE_S))
        load = asyncio.ensure_future(env.load.run(RATE_PER_S * vms / VMS))
        try:
            await _run_faults(env, seconds, faults)
            await asyncio.sleep(SETTLE_S)
        finally:
            load.cancel()
        env.observations.own_exits += [
            f"{vm.name} (exit code {code})" for vm in env.vms for code in vm.own_exits
        ]
        statuses = collections.Counter(
            result.status for result in env.observations.results.values()
        )
        return Outcome(seed, records.violations(env.observations), statuses, faults)

    return await run_with_fleet(seed, folder, scenario, vms=vms)


async def run_with_fleet(
    seed: int,
    folder: pathlib.Path,
    scenario: Callable[[Environment], Awaitable[Result]],
    zones: str = "ab",
    vms: int = VMS,
) -> Result:
    """Runs a scenario on a fleet that is ready; stops its processes and servers afterwards."""
    env = Environment(seed, folder, zones, vms)
    for vm in env.vms:
        await env.store.serve(vm.store_host, fleet.STORE_PORT)
    for pool in POOLS * SERVERS_PER_POOL:
        await env.add_server(pool)
    env.configure()
    tasks = [asyncio.ensure_future(vm.supervise()) for vm in env.vms]
    tasks.append(asyncio.ensure_future(env.load.poll_readiness()))
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(env.load.ready) < vms:
                await asyncio.sleep(0.1)
        return await scenario(env)
    finally:
        await _stop(env, tasks)


async def _run_faults(env: Environment, seconds: float, faults: list[str]) -> None:
    end = env.now + seconds
    running = []
    while env.now < end:
        kind = env.rng.choice(sorted(FAULTS))
        faults.append(kind)
        running.append(asyncio.ensure_future(FAULTS[kind](env)))
        await asyncio.sleep(env.rng.uniform(0.3, 2.5))
    await asyncio.gather(*running)


async def _stop(env: Environment, tasks: list[asyncio.Task]) -> None:
    for vm in env.vms:
        vm.keep_running = False
        vm.send(signal.SIGCONT)
        vm.send(signal.SIGKILL)
    env.load.close()
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for server in env.servers:
        server.stop()
    env.store.close()


async def _signal_vms(env: Environment, signum: signal.Signals, count: int) -> None:
    since = env.now
    signalled = env.rng.sample(env.vms, count)
    for vm in signalled:
        vm.send(signum)
    await asyncio.sleep(1.5)
    env.record_fault_window(since)
    for vm in signalled:
        env.record_vm_fault(vm, since, env.now + GRACE_S)


async def _kill(env: Environment) -> None:
    await _signal_vms(env, signal.SIGKILL, env.rng.randint(1, 3))


async def _kill_all(env: Environment) -> None:
    env.configure()
    await _signal_vms(env, signal.SIGKILL, len(env.vms))


async def _terminate(env: Environment) -> None:
    await _signal_vms(env, signal.SIGTERM, 1)


async def stop_in_series(env: Environment) -> None:
    """Stops VMs one after the other, while callers still use the ones that are leaving."""
    since = env.now
    env.load.only_ready = False
    for vm in env.rng.sample(env.vms, SERIAL_STOPS):
        vm.send(signal.SIGTERM)
        env.record_vm_fault(vm, env.now, env.now + GRACE_S)
        await asyncio.sleep(env.rng.uniform(0.5, 1.5))
    await asyncio.sleep(GRACE_S)
    env.load.only_ready = True
    env.observations.stop_windows.append((since, env.now))
    # The last requests of the window end before the fleet may be killed.
    await asyncio.sleep(caller.DEADLINE_S)


async def _suspend(env: Environment) -> None:
    since, vm = env.now, env.rng.choice(env.vms)
    vm.send(signal.SIGSTOP)
    await asyncio.sleep(env.rng.uniform(0.5, 4.0))
    vm.send(signal.SIGCONT)
    env.record_fault_window(since)
    env.record_vm_fault(vm, since, env.now)


async def _change_settings(env: Environment) -> None:
    """Changes settings files; some are invalid for 0.3 s before they get valid content."""
    for vm in env.rng.sample(env.vms, 3):
        vm.settings["limits"]["retry-ratio"] = env.rng.choice([0.1, 0.2])
        if env.rng.random() < 0.3:
            vm.write_settings("{")
            vm.send(signal.SIGHUP)
            await asyncio.sleep(0.3)
        vm.write_settings(json.dumps(vm.settings))
        if env.rng.random() < 0.5:
            vm.send(signal.SIGHUP)


async def _store_fault(env: Environment) -> None:
    since = env.now
    kind = env.rng.choice(["down", "busy", "slow", "lose", "forget", "some", "silent"])
    affected_hosts = {vm.store_host for vm in env.rng.sample(env.vms, len(env.vms) // 2)}
    env.store.down, env.store.busy = kind == "down", kind == "busy"
    env.store.slow_s = 0.3 if kind == "slow" else 0.0
    env.store.lose_replies = 5 if kind == "lose" else 0
    env.store.refused_hosts = affected_hosts if kind == "some" else set()
    env.store.silent_hosts = affected_hosts if kind == "silent" else set()
    if kind == "forget":
        env.store.discard_history()
    await asyncio.sleep(env.rng.uniform(1.0, 5.0))
    env.store.down = env.store.busy = False
    env.store.slow_s, env.store.lose_replies = 0.0, 0
    env.store.refused_hosts, env.store.silent_hosts = set(), set()
    env.record_fault_window(since)


async def _make_servers_gray(env: Environment) -> None:
    for server in env.rng.sample(env.servers, 2):
        server.fault, server.share = env.rng.choice(backend.FAULTS), env.rng.uniform(0.2, 1.0)
    await asyncio.sleep(env.rng.uniform(1.0, 4.0))
    for server in env.servers:
        server.fault, server.share = "", 0.0


async def _replace_server(env: Environment) -> None:
    server = env.servers.pop(env.rng.randrange(len(env.servers)))
    await env.add_server(server.pool)
    server.state = "draining"
    server.register(env.store)
    env.observations.leaving_since[server.name] = env.now
    await asyncio.sleep(DRAIN_PERIOD_S)
    env.store.delete(f"servers/{server.name}")
    server.stop()


async def _leave_by_answers(env: Environment) -> None:
    """A server says only in its responses that it leaves, and may start again under its id."""
    server = env.rng.choice(env.servers)
    server.announces_leaving = True
    await asyncio.sleep(env.rng.uniform(3.0, 6.0))
    if server not in env.servers:
        return
    env.servers.remove(server)
    server.stop()
    successor = backend.Backend(
        env.rng.choice([server.name, f"{server.name}-next"]),
        server.pool,
        server.zone,
        server.address,
        env.observations,
        born=server.born + 1,
    )
    if successor.name != server.name:
        env.store.delete(f"servers/{server.name}")
    await successor.start()
    successor.register(env.store)
    env.servers.append(successor)


async def _pause(env: Environment) -> None:
    """Some servers turn requests away and ask for a pause; at times all servers of a pool do."""
    servers = env.rng.sample(env.servers, 2)
    if env.rng.random() < 0.3:
        servers = [server for server in env.servers if server.pool == servers[0].pool]
    for server in servers:
        server.pause_s = env.rng.uniform(0.6, 3.0)
    await asyncio.sleep(env.rng.uniform(1.0, 4.0))
    for server in servers:
        server.pause_s = 0.0


async def _add_route(env: Environment) -> None:
    env.configure(f"/extra{len(env.load.paths['safe'])}/")


async def _write_unreadable_record(env: Environment) -> None:
    """Writes a server record that cannot be decoded, as a faulty writer would."""
    raw = env.rng.choice([b"", b"\xff", b"{}", b'{"addr": 1}'])
    env.store.put(f"servers/x-{env.rng.randrange(5)}", raw)


async def _send_odd_messages(env: Environment) -> None:
    """Sends messages to VMs that no VM of this version would send."""
    for vm in env.rng.sample(env.vms, 3):
        with pynng.Push0(send_timeout=500) as sock:
            sock.dial(f"tcp://{vm.host}:{fleet.PEER_PORT}", block=False)
            for raw in _odd_messages(vm, env.rng):
                with contextlib.suppress(pynng.NNGException):
                    await sock.asend(raw)
            # Closing the socket drops messages that are not sent yet.
            await asyncio.sleep(0.1)


def _odd_messages(vm: fleet.FleetVm, rng: random.Random) -> list[bytes]:
    request = fleet_messages.SlotRequest(
        sender="vm-none",
        reply_to="no address",
        call_id=rng.randrange(2**40),
        pool="no pool",
        zone="no zone",
        route="no route",
        priority=rng.choice([0, 7, -1]),
        idempotent=False,
        remaining_s=1.5,
        wait=True,
        is_retry=False,
    )
    without_end = [math.nan if v == 1.5 else v for v in msgspec.to_builtins(request)]
    encoded = fleet_messages.encode(request)
    changes = fleetmodel.Changes((fleetmodel.Record("servers/x", 3, b"\xff"),), 2**50)
    return [
        b"",
        rng.randbytes(200),
        encoded,
        encoded[: rng.randrange(1, len(encoded))],
        b"\xc1" + rng.randbytes(50),
        msgspec.msgpack.encode(without_end),
        fleet_messages.encode(fleet_messages.SlotGrant(rng.randrange(2**40), "i-none")),
        fleet_messages.encode(fleet_messages.Pull("no address", -1)),
        fleet_messages.encode(fleet_messages.Push(2**49, changes)),
        fleet_messages.encode(fleet_messages.Notice(f"{vm.host}:1", 2**50)),
    ]


FAULTS = {
    "kill": _kill,
    "kill all": _kill_all,
    "terminate": _terminate,
    "stops": stop_in_series,
    "freeze": _suspend,
    "store": _store_fault,
    "gray": _make_servers_gray,
    "leave": _replace_server,
    "leave by answers": _leave_by_answers,
    "pause": _pause,
    "route": _add_route,
    "spoil": _write_unreadable_record,
    "settings": _change_settings,
    "odd messages": _send_odd_messages,
}
