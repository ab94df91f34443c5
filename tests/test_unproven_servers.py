"""Load pattern: gray servers of a large pool, each of which gets few requests.

In a zone with 40 servers and one to two requests a second for each of them, a gray server fails
hundreds of milliseconds apart from the others, and requests that were sent before its failure go on
to be answered. Orders must not be spent on finding out again and again that it is still gray.
"""

import heapq
import random

import pytest

from dotterelfront import gray_server, health, models, pools, queueing

SERVERS = tuple(models.Server(f"i-{number}", "a", 6) for number in range(40))
RATE_PER_S, WORK_S = 60.0, 0.9


class Zone:
    """Plays a load of orders on one shard; ``gray`` servers fail each request at once."""

    def __init__(self, gray, servers=SERVERS):
        self.suspicion = gray_server.Suspicion()
        pool = models.Pool("refunds", servers, floor=0, warmup_s=0.0)
        self.shard = pools.PoolShard(
            pool, servers, 0.0, rng=random.Random(3), suspicion=self.suspicion
        )
        self.gray = gray
        self.granted = []
        self.failed = []
        self._rng = random.Random(4)
        self._ends = []
        self._next = 1

    def play(self, start, end, rate_per_s=RATE_PER_S):
        now = start
        while now < end:
            now += self._rng.expovariate(rate_per_s)
            while self._ends and self._ends[0][0] <= now:
                self._end(*heapq.heappop(self._ends))
            self._apply(self.shard.tick(now), now)
            ticket = queueing.Ticket(
                self._next,
                "r",
                models.NO_CUSTOMER,
                models.Priority.NORMAL,
                False,
                now + 6.0,
                now,
            )
            self._next += 1
            self._apply(self.shard.submit(ticket, now), now)

    def _apply(self, effects, now):
        for effect in effects:
            assert isinstance(effect, pools.Grant)
            self.granted.append((now, effect.server))
            ok = effect.server not in self.gray
            took_s = self._rng.expovariate(1 / WORK_S) if ok else 0.003
            heapq.heappush(self._ends, (now + took_s, effect.attempt_id, effect.server, now, ok))

    def _end(self, now, attempt_id, server, sent_at, ok):
        if ok:
            self.suspicion.record_success(server, now, sent_at)
            result = health.AttemptResult.ANSWERED
        else:
            self.failed.append((now, server))
            self.suspicion.record_failure(server, now)
            result = health.AttemptResult.SERVER_ERROR
        self._apply(self.shard.complete(attempt_id, result, now), now)


def test_a_gray_server_fails_one_order_in_each_unproven_time():
    """Guards against trying a gray server again as soon as its suspicion has decayed."""
    gray = {server.address for server in SERVERS[:8]}
    zone, seconds = Zone(gray), 44.0
    zone.play(0.0, seconds)
    tries = len(gray) * (1 + int(seconds / gray_server.UNPROVEN_S))
    assert len(gray) <= len(zone.failed) <= tries


def test_answers_to_earlier_requests_do_not_prove_a_server():
    """Guards against a server that becomes gray while its slots are busy: their answers follow."""
    suspicion, server = gray_server.Suspicion(), SERVERS[0].address
    addresses = [server.address for server in SERVERS]
    suspicion.record_failure(server, 5.0)
    suspicion.record_success(server, 5.5, sent_at=4.8)
    assert suspicion.unproven(addresses, 6.0) == {server}
    suspicion.record_success(server, 8.5, sent_at=8.0)
    assert suspicion.unproven(addresses, 8.6) == set()


@pytest.mark.parametrize("count", [2, 6, 40])
def test_seven_in_ten_servers_get_requests_after_all_have_failed(count):
    """Guards against a floor that is broken because all servers failed once."""
    servers = SERVERS[:count]
    zone = Zone(set(), servers)
    for server in servers:
        zone.suspicion.record_failure(server.address, 0.0)
    zone.play(2.5, 4.5, rate_per_s=3.0 * count)
    assert len({server for _, server in zone.granted}) >= 0.7 * count


def test_a_recovered_server_is_used_again():
    """Guards against capacity that is lost for good after a gray period."""
    zone = Zone({SERVERS[0].address})
    zone.play(0.0, 5.0)
    zone.gray = set()
    zone.play(5.0, 5.0 + 2 * gray_server.UNPROVEN_S)
    assert any(server == SERVERS[0].address for at, server in zone.granted if at > 5.0)


def test_unproven_servers_are_used_before_requests_wait():
    """Guards against requests that queue at a load peak while servers are free."""
    servers = (SERVERS[0], *SERVERS[1:4])
    zone = Zone(set(), servers)
    zone.suspicion.record_failure(servers[0].address, 0.0)
    now = gray_server.UNPROVEN_S / 2
    for number in range(24):
        deadline = now + 6.0
        ticket = queueing.Ticket(
            number, "r", models.NO_CUSTOMER, models.Priority.NORMAL, False, deadline, now
        )
        zone._apply(zone.shard.submit(ticket, now), now)
    assert len(zone.granted) == 24
