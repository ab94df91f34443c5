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
    """Each request adds ``ratio`` of a retry, up to ``burst``; starts full.

    With ``refill_per_s`` time adds retries as well, and the budget starts empty at ``now``, so that
    a process that starts again gets no second burst.
    """

    def __init__(
        self,
        ratio: float = RATIO,
        burst: float = BURST,
        refill_per_s: float = 0.0,
        now: float = 0.0,
    ):
        self.configure(ratio, burst, refill_per_s)
        self._refilled = now
        self._available = 0.0 if refill_per_s else burst

    def configure(self, ratio: float, burst: float, refill_per_s: float) -> None:
        """Changes the limits; what is available stays, up to the new burst at the next event."""
        self._ratio = ratio
        self._burst = burst
        self._refill_per_s = refill_per_s

    def advance(self, now: float) -> None:
        """Adds what the time since the last call brings."""
        gained = self._refill_per_s * (now - self._refilled)
        self._available = min(self._burst, self._available + gained)
        self._refilled = now

    def on_request(self) -> None:
        self._available = min(self._burst, self._available + self._ratio)

    def give_back(self) -> None:
        """Returns a retry that was taken and not made."""
        self._available = min(self._burst, self._available + 1.0)

    def take(self) -> bool:
        """Uses one retry; false when the budget is spent."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
