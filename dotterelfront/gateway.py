"""Callers' HTTP connections: reads requests and writes the answers in request order.

::

    gateway = Gateway(handle, get_limits)
    server = await loop.create_server(gateway.connection, "10.0.0.1", 8641)
    gateway.drain()                  # closes each connection after its pending answers
    await gateway.finish(deadline)   # waits for the pending answers

Pipelined requests of one connection run concurrently. When the caller disconnects, its requests
are cancelled, except non-idempotent requests that are at a server.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import msgspec

from dotterelfront import errors, headers, http1, logs, relay
from dotterelfront.platform import wire

MAX_PIPELINED = 32
"""Limit of unanswered requests on one connection; further requests stay unread."""
LINGER_S = 1.0
"""Time for the caller to close a connection after the last answer. Closing a socket with unread
bytes resets the connection, and the answer could be lost."""


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits of callers' connections in seconds, and of a body in bytes."""

    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    max_body_bytes: int = 1_000_000


Handler = Callable[[relay.Call], Awaitable[relay.Answer]]
Observer = Callable[[str, str, int, float], None]
"""Receives route, method, status and duration in seconds of an answered request."""


class _Pending(msgspec.Struct):
    """A request whose answer has not been written; ``reader`` encodes the answer."""

    reader: http1.RequestReader
    call: relay.Call | None
    answer: relay.Answer | None = None
    task: asyncio.Task | None = None


