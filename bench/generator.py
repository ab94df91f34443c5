"""Load generator that runs as a separate process.

``python -m bench.generator open HOST PORT PATH RATE SECONDS SEED`` sends at Poisson arrival times
and measures each request from its arrival time, so that a stall counts for all requests it delays.

``python -m bench.generator closed HOST PORT PATH CONNECTIONS SECONDS SEED`` keeps each connection
busy.

Both print ``{"latencies_ms": [...], "failed": n, "elapsed_s": s}``.
"""

import collections
import json
import random
import selectors
import socket
import sys
import time

MAX_LAG_S = 5.0
"""Maximum delay between the arrival time of a request and its sending.

A saturated relay accepts no more connections and so delays sending. Requests with a longer delay
are not sent and count as failed, which bounds the duration of a block.
"""
DRAIN_TIMEOUT_S = 5.0
"""Maximum time to wait for outstanding responses after the last request."""


class Client:
    """HTTP client with keep-alive connections to one address, on one selector."""

    def __init__(self, host: str, port: int, path: str):
        self._address = (host, port)
        self._raw = f"GET {path} HTTP/1.1\r\nHost: bench.example\r\nX-Customer: c1\r\n\r\n".encode()
        self._selector = selectors.DefaultSelector()
        self._idle: collections.deque[socket.socket] = collections.deque()
        self._busy: dict[socket.socket, tuple[float, bytearray]] = {}
        self.latencies_ms: list[float] = []
        self.failed = 0

    @property
    def busy(self) -> int:
        return len(self._busy)

    def open(self, count: int) -> None:
        self._idle.extend(self._connect() for _ in range(count))

    def send(self, arrival: float) -> None:
        sock = self._idle.pop() if self._idle else self._connect()
        self._busy[sock] = (arrival, bytearray())
        sock.send(self._raw)

    def poll(self, timeout_s: float) -> None:
        """Reads responses; waits at most ``timeout_s`` for the first."""
        for key, _ in self._selector.select(max(0.0, timeout_s)):
            self._read(key.fileobj)

    def _connect(self) -> socket.socket:
        sock = socket.create_connection(self._address, timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(sock, selectors.EVENT_READ)
        return sock

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65_536)
        except OSError:
            data = b""
        if sock not in self._busy:
            self._close(sock)
            return
        arrival, buf = self._busy[sock]
        buf += data
        if not data:
            self.failed += 1
            self._close(sock)
        elif _is_complete(buf):
            del self._busy[sock]
            self._idle.append(sock)
            if buf.startswith(b"HTTP/1.1 200"):
                self.latencies_ms.append((time.perf_counter() - arrival) * 1000)
            else:
                self.failed += 1

    def _close(self, sock: socket.socket) -> None:
        self._busy.pop(sock, None)
        if sock in self._idle:
            self._idle.remove(sock)
        self._selector.unregister(sock)
        sock.close()


def _is_complete(buf: bytearray) -> bool:
    head_end = buf.find(b"\r\n\r\n")
    if head_end < 0:
        return False
    field_start = buf.lower().find(b"content-length:", 0, head_end)
    length = int(buf[field_start + 15 : buf.find(b"\r\n", field_start)]) if field_start >= 0 else 0
    return len(buf) >= head_end + 4 + length


def run_open(client: Client, rate: float, seconds: float, seed: int) -> float:
    """Sends requests at Poisson arrival times. Returns the elapsed time in seconds."""
    rng = random.Random(seed)
    start = time.perf_counter()
    arrival = start + rng.expovariate(rate)
    while arrival < start + seconds:
        while (remaining_s := arrival - time.perf_counter()) > 0:
            client.poll(remaining_s)
        if time.perf_counter() - arrival < MAX_LAG_S:
            client.send(arrival)
        else:
            client.failed += 1
        arrival += rng.expovariate(rate)
    _drain(client)
    return time.perf_counter() - start


def run_closed(client: Client, connections: int, seconds: float) -> float:
    """Keeps all connections busy. Returns the elapsed time in seconds."""
    start = time.perf_counter()
    while (now := time.perf_counter()) < start + seconds:
        while client.busy < connections:
            client.send(now)
        client.poll(0.1)
    elapsed_s = time.perf_counter() - start
    _drain(client)
    return elapsed_s


def _drain(client: Client) -> None:
    deadline = time.perf_counter() + DRAIN_TIMEOUT_S
    while client.busy and time.perf_counter() < deadline:
        client.poll(0.1)
    client.failed += client.busy


def main(
    mode: str, host: str, port: str, path: str, rate_or_connections: str, seconds: str, seed: str
) -> None:
    client = Client(host, int(port), path)
    client.open(8)
    if mode == "open":
        elapsed_s = run_open(client, float(rate_or_connections), float(seconds), int(seed))
    else:
        elapsed_s = run_closed(client, int(rate_or_connections), float(seconds))
    result = {
        "latencies_ms": client.latencies_ms,
        "failed": client.failed,
        "elapsed_s": elapsed_s,
    }
    json.dump(result, sys.stdout)


if __name__ == "__main__":
    main(*sys.argv[1:])
