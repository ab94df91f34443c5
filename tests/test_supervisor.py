"""Background tasks that fail."""

import asyncio

import pytest

from dotterelfront import supervisor


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    monkeypatch.setattr(supervisor, "RESTART_DELAY_S", 0.0)


def run_task(steps, given_up):
    """Runs a task that raises the steps in turn and then ends."""

    async def scenario():
        subject = supervisor.Supervisor(lambda: given_up.append(True))
        ended = asyncio.Event()

        async def run():
            if steps:
                raise steps.pop(0)
            ended.set()

        subject.start("sweep", run)
        for _ in range(50):
            await asyncio.sleep(0)
        return subject.failures, ended.is_set()

    return asyncio.run(scenario())


def test_a_failed_task_is_started_again():
    """Guards against one unexpected error that stops a VM."""
    given_up = []
    failures, ended = run_task([KeyError("x"), ValueError("y")], given_up)
    assert (failures, ended, given_up) == ({"sweep": 2}, True, [])


def test_a_task_that_keeps_failing_stops_the_process():
    given_up = []
    failures, ended = run_task([KeyError("x")] * 99, given_up)
    assert failures == {"sweep": supervisor.MAX_FAILURES + 1}
    assert (ended, given_up) == (False, [True])


def test_a_stopped_task_has_ended():
    """Guards against a task that writes a record after the record was deleted."""

    async def scenario():
        subject, log = supervisor.Supervisor(lambda: None), []

        async def run():
            try:
                await asyncio.Event().wait()
            finally:
                log.append("ended")

        subject.start("renew", run)
        await asyncio.sleep(0)
        await subject.stop("renew")
        assert log == ["ended"]

    asyncio.run(scenario())
