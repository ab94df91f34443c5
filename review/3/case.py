"""Another writer leaves one large entry that cannot be read; then the operator moves a route.

The entry is one megabyte of random bytes among the servers' entries. A second later the operator
moves a route to another service. Callers ask for the route at all VMs, all the while.
"""

import asyncio
import copy
import json
import os
import pathlib
import random
import tempfile

from harness import backend, client, fleet

from standins import platform_store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).parent
HOST, PREFIX = "hulo84.example", "/leny950/"
OLD, NEW = "bin-count", "ledger-archive"
VMS = 8
DEADLINE_S, WORK_S, RATE_PER_S = 1.5, 0.05, 60.0
APPLY_S = 2.0
VALUE_BYTES = 1_048_576
ENTRY_AT_S, CHANGE_AT_S, LENGTH_S = 8.0, 9.0, 30.0
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


def move_route(store: platform_store.PlatformStore) -> None:
    config = copy.deepcopy(CONFIG)
    config["version"] = "r4"
    config["routes"]["r-stock"]["service"] = NEW
    store.put("op/config", json.dumps(config).encode())


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
        server.register(store)
    store.put("op/config", json.dumps(CONFIG).encode())
    vms = [
        fleet.Vm(f"edge-b-{n}", "kr-central-b", f"{network}.1.{n}", store_address, folder)
        for n in range(1, VMS + 1)
    ]
    machines = fleet.Fleet(vms)
    log: list[client.Sent] = []
    tasks = set()
    changed_at = None
    try:
        await machines.start()
        began, number, written = loop.time(), 0, not TROUBLE
        while loop.time() - began < LENGTH_S:
            await asyncio.sleep(1 / RATE_PER_S)
            number += 1
            task = asyncio.ensure_future(send(vms[number % VMS], log))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if not written and loop.time() - began >= ENTRY_AT_S:
                written = True
                store.put("servers/i-9c41d07b", random.Random(1).randbytes(VALUE_BYTES))
            if changed_at is None and loop.time() - began >= CHANGE_AT_S:
                changed_at = loop.time()
                move_route(store)
        await asyncio.wait(tasks, timeout=DEADLINE_S + 2.0)
    finally:
        await machines.stop()
        for server in servers:
            server.stop()
        store.close()
    return report(log, runs, vms, began, changed_at)


def report(log, runs, vms, began: float, changed_at: float) -> int:
    stale = [
        sent
        for sent in log
        if sent.sent_at > changed_at + APPLY_S
        and any(run.service == OLD for run in runs[sent.request_id])
    ]
    last = max((sent.sent_at - changed_at for sent in stale), default=0.0)
    with (FOLDER / "record.txt").open("w") as out:
        print(f"trouble: {TROUBLE}; change acknowledged at {changed_at - began:.3f}", file=out)
        print(f"sent later than {APPLY_S} s after it and run by {OLD}: {len(stale)}", file=out)
        print(f"the last one was sent {last:.3f} s after it", file=out)
        for vm in vms:
            for line in vm.log_lines("configuration in force"):
                print(f"{vm.name}: {line}", file=out)
        for sent in log:
            ran = [f"{run.server} of {run.service}" for run in runs[sent.request_id]]
            print(
                f"{sent.request_id} {sent.vm} sent {sent.sent_at - began:.3f} "
                f"ended {sent.ended_at - began:.3f} {sent.status or sent.end} ran {ran}"
                f"{' STALE' if sent in stale else ''}",
                file=out,
            )
    print(f"CONFIG: {len(stale)} requests run by the old service, up to {last:.1f} s after")
    return 1 if stale else 0


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return await play(pathlib.Path(folder))


if __name__ == "__main__":
    fleet.main(run)
