"""Messages and store access for the ejection rights and permits.

The state machines of ``ejection`` run on the owner task. Worker threads call the store and other
VMs, and post the results back to the owner task::

    permits = Permits(vm, incarnation, client, channel, owner_task.post, tables, vms,
                      incarnation_of)
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
OWNER_TASK_TIMEOUT_S = 0.4
"""Time limit for a worker thread that waits for the owner task."""
RELEASE_TIMEOUT_S = 3.0
READ_INTERVAL_S = 1.0
"""Interval between reads of the record by a VM that may claim the right or needs the holder."""


def record_key(pool: models.PoolName) -> str:
    """Returns the key of a pool's record in the store."""
    return f"ejection/{pool}"


class _PoolState:
    """State of one pool on this VM; the state machines are used on the owner task only."""

    def __init__(self, vm: models.VmId, incarnation: models.Incarnation, now: float):
        self.right = ejection.EjectionRight(vm, incarnation, now)
        self.registry: ejection.PermitRegistry | None = None
        self.shards: dict[int, ejection.ShardPermits] = {}
        self.version = 0
        self.access_pending = False
        self.next_read_at = now

    def update_registry(self, pool: models.Pool, now: float) -> None:
        """Creates, updates or drops the permit registry; it exists while this VM holds the right.

        The term of a registry never changes.
        """
        holding_states = (ejection.RightState.HELD, ejection.RightState.UNCONFIRMED)
        if self.right.state not in holding_states:
            self.registry = None
            return
        if self.registry is None:
            self.registry = ejection.PermitRegistry(self.right.record.term)
            logger.info("ejection right of {} acquired, term {}", pool.name, self.right.record.term)
        self.registry.set_pool(pool, now)


