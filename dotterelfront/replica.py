"""A VM's copy of the store's records.

Records arrive from the store and from other VMs, in any order. Their revisions all come from one
store, so the record with the highest revision of a key wins, and copies that received the same
changes are equal::

    replica = Replica()
    replica.merge(changes, now=3.0)       # keys that changed
    replica.since(411)                    # Changes for a VM that is complete up to 411
    replica.replace(listing, now=9.0)     # applies a listing, or the whole copy of another VM

The module does no I/O, and the caller passes the time.
"""

from collections.abc import Iterable

import msgspec

from dotterelfront import errors, fleetmodel, record_patches

TOMBSTONE_TTL_S = 60.0
"""Time for which tombstones of removed keys are kept. It is longer than the store's history, so
that an outdated record from another VM does not restore a removed key."""


class _Entry(msgspec.Struct):
    record: fleetmodel.Record
    stored_at: float


class Replica:
    """Records by key, complete up to ``revision``."""

    def __init__(self):
        self.revision = 0
        self._entries: dict[str, _Entry] = {}
        self._history = record_patches.VersionHistory()
        self._purged_revision = 0
        """Highest revision of the purged tombstones."""
        self._listed_revision = 0
        """Revision of the last listing; keys that it lacks have no tombstone here."""
        self._revision_before_listing = 0

    def get(self, key: str) -> bytes | None:
        entry = self._entries.get(key)
        return entry.record.value if entry else None

    def items(self, prefix: str) -> list[fleetmodel.Record]:
        """Returns the records that exist under a prefix, sorted by key."""
        return [
            entry.record
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.record.value is not None
        ]

    def merge(self, changes: fleetmodel.Changes, now: float) -> set[str]:
        """Applies changes that leave no gap after ``revision``; returns the changed keys."""
        changed = set()
        for record in changes.records:
            entry = self._entries.get(record.key)
            if entry is not None and entry.record.revision >= record.revision:
                continue
            if entry is None and record.revision <= self._absent_until:
                continue
            if entry is None or entry.record.value != record.value:
                changed.add(record.key)
                if entry is not None:
                    self._history.add(entry.record)
            self._entries[record.key] = _Entry(record, now)
        self.revision = max(self.revision, changes.revision)
        self._purge_tombstones(now)
        return changed

    def replace(self, listing: fleetmodel.Changes, now: float) -> set[str]:
        """Applies a complete listing, or another complete copy; returns the changed keys.

        Keys that the listing lacks were removed at its revision or before. A key with a later
        revision than the listing's stays.
        """
        before = self.revision
        listed_keys = {record.key for record in listing.records}
        removals = tuple(
            fleetmodel.Record(key, listing.revision, None)
            for key, entry in self._entries.items()
            if key not in listed_keys and entry.record.value is not None
        )
        # The listing may have keys of any age that this copy missed.
        purged_revision, self._purged_revision = self._purged_revision, 0
        self._listed_revision = 0
        changed = self.merge(fleetmodel.Changes(listing.records + removals, listing.revision), now)
        self._purged_revision = max(self._purged_revision, purged_revision)
        self._listed_revision, self._revision_before_listing = listing.revision, before
        return changed

    def since(self, revision: int) -> fleetmodel.Changes | None:
        """Returns the changes after a revision, None if removals after it are not known.

        They are unknown if their tombstones were purged, or if a listing skipped them. Revision 0
        returns all records, from which ``replace`` makes a complete copy.
        """
        if 0 < revision < self._purged_revision:
            return None
        skipped = revision < self._listed_revision
        if skipped and revision not in (0, self._revision_before_listing):
            return None
        records = tuple(
            entry.record for entry in self._entries.values() if entry.record.revision > revision
        )
        return fleetmodel.Changes(records, self.revision, from_listing=skipped)

    def split_patches(
        self, after: int, changes: fleetmodel.Changes
    ) -> tuple[fleetmodel.Changes, tuple[record_patches.Patch, ...]]:
        """Replaces large records by patches for a copy that is complete up to ``after``."""
        return record_patches.split(changes, lambda key: self._history.version_at(key, after))

    def patched(self, patches: Iterable[record_patches.Patch]) -> tuple[fleetmodel.Record, ...]:
        """Returns the records that result from patches, without those that this copy has.

        Raises ``errors.BaseVersionError`` if this copy has another version than a patch needs.
        """
        records = []
        for patch in patches:
            entry = self._entries.get(patch.key)
            if entry is not None and entry.record.revision >= patch.revision:
                continue
            if entry is None or entry.record.revision != patch.base_revision:
                raise errors.BaseVersionError(f"{patch.key}: no version {patch.base_revision}")
            value = record_patches.apply_parts(entry.record.value or b"", patch.parts)
            records.append(fleetmodel.Record(patch.key, patch.revision, value))
        return tuple(records)

    @property
    def _absent_until(self) -> int:
        """Revision up to which a key that this copy lacks has been removed."""
        return max(self._purged_revision, self._listed_revision)

    def _purge_tombstones(self, now: float) -> None:
        for key, entry in list(self._entries.items()):
            if entry.record.value is None and now - entry.stored_at > TOMBSTONE_TTL_S:
                self._purged_revision = max(self._purged_revision, entry.record.revision)
                del self._entries[key]
