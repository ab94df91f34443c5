"""Detection of unhealthy servers and their return to service, on a simulated clock."""

import pytest

from dotterelfront import health, models
from dotterelfront.health import AttemptResult as Result

NAMES = tuple(models.ServerId(f"10.0.0.{i}:80") for i in range(6))
ROUTE = models.RouteName("r")
STEP_S = 0.1


class Simulation:
    """Sends each eligible server one request per step.

    ``respond(name, step)`` returns the result of the request and its latency in seconds.
    """

    def __init__(self, size=6, idempotent=True, sensitivity=models.Sensitivity.BALANCED, **extra):
        self.names = NAMES[:size]
        servers = tuple(models.Server(name, models.ZoneName("z"), 4) for name in self.names)
        pool = models.Pool(models.PoolName("p"), servers, 4, sensitivity)
        self.health = health.ShardHealth(pool, servers, 0.0, **extra)
        self.idempotent = idempotent
        self.now, self.last_id, self.in_flight, self.sent = 0.0, 0, [], dict.fromkeys(self.names, 0)

    def run(self, seconds, respond=lambda name, step: (Result.ANSWERED, 0.05), permitted=True):
        for step in range(round(seconds / STEP_S)):
            for name in self.names:
                if self.health.eligible(name, self.idempotent, self.now):
                    self._send(name, respond(name, step))
            self.now += STEP_S
            due = [request for request in self.in_flight if request[0] <= self.now]
            self.in_flight = [request for request in self.in_flight if request[0] > self.now]
            for when, attempt, result in due:
                self.health.on_finish(attempt, result, when)
            self.health.tick(self.now)
            if permitted:
                for name in self.health.unhealthy():
                    self.health.permit(name, self.now + 6.0)
        return set(self.health.unhealthy())

    def _send(self, name, response):
        self.last_id += 1
        self.sent[name] += 1
        attempt = health.Attempt(self.last_id, name, ROUTE, self.idempotent, self.now)
        self.health.on_start(attempt, self.now)
        result, latency_s = response
        self.in_flight.append((self.now + latency_s, attempt, result))


def _bad_server(result, latency_s=0.05, bad=NAMES[0]):
    return lambda name, step: (result, latency_s) if name == bad else (Result.ANSWERED, 0.05)


@pytest.mark.parametrize("result", [Result.SERVER_ERROR, Result.BROKEN])
@pytest.mark.parametrize("size", [2, 6])
def test_failing_server_is_unhealthy(result, size):
    """Guards against a failing server that stays in service, also in a pool of two."""
    sim = Simulation(size)
    sim.run(5)
    assert sim.run(2, _bad_server(result)) == {NAMES[0]}
    assert not sim.health.eligible(NAMES[0], True, sim.now)


@pytest.mark.parametrize("size", [2, 6])
def test_slow_server_is_unhealthy(size):
    """Guards against missing a server that answers all requests at ten times the latency."""
    sim = Simulation(size)
    sim.run(5)
    assert sim.run(3, _bad_server(Result.ANSWERED, 0.5)) == {NAMES[0]}


def test_hanging_requests_count_before_their_timeout():
    """Guards against slow detection when requests hang, as with a one-way network fault."""
    sim = Simulation()
    sim.run(5)
    assert sim.run(2.5, _bad_server(Result.TIMEOUT, 60.0)) == {NAMES[0]}


@pytest.mark.parametrize("result", [Result.REFUSED, Result.CANCELLED])
def test_shed_load_and_cancellations_are_not_failures(result):
    """Guards against ejecting a server because it sheds load or callers cancel."""
    sim = Simulation()
    sim.run(5)
    assert not sim.run(10, _bad_server(result))


@pytest.mark.parametrize(
    "response",
    [(Result.SERVER_ERROR, 0.05), (Result.ANSWERED, 0.5), (Result.TIMEOUT, 2.0)],
)
@pytest.mark.parametrize("size", [2, 3, 6])
def test_shared_fault_ejects_no_server(response, size):
    """Guards against ejecting servers for a dependency that all of them share."""
    sim = Simulation(size)
    sim.run(5)
    assert not sim.run(20, lambda name, step: response)


def test_server_still_failing_after_a_shared_fault_is_unhealthy():
    """Guards against a peer comparison with too long a look-back."""
    sim = Simulation()
    sim.run(5)
    sim.run(5, lambda name, step: (Result.SERVER_ERROR, 0.05))
    assert sim.run(10, _bad_server(Result.SERVER_ERROR)) == {NAMES[0]}


def test_two_faulty_servers_are_both_unhealthy():
    """Guards against a faulty peer that masks another in the peer comparison."""
    sim = Simulation()
    sim.run(5)
    unhealthy = sim.run(
        3,
        lambda name, step: (Result.SERVER_ERROR if name in NAMES[:2] else Result.ANSWERED, 0.05),
    )
    assert unhealthy == set(NAMES[:2])


def test_timeout_after_a_long_queue_wait_is_no_evidence():
    """Guards against evidence from requests that got a slot just before their deadline."""
    sim = Simulation()
    sim.run(5)
    assert not sim.run(10, _bad_server(Result.TIMEOUT, 0.01))


