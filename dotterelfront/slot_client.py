"""Acquires slots for the requests of an entry VM from the owners of a pool's zones, nearest first.

::

    client = SlotClient(vm, transport, topology)
    lease = await client.acquire(requirements)  # SlotLease(server, ...) or raises OverloadedError
    lease.release(health.AttemptResult.ANSWERED)

A free slot in the VM's own zone is preferred, since traffic between zones costs money. The next
choices are a short wait in the own zone, a free slot in another zone, and the queue of a zone: the
own one, unless another one is expected to be much faster. A zone whose servers are all suspected
has no queue that is worth a wait. When an owner does not answer, the next owner is asked; when none
answers, this VM grants the slot itself.
"""

import asyncio
import enum
import itertools
import math
import random
from collections.abc import Callable, Sequence

import msgspec

from dotterelfront import errors, fleet_messages, health, models, pools

REPLY_TIMEOUT_S = 0.15
"""Time for an owner to answer. A message and its reply take 2 ms. A lost packet is retransmitted
after 200 ms; the next owner is asked before that."""
KEEPALIVE_INTERVAL_S = 0.5
"""A queued request is sent to its owner again at this interval, to confirm that it still waits."""
SPILL_SHARE = 0.25
"""Share of the time until its objective that a request waits in its own zone, if a slot is expected
by then, before it tries other zones. Crossing zones costs up to a quarter of the value of a
request; a wait that does not make the response late costs nothing."""
POLL_S = 0.2
"""A queued request looks for a free slot in other zones at this interval."""
CALL_IDS_PER_MILLISECOND = 1_000
"""Call ids reserved per millisecond; an incarnation is a start time in milliseconds."""
MAX_OWNERS_ASKED = 2
"""Owners of a zone that are asked before this VM grants the slot itself."""
NO_SERVER_RETRY_S = 0.5
"""Retry delay for a refused caller when no estimate is available."""
SHUTDOWN_RETRY_S = 0.1
"""Retry delay for a request whose VM shuts down; any other VM can serve it."""
NO_FREE_SLOT = pools.RefusalReason.NO_FREE_SLOT

Refusals = dict[models.ZoneName, fleet_messages.SlotRefusal]
"""The zones that refused a request, in the order in which they were asked."""


class Wait(enum.Enum):
    """Whether a request waits in the queue of a zone that has no free slot for it."""

    NO = "no"
    HEALTHY_ONLY = "healthy-only"
    """It waits until all servers of the zone are suspected."""
    ANY = "any"


class SlotRequirements(msgspec.Struct, frozen=True):
    """A request's requirements for a slot.

    ``deadline`` and ``objective`` are times of the event loop's clock.
    """

    pool: models.PoolName
    route: models.RouteName
    priority: models.Priority
    idempotent: bool
    deadline: float
    is_retry: bool = False
    avoid: tuple[models.ServerId, ...] = ()
    objective: float = math.inf
    """Time by which a response meets the latency objective of the route."""
    connected: tuple[models.ServerId, ...] = ()
    """Servers to which the VM has a connection that the request may reuse."""
    excluded: tuple[models.ServerId, ...] = ()
    """Servers that must not be granted."""
    may_wait: bool = True
    """Whether the request may wait for a slot; otherwise it takes only a free one."""


class SlotLease(msgspec.Struct):
    """A slot of ``server``, held until ``release`` is called; call it exactly once."""

    server: models.ServerId
    release: Callable[[health.AttemptResult], None]


class Topology(msgspec.Struct, frozen=True):
    """Functions with which the client looks up the fleet.

    ``zones`` returns the zones in which a pool has servers. ``owners`` returns the VMs to ask for
    a pool and zone, the first owner first. ``report_unreachable`` reports a VM that did not answer.
    """

    zones: Callable[[models.PoolName], Sequence[models.ZoneName]]
    owners: Callable[[models.PoolName, models.ZoneName], Sequence[models.Vm]]
    report_unreachable: Callable[[models.Vm], None]


