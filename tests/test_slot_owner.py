"""Slot owner: no overbooked server, one final reply per request, retries within the budget."""

import random

from hypothesis import given, settings, stateful
from hypothesis import strategies as st

from dotterelfront import fleet_messages, fleetmodel, health, models, pools, slot_owner

POOL, ZONE = models.PoolName("orders"), models.ZoneName("a")
SLOTS = 2
RESULT = health.AttemptResult


def servers(*names, state=models.ServerState.ACTIVE):
    return tuple(
        fleetmodel.Instance(models.ServerId(name), f"{name}:80", POOL, ZONE, SLOTS, state, 1)
        for name in names
    )


def make_request(call_id, sender="vm-1", **changes):
    fields = {
        "sender": sender,
        "reply_to": sender,
        "call_id": call_id,
        "pool": POOL,
        "zone": ZONE,
        "route": "r",
        "priority": models.Priority.NORMAL,
        "idempotent": True,
        "remaining_s": 5.0,
        "wait": True,
        "is_retry": False,
    }
    return fleet_messages.SlotRequest(**fields | changes)


class Owner:
    """A slot owner that records its replies."""

    def __init__(self, names=("i-1", "i-2"), ratio=0.2, burst=2.0, **options):
        self.replies = []
        limits = slot_owner.RetryLimits(ratio, burst)
        self.core = slot_owner.SlotOwner(
            limits, lambda address, message: self.replies.append((address, message)), **options
        )
        self.core.set_servers(POOL, {ZONE: servers(*names)}, 0.0)

    def ask(self, call_id, now=100.0, **changes):
        """Sends a request and returns the last reply to it."""
        self.core.request(make_request(call_id, **changes), now)
        return self.last(call_id)

    def last(self, call_id):
        messages = [message for _, message in self.replies if message.call_id == call_id]
        return messages[-1] if messages else None

    def end(self, call_id, result=RESULT.ANSWERED, now=100.0, sender="vm-1"):
        self.core.release(fleet_messages.SlotRelease(sender, call_id, result), now)


def granted(message):
    return isinstance(message, fleet_messages.SlotGrant)


def refused(message):
    return isinstance(message, fleet_messages.SlotRefusal)


def test_requests_after_a_failure_go_to_other_servers():
    """Guards against preferring a gray server that looks idle because it fails immediately."""
    owner = Owner()
    first = owner.ask(1).server
    owner.end(1, RESULT.SERVER_ERROR)
    others = {owner.ask(number).server for number in (2, 3)}
    assert first not in others


def test_a_timeout_does_not_make_a_server_suspect():
    """Guards against routes with short timeouts that make healthy servers suspect."""
    owner = Owner(names=["i-1"])
    owner.ask(1)
    owner.end(1, RESULT.TIMEOUT)
    assert granted(owner.ask(2, wait=False))


def test_a_hanging_server_is_suspected_before_any_deadline():
    """Guards against filling all slots of a hanging server until the requests time out."""
    owner = Owner(names=["i-1", "i-2"])
    for number in range(30):
        owner.ask(number, now=100.0 + number)
        owner.end(number, now=100.1 + number)
    granted_servers = [owner.ask(number, now=150.0).server for number in (50, 51, 52, 53)]
    for number, server in zip((50, 51, 52, 53), granted_servers, strict=True):
        if server == "i-2":
            owner.end(number, now=150.1)
    owner.core.tick(151.0)
    owner.core.tick(151.05)
    assert {owner.ask(number, now=151.05).server for number in (60, 61)} == {"i-2"}


def test_a_request_that_does_not_wait_gets_no_suspected_server():
    """Guards against granting a suspected server while a good one in another zone is free."""
    owner = Owner(names=["i-1"])
    owner.ask(1)
    owner.end(1, RESULT.SERVER_ERROR)
    reply = owner.ask(2, wait=False)
    assert refused(reply)
    assert reply.reason is pools.RefusalReason.NO_FREE_SLOT
    assert granted(owner.ask(3))


