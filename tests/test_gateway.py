"""Callers' connections: order of answers, shutdown without loss, cancellation on disconnect."""

import asyncio

from dotterelfront import errors, gateway, relay

GET = b"GET /%d HTTP/1.1\r\nHost: shop\r\n\r\n"


class Transport:
    """Records the written bytes and whether reading is paused or the connection is closed."""

    def __init__(self):
        self.written, self.ended, self.closed, self.paused = b"", False, False, False

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.ended = True

    def can_write_eof(self):
        return True

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

    def __init__(self, get_limits=gateway.ConnectionLimits):
        self.waiting = {}
        self.cancelled = []
        self.gateway = gateway.Gateway(self.handle, get_limits)
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


def test_close_idle_spares_connections_with_a_pending_request():
    """Guards against a request on a persistent connection that arrives too late in a shutdown."""

    async def scenario():
        idle, busy = Caller(), Caller()
        await busy.send(GET % 1)
        for caller in (idle, busy):
            caller.gateway.drain()
            caller.gateway.close_idle()
        assert [c.transport.ended for c in (idle, busy)] == [True, False]
        await busy.answer("/1")
        assert busy.transport.bodies == [b"/1"]
        assert busy.transport.ended

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
