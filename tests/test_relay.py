"""Relaying of requests: which attempts are retried, and how the caller is answered."""

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
"""Steps in which the request may have run."""


class Slots:
    """Grants a server for each request; records how the slots were released."""

    def __init__(self, grants=99):
        self.grants, self.all_requirements, self.results = grants, [], []

    async def acquire(self, requirements):
        self.all_requirements.append(requirements)
        if len(self.all_requirements) > self.grants:
            raise errors.OverloadedError("full", 0.7)
        return slot_client.SlotLease(f"i-{len(self.all_requirements)}", self.results.append)


class Servers:
    """Responds to each request with the next step; records the requests."""

    def __init__(self, steps):
        self.steps, self.sent, self.reuse = list(steps), [], []

    def connected(self, pool, idempotent):
        return ("i-7",)

    async def send(self, server, req, remaining_s, reuse=True, may_send=None):
        self.sent.append((server.id, remaining_s))
        self.reuse.append(reuse)
        step = self.steps.pop(0) if self.steps else STEPS["answer"]
        if isinstance(step, Exception):
            raise step
        return step


def instance(server):
    return fleetmodel.Instance(server, "10.0.0.1:80", POOL, "a", 4, models.ServerState.ACTIVE, 1)


def configuration(idempotent=False, attempts=2, revision=1, weighted_pools=None):
    route = fleetmodel.FleetRoute(
        name="r",
        host="shop",
        path_prefix="/x/",
        weighted_pools=weighted_pools or (fleetmodel.WeightedPool(POOL, 1.0),),
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
    """Handles one request; returns the answer or error, the slots and the servers."""
    slots, servers = slots or Slots(), Servers([STEPS[step] for step in steps])

    async def scenario():
        subject = relay.Relay(slots, relay.Fleet(instance), servers)
        subject.configure(configuration(**config))
        call = make_call(path, deadline, arrived=asyncio.get_running_loop().time())
        try:
            return await subject.handle(call)
        except errors.RequestError as exc:
            return exc

    return asyncio.run(scenario()), slots, servers


ANY_STEPS = st.lists(st.sampled_from(sorted(STEPS)), min_size=1, max_size=6)


@given(ANY_STEPS)
def test_a_non_idempotent_request_is_not_retried_after_it_may_have_run(steps):
    """Guards against an order that runs twice."""
    _, _, servers = handle(steps, attempts=4)
    sent = steps[: len(servers.sent)]
    assert not RAN & set(sent[:-1])


@given(ANY_STEPS, st.booleans())
def test_not_run_is_reported_only_when_true(steps, idempotent):
    """Guards against a caller that repeats an order after "not run" although the order ran."""
    answer, _, servers = handle(steps, idempotent=idempotent, attempts=3)
    not_run = answer.status in relay.NOT_RUN_STATUSES
    sent = (steps + ["answer"] * 9)[: len(servers.sent)]
    assert not (not_run and RAN & set(sent))


@given(ANY_STEPS, st.integers(1, 3))
def test_a_request_is_sent_to_no_more_servers_than_its_route_allows(steps, attempts):
    """Guards against a request that runs on more servers than the operators allow."""
    _, _, servers = handle(steps, idempotent=True, attempts=attempts)
    reached = (steps + ["answer"] * 9)[: len(servers.sent)]
    assert len([step for step in reached if step != "no connection"]) <= attempts


@given(ANY_STEPS, st.booleans())
def test_every_slot_is_released_once(steps, idempotent):
    """Guards against slots that a failed request leaks or releases twice."""
    _, slots, servers = handle(steps, idempotent=idempotent)
    assert len(slots.results) == len(slots.all_requirements) == len(servers.sent)


@given(ANY_STEPS)
def test_a_successful_answer_is_signed_by_a_server(steps):
    """Guards against relaying a response that no server has signed."""
    answer, _, _ = handle(steps, idempotent=True)
    if isinstance(answer, relay.Answer) and answer.status < 300:
        assert ("Response-Sig", "s") in answer.headers


@pytest.mark.parametrize("step", ["failure", "broken", "unsigned", "encoded", "no connection"])
def test_an_idempotent_request_is_retried_on_another_server(step):
    """Guards against a look-up that fails because one server fails."""
    answer, slots, servers = handle([step], idempotent=True)
    assert (answer.status, answer.body) == (200, b"ok")
    assert slots.all_requirements[1].avoid[0] == servers.sent[0][0]


def test_a_server_error_at_the_deadline_counts_as_a_timeout():
    """Guards against healthy servers that become suspect through routes with short timeouts."""
    answer, slots, _ = handle(["failure"], deadline="50")
    assert (answer.status, slots.results) == (500, [health.AttemptResult.TIMEOUT])


def test_a_server_error_response_is_relayed_unchanged():
    answer, _, _ = handle(["failure"])
    assert (answer.status, answer.body) == (500, b"ok")


def test_a_server_error_is_relayed_when_a_retry_gets_no_slot():
    """Guards against the answer "not run" after a first attempt that ran."""
    answer, _, _ = handle(["failure"], slots=Slots(grants=1), idempotent=True)
    assert answer.status == 500


def test_a_refusal_carries_retry_after():
    answer, _, _ = handle([], slots=Slots(grants=0))
    assert (answer.status, answer.retry_after_s) == (503, 0.7)


def test_a_lost_response_is_an_unknown_outcome():
    answer, _, _ = handle(["broken"])
    assert (answer.status, answer.outcome) == (502, models.Outcome.UNKNOWN)


def test_an_unknown_path_is_404_only_with_a_configuration():
    """Guards against 404 from a VM that has no configuration yet."""
    assert handle([], path="/y/")[0].status == 404

    async def scenario():
        subject = relay.Relay(Slots(), relay.Fleet(instance), Servers([]))
        with pytest.raises(errors.NoConfigurationError):
            await subject.handle(make_call())

    asyncio.run(scenario())


def test_a_server_gets_no_more_time_than_the_caller_has_left():
    _, _, servers = handle(["not run", "answer"])
    assert all(remaining_s <= 2.0 for _, remaining_s in servers.sent)


def test_weights_split_a_route_between_pools():
    """Guards against pools that get other shares of a route than the operators set."""
    weighted_pools = (
        fleetmodel.WeightedPool("orders", 90.0),
        fleetmodel.WeightedPool("refunds", 10.0),
    )
    slots = Slots(grants=1000)

    def instance_of_requested_pool(server):
        return msgspec.structs.replace(instance(server), pool=slots.all_requirements[-1].pool)

    async def scenario():
        subject = relay.Relay(slots, relay.Fleet(instance_of_requested_pool), Servers([]), seed=1)
        subject.configure(configuration(weighted_pools=weighted_pools))
        for _ in range(1000):
            await subject.handle(make_call(arrived=asyncio.get_running_loop().time()))

    asyncio.run(scenario())
    share = sum(requirements.pool == "refunds" for requirements in slots.all_requirements) / 1000
    assert 0.07 < share < 0.13


def test_a_server_of_another_pool_gets_no_request():
    """Guards against a request that reaches a service to which its route does not lead."""
    slots, servers = Slots(grants=1), Servers([])
    other = lambda server: msgspec.structs.replace(instance(server), pool="other")  # noqa: E731

    async def scenario():
        subject = relay.Relay(slots, relay.Fleet(other), servers)
        subject.configure(configuration())
        with pytest.raises(errors.OverloadedError):
            await subject.handle(make_call(arrived=asyncio.get_running_loop().time()))

    asyncio.run(scenario())
    assert servers.sent == []
    assert slots.results == [health.AttemptResult.CONNECT_FAILED]


def test_a_request_is_not_retried_after_its_caller_disconnects():
    """Guards against a retry for a caller that disconnected during the first attempt."""
    call, slots = make_call(arrived=1e9), Slots()

    class Disconnecting(Servers):
        async def send(self, server, req, remaining_s, reuse, may_send):
            call.disconnected = True
            return await super().send(server, req, remaining_s)

    servers = Disconnecting([STEPS["not run"], STEPS["answer"]])

    async def scenario():
        subject = relay.Relay(slots, relay.Fleet(instance), servers)
        subject.configure(configuration())
        with pytest.raises(errors.OverloadedError):
            await subject.handle(call)

    asyncio.run(scenario())
    assert len(servers.sent) == 1


def test_a_cancelled_request_releases_its_slot():
    """Guards against slots that stay taken after their callers have disconnected."""
    slots = Slots()

    class Silent:
        def connected(self, pool, idempotent):
            return ()

        async def send(self, server, req, remaining_s, reuse, may_send):
            await asyncio.Event().wait()

    async def scenario():
        subject = relay.Relay(slots, relay.Fleet(instance), Silent())
        subject.configure(configuration(idempotent=True))
        task = asyncio.ensure_future(subject.handle(make_call(arrived=1e9)))
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert slots.results == [health.AttemptResult.CANCELLED]


def test_a_repeat_at_the_same_server_does_not_reuse_a_connection():
    """Guards against a copy of the first rejection that has the id of the repeated request."""

    class OneServer(Slots):
        async def acquire(self, requirements):
            lease = await super().acquire(requirements)
            return slot_client.SlotLease("i-1", lease.release)

    *_, servers = handle(["not run", "answer"], OneServer())
    assert servers.reuse == [True, False]
