"""Rate limit per customer and route, by the generic cell rate algorithm.

Does no I/O. One number is stored per route and customer that has used part of its burst::

    limiter = CustomerRateLimiter()
    limiter.allow(route.name, customer, rate=50.0, now=0.0)   # True

Source of the algorithm: ITU-T I.371, "virtual scheduling". The stored number is its theoretical
arrival time, at which the whole burst is available again.
"""

import heapq

from dotterelfront import models

BURST_S = 1.0
"""Burst of a customer: the requests that its rate allows in this many seconds."""


class CustomerRateLimiter:
    """Decides whether a customer's request is within its rate. ``allow`` is O(log n)."""

    def __init__(self, burst_s: float = BURST_S):
        self._burst_s = burst_s
        self._full_at: dict[tuple[models.RouteName, models.CustomerId], float] = {}
        self._expiry: list[tuple[float, tuple[models.RouteName, models.CustomerId]]] = []

    def __len__(self) -> int:
        return len(self._full_at)

    def allow(
        self, route: models.RouteName, customer: models.CustomerId, rate: float, now: float
    ) -> bool:
        """Counts the request and returns True when it is within ``rate`` requests/s.

        A refused request is not counted. A rate of 0 means no limit. The burst is at least one
        request, so that rates below one request per ``burst_s`` work too.
        """
        self._drop_full(now)
        if rate <= 0:
            return True
        key = (route, customer)
        previous = self._full_at.get(key)
        full_at = max(now, previous or now) + 1 / rate
        if full_at - now > max(self._burst_s, 1 / rate) * (1 + 1e-9):
            return False
        self._full_at[key] = full_at
        if previous is None:
            heapq.heappush(self._expiry, (full_at, key))
        return True

    def _drop_full(self, now: float) -> None:
        """Drops customers whose whole burst is available; each has one entry in the heap."""
        while self._expiry and self._expiry[0][0] <= now:
            key = heapq.heappop(self._expiry)[1]
            full_at = self._full_at[key]
            if full_at <= now:
                del self._full_at[key]
            else:
                heapq.heappush(self._expiry, (full_at, key))
