"""Calls between VMs over real sockets: which messages reach a peer, and how often."""

import contextlib
import itertools
import os
import socket
import subprocess
import sys
import threading

import pynng
import pytest
import trustme
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import errors, messages, models, peers

LIMIT_BYTES = 2_000_000
LONG_TIMEOUT_S = 20.0
_ports = itertools.count(20_000)


def _address() -> str:
    pid = os.getpid()
    return f"127.{110 + pid % 100}.{pid // 100 % 250}.1:{next(_ports)}"


def _heartbeat(number: int) -> messages.Heartbeat:
    return messages.Heartbeat(models.VmId(f"vm-{number}"), models.Incarnation(number), False)


class Peer:
    """A listener that records the numbers it receives and can delay its replies."""

    def __init__(self, address: str, tls=None):
        self.seen: list[int] = []
        self.arrived = threading.Event()
        self.release = threading.Event()
        self.release.set()
        self.listener = peers.Listener(address, self._handle, 8, LIMIT_BYTES, tls)
        self.listener.start()

    def _handle(self, message):
        self.seen.append(message.incarnation)
        self.arrived.set()
        self.release.wait()
        return messages.HeartbeatReply(message.sender, message.incarnation, False)


class Relay:
    """A TCP relay in front of a peer that can close its connections or stop reading."""

    def __init__(self, target: str):
        self.address = _address()
        self._target = _host_and_port(target)
        self._socks: list[socket.socket] = []
        self.reading = threading.Event()
        self.reading.set()
        self._server = socket.create_server(_host_and_port(self.address))
        threading.Thread(target=self._accept, daemon=True).start()

    def disconnect(self) -> None:
        for sock in self._socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            client, _ = self._server.accept()
            try:
                upstream = socket.create_connection(self._target)
            except OSError:  # the peer is closed, but the caller still reconnects
                client.close()
                continue
            self._socks += [client, upstream]
            for source, sink in ((client, upstream), (upstream, client)):
                threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self.reading.wait()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_RDWR)


