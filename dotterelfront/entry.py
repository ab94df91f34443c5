"""The entry: the HTTP server for callers. It passes their requests to a ``delivery.Deliverer``.

cheroot accepts connections, closes idle ones and runs the worker threads. ``http1.RequestReader``
reads the requests with h11, because cheroot's own reader accepts ambiguous framing, folds repeated
headers and decodes the path. A worker holds a connection only while it serves a complete request.
Until then the connection waits in the poller, so that slow senders occupy no worker.
"""

import collections
import contextlib
import queue
import select
import socket
import threading
import time
import urllib.parse
import uuid
from collections.abc import Callable

import cheroot.server
from cheroot import connections
from cheroot.workers import threadpool
from loguru import logger

from dotterelfront import delivery, dispatch, errors, headers, http1, messages, models, routing

READY_PATH = "/_dotterelfront/ready"
OPERATIONS_PATH = "/_dotterelfront/operations"
IDLE_TIMEOUT_S = 75.0
"""Longer than the 60 s for which load balancers usually keep idle connections. The load balancer
thus closes them first and sends no request on a connection that is closing."""
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 20.0
WRITE_TIMEOUT_S = 10.0
DISCARD_TIMEOUT_S = 1.0
"""Time for the caller to read a rejection. Closing with unread bytes would reset the connection."""
BODY_WAIT_S = 0.005
"""Time that a worker waits for a body; many clients send head and body in two segments."""
READ_BYTES = 65_536
ACCEPT_RETRY_S = 0.05
MAX_CONNECTIONS = 4_000

_ONE_SHOT = select.EPOLLIN | select.EPOLLONESHOT


Observe = Callable[[models.Route, str, messages.Forwarded, float], None]
"""Called with route, method, reply and the seconds from the complete request to its reply."""


class RouteLimit:
    """Limits the requests in flight of each route, so that slow routes leave workers to others.

    A route may occupy as many workers as are free: one slow route gets half of all workers, ``n``
    slow routes together get ``n / (n + 1)``. ::

        if limit.acquire(route.name):
            try:
                ...
            finally:
                limit.release(route.name)
    """

    def __init__(self, workers: int):
        self._workers = workers
        self._busy = 0
        self._by_route: collections.Counter = collections.Counter()
        self._lock = threading.Lock()

    def acquire(self, route: models.RouteName) -> bool:
        """Returns whether the request may proceed. If so, ``release`` must be called after it."""
        with self._lock:
            if self._by_route[route] >= max(1, self._workers - self._busy):
                return False
            self._by_route[route] += 1
            self._busy += 1
            return True

    def release(self, route: models.RouteName) -> None:
        with self._lock:
            self._by_route[route] -= 1
            self._busy -= 1
            if not self._by_route[route]:
                del self._by_route[route]


