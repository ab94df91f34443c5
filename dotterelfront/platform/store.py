"""Client of the platform's store.

::

    client = store.Client("10.200.1.7:8642")
    listing = await client.list_all("servers/")
    changes = await client.watch("servers/", listing.revision, wait_s=20.0)

Calls raise ``errors.StoreUnavailableError`` when their effect is unknown or the store rejects them
temporarily, ``errors.StoreRefusedError`` when the call is invalid, ``errors.StoreConflictError``
when a precondition does not hold, and ``errors.HistoryLostError`` when a watch must restart from a
new listing.
"""

import asyncio
import base64
import collections
import urllib.parse
from typing import Any

import msgspec

from dotterelfront import codec, errors, exchange, fleetmodel
from dotterelfront.platform import formats

CALL_TIMEOUT_S = 2.0
"""A call takes 4 ms, and 60 times as long on a slow store."""
WATCH_SLACK_S = 0.8
"""Time that the response to a watch may take beyond the requested wait."""
MAX_IDLE_S = 1.5
"""Idle time after which a connection is not reused: a call on a connection that no longer responds
costs its whole timeout."""
MAX_PAGES = 1_000
"""Maximum pages of one listing: half a million items, far more than the largest fleet has."""
MAX_LISTING_BYTES = 32_000_000
"""Limit of the response bodies of one listing. 16,000 servers and 1,600 VMs take 6 MB."""


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    rev: int
    value: str = ""
    lease: int = 0
    removed: bool = False


class _Page(msgspec.Struct, rename="kebab"):
    current_rev: int
    items: list[_Item] = []
    events: list[_Item] = []
    has_more: bool = False


class _Lease(msgspec.Struct):
    lease: int


class _TxnResult(msgspec.Struct):
    rev: int


class Client:
    """Store client of one VM. Each call uses an idle connection or a new one."""

    def __init__(self, address: str):
        self._address = address
        self._idle: list[exchange.Connection] = []
        self.calls: collections.Counter[str] = collections.Counter()
        """Calls by kind; each page of a listing is one call."""

    async def list_all(self, prefix: str) -> fleetmodel.Changes:
        """Returns all records under a prefix.

        The pages are not one snapshot. The result has the revision of the first page, so that a
        watch from that revision misses no change.
        """
        records, after, revision, size = [], "", None, 0
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            res = await self._get("list", "/v1/kv-range", query)
            size += len(res.body)
            if size > MAX_LISTING_BYTES:
                raise errors.StoreUnavailableError(
                    f"{prefix}: listing of more than {MAX_LISTING_BYTES} bytes"
                )
            page = _decode_body(res, _Page)
            records += [_decode_item(item) for item in page.items]
            revision = page.current_rev if revision is None else revision
            if not page.has_more or not page.items:
                return fleetmodel.Changes(tuple(records), revision)
            if page.items[-1].key <= after:
                raise errors.StoreUnavailableError(f"{prefix}: pages of a listing do not advance")
            after = page.items[-1].key
        raise errors.StoreUnavailableError(f"{prefix}: listing has more than {MAX_PAGES} pages")

    async def watch(self, prefix: str, after: int, wait_s: float) -> fleetmodel.Changes:
        """Waits for changes after a revision; returns no records when the wait ends without one."""
        query = {"prefix": prefix, "after": after, "wait-ms": round(wait_s * 1000)}
        res = await self._get("watch", "/v1/kv-watch", query, wait_s + WATCH_SLACK_S)
        page = _decode_body(res, _Page)
        return fleetmodel.Changes(
            tuple(_decode_item(event) for event in page.events), max(after, page.current_rev)
        )

    async def lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        res = await self._post("lease", "/v1/kv-lease", {"ttl_time": formats.duration(ttl_s)})
        return _decode_body(res, _Lease).lease

    async def renew_lease(self, lease: int, timeout_s: float = CALL_TIMEOUT_S) -> bool:
        """Renews a lease; returns False when it has expired."""
        target = f"/v1/kv-keep/{lease}"
        res = await self._call("renewal", "POST", target, None, timeout_s, (200, 404))
        return res.status == 200

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease, which removes its keys."""
        target = f"/v1/kv-lease-end/{lease}"
        await self._call("revocation", "DELETE", target, None, CALL_TIMEOUT_S, (200, 404))

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes one item, under ``lease`` unless that is 0; returns its revision."""
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expected": [], "puts": [item], "deletes": []}
        return _decode_body(await self._post("put", "/v1/kv-txn", body), _TxnResult).rev

    def close(self) -> None:
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def _get(self, kind: str, path: str, query: dict, timeout_s: float = CALL_TIMEOUT_S):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._call(kind, "GET", target, None, timeout_s, (200,))

    async def _post(self, kind: str, path: str, body: dict):
        return await self._call(kind, "POST", path, body, CALL_TIMEOUT_S, (200,))

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        body: dict | None,
        timeout_s: float,
        accepted_statuses: tuple,
    ) -> exchange.Response:
        self.calls[kind] += 1
        raw = b"" if body is None else msgspec.json.encode(body)
        pairs = [("Host", self._address), ("Content-Length", str(len(raw)))]
        if raw:
            pairs.append(("Content-Type", "application/json"))
        try:
            conn = self._pop_idle_connection() or await exchange.connect(
                self._address, min(CALL_TIMEOUT_S, timeout_s)
            )
            res = await conn.send(method, target, pairs, raw, timeout_s)
        except errors.ExchangeError as exc:
            raise errors.StoreUnavailableError(f"{method} {target}: {exc}") from exc
        if conn.reusable:
            self._idle.append(conn)
        if res.status not in accepted_statuses:
            error_type = _ERROR_BY_STATUS.get(res.status, errors.StoreRefusedError)
            raise error_type(f"{method} {target}: status {res.status}")
        return res

    def _pop_idle_connection(self) -> exchange.Connection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable and now - conn.idle_since < MAX_IDLE_S:
                return conn
            conn.close()
        return None


_ERROR_BY_STATUS = {
    410: errors.HistoryLostError,
    412: errors.StoreConflictError,
    429: errors.StoreUnavailableError,
    500: errors.StoreUnavailableError,
    502: errors.StoreUnavailableError,
    503: errors.StoreUnavailableError,
    504: errors.StoreUnavailableError,
}


def _decode_item(item: _Item) -> fleetmodel.Record:
    if item.removed:
        return fleetmodel.Record(item.key, item.rev, None)
    try:
        return fleetmodel.Record(item.key, item.rev, base64.b64decode(item.value))
    except ValueError:
        # Decoders of records reject the empty value, so that the record counts as malformed.
        return fleetmodel.Record(item.key, item.rev, b"")


def _decode_body(res: exchange.Response, body_type: type) -> Any:
    try:
        return msgspec.json.decode(res.body, type=body_type)
    except codec.DECODE_ERRORS as exc:
        raise errors.StoreUnavailableError(f"malformed response body: {exc}") from exc
