"""``make demo``: a small fleet under mixed load.

In turn, one server becomes gray, operators change the configuration, and a VM drains. The demo
prints the callers' results and exits with status 1 if a guarantee was violated.
"""

import collections
import json
import pathlib
import sys
import tempfile
import time

from demo import fleet as fleets
from demo import traffic as callers

VMS = 8
SERVERS = 10
WARMUP_S = 3.0
GRAY_S = 8.0
DRAIN_S = 8.0
BALANCER_LAG_S = 1.0
"""Time for which the callers still send requests to a draining VM, as a load balancer does."""
SEED = 1
MIN_ANSWERED = 50

VERDICTS = (
    "answered",
    "server error",
    "not run",
    "outcome unknown",
    "truncated",
    "foreign",
    "cut off",
    "no outcome",
)

ROUTES = [
    {
        "name": "stock",
        "path_prefix": "/stock",
        "pool": "bins",
        "idempotent": True,
        "priority": "high",
        "deadline_ms": 1000,
    },
    {
        "name": "invoices",
        "path_prefix": "/invoices",
        "pool": "bins",
        "idempotent": True,
        "priority": "low",
        "deadline_ms": 4000,
    },
    {
        "name": "orders",
        "path_prefix": "/orders",
        "pool": "orders",
        "operation": "required",
        "deadline_ms": 3000,
    },
]


def pools(running: fleets.Fleet) -> list[dict]:
    servers = [
        {"address": running.server(i), "zone": running.zone(i), "slots": 6} for i in range(SERVERS)
    ]
    pool_size = SERVERS // 2
    return [
        {"name": "bins", "floor": 18, "sensitivity": "fast", "servers": servers[:pool_size]},
        {"name": "orders", "floor": 18, "sensitivity": "fast", "servers": servers[pool_size:]},
    ]


def time_to_detect(results: list[callers.CallResult], fault_at: float) -> float:
    """Returns the time in seconds from the fault until errors cease.

    Errors count as ceased at the first time after which at most one error occurs within one second.
    """
    errors = sorted(
        result.started_at - fault_at for result in results if result.verdict == "server error"
    )
    errors = [at for at in errors if at >= 0]
    for index, at in enumerate([0.0, *errors]):
        next_second = [other for other in errors[index:] if at < other <= at + 1.0]
        if len(next_second) <= 1:
            return at
    return errors[-1]


def execution_counts(running: fleets.Fleet) -> collections.Counter:
    """Returns how often each operation ran, on all servers together."""
    runs: collections.Counter = collections.Counter()
    for index in range(SERVERS):
        res = running.http.request("GET", f"http://{running.server(index)}/_executions")
        runs.update(json.loads(res.data)["runs"])
    return runs


def violated_guarantees(traffic: callers.Traffic, runs: collections.Counter) -> list[str]:
    """Compares the outcomes that callers got with the executions on the servers."""
    violations = []
    for kind in ("stock", "invoices", "orders"):
        answered = sum(
            result.kind == kind and result.verdict == "answered" for result in traffic.results
        )
        if answered < MIN_ANSWERED:
            violations.append(f"only {answered} of the {kind} requests were answered")
    for operation, verdicts in traffic.orders.items():
        count = runs[operation]
        if count > 1:
            violations.append(f"{operation} ran {count} times")
        if "not run" in verdicts and count:
            violations.append(f"{operation} ran, but its caller got the outcome not-run")
        if "answered" in verdicts and not count:
            violations.append(f"{operation} was answered, but never ran")
    for verdict in ("truncated", "foreign", "cut off", "no outcome"):
        count = sum(call.verdict == verdict for call in traffic.results)
        if count:
            violations.append(f"{count} responses {verdict}")
    return violations


def print_table(traffic: callers.Traffic) -> None:
    counts = collections.Counter((result.kind, result.verdict) for result in traffic.results)
    kinds = sorted({result.kind for result in traffic.results})
    print(f"{'':18}" + "".join(f"{kind:>10}" for kind in kinds))
    for verdict in VERDICTS:
        print(f"{verdict:18}" + "".join(f"{counts[kind, verdict]:>10}" for kind in kinds))
    codes = collections.Counter(result.code for result in traffic.results if result.code)
    print("error codes: " + (", ".join(f"{k} {v}" for k, v in codes.items()) or "none"))


def main() -> int:
    started = time.monotonic()
    with fleets.Fleet(VMS, SERVERS, zones=3, tls=True) as running:
        running.publish(ROUTES, pools(running))
        running.wait_ready()
        print(f"{VMS} VMs and {SERVERS} servers ready after {time.monotonic() - started:.1f} s")
        traffic = callers.Traffic(running, list(range(VMS)), SEED)
        traffic.start()
        time.sleep(WARMUP_S)

        running.set_faults(0, fail_work=True)
        fault_at = time.monotonic()
        time.sleep(GRAY_S)

        publish_started_at = time.monotonic()
        changed_routes = [{**route, "objective": 0.99} for route in ROUTES]
        report = running.publish(changed_routes, pools(running))
        in_force_s = time.monotonic() - publish_started_at

        status = drain_vm(running, traffic, VMS - 1)
        time.sleep(1.0)
        traffic.stop()

        runs = execution_counts(running)
        violations = violated_guarantees(traffic, runs)
        report_path = pathlib.Path(tempfile.gettempdir()) / "dotterelfront-burn.html"
        burn = running.command("report", "burn", "--html", str(report_path))
        if burn.returncode != 0:
            violations.append(
                f"report burn exited with status {burn.returncode}: {burn.stderr.strip()}"
            )
        if status != 0:
            violations.append(f"the drained VM exited with status {status}")
        print_table(traffic)
        duplicates = sum(len(verdicts) > 1 for verdicts in traffic.orders.values())
        print(
            f"orders delivered twice: {duplicates}; run twice: {sum(v > 1 for v in runs.values())}"
        )
        print(f"gray server: errors ended after {time_to_detect(traffic.results, fault_at):.1f} s")
        print(
            f"change: revision {report['revision']} in force on {report['following']} VMs,"
            f" command took {in_force_s:.1f} s"
        )
    print(f"\nburn report (page with plots: {report_path}):\n{burn.stdout}")
    for line in violations:
        print(f"BROKEN: {line}")
    print(f"{'failed' if violations else 'all promises held'}, {time.monotonic() - started:.0f} s")
    return 1 if violations else 0


def drain_vm(running: fleets.Fleet, traffic: callers.Traffic, index: int) -> int:
    """Drains a VM as the platform does; returns its exit status."""
    remaining_vms = [i for i in range(VMS) if i != index]
    running.publish_vms(range(VMS), leaving=[index])
    running.terminate(f"vm-{index}")
    time.sleep(BALANCER_LAG_S)
    traffic.vms = remaining_vms
    status = running.stop(f"vm-{index}")
    running.publish_vms(remaining_vms)
    return status


if __name__ == "__main__":
    sys.exit(main())
