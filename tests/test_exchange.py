"""Responses of faulty servers: only a complete response to the same request is returned."""

import asyncio
import functools
import time

import pytest

from dotterelfront import errors, exchange, read_budget
from dotterelfront.platform import wire

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 3\r\n\r\nbad"


class Transport:
    """Records the written bytes; ``pending`` is the number of bytes in the write buffer."""

    def __init__(self):
        self.written, self.closed, self.pending, self.paused = b"", False, 0, False

    def write(self, data):
        self.written += data

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return self.pending

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


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


HEAD_START = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Sig: s\r\n"
HEADS = [
    HEAD_START + b"Content-Length: 10\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nResponse-Sig: s\r\n\r\n",
    HEAD_START + b"Transfer-Encoding: chunked\r\n\r\n",
    HEAD_START + b"\r\n",
    HEAD_START + b"Set-Cookie: a\r\nSet-Cookie: b\r\n\r\n",
]


@pytest.mark.parametrize("head", HEADS)
def test_a_head_that_ends_early_is_never_a_response(head):
    """Guards against an empty success when a server stops in the middle of its head."""
    for end in range(len(head)):
        conn, exc = run(data(head[:end]), eof)
        assert isinstance(exc, errors.BrokenExchangeError), head[:end]
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


# Rejections that belong to another request

NOT_RUN = b"HTTP/1.1 503 -\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 -\r\n%sContent-Length: 0\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\n%sResponse-Sig: s\r\nContent-Length: 2\r\n\r\nok"
INTERIM = b"HTTP/1.1 103 -\r\n%sNot-Executed: 1\r\n\r\n"
OWN = b"Request-Id: a\r\n"


@pytest.mark.parametrize("copy", [NOT_RUN, MISDIRECTED, SUCCESS, INTERIM])
@pytest.mark.parametrize("request_id", [b"", b"Request-Id: z\r\n"])
@pytest.mark.parametrize("later", [False, True])
def test_a_copy_of_an_earlier_response_is_not_the_answer(copy, request_id, later):
    """Guards against "not run" for an order that the server runs.

    The server writes a response once more, with the earlier id or without one, and then responds to
    the request.
    """

    async def scenario():
        conn = exchange.Connection()
        conn.connection_made(Transport())
        matches = functools.partial(wire.matches_request_id, expected_id="a")
        task = asyncio.ensure_future(
            conn.send("POST", "/x", [("Host", "h"), ("Content-Length", "0")], b"", 60.0, matches)
        )
        await asyncio.sleep(0)
        raws = [copy % request_id, SUCCESS % OWN]
        for raw in raws if later else [b"".join(raws)]:
            conn.data_received(raw)
        return await task

    res = asyncio.run(scenario())
    assert (res.status, res.fields["request-id"]) == (200, "a")


def test_a_copy_alone_leaves_the_outcome_unknown():
    """Guards against "not run" after a copy of a rejection when no response follows."""
    conn, exc = run(data(NOT_RUN % b""), eof)
    assert isinstance(exc, errors.BrokenExchangeError)
    assert not conn.reusable


# Responses without end

CHUNKED = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "small chunks": (CHUNKED, b"2\r\nab\r\n", errors.BreakReason.FRAGMENTED),
    "interim": (b"", b"HTTP/1.1 102 -\r\n\r\n", errors.BreakReason.INTERIM),
    "foreign": (b"", OTHER, errors.BreakReason.FOREIGN),
    "body": (CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n", errors.BreakReason.TOO_LARGE),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n", errors.BreakReason.MALFORMED),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 50, errors.BreakReason.MALFORMED),
    "trailer": (CHUNKED + b"0\r\n", b"X: y\r\n", errors.BreakReason.MALFORMED),
    "chunk extension": (CHUNKED + b"1;", b"y" * 50, errors.BreakReason.MALFORMED),
    "no protocol": (b"", b"\x00\xff" * 20, errors.BreakReason.MALFORMED),
}
TURN_LIMIT_S = 0.05


@pytest.mark.parametrize("name", ENDLESS)
def test_an_endless_response_breaks_the_exchange(name):
    """Guards against a sick server that occupies a VM until the deadline of the request.

    No turn of the event loop takes longer than ``TURN_LIMIT_S`` of processor time.
    """
    start, endless, reason = ENDLESS[name]
    block = endless * (exchange.READ_BYTES // len(endless) + 1)

    async def scenario():
        conn = exchange.Connection()
        transport = Transport()
        conn.connection_made(transport)
        matches = lambda fields: fields.get("request-id") == "a"  # noqa: E731
        task = asyncio.ensure_future(
            conn.send("GET", "/x", [("Host", "h")], b"", timeout_s=60.0, matches=matches)
        )
        await asyncio.sleep(0)
        if start:
            conn.data_received(start)
        position, received, longest_s = 0, 0, 0.0
        while not task.done():
            started = time.process_time()
            if not transport.paused:
                raw = block[position : position + exchange.READ_BYTES]
                position = (position + len(raw)) % len(block)
                received += len(raw)
                conn.data_received(raw)
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.process_time() - started)
            assert received < 2 * exchange.MAX_RESPONSE_BYTES
        with pytest.raises(errors.BrokenExchangeError) as caught:
            await task
        assert transport.closed
        return caught.value.reason, longest_s

    found, longest_s = asyncio.run(scenario())
    assert found is reason
    assert longest_s < TURN_LIMIT_S


def test_many_small_chunks_of_a_finite_body_are_read_in_turns():
    """Guards against a long body of short lines that holds the event loop."""
    chunk = b"40\r\n" + b"x" * 64 + b"\r\n"

    async def scenario():
        conn = exchange.Connection()
        transport = Transport()
        conn.connection_made(transport)
        task = asyncio.ensure_future(conn.send("GET", "/x", [("Host", "h")], b"", 60.0))
        await asyncio.sleep(0)
        conn.data_received(CHUNKED + chunk * 2_000 + b"0\r\n\r\n")
        assert transport.paused
        res = await task
        assert not transport.paused
        return res

    assert len(asyncio.run(scenario()).body) == 128_000


def test_responses_share_the_read_buffer_of_the_vm():
    """Guards against four endless bodies that together fill the memory of a VM."""

    async def scenario():
        budget = read_budget.ReadBudget(1_000_000)
        conns, tasks = [], []
        for _ in range(4):
            conn = exchange.Connection(budget)
            conn.connection_made(Transport())
            conns.append(conn)
            tasks.append(asyncio.ensure_future(conn.send("GET", "/", [("Host", "h")], b"", 60.0)))
        await asyncio.sleep(0)
        peak = 0
        for conn in conns:
            conn.data_received(CHUNKED)
        for _ in range(100):
            for conn, task in zip(conns, tasks, strict=True):
                if not task.done() and not conn._transport.paused:
                    conn.data_received(b"4000\r\n" + b"x" * 16_384 + b"\r\n")
                    peak = max(peak, budget.used_bytes)
            await asyncio.sleep(0)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        return peak, budget.used_bytes, [exc.reason for exc in results]

    peak, left, reasons = asyncio.run(scenario())
    assert peak < 1_100_000
    assert left == 0
    assert set(reasons) == {errors.BreakReason.BUFFER}
