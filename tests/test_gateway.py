"""Callers' connections: answers in order, nothing read is lost, nobody works for who left."""

import asyncio

from dotterelfront import errors, gateway, relay

GET = b"GET /%d HTTP/1.1\r\nHost: shop\r\n\r\n"


class Transport:
    """Records what is written and whether reading is paused or the connection closed."""

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

    def __init__(self, timeouts=gateway.Timeouts):
        self.waiting = {}
        self.cancelled = []
        self.gateway = gateway.Gateway(self.handle, timeouts)
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


def run(play):
    asyncio.run(play())


def test_answers_come_in_the_order_of_the_requests():
    """Guards against a caller that takes an answer for another request's."""

    async def play():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2 + (GET % 3)[:10])
        await caller.send((GET % 3)[10:])
        for path in ("/3", "/1", "/2"):
            await caller.answer(path)
        assert caller.transport.bodies == [b"/1", b"/2", b"/3"]

    run(play)


def test_a_caller_that_leaves_cancels_its_requests():
    """Guards against work for callers that have left."""

    async def play():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2)
        caller.conn.eof_received()
        await settle()
        assert sorted(caller.cancelled) == ["/1", "/2"]

    run(play)


def test_a_request_that_must_not_be_broken_off_goes_on():
    """Guards against an order that is cut off while a server runs it."""

    async def play():
        caller = Caller()
        await caller.send(GET % 1)
        caller.call.committed = True
        caller.conn.connection_lost(None)
        await settle()
        assert caller.cancelled == []
        assert caller.call.left

    run(play)


def test_a_leaving_vm_answers_all_it_has_read_before_it_closes():
    """Guards against requests that are read and then lost at a shutdown."""

    async def play():
        caller = Caller()
        await caller.send(GET % 1 + GET % 2)
        caller.gateway.leave()
        await caller.answer("/1")
        assert b"close" not in caller.transport.written
        assert not caller.transport.ended
        await caller.answer("/2")
        assert b"Connection: close" in caller.transport.written
        assert caller.transport.ended

    run(play)


def test_a_vm_that_accepts_no_more_ends_idle_connections_only():
    """Guards against a request on a kept connection that comes too late to be finished."""

    async def play():
        idle, busy = Caller(), Caller()
        await busy.send(GET % 1)
        for caller in (idle, busy):
            caller.gateway.leave()
            caller.gateway.end_idle()
        assert [c.transport.ended for c in (idle, busy)] == [True, False]
        await busy.answer("/1")
        assert busy.transport.bodies == [b"/1"]
        assert busy.transport.ended

    run(play)


def test_only_so_many_requests_of_a_connection_are_under_way():
    """Guards against memory that grows with what one caller sends."""

    async def play():
        caller = Caller()
        await caller.send(b"".join(GET % number for number in range(gateway.MAX_PIPELINED + 5)))
        assert len(caller.waiting) == gateway.MAX_PIPELINED
        assert caller.transport.paused
        for number in range(gateway.MAX_PIPELINED):
            await caller.answer(f"/{number}")
        assert len(caller.waiting) == gateway.MAX_PIPELINED + 5
        assert not caller.transport.paused

    run(play)


def test_idle_and_stuck_connections_end_but_not_busy_ones():
    """Guards against a close that crosses a request in flight."""

    async def play():
        limits = gateway.Timeouts(head_s=3.0, idle_s=15.0)
        now = asyncio.get_running_loop().time()
        idle, stuck, busy = Caller(), Caller(), Caller()
        await stuck.send(b"GET /1 HTT")
        await busy.send(GET % 1)
        for caller in (idle, stuck, busy):
            caller.conn.expire(limits, now + 14.0)
        assert [c.transport.ended for c in (idle, stuck, busy)] == [False, True, False]
        assert b" 408 " in stuck.transport.written
        for caller in (idle, busy):
            caller.conn.expire(limits, now + 16.0)
        assert [c.transport.ended for c in (idle, busy)] == [True, False]

    run(play)


def test_bytes_that_are_no_request_are_refused_after_earlier_answers():
    """Guards against an error that overtakes the answer to an earlier request."""

    async def play():
        caller = Caller()
        await caller.send(GET % 1 + b"NONSENSE\r\n\r\n")
        assert caller.transport.written == b""
        await caller.answer("/1")
        assert caller.transport.bodies[0] == b"/1"
        assert b" 400 " in caller.transport.written
        assert caller.transport.ended

    run(play)


def test_failures_are_told_with_their_code_and_time():
    async def fail(call):
        raise errors.OverloadedError("full", 0.25)

    async def break_down(call):
        raise KeyError("x")

    async def play():
        answer = await gateway.answered(fail, None)
        assert (answer.status, dict(answer.headers)["Retry-After"]) == (503, "0.25")
        assert (await gateway.answered(break_down, None)).status == 502

    run(play)