def _host_and_port(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


def _call_until_sent(caller: peers.Caller, address: str, number: int) -> messages.Message:
    """Retries the call while it is not sent, such as during a reconnection."""
    while True:
        try:
            return caller.call(address, _heartbeat(number), LONG_TIMEOUT_S)
        except errors.PeerNotSentError:
            threading.Event().wait(0.02)


def _start_call(caller: peers.Caller, address: str, number: int) -> threading.Thread:
    def run():
        with contextlib.suppress(errors.PeerReplyLostError):
            caller.call(address, _heartbeat(number), LONG_TIMEOUT_S)

    thread = threading.Thread(target=run)
    thread.start()
    return thread


@pytest.fixture
def caller():
    instance = peers.Caller(LIMIT_BYTES)
    yield instance
    instance.close()


def test_outstanding_call_is_not_resent_to_a_restarted_peer(caller):
    """Guards against a REQ socket that resends an outstanding request after the peer restarts."""
    address = _address()
    first = Peer(address)
    first.release.clear()
    thread = _start_call(caller, address, 1)
    first.arrived.wait()
    first.listener.close()
    second = Peer(address)
    thread.join()
    _call_until_sent(caller, address, 2)
    first.release.set()
    second.listener.close()
    assert (first.seen, second.seen) == ([1], [2])


def test_outstanding_call_is_not_resent_over_a_new_connection(caller):
    """Guards against a REQ socket that resends an outstanding request over a new connection."""
    address = _address()
    peer, relay = Peer(address), Relay(address)
    peer.release.clear()
    thread = _start_call(caller, relay.address, 1)
    peer.arrived.wait()
    relay.disconnect()
    thread.join()
    peer.release.set()
    _call_until_sent(caller, relay.address, 2)
    peer.listener.close()
    assert peer.seen == [1, 2]


def test_call_to_unreachable_peer_is_not_delivered_later(caller):
    """Guards against a message that stays queued after its call failed as not sent."""
    address = _address()
    for number in (1, 2):  # the first waits for a connection, the second fails at once
        with pytest.raises(errors.PeerNotSentError):
            caller.call(address, _heartbeat(number), LONG_TIMEOUT_S)
    peer = Peer(address)
    _call_until_sent(caller, address, 3)
    peer.listener.close()
    assert peer.seen == [3]


def test_send_that_timed_out_is_not_delivered_later(caller):
    """Guards against a stalled connection that delivers a message reported as not sent."""
    address = _address()
    peer, relay = Peer(address), Relay(address)
    _call_until_sent(caller, relay.address, 0)
    relay.reading.clear()
    not_sent: list[int] = []

    def call(number: int) -> None:
        message = messages.Heartbeat(
            models.VmId("x" * 1_900_000), models.Incarnation(number), False
        )
        try:
            caller.call(relay.address, message, LONG_TIMEOUT_S)
        except errors.PeerNotSentError:
            not_sent.append(number)

    threads = [threading.Thread(target=call, args=(number,)) for number in range(1, 31)]
    for thread in threads:
        thread.start()
    while not not_sent:
        threading.Event().wait(0.02)
    relay.reading.set()
    for thread in threads:
        thread.join()
    _call_until_sent(caller, relay.address, 99)
    peer.listener.close()
    assert sorted(peer.seen + not_sent) == [*range(31), 99]


LIBRARY_ERRORS = [pynng.NNGException, *pynng.exceptions.EXCEPTION_MAP.values()]
NOT_SENT = {"Timeout", "Canceled", "Closed", "ConnectionRefused", "DestinationUnreachable"}
NOT_SENT |= {"NoMemory", "BadState", "InvalidOperation", "NotSupported", "MessageTooLarge"}
NOT_SENT |= {"AddressInvalid"}


@pytest.mark.parametrize("kind", LIBRARY_ERRORS, ids=lambda kind: kind.__name__)
def test_every_library_error_is_classified(caller, monkeypatch, kind):
    """Guards against reporting a call as not sent although the peer may have received it."""

    calling_thread, receive = threading.get_ident(), peers._Context.receive

    def fail(*args):
        raise kind("failed", 1)

    def fail_for_caller(context, *args):
        # The idle workers of the listener receive with the same class.
        return fail() if threading.get_ident() == calling_thread else receive(context, *args)

    peer = Peer(_address())
    address = peer.listener.address
    _call_until_sent(caller, address, 1)
    monkeypatch.setattr(peers._Context, "send", fail)
    with pytest.raises(errors.PeerError) as caught:
        caller.call(address, _heartbeat(2), LONG_TIMEOUT_S)
    assert (caught.type is errors.PeerNotSentError) == (kind.__name__ in NOT_SENT)
    monkeypatch.setattr(peers._Context, "send", lambda *args: None)
    monkeypatch.setattr(peers._Context, "receive", fail_for_caller)
    with pytest.raises(errors.PeerReplyLostError):
        caller.call(address, _heartbeat(3), LONG_TIMEOUT_S)
    monkeypatch.undo()
    peer.listener.close()


def test_number_of_sockets_is_limited():
    """Guards against sockets that accumulate as VMs are replaced."""
    caller = peers.Caller(LIMIT_BYTES, max_sockets=2)
    listening = [Peer(_address()) for _ in range(4)]
    for number, peer in enumerate(listening):
        _call_until_sent(caller, peer.listener.address, number)
    assert len(caller) == 2
    caller.retain([listening[3].listener.address])
    assert len(caller) == 1
    assert _call_until_sent(caller, listening[3].listener.address, 9).incarnation == 9
    caller.close()
    for peer in listening:
        peer.listener.close()


def _write_tls_files(directory, name: str, authorities, issuer) -> peers.TlsFiles:
    """Writes PEM files of a VM that trusts ``authorities`` and has a certificate of ``issuer``."""
    issued = issuer.issue_cert(_address().split(":")[0])
    contents = {
        "ca": b"".join(ca.cert_pem.bytes() for ca in authorities),
        "cert": issued.cert_chain_pems[0].bytes(),
        "key": issued.private_key_pem.bytes(),
    }
    for part, data in contents.items():
        (directory / f"{name}-{part}.pem").write_bytes(data)
    return peers.TlsFiles(*(str(directory / f"{name}-{part}.pem") for part in contents))


def test_only_callers_with_a_certificate_of_the_fleet_are_served(tmp_path):
    """Guards against handling calls of a peer without a certificate or with one of another CA."""
    fleet, foreign = trustme.CA(), trustme.CA()
    peer = Peer(_address(), _write_tls_files(tmp_path, "server", [fleet], fleet))
    address = peer.listener.address
    trusted = peers.Caller(LIMIT_BYTES, _write_tls_files(tmp_path, "good", [fleet], fleet))
    _call_until_sent(trusted, address, 1)
    untrusted = peers.Caller(LIMIT_BYTES, _write_tls_files(tmp_path, "strange", [fleet], foreign))
    plain = peers.Caller(LIMIT_BYTES)
    for caller in (untrusted, plain):
        with pytest.raises(errors.PeerNotSentError):
            caller.call(address, _heartbeat(2), LONG_TIMEOUT_S)
    config = pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=_host_and_port(address)[0],
        ca_string=fleet.cert_pem.bytes().decode(),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
    with pynng.Req0(tls_config=config, send_timeout=500) as anonymous:
        anonymous.dial(f"tls+tcp://{address}", block=False)
        with pytest.raises(pynng.Timeout):
            anonymous.send(messages.encode(_heartbeat(3)))
    wrong_ca = peers.Caller(LIMIT_BYTES, _write_tls_files(tmp_path, "other", [foreign], fleet))
    with pytest.raises(errors.PeerNotSentError):
        wrong_ca.call(address, _heartbeat(4), LONG_TIMEOUT_S)
    for caller in (trusted, untrusted, plain, wrong_ca):
        caller.close()
    peer.listener.close()
    assert peer.seen == [1]


def test_two_trusted_authorities_allow_a_rolling_change(tmp_path):
    """Guards against failed calls while certificates of an old and a new CA are in use together."""
    old, new = trustme.CA(), trustme.CA()
    old_files = _write_tls_files(tmp_path, "old", [old, new], old)
    new_files = _write_tls_files(tmp_path, "new", [old, new], new)
    for server_files in (old_files, new_files):
        peer = Peer(_address(), server_files)
        for number, files in enumerate((old_files, new_files)):
            caller = peers.Caller(LIMIT_BYTES, files)
            _call_until_sent(caller, peer.listener.address, number)
            caller.close()
        peer.listener.close()
        assert peer.seen == [0, 1]


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(1, 3 * peers.WINDOW_CALLS))))
def test_window_admits_no_call_twice(calls):
    """Guards against admitting a duplicate call and against dropping a new one in the window."""
    window, admitted = peers.CallWindow(), set()
    highest: dict[int, int] = {}
    for sender, call_id in calls:
        expected = (sender, call_id) not in admitted
        expected &= call_id > highest.get(sender, 0) - peers.WINDOW_CALLS
        assert window.admit(models.VmId("vm"), models.Incarnation(sender), call_id) == expected
        highest[sender] = max(call_id, highest.get(sender, 0))
        admitted.add((sender, call_id))


