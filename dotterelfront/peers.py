"""Request/reply calls between VMs over pynng REQ and REP sockets.

A ``Listener`` answers calls on one socket with a fixed number of worker threads. A ``Caller`` keeps
one connected socket per peer address::

    listener = Listener("10.0.0.1:7401", handler, workers=8, limit_bytes=1_000_000)
    caller = Caller(limit_bytes=1_000_000)
    reply = caller.call("10.0.0.1:7401", message, timeout_s=0.5)

The automatic resend of REQ sockets is off, so that a call reaches a peer at most once.
"""

import atexit
import collections
import functools
import os
import threading
import time
import weakref
from collections.abc import Callable, Iterable

import msgspec
import pynng

from dotterelfront import errors, messages, models

NEVER_RESEND_MS = -1
RECEIVE_TIMEOUT_MS = 250
"""Interval at which a worker checks whether the listener is closing. Cancelling the receive from
another thread instead crashed the process in 3 of 8 runs of 300 cycles of open, call and close."""
SEND_TIMEOUT_MS = 250
"""Timeout of a send. It covers making the first connection and writing earlier messages to the
peer."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 10_000
"""Limits of the reconnect delay. pynng doubles the delay after each attempt and waits a random part
of it."""
MAX_SOCKETS = 1_024
"""Room for all shard owners: about 850 of 1,600 VMs own the 1,200 shards. A TLS connection takes
70 to 90 KB and about 20 ms to set up, so evicting owners in use would cost more than it saves."""
MAX_CONCURRENT_DIALS = 8
"""Maximum number of first connections that one caller attempts at the same time."""
CLOSE_TIMEOUT_S = 1.0
CANCEL_INTERVAL_S = 0.01
"""Interval between cancellations of the calls in progress on a socket that is being closed."""
WINDOW_CALLS = 4096
MAX_SENDERS = 4096

_NOT_SENT_ERRORS = (
    pynng.Timeout,
    pynng.Canceled,
    pynng.Closed,
    pynng.NoMemory,
    pynng.BadState,
    pynng.InvalidOperation,
    pynng.NotSupported,
    pynng.MessageTooLarge,
    pynng.ConnectionRefused,
    pynng.AddressInvalid,
    pynng.DestinationUnreachable,
)
"""Send errors after which the peer cannot have received the message: it is still in the queue of
the REQ socket or was never added to it. A send completes when a connection takes the message, so
after any other error the message may have been sent and the call counts as lost."""


_open_resources: weakref.WeakSet = weakref.WeakSet()


@atexit.register
def _close_all() -> None:
    """Closes all listeners and callers before pynng's own exit handler runs.

    A thread that is still inside the library when that handler runs aborts the process, which then
    ends with a signal instead of a clean exit.
    """
    for resource in list(_open_resources):
        resource.close()


class TlsFiles(msgspec.Struct, frozen=True):
    """PEM files for mutual TLS: the fleet's CA, and this VM's certificate and key.

    The certificate must name the VM's IP address, which the other VMs verify (Mbed TLS 3.6 refuses
    a client that verifies no name). ``ca_file`` may hold several CAs. To replace a CA, add the new
    one to the file on all VMs, then replace the certificates, then remove the old CA. Restart each
    VM after each step.
    """

    ca_file: str
    cert_file: str
    key_file: str


def _tls_config(files: TlsFiles, mode, server_name: str | None = None) -> pynng.TLSConfig:
    ca, cert, key = _read_pem(files, _modification_times_ns(files))
    return pynng.TLSConfig(
        mode,
        server_name=server_name,
        ca_string=ca,
        own_key_string=key,
        own_cert_string=cert,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def _modification_times_ns(files: TlsFiles) -> tuple[int, ...]:
    return tuple(
        os.stat(path).st_mtime_ns for path in (files.ca_file, files.cert_file, files.key_file)
    )


@functools.lru_cache(maxsize=4)
def _read_pem(files: TlsFiles, mtimes_ns: tuple[int, ...]) -> tuple[str, str, str]:
    """Returns the CA, certificate and key.

    ``mtimes_ns`` is part of the cache key: the files are read again only after one of them changed.
    """
    with open(files.ca_file) as ca, open(files.cert_file) as cert, open(files.key_file) as key:
        return ca.read(), cert.read(), key.read()


def _scheme(files: TlsFiles | None) -> str:
    return "tls+tcp" if files else "tcp"


class _Context:
    """A REQ or REP context and its asynchronous operation; used by one thread at a time.

    Other threads may only call ``cancel``. A socket must not be closed while a thread is inside one
    of its contexts: the library then hangs or aborts the process.

    The class calls the library functions that pynng exposes, because ``pynng.Context`` has no
    timeouts of its own, allocates an operation for each step and loses the message of a send that
    fails.
    """

    def __init__(self, sock: pynng.Socket):
        lib, ffi = pynng.lib, pynng.ffi
        ctx, aio = ffi.new("nng_ctx *"), ffi.new("nng_aio **")
        pynng.check_err(lib.nng_ctx_open(ctx, sock.socket))
        pynng.check_err(lib.nng_aio_alloc(aio, ffi.NULL, ffi.NULL))
        self._ctx, self._aio = ctx[0], aio[0]
        self._lock = threading.Lock()
        self._closed = False

    def cancel(self) -> None:
        """Makes an operation in progress fail with ``pynng.Canceled``; does nothing without one."""
        with self._lock:
            if not self._closed:
                pynng.lib.nng_aio_cancel(self._aio)

    def send(self, raw: bytes, timeout_ms: int) -> None:
        """Sends one message; returns when a connection has taken it."""
        lib, aio = pynng.lib, self._aio
        msg = pynng.ffi.new("nng_msg **")
        pynng.check_err(lib.nng_msg_alloc(msg, len(raw)))
        pynng.ffi.memmove(lib.nng_msg_body(msg[0]), raw, len(raw))
        lib.nng_aio_set_timeout(aio, timeout_ms)
        lib.nng_aio_set_msg(aio, msg[0])
        lib.nng_ctx_send(self._ctx, aio)
        lib.nng_aio_wait(aio)
        if error := lib.nng_aio_result(aio):
            # After a failed send, this side owns the message only if the library returns it.
            if unsent_msg := lib.nng_aio_get_msg(aio):
                lib.nng_msg_free(unsent_msg)
            pynng.check_err(error)

    def receive(self, timeout_ms: int) -> bytes:
        """Returns the body of the next message."""
        lib, aio = pynng.lib, self._aio
        lib.nng_aio_set_timeout(aio, timeout_ms)
        lib.nng_ctx_recv(self._ctx, aio)
        lib.nng_aio_wait(aio)
        pynng.check_err(lib.nng_aio_result(aio))
        msg = lib.nng_aio_get_msg(aio)
        try:
            return bytes(pynng.ffi.buffer(lib.nng_msg_body(msg), lib.nng_msg_len(msg)))
        finally:
            lib.nng_msg_free(msg)

    def close(self) -> None:
        """Frees the context and the operation.

        This is not left to the garbage collector, because freeing them after the library has shut
        down aborts the process.
        """
        with self._lock:
            self._closed = True
        pynng.lib.nng_ctx_close(self._ctx)
        pynng.lib.nng_aio_free(self._aio)


class CallWindow:
    """Detects duplicate calls by the recent call ids of each sender incarnation.

    A call id that is ``WINDOW_CALLS`` or more below the highest one counts as a duplicate, because
    the window no longer covers it. Above ``max_senders`` sender incarnations, the least recently
    active one is removed.
    """

    def __init__(self, max_senders: int = MAX_SENDERS):
        self._max_senders = max_senders
        self._senders: collections.OrderedDict[tuple, tuple[int, int]] = collections.OrderedDict()

    def admit(self, sender: models.VmId, incarnation: models.Incarnation, call_id: int) -> bool:
        """Records the call and returns whether it is new."""
        key = (sender, incarnation)
        highest, seen_bits = self._senders.pop(key, (call_id, 0))
        if call_id > highest:
            shift = call_id - highest
            seen_bits = seen_bits << shift & _WINDOW_MASK if shift < WINDOW_CALLS else 0
            highest = call_id
        offset = highest - call_id
        admitted = offset < WINDOW_CALLS and not seen_bits >> offset & 1
        self._senders[key] = (highest, seen_bits | 1 << offset if admitted else seen_bits)
        if len(self._senders) > self._max_senders:
            self._senders.popitem(last=False)
        return admitted


_WINDOW_MASK = (1 << WINDOW_CALLS) - 1

Handler = Callable[[messages.Message], messages.Message]


class Listener:
    """Answers calls on ``address`` ("10.0.0.1:7401") with ``workers`` threads.

    ``counts`` holds the number of faults by reason, such as messages dropped without a reply and
    failed handlers. pynng itself drops a message above ``limit_bytes`` and closes its connection.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        workers: int,
        limit_bytes: int,
        tls: TlsFiles | None = None,
    ):
        self.address = address
        self._handler = handler
        self._limit_bytes = limit_bytes
        self._window = CallWindow()
        self._lock = threading.Lock()
        self._stopping = False
        self.counts: collections.Counter[str] = collections.Counter()
        self._sock = pynng.Rep0(recv_max_size=limit_bytes)
        if tls:
            self._sock.tls_config = _tls_config(tls, pynng.TLSConfig.MODE_SERVER)
        self._sock.listen(f"{_scheme(tls)}://{address}")
        _open_resources.add(self)
        self._threads = [
            threading.Thread(target=self._run_worker, name=f"peer-{address}-{index}", daemon=True)
            for index in range(workers)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops the workers and closes the socket.

        If a handler is still running after ``CLOSE_TIMEOUT_S``, only the address and the
        connections are closed, and the socket stays open until the process ends.
        """
        self._stopping = True
        for listener in list(self._sock.listeners):
            listener.close()
        if self._join(CLOSE_TIMEOUT_S):
            self._sock.close()
        else:
            self._count("left-open")
            for pipe in list(self._sock.pipes):
                pipe.close()

    def _join(self, timeout_s: float) -> bool:
        """Waits for the workers; returns whether all of them ended in time."""
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            if thread.is_alive():
                thread.join(max(0.0, deadline - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _run_worker(self) -> None:
        ctx = _Context(self._sock)
        try:
            while not self._stopping:
                self._serve_next(ctx)
        except pynng.Closed:
            return
        finally:
            ctx.close()

    def _serve_next(self, ctx: _Context) -> None:
        try:
            raw = ctx.receive(RECEIVE_TIMEOUT_MS)
        except pynng.Timeout:
            return
        try:
            reply = self.answer(raw)
            if reply is not None:
                ctx.send(self._encode(reply), SEND_TIMEOUT_MS)
        except pynng.Closed:
            raise
        except pynng.NNGException:
            self._count("reply-failed")

    def _encode(self, reply: messages.Message) -> bytes:
        raw = messages.encode(reply)
        if len(raw) <= self._limit_bytes:
            return raw
        # The caller's library closes a connection that delivers a message above the limit, which
        # would end all other calls on it.
        self._count("oversized-reply")
        return messages.encode(messages.Rejected(errors.MessageError.code, "reply too large"))

    def answer(self, raw: bytes) -> messages.Message | None:
        """Handles one raw message and returns the reply, or None if the message is dropped."""
        try:
            message = messages.decode(raw, self._limit_bytes)
        except errors.MessageError:
            self._count("malformed")
            return None
        if isinstance(message, messages.Call) and not self._admit(message):
            self._count("duplicate")
            return None
        try:
            return self._handler(message)
        except errors.DotterelfrontError as exc:
            return messages.Rejected(exc.code, str(exc))
        except Exception as exc:
            # An unexpected error in a handler must not end the worker. The caller treats the code
            # of the reply as an unknown outcome.
            self._count("handler-failed")
            return messages.Rejected(errors.DotterelfrontError.code, type(exc).__name__)

    def _admit(self, call: messages.Call) -> bool:
        with self._lock:
            return self._window.admit(call.sender, call.incarnation, call.call_id)

    def _count(self, reason: str) -> None:
        with self._lock:
            self.counts[reason] += 1


class _Peer:
    """The socket to one peer, with its contexts and connection state."""

    def __init__(self, sock: pynng.Req0, dialled_at: float):
        self.sock = sock
        self.in_use = 0
        self.retired = False
        self._dialled_at = dialled_at
        self._open_pipes = 0
        self._was_connected = False
        self._idle_contexts: collections.deque[_Context] = collections.deque()
        self._active_contexts: set[_Context] = set()
        self._lock = threading.Lock()
        sock.add_post_pipe_connect_cb(self._on_connect)
        sock.add_post_pipe_remove_cb(self._on_remove)

    @property
    def connected(self) -> bool:
        return self._open_pipes > 0

    def is_dialling(self, now: float) -> bool:
        """Returns whether the first connection may still be made within the send timeout."""
        within_timeout = now - self._dialled_at < SEND_TIMEOUT_MS / 1000
        return not self.connected and not self._was_connected and within_timeout

    def acquire_context(self) -> _Context:
        try:
            ctx = self._idle_contexts.pop()
        except IndexError:
            ctx = _Context(self.sock)
        with self._lock:
            self._active_contexts.add(ctx)
        return ctx

    def return_context(self, ctx: _Context) -> None:
        self._deactivate(ctx)
        self._idle_contexts.append(ctx)

    def close_context(self, ctx: _Context) -> None:
        """Closes a context whose call failed."""
        self._deactivate(ctx)
        ctx.close()

    def cancel(self) -> None:
        """Cancels the calls in progress."""
        with self._lock:
            active = list(self._active_contexts)
        for ctx in active:
            ctx.cancel()

    def _deactivate(self, ctx: _Context) -> None:
        with self._lock:
            self._active_contexts.discard(ctx)

    def close(self) -> None:
        while self._idle_contexts:
            self._idle_contexts.pop().close()
        self.sock.close()

    def _on_connect(self, pipe) -> None:
        self._open_pipes += 1
        self._was_connected = True

    def _on_remove(self, pipe) -> None:
        self._open_pipes -= 1


class Caller:
    """Calls peers over one socket per peer address, which is opened on first use.

    At most ``max_sockets`` are open; a new one replaces the least recently used idle socket.
    ``now`` returns monotonic time in seconds.
    """

    def __init__(
        self,
        limit_bytes: int,
        tls: TlsFiles | None = None,
        max_sockets: int = MAX_SOCKETS,
        now: Callable[[], float] = time.monotonic,
    ):
        self._limit_bytes = limit_bytes
        self._tls = tls
        self._max_sockets = max_sockets
        self._now = now
        self._peers: collections.OrderedDict[str, _Peer] = collections.OrderedDict()
        self._lock = threading.Lock()
        self._closed = False
        _open_resources.add(self)

    def call(self, address: str, message: messages.Message, timeout_s: float) -> messages.Message:
        """Sends one message and returns the reply.

        Raises ``errors.PeerNotSentError`` if the peer cannot have received the message and
        ``errors.PeerReplyLostError`` if it may have.
        """
        raw = messages.encode(message)
        if len(raw) > self._limit_bytes:
            raise errors.PeerLimitError(
                f"size limit exceeded by a message of {len(raw)} bytes to {address}"
            )
        if timeout_s <= 0:
            raise errors.PeerLimitError(f"deadline passed before the call to {address}")
        deadline = self._now() + timeout_s
        peer = self._acquire_peer(address)
        try:
            reply = self._exchange(peer, address, raw, deadline)
        finally:
            self._release_peer(peer)
        try:
            return messages.decode(reply, self._limit_bytes)
        except errors.MessageError as exc:
            raise errors.PeerReplyLostError(f"{address}: {exc}") from exc

    def retain(self, addresses: Iterable[str]) -> None:
        """Closes the sockets to all other addresses, each as soon as its calls have ended."""
        retained = set(addresses)
        with self._lock:
            retired = [
                self._retire(address) for address in list(self._peers) if address not in retained
            ]
        for peer in filter(None, retired):
            peer.close()

    def close(self) -> None:
        """Closes all sockets; calls in progress and later calls fail.

        A socket whose calls do not end within ``CLOSE_TIMEOUT_S`` stays open until the process
        ends.
        """
        with self._lock:
            self._closed = True
            closing = list(self._peers.values())
            self._peers.clear()
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        for peer in closing:
            while peer.in_use and time.monotonic() < deadline:
                peer.cancel()
                time.sleep(CANCEL_INTERVAL_S)
            if not peer.in_use:
                peer.close()

    def __len__(self) -> int:
        return len(self._peers)

    def _exchange(self, peer: _Peer, address: str, raw: bytes, deadline: float) -> bytes:
        try:
            ctx = peer.acquire_context()
        except pynng.NNGException as exc:
            raise errors.PeerNotSentError(f"{address}: {exc}") from exc
        try:
            ctx.send(raw, min(SEND_TIMEOUT_MS, self._remaining_ms(deadline)))
        except pynng.NNGException as exc:
            peer.close_context(ctx)
            error_type = (
                errors.PeerNotSentError
                if isinstance(exc, _NOT_SENT_ERRORS)
                else errors.PeerReplyLostError
            )
            raise error_type(f"{address}: {exc}") from exc
        try:
            reply = ctx.receive(self._remaining_ms(deadline))
        except pynng.NNGException as exc:
            peer.close_context(ctx)
            raise errors.PeerReplyLostError(f"{address}: {exc}") from exc
        peer.return_context(ctx)
        return reply

    def _remaining_ms(self, deadline: float) -> int:
        return max(1, int((deadline - self._now()) * 1000))

    def _acquire_peer(self, address: str) -> _Peer:
        evicted: list[_Peer] = []
        try:
            with self._lock:
                if self._closed:
                    raise errors.PeerNotSentError(f"{address}: the caller is closed")
                peer = self._peers.get(address) or self._dial_peer(address, evicted)
                if not peer.connected and not peer.is_dialling(self._now()):
                    raise errors.PeerNotSentError(f"{address} is not connected")
                self._peers.move_to_end(address)
                peer.in_use += 1
                return peer
        finally:
            for evicted_peer in evicted:
                evicted_peer.close()

    def _release_peer(self, peer: _Peer) -> None:
        with self._lock:
            peer.in_use -= 1
            closable = peer.retired and not peer.in_use
        if closable:
            peer.close()

    def _dial_peer(self, address: str, evicted: list[_Peer]) -> _Peer:
        now = self._now()
        if sum(peer.is_dialling(now) for peer in self._peers.values()) >= MAX_CONCURRENT_DIALS:
            raise errors.PeerLimitError(f"{address}: too many connection attempts in progress")
        if len(self._peers) >= self._max_sockets:
            idle_address = next(
                (name for name, peer in self._peers.items() if not peer.in_use), None
            )
            if idle_address is None:
                raise errors.PeerLimitError("all sockets are in use")
            evicted.append(self._retire(idle_address))
        peer = self._peers[address] = _Peer(self._make_socket(address), now)
        peer.sock.dial(f"{_scheme(self._tls)}://{address}", block=False)
        return peer

    def _retire(self, address: str) -> _Peer | None:
        """Removes a peer and returns it if it has no calls in progress.

        The returned peer must be closed outside the lock, because closing a socket takes time. A
        peer with calls in progress is closed when the last of them ends.
        """
        peer = self._peers.pop(address)
        peer.retired = True
        return None if peer.in_use else peer

    def _make_socket(self, address: str) -> pynng.Req0:
        sock = pynng.Req0(
            resend_time=NEVER_RESEND_MS,
            recv_max_size=self._limit_bytes,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if self._tls:
            host = address.rpartition(":")[0]
            sock.tls_config = _tls_config(self._tls, pynng.TLSConfig.MODE_CLIENT, host)
        return sock
