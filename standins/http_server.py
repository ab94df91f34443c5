"""A small HTTP/1.1 server on asyncio for stand-ins, parsed by h11.

::

    async def answer(req):
        return Response(200, [], b"ok")

    server = await serve(answer, "127.0.0.9", 2391)

A response with status 0 closes the connection instead of an answer. When the client closes its
connection, the answer in progress is cancelled.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import h11


@dataclasses.dataclass
class Request:
    """A complete request; ``local`` is the host at which the client reached the server."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    local: str


@dataclasses.dataclass
class Response:
    status: int
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    cut: int | None = None
    """Bytes of the body after which the connection breaks off."""


Answer = Callable[[Request], Awaitable[Response]]


class _Connection(asyncio.Protocol):
    def __init__(self, answer: Answer):
        self._answer = answer
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
        self._read()

    def _read(self) -> None:
        while self._task is None:
            event = self._conn.next_event()
            if type(event) is h11.Request:
                self._head, self._body = event, []
            elif type(event) is h11.Data:
                self._body.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                self._task = asyncio.ensure_future(self._run(self._request()))
            else:
                return

    def _request(self) -> Request:
        path, _, query = self._head.target.decode().partition("?")
        fields = {name.decode(): value.decode() for name, value in self._head.headers}
        local = self._transport.get_extra_info("sockname")[0]
        body = b"".join(self._body)
        return Request(self._head.method.decode(), path, query, fields, body, local)

    async def _run(self, req: Request) -> None:
        res = await self._answer(req)
        self._task = None
        if res.status == 0:
            self._transport.abort()
            return
        pairs = [*res.headers, ("Content-Length", str(len(res.body)))]
        raw = self._conn.send(h11.Response(status_code=res.status, headers=pairs))
        if res.body:
            raw += self._conn.send(h11.Data(data=res.body))
        raw += self._conn.send(h11.EndOfMessage())
        if res.cut is not None:
            self._transport.write(raw[: len(raw) - len(res.body) + res.cut])
            self._transport.close()
            return
        self._transport.write(raw)
        if self._conn.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._conn.start_next_cycle()
        self._read()


async def serve(answer: Answer, host: str, port: int) -> asyncio.Server:
    """Opens the server."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Connection(answer), host, port, reuse_address=True)
