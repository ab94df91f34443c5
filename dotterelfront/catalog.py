"""Backend servers that may get work, from the records of the store.

Pure::

    catalog = Catalog(decode)
    catalog.update(records, trusted=True, now=3.0)
    catalog.instances(PoolName("orders"))    # instances in order of id, leaving ones included

A record that vanishes while the store is well means that the server is gone. While the store is in
trouble, records of living servers lapse; they are kept in use until the store has been well for
``RETURN_S``, in which a living server writes its record again.
"""

import collections
from collections.abc import Callable, Iterable

import msgspec

from dotterelfront import errors, fleetmodel, models

RETURN_S = 2.0
"""Time after the end of a store outage in which the records of living servers are back."""


class Report(msgspec.Struct, frozen=True):
    """What an update changed: pools with other servers, and records that could not be read.

    ``withdrawn`` says whether a server that got work may get no more.
    """

    pools: frozenset[models.PoolName] = frozenset()
    unreadable: tuple[str, ...] = ()
    withdrawn: bool = False


class Catalog:
    """Instances by id. ``decode`` turns a record into an instance or raises ``RecordError``."""

    def __init__(self, decode: Callable[[str, bytes], fleetmodel.Instance]):
        self._decode = decode
        self._instances: dict[models.ServerId, fleetmodel.Instance] = {}
        self._by_key: dict[str, models.ServerId] = {}
        self._lapsed: dict[str, float] = {}
        """Keys of records that vanished while the store was in trouble, with the time."""
        self._by_pool: dict[models.PoolName, tuple[fleetmodel.Instance, ...]] = {}

    def get(self, server: models.ServerId) -> fleetmodel.Instance | None:
        return self._instances.get(server)

    def instances(self, pool: models.PoolName) -> tuple[fleetmodel.Instance, ...]:
        return self._by_pool.get(pool, ())

    def update(self, records: Iterable[fleetmodel.Record], trusted: bool, now: float) -> Report:
        """Takes changed records; ``trusted`` says whether the store is well and has been."""
        unreadable, changed = [], False
        for record in records:
            if record.value is None:
                changed |= self._vanished(record.key, trusted, now)
                continue
            self._lapsed.pop(record.key, None)
            try:
                changed |= self._take(record.key, self._decode(record.key, record.value))
            except errors.RecordError:
                unreadable.append(record.key)
                changed |= self._drop(record.key)
        return self._index(tuple(unreadable)) if changed else Report(unreadable=tuple(unreadable))

    def expire_lapsed(self, well_since: float | None, now: float) -> Report:
        """Drops servers whose records are not back; ``well_since`` is None while in trouble."""
        if well_since is None or now - well_since < RETURN_S:
            return Report()
        due = [key for key, at in self._lapsed.items() if now - max(at, well_since) >= RETURN_S]
        changed = False
        for key in due:
            del self._lapsed[key]
            changed |= self._drop(key)
        return self._index() if changed else Report()

    def _vanished(self, key: str, trusted: bool, now: float) -> bool:
        server = self._by_key.get(key)
        if server is None:
            return False
        leaving = self._instances[server].state is models.ServerState.LEAVING
        if trusted or leaving:
            self._lapsed.pop(key, None)
            return self._drop(key)
        self._lapsed.setdefault(key, now)
        return False

    def _take(self, key: str, found: fleetmodel.Instance) -> bool:
        held = self._instances.get(found.id)
        if held is not None and _older(found, held):
            return False
        self._by_key[key] = found.id
        self._instances[found.id] = found
        return held is None or _without_sequence(found) != _without_sequence(held)

    def _drop(self, key: str) -> bool:
        server = self._by_key.pop(key, None)
        return self._instances.pop(server, None) is not None

    def _index(self, unreadable: tuple[str, ...] = ()) -> Report:
        fresh: dict[models.PoolName, list] = collections.defaultdict(list)
        for _, instance in sorted(self._instances.items()):
            fresh[instance.pool].append(instance)
        old, self._by_pool = self._by_pool, {pool: tuple(found) for pool, found in fresh.items()}
        names = old.keys() | self._by_pool.keys()
        return Report(
            frozenset(name for name in names if old.get(name) != self._by_pool.get(name)),
            unreadable,
            withdrawn=bool(_active(old) - _active(self._by_pool)),
        )


def _active(
    by_pool: dict[models.PoolName, tuple[fleetmodel.Instance, ...]],
) -> set[models.ServerId]:
    active = models.ServerState.ACTIVE
    return {i.id for instances in by_pool.values() for i in instances if i.state is active}


def _older(found: fleetmodel.Instance, held: fleetmodel.Instance) -> bool:
    """Whether a record is of an earlier start, or an earlier report of the same start."""
    return (found.started_ms, found.sequence) < (held.started_ms, held.sequence)


def _without_sequence(instance: fleetmodel.Instance) -> fleetmodel.Instance:
    return msgspec.structs.replace(instance, sequence=0)