class Entry:
    """Serves complete requests.

    After ``drain`` the readiness check fails and each connection closes after its next response.
    """

    def __init__(
        self,
        deliverer: delivery.Deliverer,
        tables: Callable[[], models.Tables | None],
        customer_header: str,
        workers: int,
        observe: Observe = lambda route, method, reply, elapsed_s: None,
    ):
        self._deliverer = deliverer
        self._observe = observe
        self._tables = tables
        self._customer_field = customer_header.lower()
        self._routes: tuple[models.Revision, routing.RouteTable] | None = None
        self._limit = RouteLimit(workers)
        self.draining = False

    def drain(self) -> None:
        self.draining = True

    def body_limit(self, head: headers.RequestHead) -> int:
        """Returns the body limit in bytes; raises ``errors.RequestError`` if no route matches."""
        if head.path == OPERATIONS_PATH:
            return READ_BYTES
        return self._match_route(head).max_request_bytes

    def respond(
        self,
        head: headers.RequestHead,
        body: bytes,
        write: Callable[[messages.Forwarded], None],
    ) -> None:
        """Serves one request and passes the reply to ``write``."""
        if head.path == READY_PATH:
            ready = self._tables() is not None and not self.draining
            write(messages.Forwarded(models.Outcome.ANSWERED, 200 if ready else 503))
            return
        if head.path == OPERATIONS_PATH and head.method == "POST":
            write(self._issue_tokens(head))
            return
        started = time.monotonic()
        try:
            route = self._match_route(head)
        except errors.RequestError as exc:
            write(delivery.rejection_reply(exc, _has_operation(head)))
            return
        reply = self._serve_within_limit(route, head, body)
        write(reply)
        self._observe(route, head.method, reply, time.monotonic() - started)

    def _serve_within_limit(
        self, route: models.Route, head: headers.RequestHead, body: bytes
    ) -> messages.Forwarded:
        if not self._limit.acquire(route.name):
            error = errors.OverloadedError(f"too many requests of route {route.name} in flight")
            return delivery.rejection_reply(error, _has_operation(head))
        try:
            return self._deliver(route, head, body)
        finally:
            self._limit.release(route.name)

    def _issue_tokens(self, head: headers.RequestHead) -> messages.Forwarded:
        query = dict(urllib.parse.parse_qsl(head.target.partition("?")[2]))
        try:
            return self._deliverer.issue_tokens(query.get("count", "1"))
        except errors.RequestError as exc:
            return dispatch.error_reply(exc)

    def _deliver(
        self, route: models.Route, head: headers.RequestHead, body: bytes
    ) -> messages.Forwarded:
        req = delivery.Request(
            models.CustomerId(head.fields.get(self._customer_field, models.NO_CUSTOMER)),
            models.RequestId(uuid.uuid4().hex),
            time.time() + route.deadline_ms / 1000,
            head.method,
            head.target,
            headers.end_to_end(head.headers, head.fields),
            body,
        )
        try:
            return self._deliverer.deliver(route, req)
        except Exception as exc:
            logger.exception("unexpected error while serving a request")
            return dispatch.error_reply(
                errors.OutcomeUnknownError(f"internal: {type(exc).__name__}")
            )

    def _match_route(self, head: headers.RequestHead) -> models.Route:
        tables = self._tables()
        if tables is None:
            raise errors.NoConfigurationError("no configuration yet")
        if self._routes is None or self._routes[0] != tables.revision:
            self._routes = (tables.revision, routing.RouteTable(tables.routes))
        route = self._routes[1].match(head.host, head.method, head.path)
        if route is None:
            raise errors.NoRouteError(f"no route matches {head.method} {head.path}")
        return route


def _has_operation(head: headers.RequestHead) -> bool:
    return delivery.OPERATION_FIELD in head.fields or delivery.IDEMPOTENCY_FIELD in head.fields


class _Stream:
    """Stands in for cheroot's buffered streams; ``Connection`` uses the socket itself.

    ``has_data`` tells cheroot whether the connection has buffered bytes to serve at once.
    """

    def __init__(self, *_):
        self.bytes_read = 0
        self.bytes_written = 0
        self.closed = False
        self.buffered = False

    def has_data(self) -> bool:
        return self.buffered

    def close(self) -> None:
        self.closed = True


