"""Stand-in for clients: sends requests over kept or new connections and records what comes back."""

import asyncio
import dataclasses
import itertools
import secrets

from harness import backend

_numbers = itertools.count(1)


@dataclasses.dataclass
class Sent:
    """One client attempt. ``status`` is 0 if the connection ended without a complete answer."""

    request_id: str
    vm: str
    path: str
    sent_at: float
    deadline_s: float
    status: int = 0
    ended_at: float = 0.0
    end: str = "open"
    correct: bool = False
    kept: bool = False
    """Whether the connection had served a request before."""


class Connection:
    """One client's connection to a VM, one request at a time."""

    def __init__(self, vm: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.vm, self.reader, self.writer = vm, reader, writer
        self.used = False
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.writer.close()


async def connect(vm_name: str, host: str, port: int) -> Connection:
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, port)
    return Connection(vm_name, reader, writer)


async def request(
    conn: Connection,
    log: list[Sent],
    method: str,
    host: str,
    path: str,
    deadline_s: float,
    body: bytes = b"",
) -> Sent:
    """Sends one request and waits for its answer, until its deadline and a little longer."""
    loop = asyncio.get_running_loop()
    request_id = f"{next(_numbers):06x}{secrets.token_hex(5)}"
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
        f"Request-Deadline: {round(deadline_s * 1000)}\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    sent = Sent(request_id, conn.vm, path, loop.time(), deadline_s, kept=conn.used)
    log.append(sent)
    conn.used = True
    try:
        conn.writer.write(head.encode() + b"\r\n" + body)
        async with asyncio.timeout(deadline_s + 1.0):
            await _read_answer(conn, sent)
    except TimeoutError:
        sent.end = "no answer by the deadline"
        conn.close()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as exc:
        sent.status, sent.end = 0, f"connection ended: {type(exc).__name__}"
        conn.close()
    sent.ended_at = loop.time()
    return sent


async def _read_answer(conn: Connection, sent: Sent) -> None:
    raw = await conn.reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    body = await conn.reader.readexactly(int(fields.get("content-length", "0")))
    sent.status, sent.end = status, "answered"
    sent.correct = fields.get(
        "response-sig"
    ) == f"sig.{sent.request_id}" and body == backend.body_of(sent.request_id)
    if "close" in fields.get("connection", "").lower():
        conn.close()
