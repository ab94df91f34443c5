"""Phases of the demo on the platform's stand-in; each phase ends the fault that it injects."""

import asyncio
import signal

from soak import caller, play

DEADLINE_S = caller.DEADLINE_S
PHASE_S = 3.0
RESTART_S = 2.0
"""Time within which a killed VM is restarted and serves requests."""


async def no_fault(env: play.Environment) -> None:
    await asyncio.sleep(play.SETTLE_S)


async def gray_server(env: play.Environment) -> None:
    """One server fails all its requests, but its record in the store shows no fault."""
    server = env.servers[0]
    server.fault, server.share = "errors", 1.0
    await asyncio.sleep(PHASE_S)
    server.fault, server.share = "", 0.0


async def zone_without_store(env: play.Environment) -> None:
    """The VMs of one zone get no response from the store, while a route is added."""
    env.store.silent_hosts = {vm.store_host for vm in env.vms if vm.zone == "a"}
    env.configure("/added/")
    await asyncio.sleep(PHASE_S)
    env.store.silent_hosts = set()


async def store_down(env: play.Environment) -> None:
    since = env.now
    env.store.down = True
    await asyncio.sleep(PHASE_S)
    env.store.down = False
    env.record_fault_window(since)


async def vm_killed(env: play.Environment) -> None:
    since = env.now
    env.vms[0].send(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    env.record_fault_window(since)


PHASES = {
    "calm": no_fault,
    "a server fails all it gets": gray_server,
    "a zone is turned away, route added": zone_without_store,
    "the store is down": store_down,
    "a VM is killed": vm_killed,
}
