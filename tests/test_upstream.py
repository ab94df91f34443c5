"""Pooled connections to servers: when they are reused, and which headers a server gets."""

import asyncio

import pytest

from dotterelfront import errors, exchange, fleetmodel, models, upstream


class Connection:
    """Answers each request, or raises ``failure`` if it is set."""

    def __init__(self):
        self.reusable, self.closed, self.idle_since, self.idle_limit_s = True, False, 0.0, None
        self.sent, self.failure = [], None

    async def send(self, method, target, headers, body, timeout_s, matches=None):
        self.sent.append((dict(headers), timeout_s))
        self.idle_since = asyncio.get_running_loop().time()
        if self.failure:
            self.reusable = False
            raise self.failure
        return exchange.Response(200, (), {}, b"")

    def close(self):
        self.closed = True


def server(name="i-1", started_ms=0):
    active = models.ServerState.ACTIVE
    return fleetmodel.Instance(name, "10.0.0.1:80", "p", "a", 4, active, 1, 0.0, started_ms)


def make_request(idempotent=True, request_id="id"):
    return upstream.UpstreamRequest("GET", "/x", [("Host", "h")], b"", request_id, idempotent)


@pytest.fixture
def opened(monkeypatch):
    opened = []

    async def connect(address, timeout_s, budget):
        opened.append(Connection())
        return opened[-1]

    monkeypatch.setattr(upstream.exchange, "connect", connect)
    return opened


def run_steps(*steps):
    """Runs the steps in order on one ``Upstream``."""

    async def run():
        subject = upstream.Upstream()
        for step in steps:
            await step(subject)

    asyncio.run(run())


def send(target=None, idempotent=True, remaining_s=1.0, request_id="id", reuse=True):
    req = make_request(idempotent, request_id)
    return lambda subject: subject.send(target or server(), req, remaining_s, reuse)


def test_a_connection_is_reused(opened):
    run_steps(send(), send())
    assert len(opened) == 1


def test_a_restarted_server_gets_a_new_connection(opened):
    """Guards against a request for one server that reaches another at the same address."""
    run_steps(send(), send(server(started_ms=5)), send(server("i-2")))
    assert len(opened) == 3


@pytest.mark.parametrize(
    ("idle_s", "idempotent", "connections"),
    [(0.1, False, 1), (0.3, False, 2), (3.0, False, 2), (3.0, True, 1), (9.0, True, 2)],
)
def test_connections_over_the_idle_limit_are_not_reused(opened, idle_s, idempotent, connections):
    """Guards against an order on a connection that the server closes at the same time."""

    async def make_idle(subject):
        opened[0].idle_since -= idle_s

    run_steps(send(), make_idle, send(idempotent=idempotent))
    assert len(opened) == connections


def test_a_connection_is_not_reused_shortly_before_the_announced_idle_timeout(opened):
    async def announce(subject):
        opened[0].idle_limit_s = 2.0
        opened[0].idle_since -= 1.5

    run_steps(send(), announce, send())
    assert len(opened) == 2


def test_a_failed_connection_is_not_reused(opened):
    async def fail(subject):
        opened[0].failure = errors.BrokenExchangeError()
        with pytest.raises(errors.BrokenExchangeError):
            await send()(subject)

    run_steps(send(), fail, send())
    assert len(opened) == 2


def test_a_request_carries_target_instance_and_remaining_time(opened):
    """Guards against a server that continues to work after the caller's deadline."""
    run_steps(send(remaining_s=0.7))
    headers, timeout_s = opened[0].sent[0]
    assert headers["Target-Instance"] == "i-1"
    assert int(headers["Request-Deadline"]) <= 700
    assert timeout_s <= 0.7 + upstream.RESPONSE_SLACK_S


def test_a_request_that_the_server_had_before_gets_a_new_connection(opened):
    """Guards against a late copy of a rejection that has the id of the repeated request."""
    run_steps(send(), send(reuse=False))
    assert len(opened) == 2


def test_a_request_without_id_gets_a_new_connection(opened):
    """Guards against a late response without an id that is taken for the expected one."""
    run_steps(send(), send(request_id=""))
    assert len(opened) == 2


def test_broken_exchanges_are_counted_by_reason(opened):
    async def fail(subject):
        opened[0].failure = errors.BrokenExchangeError("", errors.BreakReason.FRAGMENTED)
        with pytest.raises(errors.BrokenExchangeError):
            await send()(subject)
        assert subject.broken == {"fragmented": 1}

    run_steps(send(), fail)


def test_a_request_whose_deadline_passed_while_connecting_is_not_sent(opened, monkeypatch):
    """Guards against a VM that was paused for seconds and then sends a request that ran out."""

    async def slow_connect(address, timeout_s, budget):
        await asyncio.sleep(0.02)
        opened.append(Connection())
        return opened[-1]

    monkeypatch.setattr(upstream.exchange, "connect", slow_connect)

    async def send_late(subject):
        with pytest.raises(errors.ConnectError):
            await send(remaining_s=0.01)(subject)
        assert opened[0].sent == []
        assert not opened[0].closed

    run_steps(send_late)


def test_usable_connections_are_named_by_pool_and_kind(opened):
    """Guards against a preference for servers whose connection may not be reused."""

    async def check(subject):
        assert subject.connected("p", True) == ("i-2", "i-1")
        opened[0].idle_since -= 0.3
        assert subject.connected("p", False) == ("i-2",)
        assert subject.connected("other", True) == ()
        subject.close_idle("i-2")
        assert subject.connected("p", True) == ("i-1",)

    async def age(subject):
        opened[0].idle_since -= 0.05

    run_steps(send(), age, send(server("i-2")), check)
