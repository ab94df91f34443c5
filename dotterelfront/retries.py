"""Retry budget: retries are at most a fixed share of requests.

::

    budget = RetryBudget()
    budget.on_request()
    if budget.take():
        ...  # retry
"""

RATIO = 0.1
BURST = 10.0
"""Retries that may follow each other at once, so that a quiet pool can retry at all."""


class RetryBudget:
    """Each request adds ``ratio`` of a retry, up to ``burst``; starts full."""

    def __init__(self, ratio: float = RATIO, burst: float = BURST):
        self._ratio = ratio
        self._burst = burst
        self._available = burst

    def on_request(self) -> None:
        self._available = min(self._burst, self._available + self._ratio)

    def available(self) -> bool:
        return self._available >= 1.0

    def take(self) -> bool:
        """Uses one retry; false when the budget is spent."""
        if not self.available():
            return False
        self._available -= 1.0
        return True
