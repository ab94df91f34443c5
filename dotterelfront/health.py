"""Health of the servers of a shard, derived from live requests.

Each finished request, and each overdue request in flight, is one observation. A cumulative sum
of log-likelihood ratios (CUSUM; Page 1954) compares a server's rate of bad requests with that of
its peers::

    shard = ShardHealth(pool, servers, now=0.0)
    shard.on_start(attempt, now=1.0)
    shard.on_finish(attempt, AttemptResult.SERVER_ERROR, now=1.1)
    shard.tick(now=1.15)
    shard.unhealthy()                              # {server: evidence in (0, 1]}
    shard.permit(server, valid_until=7.1)          # ineligible until then unless renewed

With independent observations at the peers' rate, a CUSUM reaches a threshold ``h`` at most once
in ``exp(h)`` observations on average (Lorden 1971). ``h`` is derived from the server's request
rate and ``FALSE_ALARM_INTERVAL_S``, so the false-alarm rate is stated per server and unit of time,
not per request.
"""

import collections
import enum
import math

import msgspec

from dotterelfront import evidence, models

YEAR_S = 365 * 86_400.0
FALSE_ALARM_INTERVAL_S = {
    models.Sensitivity.FAST: YEAR_S / 4,
    models.Sensitivity.BALANCED: 2 * YEAR_S,
    models.Sensitivity.CAUTIOUS: 50 * YEAR_S,
}
"""Lower bound of the mean time between false alarms for one server."""

SLOW_FACTOR = {
    models.Sensitivity.FAST: 3.0,
    models.Sensitivity.BALANCED: 4.0,
    models.Sensitivity.CAUTIOUS: 6.0,
}
"""A request is slow if it takes longer than this multiple of the peers' median on its route."""

STUCK_FACTOR = 30.0
"""A request in flight for this multiple of the median counts as a failure. An unresponsive server
fills its 4 to 6 slots and then yields no further observations before the deadline, while slowness
alone needs 6 observations. Stragglers at 20 times the median rarely reach this limit."""

LATE_FACTOR = 20.0
LATE_SHARE = 0.5
"""A request in flight for ``LATE_FACTOR`` medians adds to the failure score until it finishes or
counts as stuck. On a healthy server at most ``LATE_SHARE`` of the slow requests get that late; the
weight of a late request follows from this share."""

MIN_SLOW_S = 0.02
MIN_STUCK_S = 0.25
"""Lower bounds of the times after which a request is slow or stuck."""
FAILURE_RATE_MIN = 0.004
SLOW_RATE_MIN = 0.025
"""Lower bounds of the healthy rates. 2% stragglers are normal, and an estimate from few requests
may be 0. A bound below the true rate would invalidate the stated false-alarm rate."""
MIN_REQUEST_RATE = 1.0
"""Lower bound of the requests per second from which the threshold ``h`` is derived."""
TEST_COUNT = 3 * len(evidence.ALTERNATIVE_RATES)
"""CUSUMs per server: failures, slowness and connect failures, each with two alternative rates."""

RATE_HALF_LIFE_S = 60.0
"""Half-life of the counts from which request rates and the peers' rates are estimated."""
REFRESH_INTERVAL_S = 0.5
RECENT_OBSERVATIONS = 64
"""Observations of each server that are retained for the peer comparison."""
MIN_PEER_OBSERVATIONS = 3
PEER_CONTRAST_RATIO = 0.25
"""While the evidence against a server grew, its peers' share of bad requests must not exceed this
fraction of its own. This prevents ejections when a shared dependency fails, before the slower
estimate of the peers' rates reflects the failure."""
PEER_CONTRAST_WINDOW_S = 10.0
"""Maximum look-back of the peer comparison. It keeps a shared fault that has ended from affecting
the comparison for long."""
SUSPECT_TTL_S = 5.0
"""A server with enough evidence against it, but whose peers have too few requests for a
comparison, is chosen last until its last observation is this old. Its requests then go to the
peers, which makes the comparison possible."""

