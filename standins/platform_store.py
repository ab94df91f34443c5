"""Stand-in for the users' platform store: keys, one revision, leases, watches and conditions.

It runs on the event loop of the test or soak that uses it::

    store = PlatformStore()
    await store.serve("127.0.0.9", 2391)
    store.put("op/config", raw)              # what operators and servers write
    store.down = True                        # calls get no answer

Faults: ``down`` (no answer), ``busy`` (503), ``slow_s``, ``lose_replies`` (the next writes are done
and not answered), ``forget_history`` (watches get 410). A store can serve at several hosts, as all
clients on loopback have the same address; ``refused`` and ``silent`` name those of its hosts at
which calls get 503 or no answer.
"""

import asyncio
import base64
import collections
import json
import urllib.parse

from standins import http_server

HISTORY = 2_000
PAGE_ITEMS = 500
EXPIRY_CHECK_S = 0.1


class PlatformStore:
    """State of the store; methods without a connection act as operators and servers."""

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.down = self.busy = False
        self.slow_s = 0.0
        self.lose_replies = 0
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.calls: collections.Counter[str] = collections.Counter()
        self._events: collections.deque[dict] = collections.deque(maxlen=HISTORY)
        self._oldest = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._expiry: asyncio.Task | None = None

    async def serve(self, host: str, port: int) -> None:
        self._servers.append(await http_server.serve(self._answer, host, port))
        if self._expiry is None:
            self._expiry = asyncio.ensure_future(self._expire())

    def close(self) -> None:
        self._expiry.cancel()
        for server in self._servers:
            server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("create-revision", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create-revision": created,
            "lease": lease,
        }
        return self._note(self.items[key])

    def delete(self, key: str) -> int:
        if self.items.pop(key, None) is None:
            return self.revision
        self.revision += 1
        return self._note({"key": key, "rev": self.revision, "removed": True})

    def forget_history(self) -> None:
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def _note(self, event: dict) -> int:
        self._events.append(dict(event))
        self._wake()
        return self.revision

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = asyncio.get_running_loop().time()
            for lease, (until, _) in list(self._leases.items()):
                if now > until:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _answer(self, req: http_server.Request) -> http_server.Response:
        self.calls[req.path] += 1
        await asyncio.sleep(self.slow_s)
        await self._hold_if_silent(req)
        if self.busy or req.local in self.refused:
            return http_server.Response(503)
        query = dict(urllib.parse.parse_qsl(req.query))
        name = (req.method, "/".join(req.path.split("/")[:3]))
        status, body = await _CALLS[name](self, req, query)
        await self._hold_if_silent(req)
        if req.method != "GET" and self.lose_replies:
            self.lose_replies -= 1
            return http_server.Response(0)
        raw = b"" if body is None else json.dumps(body).encode()
        return http_server.Response(status, [("Content-Type", "application/json")], raw)

    async def _hold_if_silent(self, req: http_server.Request) -> None:
        """Keeps a call unanswered, also one that was waiting when the fault began."""
        if self.down or req.local in self.silent:
            await asyncio.sleep(3600)

    async def _key(self, req, query):
        item = self.items.get(query["key"])
        return (200, {**item, "current-rev": self.revision}) if item else (404, None)

    async def _range(self, req, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        found = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        page = [self.items[key] for key in found[:PAGE_ITEMS]]
        more = len(found) > len(page)
        return 200, {"items": page, "has-more": more, "current-rev": self.revision}

    async def _watch(self, req, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = asyncio.get_running_loop().time() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._oldest - 1:
                return 410, None
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, req, query):
        body = json.loads(req.body)
        held = {row["key"]: self.items.get(row["key"]) for row in body["expected"]}
        for row in body["expected"]:
            item = held[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in held.values() if item]}
        if any(put["lease"] and put["lease"] not in self._leases for put in body["puts"]):
            return 404, None
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"rev": self.revision}

    async def _lease(self, req, query):
        text = json.loads(req.body)["ttl_time"]
        ttl_s = int(text.removesuffix("ms")) / 1000
        self.revision += 1
        self._leases[self.revision] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return 200, {"lease": self.revision, "ttl_time": text}

    async def _keep(self, req, query):
        lease = int(req.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, None
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return 200, {"ttl_time": f"{round(ttl_s * 1000)}ms"}

    async def _drop_lease(self, req, query):
        lease = int(req.path.rpartition("/")[2])
        known = lease in self._leases
        self._end_lease(lease)
        return (200 if known else 404), {}


_CALLS = {
    ("GET", "/v1/kv-key"): PlatformStore._key,
    ("GET", "/v1/kv-range"): PlatformStore._range,
    ("GET", "/v1/kv-watch"): PlatformStore._watch,
    ("POST", "/v1/kv-txn"): PlatformStore._txn,
    ("POST", "/v1/kv-lease"): PlatformStore._lease,
    ("POST", "/v1/kv-keep"): PlatformStore._keep,
    ("DELETE", "/v1/kv-lease-end"): PlatformStore._drop_lease,
}
