"""The VM's own record in the store, under a lease; a watcher also checks the store's health by it.

::

    registration = Registration(client, state, role, callbacks, rng)
    await registration.run()          # writes the record and renews its lease until cancelled
    await registration.withdraw()     # deletes the record; run must have been stopped
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from dotterelfront import errors, follow, logs, watch_role
from dotterelfront.platform import store

LEASE_S = 15.0
LEASE_RENEWAL_S = 5.0
"""The lease of the VM's record lasts for three renewal intervals. Failed calls reveal a stopped VM
sooner."""
WATCHER_RENEWAL_S = 0.5
"""Renewal interval of a watcher. A pending watch does not reveal that the store is failing, but a
failed or late renewal does."""
WATCHER_RENEWAL_TIMEOUT_S = 0.8
"""A renewal takes 4 ms, and 0.4 s on a store that is a hundred times slower."""
LATE_RENEWAL_S = 0.4
"""Time without a response to its renewal after which a watcher lets other VMs take over. A change
must be in force two seconds after the store accepted it, also if all watchers have lost the store.
"""
START_CHECK_S = 0.05
"""Interval of checks whether the record may be written."""


class Callbacks(msgspec.Struct, frozen=True):
    """Callbacks of a registration.

    ``may_start`` tells whether the record may be written. ``record`` returns its key and value.
    ``on_state_changed`` is called when the store's answers to a watcher begin or end.
    """

    may_start: Callable[[], bool]
    record: Callable[[], tuple[str, bytes]]
    on_state_changed: Callable[[], None]


class Registration:
    """The record of one VM and its lease."""

    def __init__(
        self,
        client: store.Client,
        state: follow.StoreState,
        role: watch_role.WatchRole,
        callbacks: Callbacks,
        rng: random.Random,
    ):
        self._client = client
        self._state = state
        self._role = role
        self._callbacks = callbacks
        self._rng = rng
        self._lease: int | None = None
        self._renewal_requested = asyncio.Event()

    async def run(self) -> None:
        """Writes the record and renews its lease until cancelled."""
        while not self._callbacks.may_start():
            await asyncio.sleep(START_CHECK_S)
        key, value = self._callbacks.record()
        written_under: int | None = None
        while True:
            self._renewal_requested.clear()
            started = _now()
            watches = self._role.should_watch(started)
            try:
                if self._lease is None:
                    self._lease = await self._client.lease(LEASE_S)
                if written_under != self._lease:
                    await self._client.put(key, value, self._lease)
                    written_under = self._lease
                elif not await self._renew_lease(watches):
                    self._lease = None
                    continue
                if watches:
                    self._on_store_answered()
            except errors.StoreRefusedError as exc:
                # The lease has ended before the record was written under it.
                self._lease = None
                logs.event("record not written", level="WARNING", error=str(exc))
            except errors.StoreError as exc:
                if watches:
                    self._state.failed(_now(), since=started)
                    self._callbacks.on_state_changed()
                logs.event("record not renewed", level="DEBUG", error=str(exc))
            interval_s = WATCHER_RENEWAL_S if watches else LEASE_RENEWAL_S
            await self._wait_for_renewal(interval_s * self._rng.uniform(0.9, 1.1))

    def request_renewal(self) -> None:
        """Renews the lease at once, to learn whether the store answers."""
        self._renewal_requested.set()

    async def withdraw(self) -> None:
        """Deletes the record; ``run`` must have been stopped.

        A write of it that is still on its way names the lease, so it has no effect once the lease
        is revoked.
        """
        lease, self._lease = self._lease, None
        try:
            if lease is not None:
                await self._client.revoke_lease(lease)
        except errors.StoreError as exc:
            logs.event("record not deleted", level="WARNING", error=str(exc))

    async def _renew_lease(self, watches: bool) -> bool:
        """Renews the lease; a watcher without a quick response lets other VMs take over."""
        timeout_s = WATCHER_RENEWAL_TIMEOUT_S if watches else store.CALL_TIMEOUT_S
        call = asyncio.ensure_future(self._client.renew_lease(self._lease, timeout_s))
        try:
            await asyncio.wait([call], timeout=LATE_RENEWAL_S)
            if watches and not call.done():
                self._state.on_late()
                self._callbacks.on_state_changed()
            return await call
        finally:
            call.cancel()

    async def _wait_for_renewal(self, interval_s: float) -> None:
        """Waits until the next renewal is due or requested."""
        try:
            async with asyncio.timeout(interval_s):
                await self._renewal_requested.wait()
        except TimeoutError:
            return

    def _on_store_answered(self) -> None:
        """Announces a watcher as soon as the store has answered it."""
        is_news = not self._state.confirmed
        self._state.succeeded(_now())
        if is_news:
            self._callbacks.on_state_changed()


def _now() -> float:
    return asyncio.get_running_loop().time()