def test_connection_failures_of_one_vm_do_not_make_a_server_suspect():
    """Guards against a partitioned VM that makes healthy servers suspect for the whole fleet."""
    owner = Owner(names=["i-1"])
    for number in range(5):
        owner.ask(number)
        owner.end(number, RESULT.CONNECT_FAILED)
    assert granted(owner.ask(9, wait=False))
    owner.end(9, RESULT.CONNECT_FAILED)
    owner.ask(10, sender="vm-2")
    owner.end(10, RESULT.CONNECT_FAILED, sender="vm-2")
    assert refused(owner.ask(11, wait=False))


def count_retries(owner, numbers, now):
    """Sends retries that end at once, and returns how many were granted."""
    grants = 0
    for number in numbers:
        if granted(owner.ask(number, now, is_retry=True)):
            grants += 1
            owner.end(number, now=now)
    return grants


def test_retries_are_limited_by_requests_and_time():
    """Guards against retries that multiply the load on a failing service."""
    owner = Owner(burst=2.0, ratio=0.5)
    for number in range(4):
        owner.ask(number)
        owner.end(number)
    assert count_retries(owner, range(100, 120), 100.0) == 2
    assert count_retries(owner, range(200, 220), 110.0) == 2


def test_state_of_removed_servers_is_dropped():
    """Guards against state that grows with each restart of a server."""
    owner = Owner(names=["i-1"])
    owner.ask(1)
    owner.end(1, RESULT.CONNECT_FAILED)
    owner.core.set_servers(POOL, {ZONE: servers("i-2")}, 101.0)
    assert not owner.core._connect_failures


def test_queued_retries_are_charged_when_they_are_queued():
    """Guards against a queue of retries that were all admitted with one token of the budget."""
    owner = Owner(names=["i-1"], burst=2.0, ratio=0.0)
    owner.ask(1, 90.0)
    for number in range(SLOTS):
        owner.ask(number, 100.0, remaining_s=60.0)
    waiting = [
        owner.ask(number, 100.0, remaining_s=60.0, is_retry=True) for number in range(10, 20)
    ]
    assert sum(isinstance(reply, fleet_messages.SlotWaiting) for reply in waiting) == 2
    owner.end(10, RESULT.CANCELLED)
    assert not refused(owner.ask(30, 100.0, remaining_s=60.0, is_retry=True))


def test_a_new_owner_starts_with_an_empty_retry_budget():
    """Guards against a retry budget that each change of the owner fills again."""
    assert count_retries(Owner(burst=5.0), range(20), 100.0) == 0


@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.booleans()), max_size=150))
def test_retries_stay_within_the_limit_of_any_window(steps):
    """Guards against a service that gets more retries in a window than its configured limit."""
    owner, now, requests, retries = Owner(burst=3.0, ratio=0.2), 100.0, [], []
    for number, (pause_s, is_retry) in enumerate(steps):
        now += pause_s
        if granted(owner.ask(number, now, is_retry=is_retry)):
            (retries if is_retry else requests).append(now)
            owner.end(number, now=now)
    for start in retries:
        retries_in_window = sum(start <= at <= start + 10.0 for at in retries)
        nearby_requests = sum(start - 10.0 <= at <= start + 10.0 for at in requests)
        assert retries_in_window <= 2 * 3.0 + 0.2 * nearby_requests


def test_a_duplicate_request_message_takes_no_second_slot():
    """Guards against slots that leak when a VM sends a request again as a keepalive."""
    owner = Owner(names=["i-1"])
    assert owner.ask(1).server == owner.ask(1).server
    assert granted(owner.ask(2))


def test_a_reused_call_id_does_not_inherit_the_earlier_slot():
    """Guards against a restarted VM whose request is granted a server of another pool."""
    owner = Owner()
    owner.core.set_servers("refunds", {ZONE: servers("i-9")}, 0.0)
    assert owner.ask(1).server != "i-9"
    assert owner.ask(1, pool="refunds").server == "i-9"
    assert owner.core.snapshots(100.0)[0].in_flight == 0


def test_a_slot_that_is_never_released_is_reclaimed():
    """Guards against slots that leak when the VM that held them ends."""
    owner = Owner(names=["i-1"])
    for number in range(SLOTS):
        owner.ask(number, remaining_s=1.0)
    assert not granted(owner.ask(9, remaining_s=50.0))
    owner.core.tick(102.5)
    assert granted(owner.last(9)) or not owner.core.busy


