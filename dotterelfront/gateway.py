"""Callers' HTTP connections: reads requests and writes the answers in request order.

::

    gateway = Gateway(handle, get_limits)
    server = await loop.create_server(gateway.connection, "10.0.0.1", 8641)
    gateway.drain()                  # closes each connection after its pending answers
    gateway.refuse_new()             # answers further requests with "not run"
    await gateway.finish(deadline)   # waits until all that has arrived is answered

Pipelined requests of one connection run concurrently. When the caller disconnects, its requests
are cancelled, except non-idempotent requests that are at a server.

A caller's head, body and reading speed are limited in time, and all requests and answers that a VM
buffers for callers are limited in size.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import msgspec

from dotterelfront import errors, headers, http1, logs, relay, slot_client
from dotterelfront.platform import wire

MAX_PIPELINED = 32
"""Limit of unanswered requests on one connection; further requests stay unread."""
LINGER_S = 1.0
"""Time for the caller to close a connection after the last answer. Closing a socket with unread
bytes resets the connection, and the answer could be lost."""
BODY_TIMEOUT_S = 60.0
"""Time for the body of a request that states no deadline; others have until their deadline."""
WRITE_TIMEOUT_S = 10.0
"""A connection is aborted if the caller reads nothing for this long while an answer waits."""
BUFFER_BYTES = 25_000_000
"""Default limit of the bytes that a VM buffers for callers."""
FULL_RETRY_S = 0.5
"""``Retry-After`` for a request that does not fit into the buffer; the memory is soon free again,
because requests and answers have deadlines."""
READ_TURN_S = 0.02
"""Time in which the event loop reads what has arrived on all connections."""
IDLE_AT_SHUTDOWN_S = 0.1
"""Idle time after which a connection is closed during a shutdown. The first request follows a new
connection within a few milliseconds."""
READ_BYTES = 65_536
"""Maximum number of bytes read at once."""
_read_buffer = memoryview(bytearray(READ_BYTES))
"""Shared by all connections of a process: each one copies the bytes before the next one reads."""


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
        buffer_bytes: int = BUFFER_BYTES,
    ):
        self.handle = handle
        self.observe = observe
        self.get_limits = get_limits
        self.leaving = False
        self.connections: set[Connection] = set()
        self.counters: collections.Counter[int] = collections.Counter()
        """Answers by status."""
        self.buffered_bytes = 0
        self.events: collections.Counter[str] = collections.Counter()
        """Connections ended for lack of buffer space or because their caller did not read."""
        self._buffer_limit = buffer_bytes

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

    def refuse_new(self) -> None:
        """Answers all further requests at once with "not run"; used at the end of a shutdown."""
        self.handle = _refuse_shutting_down

    async def finish(self, deadline: float) -> None:
        """Waits, at most until ``deadline``, until all requests that have arrived are answered.

        Idle connections are closed, but only after what has arrived on them was read.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(READ_TURN_S)
            now = loop.time()
            for conn in list(self.connections):
                conn.close_if_idle(now)
            if not any(conn.busy for conn in self.connections) or now >= deadline:
                return

    def close(self) -> None:
        """Closes all connections, even with pending requests."""
        for conn in list(self.connections):
            conn.close()

    def on_buffered(self, change: int) -> None:
        """Counts buffered bytes; over the limit, ends the connections that hold the most."""
        self.buffered_bytes += change
        if change <= 0 or self.buffered_bytes <= self._buffer_limit:
            return
        for conn in sorted(self.connections, key=lambda conn: conn.held_bytes, reverse=True):
            if self.buffered_bytes <= self._buffer_limit:
                return
            conn.shed()


async def _refuse_shutting_down(call: relay.Call) -> relay.Answer:
    raise errors.OverloadedError("the VM is shutting down", slot_client.SHUTDOWN_RETRY_S)


