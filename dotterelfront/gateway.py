"""Callers' connections: requests in, answers out in the order of the requests.

::

    gateway = Gateway(handle, timeouts)
    server = await loop.create_server(gateway.connection, "10.0.0.1", 8641)
    gateway.leave()                  # answers say "Connection: close" from now on
    await gateway.finish(deadline)   # until the last request has its answer

Requests that arrive behind each other on one connection are handled at the same time. When the
caller leaves, its requests are cancelled, except those that must not be broken off.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import msgspec

from dotterelfront import errors, headers, http1, logs, relay
from dotterelfront.platform import wire

MAX_PIPELINED = 32
"""Requests of one connection that are under way; further ones stay unread."""
LINGER_S = 1.0
"""Time in which the caller may close a connection that has had its last answer. Closing with unread
bytes would reset it, and the answer could be lost."""


class Timeouts(msgspec.Struct, frozen=True):
    """Limits of callers' connections in seconds, and of a body in bytes."""

    head_s: float = 3.0
    idle_s: float = 15.0
    max_body_bytes: int = 1_000_000


Handler = Callable[[relay.Call], Awaitable[relay.Answer]]
Observer = Callable[[str, str, int, float], None]
"""Takes route, method, status and duration in seconds of an answered request."""


class _Pending(msgspec.Struct):
    """A request whose answer has not been written; ``reader`` writes it."""

    reader: http1.RequestReader
    call: relay.Call | None
    answer: relay.Answer | None = None
    task: asyncio.Task | None = None


