"""Suspicion of gray servers, from single failures of real requests.

A server that is healthy fails about one request in a hundred, a gray one most of them. One failure
therefore already makes it more likely than not that the server is gray, and other servers mostly
have room, so that it costs little to use it last for a while::

    suspicion = Suspicion()
    suspicion.failed(server, now=1.0)
    suspicion.level(server, now=1.1)      # above SUSPECT: use it last
    suspicion.answered(server, now=1.2)

The level is the log odds that the server is gray. It returns to the prior by itself, since a gray
period lasts seconds; a failure right after that has the full weight again, and failures in a row
lengthen the time.
"""

import math

import msgspec

from dotterelfront import models

PRIOR = math.log(0.05 / 0.95)
"""Log odds of a server to be gray before anything is known."""
FAILURE_WEIGHT = math.log(0.9 / 0.012)
"""Log likelihood ratio of a failure: 90% on a gray server, 1.2% on a healthy one."""
SUCCESS_WEIGHT = math.log(0.4 / 0.988)
"""Log likelihood ratio of a success; many gray servers fail only about half of their requests."""
MAX_LEVEL = 5.0
"""Bound of the log odds, so that a server that recovered is found out after six seconds."""
HALF_LIFE_S = 4.0
"""The distance from the prior halves in this time without observations: a server is used last for
2.2 s after one failure, as long as a gray period usually lasts, and for 5 s after two."""
SUSPECT = 0.0
"""Log odds above which a server is used last."""
LATE_WEIGHT = 2.0
"""Log likelihood ratio of a request that runs far beyond its usual time: 3% of the requests are
stragglers, a server that hangs has nothing else. Two late requests make a server suspect."""
LATE_FACTOR = 4.0
"""A request is late after this many times its route's mean."""
HOLD_SHARE = 0.25
HOLD_SHARE_REPEATED = 0.5
"""A request waits for a server that is not suspected for this part of its time; longer when it has
failed once and may have no further try. Gray servers often fail at once, so that they look idle
when the good ones are full."""
TRIAL_S = 2.0
"""A suspected server gets a first try of a request that may be repeated this often. More tries use
up the budget of repeated sends: two gray servers of six took half of it at 0.5 s."""


class _Level(msgspec.Struct):
    value: float = 0.0
    """Distance from the prior."""
    at: float = 0.0
    used: float = 0.0
    """When the server last got a request."""


class Suspicion:
    """Log odds per server; servers that nothing is known of have the prior."""

    def __init__(self):
        self._levels: dict[models.ServerId, _Level] = {}

    def level(self, server: models.ServerId, now: float) -> float:
        """Returns the log odds that the server is gray."""
        return PRIOR + self._distance(server, now)

    def suspect(self, server: models.ServerId, now: float) -> bool:
        return server in self._levels and self.level(server, now) > SUSPECT

    def failed(self, server: models.ServerId, now: float) -> None:
        self._observe(server, FAILURE_WEIGHT, now)

    def answered(self, server: models.ServerId, now: float) -> None:
        if server in self._levels:
            self._observe(server, SUCCESS_WEIGHT, now)

    def late(self, server: models.ServerId, now: float) -> None:
        """Records a request that has run far beyond its usual time and is not finished."""
        self._observe(server, LATE_WEIGHT, now)

    def used(self, server: models.ServerId, now: float) -> None:
        """Records that a server got a request."""
        found = self._levels.get(server)
        if found is not None:
            found.used = now

    def trial_due(self, server: models.ServerId, now: float) -> bool:
        """Whether a suspected server should show with one request whether it has recovered."""
        found = self._levels.get(server)
        return found is None or now - found.used >= TRIAL_S

    def keep(self, servers: set[models.ServerId]) -> None:
        """Forgets all other servers."""
        for server in self._levels.keys() - servers:
            del self._levels[server]

    def _observe(self, server: models.ServerId, weight: float, now: float) -> None:
        value = min(MAX_LEVEL - PRIOR, max(0.0, self._distance(server, now) + weight))
        held = self._levels.get(server)
        self._levels[server] = _Level(value, now, held.used if held else now)

    def _distance(self, server: models.ServerId, now: float) -> float:
        found = self._levels.get(server)
        return found.value * 0.5 ** ((now - found.at) / HALF_LIFE_S) if found else 0.0
