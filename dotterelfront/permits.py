"""Messages and store access of the ejection rights and permits.

The state machines of ``ejection`` run on the owner task; worker threads call the store and other
VMs and post what they learn back to it::

    permits = Permits(vm, incarnation, client, channel, owner_task.post, tables, vms, heard)
    owner_task.set_after_tick(permits.on_tick)
    permits.on_list(vms)            # after each successful read of the platform's list
    permits.release()               # at shutdown
"""

import concurrent.futures
import contextlib
import socket
from collections.abc import Callable

import msgspec
from loguru import logger

from dotterelfront import control, ejection, errors, messages, models, placement, store

WORKERS = 4
CALL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.25
STEP_TIMEOUT_S = 0.4
"""A control worker waits this long for the owner task."""
RELEASE_TIMEOUT_S = 3.0
SEARCH_S = 1.0
"""Time between reads of the record by a VM that owns shard 0 or that looks for the holder."""


def record_key(pool: models.PoolName) -> str:
    """Key of a pool's record in the store."""
    return f"ejection/{pool}"


class _Pool:
    """State of one pool on this VM; only the owner task uses it."""

    def __init__(self, vm: models.VmId, incarnation: models.Incarnation, now: float):
        self.right = ejection.Right(vm, incarnation, now)
        self.book: ejection.PermitBook | None = None
        self.shards: dict[int, ejection.OwnerPermits] = {}
        self.version = 0
        self.reading = False
        self.next_read = now

    def update_book(self, pool: models.Pool, now: float) -> None:
        """Keeps a book while this VM has the right; its term never changes."""
        states = (ejection.RightState.HELD, ejection.RightState.UNCONFIRMED)
        if self.right.state not in states:
            self.book = None
            return
        if self.book is None:
            self.book = ejection.PermitBook(self.right.record.term)
            logger.info("ejection right of {} held, term {}", pool.name, self.right.record.term)
        self.book.set_pool(pool, now)


