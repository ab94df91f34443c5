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

For requests that may run only once, the second failure in a row pauses the server, and each further
one does so for longer. Gray servers mostly fail at once, so without a pause one of them drains the
whole queue of a shard whose good servers are full. Requests that may repeat still go there when
nothing else has room: a failure costs them little, and they show when the server has recovered.
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
"""Log odds above which a server is used last. A lower bound would keep it out for a whole gray
period, but the users' floor counts a server as sound two seconds after its last failure."""
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
PAUSE_MIN_S = 0.2
PAUSE_MAX_S = 1.0
"""Bounds of the pause after failures in a row; it doubles each time. The longest lets a server that
has recovered show it within a second, and gives each server a request in any 2 s."""
PAUSED_FROM = 2
"""Failures in a row from which a server is paused; a healthy one has single failures."""
MAX_IN_ROW = 5
"""Failures in a row that are counted, so that two successes end the trial of one at a time."""
TRIAL_S = 2.0
"""A suspected server gets a first try of a request that may be repeated this often. More tries use
up the budget of repeated sends: two gray servers of six took half of it at 0.5 s."""


class _Level(msgspec.Struct):
    value: float = 0.0
    """Distance from the prior."""
    at: float = 0.0
    used: float = 0.0
    """When the server last got a request."""
    in_row: int = 0
    """Failures in a row; a success halves it, since a gray server answers one in ten."""
    paused_until: float = 0.0


class Suspicion:
    """Log odds per server; servers that nothing is known of have the prior."""

    def __init__(self):
        self._levels: dict[models.ServerId, _Level] = {}

    def level(self, server: models.ServerId, now: float) -> float:
        """Returns the log odds that the server is gray."""
        return PRIOR + self._distance(server, now)

    def suspect(self, server: models.ServerId, now: float) -> bool:
        return server in self._levels and self.level(server, now) > SUSPECT

    def paused(self, server: models.ServerId, now: float) -> bool:
        """Whether the server gets no request for the moment that may run only once."""
        found = self._levels.get(server)
        return found is not None and now < found.paused_until

    def probing(self, server: models.ServerId) -> bool:
        """Whether it gets one request at a time that may run only once, until it answers two.

        All its slots are free when a pause ends; without this, as many requests fail together.
        """
        found = self._levels.get(server)
        return found is not None and found.in_row >= PAUSED_FROM

    def failed(self, server: models.ServerId, now: float) -> None:
        found = self._observe(server, FAILURE_WEIGHT, now)
        if now >= found.paused_until:
            # Requests in flight when a pause begins fail together with the one that began it.
            found.in_row = min(found.in_row + 1, MAX_IN_ROW)
            found.paused_until = now + _pause_s(found.in_row)

    def answered(self, server: models.ServerId, now: float) -> None:
        if server in self._levels:
            found = self._observe(server, SUCCESS_WEIGHT, now)
            found.in_row //= 2

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

    def _observe(self, server: models.ServerId, weight: float, now: float) -> _Level:
        value = min(MAX_LEVEL - PRIOR, max(0.0, self._distance(server, now) + weight))
        found = self._levels.setdefault(server, _Level(used=now))
        found.value, found.at = value, now
        return found

    def _distance(self, server: models.ServerId, now: float) -> float:
        found = self._levels.get(server)
        return found.value * 0.5 ** ((now - found.at) / HALF_LIFE_S) if found else 0.0


def _pause_s(in_row: int) -> float:
    if in_row < PAUSED_FROM:
        return 0.0
    return min(PAUSE_MAX_S, PAUSE_MIN_S * 2 ** (in_row - PAUSED_FROM))
