"""Pushes to the VMs of a zone: paced, merged, and without delay for the watch of the store."""

import asyncio

import pytest
import virtual_time

from dotterelfront import fleet_messages, fleetmodel, follow, watch_role, zone_push

PEERS = 8
LARGE_BYTES = 1_000_000


class Zone:
    """A watcher's pushes to eight VMs; ``sent`` has their times, start revisions and sizes."""

    def __init__(self):
        self.sent = []
        self.values: dict[int, bytes] = {}
        self.push = zone_push.ZonePush(self._build, self._send)

    def _build(self, after):
        records = tuple(
            fleetmodel.Record("k", revision, value)
            for revision, value in self.values.items()
            if revision > after
        )
        self._after = after
        return fleet_messages.Push(after, fleetmodel.Changes(records, max(self.values)))

    def _send(self, raw, kind):
        self.sent.append((asyncio.get_running_loop().time(), self._after, len(raw)))
        return PEERS

    def change(self, revision, value):
        self.values[revision] = value
        self.push.request(revision - 1)


def run(scenario):
    zone = None

    async def play():
        nonlocal zone
        zone = Zone()
        task = asyncio.ensure_future(zone.push.run())
        await scenario(zone)
        task.cancel()

    virtual_time.run(play())
    return zone


def test_pushes_wait_for_the_link_and_are_merged():
    """Guards against pushes that queue up on a slow link."""
    large = bytes(range(256)) * (LARGE_BYTES // 256)

    async def scenario(zone):
        zone.change(6, large)
        await asyncio.sleep(0.01)
        for revision in (7, 8, 9):
            zone.change(revision, b"x")
            assert zone.push.missing_after == 6
        await asyncio.sleep(60.0)

    zone = run(scenario)
    assert [after for _, after, _ in zone.sent] == [5, 6]
    (first_at, _, size), (second_at, _, _) = zone.sent
    transmission_s = size * PEERS * 8 / zone_push.PUSH_BITS_PER_S
    assert second_at - first_at == pytest.approx(transmission_s, abs=0.01)
    assert zone.push.missing_after is None


class Client:
    """A store with a listing at revision 5 and one change per watch."""

    def __init__(self):
        self.watched_at = []

    async def list_all(self, prefix):
        return fleetmodel.Changes((), 5)

    async def watch(self, prefix, after, wait_s):
        self.watched_at.append(asyncio.get_running_loop().time())
        if len(self.watched_at) > 3:
            await asyncio.sleep(3600.0)
        record = fleetmodel.Record("k", after + 1, b"x")
        return fleetmodel.Changes((record,), after + 1)


def test_store_is_watched_during_a_push():
    """Guards against changes that are missed while an earlier change is sent to the zone."""

    async def scenario(zone):
        zone.change(5, bytes(LARGE_BYTES))
        client = Client()
        callbacks = follow.Callbacks(lambda keys: None, zone.push.request, lambda: None)
        role = watch_role.WatchRole("vm-1", -100.0)
        follower = follow.StoreFollower(client, follow.StoreState(0.0), role, callbacks)
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()
        zone.watched_at = client.watched_at

    zone = run(scenario)
    assert zone.watched_at[:3] == pytest.approx([0.0, 0.15, 0.3], abs=0.01)
