"""Messages by which the VMs pass the store's records on to each other.

Pings announce the revision of a copy, pushes carry changes to the own zone, notices announce urgent
changes to other zones, and pulls ask for what is missing::

    propagation = Propagation(view, sources, mesh, is_leaving, rng)
    propagation.request_push(after=411)
    propagation.on_message(message)      # a message of a type in MESSAGES
    await propagation.zone_push.run()
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from dotterelfront import (
    errors,
    first_copy,
    fleet_messages,
    fleet_view,
    fleetmodel,
    follow,
    logs,
    mesh,
    models,
    notices,
    record_patches,
    watch_role,
    zone_push,
)

PING_INTERVAL_S = 1.0
"""Interval of pings to unresponsive VMs and, from a watcher, to VMs of other zones."""
PING_PEERS = 2
"""VMs of other zones to which a watcher sends its revision each second."""


class Sources(msgspec.Struct, frozen=True):
    """What a VM knows of the records and of their store."""

    follower: follow.StoreFollower
    state: follow.StoreState
    role: watch_role.WatchRole
    first_copy: first_copy.FirstCopy


class Propagation:
    """Sends and handles the messages about records of one VM."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        sources: Sources,
        sockets: mesh.Mesh,
        is_leaving: Callable[[], bool],
        rng: random.Random,
    ):
        self._view = view
        self._vm = view.vm
        self._follower = sources.follower
        self._state = sources.state
        self._role = sources.role
        self._first_copy = sources.first_copy
        self._mesh = sockets
        self._is_leaving = is_leaving
        self._rng = rng
        self.zone_push = zone_push.ZonePush(self._build_push, self._send_to_zone)
        self._encoded_copy: tuple[int, bytes] | None = None
        """Revision and bytes of the last whole copy that was sent."""

    def watches(self) -> bool:
        """Whether this VM watches the store, and its calls to the store succeed."""
        return (
            self._follower.is_complete
            and self._state.reachable
            and self._state.confirmed
            and self._role.should_watch(_now())
        )

    def on_message(self, message: fleet_messages.AnyMessage) -> None:
        """Handles a message of a type in ``MESSAGES``."""
        _HANDLERS[type(message)](self, message)

    def request_push(self, after: int) -> None:
        """Pushes the changes after a revision, from outside the zone, to the VMs of the zone."""
        self.zone_push.request(after)

    def ping(self, vm: models.Vm) -> None:
        """Asks a VM for a ping, to learn whether it runs."""
        self._mesh.send(vm.address, self._ping_message(reply_requested=True))

    def ping_zone(self) -> None:
        """Announces to the zone whether this VM watches, and which changes it has pushed."""
        # VMs pull the revision that a ping announces, unless they have it.
        message = self._ping_message(reply_requested=False, revision=self.zone_push.missing_after)
        for vm in self._zone_peers():
            self._mesh.send(vm.address, message)

    def notify_zones(self) -> None:
        """Notifies other zones of a change, in case the store rejects all their watchers."""
        notice = fleet_messages.Notice(self._vm.address, self._follower.local_copy.revision)
        for vm in notices.receivers(self._view.members.listed(), self._vm.zone, self._rng):
            self._mesh.send(vm.address, notice)

    async def announce_watch(self) -> None:
        """Pings the zone while this VM watches the store, and once more when it stops watching."""
        announced = False
        while True:
            await asyncio.sleep(watch_role.HEARTBEAT_INTERVAL_S)
            watches = self.watches()
            if watches or announced:
                self.ping_zone()
            announced = watches

    async def ping_peers(self) -> None:
        """Pings suspected VMs; a watcher also sends its revision to other zones."""
        while True:
            await asyncio.sleep(PING_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            now = _now()
            self._view.members.tick(now)
            for vm in self._view.members.suspects(now):
                self.ping(vm)
            if self.watches():
                self._ping_other_zones()

    def _zone_peers(self) -> list[models.Vm]:
        own = self._vm
        return [vm for vm in self._view.members.listed() if vm.zone == own.zone and vm.id != own.id]

    def _ping_other_zones(self) -> None:
        others = [vm for vm in self._view.members.listed() if vm.zone != self._vm.zone]
        for vm in self._rng.sample(others, min(PING_PEERS, len(others))):
            self._mesh.send(vm.address, self._ping_message(reply_requested=False))

    def _ping_message(
        self, reply_requested: bool, revision: int | None = None
    ) -> fleet_messages.Ping:
        """Returns a ping that announces ``revision``, or that of the own copy."""
        return fleet_messages.Ping(
            sender=self._vm.id,
            reply_to=self._vm.address,
            zone=self._vm.zone,
            incarnation=self._view.incarnation,
            leaving=self._is_leaving(),
            revision=self._follower.local_copy.revision if revision is None else revision,
            store_available_s=self._state.own_available_s(_now()) if self.watches() else None,
            reply_requested=reply_requested,
        )

    # Pings, notices and pulls

    def _on_ping(self, message: fleet_messages.Ping) -> None:
        now = _now()
        self._view.members.on_reached(message.sender, message.incarnation, message.leaving, now)
        if message.reply_requested:
            self._mesh.send(message.reply_to, self._ping_message(reply_requested=False))
        same_zone = message.zone == self._vm.zone
        if same_zone:
            self._on_zone_ping(message, now)
        offers_more = self._follower.should_pull(message.revision, same_zone)
        if offers_more and (self._follower.is_complete or self._first_copy.may_pull(now)):
            self._pull(message.reply_to)

    def _on_zone_ping(self, message: fleet_messages.Ping, now: float) -> None:
        if message.store_available_s is None:
            self._role.on_watch_ended(message.sender)
            return
        self._role.on_heartbeat(message.sender, now)
        watches = self._role.should_watch(now)
        self._state.on_report(message.sender, message.store_available_s, watches, now)

    def _on_notice(self, message: fleet_messages.Notice) -> None:
        if message.revision > self._follower.local_copy.revision:
            delay_s = notices.pull_delay_s(self._rng)
            asyncio.get_running_loop().call_later(delay_s, self._pull_if_behind, message)

    def _pull_if_behind(self, notice: fleet_messages.Notice) -> None:
        revision = self._follower.local_copy.revision
        if notice.revision > revision:
            logs.event("pulling from another zone", revision=revision, wanted=notice.revision)
            self._pull(notice.reply_to, forward_to_zone=True)

    def _pull(
        self, address: str, forward_to_zone: bool = False, accepts_patches: bool = True
    ) -> None:
        revision = self._follower.local_copy.revision
        pull = fleet_messages.Pull(self._vm.address, revision, forward_to_zone, accepts_patches)
        self._mesh.send(address, pull)

    def _on_pull(self, message: fleet_messages.Pull) -> None:
        found = self._follower.changes_for(message.after)
        if found is None:
            return
        after, changes = found
        if after and message.accepts_patches:
            push = self._push_message(after, changes, message.forward_to_zone)
        else:
            push = fleet_messages.Push(after, changes, message.forward_to_zone)
        if after or message.forward_to_zone:
            self._mesh.send(message.reply_to, push)
        else:
            self._send_whole_copy(message.reply_to, push)

    # Pushes

    def _build_push(self, after: int) -> fleet_messages.Message | None:
        changes = self._follower.local_copy.since(after)
        return None if changes is None else self._push_message(after, changes)

    def _push_message(
        self, after: int, changes: fleetmodel.Changes, forward_to_zone: bool = False
    ) -> fleet_messages.Message:
        changes, patches = self._follower.local_copy.split_patches(after, changes)
        if not patches:
            return fleet_messages.Push(after, changes, forward_to_zone)
        reply_to = self._vm.address
        return fleet_messages.PatchPush(reply_to, after, changes, patches, forward_to_zone)

    def _send_to_zone(self, raw: bytes, kind: type) -> int:
        peers = self._zone_peers()
        for vm in peers:
            self._mesh.send_encoded(vm.address, raw, kind)
        return len(peers)

    def _send_whole_copy(self, address: str, push: fleet_messages.Push) -> None:
        """Sends a copy that is encoded once for all VMs that pull the same revision."""
        revision = push.changes.revision
        if self._encoded_copy is None or self._encoded_copy[0] != revision:
            self._encoded_copy = (revision, fleet_messages.encode(push))
        self._mesh.send_encoded(address, self._encoded_copy[1], fleet_messages.Push)

    def _on_push(self, message: fleet_messages.Push) -> None:
        self._apply_push(message, ())

    def _on_patch_push(self, message: fleet_messages.PatchPush) -> None:
        try:
            self._apply_push(message, message.patches)
        except errors.BaseVersionError as exc:
            logs.event("patch not applied", level="DEBUG", error=str(exc))
            self._pull(message.reply_to, message.forward_to_zone, accepts_patches=False)

    def _apply_push(
        self,
        message: fleet_messages.Push | fleet_messages.PatchPush,
        patches: tuple[record_patches.Patch, ...],
    ) -> None:
        if not self._follower.apply_changes(message.after, message.changes, patches):
            logs.event("changes out of order", level="DEBUG", after=message.after)
        elif message.forward_to_zone:
            self.request_push(message.after)


_HANDLERS = {
    fleet_messages.Ping: Propagation._on_ping,
    fleet_messages.Notice: Propagation._on_notice,
    fleet_messages.Pull: Propagation._on_pull,
    fleet_messages.Push: Propagation._on_push,
    fleet_messages.PatchPush: Propagation._on_patch_push,
}
MESSAGES = tuple(_HANDLERS)
"""Types of the messages that ``Propagation.on_message`` handles."""


def _now() -> float:
    return asyncio.get_running_loop().time()
