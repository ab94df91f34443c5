"""The configuration follower on a few VMs, without threads, with a fake network and store."""

import concurrent.futures
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelfront import config_follower, errors, messages, models, publish, revisions, store
from tests import fakes

VMS = 4


class InlineCalls:
    """Executor that runs a call inside ``submit``."""

    def submit(self, call, *args):
        fut = concurrent.futures.Future()
        fut.set_result(call(*args))
        return fut


class Network:
    """Followers that call each other's handlers, with a simulated clock and cut connections."""

    def __init__(self, watchers=(0,)):
        self.now = 0.0
        self.client = fakes.FakeStore()
        self.watchers = set(watchers)
        self.cut: set[frozenset] = set()
        self.vms = [models.Vm(f"vm-{i}", f"10.0.0.{i}", "a", "r") for i in range(VMS)]
        self.handlers = {vm.id: {} for vm in self.vms}
        self.tasks = [self.start(i) for i in range(VMS)]

    def start(self, index: int) -> config_follower.ConfigFollower:
        me = self.vms[index]

        class Channel:
            register = staticmethod(self.handlers[me.id].__setitem__)
            call = staticmethod(lambda vm, msg, timeout_s: self.call(me, vm, msg))

        neighbours = tuple(vm for vm in self.vms if vm != me)
        topology = {"neighbours": lambda: neighbours, "is_watcher": lambda: index in self.watchers}
        sources = {"rng": random.Random(index), "now": lambda: self.now}
        task = config_follower.ConfigFollower(
            me, self.client, Channel, on_change=lambda tables: None, **topology, **sources
        )
        task._calls = InlineCalls()
        task.register()
        return task

    def call(self, sender: models.Vm, vm: models.Vm, msg):
        if frozenset((sender.id, vm.id)) in self.cut:
            raise errors.PeerReplyLostError("cut")
        return _sent(self.handlers[vm.id][type(msg)](_sent(msg)))

    def read(self, index: int) -> None:
        """Does what a watcher's thread does when its watch returns a new root."""
        entry = self.client.entries.get(publish.ROOT_KEY)
        if not self.client.down and entry:
            self.tasks[index]._poll.record_store_contact(self.now)
            self.tasks[index].handle(entry)

    def turn(self, index: int, round_number: int) -> None:
        task = self.tasks[index]
        if task.tables is None:
            task.join()
        task.run_round(round_number)
        self.deliver(index)

    def deliver(self, index: int) -> None:
        while not self.tasks[index]._mailbox.empty():
            self.tasks[index].handle(self.tasks[index]._mailbox.get())

    def settle(self, rounds: int = VMS * 2) -> None:
        for round_number in range(rounds):
            self.now += config_follower.EXCHANGE_INTERVAL_S
            for index in range(VMS):
                if index in self.watchers:
                    self.read(index)
                self.turn(index, round_number)

    def publish(self, rate: float) -> int:
        """Publishes an edit through the VM with the newest revision; returns the new revision."""
        replica = self.tasks[self.revisions().index(max(self.revisions()))]._replica
        fleet = publish.FleetConfiguration(
            replica.root, lambda names: {n: replica.chunk(n) for n in names}
        )
        edit = lambda root, now: fakes.with_rate(now, "a", rate)  # noqa: E731
        return publish.apply_edit(self.client, fleet, edit, publish.ForkBase.STORE).root.revision

    def revisions(self) -> list[int]:
        return [task.tables.revision if task.tables else 0 for task in self.tasks]


def _converged() -> Network:
    """Returns a network on which revision 1 is in force on every VM."""
    net = Network()
    net.publish(1)
    net.settle()
    return net


def _sent(msg: messages.Message) -> messages.Message:
    return messages.decode(messages.encode(msg), messages.CONTROL_LIMIT_BYTES)


def test_one_watcher_spreads_a_revision_to_every_vm():
    """Guards against VMs that need the store to receive a change, or that do not announce it to
    their neighbours."""
    net = _converged()
    assert net.revisions() == [1] * VMS
    net.publish(2)
    net.read(0)
    assert net.tasks[0].tables.revision == 2
    for index in range(1, VMS):
        net.deliver(index)
    assert net.revisions() == [2] * VMS
    assert net.client.watch_calls == 0


def test_vm_that_starts_in_a_store_outage_adopts_its_neighbours_newest_revision():
    """Guards against a VM that starts without a configuration, or with an older one than a
    neighbour has, while the store is down."""
    net = _converged()
    net.publish(2)
    net.read(0)
    net.client.down = True
    net.tasks[3] = net.start(3)
    net.tasks[3].join()
    assert net.revisions() == [2, 1, 1, 2]


def test_vms_poll_the_store_when_no_watcher_reaches_it():
    """Guards against a fleet without watchers that stays on an old revision, and against VMs that
    all poll the store at once."""
    net = _converged()
    net.watchers.clear()
    net.publish(2)
    net.settle(5)
    assert (net.revisions(), net.client.watch_calls) == ([1] * VMS, 0)
    net.settle(12)
    assert net.revisions() == [2] * VMS
    assert 0 < net.client.watch_calls <= VMS
    net.client.down, net.client.watch_calls = True, 0
    net.settle(20)
    assert VMS < net.client.watch_calls < 4 * VMS