def test_exception_in_a_handler_is_answered_and_counted():
    """Guards against a message that ends the worker which handles it."""

    def fail(message):
        raise ZeroDivisionError

    listener = peers.Listener(_address(), fail, 1, LIMIT_BYTES)
    reply = listener.answer(messages.encode(_heartbeat(1)))
    assert (type(reply), listener.counts["handler-failed"]) == (messages.Rejected, 1)
    listener.close()


CLOSE_CYCLES_SCRIPT = """
import contextlib, sys, threading
from dotterelfront import errors, messages, models, peers

def answer(message):
    return messages.HeartbeatReply(message.sender, message.incarnation, False)

def call(caller, address):
    with contextlib.suppress(errors.PeerError):
        for _ in range(50):
            caller.call(address, ping, 5.0)

ping = messages.Heartbeat(models.VmId("vm-1"), models.Incarnation(1), False)
for number in range(30):
    address = f"{sys.argv[1]}:{21_000 + number}"
    listener = peers.Listener(address, answer, 8, 100_000)
    listener.start()
    caller = peers.Caller(100_000)
    caller.call(address, ping, 5.0)
    threads = [threading.Thread(target=call, args=(caller, address)) for _ in range(4)]
    for thread in threads:
        thread.start()
    listener.close()
    caller.close()
    for thread in threads:
        thread.join()
print("done")
"""


def test_closing_while_workers_wait_neither_hangs_nor_aborts():
    """Guards against a process that hangs or aborts in the library when its sockets close."""
    host = _address().partition(":")[0]
    done = subprocess.run(
        [sys.executable, "-c", CLOSE_CYCLES_SCRIPT, host],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert (done.returncode, done.stdout.strip()) == (0, "done"), done.stderr


def test_closed_caller_makes_no_calls(caller):
    """Guards against a socket that is opened while the process exits."""
    caller.close()
    with pytest.raises(errors.PeerNotSentError):
        caller.call(_address(), _heartbeat(1), 1.0)
