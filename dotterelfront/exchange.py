"""HTTP/1.1 client for backend servers: one request at a time per connection, parsed by h11.

::

    conn = await exchange.connect("10.0.0.7:8080", timeout_s=0.5)
    res = await conn.send("GET", "/stock/17", [("Host", "shop")], b"", timeout_s=2.0)
    conn.reusable   # false after the server closed, failed or sent unexpected bytes

The error tells whether any byte of the request may have reached the server:
``errors.ConnectError`` if not, ``errors.BrokenExchangeError`` and ``errors.ExchangeTimeoutError``
otherwise. Cancelling ``send`` closes the connection.
"""

import asyncio
import re
import socket
from collections.abc import Callable

import h11
import msgspec

from dotterelfront import errors

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


class Connection(asyncio.Protocol):
    """One connection to a server; see the module docstring."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parser: h11.Connection | None = None
        self._request: _Request | None = None
        self._head: h11.Response | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._result: asyncio.Future | None = None
        self._matches: Callable[[dict[str, str]], bool] = _any_response
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None

    # Transport callbacks

    def connection_made(self, transport) -> None:
        self._transport = transport

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
            self.idle_since = loop.time()

    def close(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _start_request(self) -> bytes:
        """Starts the request with a new parser and returns its bytes."""
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head, self._body_parts, self._body_size = None, [], 0
        req = self._request
        raw = self._parser.send(
            h11.Request(method=req.method, target=req.target, headers=req.headers)
        )
        if req.body:
            raw += self._parser.send(h11.Data(data=req.body))
        return raw + self._parser.send(h11.EndOfMessage())

    def _process_events(self) -> None:
        try:
            while self._result is not None and not self._result.done():
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as exc:
            self._fail(errors.BrokenExchangeError(f"malformed or incomplete response: {exc}"))

    def _on_event(self, event) -> None:
        if type(event) is h11.Response:
            self._head = event
        elif type(event) is h11.Data:
            self._body_parts.append(bytes(event.data))
            self._body_size += len(event.data)
            if self._body_size > MAX_RESPONSE_BYTES:
                self._fail(
                    errors.BrokenExchangeError(f"response body over {MAX_RESPONSE_BYTES} bytes")
                )
        elif type(event) is h11.EndOfMessage:
            self._on_response_end()
        elif type(event) is h11.ConnectionClosed:
            self._fail(errors.BrokenExchangeError("connection closed before the response"))

    def _on_response_end(self) -> None:
        res = _response(self._head, b"".join(self._body_parts))
        trailing, closed = self._parser.trailing_data
        if not self._matches(res.fields):
            self.reusable = False
            self._start_request()
            if trailing or closed:
                # h11 treats empty data as the end of the stream.
                self._parser.receive_data(trailing)
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

    def _on_timeout(self) -> None:
        self._fail(errors.ExchangeTimeoutError("no complete response before the timeout"))

    def _fail(self, exc: errors.ExchangeError) -> None:
        self.reusable = False
        if self._result is not None and not self._result.done():
            self._result.set_exception(exc)


async def connect(address: str, timeout_s: float) -> Connection:
    """Opens a connection to ``"ip:port"``; raises ``errors.ConnectError``."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, conn = await loop.create_connection(Connection, host, int(port))
    except (OSError, TimeoutError) as exc:
        raise errors.ConnectError(f"{address}: {exc or 'timeout'}") from exc
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
