"""Servers that may receive requests, while records are added, removed, expired or malformed."""

import pytest

from dotterelfront import catalog, errors, fleetmodel, models

POOL = models.PoolName("orders")


def instance(name="i-1", sequence=1, started_ms=0, state=models.ServerState.ACTIVE, pool=POOL):
    return fleetmodel.Instance(
        models.ServerId(name), "10.0.0.1:80", pool, "a", 4, state, sequence, 0.0, started_ms
    )


class FakeDecoder:
    """Decodes only the records that the test has registered."""

    def __init__(self):
        self.decoded = {}

    def __call__(self, key, value):
        if value not in self.decoded:
            raise errors.RecordError(key)
        return self.decoded[value]

    def record(self, decoded_instance, value=b"1"):
        self.decoded[value] = decoded_instance
        return fleetmodel.Record(f"servers/{decoded_instance.id}", 1, value)


REMOVED = fleetmodel.Record("servers/i-1", 2, None)


@pytest.fixture
def decoder():
    return FakeDecoder()


@pytest.fixture
def server_catalog(decoder):
    server_catalog = catalog.Catalog(decoder)
    server_catalog.update([decoder.record(instance())], trusted=True, now=0.0)
    return server_catalog


def ids(server_catalog):
    return [server.id for server in server_catalog.instances(POOL)]


def test_record_removed_while_the_store_is_available_drops_the_server(server_catalog):
    """Guards against requests to servers that have left."""
    report = server_catalog.update([REMOVED], trusted=True, now=1.0)
    assert (ids(server_catalog), report.pools) == ([], {POOL})


def test_record_expired_in_an_outage_is_kept_until_the_store_has_recovered(server_catalog):
    """Guards against a store outage that takes running servers out of use."""
    server_catalog.update([REMOVED], trusted=False, now=1.0)
    server_catalog.drop_expired(None, now=50.0)
    server_catalog.drop_expired(60.0, now=61.0)
    assert ids(server_catalog) == ["i-1"]
    server_catalog.drop_expired(60.0, now=60.0 + catalog.RECOVERY_S)
    assert ids(server_catalog) == []


def test_server_that_writes_its_record_again_after_an_outage_is_kept(server_catalog, decoder):
    """Guards against a server that is dropped although it wrote its record again."""
    server_catalog.update([REMOVED], trusted=False, now=1.0)
    server_catalog.update([decoder.record(instance(sequence=2), b"2")], trusted=False, now=2.0)
    server_catalog.drop_expired(0.0, now=99.0)
    assert ids(server_catalog) == ["i-1"]


def test_leaving_server_whose_record_expires_is_dropped(server_catalog, decoder):
    """Guards against requests to a server that announced that it leaves."""
    leaving = instance(sequence=2, state=models.ServerState.LEAVING)
    server_catalog.update([decoder.record(leaving, b"2")], trusted=True, now=1.0)
    server_catalog.update([REMOVED], trusted=False, now=2.0)
    assert ids(server_catalog) == []


@pytest.mark.parametrize(
    ("sequence", "started_ms", "applied"),
    [(1, 0, False), (3, 0, False), (9, 5, False), (6, 10, True), (1, 20, True)],
)
def test_only_later_reports_and_starts_are_applied(
    server_catalog, decoder, sequence, started_ms, applied
):
    """Guards against an old report that is written late and overrides a newer one."""
    newer = instance(sequence=5, started_ms=10, state=models.ServerState.LEAVING)
    server_catalog.update([decoder.record(newer, b"2")], trusted=True, now=1.0)
    report = instance(sequence=sequence, started_ms=started_ms)
    server_catalog.update([decoder.record(report, b"3")], trusted=True, now=2.0)
    assert (server_catalog.get("i-1") == report) is applied


def test_malformed_record_drops_its_server_and_no_other(server_catalog, decoder):
    """Guards against corrupt bytes in one record that make the whole list unusable."""
    other = decoder.record(instance("i-2"), b"2")
    malformed = fleetmodel.Record("servers/i-1", 3, b"\xff")
    report = server_catalog.update([malformed, other], trusted=True, now=1.0)
    assert (ids(server_catalog), report.unreadable) == (["i-2"], ("servers/i-1",))


@pytest.mark.parametrize(
    ("state", "expected"),
    [(models.ServerState.LEAVING, True), (models.ServerState.ACTIVE, False)],
)
def test_server_that_starts_to_leave_is_reported_as_withdrawn(
    server_catalog, decoder, state, expected
):
    """Guards against a leaving server that VMs without store access use for seconds."""
    record = decoder.record(instance(sequence=2, state=state), b"2")
    assert server_catalog.update([record], trusted=True, now=1.0).withdrawn is expected
    next_report = decoder.record(instance(sequence=3, state=state), b"3")
    assert not server_catalog.update([next_report], trusted=True, now=1.5).withdrawn
    assert server_catalog.update([REMOVED], trusted=True, now=2.0).withdrawn is not expected
