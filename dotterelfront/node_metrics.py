"""Metrics of a VM on the deployment platform, in the Prometheus text format.

::

    metrics = NodeMetrics(vm_id, sources)
    metrics.observe_request("stock", "GET", 200, duration_s=0.12)
    text = await metrics.render_text()

Request handling only increments counters and buffers durations. Importing the metrics library takes
0.1 s of CPU time, a tenth of the startup time of a VM. The first scrape therefore imports it, in a
thread.
"""

import asyncio
import collections
import importlib
from collections.abc import Callable, Mapping

import msgspec

MAX_BUFFERED_DURATIONS = 2_000
"""Durations buffered between two scrapes. A VM answers fewer than 100 requests/s and is scraped
every 5 s."""

Values = Mapping[str, float]


class MetricSource(msgspec.Struct, frozen=True):
    """A metric with one label.

    ``read`` is called at each scrape and returns the values by label value. A monotonic metric is a
    counter, any other one is a gauge.
    """

    name: str
    description: str
    label: str
    read: Callable[[], Values]
    monotonic: bool = True


class NodeMetrics:
    """Metrics and request durations of one VM."""

    def __init__(self, vm_id: str, sources: list[MetricSource]):
        self._vm_id = vm_id
        self._sources = sources
        self._durations: collections.deque = collections.deque(maxlen=MAX_BUFFERED_DURATIONS)
        self._exporter = None

    def observe_request(self, route: str, method: str, status: int, duration_s: float) -> None:
        """Buffers the duration of an answered request until the next scrape.

        A full buffer drops its oldest duration.
        """
        self._durations.append((route, method, status, duration_s))

    async def render_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        if self._exporter is None:
            metrics = await asyncio.to_thread(importlib.import_module, "dotterelfront.metrics")
            self._exporter = metrics.Metrics(self._vm_id)
            for source in self._sources:
                self._exporter.add_labelled_metric(
                    source.name, source.description, source.label, source.read, source.monotonic
                )
        while self._durations:
            self._exporter.observe_request(*self._durations.popleft())
        return self._exporter.prometheus_text()
