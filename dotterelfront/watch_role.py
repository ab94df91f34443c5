"""Selects the VMs of a zone that watch the store, so that store calls do not grow with the fleet.

Each watcher with access to the store sends heartbeats to the VMs of its zone several times a
second. A VM watches unless it receives heartbeats from enough watchers that precede it::

    role = WatchRole(VmId("vm-7"), now=0.0)
    role.on_heartbeat(VmId("vm-3"), now=1.0)
    role.should_watch(now=1.2)

The VMs are ordered by a hash of their ids, so that all agree on the order without messages. The
heartbeats of a watcher end when it stops, is partitioned or loses the store; the next VM in order
then replaces it. The module does no I/O, and the caller passes the time.
"""

import hashlib

from dotterelfront import models

WATCHERS_PER_ZONE = 2
"""A second watcher covers for one that loses the store and notices this only after 1 to 2 s."""
HEARTBEAT_INTERVAL_S = 0.3
"""Interval of a watcher's heartbeats."""
HEARTBEAT_TIMEOUT_S = 1.0
"""Time without a heartbeat after which a watcher counts as stopped: three heartbeats. A change must
be in force two seconds after the store accepted it, and a new watcher needs a few calls to catch
up."""
START_WAIT_S = 1.0
START_SPREAD_S = 1.5
"""A starting VM listens for heartbeats for ``START_WAIT_S`` before it watches, and for up to
``START_SPREAD_S`` longer the later it is in the order. When all VMs start together, the heartbeats
of the first two thus keep the others from watching."""
TAKEOVER_SPREAD_S = 0.4
"""Maximum delay, by position in the order, before a VM replaces watchers without heartbeats."""


class WatchRole:
    """Decides whether one VM watches, from the heartbeats of its zone's watchers."""

    def __init__(self, vm_id: models.VmId, now: float):
        self._rank = _rank(vm_id)
        self._position = int.from_bytes(self._rank) / 2 ** (8 * len(self._rank))
        """Position of the VM in the order, from 0 to 1."""
        self._missing_since: float | None = now + START_WAIT_S
        """Since when this VM knows of too few watchers that precede it."""
        self._watch_delay_s = self._position * START_SPREAD_S
        self._last_heartbeat: dict[models.VmId, float] = {}

    def on_heartbeat(self, watcher: models.VmId, now: float) -> None:
        """Records a heartbeat of a watcher of the zone."""
        self._last_heartbeat[watcher] = now

    def on_watch_ended(self, watcher: models.VmId) -> None:
        """Records that a VM of the zone reports that it does not watch."""
        self._last_heartbeat.pop(watcher, None)

    def should_watch(self, now: float) -> bool:
        """Whether the VM watches: too few watchers precede it, and its delay has passed."""
        for watcher, received_at in list(self._last_heartbeat.items()):
            if now - received_at > HEARTBEAT_TIMEOUT_S:
                del self._last_heartbeat[watcher]
        preceding = sum(1 for watcher in self._last_heartbeat if _rank(watcher) < self._rank)
        if preceding >= WATCHERS_PER_ZONE:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
            self._watch_delay_s = self._position * TAKEOVER_SPREAD_S
        return now - self._missing_since >= self._watch_delay_s


def _rank(vm_id: models.VmId) -> bytes:
    return hashlib.blake2b(f"watch\0{vm_id}".encode(), digest_size=8).digest()
