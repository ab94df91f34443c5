"""The view of the fleet: the platform's list of VMs combined with the evidence of this VM.

The module does no I/O; every event carries the monotonic time in seconds::

    view = Membership(self_vm, incarnation, now=0.0)
    view.on_list(vms, now=0.0)
    view.on_call_failed(VmId("vm-7"), now=1.0)
    view.usable()             # VMs that may be assigned work, this VM included

The list lags, so it decides only which VMs exist; the evidence decides which of them this VM can
reach. No safety rule depends on two VMs having the same view.
"""

import enum
from collections.abc import Iterable

import msgspec

from dotterelfront import models

HEARTBEAT_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 3.0
"""Three heartbeat intervals: the loss of one heartbeat is common when a process starts or pauses
briefly."""
REPORT_VALID_S = 5.0
REPORTERS_NEEDED = 2
"""A single reporter may itself be the VM that is cut off from the network."""
MAX_REPORTS = 16
"""Maximum number of unreachable VMs that one heartbeat reports."""


class VmState(enum.Enum):
    """State of a VM in the view of another VM."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    UNLISTED = "gone"


class _Peer(msgspec.Struct):
    """Evidence about another VM. Times are monotonic, in seconds."""

    vm: models.Vm
    listed: bool = True
    unlisted_since: float = 0.0
    incarnation: models.Incarnation = models.Incarnation(0)
    reports_leaving: bool = False
    last_reply_at: float | None = None
    last_heartbeat_at: float | None = None
    failing_since: float | None = None
    reporters: dict[models.VmId, float] = msgspec.field(default_factory=dict)
    usable_vm: models.Vm | None = None
    """The VM as contained in the latest ``usable`` snapshot, None if the snapshot omits it."""


class Membership:
    """View of one VM. ``version`` increases whenever ``usable`` may have changed."""

    def __init__(self, self_vm: models.Vm, incarnation: models.Incarnation, now: float):
        self.self_vm = self_vm
        self.incarnation = incarnation
        self.leaving = False
        self.version = 0
        self._snapshot_leaving = False
        self._peers: dict[models.VmId, _Peer] = {}
        self._usable: tuple[models.Vm, ...] = (self_vm,)

    def on_list(self, vms: Iterable[models.Vm], now: float) -> None:
        """Applies a new copy of the platform's list."""
        listed = {vm.id: vm for vm in vms if vm.id != self.self_vm.id}
        for vm_id, vm in listed.items():
            peer = self._peers.setdefault(vm_id, _Peer(vm))
            if peer.vm.address != vm.address:
                self._peers[vm_id] = peer = _Peer(vm, usable_vm=peer.usable_vm)
            peer.vm, peer.listed = vm, True
        for vm_id, peer in self._peers.items():
            if vm_id not in listed and peer.listed:
                peer.listed, peer.unlisted_since = False, now
        self._refresh(self._peers.values(), now)

    def on_heartbeat(
        self,
        sender: models.VmId,
        incarnation: models.Incarnation,
        leaving: bool,
        unreachable: Iterable[models.VmId],
        now: float,
    ) -> None:
        """Records a heartbeat of a peer and the VMs that the peer reports as unreachable."""
        peer = self._peers.get(sender)
        if peer is None or not self._accept_incarnation(peer, incarnation):
            return
        peer.last_heartbeat_at, peer.reports_leaving = now, leaving
        reported_peers = [self._peers[vm_id] for vm_id in unreachable if vm_id in self._peers]
        for reported_peer in reported_peers[:MAX_REPORTS]:
            reported_peer.reporters[sender] = now
        self._refresh([peer, *reported_peers[:MAX_REPORTS]], now)

    def on_reached(
        self, vm_id: models.VmId, incarnation: models.Incarnation, leaving: bool, now: float
    ) -> None:
        """Records that the VM replied to a call."""
        peer = self._peers.get(vm_id)
        if peer is None or not self._accept_incarnation(peer, incarnation):
            return
        peer.last_reply_at, peer.failing_since, peer.reports_leaving = now, None, leaving
        peer.reporters.clear()
        self._refresh([peer], now)

    def on_call_failed(self, vm_id: models.VmId, now: float, not_sent: bool = False) -> None:
        """Records that a call to the VM got no reply.

        A call that could not be sent makes the VM suspect at once. A call without a reply does so
        only after ``SUSPECT_AFTER_S`` without any reply, because a request may just be slow.
        """
        peer = self._peers.get(vm_id)
        if peer is None:
            return
        if not_sent:
            peer.failing_since = now - SUSPECT_AFTER_S
        elif peer.failing_since is None:
            peer.failing_since = now
        self._refresh([peer], now)

    def tick(self, now: float) -> None:
        """Removes expired reports and VMs that have been unlisted for an hour.

        Must be called once per heartbeat interval.
        """
        for vm_id, peer in list(self._peers.items()):
            for reporter, reported_at in list(peer.reporters.items()):
                if now - reported_at > REPORT_VALID_S:
                    del peer.reporters[reporter]
            if not peer.listed and now - peer.unlisted_since > 3600:
                del self._peers[vm_id]
        self._refresh(self._peers.values(), now)

    def state(self, vm_id: models.VmId, now: float) -> VmState:
        """Returns the state of a VM in this view."""
        peer = self._peers.get(vm_id)
        if peer is None or not peer.listed:
            return VmState.UNLISTED
        if self._is_suspect(peer, now):
            return VmState.SUSPECT
        if peer.vm.leaving or peer.reports_leaving:
            return VmState.LEAVING
        return VmState.JOINING if peer.last_reply_at is None else VmState.LIVE

    def usable(self) -> tuple[models.Vm, ...]:
        """Returns the VMs that may be assigned work, in order of id; leaving VMs are marked."""
        return self._usable

    def listed(self) -> tuple[models.Vm, ...]:
        """Returns all listed VMs and this one, including unreachable VMs."""
        peers = [peer.vm for peer in self._peers.values() if peer.listed]
        return tuple(sorted([*peers, self.self_vm], key=lambda vm: vm.id))

    def suspects(self, now: float) -> tuple[models.Vm, ...]:
        """Returns the listed VMs that are suspect; they are probed until they reply."""
        return tuple(
            peer.vm for peer in self._peers.values() if peer.listed and self._is_suspect(peer, now)
        )

    def unreachable(self, now: float) -> tuple[models.VmId, ...]:
        """Returns the VMs that this VM itself cannot reach, for the next heartbeat."""
        failing = [
            vm_id
            for vm_id, peer in self._peers.items()
            if peer.listed and self._is_failing(peer, now)
        ]
        return tuple(sorted(failing)[:MAX_REPORTS])

    def inbound_only(self, now: float) -> tuple[models.VmId, ...]:
        """Returns the VMs whose heartbeats arrive while calls to them fail."""
        return tuple(
            vm_id
            for vm_id, peer in self._peers.items()
            if self._is_failing(peer, now)
            and peer.last_heartbeat_at is not None
            and now - peer.last_heartbeat_at < SUSPECT_AFTER_S
        )

    def incarnation_of(self, vm_id: models.VmId) -> models.Incarnation:
        """Returns the newest known incarnation, 0 when none is known."""
        if vm_id == self.self_vm.id:
            return self.incarnation
        peer = self._peers.get(vm_id)
        return peer.incarnation if peer else models.Incarnation(0)

    def track_absence(self, vm_id: models.VmId, now: float) -> None:
        """Starts to measure how long a VM is unlisted, if this process has never seen it listed."""
        if vm_id != self.self_vm.id and vm_id not in self._peers:
            vm = models.Vm(vm_id, "", models.ZoneName(""), "")
            self._peers[vm_id] = _Peer(vm, listed=False, unlisted_since=now)

    def unlisted_s(self, vm_id: models.VmId, now: float) -> float:
        """Returns for how many seconds the VM has been missing from the list; 0 while it is listed.

        For a VM that this process has never seen listed, the time starts with ``track_absence``.
        """
        peer = self._peers.get(vm_id)
        return 0.0 if peer is None or peer.listed else now - peer.unlisted_since

    def _refresh(self, peers: Iterable[_Peer], now: float) -> None:
        """Updates the snapshot after an event that affects ``peers``.

        The snapshot is rebuilt only when it changes: with 1,600 VMs a rebuild takes 0.8 ms, which
        for every heartbeat would add up to 1% of a core.
        """
        changed = self._snapshot_leaving != self.leaving
        for peer in peers:
            usable = peer.listed and not self._is_suspect(peer, now)
            usable_vm = self._with_leaving(peer.vm, peer.reports_leaving) if usable else None
            if usable_vm != peer.usable_vm:
                peer.usable_vm, changed = usable_vm, True
        if changed:
            self._rebuild()

    def _rebuild(self) -> None:
        self._snapshot_leaving = self.leaving
        usable = [self._with_leaving(self.self_vm, self.leaving)]
        usable += [peer.usable_vm for peer in self._peers.values() if peer.usable_vm]
        self._usable = tuple(sorted(usable, key=lambda vm: vm.id))
        self.version += 1

    @staticmethod
    def _with_leaving(vm: models.Vm, leaving: bool) -> models.Vm:
        return msgspec.structs.replace(vm, leaving=True) if leaving and not vm.leaving else vm

    @staticmethod
    def _accept_incarnation(peer: _Peer, incarnation: models.Incarnation) -> bool:
        """Records the incarnation; returns false if it is older than the known one.

        A newer incarnation clears failures, reports of other VMs and the leaving flag.
        """
        if incarnation < peer.incarnation:
            return False
        if peer.incarnation and incarnation > peer.incarnation:
            peer.reports_leaving = False
            peer.failing_since = None
            peer.reporters.clear()
        peer.incarnation = incarnation
        return True

    @staticmethod
    def _is_failing(peer: _Peer, now: float) -> bool:
        return peer.failing_since is not None and now - peer.failing_since >= SUSPECT_AFTER_S

    @classmethod
    def _is_suspect(cls, peer: _Peer, now: float) -> bool:
        """Returns whether the VM is suspect; own evidence overrides reports of other VMs."""
        if cls._is_failing(peer, now):
            return True
        if peer.last_reply_at is not None and now - peer.last_reply_at < SUSPECT_AFTER_S:
            return False
        return len(peer.reporters) >= REPORTERS_NEEDED
