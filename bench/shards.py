"""Measures the processor time of a slot owner for a request, by the servers of its shard.

``python -m bench.shards`` prints one line per size as JSON. Requests arrive at 68 a second, as many
as for the largest pool of a zone of the users' large deployment; three in ten servers are gray::

    python -m bench.shards 16 99 370
"""

import heapq
import json
import random
import time
from typing import Annotated

import typer

from dotterelfront import fleet_messages, fleetmodel, health, models, slot_owner

SIZES = [2, 16, 99, 370]
REQUESTS = 3_000
RATE_PER_S = 68.0
WORK_S, FAIL_S = 0.94, 0.003
GRAY_SHARE, GRAY_FAILS = 0.3, 0.9
SLOTS = 6
TICK_S = 0.05
CONNECTED = 4
POOL, ZONE, VM = models.PoolName("pool"), models.ZoneName("a"), models.VmId("vm-1")


def measure(count: int, seed: int = 1) -> dict[str, float]:
    """Returns the processor time of a request in milliseconds."""
    rng = random.Random(seed)
    replies: dict[int, fleet_messages.Message] = {}
    owner = slot_owner.SlotOwner(
        slot_owner.RetryLimits(0.17, 35.0),
        lambda address, message: replies.__setitem__(message.call_id, message),
        seed=seed,
    )
    names = [models.ServerId(f"i-{number}") for number in range(count)]
    active = models.ServerState.ACTIVE
    instances = tuple(
        fleetmodel.Instance(name, f"{name}:80", POOL, ZONE, SLOTS, active, 1) for name in names
    )
    owner.set_servers(POOL, {ZONE: instances}, 0.0)
    gray = set(rng.sample(names, int(GRAY_SHARE * count)))
    connected = tuple(names[:CONNECTED])
    ends: list[tuple[float, int, health.AttemptResult]] = []
    now = next_tick = 0.0
    started = time.process_time()
    for call_id in range(REQUESTS):
        now += 1 / RATE_PER_S
        while ends and ends[0][0] <= now:
            at, ended, result = heapq.heappop(ends)
            owner.release(fleet_messages.SlotRelease(VM, ended, result), at)
        while next_tick < now:
            owner.tick(next_tick)
            next_tick += TICK_S
        owner.request(_request(call_id, connected), now)
        reply = replies[call_id]
        if isinstance(reply, fleet_messages.SlotGrant):
            fails = reply.server in gray and rng.random() < GRAY_FAILS
            result = health.AttemptResult.SERVER_ERROR if fails else health.AttemptResult.ANSWERED
            heapq.heappush(ends, (now + (FAIL_S if fails else WORK_S), call_id, result))
    request_ms = (time.process_time() - started) / REQUESTS * 1000
    return {"servers": count, "request_ms": round(request_ms, 3)}


def _request(call_id: int, connected: tuple[models.ServerId, ...]) -> fleet_messages.SlotRequest:
    return fleet_messages.SlotRequest(
        sender=VM,
        reply_to="vm-1",
        call_id=call_id,
        pool=POOL,
        zone=ZONE,
        route=models.RouteName("route"),
        priority=models.Priority.NORMAL,
        idempotent=False,
        remaining_s=6.0,
        wait=False,
        is_retry=False,
        connected=connected,
    )


def main(
    sizes: Annotated[list[int] | None, typer.Argument(help="Numbers of servers.")] = None,
) -> None:
    for count in sizes or SIZES:
        print(json.dumps(measure(count)))


if __name__ == "__main__":
    typer.run(main)
