"""Pushes changes to the VMs of the own zone, at the rate of a small VM's link.

::

    push = ZonePush(build, send)
    push.request(after=411)      # the zone lacks changes after revision 411
    push.missing_after           # 411 until they are sent
    await push.run()

While the link is busy with earlier pushes, requests are merged into one push with only the newest
record of each key. A burst of changes thus does not fill the link with outdated records, and the
caller never waits for the link.
"""

import asyncio
import math
from collections.abc import Callable

from dotterelfront import fleet_messages

PUSH_BITS_PER_S = 8e6
"""Rate limit of a VM's pushes; the smallest links carry 10 Mbit/s."""

Build = Callable[[int], fleet_messages.Message | None]
"""Returns the push with the changes after a revision, None if it is not known what changed."""
Send = Callable[[bytes, type], int]
"""Sends an encoded message of a type to the zone; returns the number of receivers."""


class ZonePush:
    """Pushes of one VM; ``run`` sends what ``request`` asks for."""

    def __init__(self, build: Build, send: Send):
        self._build = build
        self._send = send
        self.missing_after: int | None = None
        """Revision up to which the zone has all changes, None if nothing waits to be pushed."""
        self._link_free_at = -math.inf
        self._requested = asyncio.Event()

    def request(self, after: int) -> None:
        """Asks for a push of the changes after a revision."""
        if self.missing_after is None or after < self.missing_after:
            self.missing_after = after
        self._requested.set()

    async def run(self) -> None:
        """Sends the requested pushes until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._requested.wait()
            await asyncio.sleep(max(0.0, self._link_free_at - loop.time()))
            self._requested.clear()
            after, self.missing_after = self.missing_after, None
            message = self._build(after)
            if message is not None:
                raw = fleet_messages.encode(message)
                receivers = self._send(raw, type(message))
                self._link_free_at = loop.time() + len(raw) * receivers * 8 / PUSH_BITS_PER_S