def test_a_queued_request_whose_vm_is_silent_is_dropped():
    """Guards against slots granted to VMs that have ended."""
    owner = Owner(names=["i-1"])
    for number in range(SLOTS):
        owner.ask(number, remaining_s=60.0)
    owner.ask(9, remaining_s=60.0)
    owner.core.tick(100.0 + slot_owner.KEEPALIVE_TIMEOUT_S + 0.1)
    owner.end(0, now=103.0)
    assert not granted(owner.last(9))


def test_a_vm_that_is_not_the_first_owner_grants_only_a_share_of_the_slots():
    """Guards against granting the slots of a server twice while two VMs act as its owner."""
    owner = Owner(names=["i-1", "i-2"], is_first=lambda key: False)
    grants = [granted(owner.ask(number)) for number in range(4)]
    assert grants.count(True) == 2


class Grants(stateful.RuleBasedStateMachine):
    """Any order of requests, releases, keepalives, ticks and changes of the servers."""

    def __init__(self):
        super().__init__()
        self.now, self.calls, self.rng = 100.0, {}, random.Random(1)
        self.owner = Owner(burst=5.0)
        self.names = ["i-1", "i-2"]
        self.excluded = {}

    @stateful.rule(
        wait=st.booleans(),
        is_retry=st.booleans(),
        remaining_s=st.floats(0.1, 3.0),
        excluded=st.sets(st.sampled_from(["i-1", "i-2"])),
    )
    def request(self, wait, is_retry, remaining_s, excluded):
        call_id = len(self.calls) + 1
        self.calls[call_id] = self.now + remaining_s
        self.excluded[call_id] = excluded
        self.owner.ask(
            call_id,
            self.now,
            wait=wait,
            is_retry=is_retry,
            remaining_s=remaining_s,
            excluded=tuple(excluded),
        )

    @stateful.rule(name=st.sampled_from(["i-1", "i-2"]))
    def leave(self, name):
        self.owner.core.mark_leaving(name, 0, self.now)

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(data=st.data(), result=st.sampled_from(list(RESULT)))
    def release(self, data, result):
        call_id = data.draw(st.sampled_from(sorted(self.calls)))
        self.owner.end(call_id, result, self.now)

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(data=st.data())
    def send_keepalive(self, data):
        call_id = data.draw(st.sampled_from(sorted(self.calls)))
        if self.owner.core.busy and not refused(self.owner.last(call_id)):
            self.owner.ask(call_id, self.now)

    @stateful.rule(step_s=st.floats(0.01, 1.0))
    def tick(self, step_s):
        self.now += step_s
        self.owner.core.tick(self.now)

    @stateful.rule(names=st.sets(st.sampled_from(["i-1", "i-2", "i-3"])))
    def change_servers(self, names):
        self.owner.core.set_servers(POOL, {ZONE: servers(*sorted(names))}, self.now)

    @stateful.invariant()
    def no_server_is_overbooked(self):
        for snapshot in self.owner.core.snapshots(self.now):
            for server in snapshot.servers:
                assert server.in_flight <= SLOTS

    @stateful.invariant()
    def no_excluded_server_is_granted(self):
        for _, reply in self.owner.replies:
            if granted(reply):
                assert reply.server not in self.excluded[reply.call_id]

    @stateful.invariant()
    def no_call_outlives_its_deadline(self):
        if not self.calls or self.now > max(self.calls.values()) + slot_owner.GRANT_SLACK_S + 1.1:
            self.owner.core.tick(self.now)
            assert not self.owner.core.busy


TestGrants = Grants.TestCase
TestGrants.settings = settings(max_examples=60, stateful_step_count=30)


def test_changed_limits_apply_to_existing_shards():
    """Guards against changed settings that take effect only after a restart."""
    owner = Owner(burst=1.0, ratio=0.0)
    owner.ask(1, 90.0)
    owner.core.set_limits(slot_owner.RetryLimits(0.0, 5.0))
    assert count_retries(owner, range(10, 30), 130.0) == 5
