"""Sends a request to a backend server over keep-alive connections.

Each request is written once, without retries or redirects. The result is a complete response or a
``AttemptError``. A connection is reused only if no bytes follow a complete response, the response
has the request's id, and the server ran the request. On a reused connection, a response without an
id may be a copy of an earlier one and proves nothing.

urllib3 writes the requests and reads the responses, on top of ``http.client`` of the standard
library. It uses a socket adapter that limits the whole exchange by one deadline and treats the end
of the stream as an error. Its response class applies the rules of ``headers`` to each head.
"""

import collections
import contextlib
import http.client
import io
import select
import socket
import threading
import time
from collections.abc import Callable

import msgspec
import urllib3.connection
import urllib3.exceptions
import urllib3.util
import urllib3.util.response

from dotterelfront import clock, errors, headers, health, models

CONNECT_TIMEOUT_S = 0.25
MAX_IDLE_S = 4.0
"""Shorter than the 5 s after which common servers close an idle connection."""
MAX_IDLE_NON_IDEMPOTENT_S = 0.5
"""Limit for non-idempotent requests. A server may close an idle connection while the request is in
transit, and its outcome would be unknown. A new connection costs about 1 ms."""
READ_BYTES = 16_384
"""Size of each connection's read buffer; larger reads bypass it."""
MAX_INTERIM_RESPONSES = 16
"""Maximum number of 1xx responses that are skipped before the final response."""

_REQUEST_ID = "x-request-id"
_OUTCOME = "dotterelfront-outcome"
_REPLACED_HEADERS = frozenset([_REQUEST_ID, "content-length", "transfer-encoding", "expect"])
"""Request headers of the caller that the proxy removes or replaces."""
_SUPPRESSED_HEADERS = (
    ("User-Agent", urllib3.util.SKIP_HEADER),
    ("Accept-Encoding", urllib3.util.SKIP_HEADER),
)
"""Keeps urllib3 from adding its own values of these headers."""


class ServerRequest(msgspec.Struct, frozen=True):
    """A request to a server. ``deadline`` is on the monotonic clock, in seconds."""

    method: str
    target: str
    headers: headers.Headers
    body: bytes
    deadline: float
    max_response_bytes: int
    request_id: models.RequestId = models.RequestId("")
    idempotent: bool = False


class ServerResponse(msgspec.Struct, frozen=True):
    status: int
    headers: headers.Headers
    body: bytes


class AttemptError(Exception):
    """A failed attempt.

    ``result`` is input for the health of the server; ``error`` becomes the reply to the caller.
    """

    def __init__(self, result: health.AttemptResult, error: errors.RequestError):
        super().__init__(str(error))
        self.result = result
        self.error = error


