"""Tests the choice of owners and shards, and the retry budget."""

import concurrent.futures
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import dispatch, errors, messages, models, placement, pools, retries

VMS = [
    models.Vm(models.VmId(f"vm-{index}"), f"address-{index}", models.ZoneName("z"), "r")
    for index in range(8)
]
SERVERS = tuple(
    models.Server(models.ServerId(f"s:{index}"), models.ZoneName("z"), 6) for index in range(17)
)
POOL = models.Pool(models.PoolName("p"), SERVERS, 1)
ROUTE = models.Route(models.RouteName("order"), "/order", POOL.name, idempotent=True)
TABLES = models.Tables(models.Revision(1), (ROUTE,), (POOL,))
VIEWS = st.lists(
    st.sampled_from([*VMS, *(models.Vm(vm.id, "moved", vm.zone, "r") for vm in VMS)]),
    unique_by=lambda vm: vm.id,
)


@given(st.lists(st.tuples(VIEWS, st.lists(st.integers(0, 3), max_size=3)), max_size=8))
def test_owner_index_uses_the_current_list(steps):
    """Guards against an owner cached from an older list: two VMs would serve the same shard."""
    index = dispatch.OwnerIndex()
    for vms, shards in steps:
        view = tuple(vms)
        for shard in shards:
            expected = placement.owner_order(POOL.name, shard, view)[: dispatch.OWNERS_TRIED]
            assert list(index.owners(POOL.name, shard, view)) == expected


class FakePeers:
    """Fake caller whose peers all return ``reply``, and fake owner task that records divisors."""

    def __init__(self, reply=None):
        self.reply, self.peer_calls, self.slot_divisors = reply, [], []

    def call(self, address, msg, timeout_s):
        self.peer_calls.append((address, msg.shard))
        if isinstance(self.reply, Exception):
            raise self.reply
        return messages.Forwarded(
            self.reply.outcome, self.reply.status, code=self.reply.code, call_id=msg.call_id
        )

    def submit(self, key, make_shard, route, customer, deadline):
        self.slot_divisors.append(make_shard(0.0).snapshot(0.0).slot_divisor)
        assert not route.idempotent, "the request is non-idempotent by the sender's tables"
        fut = concurrent.futures.Future()
        fut.set_result(pools.Refusal(1, pools.RefusalReason.DEADLINE))
        return fut


def _dispatcher(fake: FakePeers, vm: models.Vm) -> dispatch.Dispatcher:
    identity = dispatch.Identity(vm, models.Incarnation(1))
    clock = dispatch.Clock(lambda: 100.0, lambda: 100.0)
    return dispatch.Dispatcher(
        identity, lambda: TABLES, lambda: VIEW, fake, fake, 1, clock=clock, rng=random.Random(1)
    )


VIEW = tuple(VMS[:6])
OUTSIDE = VMS[7]


def _forward(fake: FakePeers, idempotent: bool = False) -> messages.Forwarded:
    route = models.Route(ROUTE.name, "/order", POOL.name, idempotent=idempotent)
    return _dispatcher(fake, OUTSIDE).forward(route, "", "r", 105.0, "POST", "/order", (), b"")


@pytest.mark.parametrize(
    ("reply", "idempotent", "calls", "shards"),
    [
        (errors.PeerNotSentError(), False, 2, 1),
        (errors.PeerReplyLostError(), False, 1, 1),
        (errors.PeerReplyLostError(), True, 2, 1),
        (dispatch.error_reply(errors.WrongOwnerError()), False, 2, 1),
        (dispatch.error_reply(errors.ServerRefusedError()), False, 2, 1),
        (dispatch.error_reply(errors.OverloadedError()), False, 2, 2),
        (dispatch.error_reply(errors.DeadlineExceededError()), False, 1, 1),
        (dispatch.error_reply(errors.OutcomeUnknownError()), False, 1, 1),
    ],
)
def test_only_safe_replies_are_retried(reply, idempotent, calls, shards):
    """Guards against a retry of a request that may have run, and against a missing retry of one
    that was not sent."""
    fake = FakePeers(reply)
    _forward(fake, idempotent)
    assert len(fake.peer_calls) == calls
    assert len({shard for _, shard in fake.peer_calls}) == shards


def test_only_the_first_owner_uses_all_slots():
    """Guards against two concurrent owners that each use all slots of a server."""
    first, second = placement.owner_order(POOL.name, 0, VIEW)[:2]
    divisors = []
    for vm in (first, second, OUTSIDE):
        fake = FakePeers()
        msg = messages.Forward(
            "vm", 1, 1, "r", 1, ROUTE.name, "", 105.0, "POST", "/", (), b"", POOL.name, 0, False
        )
        _dispatcher(fake, vm).serve(msg)
        divisors += fake.slot_divisors
    assert divisors == [1, 3, 3]


@given(st.lists(st.booleans()))
def test_retries_stay_within_the_budget(steps):
    """Guards against retries that multiply the load of a failing pool."""
    budget, requests, acquired = retries.RetryBudget(), 0, 0
    for is_request in steps:
        if is_request:
            requests += 1
            budget.on_request()
        else:
            acquired += budget.try_acquire()
    assert acquired <= retries.BURST + retries.RATIO * requests + 1e-9
