"""Relays a caller's request: finds the route, acquires a slot, calls a server, returns the answer.

::

    relay = Relay(slots, servers, upstream)
    relay.configure(config)
    answer = await relay.handle(call)

A non-idempotent request is retried only after a server reported that it did not run the request, or
if no byte of the request reached a server. Only then is a failure reported as "not run" (503); any
other failure is 502 or 504. A complete and signed response of a server is relayed unchanged, unless
its status would mean "not run" to the caller.

An idempotent request whose answer takes long is hedged: it is also sent to a second server with a
free slot, and the first answer counts. Few requests take many times as long as the others, and a
second server mostly answers them in time.
"""

import asyncio
import enum
import functools
import random
from collections.abc import Callable, Sequence

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
    server_signals,
    slot_client,
    upstream,
)
from dotterelfront.platform import wire

MAX_UNREACHED_ATTEMPTS = 4
"""Number of attempts that reached no server after which a request fails. Such an attempt sends no
byte of the request."""
MAX_WITHHELD_ATTEMPTS = 4
"""Number of grants given back after which a request fails. The next slot request excludes the
servers that want no requests, so more than one is rare."""
AVOID_UNREACHABLE_S = 8.0
"""Time for which this VM avoids a server after a failed attempt to connect."""
DEFAULT_RETRY_AFTER_S = 0.5
"""``Retry-After`` in the answer to a request that no server accepted. It is short, because servers
reject requests at random."""
DEADLINE_MARGIN_S = 0.1
"""A server error less than this time before a request's deadline, or after it, counts as a timeout
and not as a fault of the server."""
PAUSE_SPREAD_S = 0.25
"""Callers that wait for the end of a pause come back over this time, not all at once."""
HEDGE_SHARE = 0.6
"""Share of the time until its objective after which an idempotent request is hedged. Usual work is
done by then, and a second server can still answer in time."""


class Call(msgspec.Struct):
    """A caller's request. ``arrived`` is on the event loop's clock.

    ``committed`` is set while a non-idempotent request is at a server and must not be cancelled,
    ``disconnected`` once the caller has closed its connection. ``route`` names the matching route.
    """

    head: headers.RequestHead
    body: bytes
    arrived: float
    committed: bool = False
    disconnected: bool = False
    route: str = ""


