"""Differences between two versions of a large value, such as a configuration of many routes.

::

    parts = make_parts(old, new)          # (Copy(0, 4120), b'"timeout":"2s"}', Copy(4135, 90210))
    apply_parts(old, parts) == new

A value is compared in pieces that end with a closing brace, about one for each route. The module
does no I/O.
"""

import collections
import re
from collections.abc import Callable

import msgspec

from dotterelfront import errors, fleetmodel

LARGE_VALUE_BYTES = 4_000
"""Smaller values are sent whole."""
MAX_VALUE_BYTES = 16_000_000
"""Limit of a patched value; a store's value has at most one megabyte."""
MAX_PATCH_SHARE = 0.5
"""A patch whose new bytes exceed this share of the value is not worth the processor time."""
HISTORY_BYTES = 4_000_000
"""Limit of the earlier values that a VM keeps: four of the largest values of the store."""
_PIECE = re.compile(rb"[^}]*\}|[^}]+")


class Copy(msgspec.Struct, frozen=True, array_like=True):
    """A range of the old value, in bytes."""

    start: int
    length: int


Part = bytes | Copy


class Patch(msgspec.Struct, frozen=True, array_like=True):
    """A new version of a key, as its difference from the version at ``base_revision``."""

    key: str
    revision: int
    base_revision: int
    parts: tuple[Part, ...]


def make_parts(old: bytes, new: bytes) -> tuple[Part, ...]:
    """Returns parts from which ``apply_parts`` makes the new value."""
    start_by_piece = {match[0]: match.start() for match in _PIECE.finditer(old)}
    parts: list[Part] = []
    copied: Copy | None = None
    literal_start = 0
    for match in _PIECE.finditer(new):
        piece = match[0]
        if copied is not None and old.startswith(piece, copied.start + copied.length):
            copied = parts[-1] = Copy(copied.start, copied.length + len(piece))
        elif piece in start_by_piece:
            if copied is None and literal_start < match.start():
                parts.append(new[literal_start : match.start()])
            copied = Copy(start_by_piece[piece], len(piece))
            parts.append(copied)
        else:
            literal_start = match.start() if copied is not None else literal_start
            copied = None
    if copied is None and literal_start < len(new):
        parts.append(new[literal_start:])
    return tuple(parts)


def apply_parts(old: bytes, parts: tuple[Part, ...]) -> bytes:
    """Returns the new value; raises ``errors.MessageError`` if the parts do not fit the old one."""
    pieces, size = [], 0
    for part in parts:
        piece = _copied(old, part) if isinstance(part, Copy) else part
        size += len(piece)
        if size > MAX_VALUE_BYTES:
            raise errors.MessageError(f"patched value of more than {MAX_VALUE_BYTES} bytes")
        pieces.append(piece)
    return b"".join(pieces)


def _copied(old: bytes, part: Copy) -> bytes:
    end = part.start + part.length
    if not 0 <= part.start <= end <= len(old):
        raise errors.MessageError("a patch copies bytes beyond the end of the old value")
    return old[part.start : end]


class VersionHistory:
    """Earlier versions of large values, the newest ones up to ``HISTORY_BYTES``."""

    def __init__(self):
        self._versions: collections.deque[fleetmodel.Record] = collections.deque()
        self._size = 0

    def add(self, record: fleetmodel.Record) -> None:
        """Keeps a version that is being replaced, if its value is large."""
        if record.value is None or len(record.value) < LARGE_VALUE_BYTES:
            return
        self._versions.append(record)
        self._size += len(record.value)
        while self._size > HISTORY_BYTES:
            self._size -= len(self._versions.popleft().value)

    def version_at(self, key: str, revision: int) -> fleetmodel.Record | None:
        """Returns the newest kept version of a key up to a revision."""
        versions = [r for r in self._versions if r.key == key and r.revision <= revision]
        return max(versions, key=lambda record: record.revision, default=None)


def split(
    changes: fleetmodel.Changes,
    version_at: Callable[[str], fleetmodel.Record | None],
) -> tuple[fleetmodel.Changes, tuple[Patch, ...]]:
    """Replaces large records by patches; returns the other changes and the patches.

    ``version_at`` returns the version of a key that the receiver has, if it is known.
    """
    patch_by_key = {}
    for record in changes.records:
        if record.value is not None and len(record.value) >= LARGE_VALUE_BYTES:
            patch = _make_patch(record, version_at(record.key))
            if patch is not None:
                patch_by_key[record.key] = patch
    others = tuple(record for record in changes.records if record.key not in patch_by_key)
    return msgspec.structs.replace(changes, records=others), tuple(patch_by_key.values())


def _make_patch(record: fleetmodel.Record, base: fleetmodel.Record | None) -> Patch | None:
    if base is None:
        return None
    parts = make_parts(base.value, record.value)
    new_bytes = sum(len(part) for part in parts if isinstance(part, bytes))
    if new_bytes > MAX_PATCH_SHARE * len(record.value):
        return None
    return Patch(record.key, record.revision, base.revision, parts)
