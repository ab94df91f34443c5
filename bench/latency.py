"""Measures the latency that the proxy adds, and the rate at which it saturates.

Requests reach the same servers on four paths:

- ``direct``: without a proxy
- ``hop``: the entry VM forwards to the shard owner on another VM
- ``local``: the entry VM is the shard owner
- ``naive``: through the minimal relay of ``bench.naive``

Each round runs one block of load per path. The order of the paths rotates from round to round, so
that other load on the machine affects all paths alike.
"""

import json
import os
import statistics
import subprocess
import sys
import time

from demo import fleet
from dotterelfront import models, placement

RATES = (70, 150, 300)
SERVERS = 3
SLOTS = 64
SATURATION_CONNECTIONS = 16
POOL = models.PoolName("bins")
PATH = "/stock/17"
NAIVE_PORT = 8090
WARM_UP_S = 1.0


def run(seconds: float, pairs: int, seed: int) -> dict:
    """Returns the added latency in ms and the saturation rates in requests/s.

    ``seconds`` is the duration of one block, ``pairs`` the number of rounds.
    """
    with fleet.Fleet(2, SERVERS, settings={"shutdown_accept_s": 0.1}, tls=True) as running:
        _publish(running)
        running.wait_ready()
        # The VMs discover each other through the platform's VM list, which they poll every second.
        time.sleep(2)
        paths = _paths(running)
        naive = _start_naive(running, *paths["naive"])
        try:
            _wait_until_responding(paths["naive"])
            return {
                "cores": os.cpu_count(),
                "block_s": seconds,
                "pairs": pairs,
                "seed": seed,
                "rates": {
                    str(rate): _added_latency(paths, rate, seconds, pairs, seed) for rate in RATES
                },
                "saturation": _saturation(paths, seconds, pairs, seed),
            }
        finally:
            naive.terminate()
            naive.wait()


def _publish(running: fleet.Fleet) -> None:
    servers = [
        {"address": running.server(index), "zone": running.zone(index), "slots": SLOTS}
        for index in range(SERVERS)
    ]
    route = {"name": "stock", "path_prefix": "/stock", "pool": POOL, "idempotent": True}
    running.publish([route], [{"name": POOL, "floor": SLOTS, "servers": servers}])


def _paths(running: fleet.Fleet) -> dict[str, tuple[str, int]]:
    """Returns the host and port of each path."""
    vms = tuple(
        models.Vm(models.VmId(f"vm-{index}"), running.address(index), running.zone(index), "local")
        for index in range(2)
    )
    first, second = placement.owner_order(POOL, 0, vms)
    host, _, port = running.server(0).rpartition(":")
    return {
        "direct": (host, int(port)),
        "hop": (second.address, fleet.HTTP_PORT),
        "local": (first.address, fleet.HTTP_PORT),
        "naive": (f"{running.network}.240", NAIVE_PORT),
    }


def _start_naive(running: fleet.Fleet, address: str, port: int) -> subprocess.Popen:
    servers = [running.server(index) for index in range(SERVERS)]
    return subprocess.Popen([sys.executable, "-m", "bench.naive", address, str(port), *servers])


def _wait_until_responding(path: tuple[str, int]) -> None:
    for _ in range(100):
        if _run_generator("closed", path, 1, 0.1, 0)["latencies_ms"]:
            return
        time.sleep(0.1)
    raise TimeoutError(f"{path} did not respond before the timeout")


def _run_generator(
    mode: str, path: tuple[str, int], rate_or_connections: float, seconds: float, seed: int
) -> dict:
    args = [mode, path[0], str(path[1]), PATH, str(rate_or_connections), str(seconds), str(seed)]
    completed = subprocess.run(
        [sys.executable, "-m", "bench.generator", *args], capture_output=True, check=False
    )
    if completed.returncode:
        return {"latencies_ms": [], "failed": 0, "elapsed_s": seconds}
    return json.loads(completed.stdout)


def _added_latency(paths: dict, rate: int, seconds: float, pairs: int, seed: int) -> dict:
    samples: dict[str, list[list[float]]] = {name: [] for name in paths}
    failed = dict.fromkeys(paths, 0)
    names = list(paths)
    for path in paths.values():
        _run_generator("open", path, rate, WARM_UP_S, seed)
    for pair in range(pairs):
        for name in names[pair % len(names) :] + names[: pair % len(names)]:
            result = _run_generator("open", paths[name], rate, seconds, seed + pair)
            samples[name].append(result["latencies_ms"])
            failed[name] += result["failed"]
    direct = _percentiles(samples.pop("direct"))
    report = {"direct": direct, "failed": failed}
    for name, blocks in samples.items():
        percentiles = _percentiles(blocks)
        report[name] = {f"added_{key}": round(percentiles[key] - direct[key], 2) for key in direct}
    return report


def _percentiles(blocks: list[list[float]]) -> dict[str, float]:
    """Returns p50 and p99 over all blocks, and the median of the p99 of each block."""
    all_values = sorted(value for block in blocks for value in block)
    p99s = [_quantile(sorted(block), 0.99) for block in blocks]
    return {
        "p50_ms": round(_quantile(all_values, 0.50), 2),
        "p99_ms": round(_quantile(all_values, 0.99), 2),
        "median_block_p99_ms": round(statistics.median(p99s), 2),
    }


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else float("nan")


def _saturation(paths: dict, seconds: float, pairs: int, seed: int) -> dict[str, float]:
    """Returns the median rate of each path in requests/s, with all connections busy."""
    rates: dict[str, list[float]] = {name: [] for name in paths}
    for _ in range(pairs):
        for name, path in paths.items():
            result = _run_generator("closed", path, SATURATION_CONNECTIONS, seconds, seed)
            rates[name].append(len(result["latencies_ms"]) / result["elapsed_s"])
    return {name: round(statistics.median(values)) for name, values in rates.items()}
