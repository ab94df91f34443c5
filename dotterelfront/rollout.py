"""Shows which VMs of a fleet have a configuration in force, and since when.

Each VM answers ``GET /configuration`` on its metrics port, so a rollout costs one listing of the
store and one request a VM::

    states = await ask_all(vms, port=9464)
    report = build(revision=12, vm_states=states)
    print("\\n".join(as_lines(report)))
"""

import asyncio
from collections.abc import Iterable

import msgspec

from dotterelfront import errors, exchange, fleet_view, fleetmodel, models
from dotterelfront.platform import records

PATH = "/configuration"
TIMEOUT_S = 2.0
"""Time for a VM to answer; it takes a few milliseconds."""
MAX_CONCURRENT = 32


class VmState(msgspec.Struct, frozen=True):
    """What a VM has in force; ``revision`` 0 means no configuration.

    ``age_s`` is the time in seconds since it came into force on the VM.
    """

    revision: models.Revision
    age_s: float


class Report(msgspec.Struct, frozen=True):
    """State of a rollout.

    ``in_force`` maps VMs to the age of a revision that is at least the wanted one, ``behind`` maps
    VMs to their older revision, ``silent`` lists VMs that did not answer.
    """

    revision: models.Revision
    in_force: dict[models.VmId, float]
    behind: dict[models.VmId, models.Revision]
    silent: list[models.VmId]

    @property
    def is_complete(self) -> bool:
        return not self.behind and not self.silent


def build(
    revision: models.Revision, vm_states: Iterable[tuple[models.VmId, VmState | None]]
) -> Report:
    """Returns the report for a wanted revision; a VM that did not answer has the state None."""
    report = Report(revision, {}, {}, [])
    for vm_id, state in sorted(vm_states, key=lambda pair: pair[0]):
        if state is None:
            report.silent.append(vm_id)
        elif state.revision >= revision:
            report.in_force[vm_id] = state.age_s
        else:
            report.behind[vm_id] = state.revision
    return report


def as_lines(report: Report) -> list[str]:
    """Returns the report as lines for a terminal."""
    count = len(report.in_force) + len(report.behind) + len(report.silent)
    lines = [f"revision {report.revision}: in force on {len(report.in_force)} of {count} VMs"]
    if report.in_force:
        oldest, newest = max(report.in_force.values()), min(report.in_force.values())
        lines.append(f"in force since: {oldest:.1f} s on the first VM, {newest:.1f} s on the last")
    lines += [f"behind: {vm_id}, revision {older}" for vm_id, older in report.behind.items()]
    lines += [f"no answer: {vm_id}" for vm_id in report.silent]
    return lines


def vms_and_revision(
    store_records: Iterable[fleetmodel.Record],
) -> tuple[list[fleet_view.VmRecord], models.Revision]:
    """Returns the VMs and the newest revision in the store; raises ``errors.RecordError``."""
    vms, revision = [], models.Revision(0)
    for record in store_records:
        if record.key == records.CONFIG_KEY:
            revision = records.configuration(record.value).revision
        elif record.key.startswith(fleet_view.VMS_PREFIX):
            vm = fleet_view.decode_vm(record)
            if vm is not None:
                vms.append(vm)
    return vms, revision


async def ask_all(
    vms: Iterable[fleet_view.VmRecord], port: int
) -> list[tuple[models.VmId, VmState | None]]:
    """Asks all VMs for their state, ``MAX_CONCURRENT`` at a time."""
    limit = asyncio.Semaphore(MAX_CONCURRENT)

    async def ask(vm: fleet_view.VmRecord) -> tuple[models.VmId, VmState | None]:
        async with limit:
            return vm.id, await _ask(f"{vm.address.rpartition(':')[0]}:{port}")

    return await asyncio.gather(*(ask(vm) for vm in vms))


async def _ask(address: str) -> VmState | None:
    try:
        conn = await exchange.connect(address, TIMEOUT_S)
        try:
            res = await conn.send("GET", PATH, [("Host", address)], b"", TIMEOUT_S)
        finally:
            conn.close()
        return msgspec.json.decode(res.body, type=VmState)
    except (errors.ExchangeError, msgspec.MsgspecError):
        return None
