"""Keeps a VM's copy of the store's records up to date, from the store or from other VMs.

A VM gets a copy of all records when it starts (``first_copy``). After that, the watchers of its
zone (``watch_role``) watch the store and push changes to the other VMs of the zone. A VM that
learns of a later revision on another VM pulls the changes from it. A VM without access to the store
thus follows the others, and they follow it.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec

from dotterelfront import errors, fleetmodel, logs, models, record_patches, replica, watch_role
from dotterelfront.platform import store

ALL_KEYS_PREFIX = ""
"""The empty prefix matches all keys: one watch covers configuration, servers and VMs."""
WATCH_WAIT_MIN_S = 1.2
WATCH_WAIT_MARGIN_S = 0.8
"""A watch waits for this much less than the time in which a change must be in force, since the
store may drop a waiting watch and leave its connection open."""
BATCH_S = 0.15
"""Pause between two watches, which batches changes and so limits the number of store calls."""
ROLE_CHECK_S = 0.1
"""Interval at which a VM that does not watch checks whether it should."""
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.8
"""Bounds of the backoff after failed calls. The longest pause leaves time for a retry within the
2 s in which a change must be in force."""
ZONE_LAG_LIMIT_S = 0.8
"""Time within which the watchers of the own zone should have pushed a change that another zone
already has. After that, this VM pulls the change from the other zone."""
WATCH_CHECK_S = 0.2
"""Interval at which a waiting watch checks whether this VM should still watch."""
OUTAGE_AFTER_S = 0.7
"""The store counts as unavailable once calls have failed for this long. A single watch whose
connection breaks does not count."""


class StoreState:
    """Tracks since when the store has been available, from this VM's calls and watchers' reports.

    The store counts as available while any of these sources says so. A VM that alone loses its
    connection to the store must not mistake removed records for records that expired in an outage,
    and neither must the VMs that receive its reports.
    """

    def __init__(self, now: float):
        self._own_available_since: float | None = now
        self._failing_since: float | None = None
        self._last_success = now
        self.confirmed = False
        """Whether this VM's latest own call succeeded, and none is late. Only then may other VMs
        rely on it to watch the store."""
        self._reports: dict[models.VmId, tuple[float, float]] = {}
        """For each watcher: since when the store has been available, and the time of the report."""

    @property
    def reachable(self) -> bool:
        """Whether this VM's own calls, if it makes any, succeed."""
        return self._own_available_since is not None

    def succeeded(self, now: float) -> None:
        """Records a successful call."""
        self._failing_since = None
        self._last_success = now
        self.confirmed = True
        if self._own_available_since is None:
            self._own_available_since = now
            logs.event("store available again")

    def failed(self, now: float, since: float | None = None) -> None:
        """Records a failed call that began at ``since``."""
        self.confirmed = False
        # An earlier call may fail later than a call that began after it.
        started = max(self._last_success, now if since is None else since)
        if self._failing_since is None or started < self._failing_since:
            self._failing_since = started
        if self._own_available_since is not None and now - self._failing_since >= OUTAGE_AFTER_S:
            self._own_available_since = None
            logs.event("store unavailable", level="WARNING")

    def on_late(self) -> None:
        """Records that a call takes unusually long; it may still succeed."""
        self.confirmed = False

    def on_report(
        self, watcher: models.VmId, available_s: float, watches: bool, now: float
    ) -> None:
        """Records a watcher's report that the store has been available for ``available_s``.

        ``watches`` states whether this VM watches. A VM that does not watch adopts the reports,
        because it seldom calls the store.
        """
        self._reports[watcher] = (now - available_s, now)
        if not watches:
            self._failing_since = None
            self.confirmed = False
            self._own_available_since = min(self._recent_reports(now))

    def own_available_s(self, now: float) -> float | None:
        """Returns for how long this VM's own calls have succeeded, None while they fail."""
        return None if self._own_available_since is None else now - self._own_available_since

    def available_since(self, now: float) -> float | None:
        """Returns since when the store has been available, None while no source says so."""
        since_times = self._recent_reports(now)
        if self._own_available_since is not None:
            since_times.append(self._own_available_since)
        return min(since_times, default=None)

    def removals_trusted(self, now: float, recovery_s: float) -> bool:
        """Whether the removal of a record now means that its owner no longer runs.

        This needs a store that has been available for at least ``recovery_s``.
        """
        if self._failing_since is not None and not self._recent_reports(now):
            return False
        since = self.available_since(now)
        return since is not None and now - since >= recovery_s

    def _recent_reports(self, now: float) -> list[float]:
        for watcher, (_, received_at) in list(self._reports.items()):
            if now - received_at > watch_role.HEARTBEAT_TIMEOUT_S:
                del self._reports[watcher]
        return [since for since, _ in self._reports.values()]


class Callbacks(msgspec.Struct, frozen=True):
    """Callbacks of a follower.

    ``on_changed`` gets the keys that changed. ``on_watched`` gets a revision after which changes
    came from the store, to push them to other VMs; it must not wait. ``check_store`` is called when
    the VM starts to watch, and when a call of it fails; it asks for a call that tells at once
    whether the store answers.
    """

    on_changed: Callable[[set[str]], None]
    on_watched: Callable[[int], None]
    check_store: Callable[[], None]


