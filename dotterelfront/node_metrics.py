"""Metrics of a VM on the users' platform, as text for a scraper.

::

    metrics = NodeMetrics(vm_id, sources)
    metrics.observe("stock", "GET", 200, duration_s=0.12)
    text = await metrics.text()

Request handling only counts and buffers. The metrics library takes 0.1 s of a core to load, a tenth
of a VM's start, so the first scrape loads it, in a thread.
"""

import asyncio
import collections
import importlib
from collections.abc import Callable, Mapping

import msgspec

MAX_BUFFERED = 2_000
"""Durations kept between two scrapes: a VM answers under 100 requests/s and is scraped each 5 s."""

Values = Mapping[str, float]


class Source(msgspec.Struct, frozen=True):
    """One family of values; ``read`` returns them at each scrape, by the value of ``label``."""

    name: str
    description: str
    label: str
    read: Callable[[], Values]
    monotonic: bool = True


class NodeMetrics:
    """Values and request durations of one VM."""

    def __init__(self, vm_id: str, sources: list[Source]):
        self._vm_id = vm_id
        self._sources = sources
        self._durations: collections.deque = collections.deque(maxlen=MAX_BUFFERED)
        self._exporter = None

    def observe(self, route: str, method: str, status: int, duration_s: float) -> None:
        """Buffers the duration of an answered request until the next scrape."""
        self._durations.append((route, method, status, duration_s))

    async def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        if self._exporter is None:
            metrics = await asyncio.to_thread(importlib.import_module, "dotterelfront.metrics")
            self._exporter = metrics.Metrics(self._vm_id)
            for source in self._sources:
                self._exporter.add_values(
                    source.name, source.description, source.label, source.read, source.monotonic
                )
        while self._durations:
            self._exporter.observe_request(*self._durations.popleft())
        return self._exporter.prometheus_text()
