"""Retry budget: limits retries to a fixed share of requests.

::

    budget = RetryBudget()
    budget.on_request()
    if budget.try_acquire():
        ...  # retry
"""

RATIO = 0.1
BURST = 10.0
"""Retries that may be made at once, so that a pool with few requests can retry at all."""


class RetryBudget:
    """Token bucket of retries: each request adds ``ratio`` of a token, up to ``burst``.

    The budget starts full. With ``refill_per_s``, tokens are also added over time, and the budget
    starts empty at ``now``, so that a restarted process gets no second burst.
    """

    def __init__(
        self,
        ratio: float = RATIO,
        burst: float = BURST,
        refill_per_s: float = 0.0,
        now: float = 0.0,
    ):
        self.configure(ratio, burst, refill_per_s)
        self._refilled_at = now
        self._available = 0.0 if refill_per_s else burst

    def configure(self, ratio: float, burst: float, refill_per_s: float) -> None:
        """Changes the limits. Available tokens are kept; the next event caps them to ``burst``."""
        self._ratio = ratio
        self._burst = burst
        self._refill_per_s = refill_per_s

    def advance(self, now: float) -> None:
        """Adds the tokens for the time since the last call."""
        refill = self._refill_per_s * (now - self._refilled_at)
        self._available = min(self._burst, self._available + refill)
        self._refilled_at = now

    def on_request(self) -> None:
        self._available = min(self._burst, self._available + self._ratio)

    def refund(self) -> None:
        """Returns the token of a retry that was not made."""
        self._available = min(self._burst, self._available + 1.0)

    def try_acquire(self) -> bool:
        """Takes the token of one retry; returns False when the budget is exhausted."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