class StoreFollower:
    """Keeps one VM's copy of all records up to date."""

    def __init__(
        self,
        client: store.Client,
        state: StoreState,
        role: watch_role.WatchRole,
        callbacks: Callbacks,
        list_due: Callable[[float], bool] = lambda now: True,
        compact: Callable[[fleetmodel.Record], fleetmodel.Record] = lambda record: record,
        watch_wait_s: float = WATCH_WAIT_MIN_S,
        seed: int = 0,
    ):
        self.local_copy = replica.Replica()
        self.is_complete = False
        """Whether the copy is based on a full listing, its own or one from another VM."""
        self._watching = False
        self._lagging_since: float | None = None
        self._client = client
        self._state = state
        self._role = role
        self._callbacks = callbacks
        self._list_due = list_due
        """Whether to list the records now while the copy is not complete."""
        self._compact = compact
        """Reduces a record from the store to what the VMs of the fleet need."""
        self._watch_wait_s = watch_wait_s
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        delay_s = BACKOFF_MIN_S
        while True:
            try:
                await self._step()
                delay_s = BACKOFF_MIN_S
            except errors.HistoryLostError:
                self.is_complete = False
                logs.event("store history lost", revision=self.local_copy.revision)
            except errors.StoreError as exc:
                self._state.failed(_now())
                if self._watching:
                    self._callbacks.check_store()
                logs.event("store call failed", level="DEBUG", error=str(exc))
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(BACKOFF_MAX_S, 2 * delay_s)

    def apply_changes(
        self,
        after: int,
        changes: fleetmodel.Changes,
        patches: Iterable[record_patches.Patch] = (),
    ) -> bool:
        """Applies changes from another VM; returns False when this copy lacks earlier changes.

        Changes after revision 0 are the whole copy of the other VM. It replaces this one, so that
        keys which were removed long ago are removed here too, unless it is older than this one.
        Raises ``errors.BaseVersionError`` if a patch does not fit this copy; nothing is applied.
        """
        revision = self.local_copy.revision
        is_whole = after == 0
        skips = changes.from_listing and after < revision < changes.revision
        if is_whole and changes.revision < revision or not is_whole and (after > revision or skips):
            return False
        patched = self.local_copy.patched(patches)
        changes = msgspec.structs.replace(changes, records=changes.records + patched)
        self.is_complete = True
        self._lagging_since = None
        apply = self.local_copy.replace if is_whole else self.local_copy.merge
        self._notify_changed(apply(changes, _now()))
        return True

    def changes_for(self, after: int) -> tuple[int, fleetmodel.Changes] | None:
        """Returns the changes for a VM that is complete up to a revision, and their start revision.

        If removals after that revision are not known, this is the whole copy, from revision 0.
        Returns None while this copy is not complete.
        """
        if not self.is_complete:
            return None
        changes = self.local_copy.since(after)
        return (0, self.local_copy.since(0)) if changes is None else (after, changes)

    def should_pull(self, revision: int, same_zone: bool) -> bool:
        """Whether to pull from a VM that has changes up to ``revision``.

        Watchers of the own zone push changes sooner than pings from other zones announce them, and
        traffic between zones is costly. A VM therefore pulls from another zone only while the
        store counts as unavailable or its own zone lags behind.
        """
        if revision <= self.local_copy.revision:
            self._lagging_since = None
            return False
        now = _now()
        if same_zone or self._state.available_since(now) is None:
            return True
        if self._lagging_since is None:
            self._lagging_since = now
        return now - self._lagging_since >= ZONE_LAG_LIMIT_S

    async def _step(self) -> None:
        if not self.is_complete:
            if self._list_due(_now()):
                await self._list()
            else:
                await asyncio.sleep(ROLE_CHECK_S)
        elif self._should_watch():
            self._set_watching(True)
            await self._watch()
        else:
            self._set_watching(False)
            await asyncio.sleep(ROLE_CHECK_S)

    def _set_watching(self, watching: bool) -> None:
        if watching != self._watching:
            self._watching = watching
            logs.event(
                "store watch started" if watching else "store watch ended",
                revision=self.local_copy.revision,
            )
            if watching:
                self._callbacks.check_store()

    async def _list(self) -> None:
        """Lists all records; a watcher that lost the store's history pushes what it missed."""
        after = self.local_copy.revision
        listing = self._compacted(await self._client.list_all(ALL_KEYS_PREFIX))
        self._state.succeeded(_now())
        self.is_complete = True
        self._notify_changed(self.local_copy.replace(listing, _now()))
        if self._watching:
            self._callbacks.on_watched(after)

    def _should_watch(self) -> bool:
        return self._role.should_watch(_now()) and self._state.reachable

    async def _watch(self) -> None:
        after = self.local_copy.revision
        call = asyncio.ensure_future(self._client.watch(ALL_KEYS_PREFIX, after, self._watch_wait_s))
        try:
            while not call.done() and self._should_watch():
                await asyncio.wait([call], timeout=WATCH_CHECK_S)
        finally:
            call.cancel()
        if not call.done():
            return
        changes = self._compacted(call.result())
        self._state.succeeded(_now())
        self._notify_changed(self.local_copy.merge(changes, _now()))
        if changes.records:
            self._callbacks.on_watched(after)
            await asyncio.sleep(BATCH_S)

    def _compacted(self, changes: fleetmodel.Changes) -> fleetmodel.Changes:
        records = tuple(self._compact(record) for record in changes.records)
        return msgspec.structs.replace(changes, records=records)

    def _notify_changed(self, keys: set[str]) -> None:
        if keys:
            self._callbacks.on_changed(keys)


def watch_wait_s(apply_s: float) -> float:
    """Returns the wait of a watch for changes that must be in force after ``apply_s``."""
    return max(WATCH_WAIT_MIN_S, apply_s - WATCH_WAIT_MARGIN_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
