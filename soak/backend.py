"""Backend servers of the soak, registered in the platform store, with faults that the soak sets."""

import asyncio
import dataclasses
import json
import random

from soak import records
from standins import http_server, platform_store

MAX_QUEUED = 4
"""A request is rejected as not executed while more than this number wait for a slot."""


def expected_body(request_id: str) -> bytes:
    """Returns the body of the correct response to a request."""
    return f"answer to {request_id}".encode() * 20


class Backend:
    """One instance of a backend server; ``fault`` applies to ``share`` of its requests."""

    def __init__(
        self,
        name: str,
        pool: str,
        zone: str,
        address: str,
        observations: records.Observations,
        born: int = 0,
    ):
        self.name, self.pool, self.zone, self.address = name, pool, zone, address
        self.fault, self.share = "", 0.0
        self.state, self._sequence = "ready", 0
        self.born = born
        self.announces_leaving = False
        self.pause_s = 0.0
        """Pause that the server asks for with each request, which it turns away; 0 for none."""
        self._observations = observations
        self._slots = asyncio.Semaphore(4)
        self._waiting = 0
        self._rng = random.Random(name)

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await http_server.serve(self._handle, host, int(port))

    def stop(self) -> None:
        self._server.close()

    def register(self, store: platform_store.PlatformStore) -> None:
        """Writes the server's record with its current state to the store."""
        self._sequence += 1
        record = {
            "addr": self.address,
            "info": {"service": self.pool, "version": "v1", "zone": self.zone, "slots": 4},
            "status": {"state": self.state, "seq": self._sequence, "warmup-left": "0ms"},
            "born": self.born,
        }
        store.put(f"servers/{self.name}", json.dumps(record).encode())

    async def _handle(self, req: http_server.Request) -> http_server.Response:
        request_id = req.headers["request-id"]
        arrival = records.Arrival(self.name, self.born, asyncio.get_running_loop().time())
        self._observations.arrivals[request_id].append(arrival)
        if self.pause_s:
            pause = records.Pause(arrival, request_id, self.pause_s)
            self._observations.pauses.append(pause)
        res = await self._answer(req)
        signs = [("Served-By", f"{self.name}/{self.born}")]
        if self.announces_leaving:
            signs.append(("Server-Leaving", "1"))
        return dataclasses.replace(res, headers=[*res.headers, *signs])

    async def _answer(self, req: http_server.Request) -> http_server.Response:
        own_id = [("Request-Id", req.headers["request-id"])]
        if self.pause_s:
            pause = [("Not-Executed", "1"), ("Retry-After", f"{self.pause_s:.2f}")]
            return http_server.Response(503, [*own_id, *pause])
        if req.headers.get("target-instance") != self.name:
            return http_server.Response(421, own_id)
        faulty = self._rng.random() < self.share
        if faulty and self.fault == "shed" or self._waiting > MAX_QUEUED:
            return http_server.Response(503, [*own_id, ("Not-Executed", "1")])
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._execute(req, self.fault if faulty else "")
        finally:
            self._slots.release()

    async def _execute(self, req: http_server.Request, fault: str) -> http_server.Response:
        request_id = req.headers["request-id"]
        now = asyncio.get_running_loop().time()
        self._observations.runs[request_id].append(records.Run(self.name, now, req.path))
        if fault == "hang":
            await asyncio.sleep(3600)
        await asyncio.sleep(self._rng.expovariate(1 / 0.02))
        header_pairs = [("Request-Id", request_id), ("Response-Sig", f"s-{request_id}")]
        body = expected_body(request_id)
        return _FAULT_RESPONSES[fault](header_pairs, body)


_FAULT_RESPONSES = {
    "": lambda headers, body: http_server.Response(200, headers, body),
    "errors": lambda headers, body: http_server.Response(500, headers, b"failed"),
    "truncate": lambda headers, body: http_server.Response(
        200, headers, body, truncate_at=len(body) // 2
    ),
    "lose": lambda headers, body: http_server.Response(0),
    "other": lambda headers, body: http_server.Response(200, [("Request-Id", "other")], b"no"),
    "repeat": lambda headers, body: http_server.Response(
        200, headers, body, stray=b"HTTP/1.1 503 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    "endless head": lambda headers, body: http_server.Response(
        200, endless=b"HTTP/1.1 102 -\r\n\r\n" * 500
    ),
    "endless body": lambda headers, body: http_server.Response(
        200,
        endless=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2_000,
    ),
}
"""Response to a request that ran, by fault. In addition, ``shed`` rejects a request before it runs,
and ``hang`` never responds."""
FAULTS = (*[name for name in _FAULT_RESPONSES if name], "shed", "hang")
