"""Restarts background tasks of a process after unexpected errors.

::

    supervisor = Supervisor(on_give_up=leaving.set)
    supervisor.start("sweep", self._sweep)
    await supervisor.stop("sweep")

An error in one task must not stop a VM that serves callers. A task that fails again and again does
stop it, because a new process may work.
"""

import asyncio
import collections
from collections.abc import Callable, Coroutine

from dotterelfront import logs

RESTART_DELAY_S = 0.2
MAX_FAILURES = 10
FAILURE_WINDOW_S = 30.0
"""A task that fails more than ``MAX_FAILURES`` times within this time is given up."""


class Supervisor:
    """Runs background tasks; ``failures`` counts their errors by name."""

    def __init__(self, on_give_up: Callable[[], None]):
        self._on_give_up = on_give_up
        self._tasks: dict[str, asyncio.Task] = {}
        self.failures: collections.Counter[str] = collections.Counter()

    def start(self, name: str, run: Callable[[], Coroutine]) -> None:
        """Starts a task; ``run`` is called again after each error."""
        self._tasks[name] = asyncio.get_running_loop().create_task(self._run(name, run))

    async def stop(self, name: str) -> None:
        """Cancels a task and waits until it has ended."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.wait([task])

    async def _run(self, name: str, run: Callable[[], Coroutine]) -> None:
        failed_at: collections.deque[float] = collections.deque(maxlen=MAX_FAILURES + 1)
        while True:
            try:
                await run()
                return
            except Exception as exc:
                now = asyncio.get_running_loop().time()
                self.failures[name] += 1
                failed_at.append(now)
                logs.event("task failed", level="ERROR", task=name, error=repr(exc))
            if len(failed_at) > MAX_FAILURES and now - failed_at[0] < FAILURE_WINDOW_S:
                logs.event("task given up", level="ERROR", task=name, failures=len(failed_at))
                self._on_give_up()
                return
            await asyncio.sleep(RESTART_DELAY_S)
