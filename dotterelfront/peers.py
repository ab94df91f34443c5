"""Calls between VMs over pynng REQ/REP.

A ``Listener`` answers calls on one socket with a fixed number of worker threads; a ``Caller`` holds
one dialled socket per peer address::

    listener = Listener("10.0.0.1:7401", handler, workers=8, limit_bytes=1_000_000)
    caller = Caller(limit_bytes=1_000_000)
    reply = caller.call("10.0.0.1:7401", message, timeout_s=0.5)

REQ's automatic resend is off, so a call reaches a peer at most once.
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
RECEIVE_MS = 250
"""Workers look this often whether the listener closes. Cancelling their receives from another
thread crashed the process in 3 of 8 runs of 300 cycles of open, call and close."""
SEND_TIMEOUT_MS = 250
"""Time for a first connection and for other messages to the peer to be written."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 10_000
"""pynng waits a random part of a doubling back-off between these limits."""
MAX_SOCKETS = 1_024
"""The owners of 1,200 shards are about 850 of 1,600 VMs. A connection with TLS takes 70 to
90 KB and about 20 ms to make, so evicting owners in use would cost more than it saves."""
MAX_DIALS = 8
"""New connections that one caller attempts at once."""
CLOSE_TIMEOUT_S = 1.0
CANCEL_AGAIN_S = 0.01
"""Operations are cancelled this often while a socket waits for its threads to end."""
WINDOW_CALLS = 4096
MAX_SENDERS = 4096

