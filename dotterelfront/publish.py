"""Publishes a configuration to the store: first the chunks, then the root by compare-and-swap.

An edit is a function from the tables in force to new tables. If another operator publishes first,
the edit is applied again to the newest tables, so that no accepted edit is lost::

    result = apply_edit(client, fleet, edit=lambda root, current: with_server_leaving(current))
    result.outcome     # accepted, not accepted or unknown
"""

import enum
import time
from collections.abc import Callable, Iterable

import msgspec

from dotterelfront import errors, models, revisions, store, tables

ROOT_KEY = "config/root"
CHUNK_PREFIX = "config/chunk/"
UNUSED_MARK_PREFIX = "config/unused/"
"""The key ``{prefix}{chunk id}`` marks an unreferenced chunk. Its value is the Unix time in seconds
at which a sweep first found the chunk unreferenced."""

LAST_SWEEP_KEY = "config/swept"
"""The value of this key is the Unix time in seconds of the last sweep."""

SWEEP_INTERVAL_S = 3_600.0
UNUSED_RETENTION_S = 86_400.0
MAX_PUBLISH_S = 3_600.0
"""Longest time from the first chunk write to the root write. It is far below
``UNUSED_RETENTION_S``, so that no sweep deletes a chunk between its write and that of the root that
lists it."""

RACE_ATTEMPTS = 20
"""Attempts at an edit or a chunk write when concurrent writers win the compare-and-swap."""

ROOT_WRITE_ATTEMPTS = 6
ROOT_RETRY_DELAY_S = 0.25
EMPTY_TABLES = models.Tables(models.Revision(0), (), ())

Edit = Callable[[revisions.Root | None, models.Tables], models.Tables]


class EditConflictError(errors.ConfigurationError):
    """The base of this edit lacks an edit of another operator that has been accepted since.

    ``theirs`` and ``mine`` are the changes of the two edits since the base. ``conflicts`` are the
    entries that the two changed differently.
    """

    code = "EDIT_CONFLICT"

    def __init__(self, theirs, mine, conflicts):
        super().__init__("the configuration has changed since the base of this edit")
        self.theirs: revisions.Changes = theirs
        self.mine: revisions.Changes = mine
        self.conflicts: tuple[revisions.Conflict, ...] = tuple(conflicts)


class ForkedError(errors.ConfigurationError):
    """The store and the VMs have the same revision with different content."""

    code = "FORKED"


