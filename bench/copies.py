"""Measures a whole copy of the store's records at several sizes of the fleet.

``python -m bench.copies`` prints one line per size as JSON. A VM that starts lists the store
(``listing_bytes``, pages of JSON) or pulls the copy of another VM (``copy_bytes`` encoded,
``sent_bytes`` compressed). CPU times are the minimum of several repetitions, in milliseconds::

    python -m bench.copies 300 1600

``all_s`` is the time in which all VMs that restart at one moment read a listing each over the
store's link, and ``zone_s`` the time in which one watcher sends its copy to all VMs of its zone
over the link of a small VM. ``change_bytes`` is the size of a push that moves one route;
``change_make_ms`` and ``change_apply_ms`` are the times to make and to apply its patch.
"""

import base64
import json
import random
import time
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer

from dotterelfront import fleet_messages, fleet_view, fleetmodel, models, replica
from dotterelfront.platform import records

SERVERS_PER_VM = 10
ROUTES_PER_VM = 2.5
POOLS_PER_VM = 0.32
ZONES = 14
"""Proportions of the target: 16,000 servers, 3,900 routes and 510 pools for 1,600 VMs."""
SIZES = [36, 300, 1_600]
STORE_BITS_PER_S = 1e9
VM_BITS_PER_S = 10e6
REPETITIONS = 5


def _name(rng: random.Random) -> str:
    return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))


def _server(rng: random.Random, pools: list[str]) -> fleetmodel.Record:
    value = {
        "addr": f"10.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(256)}:8161",
        "info": {
            "service": rng.choice(pools),
            "zone": f"zone-{rng.randrange(ZONES)}",
            "slots": 6,
            "version": "v1",
        },
        "status": {"state": "ready", "seq": rng.randrange(1000), "warmup-left": "0ms"},
        "born": 1_780_000_000_000 + rng.randrange(10**9),
    }
    key = f"{records.SERVERS_PREFIX}i-{rng.getrandbits(40):010x}"
    return fleetmodel.Record(key, rng.randrange(10**6), msgspec.json.encode(value))


def _vm(rng: random.Random, number: int) -> fleetmodel.Record:
    zone = models.ZoneName(f"zone-{number % ZONES}")
    address = f"10.{number // 256}.{number % 256}.5:7620"
    vm = models.Vm(models.VmId(f"edge-{zone}-{number}"), address, zone, "region")
    incarnation = models.Incarnation(1_780_000_000_000 + rng.randrange(10**9))
    key, value = fleet_view.FleetView(vm, incarnation, 0.0).record()
    return fleetmodel.Record(key, rng.randrange(10**6), value)


def _configuration(rng: random.Random, pools: list[str], routes: int) -> fleetmodel.Record:
    hosts = [f"{_name(rng)}.example" for _ in range(12)]
    value = {
        "version": "r12",
        "services": {pool: {"health-path": "/healthz"} for pool in pools},
        "routes": {
            f"r-{_name(rng)}": {
                "host": rng.choice(hosts),
                "prefix": f"/{_name(rng)}/{_name(rng)}/",
                "service": rng.choice(pools),
                "kind": "safe",
                "timeout": "2500ms",
                "goal": "1200ms",
                "attempts": 2,
                "priority": 1,
            }
            for _ in range(routes)
        },
    }
    return fleetmodel.Record(records.CONFIG_KEY, 7, msgspec.json.encode(value))


def whole_copy(vms: int, seed: int = 1) -> fleetmodel.Changes:
    """Returns the records of a fleet of ``vms`` VMs, in the proportions of the target."""
    rng = random.Random(seed)
    pools = [_name(rng) for _ in range(max(4, round(POOLS_PER_VM * vms)))]
    found = [_configuration(rng, pools, round(ROUTES_PER_VM * vms))]
    found += [_server(rng, pools) for _ in range(SERVERS_PER_VM * vms)]
    found += [_vm(rng, number) for number in range(vms)]
    return fleetmodel.Changes(tuple(found), 10**6)


def _best_ms(func: Callable[[], object]) -> float:
    times = []
    for _ in range(REPETITIONS):
        start = time.process_time()
        func()
        times.append(time.process_time() - start)
    return round(min(times) * 1000, 1)


def _moved_route(record: fleetmodel.Record) -> fleetmodel.Record:
    """Returns the next version of a configuration, in which one route goes to another pool."""
    config = msgspec.json.decode(record.value)
    pools = sorted(config["services"])
    routes = config["routes"]
    route = routes[sorted(routes)[len(routes) // 2]]
    route["service"] = pools[pools.index(route["service"]) - 1]
    config["version"] = "r13"
    return fleetmodel.Record(record.key, record.revision + 1, msgspec.json.encode(config))


def measure_change(config: fleetmodel.Record) -> dict[str, float]:
    """Returns size and CPU time of a push that moves one route."""
    source, target = replica.Replica(), replica.Replica()
    for copy in (source, target):
        copy.merge(fleetmodel.Changes((config,), config.revision), 0.0)
    moved = _moved_route(config)
    source.merge(fleetmodel.Changes((moved,), moved.revision), 0.0)
    changes = source.since(config.revision)
    others, patches = source.split_patches(config.revision, changes)
    push = fleet_messages.PatchPush("10.0.0.1:7620", config.revision, others, patches)
    return {
        "change_bytes": len(fleet_messages.encode(push)),
        "change_make_ms": _best_ms(lambda: source.split_patches(config.revision, changes)),
        "change_apply_ms": _best_ms(lambda: target.patched(patches)),
    }


def measure(vms: int) -> dict[str, float]:
    """Returns the figures of one size."""
    copy = whole_copy(vms)
    push = fleet_messages.Push(0, copy)
    raw = fleet_messages.encode(push)
    items = [
        {
            "key": record.key,
            "value": base64.b64encode(record.value).decode(),
            "rev": record.revision,
            "create-revision": record.revision,
            "lease": 0,
        }
        for record in copy.records
    ]
    listing_bytes = len(msgspec.json.encode(items))
    return {
        "vms": vms,
        "records": len(items),
        "listing_bytes": listing_bytes,
        "copy_bytes": len(msgspec.msgpack.encode(push)),
        "sent_bytes": len(raw),
        "encode_ms": _best_ms(lambda: fleet_messages.encode(push)),
        "decode_ms": _best_ms(lambda: fleet_messages.decode(raw)),
        "all_s": round(vms * listing_bytes * 8 / STORE_BITS_PER_S, 2),
        "zone_s": round(vms / ZONES * len(raw) * 8 / VM_BITS_PER_S, 2),
    } | measure_change(copy.records[0])


def main(
    sizes: Annotated[list[int] | None, typer.Argument(help="Numbers of VMs.")] = None,
) -> None:
    for vms in sizes or SIZES:
        print(json.dumps(measure(vms)))


if __name__ == "__main__":
    typer.run(main)
