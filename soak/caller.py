"""HTTP client and load generator of the soak.

Requests go to VMs that pass the load balancer's readiness check. Some use a new connection; others
keep using the open ones of a VM until it closes them.
"""

import asyncio
import collections
import dataclasses
import random

import h11

from soak import backend, fleet, records

DEADLINE_S = 1.5
KEPT_SHARE = 0.5
"""Share of the requests that use an open connection."""


@dataclasses.dataclass
class Connection:
    """An open connection to a VM, and the parser of its responses."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: h11.Connection

    @property
    def usable(self) -> bool:
        return not (self.reader.at_eof() or self.writer.is_closing())


async def call(
    vm: fleet.FleetVm,
    request_id: str,
    kind: str,
    path: str,
    observations: records.Observations,
    kept: list[Connection] | None = None,
) -> records.Result:
    """Sends one request and records its result; status 0 stands for a failed or late response.

    With ``kept``, the request uses one of these open connections if there is one, and leaves its
    connection there.
    """
    loop = asyncio.get_running_loop()
    result = observations.results[request_id] = records.Result(kind, path, loop.time(), vm=vm.name)
    conn = _take(kept)
    result.is_reused = conn is not None
    try:
        async with asyncio.timeout(DEADLINE_S):
            conn = conn or await _open(vm)
    except (OSError, TimeoutError):
        return result
    try:
        async with asyncio.timeout_at(result.sent_at + DEADLINE_S):
            res, body = await _send_request(conn, request_id, kind, path)
    except TimeoutError:
        conn.writer.close()
        return result
    except (OSError, h11.RemoteProtocolError):
        conn.writer.close()
        result.was_cut, result.ended_at = True, loop.time()
        return result
    _give_back(kept, conn)
    result.status = res.status_code
    _record_leaving(observations, result, dict(res.headers), loop.time())
    if 200 <= res.status_code < 300:
        signature = dict(res.headers).get(b"response-sig", b"").decode()
        result.is_correct = (
            body == backend.expected_body(request_id) and signature == f"s-{request_id}"
        )
    return result


def _record_leaving(
    observations: records.Observations, result: records.Result, fields: dict, now: float
) -> None:
    """Records that a VM passed on a response whose server leaves."""
    if fields.get(b"server-leaving") == b"1":
        server, _, born = fields[b"served-by"].decode().partition("/")
        observations.leaving_answers.setdefault((result.vm, server, int(born)), now)


async def _open(vm: fleet.FleetVm) -> Connection:
    reader, writer = await asyncio.open_connection(vm.host, fleet.HTTP_PORT)
    return Connection(reader, writer, h11.Connection(h11.CLIENT))


def _take(kept: list[Connection] | None) -> Connection | None:
    """Removes and returns an open connection; closes those that the VM has ended."""
    while kept:
        conn = kept.pop()
        if conn.usable:
            return conn
        conn.writer.close()
    return None


def _give_back(kept: list[Connection] | None, conn: Connection) -> None:
    """Keeps a connection whose response does not end it."""
    if kept is None or conn.parser.our_state is not h11.DONE or not conn.usable:
        conn.writer.close()
        return
    conn.parser.start_next_cycle()
    kept.append(conn)


async def _send_request(conn: Connection, request_id: str, kind: str, path: str):
    body = b"order " * 50 if kind == "unsafe" else b""
    head = h11.Request(
        method="POST" if body else "GET",
        target=path,
        headers=[
            ("Host", "shop.example"),
            ("Request-Id", request_id),
            ("Request-Deadline", str(int(DEADLINE_S * 1000))),
            ("Content-Length", str(len(body))),
        ],
    )
    send = conn.parser.send
    raw = send(head) + (send(h11.Data(data=body)) if body else b"")
    conn.writer.write(raw + send(h11.EndOfMessage()))
    return await _read_response(conn)


async def _read_response(conn: Connection):
    head, parts = None, []
    while True:
        event = conn.parser.next_event()
        if event is h11.NEED_DATA:
            conn.parser.receive_data(await conn.reader.read(65536))
        elif type(event) is h11.Response:
            head = event
        elif type(event) is h11.Data:
            parts.append(bytes(event.data))
        elif type(event) is h11.EndOfMessage:
            return head, b"".join(parts)
        elif type(event) is h11.ConnectionClosed:
            raise ConnectionResetError("connection closed before the response was complete")


class LoadGenerator:
    """Sends requests at a mean rate until cancelled; ``ready`` lists the VMs that are ready."""

    def __init__(
        self, vms: list[fleet.FleetVm], observations: records.Observations, rng: random.Random
    ):
        self._vms, self._observations, self._rng = vms, observations, rng
        self.paths = {"safe": ["/stock/"], "unsafe": ["/orders/"]}
        self.ready: list[fleet.FleetVm] = []
        self.only_ready = True
        """Whether requests go to ready VMs only. A load balancer with few ready VMs uses all."""
        self._sent_count = 0
        self._kept: dict[str, list[Connection]] = collections.defaultdict(list)
        """Open connections by VM."""

    async def run(self, rate_per_s: float) -> None:
        tasks: set[asyncio.Task] = set()
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            kind = self._rng.choice(["safe", "unsafe"])
            path = self._rng.choice(self.paths[kind]) + "1"
            self._sent_count += 1
            ready = self.ready if self.only_ready else []
            vm = self._choose_vm(ready or self._vms)
            kept = self._kept[vm.name] if self._rng.random() < KEPT_SHARE else None
            request_id = f"id-{self._sent_count}"
            task = asyncio.ensure_future(call(vm, request_id, kind, path, self._observations, kept))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def close(self) -> None:
        """Closes the open connections."""
        for kept in self._kept.values():
            while kept:
                kept.pop().writer.close()

    def _choose_vm(self, vms: list[fleet.FleetVm]) -> fleet.FleetVm:
        """Returns a VM to which the load balancer sends, or one with an open connection."""
        connected = [vm for vm in self._vms if any(c.usable for c in self._kept[vm.name])]
        return self._rng.choice(connected if self._rng.random() < KEPT_SHARE and connected else vms)

    async def poll_readiness(self) -> None:
        while True:
            readiness = await asyncio.gather(*(vm.ready() for vm in self._vms))
            self.ready = [vm for vm, ready in zip(self._vms, readiness, strict=True) if ready]
            await asyncio.sleep(0.5)