class Outcome(enum.Enum):
    """Whether an edit took effect, as far as the operator can tell."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class Result(msgspec.Struct, frozen=True):
    """Outcome of an edit.

    ``root`` is the root that was written or was to be written. ``lost_race`` is set when another
    edit was published first, so that this one can be retried on the newest tables.
    """

    outcome: Outcome
    root: revisions.Root | None
    detail: str = ""
    lost_race: bool = False


class StoredRoot(msgspec.Struct, frozen=True):
    """The root in the store and the version of its key; None and 0 when the store has no root."""

    root: revisions.Root | None
    version: int


class FleetConfiguration(msgspec.Struct, frozen=True):
    """The newest configuration that the VMs have. ``chunks`` fetches chunks from them by id."""

    root: revisions.Root | None = None
    chunks: Callable[[Iterable[str]], dict[str, bytes]] = lambda names: {}


class ForkBase(enum.Enum):
    """Which side becomes the base of an edit when store and fleet have forked."""

    NEITHER = "neither"
    STORE = "store"
    FLEET = "fleet"


def read_root(client: store.StoreClient) -> StoredRoot:
    entry = client.get(ROOT_KEY)
    return (
        StoredRoot(revisions.decode_root(entry.value), entry.version)
        if entry
        else StoredRoot(None, 0)
    )


def read_chunks(client: store.StoreClient, names: Iterable[str]) -> dict[str, bytes]:
    """Reads chunks by id; raises ``errors.CorruptConfigurationError`` when one does not exist."""
    chunks = {}
    for name in names:
        entry = client.get(CHUNK_PREFIX + name)
        if entry is None:
            raise errors.CorruptConfigurationError(f"chunk {name} is not in the store")
        chunks[name] = entry.value
    return chunks


def read_tables(client: store.StoreClient, root: revisions.Root | None) -> models.Tables:
    """Returns the tables of a root; empty tables for None."""
    return revisions.assemble(root, read_chunks(client, root.chunks)) if root else EMPTY_TABLES


def apply_edit(
    client: store.StoreClient,
    fleet: FleetConfiguration,
    edit: Edit,
    fork_base: ForkBase = ForkBase.NEITHER,
    pause: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.time,
) -> Result:
    """Applies ``edit`` to the newest configuration of store and fleet and publishes the result.

    Raises ``errors.StoreError`` when the store cannot be read, ``errors.InvalidTablesError`` when
    the edited tables are not valid, ``ForkedError`` when store and fleet have forked and
    ``fork_base`` is ``NEITHER``, and any exception of ``edit``. After an exception, the edit has
    not been accepted.
    """
    result = Result(Outcome.NOT_ACCEPTED, None)
    for _ in range(RACE_ATTEMPTS):
        result = _try_edit(client, fleet, edit, fork_base, pause, now)
        if not result.lost_race:
            break
    return result


def merge_edit(base: models.Tables, mine: models.Tables, allow_merge: bool) -> Edit:
    """Returns the edit that applies the changes from ``base`` to ``mine``.

    The edit raises ``EditConflictError`` when the tables in force differ from ``base`` and either
    ``allow_merge`` is false or the changes conflict.
    """

    def edit(root: revisions.Root | None, current: models.Tables) -> models.Tables:
        theirs = revisions.changes(base, current)
        if not theirs:
            return mine
        merged, conflicts = revisions.merge(base, current, mine)
        # An edit that is already in force, such as one with an unknown outcome, does not conflict.
        if revisions.changes(current, mine) and (conflicts or not allow_merge):
            raise EditConflictError(theirs, revisions.changes(base, mine), conflicts)
        return merged

    return edit


def publish(
    client: store.StoreClient,
    content: models.Tables,
    stored: StoredRoot,
    revision: models.Revision,
    pause: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.time,
) -> Result:
    """Writes the tables to the store as ``revision``, which replaces ``stored``."""
    chunks = revisions.split(content)
    root = revisions.make_root(revision, chunks, stored.root)
    return _publish_root(client, root, chunks, stored, pause, now)


def sweep(client: store.StoreClient, now: float) -> int:
    """Deletes chunks that have been unreferenced for ``UNUSED_RETENTION_S``; returns their number.

    A sweep deletes the mark of a chunk before the chunk, and a publisher deletes the mark before it
    writes the chunk. A concurrent step of the other therefore shows up as a version conflict.
    """
    listed = client.keys(CHUNK_PREFIX)
    marks = client.keys(UNUSED_MARK_PREFIX)
    root = read_root(client).root
    referenced = set(root.chunks) if root else set()
    deleted = 0
    for key, version in listed.items():
        name = key.removeprefix(CHUNK_PREFIX)
        mark = UNUSED_MARK_PREFIX + name
        if name not in referenced:
            deleted += _sweep_chunk(client, key, version, mark, now)
        elif mark in marks:
            _ignore_conflict(lambda mark=mark: client.delete(mark, marks[mark]))
    for mark, version in marks.items():
        if CHUNK_PREFIX + mark.removeprefix(UNUSED_MARK_PREFIX) not in listed:
            _ignore_conflict(lambda mark=mark, version=version: client.delete(mark, version))
    return deleted


def _sweep_chunk(client: store.StoreClient, key: str, version: int, mark: str, now: float) -> bool:
    """Marks an unreferenced chunk or deletes it when due; returns whether it was deleted."""
    entry = client.get(mark)
    if entry is None:
        _ignore_conflict(lambda: client.put(mark, str(int(now)).encode(), if_version=0))
        return False
    if now - int(entry.value) < UNUSED_RETENTION_S:
        return False
    return _ignore_conflict(lambda: client.delete(mark, entry.version)) and _ignore_conflict(
        lambda: client.delete(key, version)
    )


def _ignore_conflict(call: Callable[[], object]) -> bool:
    """Returns whether the call succeeded; false after a version conflict."""
    try:
        call()
    except errors.StoreConflictError:
        return False
    return True


def _try_edit(client, fleet, edit, fork_base, pause, now) -> Result:
    stored = read_root(client)
    if _fleet_is_base(stored.root, fleet.root, fork_base):
        result = _restore_from_fleet(client, fleet, stored, pause, now)
        if result.outcome is not Outcome.ACCEPTED:
            return result
        stored = read_root(client)
    current = read_tables(client, stored.root)
    content = edit(stored.root, current)
    problems = tables.check_tables(content)
    if problems:
        raise errors.InvalidTablesError(problems)
    if not revisions.changes(current, content) and stored.root and not _forked(stored, fleet):
        return Result(Outcome.ACCEPTED, stored.root, "no change")
    newest = max(root.revision if root else 0 for root in (stored.root, fleet.root))
    return publish(client, content, stored, models.Revision(newest + 1), pause, now)


def _forked(stored: StoredRoot, fleet: FleetConfiguration) -> bool:
    return (
        stored.root is not None
        and fleet.root is not None
        and revisions.decide_adoption(stored.root, fleet.root)
        is revisions.AdoptionDecision.CONFLICT
    )


def _fleet_is_base(
    stored: revisions.Root | None, fleet: revisions.Root | None, fork_base: ForkBase
) -> bool:
    """Returns whether the fleet's root is the base of the edit; raises ``ForkedError``."""
    if fleet is None:
        return False
    decision = revisions.decide_adoption(stored, fleet)
    if decision is not revisions.AdoptionDecision.CONFLICT:
        return decision is revisions.AdoptionDecision.ADOPT
    if fork_base is ForkBase.NEITHER:
        raise ForkedError(
            f"store and fleet have revision {fleet.revision} with different content; "
            "compare them with `show` and choose one with --take"
        )
    return fork_base is ForkBase.FLEET


