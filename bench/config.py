"""Measures the distribution of the configuration to the VMs, and prints JSON.

``python -m bench.config fleet`` measures the time until changes are in force on real proxy
processes. ``traffic`` counts messages and bytes between 10, 20 and 40 VMs over real sockets.
``cost`` measures encoded sizes and CPU time at three table sizes.
"""

import collections
import concurrent.futures
import json
import random
import statistics
import subprocess
import sys
import threading
import time

import msgspec
import typer

from demo import fleet
from dotterelfront import (
    config_follower,
    control,
    messages,
    models,
    peers,
    placement,
    publish,
    revisions,
    store,
    tables,
)

SIZES = {
    "current": (12, 4, 38, 50),
    "tenth": (390, 51, 1_600, 4_200),
    "target": (3_900, 510, 16_000, 42_000),
}
"""Numbers of routes, pools, servers and customers."""

VM_COUNTS = (10, 20, 40)
CHANGES_PER_DAY = 3_800
POLL_INTERVAL_S = 0.1
TIMEOUT_S = 30.0
"""Time limit until a change is in force on all VMs. Other waits have four times this limit."""
CONTROL_PORT = 7402
WATCHER_COUNT = 2
NEIGHBOUR_COUNT = 6

app = typer.Typer()


def make_tables(size: str) -> models.Tables:
    route_count, pool_count, server_count, customer_count = SIZES[size]
    servers = [
        models.Server(f"10.{i >> 8}.{i & 255}.9:8080", f"zone-{i % 14}", 6)
        for i in range(server_count)
    ]
    pools = [
        models.Pool(f"service-{i}", tuple(servers[i::pool_count]), 6) for i in range(pool_count)
    ]
    routes = [
        models.Route(f"route-{i}", f"/service-{i % pool_count}/{i}", f"service-{i % pool_count}")
        for i in range(route_count)
    ]
    customers = [
        models.Customer(f"organisation-{i}", {f"route-{i % route_count}": 5.0})
        for i in range(customer_count)
    ]
    return tables.from_entries(models.Revision(0), routes, pools, customers)


def change_one(content: models.Tables, rng: random.Random) -> models.Tables:
    """Returns the tables with one random change.

    It changes the slots of one server, the deadline of one route or the rates of one customer.
    """
    kind = rng.choice(("pools", "routes", "customers"))
    entries = list(getattr(content, kind))
    index = rng.randrange(len(entries))
    old = entries[index]
    if kind == "pools":
        first = msgspec.structs.replace(old.servers[0], slots=old.servers[0].slots % 9 + 1)
        entries[index] = msgspec.structs.replace(old, servers=(first, *old.servers[1:]))
    elif kind == "routes":
        entries[index] = msgspec.structs.replace(old, deadline_ms=old.deadline_ms + 1)
    else:
        rates = {route: rate + 1 for route, rate in old.rates.items()}
        entries[index] = msgspec.structs.replace(old, rates=rates)
    return msgspec.structs.replace(content, **{kind: tuple(entries)})


