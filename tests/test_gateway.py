"""Callers' connections: order of answers, shutdown without loss, cancellation on disconnect."""

import asyncio
import time

import pytest

from dotterelfront import errors, gateway, relay

GET = b"GET /%d HTTP/1.1\r\nHost: shop\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED_POST = (
    b"POST /c HTTP/1.1\r\nHost: shop\r\nRequest-Deadline: 9000\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class Transport:
    """Records the written bytes and whether reading is paused or the connection is closed."""

    def __init__(self):
        self.written, self.ended, self.closed, self.paused = b"", False, False, False
        self.unsent, self.reset = 0, False

    def write(self, data):
        self.written += data

    def write_eof(self):
        if self.reset:
            raise OSError(107, "not connected")
        self.ended = True

    def get_write_buffer_size(self):
        return self.unsent

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    @property
    def bodies(self):
        return [part.split(b"\r\n\r\n", 1)[1] for part in self.written.split(b"HTTP/1.1 ")[1:]]


class Caller:
    """A connection whose requests wait until the test answers them by path."""

    def __init__(self, get_limits=gateway.ConnectionLimits, **options):
        self.waiting = {}
        self.cancelled = []
        self.gateway = gateway.Gateway(self.handle, get_limits, **options)
        self.conn = self.gateway.connection()
        self.transport = Transport()
        self.conn.connection_made(self.transport)

    async def handle(self, call):
        answer = self.waiting[call.head.path] = asyncio.get_running_loop().create_future()
        self.call = call
        try:
            return await answer
        except asyncio.CancelledError:
            self.cancelled.append(call.head.path)
            raise

    async def send(self, data):
        self.conn.data_received(data)
        await settle()

    async def answer(self, path, body=None):
        self.waiting[path].set_result(relay.Answer(200, [], body or path.encode()))
        await settle()


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def run(scenario):
    asyncio.run(scenario())


def test_answers_come_in_the_order_of_the_requests():
    """Guards against a caller that matches an answer to the wrong request."""

    async def scenario():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2 + (GET % 3)[:10])
        await caller.send((GET % 3)[10:])
        for path in ("/3", "/1", "/2"):
            await caller.answer(path)
        assert caller.transport.bodies == [b"/1", b"/2", b"/3"]

    run(scenario)


@pytest.mark.parametrize("digits", [400, 5_000])
def test_endless_deadline_does_not_stop_the_checks_of_connections(digits):
    """Guards against one header of a caller that ends the process of a VM."""

    async def scenario():
        caller = Caller()
        head = b"POST /p HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n"
        await caller.send(head + b"Request-Deadline: " + b"9" * digits + b"\r\n\r\nbo")
        caller.gateway.sweep(caller.conn._loop.time())
        await caller.send(b"dy")
        await caller.answer("/p")
        assert caller.transport.bodies == [b"/p"]

    run(scenario)


def test_disconnect_cancels_the_requests_of_a_caller():
    """Guards against work for callers that have disconnected."""

    async def scenario():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2)
        caller.conn.eof_received()
        await settle()
        assert sorted(caller.cancelled) == ["/1", "/2"]

    run(scenario)


def test_disconnect_does_not_cancel_a_committed_request():
    """Guards against an order that is interrupted while a server runs it."""

    async def scenario():
        caller = Caller()
        await caller.send(GET % 1)
        caller.call.committed = True
        caller.conn.connection_lost(None)
        await settle()
        assert caller.cancelled == []
        assert caller.call.disconnected

    run(scenario)


def test_a_leaving_vm_answers_all_read_requests_before_it_closes():
    """Guards against requests that are read and then lost in a shutdown."""

    async def scenario():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2)
        caller.gateway.drain()
        await caller.answer("/1")
        assert b"close" not in caller.transport.written
        assert not caller.transport.ended
        await caller.answer("/2")
        assert b"Connection: close" in caller.transport.written
        assert caller.transport.ended

    run(scenario)


