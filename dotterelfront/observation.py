"""Records the outcome of each request: metrics, and counters for the burn-rate report.

::

    observer = Observer(metrics, counters)
    observer.record(route, "GET", reply, elapsed_s=0.012)
"""

import time
from collections.abc import Callable

from dotterelfront import burn, messages, metrics, models


class Observer:
    """Updates the metrics and the counters of the burn-rate report.

    ``now`` returns seconds since the epoch.
    """

    def __init__(
        self,
        proxy_metrics: metrics.Metrics,
        counters: burn.RouteCounters,
        now: Callable[[], float] = time.time,
    ):
        self._metrics = proxy_metrics
        self._counters = counters
        self._now = now

    def record(
        self, route: models.Route, method: str, reply: messages.Forwarded, elapsed_s: float
    ) -> None:
        """Records one finished request, whatever its outcome; ``elapsed_s`` is its duration."""
        self._metrics.count("requests", outcome=reply.outcome.value, code=reply.code)
        self._metrics.observe_request(route.name, method, reply.status, elapsed_s)
        kind = burn.classify_request(
            reply.outcome, reply.status, elapsed_s, route.deadline_ms / 1000
        )
        if kind is not None:
            self._counters.record(route.name, kind, self._now())
