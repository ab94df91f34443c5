"""HTTP/1.1 towards servers: one request at a time on a connection, parsed by h11.

::

    conn = await exchange.connect("10.0.0.7:8080", timeout_s=0.5)
    res = await conn.send("GET", "/stock/17", [("Host", "shop")], b"", timeout_s=2.0)
    conn.reusable   # false once the server closed, broke off or sent bytes of no request

A failure says whether a byte of the request can have reached the server:
``errors.ConnectError`` when none can, ``errors.BrokenExchangeError`` and
``errors.ExchangeTimeoutError`` otherwise. Cancelling ``send`` closes the connection.
"""

import asyncio
import re
import socket
from collections.abc import Callable

import h11
import msgspec

from dotterelfront import errors

USER_TIMEOUT_MS = 2_500
"""Unacknowledged bytes for this long end a connection: a partition answers nothing."""
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
"""TCP probes end a silent connection after three seconds; a server may take longer to answer."""
MAX_RESPONSE_BYTES = 16_000_000
"""Responses are held whole; this is a twentieth of a VM's memory, users' bodies are kilobytes."""
MAX_HEAD_BYTES = 64_000
"""Four times the largest head that the users' configuration allows in a request."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]+)")


class Response(msgspec.Struct):
    """A complete response. ``fields`` maps lower-case names to values."""

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
    """One connection to a server; see the module's text."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._conn: h11.Connection | None = None
        self._request: _Request | None = None
        self._head: h11.Response | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._done: asyncio.Future | None = None
        self._mine: Callable[[dict[str, str]], bool] = _any_response
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None

    # Callbacks of the transport

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._done is None or self._done.done():
            # Bytes that belong to no request.
            self.close()
            return
        self._conn.receive_data(data)
        self._read()

    def eof_received(self) -> None:
        self.reusable = False
        if self._done is not None and not self._done.done():
            self._conn.receive_data(b"")
            self._read()

    def connection_lost(self, exc) -> None:
        self.reusable = False
        self._fail(errors.BrokenExchangeError(f"connection lost: {exc or 'closed'}"))

    # Calls

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        mine: Callable[[dict[str, str]], bool] | None = None,
    ) -> Response:
        """Sends a request and returns its complete response.

        ``mine`` tells from the headers whether a response belongs to the request; one that does not
        is dropped, and the next one on the connection is taken.
        """
        if self._transport.is_closing():
            raise errors.ConnectError("the kept connection has ended")
        loop = asyncio.get_running_loop()
        self._request = _Request(
            method.encode(),
            target.encode("latin-1"),
            [(name.encode(), value.encode("latin-1", "replace")) for name, value in headers],
            body,
        )
        self._mine = mine or _any_response
        self._done = loop.create_future()
        self._transport.write(self._start())
        timer = loop.call_later(timeout_s, self._expire)
        try:
            return await self._done
        finally:
            timer.cancel()
            if not self._done.done() or self._done.cancelled() or self._done.exception():
                self.close()
            self._done = None
            self.idle_since = loop.time()

    def close(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _start(self) -> bytes:
        """Begins a request on a fresh parser and returns its bytes."""
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head, self._parts, self._size = None, [], 0
        req = self._request
        raw = self._conn.send(
            h11.Request(method=req.method, target=req.target, headers=req.headers)
        )
        if req.body:
            raw += self._conn.send(h11.Data(data=req.body))
        return raw + self._conn.send(h11.EndOfMessage())

    def _read(self) -> None:
        try:
            while self._done is not None and not self._done.done():
                event = self._conn.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
        except h11.RemoteProtocolError as exc:
            self._fail(errors.BrokenExchangeError(f"malformed or incomplete response: {exc}"))

    def _take(self, event) -> None:
        if type(event) is h11.Response:
            self._head = event
        elif type(event) is h11.Data:
            self._parts.append(bytes(event.data))
            self._size += len(event.data)
            if self._size > MAX_RESPONSE_BYTES:
                self._fail(errors.BrokenExchangeError(f"body over {MAX_RESPONSE_BYTES} bytes"))
        elif type(event) is h11.EndOfMessage:
            self._finish()
        elif type(event) is h11.ConnectionClosed:
            self._fail(errors.BrokenExchangeError("closed before a response"))

    def _finish(self) -> None:
        res = _response(self._head, b"".join(self._parts))
        rest, closed = self._conn.trailing_data
        if not self._mine(res.fields):
            self.reusable = False
            self._start()
            if rest or closed:
                # No bytes mean the end of the stream to h11.
                self._conn.receive_data(rest)
            return
        if rest or closed or self._conn.their_state is not h11.DONE:
            self.reusable = False
        if self._transport.get_write_buffer_size():
            # The server answered before it read the whole body.
            self.reusable = False
        if "close" in res.fields.get("connection", "").lower():
            self.reusable = False
        limit = _KEEP_ALIVE_TIMEOUT.search(res.fields.get("keep-alive", ""))
        self.idle_limit_s = float(limit[1]) if limit else None
        self._done.set_result(res)
        if not self.reusable:
            self._transport.abort()

    def _expire(self) -> None:
        self._fail(errors.ExchangeTimeoutError("no complete response in time"))

    def _fail(self, exc: errors.ExchangeError) -> None:
        self.reusable = False
        if self._done is not None and not self._done.done():
            self._done.set_exception(exc)


async def connect(address: str, timeout_s: float) -> Connection:
    """Opens a connection to ``"ip:port"``; raises ``errors.ConnectError``."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, conn = await loop.create_connection(Connection, host, int(port))
    except (OSError, TimeoutError) as exc:
        raise errors.ConnectError(f"{address}: {exc or 'timeout'}") from exc
    _bound_silence(transport.get_extra_info("socket"))
    return conn


def _bound_silence(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
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
