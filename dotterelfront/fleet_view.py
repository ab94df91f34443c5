"""A VM's view of its fleet: VMs, servers and the configuration, from replicated records.

The module does no network I/O, and the caller passes the time of every change::

    view = FleetView(vm, incarnation, now=0.0)
    view.on_servers(records, trusted=True, now=1.0)   # a catalog.Report
    view.owners(pool, zone)                           # VMs that may grant slots, first owner first
"""

import collections
from collections.abc import Collection, Iterable, Sequence

import msgspec

from dotterelfront import catalog, codec, errors, fleetmodel, logs, membership, models, placement
from dotterelfront.platform import records

VMS_PREFIX = records.OWN_PREFIX + "vms/"
"""Prefix of the keys of VM records. Each VM writes its own record under its own lease."""


class VmRecord(msgspec.Struct, frozen=True):
    """The record that a VM writes about itself to the store."""

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
        self._previous_incarnation = models.Incarnation(0)
        self._record_issued = False
        self.config: fleetmodel.Configuration | None = None
        self.config_since = now
        """Time since which the configuration, or its lack, has been in force."""
        self.members = membership.Membership(vm, incarnation, now)
        self.catalog = catalog.Catalog(records.server)
        self._tables_by_zone: dict[models.ZoneName, placement.OwnerTable] = {}
        self._all_zones_table = placement.OwnerTable()
        self._tables_version = -1

    def record(self) -> tuple[str, bytes]:
        """Returns key and value of this VM's own record.

        Its incarnation is above that of an earlier process of the VM whose record is known, even if
        the system clock was set back in between.
        """
        if self._previous_incarnation >= self.incarnation and not self._record_issued:
            self.incarnation = models.Incarnation(self._previous_incarnation + 1)
        self._record_issued = True
        vm_record = VmRecord(
            self.vm.id, self.vm.address, self.vm.zone, self.vm.region, self.incarnation
        )
        return VMS_PREFIX + self.vm.id, msgspec.json.encode(vm_record)

    def on_config(self, raw: bytes | None, now: float) -> bool:
        """Applies the record of the configuration; returns whether it is newer than the last."""
        if raw is None:
            return False
        try:
            candidate = records.configuration(raw)
        except errors.RecordError as exc:
            logs.event("malformed configuration", level="WARNING", error=str(exc))
            return False
        if self.config is not None and candidate.revision <= self.config.revision:
            return False
        self.config, self.config_since = candidate, now
        return True

    def on_servers(
        self, server_records: Iterable[fleetmodel.Record], trusted: bool, now: float
    ) -> catalog.Report:
        """Applies changed records of servers."""
        report = self.catalog.update(server_records, trusted, now)
        for key in report.unreadable:
            logs.event("malformed server record", level="WARNING", key=key)
        return report

    def on_vms(self, vm_records: Iterable[fleetmodel.Record], trusted: bool, now: float) -> None:
        """Applies the records of all VMs.

        Records of running VMs expire in a store outage. Without ``trusted``, VMs whose records are
        missing therefore stay listed; calls to them show whether they still run.
        """
        vms = {}
        for record in vm_records:
            vm = decode_vm(record)
            if vm is not None:
                vms[vm.id] = models.Vm(vm.id, vm.address, vm.zone, vm.region)
                if vm.id == self.vm.id:
                    self._previous_incarnation = max(self._previous_incarnation, vm.incarnation)
        if not trusted:
            vms = {vm.id: vm for vm in self.members.listed()} | vms
        self.members.on_list(vms.values(), now)

    def servers_by_zone(
        self, pool: models.PoolName
    ) -> dict[models.ZoneName, tuple[fleetmodel.Instance, ...]]:
        """Returns the servers of a pool by zone."""
        grouped: dict[models.ZoneName, list] = collections.defaultdict(list)
        for instance in self.catalog.instances(pool):
            grouped[instance.zone].append(instance)
        return {zone: tuple(instances) for zone, instances in grouped.items()}

    def zones(
        self, pool: models.PoolName, excluded: Collection[models.ServerId] = ()
    ) -> list[models.ZoneName]:
        """Returns the zones in which a pool has active servers other than the excluded ones."""
        return sorted(
            {
                server.zone
                for server in self.catalog.instances(pool)
                if server.state is models.ServerState.ACTIVE and server.id not in excluded
            }
        )

    def owners(self, pool: models.PoolName, zone: models.ZoneName) -> Sequence[models.Vm]:
        """Returns the VMs that may grant slots, the first owner first.

        These are VMs of the zone, or of all zones if the zone has none.
        """
        self._update_tables()
        table = self._tables_by_zone.get(zone, self._all_zones_table)
        return table.owners(models.PoolName(f"{pool}\0{zone}"), 0)

    def is_first_owner(self, key: tuple[models.PoolName, models.ZoneName]) -> bool:
        owners = self.owners(*key)
        return bool(owners) and owners[0].id == self.vm.id

    def _update_tables(self) -> None:
        if self._tables_version == self.members.version:
            return
        self._tables_version = self.members.version
        by_zone: dict[models.ZoneName, list[models.Vm]] = collections.defaultdict(list)
        for vm in self.members.usable():
            by_zone[vm.zone].append(vm)
        for zone in self._tables_by_zone.keys() - by_zone.keys():
            del self._tables_by_zone[zone]
        for zone, vms in by_zone.items():
            self._tables_by_zone.setdefault(zone, placement.OwnerTable()).update(vms)
        self._all_zones_table.update(self.members.usable())


def decode_vm(record: fleetmodel.Record) -> VmRecord | None:
    """Returns the VM of a record, or None if the record is malformed."""
    try:
        return msgspec.json.decode(record.value, type=VmRecord)
    except codec.DECODE_ERRORS as exc:
        logs.event("malformed VM record", level="WARNING", key=record.key, error=str(exc))
        return None
