"""Configuration revisions: canonical form, chunks, root, adoption rule and three-way merge.

The tables are split into chunks. The id of a chunk is the hash of its content, and a root lists the
chunk ids::

    chunks = split(tables)                                   # {chunk id: bytes}
    root = make_root(models.Revision(8), chunks, base=current_root)
    replica = Replica()
    replica.adopt(root, chunks)                              # replica.tables: revision 8

Entries are assigned to buckets by the hash of their name, so that one edit changes one or two
chunks.
"""

import enum
import hashlib
import operator
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from dotterelfront import errors, models, tables

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the store and a control message accept."""

BUCKETS = {"routes": 64, "pools": 64, "customers": 128}
"""Buckets per table; each bucket that is not empty becomes one chunk. At the target size a chunk
has 10 to 40 KB and the root 9 KB, so that a VM transfers about as many bytes for the root as for
the chunk when one entry changes."""

HISTORY_LENGTH = 16
"""Predecessors listed in a root. A publisher whose write got no reply looks for its edit there."""

RETAINED_ROOTS = 4
"""Newest roots whose chunks a VM retains, so that a slower neighbour can still pull them."""

ChunkId = str


class Root(msgspec.Struct, frozen=True):
    """Lists the chunks of one revision. ``digest`` covers the chunk ids, not the revision."""

    revision: models.Revision
    digest: str
    chunks: tuple[ChunkId, ...]
    history: tuple[tuple[models.Revision, str], ...] = ()


class Chunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """The entries of one bucket of one table."""

    routes: tuple[models.Route, ...] = ()
    pools: tuple[models.Pool, ...] = ()
    customers: tuple[models.Customer, ...] = ()


class _JoinedTable(msgspec.Struct, frozen=True):
    """One table with the ids of the chunks that it was joined from and the names of its entries."""

    chunks: tuple[ChunkId, ...]
    entries: tuple
    names: frozenset[str]


class AdoptionDecision(enum.Enum):
    """What a VM does with a root from the store or another VM, compared with the one in force."""

    ADOPT = "adopt"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


_encoder = msgspec.json.Encoder(order="sorted")
_root_decoder = msgspec.json.Decoder(Root)
_chunk_decoder = msgspec.json.Decoder(Chunk)


def split(content: models.Tables) -> dict[ChunkId, bytes]:
    """Returns the chunks of the tables, in the order in which a root lists them.

    Raises ``errors.ConfigurationError`` when a chunk is larger than the store accepts.
    """
    chunks = {}
    for table, count in BUCKETS.items():
        buckets: list[list] = [[] for _ in range(count)]
        for entry in getattr(content, table):
            buckets[int.from_bytes(_hash(entry.name.encode())) % count].append(entry)
        for bucket in filter(None, buckets):
            bucket.sort(key=lambda entry: entry.name)
            raw = _encoder.encode({table: bucket})
            if len(raw) > MAX_VALUE_BYTES:
                names = ", ".join(entry.name for entry in bucket[:3])
                raise errors.ConfigurationError(
                    f"{table} {names}...: {len(raw)} bytes, limit {MAX_VALUE_BYTES}"
                )
            chunks[chunk_id(raw)] = raw
    return chunks


def chunk_id(raw: bytes) -> ChunkId:
    return _hash(raw).hex()


def make_root(
    revision: models.Revision, chunks: Iterable[ChunkId], base: Root | None = None
) -> Root:
    """Returns the root of a new revision that replaces ``base``."""
    chunks = tuple(chunks)
    history = ((base.revision, base.digest), *base.history)[:HISTORY_LENGTH] if base else ()
    return Root(revision, _digest(chunks), chunks, history)


def encode_root(root: Root) -> bytes:
    return _encoder.encode(root)


def decode_root(raw: bytes) -> Root:
    """Decodes a root; raises ``errors.CorruptConfigurationError``."""
    try:
        root = _root_decoder.decode(raw)
    except msgspec.MsgspecError as exc:
        raise errors.CorruptConfigurationError(f"root: {exc}") from exc
    if root.revision < 1 or root.digest != _digest(root.chunks):
        raise errors.CorruptConfigurationError(
            f"root of revision {root.revision}: revision below 1 or wrong digest"
        )
    return root


def decode_chunk(expected_id: ChunkId, raw: bytes) -> Chunk:
    """Decodes a chunk; raises ``errors.CorruptConfigurationError`` if it has another id."""
    if chunk_id(raw) != expected_id:
        raise errors.CorruptConfigurationError(
            f"chunk {expected_id}: content does not match the id"
        )
    try:
        return _chunk_decoder.decode(raw)
    except msgspec.MsgspecError as exc:
        raise errors.CorruptConfigurationError(f"chunk {expected_id}: {exc}") from exc


def decide_adoption(current: Root | None, offered: Root) -> AdoptionDecision:
    """Applies the adoption rule: only a higher revision replaces the one in force."""
    if current is None or offered.revision > current.revision:
        return AdoptionDecision.ADOPT
    if offered.revision < current.revision:
        return AdoptionDecision.OLDER
    return AdoptionDecision.SAME if offered.digest == current.digest else AdoptionDecision.CONFLICT


class Replica:
    """The configuration of one VM. Performs no I/O."""

    def __init__(self):
        self.root: Root | None = None
        self.tables: models.Tables | None = None
        self._roots: list[Root] = []
        self._raw: dict[ChunkId, bytes] = {}
        self._decoded: dict[ChunkId, Chunk] = {}
        self._joined: dict[str, _JoinedTable] = {}

    def missing(self, root: Root) -> tuple[ChunkId, ...]:
        """Returns the ids of the chunks of a root that this VM does not hold."""
        return tuple(name for name in root.chunks if name not in self._raw)

    def chunk(self, name: ChunkId) -> bytes | None:
        return self._raw.get(name)

    def adopt(self, root: Root, chunks: Mapping[ChunkId, bytes]) -> AdoptionDecision:
        """Puts a root in force if the adoption rule allows it. ``chunks`` has the missing chunks.

        Raises ``errors.CorruptConfigurationError``, and changes nothing, when a chunk is missing or
        altered or when the tables are not valid.
        """
        decision = decide_adoption(self.root, root)
        if decision is not AdoptionDecision.ADOPT:
            return decision
        raw, decoded = {}, {}
        for name in root.chunks:
            if name in self._raw:
                raw[name], decoded[name] = self._raw[name], self._decoded[name]
            elif name in chunks:
                raw[name], decoded[name] = chunks[name], decode_chunk(name, chunks[name])
            else:
                raise errors.CorruptConfigurationError(f"chunk {name} is missing")
        joined = self._join(root, decoded)
        content = models.Tables(root.revision, **{k: table.entries for k, table in joined.items()})
        self._retain(root, raw, decoded)
        self._joined = joined
        self.tables = content
        self.root = root
        return decision

    def _join(self, root: Root, decoded: dict[ChunkId, Chunk]) -> dict[str, _JoinedTable]:
        """Joins the chunks into tables. Reuses a table in force whose chunks have not changed."""
        joined = {}
        for table in BUCKETS:
            chunk_ids = tuple(id_ for id_ in root.chunks if getattr(decoded[id_], table))
            old = self._joined.get(table)
            joined[table] = (
                old if old and old.chunks == chunk_ids else _join_table(table, chunk_ids, decoded)
            )
        problem = next(_check_changes(self._joined, joined), None)
        if problem:
            raise errors.CorruptConfigurationError(f"revision {root.revision}: {problem}")
        return joined

    def _retain(self, root: Root, raw: dict, decoded: dict) -> None:
        self._roots = [root, *self._roots][:RETAINED_ROOTS]
        chunk_ids = {id_ for retained in self._roots for id_ in retained.chunks}
        self._raw = _select(chunk_ids, self._raw | raw)
        self._decoded = _select(chunk_ids, self._decoded | decoded)


def assemble(root: Root, chunks: Mapping[ChunkId, bytes]) -> models.Tables:
    """Returns the tables of a root and its chunks; raises ``errors.CorruptConfigurationError``."""
    replica = Replica()
    replica.adopt(root, chunks)
    return replica.tables


class Conflict(msgspec.Struct, frozen=True):
    """An entry that two edits of one base changed differently; None on a side without the entry."""

    table: str
    name: str
    base: Any
    theirs: Any
    mine: Any


Changes = dict[tuple[str, str], tuple[Any, Any]]
"""Maps table and entry name to the entry before and after; None where it does not exist."""


def changes(before: models.Tables, after: models.Tables) -> Changes:
    """Returns the entries that differ, sorted by table and name."""
    old, new = _entries(before), _entries(after)
    return {
        key: (old.get(key), new.get(key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    }


def merge(
    base: models.Tables, theirs: models.Tables, mine: models.Tables
) -> tuple[models.Tables, tuple[Conflict, ...]]:
    """Returns ``theirs`` with the changes from ``base`` to ``mine``, and the conflicts.

    An entry in conflict keeps its value in ``theirs``. The merged tables are not validated.
    """
    merged = _entries(theirs)
    conflicts = []
    for key, (old, new) in changes(base, mine).items():
        current = merged.get(key)
        if current not in (old, new):
            conflicts.append(Conflict(*key, old, current, new))
        elif new is None:
            merged.pop(key, None)
        else:
            merged[key] = new
    entries: dict[str, list] = {table: [] for table in BUCKETS}
    for (table, _), entry in merged.items():
        entries[table].append(entry)
    return tables.from_entries(theirs.revision, **entries), tuple(conflicts)


def _entries(content: models.Tables) -> dict[tuple[str, str], Any]:
    return {(table, entry.name): entry for table in BUCKETS for entry in getattr(content, table)}


def _join_table(
    table: str, chunk_ids: tuple[ChunkId, ...], decoded: dict[ChunkId, Chunk]
) -> _JoinedTable:
    entries = [entry for id_ in chunk_ids for entry in getattr(decoded[id_], table)]
    entries.sort(key=operator.attrgetter("name"))
    return _JoinedTable(chunk_ids, tuple(entries), frozenset(entry.name for entry in entries))


def _check_changes(
    old: dict[str, _JoinedTable], new: dict[str, _JoinedTable]
) -> Iterator[tables.Finding]:
    """Yields the problems of the ``new`` tables. Skips the checks whose input is the same as in the
    ``old`` tables, which were valid."""
    routes, pools, customers = (new[table] for table in ("routes", "pools", "customers"))
    unchanged = {table for table in old if old[table] is new[table]}
    same_names = {table for table in old if old[table].names == new[table].names}
    if not ("routes" in unchanged and "pools" in same_names):
        yield from tables.check_routes(enumerate(routes.entries), pools.names)
    if not ("customers" in unchanged and "routes" in same_names):
        yield from tables.check_customers(enumerate(customers.entries), routes.names)
    if "pools" not in unchanged:
        yield from tables.check_pools(enumerate(pools.entries))


def _select(chunk_ids: set[ChunkId], chunks: dict[ChunkId, Any]) -> dict[ChunkId, Any]:
    return {id_: value for id_, value in chunks.items() if id_ in chunk_ids}


def _digest(chunks: Iterable[ChunkId]) -> str:
    return _hash("\n".join(chunks).encode()).hex()


def _hash(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=16).digest()