def test_shutdown_answers_all_that_has_arrived_before_it_closes():
    """Guards against requests that are lost in a planned stop.

    One connection is idle, one has a pending request, one has half of a body, and on one a request
    arrives during the shutdown.
    """

    async def scenario():
        idle, busy, half, late = Caller(), Caller(), Caller(), Caller()
        await busy.send(GET % 1)
        await half.send(POST[:-2])
        callers = (idle, busy, half, late)
        for caller in callers:
            caller.gateway.drain()
            caller.gateway.refuse_new()
            caller.conn._idle_since -= gateway.IDLE_AT_SHUTDOWN_S
        deadline = asyncio.get_running_loop().time() + 5.0
        stops = [asyncio.ensure_future(caller.gateway.finish(deadline)) for caller in callers]
        await late.send(GET % 2)
        await asyncio.sleep(3 * gateway.READ_TURN_S)
        assert [stop.done() for stop in stops] == [True, False, False, True]
        assert [c.transport.ended for c in callers] == [True, False, False, True]
        await half.send(POST[-2:])
        await busy.answer("/1")
        await asyncio.gather(*stops)
        assert busy.transport.bodies == [b"/1"]
        for caller in (half, late):
            assert b" 503 " in caller.transport.written
            assert b"Retry-After: 0.10" in caller.transport.written
        for caller in (busy, half, late):
            assert b"Connection: close" in caller.transport.written
            assert caller.transport.ended

    run(scenario)


def test_shutdown_waits_until_answers_are_sent():
    """Guards against a large answer that is cut off on a slow link."""

    async def scenario():
        caller = Caller()
        caller.transport.unsent = 1
        deadline = asyncio.get_running_loop().time() + 5.0
        stop = asyncio.ensure_future(caller.gateway.finish(deadline))
        await asyncio.sleep(2 * gateway.READ_TURN_S)
        assert not stop.done()
        caller.transport.unsent = 0
        await asyncio.wait_for(stop, 1.0)

    run(scenario)


def test_a_reset_connection_is_aborted_at_its_end():
    """Guards against an unhandled error when the caller has reset the connection."""

    async def scenario():
        caller = Caller()
        caller.transport.reset = True
        caller.conn.close()
        assert caller.transport.closed

    run(scenario)


# Callers that send or read without end


@pytest.mark.parametrize(
    ("first", "step", "ends_after_s"),
    [
        (b"GET /1 HTTP/1.1\r\nX: ", b"y", 3.0),
        (POST[:-2], b"", 3.0),
        (CHUNKED_POST, b"40\r\n" + b"x" * 64 + b"\r\n", 9.0),
    ],
)
def test_a_trickled_request_ends_in_time(first, step, ends_after_s):
    """Guards against callers that keep a connection with a request that never ends."""

    async def scenario():
        limits = gateway.ConnectionLimits(head_timeout_s=3.0)
        caller = Caller()
        start = asyncio.get_running_loop().time()
        await caller.send(first)
        elapsed_s = 0.0
        while not caller.transport.ended and elapsed_s < 20.0:
            elapsed_s += 1.0
            if step:
                await caller.send(step)
                caller.conn._last_read = start + elapsed_s
            caller.conn.expire(limits, start + elapsed_s)
        assert b" 408 " in caller.transport.written
        assert ends_after_s < elapsed_s <= ends_after_s + 1.0

    run(scenario)


def test_a_body_of_many_small_pieces_is_rejected():
    """Guards against a body whose framing takes most of the processor time of a VM."""

    async def scenario():
        caller = Caller()
        await caller.send(CHUNKED_POST)
        started = time.process_time()
        await caller.send(b"1\r\nx\r\n" * (gateway.READ_BYTES // 6))
        assert time.process_time() - started < 0.05
        assert b" 400 " in caller.transport.written

    run(scenario)


def test_a_caller_that_does_not_read_is_disconnected():
    """Guards against answers that fill the memory of a VM, and against requests without end."""

    async def scenario():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2)
        await caller.answer("/1")
        caller.transport.unsent = 90_000
        caller.conn.pause_writing()
        await caller.answer("/2")
        await caller.send(GET % 3)
        assert (caller.transport.bodies, caller.transport.paused) == ([b"/1"], True)
        assert "/3" not in caller.waiting
        limits, now = gateway.ConnectionLimits(), asyncio.get_running_loop().time()
        caller.conn.expire(limits, now)
        caller.transport.unsent = 80_000
        for elapsed_s in (9.0, 18.0):
            caller.conn.expire(limits, now + elapsed_s)
            assert not caller.transport.closed
        caller.conn.expire(limits, now + 20.0)
        assert caller.transport.closed
        assert caller.gateway.events == {"caller does not read": 1}

    run(scenario)


def test_answers_continue_when_the_caller_reads_again():
    async def scenario():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2)
        caller.conn.pause_writing()
        await caller.answer("/1")
        await caller.answer("/2")
        assert caller.transport.bodies == []
        caller.conn.resume_writing()
        assert caller.transport.bodies == [b"/1", b"/2"]
        assert not caller.transport.paused

    run(scenario)


