"""A caller's request through the fleet: what is sent again, and what the caller is told."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import errors, exchange, fleetmodel, headers, health, models, relay, slot_client

POOL = models.PoolName("orders")
SIGNED = (("Response-Sig", "s"), ("Request-Id", "a"))


def response(status=200, pairs=SIGNED, body=b"ok"):
    fields = {name.lower(): value for name, value in pairs}
    return exchange.Response(status, tuple(pairs), fields, body)


STEPS = {
    "answer": response(),
    "failure": response(500),
    "not run": response(503, (("Not-Executed", "1"),)),
    "other server": response(421, ()),
    "may have run": response(503, SIGNED),
    "unsigned": response(200, (("Request-Id", "a"),)),
    "encoded": response(200, (*SIGNED, ("Content-Encoding", "gzip"))),
    "no connection": errors.ConnectError(),
    "broken": errors.BrokenExchangeError(),
    "silent": errors.ExchangeTimeoutError(),
}
RAN = {"answer", "failure", "may have run", "unsigned", "encoded", "broken", "silent"}
"""Steps after which a request may have run."""


class Slots:
    """Grants a server for each request; records how the slots were released."""

    def __init__(self, grants=99):
        self.grants, self.needs, self.results = grants, [], []

    async def acquire(self, need):
        self.needs.append(need)
        if len(self.needs) > self.grants:
            raise errors.OverloadedError("full", 0.7)
        return slot_client.Lease(f"i-{len(self.needs)}", self.results.append)


class Servers:
    """Plays the steps; records the requests."""

    def __init__(self, steps):
        self.steps, self.sent = list(steps), []

    async def send(self, server, req, left_s):
        self.sent.append((server.id, left_s))
        step = self.steps.pop(0) if self.steps else STEPS["answer"]
        if isinstance(step, Exception):
            raise step
        return step


def instance(server):
    return fleetmodel.Instance(server, "10.0.0.1:80", POOL, "a", 4, models.ServerState.ACTIVE, 1)


def configuration(idempotent=False, attempts=2, revision=1, parts=None):
    route = fleetmodel.FleetRoute(
        name="r",
        host="shop",
        path_prefix="/x/",
        parts=parts or (fleetmodel.Part(POOL, 1.0),),
        idempotent=idempotent,
        priority=models.Priority.NORMAL,
        timeout_s=4.0,
        objective_s=1.0,
        attempts=attempts,
    )
    return fleetmodel.Configuration(revision, (route,), frozenset([POOL]), 3.0, 15.0, 1000)


def make_call(path="/x/1", deadline="2000", arrived=None):
    pairs = [("Host", "shop"), ("Request-Id", "a"), ("Request-Deadline", deadline)]
    head = headers.request_head("POST", path, b"1.1", [*pairs, ("Content-Length", "1")])
    return relay.Call(head, b"b", arrived if arrived is not None else 0.0)


def handle(steps, slots=None, path="/x/1", deadline="2000", **config):
    """Plays one request; returns the answer or error, the slots and the servers."""
    slots, servers = slots or Slots(), Servers([STEPS[step] for step in steps])

    async def play():
        subject = relay.Relay(slots, instance, servers)
        subject.configure(configuration(**config))
        call = make_call(path, deadline, arrived=asyncio.get_running_loop().time())
        try:
            return await subject.handle(call)
        except errors.RequestError as exc:
            return exc

    return asyncio.run(play()), slots, servers


ANY_STEPS = st.lists(st.sampled_from(sorted(STEPS)), min_size=1, max_size=6)


@given(ANY_STEPS)
def test_a_request_that_may_run_once_is_not_sent_after_it_may_have_run(steps):
    """Guards against an order that runs twice."""
    _, _, servers = handle(steps, attempts=4)
    sent = steps[: len(servers.sent)]
    assert not RAN & set(sent[:-1])


@given(ANY_STEPS, st.booleans())
def test_not_run_is_told_only_when_it_is_true(steps, idempotent):
    """Guards against a caller that orders again after "not run" although the order ran."""
    answer, _, servers = handle(steps, idempotent=idempotent, attempts=3)
    told = answer.status in relay.NOT_RUN_STATUSES
    sent = (steps + ["answer"] * 9)[: len(servers.sent)]
    assert not (told and RAN & set(sent))


@given(ANY_STEPS, st.integers(1, 3))
def test_a_request_is_sent_to_no_more_servers_than_its_route_allows(steps, attempts):
    """Guards against a request that runs on more servers than the operators allow."""
    _, _, servers = handle(steps, idempotent=True, attempts=attempts)
    reached = (steps + ["answer"] * 9)[: len(servers.sent)]
    assert len([step for step in reached if step != "no connection"]) <= attempts


@given(ANY_STEPS, st.booleans())
def test_every_slot_is_released_once(steps, idempotent):
    """Guards against slots that leak with a failed request."""
    _, slots, servers = handle(steps, idempotent=idempotent)
    assert len(slots.results) == len(slots.needs) == len(servers.sent)


@given(ANY_STEPS)
def test_a_success_is_a_server_s_signed_answer(steps):
    """Guards against an answer that no server vouches for."""
    answer, _, _ = handle(steps, idempotent=True)
    if isinstance(answer, relay.Answer) and answer.status < 300:
        assert ("Response-Sig", "s") in answer.headers


@pytest.mark.parametrize("step", ["failure", "broken", "unsigned", "encoded", "no connection"])
def test_an_idempotent_request_goes_to_another_server(step):
    """Guards against a look-up that is lost with one server."""
    answer, slots, servers = handle([step], idempotent=True)
    assert (answer.status, answer.body) == (200, b"ok")
    assert slots.needs[1].avoid[0] == servers.sent[0][0]


def test_a_failure_at_the_end_of_the_time_is_a_timeout():
    """Guards against routes with short timeouts that make healthy servers suspect."""
    answer, slots, _ = handle(["failure"], deadline="50")
    assert (answer.status, slots.results) == (500, [health.AttemptResult.TIMEOUT])


def test_a_server_s_failure_is_passed_on_unchanged():
    answer, _, _ = handle(["failure"])
    assert (answer.status, answer.body) == (500, b"ok")


def test_a_failure_is_passed_on_when_no_slot_is_left_for_a_repetition():
    """Guards against "not run" after a first attempt that ran."""
    answer, _, _ = handle(["failure"], slots=Slots(grants=1), idempotent=True)
    assert answer.status == 500


def test_a_refusal_says_when_to_come_back():
    answer, _, _ = handle([], slots=Slots(grants=0))
    assert (answer.status, answer.retry_after_s) == (503, 0.7)


def test_a_lost_response_is_told_as_unknown():
    answer, _, _ = handle(["broken"])
    assert (answer.status, answer.outcome) == (502, models.Outcome.UNKNOWN)


def test_a_path_without_route_is_told_so_but_only_with_a_configuration():
    """Guards against 404 from a VM that knows no configuration yet."""
    assert handle([], path="/y/")[0].status == 404

    async def play():
        subject = relay.Relay(Slots(), instance, Servers([]))
        with pytest.raises(errors.NoConfigurationError):
            await subject.handle(make_call())

    asyncio.run(play())


def test_a_server_gets_no_more_time_than_the_caller_has():
    _, _, servers = handle(["not run", "answer"])
    assert all(left_s <= 2.0 for _, left_s in servers.sent)


def test_weights_divide_a_route():
    """Guards against parts that get other shares than the operators set."""
    parts = (fleetmodel.Part("orders", 90.0), fleetmodel.Part("refunds", 10.0))
    slots = Slots(grants=1000)

    def of_its_pool(server):
        return msgspec.structs.replace(instance(server), pool=slots.needs[-1].pool)

    async def play():
        subject = relay.Relay(slots, of_its_pool, Servers([]), seed=1)
        subject.configure(configuration(parts=parts))
        for _ in range(1000):
            await subject.handle(make_call(arrived=asyncio.get_running_loop().time()))

    asyncio.run(play())
    share = sum(need.pool == "refunds" for need in slots.needs) / 1000
    assert 0.07 < share < 0.13


def test_a_server_of_another_pool_gets_no_request():
    """Guards against a request that a service runs to which no route leads."""
    slots, servers = Slots(grants=1), Servers([])
    other = lambda server: msgspec.structs.replace(instance(server), pool="other")  # noqa: E731

    async def play():
        subject = relay.Relay(slots, other, servers)
        subject.configure(configuration())
        with pytest.raises(errors.OverloadedError):
            await subject.handle(make_call(arrived=asyncio.get_running_loop().time()))

    asyncio.run(play())
    assert servers.sent == []
    assert slots.results == [health.AttemptResult.CONNECT_FAILED]


def test_a_request_whose_caller_has_left_is_not_sent_again():
    """Guards against work that begins for a caller that has left while an order was under way."""
    call, slots = make_call(arrived=1e9), Slots()

    class Leaving(Servers):
        async def send(self, server, req, left_s):
            call.left = True
            return await super().send(server, req, left_s)

    servers = Leaving([STEPS["not run"], STEPS["answer"]])

    async def play():
        subject = relay.Relay(slots, instance, servers)
        subject.configure(configuration())
        with pytest.raises(errors.OverloadedError):
            await subject.handle(call)

    asyncio.run(play())
    assert len(servers.sent) == 1


def test_a_cancelled_request_releases_its_slot():
    """Guards against slots that stay taken by callers that have left."""
    slots = Slots()

    class Silent:
        async def send(self, server, req, left_s):
            await asyncio.Event().wait()

    async def play():
        subject = relay.Relay(slots, instance, Silent())
        subject.configure(configuration(idempotent=True))
        task = asyncio.ensure_future(subject.handle(make_call(arrived=1e9)))
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(play())
    assert slots.results == [health.AttemptResult.CANCELLED]