EJECTION_BASE_S = 5.0
EJECTION_MAX_S = 300.0
BACKOFF_DECAY_S = 120.0
"""Each period of this length without strong evidence undoes one doubling of the ejection time."""
TRIAL_INTERVAL_S = 0.5
TRIAL_SUCCESSES = 5
TRIAL_SLOW_LIMIT = 2
TRIAL_TIMEOUT_S = 30.0
"""A server on trial gets at most one request per ``TRIAL_INTERVAL_S``. ``TRIAL_SUCCESSES`` in a row
return it to service; a failure, or ``TRIAL_SLOW_LIMIT`` slow responses, eject it again. After
``TRIAL_TIMEOUT_S`` without a trial it returns to service if the pool has no idempotent requests."""
IDEMPOTENT_TRAFFIC_WINDOW_S = 60.0
"""Trials use idempotent requests only. A pool without any for this long returns its servers to
service without trials."""
PROBATION_SCORE = 0.5
"""Fraction of the threshold ``h`` at which the scores of a returned server start."""
PROBATION_RESPONSES = 20
"""Responses in time after which the probation of a returned server ends."""
WARMUP_START_SHARE = 0.1
PATH_CHECK_TIMEOUT_S = 1.0
"""Timeout of a path check by another VM; without a result, the failures count in full."""
PATH_RESULT_TTL_S = 5.0


class AttemptResult(enum.Enum):
    """How one request to one server ended."""

    ANSWERED = "answered"
    SERVER_ERROR = "server-error"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect-failed"
    BROKEN = "broken"
    REFUSED = "refused"
    CANCELLED = "cancelled"


FAILURES = frozenset([AttemptResult.SERVER_ERROR, AttemptResult.TIMEOUT, AttemptResult.BROKEN])
"""Results that count as failures at once; connection failures depend on a path check. A server that
sheds load (``REFUSED``) is not failing, and a cancelled request is no evidence."""


class Attempt(msgspec.Struct, frozen=True):
    """A request in flight to a server."""

    attempt_id: int
    server: models.ServerId
    route: models.RouteName
    idempotent: bool
    started: float


class RequestPathCheck(msgspec.Struct, frozen=True):
    """Effect: ask another VM to check whether it can connect to the server.

    The result goes to ``ShardHealth.on_path_check_result``.
    """

    server: models.ServerId


class State(enum.Enum):
    """Health state of a server; one that is not serving is ineligible only with a valid permit."""

    SERVING = "serving"
    UNHEALTHY = "unhealthy"
    TRIAL = "trial"


class Path(enum.Enum):
    """What this VM knows about its network path to a server after a connection failure."""

    UNKNOWN = "unknown"
    CHECK_PENDING = "asked"
    SERVER_DOWN = "server-down"
    LOCAL_FAULT = "only-ours"


class _Server:
    """Test scores, counts and state of one server."""

    def __init__(self):
        self.failures, self.slowness, self.connect_failures = (
            evidence.Cusum(),
            evidence.Cusum(),
            evidence.Cusum(),
        )
        self.failure_rate, self.slow_rate = FAILURE_RATE_MIN, SLOW_RATE_MIN
        self.recent: collections.deque = collections.deque(maxlen=RECENT_OBSERVATIONS)
        self.total = self.failed = self.slow = 0.0
        """Exponentially decayed counts of all observations, failures and slow requests."""
        self.bad_share = 0.0
        self.late = 0
        """Requests in flight that are late and not yet stuck; see ``LATE_FACTOR``."""
        self.state = State.SERVING
        self.suspect = False
        self.permit_until = 0.0
        self.ejected_until = 0.0
        self.backoff_level = 0
        self.healthy_since = 0.0
        self.probation_left = 0
        self.warmup_started_at = -math.inf
        self.trial_id: int | None = None
        self.next_trial_at = self.last_trial_at = 0.0
        self.trial_successes = self.trial_slow_count = 0
        self.path = Path.UNKNOWN
        self.path_updated_at = 0.0
        self.unconfirmed_failures = 0

    def observe(self, bad: bool, now: float) -> None:
        self.recent.append((now, bad))
        self.bad_share += (bad - self.bad_share) / 8

    def tests(self) -> tuple[evidence.Cusum, evidence.Cusum]:
        return self.failures, self.slowness


class _InFlight:
    """A request in flight, and whether it has been counted as slow or stuck."""

    __slots__ = ("attempt", "slow", "stuck")

    def __init__(self, attempt: Attempt):
        self.attempt = attempt
        self.slow = False
        self.stuck = False


