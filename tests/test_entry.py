"""Tests the entry over loopback connections, with a fake deliverer that records requests."""

import socket
import threading
import types

import pytest
import test_headers
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import dispatch, entry, errors, messages, models

ROUTES = (
    models.Route(models.RouteName("stock"), "/stock", models.PoolName("p"), max_request_bytes=64),
    models.Route(models.RouteName("slow"), "/slow", models.PoolName("p")),
)
TABLES = models.Tables(models.Revision(1), ROUTES, ())
GET = b"GET /stock HTTP/1.1\r\nHost: h\r\n\r\n"
WORKERS = 4


class Deliverer:
    """Records requests and returns ``reply``; requests of ``/slow`` wait for ``finish_slow``."""

    def __init__(self):
        self.requests = []
        self.reply = messages.Forwarded(models.Outcome.ANSWERED, 200, (), b"body")
        self.entered = threading.Semaphore(0)
        self.finish_slow = threading.Event()

    def deliver(self, route, req):
        self.requests.append((req.method, req.target, req.headers, req.body))
        if route.name == "slow":
            self.entered.release()
            self.finish_slow.wait(20)
        if isinstance(self.reply, errors.RequestError):
            return dispatch.error_reply(self.reply)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


@pytest.fixture
def running():
    deliverer = Deliverer()
    app = entry.Entry(deliverer, lambda: TABLES, "X-Customer", WORKERS)
    clock = types.SimpleNamespace(now=0.0)
    server = entry.Server("127.0.0.1", 0, WORKERS, app, lambda: clock.now)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield types.SimpleNamespace(deliverer=deliverer, app=app, server=server, clock=clock)
    deliverer.finish_slow.set()
    server.stop()
    thread.join()


def _connect(running) -> socket.socket:
    return socket.create_connection(running.server.bind_addr, timeout=20)


def _exchange(running, raw: bytes) -> bytes:
    """Sends bytes and returns all bytes received until the server closes the connection."""
    with _connect(running) as sock:
        sock.sendall(raw)
        return _read_all(sock)


def _read_all(sock) -> bytes:
    parts = []
    while part := sock.recv(65_536):
        parts.append(part)
    return b"".join(parts)


def _closing(raw: bytes) -> bytes:
    return raw.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (b"POST /stock HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd", b"400"),
        (b"GET /stock/../x HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"POST /stock HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", b"413"),
        (b"POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n", b"404"),
    ],
)
def test_rejected_request_reaches_no_server(running, raw, code):
    """Guards against a rejected request that runs, and against a connection reused after it."""
    res = _exchange(running, raw if code == b"413" else raw + GET)
    assert res.startswith(b"HTTP/1.1 " + code)
    assert res.count(b"HTTP/1.1") == 1
    assert b"Dotterelfront-Outcome: not-run\r\n" in res
    assert running.deliverer.requests == []


@pytest.mark.parametrize("raw", test_headers.AMBIGUOUS)
def test_malformed_request_is_answered_with_400(running, raw):
    """Guards against a malformed request that is relayed, echoed or followed by another."""
    res = _exchange(running, raw.replace(b" /a", b" /stock", 1) + GET)
    assert res.startswith(b"HTTP/1.1 400 Bad Request\r\n")
    assert res.count(b"HTTP/1.1") == 1
    assert b"Dotterelfront-Outcome: not-run\r\n" in res
    assert b"Dotterelfront-Error: MALFORMED_REQUEST\r\n" in res
    assert b"Connection: close\r\n" in res
    assert running.deliverer.requests == []


def test_headers_are_relayed_in_both_directions(running):
    """Guards against lost repeated headers, changed names and relayed connection headers."""
    running.deliverer.reply = messages.Forwarded(
        models.Outcome.ANSWERED,
        200,
        (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("Dotterelfront-Slots", "6")),
        b"body",
    )
    raw = b"PUT /stock/%7Ea?q=%2f HTTP/1.1\r\nHost: h\r\nX-MiXed: 1\r\nAccept: a\r\nAccept: b\r\n"
    raw += b"Connection: close, X-Hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nhi"
    res = _exchange(running, raw)
    method, target, headers, body = running.deliverer.requests[0]
    assert (method, target, body) == ("PUT", "/stock/%7Ea?q=%2f", b"hi")
    assert headers[:4] == (("Host", "h"), ("X-MiXed", "1"), ("Accept", "a"), ("Accept", "b"))
    assert not {"Connection", "X-Hop"} & {name for name, _ in headers}
    assert res.count(b"Set-Cookie: ") == 2
    assert b"Slots" not in res
    assert res.endswith(b"Content-Length: 4\r\nConnection: close\r\n\r\nbody")


@pytest.mark.parametrize("method", ["HEAD", "PUT", "POST", "DELETE", "PATCH", "OPTIONS"])
def test_methods_are_relayed(running, method):
    """Guards against a method that is rejected, and a HEAD response with a body."""
    raw = _closing(GET.replace(b"GET", method.encode()))
    assert _exchange(running, raw).endswith(b"\r\n\r\n" + b"body" * (method != "HEAD"))
    assert running.deliverer.requests[0][0] == method


def test_pipelined_and_split_requests_are_all_answered(running):
    """Guards against a request that waits forever in the buffer of its connection."""
    with _connect(running) as sock:
        sock.sendall(GET * 3 + GET[:9])
        sock.sendall(GET[9:] + _closing(GET))
        assert _read_all(sock).count(b"HTTP/1.1 200") == 5