class Answer(msgspec.Struct):
    """The response to the caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b""


class Verdict(enum.Enum):
    """How one attempt ended for the request."""

    ANSWERED = "answered"
    FAILED = "failed"
    """Complete server error response; the request has run."""
    NOT_RUN = "not-run"
    LOST = "lost"
    """No usable response; the request may have run."""
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    WITHHELD = "withheld"
    """Not sent, because the server leaves or wants no requests."""


class _Outcome(msgspec.Struct):
    """``reason`` tells why there is no usable response."""

    verdict: Verdict
    res: exchange.Response | None = None
    reason: str = ""


_ATTEMPT_RESULTS = {
    Verdict.ANSWERED: health.AttemptResult.ANSWERED,
    Verdict.FAILED: health.AttemptResult.SERVER_ERROR,
    Verdict.NOT_RUN: health.AttemptResult.REFUSED,
    Verdict.LOST: health.AttemptResult.BROKEN,
    Verdict.TIMEOUT: health.AttemptResult.TIMEOUT,
    Verdict.UNREACHED: health.AttemptResult.CONNECT_FAILED,
    Verdict.WITHHELD: health.AttemptResult.CANCELLED,
}

_RETRYABLE = {
    Verdict.ANSWERED: False,
    Verdict.FAILED: False,
    Verdict.NOT_RUN: True,
    Verdict.LOST: False,
    Verdict.TIMEOUT: False,
    Verdict.UNREACHED: True,
    Verdict.WITHHELD: True,
}
"""Whether a non-idempotent request may be retried."""
_RETRYABLE_IDEMPOTENT = _RETRYABLE | {Verdict.FAILED: True, Verdict.LOST: True}
_NOT_SENT_OR_RUN = frozenset([Verdict.UNREACHED, Verdict.WITHHELD, Verdict.NOT_RUN])
_RELAYED = frozenset([Verdict.ANSWERED, Verdict.FAILED, Verdict.TIMEOUT])
"""Verdicts whose response, if complete, is relayed to the caller."""
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
"""Statuses that mean "not run" to a caller. A server's response with such a status is not relayed,
because the server may have run the request."""


class _Progress(msgspec.Struct):
    """State of one request across its attempts.

    ``deadline`` and ``objective`` are on the event loop's clock. An answer by ``objective`` meets
    the route's latency objective. ``may_have_run`` is false while no server can have run the
    request.
    """

    deadline: float
    objective: float
    sent_attempts: int = 0
    unreached_attempts: int = 0
    withheld_attempts: int = 0
    may_have_run: bool = False
    last: _Outcome | None = None
    avoid: list[models.ServerId] = []
    retry_after_s: float | None = None
    """Time after which a retry can succeed, if it is known."""


class Fleet(msgspec.Struct, frozen=True):
    """Functions with which a relay looks up the fleet.

    ``server`` and ``servers`` return the current server of an id and the servers of a pool.
    ``on_leaving`` is called when a server says for the first time that it leaves.
    """

    server: Callable[[models.ServerId], fleetmodel.Instance | None]
    servers: Callable[[models.PoolName], Sequence[fleetmodel.Instance]] = lambda pool: ()
    on_leaving: Callable[[fleetmodel.Instance], None] = lambda server: None


class Relay:
    """Handles the requests of one VM with the configuration in force."""

    def __init__(
        self,
        slots: slot_client.SlotClient,
        fleet: Fleet,
        connections: upstream.Upstream,
        seed: int = 0,
    ):
        self.signals = server_signals.ServerSignals()
        self._slots = slots
        self._fleet = fleet
        self._upstream = connections
        self._rng = random.Random(seed)
        self._config: fleetmodel.Configuration | None = None
        self._routes = routing.RouteTable(())
        self._unreachable: dict[models.ServerId, float] = {}
        """Time of the last failed attempt to connect, by server."""

    def configure(self, config: fleetmodel.Configuration) -> None:
        """Sets the configuration for requests that arrive from now on."""
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
        remaining_s = wire.time_left_s(call.head.fields)
        limit_s = route.timeout_s if remaining_s is None else min(remaining_s, route.timeout_s)
        progress = _Progress(call.arrived + limit_s, call.arrived + route.objective_s)
        pool = self._choose_pool(route)
        req = _upstream_request(call, route)
        while True:
            attempt = self._attempt_hedged if route.idempotent else self._attempt
            outcome = await attempt(call, route, pool, req, progress)
            if (
                outcome is None
                or not self._record_outcome(route, outcome, progress)
                or call.disconnected
            ):
                progress.retry_after_s = self._pool_pause_s(pool) or progress.retry_after_s
                return _answer(outcome or progress.last, progress)

    async def _attempt_hedged(
        self,
        call: Call,
        route: fleetmodel.FleetRoute,
        pool: models.PoolName,
        req: upstream.UpstreamRequest,
        progress: _Progress,
    ) -> _Outcome | None:
        """Sends the request to one server, and to a second one if the answer takes long.

        The first answer counts. Any other outcome of one server is kept until the other one ends.
        """
        tasks = [asyncio.ensure_future(self._attempt(call, route, pool, req, progress))]
        try:
            await asyncio.wait(tasks, timeout=self._hedge_delay_s(call, progress))
            in_flight = len(progress.avoid) > progress.sent_attempts + progress.unreached_attempts
            may_hedge = in_flight and progress.sent_attempts + 2 <= route.attempts
            if not tasks[0].done() and may_hedge:
                hedge = self._attempt(call, route, pool, req, progress, is_hedge=True)
                tasks.append(asyncio.ensure_future(hedge))
            return await self._first_answer(route, tasks, progress)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _first_answer(
        self,
        route: fleetmodel.FleetRoute,
        tasks: list[asyncio.Future],
        progress: _Progress,
    ) -> _Outcome | None:
        """Returns the first answer, or the outcome of the attempt that ended last."""
        last = None
        pending = set(tasks)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                outcome = task.result()
                if outcome is None:
                    continue
                if last is not None:
                    self._record_outcome(route, last, progress)
                last = outcome
                if outcome.verdict is Verdict.ANSWERED:
                    return outcome
        return last

    def _hedge_delay_s(self, call: Call, progress: _Progress) -> float:
        objective_s = min(progress.objective, progress.deadline) - call.arrived
        now = asyncio.get_running_loop().time()
        return max(0.0, call.arrived + HEDGE_SHARE * objective_s - now)

    async def _attempt(
        self,
        call: Call,
        route: fleetmodel.FleetRoute,
        pool: models.PoolName,
        req: upstream.UpstreamRequest,
        progress: _Progress,
        is_hedge: bool = False,
    ) -> _Outcome | None:
        """Sends the request to one server; returns None if a retry or a hedge gets no slot."""
        try:
            self._check_pauses(pool)
            requirements = self._slot_requirements(route, pool, progress, is_hedge)
            lease = await self._slots.acquire(requirements)
        except errors.OverloadedError as exc:
            if progress.last is None and not is_hedge:
                raise
            progress.retry_after_s = exc.retry_after_s
            return None
        result = health.AttemptResult.CANCELLED
        try:
            call.committed = not route.idempotent
            started = asyncio.get_running_loop().time()
            outcome = await self._send(lease.server, pool, req, progress)
            result = _ATTEMPT_RESULTS[outcome.verdict]
            if outcome.verdict not in (Verdict.ANSWERED, Verdict.WITHHELD):
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
        server = self._fleet.server(server_id)
        if server is None or server.pool != pool or now >= progress.deadline:
            return _Outcome(Verdict.UNREACHED)
        is_first = server_id not in progress.avoid
        progress.avoid.append(server_id)
        remaining_s = progress.deadline - now
        may_send = functools.partial(self._may_send, server, req)
        try:
            res = await self._upstream.send(server, req, remaining_s, is_first, may_send)
        except errors.SendWithheldError:
            progress.avoid.remove(server_id)
            return _Outcome(Verdict.WITHHELD)
        except errors.ConnectError:
            self._unreachable[server_id] = asyncio.get_running_loop().time()
            return _Outcome(Verdict.UNREACHED)
        except errors.ExchangeTimeoutError:
            return _Outcome(Verdict.TIMEOUT)
        except errors.BrokenExchangeError as exc:
            return _Outcome(Verdict.LOST, reason=exc.reason.value)
        self._record_signals(server, req, res)
        verdict = classify(res)
        if (
            verdict is Verdict.FAILED
            and asyncio.get_running_loop().time() > progress.deadline - DEADLINE_MARGIN_S
        ):
            # The server gave up because of the deadline that the request carries.
            verdict = Verdict.TIMEOUT
        return _Outcome(verdict, res)

    def _may_send(self, server: fleetmodel.Instance, req: upstream.UpstreamRequest) -> bool:
        """Whether a server may get a request now; logs a request that is withheld."""
        block = self.signals.block(server, asyncio.get_running_loop().time())
        if block is None:
            return True
        self.signals.counters[f"withheld-{block.value}"] += 1
        logs.event("send withheld", request=req.request_id, server=server.id, reason=block.value)
        return False

    def _record_signals(
        self, server: fleetmodel.Instance, req: upstream.UpstreamRequest, res: exchange.Response
    ) -> None:
        """Records what a response says about further requests to its server."""
        if res.status == wire.MISDIRECTED:
            # Another server has answered at this address.
            return
        if wire.announces_leaving(res.fields) and self.signals.on_leaving(server):
            logs.event("server leaves", request=req.request_id, server=server.id)
            self._fleet.on_leaving(server)
        pause_s = wire.requested_pause_s(res.status, res.fields)
        if pause_s is not None:
            self.signals.on_pause(server, pause_s, asyncio.get_running_loop().time())
            logs.event("server pauses", request=req.request_id, server=server.id, for_s=pause_s)

    def _check_pauses(self, pool: models.PoolName) -> None:
        """Raises ``errors.OverloadedError`` if no server of a pool wants requests now."""
        pause_s = self._pool_pause_s(pool)
        if pause_s is not None:
            raise errors.OverloadedError("no server of the pool wants requests", pause_s)

    def _pool_pause_s(self, pool: models.PoolName) -> float | None:
        """Returns when to retry if no server of a pool wants requests now, in seconds."""
        now = asyncio.get_running_loop().time()
        pause_s = self.signals.pool_pause_s(self._fleet.servers(pool), now)
        return None if pause_s is None else pause_s + self._rng.uniform(0.0, PAUSE_SPREAD_S)

    def _record_outcome(
        self, route: fleetmodel.FleetRoute, outcome: _Outcome, progress: _Progress
    ) -> bool:
        """Records an outcome; returns whether the request may be retried on another server."""
        progress.last = outcome
        if outcome.verdict is Verdict.UNREACHED:
            progress.unreached_attempts += 1
        elif outcome.verdict is Verdict.WITHHELD:
            progress.withheld_attempts += 1
        else:
            progress.sent_attempts += 1
        if outcome.verdict not in _NOT_SENT_OR_RUN:
            progress.may_have_run = True
        retryable = _RETRYABLE_IDEMPOTENT if route.idempotent else _RETRYABLE
        return (
            retryable[outcome.verdict]
            and progress.sent_attempts < route.attempts
            and progress.unreached_attempts < MAX_UNREACHED_ATTEMPTS
            and progress.withheld_attempts < MAX_WITHHELD_ATTEMPTS
            and asyncio.get_running_loop().time() < progress.deadline
        )

    def _slot_requirements(
        self,
        route: fleetmodel.FleetRoute,
        pool: models.PoolName,
        progress: _Progress,
        is_hedge: bool,
    ) -> slot_client.SlotRequirements:
        return slot_client.SlotRequirements(
            pool=pool,
            route=route.name,
            priority=route.priority,
            idempotent=route.idempotent,
            deadline=progress.deadline,
            is_retry=is_hedge or progress.sent_attempts > 0,
            avoid=(*progress.avoid, *self._unreachable_servers()),
            objective=progress.objective,
            connected=self._upstream.connected(pool, route.idempotent),
            excluded=self.signals.blocked(
                self._fleet.servers(pool), asyncio.get_running_loop().time()
            ),
            may_wait=not is_hedge,
        )

    def _unreachable_servers(self) -> list[models.ServerId]:
        if self._unreachable:
            now = asyncio.get_running_loop().time()
            for server, failed_at in list(self._unreachable.items()):
                if now - failed_at > AVOID_UNREACHABLE_S:
                    del self._unreachable[server]
        return list(self._unreachable)

    def _choose_pool(self, route: fleetmodel.FleetRoute) -> models.PoolName:
        if len(route.weighted_pools) == 1:
            return route.weighted_pools[0].pool
        weights = [weighted_pool.weight for weighted_pool in route.weighted_pools]
        return self._rng.choices(route.weighted_pools, weights)[0].pool


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
        reason=outcome.reason,
        after_ms=round((asyncio.get_running_loop().time() - started) * 1000),
    )


def classify(res: exchange.Response) -> Verdict:
    """Returns the verdict on a complete response of a server."""
    if wire.not_run(res.status, res.fields):
        return Verdict.NOT_RUN
    if not wire.has_signature(res.fields) or wire.has_content_coding(res.fields):
        return Verdict.LOST
    return Verdict.ANSWERED if res.status < 500 else Verdict.FAILED


def _answer(outcome: _Outcome, progress: _Progress) -> Answer:
    """Returns the answer to the caller after the last attempt; raises ``errors.RequestError``."""
    res = outcome.res
    if outcome.verdict in _RELAYED and res is not None and res.status not in NOT_RUN_STATUSES:
        return Answer(
            res.status, list(wire.relayed_response_headers(res.headers, res.fields)), res.body
        )
    if not progress.may_have_run:
        retry_after_s = progress.retry_after_s or DEFAULT_RETRY_AFTER_S
        raise errors.OverloadedError("no server accepted the request", retry_after_s)
    if outcome.verdict is Verdict.TIMEOUT:
        raise errors.ResponseTimeoutError("no response before the deadline")
    raise errors.OutcomeUnknownError("no usable response")


def _upstream_request(call: Call, route: fleetmodel.FleetRoute) -> upstream.UpstreamRequest:
    relayed = [
        pair
        for pair in headers.end_to_end(call.head.headers, call.head.fields)
        if pair[0].lower() not in ("content-length", "expect")
    ]
    if call.body or call.head.length != 0 or "content-length" in call.head.fields:
        relayed.append(("Content-Length", str(len(call.body))))
    return upstream.UpstreamRequest(
        method=call.head.method,
        target=call.head.target,
        headers=relayed,
        body=call.body,
        request_id=wire.request_id(call.head.fields),
        idempotent=route.idempotent,
    )
