"""Callers: one request a connection, sent to a VM that the balancer finds ready."""

import asyncio
import random

import h11

from soak import backend, fleet, records

DEADLINE_S = 1.5


async def call(
    vm: fleet.FleetVm, request: str, kind: str, path: str, seen: records.Seen
) -> records.Result:
    """Sends one attempt and records how it ended."""
    loop = asyncio.get_running_loop()
    result = seen.results[request] = records.Result(kind, path, loop.time())
    try:
        async with asyncio.timeout(DEADLINE_S):
            res, body = await _exchange(vm, request, kind, path)
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        return result
    result.status = res.status_code
    if 200 <= res.status_code < 300:
        signature = dict(res.headers).get(b"response-sig", b"").decode()
        result.own = body == backend.body_for(request) and signature == f"s-{request}"
    return result


async def _exchange(vm: fleet.FleetVm, request: str, kind: str, path: str):
    reader, writer = await asyncio.open_connection(vm.host, fleet.HTTP_PORT)
    try:
        conn = h11.Connection(h11.CLIENT)
        body = b"order " * 50 if kind == "unsafe" else b""
        head = h11.Request(
            method="POST" if body else "GET",
            target=path,
            headers=[
                ("Host", "shop.example"),
                ("Request-Id", request),
                ("Request-Deadline", str(int(DEADLINE_S * 1000))),
                ("Content-Length", str(len(body))),
            ],
        )
        raw = conn.send(head) + (conn.send(h11.Data(data=body)) if body else b"")
        writer.write(raw + conn.send(h11.EndOfMessage()))
        return await _read(reader, conn)
    finally:
        writer.close()


async def _read(reader: asyncio.StreamReader, conn: h11.Connection):
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
            raise ConnectionResetError("closed without an answer")


class Load:
    """Sends requests at a rate until cancelled."""

    def __init__(self, vms: list[fleet.FleetVm], seen: records.Seen, rng: random.Random):
        self._vms, self._seen, self._rng = vms, seen, rng
        self.paths = {"safe": ["/stock/"], "unsafe": ["/orders/"]}
        self.ready: list[fleet.FleetVm] = []
        self._sent = 0

    async def run(self, per_s: float) -> None:
        tasks: set[asyncio.Task] = set()
        while True:
            await asyncio.sleep(self._rng.expovariate(per_s))
            kind = self._rng.choice(["safe", "unsafe"])
            path = self._rng.choice(self.paths[kind]) + "1"
            self._sent += 1
            vm = self._rng.choice(self.ready or self._vms)
            request = f"id-{self._sent}"
            task = asyncio.ensure_future(call(vm, request, kind, path, self._seen))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def check_ready(self) -> None:
        while True:
            states = await asyncio.gather(*(vm.ready() for vm in self._vms))
            self.ready = [vm for vm, ready in zip(self._vms, states, strict=True) if ready]
            await asyncio.sleep(0.5)
