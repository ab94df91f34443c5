"""One caller's request on its way through the fleet: route, slot, server, answer.

::

    relay = Relay(config, slots, servers, upstream)
    answer = await relay.handle(call)

A request that may run only once is sent again only after a server said that it did not run it, or
when no byte reached one. Callers are told "not run" (503) only then; otherwise a failure is 502 or
504. Every answer of a server that is complete and signed is passed on as it is.
"""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from dotterelfront import (
    errors,
    exchange,
    fleetmodel,
    headers,
    health,
    logs,
    models,
    routing,
    slot_client,
    upstream,
)
from dotterelfront.platform import wire

MAX_CONNECTS = 4
"""Servers that are tried for one request when connections fail; no byte reaches these."""
PATH_MEMORY_S = 8.0
"""A server to which this VM could not connect is avoided for this long."""
DEFAULT_RETRY_AFTER_S = 0.5
"""A caller comes back after this time when servers rejected its request at random."""
END_S = 0.1
"""A failure that comes this close to a request's end is due to its time, not to the server."""


class Call(msgspec.Struct):
    """A caller's request. ``arrived`` is on the event loop's clock.

    ``committed`` is set while a request that must not be broken off is at a server, ``left`` once
    the caller has closed its connection. ``route`` is the name of the route that was found.
    """

    head: headers.RequestHead
    body: bytes
    arrived: float
    committed: bool = False
    left: bool = False
    route: str = ""


class Answer(msgspec.Struct):
    """What the caller gets."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b""


class Verdict(enum.Enum):
    """What a server's response or failure means for the request."""

    ANSWERED = "answered"
    FAILED = "failed"
    """A server's own failure, complete; the request has run."""
    NOT_RUN = "not-run"
    LOST = "lost"
    """No usable response; the request may have run."""
    TIMEOUT = "timeout"
    UNREACHED = "unreached"


class _Outcome(msgspec.Struct):
    verdict: Verdict
    res: exchange.Response | None = None


_RESULTS = {
    Verdict.ANSWERED: health.AttemptResult.ANSWERED,
    Verdict.FAILED: health.AttemptResult.SERVER_ERROR,
    Verdict.NOT_RUN: health.AttemptResult.REFUSED,
    Verdict.LOST: health.AttemptResult.BROKEN,
    Verdict.TIMEOUT: health.AttemptResult.TIMEOUT,
    Verdict.UNREACHED: health.AttemptResult.CONNECT_FAILED,
}

_MAY_REPEAT = {
    Verdict.ANSWERED: False,
    Verdict.FAILED: False,
    Verdict.NOT_RUN: True,
    Verdict.LOST: False,
    Verdict.TIMEOUT: False,
    Verdict.UNREACHED: True,
}
"""Whether a request that may run only once may be sent again."""
_MAY_REPEAT_IDEMPOTENT = _MAY_REPEAT | {Verdict.FAILED: True, Verdict.LOST: True}
_PASSED_ON = frozenset([Verdict.ANSWERED, Verdict.FAILED, Verdict.TIMEOUT])
"""Verdicts after which a complete response goes to the caller."""
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
"""Statuses that tell a caller that its request was not run; a server's own may be untrue."""


class _Progress(msgspec.Struct):
    """What has happened to one request so far. ``ran`` is false while it has not run anywhere."""

    ends: float
    target: float
    sends: int = 0
    connects: int = 0
    ran: bool = False
    last: _Outcome | None = None
    avoid: list[models.ServerId] = []


