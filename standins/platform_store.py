"""Stand-in for the users' platform store, with leases, watches and conditional transactions.

All keys share one revision. The store runs on the event loop of the test or soak that uses it::

    store = PlatformStore()
    await store.serve("127.0.0.9", 2391)
    store.put("op/config", raw)              # a write of an operator or a server
    store.down = True                        # calls get no response

Faults:

- ``down``: calls get no response.
- ``busy``: calls get status 503.
- ``slow_s``: delay of each call.
- ``lose_replies``: how many of the next writes are applied, but get no response.
- ``discard_history()``: drops past events, so that watches from older revisions get status 410.
- ``refused_hosts`` and ``silent_hosts``: hosts of the store at which calls get status 503 or no
  response.

All clients on loopback have the same address. A store can therefore serve at several hosts, so that
a fault can affect some clients only.
"""

import asyncio
import base64
import collections
import json
import urllib.parse

from standins import http_server

HISTORY_EVENTS = 2_000
"""Number of past events that watches can still return."""
PAGE_ITEMS = 500
EXPIRY_CHECK_S = 0.1


class PlatformStore:
    """The store; ``put`` and ``delete`` write directly, as operators and servers would."""

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.down = self.busy = False
        self.slow_s = 0.0
        self.lose_replies = 0
        self.refused_hosts: set[str] = set()
        self.silent_hosts: set[str] = set()
        self.calls: collections.Counter[str] = collections.Counter()
        self._events: collections.deque[dict] = collections.deque(maxlen=HISTORY_EVENTS)
        self._lost_until = 0
        """Revision up to which events are no longer available."""
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._expiry_task: asyncio.Task | None = None

    async def serve(self, host: str, port: int) -> None:
        """Starts to serve at an address; may be called for several addresses."""
        self._servers.append(await http_server.serve(self._handle, host, port))
        if self._expiry_task is None:
            self._expiry_task = asyncio.ensure_future(self._expire())

    def close(self) -> None:
        self._expiry_task.cancel()
        for server in self._servers:
            server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key unconditionally; returns the new revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("create-revision", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create-revision": created,
            "lease": lease,
        }
        return self._record_event(self.items[key])

    def delete(self, key: str) -> int:
        """Deletes a key if it exists; returns the store's revision."""
        if self.items.pop(key, None) is None:
            return self.revision
        self.revision += 1
        return self._record_event({"key": key, "rev": self.revision, "removed": True})

    def discard_history(self) -> None:
        self._events.clear()
        self._lost_until = self.revision
        self._notify_watches()

    def _record_event(self, event: dict) -> int:
        if len(self._events) == HISTORY_EVENTS:
            self._lost_until = self._events[0]["rev"]
        self._events.append(dict(event))
        self._notify_watches()
        return self.revision

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = asyncio.get_running_loop().time()
            for lease, (expires_at, _) in list(self._leases.items()):
                if now > expires_at:
                    self._remove_lease(lease)

    def _remove_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _handle(self, req: http_server.Request) -> http_server.Response:
        self.calls[req.path] += 1
        await asyncio.sleep(self.slow_s)
        await self._hang_if_unresponsive(req)
        if self.busy or req.server_host in self.refused_hosts:
            return http_server.Response(503)
        query = dict(urllib.parse.parse_qsl(req.query))
        endpoint = (req.method, "/".join(req.path.split("/")[:3]))
        status, body = await _HANDLERS[endpoint](self, req, query)
        await self._hang_if_unresponsive(req)
        if req.method != "GET" and self.lose_replies:
            self.lose_replies -= 1
            return http_server.Response(0)
        raw = b"" if body is None else json.dumps(body).encode()
        return http_server.Response(status, [("Content-Type", "application/json")], raw)

    async def _hang_if_unresponsive(self, req: http_server.Request) -> None:
        """Withholds the response, also of a watch that was pending when the fault began."""
        if self.down or req.server_host in self.silent_hosts:
            await asyncio.sleep(3600)

    async def _get_key(self, req, query):
        item = self.items.get(query["key"])
        return (200, {**item, "current-rev": self.revision}) if item else (404, None)

    async def _get_range(self, req, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        matches = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        page = [self.items[key] for key in matches[:PAGE_ITEMS]]
        has_more = len(matches) > len(page)
        return 200, {"items": page, "has-more": has_more, "current-rev": self.revision}

    async def _watch(self, req, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        deadline = asyncio.get_running_loop().time() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._lost_until:
                return 410, None
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _run_transaction(self, req, query):
        body = json.loads(req.body)
        current = {
            condition["key"]: self.items.get(condition["key"]) for condition in body["expected"]
        }
        for condition in body["expected"]:
            item = current[condition["key"]]
            if (item["rev"] if item else 0) != condition["rev"]:
                return 412, {"items": [item for item in current.values() if item]}
        if any(put["lease"] and put["lease"] not in self._leases for put in body["puts"]):
            return 404, None
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"rev": self.revision}

    async def _grant_lease(self, req, query):
        text = json.loads(req.body)["ttl_time"]
        ttl_s = int(text.removesuffix("ms")) / 1000
        self.revision += 1
        self._leases[self.revision] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return 200, {"lease": self.revision, "ttl_time": text}

    async def _renew_lease(self, req, query):
        lease = int(req.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, None
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return 200, {"ttl_time": f"{round(ttl_s * 1000)}ms"}

    async def _revoke_lease(self, req, query):
        lease = int(req.path.rpartition("/")[2])
        existed = lease in self._leases
        self._remove_lease(lease)
        return (200 if existed else 404), {}


_HANDLERS = {
    ("GET", "/v1/kv-key"): PlatformStore._get_key,
    ("GET", "/v1/kv-range"): PlatformStore._get_range,
    ("GET", "/v1/kv-watch"): PlatformStore._watch,
    ("POST", "/v1/kv-txn"): PlatformStore._run_transaction,
    ("POST", "/v1/kv-lease"): PlatformStore._grant_lease,
    ("POST", "/v1/kv-keep"): PlatformStore._renew_lease,
    ("DELETE", "/v1/kv-lease-end"): PlatformStore._revoke_lease,
}
