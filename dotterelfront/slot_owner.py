"""Grants slots of servers on the VM that owns a pool's servers in one zone.

Does no I/O: the VM's event loop passes in messages with the time, and ``reply`` sends the answers::

    owner = SlotOwner(limits, reply)
    owner.set_servers(pool, zone, instances, now)
    owner.request(message, now)          # reply(address, SlotGrant(...))
    owner.release(message, now)

A ``pools.PoolShard`` per pool and zone holds the queue, the slots and the health of the servers.
Each shard has its own retry budget. The budgets of all zones add up to less than the configured
retry limit.
"""

import random
from collections.abc import Callable, Iterable

import msgspec

from dotterelfront import (
    fleet_messages,
    fleetmodel,
    gray_server,
    health,
    models,
    pools,
    queueing,
    retries,
)

SECOND_OWNER_DIVISOR = 3
"""Divides the slots that a VM grants while another VM is the first owner."""
KEEPALIVE_TIMEOUT_S = 2.0
"""A queued request is dropped when its VM has not sent it again for this long."""
GRANT_SLACK_S = 1.0
"""Time after a request's deadline until its slot is reclaimed without a release."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.5
"""Bounds of the retry delay in a refusal; callers wait at most a third of their remaining time."""
MIN_CONNECT_REPORTERS = 2
"""VMs that must fail to connect before a server is suspected. A single VM that cannot connect may
itself be partitioned from the network."""
CONNECT_REPORT_WINDOW_S = 2.0
"""Connection failures of different VMs count together within this time."""
WARMUP_S = 3.0
"""Time over which the usable slots of a new server rise to all of its slots."""

SUSPECT_RESULTS = frozenset([health.AttemptResult.SERVER_ERROR, health.AttemptResult.BROKEN])
"""Results that make a server suspect. A timeout does not: the deadline may have been short."""

CallKey = tuple[models.VmId, int]
ShardKey = tuple[models.PoolName, models.ZoneName]
Reply = Callable[[str, fleet_messages.Message], None]


class RetryLimits(msgspec.Struct, frozen=True):
    """Retry budget of one shard: a share of its requests, and a burst per window.

    Within any window a shard grants at most the share and twice the burst: one burst that was
    saved before the window and one that is refilled during it.
    """

    retry_ratio: float
    retry_burst: float
    window_s: float = 10.0

    @property
    def refill_per_s(self) -> float:
        return self.retry_burst / self.window_s


class _Call(msgspec.Struct):
    """State of a slot request from its arrival to its release."""

    key: CallKey
    ticket_id: int
    shard: ShardKey
    reply_to: str
    expires_at: float
    last_seen: float
    is_retry: bool
    route: models.RouteName
    granted_at: float = 0.0
    late: bool = False
    attempt_id: int | None = None
    server: models.ServerId | None = None


class _Shard(msgspec.Struct):
    queue: pools.PoolShard
    budget: retries.RetryBudget
    divisor: int = 1


class SlotOwner:
    """Owns all shards whose slots a VM grants.

    ``is_first`` returns whether the VM is the first owner of a shard.
    """

    def __init__(
        self,
        limits: RetryLimits,
        reply: Reply,
        is_first: Callable[[ShardKey], bool] = lambda key: True,
        seed: int = 0,
    ):
        self._limits = limits
        self._reply = reply
        self._is_first = is_first
        self._rng = random.Random(seed)
        self._suspicion = gray_server.Suspicion()
        self._servers: dict[ShardKey, tuple[fleetmodel.Instance, ...]] = {}
        self._shards: dict[ShardKey, _Shard] = {}
        self._calls: dict[CallKey, _Call] = {}
        self._by_ticket: dict[int, _Call] = {}
        self._connect_failures: dict[models.ServerId, dict[models.VmId, float]] = {}
        self._leaving: dict[models.ServerId, int] = {}
        """The start, in milliseconds, of servers that said that they leave."""
        self._next_ticket = 1

    @property
    def busy(self) -> bool:
        """Whether any request is queued or holds a slot; ``tick`` is needed only then."""
        return bool(self._calls)

    def set_servers(
        self,
        pool: models.PoolName,
        by_zone: dict[models.ZoneName, tuple[fleetmodel.Instance, ...]],
        now: float,
    ) -> None:
        """Replaces the servers of a pool; zones missing from ``by_zone`` have no servers."""
        previous = {key for key in self._servers if key[0] == pool}
        updated = {(pool, zone): instances for zone, instances in by_zone.items()}
        for key in previous - updated.keys():
            self._servers.pop(key)
        self._servers |= updated
        for key in previous | updated.keys():
            shard = self._shards.get(key)
            if shard is not None:
                new_pool, servers = self._as_pool(key)
                self._apply_effects(key, shard.queue.reconfigure(new_pool, servers, now), now)
        server_ids = {server.id for instances in self._servers.values() for server in instances}
        self._suspicion.retain(server_ids)
        for state in (self._connect_failures, self._leaving):
            for server in state.keys() - server_ids:
                del state[server]

    def mark_leaving(self, server: models.ServerId, started_ms: int, now: float) -> None:
        """Grants no more slots of a server that said that it leaves; a later start of it may get
        requests."""
        self._leaving[server] = max(started_ms, self._leaving.get(server, started_ms))
        for pool in {key[0] for key in self._servers}:
            by_zone = {key[1]: found for key, found in self._servers.items() if key[0] == pool}
            if any(server == instance.id for found in by_zone.values() for instance in found):
                self.set_servers(pool, by_zone, now)

    def set_limits(self, limits: RetryLimits) -> None:
        """Applies changed retry limits to all shards."""
        self._limits = limits
        for shard in self._shards.values():
            shard.budget.configure(limits.retry_ratio, limits.retry_burst, limits.refill_per_s)

    def request(self, message: fleet_messages.SlotRequest, now: float) -> None:
        """Handles a slot request; replies at once or when a slot becomes free."""
        key = (message.sender, message.call_id)
        shard_key = (message.pool, message.zone)
        call = self._calls.get(key)
        if call is not None and call.shard == shard_key:
            self._on_keepalive(call, now)
            return
        if call is not None:
            self._end_call(call, health.AttemptResult.CANCELLED, now)
        shard = self._shard(shard_key, now)
        if message.is_retry and not shard.budget.try_acquire():
            reason = pools.RefusalReason.OVERLOADED
            refusal = self._refusal(message.call_id, message.route, reason, shard, now)
            self._reply(message.reply_to, refusal)
            return
        call = _Call(
            key=key,
            ticket_id=self._next_ticket,
            shard=shard_key,
            reply_to=message.reply_to,
            expires_at=now + message.remaining_s,
            last_seen=now,
            is_retry=message.is_retry,
            route=message.route,
        )
        self._next_ticket += 1
        self._calls[key] = self._by_ticket[call.ticket_id] = call
        ticket = queueing.Ticket(
            ticket_id=call.ticket_id,
            route=message.route,
            customer=models.NO_CUSTOMER,
            priority=message.priority,
            idempotent=message.idempotent,
            deadline=call.expires_at,
            enqueued=now,
            avoid=frozenset(message.avoid),
            connected=frozenset(message.connected),
            healthy_only=message.healthy_only,
            excluded=frozenset(message.excluded),
        )
        self._apply_effects(shard_key, shard.queue.submit(ticket, now, wait=message.wait), now)
        if shard.queue.queued(call.ticket_id):
            self._reply(call.reply_to, fleet_messages.SlotWaiting(message.call_id))

    def release(self, message: fleet_messages.SlotRelease, now: float) -> None:
        """Handles the end of a granted or queued request."""
        call = self._calls.get((message.sender, message.call_id))
        if call is None:
            return
        if call.server is not None:
            self._record_result(message, call, now)
        self._end_call(call, message.result, now)

    def tick(self, now: float) -> None:
        """Advances queues and health, and ends abandoned or expired calls; call it every 50 ms."""
        for key, shard in self._shards.items():
            if not shard.queue.is_empty():
                self._apply_effects(key, shard.queue.tick(now), now)
        for call in list(self._calls.values()):
            self._check_late(call, now)
            abandoned = call.attempt_id is None and now - call.last_seen > KEEPALIVE_TIMEOUT_S
            if abandoned or now > call.expires_at + GRANT_SLACK_S:
                self._end_call(call, health.AttemptResult.CANCELLED, now)

    def snapshots(self, now: float) -> list[pools.Snapshot]:
        return [shard.queue.snapshot(now) for shard in self._shards.values()]

    def _on_keepalive(self, call: _Call, now: float) -> None:
        """Repeats the current answer to a request that its VM sent again."""
        call.last_seen = now
        call_id = call.key[1]
        if call.server is not None:
            self._reply(call.reply_to, fleet_messages.SlotGrant(call_id, call.server))
        else:
            self._reply(call.reply_to, fleet_messages.SlotWaiting(call_id))

    def _record_result(self, message: fleet_messages.SlotRelease, call: _Call, now: float) -> None:
        server = call.server
        if message.result in SUSPECT_RESULTS:
            self._suspicion.record_failure(server, now)
        elif message.result is health.AttemptResult.ANSWERED:
            self._suspicion.record_success(server, now, call.granted_at)
        elif message.result is health.AttemptResult.CONNECT_FAILED:
            reports = self._connect_failures.setdefault(server, {})
            reports[message.sender] = now
            recent = [at for at in reports.values() if now - at <= CONNECT_REPORT_WINDOW_S]
            if len(recent) >= MIN_CONNECT_REPORTERS:
                self._suspicion.record_failure(server, now)

    def _check_late(self, call: _Call, now: float) -> None:
        """Records evidence against a server whose request runs far beyond the mean of its route."""
        if call.server is None or call.late:
            return
        mean_s = self._shards[call.shard].queue.mean_service_s(call.route)
        if mean_s is not None and now - call.granted_at > gray_server.LATE_FACTOR * mean_s:
            call.late = True
            self._suspicion.record_late(call.server, now)

    def _end_call(self, call: _Call, result: health.AttemptResult, now: float) -> None:
        self._remove_call(call)
        shard = self._shards[call.shard].queue
        if call.attempt_id is None:
            effects = shard.withdraw(call.ticket_id, now)
        else:
            effects = shard.complete(call.attempt_id, result, now)
        self._apply_effects(call.shard, effects, now)

    def _apply_effects(self, key: ShardKey, effects: Iterable[pools.Effect], now: float) -> None:
        for effect in effects:
            call = self._by_ticket.pop(effect.ticket_id, None)
            if call is None:
                continue
            if isinstance(effect, pools.Grant):
                call.attempt_id, call.server = effect.attempt_id, effect.server
                call.granted_at = now
                if not call.is_retry:
                    self._shards[key].budget.on_request()
                self._reply(call.reply_to, fleet_messages.SlotGrant(call.key[1], effect.server))
            else:
                self._remove_call(call)
                shard = self._shards[key]
                refusal = self._refusal(call.key[1], call.route, effect.reason, shard, now)
                self._reply(call.reply_to, refusal)

    def _remove_call(self, call: _Call) -> None:
        """Removes a call; a retry that got no slot was not sent, so its budget is refunded."""
        if call.is_retry and call.server is None:
            self._shards[call.shard].budget.refund()
        self._calls.pop(call.key, None)
        self._by_ticket.pop(call.ticket_id, None)

    def _refusal(
        self,
        call_id: int,
        route: models.RouteName,
        reason: pools.RefusalReason,
        shard: _Shard,
        now: float,
    ) -> fleet_messages.SlotRefusal:
        """Returns a refusal with a retry delay.

        The delay is the expected wait with jitter, so that callers do not all retry at once.
        """
        wait_s = shard.queue.expected_wait_s(route, now)
        jittered_s = wait_s * self._rng.uniform(0.8, 1.4)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, jittered_s))
        trial_due = shard.queue.is_trial_due(now)
        return fleet_messages.SlotRefusal(call_id, reason, retry_after_s, wait_s, trial_due)

    def _as_pool(self, key: ShardKey) -> tuple[models.Pool, tuple[models.Server, ...]]:
        servers = tuple(
            models.Server(
                address=instance.id,
                zone=instance.zone,
                slots=instance.slots,
                state=self._state(instance),
            )
            for instance in self._servers.get(key, ())
        )
        return models.Pool(key[0], servers, floor=0, warmup_s=WARMUP_S), servers

    def _state(self, instance: fleetmodel.Instance) -> models.ServerState:
        leaving_start = self._leaving.get(instance.id)
        if leaving_start is not None and instance.started_ms <= leaving_start:
            return models.ServerState.LEAVING
        return instance.state

    def _new_budget(self, now: float) -> retries.RetryBudget:
        limits = self._limits
        return retries.RetryBudget(limits.retry_ratio, limits.retry_burst, limits.refill_per_s, now)

    def _shard(self, key: ShardKey, now: float) -> _Shard:
        shard = self._shards.get(key)
        if shard is None:
            pool, servers = self._as_pool(key)
            shard = self._shards[key] = _Shard(
                pools.PoolShard(
                    pool,
                    servers,
                    now,
                    rng=random.Random(self._rng.random()),
                    suspicion=self._suspicion,
                ),
                self._new_budget(now),
            )
        shard.budget.advance(now)
        divisor = 1 if self._is_first(key) else SECOND_OWNER_DIVISOR
        shard.queue.shedding.counts_all_work = divisor == 1
        if divisor != shard.divisor:
            shard.divisor = divisor
            self._apply_effects(key, shard.queue.set_slot_divisor(divisor, now), now)
        return shard
