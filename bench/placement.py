"""Measures CPU time and memory of placement and membership at three fleet sizes.

``python -m bench.placement`` prints JSON. Times are the minimum of several repetitions, because
other load on the machine only adds time.
"""

import json
import random
import time
import tracemalloc

from dotterelfront import membership, models, placement

SIZES = (100, 400, 1_600)
SHARDS_PER_VM = 0.75
"""The target is 1,200 shards on 1,600 VMs."""
REPETITIONS = 5
SEED = 1


def _vms(count: int) -> tuple[models.Vm, ...]:
    return tuple(
        models.Vm(
            models.VmId(f"vm-{index:05}"),
            f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}",
            models.ZoneName(f"zone-{index % 14}"),
            f"region-{index % 14 % 5}",
        )
        for index in range(count)
    )


def _best_ms(func) -> float:
    """Returns the shortest duration of a call in ms."""
    times = []
    for _ in range(REPETITIONS):
        start = time.perf_counter()
        func()
        times.append(time.perf_counter() - start)
    return min(times) * 1000


def measure(count: int, rng: random.Random) -> dict:
    """Returns the results for one fleet size."""
    vms = _vms(count)
    keys = [(models.PoolName(f"pool-{index}"), 0) for index in range(int(count * SHARDS_PER_VM))]
    tracemalloc.start()
    table = placement.OwnerTable()
    table.update(vms)
    for pool, shard in keys:
        table.owners(pool, shard)
    table_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def restart_vm() -> None:
        restarted = rng.randrange(count)
        table.update(vm for index, vm in enumerate(vms) if index != restarted)
        table.update(vms)
        for pool, shard in keys:
            table.owners(pool, shard)

    def compute_owners() -> None:
        for pool, shard in keys[:10]:
            placement.owner_order(pool, shard, vms)

    tracemalloc.start()
    view = membership.Membership(vms[0], models.Incarnation(1), 0.0)
    view.on_list(vms, 0.0)
    view_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "vms": count,
        "shards": len(keys),
        "owner_table_bytes": table_bytes,
        "view_bytes": view_bytes,
        "restart_of_one_vm_ms": round(_best_ms(restart_vm), 3),
        "all_owners_from_scratch_ms": round(_best_ms(compute_owners) * len(keys) / 10, 1),
        "neighbours_ms": round(_best_ms(lambda: placement.neighbours(vms[0], vms)), 3),
        "heartbeat_event_ms": round(
            _best_ms(lambda: view.on_heartbeat(vms[1].id, models.Incarnation(1), False, (), 1.0)),
            4,
        ),
        "list_update_ms": round(_best_ms(lambda: view.on_list(vms, 1.0)), 3),
    }


def run(seed: int = SEED) -> dict:
    """Returns the results for all sizes."""
    rng = random.Random(seed)
    return {"seed": seed, "sizes": [measure(count, rng) for count in SIZES]}


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
