"""Responses of faulty servers: only a whole response of the request's own is returned."""

import asyncio

import pytest

from dotterelfront import errors, exchange

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 3\r\n\r\nbad"


class Transport:
    """Records what is written; ``pending`` bytes have not left."""

    def __init__(self):
        self.written, self.closed, self.pending = b"", False, 0

    def write(self, data):
        self.written += data

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return self.pending


def run(*steps, timeout_s=60.0, pending=0):
    """Sends a request and applies the steps to its connection; returns both."""

    async def play():
        conn = exchange.Connection()
        transport = Transport()
        transport.pending = pending
        conn.connection_made(transport)
        mine = lambda fields: fields.get("request-id") == "a"  # noqa: E731
        task = asyncio.ensure_future(
            conn.send("POST", "/x", [("Host", "h"), ("Content-Length", "1")], b"b", timeout_s, mine)
        )
        await asyncio.sleep(0)
        for step in steps:
            step(conn)
        try:
            return conn, await task
        except errors.ExchangeError as exc:
            return conn, exc

    return asyncio.run(play())


def data(raw):
    return lambda conn: conn.data_received(raw)


def eof(conn):
    conn.eof_received()


def lost(conn):
    conn.connection_lost(ConnectionResetError())


def test_a_complete_response_keeps_the_connection():
    conn, res = run(data(OK))
    assert (res.status, res.body, conn.reusable) == (200, b"ok", True)


@pytest.mark.parametrize(
    "steps",
    [
        [data(OK[:-1]), eof],
        [data(OK[:-1]), lost],
        [data(OK[:20]), eof],
        [eof],
        [lost],
        [data(b"\x00\x01 no protocol\r\n\r\n")],
        [data(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart"), lost],
    ],
)
def test_a_response_that_breaks_off_is_a_failure(steps):
    """Guards against a response that is cut short and passed on as complete."""
    conn, exc = run(*steps)
    assert isinstance(exc, errors.BrokenExchangeError)
    assert not conn.reusable


def test_a_response_without_length_ends_with_its_connection():
    conn, res = run(data(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole"), eof)
    assert (res.body, conn.reusable) == (b"whole", False)


@pytest.mark.parametrize("steps", [[data(OTHER + OK)], [data(OTHER), data(OK)]])
def test_a_late_response_to_another_request_is_dropped(steps):
    """Guards against a caller that gets the response to another one's request."""
    conn, res = run(*steps)
    assert (res.body, conn.reusable) == (b"ok", False)


def test_bytes_behind_a_response_end_the_connection():
    """Guards against a second response that the next request would take for its own."""
    conn, res = run(data(OK + OTHER))
    assert (res.body, conn.reusable) == (b"ok", False)


def test_bytes_on_an_idle_connection_end_it():
    conn, _ = run(data(OK))
    conn.data_received(OTHER)
    assert not conn.reusable


def test_a_response_before_the_body_has_left_ends_the_connection():
    """Guards against another request where the server still expects the rest of a body."""
    conn, res = run(data(OK), pending=1)
    assert (res.status, conn.reusable) == (200, False)


def test_a_response_that_does_not_come_times_out():
    conn, exc = run(timeout_s=0.0)
    assert isinstance(exc, errors.ExchangeTimeoutError)
    assert not conn.reusable


def test_a_cancelled_request_closes_its_connection():
    """Guards against a server that works on for a caller that has left."""

    async def play():
        conn = exchange.Connection()
        transport = Transport()
        conn.connection_made(transport)
        task = asyncio.ensure_future(conn.send("GET", "/x", [("Host", "h")], b"", 60.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return transport.closed

    assert asyncio.run(play())


def test_a_kept_connection_that_has_ended_takes_no_request():
    """Guards against "may have run" for a request whose bytes never left."""

    async def play():
        conn = exchange.Connection()
        transport = Transport()
        conn.connection_made(transport)
        transport.closed = True
        with pytest.raises(errors.ConnectError):
            await conn.send("GET", "/x", [("Host", "h")], b"", 60.0)

    asyncio.run(play())
