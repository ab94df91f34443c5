"""Suspicion of gray servers, from single failures of real requests.

A healthy server fails about one request in a hundred, a gray server most of them. A single failure
therefore makes it more likely than not that the server is gray. Other servers usually have free
slots, so it costs little to use this server only as a last resort for a while::

    suspicion = Suspicion()
    suspicion.record_failure(server, now=1.0)
    suspicion.log_odds(server, now=1.1)      # above SUSPECT_LOG_ODDS: last resort
    suspicion.record_success(server, now=1.2)

Suspicion is measured as the log odds that the server is gray. The log odds decay to the prior,
since a gray period lasts seconds. After that a failure has its full weight again. Consecutive
failures lengthen the decay.

For non-idempotent requests, the second consecutive failure pauses the server, and each further
failure doubles the pause. Gray servers mostly fail immediately, so without a pause one of them
drains the whole queue of a shard whose good servers are full. Idempotent requests still use a
paused server when no other server has a free slot: a failure costs them little, and their results
show when the server has recovered.

When the suspicion has decayed, a server stays unproven until it answers a request that was sent to
it after its last failure. The answers to earlier requests say nothing about its present state. An
unproven server that is still gray fails the next request, so other servers are preferred for a
while.
"""

import math
from collections.abc import Collection

import msgspec

from dotterelfront import models

PRIOR = math.log(0.05 / 0.95)
"""Log odds that a server without observations is gray."""
FAILURE_WEIGHT = math.log(0.9 / 0.012)
"""Log likelihood ratio of a failure: 90% on a gray server, 1.2% on a healthy one."""
SUCCESS_WEIGHT = math.log(0.4 / 0.988)
"""Log likelihood ratio of a success; many gray servers fail only about half of their requests."""
MAX_LOG_ODDS = 5.0
"""Upper bound of the log odds, so that a recovered server is trusted again after six seconds."""
HALF_LIFE_S = 4.0
"""Half-life of the distance from the prior without observations. A server is suspected for 2.2 s
after one failure, the usual length of a gray period, and for 5 s after two."""
SUSPECT_LOG_ODDS = 0.0
"""Log odds above which a server is suspected and used only as a last resort. A lower threshold
would suspect it for a whole gray period, but the floor counts a server as healthy two seconds after
its last failure."""
LATE_WEIGHT = 2.0
"""Log likelihood ratio of a late request: 3% of all requests are stragglers, but all requests of a
hanging server are late. Two late requests make a server suspect."""
LATE_FACTOR = 4.0
"""A request is late after this many times the mean service time of its route."""
HOLD_SHARE = 0.25
RETRY_HOLD_SHARE = 0.5
"""Share of the time until its deadline that a request waits for a server that is not suspected. The
share is higher for a retry, which may be the last attempt. Gray servers often fail immediately and
therefore look idle while the good servers are full."""
PAUSE_MIN_S = 0.2
PAUSE_MAX_S = 1.0
"""Bounds of the pause after consecutive failures; it doubles with each failure. With the maximum, a
recovered server is detected within a second, and each server gets a request in any 2 s."""
PAUSE_AFTER_FAILURES = 2
"""Consecutive failures from which a server is paused; a healthy server has isolated failures."""
MAX_CONSECUTIVE_FAILURES = 5
"""Upper bound of the failure count, so that two successes end probing."""
TRIAL_INTERVAL_S = 2.0
"""Interval at which a suspected server gets the first attempt of an idempotent request. A shorter
interval uses up the retry budget: two gray servers of six took half of it at 0.5 s."""


UNPROVEN_S = 14.0
"""Time after its last failure for which a server is unproven; gray periods last 5 to 15 s."""
UNPROVEN_SHARE = 0.25
"""Share of the servers of a shard that may count as unproven at one time; suspected servers do not
count. The others get requests like proven ones. The floor requires that seven in ten servers get
requests in any two seconds, which includes servers that failed more than two seconds ago."""
SOUND_S = 2.0
"""Time after its last failure from which the floor counts a server as healthy."""


class _ServerState(msgspec.Struct):
    distance: float = 0.0
    """Log odds minus the prior, at ``updated_at``."""
    updated_at: float = 0.0
    last_used: float = 0.0
    """Time at which the server last got a request."""
    consecutive_failures: int = 0
    """A success halves the count instead of clearing it, since a gray server answers one request in
    ten."""
    paused_until: float = 0.0
    failed_at: float = -math.inf
    is_proven: bool = True
    """Whether the server has answered a request that it got after ``failed_at``."""


