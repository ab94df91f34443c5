"""Tests under faults and duplicate deliveries that operations run at most once, that a not-run is
true, and that each caller gets the complete response to its own request."""

import concurrent.futures
import contextlib
import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelfront import (
    backends,
    claims,
    delivery,
    dispatch,
    errors,
    health,
    messages,
    models,
    operations,
    peers,
    pools,
    store,
)

LIMIT_BYTES = 1_000_000
VM_COUNT = 2
ORDER = models.Route(models.RouteName("order"), "/order", models.PoolName("p"))
LOOKUP = models.Route(models.RouteName("lookup"), "/lookup", ORDER.pool, idempotent=True)
SERVERS = tuple(
    models.Server(models.ServerId(f"s:{index}"), models.ZoneName("z"), 1) for index in range(17)
)
POOL = models.Pool(ORDER.pool, SERVERS, 1)
TABLES = [
    models.Tables(models.Revision(2), (ORDER, LOOKUP), (POOL,)),
    models.Tables(models.Revision(1), (LOOKUP,), (POOL,)),
    models.Tables(
        models.Revision(3), (msgspec.structs.replace(ORDER, idempotent=True), LOOKUP), (POOL,)
    ),
]


def _vm(index: int) -> models.Vm:
    zone = models.ZoneName("z")
    return models.Vm(models.VmId(f"vm-{index}"), f"address-{index}", zone, "region")


class FakeStore:
    """Fake store with the faults of the plan; a late write takes effect at the next call."""

    def __init__(self, world):
        self.world, self.entries, self.late, self.down = world, {}, [], False

    def put(self, key, value, if_version):
        fault = self._next()
        if fault == "late":
            self.late.append((key, value))
        elif fault != "down" and key in self.entries:
            raise errors.StoreConflictError(key)
        elif fault != "down":
            self.entries[key] = store.Entry(value, 1)
        if fault:
            raise errors.StoreUnavailableError(fault)

    def get(self, key):
        if self._next():
            raise errors.StoreUnavailableError(key)
        return self.entries.get(key)

    def delete(self, key, if_version):
        del self.entries[key]

    def keys(self, prefix):
        return {key: entry.version for key, entry in self.entries.items() if key.startswith(prefix)}

    def _next(self):
        fault = "down" if self.down else self.world.next_fault("store")
        if fault != "late":
            for key, value in self.late:
                self.entries.setdefault(key, store.Entry(value, 1))
            self.late.clear()
        return fault


class FakeVm:
    """A VM process. It also serves as the dispatcher's caller and owner task."""

    def __init__(self, world, index: int, incarnation: int):
        self.world, self.index, self.tables = world, index, TABLES[0]
        self.vm_list = tuple(_vm(other) for other in range(VM_COUNT))
        self.window = peers.CallWindow()
        identity = dispatch.Identity(_vm(index), models.Incarnation(incarnation))
        clock = dispatch.Clock(lambda: world.now, lambda: world.now - incarnation)
        ids, view = dispatch.CallIds(), lambda: self.vm_list
        self.dispatcher = dispatch.Dispatcher(
            identity, lambda: self.tables, view, self, self, 1, world.send, clock, ids,
            random.Random(index),
        )  # fmt: skip
        key_claims = claims.Claims(world.store, clock.wall, clock.monotonic)
        self.deliverer = delivery.Deliverer(
            identity, self.dispatcher, view, self, 1, key_claims, 1, ids, clock, world.entropy, 6
        )

    def submit(self, key, make_shard, route, customer, deadline):
        refused = self.world.next_fault("owner")
        fut = concurrent.futures.Future()
        grant = pools.Grant(1, SERVERS[0].address, 1)
        fut.set_result(pools.Refusal(1, pools.RefusalReason(refused)) if refused else grant)
        return fut

    def complete(self, key, attempt_id, result, requeue=False):
        """Like the owner task, grants a second attempt to a request that did not run."""
        if not requeue:
            return None
        fut = concurrent.futures.Future()
        again = attempt_id == 1 and not self.world.next_fault("owner")
        grant = pools.Grant(1, SERVERS[0].address, 2)
        fut.set_result(grant if again else pools.Refusal(1, pools.RefusalReason.OVERLOADED))
        return fut

    def call(self, address, msg, timeout_s):
        index = int(address.split(":")[0].removeprefix("address-"))
        request_path, reply_path = (self.index, index), (index, self.index)
        fault = self.world.next_fault("net")
        if fault == "not-sent":
            raise errors.PeerNotSentError(address)
        if fault == "lost" or request_path in self.world.cut:
            raise errors.PeerReplyLostError(address)
        if fault == "slow":
            self.world.now += 5
        raw = messages.encode(msg)
        reply = self.world.nodes[index].receive(raw)
        if fault == "twice":
            self.world.nodes[index].receive(raw)
        if fault == "reply-lost" or reply_path in self.world.cut or reply is None:
            raise errors.PeerReplyLostError(address)
        return messages.decode(messages.encode(reply), LIMIT_BYTES)

    def receive(self, raw):
        msg = messages.decode(raw, LIMIT_BYTES)
        if not self.window.admit(msg.sender, msg.incarnation, msg.call_id):
            return None
        return self.deliverer.handle(msg)


