"""Another writer leaves one entry that cannot be read among the servers' entries.

The entry is JSON that is nested too deeply for a reader. Six servers of two services are there all
the while, sound and registered. Then all processes are killed at once and start again.
"""

import asyncio
import json
import os
import pathlib
import signal
import tempfile

from harness import backend, client, fleet

from standins import platform_store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).parent
HOST = "hulo84.example"
ROUTES = {"/leny950/": "ledger-archive", "/tuvo311/": "bin-count"}
DEADLINE_S, WORK_S, RATE_PER_S = 2.5, 0.1, 20.0
RECOVER_S = 15.0
KILL_AT_S, DOWN_S, LENGTH_S = 8.0, 1.5, 40.0
NESTING = 4_000
UNREADABLE = b'{"entry":' * NESTING + b"0" + b"}" * NESTING
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
    killed_at = back_at = None
    try:
        await machines.start()
        began, number = loop.time(), 0
        if TROUBLE:
            store.put("servers/i-a0", UNREADABLE)
        while loop.time() - began < LENGTH_S:
            await asyncio.sleep(1 / RATE_PER_S)
            number += 1
            path = f"{list(ROUTES)[number % 2]}2f"
            task = asyncio.ensure_future(send(machines, number, path, log))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if killed_at is None and loop.time() - began >= KILL_AT_S:
                killed_at = loop.time()
                for vm in vms:
                    vm.restart_delay_s = DOWN_S
                    vm.send(signal.SIGKILL)
            if killed_at and back_at is None and loop.time() - killed_at >= DOWN_S:
                back_at = loop.time()
        await asyncio.wait(tasks, timeout=DEADLINE_S + 2.0)
    finally:
        await machines.stop()
        for server in servers:
            server.stop()
        store.close()
    return report(log, runs, vms, began, killed_at, back_at)


def share_served(requests: list[client.Sent]) -> float:
    return sum(sent.status == 200 and sent.correct for sent in requests) / max(1, len(requests))


def report(log, runs, vms, began, killed_at, back_at) -> int:
    before = share_served([sent for sent in log if sent.sent_at < killed_at])
    late = [sent for sent in log if sent.sent_at > back_at + RECOVER_S]
    after = share_served(late)
    with (FOLDER / "record.txt").open("w") as out:
        print(f"trouble: {TROUBLE}; all VMs killed at {killed_at - began:.3f}", file=out)
        print(f"back at {back_at - began:.3f}; served before the kill {before:.3f}", file=out)
        print(f"sent later than {RECOVER_S} s after: {len(late)}, served {after:.3f}", file=out)
        for vm in vms:
            ends = [(round(at - began, 1), code, asked) for at, code, asked in vm.exits]
            print(f"{vm.name}: ends (time, code, asked for) {ends}", file=out)
            for line in vm.log_lines("Recursion")[:4]:
                print(f"{vm.name}: {line[:200]}", file=out)
        for sent in log:
            print(
                f"{sent.request_id} {sent.vm} {sent.path} sent {sent.sent_at - began:.3f} "
                f"ended {sent.ended_at - began:.3f} {sent.status or sent.end} "
                f"ran {[run.server for run in runs[sent.request_id]]}",
                file=out,
            )
    print(f"RECOVER: served {before:.3f} before the kill, {after:.3f} after the recovery")
    return 1 if before >= 0.25 and after < 0.25 else 0


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return await play(pathlib.Path(folder))


if __name__ == "__main__":
    fleet.main(run)
