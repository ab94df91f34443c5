"""Property test of the floor under arbitrary interleavings of messages, pauses and store faults.

Each simulated VM assumes that it owns the pool's only shard, and may hold the ejection right. All
VMs share one clock; a paused VM handles no events until it resumes.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from dotterelfront import ejection, models

VMS = ("a", "b", "c")
SERVERS = tuple(f"10.0.0.{index}:80" for index in range(4))
VM = st.sampled_from(VMS)
SERVER = st.sampled_from(SERVERS)
UNHEALTHY = st.sampled_from(
    [{}, *[{server: 1.0} for server in SERVERS], {SERVERS[0]: 0.5, SERVERS[1]: 0.9}]
)
FEW_SERVERS = st.sampled_from([(), (), (), (), (), (), *[(server,) for server in SERVERS]])
SETTLE_S = ejection.HOLDER_VALIDITY_S + ejection.OWNER_VALIDITY_S
LIST_LAG_S = 8.0


def _pool(floor, leaving=frozenset()) -> models.Pool:
    state = {True: models.ServerState.LEAVING, False: models.ServerState.ACTIVE}
    servers = tuple(
        models.Server(name, models.ZoneName("z"), slots=4, state=state[name in leaving])
        for name in SERVERS
    )
    return models.Pool(models.PoolName("p"), servers, floor=floor, warmup_s=10.0)


class Process:
    """One incarnation of the proxy process of a VM."""

    def __init__(self, vm: str, incarnation: int, now: float, pool: models.Pool):
        self.vm, self.incarnation, self.pool = vm, incarnation, pool
        self.right = ejection.EjectionRight(vm, incarnation, now)
        self.registry = None
        self.permits = ejection.ShardPermits(now)
        self.shard_owner = ejection.ShardOwner(vm, incarnation, 0)
        self.unhealthy: dict[str, float] = {}
        self.cold: tuple = ()
        self.version = 0
        self.paused = False

    def step(self, now: float) -> None:
        holding_states = (ejection.RightState.HELD, ejection.RightState.UNCONFIRMED)
        self.right.advance(now)
        if self.right.state not in holding_states:
            self.registry = None
        elif self.registry is None:
            self.registry = ejection.PermitRegistry(self.right.record.term)
            self.registry.set_pool(self.pool, now)
        self.permits.set_unhealthy(self.unhealthy, self.cold, now)


class EjectionMachine(RuleBasedStateMachine):
    """Guards against ejections that together reduce a pool's capacity below its floor."""

    @initialize(
        floor=st.sampled_from([8, 12, 12]),
        rounds=st.sampled_from([0, 12, 12]),
        unhealthy=st.tuples(UNHEALTHY, UNHEALTHY, UNHEALTHY),
    )
    def start(self, floor, rounds, unhealthy):
        self.now = 100.0
        self.floor = floor
        self.leaving: dict[str, float] = {}
        self.cold: dict[str, float] = {}
        self.incarnations = dict.fromkeys(VMS, 1)
        self.running = {vm: Process(vm, 1, self.now, _pool(floor)) for vm in VMS}
        self.listed = [(self.now, frozenset(VMS))]
        self.entry: tuple[ejection.RightRecord | None, int] = (None, 0)
        self.store_reachable = dict.fromkeys(VMS, True)
        self.cut_links: set[tuple[str, str]] = set()
        self.in_transit: list = []
        self.late_writes: list = []
        self._set_unhealthy(unhealthy)
        self._settle(rounds)

    def _set_unhealthy(self, unhealthy, except_vm=None):
        for process in self.running.values():
            if process.vm != except_vm:
                process.unhealthy = unhealthy[VMS.index(process.vm)]

    # Time and processes

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds
        self._step_all()

    def _step_all(self) -> None:
        for process in self._not_paused():
            process.step(self.now)

    def _not_paused(self) -> list[Process]:
        return [process for process in self.running.values() if not process.paused]

    @rule(seconds=st.sampled_from([0.1, 1.0, 1.9]))
    def wait(self, seconds):
        self._advance_time(seconds)

    @rule(rounds=st.integers(1, 24))
    def settle(self, rounds):
        """Runs rounds of normal operation, within the limits of the injected faults."""
        self._settle(rounds)

    def _settle(self, rounds):
        for _ in range(rounds):
            self._advance_time(1.0)
            for process in self._not_paused():
                self._send_request(process)
            while self.in_transit:
                self._deliver(0)
            for process in self._not_paused():
                self._read_list(process.vm, self.now)
                self._access_store(process.vm, lost=False)
            self._check_floor()

    @rule(
        vm=VM,
        rounds=st.sampled_from([1, 8, 24]),
        unlisted=st.booleans(),
        unhealthy=st.tuples(UNHEALTHY, UNHEALTHY, UNHEALTHY),
    )
    def pause(self, vm, rounds, unlisted, unhealthy):
        """Pauses a VM; the platform may delist it meanwhile and lists it again when it resumes."""
        process = self.running.get(vm)
        if process and not process.paused:
            process.paused = True
            self._set_unhealthy(unhealthy, except_vm=vm)
            if unlisted:
                self._set_listed(vm, False)
            self._settle(rounds)
            self._set_listed(vm, True)
            process.paused = False
            process.step(self.now)

    @rule(vm=VM)
    def kill(self, vm):
        if vm in self.running and len(self.running) > 2:
            del self.running[vm]
            self._set_listed(vm, False)

    @rule(vm=VM, unhealthy=UNHEALTHY)
    def restart(self, vm, unhealthy):
        """Starts a new process on the same VM, which remains on the list."""
        if vm in self.running:
            self.incarnations[vm] += 1
            pool = _pool(self.floor, self.leaving)
            self.running[vm] = Process(vm, self.incarnations[vm], self.now, pool)
            self.running[vm].unhealthy, self.running[vm].cold = unhealthy, tuple(self.cold)

    @rule(vm=VM)
    def shut_down(self, vm):
        process = self.running.get(vm)
        if process and len(self.running) > 2:
            process.permits.release_all(self.now)
            record = process.right.release(self.now)
            if record and self.store_reachable[vm] and process.version == self.entry[1]:
                self.entry = (record, self.entry[1] + 1)
            del self.running[vm]
            self._set_listed(vm, False)

    def _set_listed(self, vm, listed):
        current = self.listed[-1][1]
        self.listed.append((self.now, current | {vm} if listed else current - {vm}))

    # Evidence and capacity

    @rule(vm=VM, unhealthy=UNHEALTHY)
    def change_health(self, vm, unhealthy):
        if vm in self.running:
            self.running[vm].unhealthy = unhealthy
            self._step_all()

    @rule(servers=FEW_SERVERS)
    def set_leaving(self, servers):
        self.leaving = {server: self.leaving.get(server, self.now) for server in servers}
        for process in self.running.values():
            process.pool = _pool(self.floor, self.leaving)
            if process.registry:
                process.registry.set_pool(process.pool, self.now)

    @rule(servers=FEW_SERVERS)
    def set_cold(self, servers):
        self.cold = {server: self.cold.get(server, self.now) for server in servers}
        for process in self.running.values():
            process.cold = tuple(self.cold)

    # Store and list

    @rule(vms=st.sets(VM), unhealthy=st.tuples(UNHEALTHY, UNHEALTHY, UNHEALTHY))
    def cut_store(self, vms, unhealthy):
        self.store_reachable = {vm: vm not in vms for vm in VMS}
        self._set_unhealthy(unhealthy)

    @rule(vm=VM, lost=st.booleans(), late=st.booleans())
    def access_store(self, vm, lost, late):
        self._access_store(vm, lost, late)

    def _access_store(self, vm, lost, late=False):
        process = self.running.get(vm)
        if process is None or process.paused or not self.store_reachable[vm]:
            return
        self._read(process)
        record = process.right.proposal(self.now)
        if record is None:
            return
        if late:
            self.late_writes.append((record, process.version))
        elif process.version == self.entry[1]:
            self.entry = (record, self.entry[1] + 1)
        if not lost:
            self._read(process)

    def _read(self, process):
        process.right.on_read(self.entry[0], self.now, self.now)
        process.version = self.entry[1]
        process.step(self.now)

    @precondition(lambda self: self.late_writes)
    @rule()
    def late_write_takes_effect(self):
        record, version = self.late_writes.pop(0)
        if version == self.entry[1]:
            self.entry = (record, version + 1)

    @rule(vm=VM, lag=st.sampled_from([0.0, 2.0, LIST_LAG_S]))
    def read_list(self, vm, lag):
        self._read_list(vm, self.now - lag)

    def _read_list(self, vm, when):
        process = self.running.get(vm)
        if process and not process.paused:
            visible = [listed for since, listed in self.listed if since <= when]
            listed = visible[-1] if visible else frozenset(VMS)
            process.right.on_list(listed, self.incarnations.get, self.now)

    # Messages

    @rule(
        vm=VM,
        other=VM,
        rounds=st.sampled_from([0, 12]),
        unhealthy=st.tuples(UNHEALTHY, UNHEALTHY, UNHEALTHY),
    )
    def cut_one_way(self, vm, other, rounds, unhealthy):
        """Drops all messages from one VM to another, or to all others."""
        self.cut_links |= {(vm, name) for name in VMS if name != vm and other in (vm, name)}
        self._set_unhealthy(unhealthy, except_vm=vm)
        self._settle(rounds)

    @rule()
    def heal(self):
        self.cut_links.clear()

    @rule(vm=VM)
    def send_request(self, vm):
        if vm in self.running and not self.running[vm].paused:
            self._send_request(self.running[vm])

    def _send_request(self, process):
        if process.right.record is None:
            return
        message = process.permits.next_request(self.now)
        if message:
            holder = process.right.record.holder
            self._send(process.vm, holder, (process.shard_owner, message, process.right.record))

    def _send(self, sender, receiver, content):
        if (sender, receiver) not in self.cut_links:
            self.in_transit.append((sender, receiver, content))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), repeat=st.booleans())
    def deliver(self, data, repeat):
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        if repeat:
            self.in_transit.append(self.in_transit[index])
        self._deliver(index)

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data())
    def lose(self, data):
        self.in_transit.pop(data.draw(st.integers(0, len(self.in_transit) - 1)))

    def _deliver(self, index):
        sender, receiver, content = self.in_transit.pop(index)
        process = self.running.get(receiver)
        if process is None:
            return
        if process.paused:
            return
        process.step(self.now)
        if isinstance(content, ejection.ShardPermitAnswer):
            process.permits.on_answer(content, self.now)
            return
        shard_owner, message, record = content
        process.right.on_peer_record(record, self.now)
        process.right.on_peer_message(shard_owner.vm, shard_owner.incarnation)
        process.step(self.now)
        if process.registry:
            may_grant = process.right.may_grant(self.now)
            answer, newly_ejected = process.registry.answer(
                shard_owner, message, may_grant, self.now
            )
            if newly_ejected:
                self._check_grant(process, newly_ejected)
            if answer and (shard_owner.vm, shard_owner.incarnation) == self._identity(sender):
                self._send(receiver, sender, answer)

    def _identity(self, vm):
        process = self.running.get(vm)
        return process and (process.vm, process.incarnation)

    # The invariant

    def _ejected(self) -> set:
        return {server for p in self._not_paused() for server in p.permits.valid_permits(self.now)}

    def _slots(self, unavailable) -> int:
        return 4 * len(set(SERVERS) - unavailable)

    def _check_grant(self, process, newly_ejected):
        """Checks the floor at a grant; the holder knows all leaving servers at that time."""
        unavailable = self._ejected() | newly_ejected | set(self.leaving)
        assert self._slots(unavailable) >= self.floor

    @invariant()
    def floor_is_kept(self):
        self._check_floor()

    def _check_floor(self):
        """Checks the floor; a server counts as leaving or cold only after ``SETTLE_S``.

        The holder may not know more recent changes yet.
        """
        ejected = self._ejected()
        known = {
            server
            for changes in (self.leaving, self.cold)
            for server, since in changes.items()
            if self.now - since > SETTLE_S
        }
        if changed := ejected - known:
            assert self._slots(ejected | known) >= self.floor, changed


EjectionMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestFloor = EjectionMachine.TestCase


def test_floor_holds_when_the_drain_of_an_ejected_server_is_undone():
    """Guards against an ejection that starts to reduce the capacity when a drain ends.

    A leaving server may be ejected without counting against the floor. When its drain is undone
    while another server is cold, its permit must not be valid any more.
    """
    machine = EjectionMachine()
    machine.start(floor=12, rounds=0, unhealthy=({}, {}, {}))
    machine.change_health("a", {SERVERS[0]: 1.0})
    machine.set_leaving((SERVERS[0],))
    machine.settle(9)
    machine.set_cold((SERVERS[1],))
    machine.settle(15)
    machine.floor_is_kept()
    machine.set_leaving(())
    machine.floor_is_kept()
