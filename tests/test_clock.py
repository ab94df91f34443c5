"""The clock of a process, which also passes while the VM is suspended."""

import asyncio
import time

from dotterelfront import clock


def test_the_event_loop_goes_by_the_clock(monkeypatch):
    """Guards against timers and deadlines that do not notice that the VM was suspended."""

    async def scenario():
        loop = asyncio.get_running_loop()
        assert abs(loop.time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 1.0
        resumed_at = clock.now() + 5.0
        waiting = asyncio.ensure_future(asyncio.sleep(4.0))
        await asyncio.sleep(0)
        monkeypatch.setattr(clock, "now", lambda: resumed_at)
        async with asyncio.timeout(1000.0):
            await waiting

    started = time.monotonic()
    with asyncio.Runner(loop_factory=clock.EventLoop) as runner:
        runner.run(scenario())
    assert time.monotonic() - started < 3.0
