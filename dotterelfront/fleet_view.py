"""What a VM knows of its fleet: VMs, servers and the configuration, from replicated records.

Pure; every change comes with the time::

    view = FleetView(vm, incarnation, now=0.0)
    view.on_servers(records, trusted=True, now=1.0)   # a catalog.Report
    view.owners(pool, zone)                           # VMs to ask for slots, the first owner first
"""

import collections
from collections.abc import Iterable, Sequence

import msgspec

from dotterelfront import catalog, errors, fleetmodel, logs, membership, models, placement
from dotterelfront.platform import records

VMS_PREFIX = "dotterelfront/vms/"
"""Keys of the VMs' own records, each under its VM's lease."""


class VmRecord(msgspec.Struct, frozen=True):
    """What a VM says of itself in the store."""

    id: models.VmId
    address: str
    zone: models.ZoneName
    region: str
    incarnation: models.Incarnation


class FleetView:
    """VMs by zone, servers by pool and zone, and the newest configuration."""

    def __init__(self, vm: models.Vm, incarnation: models.Incarnation, now: float):
        self.vm = vm
        self.incarnation = incarnation
        self._earlier = models.Incarnation(0)
        self._recorded = False
        self.config: fleetmodel.Configuration | None = None
        self.members = membership.Membership(vm, incarnation, now)
        self.catalog = catalog.Catalog(records.server)
        self._tables: dict[models.ZoneName, placement.OwnerTable] = {}
        self._everywhere = placement.OwnerTable()
        self._placed_version = -1

    def record(self) -> tuple[str, bytes]:
        """Returns key and value of this VM's own record.

        Its incarnation is above that of an earlier process of the VM, if a record of that is known,
        also when the time of day has gone back since.
        """
        if self._earlier >= self.incarnation and not self._recorded:
            self.incarnation = models.Incarnation(self._earlier + 1)
        self._recorded = True
        found = VmRecord(
            self.vm.id, self.vm.address, self.vm.zone, self.vm.region, self.incarnation
        )
        return VMS_PREFIX + self.vm.id, msgspec.json.encode(found)

    def on_config(self, raw: bytes | None) -> bool:
        """Takes the configuration's record; returns whether a newer one is in force."""
        if raw is None:
            return False
        try:
            found = records.configuration(raw)
        except errors.RecordError as exc:
            logs.event("configuration unreadable", level="WARNING", error=str(exc))
            return False
        if self.config is not None and found.revision <= self.config.revision:
            return False
        self.config = found
        return True

    def on_servers(
        self, changed: Iterable[fleetmodel.Record], trusted: bool, now: float
    ) -> catalog.Report:
        """Takes changed records of servers; returns what that changed."""
        report = self.catalog.update(changed, trusted, now)
        for key in report.unreadable:
            logs.event("server record unreadable", level="WARNING", key=key)
        return report

    def on_vms(self, found: Iterable[fleetmodel.Record], trusted: bool, now: float) -> None:
        """Takes the records of all VMs.

        Records lapse while the store is in trouble, so VMs that vanish then stay listed; calls to
        them show whether they live.
        """
        vms = {}
        for record in found:
            vm = _decoded(record)
            if vm is not None:
                vms[vm.id] = models.Vm(vm.id, vm.address, vm.zone, vm.region)
                if vm.id == self.vm.id:
                    self._earlier = max(self._earlier, vm.incarnation)
        if not trusted:
            vms = {vm.id: vm for vm in self.members.listed()} | vms
        self.members.on_list(vms.values(), now)

    def by_zone(
        self, pool: models.PoolName
    ) -> dict[models.ZoneName, tuple[fleetmodel.Instance, ...]]:
        """Returns the servers of a pool by their zones."""
        found: dict[models.ZoneName, list] = collections.defaultdict(list)
        for instance in self.catalog.instances(pool):
            found[instance.zone].append(instance)
        return {zone: tuple(instances) for zone, instances in found.items()}

    def zones(self, pool: models.PoolName) -> list[models.ZoneName]:
        """Returns the zones in which a pool has servers that take work."""
        active = models.ServerState.ACTIVE
        return sorted({i.zone for i in self.catalog.instances(pool) if i.state is active})

    def owners(self, pool: models.PoolName, zone: models.ZoneName) -> Sequence[models.Vm]:
        """Returns the VMs that may grant slots, the first owner first: VMs of the zone, if any."""
        self._place()
        table = self._tables.get(zone, self._everywhere)
        return table.owners(models.PoolName(f"{pool}\0{zone}"), 0)

    def is_first_owner(self, key: tuple[models.PoolName, models.ZoneName]) -> bool:
        owners = self.owners(*key)
        return bool(owners) and owners[0].id == self.vm.id

    def _place(self) -> None:
        if self._placed_version == self.members.version:
            return
        self._placed_version = self.members.version
        by_zone: dict[models.ZoneName, list[models.Vm]] = collections.defaultdict(list)
        for vm in self.members.usable():
            by_zone[vm.zone].append(vm)
        for zone in self._tables.keys() - by_zone.keys():
            del self._tables[zone]
        for zone, vms in by_zone.items():
            self._tables.setdefault(zone, placement.OwnerTable()).update(vms)
        self._everywhere.update(self.members.usable())


def _decoded(record: fleetmodel.Record) -> VmRecord | None:
    try:
        return msgspec.json.decode(record.value, type=VmRecord)
    except msgspec.MsgspecError as exc:
        logs.event("VM record unreadable", level="WARNING", key=record.key, error=str(exc))
        return None
