"""Backend servers as the fleet meets them on the platform, with faults that the soak sets."""

import asyncio
import json
import random

from soak import records
from standins import http_server, platform_store

SHED_QUEUE = 4
"""Requests that wait for a slot; a further one is rejected."""


def body_for(request: str) -> bytes:
    """Returns the only right body for a request."""
    return f"answer to {request}".encode() * 20


class Backend:
    """One start of a server. ``fault`` names what it does to a part of its requests."""

    def __init__(self, name: str, pool: str, zone: str, address: str, seen: records.Seen):
        self.name, self.pool, self.zone, self.address = name, pool, zone, address
        self.fault, self.share = "", 0.0
        self.state, self._sequence = "ready", 0
        self._seen = seen
        self._slots = asyncio.Semaphore(4)
        self._waiting = 0
        self._rng = random.Random(name)

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await http_server.serve(self._answer, host, int(port))

    def stop(self) -> None:
        self._server.close()

    def register(self, store: platform_store.PlatformStore) -> None:
        self._sequence += 1
        record = {
            "addr": self.address,
            "info": {"service": self.pool, "version": "v1", "zone": self.zone, "slots": 4},
            "status": {"state": self.state, "seq": self._sequence, "warmup-left": "0ms"},
        }
        store.put(f"servers/{self.name}", json.dumps(record).encode())

    async def _answer(self, req: http_server.Request) -> http_server.Response:
        if req.headers.get("target-instance") != self.name:
            return http_server.Response(421)
        failing = self._rng.random() < self.share
        if failing and self.fault == "shed" or self._waiting > SHED_QUEUE:
            return http_server.Response(503, [("Not-Executed", "1")])
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(req, self.fault if failing else "")
        finally:
            self._slots.release()

    async def _run(self, req: http_server.Request, fault: str) -> http_server.Response:
        request = req.headers["request-id"]
        now = asyncio.get_running_loop().time()
        self._seen.runs[request].append(records.Run(self.name, now, req.path))
        if fault == "hang":
            await asyncio.sleep(3600)
        await asyncio.sleep(self._rng.expovariate(1 / 0.02))
        pairs = [("Request-Id", request), ("Response-Sig", f"s-{request}")]
        body = body_for(request)
        return _FAULTY[fault](pairs, body)


_FAULTY = {
    "": lambda pairs, body: http_server.Response(200, pairs, body),
    "errors": lambda pairs, body: http_server.Response(500, pairs, b"failed"),
    "truncate": lambda pairs, body: http_server.Response(200, pairs, body, cut=len(body) // 2),
    "lose": lambda pairs, body: http_server.Response(0),
    "other": lambda pairs, body: http_server.Response(200, [("Request-Id", "other")], b"no"),
}
"""What happens to a request that has run; ``shed`` and ``hang`` come before that."""
FAULTS = (*[name for name in _FAULTY if name], "shed", "hang")
