"""Slots of servers, granted by the VM that owns a pool's servers in one zone.

Pure: the VM's event loop passes in messages with the time, and sends what ``reply`` gets::

    owner = SlotOwner(limits, reply)
    owner.set_servers(pool, zone, instances, now)
    owner.request(message, now)          # reply(address, SlotGrant(...))
    owner.release(message, now)

A ``pools.PoolShard`` per pool and zone holds the queue, the slots and the health of the servers.
Repeated sends to the servers of a pool are paid from one budget per shard, whose sum over the zones
stays below the users' bound.
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
"""Share of the slots that a VM grants while another VM is the first owner."""
ASK_AGAIN_S = 2.0
"""A waiting request whose VM has not asked again for this long is dropped."""
GRANT_SLACK_S = 1.0
"""Time after a request's end until its slot is taken back without a release."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.5
"""Bounds of the time to come back; callers wait at most a third of what they have left."""
CONNECT_WITNESSES = 2
"""VMs that must fail to connect before a server is suspected; one alone may be cut off itself."""
WITNESS_S = 2.0
"""Failures to connect count together for this long."""
WARMUP_S = 3.0
"""Time over which a new server's slots come into use."""

SUSPECT_RESULTS = frozenset([health.AttemptResult.SERVER_ERROR, health.AttemptResult.BROKEN])
"""A timeout says as much about the request, whose time may be short, as about the server."""

CallKey = tuple[models.VmId, int]
ShardKey = tuple[models.PoolName, models.ZoneName]
Reply = Callable[[str, fleet_messages.Message], None]


class Limits(msgspec.Struct, frozen=True):
    """Budget of repeated sends of one shard: a share of its requests, and a burst per window.

    Within any window a shard gives out at most the share and twice the burst: what it had saved and
    what time adds.
    """

    retry_ratio: float
    retry_burst: float
    window_s: float = 10.0

    @property
    def refill_per_s(self) -> float:
        return self.retry_burst / self.window_s


class _Call(msgspec.Struct):
    """A request for a slot, from its arrival to its release."""

    key: CallKey
    ticket_id: int
    shard: ShardKey
    reply_to: str
    ends: float
    heard: float
    repeat: bool
    route: models.RouteName
    granted: float = 0.0
    late: bool = False
    attempt_id: int | None = None
    server: models.ServerId | None = None


class _Shard(msgspec.Struct):
    queue: pools.PoolShard
    budget: retries.RetryBudget
    divisor: int = 1


