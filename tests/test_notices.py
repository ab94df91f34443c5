"""Notices between zones: whom to tell, and a zone whose watchers are all turned away."""

import asyncio
import random

from dotterelfront import models, notices
from soak import caller, play

APPLY_S = 2.0
"""The users' bound between the store's acknowledgement and a configuration in force everywhere."""


def vm(name, zone):
    return models.Vm(models.VmId(name), f"{name}:7", models.ZoneName(zone), "r")


def test_one_vm_of_each_other_zone_is_told():
    """Guards against notices whose number grows with the fleet."""
    vms = [vm(f"{zone}-{number}", zone) for zone in "abc" for number in range(20)]
    found = notices.receivers(vms, "b", random.Random(1))
    assert [found_vm.zone for found_vm in found] == ["a", "c"]


def test_a_fleet_of_one_zone_tells_nobody():
    assert notices.receivers([vm("a-1", "a"), vm("a-2", "a")], "a", random.Random(1)) == []


async def _time_to_serve(world, vm, path):
    """Waits until a VM no longer denies a path; returns the time in seconds."""
    started, denied = world.now, True
    while denied:
        await asyncio.sleep(0.02)
        request = f"{vm.name}-{world.now}"
        result = await caller.call(vm, request, "safe", path, world.seen)
        denied = result.status == 404
    return world.now - started


def test_a_zone_that_the_store_turns_away_has_a_change_in_time(tmp_path):
    """Guards against a zone that learns of a change only by the chance of other zones' pings."""

    async def scenario(world):
        await asyncio.sleep(play.SETTLE_S)
        cut_off = [vm for vm in world.vms if vm.zone == "a"]
        world.store.silent = {vm.store_host for vm in cut_off}
        await asyncio.sleep(0.2)
        world.configure("/extra/")
        return await asyncio.gather(*[_time_to_serve(world, vm, "/extra/1") for vm in cut_off])

    took_s = asyncio.run(play.with_fleet(1, tmp_path, scenario))
    assert max(took_s) < APPLY_S
