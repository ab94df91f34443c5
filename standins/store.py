"""Stand-in for the platform's key-value service, its list of VMs and its list of leaving servers.

``python -m standins.store 127.0.0.9 2390`` serves all three. The HTTP interface is that of
``dotterelfront.store`` and ``dotterelfront.platform``. In addition:

- ``PUT /v1/vms`` sets the list of VMs; ``GET`` returns it with the lag ``vm_list_lag_s``.
- ``PUT /v1/servers/leaving`` with ``{"servers": ["10.0.0.7:8080"]}`` sets the leaving servers.
- ``GET /v1/stats`` returns the number of calls and bytes, and the peak number of calls
  in one second.
- ``POST /v1/faults`` injects faults; the body has one or more of these keys:

  - ``down_s``: resets the connection of every key-value call for this time in seconds; 0 ends
    the fault.
  - ``slow_ms``: delay of every key-value call in milliseconds; 0 means none.
  - ``lose_replies``: number of writes that are applied, but whose connection is reset instead of a
    reply; with ``lose_prefix`` only writes to keys with this prefix.
  - ``lapse``: id of a lease that expires at once, or ``"*"`` for all leases.
  - ``snapshot`` and ``restore``: name of a snapshot of the state that is taken or restored.
  - ``vm_list_lag_s``: age in seconds of the list of VMs that ``GET`` returns.
  - ``reads_per_s`` and ``writes_per_s``: rate limits; calls above them get status 429. 0 means
    no limit.
"""

import collections
import errno
import itertools
import json
import sys
import threading
import time
import urllib.parse
from collections.abc import Callable

import cheroot.wsgi

MAX_VALUE_BYTES = 1_000_000
EXPIRY_CHECK_S = 0.25
THREADS = 256
"""Each pending watch occupies one thread."""

EMPTY_VMS = b'{"vms": []}'
EMPTY_SERVERS = b'{"servers": []}'

Reply = tuple[str, dict[str, str], bytes]


class Store:
    """In-memory key-value store with versions, leases and long-polling watches."""

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._cond = threading.Condition()
        self._entries: dict[str, tuple[bytes, int, str]] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._snapshots: dict[str, tuple[dict, dict]] = {}

    def get(self, key: str, wait_after: int | None, timeout_s: float) -> Reply:
        """Reads a key.

        With ``wait_after``, first waits until the version of the key differs from it, at most
        ``timeout_s`` seconds.
        """
        deadline = self._now() + timeout_s
        with self._cond:
            self._expire()
            while wait_after is not None and self._version(key) == wait_after:
                if self._now() >= deadline:
                    return "304 Not Modified", {}, b""
                self._cond.wait(min(EXPIRY_CHECK_S, deadline - self._now()))
                self._expire()
            if key not in self._entries:
                return "404 Not Found", {}, b""
            value, version, _ = self._entries[key]
            return "200 OK", {"Version": str(version)}, value

    def put(self, key: str, value: bytes, if_version: int, lease: str = "") -> Reply:
        with self._cond:
            self._expire()
            if len(value) > MAX_VALUE_BYTES:
                return "413 Content Too Large", {}, b""
            if lease and lease not in self._leases:
                return "412 Precondition Failed", {}, b""
            if self._version(key) != if_version:
                return "409 Conflict", {"Version": str(self._version(key))}, b""
            self._entries[key] = (value, if_version + 1, lease)
            self._cond.notify_all()
            return "200 OK", {"Version": str(if_version + 1)}, b""

    def delete(self, key: str, if_version: int) -> Reply:
        with self._cond:
            self._expire()
            if self._version(key) != if_version:
                return "409 Conflict", {"Version": str(self._version(key))}, b""
            self._entries.pop(key, None)
            self._cond.notify_all()
            return "204 No Content", {}, b""

    def keys(self, prefix: str) -> Reply:
        with self._cond:
            self._expire()
            versions = {
                key: entry[1] for key, entry in self._entries.items() if key.startswith(prefix)
            }
        return "200 OK", {}, json.dumps({"keys": versions}).encode()

    def lease(self, ttl_s: float) -> Reply:
        with self._cond:
            lease_id = f"lease-{next(self._lease_ids)}"
            self._leases[lease_id] = (ttl_s, self._now() + ttl_s)
            return "200 OK", {}, json.dumps({"lease": lease_id}).encode()

    def renew(self, lease: str) -> Reply:
        with self._cond:
            self._expire()
            if lease not in self._leases:
                return "404 Not Found", {}, b""
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, self._now() + ttl_s)
            return "200 OK", {}, b"{}"

    def expire_leases(self, lease: str) -> None:
        """Expires a lease at once, or all leases for ``"*"``."""
        with self._cond:
            for name in list(self._leases) if lease == "*" else [lease]:
                self._leases[name] = (0.0, self._now())
            self._expire()

    def snapshot(self, name: str) -> None:
        with self._cond:
            self._snapshots[name] = (dict(self._entries), dict(self._leases))

    def restore(self, name: str) -> None:
        with self._cond:
            entries, leases = self._snapshots[name]
            self._entries = dict(entries)
            self._leases = {key: (ttl_s, self._now() + ttl_s) for key, (ttl_s, _) in leases.items()}
            self._cond.notify_all()

    def _version(self, key: str) -> int:
        return self._entries.get(key, (b"", 0, ""))[1]

    def _expire(self) -> None:
        now = self._now()
        expired = {lease for lease, (_, expires_at) in self._leases.items() if expires_at <= now}
        if not expired:
            return
        for lease in expired:
            del self._leases[lease]
        for key in [key for key, entry in self._entries.items() if entry[2] in expired]:
            del self._entries[key]
        self._cond.notify_all()


