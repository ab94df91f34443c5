"""Which servers may get work, while records come, go, lapse and are spoiled."""

import pytest

from dotterelfront import catalog, errors, fleetmodel, models

POOL = models.PoolName("orders")


def instance(name="i-1", sequence=1, started_ms=0, state=models.ServerState.ACTIVE, pool=POOL):
    return fleetmodel.Instance(
        models.ServerId(name), "10.0.0.1:80", pool, "a", 4, state, sequence, 0.0, started_ms
    )


class Store:
    """Decodes records that the test names."""

    def __init__(self):
        self.decoded = {}

    def __call__(self, key, value):
        if value not in self.decoded:
            raise errors.RecordError(key)
        return self.decoded[value]

    def record(self, found, value=b"1"):
        self.decoded[value] = found
        return fleetmodel.Record(f"servers/{found.id}", 1, value)


GONE = fleetmodel.Record("servers/i-1", 2, None)


@pytest.fixture
def found():
    return Store()


@pytest.fixture
def known(found):
    known = catalog.Catalog(found)
    known.update([found.record(instance())], trusted=True, now=0.0)
    return known


def ids(known):
    return [found.id for found in known.instances(POOL)]


def test_a_record_that_vanishes_from_a_healthy_store_ends_the_server(known):
    """Guards against requests to servers that have left."""
    report = known.update([GONE], trusted=True, now=1.0)
    assert (ids(known), report.pools) == ([], {POOL})


def test_a_record_that_lapses_in_an_outage_is_kept_until_the_store_has_been_back(known):
    """Guards against an outage of the store that takes living servers out."""
    known.update([GONE], trusted=False, now=1.0)
    known.expire_lapsed(None, now=50.0)
    known.expire_lapsed(60.0, now=61.0)
    assert ids(known) == ["i-1"]
    known.expire_lapsed(60.0, now=60.0 + catalog.RETURN_S)
    assert ids(known) == []


def test_a_server_that_returns_after_an_outage_is_kept(known, found):
    """Guards against a server that is dropped although it has written its record again."""
    known.update([GONE], trusted=False, now=1.0)
    known.update([found.record(instance(sequence=2), b"2")], trusted=False, now=2.0)
    known.expire_lapsed(0.0, now=99.0)
    assert ids(known) == ["i-1"]


def test_a_leaving_server_whose_record_lapses_is_gone(known, found):
    """Guards against work for a server that said that it leaves."""
    leaving = instance(sequence=2, state=models.ServerState.LEAVING)
    known.update([found.record(leaving, b"2")], trusted=True, now=1.0)
    known.update([GONE], trusted=False, now=2.0)
    assert ids(known) == []


@pytest.mark.parametrize(
    ("sequence", "started_ms", "taken"),
    [(1, 0, False), (3, 0, False), (9, 5, False), (6, 10, True), (1, 20, True)],
)
def test_only_later_reports_and_starts_are_taken(known, found, sequence, started_ms, taken):
    """Guards against an old report, written late, that undoes a newer one."""
    newer = instance(sequence=5, started_ms=10, state=models.ServerState.LEAVING)
    known.update([found.record(newer, b"2")], trusted=True, now=1.0)
    old = instance(sequence=sequence, started_ms=started_ms)
    known.update([found.record(old, b"3")], trusted=True, now=2.0)
    assert (known.get("i-1") == old) is taken


def test_a_spoiled_record_names_no_server_and_harms_no_other(known, found):
    """Guards against another writer's bytes that end the use of the whole list."""
    other = found.record(instance("i-2"), b"2")
    spoiled = fleetmodel.Record("servers/i-1", 3, b"\xff")
    report = known.update([spoiled, other], trusted=True, now=1.0)
    assert (ids(known), report.unreadable) == (["i-2"], ("servers/i-1",))


@pytest.mark.parametrize(
    ("state", "expected"),
    [(models.ServerState.LEAVING, True), (models.ServerState.ACTIVE, False)],
)
def test_a_server_that_begins_to_leave_is_reported_as_withdrawn(known, found, state, expected):
    """Guards against a leaving server that VMs far from the store use for seconds."""
    record = found.record(instance(sequence=2, state=state), b"2")
    assert known.update([record], trusted=True, now=1.0).withdrawn is expected
    again = found.record(instance(sequence=3, state=state), b"3")
    assert not known.update([again], trusted=True, now=1.5).withdrawn
    assert known.update([GONE], trusted=True, now=2.0).withdrawn is not expected
