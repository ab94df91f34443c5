"""HTTP/1.1 client for backend servers: one request at a time per connection, parsed by h11.

::

    conn = await exchange.connect("10.0.0.7:8080", timeout_s=0.5)
    res = await conn.send("GET", "/stock/17", [("Host", "shop")], b"", timeout_s=2.0)
    conn.reusable   # false after the server closed, failed or sent unexpected bytes

The error tells whether any byte of the request may have reached the server:
``errors.ConnectError`` if not, ``errors.BrokenExchangeError`` and ``errors.ExchangeTimeoutError``
otherwise. Cancelling ``send`` closes the connection.

A response without end, in its head or its body, breaks the exchange at one of the limits below. The
event loop handles a bounded part of it per turn.
"""

import asyncio
import re
import socket
from collections.abc import Callable

import h11
import msgspec

from dotterelfront import errors, read_budget

USER_TIMEOUT_MS = 2_500
"""A connection fails if sent bytes stay unacknowledged for this long, as in a network partition."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keepalive probes detect a dead peer after three seconds; a response may take longer."""
MAX_RESPONSE_BYTES = 16_000_000
"""Responses are buffered whole. The limit is a twentieth of a VM's memory; users' bodies are
kilobytes."""
MAX_HEAD_BYTES = 64_000
"""Limit of a response head: four times the largest request head that the users' configuration
allows."""
MAX_INTERIM_RESPONSES = 16
"""Maximum number of 1xx responses that are skipped before the final response."""
MAX_FOREIGN_RESPONSES = 4
"""Maximum number of responses to other requests that are discarded."""
FREE_FRAGMENTS = 1_000
MIN_FRAGMENT_BYTES = 64
"""The pieces in which a body arrives must have this mean size after the first ``FREE_FRAGMENTS``.
Each piece costs processor time, however small it is."""
EVENTS_PER_TURN = 256
"""Number of parser events after which other connections get their turn; about 10 ms of work."""
READ_BYTES = 65_536
"""Maximum number of bytes read at once."""
_read_buffer = memoryview(bytearray(READ_BYTES))
"""Shared by all connections of a process: each one copies the bytes before the next one reads."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]+)")


class Response(msgspec.Struct):
    """A complete response. ``fields`` maps lower-case header names to values."""

    status: int
    headers: tuple[tuple[str, str], ...]
    fields: dict[str, str]
    body: bytes


class _Request(msgspec.Struct, frozen=True):
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Connection(asyncio.BufferedProtocol):
    """One connection to a server; see the module docstring.

    ``budget`` counts the buffered bytes of all connections that share it.
    """

    def __init__(self, budget: read_budget.ReadBudget | None = None):
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._parser: h11.Connection | None = None
        self._request: _Request | None = None
        self._head: h11.Response | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._fragments = 0
        self._interim_responses = 0
        self._foreign_responses = 0
        self._yielding = False
        """Whether the rest of the received bytes is handled in a later turn of the event loop."""
        self._awaits_room = False
        self._paused = False
        self._result: asyncio.Future | None = None
        self._matches: Callable[[dict[str, str]], bool] = _any_response
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None

    # Transport callbacks

    def connection_made(self, transport) -> None:
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._result is None or self._result.done():
            # No request is in progress, so these bytes are unexpected.
            self.close()
            return
        self._parser.receive_data(data)
        self._process_events()

    def eof_received(self) -> None:
        self.reusable = False
        if self._result is not None and not self._result.done():
            self._parser.receive_data(b"")
            self._process_events()

    def connection_lost(self, exc) -> None:
        self.reusable = False
        self._fail(errors.BrokenExchangeError(f"connection lost: {exc or 'closed'}"))

    # Requests

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        matches: Callable[[dict[str, str]], bool] | None = None,
    ) -> Response:
        """Sends a request and returns its complete response.

        ``matches`` tells from the headers whether a response belongs to the request. Any other
        response is discarded, and the next one on the connection is read.
        """
        if self._transport.is_closing():
            raise errors.ConnectError("the persistent connection is closed")
        loop = asyncio.get_running_loop()
        self._request = _Request(
            method.encode(),
            target.encode("latin-1"),
            [(name.encode(), value.encode("latin-1", "replace")) for name, value in headers],
            body,
        )
        self._matches = matches or _any_response
        self._interim_responses = self._foreign_responses = 0
        self._result = loop.create_future()
        self._transport.write(self._start_request())
        timer = loop.call_later(timeout_s, self._on_timeout)
        try:
            return await self._result
        finally:
            timer.cancel()
            if not self._result.done() or self._result.cancelled() or self._result.exception():
                self.close()
            self._result = None
            self._free_buffer()
            self.idle_since = loop.time()

    def resume_reading(self) -> None:
        """Reads on; called by the budget when it has room again."""
        self._awaits_room = False
        self._update_reading()

    def close(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _start_request(self) -> bytes:
        """Starts the request with a new parser and returns its bytes."""
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head, self._body_parts, self._body_size, self._fragments = None, [], 0, 0
        req = self._request
        raw = self._parser.send(
            h11.Request(method=req.method, target=req.target, headers=req.headers)
        )
        if req.body:
            raw += self._parser.send(h11.Data(data=req.body))
        return raw + self._parser.send(h11.EndOfMessage())

    def _process_events(self) -> None:
        try:
            for _ in range(EVENTS_PER_TURN):
                if self._result is None or self._result.done():
                    return
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as exc:
            self._break(errors.BreakReason.MALFORMED, f"malformed or incomplete response: {exc}")
            return
        self._yielding = True
        self._update_reading()
        asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self) -> None:
        """Handles more of the received bytes after other connections had their turn."""
        self._yielding = False
        self._process_events()
        self._update_reading()

    def _update_reading(self) -> None:
        pause = self._yielding or self._awaits_room
        if pause == self._paused or self._transport.is_closing():
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _on_event(self, event) -> None:
        if type(event) is h11.Response:
            self._head = event
        elif type(event) is h11.InformationalResponse:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._break(errors.BreakReason.INTERIM, "too many interim responses")
        elif type(event) is h11.Data:
            self._on_data(bytes(event.data))
        elif type(event) is h11.EndOfMessage:
            self._on_response_end()
        elif type(event) is h11.ConnectionClosed:
            self._break(errors.BreakReason.CONNECTION, "connection closed before the response")

    def _on_data(self, data: bytes) -> None:
        self._body_parts.append(data)
        self._body_size += len(data)
        self._fragments += 1
        if self._body_size > MAX_RESPONSE_BYTES:
            self._break(
                errors.BreakReason.TOO_LARGE, f"response body over {MAX_RESPONSE_BYTES} bytes"
            )
        elif self._fragments > FREE_FRAGMENTS + self._body_size / MIN_FRAGMENT_BYTES:
            self._break(errors.BreakReason.FRAGMENTED, "response body in too many small pieces")
        elif self._budget is not None:
            self._count_buffered(self._budget.add(self, len(data)))

    def _count_buffered(self, room: read_budget.Room) -> None:
        if room is read_budget.Room.EXCEEDED:
            self._break(errors.BreakReason.BUFFER, "the read buffer of the VM is full")
        elif room is read_budget.Room.FULL:
            self._awaits_room = True
            self._update_reading()

    def _free_buffer(self) -> None:
        if self._budget is not None:
            self._budget.free(self)

    def _on_response_end(self) -> None:
        res = _response(self._head, b"".join(self._body_parts))
        trailing, closed = self._parser.trailing_data
        if not self._matches(res.fields):
            self._discard_response()
            if self._result.done():
                return
            if trailing:
                self._parser.receive_data(trailing)
            if closed:
                # h11 treats empty data as the end of the stream.
                self._parser.receive_data(b"")
            return
        if trailing or closed or self._parser.their_state is not h11.DONE:
            self.reusable = False
        if self._transport.get_write_buffer_size():
            # The server responded before it read the whole request body.
            self.reusable = False
        if "close" in res.fields.get("connection", "").lower():
            self.reusable = False
        limit = _KEEP_ALIVE_TIMEOUT.search(res.fields.get("keep-alive", ""))
        self.idle_limit_s = float(limit[1]) if limit else None
        self._result.set_result(res)
        if not self.reusable:
            self._transport.abort()
            return
        self._awaits_room = False
        self._update_reading()

    def _discard_response(self) -> None:
        """Discards a response to another request; the next one on the connection may match."""
        self.reusable = False
        self._foreign_responses += 1
        if self._foreign_responses > MAX_FOREIGN_RESPONSES:
            self._break(errors.BreakReason.FOREIGN, "too many responses to other requests")
            return
        self._free_buffer()
        self._start_request()

    def _on_timeout(self) -> None:
        self._fail(errors.ExchangeTimeoutError("no complete response before the timeout"))

    def _break(self, reason: errors.BreakReason, message: str) -> None:
        self._fail(errors.BrokenExchangeError(message, reason))

    def _fail(self, exc: errors.ExchangeError) -> None:
        self.reusable = False
        if self._result is not None and not self._result.done():
            self._result.set_exception(exc)


async def connect(
    address: str, timeout_s: float, budget: read_budget.ReadBudget | None = None
) -> Connection:
    """Opens a connection to ``"ip:port"``; raises ``errors.ConnectError``."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, conn = await loop.create_connection(
                lambda: Connection(budget), host, int(port)
            )
    except (OSError, TimeoutError) as exc:
        raise errors.ConnectError(f"{address}: {exc or 'timeout'}") from exc
    conn.idle_since = loop.time()
    _enable_keepalive(transport.get_extra_info("socket"))
    return conn


def _enable_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _any_response(fields: dict[str, str]) -> bool:
    return True


def _response(head: h11.Response, body: bytes) -> Response:
    pairs = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    )
    fields: dict[str, str] = {}
    for name, value in pairs:
        key = name.lower()
        fields[key] = f"{fields[key]}, {value}" if key in fields else value
    return Response(head.status_code, pairs, fields, body)