class _Socket(io.RawIOBase):
    """Adapts the socket of one connection to ``http.client``.

    ``deadline`` limits the whole exchange, whatever the number of reads. Between exchanges it is
    None and nothing is read. Writes are buffered until ``flush``, so that head and body are sent in
    one segment. Socket errors are raised as ``AttemptError``.
    """

    def __init__(self, sock: socket.socket, now: Callable[[], float]):
        super().__init__()
        self.deadline: float | None = None
        self._sock = sock
        self._now = now
        self._unsent: list[bytes] = []
        self._reader = _Reader(self, READ_BYTES)

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline; raises ``AttemptError`` if it has passed."""
        remaining_s = self.deadline - self._now()
        if remaining_s <= 0:
            raise _socket_failure(TimeoutError())
        return remaining_s

    def readable(self) -> bool:
        return True

    def readinto(self, buf) -> int | None:
        if self.deadline is None:
            return None
        try:
            self._sock.settimeout(self.remaining_s())
            size = self._sock.recv_into(buf)
        except OSError as exc:
            raise _socket_failure(exc) from exc
        if not size:
            # Each response has a length or is chunked, so the end of the stream never ends a body.
            raise _broken_exchange(
                errors.TruncatedResponseError("server closed before the response ended")
            )
        return size

    def makefile(self, *_) -> "_Reader":
        """Returns one reader for all responses, so that it still has the bytes after a response."""
        return self._reader

    def sendall(self, data: bytes) -> None:
        self._unsent.append(data)

    def flush(self) -> bool:
        """Writes the request; returns False if the server stopped reading, perhaps to respond."""
        raw = b"".join(self._unsent)
        self._unsent.clear()
        if not raw:
            return True
        try:
            self._sock.settimeout(self.remaining_s())
            self._sock.sendall(raw)
        except (BrokenPipeError, ConnectionResetError):
            return False
        except OSError as exc:
            raise _socket_failure(exc) from exc
        return True

    def settimeout(self, _) -> None:
        """Ignores the timeout per read, because ``deadline`` limits each read."""

    def close(self) -> None:
        """Does nothing: ``Connections`` closes the socket, because it counts open connections."""


class _Reader(io.BufferedReader):
    """Buffers a server's bytes and adds checks of lines and chunk ends that ``http.client`` lacks.

    ``line_budget`` limits the total size in bytes of the next lines. ``between_chunks`` is True for
    a read of the CRLF after a chunk, and False for a read of data.
    """

    line_budget = 0
    between_chunks = False

    def readline(self, size: int = -1) -> bytes:
        line = super().readline(self.line_budget)
        self.line_budget -= len(line)
        if line[-2:] != b"\r\n" or b"\r" in line[:-2]:
            raise errors.FramingError("line is too long or does not end with CRLF")
        return line

    def read(self, size: int = -1) -> bytes:
        if size is None or size < 0:
            raise errors.FramingError("chunk size is negative")
        data = super().read(size)
        if self.between_chunks and size and data != b"\r\n":
            raise errors.FramingError("chunk is longer than its size")
        return data

    def close(self) -> None:
        """Does nothing: ``http.client`` closes its file after each response."""


class _Response(http.client.HTTPResponse):
    """Skips interim responses and checks the head of the final one."""

    def __init__(self, sock: _Socket, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.reader: _Reader = self.fp
        sock.response = self

    def begin(self) -> None:
        self.reader.line_budget = headers.MAX_HEAD_BYTES
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            # The base class skips only 100, and returns without reading if headers are already set.
            self.headers = None
            super().begin()
            if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise errors.FramingError("unexpected 101 response to switch protocols")
            if self.status >= 200:
                break
        else:
            raise errors.FramingError("too many interim responses")
        if self.msg.get_unixfrom():
            raise errors.FramingError("malformed header line")
        if self.msg.defects:
            # Raises unless the defect concerns multipart content, which is not parsed here.
            urllib3.util.response.assert_header_parsing(self.msg)
        self.head = headers.response_head(
            self.status, self.version == 11, self.msg.items(), self._method
        )

    def read_chunks(self, read: Callable[[int], bytes], limit_bytes: int) -> bytes:
        """Returns a chunked body; ``read`` is the read method of urllib3's response."""
        parts, size = [], 0
        while True:
            self.reader.line_budget = headers.MAX_TRAILER_BYTES
            self.reader.between_chunks = True
            # Reads the end of a chunk and the next chunk size; urllib3's read(0) reads nothing.
            self.read(0)
            self.reader.between_chunks = False
            if self.chunk_left is None:
                return b"".join(parts)
            size += self.chunk_left
            if size > limit_bytes:
                raise errors.BodyTooLargeError(f"response of more than {limit_bytes} bytes")
            parts.append(read(self.chunk_left))


class _Conn:
    """An open connection to a server."""

    def __init__(self, server: models.ServerId, sock: socket.socket, now: Callable[[], float]):
        self.server = server
        self.sock = sock
        self.idle_since = 0.0
        self.reused = False
        self.stream = _Socket(sock, now)
        host, _, port = server.rpartition(":")
        self.http = urllib3.connection.HTTPConnection(host, int(port))
        self.http.sock = self.stream
        self.http.response_class = _Response
        # No automatic reconnects: a request is written once, on this connection.
        self.http.auto_open = 0
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def is_reusable(self) -> bool:
        """Returns whether the server has neither closed the connection nor sent further bytes."""
        return not self._poll.poll(0)