def _quantiles(values: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {"p50": cuts[49], "p99": cuts[98], "max": max(values), "count": len(values)}


@app.command(name="fleet")
def run_fleet(
    vms: int = 24, changes: int = 60, size: str = "current", seed: int = 1, pause_s: float = 0.5
) -> None:
    """Measures the time until each change is in force on all of ``vms`` proxy processes."""
    rng = random.Random(seed)
    since_apply_s, since_accepted_s, failed = [], [], 0
    with fleet.Fleet(vm_count=vms, server_count=0) as running:
        members = [models.Vm(f"vm-{i}", running.address(i), "", "") for i in range(vms)]
        client = store.StoreClient(running.store_url)
        caller = peers.Caller(messages.CONTROL_LIMIT_BYTES)
        with concurrent.futures.ThreadPoolExecutor(vms) as pool:
            content = make_tables(size)
            publish.apply_edit(
                client, publish.FleetConfiguration(), lambda root, now, new=content: new
            )
            _wait_adopted(pool, caller, members, 1)
            for _ in range(changes):
                time.sleep(pause_s * rng.uniform(0.5, 1.5))
                content = change_one(content, rng)
                began = time.monotonic()
                result = publish.apply_edit(
                    client, publish.FleetConfiguration(), lambda root, now, new=content: new
                )
                accepted = time.monotonic()
                adopted_at = _wait_adopted(pool, caller, members, result.root.revision)
                if adopted_at is None:
                    failed += 1
                else:
                    since_apply_s.append(adopted_at - began)
                    since_accepted_s.append(adopted_at - accepted)
        caller.close()
        client.close()
    _print(
        vms=vms,
        size=size,
        seed=seed,
        not_in_force_within_30_s=failed,
        in_force_s_from_apply=_quantiles(since_apply_s),
        in_force_s_from_accepted=_quantiles(since_accepted_s),
        target_s_p99=2.0,
    )


def _wait_adopted(pool, caller, members, revision: int) -> float | None:
    """Waits until all VMs have adopted a revision.

    Returns the monotonic time at which the last VM adopted it, computed from the ages that the VMs
    report, or None if one VM has not adopted it after ``TIMEOUT_S``.
    """

    def adopted_at(vm: models.Vm) -> float | None:
        try:
            address = f"{vm.address}:{CONTROL_PORT}"
            reply = caller.call(address, messages.ConfigStatusPull(), 2.0)
        except Exception:
            return None
        return time.monotonic() - reply.age_s if reply.revision >= revision else None

    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        times = list(pool.map(adopted_at, members))
        if None not in times:
            return max(times)
        time.sleep(POLL_INTERVAL_S)
    return None


class CountingChannel:
    """Wraps the control channel of a VM; counts messages and payload bytes in both directions."""

    def __init__(self, channel: control.ControlChannel):
        self._channel = channel
        self._lock = threading.Lock()
        self.counts: collections.Counter = collections.Counter()

    def register(self, kind, handler) -> None:
        def count_and_handle(msg):
            reply = handler(msg)
            self._count(msg, reply)
            return reply

        self._channel.register(kind, count_and_handle)

    def call(self, vm, msg, timeout_s):
        reply = self._channel.call(vm, msg, timeout_s)
        self._count(msg, reply)
        return reply

    def _count(self, *msgs) -> None:
        size = sum(len(messages.encode(msg)) for msg in msgs)
        with self._lock:
            self.counts["messages"] += len(msgs)
            self.counts["bytes"] += size


class ThreadVm:
    """Runs the control channel and the configuration follower of one VM as threads."""

    def __init__(self, vm: models.Vm, vms: tuple[models.Vm, ...], store_url: str):
        self._channel = control.ControlChannel(vm, CONTROL_PORT, None)
        self.counting = CountingChannel(self._channel)
        watchers = placement.rendezvous_order("watcher", vms)[:WATCHER_COUNT]
        start = vms.index(vm) + 1
        neighbour_vms = (vms[start:] + vms)[: min(NEIGHBOUR_COUNT, len(vms) - 1)]
        self.task = config_follower.ConfigFollower(
            vm,
            store.StoreClient(store_url),
            self.counting,
            neighbours=lambda: neighbour_vms,
            is_watcher=lambda: vm in watchers,
            on_change=lambda content: None,
        )
        self.task.register()
        self._channel.start()

    def close(self) -> None:
        self.task.stop()
        self._channel.close()


@app.command()
def traffic(
    size: str = "tenth", changes: int = 5, idle_s: float = 20.0, counts: str = "10,20,40"
) -> None:
    """Counts messages and bytes per VM, when idle and for each change."""
    disable_follower_log()
    rows = [_traffic(int(count), size, changes, idle_s) for count in counts.split(",")]
    _print(size=size, changes=changes, idle_s=idle_s, target_bytes_per_s=28_000, rows=rows)


def _traffic(count: int, size: str, changes: int, idle_s: float) -> dict:
    rng = random.Random(count)
    network = f"127.{201 + count % 50}.7"
    store_url = f"http://{network}.250:{fleet.STORE_PORT}"
    command = [sys.executable, "-m", "standins.store", f"{network}.250", str(fleet.STORE_PORT)]
    process = subprocess.Popen(command)
    vms = tuple(models.Vm(f"vm-{i}", f"{network}.{i + 1}", "a", "r") for i in range(count))
    members: list[ThreadVm] = []
    client = store.StoreClient(store_url)
    try:
        _wait_until(lambda: _is_reachable(client))
        content = make_tables(size)
        publish.apply_edit(client, publish.FleetConfiguration(), lambda root, now, new=content: new)
        members += [ThreadVm(vm, vms, store_url) for vm in vms]
        for member in members:
            member.task.start()
        _wait_until(lambda: _all_adopted(members, 1))
        time.sleep(config_follower.EXCHANGE_INTERVAL_S)
        before = _totals(members)
        time.sleep(idle_s)
        idle = _rate(before, _totals(members), count * idle_s)
        before, began = _totals(members), time.monotonic()
        for revision in range(2, changes + 2):
            content = change_one(content, rng)
            publish.apply_edit(
                client, publish.FleetConfiguration(), lambda root, now, new=content: new
            )
            _wait_until(lambda revision=revision: _all_adopted(members, revision))
            time.sleep(0.5)
        busy_s = time.monotonic() - began
        gross_per_change = _rate(before, _totals(members), count * changes)
        per_change = {
            key: gross_per_change[key] - idle[key] * busy_s / changes
            for key in ("messages", "bytes")
        }
        busiest_bytes = max(member.counting.counts["bytes"] for member in members)
    finally:
        for member in members:
            member.close()
        client.close()
        process.terminate()
        process.wait()
    change_rate = CHANGES_PER_DAY / 86_400
    return {
        "vms": count,
        "idle_per_second_per_vm": idle,
        "per_change_per_vm": per_change,
        "bytes_per_s_per_vm_at_3800_changes_a_day": idle["bytes"]
        + per_change["bytes"] * change_rate,
        "busiest_vm_bytes_in_run": busiest_bytes,
    }


def _totals(members: list[ThreadVm]) -> collections.Counter:
    return sum((member.counting.counts for member in members), collections.Counter())


def _rate(before, after, divisor: float) -> dict[str, float]:
    return {key: (after[key] - before[key]) / divisor for key in ("messages", "bytes")}


def _is_reachable(client: store.StoreClient) -> bool:
    try:
        client.keys("")
    except Exception:
        return False
    return True


def _all_adopted(members: list[ThreadVm], revision: int) -> bool:
    return all(m.task.tables and m.task.tables.revision >= revision for m in members)


def _wait_until(condition) -> None:
    deadline = time.monotonic() + 4 * TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("condition was not met before the timeout")
        time.sleep(0.05)


@app.command()
def cost(changes: int = 20, seed: int = 1) -> None:
    """Measures encoded sizes and the CPU time to encode, decode and adopt tables."""
    _print(seed=seed, rows=[_cost(size, changes, seed) for size in SIZES])


def _cost(size: str, changes: int, seed: int) -> dict:
    rng = random.Random(seed)
    content = make_tables(size)
    encode_all_s, chunks = _measure_cpu(lambda: revisions.split(content))
    root = revisions.make_root(models.Revision(1), chunks)
    replica = revisions.Replica()
    adopt_all_s, _ = _measure_cpu(lambda: replica.adopt(root, chunks))
    texts = tables.render(content)
    parse_s, _ = _measure_cpu(lambda: tables.parse(*texts))
    adopt_s, sent_bytes, chunk_counts = [], [], []
    for _ in range(changes):
        content = change_one(content, rng)
        chunks = revisions.split(content)
        root = revisions.make_root(models.Revision(root.revision + 1), chunks, root)
        missing = replica.missing(root)
        sent = {name: chunks[name] for name in missing}
        adopt_s.append(_measure_cpu(lambda root=root, sent=sent: replica.adopt(root, sent))[0])
        sent_bytes.append(len(revisions.encode_root(root)) + sum(map(len, sent.values())))
        chunk_counts.append(len(missing))
    adopt_median_s = statistics.median(adopt_s)
    return {
        "size": size,
        "bytes": sum(map(len, chunks.values())),
        "chunks": len(chunks),
        "largest_chunk_bytes": max(map(len, chunks.values())),
        "root_bytes": len(revisions.encode_root(root)),
        "parse_files_cpu_s": parse_s,
        "encode_all_cpu_s": encode_all_s,
        "decode_and_adopt_all_cpu_s": adopt_all_s,
        "adopt_one_change_cpu_s": adopt_median_s,
        "core_share_at_3800_changes_a_day": adopt_median_s * CHANGES_PER_DAY / 86_400,
        "bytes_per_change": statistics.median(sent_bytes),
        "chunks_per_change": max(chunk_counts),
    }


def _measure_cpu(call):
    """Returns the CPU time of a call in seconds, and its result."""
    began = time.process_time()
    result = call()
    return time.process_time() - began, result


def disable_follower_log() -> None:
    config_follower.logger.remove()


def _print(**value) -> None:
    print(json.dumps(value, indent=1))


if __name__ == "__main__":
    app()