class Gateway:
    """All callers' connections of one VM."""

    def __init__(
        self,
        handle: Handler,
        timeouts: Callable[[], Timeouts] = Timeouts,
        observe: Observer = lambda *request: None,
    ):
        self.handle = handle
        self.observe = observe
        self.timeouts = timeouts
        self.leaving = False
        self.connections: set[Connection] = set()
        self.counters: collections.Counter[int] = collections.Counter()
        """Answers by status."""

    def connection(self) -> "Connection":
        return Connection(self)

    def leave(self) -> None:
        """Ends each connection with its next answer."""
        self.leaving = True

    def sweep(self, now: float) -> None:
        """Closes connections that were idle, or stuck within a request's head, for too long."""
        limits = self.timeouts()
        for conn in list(self.connections):
            conn.expire(limits, now)

    def end_idle(self) -> None:
        """Closes the connections without a request, so that none comes too late to be finished."""
        for conn in list(self.connections):
            if not conn.busy:
                conn.end()

    def busy(self) -> bool:
        """Whether any request that was read has no answer yet."""
        return any(conn.busy for conn in self.connections)

    async def finish(self, deadline: float) -> None:
        """Waits until all requests have their answers, then closes all connections."""
        loop = asyncio.get_running_loop()
        while self.busy() and loop.time() < deadline:
            await asyncio.sleep(0.02)
        for conn in list(self.connections):
            conn.end()


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = self._new_reader()
        self._pending: collections.deque[_Pending] = collections.deque()
        self._last_read = self._loop.time()
        self._idle_since = self._last_read
        self._closing = False

    @property
    def busy(self) -> bool:
        return bool(self._pending)

    # Callbacks of the transport

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._gateway.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        self._last_read = self._loop.time()
        self._reader.feed(data)
        self._take_requests()

    def eof_received(self) -> None:
        self._abandon()

    def connection_lost(self, exc) -> None:
        self._gateway.connections.discard(self)
        self._abandon()

    # Calls of the gateway

    def expire(self, limits: Timeouts, now: float) -> None:
        if self._pending or self._closing:
            return
        if self._reader.started:
            if now - self._last_read > limits.head_s:
                self._refuse(errors.RequestTimeoutError("the request is incomplete"))
        elif now - self._idle_since > limits.idle_s:
            self._close()

    def end(self) -> None:
        """Closes the connection; a request without an answer is broken off."""
        if self._transport is not None and not self._closing:
            self._close()

    # Requests

    def _new_reader(self) -> http1.RequestReader:
        return http1.RequestReader(self._body_limit)

    def _body_limit(self, head: headers.RequestHead) -> int:
        return self._gateway.timeouts().max_body_bytes

    def _take_requests(self) -> None:
        while not self._closing and len(self._pending) < MAX_PIPELINED:
            try:
                found = self._reader.take()
            except errors.RequestError as exc:
                self._refuse(exc)
                return
            if found is None:
                self._offer_continue()
                return
            self._start(*found)
        if len(self._pending) >= MAX_PIPELINED:
            self._transport.pause_reading()

    def _offer_continue(self) -> None:
        if self._reader.wants_continue and not self._pending:
            self._transport.write(self._reader.continue_response())

    def _start(self, head: headers.RequestHead, body: bytes) -> None:
        reader, self._reader = self._reader, self._new_reader()
        call = relay.Call(head, body, self._last_read)
        pending = _Pending(reader, call)
        self._pending.append(pending)
        pending.task = self._loop.create_task(self._run(pending))
        rest = reader.detach_rest()
        if not head.keep_alive:
            self._closing = True
        elif rest:
            self._reader.feed(rest)

    async def _run(self, pending: _Pending) -> None:
        call = pending.call
        pending.answer = await answered(self._gateway.handle, call)
        duration_s = self._loop.time() - call.arrived
        self._gateway.observe(call.route, call.head.method, pending.answer.status, duration_s)
        self._flush()

    def _refuse(self, exc: errors.RequestError) -> None:
        """Answers bytes that are no proper request; the connection ends behind the answer."""
        self._closing = True
        self._pending.append(_Pending(self._reader, None, refusal(exc)))
        self._flush()

    def _flush(self) -> None:
        """Writes the answers that are next in order."""
        if self._transport.is_closing():
            self._pending.clear()
            return
        while self._pending and self._pending[0].answer is not None:
            self._write(self._pending.popleft())
        self._idle_since = self._loop.time()
        if self._pending or self._transport.is_closing():
            return
        if self._closing or self._gateway.leaving:
            self._close()
        else:
            self._transport.resume_reading()
            self._take_requests()

    def _write(self, pending: _Pending) -> None:
        answer = pending.answer
        last = not self._pending and (self._closing or self._gateway.leaving)
        self._gateway.counters[answer.status] += 1
        self._transport.write(
            pending.reader.response(answer.status, answer.headers, answer.body, close=last)
        )

    def _close(self) -> None:
        """Sends the end of the stream and leaves it to the caller to close."""
        self._closing = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _abandon(self) -> None:
        """Cancels what nobody waits for any more."""
        self._closing = True
        for pending in self._pending:
            if pending.task is None:
                continue
            pending.call.left = True
            if not pending.call.committed:
                pending.task.cancel()


async def answered(handle: Handler, call: relay.Call) -> relay.Answer:
    """Returns the handler's answer, or what the caller is told of its failure."""
    try:
        return await handle(call)
    except errors.RequestError as exc:
        failure = exc
    except Exception as exc:
        logs.event("handler failed", level="ERROR", error=repr(exc))
        failure = errors.OutcomeUnknownError("internal failure")
    if call is not None:
        _log_failure(call, failure)
    return refusal(failure)


def _log_failure(call: relay.Call, exc: errors.RequestError) -> None:
    held_s = asyncio.get_running_loop().time() - call.arrived
    logs.event(
        "request ended without a server's answer",
        request=wire.request_id(call.head.fields),
        code=exc.code,
        outcome=exc.outcome.value,
        reason=str(exc),
        held_ms=round(held_s * 1000),
        retry_after_s=getattr(exc, "retry_after_s", None),
    )


def refusal(exc: errors.RequestError) -> relay.Answer:
    """Returns the answer for a request that ends without a server's response."""
    retry_after_s = getattr(exc, "retry_after_s", None)
    pairs = wire.refusal(retry_after_s)
    pairs.append(("Dotterelfront-Outcome", exc.outcome.value))
    pairs.append(("Dotterelfront-Error", exc.code))
    return relay.Answer(exc.status, pairs)
