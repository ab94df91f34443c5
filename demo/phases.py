"""Phases of the demo on the platform's stand-in; each phase ends the fault that it injects."""

import asyncio
import signal

from soak import caller, play

DEADLINE_S = caller.DEADLINE_S
PHASE_S = 3.0
RESTART_S = 2.0
"""Time within which a killed VM is restarted and serves requests."""


async def no_fault(world: play.World) -> None:
    await asyncio.sleep(play.SETTLE_S)


async def gray_server(world: play.World) -> None:
    """One server fails all its requests, but its record in the store shows no fault."""
    server = world.servers[0]
    server.fault, server.share = "errors", 1.0
    await asyncio.sleep(PHASE_S)
    server.fault, server.share = "", 0.0


async def zone_without_store(world: play.World) -> None:
    """The VMs of one zone get no response from the store, while a route is added."""
    world.store.silent = {vm.store_host for vm in world.vms if vm.zone == "a"}
    world.configure("/added/")
    await asyncio.sleep(PHASE_S)
    world.store.silent = set()


async def store_down(world: play.World) -> None:
    since = world.now
    world.store.down = True
    await asyncio.sleep(PHASE_S)
    world.store.down = False
    world.record_fault_window(since)


async def vm_killed(world: play.World) -> None:
    since = world.now
    world.vms[0].send(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    world.record_fault_window(since)


PHASES = {
    "calm": no_fault,
    "a server fails all it gets": gray_server,
    "a zone is turned away, route added": zone_without_store,
    "the store is down": store_down,
    "a VM is killed": vm_killed,
}