class Suspicion:
    """Log odds per server; a server without observations has the prior."""

    def __init__(self):
        self._states: dict[models.ServerId, _ServerState] = {}

    def log_odds(self, server: models.ServerId, now: float) -> float:
        """Returns the log odds that the server is gray."""
        return PRIOR + self._distance(server, now)

    def is_suspect(self, server: models.ServerId, now: float) -> bool:
        return server in self._states and self.log_odds(server, now) > SUSPECT_LOG_ODDS

    def is_paused(self, server: models.ServerId, now: float) -> bool:
        """Whether the server gets no non-idempotent requests at the moment."""
        state = self._states.get(server)
        return state is not None and now < state.paused_until

    def is_probing(self, server: models.ServerId) -> bool:
        """Whether the server gets only one non-idempotent request at a time, until it answers two.

        All its slots are free when a pause ends. Without probing, requests on all of them would
        fail together.
        """
        state = self._states.get(server)
        return state is not None and state.consecutive_failures >= PAUSE_AFTER_FAILURES

    def record_failure(self, server: models.ServerId, now: float) -> None:
        state = self._observe(server, FAILURE_WEIGHT, now)
        state.failed_at, state.is_proven = now, False
        if now >= state.paused_until:
            # During a pause, failures of requests sent before it are not counted again.
            state.consecutive_failures = min(
                state.consecutive_failures + 1, MAX_CONSECUTIVE_FAILURES
            )
            state.paused_until = now + _pause_s(state.consecutive_failures)

    def record_success(
        self, server: models.ServerId, now: float, sent_at: float = math.inf
    ) -> None:
        """Records an answer to a request that was sent at ``sent_at``."""
        if server in self._states:
            state = self._observe(server, SUCCESS_WEIGHT, now)
            state.consecutive_failures //= 2
            state.is_proven |= sent_at > state.failed_at

    def record_late(self, server: models.ServerId, now: float) -> None:
        """Records an unfinished request that runs longer than ``LATE_FACTOR`` times the mean."""
        self._observe(server, LATE_WEIGHT, now)

    def record_use(self, server: models.ServerId, now: float) -> None:
        """Records that a server got a request."""
        state = self._states.get(server)
        if state is not None:
            state.last_used = now

    def unproven(self, servers: Collection[models.ServerId], now: float) -> set[models.ServerId]:
        """Returns the unproven ones of a shard's servers, at most ``UNPROVEN_SHARE`` of them.

        If there are more, those that failed last are returned.
        """
        failed = sorted(
            (
                (state.failed_at, server)
                for server in servers
                if (state := self._states.get(server)) is not None
                and not state.is_proven
                and now - state.failed_at < UNPROVEN_S
                and not self.is_suspect(server, now)
            ),
            reverse=True,
        )
        others = len(servers) - sum(self.is_suspect(server, now) for server in servers)
        return {server for _, server in failed[: int(UNPROVEN_SHARE * others + 1e-9)]}

    def since_failure_s(self, server: models.ServerId, now: float) -> float:
        """Returns the time since the last failure of a server, infinity if it has not failed."""
        state = self._states.get(server)
        return now - state.failed_at if state is not None else math.inf

    def is_trial_due(self, server: models.ServerId, now: float) -> bool:
        """Whether a suspected server should get a request to check whether it has recovered."""
        state = self._states.get(server)
        return state is None or now - state.last_used >= TRIAL_INTERVAL_S

    def retain(self, servers: set[models.ServerId]) -> None:
        """Drops the state of all other servers."""
        for server in self._states.keys() - servers:
            del self._states[server]

    def _observe(self, server: models.ServerId, weight: float, now: float) -> _ServerState:
        distance = min(MAX_LOG_ODDS - PRIOR, max(0.0, self._distance(server, now) + weight))
        state = self._states.setdefault(server, _ServerState(last_used=now))
        state.distance, state.updated_at = distance, now
        return state

    def _distance(self, server: models.ServerId, now: float) -> float:
        state = self._states.get(server)
        return state.distance * 0.5 ** ((now - state.updated_at) / HALF_LIFE_S) if state else 0.0


def _pause_s(consecutive_failures: int) -> float:
    if consecutive_failures < PAUSE_AFTER_FAILURES:
        return 0.0
    return min(PAUSE_MAX_S, PAUSE_MIN_S * 2 ** (consecutive_failures - PAUSE_AFTER_FAILURES))
