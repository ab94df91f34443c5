"""Calls to the platform's store, against connections that fail or go silent."""

import asyncio
import json

import pytest

from dotterelfront import errors, exchange
from dotterelfront.platform import store


class Connection:
    """Answers each call with the next step; a step may be a status, a body or an exception."""

    def __init__(self, steps):
        self.steps, self.sent = steps, []
        self.reusable, self.closed, self.idle_since = True, False, 0.0

    async def send(self, method, target, headers, body, timeout_s, mine=None):
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
    """Connections that the client opens."""

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


def test_a_listing_joins_pages_and_has_the_first_one_s_revision(monkeypatch):
    """Guards against changes between two pages that no watch shows afterwards."""
    net = Net(monkeypatch, page(7, "a", more=True), page(9, "b"))
    found = asyncio.run(net.client.list_all(""))
    assert ([record.key for record in found.records], found.revision) == (["a", "b"], 7)
    assert "after=a" in net.opened[0].sent[1][1]


def test_a_watch_decodes_removals_and_never_goes_back(monkeypatch):
    events = page(5, "a", name="events")
    events["events"].append({"key": "b", "rev": 6, "removed": True})
    found = asyncio.run(Net(monkeypatch, events).client.watch("", 8, 1.0))
    assert [(record.key, record.value) for record in found.records] == [("a", b"x"), ("b", None)]
    assert found.revision == 8


@pytest.mark.parametrize(
    ("step", "kind"),
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
def test_each_failure_has_its_type(monkeypatch, step, kind):
    with pytest.raises(kind):
        asyncio.run(Net(monkeypatch, step).client.watch("", 1, 1.0))


def test_a_connection_that_was_idle_for_long_is_not_used(monkeypatch):
    """Guards against a call, and with it a zone's changes, that waits on a silent connection."""
    net = Net(monkeypatch, page(1), page(1), page(1))

    async def play():
        await net.client.list_all("")
        await net.client.list_all("")
        net.opened[0].idle_since -= store.IDLE_S
        await net.client.list_all("")

    asyncio.run(play())
    assert (len(net.opened), net.opened[0].closed) == (2, True)


def test_a_lease_that_ended_is_told(monkeypatch):
    net = Net(monkeypatch, {"ttl_time": "3000ms"}, 404)
    assert asyncio.run(net.client.keep(7))
    assert not asyncio.run(net.client.keep(7))
