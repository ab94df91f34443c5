"""Statistics of the health tests: CUSUM, latency baselines and robust rates of the peers."""

import collections
import math
import operator

from dotterelfront import models

ALTERNATIVE_RATES = (0.98, 0.3)
"""Alternative hypotheses: the rate of bad requests when all requests fail, and when some do."""

RATE_MARGIN = 1.25
"""Safety factor on the peers' rates that allows for the error of the estimate."""

LATENCY_WINDOW_SIZE = 128
MIN_PEER_LATENCIES = 3


class Cusum:
    """CUSUMs of one kind of bad event, one per alternative rate; ``score`` is the largest."""

    def __init__(self):
        self._scores = [0.0] * len(ALTERNATIVE_RATES)
        self.score = 0.0
        self.started_at = 0.0
        """Time of the first bad event since the score was last 0."""

    def add(self, bad: bool, rate: float, now: float) -> None:
        """Adds one observation; ``rate`` is a healthy server's rate of bad events."""
        if not bad and self.score == 0.0:
            return
        if self.score == 0.0:
            self.started_at = now
        for index, alternative_rate in enumerate(ALTERNATIVE_RATES):
            failing_rate = max(alternative_rate, min(0.98, 3 * rate))
            likelihood_ratio = failing_rate / rate if bad else (1 - failing_rate) / (1 - rate)
            self._scores[index] = max(0.0, self._scores[index] + math.log(likelihood_ratio))
        self.score = max(self._scores)

    def set(self, score: float, now: float) -> None:
        """Sets the scores of all alternative rates."""
        self._scores = [score] * len(ALTERNATIVE_RATES)
        self.score, self.started_at = score, now

    def cap(self, score: float) -> None:
        """Caps the scores, so that they decay as fast after a long failure as after a short one."""
        self._scores = [min(value, score) for value in self._scores]
        self.score = max(self._scores)


class RouteLatencies:
    """Sliding window of response latencies on one route, over all servers of the shard."""

    def __init__(self):
        self._window: collections.deque = collections.deque(maxlen=LATENCY_WINDOW_SIZE)

    def add(self, server: models.ServerId, seconds: float) -> None:
        self._window.append((server, seconds))

    def baselines(self, servers) -> dict[models.ServerId, float]:
        """Returns for each server with peers the lower median of its peers' median latencies."""
        by_server = collections.defaultdict(list)
        for server, seconds in self._window:
            by_server[server].append(seconds)
        medians = sorted(
            (sorted(values)[len(values) // 2], server)
            for server, values in by_server.items()
            if len(values) >= MIN_PEER_LATENCIES
        )
        middle = _lower_median(medians)
        result = {} if middle is None else dict.fromkeys(servers, middle)
        for position, (_, server) in enumerate(medians):
            middle = _lower_median(medians[:position] + medians[position + 1 :])
            if server in result and middle is None:
                del result[server]
            elif server in result:
                result[server] = middle
        return result


def _lower_median(medians: list[tuple[float, models.ServerId]]) -> float | None:
    return medians[(len(medians) - 1) // 2][0] if medians else None


class PeerSums:
    """Sums over the best two thirds of the peers of each server.

    ``rows`` has one row of counts per server that may be a peer, the best server first::

        sums = PeerSums([(20.0, 0.0), (9.0, 1.0), (8.0, 4.0)])
        sums.without(1)       # (20.0, 0.0): the worse one of the two peers is dropped
        sums.without(None)    # (29.0, 1.0): for a server that is no peer of others
    """

    def __init__(self, rows: list[tuple[float, ...]]):
        self._rows = rows
        self._prefix_sums = [tuple(0.0 for _ in range(len(rows[0]) if rows else 0))]
        for row in rows:
            sums = self._prefix_sums[-1]
            self._prefix_sums.append(tuple(map(operator.add, sums, row)))

    def without(self, position: int | None) -> tuple[float, ...]:
        """Returns the sums for the server whose own row is at ``position``."""
        kept = _best_two_thirds(len(self._rows) - (position is not None))
        if position is None or position >= kept:
            return self._prefix_sums[kept]
        return tuple(map(operator.sub, self._prefix_sums[kept + 1], self._rows[position]))


def _best_two_thirds(count: int) -> int:
    """Returns how many of ``count`` peers are kept; a single one is."""
    return count - -(-count // 3) if count > 1 else count


def drop_worst_third(ranked: list) -> list:
    """Returns the peers without the worst third, rounded up; a single peer is kept.

    Each item is a tuple whose first field is the peer's rate; a higher rate is worse.
    """
    return sorted(ranked, key=lambda item: item[0])[: _best_two_thirds(len(ranked))]


def estimate_healthy_rate(bad: float, total: float, min_rate: float) -> float:
    """Estimates a healthy server's rate of bad requests from its peers' counts."""
    estimated_rate = RATE_MARGIN * (bad + 0.5) / (total + 0.5 / min_rate)
    return min(0.6, max(min_rate, estimated_rate))
