"""The record of a VM, and the evidence of the store's health that its lease gives a watcher."""

import asyncio
import random

import pytest
import virtual_time

from dotterelfront import errors, follow, registration, watch_role

HANGS = object()


class Client:
    """A store whose renewals return, raise or hang as ``steps`` say; then they succeed."""

    def __init__(self, *steps):
        self.steps, self.calls = list(steps), []

    async def lease(self, ttl_s):
        self.calls.append("lease")
        return len(self.calls)

    async def put(self, key, value, lease):
        self.calls.append(f"put {key}")

    async def revoke_lease(self, lease):
        self.calls.append("revoke")

    async def renew_lease(self, lease, timeout_s):
        self.calls.append("renew")
        step = self.steps.pop(0) if self.steps else True
        if step is HANGS:
            await asyncio.sleep(timeout_s)
            raise errors.StoreUnavailableError("no response")
        if isinstance(step, Exception):
            raise step
        return step


def run(*steps, seconds=3.0, watches=True):
    """Runs a registration; returns the client and the changes of what is announced."""
    changes = []

    async def scenario():
        client = Client(*steps)
        loop = asyncio.get_running_loop()
        state = follow.StoreState(loop.time())
        role = watch_role.WatchRole("vm-1", -100.0 if watches else 100.0)
        callbacks = registration.Callbacks(
            lambda: True,
            lambda: ("vms/vm-1", b"x"),
            lambda: changes.append((loop.time(), state.confirmed)),
        )
        subject = registration.Registration(client, state, role, callbacks, random.Random(1))
        task = asyncio.ensure_future(subject.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.wait([task])
        await subject.withdraw()
        return client

    return virtual_time.run(scenario()), changes


def test_record_is_written_once_and_its_lease_renewed():
    client, changes = run()
    assert client.calls[:2] == ["lease", "put vms/vm-1"]
    assert set(client.calls[2:-1]) == {"renew"}
    assert client.calls[-1] == "revoke"
    assert changes == [(0.0, True)]


def test_record_is_written_again_under_a_new_lease():
    """Guards against a VM that is missing in the store after its lease has expired."""
    client, _ = run(False)
    assert client.calls[2:5] == ["renew", "lease", "put vms/vm-1"]


@pytest.mark.parametrize(
    ("step", "announced_within_s"),
    [(errors.StoreUnavailableError("503"), 0.0), (HANGS, registration.LATE_RENEWAL_S)],
)
def test_watcher_without_the_store_is_announced_at_once(step, announced_within_s):
    """Guards against a zone that waits for a watcher that the store does not answer."""
    client, changes = run(step)
    (_, started), (lost_at, confirmed), *_, (_, is_back) = changes
    assert (started, confirmed, is_back) == (True, False, True)
    first_renewal_at = registration.WATCHER_RENEWAL_S * 1.1
    assert lost_at <= first_renewal_at + announced_within_s + 0.01


def test_vm_that_does_not_watch_announces_nothing():
    client, changes = run(errors.StoreUnavailableError("503"), watches=False, seconds=20.0)
    assert changes == []
    assert client.calls.count("renew") in (3, 4)
