"""Measures memory and idle CPU time of a proxy process at four table sizes.

``python -m bench.footprint`` prints JSON. Two proxies run with a store stand-in. The largest tables
have the target size of 3,900 routes, 510 pools with 16,000 servers and 42,000 customers.
"""

import json
import os
import pathlib
import time

from demo import fleet as fleets

SHARES = (0.01, 0.1, 0.5, 1.0)
TARGET = {"routes": 3_900, "pools": 510, "servers": 16_000, "customers": 42_000}
SETTLE_S = 5.0
MEASURE_S = 10.0
PUBLISH_TIMEOUT_S = 60.0


def tables(share: float) -> tuple[list, list, list]:
    """Returns routes, pools and customers for the given share of the target size."""
    count = {name: max(1, int(number * share)) for name, number in TARGET.items()}
    per_pool = max(1, count["servers"] // count["pools"])
    pools = [
        {"name": f"pool-{p}", "floor": per_pool * 3, "servers": _servers(p, per_pool)}
        for p in range(count["pools"])
    ]
    routes = [
        {
            "name": f"route-{r}",
            "path_prefix": f"/service-{r}/items",
            "pool": f"pool-{r % count['pools']}",
            "idempotent": r % 4 != 0,
        }
        for r in range(count["routes"])
    ]
    customers = [
        {"name": f"customer-{c}", "rates": {f"route-{c % count['routes']}": 5}}
        for c in range(count["customers"])
    ]
    return routes, pools, customers


def _servers(pool: int, count: int) -> list[dict]:
    return [
        {
            "address": f"10.{pool // 256}.{pool % 256}.{index + 1}:8080",
            "zone": f"zone-{index % 14}",
            "slots": 6,
        }
        for index in range(count)
    ]


def _memory_mb(pid: int) -> float:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    kib = next(line.split()[1] for line in lines if line.startswith("VmRSS"))
    return round(int(kib) / 1024, 1)


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _threads(pid: int) -> int:
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


def measure(share: float) -> dict:
    """Returns the results for one share of the target size."""
    with fleets.Fleet(vm_count=2, server_count=0, tls=True) as running:
        pid = running.processes["vm-0"].pid
        time.sleep(SETTLE_S)
        empty_mb = _memory_mb(pid)
        started = time.monotonic()
        report = running.publish(*tables(share), timeout_s=PUBLISH_TIMEOUT_S)
        publish_s = time.monotonic() - started
        running.wait_ready()
        time.sleep(SETTLE_S)
        cpu_before_s = _cpu_s(pid)
        time.sleep(MEASURE_S)
        return {
            "share_of_target": share,
            "following": report["following"],
            "publish_command_s": round(publish_s, 2),
            "memory_without_tables_mb": empty_mb,
            "memory_mb": _memory_mb(pid),
            "idle_cpu_share_of_a_core": round((_cpu_s(pid) - cpu_before_s) / MEASURE_S, 4),
            "threads": _threads(pid),
        }


def run(seed: int = 0) -> dict:
    """Returns the results for all shares. The run does not depend on the seed."""
    return {"seed": seed, "sizes": [measure(share) for share in SHARES]}


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