class Gateway:
    """All callers' connections of one VM."""

    def __init__(
        self,
        handle: Handler,
        get_limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        observe: Observer = lambda *request: None,
    ):
        self.handle = handle
        self.observe = observe
        self.get_limits = get_limits
        self.leaving = False
        self.connections: set[Connection] = set()
        self.counters: collections.Counter[int] = collections.Counter()
        """Answers by status."""

    def connection(self) -> "Connection":
        return Connection(self)

    def drain(self) -> None:
        """Makes each connection close after its pending answers; used at shutdown."""
        self.leaving = True

    def sweep(self, now: float) -> None:
        """Closes connections that exceed the idle limit or stall within a request."""
        limits = self.get_limits()
        for conn in list(self.connections):
            conn.expire(limits, now)

    def close_idle(self) -> None:
        """Closes the connections without a pending request.

        A request on such a connection could arrive too late to finish before the shutdown.
        """
        for conn in list(self.connections):
            if not conn.busy:
                conn.close()

    def busy(self) -> bool:
        """Whether any request is waiting for its answer."""
        return any(conn.busy for conn in self.connections)

    async def finish(self, deadline: float) -> None:
        """Waits for all answers, at most until ``deadline``, then closes all connections."""
        loop = asyncio.get_running_loop()
        while self.busy() and loop.time() < deadline:
            await asyncio.sleep(0.02)
        for conn in list(self.connections):
            conn.close()


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

    # Transport callbacks

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._gateway.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        self._last_read = self._loop.time()
        self._reader.feed(data)
        self._read_requests()

    def eof_received(self) -> None:
        self._on_disconnect()

    def connection_lost(self, exc) -> None:
        self._gateway.connections.discard(self)
        self._on_disconnect()

    # Called by the gateway

    def expire(self, limits: ConnectionLimits, now: float) -> None:
        if self._pending or self._closing:
            return
        if self._reader.started:
            if now - self._last_read > limits.head_timeout_s:
                self._reject(errors.RequestTimeoutError("request not received completely in time"))
        elif now - self._idle_since > limits.idle_timeout_s:
            self._half_close()

    def close(self) -> None:
        """Closes the connection, even with pending requests."""
        if self._transport is not None and not self._closing:
            self._half_close()

    # Requests

    def _new_reader(self) -> http1.RequestReader:
        return http1.RequestReader(self._body_limit)

    def _body_limit(self, head: headers.RequestHead) -> int:
        return self._gateway.get_limits().max_body_bytes

    def _read_requests(self) -> None:
        while not self._closing and len(self._pending) < MAX_PIPELINED:
            try:
                request = self._reader.next_request()
            except errors.RequestError as exc:
                self._reject(exc)
                return
            if request is None:
                self._send_continue()
                return
            self._start_request(*request)
        if len(self._pending) >= MAX_PIPELINED:
            self._transport.pause_reading()

    def _send_continue(self) -> None:
        if self._reader.wants_continue and not self._pending:
            self._transport.write(self._reader.continue_response())

    def _start_request(self, head: headers.RequestHead, body: bytes) -> None:
        reader, self._reader = self._reader, self._new_reader()
        call = relay.Call(head, body, self._last_read)
        pending = _Pending(reader, call)
        self._pending.append(pending)
        pending.task = self._loop.create_task(self._run(pending))
        trailing = reader.detach_trailing_data()
        if not head.keep_alive:
            self._closing = True
        elif trailing:
            self._reader.feed(trailing)

    async def _run(self, pending: _Pending) -> None:
        call = pending.call
        pending.answer = await call_handler(self._gateway.handle, call)
        duration_s = self._loop.time() - call.arrived
        self._gateway.observe(call.route, call.head.method, pending.answer.status, duration_s)
        self._flush()

    def _reject(self, exc: errors.RequestError) -> None:
        """Answers an invalid request with an error and closes the connection after it."""
        self._closing = True
        self._pending.append(_Pending(self._reader, None, error_answer(exc)))
        self._flush()

    def _flush(self) -> None:
        """Writes the completed answers that are next in request order."""
        if self._transport.is_closing():
            self._pending.clear()
            return
        while self._pending and self._pending[0].answer is not None:
            self._write(self._pending.popleft())
        self._idle_since = self._loop.time()
        if self._pending or self._transport.is_closing():
            return
        if self._closing or self._gateway.leaving:
            self._half_close()
        else:
            self._transport.resume_reading()
            self._read_requests()

    def _write(self, pending: _Pending) -> None:
        answer = pending.answer
        last = not self._pending and (self._closing or self._gateway.leaving)
        self._gateway.counters[answer.status] += 1
        self._transport.write(
            pending.reader.response(answer.status, answer.headers, answer.body, close=last)
        )

    def _half_close(self) -> None:
        """Sends EOF, and closes the connection if the caller has not done so after ``LINGER_S``."""
        self._closing = True
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _on_disconnect(self) -> None:
        """Cancels the pending requests of a caller that has disconnected."""
        self._closing = True
        for pending in self._pending:
            if pending.task is None:
                continue
            pending.call.disconnected = True
            if not pending.call.committed:
                pending.task.cancel()


async def call_handler(handle: Handler, call: relay.Call) -> relay.Answer:
    """Returns the handler's answer, or the error answer if the handler raises."""
    try:
        return await handle(call)
    except errors.RequestError as exc:
        failure = exc
    except Exception as exc:
        logs.event("handler failed", level="ERROR", error=repr(exc))
        failure = errors.OutcomeUnknownError("internal failure")
    if call is not None:
        _log_failure(call, failure)
    return error_answer(failure)


def _log_failure(call: relay.Call, exc: errors.RequestError) -> None:
    duration_s = asyncio.get_running_loop().time() - call.arrived
    logs.event(
        "request ended without a server's answer",
        request=wire.request_id(call.head.fields),
        code=exc.code,
        outcome=exc.outcome.value,
        reason=str(exc),
        held_ms=round(duration_s * 1000),
        retry_after_s=getattr(exc, "retry_after_s", None),
    )


def error_answer(exc: errors.RequestError) -> relay.Answer:
    """Returns the answer to a request that failed without a response from a server."""
    retry_after_s = getattr(exc, "retry_after_s", None)
    pairs = wire.refusal_headers(retry_after_s)
    pairs.append(("Dotterelfront-Outcome", exc.outcome.value))
    pairs.append(("Dotterelfront-Error", exc.code))
    return relay.Answer(exc.status, pairs)
