"""Assignment of shards, neighbours and store watchers to VMs by rendezvous hashing.

All functions are pure, so that VMs with the same view agree without exchanging messages::

    owners = owner_order(PoolName("orders"), shard=0, vms=live)
    owners[0]   # the shard owner
"""

import hashlib
import heapq
from collections.abc import Iterable, Sequence

from dotterelfront import models

SHARD_SERVERS = 16
"""Maximum number of servers per shard: about 110 requests/s per shard at the target of 7 requests/s
per server."""


def rendezvous_order(key: str, vms: Iterable[models.Vm]) -> list[models.Vm]:
    """Returns the VMs in descending order of their rendezvous weight for ``key``."""

    return sorted(vms, key=lambda vm: _weight(key, vm.id), reverse=True)


def _weight(key: str, vm_id: models.VmId) -> bytes:
    return hashlib.blake2b(f"{key}\0{vm_id}".encode(), digest_size=8).digest()


def shards(pool: models.Pool) -> list[tuple[models.Server, ...]]:
    """Splits the pool's servers, in the order of the table, into shards of nearly equal size."""
    count = max(1, -(-len(pool.servers) // SHARD_SERVERS))
    size, extra = divmod(len(pool.servers), count)
    result, start = [], 0
    for index in range(count):
        end = start + size + (1 if index < extra else 0)
        result.append(pool.servers[start:end])
        start = end
    return result


def owner_order(pool: models.PoolName, shard: int, vms: Sequence[models.Vm]) -> list[models.Vm]:
    """Returns the candidate owners of a shard, the owner first and leaving VMs last."""
    order = rendezvous_order(f"shard\0{pool}\0{shard}", vms)
    return sorted(order, key=lambda vm: vm.leaving)


NEIGHBOURS_SAME_ZONE = 3
NEIGHBOURS_OTHER_ZONES = 2
NEIGHBOURS_OTHER_REGIONS = 1
WATCHERS_PER_REGION = 2


def neighbours(self_vm: models.Vm, vms: Sequence[models.Vm]) -> tuple[models.Vm, ...]:
    """Returns the VMs to which ``self_vm`` sends heartbeats and announcements, at most six.

    The ring successor is always one of them, so that the neighbour graph of VMs with the same view
    is strongly connected.
    """
    others = [vm for vm in vms if vm.id != self_vm.id]
    if not others:
        return ()
    order = rendezvous_order(f"neighbour\0{self_vm.id}", others)
    same_zone = [vm for vm in order if vm.zone == self_vm.zone]
    other_zones = [vm for vm in order if vm.region == self_vm.region and vm.zone != self_vm.zone]
    other_regions = [vm for vm in order if vm.region != self_vm.region]
    preferred = [
        _ring_successor(self_vm, others),
        *same_zone[:NEIGHBOURS_SAME_ZONE],
        *other_zones[:NEIGHBOURS_OTHER_ZONES],
        *other_regions[:NEIGHBOURS_OTHER_REGIONS],
        *order,
    ]
    count = NEIGHBOURS_SAME_ZONE + NEIGHBOURS_OTHER_ZONES + NEIGHBOURS_OTHER_REGIONS
    return tuple({vm.id: vm for vm in preferred}.values())[:count]


def _ring_successor(self_vm: models.Vm, others: Sequence[models.Vm]) -> models.Vm:
    """Returns the VM with the next id; after the last id the first one follows."""
    later = [vm for vm in others if vm.id > self_vm.id]
    return min(later or others, key=lambda vm: vm.id)


def watchers(region: str, vms: Sequence[models.Vm]) -> tuple[models.Vm, ...]:
    """Returns the VMs of a region that watch the store."""
    candidates = [vm for vm in vms if vm.region == region and not vm.leaving]
    return tuple(rendezvous_order(f"watcher\0{region}", candidates)[:WATCHERS_PER_REGION])


class OwnerTable:
    """Owners of all shards for the current view, updated incrementally.

    A change of one VM costs one hash per known shard instead of one per shard and VM. With 1,600
    VMs and 1,200 shards a full computation takes seconds, while restarts change the view about
    every seven seconds.

    ::

        table = OwnerTable()
        table.update(view.usable())
        table.owners(PoolName("orders"), 0)   # at most MAX_CANDIDATES VMs, the owner first
    """

    MAX_CANDIDATES = 3

    def __init__(self):
        self._vms: dict[models.VmId, models.Vm] = {}
        self._top_ranks: dict[str, list[tuple[bytes, models.VmId]]] = {}

    def update(self, vms: Iterable[models.Vm]) -> None:
        """Updates the table to a new view."""
        new_vms = {vm.id: vm for vm in vms}
        removed = self._vms.keys() - new_vms.keys()
        added = new_vms.keys() - self._vms.keys()
        changed = {
            vm_id
            for vm_id in new_vms.keys() & self._vms.keys()
            if new_vms[vm_id].leaving != self._vms[vm_id].leaving
        }
        self._vms = new_vms
        for key, top_ranks in list(self._top_ranks.items()):
            if any(vm_id in removed or vm_id in changed for _, vm_id in top_ranks):
                del self._top_ranks[key]
                continue
            new_ranks = [self._rank(key, vm_id) for vm_id in added | changed]
            self._top_ranks[key] = sorted([*top_ranks, *new_ranks], reverse=True)[
                : self.MAX_CANDIDATES
            ]

    def owners(self, pool: models.PoolName, shard: int) -> tuple[models.Vm, ...]:
        """Returns up to ``MAX_CANDIDATES`` candidate owners of the shard, the owner first."""
        key = f"shard\0{pool}\0{shard}"
        top_ranks = self._top_ranks.get(key)
        if top_ranks is None:
            ranks = (self._rank(key, vm_id) for vm_id in self._vms)
            top_ranks = self._top_ranks[key] = heapq.nlargest(self.MAX_CANDIDATES, ranks)
        return tuple(self._vms[vm_id] for _, vm_id in top_ranks)

    def _rank(self, key: str, vm_id: models.VmId) -> tuple[bytes, models.VmId]:
        prefix = b"\0" if self._vms[vm_id].leaving else b"\1"
        return (prefix + _weight(key, vm_id), vm_id)
