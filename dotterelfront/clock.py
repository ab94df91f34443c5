"""The clock of a process: seconds that only increase and also pass while the VM is suspended.

::

    with asyncio.Runner(loop_factory=clock.EventLoop) as runner:
        runner.run(main())

``time.monotonic`` stands still while a VM is suspended. A process that went by it would act after
its resumption on grants, heartbeats and deadlines that have run out meanwhile.
"""

import asyncio
import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns the time in seconds since the start of the machine."""
    return time.clock_gettime(_CLOCK_ID)


class EventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers go by ``now``."""

    def time(self) -> float:
        return now()
