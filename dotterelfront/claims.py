"""Maps callers' idempotency keys (``Idempotency-Key`` header) to operation tokens in the store.

A claim is a store entry that is created once and never changed. Its value is an operation token of
the VM that created it, so the rules of the token's ledger apply to the caller's key too::

    claims = Claims(store.StoreClient(url, timeout_s=0.5), time.time, time.monotonic)
    token = claims.resolve(customer, "order-17", new_token, fleet_size=48)
    # token == new_token, or the token of an earlier claim

A claim is deleted when it is older than ``RETENTION_S``. Its ``claimed_at`` is the time of its
creation in seconds since the epoch. After the deletion the key stands for a new operation. Each VM
deletes old claims under the prefixes for which it is first in rendezvous order.
"""

import contextlib
import threading
from collections.abc import Callable
from typing import Protocol

import msgspec

from dotterelfront import errors, models, operations, placement

PREFIX = "claims"
RETENTION_S = 3_600.0
"""Well above the 20 min for which the ledger records the claim's token, to tolerate differences
between the clocks of VMs."""
MAX_KEY_CHARS = 255
FLEET_CLAIMS_PER_S = 100.0
"""Maximum rate of claims of all VMs together. Each claim costs one write when it is created and one
when it is deleted. The store handles several hundred writes/s in total."""
BURST = 5.0
"""Number of claims that one VM may create or read at once."""
PREFIX_COUNT = 256
COLLECT_EVERY_S = 3_600.0
COLLECT_CALLS_PER_S = 400.0
"""Rate of store calls that all VMs together make to delete old claims. Each claim is read twice and
deleted once, which is 300 calls/s at ``FLEET_CLAIMS_PER_S``."""
MAX_CONCURRENT = 8
"""Maximum number of workers of one VM that wait for the store, as a slow store could block all."""


class Claim(msgspec.Struct, frozen=True):
    """Value of a claim in the store, as JSON."""

    token: models.OperationId
    claimed_at: float


class Store(Protocol):
    """The part of ``store.StoreClient`` that claims need."""

    def get(self, key: str): ...

    def put(self, key: str, value: bytes, if_version: int) -> int: ...

    def delete(self, key: str, if_version: int) -> None: ...

    def keys(self, prefix: str) -> dict[str, int]: ...


class RateLimit:
    """Token bucket: allows ``rate`` per second and ``burst`` at once. ``now`` is monotonic."""

    def __init__(self, burst: float):
        self._burst = burst
        self._available = burst
        self._updated = 0.0

    def try_acquire(self, rate: float, now: float) -> bool:
        self._available = min(self._burst, self._available + (now - self._updated) * rate)
        self._updated = now
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class Claims:
    """Creates and reads claims. ``wall`` and ``monotonic`` are clocks in seconds."""

    def __init__(self, store: Store, wall: Callable[[], float], monotonic: Callable[[], float]):
        self._store = store
        self._wall = wall
        self._monotonic = monotonic
        self._limit = RateLimit(BURST)
        self._limit_lock = threading.Lock()
        self._slots = threading.BoundedSemaphore(MAX_CONCURRENT)

    def resolve(
        self,
        customer: models.CustomerId,
        key: str,
        new_token: models.OperationId,
        fleet_size: int,
    ) -> models.OperationId:
        """Returns the token claimed by the caller's key; claims ``new_token`` if there is none yet.

        Raises ``errors.ClaimError`` if the claim cannot be determined, because an earlier delivery
        may have claimed the key, and ``errors.MalformedRequestError`` for a key of invalid length.
        """
        if not key or len(key) > MAX_KEY_CHARS:
            raise errors.MalformedRequestError(
                f"Idempotency-Key must have 1..{MAX_KEY_CHARS} chars"
            )
        with self._limit_lock:
            allowed = self._limit.try_acquire(
                FLEET_CLAIMS_PER_S / max(1, fleet_size), self._monotonic()
            )
        if not allowed:
            raise errors.ClaimError("rate limit of claims exceeded")
        if not self._slots.acquire(blocking=False):
            raise errors.ClaimError("too many requests wait for the store")
        try:
            return self._create_or_read(store_key(customer, key), new_token)
        except (errors.StoreError, msgspec.MsgspecError) as exc:
            raise errors.ClaimError(f"cannot create or read claim: {exc}") from exc
        finally:
            self._slots.release()

    def collect(self, prefix: str, pause: Callable[[], None]) -> None:
        """Deletes the old claims under one prefix; calls ``pause`` before each store call.

        Another VM may collect the same prefix. If it deletes a claim that is then created again,
        versions start over. Each claim is therefore read right before it is deleted.
        """
        pause()
        for path in self._store.keys(prefix):
            pause()
            entry = self._store.get(path)
            if entry is None:
                continue
            claim = msgspec.json.decode(entry.value, type=Claim)
            if claim.claimed_at + RETENTION_S <= self._wall():
                self._store.delete(path, entry.version)

    def collect_forever(
        self, vm: models.VmId, vms: Callable[[], tuple[models.Vm, ...]], stop: threading.Event
    ) -> None:
        """Deletes the old claims under this VM's prefixes every ``COLLECT_EVERY_S``."""

        def pause() -> None:
            stop.wait(min(PREFIX_COUNT, len(vms())) / COLLECT_CALLS_PER_S)

        while not stop.wait(COLLECT_EVERY_S):
            for prefix in own_prefixes(vm, vms()):
                # The next round retries prefixes that an outage or an unreadable claim interrupted.
                with contextlib.suppress(errors.StoreError, msgspec.MsgspecError):
                    self.collect(prefix, pause)

    def _create_or_read(self, path: str, new_token: models.OperationId) -> models.OperationId:
        claim = Claim(new_token, self._wall())
        try:
            self._store.put(path, msgspec.json.encode(claim), if_version=0)
        except (errors.StoreConflictError, errors.StoreUnavailableError):
            # The claim may exist, or a write without a reply may have taken effect: read it.
            entry = self._store.get(path)
            if entry is None:
                raise errors.ClaimError("claim was neither created nor found") from None
            return msgspec.json.decode(entry.value, type=Claim).token
        return new_token


def own_prefixes(vm: models.VmId, vms: tuple[models.Vm, ...]) -> list[str]:
    """Returns the prefixes that this VM collects."""
    prefixes = [f"{PREFIX}/{index:02x}/" for index in range(PREFIX_COUNT)]
    return [
        prefix for prefix in prefixes if vms and placement.rendezvous_order(prefix, vms)[0].id == vm
    ]


def store_key(customer: models.CustomerId, key: str) -> str:
    """Returns the store key of a claim; its first part spreads claims over 256 prefixes."""
    digest = operations.request_digest(customer, "", key, b"").hex()
    return f"{PREFIX}/{digest[:2]}/{digest[2:]}"