def test_restored_store_raises_one_alarm_and_changes_nothing():
    """Guards against VMs that return to an older revision when the store is restored from a backup,
    a restore that raises no alarm, and an alarm that is logged on every read."""
    net = Network()
    net.publish(1)
    old_entries = dict(net.client.entries)
    net.publish(2)
    net.settle()
    net.client.entries = old_entries
    log_lines = []
    sink = config_follower.logger.add(log_lines.append, level="INFO")
    net.settle(3)
    assert net.revisions() == [2] * VMS
    assert net.tasks[0].alarms.counts["STORE_OLDER"] == 3
    assert len(log_lines) == 1
    assert net.publish(3) == 3
    net.settle()
    config_follower.logger.remove(sink)
    assert net.revisions() == [3] * VMS
    assert sum("alarm cleared" in line for line in log_lines) == 1


def test_root_read_before_an_adoption_raises_no_alarm():
    """Guards against a false alarm when a VM adopts a revision from a neighbour before it handles
    an older root that its own watch has read."""
    net = Network(watchers=(0, 1))
    net.publish(1)
    stale_entry = net.client.entries[publish.ROOT_KEY]
    net.publish(2)
    net.settle()
    net.tasks[1].handle(stale_entry)
    assert not net.tasks[1].alarms.counts


def test_equal_revision_with_another_digest_raises_an_alarm():
    """Guards against two different configurations with the same revision that go unnoticed."""
    net = _converged()
    before = net.tasks[0].tables
    other = revisions.make_root(1, revisions.split(fakes.make_tables(b=7)))
    net.tasks[0].handle(store.Entry(revisions.encode_root(other), 9))
    net.tasks[0].handle(messages.ConfigNotice("vm-1", "10.0.0.1", 1, other.digest, 0.0))
    assert net.tasks[0].tables is before
    assert net.tasks[0].alarms.counts["SAME_REVISION"] == 2


def test_failed_read_of_chunks_is_retried():
    """Guards against a watcher that skips a revision because the store fails after it has returned
    the root and before it returns the chunks."""
    net = Network()
    net.publish(1)
    entry = net.client.entries[publish.ROOT_KEY]
    net.client.down = True
    net.tasks[0].handle(entry)
    assert net.revisions()[0] == 0
    net.client.down = False
    net.tasks[0].run_round(1)
    assert net.revisions()[0] == 1


def test_chunks_are_pulled_in_several_calls():
    """Guards against replies over the message limit, and against a pull that never ends when the
    peer lacks a chunk."""
    raws = [bytes([i]) * 400_000 for i in range(5)]
    names = [revisions.chunk_id(raw) for raw in raws]
    stored = dict(zip(names[:4], raws[:4], strict=True))
    calls = []
    task = Network().tasks[0]
    task._replica._raw = stored

    def call(msg):
        calls.append(msg)
        reply = task._on_chunk_pull(msg)
        assert len(messages.encode(reply)) <= messages.CONTROL_LIMIT_BYTES
        return reply

    assert config_follower.pull_chunks(call, names) == stored
    assert len(calls) == 3


EVENTS = st.one_of(
    st.tuples(st.sampled_from(["read", "turn", "turn", "restart"]), st.integers(0, VMS - 1)),
    st.tuples(st.just("cut"), st.integers(0, VMS - 1), st.integers(0, VMS - 1)),
    st.tuples(st.sampled_from(["publish", "down", "up", "heal", "snapshot", "restore"])),
)


@settings(max_examples=60)
@given(st.lists(EVENTS, min_size=10, max_size=40))
def test_fleet_converges_after_any_faults(events):
    """Guards against a VM that does not adopt the newest revision after all faults have ended, and
    against one that returns to an older revision."""
    net, snapshot = Network(), {}
    for step, (name, *args) in enumerate(events):
        before = net.revisions()
        net.now += 0.5
        if name == "turn":
            net.turn(args[0], step)
        elif name == "read":
            net.read(args[0])
        elif name == "restart":
            net.tasks[args[0]] = net.start(args[0])
            before[args[0]] = 0
        elif name == "cut":
            net.cut.add(frozenset(f"vm-{i}" for i in args))
        elif name == "heal":
            net.cut.clear()
        elif name == "publish" and not net.client.down:
            net.publish(step)
        elif name == "snapshot":
            snapshot = dict(net.client.entries)
        elif name == "restore":
            net.client.entries = dict(snapshot)
        elif name in ("down", "up"):
            net.client.down = name == "down"
        assert all(new >= old for old, new in zip(before, net.revisions(), strict=True))
    net.client.down = False
    net.cut = {frozenset((a.id, b.id)) for a in net.vms for b in net.vms}
    newest = net.publish(1_000)
    net.read(0)  # Its notices are lost: all connections are cut.
    net.cut.clear()
    net.settle()
    assert net.revisions() == [newest] * VMS
    assert len({task._replica.root.digest for task in net.tasks}) == 1
