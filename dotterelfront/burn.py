"""Service-level counters per route and the burn rates computed from them.

Requests are classified from the caller's point of view. A response within the deadline is good.
Late and refused requests, server errors and unknown outcomes are bad. Requests that are refused
because of a caller error (malformed, no route, too large, token required, token used for another
request) are not counted. The burn rate of a window is the share of bad requests divided by the
share that the objective allows. A constant burn rate of 1.0 exhausts the error budget exactly at
the end of its period.

::

    counters = RouteCounters()
    counters.record(RouteName("stock"), Verdict.GOOD, now=time.time())
    totals = counters.totals(now=time.time())          # {route: {window_s: Tally}}
    burn_rate(totals["stock"][3600], objective=0.999)
"""

import collections
import enum
import threading
from collections.abc import Iterable, Mapping

import msgspec

from dotterelfront import models

WINDOWS_S = (300, 3_600, 21_600)
BUCKET_S = 60
"""Width of a counter bucket and so the resolution of the windows."""

CALLER_ERROR_STATUSES = frozenset({400, 404, 413, 422, 428})


class Verdict(enum.Enum):
    """Classification of a request."""

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Tally(msgspec.Struct, array_like=True):
    """Numbers of requests by verdict."""

    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unknown: int = 0

    def add(self, other: "Tally") -> None:
        self.good += other.good
        self.late += other.late
        self.refused += other.refused
        self.failed += other.failed
        self.unknown += other.unknown

    @property
    def total(self) -> int:
        return self.good + self.late + self.refused + self.failed + self.unknown


Totals = dict[models.RouteName, dict[int, Tally]]


def classify_request(
    outcome: models.Outcome, status: int, elapsed_s: float, deadline_s: float
) -> Verdict | None:
    """Classifies a request; returns None if it was refused because of a caller error."""
    if outcome is models.Outcome.UNKNOWN:
        return Verdict.UNKNOWN
    if outcome is models.Outcome.NOT_RUN:
        return None if status in CALLER_ERROR_STATUSES else Verdict.REFUSED
    if status >= 500:
        return Verdict.FAILED
    return Verdict.GOOD if elapsed_s <= deadline_s else Verdict.LATE


class RouteCounters:
    """Tallies per route and minute, kept for the longest window. Thread-safe.

    Only minutes with requests use memory. Times are seconds since the epoch, so that all VMs use
    the same minute boundaries.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._buckets: dict[models.RouteName, collections.OrderedDict[int, Tally]] = {}

    def record(self, route: models.RouteName, verdict: Verdict, now: float) -> None:
        """Counts one request under its verdict."""
        minute = int(now // BUCKET_S)
        with self._lock:
            buckets = self._buckets.setdefault(route, collections.OrderedDict())
            tally = buckets.get(minute)
            if tally is None:
                tally = buckets[minute] = Tally()
                _drop_expired(buckets, minute)
            setattr(tally, verdict.value, getattr(tally, verdict.value) + 1)

    def totals(self, now: float) -> Totals:
        """Returns, for each route, the tallies of the windows that end now."""
        minute = int(now // BUCKET_S)
        with self._lock:
            return {
                route: {window: _sum_window(buckets, minute, window) for window in WINDOWS_S}
                for route, buckets in self._buckets.items()
            }


def _drop_expired(buckets: collections.OrderedDict[int, Tally], minute: int) -> None:
    newest_expired = minute - max(WINDOWS_S) // BUCKET_S
    while buckets and next(iter(buckets)) <= newest_expired:
        buckets.popitem(last=False)


def _sum_window(buckets: Mapping[int, Tally], minute: int, window_s: int) -> Tally:
    result = Tally()
    for bucket_minute, tally in buckets.items():
        if minute - window_s // BUCKET_S < bucket_minute <= minute:
            result.add(tally)
    return result


def merge(parts: Iterable[Totals]) -> Totals:
    """Returns the sum of the totals of several VMs."""
    result: Totals = {}
    for part in parts:
        for route, windows in part.items():
            merged = result.setdefault(route, {window: Tally() for window in WINDOWS_S})
            for window, tally in windows.items():
                merged[window].add(tally)
    return result


def burn_rate(tally: Tally, objective: float) -> float:
    """Returns the burn rate of a window, 0 if it has no requests."""
    if not tally.total:
        return 0.0
    return (1 - tally.good / tally.total) / max(1e-9, 1 - objective)


def budget_left(tally: Tally, objective: float) -> float:
    """Returns the remaining share of the window's error budget, negative if it is overspent."""
    return 1.0 - burn_rate(tally, objective)