class Operation:
    """An operation of a caller. ``reported_not_run`` is set by a reply that it did not run."""

    def __init__(self, name: bytes, home: int, headers=(), route=ORDER):
        self.name, self.home, self.headers, self.route = name, home, headers, route
        self.reported_not_run = False


KINDS = ["token", "token", "own-key", "own-key", "neither", "lookup"]
EVENTS = ["", "", "restart", "reuse", "30", "400", "700", "1300"]
FAULTS = {
    "net": ["", "not-sent", "lost", "reply-lost", "twice", "slow"],
    "server": ["run-lost", "lost", "refuse", "redeliver", "pause", "restart"],
    "store": ["", "down", "lost", "late"],
    "owner": ["", "overloaded", "deadline"],
}
PLANS = st.lists(
    st.sampled_from([(part, fault) for part, faults in FAULTS.items() for fault in faults]),
    max_size=4,
)
INDEXES = st.integers(0, VM_COUNT - 1)


class Fleet(RuleBasedStateMachine):
    """Two VMs, a store and a server; each step is subject to the faults of its plan."""

    def __init__(self):
        super().__init__()
        self.now, self.plan, self.cut = 1000.0, [], set()
        self.runs: dict[bytes, int] = {}
        self.store = FakeStore(self)
        self.operations: list[Operation] = []
        self._numbers, self._nonces = itertools.count(), itertools.count()
        self.nodes = [FakeVm(self, index, 500) for index in range(VM_COUNT)]
        self.current: tuple[Operation, int] | None = None

    def next_fault(self, part: str) -> str:
        """Removes and returns the plan's next fault for a part of the fleet, or ""."""
        fault = next((fault for fault in self.plan if fault[0] == part), None)
        if fault is None:
            return ""
        self.plan.remove(fault)
        return fault[1]

    def entropy(self, size: int) -> bytes:
        return next(self._nonces).to_bytes(size, "big")

    def send(self, connections, server, req, max_connections):
        fault = self.next_fault("server")
        if fault == "refuse":
            error = errors.ServerRefusedError("refused")
            raise backends.AttemptError(health.AttemptResult.REFUSED, error)
        if fault == "pause":
            self.now += 1_300
        if fault == "restart":
            self.restart(self.current[0].home)
        if fault in ("pause", "redeliver", "restart") and self.current[0].headers:
            self._send(*self.current)
        if fault != "lost":
            self.runs[req.body] = self.runs.get(req.body, 0) + 1
        if fault in ("lost", "run-lost"):
            error = errors.OutcomeUnknownError("broke")
            raise backends.AttemptError(health.AttemptResult.BROKEN, error)
        forged = ((delivery.OPERATION_HEADER, "forged"),)
        return backends.ServerResponse(200, forged, req.body)

    @rule(kind=st.sampled_from(KINDS), home=INDEXES, vm=INDEXES, plan=PLANS)
    def new_operation(self, kind, home, vm, plan):
        name = f"{kind}-{next(self._numbers)}"
        headers: tuple[tuple[str, str], ...] = ()
        if kind == "token":
            batch = msgspec.json.decode(self.nodes[home].deliverer.issue_tokens("1").body)
            headers = ((delivery.OPERATION_FIELD, batch["operations"][0]),)
        elif kind == "own-key":
            headers = ((delivery.IDEMPOTENCY_FIELD, name),)
        route = LOOKUP if kind == "lookup" else ORDER
        self.operations.append(Operation(name.encode(), home, headers, route))
        self.deliver(0, "", vm, plan)

    @rule(age=st.integers(0, 2), event=st.sampled_from(EVENTS), vm=INDEXES, plan=PLANS)
    def deliver(self, age, event, vm, plan):
        """Delivers a recent operation again after an event at its issuer."""
        if age >= len(self.operations):
            return
        operation = self.operations[-1 - age]
        if event == "restart":
            self.restart(operation.home)
        elif event == "reuse":
            other = Operation(b"other-" + operation.name, operation.home, operation.headers)
            operation = other if operation.headers else operation
        elif event:
            self.now += int(event)
        if not operation.headers:  # each delivery is a separate operation
            name = f"{operation.name.decode()}-{next(self._numbers)}"
            operation = Operation(name.encode(), operation.home, (), operation.route)
            self.operations.append(operation)
        self.plan = list(plan)
        self.current = (operation, vm)
        self._send(operation, vm)

    @rule(vm=INDEXES)
    def restart(self, vm):
        self.now += 1
        self.nodes[vm] = FakeVm(self, vm, int(self.now))

    @rule(vm=INDEXES, change=st.sampled_from(["cut", "unlist", "store", *TABLES]))
    def change_view(self, vm, change):
        """Cuts one direction between the VMs, makes the store unavailable, or gives a VM another
        VM list or configuration."""
        node = self.nodes[vm]
        if change == "cut":
            self.cut ^= {(vm, 1 - vm)}
        elif change == "store":
            self.store.down = not self.store.down
        elif change == "unlist":
            node.vm_list = node.vm_list[:1] if len(node.vm_list) > 1 else (_vm(0), _vm(1))
        else:
            node.tables = change

    def _send(self, operation: Operation, vm: int) -> None:
        deadline = self.now + 0.001  # short, because a duplicate waits in real time
        path, headers = operation.route.path_prefix, operation.headers
        req = delivery.Request("", "r", deadline, "POST", path, headers, operation.name)
        reply = self.nodes[vm].deliverer.deliver(operation.route, req)
        if reply.outcome is models.Outcome.NOT_RUN:
            operation.reported_not_run = True
        if reply.status == 200:
            assert reply.body == operation.name
        assert "forged" not in dict(reply.headers).values()

    @invariant()
    def at_most_once(self):
        """Guards against a non-idempotent operation that runs twice."""
        repeated = [name for name, count in self.runs.items() if count > 1]
        assert all(name.startswith(b"lookup") for name in repeated)

    @invariant()
    def not_run_is_true(self):
        """Guards against a not-run reply for an operation that ran, or runs later."""
        for operation in self.operations:
            assert not (operation.reported_not_run and self.runs.get(operation.name))


