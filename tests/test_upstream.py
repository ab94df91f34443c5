"""Kept connections to servers: when one is used again, and what a server is sent."""

import asyncio

import pytest

from dotterelfront import errors, exchange, fleetmodel, models, upstream


class Connection:
    """Answers each request, or fails as the test says."""

    def __init__(self):
        self.reusable, self.closed, self.idle_since, self.idle_limit_s = True, False, 0.0, None
        self.sent, self.failure = [], None

    async def send(self, method, target, headers, body, timeout_s, mine=None):
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


def make_request(idempotent=True):
    return upstream.UpstreamRequest("GET", "/x", [("Host", "h")], b"", "id", idempotent)


@pytest.fixture
def opened(monkeypatch):
    opened = []

    async def connect(address, timeout_s):
        opened.append(Connection())
        return opened[-1]

    monkeypatch.setattr(upstream.exchange, "connect", connect)
    return opened


def play(*steps):
    """Runs the steps one after the other on one ``Upstream``."""

    async def run():
        subject = upstream.Upstream()
        for step in steps:
            await step(subject)

    asyncio.run(run())


def send(target=None, idempotent=True, left_s=1.0):
    return lambda subject: subject.send(target or server(), make_request(idempotent), left_s)


def test_a_connection_is_kept_and_used_again(opened):
    play(send(), send())
    assert len(opened) == 1


def test_a_server_that_started_again_gets_a_new_connection(opened):
    """Guards against a request for one server that reaches another at the same address."""
    play(send(), send(server(started_ms=5)), send(server("i-2")))
    assert len(opened) == 3


@pytest.mark.parametrize(
    ("idle_s", "idempotent", "connections"),
    [(0.1, False, 1), (0.3, False, 2), (3.0, False, 2), (3.0, True, 1), (9.0, True, 2)],
)
def test_old_connections_are_not_used(opened, idle_s, idempotent, connections):
    """Guards against an order on a connection that the server closes at the same moment."""

    async def age(subject):
        opened[0].idle_since -= idle_s

    play(send(), age, send(idempotent=idempotent))
    assert len(opened) == connections


def test_a_connection_is_given_up_before_the_time_that_the_server_announces(opened):
    async def announce(subject):
        opened[0].idle_limit_s = 2.0
        opened[0].idle_since -= 1.5

    play(send(), announce, send())
    assert len(opened) == 2


def test_a_failed_connection_is_not_kept(opened):
    async def fail(subject):
        opened[0].failure = errors.BrokenExchangeError()
        with pytest.raises(errors.BrokenExchangeError):
            await send()(subject)

    play(send(), fail, send())
    assert len(opened) == 2


def test_a_server_is_named_and_gets_the_time_that_is_left(opened):
    """Guards against a server that works on after the caller's time."""
    play(send(left_s=0.7))
    headers, timeout_s = opened[0].sent[0]
    assert headers["Target-Instance"] == "i-1"
    assert int(headers["Request-Deadline"]) <= 700
    assert timeout_s <= 0.7 + upstream.ANSWER_SLACK_S
