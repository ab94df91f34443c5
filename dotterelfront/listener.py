"""A listening socket that loses no connection when it closes.

::

    listener = Listener("10.0.0.1:8641", gateway.connection)
    await listener.close()     # accepts the connections that wait in its queue first

``asyncio.Server`` resets the queued connections when it closes, although their requests may already
have arrived.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

from dotterelfront import logs

BACKLOG = 512
"""Length of the accept queue. After a restart all callers of a zone connect at once."""
ACCEPTS_PER_TURN = 64
"""Connections accepted in one turn of the event loop."""
EXHAUSTED_PAUSE_S = 0.2
"""Pause after the process has run out of file descriptors; connections wait in the queue."""
_EXHAUSTED = frozenset([errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])


class Listener:
    """Accepts connections for protocols that ``make_protocol`` creates; raises ``OSError``."""

    def __init__(self, address: str, make_protocol: Callable[[], asyncio.BaseProtocol]):
        host, _, port = address.rpartition(":")
        self._loop = asyncio.get_running_loop()
        self._make_protocol = make_protocol
        self._tasks: set[asyncio.Task] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.setblocking(False)
            self._sock.bind((host, int(port)))
            self._sock.listen(BACKLOG)
        except OSError:
            self._sock.close()
            raise
        self._loop.add_reader(self._sock, self._accept)

    async def close(self) -> None:
        """Accepts all queued connections and stops listening."""
        self._loop.remove_reader(self._sock)
        while self._accept():
            pass
        self._sock.close()
        await asyncio.gather(*self._tasks)

    def _accept(self) -> int:
        """Accepts queued connections; returns their number."""
        for count in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return count
            except OSError as exc:
                self._on_accept_failed(exc)
                return 0
            sock.setblocking(False)
            task = self._loop.create_task(self._connect(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return ACCEPTS_PER_TURN

    async def _connect(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, sock)
        except OSError as exc:
            logs.event("connection not accepted", level="DEBUG", error=str(exc))

    def _on_accept_failed(self, exc: OSError) -> None:
        logs.event("accepting connections failed", level="WARNING", error=str(exc))
        if exc.errno in _EXHAUSTED:
            self._loop.remove_reader(self._sock)
            self._loop.call_later(EXHAUSTED_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._sock.fileno() >= 0:
            self._loop.add_reader(self._sock, self._accept)