class Permits:
    """The ejection rights and permits of this VM.

    ``post`` runs a function on the owner task and passes it the time of the task's clock.
    ``incarnation_of(vm_id)`` returns the newest known incarnation of a VM, or None.
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
        self._pools: dict[models.PoolName, _PoolState] = {}
        self._is_listed = False
        self._released = False
        self._executor = executor or concurrent.futures.ThreadPoolExecutor(WORKERS, "permits")
        channel.register(messages.PermitRequest, self._on_request)
        channel.register(messages.PathCheck, self._on_path_check)

    # On the owner task

    def on_tick(self, shards: dict, now: float) -> None:
        """Updates permits and health of all shards; call it after each tick of the owner task."""
        tables = self._tables()
        if tables is None or self._released:
            return
        pools = {pool.name: pool for pool in tables.pools}
        for name, state in self._pools.items():
            state.right.advance(now)
            if name in pools:
                state.update_registry(pools[name], now)
        for key, shard in shards.items():
            if key.pool in pools:
                self._update_shard(key, shard.health, now)
        for name, state in self._pools.items():
            if name in pools and now >= state.next_read_at and not state.access_pending:
                self._schedule_record_access(name, state, shards, now)

    def _update_shard(self, key, health, now: float) -> None:
        state = self._pool_state(key.pool, now)
        shard_permits = state.shards.setdefault(key.shard, ejection.ShardPermits(now))
        unhealthy = health.unhealthy()
        shard_permits.set_unhealthy(unhealthy, health.cold(now), now)
        req = shard_permits.next_request(now)
        if req is not None:
            self._send_request(key, state, shard_permits, req, now)
        valid_permits = shard_permits.valid_permits(now)
        for server in unhealthy:
            health.permit(server, valid_permits.get(server, 0.0))
        for effect in health.take_effects():
            self._executor.submit(self._request_path_check, key, effect.server, health)

    def _send_request(
        self, key, state: _PoolState, shard_permits, req: ejection.ShardPermitRequest, now: float
    ) -> None:
        shard_owner = ejection.ShardOwner(self._vm.id, self._incarnation, key.shard)
        if state.registry is not None:
            answer, _ = state.registry.answer(shard_owner, req, state.right.may_grant(now), now)
            shard_permits.on_answer(answer, now)
            return
        message = messages.PermitRequest(
            self._vm.id, self._incarnation, key.pool, key.shard, req, state.right.record
        )
        self._executor.submit(self._call_holder, message, state, shard_permits)

    def _schedule_record_access(
        self, name: models.PoolName, state: _PoolState, shards: dict, now: float
    ) -> None:
        """Schedules a record access for a holder, a possible claim or a search for the holder."""
        state.next_read_at = now + (
            ejection.CONFIRM_INTERVAL_S if state.registry else READ_INTERVAL_S
        )
        local_shards = [shards[key] for key in shards if key.pool == name]
        may_claim = any(
            key.pool == name and key.shard == 0 for key in shards
        ) and self._is_first_owner(name)
        needs_holder = any(shard.health.unhealthy() for shard in local_shards)
        if state.registry or may_claim or needs_holder:
            state.access_pending = True
            self._executor.submit(self._access_record, name, state, may_claim)

    def _is_first_owner(self, name: models.PoolName) -> bool:
        """Returns whether this VM is the first owner of shard 0, listed and not leaving."""
        owners = placement.owner_order(name, 0, self._vms()) if self._is_listed else []
        return bool(owners) and owners[0].id == self._vm.id and not owners[0].leaving

    def _pool_state(self, name: models.PoolName, now: float) -> _PoolState:
        if name not in self._pools:
            self._pools[name] = _PoolState(self._vm.id, self._incarnation, now)
        return self._pools[name]

    # From other threads

    def on_list(self, vms: tuple[models.Vm, ...]) -> None:
        """Handles a VM list just read from the platform."""
        self._is_listed = any(vm.id == self._vm.id for vm in vms)
        listed = frozenset(vm.id for vm in vms)

        def step(now: float) -> None:
            for state in self._pools.values():
                state.right.on_list(listed, self._incarnation_of, now)

        self._post(step)

    def release(self) -> None:
        """Releases all permits and rights, and writes the records on a best-effort basis."""
        records: list[tuple[models.PoolName, ejection.RightRecord, int]] = []

        def step(now: float) -> None:
            self._released = True
            for name, state in self._pools.items():
                for shard_permits in state.shards.values():
                    shard_permits.release_all(now)
                record = state.right.release(now)
                state.registry = None
                if record is not None:
                    records.append((name, record, state.version))

        with contextlib.suppress(TimeoutError):
            self._run_on_owner_task(step, RELEASE_TIMEOUT_S)
        for name, record, version in records:
            with contextlib.suppress(errors.StoreError):
                self._client.put(record_key(name), msgspec.json.encode(record), version)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run_on_owner_task(self, step: Callable[[float], object], timeout_s: float):
        fut: concurrent.futures.Future = concurrent.futures.Future()

        def run(now: float) -> None:
            try:
                fut.set_result(step(now))
            except Exception as exc:
                fut.set_exception(exc)

        self._post(run)
        return fut.result(timeout_s)

    # On worker threads

    def _access_record(self, name: models.PoolName, state: _PoolState, may_claim: bool) -> None:
        """Reads the record, writes a proposed record if one is due, and reads the result back."""
        try:
            record = self._read_record(name, state)
            if may_claim or record is not None:
                proposal = self._run_on_owner_task(state.right.proposal, OWNER_TASK_TIMEOUT_S)
                if proposal is not None and (may_claim or self._has_same_holder(proposal, state)):
                    with contextlib.suppress(errors.StoreError):
                        self._client.put(
                            record_key(name), msgspec.json.encode(proposal), state.version
                        )
                    self._read_record(name, state)
        except (errors.StoreError, TimeoutError, msgspec.MsgspecError) as exc:
            logger.debug("access to the ejection record of {} failed: {}", name, exc)
        finally:
            state.access_pending = False

    def _read_record(self, name: models.PoolName, state: _PoolState) -> ejection.RightRecord | None:
        started: list[float] = []
        self._run_on_owner_task(started.append, OWNER_TASK_TIMEOUT_S)
        entry = self._client.get(record_key(name))
        record = msgspec.json.decode(entry.value, type=ejection.RightRecord) if entry else None
        state.version = entry.version if entry else 0
        self._run_on_owner_task(
            lambda now: state.right.on_read(record, started[0], now), OWNER_TASK_TIMEOUT_S
        )
        return record

    def _has_same_holder(self, proposal: ejection.RightRecord, state: _PoolState) -> bool:
        """Returns whether the proposal keeps the holder of the known record.

        Only the first owner of shard 0 may claim the right of another VM. A holder that restarted,
        or whose record a restore of the store has lost, needs no such role to rewrite it.
        """
        record = state.right.record
        return record is not None and record.holder == proposal.holder

    def _call_holder(
        self, message: messages.PermitRequest, state: _PoolState, shard_permits
    ) -> None:
        vm = self._find_holder(message)
        if vm is None or vm.id == self._vm.id:
            return
        try:
            reply = self._channel.call(vm, message, CALL_TIMEOUT_S)
        except (errors.PeerError, errors.MessageError):
            return
        if isinstance(reply, messages.PermitAnswer):
            self._post(lambda now: self._on_answer(reply, vm, state, shard_permits, now))

    def _on_answer(
        self, reply, vm: models.Vm, state: _PoolState, shard_permits, now: float
    ) -> None:
        if reply.record is not None:
            state.right.on_peer_record(reply.record, now)
            if reply.record.holder == vm.id:
                state.right.on_peer_message(vm.id, reply.record.incarnation)
        if reply.answer is not None:
            shard_permits.on_answer(reply.answer, now)

    def _find_holder(self, message: messages.PermitRequest) -> models.Vm | None:
        """Returns the known holder, otherwise the first owner of shard 0 as the likely holder."""
        if message.record is None or message.record.holder == ejection.NO_HOLDER:
            return next(iter(placement.owner_order(message.pool, 0, self._vms())), None)
        return next((vm for vm in self._vms() if vm.id == message.record.holder), None)

    def _on_request(self, msg: messages.PermitRequest) -> messages.Message:
        try:
            return self._run_on_owner_task(
                lambda now: self._handle_request(msg, now), OWNER_TASK_TIMEOUT_S
            )
        except TimeoutError as exc:
            raise errors.PeerError("the owner task is busy") from exc

    def _handle_request(self, msg: messages.PermitRequest, now: float) -> messages.PermitAnswer:
        state = self._pool_state(msg.pool, now)
        if msg.record is not None:
            state.right.on_peer_record(msg.record, now)
        state.right.on_peer_message(msg.sender, msg.incarnation)
        pools = {pool.name: pool for pool in self._tables().pools} if self._tables() else {}
        if msg.pool not in pools:
            return messages.PermitAnswer(None, state.right.record)
        state.update_registry(pools[msg.pool], now)
        if state.registry is None:
            self._reread_if_named_holder(msg, state)
            return messages.PermitAnswer(None, state.right.record)
        shard_owner = ejection.ShardOwner(msg.sender, msg.incarnation, msg.shard)
        answer, _ = state.registry.answer(shard_owner, msg.request, state.right.may_grant(now), now)
        return messages.PermitAnswer(answer, state.right.record)

    def _reread_if_named_holder(self, msg: messages.PermitRequest, state: _PoolState) -> None:
        """Reads the record again if the sender considers this VM the holder.

        An earlier claim of this VM may have taken effect late.
        """
        named_holder = msg.record is not None and msg.record.holder == self._vm.id
        if named_holder and not state.access_pending:
            state.access_pending = True
            self._executor.submit(self._access_record, msg.pool, state, False)

    def _request_path_check(self, key, server: models.ServerId, health) -> None:
        """Asks the first other owner of the shard whether it can connect to the server."""
        reachable = None
        other_owners = [
            vm
            for vm in placement.owner_order(key.pool, key.shard, self._vms())
            if vm.id != self._vm.id
        ]
        if other_owners:
            with contextlib.suppress(errors.PeerError, errors.MessageError):
                check = messages.PathCheck(self._vm.id, server)
                reply = self._channel.call(other_owners[0], check, CALL_TIMEOUT_S)
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
