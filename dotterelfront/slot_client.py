"""Slots for an entry VM's requests: asks the owners of a pool's zones, nearest first.

::

    client = SlotClient(vm, transport, topology)
    lease = await client.acquire(need)     # Lease(server, ...) or raises OverloadedError
    lease.release(health.AttemptResult.ANSWERED)

A free slot in the VM's own zone is best, since bytes between zones cost; then a short wait there;
then a free slot in another zone; then the queue in the own zone. An owner that does not answer is
passed over for the next one in order, and this VM grants for itself when none answers.
"""

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Sequence

import msgspec

from dotterelfront import errors, fleet_messages, health, models, pools

REPLY_TIMEOUT_S = 0.15
"""Time for an owner to answer. A message and its reply take 2 ms; a lost packet takes 200 ms, and
the next owner is asked sooner."""
ASK_AGAIN_S = 0.5
"""A waiting request asks its owner this often whether it still waits there."""
SPILL_SHARE = 0.25
"""A request waits in its own zone for this part of the time until its target, if a slot is expected
by then, before it looks at other zones. A request that crosses zones costs up to a quarter of its
worth, a wait that does not make it late costs nothing."""
POLL_S = 0.2
"""A waiting request looks this often for a free slot in other zones."""
CALLS_A_MILLISECOND = 1_000
"""Call ids between two incarnations, which are milliseconds apart."""
OWNERS_TRIED = 2
"""Owners of a zone that are asked; after that this VM grants for itself."""
NO_SERVER_RETRY_S = 0.5
"""A refused caller comes back after this time when nothing better is known."""
NO_ROOM = pools.RefuseReason.NO_ROOM


class Need(msgspec.Struct, frozen=True):
    """What a request needs; ``ends`` and ``target`` are on the event loop's clock."""

    pool: models.PoolName
    route: models.RouteName
    priority: models.Priority
    idempotent: bool
    ends: float
    repeat: bool = False
    avoid: tuple[models.ServerId, ...] = ()
    target: float = math.inf
    """Until when a response is of full use."""


class Lease(msgspec.Struct):
    """A slot of ``server`` until ``release`` is called, once."""

    server: models.ServerId
    release: Callable[[health.AttemptResult], None]


class Topology(msgspec.Struct, frozen=True):
    """What the client asks about the fleet, as functions.

    ``zones`` returns the zones in which a pool has servers; ``owners`` the VMs to ask for a pool
    and zone, the first owner first; ``unreachable`` takes a VM that did not answer.
    """

    zones: Callable[[models.PoolName], Sequence[models.ZoneName]]
    owners: Callable[[models.PoolName, models.ZoneName], Sequence[models.Vm]]
    unreachable: Callable[[models.Vm], None]


