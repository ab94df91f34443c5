"""Keeps a VM's copy of the store's records up to date, from the store or from other VMs.

A VM lists all records when it starts. After that the watchers of its zone (``watch_role``) watch
the store and push what changes to the other VMs; whoever hears that another VM has more pulls it.
So a VM that the store turns away follows the others, and they follow it.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from dotterelfront import errors, fleetmodel, logs, models, replica, watch_role
from dotterelfront.platform import store

EVERYTHING = ""
"""Prefix of all keys: one watch covers configuration, servers and VMs."""
WATCH_S = 1.2
"""Wait of one watch. The store may forget a watch that waits, without a sign on its connection; a
change must be in force everywhere 2 s after the store took it."""
BATCH_S = 0.15
"""Changes are collected for this long between two watches, as each call counts."""
IDLE_S = 0.1
"""Interval at which a VM that does not watch looks whether it should."""
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.8
"""Pauses between failed calls; the longest leaves time for a retry within the 2 s of a change."""
BEHIND_S = 0.8
"""Time in which the own zone's watchers should have brought what another zone already has."""
POLL_S = 0.2
"""A watch that waits looks this often whether it is still wanted."""
TROUBLE_S = 0.7
"""Calls that fail for this long mean that the store is in trouble; a watch that is cut does not."""


class StoreState:
    """Since when the store has been well, from this VM's calls and from the watchers that it hears.

    The store is well as long as anybody can say so: a VM that was cut off from it alone must not
    take records that vanish for lapsed ones, and neither must those that hear it.
    """

    def __init__(self, now: float):
        self._own: float | None = now
        self._failing_since: float | None = None
        self._reports: dict[models.VmId, tuple[float, float]] = {}
        """For each watcher since when the store has been well, and when it said so."""

    @property
    def reachable(self) -> bool:
        """Whether this VM's own calls succeed, as far as it makes any."""
        return self._own is not None

    def succeeded(self, now: float) -> None:
        self._failing_since = None
        if self._own is None:
            self._own = now
            logs.event("store reached")

    def failed(self, now: float, since: float | None = None) -> None:
        """Records a failed call that began at ``since``."""
        if self._failing_since is None:
            self._failing_since = now if since is None else since
        if self._own is not None and now - self._failing_since >= TROUBLE_S:
            self._own = None
            logs.event("store lost", level="WARNING")

    def reported(self, watcher: models.VmId, well_s: float, watches: bool, now: float) -> None:
        """Takes a watcher's word that the store has been well for ``well_s``.

        A VM that does not watch has no calls of its own to go by.
        """
        self._reports[watcher] = (now - well_s, now)
        if not watches:
            self._failing_since = None
            self._own = min(self._recent(now))

    def own_well_s(self, now: float) -> float | None:
        """Returns for how long this VM's calls have succeeded, for its reports to others."""
        return None if self._own is None else now - self._own

    def well_since(self, now: float) -> float | None:
        """Returns since when the store has been well, None while nobody says that it is."""
        found = self._recent(now)
        if self._own is not None:
            found.append(self._own)
        return min(found, default=None)

    def trusted(self, now: float, return_s: float) -> bool:
        """Whether a record that vanishes now means that its owner is gone."""
        if self._failing_since is not None and not self._recent(now):
            return False
        since = self.well_since(now)
        return since is not None and now - since >= return_s

    def _recent(self, now: float) -> list[float]:
        for watcher, (_, heard) in list(self._reports.items()):
            if now - heard > watch_role.SILENCE_S:
                del self._reports[watcher]
        return [since for since, _ in self._reports.values()]


class Callbacks(msgspec.Struct, frozen=True):
    """What a follower tells its VM.

    ``changed`` gets the keys that changed, ``watched`` the changes that came from the store and the
    revision that they follow on; it returns the time in seconds that passing them on takes.
    ``began`` is called when the VM begins to watch.
    """

    changed: Callable[[set[str]], None]
    watched: Callable[[int, fleetmodel.Changes], float]
    began: Callable[[], None]


class Follower:
    """One VM's copy of all records."""

    def __init__(
        self,
        client: store.Client,
        state: StoreState,
        role: watch_role.WatchRole,
        callbacks: Callbacks,
        seed: int = 0,
    ):
        self.copy = replica.Replica()
        self.listed = False
        """Whether the copy was complete at some time."""
        self._watching = False
        self._behind_since: float | None = None
        self._client = client
        self._state = state
        self._role = role
        self._callbacks = callbacks
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        delay_s = BACKOFF_MIN_S
        while True:
            try:
                await self._step()
                delay_s = BACKOFF_MIN_S
            except errors.HistoryLostError:
                self.listed = False
                logs.event("history lost", revision=self.copy.revision)
            except errors.StoreError as exc:
                self._state.failed(_now())
                logs.event("store call failed", level="DEBUG", error=str(exc))
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(BACKOFF_MAX_S, 2 * delay_s)

    def take(self, after: int, changes: fleetmodel.Changes) -> bool:
        """Takes another VM's changes; false when this copy lacks some before them."""
        if after > self.copy.revision:
            return False
        self.listed = True
        self._behind_since = None
        self._report(self.copy.merge(changes, _now()))
        return True

    def should_pull(self, revision: int, same_zone: bool) -> bool:
        """Whether to pull from a VM that has changes up to ``revision``.

        The own zone's watchers bring changes sooner than other zones' pings, and bytes between
        zones cost; other zones help while the own one has no store, or when it stays behind.
        """
        if revision <= self.copy.revision:
            self._behind_since = None
            return False
        now = _now()
        if same_zone or self._state.well_since(now) is None:
            return True
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= BEHIND_S

    async def _step(self) -> None:
        if not self.listed:
            await self._list()
        elif self._wanted():
            self._note_watching(True)
            await self._watch()
        else:
            self._note_watching(False)
            await asyncio.sleep(IDLE_S)

    def _note_watching(self, watching: bool) -> None:
        if watching != self._watching:
            self._watching = watching
            logs.event("watching" if watching else "watch ended", revision=self.copy.revision)
            if watching:
                self._callbacks.began()

    async def _list(self) -> None:
        """Lists all records; a watcher that had lost the history passes on what it missed."""
        after = self.copy.revision
        listing = await self._client.list_all(EVERYTHING)
        self._state.succeeded(_now())
        self.listed = True
        self._report(self.copy.replace(listing, _now()))
        if self._watching:
            self._pass_on(after)

    def _wanted(self) -> bool:
        return self._role.should_watch(_now()) and self._state.reachable

    async def _watch(self) -> None:
        after = self.copy.revision
        call = asyncio.ensure_future(self._client.watch(EVERYTHING, after, WATCH_S))
        try:
            while not call.done() and self._wanted():
                await asyncio.wait([call], timeout=POLL_S)
        finally:
            call.cancel()
        if not call.done():
            return
        changes = call.result()
        self._state.succeeded(_now())
        self._report(self.copy.merge(changes, _now()))
        if changes.records:
            await asyncio.sleep(max(BATCH_S, self._pass_on(after)))

    def _pass_on(self, after: int) -> float:
        """Hands on what came after a revision, the newest record of each key only."""
        missed = self.copy.since(after)
        return 0.0 if missed is None else self._callbacks.watched(after, missed)

    def _report(self, changed: set[str]) -> None:
        if changed:
            self._callbacks.changed(changed)


def _now() -> float:
    return asyncio.get_running_loop().time()
