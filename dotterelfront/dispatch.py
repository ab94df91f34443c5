"""Forwards a request from the entry to the owner of its pool shard, which sends it to a server."""

import itertools
import random
import threading
import time
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from dotterelfront import (
    backends,
    clock,
    errors,
    health,
    messages,
    models,
    owner,
    peers,
    placement,
    pools,
    retries,
)

OWNERS_TRIED = 2
"""Maximum number of owners of one shard that an entry tries."""

SHARDS_TRIED = 2
"""Maximum number of shards of a pool that an entry tries. It tries the next one only after the
previous one refused the request as overloaded, so that it did not run."""

SECOND_OWNER_SLOT_DIVISOR = 3
"""Divisor of the slots that an owner other than the first uses. Two concurrent owners together thus
load a server with at most 4/3 of its slots."""

DEFAULT_MAX_CONNECTIONS = 300

_REFUSALS = {
    pools.RefusalReason.DEADLINE: errors.DeadlineExceededError,
    pools.RefusalReason.OVERLOADED: errors.OverloadedError,
    pools.RefusalReason.CUSTOMER_LIMIT: errors.CustomerLimitError,
}

_NEXT_OWNER_CODES = frozenset(
    [errors.WrongOwnerError.code, errors.ServerRefusedError.code, errors.OwnerUnreachableError.code]
)
"""Codes of not-run replies after which the shard's next owner is tried."""

_NEXT_SHARD_CODES = frozenset([errors.OverloadedError.code])
"""Codes of not-run replies after which another shard of the pool is tried."""

_NOT_RUN_RESULTS = frozenset([health.AttemptResult.REFUSED, health.AttemptResult.CONNECT_FAILED])
"""Attempt results after which a request may be queued again, even a non-idempotent one."""

_NO_BUDGET_CODES = frozenset([errors.WrongOwnerError.code, errors.OwnerUnreachableError.code])
"""Codes of not-run replies that put no load on a server; a retry after them costs no budget."""


class Identity(msgspec.Struct, frozen=True):
    """Identifies this process to other VMs."""

    vm: models.Vm
    incarnation: models.Incarnation


class Clock(msgspec.Struct, frozen=True):
    """``wall`` is in seconds since the epoch, comparable between VMs; ``monotonic`` is local."""

    wall: Callable[[], float] = time.time
    monotonic: Callable[[], float] = clock.now


class CallIds:
    """Generates the ids of calls to peers; one instance serves the whole process."""

    def __init__(self):
        self._ids = itertools.count(1)

    def next(self) -> int:
        return next(self._ids)


class _PoolIndex:
    """A pool, its shards, and their cumulative capacities for the weighted choice of a shard."""

    def __init__(self, pool: models.Pool):
        self.pool = pool
        self.shards = placement.shards(pool)
        capacities = (sum(server.slots for server in shard) for shard in self.shards)
        self.cum_weights = list(itertools.accumulate(capacities))


class TableIndex:
    """Indexes the routes and pools of one configuration by name."""

    def __init__(self, tables: models.Tables):
        self.tables = tables
        self.routes = {route.name: route for route in tables.routes}
        self.pools = {pool.name: _PoolIndex(pool) for pool in tables.pools}


class OwnerIndex:
    """Finds the first owners of a shard in the current list of VMs. Thread-safe."""

    def __init__(self):
        self._vms: tuple[models.Vm, ...] = ()
        self._table = placement.OwnerTable()
        self._lock = threading.Lock()

    def owners(
        self, pool: models.PoolName, shard: int, vms: tuple[models.Vm, ...]
    ) -> tuple[models.Vm, ...]:
        with self._lock:
            if vms is not self._vms:
                self._vms = vms
                self._table.update(vms)
            return self._table.owners(pool, shard)[:OWNERS_TRIED]


