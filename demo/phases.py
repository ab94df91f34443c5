"""Phases of the demo on the platform's stand-in; each leaves the world as it found it."""

import asyncio
import signal

from soak import caller, play

DEADLINE_S = caller.DEADLINE_S
PHASE_S = 3.0
RESTART_S = 2.0
"""A VM that was killed serves again within this time."""


async def calm(world: play.World) -> None:
    await asyncio.sleep(play.SETTLE_S)


async def gray_server(world: play.World) -> None:
    """One server fails all its work and looks well in the store."""
    server = world.servers[0]
    server.fault, server.share = "errors", 1.0
    await asyncio.sleep(PHASE_S)
    server.fault, server.share = "", 0.0


async def zone_turned_away(world: play.World) -> None:
    """The store answers no VM of one zone; a route is added meanwhile."""
    world.store.silent = {vm.store_host for vm in world.vms if vm.zone == "a"}
    world.configure("/added/")
    await asyncio.sleep(PHASE_S)
    world.store.silent = set()


async def store_down(world: play.World) -> None:
    since = world.now
    world.store.down = True
    await asyncio.sleep(PHASE_S)
    world.store.down = False
    world.unwell(since)


async def vm_killed(world: play.World) -> None:
    since = world.now
    world.vms[0].send(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    world.unwell(since)


PHASES = {
    "calm": calm,
    "a server fails all it gets": gray_server,
    "a zone is turned away, route added": zone_turned_away,
    "the store is down": store_down,
    "a VM is killed": vm_killed,
}
