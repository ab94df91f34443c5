"""Keeps enough servers of a shard in use while requests are not served.

Servers that failed lately are avoided. While many requests of a pool are not served, that may be
the wrong choice, and healthy capacity must not lie idle. The guard then names the servers that have
been without a request for too long; the next requests go to them::

    guard = FloorGuard()
    guard.record_grant(server, now=1.0)
    guard.record_outcome(served=False, now=1.4)
    guard.starved(servers, is_sound, now=2.6)

The module does no I/O, and the caller passes the time.
"""

import collections
from collections.abc import Callable, Collection

from dotterelfront import models

WINDOW_S = 2.0
"""The floor counts the servers that get requests, and the requests that are not served, in two
seconds."""
UNSERVED_SHARE = 0.1
"""Share of unserved requests from which servers are named, as for the floor."""
MIN_UNSERVED = 5
"""Unserved requests in the window from which servers are named; fewer say little about a pool."""
MAX_UNUSED_SHARE = 0.3
"""Share of the sound servers that may be unused, as for the floor."""


class FloorGuard:
    """Outcomes of the last seconds, and the time of the last request of each server."""

    def __init__(self):
        self._outcomes: collections.deque[tuple[float, bool]] = collections.deque()
        self._unserved = 0
        self._last_grant: dict[models.ServerId, float] = {}

    def record_grant(self, server: models.ServerId, now: float) -> None:
        """Records that a server got a request."""
        self._last_grant[server] = now

    def record_outcome(self, served: bool, now: float) -> None:
        """Records whether a request was served in the end."""
        self._outcomes.append((now, served))
        self._unserved += not served

    def many_unserved(self, now: float) -> bool:
        """Whether the floor counts: many requests of the last ``WINDOW_S`` were not served."""
        while self._outcomes and now - self._outcomes[0][0] > WINDOW_S:
            self._unserved -= not self._outcomes.popleft()[1]
        return self._unserved >= max(MIN_UNSERVED, UNSERVED_SHARE * len(self._outcomes))

    def starved(
        self,
        servers: Collection[models.ServerId],
        is_sound: Callable[[models.ServerId], bool],
        now: float,
    ) -> set[models.ServerId]:
        """Returns the sound servers to use next, as many as are missing from those in use.

        These are the ones without a request for the longest time.
        """
        if not self.many_unserved(now):
            return set()
        used_at = {server: self._used_at(server, now) for server in servers if is_sound(server)}
        unused = sorted((at, server) for server, at in used_at.items() if now - at >= WINDOW_S)
        missing = max(0, len(unused) - int(MAX_UNUSED_SHARE * len(used_at)))
        return {server for _, server in unused[:missing]}

    def retain(self, servers: Collection[models.ServerId]) -> None:
        """Drops the state of all other servers."""
        for server in self._last_grant.keys() - servers:
            del self._last_grant[server]

    def _used_at(self, server: models.ServerId, now: float) -> float:
        """Returns when a server got its last request; a new one counts from its first check."""
        return self._last_grant.setdefault(server, now)