Fleet.TestCase.settings = settings(max_examples=800, stateful_step_count=25)
TestFleet = Fleet.TestCase


def _ledger(max_entries: int = 10) -> tuple[operations.Issuer, operations.Ledger]:
    issuer = operations.Issuer(models.VmId("vm"), models.Incarnation(1), b"secret")
    return issuer, operations.Ledger(issuer, max_entries)


@given(st.binary(max_size=80), st.integers(0, 200), st.integers(1, 255))
def test_changed_token_is_refused(noise, position, change):
    """Guards against dispatching a forged or damaged token, and against a crash of the parser."""
    issuer, ledger = _ledger()
    text = issuer.issue(5.0, b"n" * operations.NONCE_BYTES)
    damaged = bytearray(text.encode())
    damaged[position % len(damaged)] ^= change
    for other in (damaged.decode("latin-1"), noise.decode("latin-1")):
        decision = ledger.begin(other, b"d", 6.0)
        token_is_same = other == text or decision.action is operations.Action.DISPATCH
        if token_is_same:
            assert operations.parse(other) == operations.parse(text)
        else:
            assert isinstance(decision.error, errors.RequestError)


def test_stored_responses_are_bounded_in_bytes_and_time(monkeypatch):
    """Guards against stored responses that fill the memory, or a wrong reply once dropped."""
    monkeypatch.setattr(operations, "MAX_RESPONSE_BYTES", 100)
    issuer, ledger = _ledger()
    texts = [issuer.issue(0.0, bytes([index])) for index in range(3)]
    for index, text in enumerate(texts):
        assert ledger.begin(text, b"d", 1.0).action is operations.Action.DISPATCH
        ledger.finish(text, operations.State.ANSWERED, 1.0, f"reply-{index}", 60)
    assert ledger.response_bytes == 60
    assert ledger.begin(texts[2], b"d", 2.0).response == "reply-2"
    assert isinstance(ledger.begin(texts[0], b"d", 2.0).error, errors.AlreadyAnsweredError)
    late = ledger.begin(texts[2], b"d", 2.0 + operations.RESPONSE_RETENTION_S)
    assert isinstance(late.error, errors.AlreadyAnsweredError)
    assert ledger.response_bytes == 0


