"""Minimal HTTP/1.1 server for stand-ins, on asyncio and h11.

::

    async def handle(req):
        return Response(200, [], b"ok")

    server = await serve(handle, "127.0.0.9", 2391)

A response with status 0 aborts the connection without sending anything. When the client closes its
connection, the server cancels the handler in progress.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import h11


@dataclasses.dataclass
class Request:
    """A complete request; ``server_host`` is the server's own address on the connection."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    server_host: str


@dataclasses.dataclass
class Response:
    status: int
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    truncate_at: int | None = None
    """Bytes of the body after which the connection closes; None sends the whole body."""
    stray: bytes = b""
    """Bytes sent before the response, such as a copy of an earlier one."""
    endless: bytes = b""
    """Bytes sent instead of the response, again and again until the client closes."""


RequestHandler = Callable[[Request], Awaitable[Response]]


class _Connection(asyncio.Protocol):
    def __init__(self, handle: RequestHandler):
        self._handle = handle
        self._conn = h11.Connection(h11.SERVER)
        self._body: list[bytes] = []
        self._head: h11.Request | None = None
        self._task: asyncio.Task | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def connection_lost(self, exc) -> None:
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> None:
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        self._conn.receive_data(data)
        self._process_events()

    def _process_events(self) -> None:
        while self._task is None:
            event = self._conn.next_event()
            if type(event) is h11.Request:
                self._head, self._body = event, []
            elif type(event) is h11.Data:
                self._body.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                self._task = asyncio.ensure_future(self._respond(self._build_request()))
            else:
                return

    def _build_request(self) -> Request:
        path, _, query = self._head.target.decode().partition("?")
        fields = {name.decode(): value.decode() for name, value in self._head.headers}
        server_host = self._transport.get_extra_info("sockname")[0]
        body = b"".join(self._body)
        return Request(self._head.method.decode(), path, query, fields, body, server_host)

    async def _respond(self, req: Request) -> None:
        res = await self._handle(req)
        self._task = None
        if res.status == 0:
            self._transport.abort()
            return
        if res.endless:
            await self._send_endlessly(res.endless)
            return
        header_pairs = [*res.headers, ("Content-Length", str(len(res.body)))]
        raw = self._conn.send(h11.Response(status_code=res.status, headers=header_pairs))
        if res.body:
            raw += self._conn.send(h11.Data(data=res.body))
        raw += self._conn.send(h11.EndOfMessage())
        if res.truncate_at is not None:
            self._transport.write(raw[: len(raw) - len(res.body) + res.truncate_at])
            self._transport.close()
            return
        self._transport.write(res.stray + raw)
        if self._conn.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._conn.start_next_cycle()
        self._process_events()

    async def _send_endlessly(self, raw: bytes) -> None:
        while not self._transport.is_closing():
            self._transport.write(raw)
            await asyncio.sleep(0.001)


async def serve(handle: RequestHandler, host: str, port: int) -> asyncio.Server:
    """Starts a server on the address that passes each request to ``handle``."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Connection(handle), host, port, reuse_address=True)