class Permits:
    """The ejection rights and permits of this VM.

    ``post`` runs a function on the owner task with the time of its clock. ``incarnation_of(vm_id)``
    returns the newest incarnation heard of, or None.
    """

    def __init__(
        self,
        vm: models.Vm,
        incarnation: models.Incarnation,
        client: store.StoreClient,
        channel: control.ControlChannel,
        post: Callable[[Callable[[float], None]], None],
        tables: Callable[[], models.Tables | None],
        vms: Callable[[], tuple[models.Vm, ...]],
        incarnation_of: Callable[[models.VmId], models.Incarnation | None],
        executor: concurrent.futures.Executor | None = None,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._client = client
        self._channel = channel
        self._post = post
        self._tables = tables
        self._vms = vms
        self._incarnation_of = incarnation_of
        self._pools: dict[models.PoolName, _Pool] = {}
        self._listed = False
        self._released = False
        self._executor = executor or concurrent.futures.ThreadPoolExecutor(WORKERS, "permits")
        channel.register(messages.PermitRequest, self._on_request)
        channel.register(messages.PathCheck, self._on_path_check)

    # On the owner task

    def on_tick(self, shards: dict, now: float) -> None:
        """Brings permits and health of all shards up to date; call it after each tick."""
        tables = self._tables()
        if tables is None or self._released:
            return
        pools = {pool.name: pool for pool in tables.pools}
        for name, state in self._pools.items():
            state.right.event(now)
            if name in pools:
                state.update_book(pools[name], now)
        for key, shard in shards.items():
            if key.pool in pools:
                self._update_shard(key, shard.health, now)
        for name, state in self._pools.items():
            if name in pools and now >= state.next_read and not state.reading:
                self._search(name, state, shards, now)

    def _update_shard(self, key, health, now: float) -> None:
        state = self._state(key.pool, now)
        owner = state.shards.setdefault(key.shard, ejection.OwnerPermits(now))
        unhealthy = health.unhealthy()
        owner.want(unhealthy, health.cold(now), now)
        ask = owner.ask(now)
        if ask is not None:
            self._send_ask(key, state, owner, ask, now)
        held = owner.held(now)
        for server in unhealthy:
            health.permit(server, held.get(server, 0.0))
        for effect in health.take_effects():
            self._executor.submit(self._ask_path, key, effect.server, health)

    def _send_ask(self, key, state: _Pool, owner, ask: ejection.Ask, now: float) -> None:
        shard_owner = ejection.ShardOwner(self._vm.id, self._incarnation, key.shard)
        if state.book is not None:
            answer, _ = state.book.answer(shard_owner, ask, state.right.may_grant(now), now)
            owner.on_answer(answer, now)
            return
        message = messages.PermitRequest(
            self._vm.id, self._incarnation, key.pool, key.shard, ask, state.right.record
        )
        self._executor.submit(self._call_holder, message, state, owner)

    def _search(self, name: models.PoolName, state: _Pool, shards: dict, now: float) -> None:
        """Reads the record if this VM holds the right, may claim it or looks for the holder."""
        state.next_read = now + (ejection.CONFIRM_S if state.book else SEARCH_S)
        local = [shards[key] for key in shards if key.pool == name]
        claims = any(key.pool == name and key.shard == 0 for key in shards) and self._is_first(name)
        searches = any(shard.health.unhealthy() for shard in local)
        if state.book or claims or searches:
            state.reading = True
            self._executor.submit(self._access_record, name, state, claims)

    def _is_first(self, name: models.PoolName) -> bool:
        """Whether this VM owns shard 0; it must be on the list itself, and not leave."""
        order = placement.owner_order(name, 0, self._vms()) if self._listed else []
        return bool(order) and order[0].id == self._vm.id and not order[0].leaving

    def _state(self, name: models.PoolName, now: float) -> _Pool:
        if name not in self._pools:
            self._pools[name] = _Pool(self._vm.id, self._incarnation, now)
        return self._pools[name]

    # From other threads

    def on_list(self, vms: tuple[models.Vm, ...]) -> None:
        """Takes the list just read from the platform."""
        self._listed = any(vm.id == self._vm.id for vm in vms)
        listed = frozenset(vm.id for vm in vms)

        def step(now: float) -> None:
            for state in self._pools.values():
                state.right.on_list(listed, self._incarnation_of, now)

        self._post(step)

    def release(self) -> None:
        """Gives up all ejections and rights and writes the records, as far as possible."""
        records: list[tuple[models.PoolName, ejection.Record, int]] = []

        def step(now: float) -> None:
            self._released = True
            for name, state in self._pools.items():
                for owner in state.shards.values():
                    owner.give_up(now)
                record = state.right.release(now)
                state.book = None
                if record is not None:
                    records.append((name, record, state.version))

        with contextlib.suppress(TimeoutError):
            self._on_owner_task(step, RELEASE_TIMEOUT_S)
        for name, record, version in records:
            with contextlib.suppress(errors.StoreError):
                self._client.put(record_key(name), msgspec.json.encode(record), version)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _on_owner_task(self, step: Callable[[float], object], timeout_s: float):
        fut: concurrent.futures.Future = concurrent.futures.Future()

        def run(now: float) -> None:
            try:
                fut.set_result(step(now))
            except Exception as exc:
                fut.set_exception(exc)

        self._post(run)
        return fut.result(timeout_s)

    # On worker threads

    def _access_record(self, name: models.PoolName, state: _Pool, claims: bool) -> None:
        """Reads the record, claims the right if that is due, and reads back what is there."""
        try:
            record = self._read_record(name, state)
            if claims or record is not None:
                proposal = self._on_owner_task(state.right.proposal, STEP_TIMEOUT_S)
                if proposal is not None and (claims or self._is_holder(proposal, state)):
                    with contextlib.suppress(errors.StoreError):
                        self._client.put(
                            record_key(name), msgspec.json.encode(proposal), state.version
                        )
                    self._read_record(name, state)
        except (errors.StoreError, TimeoutError, msgspec.MsgspecError) as exc:
            logger.debug("record of {} not read: {}", name, exc)
        finally:
            state.reading = False

    def _read_record(self, name: models.PoolName, state: _Pool) -> ejection.Record | None:
        started: list[float] = []
        self._on_owner_task(started.append, STEP_TIMEOUT_S)
        entry = self._client.get(record_key(name))
        record = msgspec.json.decode(entry.value, type=ejection.Record) if entry else None
        state.version = entry.version if entry else 0
        self._on_owner_task(
            lambda now: state.right.on_read(record, started[0], now), STEP_TIMEOUT_S
        )
        return record

    def _is_holder(self, proposal: ejection.Record, state: _Pool) -> bool:
        """A claim is for the owner of shard 0; a restarted or restored holder needs no role."""
        record = state.right.record
        return record is not None and record.holder == proposal.holder

    def _call_holder(self, message: messages.PermitRequest, state: _Pool, owner) -> None:
        vm = self._holder(message)
        if vm is None or vm.id == self._vm.id:
            return
        try:
            reply = self._channel.call(vm, message, CALL_TIMEOUT_S)
        except (errors.PeerError, errors.MessageError):
            return
        if isinstance(reply, messages.PermitAnswer):
            self._post(lambda now: self._take_answer(reply, vm, state, owner, now))

    def _take_answer(self, reply, vm: models.Vm, state: _Pool, owner, now: float) -> None:
        if reply.record is not None:
            state.right.on_hint(reply.record, now)
            if reply.record.holder == vm.id:
                state.right.on_contact(vm.id, reply.record.incarnation)
        if reply.answer is not None:
            owner.on_answer(reply.answer, now)

    def _holder(self, message: messages.PermitRequest) -> models.Vm | None:
        """The VM to ask: the known holder, otherwise the likely one, which may know more."""
        if message.record is None or message.record.holder == ejection.NOBODY:
            return next(iter(placement.owner_order(message.pool, 0, self._vms())), None)
        return next((vm for vm in self._vms() if vm.id == message.record.holder), None)

    def _on_request(self, msg: messages.PermitRequest) -> messages.Message:
        try:
            return self._on_owner_task(lambda now: self._answer(msg, now), STEP_TIMEOUT_S)
        except TimeoutError as exc:
            raise errors.PeerError("the owner task is busy") from exc

    def _answer(self, msg: messages.PermitRequest, now: float) -> messages.PermitAnswer:
        state = self._state(msg.pool, now)
        if msg.record is not None:
            state.right.on_hint(msg.record, now)
        state.right.on_contact(msg.sender, msg.incarnation)
        pools = {pool.name: pool for pool in self._tables().pools} if self._tables() else {}
        if msg.pool not in pools:
            return messages.PermitAnswer(None, state.right.record)
        state.update_book(pools[msg.pool], now)
        if state.book is None:
            self._adopt_if_named(msg, state)
            return messages.PermitAnswer(None, state.right.record)
        shard_owner = ejection.ShardOwner(msg.sender, msg.incarnation, msg.shard)
        answer, _ = state.book.answer(shard_owner, msg.ask, state.right.may_grant(now), now)
        return messages.PermitAnswer(answer, state.right.record)

    def _adopt_if_named(self, msg: messages.PermitRequest, state: _Pool) -> None:
        """Another VM takes this one for the holder: a write of ours may have taken effect late."""
        named = msg.record is not None and msg.record.holder == self._vm.id
        if named and not state.reading:
            state.reading = True
            self._executor.submit(self._access_record, msg.pool, state, False)

    def _ask_path(self, key, server: models.ServerId, health) -> None:
        """Asks the next owner of the shard whether it can connect to the server."""
        reachable = None
        others = [
            vm
            for vm in placement.owner_order(key.pool, key.shard, self._vms())
            if vm.id != self._vm.id
        ]
        if others:
            with contextlib.suppress(errors.PeerError, errors.MessageError):
                check = messages.PathCheck(self._vm.id, server)
                reply = self._channel.call(others[0], check, CALL_TIMEOUT_S)
                if isinstance(reply, messages.PathChecked):
                    reachable = reply.reachable
        self._post(lambda now: health.on_path_check_result(server, reachable, now))

    def _on_path_check(self, msg: messages.PathCheck) -> messages.PathChecked:
        tables = self._tables()
        pools = tables.pools if tables else ()
        if not any(msg.server == server.address for pool in pools for server in pool.servers):
            raise errors.MessageError(f"{msg.server} is in no pool")
        return messages.PathChecked(_can_connect(msg.server))


def _can_connect(server: models.ServerId) -> bool:
    host, _, port = server.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True
