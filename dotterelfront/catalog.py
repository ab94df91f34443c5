"""Backend servers that may receive requests, from the records of the store.

The module does no I/O, and the caller passes the time::

    catalog = Catalog(decode)
    catalog.update(records, trusted=True, now=3.0)
    catalog.instances(PoolName("orders"))    # instances in order of id, leaving ones included

A record that is removed while the store is available means that the server no longer runs. In a
store outage, the records of running servers expire too. These servers stay in use until the store
has been available for ``RECOVERY_S``, within which a running server writes its record again.
"""

import collections
from collections.abc import Callable, Iterable

import msgspec

from dotterelfront import errors, fleetmodel, models

RECOVERY_S = 2.0
"""Time after a store outage within which running servers have written their records again."""


class Report(msgspec.Struct, frozen=True):
    """Result of an update: the pools whose servers changed, and the keys of malformed records.

    ``withdrawn`` is set when a server that was active no longer is.
    """

    pools: frozenset[models.PoolName] = frozenset()
    unreadable: tuple[str, ...] = ()
    withdrawn: bool = False


class Catalog:
    """Instances by id. ``decode`` returns the instance of a record or raises ``RecordError``."""

    def __init__(self, decode: Callable[[str, bytes], fleetmodel.Instance]):
        self._decode = decode
        self._instances: dict[models.ServerId, fleetmodel.Instance] = {}
        self._by_key: dict[str, models.ServerId] = {}
        self._expired: dict[str, float] = {}
        """Time of removal, by key, of the records that were removed in a store outage."""
        self._by_pool: dict[models.PoolName, tuple[fleetmodel.Instance, ...]] = {}

    def get(self, server: models.ServerId) -> fleetmodel.Instance | None:
        return self._instances.get(server)

    def instances(self, pool: models.PoolName) -> tuple[fleetmodel.Instance, ...]:
        return self._by_pool.get(pool, ())

    def update(self, records: Iterable[fleetmodel.Record], trusted: bool, now: float) -> Report:
        """Applies changed records.

        ``trusted`` means that the store has been available for long enough, so that a removed
        record means that its server no longer runs.
        """
        unreadable, changed = [], False
        for record in records:
            if record.value is None:
                changed |= self._on_removed(record.key, trusted, now)
                continue
            self._expired.pop(record.key, None)
            try:
                changed |= self._upsert(record.key, self._decode(record.key, record.value))
            except errors.RecordError:
                unreadable.append(record.key)
                changed |= self._drop(record.key)
        return self._reindex(tuple(unreadable)) if changed else Report(unreadable=tuple(unreadable))

    def drop_expired(self, available_since: float | None, now: float) -> Report:
        """Drops servers that did not write their records again after an outage.

        ``available_since`` is None while the store is unavailable.
        """
        if available_since is None or now - available_since < RECOVERY_S:
            return Report()
        overdue_keys = [
            key
            for key, expired_at in self._expired.items()
            if now - max(expired_at, available_since) >= RECOVERY_S
        ]
        changed = False
        for key in overdue_keys:
            del self._expired[key]
            changed |= self._drop(key)
        return self._reindex() if changed else Report()

    def _on_removed(self, key: str, trusted: bool, now: float) -> bool:
        server = self._by_key.get(key)
        if server is None:
            return False
        leaving = self._instances[server].state is models.ServerState.LEAVING
        if trusted or leaving:
            self._expired.pop(key, None)
            return self._drop(key)
        self._expired.setdefault(key, now)
        return False

    def _upsert(self, key: str, instance: fleetmodel.Instance) -> bool:
        current = self._instances.get(instance.id)
        if current is not None and _is_older(instance, current):
            return False
        self._by_key[key] = instance.id
        self._instances[instance.id] = instance
        return current is None or _without_sequence(instance) != _without_sequence(current)

    def _drop(self, key: str) -> bool:
        server = self._by_key.pop(key, None)
        return self._instances.pop(server, None) is not None

    def _reindex(self, unreadable: tuple[str, ...] = ()) -> Report:
        """Rebuilds the instances by pool and returns what changed."""
        by_pool: dict[models.PoolName, list] = collections.defaultdict(list)
        for _, instance in sorted(self._instances.items()):
            by_pool[instance.pool].append(instance)
        old, self._by_pool = self._by_pool, {
            pool: tuple(instances) for pool, instances in by_pool.items()
        }
        names = old.keys() | self._by_pool.keys()
        return Report(
            frozenset(name for name in names if old.get(name) != self._by_pool.get(name)),
            unreadable,
            withdrawn=bool(_active_ids(old) - _active_ids(self._by_pool)),
        )


def _active_ids(
    by_pool: dict[models.PoolName, tuple[fleetmodel.Instance, ...]],
) -> set[models.ServerId]:
    active = models.ServerState.ACTIVE
    return {i.id for instances in by_pool.values() for i in instances if i.state is active}


def _is_older(instance: fleetmodel.Instance, current: fleetmodel.Instance) -> bool:
    """Whether an instance is of an earlier start, or of an earlier report of the same start."""
    return (instance.started_ms, instance.sequence) < (current.started_ms, current.sequence)


def _without_sequence(instance: fleetmodel.Instance) -> fleetmodel.Instance:
    return msgspec.structs.replace(instance, sequence=0)
