"""Budget of the response bytes that all connections of a VM buffer together.

::

    budget = ReadBudget(limit_bytes=25_000_000)
    budget.add(conn, 65_536)    # Room.FREE; after Room.FULL the connection pauses reading
    budget.free(conn)           # calls ``resume_reading`` of connections that wait for room

Responses are buffered whole, so responses without end could fill the memory of a VM. While the
budget is exhausted, one of the waiting connections at a time may continue, so that responses
complete and free their bytes. A connection that holds more than its share fails. The module does no
I/O.
"""

import collections
import enum
from typing import Protocol

MAX_SHARE = 0.25
"""Share of the budget that one response may hold while the budget is exhausted."""


class Room(enum.Enum):
    FREE = "free"
    FULL = "full"
    """The connection must pause until it is resumed."""
    EXCEEDED = "exceeded"
    """The connection holds more than its share and must fail."""


class Reader(Protocol):
    """A connection that reads a response."""

    def resume_reading(self) -> None: ...


class ReadBudget:
    """Counts the buffered bytes by connection."""

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._held: dict[Reader, int] = {}
        self._waiting: collections.OrderedDict[Reader, None] = collections.OrderedDict()
        self._preferred: Reader | None = None
        """The one connection that reads on although the budget is exhausted."""

    def add(self, reader: Reader, size: int) -> Room:
        """Counts bytes that a connection has read; returns whether it may read on."""
        held = self._held[reader] = self._held.get(reader, 0) + size
        self.used_bytes += size
        if self.used_bytes <= self.limit_bytes:
            return Room.FREE
        if held > MAX_SHARE * self.limit_bytes:
            return Room.EXCEEDED
        if self._preferred is None:
            self._preferred = reader
        if reader is self._preferred:
            return Room.FREE
        self._waiting[reader] = None
        return Room.FULL

    def free(self, reader: Reader) -> None:
        """Frees all bytes of a connection and resumes those for which there is room."""
        self.used_bytes -= self._held.pop(reader, 0)
        self._waiting.pop(reader, None)
        if reader is self._preferred:
            self._preferred = None
        while self._waiting and self.used_bytes <= self.limit_bytes:
            self._waiting.popitem(last=False)[0].resume_reading()
        if self._waiting and self._preferred is None:
            self._preferred = self._waiting.popitem(last=False)[0]
            self._preferred.resume_reading()
