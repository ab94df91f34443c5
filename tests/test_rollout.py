"""Which VMs have a configuration in force."""

import asyncio
import base64

import msgspec

from dotterelfront import fleet_view, fleetmodel, node, rollout
from soak import play
from tests import test_fleet_status


def test_each_vm_is_listed_once_by_what_it_has_in_force():
    """Guards against a change that operators take for complete while some VMs lack it."""
    states = [
        ("vm-3", None),
        ("vm-2", rollout.VmState(11, 90.0)),
        ("vm-1", rollout.VmState(12, 1.5)),
        ("vm-4", rollout.VmState(13, 0.5)),
    ]
    report = rollout.build(12, states)
    assert (report.in_force, report.behind, report.silent) == (
        {"vm-1": 1.5, "vm-4": 0.5},
        {"vm-2": 11},
        ["vm-3"],
    )
    assert not report.is_complete
    assert rollout.as_lines(report) == [
        "revision 12: in force on 2 of 4 VMs",
        "in force since: 1.5 s on the first VM, 0.5 s on the last",
        "behind: vm-2, revision 11",
        "no answer: vm-3",
    ]


def test_vms_and_the_newest_revision_come_from_the_store():
    """Guards against VMs that are left out, and against one malformed record."""
    items = [*test_fleet_status.store_items(), (fleet_view.VMS_PREFIX + "vm-9", b"x")]
    vms, revision = rollout.vms_and_revision(
        fleetmodel.Record(key, 1, value) for key, value in items
    )
    assert ([vm.id for vm in vms], revision) == (["vm-1"], 7)


def test_running_vms_tell_what_they_have_in_force(tmp_path):
    """Guards against a rollout that waits for VMs which do not answer, or believes them."""

    async def scenario(env):
        env.configure()
        await asyncio.sleep(2.0)
        items = [fleetmodel.Record(key, 1, value) for key, value in _store_items(env)]
        vms, revision = rollout.vms_and_revision(items)
        gone = msgspec.structs.replace(vms[0], id="vm-gone", address="127.59.250.9:1")
        return rollout.build(revision, await rollout.ask_all([*vms, gone], node.METRICS_PORT))

    report = asyncio.run(play.run_with_fleet(13, tmp_path, scenario))
    assert len(report.in_force) == play.VMS
    assert (report.behind, report.silent) == ({}, ["vm-gone"])
    assert all(0.0 <= age_s <= 2.5 for age_s in report.in_force.values())


def _store_items(env):
    return [(key, base64.b64decode(item["value"])) for key, item in env.store.items.items()]
