"""Shutdown of a VM: everything that it has read is answered before the process ends."""

import asyncio
import base64
import json
import signal

import pytest
import virtual_time

from dotterelfront import errors, fleet_messages, models, shutdown, slot_client
from soak import caller, play

VM = models.Vm(models.VmId("me"), "me:1", models.ZoneName("a"), "r")


def test_times_leave_room_for_the_work_of_servers():
    """Guards against a shutdown that passes requests on shortly before it cuts them off."""
    times = shutdown.times(now=7.0, grace_s=6.0)
    assert times.accept_until < times.send_until < times.close_listener_at < times.stop_at < 13.0
    assert times.stop_at - times.send_until >= (times.stop_at - times.accept_until) / 2


def test_a_short_grace_keeps_the_order_of_the_times():
    times = shutdown.times(now=0.0, grace_s=2.0)
    assert times.accept_until <= times.send_until <= times.close_listener_at < times.stop_at


class QueueingOwner:
    """Slot client of a VM whose owner queues every request."""

    def __init__(self):
        self.released = 0
        topology = slot_client.Topology(lambda pool: ["a"], lambda *key: [VM], lambda vm: None)
        self.client = slot_client.SlotClient(VM, self.send, topology)

    def send(self, owner, message):
        if isinstance(message, fleet_messages.SlotRequest):
            self.client.on_reply(fleet_messages.SlotWaiting(message.call_id))
        else:
            self.released += 1
        return True

    async def acquire(self, deadline):
        """Returns the time at which the wait for a slot ended, and the error."""
        requirements = slot_client.SlotRequirements(
            "refunds", "r", models.Priority.NORMAL, False, deadline
        )
        with pytest.raises(errors.OverloadedError) as caught:
            await self.client.acquire(requirements)
        return asyncio.get_running_loop().time(), caught.value


def test_a_shutdown_ends_waits_for_a_slot_with_an_answer():
    """Guards against connections that are closed without an answer while requests are queued."""

    async def scenario():
        owner = QueueingOwner()
        waiting = [asyncio.ensure_future(owner.acquire(deadline)) for deadline in (4.0, 9.0)]
        await asyncio.sleep(1.0)
        owner.client.end_waits(5.0)
        ended = await asyncio.gather(*waiting)
        ended.append(await owner.acquire(deadline=9.0))
        return owner, ended

    owner, ended = virtual_time.run(scenario())
    times = [time for time, _ in ended]
    assert times == pytest.approx([4.0, 5.0, 5.0], abs=0.01)
    assert [exc.retry_after_s for _, exc in ended] == [0.5, 0.1, 0.1]
    assert all(exc.outcome is models.Outcome.NOT_RUN for _, exc in ended)
    assert owner.released > 0


def test_a_wait_that_ends_at_the_same_moment_does_not_break_the_shutdown():
    """Guards against a shutdown that an expiring wait interrupts before requests are answered."""

    async def scenario():
        owner = QueueingOwner()
        waiting = asyncio.ensure_future(owner.acquire(4.0))
        loop = asyncio.get_running_loop()
        ended = loop.create_future()

        def end_waits():
            owner.client.end_waits(5.0)
            ended.set_result(None)

        await asyncio.sleep(1.0)
        # Runs in the same turn of the loop as the timer of the wait, and after it.
        loop.call_at(4.0 + 1e-10, end_waits)
        await ended
        return await waiting

    time, exc = virtual_time.run(scenario())
    assert (time, exc.retry_after_s) == (pytest.approx(4.0, abs=0.01), 0.5)


def _lengthen_timeouts(env):
    """Writes a configuration whose requests may wait longer than a shutdown takes."""
    config = json.loads(base64.b64decode(env.store.items["op/config"]["value"]))
    config["version"] = "r1000"
    for route in config["routes"].values():
        route["timeout"] = "9000ms"
    env.store.put("op/config", json.dumps(config).encode())


def test_a_stopped_vm_answers_requests_that_wait_for_a_slot(tmp_path, monkeypatch):
    """Guards against orders that a stopped VM cuts off although they have not run."""
    monkeypatch.setattr(caller, "DEADLINE_S", 9.0)

    async def scenario(env):
        _lengthen_timeouts(env)
        for server in env.servers:
            server.fault, server.share = "hang", 1.0
        await asyncio.sleep(2.0)
        env.vms[0].send(signal.SIGTERM)
        await asyncio.sleep(1.0)
        calls = [
            caller.call(env.vms[0], f"id-{number}", "unsafe", "/orders/1", env.observations)
            for number in range(40)
        ]
        await asyncio.gather(*calls)
        return env.observations

    observations = asyncio.run(play.run_with_fleet(13, tmp_path, scenario))
    not_run = [
        result
        for request_id, result in observations.results.items()
        if not observations.runs[request_id]
    ]
    assert len(not_run) > 10
    assert {result.status for result in not_run} == {503}
