"""HTTP admin endpoint of a VM: readiness, status and metrics for operators.

It listens on a separate port, so that callers can be denied access to it. It serves ``GET /ready``,
``GET /status`` (JSON) and ``GET /metrics`` (Prometheus text format).
"""

from collections.abc import Callable, Mapping

import cheroot.wsgi
import msgspec

WORKERS = 2

Page = Callable[[], tuple[str, str, bytes]]
"""Returns the status line, the content type and the body."""


def pages(
    ready: Callable[[], bool],
    status: Callable[[], Mapping],
    metrics_text: Callable[[], bytes],
) -> dict[str, Page]:
    """Returns the pages of the admin endpoint by path."""

    def ready_page():
        status_line = "200 OK" if ready() else "503 Service Unavailable"
        return status_line, "text/plain", b"ready\n" if ready() else b"not ready\n"

    return {
        "/ready": ready_page,
        "/status": lambda: ("200 OK", "application/json", msgspec.json.encode(status())),
        "/metrics": lambda: ("200 OK", "text/plain; version=0.0.4", metrics_text()),
    }


def make_server(address: str, port: int, by_path: Mapping[str, Page]) -> cheroot.wsgi.Server:
    """Returns a server for the pages; the caller starts it."""

    def app(environ, start_response):
        page = by_path.get(environ["PATH_INFO"])
        status_line, content_type, body = (
            page() if page else ("404 Not Found", "text/plain", b"not found\n")
        )
        start_response(
            status_line, [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        )
        return [body]

    return cheroot.wsgi.Server((address, port), app, numthreads=WORKERS)
