"""What backend servers say in their responses about further requests from this VM.

A server that leaves says so in all its responses. A server that turns a request away may ask this
VM to send nothing for a while::

    signals = ServerSignals()
    signals.on_leaving(instance)
    signals.on_pause(instance, duration_s=2.5, now=7.0)
    signals.block(instance, now=8.0)               # Block.LEAVING
    signals.pool_pause_s(instances, now=8.0)       # None while some server may get requests

Both hold for one start of a server: a later start of it, or another server at its address, has said
nothing yet. Leaving never ends by time alone. The module does no I/O, and the caller passes the
time of a clock that is never set.
"""

import collections
import enum
from collections.abc import Iterable

import msgspec

from dotterelfront import fleetmodel, models

MAX_PAUSE_S = 86_400.0
"""Longer pauses are shortened to a day; within that time a VM or the server is replaced."""
MAX_SERVERS = 50_000
"""Limit of the servers that are remembered, three times those of the largest fleet. The ones that
said something longest ago are forgotten first."""


class Block(enum.Enum):
    """Why a server gets no requests from this VM."""

    LEAVING = "leaving"
    PAUSED = "paused"


class _Signal(msgspec.Struct):
    """``started_ms`` identifies the start of the server; ``paused_until`` is 0 without a pause."""

    started_ms: int
    leaving: bool = False
    paused_until: float = 0.0


class ServerSignals:
    """Signals of the servers that answered one VM."""

    def __init__(self):
        self._signals: collections.OrderedDict[models.ServerId, _Signal] = collections.OrderedDict()
        self.counters: collections.Counter[str] = collections.Counter()
        """Signals by kind, and sends that were withheld by reason."""

    def on_leaving(self, server: fleetmodel.Instance) -> bool:
        """Records that a server leaves; returns whether this was not known."""
        signal = self._signal(server)
        if signal is None or signal.leaving:
            return False
        signal.leaving = True
        self.counters["leaving"] += 1
        return True

    def on_pause(self, server: fleetmodel.Instance, duration_s: float, now: float) -> None:
        """Records that a server wants no requests for a time; an earlier longer one still holds."""
        signal = self._signal(server)
        if signal is not None:
            until = now + min(duration_s, MAX_PAUSE_S)
            signal.paused_until = max(signal.paused_until, until)
            self.counters["pause"] += 1

    def block(self, server: fleetmodel.Instance, now: float) -> Block | None:
        """Returns why a server gets no requests now, None if it may get them."""
        signal = self._signals.get(server.id)
        if signal is None or signal.started_ms < server.started_ms:
            return None
        if signal.leaving:
            return Block.LEAVING
        return Block.PAUSED if now < signal.paused_until else None

    def blocked(
        self, servers: Iterable[fleetmodel.Instance], now: float
    ) -> tuple[models.ServerId, ...]:
        """Returns the ids of those servers that get no requests now."""
        if not self._signals:
            return ()
        return tuple(server.id for server in servers if self.block(server, now) is not None)

    def pool_pause_s(self, servers: Iterable[fleetmodel.Instance], now: float) -> float | None:
        """Returns the time until the first server of a pool may get requests again.

        It is None if a server may get them now, or if none will after a pause.
        """
        ends = []
        for server in servers:
            if server.state is not models.ServerState.ACTIVE:
                continue
            block = self.block(server, now)
            if block is None:
                return None
            if block is Block.PAUSED:
                ends.append(self._signals[server.id].paused_until)
        return min(ends) - now if ends else None

    def _signal(self, server: fleetmodel.Instance) -> _Signal | None:
        """Returns the signal of a start of a server, None if a later start is known."""
        signal = self._signals.get(server.id)
        if signal is not None and signal.started_ms > server.started_ms:
            return None
        if signal is None or signal.started_ms < server.started_ms:
            signal = self._signals[server.id] = _Signal(server.started_ms)
        self._signals.move_to_end(server.id)
        while len(self._signals) > MAX_SERVERS:
            self._signals.popitem(last=False)
        return signal
