"""Measures calls between two processes, and the cost of connections and of ledger entries.

``python -m bench.peers --calls 5000 --threads 8`` prints JSON. The peer is a second process on
loopback that answers each ``Forward`` of 500 bytes with 1,000 bytes. Plain and TLS runs alternate
so that their ratio stays valid on a busy machine.
"""

import itertools
import json
import os
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from typing import Annotated

import trustme
import typer

from dotterelfront import errors, messages, models, operations, peers

ADDRESSES = [f"127.98.1.{index}" for index in range(1, 65)]
ADDRESS = ADDRESSES[0]
PLAIN_PORT, TLS_PORT = 18_401, 18_402
MAX_MESSAGE_BYTES = 8_000_000
LISTENER_WORKERS = 32
ROUNDS = 3
LEDGER_ENTRIES = 50_000

_ids = itertools.count(1)


def _reply(message: messages.Message) -> messages.Message:
    headers = (("Content-Type", "application/json"),) * 5
    return messages.Forwarded(
        models.Outcome.ANSWERED, 200, headers, b"y" * 1_000, call_id=message.call_id
    )


def _forward(incarnation: int) -> messages.Forward:
    return messages.Forward(
        models.VmId("vm-1"),
        models.Incarnation(incarnation),
        next(_ids),
        models.RequestId("0" * 32),
        models.Revision(1),
        models.RouteName("order"),
        models.CustomerId("customer"),
        time.time() + 5.0,
        "POST",
        "/order/17?page=2",
        (("accept", "application/json"),) * 8,
        b"x" * 500,
        models.PoolName("orders"),
        0,
        False,
    )


def _write_certificates(directory: pathlib.Path) -> peers.TlsFiles:
    authority = trustme.CA()
    issued = authority.issue_cert(*ADDRESSES)
    contents = {
        "ca": authority.cert_pem,
        "cert": issued.cert_chain_pems[0],
        "key": issued.private_key_pem,
    }
    for name, blob in contents.items():
        blob.write_to_path(directory / f"{name}.pem")
    return _tls_files(directory)


def _tls_files(directory: pathlib.Path) -> peers.TlsFiles:
    return peers.TlsFiles(*(str(directory / f"{name}.pem") for name in ("ca", "cert", "key")))


def _serve(directory: pathlib.Path) -> None:
    for port, tls in ((PLAIN_PORT, None), (TLS_PORT, _tls_files(directory))):
        for address in ADDRESSES:
            workers = LISTENER_WORKERS if address == ADDRESS else 1
            peers.Listener(f"{address}:{port}", _reply, workers, MAX_MESSAGE_BYTES, tls).start()
    print("ready", flush=True)
    sys.stdin.read()


def _call_when_connected(caller: peers.Caller, address: str, incarnation: int) -> None:
    """Makes one call; retries until the connection is open."""
    while True:
        try:
            caller.call(address, _forward(incarnation), 5.0)
            return
        except errors.PeerNotSentError:
            time.sleep(0.02)


def _measure(address: str, tls: peers.TlsFiles | None, calls: int, threads: int, incarnation: int):
    """Returns the latencies of sequential calls in seconds, and the rate of concurrent calls/s."""
    caller = peers.Caller(MAX_MESSAGE_BYTES, tls)
    _call_when_connected(caller, address, incarnation)
    latencies = []
    for _ in range(calls):
        start = time.perf_counter()
        caller.call(address, _forward(incarnation), 5.0)
        latencies.append(time.perf_counter() - start)

    def call_repeatedly() -> None:
        for _ in range(calls // threads):
            caller.call(address, _forward(incarnation), 5.0)

    callers = [threading.Thread(target=call_repeatedly) for _ in range(threads)]
    start = time.perf_counter()
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()
    rate = calls // threads * threads / (time.perf_counter() - start)
    caller.close()
    return latencies, rate


def _measure_connections(port: int, tls: peers.TlsFiles | None) -> dict[str, float]:
    """Returns the memory of a connection in the caller, and the duration of its first call."""
    caller = peers.Caller(MAX_MESSAGE_BYTES, tls)
    _call_when_connected(caller, f"{ADDRESS}:{port}", port)
    before, first_calls = _resident_bytes(), []
    for address in ADDRESSES[1:]:
        start = time.perf_counter()
        _call_when_connected(caller, f"{address}:{port}", port)
        first_calls.append(time.perf_counter() - start)
    size_bytes = _resident_bytes() - before
    caller.close()
    return {
        "connection_bytes": size_bytes // len(first_calls),
        "first_call_ms": round(statistics.median(first_calls) * 1e3, 2),
    }


def _resident_bytes() -> int:
    return int(pathlib.Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE")


def _summary(latencies: list[float], rates: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(latencies, n=100)
    return {
        "p50_us": round(cuts[49] * 1e6, 1),
        "p99_us": round(cuts[98] * 1e6, 1),
        "calls_per_s": round(statistics.median(rates)),
    }


def _measure_ledger(seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    issuer = operations.Issuer(models.VmId("vm-1"), models.Incarnation(1), rng.randbytes(32))
    ledger = operations.Ledger(issuer)
    tokens = [issuer.issue(0.0, rng.randbytes(12)) for _ in range(LEDGER_ENTRIES)]
    digests = [rng.randbytes(16) for _ in tokens]
    tracemalloc.start()
    for text, digest in zip(tokens, digests, strict=True):
        ledger.begin(text, digest, 1.0)
        ledger.finish(text, operations.State.UNKNOWN, 1.0, None)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.perf_counter()
    for text, digest in zip(tokens, digests, strict=True):
        ledger.begin(text, digest, 1.0)
    elapsed_s = time.perf_counter() - start
    return {
        "entry_bytes": round(size_bytes / LEDGER_ENTRIES),
        "duplicate_us": round(elapsed_s / LEDGER_ENTRIES * 1e6, 2),
    }


def main(
    calls: Annotated[int, typer.Option(help="Calls per transport and round.")] = 5_000,
    threads: Annotated[int, typer.Option(help="Threads of the concurrent calls.")] = 8,
    seed: int = 1,
    serve: Annotated[pathlib.Path | None, typer.Option(hidden=True)] = None,
) -> None:
    """Measures calls, connections and ledger entries, and prints JSON."""
    if serve:
        _serve(serve)
        return
    kinds = {"plain": PLAIN_PORT, "tls": TLS_PORT}
    latencies: dict[str, list[float]] = {kind: [] for kind in kinds}
    rates: dict[str, list[float]] = {kind: [] for kind in kinds}
    with tempfile.TemporaryDirectory() as name:
        files = _write_certificates(pathlib.Path(name))
        command = [sys.executable, "-m", "bench.peers", "--serve", name]
        with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as peer:
            peer.stdout.readline()
            for incarnation, (kind, port) in enumerate(list(kinds.items()) * ROUNDS, start=1):
                tls = files if kind == "tls" else None
                measured, rate = _measure(f"{ADDRESS}:{port}", tls, calls, threads, incarnation)
                latencies[kind] += measured
                rates[kind].append(rate)
            connections = {
                "plain": _measure_connections(PLAIN_PORT, None),
                "tls": _measure_connections(TLS_PORT, files),
            }
            peer.stdin.close()
    result = {kind: _summary(latencies[kind], rates[kind]) | connections[kind] for kind in kinds}
    result["ledger"] = _measure_ledger(seed)
    print(json.dumps({"calls": calls, "threads": threads, "seed": seed, **result}))


if __name__ == "__main__":
    typer.run(main)
