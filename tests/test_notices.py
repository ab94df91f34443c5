"""Notices between zones: the choice of receivers, and a zone whose watchers the store rejects."""

import asyncio
import random

from dotterelfront import models, notices
from soak import caller, play

MAX_APPLY_S = 2.0
"""Maximum time from the store's acknowledgement until a configuration is in force everywhere."""


def vm(name, zone):
    return models.Vm(models.VmId(name), f"{name}:7", models.ZoneName(zone), "r")


def test_one_vm_of_each_other_zone_gets_a_notice():
    """Guards against a number of notices that grows with the fleet."""
    vms = [vm(f"{zone}-{number}", zone) for zone in "abc" for number in range(20)]
    selected = notices.receivers(vms, "b", random.Random(1))
    assert [receiver.zone for receiver in selected] == ["a", "c"]


def test_fleet_of_one_zone_sends_no_notices():
    assert notices.receivers([vm("a-1", "a"), vm("a-2", "a")], "a", random.Random(1)) == []


async def time_until_served_s(env, vm, path):
    """Waits until a VM no longer responds to a path with 404; returns the time in seconds."""
    started, not_found = env.now, True
    while not_found:
        await asyncio.sleep(0.02)
        request = f"{vm.name}-{env.now}"
        result = await caller.call(vm, request, "safe", path, env.observations)
        not_found = result.status == 404
    return env.now - started


def test_zone_without_store_access_gets_a_change_in_time(tmp_path):
    """Guards against a zone that learns of a change only from the random pings of other zones."""

    async def scenario(env):
        await asyncio.sleep(play.SETTLE_S)
        isolated = [vm for vm in env.vms if vm.zone == "a"]
        env.store.silent_hosts = {vm.store_host for vm in isolated}
        await asyncio.sleep(0.2)
        env.configure("/extra/")
        return await asyncio.gather(*[time_until_served_s(env, vm, "/extra/1") for vm in isolated])

    durations_s = asyncio.run(play.run_with_fleet(1, tmp_path, scenario))
    assert max(durations_s) < MAX_APPLY_S