class Connection(cheroot.server.HTTPConnection):
    """A caller's connection. cheroot calls ``communicate`` in a worker when bytes have arrived."""

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, _Stream)
        sock.setblocking(False)
        self._app: Entry = server.app
        self._now: Callable[[], float] = server.now
        self._reader = http1.RequestReader(self._app.body_limit)
        self.waiting = False
        """Whether the connection waits in the poller, which alone sets this."""
        self._discarding = False
        self._request_incomplete = False
        self._has_head = False
        self._expires_at = self._now() + IDLE_TIMEOUT_S

    @property
    def expired(self) -> bool:
        """Whether the time limit for the bytes that the connection waits for has passed."""
        return self._now() >= self._expires_at

    def communicate(self) -> bool:
        """Reads the available bytes and serves one request; returns whether to stay connected."""
        self.rfile.buffered = False
        try:
            return self._communicate()
        except OSError:
            return False

    def close(self) -> None:
        """Closes the socket, after a 408 response if a request is incomplete."""
        if self._request_incomplete and not self._discarding:
            error = errors.RequestTimeoutError("the request did not arrive completely in time")
            self._request_incomplete = False
            with contextlib.suppress(OSError):
                self.socket.send(self._encode(dispatch.error_reply(error), close=True))
        self.server.poller.remove(self)
        super().close()

    def _communicate(self) -> bool:
        data = self._receive()
        if data == b"":
            self._request_incomplete = False
            return False
        if self._discarding:
            return True
        if data:
            self._reader.feed(data)
        try:
            request = self._reader.next_request() or self._wait_for_body()
        except errors.RequestError as exc:
            return self._reject(exc)
        if request is None:
            self._update_expiry()
            return True
        self._request_incomplete = False
        return self._serve(*request)

    def _receive(self) -> bytes | None:
        """Returns received bytes, b"" at the end of the stream, or None if there are none yet."""
        try:
            return self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return None

    def _wait_for_body(self):
        """Waits briefly for the rest of a body; sends ``100 Continue`` first if it is expected."""
        if self._reader.head is None:
            return None
        if self._reader.wants_continue:
            self.socket.send(self._reader.continue_response())
        deadline = self._now() + BODY_WAIT_S
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        while (remaining_s := deadline - self._now()) > 0 and poll.poll(remaining_s * 1000):
            data = self._receive()
            if data == b"":
                raise ConnectionResetError
            self._reader.feed(data or b"")
            if request := self._reader.next_request():
                return request
        return None

    def _update_expiry(self) -> None:
        """Sets the time limit for the next bytes.

        The head and the body of a request each have one fixed limit; further bytes do not extend
        it. An idle connection gets a new limit.
        """
        now = self._now()
        if not self._reader.started:
            self._request_incomplete = False
            self._expires_at = now + IDLE_TIMEOUT_S
        elif not self._request_incomplete:
            self._request_incomplete = True
            self._has_head = self._reader.head is not None
            self._expires_at = now + (BODY_TIMEOUT_S if self._has_head else HEAD_TIMEOUT_S)
        elif not self._has_head and self._reader.head is not None:
            self._has_head = True
            self._expires_at = now + BODY_TIMEOUT_S

    def _serve(self, head: headers.RequestHead, body: bytes) -> bool:
        keep_open = False

        def write(reply: messages.Forwarded) -> None:
            nonlocal keep_open
            keep_open = (
                head.keep_alive
                and reply.code != errors.MalformedRequestError.code
                and not self._app.draining
                and self.server.can_add_keepalive_connection
            )
            self._send(reply, close=not keep_open)

        self._app.respond(head, body, write)
        self._expires_at = self._now() + IDLE_TIMEOUT_S
        self.rfile.buffered = self._reader.started
        return keep_open

    def _reject(self, error: errors.RequestError) -> bool:
        """Responds to a request that cannot be read completely; its other bytes are discarded."""
        head = self._reader.head
        self._send(
            delivery.rejection_reply(error, head is not None and _has_operation(head)), close=True
        )
        self.socket.shutdown(socket.SHUT_WR)
        self._discarding = True
        self._expires_at = self._now() + DISCARD_TIMEOUT_S
        return True

    def _send(self, reply: messages.Forwarded, close: bool) -> None:
        raw = self._encode(reply, close)
        sent = 0
        with contextlib.suppress(BlockingIOError):
            sent = self.socket.send(raw)
        if sent < len(raw):
            self.socket.settimeout(WRITE_TIMEOUT_S)
            self.socket.sendall(memoryview(raw)[sent:])
            self.socket.setblocking(False)

    def _encode(self, reply: messages.Forwarded, close: bool) -> bytes:
        """Returns the bytes of a reply, including the headers with its outcome and error code."""
        pairs = list(headers.without_internal_headers(reply.headers))
        pairs += [pair for pair in reply.headers if pair[0] == delivery.OPERATION_HEADER]
        pairs.append(("Dotterelfront-Outcome", reply.outcome.value))
        if reply.code:
            pairs.append(("Dotterelfront-Error", reply.code))
        body = reply.body or reply.detail.encode()
        return self._reader.response(reply.status, pairs, body, close)


class _Workers(threadpool.ThreadPool):
    """cheroot's worker threads; they take connections directly from the poller."""

    def __init__(self, server, **kwargs):
        super().__init__(server, **kwargs)
        self._queue = _WakingQueue(server)
        self.get = self._next_connection

    def _next_connection(self):
        """Returns the next connection with bytes to read, or cheroot's shutdown request."""
        return self.server.poller.get(self._queue)


class _WakingQueue(queue.Queue):
    """Queues connections with buffered bytes and shutdown requests; each item wakes one worker."""

    def __init__(self, server):
        super().__init__()
        self._server = server

    def put(self, item, block=True, timeout=None) -> None:
        super().put(item)
        self._server.poller.wake()


