"""Messages between VMs over pynng: one PULL socket receives, one PUSH socket per peer sends.

::

    mesh = Mesh("10.0.0.1:7620", on_message)
    mesh.send("10.0.0.2:7620", message)     # never blocks; False when it cannot be queued
    await mesh.run()

Messages may be lost, and may arrive late after a reconnect. Senders wait for replies with a
timeout, and ``reset`` drops the connection to a peer that does not reply.
"""

import asyncio
import collections
from collections.abc import Callable

import pynng

from dotterelfront import errors, fleet_messages, logs

BUFFER_MESSAGES = 256
"""Messages per socket that may wait to be sent or received."""
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
"""Bounds of the delay between connection attempts; a restarted VM is reached within a second."""
RECEIVE_PAUSE_S = 0.05
"""Pause after an error of the listening socket, which may occur again at once."""
MAX_PEERS = 512
"""Maximum number of open sockets to peers; the least recently used one is closed first."""


class Mesh:
    """Sockets of one VM. All calls must come from its event loop."""

    def __init__(self, address: str, on_message: Callable[[fleet_messages.AnyMessage], None]):
        self._address = address
        self._on_message = on_message
        self._peers: collections.OrderedDict[str, pynng.Push0] = collections.OrderedDict()
        self._listener: pynng.Pull0 | None = None
        self.counters: collections.Counter[str] = collections.Counter()
        self.messages: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        """Messages and their bytes by direction and kind, such as ``"sent Ping"``."""

    def listen(self) -> None:
        """Opens the listening socket; raises ``errors.PeerError``."""
        self._listener = pynng.Pull0(
            recv_max_size=fleet_messages.MAX_MESSAGE_BYTES, recv_buffer_size=BUFFER_MESSAGES
        )
        try:
            self._listener.listen(f"tcp://{self._address}")
        except pynng.NNGException as exc:
            raise errors.PeerError(f"{self._address}: {exc}") from exc

    async def run(self) -> None:
        """Receives messages and passes them to ``on_message`` until the socket closes."""
        while True:
            try:
                raw = await self._listener.arecv()
            except pynng.Closed:
                return
            except pynng.NNGException as exc:
                logs.event("receiving a message failed", level="WARNING", error=str(exc))
                await asyncio.sleep(RECEIVE_PAUSE_S)
                continue
            self._receive(raw)

    def send(self, address: str, message: fleet_messages.Message) -> bool:
        """Queues a message; returns whether there was room for it."""
        return self.send_encoded(address, fleet_messages.encode(message), type(message))

    def send_encoded(self, address: str, raw: bytes, kind: type) -> bool:
        """Queues an encoded message, so that a message to several peers is encoded only once."""
        try:
            self._peer(address).send(raw, block=False)
        except pynng.NNGException:
            self.counters["not sent"] += 1
            return False
        self._count("sent", kind, raw)
        return True

    def reset(self, address: str) -> None:
        """Drops the connection to a peer that does not reply; the next message opens a new one."""
        sock = self._peers.pop(address, None)
        if sock is not None:
            self.counters["reset"] += 1
            sock.close()

    def close(self) -> None:
        for address in list(self._peers):
            self.reset(address)
        if self._listener is not None:
            self._listener.close()

    def _peer(self, address: str) -> pynng.Push0:
        sock = self._peers.get(address)
        if sock is None:
            while len(self._peers) >= MAX_PEERS:
                self.reset(next(iter(self._peers)))
            sock = self._peers[address] = pynng.Push0(
                send_buffer_size=BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            sock.dial(f"tcp://{address}", block=False)
        self._peers.move_to_end(address)
        return sock

    def _count(self, direction: str, kind: type, raw: bytes) -> None:
        self.counters[direction] += 1
        label = f"{direction} {kind.__name__}"
        self.messages[label] += 1
        self.bytes[label] += len(raw)

    def _receive(self, raw: bytes) -> None:
        try:
            message = fleet_messages.decode(raw)
        except errors.MessageError:
            self.counters["malformed"] += 1
            return
        self._count("received", type(message), raw)
        try:
            self._on_message(message)
        except Exception as exc:
            # A failure to handle one message must not end the task that receives messages.
            self.counters["failed"] += 1
            logs.event(
                "handling a message failed",
                level="ERROR",
                kind=type(message).__name__,
                error=repr(exc),
            )
