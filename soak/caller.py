"""HTTP client and load generator of the soak.

Each request uses its own connection to a VM that passes the load balancer's readiness check.
"""

import asyncio
import random

import h11

from soak import backend, fleet, records

DEADLINE_S = 1.5


async def call(
    vm: fleet.FleetVm, request_id: str, kind: str, path: str, observations: records.Observations
) -> records.Result:
    """Sends one request and records its result; status 0 stands for a failed or late response."""
    loop = asyncio.get_running_loop()
    result = observations.results[request_id] = records.Result(kind, path, loop.time(), vm=vm.name)
    try:
        async with asyncio.timeout(DEADLINE_S):
            reader, writer = await asyncio.open_connection(vm.host, fleet.HTTP_PORT)
    except (OSError, TimeoutError):
        return result
    try:
        async with asyncio.timeout_at(result.sent_at + DEADLINE_S):
            res, body = await _send_request(reader, writer, request_id, kind, path)
    except TimeoutError:
        return result
    except (OSError, h11.RemoteProtocolError):
        result.was_cut, result.ended_at = True, loop.time()
        return result
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


async def _send_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request_id: str,
    kind: str,
    path: str,
):
    try:
        conn = h11.Connection(h11.CLIENT)
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
        raw = conn.send(head) + (conn.send(h11.Data(data=body)) if body else b"")
        writer.write(raw + conn.send(h11.EndOfMessage()))
        return await _read_response(reader, conn)
    finally:
        writer.close()


async def _read_response(reader: asyncio.StreamReader, conn: h11.Connection):
    head, parts = None, []
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(65536))
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

    async def run(self, rate_per_s: float) -> None:
        tasks: set[asyncio.Task] = set()
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            kind = self._rng.choice(["safe", "unsafe"])
            path = self._rng.choice(self.paths[kind]) + "1"
            self._sent_count += 1
            ready = self.ready if self.only_ready else []
            vm = self._rng.choice(ready or self._vms)
            request_id = f"id-{self._sent_count}"
            task = asyncio.ensure_future(call(vm, request_id, kind, path, self._observations))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def poll_readiness(self) -> None:
        while True:
            readiness = await asyncio.gather(*(vm.ready() for vm in self._vms))
            self.ready = [vm for vm, ready in zip(self._vms, readiness, strict=True) if ready]
            await asyncio.sleep(0.5)
