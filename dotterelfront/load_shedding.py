"""Limits the load of servers that shed requests: a reduced share of their slots, and a pause.

Does no I/O::

    limits = ShedLimits()
    limits.record_refusal(server, busy=4, slots=4, now=1.0)
    limits.is_paused(server, now=1.02)  # True: the server gets no requests now
    limits.share(server, now=1.02)      # 0.702 of its slots may be used

With ``counts_all_work`` the caller's ``busy`` counts include all work of the servers. A refusal
while slots are free then does not mean that the server is full, and is ignored. Otherwise a service
whose servers refuse at random would lose its capacity to the pauses.
"""

import msgspec

from dotterelfront import models

SHED_FACTOR = 0.7
"""Factor applied to the share of a server's slots for each request that it sheds."""
SHED_RECOVERY_PER_S = 0.1
"""Share of its slots that a server regains per second."""
MIN_SHARE = 0.1
"""Lower bound of the share, so that the server still gets requests and its recovery is detected."""
SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0
"""Bounds of the pause in which a server that shed a request gets no requests; it doubles with each
consecutive refusal. A refusal takes no time, so without the pause the refusing server would be the
least loaded one."""
FULL_SHARE = 0.8
"""A server counts as full from this share of busy slots, if all its work is counted."""


class _Shedding(msgspec.Struct):
    """State of a server that shed requests. ``share`` is the value at ``updated_at``."""

    share: float = 1.0
    updated_at: float = 0.0
    paused_until: float = 0.0
    consecutive_refusals: int = 0

    def share_at(self, now: float) -> float:
        return min(1.0, self.share + SHED_RECOVERY_PER_S * (now - self.updated_at))


class ShedLimits:
    """Shares and pauses of the servers of one shard."""

    def __init__(self):
        self.counts_all_work = False
        self._servers: dict[models.ServerId, _Shedding] = {}

    def share(self, server: models.ServerId, now: float) -> float:
        """Returns the share of the server's slots that may be used."""
        shed = self._servers.get(server)
        return shed.share_at(now) if shed else 1.0

    def is_paused(self, server: models.ServerId, now: float) -> bool:
        shed = self._servers.get(server)
        return shed is not None and now < shed.paused_until

    def record_refusal(self, server: models.ServerId, busy: int, slots: int, now: float) -> None:
        """Records that a server shed a request; ``busy`` counts its requests, this one included."""
        if self.counts_all_work and busy < FULL_SHARE * slots:
            return
        shed = self._servers.setdefault(server, _Shedding())
        shed.share = max(MIN_SHARE, shed.share_at(now) * SHED_FACTOR)
        shed.updated_at = now
        shed.paused_until = now + min(
            MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2 ** min(shed.consecutive_refusals, 10)
        )
        shed.consecutive_refusals += 1

    def record_accepted(self, server: models.ServerId) -> None:
        """Records that a server accepted a request."""
        shed = self._servers.get(server)
        if shed is not None:
            shed.consecutive_refusals = 0

    def forget(self, server: models.ServerId) -> None:
        self._servers.pop(server, None)