class Connections:
    """Pool of connections per server: keeps the idle ones and counts all open ones.

    ``connect`` opens a socket to a server; ``now`` is a monotonic clock in seconds.
    """

    def __init__(
        self,
        connect: Callable[[models.ServerId], socket.socket] | None = None,
        now: Callable[[], float] = clock.now,
    ):
        self._connect = connect or open_socket
        self.now = now
        self._idle: dict[models.ServerId, collections.deque[_Conn]] = {}
        self._open: collections.Counter[models.ServerId] = collections.Counter()
        self._lock = threading.Lock()

    def acquire(self, server: models.ServerId, max_open: int, max_idle_s: float) -> _Conn:
        """Returns the most recently used idle connection, or a new one; raises ``AttemptError``."""
        while (conn := self._pop_idle(server, max_idle_s)) is not None:
            if conn.is_reusable():
                return conn
            self.close(conn)
        self._reserve(server, max_open)
        try:
            return _Conn(server, self._connect(server), self.now)
        except BaseException:
            self._unreserve(server)
            raise

    def release(self, conn: _Conn) -> None:
        """Makes a connection idle, and closes those of its server that were idle for too long."""
        conn.idle_since, conn.reused = self.now(), True
        stale = []
        with self._lock:
            idle = self._idle.setdefault(conn.server, collections.deque())
            idle.append(conn)
            while conn.idle_since - idle[0].idle_since >= MAX_IDLE_S:
                stale.append(idle.popleft())
        for old in stale:
            self.close(old)

    def close(self, conn: _Conn) -> None:
        with contextlib.suppress(OSError):
            conn.sock.close()
        self._unreserve(conn.server)

    def _reserve(self, server: models.ServerId, max_open: int) -> None:
        """Counts a new connection; at the limit, closes the oldest idle one to make room for it."""
        with self._lock:
            idle = self._idle.get(server)
            oldest = idle.popleft() if idle and self._open[server] >= max_open else None
            if oldest is None and self._open[server] >= max_open:
                error = errors.ServerRefusedError(f"all {max_open} connections to {server} in use")
                raise AttemptError(health.AttemptResult.CANCELLED, error)
            self._open[server] += 1
        if oldest is not None:
            self.close(oldest)

    def _pop_idle(self, server: models.ServerId, max_idle_s: float) -> _Conn | None:
        with self._lock:
            idle = self._idle.get(server)
            if not idle or self.now() - idle[-1].idle_since >= max_idle_s:
                return None
            return idle.pop()

    def _unreserve(self, server: models.ServerId) -> None:
        with self._lock:
            self._open[server] -= 1
            if self._open[server] <= 0:
                del self._open[server]
                self._idle.pop(server, None)


def send(
    connections: Connections,
    server: models.ServerId,
    req: ServerRequest,
    max_connections: int = 300,
) -> ServerResponse:
    """Sends the request once and returns the complete response; raises ``AttemptError``."""
    _check_deadline(connections, req)
    conn = connections.acquire(
        server, max_connections, MAX_IDLE_S if req.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
    )
    try:
        _check_deadline(connections, req)
        head, body, reusable = _exchange(conn, req)
    except BaseException:
        connections.close(conn)
        raise
    not_run = head.fields.get(_OUTCOME) == models.Outcome.NOT_RUN.value
    # A copy of a refusal could answer a repeat of the request, which has the same id.
    if reusable and not not_run and _REQUEST_ID in head.fields:
        connections.release(conn)
    else:
        connections.close(conn)
    if not_run:
        error = errors.ServerRefusedError(f"{server} did not run the request")
        raise AttemptError(health.AttemptResult.REFUSED, error)
    relayed = headers.without_internal_headers(headers.end_to_end(head.headers, head.fields))
    return ServerResponse(head.status, relayed, body)


def _check_deadline(connections: Connections, req: ServerRequest) -> None:
    if req.deadline <= connections.now():
        error = errors.DeadlineExceededError("deadline passed before the request was sent")
        raise AttemptError(health.AttemptResult.CANCELLED, error)