def _restore_from_fleet(
    client, fleet: FleetConfiguration, stored: StoredRoot, pause, now
) -> Result:
    """Writes the fleet's newest configuration to a store that has an older or forked one."""
    chunks = fleet.chunks(fleet.root.chunks)
    revisions.assemble(fleet.root, chunks)
    return _publish_root(client, fleet.root, chunks, stored, pause, now)


def _publish_root(client, root, chunks, stored: StoredRoot, pause, now) -> Result:
    started = now()
    stored_chunks = set(stored.root.chunks) if stored.root else set()
    try:
        for name in root.chunks:
            if name not in stored_chunks:
                _write_chunk(client, name, chunks[name])
    except errors.StoreError as exc:
        return Result(Outcome.NOT_ACCEPTED, root, f"{exc.code}: {exc}")
    if now() - started > MAX_PUBLISH_S:
        return Result(Outcome.NOT_ACCEPTED, root, "writing the chunks took too long")
    return _write_root(client, root, stored, pause)


def _write_chunk(client: store.StoreClient, name: str, raw: bytes) -> None:
    """Writes a chunk. An existing chunk gets a new version, so that a concurrent sweep cannot
    delete it."""
    mark = client.get(UNUSED_MARK_PREFIX + name)
    if mark:
        _ignore_conflict(lambda: client.delete(UNUSED_MARK_PREFIX + name, mark.version))
    for _ in range(RACE_ATTEMPTS):
        entry = client.get(CHUNK_PREFIX + name)
        try:
            client.put(CHUNK_PREFIX + name, raw, if_version=entry.version if entry else 0)
            return
        except errors.StoreConflictError:
            continue
    raise errors.StoreConflictError(f"chunk {name}: concurrent writes prevent the write")