class Relay:
    """Handles the requests of one VM with the configuration in force."""

    def __init__(
        self,
        slots: slot_client.SlotClient,
        servers: Callable[[models.ServerId], fleetmodel.Instance | None],
        connections: upstream.Upstream,
        seed: int = 0,
    ):
        self._slots = slots
        self._servers = servers
        self._upstream = connections
        self._rng = random.Random(seed)
        self._config: fleetmodel.Configuration | None = None
        self._routes = routing.RouteTable(())
        self._unreached: dict[models.ServerId, float] = {}

    def configure(self, config: fleetmodel.Configuration) -> None:
        """Puts a configuration in force for requests that arrive from now on."""
        self._config = config
        self._routes = routing.RouteTable(config.routes)

    async def handle(self, call: Call) -> Answer:
        """Returns the answer to a request; raises ``errors.RequestError``."""
        if self._config is None:
            raise errors.NoConfigurationError("no configuration yet")
        route = self._routes.match(call.head.host, call.head.method, call.head.path)
        if route is None:
            raise errors.NoRouteError("no route matches")
        call.route = route.name
        left_s = wire.time_left_s(call.head.fields)
        limit_s = route.timeout_s if left_s is None else min(left_s, route.timeout_s)
        progress = _Progress(call.arrived + limit_s, call.arrived + route.objective_s)
        pool = self._choose_pool(route)
        req = _upstream_request(call, route)
        while True:
            outcome = await self._attempt(call, route, pool, req, progress)
            if outcome is None or not self._again(route, outcome, progress) or call.left:
                return _answer(outcome or progress.last, progress)

    async def _attempt(
        self,
        call: Call,
        route: fleetmodel.FleetRoute,
        pool: models.PoolName,
        req: upstream.UpstreamRequest,
        progress: _Progress,
    ) -> _Outcome | None:
        """Sends the request to one server; None when a repetition finds no slot."""
        try:
            lease = await self._slots.acquire(self._need(route, pool, progress))
        except errors.OverloadedError:
            if progress.last is None:
                raise
            return None
        result = health.AttemptResult.CANCELLED
        try:
            call.committed = not route.idempotent
            started = asyncio.get_running_loop().time()
            outcome = await self._send(lease.server, pool, req, progress)
            result = _RESULTS[outcome.verdict]
            if outcome.verdict is not Verdict.ANSWERED:
                _log_failure(req, route, lease.server, outcome, started)
            return outcome
        finally:
            call.committed = False
            lease.release(result)

    async def _send(
        self,
        server_id: models.ServerId,
        pool: models.PoolName,
        req: upstream.UpstreamRequest,
        progress: _Progress,
    ) -> _Outcome:
        now = asyncio.get_running_loop().time()
        server = self._servers(server_id)
        if server is None or server.pool != pool or now >= progress.ends:
            return _Outcome(Verdict.UNREACHED)
        progress.avoid.append(server_id)
        try:
            res = await self._upstream.send(server, req, progress.ends - now)
        except errors.ConnectError:
            self._unreached[server_id] = asyncio.get_running_loop().time()
            return _Outcome(Verdict.UNREACHED)
        except errors.ExchangeTimeoutError:
            return _Outcome(Verdict.TIMEOUT)
        except errors.ExchangeError:
            return _Outcome(Verdict.LOST)
        verdict = classify(res)
        if verdict is Verdict.FAILED and asyncio.get_running_loop().time() > progress.ends - END_S:
            # The server stopped at the end of the time that it was given.
            verdict = Verdict.TIMEOUT
        return _Outcome(verdict, res)

    def _again(self, route: fleetmodel.FleetRoute, outcome: _Outcome, progress: _Progress) -> bool:
        """Records an outcome; returns whether the request goes to another server."""
        progress.last = outcome
        if outcome.verdict is Verdict.UNREACHED:
            progress.connects += 1
        else:
            progress.sends += 1
        if outcome.verdict not in (Verdict.UNREACHED, Verdict.NOT_RUN):
            progress.ran = True
        allowed = _MAY_REPEAT_IDEMPOTENT if route.idempotent else _MAY_REPEAT
        return (
            allowed[outcome.verdict]
            and progress.sends < route.attempts
            and progress.connects < MAX_CONNECTS
            and asyncio.get_running_loop().time() < progress.ends
        )

    def _need(
        self, route: fleetmodel.FleetRoute, pool: models.PoolName, progress: _Progress
    ) -> slot_client.Need:
        return slot_client.Need(
            pool=pool,
            route=route.name,
            priority=route.priority,
            idempotent=route.idempotent,
            ends=progress.ends,
            repeat=progress.sends > 0,
            avoid=(*progress.avoid, *self._unreached_now()),
            target=progress.target,
        )

    def _unreached_now(self) -> list[models.ServerId]:
        if self._unreached:
            now = asyncio.get_running_loop().time()
            for server, at in list(self._unreached.items()):
                if now - at > PATH_MEMORY_S:
                    del self._unreached[server]
        return list(self._unreached)

    def _choose_pool(self, route: fleetmodel.FleetRoute) -> models.PoolName:
        if len(route.parts) == 1:
            return route.parts[0].pool
        weights = [part.weight for part in route.parts]
        return self._rng.choices(route.parts, weights)[0].pool


def _log_failure(
    req: upstream.UpstreamRequest,
    route: fleetmodel.FleetRoute,
    server: models.ServerId,
    outcome: _Outcome,
    started: float,
) -> None:
    logs.event(
        "attempt failed",
        request=req.request_id,
        route=route.name,
        server=server,
        verdict=outcome.verdict.value,
        status=outcome.res.status if outcome.res else 0,
        after_ms=round((asyncio.get_running_loop().time() - started) * 1000),
    )


def classify(res: exchange.Response) -> Verdict:
    """Returns what a complete response of a server means."""
    if wire.not_run(res.status, res.fields):
        return Verdict.NOT_RUN
    if not wire.signed(res.fields) or wire.encoded(res.fields):
        return Verdict.LOST
    return Verdict.ANSWERED if res.status < 500 else Verdict.FAILED


def _answer(outcome: _Outcome, progress: _Progress) -> Answer:
    """Returns the final answer after the last attempt."""
    res = outcome.res
    if outcome.verdict in _PASSED_ON and res is not None and res.status not in NOT_RUN_STATUSES:
        return Answer(res.status, list(wire.from_server(res.headers, res.fields)), res.body)
    if not progress.ran:
        raise errors.OverloadedError("no server took the request", DEFAULT_RETRY_AFTER_S)
    if outcome.verdict is Verdict.TIMEOUT:
        raise errors.ResponseTimeoutError("no response in time")
    raise errors.OutcomeUnknownError("no usable response")


def _upstream_request(call: Call, route: fleetmodel.FleetRoute) -> upstream.UpstreamRequest:
    kept = [
        pair
        for pair in headers.end_to_end(call.head.headers, call.head.fields)
        if pair[0].lower() not in ("content-length", "expect")
    ]
    if call.body or call.head.length != 0 or "content-length" in call.head.fields:
        kept.append(("Content-Length", str(len(call.body))))
    return upstream.UpstreamRequest(
        method=call.head.method,
        target=call.head.target,
        headers=kept,
        body=call.body,
        request_id=wire.request_id(call.head.fields),
        idempotent=route.idempotent,
    )
