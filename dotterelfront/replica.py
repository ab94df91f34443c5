"""A VM's copy of the store's records.

Records come from the store and from other VMs, in any order. All carry revisions of one store, so
the later revision of a key wins and copies that saw the same changes are equal::

    replica = Replica()
    replica.merge(changes, now=3.0)       # keys that changed
    replica.since(411)                    # Changes for a VM that is complete up to 411

Pure: the time is passed in.
"""

import msgspec

from dotterelfront import fleetmodel

REMOVED_KEPT_S = 60.0
"""Removed keys are remembered for this long, longer than the store's history, so that an older
copy of the record from another VM does not bring the key back."""


class _Held(msgspec.Struct):
    record: fleetmodel.Record
    since: float


class Replica:
    """Records by key, complete up to ``revision``."""

    def __init__(self):
        self.revision = 0
        self._held: dict[str, _Held] = {}
        self._forgotten = 0
        """Highest revision of a removed key that is no longer remembered."""

    def get(self, key: str) -> bytes | None:
        held = self._held.get(key)
        return held.record.value if held else None

    def items(self, prefix: str) -> list[fleetmodel.Record]:
        """Returns the records that exist under a prefix, by key."""
        return [
            held.record
            for key, held in sorted(self._held.items())
            if key.startswith(prefix) and held.record.value is not None
        ]

    def merge(self, changes: fleetmodel.Changes, now: float) -> set[str]:
        """Takes changes that are complete from this copy's revision on; returns changed keys."""
        changed = set()
        for record in changes.records:
            held = self._held.get(record.key)
            if held is not None and held.record.revision >= record.revision:
                continue
            if held is None and record.revision <= self._forgotten:
                # Removed and forgotten; this copy would have it otherwise.
                continue
            if held is None or held.record.value != record.value:
                changed.add(record.key)
            self._held[record.key] = _Held(record, now)
        self.revision = max(self.revision, changes.revision)
        self._forget(now)
        return changed

    def replace(self, listing: fleetmodel.Changes, now: float) -> set[str]:
        """Takes a complete listing; keys that it lacks were removed by its revision at the latest.

        A key with a later revision than the listing's stays.
        """
        listed = {record.key for record in listing.records}
        gone = tuple(
            fleetmodel.Record(key, listing.revision, None)
            for key, held in self._held.items()
            if key not in listed and held.record.value is not None
        )
        # The listing may show keys that this copy missed, however old.
        forgotten, self._forgotten = self._forgotten, 0
        changed = self.merge(fleetmodel.Changes(listing.records + gone, listing.revision), now)
        self._forgotten = max(self._forgotten, forgotten)
        return changed

    def since(self, revision: int) -> fleetmodel.Changes | None:
        """Returns the changes after a revision; None when removals since then are forgotten."""
        if 0 < revision < self._forgotten:
            return None
        records = tuple(
            held.record for held in self._held.values() if held.record.revision > revision
        )
        return fleetmodel.Changes(records, self.revision)

    def _forget(self, now: float) -> None:
        for key, held in list(self._held.items()):
            if held.record.value is None and now - held.since > REMOVED_KEPT_S:
                self._forgotten = max(self._forgotten, held.record.revision)
                del self._held[key]