def open_socket(server: models.ServerId) -> socket.socket:
    """Opens a connection to "host:port"; raises ``AttemptError``."""
    host, _, port = server.rpartition(":")
    # urllib3 sets TCP_NODELAY on each connection that it opens.
    conn = urllib3.connection.HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
    try:
        conn.connect()
    except (OSError, urllib3.exceptions.HTTPError) as exc:
        error = errors.ServerRefusedError(f"cannot connect to {server}: {exc}")
        raise AttemptError(health.AttemptResult.CONNECT_FAILED, error) from exc
    return conn.sock


def _exchange(conn: _Conn, req: ServerRequest) -> tuple[headers.ResponseHead, bytes, bool]:
    """Writes the request and reads the response; also returns whether ``conn`` may be reused."""
    conn.stream.deadline = req.deadline
    try:
        fully_written = _write(conn, req)
        res = conn.http.getresponse()
        head = conn.stream.response.head
        _check_request_id(head, conn, req)
        body = _read_body(conn.stream.response, res, req.max_response_bytes)
    except errors.BodyTooLargeError as exc:
        raise _broken_exchange(errors.ResponseTooLargeError(str(exc))) from exc
    except (
        errors.FramingError,
        http.client.HTTPException,
        urllib3.exceptions.HTTPError,
    ) as exc:
        raise _broken_exchange(errors.MalformedResponseError(str(exc))) from exc
    conn.stream.deadline = None
    no_extra_bytes = not conn.stream.makefile().peek(1)
    return head, body, fully_written and head.keep_alive and no_extra_bytes


def _broken_exchange(error: errors.RequestError) -> AttemptError:
    return AttemptError(health.AttemptResult.BROKEN, error)


def _socket_failure(exc: OSError) -> AttemptError:
    """Returns the failure for a socket error."""
    if isinstance(exc, TimeoutError):
        error = errors.ResponseTimeoutError("no complete response before the deadline")
        return AttemptError(health.AttemptResult.TIMEOUT, error)
    return _broken_exchange(errors.OutcomeUnknownError(f"connection broke: {exc}"))


class _OrderedHeaders(list):
    """Headers for urllib3. Unlike ``HTTPHeaderDict`` they keep the order and case of names."""

    def __iter__(self):
        return (name for name, _ in super().__iter__())

    def items(self):
        return super().__iter__()


def _write(conn: _Conn, req: ServerRequest) -> bool:
    """Writes the request; returns False if the server stopped reading, perhaps to respond."""
    pairs = [
        pair
        for pair in headers.without_internal_headers(req.headers)
        if pair[0].lower() not in _REPLACED_HEADERS
    ]
    names = {name.lower() for name, _ in pairs}
    pairs += [pair for pair in _SUPPRESSED_HEADERS if pair[0].lower() not in names]
    pairs.append(("X-Request-Id", req.request_id))
    deadline = time.time() + conn.stream.remaining_s()
    pairs.append(("Dotterelfront-Deadline", str(int(deadline * 1000))))
    conn.http.request(
        req.method,
        req.target,
        req.body or None,
        _OrderedHeaders(pairs),
        preload_content=False,
        decode_content=False,
        enforce_content_length=True,
    )
    return conn.stream.flush()


def _read_body(response: _Response, res: urllib3.response.HTTPResponse, limit_bytes: int) -> bytes:
    """Returns the body; raises before reading it if its announced length is too large."""
    length = response.head.length
    if length == 0:
        # A 204 or 304 response may announce chunks that it does not send; http.client would wait.
        res.close()
        return b""
    if length is None:
        return response.read_chunks(res.read, limit_bytes)
    if length > limit_bytes:
        raise errors.BodyTooLargeError(f"response of {length} bytes")
    return res.read()


def _check_request_id(head: headers.ResponseHead, conn: _Conn, req: ServerRequest) -> None:
    echoed = head.fields.get(_REQUEST_ID)
    if echoed is None and conn.reused:
        raise _broken_exchange(errors.WrongResponseError("response has no request id"))
    if echoed not in (None, req.request_id):
        raise _broken_exchange(errors.WrongResponseError("response has the id of another request"))
