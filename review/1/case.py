"""Stops a VM while requests of its callers wait for a slot of a service that is in high demand.

The callers of a service of six servers ask for almost twice as much as it can run, all the
while: the VMs reject what they expect to be late (503), and the others wait up to 3.5 s of their
4 s. One of three VMs gets SIGTERM.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import tempfile

from harness import backend, client, fleet

from standins import platform_store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).parent
HOST, PATH = "jepu9.example", "/puka111/2f"
SERVICE = "refund-desk"
DEADLINE_S, WORK_S = 4.0, 0.5
CLIENTS = 720
THINK_MIN_S, THINK_MAX_S = 3.0, 4.0
"""Pause of a caller between an answer and its next request."""
GRACE_S, LOSS_SLACK_S = 6.0, 0.2
TERM_AT_S, LENGTH_S = 14.0, 24.0
CONFIG = {
    "version": "r1",
    "routes": {
        "r-refunds": {
            "host": HOST,
            "prefix": "/puka111/",
            "kind": "unsafe",
            "timeout": "4000ms",
            "goal": "2000ms",
            "priority": 1,
            "service": SERVICE,
            "attempts": 2,
        }
    },
    "services": {SERVICE: {"health-path": "/healthz", "max-conns": 330}},
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1000000,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
}


class Caller:
    """One caller with a kept connection, which it opens again after it has ended."""

    def __init__(self, number: int):
        self.number, self.conn = number, None
        self._rng = random.Random(number)

    async def run(self, vms: fleet.Fleet, log: list[client.Sent], end_at: float) -> None:
        """Sends one request after the other until ``end_at``."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.uniform(0.0, THINK_MAX_S))
        while loop.time() < end_at:
            await self._send(vms, log)
            await asyncio.sleep(self._rng.uniform(THINK_MIN_S, THINK_MAX_S))

    async def _send(self, vms: fleet.Fleet, log: list[client.Sent]) -> None:
        try:
            if self.conn is None or self.conn.closed or self.conn.reader.at_eof():
                vm = vms.choose(self.number)
                self.conn = await client.connect(vm.name, vm.host, fleet.FRONT_PORT)
            await client.request(self.conn, log, "POST", HOST, PATH, DEADLINE_S, b"refund " * 500)
        except (OSError, TimeoutError):
            self.conn = None


async def play(folder: pathlib.Path) -> int:
    loop = asyncio.get_running_loop()
    network = fleet.free_network()
    store = platform_store.PlatformStore()
    store_address = f"{network}.200.1:{fleet.STORE_PORT}"
    await store.serve(f"{network}.200.1", fleet.STORE_PORT)
    runs = backend.new_runs()
    servers = [
        backend.Backend(
            f"i-{n}", SERVICE, "kr-central-a", f"{network}.128.{n}:8080", lambda: WORK_S, runs
        )
        for n in range(1, 7)
    ]
    for server in servers:
        await server.start()
        server.register(store)
    store.put("op/config", json.dumps(CONFIG).encode())
    vms = [
        fleet.Vm(f"edge-a-{n}", "kr-central-a", f"{network}.1.{n}", store_address, folder)
        for n in (1, 2, 3)
    ]
    machines = fleet.Fleet(vms)
    log: list[client.Sent] = []
    term_at = None
    try:
        await machines.start()
        callers = [Caller(n) for n in range(CLIENTS)]
        end_at = loop.time() + LENGTH_S
        tasks = [asyncio.ensure_future(caller.run(machines, log, end_at)) for caller in callers]
        await asyncio.sleep(TERM_AT_S)
        term_at = loop.time()
        if TROUBLE:
            vms[1].send(signal.SIGTERM)
        await asyncio.wait(tasks, timeout=LENGTH_S - TERM_AT_S + DEADLINE_S + THINK_MAX_S + 2.0)
    finally:
        await machines.stop()
        for server in servers:
            server.stop()
        store.close()
    return report(log, runs, vms[1], term_at)


def is_cut(sent: client.Sent, runs: backend.Runs, term_at: float) -> bool:
    """Whether the rule LOST counts the request: read whole, and its connection ended unanswered."""
    if sent.status or not sent.end.startswith("connection ended"):
        return False
    if not term_at <= sent.ended_at <= term_at + GRACE_S + 1.0:
        return False
    if sent.ended_at >= sent.sent_at + DEADLINE_S:
        return False
    passed_on = bool(runs.get(sent.request_id))
    at_work_late = any(
        not run.ended or run.ended >= term_at + GRACE_S * 5 / 6 for run in runs[sent.request_id]
    )
    if at_work_late and sent.sent_at <= term_at + 3.0:
        return False
    return passed_on or sent.ended_at > sent.sent_at + LOSS_SLACK_S


def report(log: list[client.Sent], runs: backend.Runs, vm: fleet.Vm, term_at: float) -> int:
    cut = [sent for sent in log if sent.vm == vm.name and is_cut(sent, runs, term_at)]
    with (FOLDER / "record.txt").open("w") as out:
        print(f"trouble: {TROUBLE}; SIGTERM to {vm.name} at 0.000", file=out)
        by_end: dict[str, int] = {}
        for sent in log:
            key = str(sent.status) if sent.status else sent.end
            by_end[key] = by_end.get(key, 0) + 1
        print(f"requests: {len(log)}; {by_end}", file=out)
        print(f"requests run: {len(runs)}; cut by {vm.name}: {len(cut)}", file=out)
        for sent in log:
            ran = [(run.server, round(run.began - term_at, 3)) for run in runs[sent.request_id]]
            print(
                f"{sent.request_id} {sent.vm} kept={sent.kept} sent {sent.sent_at - term_at:.3f} "
                f"ended {sent.ended_at - term_at:.3f} {sent.status or sent.end} ran {ran}"
                f"{' CUT' if sent in cut else ''}",
                file=out,
            )
    print(f"LOST: {len(cut)} requests that {vm.name} had read ended without an answer")
    return 1 if cut else 0


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return await play(pathlib.Path(folder))


if __name__ == "__main__":
    fleet.main(run)
