"""Another writer writes an entry that cannot be read, again and again, as servers write theirs.

The entry is JSON that is nested too deeply for a reader, and grows by one level each time. Six
servers of two services are there all the while, sound and registered. Nothing else happens.
"""

import asyncio
import itertools
import json
import os
import pathlib
import tempfile

from harness import backend, client, fleet

from standins import platform_store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).parent
HOST = "hulo84.example"
ROUTES = {"/leny950/": "ledger-archive", "/tuvo311/": "bin-count"}
DEADLINE_S, WORK_S, RATE_PER_S = 2.5, 0.1, 20.0
HEARTBEAT_S, LENGTH_S = 1.5, 72.0
NESTING = 4_000
MAX_ENDS, MIN_MACHINES = 3, 2
"""Ends of processes by themselves, and machines, from which the rule counts them."""
CONFIG = {
    "version": "r1",
    "routes": {
        f"r-{service}": {
            "host": HOST,
            "prefix": prefix,
            "kind": "safe",
            "timeout": "2500ms",
            "goal": "1000ms",
            "priority": 1,
            "service": service,
            "attempts": 2,
        }
        for prefix, service in ROUTES.items()
    },
    "services": {
        service: {"health-path": "/healthz", "max-conns": 330} for service in ROUTES.values()
    },
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1000000,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
}


def unreadable(levels: int) -> bytes:
    return b'{"entry":' * levels + b"0" + b"}" * levels


async def write_entries(store: platform_store.PlatformStore) -> None:
    for number in itertools.count():
        store.put("servers/i-a0", unreadable(NESTING + number))
        await asyncio.sleep(HEARTBEAT_S)


async def send(machines: fleet.Fleet, number: int, path: str, log: list[client.Sent]) -> None:
    vm = machines.choose(number)
    try:
        conn = await client.connect(vm.name, vm.host, fleet.FRONT_PORT)
    except (OSError, TimeoutError):
        now = asyncio.get_running_loop().time()
        log.append(client.Sent("-", vm.name, path, now, DEADLINE_S, 0, now, "not connected"))
        return
    await client.request(conn, log, "GET", HOST, path, DEADLINE_S)
    conn.close()


async def play(folder: pathlib.Path) -> int:
    loop = asyncio.get_running_loop()
    network = fleet.free_network()
    store = platform_store.PlatformStore()
    store_address = f"{network}.200.1:{fleet.STORE_PORT}"
    await store.serve(f"{network}.200.1", fleet.STORE_PORT)
    runs = backend.new_runs()
    servers = [
        backend.Backend(
            f"i-{service[0]}{n}",
            service,
            "kr-central-a",
            f"{network}.{128 + index}.{n}:8080",
            lambda: WORK_S,
            runs,
        )
        for index, service in enumerate(ROUTES.values())
        for n in (1, 2, 3)
    ]
    for server in servers:
        await server.start()
        server.register(store)
    store.put("op/config", json.dumps(CONFIG).encode())
    vms = [
        fleet.Vm(f"edge-a-{n}", "kr-central-a", f"{network}.1.{n}", store_address, folder)
        for n in (1, 2, 3, 4)
    ]
    machines = fleet.Fleet(vms)
    log: list[client.Sent] = []
    tasks = set()
    writer = None
    try:
        await machines.start()
        began, number = loop.time(), 0
        if TROUBLE:
            writer = asyncio.ensure_future(write_entries(store))
        while loop.time() - began < LENGTH_S:
            await asyncio.sleep(1 / RATE_PER_S)
            number += 1
            path = f"{list(ROUTES)[number % 2]}2f"
            task = asyncio.ensure_future(send(machines, number, path, log))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.wait(tasks, timeout=DEADLINE_S + 2.0)
    finally:
        if writer is not None:
            writer.cancel()
        await machines.stop()
        for server in servers:
            server.stop()
        store.close()
    return report(log, runs, vms, began)


def share_served(requests: list[client.Sent]) -> float:
    return sum(sent.status == 200 and sent.correct for sent in requests) / max(1, len(requests))


def report(log, runs, vms, began) -> int:
    ends = {vm.name: [at - began for at, _, asked in vm.exits if not asked] for vm in vms}
    often = [name for name, times in ends.items() if len(times) >= MAX_ENDS]
    with (FOLDER / "record.txt").open("w") as out:
        print(f"trouble: {TROUBLE}; served {share_served(log):.3f} of {len(log)}", file=out)
        for vm in vms:
            times = [round(at, 1) for at in ends[vm.name]]
            print(f"{vm.name}: ended by itself at {times}", file=out)
            for line in vm.log_lines("task given up"):
                print(f"{vm.name}: {line[:200]}", file=out)
        for sent in log:
            print(
                f"{sent.request_id} {sent.vm} {sent.path} sent {sent.sent_at - began:.3f} "
                f"ended {sent.ended_at - began:.3f} {sent.status or sent.end} "
                f"ran {[run.server for run in runs[sent.request_id]]}",
                file=out,
            )
    print(
        f"Fault: processes of {len(often)} of {len(vms)} machines ended by themselves "
        f"{MAX_ENDS} times; served {share_served(log):.3f}"
    )
    return 1 if len(often) >= MIN_MACHINES else 0


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return await play(pathlib.Path(folder))


if __name__ == "__main__":
    fleet.main(run)
