"""Stand-in for a backend server, sound in every way that the platform's pages describe.

It registers itself in the store, processes ``slots`` requests at once, queues ``QUEUE`` more and
rejects the rest with ``Not-Executed``. It drops a request whose connection closes.
"""

import asyncio
import collections
import dataclasses
import json
import time

from standins import http_server, platform_store

QUEUE = 24


@dataclasses.dataclass
class Run:
    """One run of a request; ``ended`` is the time of its end, 0 while it lasts."""

    server: str
    service: str
    began: float
    ended: float = 0.0


Runs = dict[str, list[Run]]


def new_runs() -> Runs:
    return collections.defaultdict(list)


def body_of(request_id: str) -> bytes:
    """Returns the body of the answer to a request."""
    return f"answer to {request_id};".encode() * 15


class Backend:
    """One server of a service."""

    def __init__(self, name: str, service: str, zone: str, address: str, work_s, runs: Runs):
        self.name, self.service, self.zone, self.address = name, service, zone, address
        self.work_s = work_s
        """Function that returns the time of work of the next request in seconds."""
        self.slots = 6
        self.warmup_ms = 0
        self.state = "ready"
        self._runs = runs
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await http_server.serve(self._handle, host, int(port))

    def stop(self) -> None:
        self._server.close()

    def register(self, store: platform_store.PlatformStore) -> None:
        """Writes the server's entry with its present state."""
        self._seq += 1
        entry = {
            "addr": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self._seq, "warmup-left": f"{self.warmup_ms}ms"},
            "born": self._born,
        }
        store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _handle(self, req: http_server.Request) -> http_server.Response:
        request_id = req.headers.get("request-id", "")
        own = [("Request-Id", request_id)]
        if req.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return http_server.Response(status, [("Instance-Id", self.name)])
        if req.headers.get("target-instance", self.name) != self.name:
            return http_server.Response(421, own)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(req.headers.get("request-deadline", "60000")) / 1000
        if self._waiting >= QUEUE:
            return http_server.Response(503, [*own, ("Not-Executed", "1")])
        self._waiting += 1
        try:
            async with asyncio.timeout_at(deadline):
                await self._free.acquire()
        except TimeoutError:
            return http_server.Response(503, [*own, ("Not-Executed", "1")])
        finally:
            self._waiting -= 1
        run = Run(self.name, self.service, loop.time())
        self._runs[request_id].append(run)
        signed = [*own, ("Response-Sig", f"sig.{request_id}")]
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(self.work_s())
        except TimeoutError:
            return http_server.Response(504, signed, b"deadline")
        finally:
            run.ended = loop.time()
            self._free.release()
        return http_server.Response(200, signed, body_of(request_id))
