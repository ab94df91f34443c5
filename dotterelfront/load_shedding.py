"""What a server's refusals leave it: a share of its slots, regained over time, and a pause.

Pure::

    limits = ShedLimits()
    limits.refused(server, busy=4, slots=4, now=1.0)
    limits.paused(server, now=1.02)     # True: it gets nothing now
    limits.share(server, now=1.02)      # 0.7 of its slots are used

With ``exact`` the caller counts all work of the servers. A refusal while slots are free then does
not mean that the server is full, so it costs the server nothing: a service whose servers refuse at
random would otherwise lose its capacity to the pauses.
"""

import msgspec

from dotterelfront import models

SHED_FACTOR = 0.7
"""Slots of a server are reduced by this factor for each request that it sheds."""
SHED_RECOVERY_PER_S = 0.1
"""Share of its slots that a server regains per second."""
MIN_SHARE = 0.1
"""Share of its slots that a server keeps, so that its recovery shows."""
SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0
"""A server that sheds gets no request for a pause, doubled at each refusal in a row. A refusal
takes no time, so without the pause the least loaded server would be the one that refuses."""
FULL_SHARE = 0.8
"""A server is full from this share of its slots on, when all its work is counted."""


class _Shedding(msgspec.Struct):
    share: float = 1.0
    since: float = 0.0
    until: float = 0.0
    in_row: int = 0

    def share_at(self, now: float) -> float:
        return min(1.0, self.share + SHED_RECOVERY_PER_S * (now - self.since))


class ShedLimits:
    """Shares and pauses of the servers of one shard."""

    def __init__(self):
        self.exact = False
        self._servers: dict[models.ServerId, _Shedding] = {}

    def share(self, server: models.ServerId, now: float) -> float:
        """Returns the share of the server's slots that may be used."""
        shed = self._servers.get(server)
        return shed.share_at(now) if shed else 1.0

    def paused(self, server: models.ServerId, now: float) -> bool:
        shed = self._servers.get(server)
        return shed is not None and now < shed.until

    def refused(self, server: models.ServerId, busy: int, slots: int, now: float) -> None:
        """Records that a server with ``busy`` requests, this one included, shed one."""
        if self.exact and busy < FULL_SHARE * slots:
            return
        shed = self._servers.setdefault(server, _Shedding())
        shed.share = max(MIN_SHARE, shed.share_at(now) * SHED_FACTOR)
        shed.since = now
        shed.until = now + min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2 ** min(shed.in_row, 10))
        shed.in_row += 1

    def accepted(self, server: models.ServerId) -> None:
        """Records that a server took a request."""
        shed = self._servers.get(server)
        if shed is not None:
            shed.in_row = 0

    def forget(self, server: models.ServerId) -> None:
        self._servers.pop(server, None)
