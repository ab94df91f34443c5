"""Calls to the platform's store over connections that fail or stop responding."""

import asyncio
import json

import pytest

from dotterelfront import errors, exchange
from dotterelfront.platform import store


class Connection:
    """Responds to each call with the next step: a status, a body or an exception."""

    def __init__(self, steps):
        self.steps, self.sent = steps, []
        self.reusable, self.closed, self.idle_since = True, False, 0.0

    async def send(self, method, target, headers, body, timeout_s, matches=None):
        self.sent.append((method, target, body))
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        status, body = (step, {}) if isinstance(step, int) else (200, step)
        self.idle_since = asyncio.get_running_loop().time()
        return exchange.Response(status, (), {}, json.dumps(body).encode())

    def close(self):
        self.closed = True


class Net:
    """Records the connections that the client opens, which share the steps."""

    def __init__(self, monkeypatch, *steps):
        self.steps, self.opened = list(steps), []
        monkeypatch.setattr(store.exchange, "connect", self.connect)
        self.client = store.Client("10.0.0.1:1")

    async def connect(self, address, timeout_s):
        self.opened.append(Connection(self.steps))
        return self.opened[-1]


def page(revision, *keys, more=False, name="items"):
    items = [{"key": key, "value": "eA==", "rev": 3, "lease": 0} for key in keys]
    return {name: items, "current-rev": revision, "has-more": more}


def test_listing_whose_pages_do_not_advance_is_an_error(monkeypatch):
    """Guards against a listing without end, which would fill the memory of a VM."""
    net = Net(monkeypatch, page(7, "a", "b", more=True), page(7, "a", "b", more=True))
    with pytest.raises(errors.StoreUnavailableError):
        asyncio.run(net.client.list_all("x/"))
    assert net.steps == []


def test_listing_without_end_is_an_error(monkeypatch):
    """Guards against advancing pages without end, which would fill the memory of a VM."""
    monkeypatch.setattr(store, "MAX_LISTING_BYTES", 300)
    pages = [page(7, f"k{number}", more=True) for number in range(10)]
    net = Net(monkeypatch, *pages)
    with pytest.raises(errors.StoreUnavailableError):
        asyncio.run(net.client.list_all("x/"))
    assert net.client.calls == {"list": 10 - len(net.steps)}
    assert net.steps


def test_listing_joins_pages_and_has_the_revision_of_the_first(monkeypatch):
    """Guards against a change between two pages that the following watch misses."""
    net = Net(monkeypatch, page(7, "a", more=True), page(9, "b"))
    listing = asyncio.run(net.client.list_all(""))
    assert ([record.key for record in listing.records], listing.revision) == (["a", "b"], 7)
    assert "after=a" in net.opened[0].sent[1][1]


def test_watch_decodes_removals_and_its_revision_never_decreases(monkeypatch):
    events = page(5, "a", name="events")
    events["events"].append({"key": "b", "rev": 6, "removed": True})
    changes = asyncio.run(Net(monkeypatch, events).client.watch("", 8, 1.0))
    assert [(record.key, record.value) for record in changes.records] == [("a", b"x"), ("b", None)]
    assert changes.revision == 8


@pytest.mark.parametrize(
    ("step", "error_type"),
    [
        (410, errors.HistoryLostError),
        (412, errors.StoreConflictError),
        (429, errors.StoreUnavailableError),
        (503, errors.StoreUnavailableError),
        (400, errors.StoreRefusedError),
        (errors.BrokenExchangeError("cut"), errors.StoreUnavailableError),
        ({"nonsense": 1}, errors.StoreUnavailableError),
    ],
)
def test_failure_raises_its_error_type(monkeypatch, step, error_type):
    with pytest.raises(error_type):
        asyncio.run(Net(monkeypatch, step).client.watch("", 1, 1.0))


def test_connection_idle_for_too_long_is_not_reused(monkeypatch):
    """Guards against a call, and so a zone's changes, that waits on an unresponsive connection."""
    net = Net(monkeypatch, page(1), page(1), page(1))

    async def scenario():
        await net.client.list_all("")
        await net.client.list_all("")
        net.opened[0].idle_since -= store.MAX_IDLE_S
        await net.client.list_all("")

    asyncio.run(scenario())
    assert (len(net.opened), net.opened[0].closed) == (2, True)


def test_renewal_of_an_expired_lease_returns_false(monkeypatch):
    """Guards against an expired lease that looks like a failed call, and so is never replaced."""
    net = Net(monkeypatch, {"ttl_time": "3000ms"}, 404)
    assert asyncio.run(net.client.renew_lease(7))
    assert not asyncio.run(net.client.renew_lease(7))
