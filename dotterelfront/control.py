"""The control channel: small messages between VMs on a dedicated socket.

Each task registers handlers for its message types and calls other VMs::

    channel = ControlChannel(vm, port=7402, tls=None)
    channel.register(messages.Heartbeat, lambda msg: messages.HeartbeatReply(...))
    channel.start()
    channel.call(other_vm, messages.Heartbeat(...), timeout_s=0.5)
"""

from collections.abc import Callable

from dotterelfront import errors, messages, models, peers

WORKERS = 8


class ControlChannel:
    """Listener and caller for control messages; ``port`` must be the same on all VMs."""

    def __init__(self, vm: models.Vm, port: int, tls: peers.TlsFiles | None):
        self._port = port
        self._handlers: dict[type, Callable[[messages.Message], messages.Message]] = {}
        self._caller = peers.Caller(messages.CONTROL_LIMIT_BYTES, tls)
        self._listener = peers.Listener(
            f"{vm.address}:{port}", self._handle, WORKERS, messages.CONTROL_LIMIT_BYTES, tls
        )

    def register(
        self, message_type: type, handler: Callable[[messages.Message], messages.Message]
    ) -> None:
        """Sets the handler for one message type; must be called before ``start``."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        self._listener.start()

    def call(self, vm: models.Vm, message: messages.Message, timeout_s: float) -> messages.Message:
        """Calls a VM and returns the reply; raises ``errors.PeerError`` if the call fails."""
        return self._caller.call(f"{vm.address}:{self._port}", message, timeout_s)

    def close(self) -> None:
        self._listener.close()
        self._caller.close()

    def _handle(self, message: messages.Message) -> messages.Message:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.MessageError(f"no handler for {type(message).__name__}")
        return handler(message)
