"""Requests to backend servers over pooled persistent connections.

::

    upstream = Upstream()
    res = await upstream.send(instance, req, remaining_s=1.9)

Raises ``errors.ConnectError`` when no byte reached the server, ``errors.BrokenExchangeError`` and
``errors.ExchangeTimeoutError`` when the request may have run. Connections are pooled by server and
start time, so that none is reused for another server that took over the address.
"""

import asyncio
import collections
import functools
from collections.abc import Callable

import msgspec

from dotterelfront import errors, exchange, fleetmodel, models, read_budget
from dotterelfront.platform import wire

CONNECT_TIMEOUT_S = 0.15
"""Connecting takes 1 ms; a longer time indicates a network partition or an overloaded server."""
IDLE_LIMIT_S = 8.0
"""Maximum idle time of a reused connection; servers close idle connections after 10 s."""
IDLE_LIMIT_NON_IDEMPOTENT_S = 0.2
"""Maximum idle time of a connection reused for a non-idempotent request. If the server closes the
connection during the request, the outcome is unknown, and a new connection costs little. Some
servers drop connections that were idle for 0.25 to 0.3 s and reset the next request."""
IDLE_MARGIN_S = 1.0
"""A connection is not reused within this time before the idle timeout that the server announces."""
MAX_CONNECTED = 4
"""Servers with an idle connection that a slot request names, the most recently used ones."""
MAX_IDLE_PER_SERVER = 8
"""Limit of idle connections to one server. A VM uses fewer slots of a server at once."""
RESPONSE_SLACK_S = 0.05
"""Extra time to receive a response that the server sends right at its deadline."""

_PoolKey = tuple[models.ServerId, int]


class UpstreamRequest(msgspec.Struct):
    """A request to a server; ``headers`` are end-to-end headers only."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    idempotent: bool


class Upstream:
    """Connection pool of one VM for all servers.

    ``budget`` limits the response bytes that are buffered at one time.
    """

    def __init__(self, budget: read_budget.ReadBudget | None = None):
        self._budget = budget
        self._idle: dict[_PoolKey, list[exchange.Connection]] = {}
        self._pools: dict[models.ServerId, models.PoolName] = {}
        self.broken: collections.Counter[str] = collections.Counter()
        """Broken exchanges by reason."""

    async def send(
        self,
        server: fleetmodel.Instance,
        req: UpstreamRequest,
        remaining_s: float,
        reuse: bool = True,
        may_send: Callable[[], bool] = lambda: True,
    ) -> exchange.Response:
        """Sends a request to one server and returns its response.

        ``remaining_s`` is the time left until the request's deadline. ``reuse`` must be false if
        the server has had the request before: a late copy of its first response has the same id.
        ``may_send`` is asked right before the request is sent; if it refuses,
        ``errors.SendWithheldError`` is raised.
        """
        started = asyncio.get_running_loop().time()
        # Only the id tells a late response to an earlier request from the expected one.
        reuse = reuse and bool(req.request_id)
        conn = self._take_idle(server, req.idempotent, started) if reuse else None
        if conn is None:
            connect_s = min(CONNECT_TIMEOUT_S, remaining_s)
            conn = await exchange.connect(server.address, connect_s, self._budget)
        remaining_s -= asyncio.get_running_loop().time() - started
        if remaining_s <= 0.0:
            self._put_idle(server, conn)
            raise errors.ConnectError("the deadline passed before the request was sent")
        if not may_send():
            self._put_idle(server, conn)
            raise errors.SendWithheldError(f"{server.id} gets no requests")
        pairs = wire.server_request_headers(req.headers, server.id, remaining_s)
        matches = functools.partial(_is_response_to, req.request_id)
        timeout_s = remaining_s + RESPONSE_SLACK_S
        try:
            res = await conn.send(req.method, req.target, pairs, req.body, timeout_s, matches)
        except errors.BrokenExchangeError as exc:
            self.broken[exc.reason.value] += 1
            raise
        if conn.reusable:
            self._put_idle(server, conn)
        return res

    def connected(self, pool: models.PoolName, idempotent: bool) -> tuple[models.ServerId, ...]:
        """Returns servers of a pool with a connection that such a request may reuse."""
        now = asyncio.get_running_loop().time()
        usable = [
            (now - idle[-1].idle_since, key[0])
            for key, idle in self._idle.items()
            if idle and self._pools.get(key[0]) == pool and _is_usable(idle[-1], idempotent, now)
        ]
        return tuple(server for _, server in sorted(usable)[:MAX_CONNECTED])

    def close_idle(self, server: models.ServerId) -> None:
        """Closes the idle connections to one server."""
        self._pools.pop(server, None)
        for key in [key for key in self._idle if key[0] == server]:
            for conn in self._idle.pop(key):
                conn.close()

    def close(self) -> None:
        for server in {key[0] for key in self._idle}:
            self.close_idle(server)

    def _take_idle(
        self, server: fleetmodel.Instance, idempotent: bool, now: float
    ) -> exchange.Connection | None:
        idle = self._idle.get(_pool_key(server), [])
        while idle:
            conn = idle.pop()
            if _is_usable(conn, idempotent, now):
                return conn
            conn.close()
        return None

    def _put_idle(self, server: fleetmodel.Instance, conn: exchange.Connection) -> None:
        idle = self._idle.setdefault(_pool_key(server), [])
        self._pools[server.id] = server.pool
        if len(idle) >= MAX_IDLE_PER_SERVER:
            idle.pop(0).close()
        idle.append(conn)


def _pool_key(server: fleetmodel.Instance) -> _PoolKey:
    return (server.id, server.started_ms)


def _is_usable(conn: exchange.Connection, idempotent: bool, now: float) -> bool:
    return conn.reusable and now - conn.idle_since < _idle_limit_s(conn, idempotent)


def _idle_limit_s(conn: exchange.Connection, idempotent: bool) -> float:
    limit_s = IDLE_LIMIT_S if idempotent else IDLE_LIMIT_NON_IDEMPOTENT_S
    if conn.idle_limit_s is not None:
        limit_s = min(limit_s, conn.idle_limit_s - IDLE_MARGIN_S)
    return limit_s


def _is_response_to(request_id: str, fields: dict[str, str]) -> bool:
    return wire.matches_request_id(fields, request_id)