class SlotOwner:
    """All shards that a VM grants slots of; ``is_first`` says whether it is their first owner."""

    def __init__(
        self,
        limits: Limits,
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
        self._witnesses: dict[models.ServerId, dict[models.VmId, float]] = {}
        self._next_ticket = 1

    @property
    def busy(self) -> bool:
        """Whether any request waits or holds a slot, so that ``tick`` is needed."""
        return bool(self._calls)

    def set_servers(
        self,
        pool: models.PoolName,
        by_zone: dict[models.ZoneName, tuple[fleetmodel.Instance, ...]],
        now: float,
    ) -> None:
        """Takes the servers of a pool; zones that are not named have none."""
        known = {key for key in self._servers if key[0] == pool}
        fresh = {(pool, zone): found for zone, found in by_zone.items()}
        for key in known - fresh.keys():
            self._servers.pop(key)
        self._servers |= fresh
        for key in known | fresh.keys():
            shard = self._shards.get(key)
            if shard is not None:
                pool_now, servers = _as_pool(key, self._servers.get(key, ()))
                self._carry_out(key, shard.queue.reconfigure(pool_now, servers, now), now)
        alive = {server.id for found in self._servers.values() for server in found}
        self._suspicion.keep(alive)
        for server in self._witnesses.keys() - alive:
            del self._witnesses[server]

    def set_limits(self, limits: Limits) -> None:
        """Adopts changed limits of repeated sends, for all shards."""
        self._limits = limits
        for shard in self._shards.values():
            shard.budget.configure(limits.retry_ratio, limits.retry_burst, limits.refill_per_s)

    def request(self, message: fleet_messages.SlotRequest, now: float) -> None:
        """Takes a request for a slot; the reply comes at once or when a slot is free."""
        key = (message.sender, message.call_id)
        shard_key = (message.pool, message.zone)
        call = self._calls.get(key)
        if call is not None and call.shard == shard_key:
            self._ask_again(call, now)
            return
        if call is not None:
            self._end(call, health.AttemptResult.CANCELLED, now)
        shard = self._shard(shard_key, now)
        if message.repeat and not shard.budget.take():
            reason = pools.RefuseReason.OVERLOADED
            refusal = self._refusal(message.call_id, message.route, reason, shard, now)
            self._reply(message.reply_to, refusal)
            return
        call = _Call(
            key=key,
            ticket_id=self._next_ticket,
            shard=shard_key,
            reply_to=message.reply_to,
            ends=now + message.left_s,
            heard=now,
            repeat=message.repeat,
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
            deadline=call.ends,
            enqueued=now,
            avoid=frozenset(message.avoid),
        )
        self._carry_out(shard_key, shard.queue.submit(ticket, now, wait=message.wait), now)
        if shard.queue.queued(call.ticket_id):
            self._reply(call.reply_to, fleet_messages.SlotWaiting(message.call_id))

    def release(self, message: fleet_messages.SlotRelease, now: float) -> None:
        """Takes the end of a request, granted or waiting."""
        call = self._calls.get((message.sender, message.call_id))
        if call is None:
            return
        if call.server is not None:
            self._observe(message, call.server, now)
        self._end(call, message.result, now)

    def tick(self, now: float) -> None:
        """Lets queues and health advance, and drops calls whose VM is gone; every 50 ms."""
        for key, shard in self._shards.items():
            if not shard.queue.empty():
                self._carry_out(key, shard.queue.tick(now), now)
        for call in list(self._calls.values()):
            self._note_lateness(call, now)
            abandoned = call.attempt_id is None and now - call.heard > ASK_AGAIN_S
            if abandoned or now > call.ends + GRANT_SLACK_S:
                self._end(call, health.AttemptResult.CANCELLED, now)

    def snapshots(self, now: float) -> list[pools.Snapshot]:
        return [shard.queue.snapshot(now) for shard in self._shards.values()]

    def _ask_again(self, call: _Call, now: float) -> None:
        call.heard = now
        call_id = call.key[1]
        if call.server is not None:
            self._reply(call.reply_to, fleet_messages.SlotGrant(call_id, call.server))
        else:
            self._reply(call.reply_to, fleet_messages.SlotWaiting(call_id))

    def _observe(
        self, message: fleet_messages.SlotRelease, server: models.ServerId, now: float
    ) -> None:
        if message.result in SUSPECT_RESULTS:
            self._suspicion.failed(server, now)
        elif message.result is health.AttemptResult.ANSWERED:
            self._suspicion.answered(server, now)
        elif message.result is health.AttemptResult.CONNECT_FAILED:
            seen = self._witnesses.setdefault(server, {})
            seen[message.sender] = now
            recent = [at for at in seen.values() if now - at <= WITNESS_S]
            if len(recent) >= CONNECT_WITNESSES:
                self._suspicion.failed(server, now)

    def _note_lateness(self, call: _Call, now: float) -> None:
        """Suspects a server that holds a request far beyond its usual time."""
        if call.server is None or call.late:
            return
        usual_s = self._shards[call.shard].queue.usual_s(call.route)
        if usual_s is not None and now - call.granted > gray_server.LATE_FACTOR * usual_s:
            call.late = True
            self._suspicion.late(call.server, now)

    def _end(self, call: _Call, result: health.AttemptResult, now: float) -> None:
        self._forget(call)
        shard = self._shards[call.shard].queue
        if call.attempt_id is None:
            effects = shard.withdraw(call.ticket_id, now)
        else:
            effects = shard.complete(call.attempt_id, result, now)
        self._carry_out(call.shard, effects, now)

    def _carry_out(self, key: ShardKey, effects: Iterable[pools.Effect], now: float) -> None:
        for effect in effects:
            call = self._by_ticket.pop(effect.ticket_id, None)
            if call is None:
                continue
            if isinstance(effect, pools.Grant):
                call.attempt_id, call.server = effect.attempt_id, effect.server
                call.granted = now
                if not call.repeat:
                    self._shards[key].budget.on_request()
                self._reply(call.reply_to, fleet_messages.SlotGrant(call.key[1], effect.server))
            else:
                self._forget(call)
                shard = self._shards[key]
                refusal = self._refusal(call.key[1], call.route, effect.reason, shard, now)
                self._reply(call.reply_to, refusal)

    def _forget(self, call: _Call) -> None:
        """Ends a call; a repeat that got no slot was not sent and costs nothing."""
        if call.repeat and call.server is None:
            self._shards[call.shard].budget.give_back()
        self._calls.pop(call.key, None)
        self._by_ticket.pop(call.ticket_id, None)

    def _refusal(
        self,
        call_id: int,
        route: models.RouteName,
        reason: pools.RefuseReason,
        shard: _Shard,
        now: float,
    ) -> fleet_messages.SlotRefusal:
        """Spreads returns over the time in which room appears, so that they do not come at once."""
        wait_s = shard.queue.wait_s(route, now)
        spread_s = wait_s * self._rng.uniform(0.8, 1.4)
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread_s))
        return fleet_messages.SlotRefusal(call_id, reason, bounded, wait_s)

    def _new_budget(self, now: float) -> retries.RetryBudget:
        limits = self._limits
        return retries.RetryBudget(limits.retry_ratio, limits.retry_burst, limits.refill_per_s, now)

    def _shard(self, key: ShardKey, now: float) -> _Shard:
        shard = self._shards.get(key)
        if shard is None:
            pool, servers = _as_pool(key, self._servers.get(key, ()))
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
        shard.queue.shedding.exact = divisor == 1
        if divisor != shard.divisor:
            shard.divisor = divisor
            self._carry_out(key, shard.queue.set_slot_divisor(divisor, now), now)
        return shard


def _as_pool(
    key: ShardKey, instances: Iterable[fleetmodel.Instance]
) -> tuple[models.Pool, tuple[models.Server, ...]]:
    servers = tuple(
        models.Server(
            address=instance.id,
            zone=instance.zone,
            slots=instance.slots,
            state=instance.state,
        )
        for instance in instances
    )
    pool = models.Pool(key[0], servers, floor=0, warmup_s=WARMUP_S)
    return pool, servers