class Connection(asyncio.BufferedProtocol):
    """One caller's connection."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = self._new_reader()
        self._pending: collections.deque[_Pending] = collections.deque()
        self._last_read = self._loop.time()
        self._idle_since = self._last_read
        self._request_started = self._last_read
        self._closing = False
        self._writing_paused = False
        self._unwritten = 0
        """Bytes in the write buffer at the last check, and the time since which none was sent."""
        self._stalled_since: float | None = None
        self.held_bytes = 0
        """Bytes buffered for this connection, as counted by the gateway."""

    @property
    def busy(self) -> bool:
        """Whether a request is incomplete or waits for its answer, or an answer is unsent."""
        receiving = self._reader.started and not self._closing
        return receiving or bool(self._pending) or self._write_buffer_size() > 0

    # Transport callbacks

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._gateway.connections.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        self._last_read = self._loop.time()
        if not self._reader.started:
            self._request_started = self._last_read
        self._reader.feed(data)
        self._read_requests()
        self._count_buffered()

    def pause_writing(self) -> None:
        self._writing_paused = True
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._writing_paused, self._stalled_since = False, None
        self._flush()

    def eof_received(self) -> None:
        self._on_disconnect()

    def connection_lost(self, exc) -> None:
        self._gateway.connections.discard(self)
        self._on_disconnect()
        self._gateway.on_buffered(-self.held_bytes)
        self.held_bytes = 0

    # Called by the gateway

    def expire(self, limits: ConnectionLimits, now: float) -> None:
        """Ends the connection if its caller is idle, sends or reads too slowly."""
        if self._is_stalled(now):
            self._abort("caller does not read")
        elif self._pending or self._closing:
            return
        elif self._reader.started:
            if self._receives_too_long(limits, now):
                self._reject(errors.RequestTimeoutError("request not received completely in time"))
        elif now - self._idle_since > limits.idle_timeout_s:
            self._half_close()

    def close_if_idle(self, now: float) -> None:
        if not self.busy and now - self._idle_since >= IDLE_AT_SHUTDOWN_S:
            self.close()

    def shed(self) -> None:
        """Frees buffered bytes: of answers that are not read, or else of an incomplete request."""
        if self._writing_paused:
            self._abort("answers not read, buffer full")
        elif self._reader.started and not self._closing:
            self._gateway.events["request too large for the buffer"] += 1
            self._reject(errors.OverloadedError("the buffer of the VM is full", FULL_RETRY_S))

    def close(self) -> None:
        """Closes the connection, even with pending requests."""
        if self._transport is not None and not self._closing:
            self._half_close()

    # Requests

    def _new_reader(self) -> http1.RequestReader:
        return http1.RequestReader(self._body_limit)

    def _body_limit(self, head: headers.RequestHead) -> int:
        return self._gateway.get_limits().max_body_bytes

    def _receives_too_long(self, limits: ConnectionLimits, now: float) -> bool:
        if now - self._last_read > limits.head_timeout_s:
            return True
        head = self._reader.head
        if head is None:
            return now - self._request_started > limits.head_timeout_s
        remaining_s = wire.time_left_s(head.fields)
        return now - self._request_started > (
            BODY_TIMEOUT_S if remaining_s is None else remaining_s
        )

    def _is_stalled(self, now: float) -> bool:
        """Whether the caller has read nothing for ``WRITE_TIMEOUT_S`` although bytes wait."""
        size = self._write_buffer_size()
        if not size or size != self._unwritten or self._stalled_since is None:
            self._stalled_since = now if size else None
        self._unwritten = size
        return self._stalled_since is not None and now - self._stalled_since > WRITE_TIMEOUT_S

    def _write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def _count_buffered(self) -> None:
        if self not in self._gateway.connections:
            return
        held = self._reader.buffered_bytes + self._write_buffer_size()
        for pending in self._pending:
            held += len(pending.call.body) if pending.call is not None else 0
            held += len(pending.answer.body) if pending.answer is not None else 0
        change, self.held_bytes = held - self.held_bytes, held
        self._gateway.on_buffered(change)

    def _abort(self, event: str) -> None:
        self._gateway.events[event] += 1
        self._transport.abort()

    def _read_requests(self) -> None:
        while not self._closing and not self._writing_paused and len(self._pending) < MAX_PIPELINED:
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
        self._count_buffered()

    def _reject(self, exc: errors.RequestError) -> None:
        """Answers an invalid request with an error and closes the connection after it."""
        self._closing = True
        self._reader.discard()
        self._pending.append(_Pending(self._reader, None, error_answer(exc)))
        self._flush()
        self._count_buffered()

    def _flush(self) -> None:
        """Writes the completed answers that are next in request order."""
        if self._transport.is_closing():
            self._pending.clear()
            return
        while self._pending and self._pending[0].answer is not None and not self._writing_paused:
            self._write(self._pending.popleft())
        self._idle_since = self._loop.time()
        if self._pending or self._writing_paused or self._transport.is_closing():
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
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection; ``connection_lost`` follows.
            self._transport.abort()
            return
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