def test_callers_share_a_buffer_of_limited_size():
    """Guards against large requests that together fill the memory of a VM.

    The largest incomplete request is refused as not run; a small one passes.
    """

    async def scenario():
        callers = [Caller(buffer_bytes=100_000)]
        callers += [Caller() for _ in range(2)]
        shared = callers[0].gateway
        for caller in callers[1:]:
            caller.gateway = shared
            caller.conn = shared.connection()
            caller.conn.connection_made(caller.transport)
        head = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"
        await callers[0].send(head % 1 + b"x" * 60_000)
        await callers[1].send(head % 2 + b"x" * 50_000)
        await callers[2].send(GET % 3)
        assert b" 503 " in callers[0].transport.written
        assert b"Retry-After" in callers[0].transport.written
        assert callers[1].transport.written == b""
        assert "/3" in callers[0].waiting
        assert shared.buffered_bytes == 50_000
        for caller in callers:
            caller.conn.connection_lost(None)
        assert shared.buffered_bytes == 0

    run(scenario)


def test_unanswered_requests_per_connection_are_limited():
    """Guards against memory use that grows with the requests that one caller pipelines."""

    async def scenario():
        caller = Caller()
        await caller.send(b"".join(GET % number for number in range(gateway.MAX_PIPELINED + 5)))
        assert len(caller.waiting) == gateway.MAX_PIPELINED
        assert caller.transport.paused
        for number in range(gateway.MAX_PIPELINED):
            await caller.answer(f"/{number}")
        assert len(caller.waiting) == gateway.MAX_PIPELINED + 5
        assert not caller.transport.paused

    run(scenario)


def test_idle_and_stalled_connections_expire_but_not_busy_ones():
    """Guards against closing a connection while a request is pending."""

    async def scenario():
        limits = gateway.ConnectionLimits(head_timeout_s=3.0, idle_timeout_s=15.0)
        now = asyncio.get_running_loop().time()
        idle, stalled, busy = Caller(), Caller(), Caller()
        await stalled.send(b"GET /1 HTT")
        await busy.send(GET % 1)
        for caller in (idle, stalled, busy):
            caller.conn.expire(limits, now + 14.0)
        assert [c.transport.ended for c in (idle, stalled, busy)] == [False, True, False]
        assert b" 408 " in stalled.transport.written
        for caller in (idle, busy):
            caller.conn.expire(limits, now + 16.0)
        assert [c.transport.ended for c in (idle, busy)] == [True, False]

    run(scenario)


def test_a_malformed_request_is_answered_after_earlier_requests():
    """Guards against an error that overtakes the answer to an earlier request."""

    async def scenario():
        caller = Caller()
        await caller.send(GET % 1 + b"NONSENSE\r\n\r\n")
        assert caller.transport.written == b""
        await caller.answer("/1")
        assert caller.transport.bodies[0] == b"/1"
        assert b" 400 " in caller.transport.written
        assert caller.transport.ended

    run(scenario)


def test_handler_errors_become_error_answers():
    """Guards against a lost Retry-After, and against "not run" for an unexpected exception."""

    async def fail(call):
        raise errors.OverloadedError("full", 0.25)

    async def crash(call):
        raise KeyError("x")

    async def scenario():
        answer = await gateway.call_handler(fail, None)
        assert (answer.status, dict(answer.headers)["Retry-After"]) == (503, "0.25")
        assert (await gateway.call_handler(crash, None)).status == 502

    run(scenario)
