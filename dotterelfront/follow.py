"""Keeps a VM's copy of the store's records up to date, from the store and from other VMs.

One task a prefix lists its records once and then watches for changes. While the store cannot be
reached, the copy follows other VMs: each VM tells others the revisions that it has, and one that
has less pulls what it lacks.
"""

import asyncio
import random
from collections.abc import Callable

from dotterelfront import errors, fleetmodel, logs, replica
from dotterelfront.platform import store

WATCH_S = 20.0
"""Wait of one watch; the store allows 30 s."""
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.8
TROUBLE_S = 0.7
"""Calls that fail for this long mean that the store is in trouble; a watch that is cut does not."""

OnChange = Callable[[replica.Replica, set[str]], None]


class StoreState:
    """Since when the store has answered this VM; ``well_since`` is None while in trouble."""

    def __init__(self, now: float):
        self.well_since: float | None = now
        self._failing_since: float | None = None

    def succeeded(self, now: float) -> None:
        self._failing_since = None
        if self.well_since is None:
            self.well_since = now
            logs.event("store reached")

    def failed(self, now: float) -> None:
        if self._failing_since is None:
            self._failing_since = now
        if self.well_since is not None and now - self._failing_since >= TROUBLE_S:
            self.well_since = None
            logs.event("store lost", level="WARNING")

    def trusted(self, now: float, return_s: float) -> bool:
        """Whether a record that vanishes now means that its owner is gone."""
        return (
            self._failing_since is None
            and self.well_since is not None
            and now - self.well_since >= return_s
        )


class Follower:
    """Follows one prefix; ``on_change`` gets the keys that changed."""

    def __init__(
        self,
        client: store.Client,
        copy: replica.Replica,
        state: StoreState,
        on_change: OnChange,
        seed: int = 0,
    ):
        self._client = client
        self._copy = copy
        self._state = state
        self._on_change = on_change
        self._rng = random.Random(f"{seed} {copy.prefix}")
        self._listed = False

    @property
    def revision(self) -> int:
        return self._copy.revision

    def behind(self, revision: int) -> bool:
        """Whether another VM has changes that this copy should have had from the store by now."""
        return revision > self._copy.revision and self._state.well_since is None

    def since(self, revision: int) -> fleetmodel.Changes | None:
        return self._copy.since(revision)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        delay_s = BACKOFF_MIN_S
        while True:
            try:
                await self._step()
                delay_s = BACKOFF_MIN_S
            except errors.HistoryLostError:
                self._listed = False
            except errors.StoreError as exc:
                self._state.failed(asyncio.get_running_loop().time())
                logs.event("store call failed", level="DEBUG", error=str(exc))
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(BACKOFF_MAX_S, 2 * delay_s)

    def take(self, changes: fleetmodel.Changes) -> None:
        """Takes changes from another VM, complete from this copy's revision on."""
        self._report(self._copy.merge(changes, asyncio.get_running_loop().time()))

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        if self._listed:
            changes = await self._client.watch(self._copy.prefix, self._copy.revision, WATCH_S)
            self._state.succeeded(loop.time())
            self._report(self._copy.merge(changes, loop.time()))
        else:
            listing = await self._client.list_all(self._copy.prefix)
            self._state.succeeded(loop.time())
            self._listed = True
            self._report(self._copy.replace(listing, loop.time()))

    def _report(self, changed: set[str]) -> None:
        if changed:
            self._on_change(self._copy, changed)
