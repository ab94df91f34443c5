"""The store stops answering the two VMs that watch it; then the operator moves a route.

It answers the other five VMs of the zone and the operator all the while. This happens seven times;
each time a server's entry changes shortly before, as entries do.
"""

import asyncio
import copy
import dataclasses
import json
import os
import pathlib
import tempfile

from harness import backend, client, fleet

from standins import platform_store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).parent
HOST, PREFIX = "hulo84.example", "/leny950/"
OLD, NEW = "bin-count", "ledger-archive"
VMS, TURNED_AWAY = 7, 2
DEADLINE_S, WORK_S, RATE_PER_S = 1.5, 0.05, 60.0
APPLY_S = 2.0
TRIALS, CALM_S, AWAY_S = 7, 4.0, 6.0
ENTRY_BEFORE_S, CHANGE_AFTER_S = 1.25, 0.05
CONFIG = {
    "version": "r1",
    "routes": {
        "r-stock": {
            "host": HOST,
            "prefix": PREFIX,
            "kind": "safe",
            "timeout": "1500ms",
            "goal": "600ms",
            "priority": 1,
            "service": OLD,
            "attempts": 2,
        }
    },
    "services": {name: {"health-path": "/healthz", "max-conns": 330} for name in (OLD, NEW)},
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1000000,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
}


async def send(vm: fleet.Vm, log: list[client.Sent]) -> None:
    try:
        conn = await client.connect(vm.name, vm.host, fleet.FRONT_PORT)
    except (OSError, TimeoutError):
        return
    await client.request(conn, log, "GET", HOST, f"{PREFIX}2f", DEADLINE_S)
    conn.close()


@dataclasses.dataclass
class Change:
    """A move of the route to ``service``, and the VMs that the store did not answer then."""

    acknowledged_at: float
    service: str
    away: list[str]


class Platform:
    """The store, at one address for each VM, and its operator."""

    def __init__(self, network: str):
        self.network = network
        self.store = platform_store.PlatformStore()
        self._version = 0

    async def serve(self) -> None:
        for number in range(1, VMS + 1):
            await self.store.serve(self.host(number), fleet.STORE_PORT)

    def host(self, number: int) -> str:
        return f"{self.network}.200.{number}"

    def write_config(self, service: str) -> None:
        self._version += 3
        config = copy.deepcopy(CONFIG)
        config["version"] = f"r{self._version}"
        config["routes"]["r-stock"]["service"] = service
        self.store.put("op/config", json.dumps(config).encode())


def watchers(vms: list[fleet.Vm]) -> list[int]:
    """Returns the numbers of the VMs that watch the store, by their logs."""
    numbers = []
    for number, vm in enumerate(vms, start=1):
        lines = vm.log_lines('"message":"store watch ')
        if lines and "store watch started" in lines[-1]:
            numbers.append(number)
    return numbers[:TURNED_AWAY]


async def ask(vms: list[fleet.Vm], log: list[client.Sent], stop: asyncio.Event) -> None:
    """Asks all VMs in turn until ``stop`` is set, and waits for the last answers."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while not stop.is_set():
        await asyncio.sleep(1 / RATE_PER_S)
        number += 1
        task = asyncio.ensure_future(send(vms[number % VMS], log))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.wait(tasks, timeout=DEADLINE_S + 2.0)


async def play(folder: pathlib.Path) -> int:
    loop = asyncio.get_running_loop()
    network = fleet.free_network()
    platform = Platform(network)
    await platform.serve()
    runs = backend.new_runs()
    servers = [
        backend.Backend(
            f"i-{service[0]}{n}",
            service,
            "kr-central-b",
            f"{network}.{128 + index}.{n}:8080",
            lambda: WORK_S,
            runs,
        )
        for index, service in enumerate((OLD, NEW))
        for n in (1, 2, 3)
    ]
    for server in servers:
        await server.start()
        server.register(platform.store)
    platform.write_config(OLD)
    vms = [
        fleet.Vm(
            f"edge-b-{n}",
            "kr-central-b",
            f"{network}.1.{n}",
            f"{platform.host(n)}:{fleet.STORE_PORT}",
            folder,
        )
        for n in range(1, VMS + 1)
    ]
    machines = fleet.Fleet(vms)
    log: list[client.Sent] = []
    changes: list[Change] = []
    stop = asyncio.Event()
    try:
        await machines.start()
        load = asyncio.ensure_future(ask(vms, log, stop))
        await asyncio.sleep(2 * CALM_S)
        began = loop.time()
        for trial in range(TRIALS):
            away = watchers(vms)
            servers[trial % len(servers)].warmup_ms = 100
            servers[trial % len(servers)].register(platform.store)
            await asyncio.sleep(ENTRY_BEFORE_S)
            if TROUBLE:
                platform.store.silent_hosts.update(platform.host(n) for n in away)
            await asyncio.sleep(CHANGE_AFTER_S)
            service = NEW if trial % 2 == 0 else OLD
            platform.write_config(service)
            changes.append(Change(loop.time(), service, [vms[n - 1].name for n in away]))
            await asyncio.sleep(AWAY_S - CHANGE_AFTER_S)
            platform.store.silent_hosts.clear()
            await asyncio.sleep(CALM_S)
        stop.set()
        await load
    finally:
        await machines.stop()
        for server in servers:
            server.stop()
        platform.store.close()
    return report(log, runs, changes, began)


def stale_by(sent: client.Sent, runs: backend.Runs, changes: list[Change]) -> float:
    """Returns how long after a change a request was sent that a VM in touch handled as before it.

    It is 0 for other requests.
    """
    past = [change for change in changes if change.acknowledged_at + APPLY_S < sent.sent_at]
    if not past or sent.vm in past[-1].away:
        return 0.0
    later = [
        change.service for change in changes[len(past) :] if change.acknowledged_at < sent.ended_at
    ]
    allowed = {past[-1].service, *later}
    if all(run.service in allowed for run in runs[sent.request_id]):
        return 0.0
    return sent.sent_at - past[-1].acknowledged_at


def report(log, runs, changes: list[Change], began: float) -> int:
    stale = {
        sent.request_id: after for sent in log if (after := stale_by(sent, runs, changes)) > 0.0
    }
    last = max(stale.values(), default=0.0)
    with (FOLDER / "record.txt").open("w") as out:
        print(f"trouble: {TROUBLE}; sent later than {APPLY_S} s and stale: {len(stale)}", file=out)
        for change in changes:
            print(
                f"{change.acknowledged_at - began:.3f} route moved to {change.service}, "
                f"acknowledged; no answers to {change.away if TROUBLE else []}",
                file=out,
            )
        for sent in log:
            ran = [f"{run.server} of {run.service}" for run in runs[sent.request_id]]
            note = f" STALE by {stale[sent.request_id]:.3f}" if sent.request_id in stale else ""
            print(
                f"{sent.request_id} {sent.vm} sent {sent.sent_at - began:.3f} "
                f"ended {sent.ended_at - began:.3f} {sent.status or sent.end} ran {ran}{note}",
                file=out,
            )
    print(f"CONFIG: {len(stale)} requests run by the old service, up to {last:.1f} s after")
    return 1 if stale else 0


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return await play(pathlib.Path(folder))


if __name__ == "__main__":
    fleet.main(run)