def test_failing_server_without_peer_traffic_is_deprioritised():
    """Guards against a failing server that gets all traffic, so that no peer can be compared."""
    sim = Simulation()
    sim.run(5)
    names, sim.names = sim.names, sim.names[:1]
    sim.run(20, _bad_server(Result.SERVER_ERROR))
    assert sim.health.penalty(NAMES[0], sim.now) > 0
    sim.names = names
    assert sim.run(1, _bad_server(Result.SERVER_ERROR)) == {NAMES[0]}


def test_without_permit_the_server_is_only_deprioritised():
    """Guards against a VM that ejects without a permit, or after its permit has expired."""
    sim = Simulation()
    sim.run(5)
    sim.run(2, _bad_server(Result.SERVER_ERROR), permitted=False)
    assert sim.health.eligible(NAMES[0], False, sim.now)
    assert sim.health.penalty(NAMES[0], sim.now) > 0
    sim.health.permit(NAMES[0], sim.now + 6.0)
    assert not sim.health.eligible(NAMES[0], False, sim.now + 5.9)
    assert sim.health.eligible(NAMES[0], False, sim.now + 6.1)


def test_server_returns_by_idempotent_trials_then_warms_up():
    """Guards against non-idempotent trials, and against full load on a server just returned."""
    sim = Simulation()
    sim.run(5)
    sim.run(2, _bad_server(Result.SERVER_ERROR))
    sim.run(4)
    sim.sent[NAMES[0]] = 0
    while sim.health.unhealthy():
        assert not sim.health.eligible(NAMES[0], False, sim.now)
        sim.run(0.1)
        assert sim.now < 20
    assert sim.sent[NAMES[0]] <= health.TRIAL_SUCCESSES
    assert sim.health.slot_share(NAMES[0], sim.now) < 0.2
    assert sim.health.slot_share(NAMES[0], sim.now + 10.0) == 1.0


def _ejection_time_s(sim, respond):
    """Returns the seconds from the next ejection to the next request to the server."""
    while NAMES[0] not in sim.health.unhealthy():
        sim.run(0.1, respond)
    start, sent_before = sim.now, sim.sent[NAMES[0]]
    while sim.sent[NAMES[0]] == sent_before:
        sim.run(0.1, respond)
    return sim.now - start


def test_ejection_time_doubles_and_decays():
    """Guards against a flapping server that returns to service every few seconds."""
    sim = Simulation()
    sim.run(5)
    bad = _bad_server(Result.SERVER_ERROR)
    times = [_ejection_time_s(sim, bad) for _ in range(4)]
    assert times == pytest.approx([5, 10, 20, 40], abs=1.0)
    sim.run(100)
    assert not sim.health.unhealthy()
    sim.run(5 * health.BACKOFF_DECAY_S)
    assert _ejection_time_s(sim, bad) == pytest.approx(5, abs=1.0)


def test_without_idempotent_routes_first_failure_ejects_again():
    """Guards against many failed requests each time that a faulty server returns."""
    sim = Simulation(idempotent=False)
    sim.run(5)
    bad = _bad_server(Result.SERVER_ERROR)
    _ejection_time_s(sim, bad)
    sent_before = sim.sent[NAMES[0]]
    sim.run(1, bad)
    assert sim.sent[NAMES[0]] - sent_before <= 1
    assert _ejection_time_s(sim, bad) == pytest.approx(10, abs=1.0)


@pytest.mark.parametrize(
    ("reachable", "ejected"), [(True, False), (False, True), (None, True), ("silent", True)]
)
def test_connection_failures_count_once_confirmed_by_another_vm(reachable, ejected):
    """Guards against ejecting a server whose network path fails from one VM only."""
    sim = Simulation()
    sim.run(5)
    bad = _bad_server(Result.CONNECT_FAILED, 0.01)
    for _ in range(40):
        sim.run(0.1, bad)
        for effect in sim.health.take_effects():
            if reachable != "silent":
                sim.health.on_path_check_result(effect.server, reachable, sim.now)
    assert (NAMES[0] in sim.health.unhealthy()) is ejected
    assert sim.health.penalty(NAMES[0], sim.now) > 0


def test_added_servers_start_cold():
    """Guards against full load on a server just added to the pool."""
    sim = Simulation(2)
    servers = tuple(models.Server(name, models.ZoneName("z"), 4) for name in NAMES[1:3])
    sim.health.update_servers(servers, 50.0)
    assert not sim.health.eligible(NAMES[0], True, 50.0)
    assert sim.health.slot_share(NAMES[1], 50.0) == 1.0
    assert sim.health.cold(50.0) == (NAMES[2],)


def test_more_sensitive_pools_need_less_evidence():
    """Guards against a sensitivity setting without effect."""
    sent = []
    for sensitivity in models.Sensitivity:
        sim = Simulation(sensitivity=sensitivity)
        sim.run(5)
        before = sim.sent[NAMES[0]]
        sim.run(3, _bad_server(Result.SERVER_ERROR))
        sent.append(sim.sent[NAMES[0]] - before)
    assert sent == sorted(sent)
    assert sent[0] < sent[-1]