class _Poller(connections.ConnectionManager):
    """cheroot's connection manager without a selector thread between socket and worker.

    All workers wait on one epoll object. Each connection is registered one-shot, so that exactly
    one worker wakes for it. With cheroot's selector thread two threads wake for each request.
    """

    def __init__(self, server):
        self.server = server
        self._epoll = select.epoll()
        self._conns: dict[int, Connection] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_fd = self._wake_receiver.fileno()
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._listen_fd = server.socket.fileno()
        self._epoll.register(self._listen_fd, _ONE_SHOT)

    def put(self, conn) -> None:
        """Registers a connection to wait for its next bytes, or serves its buffered bytes."""
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        fd = conn.socket.fileno()
        # Under the lock, so that no other thread claims and closes the connection in between.
        with self._lock:
            registered = self._conns.get(fd) is conn
            (self._epoll.modify if registered else self._epoll.register)(fd, _ONE_SHOT)
            self._conns[fd] = conn
            conn.waiting = True

    def get(self, queued: queue.Queue):
        """Returns the next connection or queued object."""
        while True:
            if queued.qsize():
                with contextlib.suppress(queue.Empty):
                    return queued.get_nowait()
            for fd, _ in self._epoll.poll(maxevents=1):
                if fd == self._listen_fd:
                    conn = self._accept()
                elif fd == self._wake_fd:
                    with contextlib.suppress(BlockingIOError):
                        self._wake_receiver.recv(1)
                    conn = None
                else:
                    conn = self._claim(fd)
                if conn is not None:
                    return conn

    def wake(self) -> None:
        """Wakes one worker to check the queue."""
        self._wake_sender.send(b"x")

    def run(self, expiration_interval: float) -> None:
        """Closes expired connections until ``stop``; the workers accept and serve connections."""
        while not self._stop.wait(expiration_interval):
            for conn in list(self._conns.values()):
                if conn.expired and self._claim(conn.socket.fileno()):
                    conn.close()

    def stop(self) -> None:
        """Stops accepting connections."""
        self._stop.set()
        with contextlib.suppress(OSError):
            self._epoll.unregister(self._listen_fd)

    def close(self) -> None:
        """Closes the connections that wait for a request; workers finish theirs."""
        for fd, conn in list(self._conns.items()):
            if self._claim(fd):
                conn.close()

    def remove(self, conn) -> None:
        """Removes a connection that is about to be closed."""
        fd = conn.socket.fileno()
        with self._lock:
            if self._conns.get(fd) is conn:
                del self._conns[fd]

    @property
    def _num_connections(self) -> int:
        return len(self._conns)

    def _claim(self, fd: int):
        """Returns the connection if it still waits, so that only one thread gets it; else None."""
        with self._lock:
            conn = self._conns.get(fd)
            if conn is None or not conn.waiting:
                return None
            conn.waiting = False
            return conn

    def _accept(self):
        """Accepts and returns a connection, or None on failure; then lets other workers accept."""
        try:
            return self._from_server_socket(self.server.socket)
        except (OSError, AttributeError):
            # The server is stopping, or the process has no free file descriptor.
            time.sleep(ACCEPT_RETRY_S)
            return None
        finally:
            with contextlib.suppress(OSError, ValueError):
                self._epoll.modify(self._listen_fd, _ONE_SHOT)


class Server(cheroot.server.HTTPServer):
    """cheroot's server with ``Connection`` objects, which pass requests to ``app``."""

    ConnectionClass = Connection
    keep_alive_conn_limit = MAX_CONNECTIONS
    shutdown_timeout = None
    """No limit: cheroot's default of 5 s may be shorter than a route's deadline. Each request ends
    at its deadline anyway."""

    def __init__(
        self,
        address: str,
        port: int,
        workers: int,
        app: Entry,
        now: Callable[[], float] = time.monotonic,
    ):
        super().__init__((address, port), gateway=None, minthreads=workers)
        self.app = app
        self.now = now
        self.poller: _Poller | None = None
        self.request_queue_size = 1_024
        self.requests = _Workers(self, min=workers)

    @property
    def _connections(self):
        return self.poller

    @_connections.setter
    def _connections(self, manager: connections.ConnectionManager) -> None:
        """cheroot sets its manager here, when it listens and before it starts the workers."""
        manager._selector.close()
        self.poller = _Poller(self)
        # Workers accept connections as soon as they start, but cheroot sets ``ready`` only after
        # all have started. Until then it would close connections that wait for their request.
        self.ready = True
