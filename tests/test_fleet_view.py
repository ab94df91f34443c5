"""A VM's view from the records: the newest configuration, owners, and VMs with expired records."""

import json

import msgspec

from dotterelfront import fleet_view, fleetmodel, models
from tests import test_platform

SELF_VM = models.Vm(models.VmId("vm-1"), "10.0.0.1:7", models.ZoneName("a"), "r")


def config(version):
    return json.dumps(test_platform.CONFIG | {"version": version}).encode()


def vm_record(name, zone="a"):
    record = fleet_view.VmRecord(name, f"{name}:7", zone, "r", 1)
    return fleetmodel.Record(fleet_view.VMS_PREFIX + name, 1, msgspec.json.encode(record))


def make_view(*records):
    view = fleet_view.FleetView(SELF_VM, models.Incarnation(1), now=0.0)
    view.on_vms(records, trusted=True, now=0.0)
    return view


def test_older_configuration_is_ignored():
    """Guards against a VM that reverts to an older configuration."""
    view = make_view()
    applied = [view.on_config(config(version), 1.0) for version in ("r7", "r5", "r7", "r12")]
    assert applied == [True, False, False, True]
    assert view.config.revision == 12


def test_malformed_configuration_keeps_the_old_one():
    view = make_view()
    view.on_config(config("r7"), 1.0)
    assert not view.on_config(b"{}", 2.0)
    assert not view.on_config(None, 2.0)
    assert view.config_since == 1.0
    assert view.config.revision == 7


def test_owners_are_vms_of_the_zone_if_it_has_any():
    """Guards against slot requests across zones, and against zones without an owner."""
    view = make_view(vm_record("vm-2"), vm_record("vm-3", zone="b"))
    assert {vm.id for vm in view.owners("p", "a")} == {"vm-1", "vm-2"}
    assert {vm.id for vm in view.owners("p", "b")} == {"vm-3"}
    assert {vm.id for vm in view.owners("p", "c")} == {"vm-1", "vm-2", "vm-3"}


def test_exactly_one_vm_considers_itself_the_first_owner():
    """Guards against VMs with the same view that all act as owner, and against none that does."""
    records = [vm_record(f"vm-{number}") for number in (1, 2, 3)]
    firsts = []
    for number in (1, 2, 3):
        vm = models.Vm(models.VmId(f"vm-{number}"), f"vm-{number}:7", "a", "r")
        view = fleet_view.FleetView(vm, models.Incarnation(1), now=0.0)
        view.on_vms(records, trusted=True, now=0.0)
        firsts.append(view.is_first_owner(("p", "a")))
    assert firsts.count(True) == 1


def test_vm_that_does_not_reply_is_no_owner_until_it_does():
    """Guards against slot requests that wait for a VM which is down."""
    view = make_view(vm_record("vm-2"))
    view.members.on_call_failed("vm-2", 1.0, not_sent=True)
    assert [vm.id for vm in view.owners("p", "a")] == ["vm-1"]
    view.members.on_reached("vm-2", models.Incarnation(1), False, 2.0)
    assert len(view.owners("p", "a")) == 2


def test_vms_whose_records_expire_in_an_outage_stay():
    """Guards against a fleet that drops its VMs in a store outage."""
    view = make_view(vm_record("vm-2"))
    view.on_vms([], trusted=False, now=1.0)
    assert len(view.owners("p", "a")) == 2
    view.on_vms([], trusted=True, now=2.0)
    assert len(view.owners("p", "a")) == 1


def test_malformed_vm_record_does_not_affect_others():
    malformed = fleetmodel.Record(fleet_view.VMS_PREFIX + "x", 1, b"\xff")
    view = make_view(malformed, vm_record("vm-2"))
    assert len(view.owners("p", "a")) == 2


def test_vm_record_is_readable_by_other_vms():
    key, value = make_view().record()
    view = fleet_view.FleetView(
        models.Vm(models.VmId("vm-9"), "9:7", "a", "r"), models.Incarnation(1), now=0.0
    )
    view.on_vms([fleetmodel.Record(key, 1, value)], trusted=True, now=0.0)
    assert SELF_VM.id in {vm.id for vm in view.owners("p", "a")}


def test_restart_has_a_newer_incarnation_even_if_the_clock_was_set_back():
    """Guards against VMs that permanently ignore a restarted one as an older incarnation."""
    previous = fleet_view.VmRecord(SELF_VM.id, SELF_VM.address, "a", "r", 5000)
    view = make_view(fleetmodel.Record("x", 1, msgspec.json.encode(previous)))
    _, value = view.record()
    assert msgspec.json.decode(value)["incarnation"] == view.incarnation == 5001
    view.on_vms([fleetmodel.Record("x", 2, value)], trusted=True, now=1.0)
    assert view.record()[1] == value