class SlotClient:
    """Requests of one VM that wait for slots or hold them."""

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
        # Owners still hold calls of the VM's previous process, so no id may come again.
        self._ids = itertools.count(incarnation * CALLS_A_MILLISECOND)
        self._replies: dict[int, asyncio.Queue[fleet_messages.Message]] = {}

    def on_reply(self, message: fleet_messages.Message) -> None:
        """Takes an owner's reply; a grant that nobody waits for is left to expire at the owner."""
        queue = self._replies.get(message.call_id)
        if queue is not None:
            queue.put_nowait(message)

    async def acquire(self, need: Need) -> Lease:
        """Returns a slot; raises ``errors.OverloadedError`` with the time to come back."""
        try:
            async with asyncio.timeout_at(need.ends):
                return await self._acquire(need)
        except TimeoutError as exc:
            raise errors.OverloadedError("no slot in time", NO_SERVER_RETRY_S) from exc

    async def _acquire(self, need: Need) -> Lease:
        zones = self._ordered_zones(need.pool)
        if not zones:
            raise errors.OverloadedError("the pool has no server", NO_SERVER_RETRY_S)
        found = await self._ask_zone(need, zones[0], wait=False)
        left_s = min(need.target, need.ends) - asyncio.get_running_loop().time()
        spill_s = SPILL_SHARE * max(0.0, left_s)
        short = _short_wait(found, spill_s)
        if not short and not isinstance(found, Lease):
            found = await self._first_free(need, zones[1:]) or found
        if isinstance(found, Lease):
            return found
        if not (need.repeat and found is not None and found.reason is not NO_ROOM):
            found = await self._wait(need, zones, spill_s if short else POLL_S) or found
        if isinstance(found, Lease):
            return found
        raise errors.OverloadedError(
            "no slot in time", found.retry_after_s if found else NO_SERVER_RETRY_S
        )

    async def _first_free(
        self, need: Need, zones: Sequence[models.ZoneName]
    ) -> "Lease | fleet_messages.SlotRefusal | None":
        """Asks the zones in turn for a free slot; returns the last refusal if there is none."""
        refusal = None
        for zone in zones:
            found = await self._ask_zone(need, zone, wait=False)
            if isinstance(found, Lease):
                return found
            refusal = found or refusal
        return refusal

    async def _wait(
        self, need: Need, zones: Sequence[models.ZoneName], patience_s: float
    ) -> "Lease | fleet_messages.SlotRefusal | None":
        """Waits in the queue of the first zone, and looks for a free slot in the others."""
        waiting = asyncio.ensure_future(self._ask_zone(need, zones[0], wait=True))
        found = None
        try:
            while not waiting.done() and not isinstance(found, Lease):
                await asyncio.wait([waiting], timeout=patience_s)
                patience_s = POLL_S
                if not waiting.done():
                    found = await self._first_free(need, zones[1:])
            return found if isinstance(found, Lease) else waiting.result()
        finally:
            _drop(waiting, unless=found)

    def _ordered_zones(self, pool: models.PoolName) -> list[models.ZoneName]:
        zones = list(self._topology.zones(pool))
        self._rng.shuffle(zones)
        return sorted(zones, key=lambda zone: zone != self._vm.zone)

    async def _ask_zone(
        self, need: Need, zone: models.ZoneName, wait: bool
    ) -> "Lease | fleet_messages.SlotRefusal | None":
        """Asks the owners of a zone in turn; None when none answers, this VM included."""
        owners = [*self._topology.owners(need.pool, zone)[:OWNERS_TRIED]]
        if all(owner.id != self._vm.id for owner in owners):
            owners.append(self._vm)
        for owner in owners:
            try:
                return await self._ask(need, zone, owner, wait)
            except errors.PeerLostError:
                self._topology.unreachable(owner)
        return None

    async def _ask(
        self, need: Need, zone: models.ZoneName, owner: models.Vm, wait: bool
    ) -> "Lease | fleet_messages.SlotRefusal":
        loop = asyncio.get_running_loop()
        call_id = next(self._ids)
        replies = self._replies[call_id] = asyncio.Queue()
        request = self._request(need, zone, call_id, loop.time(), wait)
        settled = False
        try:
            while True:
                self._send(owner, request)
                message = await self._next(replies, REPLY_TIMEOUT_S)
                while isinstance(message, fleet_messages.SlotWaiting):
                    message = await self._next(replies, ASK_AGAIN_S, again=True)
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

    async def _next(
        self, replies: asyncio.Queue, timeout_s: float, again: bool = False
    ) -> fleet_messages.Message | None:
        """Returns the next reply; None when it is time to ask again."""
        try:
            async with asyncio.timeout(timeout_s):
                return await replies.get()
        except TimeoutError as exc:
            if again:
                return None
            raise errors.PeerLostError("no reply from the owner of the slots") from exc

    def _request(
        self, need: Need, zone: models.ZoneName, call_id: int, now: float, wait: bool
    ) -> fleet_messages.SlotRequest:
        return fleet_messages.SlotRequest(
            sender=self._vm.id,
            reply_to=self._vm.address,
            call_id=call_id,
            pool=need.pool,
            zone=zone,
            route=need.route,
            priority=need.priority,
            idempotent=need.idempotent,
            left_s=need.ends - now,
            wait=wait,
            repeat=need.repeat,
            avoid=need.avoid,
        )

    def _lease(self, owner: models.Vm, call_id: int, server: models.ServerId) -> Lease:
        return Lease(server, lambda result: self._release(owner, call_id, result))

    def _release(self, owner: models.Vm, call_id: int, result: health.AttemptResult) -> None:
        self._send(owner, fleet_messages.SlotRelease(self._vm.id, call_id, result))


def _short_wait(found: object, limit_s: float) -> bool:
    """Whether a zone without a free slot should soon have one."""
    return (
        isinstance(found, fleet_messages.SlotRefusal)
        and found.reason is NO_ROOM
        and found.wait_s <= limit_s
    )


def _drop(waiting: asyncio.Future, unless: object) -> None:
    """Gives back the slot of a request that got another one, or that nobody waits for."""
    if not waiting.done():
        waiting.cancel()
    elif isinstance(unless, Lease) and not waiting.cancelled() and not waiting.exception():
        lease = waiting.result()
        if isinstance(lease, Lease):
            lease.release(health.AttemptResult.CANCELLED)
