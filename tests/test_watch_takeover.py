"""A zone whose watchers lose the store gets changes in time from the VMs that have it."""

import asyncio

from soak import play
from tests import test_notices

TRIALS = 3
WATCHERS = 2
ENTRY_BEFORE_S = 1.25
"""Time from a change that answers all watches until the store stops answering the watchers."""


async def _worst_time_s(env, trial):
    """Returns the longest time until a change is in force on a VM that the store answers."""
    watchers = [vm for vm in env.vms if vm.watches_store()]
    assert len(watchers) == WATCHERS
    env.servers[0].register(env.store)
    await asyncio.sleep(ENTRY_BEFORE_S)
    env.store.silent_hosts = {vm.store_host for vm in watchers}
    await asyncio.sleep(0.05)
    env.configure(f"/extra-{trial}/")
    others = [vm for vm in env.vms if vm not in watchers]
    path = f"/extra-{trial}/1"
    times_s = await asyncio.gather(
        *[test_notices.time_until_served_s(env, vm, path) for vm in others]
    )
    await asyncio.sleep(1.0)
    env.store.silent_hosts = set()
    await asyncio.sleep(3.0)
    return max(times_s)


def test_zone_with_silent_watchers_gets_a_change_in_time(tmp_path):
    """Guards against old routes that stay in force while the store answers other VMs."""

    async def scenario(env):
        await asyncio.sleep(play.SETTLE_S)
        return [await _worst_time_s(env, trial) for trial in range(TRIALS)]

    times_s = asyncio.run(play.run_with_fleet(14, tmp_path, scenario, zones="a"))
    assert max(times_s) < test_notices.MAX_APPLY_S, times_s