def test_100_continue_is_sent_when_expected(running):
    """Guards against a caller that waits for ``100 Continue`` before it sends its body."""
    with _connect(running) as sock:
        sock.sendall(
            b"POST /stock HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        assert sock.recv(1000).startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"hi")
        assert _read_all(sock).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    ("raw", "limit_s"),
    [
        (GET[:-2], entry.HEAD_TIMEOUT_S),
        (
            b"PUT /stock HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na",
            entry.BODY_TIMEOUT_S,
        ),
    ],
)
def test_slow_sender_is_cut_off_without_holding_a_worker(running, raw, limit_s):
    """Guards against callers that never finish sending a request and occupy all workers."""
    incomplete = threading.Semaphore(0)

    class Signalling(entry.Connection):
        def _update_expiry(self):
            super()._update_expiry()
            if self._request_incomplete:
                incomplete.release()

    running.server.ConnectionClass = Signalling
    slow = [_connect(running) for _ in range(WORKERS * 2)]
    for sock in slow:
        sock.sendall(raw)
        assert incomplete.acquire(timeout=20)
    assert _exchange(running, _closing(GET)).startswith(b"HTTP/1.1 200 ")
    running.clock.now += limit_s
    for sock in slow:
        assert _read_all(sock).startswith(b"HTTP/1.1 408 ")
        sock.close()
    assert len(running.deliverer.requests) == 1


def test_slow_route_leaves_workers_to_others(running):
    """Guards against a route with slow servers that occupies every worker."""
    raw = _closing(GET.replace(b"/stock", b"/slow"))
    slow = [_connect(running) for _ in range(WORKERS)]
    for sock in slow[: WORKERS // 2]:
        sock.sendall(raw)
        assert running.deliverer.entered.acquire(timeout=20)
    for sock in slow[WORKERS // 2 :]:
        sock.sendall(raw)
        rejected = _read_all(sock)
        assert rejected.startswith(b"HTTP/1.1 503 ")
        assert b"Dotterelfront-Outcome: not-run" in rejected
    assert _exchange(running, _closing(GET)).startswith(b"HTTP/1.1 200 ")
    running.deliverer.finish_slow.set()
    for sock in slow[: WORKERS // 2]:
        assert _read_all(sock).startswith(b"HTTP/1.1 200 ")


@given(st.lists(st.integers(0, 5), max_size=200), st.integers(2, 64))
def test_free_workers_remain_for_a_new_route(routes, workers):
    """Guards against several routes that together occupy every worker."""
    limit = entry.RouteLimit(workers)
    held = [route for route in routes if limit.acquire(models.RouteName(str(route)))]
    if len(set(held)) < workers - 1:
        assert limit.acquire(models.RouteName("new"))
        limit.release(models.RouteName("new"))
    for route in held:
        limit.release(models.RouteName(str(route)))
    assert all(limit.acquire(models.RouteName("a")) for _ in range(workers // 2))


def test_early_connection_stays_open_while_workers_start():
    """Guards against closing a connection that was accepted before all workers started."""
    app = entry.Entry(Deliverer(), lambda: TABLES, "X-Customer", WORKERS)
    server = entry.Server("127.0.0.1", 0, WORKERS, app)
    start, responses = server.requests.start, []

    def start_and_send():
        start()
        with socket.create_connection(server.socket.getsockname(), timeout=20) as sock:
            sock.sendall(GET)
            responses.append(sock.recv(1000))

    server.requests.start = start_and_send
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    server.stop()
    thread.join()
    assert responses[0].startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" not in responses[0]


def test_draining_closes_connections_and_fails_readiness(running):
    """Guards against callers whose keep-alive connection is cut at shutdown."""
    ready = GET.replace(b"/stock", entry.READY_PATH.encode())
    assert _exchange(running, _closing(ready)).startswith(b"HTTP/1.1 200 ")
    with _connect(running) as conn:
        conn.sendall(GET)
        assert b"Connection: close" not in conn.recv(1000)
        running.app.drain()
        conn.sendall(GET)
        assert b"Connection: close" in _read_all(conn)
    assert _exchange(running, ready).startswith(b"HTTP/1.1 503 ")
    assert _exchange(running, GET).startswith(b"HTTP/1.1 200 ")


def test_request_in_flight_finishes_after_stop(running):
    """Guards against an interrupted request when the server stops; cheroot waits 5 s by default."""
    assert running.server.shutdown_timeout is None
    with _connect(running) as sock:
        sock.sendall(GET.replace(b"/stock", b"/slow"))
        assert running.deliverer.entered.acquire(timeout=20)
        stopping = threading.Thread(target=running.server.stop)
        stopping.start()
        while running.server.socket is not None:
            stopping.join(0.01)
        running.deliverer.finish_slow.set()
        assert _read_all(sock).startswith(b"HTTP/1.1 200 ")
        stopping.join()


def test_internal_error_is_reported_as_unknown(running):
    """Guards against a dropped connection or a false not-run when the proxy itself fails."""
    for fault, code in ((KeyError("x"), b"OUTCOME_UNKNOWN"), (errors.OverloadedError(), b"OVER")):
        running.deliverer.reply = fault
        res = _exchange(running, _closing(GET))
        assert b"Dotterelfront-Error: " + code in res
