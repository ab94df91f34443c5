"""Servers that say in their responses that they leave or want a pause get no further requests."""

import asyncio
import random

import hypothesis
import msgspec
import pytest
import virtual_time
from hypothesis import stateful
from hypothesis import strategies as st

from dotterelfront import errors, fleetmodel, models, relay, server_signals, slot_client
from dotterelfront.platform import wire
from soak import caller, play
from tests import test_relay, test_slot_owner

LEAVING, PAUSED = server_signals.Block.LEAVING, server_signals.Block.PAUSED
NAMES = ("i-1", "i-2", "i-3")


def instance(name, started_ms=0, state=models.ServerState.ACTIVE):
    return msgspec.structs.replace(test_relay.instance(name), started_ms=started_ms, state=state)


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        (" 2 ", 2.0),
        ("0", None),
        ("-1", None),
        ("soon", None),
        ("1e3", None),
        ("nan", None),
        ("Sat, 05 Dec 2026 11:00:00 GMT", None),
        ("1, 4", 4.0),
        ("soon, 4", 4.0),
        ("", None),
        ("9" * 300, float("9" * 300)),
        ("9" * 3_000, None),
    ],
)
def test_requested_pause(value, pause_s):
    """Guards against a header of a server that ends a request with an error of the proxy."""
    assert wire.requested_pause_s(503, {"retry-after": value}) == pause_s
    assert wire.requested_pause_s(429, {"retry-after": value}) is None


def test_a_pause_is_shortened_to_a_day():
    """Guards against a server that a single response takes out of use for good."""
    signals = server_signals.ServerSignals()
    signals.on_pause(instance("i-1"), 1e300, now=0.0)
    assert signals.block(instance("i-1"), server_signals.MAX_PAUSE_S - 1.0) is PAUSED
    assert signals.block(instance("i-1"), server_signals.MAX_PAUSE_S) is None


def test_remembered_servers_are_limited(monkeypatch):
    """Guards against memory that grows with every server that ever left."""
    monkeypatch.setattr(server_signals, "MAX_SERVERS", 2)
    signals = server_signals.ServerSignals()
    for name in NAMES:
        signals.on_leaving(instance(name))
    blocks = [signals.block(instance(name), 0.0) for name in NAMES]
    assert blocks == [None, LEAVING, LEAVING]


