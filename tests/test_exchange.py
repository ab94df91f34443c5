"""Responses of faulty servers: only a complete response to the same request is returned."""

import asyncio

import pytest

from dotterelfront import errors, exchange

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 3\r\n\r\nbad"


class Transport:
    """Records the written bytes; ``pending`` is the number of bytes in the write buffer."""

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

    async def scenario():
        conn = exchange.Connection()
        transport = Transport()
        transport.pending = pending
        conn.connection_made(transport)
        matches = lambda fields: fields.get("request-id") == "a"  # noqa: E731
        task = asyncio.ensure_future(
            conn.send(
                "POST", "/x", [("Host", "h"), ("Content-Length", "1")], b"b", timeout_s, matches
            )
        )
        await asyncio.sleep(0)
        for step in steps:
            step(conn)
        try:
            return conn, await task
        except errors.ExchangeError as exc:
            return conn, exc

    return asyncio.run(scenario())


def data(raw):
    return lambda conn: conn.data_received(raw)


def eof(conn):
    conn.eof_received()


def lost(conn):
    conn.connection_lost(ConnectionResetError())


def test_a_connection_is_reusable_after_a_complete_response():
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
def test_an_incomplete_response_is_an_error(steps):
    """Guards against a truncated response that is relayed as complete."""
    conn, exc = run(*steps)
    assert isinstance(exc, errors.BrokenExchangeError)
    assert not conn.reusable


def test_a_response_without_length_ends_at_eof():
    conn, res = run(data(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole"), eof)
    assert (res.body, conn.reusable) == (b"whole", False)


@pytest.mark.parametrize("steps", [[data(OTHER + OK)], [data(OTHER), data(OK)]])
def test_a_late_response_to_another_request_is_discarded(steps):
    """Guards against a caller that gets the response to another caller's request."""
    conn, res = run(*steps)
    assert (res.body, conn.reusable) == (b"ok", False)


def test_bytes_after_a_response_prevent_reuse():
    """Guards against a second response that is matched to the next request."""
    conn, res = run(data(OK + OTHER))
    assert (res.body, conn.reusable) == (b"ok", False)


def test_bytes_on_an_idle_connection_close_it():
    conn, _ = run(data(OK))
    conn.data_received(OTHER)
    assert not conn.reusable


def test_a_response_before_the_body_is_sent_prevents_reuse():
    """Guards against a new request that the server reads as the rest of the previous body."""
    conn, res = run(data(OK), pending=1)
    assert (res.status, conn.reusable) == (200, False)


def test_a_missing_response_times_out():
    conn, exc = run(timeout_s=0.0)
    assert isinstance(exc, errors.ExchangeTimeoutError)
    assert not conn.reusable


def test_a_cancelled_request_closes_its_connection():
    """Guards against a server that continues to work for a caller that has disconnected."""

    async def scenario():
        conn = exchange.Connection()
        transport = Transport()
        conn.connection_made(transport)
        task = asyncio.ensure_future(conn.send("GET", "/x", [("Host", "h")], b"", 60.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return transport.closed

    assert asyncio.run(scenario())


def test_send_on_a_closed_connection_is_a_connect_error():
    """Guards against "may have run" for a request of which no byte was sent."""

    async def scenario():
        conn = exchange.Connection()
        transport = Transport()
        conn.connection_made(transport)
        transport.closed = True
        with pytest.raises(errors.ConnectError):
            await conn.send("GET", "/x", [("Host", "h")], b"", 60.0)

    asyncio.run(scenario())
