"""Stand-in for a backend server with injectable faults.

``python -m standins.backend 127.0.0.10 9000`` starts one. Every path returns JSON with the server,
the method, the path and the request id; ``?work_ms=`` sets the service time.

- ``PUT /_faults`` with JSON sets the given fields of ``Faults`` and resets the others to their
  defaults.
- ``GET /_executions`` returns how often each operation ran: ``{"runs": {id: count}}``. The id is
  the ``X-Operation`` header, or the request id without that header.
- ``GET /health`` is the health check. Faults do not affect ``/_faults`` and ``/_executions``.
"""

import collections
import contextlib
import dataclasses
import http.server
import json
import random
import sys
import threading
import time
import urllib.parse

NOT_RUN_HEADERS = {"Dotterelfront-Outcome": "not-run"}
HANG_TIMEOUT_S = 30.0
"""Time after which a hanging request closes its connection and frees its slot; a change of the
faults ends it earlier. Longer than any route's deadline."""


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults that the server injects."""

    slow_factor: float = 1.0
    """Multiplies the service time of each request."""
    base_ms: float = 0.0
    """Service time added to ``work_ms``, so that ``slow_factor`` acts on plain requests too."""
    error_share: float = 0.0
    """Share of requests that run and get status 500."""
    hang_share: float = 0.0
    """Share of requests that run and get no response."""
    fail_work: bool = False
    """Requests get status 500, but health checks pass."""
    mute: bool = False
    """Connections are accepted, but no request gets a response, including health checks."""
    truncate: bool = False
    """The connection closes in the middle of the response body."""
    wrong_request_id: bool = False
    """The response carries an id other than that of the request."""
    slots: int = 0
    """Maximum number of concurrent requests; further ones get 503 not-run. 0 means no limit."""
    draining: bool = False
    """New requests get 503 not-run and a closed connection; requests in flight finish."""
    cold_s: float = 0.0
    """Duration of the cold start: the service time falls linearly from ``cold_factor`` times
    the normal value to the normal value."""
    cold_factor: float = 10.0
    ignore_deadline: bool = False
    """Runs requests whose ``Dotterelfront-Deadline`` has passed."""
    seed: int = 1


class Server(http.server.ThreadingHTTPServer):
    """One backend server; ``state_lock`` guards its counters, faults and random generator."""

    daemon_threads = True
    request_queue_size = 1_024

    def __init__(self, address: str, port: int):
        super().__init__((address, port), Handler)
        self.label = f"{address}:{port}"
        self.state_lock = threading.Lock()
        self.runs: collections.Counter[str] = collections.Counter()
        self.busy_slots = 0
        self.faults_changed = threading.Event()
        self.set_faults(Faults())

    def set_faults(self, faults: Faults) -> None:
        with self.state_lock:
            self.faults = faults
            self.rng = random.Random(faults.seed)
            self.faults_set_at = time.monotonic()
            self.faults_changed.set()
            self.faults_changed = threading.Event()

    def start_run(self, operation: str) -> bool:
        """Counts a run and acquires a slot; returns false if all slots are busy."""
        with self.state_lock:
            if self.faults.slots and self.busy_slots >= self.faults.slots:
                return False
            self.busy_slots += 1
            self.runs[operation] += 1
            return True

    def finish_run(self) -> None:
        with self.state_lock:
            self.busy_slots -= 1

    def draw(self) -> float:
        with self.state_lock:
            return self.rng.random()

    def service_s(self, faults: Faults, work_ms: float) -> float:
        """Returns the service time in seconds, including ``slow_factor`` and cold start."""
        factor = faults.slow_factor
        age_s = time.monotonic() - self.faults_set_at
        if age_s < faults.cold_s:
            factor *= 1 + (faults.cold_factor - 1) * (1 - age_s / faults.cold_s)
        return (faults.base_ms + work_ms) * factor / 1000


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Server

    def handle_one_request(self) -> None:
        with contextlib.suppress(ConnectionError):
            super().handle_one_request()

    def do_any(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        path, _, query = self.path.partition("?")
        if path == "/_faults" and self.command == "PUT":
            self.server.set_faults(Faults(**json.loads(body)))
            self._respond(200, {})
        elif path == "/_executions":
            with self.server.state_lock:
                runs = dict(self.server.runs)
            self._respond(200, {"runs": runs})
        elif self.server.faults.mute:
            self._hang()
        elif path == "/health":
            self._respond(503 if self.server.faults.draining else 200, {})
        else:
            self._handle_work(path, query, len(body))

    do_GET = do_HEAD = do_POST = do_PUT = do_DELETE = do_PATCH = do_OPTIONS = do_any  # noqa: N815

    def _handle_work(self, path: str, query: str, body_bytes: int) -> None:
        faults = self.server.faults
        if faults.draining:
            self.close_connection = True
            self._respond(503, {"error": "draining"}, NOT_RUN_HEADERS)
        elif not faults.ignore_deadline and self._deadline_passed():
            self._respond(503, {"error": "expired"}, NOT_RUN_HEADERS)
        elif not self.server.start_run(self._operation()):
            self._respond(503, {"error": "no free slot"}, NOT_RUN_HEADERS)
        else:
            try:
                self._run(faults, path, query, body_bytes)
            finally:
                self.server.finish_run()

    def _run(self, faults: Faults, path: str, query: str, body_bytes: int) -> None:
        params = dict(urllib.parse.parse_qsl(query))
        if (service_s := self.server.service_s(faults, float(params.get("work_ms", 0)))) > 0:
            time.sleep(service_s)
        if faults.hang_share and self.server.draw() < faults.hang_share:
            self._hang()
        elif faults.fail_work or (faults.error_share and self.server.draw() < faults.error_share):
            self._respond(500, {"error": "fault"})
        else:
            payload = {
                "server": self.server.label,
                "method": self.command,
                "path": path,
                "request_id": self.headers.get("X-Request-Id", ""),
                "received": body_bytes,
            }
            self._respond(200, payload, truncate=faults.truncate, wrong_id=faults.wrong_request_id)

    def _respond(
        self, status: int, payload: dict, extra_headers=None, truncate=False, wrong_id=False
    ):
        body = json.dumps(payload).encode()
        request_id = "another" if wrong_id else self.headers.get("X-Request-Id")
        fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        if request_id:
            fields["X-Request-Id"] = request_id
        if self.close_connection:
            fields["Connection"] = "close"
        lines = [
            f"HTTP/1.1 {status} -",
            *(f"{k}: {v}" for k, v in (fields | (extra_headers or {})).items()),
        ]
        raw = "\r\n".join([*lines, "", ""]).encode()
        if self.command != "HEAD":
            raw += body
        if truncate:
            raw = raw[: -len(body) // 2]
            self.close_connection = True
        self.wfile.write(raw)

    def _hang(self) -> None:
        self.server.faults_changed.wait(HANG_TIMEOUT_S)
        self.close_connection = True

    def _operation(self) -> str:
        return self.headers.get("X-Operation") or self.headers.get("X-Request-Id") or "unnamed"

    def _deadline_passed(self) -> bool:
        deadline_ms = self.headers.get("Dotterelfront-Deadline")
        return deadline_ms is not None and int(deadline_ms) < time.time() * 1000

    def log_message(self, *args) -> None:
        """Suppresses the access log of the base class."""


def main(address: str, port: int) -> None:
    Server(address, port).serve_forever()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