class SlotClient:
    """Acquires and releases slots for the requests of one VM."""

    def __init__(
        self,
        vm: models.Vm,
        send: Callable[[models.Vm, fleet_messages.Message], bool],
        topology: Topology,
        incarnation: int = 0,
    ):
        self._vm = vm
        self._send = send
        self._topology = topology
        self._rng = random.Random(incarnation)
        # Owners may still hold calls of the VM's previous process, so ids must not be reused.
        self._call_ids = itertools.count(incarnation * CALL_IDS_PER_MILLISECOND)
        self._replies: dict[int, asyncio.Queue[fleet_messages.Message]] = {}
        self._waits: set[asyncio.Timeout] = set()
        self._waits_end_at = math.inf

    def on_reply(self, message: fleet_messages.Message) -> None:
        """Handles an owner's reply; a grant that no request awaits expires at the owner."""
        queue = self._replies.get(message.call_id)
        if queue is not None:
            queue.put_nowait(message)

    def end_waits(self, at: float) -> None:
        """Ends all waits for a slot at a time, present and future ones; used in a shutdown."""
        self._waits_end_at = at
        for wait in self._waits:
            if not wait.expired():
                wait.reschedule(min(at, wait.when()))

    async def acquire(self, requirements: SlotRequirements) -> SlotLease:
        """Returns a slot; raises ``errors.OverloadedError`` with a retry delay."""
        try:
            async with asyncio.timeout_at(min(requirements.deadline, self._waits_end_at)) as wait:
                self._waits.add(wait)
                try:
                    return await self._acquire(requirements)
                finally:
                    self._waits.discard(wait)
        except TimeoutError as exc:
            raise self._wait_ended(requirements) from exc

    def _wait_ended(self, requirements: SlotRequirements) -> errors.OverloadedError:
        if self._waits_end_at < requirements.deadline:
            return errors.OverloadedError("the VM is shutting down", SHUTDOWN_RETRY_S)
        return errors.OverloadedError("no slot became free before the deadline", NO_SERVER_RETRY_S)

    async def _acquire(self, requirements: SlotRequirements) -> SlotLease:
        zones = self._ordered_zones(requirements.pool)
        if not zones:
            raise errors.OverloadedError("the pool has no servers", NO_SERVER_RETRY_S)
        refusals: Refusals = {}
        lease = await self._first_free(requirements, zones[:1], refusals)
        spill_s = _spill_s(requirements)
        is_short = _is_short_wait(refusals.get(zones[0]), spill_s)
        if lease is None and not is_short:
            lease = await self._first_free(requirements, zones[1:], refusals)
        if lease is None and requirements.may_wait and not _is_final(requirements, refusals):
            poll_s = spill_s if is_short else POLL_S
            lease = await self._wait(requirements, zones, refusals, poll_s)
        if lease is None:
            raise _overloaded(_last_refusal(refusals))
        return lease

    async def _first_free(
        self,
        requirements: SlotRequirements,
        zones: Sequence[models.ZoneName],
        refusals: Refusals,
    ) -> SlotLease | None:
        """Asks the zones in turn for a free slot and adds their refusals to ``refusals``."""
        for zone in zones:
            result = await self._ask_zone(requirements, zone, Wait.NO)
            if isinstance(result, SlotLease):
                return result
            _add_refusal(refusals, zone, result)
        return None

    async def _wait(
        self,
        requirements: SlotRequirements,
        zones: Sequence[models.ZoneName],
        refusals: Refusals,
        poll_s: float,
    ) -> SlotLease | None:
        """Waits in the queue of a zone, and in the next one when all servers of it are suspected.

        Other zones are polled for a free slot, after ``poll_s`` for the first time.
        """
        while True:
            zone, wait = _waiting_zone(requirements, zones, refusals)
            others = [other for other in zones if other != zone]
            lease = await self._queue(requirements, zone, wait, others, refusals, poll_s)
            may_move = wait is Wait.HEALTHY_ONLY and _has_no_free_slot(refusals.get(zone))
            if lease is not None or not may_move:
                return lease
            poll_s = POLL_S
            lease = await self._first_free(requirements, others, refusals)
            if lease is not None:
                return lease

    async def _queue(
        self,
        requirements: SlotRequirements,
        zone: models.ZoneName,
        wait: Wait,
        others: Sequence[models.ZoneName],
        refusals: Refusals,
        poll_s: float,
    ) -> SlotLease | None:
        """Waits in the queue of ``zone`` and polls ``others`` for a free slot.

        The first poll happens after ``poll_s``, the following ones every ``POLL_S``.
        """
        waiting = asyncio.ensure_future(self._ask_zone(requirements, zone, wait))
        spilled = None
        try:
            while not waiting.done() and spilled is None:
                await asyncio.wait([waiting], timeout=poll_s)
                poll_s = POLL_S
                if not waiting.done():
                    spilled = await self._first_free(requirements, others, refusals)
            result = spilled or waiting.result()
            if isinstance(result, SlotLease):
                return result
            _add_refusal(refusals, zone, result)
            return None
        finally:
            _abandon(waiting, acquired=spilled)

    def _ordered_zones(self, pool: models.PoolName) -> list[models.ZoneName]:
        zones = list(self._topology.zones(pool))
        self._rng.shuffle(zones)
        return sorted(zones, key=lambda zone: zone != self._vm.zone)

    async def _ask_zone(
        self, requirements: SlotRequirements, zone: models.ZoneName, wait: Wait
    ) -> SlotLease | fleet_messages.SlotRefusal | None:
        """Asks the owners of a zone in turn, then this VM; returns None when none answers."""
        owners = [*self._topology.owners(requirements.pool, zone)[:MAX_OWNERS_ASKED]]
        if all(owner.id != self._vm.id for owner in owners):
            owners.append(self._vm)
        for owner in owners:
            try:
                return await self._ask(requirements, zone, owner, wait)
            except errors.PeerReplyLostError:
                self._topology.report_unreachable(owner)
        return None

    async def _ask(
        self, requirements: SlotRequirements, zone: models.ZoneName, owner: models.Vm, wait: Wait
    ) -> SlotLease | fleet_messages.SlotRefusal:
        loop = asyncio.get_running_loop()
        call_id = next(self._call_ids)
        replies = self._replies[call_id] = asyncio.Queue()
        request = self._request(requirements, zone, call_id, loop.time(), wait)
        settled = False
        try:
            while True:
                self._send(owner, request)
                message = await self._next_reply(replies, REPLY_TIMEOUT_S)
                while isinstance(message, fleet_messages.SlotWaiting):
                    message = await self._next_reply(replies, KEEPALIVE_INTERVAL_S, queued=True)
                if message is None:
                    continue
                settled = True
                if isinstance(message, fleet_messages.SlotRefusal):
                    return message
                return self._lease(owner, call_id, message.server)
        finally:
            del self._replies[call_id]
            if not settled:
                self._release(owner, call_id, health.AttemptResult.CANCELLED)

    async def _next_reply(
        self, replies: asyncio.Queue, timeout_s: float, queued: bool = False
    ) -> fleet_messages.Message | None:
        """Returns the next reply; on a timeout, None if ``queued``.

        Raises ``errors.PeerReplyLostError`` on a timeout of a request that is not queued.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await replies.get()
        except TimeoutError as exc:
            if queued:
                return None
            raise errors.PeerReplyLostError("no reply from the slot owner") from exc

    def _request(
        self,
        requirements: SlotRequirements,
        zone: models.ZoneName,
        call_id: int,
        now: float,
        wait: Wait,
    ) -> fleet_messages.SlotRequest:
        return fleet_messages.SlotRequest(
            sender=self._vm.id,
            reply_to=self._vm.address,
            call_id=call_id,
            pool=requirements.pool,
            zone=zone,
            route=requirements.route,
            priority=requirements.priority,
            idempotent=requirements.idempotent,
            remaining_s=min(requirements.deadline - now, fleet_messages.MAX_REMAINING_S),
            wait=wait is not Wait.NO,
            is_retry=requirements.is_retry,
            avoid=requirements.avoid,
            connected=requirements.connected,
            healthy_only=wait is Wait.HEALTHY_ONLY,
            excluded=requirements.excluded,
        )

    def _lease(self, owner: models.Vm, call_id: int, server: models.ServerId) -> SlotLease:
        return SlotLease(server, lambda result: self._release(owner, call_id, result))

    def _release(self, owner: models.Vm, call_id: int, result: health.AttemptResult) -> None:
        self._send(owner, fleet_messages.SlotRelease(self._vm.id, call_id, result))


def _add_refusal(
    refusals: Refusals, zone: models.ZoneName, refusal: fleet_messages.SlotRefusal | None
) -> None:
    """Makes ``refusal`` the last one, or forgets a zone in which no owner answered."""
    refusals.pop(zone, None)
    if refusal is not None:
        refusals[zone] = refusal


def _last_refusal(refusals: Refusals) -> fleet_messages.SlotRefusal | None:
    return next(reversed(refusals.values()), None)


def _overloaded(refusal: fleet_messages.SlotRefusal | None) -> errors.OverloadedError:
    if refusal is None:
        return errors.OverloadedError("no slot owner answers", NO_SERVER_RETRY_S)
    message = f"no slot is available: {refusal.reason.value}"
    return errors.OverloadedError(message, refusal.retry_after_s)


def _is_final(requirements: SlotRequirements, refusals: Refusals) -> bool:
    """Whether waiting is of no use: the retry budget is used up, or the deadline is too close."""
    refusal = _last_refusal(refusals)
    return requirements.is_retry and refusal is not None and not _has_no_free_slot(refusal)


def _spill_s(requirements: SlotRequirements) -> float:
    """Returns the longest wait in the own zone that is preferred to another zone."""
    end = min(requirements.objective, requirements.deadline)
    return SPILL_SHARE * max(0.0, end - asyncio.get_running_loop().time())


def _has_no_free_slot(refusal: fleet_messages.SlotRefusal | None) -> bool:
    """Whether a zone refused only because it has no free slot of a server it may use."""
    return refusal is not None and refusal.reason is NO_FREE_SLOT


def _is_short_wait(refusal: fleet_messages.SlotRefusal | None, limit_s: float) -> bool:
    """Whether a zone without a free slot is expected to have one within ``limit_s``."""
    return _has_no_free_slot(refusal) and refusal.expected_wait_s <= limit_s


def _waiting_zone(
    requirements: SlotRequirements, zones: Sequence[models.ZoneName], refusals: Refusals
) -> tuple[models.ZoneName, Wait]:
    """Returns the zone in whose queue the request waits, and how it waits there.

    This is the own zone, unless the wait in another zone is much shorter. A first attempt also
    stays in its own zone if that is about to test a suspected server. Without a healthy server in
    any zone, the request takes any server of its own zone.
    """
    own = zones[0]
    waits_s = {
        zone: refusal.expected_wait_s
        for zone, refusal in refusals.items()
        if _has_no_free_slot(refusal)
    }
    if own in waits_s and refusals[own].trial_due and not requirements.is_retry:
        return own, Wait.HEALTHY_ONLY
    best = min(waits_s, key=waits_s.get, default=own)
    if waits_s.get(best, math.inf) == math.inf:
        return own, Wait.ANY
    gain_s = waits_s.get(own, math.inf) - waits_s[best]
    return (own if gain_s <= _spill_s(requirements) else best), Wait.HEALTHY_ONLY


def _abandon(waiting: asyncio.Future, acquired: SlotLease | None) -> None:
    """Cancels a queued request, or releases its slot if another slot was acquired."""
    if not waiting.done():
        waiting.cancel()
    elif acquired is not None and not waiting.cancelled() and not waiting.exception():
        lease = waiting.result()
        if isinstance(lease, SlotLease):
            lease.release(health.AttemptResult.CANCELLED)