class SignalMachine(stateful.RuleBasedStateMachine):
    """Compares the signals with the list of everything that the servers said."""

    def __init__(self):
        super().__init__()
        self.signals, self.now, self.said = server_signals.ServerSignals(), 0.0, []
        self.starts = dict.fromkeys(NAMES, 0)

    def expected(self, name, started_ms):
        """Returns the block of a start, None also for a start that is older than the newest one
        that said something."""
        kinds = [
            (kind, until) for n, start, kind, until in self.said if (n, start) == (name, started_ms)
        ]
        if (LEAVING, None) in kinds:
            return LEAVING
        return PAUSED if any(until > self.now for kind, until in kinds if kind is PAUSED) else None

    def newest(self, name):
        return max((start for n, start, *_ in self.said if n == name), default=0)

    @stateful.rule(name=st.sampled_from(NAMES), age=st.integers(0, 1))
    def leave(self, name, age):
        start = max(0, self.starts[name] - age)
        if start >= self.newest(name):
            self.said.append((name, start, LEAVING, None))
        self.signals.on_leaving(instance(name, start))

    @stateful.rule(
        name=st.sampled_from(NAMES), age=st.integers(0, 1), seconds=st.floats(0.01, 20.0)
    )
    def pause(self, name, age, seconds):
        start = max(0, self.starts[name] - age)
        if start >= self.newest(name):
            self.said.append((name, start, PAUSED, self.now + seconds))
        self.signals.on_pause(instance(name, start), seconds, self.now)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.starts[name] += 1

    @stateful.rule(seconds=st.floats(0.0, 15.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def blocks_are_as_the_servers_said(self):
        servers = [instance(name, start) for name, start in self.starts.items()]
        expected = [self.expected(name, start) for name, start in self.starts.items()]
        assert [self.signals.block(server, self.now) for server in servers] == expected
        blocked = tuple(s.id for s, block in zip(servers, expected, strict=True) if block)
        assert self.signals.blocked(servers, self.now) == blocked
        pause_s = self.signals.pool_pause_s(servers, self.now)
        assert (pause_s is not None) == (PAUSED in expected and None not in expected)
        assert pause_s is None or pause_s > 0.0


TestSignalMachine = SignalMachine.TestCase
TestSignalMachine.settings = hypothesis.settings(max_examples=150, stateful_step_count=30)


class Fleet:
    """A relay before servers that sign their responses and add what ``extra`` says for them.

    Slots are granted in random order, also of servers that the request excludes, as by an owner
    that knows nothing. ``arrivals`` has server and time of each request.
    """

    def __init__(self, names=NAMES, rng=None):
        self.instances = {name: instance(name) for name in names}
        self.extra, self.arrivals, self.excluded = {}, [], []
        self.hints, self.connect_s, self.rng = [], 0.0, rng
        fleet = relay.Fleet(
            self.instances.get,
            lambda pool: list(self.instances.values()),
            lambda server: self.hints.append(server.id),
        )
        self.relay = relay.Relay(self, fleet, self)
        self.relay.configure(test_relay.configuration(idempotent=True, attempts=2))

    async def acquire(self, requirements):
        self.excluded.append(requirements.excluded)
        names = sorted(self.instances)
        name = self.rng.choice(names) if self.rng else names[0]
        await asyncio.sleep(self.rng.uniform(0.0, 1.0) if self.rng else 0.0)
        return slot_client.SlotLease(name, lambda result: None)

    def connected(self, pool, idempotent):
        return ()

    async def send(self, server, req, remaining_s, reuse, may_send):
        await asyncio.sleep(self.connect_s)
        if not may_send():
            raise errors.SendWithheldError
        self.arrivals.append((server.id, server.started_ms, asyncio.get_running_loop().time()))
        status, pairs = self.extra.get(server.id, (200, ()))
        return test_relay.response(status, (*test_relay.SIGNED, *pairs))

    async def ask(self):
        call = test_relay.make_call(arrived=asyncio.get_running_loop().time())
        try:
            return await self.relay.handle(call)
        except errors.RequestError as exc:
            return exc


LEAVES = (200, (("Server-Leaving", "1"),))


def turned_away(seconds):
    return 503, (("Not-Executed", "1"), ("Retry-After", str(seconds)))


def test_a_leaving_answer_is_relayed_and_ends_the_use_of_its_server():
    """Guards against requests to a server that tells only its callers that it leaves."""

    async def scenario():
        fleet = Fleet(names=("i-1",))
        fleet.extra["i-1"] = LEAVES
        first = await fleet.ask()
        assert ("Server-Leaving", "1") in first.headers
        fleet.instances["i-2"] = instance("i-2")
        second = await fleet.ask()
        fleet.instances["i-1"] = instance("i-1", started_ms=5)
        await fleet.ask()
        return fleet, second

    fleet, second = virtual_time.run(scenario())
    assert isinstance(second, errors.OverloadedError)
    assert [(server, start) for server, start, _ in fleet.arrivals] == [("i-1", 0), ("i-1", 5)]
    assert fleet.excluded[0] == ()
    assert set(fleet.excluded[1:-1]) == {("i-1",)}
    assert fleet.hints == ["i-1", "i-1"]


def test_signals_of_another_server_at_the_address_do_not_count():
    """Guards against a server out of use because its address was given to one that leaves."""

    async def scenario():
        fleet = Fleet(names=("i-1",))
        fleet.extra["i-1"] = (421, (("Not-Executed", "1"), ("Server-Leaving", "1")))
        await fleet.ask()
        fleet.extra.clear()
        return await fleet.ask()

    assert virtual_time.run(scenario()).status == 200


def test_signal_during_the_connect_withholds_the_request():
    """Guards against a bound that is checked before a slow connect, and not before the send."""

    async def scenario():
        fleet = Fleet(names=("i-1",))
        fleet.connect_s = 0.1
        task = asyncio.ensure_future(fleet.ask())
        await asyncio.sleep(0.05)
        fleet.relay.signals.on_leaving(fleet.instances["i-1"])
        return await task, fleet

    answer, fleet = virtual_time.run(scenario())
    assert answer.status == 503
    assert fleet.arrivals == []
    assert fleet.relay.signals.counters["withheld-leaving"] > 0


@pytest.mark.parametrize("idempotent", [False, True])
def test_pauses_of_all_servers_are_answered_at_once(idempotent):
    """Guards against requests that wait for their deadline, and a retry time that is too early."""

    async def scenario():
        fleet = Fleet(names=("i-1",))
        fleet.relay.configure(test_relay.configuration(idempotent=idempotent))
        fleet.extra["i-1"] = turned_away(1.5)
        answers, loop = [], asyncio.get_running_loop()
        for wait_s in (0.0, 0.2, 1.0):
            await asyncio.sleep(wait_s)
            started = loop.time()
            answers.append((started, await fleet.ask()))
            assert loop.time() - started < 0.01
        return answers, fleet

    answers, fleet = virtual_time.run(scenario())
    assert len(fleet.arrivals) == 1
    for asked_at, answer in answers:
        assert answer.status == 503
        assert 1.5 <= asked_at + answer.retry_after_s <= 1.5 + relay.PAUSE_SPREAD_S + 0.01


@hypothesis.settings(max_examples=60)
@hypothesis.given(st.integers(0, 2**32))
def test_no_request_arrives_outside_the_bounds(seed):
    """Guards against grants, retries, hedges and restarts that lead around what servers said."""
    rng = random.Random(seed)

    async def scenario():
        fleet = Fleet(rng=rng)
        fleet.connect_s = 0.05
        tasks = []
        for number in range(60):
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            name = rng.choice(NAMES)
            steps = [LEAVES, (200, ()), turned_away(rng.choice([0.7, 2, 9])), turned_away(0)]
            fleet.extra[name] = rng.choice(steps)
            if rng.random() < 0.1:
                fleet.instances[name] = instance(name, started_ms=number)
            tasks.append(asyncio.ensure_future(fleet.ask()))
        await asyncio.gather(*tasks)
        return fleet

    heard = []
    fleet = virtual_time.run(_recording(heard, scenario))
    assert len({server for server, *_ in heard}) > 1
    for server, start, said_at, kind, until in heard:
        later = [
            at for s, st_, at in fleet.arrivals if (s, st_) == (server, start) and at > said_at
        ]
        if kind is LEAVING:
            assert not later
        else:
            assert not [at for at in later if at < until]


async def _recording(heard, scenario):
    """Runs a scenario and records what the relay learns, with the time."""
    leaving, pause = server_signals.ServerSignals.on_leaving, server_signals.ServerSignals.on_pause

    def on_leaving(self, server):
        now = asyncio.get_running_loop().time()
        heard.append((server.id, server.started_ms, now, LEAVING, None))
        return leaving(self, server)

    def on_pause(self, server, duration_s, now):
        heard.append((server.id, server.started_ms, now, PAUSED, now + duration_s))
        pause(self, server, duration_s, now)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(server_signals.ServerSignals, "on_leaving", on_leaving)
        patch.setattr(server_signals.ServerSignals, "on_pause", on_pause)
        return await scenario()


def servers(*starts):
    return tuple(
        fleetmodel.Instance(
            name,
            f"{name}:80",
            test_slot_owner.POOL,
            test_slot_owner.ZONE,
            2,
            models.ServerState.ACTIVE,
            1,
            started_ms=start,
        )
        for name, start in zip(("i-1", "i-2"), starts, strict=False)
    )


def test_an_owner_grants_no_server_that_is_said_to_leave():
    """Guards against grants that other VMs give back, and a new start that is never used."""
    owner = test_slot_owner.Owner()
    pool, zone = test_slot_owner.POOL, test_slot_owner.ZONE
    owner.core.set_servers(pool, {zone: servers(7, 7)}, 100.0)
    owner.core.mark_leaving("i-1", 7, 100.0)
    granted = {owner.ask(call_id, wait=False).server for call_id in (1, 2)}
    assert granted == {"i-2"}
    owner.core.set_servers(pool, {zone: servers(7, 7)}, 100.0)
    assert test_slot_owner.refused(owner.ask(3, wait=False))
    owner.core.set_servers(pool, {zone: servers(8, 7)}, 100.0)
    owner.core.mark_leaving("i-1", 7, 100.0)
    assert owner.ask(4, wait=False).server == "i-1"


def test_an_owner_grants_no_excluded_server():
    """Guards against grants of servers that want no requests from the VM that asks."""
    owner = test_slot_owner.Owner()
    asked = [owner.ask(call_id, excluded=("i-1",)) for call_id in (1, 2, 3)]
    assert [getattr(reply, "server", None) for reply in asked] == ["i-2", "i-2", None]
    assert test_slot_owner.refused(owner.ask(4, excluded=("i-1", "i-2")))


def test_a_ticket_that_waits_for_some_servers_does_not_block_others():
    """Guards against free servers that nobody gets because the first in the queue excludes them."""
    owner = test_slot_owner.Owner()
    for call_id in (1, 2, 3, 4):
        owner.ask(call_id, excluded=("i-1",))
    assert owner.ask(5).server == "i-1"
    assert owner.ask(6).server == "i-1"
    owner.end(1)
    assert owner.last(3).server == "i-2"
    owner.end(4, test_slot_owner.RESULT.CANCELLED)
    owner.end(2)
    assert not test_slot_owner.granted(owner.last(4))


def test_held_tickets_are_refused_at_their_deadline():
    """Guards against requests that wait for a server until after their deadline."""
    owner = test_slot_owner.Owner(names=("i-1", "i-2"))
    for call_id in (1, 2, 3):
        owner.ask(call_id, excluded=("i-1",), remaining_s=1.0 if call_id == 3 else 9.0)
    owner.core.tick(101.1)
    assert test_slot_owner.refused(owner.last(3))


def play_with_silent_store(seed, folder, sign, count=60):
    """Lets one server of a pool sign its answers while the store answers no VM."""

    async def scenario(env):
        await asyncio.sleep(play.SETTLE_S)
        env.store.down = True
        server = next(server for server in env.servers if server.pool == "stock")
        sign(server)
        load = asyncio.ensure_future(env.load.run(60.0))
        await asyncio.sleep(6.0)
        load.cancel()
        await asyncio.sleep(caller.DEADLINE_S)
        return env.observations

    observations = asyncio.run(play.run_with_fleet(seed, folder, scenario))
    assert sum(result.status == 200 for result in observations.results.values()) > count
    return observations


def test_a_leaving_answer_counts_while_the_store_is_away(tmp_path):
    """Guards against requests to a leaving server because the store does not confirm it."""

    def sign(server):
        server.announces_leaving = True

    observations = play_with_silent_store(15, tmp_path, sign)
    assert observations.leaving_answers
    assert play.records.violations(observations) == []


def test_a_pause_is_kept_while_the_store_is_away(tmp_path):
    """Guards against requests to a server that asked each VM for a pause."""

    def sign(server):
        server.pause_s = 2.0

    observations = play_with_silent_store(16, tmp_path, sign)
    assert observations.pauses
    assert play.records.violations(observations) == []
