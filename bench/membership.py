"""Measures CPU time and bytes of heartbeats at several fleet sizes, over real sockets.

``python -m bench.membership`` prints JSON. All VMs run in one process. Each has its membership
task and control channel on its own loopback address. A local stand-in serves the platform's VM
list. The CPU time includes both ends of every call and the polls of the list.
"""

import json
import os
import threading
import time

import cheroot.wsgi

from dotterelfront import control, heartbeat, messages, models
from standins import store

SIZES = (10, 20, 40)
SETTLE_S = 4.0
MEASURE_S = 10.0
CONTROL_PORT = 7402
STORE_PORT = 2390
FRAME_OVERHEAD_BYTES = 8 + 2 * 40
"""NNG's length prefix, and the TCP/IP headers of the segment and of its acknowledgement."""


def _network() -> str:
    return f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}"


def _vms(network: str, count: int) -> list[models.Vm]:
    return [
        models.Vm(
            models.VmId(f"vm-{index:04}"),
            f"{network}.{index + 1}",
            models.ZoneName(f"zone-{index % 3}"),
            "local",
        )
        for index in range(count)
    ]


def measure(count: int) -> dict:
    """Returns the results for one fleet size."""
    network = _network()
    vms = _vms(network, count)
    stand_in = store.Store()
    faults = store.Faults(stand_in)
    faults.set_vms(json.dumps({"vms": [_as_dict(vm) for vm in vms]}).encode())
    application = store.application(stand_in, faults)
    server = cheroot.wsgi.Server((f"{network}.250", STORE_PORT), application, numthreads=16)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    url = f"http://{network}.250:{STORE_PORT}"
    channels = [control.ControlChannel(vm, CONTROL_PORT, tls=None) for vm in vms]
    tasks = [
        heartbeat.MembershipTask(vm, models.Incarnation(1), channel, url)
        for vm, channel in zip(vms, channels, strict=True)
    ]
    for service in (*channels, *tasks):
        service.start()
    time.sleep(SETTLE_S)
    cpu_s, wall_s = time.process_time(), time.monotonic()
    time.sleep(MEASURE_S)
    cpu_s, wall_s = time.process_time() - cpu_s, time.monotonic() - wall_s
    usable = [len(task.usable()) for task in tasks]
    neighbours = sum(len(task.neighbours()) for task in tasks) / count
    for task in tasks:
        task.stop()
    for channel in channels:
        channel.close()
    server.stop()
    call_bytes = _call_bytes(vms[0])
    return {
        "vms": count,
        "smallest_view": min(usable),
        "neighbours_per_vm": neighbours,
        "cpu_share_of_a_core_per_vm": round(cpu_s / wall_s / count, 5),
        "heartbeat_call_bytes": call_bytes,
        "bytes_per_s_per_vm": round(2 * neighbours * call_bytes),
    }


def _as_dict(vm: models.Vm) -> dict:
    return {"id": vm.id, "address": vm.address, "zone": vm.zone, "region": vm.region}


def _call_bytes(vm: models.Vm) -> int:
    """Returns the bytes on the wire of one heartbeat and its reply."""
    heartbeat_msg = messages.Heartbeat(vm.id, models.Incarnation(int(time.time() * 1000)), False)
    reply = messages.HeartbeatReply(vm.id, heartbeat_msg.incarnation, False)
    return sum(len(messages.encode(msg)) + FRAME_OVERHEAD_BYTES for msg in (heartbeat_msg, reply))


def run(seed: int = 0) -> dict:
    """Returns the results for all sizes. The run does not depend on the seed."""
    return {"seed": seed, "sizes": [measure(count) for count in SIZES]}


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
