"""Requests to backend servers over kept connections.

::

    upstream = Upstream()
    res = await upstream.send(instance, req, left_s=1.9)

Raises ``errors.ConnectError`` when no byte reached the server, ``errors.BrokenExchangeError`` and
``errors.ExchangeTimeoutError`` when the request may have run. Connections are kept per start of a
server, so that none serves a server that took over an address.
"""

import asyncio
import functools

import msgspec

from dotterelfront import exchange, fleetmodel, models
from dotterelfront.platform import wire

CONNECT_TIMEOUT_S = 0.15
"""A connection takes 1 ms; one that takes longer meets a partition or a full server."""
IDLE_S = 8.0
"""Kept connections are used for this long; servers close idle ones after 10 s."""
IDLE_ONCE_S = 0.2
"""The same for requests that may run only once: a server that closes a connection while a request
is under way leaves its outcome unknown, and a new connection costs little. Some servers forget
connections that were idle for 0.25 to 0.3 s and reset what is sent next."""
IDLE_MARGIN_S = 1.0
"""A connection is given up this long before the time that the server announces."""
MAX_IDLE = 8
"""Idle connections kept for one server, more than a VM uses of its slots at once."""
ANSWER_SLACK_S = 0.05
"""Time for a response that the server sends at the end of the time that it was given."""

Key = tuple[models.ServerId, int]


class UpstreamRequest(msgspec.Struct):
    """A request as servers get it; ``headers`` are without those of one connection."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    idempotent: bool


class Upstream:
    """Connections of one VM to all servers."""

    def __init__(self):
        self._idle: dict[Key, list[exchange.Connection]] = {}

    async def send(
        self, server: fleetmodel.Instance, req: UpstreamRequest, left_s: float
    ) -> exchange.Response:
        """Sends a request to one server and returns its response."""
        started = asyncio.get_running_loop().time()
        conn = self._take_idle(server, req.idempotent, started)
        if conn is None:
            conn = await exchange.connect(server.address, min(CONNECT_TIMEOUT_S, left_s))
        left_s -= asyncio.get_running_loop().time() - started
        pairs = wire.to_server(req.headers, server.id, left_s)
        mine = functools.partial(_is_mine, req.request_id)
        res = await conn.send(
            req.method, req.target, pairs, req.body, max(0.0, left_s) + ANSWER_SLACK_S, mine
        )
        if conn.reusable:
            self._keep(server, conn)
        return res

    def drop(self, server: models.ServerId) -> None:
        """Closes the idle connections to a server that is gone."""
        for key in [key for key in self._idle if key[0] == server]:
            for conn in self._idle.pop(key):
                conn.close()

    def close(self) -> None:
        for server in {key[0] for key in self._idle}:
            self.drop(server)

    def _take_idle(
        self, server: fleetmodel.Instance, idempotent: bool, now: float
    ) -> exchange.Connection | None:
        kept = self._idle.get(_key(server), [])
        while kept:
            conn = kept.pop()
            if conn.reusable and now - conn.idle_since < _idle_limit_s(conn, idempotent):
                return conn
            conn.close()
        return None

    def _keep(self, server: fleetmodel.Instance, conn: exchange.Connection) -> None:
        kept = self._idle.setdefault(_key(server), [])
        if len(kept) >= MAX_IDLE:
            kept.pop(0).close()
        kept.append(conn)


def _key(server: fleetmodel.Instance) -> Key:
    return (server.id, server.started_ms)


def _idle_limit_s(conn: exchange.Connection, idempotent: bool) -> float:
    limit_s = IDLE_S if idempotent else IDLE_ONCE_S
    if conn.idle_limit_s is not None:
        limit_s = min(limit_s, conn.idle_limit_s - IDLE_MARGIN_S)
    return limit_s


def _is_mine(request_id: str, fields: dict[str, str]) -> bool:
    return wire.belongs_to(fields, request_id)
