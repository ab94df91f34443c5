"""The adoption rule, under arbitrary interleavings of events on a few VMs."""

import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import errors, publish, revisions
from tests import fakes

VMS = 3

VM = st.integers(0, VMS - 1)
SCRIPT = st.lists(st.sampled_from(["", "", "", "down", "lost"]), max_size=8)
DAMAGE = st.sampled_from(["", "", "", "cut", "missing", "altered"])
EVENTS = st.one_of(
    st.tuples(st.just("publish"), VM, SCRIPT),
    st.tuples(st.just("publish"), VM, st.just([])),
    st.tuples(st.just("read"), VM, DAMAGE),
    st.tuples(st.just("read"), VM, st.just("")),
    st.tuples(st.just("pull"), VM, VM),
    st.tuples(st.just("fetch"), VM, VM),
    st.tuples(st.just("restart"), VM),
    st.tuples(st.sampled_from(["snapshot", "restore"])),
    st.tuples(st.just("restore_and_read"), VM),
)


class SimulatedFleet:
    """A store, a few replicas, and the tables published under each root digest."""

    def __init__(self):
        self.client = fakes.FakeStore()
        self.saved_entries: dict = {}
        self.replicas = [revisions.Replica() for _ in range(VMS)]
        self.pending: list[revisions.Root | None] = [None] * VMS
        self.published: dict = {}
        self.edits = 0

    def publish(self, reachable: int, script: list) -> None:
        """Publishes an edit of an operator who reaches one VM; others may have a newer revision."""
        self.edits += 1
        replica = self.replicas[reachable]

        def edit(root, current):
            edited = fakes.with_rate(current, f"c{self.edits % 4}", self.edits)
            self.published[revisions.make_root(1, revisions.split(edited)).digest] = edited
            return edited

        fleet = publish.FleetConfiguration(
            replica.root, lambda names: {n: replica.chunk(n) for n in names}
        )
        self.client.script = list(script)
        with contextlib.suppress(errors.StoreError, errors.CorruptConfigurationError):
            publish.apply_edit(self.client, fleet, edit, publish.ForkBase.FLEET, lambda _: None)
        self.client.script = []

    def read(self, index: int, damage: str) -> None:
        """A VM reads the store; one chunk may arrive truncated, altered or not at all."""
        root = publish.read_root(self.client).root
        if root:
            chunks = publish.read_chunks(self.client, root.chunks)
            name = root.chunks[-1]
            if damage == "cut":
                chunks[name] = chunks[name][:-1]
            elif damage == "missing":
                del chunks[name]
            elif damage == "altered":
                chunks[name] = chunks[name].replace(b'"stock":', b'"stock":9')
            self.adopt(index, root, chunks)

    def pull(self, index: int, peer: int) -> None:
        """A VM pulls a root from a peer; ``fetch`` pulls the chunks later."""
        self.pending[index] = self.replicas[peer].root

    def fetch(self, index: int, peer: int) -> None:
        """A VM pulls the chunks of its pending root from any peer, which may lack some of them."""
        root = self.pending[index]
        if root:
            replies = {name: self.replicas[peer].chunk(name) for name in root.chunks}
            self.adopt(index, root, {name: raw for name, raw in replies.items() if raw})

    def adopt(self, index: int, root: revisions.Root, chunks: dict) -> None:
        replica = self.replicas[index]
        before = replica.root, replica.tables
        try:
            decision = replica.adopt(root, chunks)
        except errors.CorruptConfigurationError:
            decision = None
        if decision is not revisions.AdoptionDecision.ADOPT:
            assert (replica.root, replica.tables) == before

    def restart(self, index: int) -> None:
        self.replicas[index] = revisions.Replica()
        self.pending[index] = None

    def snapshot(self) -> None:
        self.saved_entries = dict(self.client.entries)

    def restore(self) -> None:
        self.client.entries = dict(self.saved_entries)

    def restore_and_read(self, index: int) -> None:
        self.restore()
        self.read(index, "")


@hypothesis.settings(max_examples=250)
@given(st.lists(EVENTS, min_size=30, max_size=60))
def test_revisions_never_go_back_and_tables_are_never_torn(events):
    """Guards against a VM that returns to an older revision, changes its tables within one revision
    or runs a mixture of two edits."""
    fleet = SimulatedFleet()
    for name, *args in events:
        before = [replica.root for replica in fleet.replicas]
        getattr(fleet, name)(*args)
        for old, replica in zip(before, fleet.replicas, strict=True):
            if old and replica.root:
                assert replica.root.revision >= old.revision
                if replica.root.revision == old.revision:
                    assert replica.root.digest == old.digest
            if replica.root:
                expected = fleet.published[replica.root.digest]
                revision = replica.root.revision
                assert replica.tables == msgspec.structs.replace(expected, revision=revision)


def test_replica_retains_chunks_of_recent_roots_only():
    """Guards against a VM that cannot serve the chunks of a recent revision to a slower neighbour,
    and against one that retains all chunks for ever."""
    replica, roots = revisions.Replica(), []
    for revision in range(1, revisions.RETAINED_ROOTS + 3):
        chunks = revisions.split(fakes.make_tables(a=revision))
        root = revisions.make_root(revision, chunks)
        replica.adopt(root, chunks)
        roots.append(root)
    retained = [root for root in roots if not replica.missing(root)]
    assert retained == roots[-revisions.RETAINED_ROOTS :]


@pytest.mark.parametrize("raw", [b"", b"{}", b'{"revision":1,"digest":"x","chunks":[]}'])
def test_broken_root_is_rejected(raw):
    """Guards against adopting a root that is incomplete or has a wrong digest."""
    with pytest.raises(errors.CorruptConfigurationError):
        revisions.decode_root(raw)


@pytest.mark.parametrize("emptied", ["pools", "routes"])
@pytest.mark.parametrize("after_valid", [False, True])
def test_invalid_tables_are_rejected(emptied, after_valid):
    """Guards against a VM that runs tables with dangling references, also when only the table that
    the reference points to has changed."""
    replica, content = revisions.Replica(), fakes.make_tables(a=1)
    if after_valid:
        chunks = revisions.split(content)
        replica.adopt(revisions.make_root(1, chunks), chunks)
    before = replica.tables
    chunks = revisions.split(msgspec.structs.replace(content, **{emptied: ()}))
    with pytest.raises(errors.CorruptConfigurationError):
        replica.adopt(revisions.make_root(2, chunks), chunks)
    assert replica.tables is before