class Faults:
    """Injected faults, call rates, and the platform's lists of VMs and leaving servers."""

    def __init__(self, store: Store, now: Callable[[], float] = time.monotonic):
        self._store = store
        self._now = now
        self._lock = threading.Lock()
        self._down_until = 0.0
        self._lose_replies = 0
        self._lose_prefix = ""
        self._limits = {"reads": 0.0, "writes": 0.0}
        self._calls_per_second = {kind: collections.Counter() for kind in self._limits}
        self._vm_lists: list[tuple[float, bytes]] = []
        self._vm_list_lag_s = 0.0
        self.leaving_servers = EMPTY_SERVERS
        self.slow_s = 0.0
        self.stats: collections.Counter = collections.Counter()

    def inject(self, fault: dict) -> None:
        with self._lock:
            if "down_s" in fault:
                self._down_until = self._now() + fault["down_s"]
            self.slow_s = fault.get("slow_ms", self.slow_s * 1000) / 1000
            if "lose_replies" in fault:
                self._lose_replies = fault["lose_replies"]
                self._lose_prefix = fault.get("lose_prefix", "")
            self._vm_list_lag_s = fault.get("vm_list_lag_s", self._vm_list_lag_s)
            for kind in self._limits:
                self._limits[kind] = fault.get(f"{kind}_per_s", self._limits[kind])
        if "lapse" in fault:
            self._store.expire_leases(fault["lapse"])
        if "snapshot" in fault:
            self._store.snapshot(fault["snapshot"])
        if "restore" in fault:
            self._store.restore(fault["restore"])

    def is_down(self) -> bool:
        return self._now() < self._down_until

    def admit(self, kind: str) -> bool:
        """Counts a call; returns false if it exceeds the rate limit."""
        with self._lock:
            self.stats[kind] += 1
            second, counts = int(self._now()), self._calls_per_second[kind]
            counts[second] += 1
            self.stats[f"{kind}_peak_per_s"] = max(self.stats[f"{kind}_peak_per_s"], counts[second])
            for old in [other for other in counts if other < second]:
                del counts[old]
            refused = 0 < self._limits[kind] < counts[second]
            self.stats[f"{kind}_refused"] += refused
            return not refused

    def count_bytes(self, received: int, sent: int) -> None:
        with self._lock:
            self.stats["bytes_received"] += received
            self.stats["bytes_sent"] += sent

    def consume_lost_reply(self, key: str) -> bool:
        """Returns whether the reply to a write is lost; counts it if so."""
        with self._lock:
            lost = self._lose_replies > 0 and key.startswith(self._lose_prefix)
            self._lose_replies -= lost
            return lost

    def set_vms(self, raw: bytes) -> None:
        with self._lock:
            self._vm_lists.append((self._now(), raw))

    def vms(self) -> bytes:
        with self._lock:
            visible = [
                raw for set_at, raw in self._vm_lists if set_at <= self._now() - self._vm_list_lag_s
            ]
            return visible[-1] if visible else EMPTY_VMS


def application(store: Store, faults: Faults):
    """Returns the WSGI application that serves a store under faults."""

    def platform_reply(path: str, method: str, body: bytes) -> Reply | None:
        if path == "/v1/vms":
            if method == "PUT":
                faults.set_vms(body)
            return "200 OK", {}, faults.vms()
        if path == "/v1/servers/leaving":
            if method == "PUT":
                faults.leaving_servers = body
            return "200 OK", {}, faults.leaving_servers
        if path == "/v1/faults":
            faults.inject(json.loads(body))
            return "200 OK", {}, b"{}"
        if path == "/v1/stats":
            return "200 OK", {}, json.dumps(faults.stats).encode()
        return None

    def key_value_reply(path: str, method: str, query: dict, body: bytes, environ) -> Reply:
        if path == "/v1/keys":
            return store.keys(query.get("prefix", ""))
        if path == "/v1/leases":
            return store.lease(float(json.loads(body)["ttl_s"]))
        if path.startswith("/v1/leases/"):
            return store.renew(path.removeprefix("/v1/leases/"))
        key = path.removeprefix("/v1/kv/")
        if method == "GET":
            wait_after = int(query["wait_after"]) if "wait_after" in query else None
            return store.get(key, wait_after, float(query.get("timeout_s", 0)))
        if_version = int(environ.get("HTTP_IF_VERSION", 0))
        if method == "PUT":
            reply = store.put(key, body, if_version, environ.get("HTTP_LEASE", ""))
        else:
            reply = store.delete(key, if_version)
        if faults.consume_lost_reply(key):
            _break_connection()
        return reply

    def app(environ, start_response):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        body = environ["wsgi.input"].read() if method in ("PUT", "POST") else b""
        reply = platform_reply(path, method, body)
        if reply is None:
            if faults.is_down():
                _break_connection()
            time.sleep(faults.slow_s)
            if faults.admit("reads" if method == "GET" else "writes"):
                reply = key_value_reply(path, method, query, body, environ)
                if faults.is_down():
                    _break_connection()
            else:
                reply = "429 Too Many Requests", {}, b""
            faults.count_bytes(len(body), len(reply[2]))
        status, headers, content = reply
        start_response(status, [*headers.items(), ("Content-Length", str(len(content)))])
        return [content]

    return app


def _break_connection():
    """Raises an error at which cheroot closes the connection without a response."""
    raise ConnectionResetError(errno.ECONNRESET, "injected fault")


def main(address: str, port: int) -> None:
    store = Store()
    app = application(store, Faults(store))
    server = cheroot.wsgi.Server((address, port), app, numthreads=THREADS)
    server.keep_alive_conn_limit = 1_000
    server.safe_start()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
