"""Which VMs of a zone watch the store, so that its calls do not grow with the fleet.

Pure. Each watcher that the store serves tells the VMs of its zone so several times a second. A VM
watches unless it has heard of enough watchers that come before it::

    role = WatchRole(VmId("vm-7"), now=0.0)
    role.heard(VmId("vm-3"), now=1.0)
    role.should_watch(now=1.2)

The order is by a hash of the VM's id, so that all agree on it without messages. A watcher that
ends, is cut off or loses the store falls silent, and the next in order takes its place.
"""

import hashlib

from dotterelfront import models

WATCHERS_PER_ZONE = 2
"""One that is cut off from the store notices it only after a second or two."""
BEAT_S = 0.3
"""Interval of a watcher's beats."""
SILENCE_S = 1.0
"""Three beats; a change must be in force two seconds after the store took it, and a new watcher
needs a few calls to catch up."""
START_WAIT_S = 1.0
START_SPREAD_S = 1.5
"""A VM that starts listens for the first before it watches itself, and for up to the second more
the later it is in the order: when all VMs start together, the first two then silence the others."""
TAKEOVER_SPREAD_S = 0.4
"""The same when watchers have fallen silent."""


class WatchRole:
    """What a VM has heard of its zone's watchers."""

    def __init__(self, vm_id: models.VmId, now: float):
        self._rank = _rank(vm_id)
        self._place = int.from_bytes(self._rank) / 2 ** (8 * len(self._rank))
        """Where the VM stands in the order, from 0 to 1."""
        self._missing_since: float | None = now + START_WAIT_S
        self._patience_s = self._place * START_SPREAD_S
        self._heard: dict[models.VmId, float] = {}

    def heard(self, watcher: models.VmId, now: float) -> None:
        self._heard[watcher] = now

    def lost(self, watcher: models.VmId) -> None:
        """Records that a VM of the zone says that it does not watch."""
        self._heard.pop(watcher, None)

    def should_watch(self, now: float) -> bool:
        for watcher, at in list(self._heard.items()):
            if now - at > SILENCE_S:
                del self._heard[watcher]
        before = sum(1 for watcher in self._heard if _rank(watcher) < self._rank)
        if before >= WATCHERS_PER_ZONE:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
            self._patience_s = self._place * TAKEOVER_SPREAD_S
        return now - self._missing_since >= self._patience_s


def _rank(vm_id: models.VmId) -> bytes:
    return hashlib.blake2b(f"watch\0{vm_id}".encode(), digest_size=8).digest()
