"""Delivers callers' requests: at most once for those that are not idempotent.

Every VM has two roles. As an entry it passes a request to the issuer of its operation token. As an
issuer it decides with its ledger whether a request is dispatched::

    reply = deliverer.deliver(route, request)        # at the entry
    reply = deliverer.handle(messages.Deliver(...))  # at the issuer, for another VM

Only the issuer may reply that an operation did not run. Another delivery of it may have run, and
only the issuer's ledger records that.
"""

import concurrent.futures
import os
import threading
from collections.abc import Callable

import msgspec

from dotterelfront import claims, dispatch, errors, messages, models, operations, peers

OPERATION_HEADER = "Dotterelfront-Operation"
OPERATION_FIELD = OPERATION_HEADER.lower()
IDEMPOTENCY_FIELD = "idempotency-key"


class Request(msgspec.Struct, frozen=True):
    """A caller's request.

    ``deadline`` is in seconds since the epoch. ``target`` is the path with the query. Header names
    have the case in which they were received.
    """

    customer: models.CustomerId
    request_id: models.RequestId
    deadline: float
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Deliverer:
    """Delivers requests with an operation through their issuer and all others directly.

    ``peer_slots`` limits the workers that serve deliveries from other VMs at one time. Each of them
    waits for a shard owner, so two issuers that occupied all workers of each other would deadlock.
    """

    def __init__(
        self,
        identity: dispatch.Identity,
        dispatcher: dispatch.Dispatcher,
        vms: Callable[[], tuple[models.Vm, ...]],
        caller: peers.Caller,
        data_port: int,
        key_claims: claims.Claims,
        peer_slots: int,
        call_ids: dispatch.CallIds,
        clock: dispatch.Clock | None = None,
        entropy: Callable[[int], bytes] = os.urandom,
        ledger_entries: int = operations.MAX_ENTRIES,
    ):
        self._identity = identity
        self._dispatcher = dispatcher
        self._vms = vms
        self._caller = caller
        self._data_port = data_port
        self._key_claims = key_claims
        self._peer_slots = threading.BoundedSemaphore(peer_slots)
        self._call_ids = call_ids
        self._clock = clock or dispatch.Clock()
        self._entropy = entropy
        self._issuer = operations.Issuer(identity.vm.id, identity.incarnation, entropy(32))
        self._ledger = operations.Ledger(self._issuer, ledger_entries)
        self._running: dict[bytes, concurrent.futures.Future] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Starts the background thread that deletes old claims."""
        threading.Thread(
            target=self._key_claims.collect_forever,
            args=(self._identity.vm.id, self._vms, threading.Event()),
            name="claims",
            daemon=True,
        ).start()

    def deliver(self, route: models.Route, req: Request) -> messages.Forwarded:
        """Returns the reply to a caller's request; errors become replies too."""
        try:
            reply = self._deliver(route, req)
        except errors.RequestError as exc:
            reply = dispatch.error_reply(exc)
        return _without_token(reply) if route.idempotent else self.with_token(reply)

    def handle(self, msg: messages.Message) -> messages.Forwarded:
        """Handles a call from another VM; raises ``errors.MessageError`` for other messages."""
        if isinstance(msg, messages.Forward):
            return dispatch.reply_to(msg, self._dispatcher.serve)
        if isinstance(msg, messages.Deliver):
            return dispatch.reply_to(msg, self._serve_delivery)
        raise errors.MessageError(f"unexpected {type(msg).__name__}")

    def issue_tokens(self, count: str) -> messages.Forwarded:
        """Returns ``count`` new tokens as JSON; ``count`` is the text of a query parameter."""
        if not (count.isascii() and count.isdigit() and 1 <= int(count) <= operations.MAX_BATCH):
            raise errors.MalformedRequestError(f"count must be 1..{operations.MAX_BATCH}")
        new_tokens = [self._new_token() for _ in range(int(count))]
        body = msgspec.json.encode({"operations": new_tokens, "valid_s": operations.VALID_S})
        headers = (("Content-Type", "application/json"),)
        return messages.Forwarded(models.Outcome.ANSWERED, 200, headers, body)

    def with_token(self, reply: messages.Forwarded) -> messages.Forwarded:
        """Adds a new token to the response headers."""
        headers = (*_without_token(reply).headers, (OPERATION_HEADER, self._new_token()))
        return msgspec.structs.replace(reply, headers=headers)

    def _deliver(self, route: models.Route, req: Request) -> messages.Forwarded:
        operation, caller_key = _header(req, OPERATION_FIELD), _header(req, IDEMPOTENCY_FIELD)
        if operation is not None:
            relayed = tuple(
                header for header in req.headers if header[0].lower() != OPERATION_FIELD
            )
            req = msgspec.structs.replace(req, headers=relayed)
        if route.idempotent:
            return self._forward(route, req)
        if operation is not None:
            return self._deliver_operation(models.OperationId(operation), route, req)
        if caller_key is not None:
            fleet_size = len(self._vms())
            token = self._key_claims.resolve(
                req.customer, caller_key, self._new_token(), fleet_size
            )
            return self._deliver_operation(token, route, req)
        if route.operation is models.OperationPolicy.REQUIRED:
            raise errors.OperationRequiredError(f"route {route.name} requires {OPERATION_HEADER}")
        return self._forward(route, req)

    def _deliver_operation(
        self, token: models.OperationId, route: models.Route, req: Request
    ) -> messages.Forwarded:
        issuer = operations.parse(token).vm
        if issuer == self._identity.vm.id:
            return self._run(token, route.name, req, dispatchable=True)
        vm = next((vm for vm in self._vms() if vm.id == issuer), None)
        if vm is None:
            raise errors.IssuerUnavailableError(f"{issuer} is not in the list of VMs")
        try:
            return self._call_issuer(vm, token, route, req)
        except errors.NotRunError as exc:
            raise errors.IssuerUnavailableError(str(exc)) from exc

    def _call_issuer(
        self, vm: models.Vm, token: models.OperationId, route: models.Route, req: Request
    ) -> messages.Forwarded:
        msg = messages.Deliver(
            sender=self._identity.vm.id,
            incarnation=self._identity.incarnation,
            call_id=self._call_ids.next(),
            request_id=req.request_id,
            revision=self._dispatcher.index().tables.revision,
            route=route.name,
            customer=req.customer,
            deadline=req.deadline,
            method=req.method,
            target=req.target,
            headers=req.headers,
            body=req.body,
            operation=token,
        )
        remaining_s = req.deadline - self._clock.wall()
        return dispatch.call(self._caller, f"{vm.address}:{self._data_port}", msg, remaining_s)

    def _serve_delivery(self, msg: messages.Deliver) -> messages.Forwarded:
        if self._clock.wall() >= msg.deadline:
            raise errors.ResponseTimeoutError("deadline passed before the issuer decided")
        req = Request(
            msg.customer,
            msg.request_id,
            msg.deadline,
            msg.method,
            msg.target,
            msg.headers,
            msg.body,
        )
        has_slot = self._peer_slots.acquire(blocking=False)
        try:
            return self._run(msg.operation, msg.route, req, dispatchable=has_slot)
        finally:
            if has_slot:
                self._peer_slots.release()

    def _run(
        self,
        token: models.OperationId,
        route: models.RouteName,
        req: Request,
        dispatchable: bool,
    ) -> messages.Forwarded:
        """Carries out the ledger's decision on a delivery of one of this VM's operations.

        If not ``dispatchable``, a new operation is refused as overloaded and a duplicate does not
        wait for the running delivery.
        """
        digest = operations.request_digest(req.customer, req.method, req.target, req.body)
        with self._lock:
            decision = self._ledger.begin(token, digest, self._clock.monotonic())
            if decision.action is operations.Action.DISPATCH:
                fut = self._running[operations.parse(token).nonce] = concurrent.futures.Future()
            elif decision.action is operations.Action.WAIT:
                fut = self._running[operations.parse(token).nonce]
        if decision.action is operations.Action.REFUSE:
            raise decision.error
        if decision.action is operations.Action.RESPOND:
            return decision.response
        if decision.action is operations.Action.WAIT:
            return self._wait(token, fut, req.deadline if dispatchable else 0.0)
        reply = dispatch.error_reply(errors.OutcomeUnknownError("the dispatch failed"))
        try:
            reply = self._dispatch(route, req, dispatchable)
        finally:
            self._finish(token, reply)
        return reply

    def _dispatch(
        self, name: models.RouteName, req: Request, dispatchable: bool
    ) -> messages.Forwarded:
        try:
            if not dispatchable:
                raise errors.OverloadedError("the issuer has no free worker")
            route = self._dispatcher.index().routes.get(name)
            if route is None:
                raise errors.WrongOwnerError(f"the issuer has no route {name}")
            # The entry treats the request as non-idempotent; the issuer's tables may say otherwise.
            return self._forward(msgspec.structs.replace(route, idempotent=False), req)
        except errors.RequestError as exc:
            return dispatch.error_reply(exc)

    def _finish(self, token: models.OperationId, reply: messages.Forwarded) -> None:
        size = len(reply.body) + sum(len(name) + len(value) for name, value in reply.headers)
        state = operations.State(reply.outcome.value)
        with self._lock:
            self._ledger.finish(token, state, self._clock.monotonic(), reply, size)
            fut = self._running.pop(operations.parse(token).nonce)
        fut.set_result(reply)

    def _wait(
        self, token: models.OperationId, fut: concurrent.futures.Future, deadline: float
    ) -> messages.Forwarded:
        try:
            return fut.result(max(0.0, deadline - self._clock.wall()))
        except concurrent.futures.TimeoutError:
            raise errors.ResponseTimeoutError("the operation is still running") from None
        finally:
            with self._lock:
                self._ledger.stop_waiting(token)

    def _forward(self, route: models.Route, req: Request) -> messages.Forwarded:
        return self._dispatcher.forward(
            route,
            req.customer,
            req.request_id,
            req.deadline,
            req.method,
            req.target,
            req.headers,
            req.body,
        )

    def _new_token(self) -> models.OperationId:
        return self._issuer.issue(self._clock.monotonic(), self._entropy(operations.NONCE_BYTES))


def rejection_reply(error: errors.RequestError, has_operation: bool) -> messages.Forwarded:
    """Returns the reply for a request that the entry itself rejects.

    The entry does not know whether another delivery of the same operation ran. The outcome of a
    request with an operation is therefore unknown, even though this delivery was not sent.
    """
    if has_operation and error.outcome is models.Outcome.NOT_RUN:
        error = errors.OutcomeUnknownError(f"{error.code}: {error}")
    return dispatch.error_reply(error)


def _without_token(reply: messages.Forwarded) -> messages.Forwarded:
    """Removes a server's header of the token's name, because only VMs issue tokens."""
    relayed = tuple(header for header in reply.headers if header[0].lower() != OPERATION_FIELD)
    return msgspec.structs.replace(reply, headers=relayed) if relayed != reply.headers else reply


def _header(req: Request, name: str) -> str | None:
    return next((value for key, value in req.headers if key.lower() == name), None)