def _write_root(client, root: revisions.Root, stored: StoredRoot, pause) -> Result:
    """Writes the root by compare-and-swap. Retries the same write while its outcome is unknown."""
    raw = revisions.encode_root(root)
    unknown_reason = ""
    for attempt in range(ROOT_WRITE_ATTEMPTS):
        try:
            client.put(ROOT_KEY, raw, if_version=stored.version)
            return Result(Outcome.ACCEPTED, root)
        except errors.StoreConflictError as exc:
            if not unknown_reason:
                return Result(Outcome.NOT_ACCEPTED, root, str(exc), lost_race=True)
            result = _find_written_root(client, root, stored)
            if result:
                return result
        except errors.StoreRefusedError as exc:
            if not unknown_reason:
                return Result(Outcome.NOT_ACCEPTED, root, f"{exc.code}: {exc}")
        except errors.StoreUnavailableError as exc:
            unknown_reason = f"{exc.code}: {exc}"
        if attempt + 1 < ROOT_WRITE_ATTEMPTS:
            pause(ROOT_RETRY_DELAY_S * 2**attempt)
    return Result(Outcome.UNKNOWN, root, unknown_reason)


def _find_written_root(client, root: revisions.Root, stored: StoredRoot) -> Result | None:
    """Determines the outcome of a root write whose reply was lost; None if the store fails.

    The store now has another version than the write expects, so the write cannot succeed later.
    """
    try:
        current = read_root(client).root
    except errors.StoreUnavailableError:
        return None
    lineage = ((current.revision, current.digest), *current.history) if current else ()
    if (root.revision, root.digest) in lineage:
        detail = "" if current.revision == root.revision else f"replaced by {current.revision}"
        return Result(Outcome.ACCEPTED, root, detail)
    if stored.root and (stored.root.revision, stored.root.digest) not in lineage:
        return Result(Outcome.UNKNOWN, root, "the base of the edit is not in the store's history")
    if current is None or (
        stored.root is None and len(current.history) >= revisions.HISTORY_LENGTH
    ):
        return Result(Outcome.UNKNOWN, root, "the store no longer has the base of the edit")
    return Result(Outcome.NOT_ACCEPTED, root, "another edit was published first", lost_race=True)


def sweep_if_due(client: store.StoreClient, now: float) -> int:
    """Sweeps unless any operator did so within ``SWEEP_INTERVAL_S``; returns the number of deleted
    chunks."""
    entry = client.get(LAST_SWEEP_KEY)
    if entry and now - int(entry.value) < SWEEP_INTERVAL_S:
        return 0
    value = str(int(now)).encode()
    if not _ignore_conflict(
        lambda: client.put(LAST_SWEEP_KEY, value, entry.version if entry else 0)
    ):
        return 0
    return sweep(client, now)


class UnknownServerError(errors.ConfigurationError):
    """No pool contains the server."""

    code = "UNKNOWN_SERVER"


def replace_edit(mine: models.Tables) -> Edit:
    """Returns the edit that replaces the tables in force, whatever they are.

    Their state at the first call is the base. The edit raises ``EditConflictError`` when another
    operator changes the tables before a later call.
    """
    tables_seen: list[models.Tables] = []

    def edit(root: revisions.Root | None, current: models.Tables) -> models.Tables:
        tables_seen.append(current)
        return merge_edit(tables_seen[0], mine, allow_merge=False)(root, current)

    return edit


def server_edit(address: models.ServerId, state: models.ServerState) -> Edit:
    """Returns the edit that sets the state of a server; raises ``UnknownServerError``."""

    def edit(root: revisions.Root | None, current: models.Tables) -> models.Tables:
        pools = tuple(_with_state(pool, address, state) for pool in current.pools)
        if not any(server.address == address for pool in pools for server in pool.servers):
            raise UnknownServerError(f"no pool has a server {address}")
        return msgspec.structs.replace(current, pools=pools)

    return edit


def _with_state(pool: models.Pool, address: models.ServerId, state) -> models.Pool:
    servers = tuple(
        msgspec.structs.replace(server, state=state) if server.address == address else server
        for server in pool.servers
    )
    return msgspec.structs.replace(pool, servers=servers)