class ShardHealth:
    """Decides which servers of a shard may receive a request.

    ``idempotent_routes`` says whether the pool has idempotent routes; with None, recent requests
    decide. Servers in ``cold`` start with a small share of their slots.
    """

    def __init__(
        self,
        pool: models.Pool,
        servers: tuple[models.Server, ...],
        now: float,
        idempotent_routes: bool | None = None,
        cold: frozenset[models.ServerId] = frozenset(),
    ):
        self._pool = pool
        self._servers: dict[models.ServerId, _Server] = {}
        self._in_flight: dict[int, _InFlight] = {}
        self._latencies: dict[models.RouteName, evidence.RouteLatencies] = {}
        self._baselines: dict[models.RouteName, dict[models.ServerId, float]] = {}
        self._idempotent_routes = idempotent_routes
        self._last_idempotent_at = -math.inf
        self._refreshed_at = now
        self._effects: list[RequestPathCheck] = []
        self.counters: collections.Counter = collections.Counter()
        """Counts of servers found unhealthy and returned to service."""
        for server in servers:
            self._add(server.address, now, server.address in cold)

    def reconfigure(
        self, pool: models.Pool, servers: tuple[models.Server, ...], now: float
    ) -> None:
        """Applies a changed pool or server list; remaining servers keep their evidence."""
        self._pool = pool
        self.update_servers(servers, now)

    def eligible(self, server: models.ServerId, idempotent: bool, now: float) -> bool:
        """Returns whether the server may receive a new request now.

        While a server is ejected, it may receive only trials, which are idempotent requests.
        """
        entry = self._servers.get(server)
        if entry is None:
            return False
        if entry.state is State.SERVING or now >= entry.permit_until:
            return True
        trial_due = (
            entry.state is State.TRIAL and entry.trial_id is None and now >= entry.next_trial_at
        )
        return idempotent and trial_due

    def penalty(self, server: models.ServerId, now: float) -> float:
        """Returns 0 for a healthy server; servers with a higher penalty are chosen last."""
        entry = self._servers[server]
        if entry.state is State.UNHEALTHY or self._has_local_path_fault(entry, now):
            return 1.0 + entry.bad_share
        if entry.suspect and entry.recent and now - entry.recent[-1][0] < SUSPECT_TTL_S:
            return 0.5 + entry.bad_share / 2
        return 0.0

    def slot_share(self, server: models.ServerId, now: float) -> float:
        """Returns the share of the server's slots to use, in (0, 1]; below 1 during its warm-up."""
        if self._pool.warmup_s <= 0:
            return 1.0
        age = (now - self._servers[server].warmup_started_at) / self._pool.warmup_s
        return min(
            1.0, max(WARMUP_START_SHARE, WARMUP_START_SHARE + (1 - WARMUP_START_SHARE) * age)
        )

    def on_start(self, attempt: Attempt, now: float) -> None:
        """Records that a request was sent to its server."""
        if attempt.idempotent:
            self._last_idempotent_at = now
        self._in_flight[attempt.attempt_id] = _InFlight(attempt)
        entry = self._servers.get(attempt.server)
        if entry and entry.state is State.TRIAL and attempt.idempotent and entry.trial_id is None:
            entry.trial_id = attempt.attempt_id
            entry.next_trial_at = now + TRIAL_INTERVAL_S

    def on_finish(self, attempt: Attempt, result: AttemptResult, now: float) -> None:
        """Records the result of a request."""
        flight = self._in_flight.pop(attempt.attempt_id, None)
        entry = self._servers.get(attempt.server)
        if flight is None or entry is None:
            return
        slow = flight.slow
        if result is AttemptResult.CONNECT_FAILED:
            self._on_connect_failure(attempt.server, entry, now)
        elif result in FAILURES and not self._is_uninformative_timeout(attempt, result, now):
            self._on_failure(entry, flight, now)
        elif result is AttemptResult.ANSWERED:
            slow = self._on_response(entry, flight, now)
        if entry.trial_id == attempt.attempt_id:
            entry.trial_id = None
            self._on_trial_finished(entry, result, slow, now)

    def tick(self, now: float) -> None:
        """Checks requests in flight, evaluates servers and returns ejected ones to service."""
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refresh_rates(now)
        for entry in self._servers.values():
            entry.late = 0
        for flight in self._in_flight.values():
            self._check_in_flight(flight, now)
        for address, entry in self._servers.items():
            self._expire_path_check(entry, now)
            if entry.state is State.SERVING:
                self._evaluate(address, entry, now)
            else:
                self._update_ejected(entry, now)

    def take_effects(self) -> list[RequestPathCheck]:
        """Returns the path checks requested since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def unhealthy(self) -> dict[models.ServerId, float]:
        """Returns the servers to eject, each with the strength of its evidence in (0, 1]."""
        return {
            address: max(0.01, entry.bad_share)
            for address, entry in self._servers.items()
            if entry.state is not State.SERVING
        }

    def cold(self, now: float) -> tuple[models.ServerId, ...]:
        """Returns the servers that are still warming up."""
        return tuple(address for address in self._servers if self.slot_share(address, now) < 1.0)

    def permit(self, server: models.ServerId, valid_until: float) -> None:
        """Allows the ejection of an unhealthy server until ``valid_until``; 0 withdraws it."""
        if entry := self._servers.get(server):
            entry.permit_until = valid_until

    def on_path_check_result(
        self, server: models.ServerId, reachable: bool | None, now: float
    ) -> None:
        """Handles the result of a path check; ``reachable`` is None if no VM could check."""
        entry = self._servers.get(server)
        if entry is None or entry.path is not Path.CHECK_PENDING:
            return
        entry.path = Path.LOCAL_FAULT if reachable else Path.SERVER_DOWN
        entry.path_updated_at = now
        if not reachable:
            self._count_connect_failures(entry, now)

    def update_servers(self, servers: tuple[models.Server, ...], now: float) -> None:
        """Applies a changed list of servers; added servers start cold."""
        addresses = {server.address for server in servers}
        for address in [address for address in self._servers if address not in addresses]:
            del self._servers[address]
        for address in addresses - self._servers.keys():
            self._add(address, now, cold=True)

    def _add(self, address: models.ServerId, now: float, cold: bool) -> None:
        entry = self._servers[address] = _Server()
        entry.healthy_since = now
        if cold:
            entry.warmup_started_at = now

    # Observations

    def _on_failure(self, entry: _Server, flight: _InFlight, now: float) -> None:
        if flight.stuck:
            return
        entry.failures.add(True, entry.failure_rate, now)
        entry.failed += 1
        if not flight.slow:
            entry.total += 1
            entry.observe(True, now)
        self._end_probation_on_failure(entry, now)

    def _is_uninformative_timeout(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> bool:
        """Returns whether a timeout is no evidence: the request waited too long for a slot."""
        limit_s = self._slow_limit_s(attempt)
        on_time = limit_s < math.inf and now - attempt.started <= limit_s
        return result is AttemptResult.TIMEOUT and on_time

    def _on_response(self, entry: _Server, flight: _InFlight, now: float) -> bool:
        """Counts a response and returns whether it was slow."""
        attempt = flight.attempt
        latency_s = now - attempt.started
        self._latencies.setdefault(attempt.route, evidence.RouteLatencies()).add(
            attempt.server, latency_s
        )
        if not flight.stuck:
            entry.failures.add(False, entry.failure_rate, now)
        entry.connect_failures.set(0.0, now)
        entry.path, entry.unconfirmed_failures = Path.UNKNOWN, 0
        if flight.slow:
            return True
        slow = latency_s > self._slow_limit_s(attempt)
        self._count_slowness(entry, slow, now)
        if not slow and entry.probation_left:
            entry.probation_left -= 1
        return slow

    def _check_in_flight(self, flight: _InFlight, now: float) -> None:
        entry = self._servers.get(flight.attempt.server)
        if entry is None or flight.stuck:
            return
        age_s = now - flight.attempt.started
        slow_s = self._slow_limit_s(flight.attempt)
        if age_s <= slow_s:
            return
        if not flight.slow:
            flight.slow = True
            self._count_slowness(entry, True, now)
        median_s = slow_s / SLOW_FACTOR[self._pool.sensitivity]
        if age_s <= max(median_s * STUCK_FACTOR, MIN_STUCK_S):
            entry.late += age_s > median_s * LATE_FACTOR
        else:
            flight.stuck = True
            entry.failures.add(True, entry.failure_rate, now)
            entry.failed += 1
            self._end_probation_on_failure(entry, now)

    def _count_slowness(self, entry: _Server, slow: bool, now: float) -> None:
        entry.slowness.add(slow, entry.slow_rate, now)
        entry.total += 1
        entry.slow += slow
        entry.observe(slow, now)

    def _slow_limit_s(self, attempt: Attempt) -> float:
        baseline_s = self._baselines.get(attempt.route, {}).get(attempt.server, math.inf)
        return max(MIN_SLOW_S, baseline_s * SLOW_FACTOR[self._pool.sensitivity])

    def _end_probation_on_failure(self, entry: _Server, now: float) -> None:
        """Ejects a returned server at its first failure if the pool has no traffic for trials."""
        if (
            entry.state is State.SERVING
            and entry.probation_left
            and not self._has_idempotent_traffic(now)
        ):
            self._mark_unhealthy(entry, now)

    # Connection failures

    def _on_connect_failure(self, address: models.ServerId, entry: _Server, now: float) -> None:
        entry.unconfirmed_failures += 1
        entry.connect_failures.add(True, entry.failure_rate, now)
        if entry.path is Path.SERVER_DOWN:
            self._count_connect_failures(entry, now)
        elif entry.path is Path.UNKNOWN:
            entry.path, entry.path_updated_at = Path.CHECK_PENDING, now
            self._effects.append(RequestPathCheck(address))

    def _count_connect_failures(self, entry: _Server, now: float) -> None:
        for _ in range(entry.unconfirmed_failures):
            entry.failures.add(True, entry.failure_rate, now)
            entry.total += 1
            entry.failed += 1
            entry.observe(True, now)
            self._end_probation_on_failure(entry, now)
        entry.unconfirmed_failures = 0

    def _expire_path_check(self, entry: _Server, now: float) -> None:
        age_s = now - entry.path_updated_at
        if entry.path is Path.CHECK_PENDING and age_s > PATH_CHECK_TIMEOUT_S:
            entry.path, entry.path_updated_at = Path.SERVER_DOWN, now
            self._count_connect_failures(entry, now)
        elif entry.path in (Path.LOCAL_FAULT, Path.SERVER_DOWN) and age_s > PATH_RESULT_TTL_S:
            entry.path, entry.unconfirmed_failures = Path.UNKNOWN, 0

    def _has_local_path_fault(self, entry: _Server, now: float) -> bool:
        return entry.path is Path.LOCAL_FAULT and entry.connect_failures.score >= self._threshold(
            entry
        )

    # Evaluation

    def _threshold(self, entry: _Server) -> float:
        """Returns the score at which a server counts as unhealthy."""
        rate = max(MIN_REQUEST_RATE, entry.total * math.log(2) / RATE_HALF_LIFE_S)
        return math.log(rate * FALSE_ALARM_INTERVAL_S[self._pool.sensitivity] * TEST_COUNT)

    def _evaluate(self, address: models.ServerId, entry: _Server, now: float) -> None:
        threshold = self._threshold(entry)
        entry.suspect = False
        for test in entry.tests():
            late = self._late_score(entry) if test is entry.failures else 0.0
            if test.score + late >= threshold:
                entry.suspect = True
                test.cap(1.5 * threshold)
                run_start = test.started_at if test.score else entry.slowness.started_at
                since = max(run_start, now - PEER_CONTRAST_WINDOW_S)
                if self._peers_are_better(address, entry, since):
                    self._mark_unhealthy(entry, now)
                    return
        if max(test.score for test in entry.tests()) > PROBATION_SCORE * threshold:
            entry.healthy_since = now
        elif entry.backoff_level and now - entry.healthy_since > BACKOFF_DECAY_S:
            entry.backoff_level -= 1
            entry.healthy_since = now

    def _late_score(self, entry: _Server) -> float:
        rate = max(LATE_SHARE * entry.slow_rate, 2 * entry.failure_rate)
        return entry.late * math.log(max(1.0, evidence.ALTERNATIVE_RATES[0] / rate))

    def _peers(self, address: models.ServerId) -> list[_Server]:
        return [
            entry
            for other, entry in self._servers.items()
            if other != address and entry.state is State.SERVING
        ]

    def _peers_are_better(self, address: models.ServerId, entry: _Server, since: float) -> bool:
        own = [bad for when, bad in entry.recent if when >= since]
        if not own:
            return False
        shares = []
        for peer in self._peers(address):
            results = [bad for when, bad in peer.recent if when >= since]
            if results:
                shares.append((sum(results) / len(results), sum(results), len(results)))
        best = evidence.drop_worst_third(shares)
        total = sum(count for _, _, count in best)
        if total < MIN_PEER_OBSERVATIONS:
            return False
        return sum(bad for _, bad, _ in best) / total <= PEER_CONTRAST_RATIO * sum(own) / len(own)

    def _mark_unhealthy(self, entry: _Server, now: float) -> None:
        entry.backoff_level += 1
        entry.state = State.UNHEALTHY
        entry.permit_until = 0.0
        entry.probation_left = 0
        ejection_s = EJECTION_BASE_S * 2 ** min(entry.backoff_level - 1, 30)
        entry.ejected_until = now + min(EJECTION_MAX_S, ejection_s)
        self.counters["unhealthy"] += 1

    def _refresh_rates(self, now: float) -> None:
        """Recomputes latency baselines and healthy rates from the peers; decays the counts."""
        decay = 0.5 ** ((now - self._refreshed_at) / RATE_HALF_LIFE_S)
        self._refreshed_at = now
        for entry in self._servers.values():
            entry.total, entry.failed = entry.total * decay, entry.failed * decay
            entry.slow *= decay
        for route, latencies in self._latencies.items():
            self._baselines[route] = latencies.baselines(self._servers)
        peers = [entry for entry in self._servers.values() if self._is_rated_peer(entry)]
        peers.sort(key=lambda peer: (peer.failed + peer.slow) / peer.total)
        positions = {id(peer): position for position, peer in enumerate(peers)}
        sums = evidence.PeerSums([(peer.total, peer.failed, peer.slow) for peer in peers])
        for entry in self._servers.values():
            total, failed, slow = sums.without(positions.get(id(entry))) if peers else (0, 0, 0)
            entry.failure_rate = evidence.estimate_healthy_rate(failed, total, FAILURE_RATE_MIN)
            entry.slow_rate = evidence.estimate_healthy_rate(slow, total, SLOW_RATE_MIN)

    @staticmethod
    def _is_rated_peer(entry: _Server) -> bool:
        return entry.state is State.SERVING and entry.total > 0

    # Return to service

    def _has_idempotent_traffic(self, now: float) -> bool:
        if self._idempotent_routes is not None:
            return self._idempotent_routes
        return now - self._last_idempotent_at < IDEMPOTENT_TRAFFIC_WINDOW_S

    def _update_ejected(self, entry: _Server, now: float) -> None:
        permitted = now < entry.permit_until
        if entry.state is State.UNHEALTHY and now >= entry.ejected_until:
            if permitted and self._has_idempotent_traffic(now):
                entry.state = State.TRIAL
                entry.trial_id, entry.next_trial_at, entry.last_trial_at = None, now, now
                entry.trial_successes = entry.trial_slow_count = 0
            else:
                self._return_to_service(entry, now, warm_up=permitted)
        elif entry.state is State.TRIAL:
            no_traffic = entry.trial_id is None and now - entry.last_trial_at > TRIAL_TIMEOUT_S
            if not permitted or (no_traffic and not self._has_idempotent_traffic(now)):
                self._return_to_service(entry, now, warm_up=permitted)

    def _on_trial_finished(
        self, entry: _Server, result: AttemptResult, slow: bool, now: float
    ) -> None:
        if entry.state is not State.TRIAL:
            return
        entry.last_trial_at = now
        if result in FAILURES or result is AttemptResult.CONNECT_FAILED:
            self._fail_trial(entry, now)
        elif result is AttemptResult.ANSWERED and slow:
            entry.trial_successes, entry.trial_slow_count = 0, entry.trial_slow_count + 1
            if entry.trial_slow_count >= TRIAL_SLOW_LIMIT:
                self._fail_trial(entry, now)
        elif result is AttemptResult.ANSWERED:
            entry.trial_successes += 1
            if entry.trial_successes >= TRIAL_SUCCESSES:
                self._return_to_service(entry, now, warm_up=True)

    def _fail_trial(self, entry: _Server, now: float) -> None:
        permit_until = entry.permit_until
        self._mark_unhealthy(entry, now)
        entry.permit_until = permit_until

    def _return_to_service(self, entry: _Server, now: float, warm_up: bool) -> None:
        entry.state = State.SERVING
        entry.permit_until = 0.0
        entry.probation_left = PROBATION_RESPONSES
        entry.healthy_since = now
        entry.recent.clear()
        for test in entry.tests():
            test.set(PROBATION_SCORE * self._threshold(entry), now)
        if warm_up:
            entry.warmup_started_at = now
        self.counters["returned"] += 1