_NOT_SENT = (
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
"""Errors of a send after which the message is still in REQ's own queue, or never got there. A send
completes when a connection takes the message; any other error counts as lost."""


_open: weakref.WeakSet = weakref.WeakSet()


@atexit.register
def _close_all() -> None:
    """Runs before pynng's own exit handler; a thread then still in the library aborts the process,
    which turns a clean exit into a signal."""
    for item in list(_open):
        item.close()


class TlsFiles(msgspec.Struct, frozen=True):
    """PEM files for mutual TLS: the fleet's CA, and this VM's certificate and key.

    The certificate must name the VM's IP address, which the other VMs check (Mbed TLS 3.6 refuses
    a client that checks no name). ``ca_file`` may hold several CAs. To replace a CA, add the new
    one to the file on all VMs, then replace the certificates, then remove the old CA; restart each
    VM after each step.
    """

    ca_file: str
    cert_file: str
    key_file: str


def _tls_config(files: TlsFiles, mode, server_name: str | None = None) -> pynng.TLSConfig:
    ca, cert, key = _read_pem(files, _modified(files))
    return pynng.TLSConfig(
        mode,
        server_name=server_name,
        ca_string=ca,
        own_key_string=key,
        own_cert_string=cert,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def _modified(files: TlsFiles) -> tuple[int, ...]:
    return tuple(
        os.stat(path).st_mtime_ns for path in (files.ca_file, files.cert_file, files.key_file)
    )


@functools.lru_cache(maxsize=4)
def _read_pem(files: TlsFiles, modified: tuple[int, ...]) -> tuple[str, str, str]:
    """Reads CA, certificate and key; again only after one of the files changed."""
    with open(files.ca_file) as ca, open(files.cert_file) as cert, open(files.key_file) as key:
        return ca.read(), cert.read(), key.read()


def _scheme(files: TlsFiles | None) -> str:
    return "tls+tcp" if files else "tcp"


class _Context:
    """A REQ or REP context and its asynchronous operation, for one thread at a time.

    Another thread may only call ``cancel``. A socket must not close while a thread is inside one of
    its contexts: the library then hangs or aborts the process.

    ``pynng.Context`` has no timeouts of its own, allocates an operation for each step and loses the
    message of a send that fails, so this calls the library functions that pynng exposes.
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
        """Ends an operation in progress with ``pynng.Canceled``; changes nothing without one."""
        with self._lock:
            if not self._closed:
                pynng.lib.nng_aio_cancel(self._aio)

    def send(self, raw: bytes, timeout_ms: int) -> None:
        """Hands one message to a connection."""
        lib, aio = pynng.lib, self._aio
        msg = pynng.ffi.new("nng_msg **")
        pynng.check_err(lib.nng_msg_alloc(msg, len(raw)))
        pynng.ffi.memmove(lib.nng_msg_body(msg[0]), raw, len(raw))
        lib.nng_aio_set_timeout(aio, timeout_ms)
        lib.nng_aio_set_msg(aio, msg[0])
        lib.nng_ctx_send(self._ctx, aio)
        lib.nng_aio_wait(aio)
        if error := lib.nng_aio_result(aio):
            # Only a message that the library handed back is ours to free.
            if left := lib.nng_aio_get_msg(aio):
                lib.nng_msg_free(left)
            pynng.check_err(error)

    def receive(self, timeout_ms: int) -> bytes:
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
        """Frees both. Freeing after the library has shut down aborts the process, so this is not
        left to the garbage collector."""
        with self._lock:
            self._closed = True
        pynng.lib.nng_ctx_close(self._ctx)
        pynng.lib.nng_aio_free(self._aio)


class CallWindow:
    """Remembers the recent call ids of each sender incarnation.

    A call id more than ``WINDOW_CALLS`` below the highest one counts as a duplicate, as it can no
    longer be told apart. The senders heard from longest ago are forgotten first.
    """

    def __init__(self, max_senders: int = MAX_SENDERS):
        self._max_senders = max_senders
        self._senders: collections.OrderedDict[tuple, tuple[int, int]] = collections.OrderedDict()

    def admit(self, sender: models.VmId, incarnation: models.Incarnation, call_id: int) -> bool:
        """Whether the call is new; it is remembered."""
        key = (sender, incarnation)
        highest, seen = self._senders.pop(key, (call_id, 0))
        if call_id > highest:
            shift = call_id - highest
            seen = seen << shift & _WINDOW_MASK if shift < WINDOW_CALLS else 0
            highest = call_id
        behind = highest - call_id
        admitted = behind < WINDOW_CALLS and not seen >> behind & 1
        self._senders[key] = (highest, seen | 1 << behind if admitted else seen)
        if len(self._senders) > self._max_senders:
            self._senders.popitem(last=False)
        return admitted


_WINDOW_MASK = (1 << WINDOW_CALLS) - 1

Handler = Callable[[messages.Message], messages.Message]


class Listener:
    """Answers calls on ``address`` ("10.0.0.1:7401") with ``workers`` threads.

    ``counts`` holds the messages dropped without a reply by reason, and failed handlers. pynng
    itself drops a message above ``limit_bytes`` and closes its connection.
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
        _open.add(self)
        self._threads = [
            threading.Thread(target=self._work, name=f"peer-{address}-{index}", daemon=True)
            for index in range(workers)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Waits for the workers, but not long for a handler in progress, and closes the socket.

        With a handler still in progress the address and the connections are given up, and the
        socket is left to the end of the process.
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
        """Waits for the workers; false when one has not ended in time."""
        end = time.monotonic() + timeout_s
        for thread in self._threads:
            if thread.is_alive():
                thread.join(max(0.0, end - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _work(self) -> None:
        ctx = _Context(self._sock)
        try:
            while not self._stopping:
                self._answer_one(ctx)
        except pynng.Closed:
            return
        finally:
            ctx.close()

    def _answer_one(self, ctx: _Context) -> None:
        try:
            raw = ctx.receive(RECEIVE_MS)
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
        # The caller's library would close the connection, and with it all its other calls.
        self._count("oversized-reply")
        return messages.encode(messages.Rejected(errors.MessageError.code, "reply too large"))

    def answer(self, raw: bytes) -> messages.Message | None:
        """Handles one raw message; None when it is dropped."""
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
            # A fault in a handler must not end the worker; the caller learns that it is unknown.
            self._count("handler-failed")
            return messages.Rejected(errors.DotterelfrontError.code, type(exc).__name__)

    def _admit(self, call: messages.Call) -> bool:
        with self._lock:
            return self._window.admit(call.sender, call.incarnation, call.call_id)

    def _count(self, reason: str) -> None:
        with self._lock:
            self.counts[reason] += 1


class _Peer:
    """The socket to one peer, its idle exchanges and whether it is connected."""

    def __init__(self, sock: pynng.Req0, dialled: float):
        self.sock = sock
        self.in_use = 0
        self.retired = False
        self._dialled = dialled
        self._pipes = 0
        self._was_connected = False
        self._idle: collections.deque[_Context] = collections.deque()
        self._active: set[_Context] = set()
        self._lock = threading.Lock()
        sock.add_post_pipe_connect_cb(self._on_connect)
        sock.add_post_pipe_remove_cb(self._on_remove)

    @property
    def connected(self) -> bool:
        return self._pipes > 0

    def dialling(self, now: float) -> bool:
        """Whether the first connection may still come about within the send timeout."""
        fresh = now - self._dialled < SEND_TIMEOUT_MS / 1000
        return not self.connected and not self._was_connected and fresh

    def take(self) -> _Context:
        try:
            exchange = self._idle.pop()
        except IndexError:
            exchange = _Context(self.sock)
        with self._lock:
            self._active.add(exchange)
        return exchange

    def give_back(self, exchange: _Context) -> None:
        self._forget(exchange)
        self._idle.append(exchange)

    def drop(self, exchange: _Context) -> None:
        """Closes an exchange that failed."""
        self._forget(exchange)
        exchange.close()

    def cancel(self) -> None:
        """Ends the calls in progress."""
        with self._lock:
            active = list(self._active)
        for exchange in active:
            exchange.cancel()

    def _forget(self, exchange: _Context) -> None:
        with self._lock:
            self._active.discard(exchange)

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()
        self.sock.close()

    def _on_connect(self, pipe) -> None:
        self._pipes += 1
        self._was_connected = True

    def _on_remove(self, pipe) -> None:
        self._pipes -= 1


class Caller:
    """Calls peers; one socket per peer address, made on first use.

    At most ``max_sockets`` are open; the one unused for longest makes room. ``now`` is monotonic.
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
        _open.add(self)

    def call(self, address: str, message: messages.Message, timeout_s: float) -> messages.Message:
        """Sends one message and returns the reply.

        Raises ``errors.PeerNotSentError`` when the peer cannot have got it and
        ``errors.PeerLostError`` when it may have.
        """
        raw = messages.encode(message)
        if len(raw) > self._limit_bytes:
            raise errors.PeerLimitError(f"message of {len(raw)} bytes to {address}")
        if timeout_s <= 0:
            raise errors.PeerLimitError(f"no time left to call {address}")
        end = self._now() + timeout_s
        peer = self._acquire(address)
        try:
            reply = self._exchange(peer, address, raw, end)
        finally:
            self._release(peer)
        try:
            return messages.decode(reply, self._limit_bytes)
        except errors.MessageError as exc:
            raise errors.PeerLostError(f"{address}: {exc}") from exc

    def retain(self, addresses: Iterable[str]) -> None:
        """Closes the sockets to all other addresses, as soon as their calls have ended."""
        keep = set(addresses)
        with self._lock:
            gone = [self._retire(address) for address in list(self._peers) if address not in keep]
        for peer in filter(None, gone):
            peer.close()

    def close(self) -> None:
        """Closes all sockets; calls in progress fail, and so do later ones.

        A socket whose call does not end soon is left to the end of the process.
        """
        with self._lock:
            self._closed = True
            closing = list(self._peers.values())
            self._peers.clear()
        end = time.monotonic() + CLOSE_TIMEOUT_S
        for peer in closing:
            while peer.in_use and time.monotonic() < end:
                peer.cancel()
                time.sleep(CANCEL_AGAIN_S)
            if not peer.in_use:
                peer.close()

    def __len__(self) -> int:
        return len(self._peers)

    def _exchange(self, peer: _Peer, address: str, raw: bytes, end: float) -> bytes:
        try:
            exchange = peer.take()
        except pynng.NNGException as exc:
            raise errors.PeerNotSentError(f"{address}: {exc}") from exc
        try:
            exchange.send(raw, min(SEND_TIMEOUT_MS, self._remaining_ms(end)))
        except pynng.NNGException as exc:
            peer.drop(exchange)
            kind = errors.PeerNotSentError if isinstance(exc, _NOT_SENT) else errors.PeerLostError
            raise kind(f"{address}: {exc}") from exc
        try:
            reply = exchange.receive(self._remaining_ms(end))
        except pynng.NNGException as exc:
            peer.drop(exchange)
            raise errors.PeerLostError(f"{address}: {exc}") from exc
        peer.give_back(exchange)
        return reply

    def _remaining_ms(self, end: float) -> int:
        return max(1, int((end - self._now()) * 1000))

    def _acquire(self, address: str) -> _Peer:
        evicted: list[_Peer] = []
        try:
            with self._lock:
                if self._closed:
                    raise errors.PeerNotSentError(f"{address}: no more calls are made")
                peer = self._peers.get(address) or self._add(address, evicted)
                if not peer.connected and not peer.dialling(self._now()):
                    raise errors.PeerNotSentError(f"{address} is not connected")
                self._peers.move_to_end(address)
                peer.in_use += 1
                return peer
        finally:
            for gone in evicted:
                gone.close()

    def _release(self, peer: _Peer) -> None:
        with self._lock:
            peer.in_use -= 1
            done = peer.retired and not peer.in_use
        if done:
            peer.close()

    def _add(self, address: str, evicted: list[_Peer]) -> _Peer:
        now = self._now()
        if sum(peer.dialling(now) for peer in self._peers.values()) >= MAX_DIALS:
            raise errors.PeerLimitError(f"{address}: too many connections are being made")
        if len(self._peers) >= self._max_sockets:
            idle = next((name for name, peer in self._peers.items() if not peer.in_use), None)
            if idle is None:
                raise errors.PeerLimitError("all sockets are in use")
            evicted.append(self._retire(idle))
        peer = self._peers[address] = _Peer(self._open(address), now)
        peer.sock.dial(f"{_scheme(self._tls)}://{address}", block=False)
        return peer

    def _retire(self, address: str) -> _Peer | None:
        """Returns the peer if it can be closed now, outside the lock, as that takes a while."""
        peer = self._peers.pop(address)
        peer.retired = True
        return None if peer.in_use else peer

    def _open(self, address: str) -> pynng.Req0:
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