@given(st.lists(st.sampled_from([0.0, 1.0, claims.RETENTION_S]), max_size=5))
def test_only_old_claims_are_collected(waits):
    """Guards against deleting a claim whose key may still be delivered, and against old claims that
    fill the store."""
    fleet = Fleet()
    key_claims = claims.Claims(fleet.store, lambda: fleet.now, lambda: fleet.now)
    made = {}
    for index, seconds in enumerate(waits):
        assert key_claims.resolve(models.NO_CUSTOMER, str(index), "token", 1) == "token"
        made[claims.store_key(models.NO_CUSTOMER, str(index))] = fleet.now
        fleet.now += seconds
    for vm in fleet.nodes[0].vm_list:
        for prefix in claims.own_prefixes(vm.id, fleet.nodes[0].vm_list):
            key_claims.collect(prefix, lambda: None)
    young = {path for path, at in made.items() if at + claims.RETENTION_S > fleet.now}
    assert set(fleet.store.entries) == young


def test_claims_are_bounded_in_rate():
    """Guards against idempotency keys that use up the store's write capacity."""
    fleet = Fleet()
    key_claims = claims.Claims(fleet.store, lambda: fleet.now, lambda: fleet.now)
    for wait, number in itertools.product((0, 10), range(20)):
        fleet.now += wait if number == 0 else 0
        with contextlib.suppress(errors.ClaimError):
            key_claims.resolve(models.NO_CUSTOMER, f"{wait}-{number}", "token", fleet_size=500)
    assert len(fleet.store.entries) == claims.BURST + 10 * claims.FLEET_CLAIMS_PER_S / 500


def test_refusal_of_a_full_ledger_is_final():
    """Guards against running a token later that a full ledger refused."""
    issuer, ledger = _ledger(max_entries=1)
    old, refused = issuer.issue(0.0, b"a"), issuer.issue(1_100.0, b"b")
    ledger.begin(old, b"d", 1.0)
    ledger.finish(old, operations.State.UNKNOWN, 1.0, "reply")
    assert isinstance(ledger.begin(refused, b"d", 1_100.0).error, errors.LedgerFullError)
    assert isinstance(ledger.begin(refused, b"d", 1_250.0).error, errors.LedgerFullError)
    fresh = issuer.issue(1_250.0, b"c")
    assert ledger.begin(fresh, b"d", 1_250.0).action is operations.Action.DISPATCH


@pytest.mark.parametrize("state", [state for state, after in operations.TRANSITIONS.items()])
def test_final_states_do_not_change(state):
    """Guards against an outcome that changes after the reply to a caller."""
    issuer, ledger = _ledger()
    text = issuer.issue(0.0, b"n")
    if state in operations.TRANSITIONS[operations.State.DISPATCHED]:
        ledger.begin(text, b"d", 1.0)
        ledger.finish(text, state, 1.0, "reply")
        for after in operations.State:
            with pytest.raises(errors.TransitionError):
                ledger.finish(text, after, 1.0, "reply")