class Dispatcher:
    """Forwards requests to shard owners and serves those that this VM owns.

    ``tables`` and ``vms`` return the current immutable snapshots; ``data_port`` is the same on all
    VMs. ``send`` is ``backends.send``, or a fake in tests.
    """

    def __init__(
        self,
        identity: Identity,
        tables: Callable[[], models.Tables | None],
        vms: Callable[[], tuple[models.Vm, ...]],
        owner_task: owner.OwnerTask,
        caller: peers.Caller,
        data_port: int,
        send=backends.send,
        clock: Clock | None = None,
        call_ids: CallIds | None = None,
        rng: random.Random | None = None,
        on_call_failed: Callable[[models.VmId], None] = lambda vm_id: None,
    ):
        self._identity = identity
        self._on_call_failed = on_call_failed
        self._tables = tables
        self._vms = vms
        self._owner = owner_task
        self._caller = caller
        self._data_port = data_port
        self._send_to_server = send
        self._clock = clock or Clock()
        self._connections = backends.Connections()
        self._call_ids = call_ids or CallIds()
        self._rng = rng or random.Random()
        self._index: TableIndex | None = None
        self._owners = OwnerIndex()
        self._budgets: dict[models.PoolName, retries.RetryBudget] = {}
        self._budget_lock = threading.Lock()

    def forward(
        self,
        route: models.Route,
        customer: models.CustomerId,
        request_id: models.RequestId,
        deadline: float,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> messages.Forwarded:
        """Returns the reply of a shard owner; raises ``errors.RequestError``.

        ``deadline`` is in seconds since the epoch. A non-idempotent request is not retried once a
        server may have received it.
        """
        index = self.index()
        pool_index = index.pools.get(route.pool)
        if pool_index is None:
            raise errors.WrongOwnerError(f"no pool {route.pool}")
        msg = messages.Forward(
            sender=self._identity.vm.id,
            incarnation=self._identity.incarnation,
            call_id=0,
            request_id=request_id,
            revision=index.tables.revision,
            route=route.name,
            customer=customer,
            deadline=deadline,
            method=method,
            target=target,
            headers=headers,
            body=body,
            pool=route.pool,
            shard=0,
            idempotent=route.idempotent,
        )
        with self._budget_lock:
            self._budgets.setdefault(route.pool, retries.RetryBudget()).on_request()
        return self._try_shards(route, pool_index, msg)

    def index(self) -> TableIndex:
        """Returns the index of the tables in force; raises ``errors.NoConfigurationError``."""
        tables = self._tables()
        if tables is None:
            raise errors.NoConfigurationError("no configuration yet")
        index = self._index
        if index is None or index.tables is not tables:
            index = self._index = TableIndex(tables)
        return index

    def _try_shards(
        self, route: models.Route, pool: _PoolIndex, msg: messages.Forward
    ) -> messages.Forwarded:
        shard = self._rng.choices(range(len(pool.shards)), cum_weights=pool.cum_weights)[0]
        for attempt in range(1, SHARDS_TRIED + 1):
            reply = self._try_owners(route, msg, shard)
            is_last = attempt == SHARDS_TRIED or len(pool.shards) == 1
            if is_last or not _is_not_run(reply, _NEXT_SHARD_CODES) or not self._may_retry(msg):
                return reply
            shard = (shard + self._rng.randrange(1, len(pool.shards))) % len(pool.shards)
        return reply

    def _try_owners(
        self, route: models.Route, msg: messages.Forward, shard: int
    ) -> messages.Forwarded:
        reply = error_reply(
            errors.OwnerUnreachableError(f"no owner of {msg.pool}/{shard} was reached")
        )
        owners = self._owners.owners(msg.pool, shard, self._vms())
        for rank, vm in enumerate(owners):
            if rank and not self._may_try_next_owner(route, msg, reply):
                return reply
            latest = self._try_owner(
                vm, msgspec.structs.replace(msg, shard=shard, call_id=self._call_ids.next())
            )
            # A not-run from this owner does not say whether the earlier attempt ran.
            if rank and _has_unknown_outcome(reply) and latest.outcome is models.Outcome.NOT_RUN:
                return reply
            reply = latest
        return reply

    def _may_try_next_owner(
        self, route: models.Route, msg: messages.Forward, reply: messages.Forwarded
    ) -> bool:
        """Returns whether the next owner may be tried after this reply."""
        if _is_not_run(reply, _NO_BUDGET_CODES):
            return True
        retryable = _is_not_run(reply, _NEXT_OWNER_CODES) or (
            route.idempotent and _has_unknown_outcome(reply)
        )
        return retryable and self._may_retry(msg)

    def _may_retry(self, msg: messages.Forward) -> bool:
        if self._clock.wall() >= msg.deadline:
            return False
        with self._budget_lock:
            return self._budgets[msg.pool].try_acquire()

    def _try_owner(self, vm: models.Vm, msg: messages.Forward) -> messages.Forwarded:
        try:
            if vm.id == self._identity.vm.id:
                return self.serve(msg)
            return self._call(vm, msg)
        except errors.RequestError as exc:
            return error_reply(exc)

    def _call(self, vm: models.Vm, msg: messages.Forward) -> messages.Forwarded:
        remaining_s = msg.deadline - self._clock.wall()
        if remaining_s <= 0:
            raise errors.DeadlineExceededError("deadline passed")
        address = f"{vm.address}:{self._data_port}"
        try:
            return call(self._caller, address, msg, remaining_s)
        except errors.RequestError:
            self._on_call_failed(vm.id)
            raise

    def serve(self, msg: messages.Forward) -> messages.Forwarded:
        """Serves a request as the owner of its shard.

        Waits for a slot, sends the request and reports the result of the attempt. Raises
        ``errors.WrongOwnerError`` if this VM's configuration has no such route, pool or shard.
        """
        remaining_s = msg.deadline - self._clock.wall()
        if remaining_s <= 0:
            raise errors.DeadlineExceededError("deadline passed")
        deadline = self._clock.monotonic() + remaining_s
        index = self.index()
        route, pool_index = index.routes.get(msg.route), index.pools.get(msg.pool)
        if route is None or pool_index is None or not 0 <= msg.shard < len(pool_index.shards):
            raise errors.WrongOwnerError(
                f"no {msg.route}, {msg.pool}/{msg.shard} in revision {index.tables.revision}"
            )
        key = owner.ShardKey(msg.pool, msg.shard)
        servers = pool_index.shards[msg.shard]
        divisor = self._slot_divisor(msg.pool, msg.shard)
        if route.idempotent and not msg.idempotent:
            route = msgspec.structs.replace(route, idempotent=False)
        grant = self._owner.submit(
            key,
            lambda now: pools.PoolShard(pool_index.pool, servers, now, divisor),
            route,
            msg.customer,
            deadline,
        ).result()
        if isinstance(grant, pools.Refusal):
            return error_reply(_REFUSALS[grant.reason](f"{msg.pool}: {grant.reason.value}"))
        req = backends.ServerRequest(
            msg.method,
            msg.target,
            msg.headers,
            msg.body,
            deadline,
            route.max_response_bytes,
            msg.request_id,
            route.idempotent,
        )
        return self._send(key, grant, req, servers)

    def rank(self, pool: models.PoolName, shard: int) -> int | None:
        """Returns this VM's rank among the owners of a shard, from 0, or None if it is no owner."""
        owners = self._owners.owners(pool, shard, self._vms())
        ids = [vm.id for vm in owners]
        return ids.index(self._identity.vm.id) if self._identity.vm.id in ids else None

    def _slot_divisor(self, pool: models.PoolName, shard: int) -> int:
        return 1 if self.rank(pool, shard) == 0 else SECOND_OWNER_SLOT_DIVISOR

    def _send(
        self, key: owner.ShardKey, grant: pools.Grant, req: backends.ServerRequest, servers
    ) -> messages.Forwarded:
        """Sends the request to the granted server; queues it again if the server did not run it."""
        while True:
            result, reply = self._attempt(grant, req, _max_connections(servers, grant.server))
            fut = self._owner.complete(key, grant.attempt_id, result, result in _NOT_RUN_RESULTS)
            if fut is None:
                return reply
            decision = fut.result()
            if isinstance(decision, pools.Refusal):
                return reply
            grant = decision

    def _attempt(
        self, grant: pools.Grant, req: backends.ServerRequest, max_connections: int
    ) -> tuple[health.AttemptResult, messages.Forwarded]:
        try:
            res = self._send_to_server(self._connections, grant.server, req, max_connections)
        except backends.AttemptError as exc:
            return exc.result, error_reply(exc.error)
        except Exception as exc:
            # Only the report of an attempt frees its slot, so an unexpected error must be reported.
            logger.exception("unexpected error while sending a request to a server")
            error = errors.OutcomeUnknownError(f"internal: {type(exc).__name__}")
            return health.AttemptResult.BROKEN, error_reply(error)
        result = health.AttemptResult.ANSWERED
        if res.status >= 500:
            result = health.AttemptResult.SERVER_ERROR
        return result, messages.Forwarded(
            models.Outcome.ANSWERED, res.status, res.headers, res.body
        )


def _max_connections(servers: Iterable[models.Server], address: models.ServerId) -> int:
    """Returns the connection limit of a server; the default if ``servers`` does not contain it."""
    for server in servers:
        if server.address == address:
            return server.connections
    return DEFAULT_MAX_CONNECTIONS


def call(
    caller: peers.Caller, address: str, msg: messages.Call, timeout_s: float
) -> messages.Forwarded:
    """Calls a VM and returns its reply, after checking that it belongs to this call.

    Raises ``errors.OwnerUnreachableError`` if nothing was sent, and ``errors.OutcomeUnknownError``
    if no reply was received or it belongs to another call.
    """
    try:
        reply = caller.call(address, msg, timeout_s)
    except errors.PeerNotSentError as exc:
        raise errors.OwnerUnreachableError(str(exc)) from exc
    except errors.PeerReplyLostError as exc:
        raise errors.OutcomeUnknownError(str(exc)) from exc
    if not isinstance(reply, messages.Forwarded) or reply.call_id != msg.call_id:
        raise errors.OutcomeUnknownError(f"unexpected reply {type(reply).__name__}")
    return reply


def reply_to(msg: messages.Call, serve: Callable[..., messages.Forwarded]) -> messages.Forwarded:
    """Calls ``serve`` and returns its result, or its error, as the reply to ``msg``."""
    try:
        reply = serve(msg)
    except errors.RequestError as exc:
        reply = error_reply(exc)
    return msgspec.structs.replace(reply, call_id=msg.call_id)


def error_reply(error: errors.RequestError) -> messages.Forwarded:
    """Returns the reply that carries an error to the entry."""
    return messages.Forwarded(error.outcome, error.status, code=error.code, detail=str(error))


def _has_unknown_outcome(reply: messages.Forwarded) -> bool:
    return reply.outcome is models.Outcome.UNKNOWN


def _is_not_run(reply: messages.Forwarded, codes: frozenset[str]) -> bool:
    return reply.outcome is models.Outcome.NOT_RUN and reply.code in codes
