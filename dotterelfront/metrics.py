"""OpenTelemetry metrics with a low cost per request.

Request handling only increments plain counters and appends durations to a buffer, because one
OpenTelemetry call takes about 11 us. OpenTelemetry reads the counters at each scrape, and
``flush`` records the buffered durations::

    metrics = Metrics(vm_id="vm-1")
    metrics.count("refusals", code="OVERLOADED")
    metrics.observe_request("stock", "GET", 200, duration_s=0.012)
    metrics.prometheus_text()
"""

import collections
import threading
from collections.abc import Callable, Mapping

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

COUNTERS = {
    "requests": "Requests by outcome and error code",
    "forwards": "Requests by path: served here, forwarded, second owner",
    "retries": "Idempotent requests sent again, by cause",
    "health": "Ejections, permits, floor limits and returns, by pool",
    "operations": "Operations of issued tokens and callers' keys, by result",
    "configuration": "Configuration events: adopted, rejected, alarms",
    "store_calls": "Calls to the key-value service, by method and result",
    "peer_messages": "Messages between VMs dropped or rejected, by cause",
    "membership": "Changes of the usable VMs and one-way links",
}
"""Descriptions by counter name; ``Metrics.count`` accepts only these names."""

DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
"""Histogram boundaries up to 10 s, from the OpenTelemetry HTTP semantic conventions."""
MAX_BUFFERED_DURATIONS = 10_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and request durations of one process."""

    def __init__(self, vm_id: str):
        self._lock = threading.Lock()
        self._counts: dict[str, collections.Counter[Labels]] = {
            name: collections.Counter() for name in COUNTERS
        }
        self._durations: collections.deque = collections.deque(maxlen=MAX_BUFFERED_DURATIONS)
        self._registry = prometheus_client.CollectorRegistry()
        view = View(
            instrument_name="http.server.request.duration",
            aggregation=ExplicitBucketHistogramAggregation(boundaries=DURATION_BOUNDS_S),
        )
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader(registry=self._registry)],
            resource=Resource.create({"service.name": "dotterelfront", "host.name": vm_id}),
            views=[view],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("dotterelfront")
        for name, description in COUNTERS.items():
            self._meter.create_observable_counter(
                f"dotterelfront.{name}", [self._counter_callback(name)], description=description
            )
        self._histogram = self._meter.create_histogram(
            "http.server.request.duration", unit="s", description="Duration of callers' requests"
        )

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds ``amount`` to a counter of ``COUNTERS``."""
        key = tuple(sorted(labels.items()))
        with self._lock:
            self._counts[name][key] += amount

    def value(self, name: str, **labels: str) -> int:
        """Returns the value of a counter for the given labels."""
        return self._counts[name][tuple(sorted(labels.items()))]

    def observe_request(self, route: str, method: str, status: int, duration_s: float) -> None:
        """Buffers the duration of one request until the next flush."""
        self._durations.append((route, method, status, duration_s))

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Registers a gauge; ``read`` is called at each scrape."""

        def observe(options: CallbackOptions):
            yield Observation(read())

        self._meter.create_observable_gauge(f"dotterelfront.{name}", [observe], "", description)

    def add_labelled_metric(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
        monotonic: bool,
    ) -> None:
        """Registers a metric with one label; ``read`` is called at each scrape.

        ``read`` returns the values by label value. A monotonic metric is a counter, any other one
        is a gauge.
        """

        def observe(options: CallbackOptions):
            for label_value, value in list(read().items()):
                yield Observation(value, {label: label_value})

        create = self._meter.create_observable_counter
        if not monotonic:
            create = self._meter.create_observable_gauge
        create(f"dotterelfront.{name}", [observe], "", description)

    def flush(self) -> None:
        """Records the buffered durations in the histogram."""
        for _ in range(len(self._durations)):
            route, method, status, duration_s = self._durations.popleft()
            attributes = {
                "http.route": route,
                "http.request.method": method,
                "http.response.status_code": status,
            }
            self._histogram.record(duration_s, attributes)

    def prometheus_text(self) -> bytes:
        """Flushes the buffer and returns all metrics in the Prometheus text format."""
        self.flush()
        return prometheus_client.generate_latest(self._registry)

    def _counter_callback(self, name: str):
        def observe(options: CallbackOptions):
            with self._lock:
                counts = list(self._counts[name].items())
            for labels, value in counts:
                yield Observation(value, dict(labels))

        return observe
