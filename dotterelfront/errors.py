"""Exception hierarchy.

Each exception class has a stable ``code``. A subclass of ``RequestError`` also has the ``outcome``
that the caller may assume for its request, and the HTTP ``status`` of the response::

    raise errors.NoRouteError("no route matches GET /prices")
"""

import enum

from dotterelfront import models


class DotterelfrontError(Exception):
    """Base class of all exceptions of the package."""

    code = "INTERNAL"


class RequestError(DotterelfrontError):
    """A caller's request failed and there is no server response to relay."""

    code = "REQUEST_FAILED"
    outcome = models.Outcome.UNKNOWN
    status = 502


class NotRunError(RequestError):
    """The request failed and no server executed it."""

    code = "NOT_RUN"
    outcome = models.Outcome.NOT_RUN
    status = 503


class MalformedRequestError(NotRunError):
    code = "MALFORMED_REQUEST"
    status = 400


class NoRouteError(NotRunError):
    code = "NO_ROUTE"
    status = 404


class RequestTooLargeError(NotRunError):
    code = "REQUEST_TOO_LARGE"
    status = 413


class RequestTimeoutError(NotRunError):
    """The caller did not send the complete request in time."""

    code = "REQUEST_TIMEOUT"
    status = 408


class OperationRequiredError(NotRunError):
    """The route requires an operation; the request has no operation token or idempotency key."""

    code = "OPERATION_REQUIRED"
    status = 428


class OperationMismatchError(NotRunError):
    """The operation token has already been used for a different request."""

    code = "OPERATION_MISMATCH"
    status = 422


class OperationExpiredError(NotRunError):
    """The operation token expired before its first use; its request will never be executed."""

    code = "OPERATION_EXPIRED"


class LedgerFullError(NotRunError):
    """The operation ledger is full. A token refused for this reason is never executed later."""

    code = "LEDGER_FULL"


class WrongOwnerError(NotRunError):
    """The VM that received the request does not have the route, pool or shard."""

    code = "WRONG_OWNER"


class CustomerLimitError(NotRunError):
    """The customer exceeds its request rate for the route."""

    code = "CUSTOMER_LIMIT"
    status = 429


class NoConfigurationError(NotRunError):
    """The VM has not received a configuration yet."""

    code = "NO_CONFIGURATION"


class OverloadedError(NotRunError):
    """There is no capacity for the request.

    ``retry_after_s`` is the estimated time in seconds until there is, None if unknown.
    """

    code = "OVERLOADED"

    def __init__(self, detail: str = "", retry_after_s: float | None = None):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class DeadlineExceededError(NotRunError):
    """The request could not be completed before its deadline and was not sent to a server."""

    code = "DEADLINE"


class OwnerUnreachableError(NotRunError):
    """No owner of the pool shard was reachable; the request was not sent."""

    code = "OWNER_UNREACHABLE"


class ServerRefusedError(NotRunError):
    """The server reported that it did not execute the request, or no connection was established."""

    code = "SERVER_REFUSED"


class OutcomeUnknownError(RequestError):
    """A server may have executed the request."""

    code = "OUTCOME_UNKNOWN"


class IssuerUnavailableError(OutcomeUnknownError):
    """The process that issued the operation token is unreachable or no longer running."""

    code = "ISSUER_GONE"


class ClaimError(OutcomeUnknownError):
    """The VM cannot determine which operation the caller's idempotency key stands for."""

    code = "CLAIM"


class AlreadyAnsweredError(RequestError):
    """The operation was executed and answered; its response is no longer stored."""

    code = "ALREADY_ANSWERED"
    outcome = models.Outcome.ANSWERED
    status = 409


class ResponseTimeoutError(OutcomeUnknownError):
    code = "RESPONSE_TIMEOUT"
    status = 504


class TruncatedResponseError(OutcomeUnknownError):
    code = "TRUNCATED_RESPONSE"


class ResponseTooLargeError(OutcomeUnknownError):
    code = "RESPONSE_TOO_LARGE"


class MalformedResponseError(OutcomeUnknownError):
    code = "MALFORMED_RESPONSE"


class WrongResponseError(OutcomeUnknownError):
    """The response has the id of another request."""

    code = "WRONG_RESPONSE"


class FramingError(DotterelfrontError):
    """The received bytes are not a single unambiguous HTTP/1.1 message."""

    code = "FRAMING"


class BodyTooLargeError(DotterelfrontError):
    """A message head or body exceeds its size limit."""

    code = "BODY_TOO_LARGE"


class PeerError(DotterelfrontError):
    """A call to another VM failed."""

    code = "PEER"


class PeerNotSentError(PeerError):
    """The call failed before the peer could receive it."""

    code = "PEER_NOT_SENT"


class PeerLimitError(PeerNotSentError):
    """The call was not made because of a limit of this VM; the state of the peer is unknown."""

    code = "PEER_LIMIT"


class PeerReplyLostError(PeerError):
    """The call was sent but no reply arrived; the peer may have processed it."""

    code = "PEER_LOST"


class TransitionError(DotterelfrontError):
    """The requested state transition is not allowed."""

    code = "TRANSITION"


class BaseVersionError(DotterelfrontError):
    """A patch needs a version of a record that this VM does not have."""

    code = "BASE_VERSION"


class MessageError(DotterelfrontError):
    """A message from another VM is malformed or too large."""

    code = "MESSAGE"


class StoreError(DotterelfrontError):
    """A call to the key-value service failed."""

    code = "STORE"


class StoreUnavailableError(StoreError):
    """The store did not respond; a write may or may not have taken effect."""

    code = "STORE_UNAVAILABLE"


class StoreConflictError(StoreError):
    """A compare-and-swap failed because the stored version differs."""

    code = "STORE_CONFLICT"


class StoreRefusedError(StoreError):
    """The store rejected the call; a refused write did not take effect."""

    code = "STORE_REFUSED"


class ConfigurationError(DotterelfrontError):
    """The tables or the settings are invalid."""

    code = "CONFIGURATION"


class InvalidTablesError(ConfigurationError):
    """The operators' files are invalid; ``problems`` lists every problem."""

    code = "INVALID_TABLES"

    def __init__(self, problems):
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


class CorruptConfigurationError(ConfigurationError):
    """A configuration root or chunk is incomplete, altered or missing."""

    code = "BROKEN_CONFIGURATION"


class RecordError(DotterelfrontError):
    """A record or one of its fields is malformed, so its content must not be used."""

    code = "RECORD"


class HistoryLostError(StoreError):
    """The store no longer has the changes from which a watch resumes."""

    code = "HISTORY_LOST"


class ExchangeError(DotterelfrontError):
    """A request to a server did not yield a complete response."""

    code = "EXCHANGE"


class ConnectError(ExchangeError):
    """No connection could be opened; no byte of the request was sent."""

    code = "CONNECT"


class SendWithheldError(ExchangeError):
    """The request was not sent, because the server must not get it any more."""

    code = "SEND_WITHHELD"


class BreakReason(enum.Enum):
    """Why an exchange with a server was given up."""

    CONNECTION = "connection"
    """The server closed or reset the connection."""
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    INTERIM = "interim"
    """Too many interim responses (1xx)."""
    FOREIGN = "foreign"
    """Too many responses that belong to other requests."""
    FRAGMENTED = "fragmented"
    """The body came in too many small pieces."""
    BUFFER = "buffer"
    """The response took more than its share of a read buffer that is full."""


class BrokenExchangeError(ExchangeError):
    """The connection broke or the response is malformed; the request may have been executed."""

    code = "BROKEN_EXCHANGE"

    def __init__(self, message: str = "", reason: BreakReason = BreakReason.CONNECTION):
        super().__init__(message)
        self.reason = reason


class ExchangeTimeoutError(ExchangeError):
    """No complete response arrived in time; the request may have been executed."""

    code = "EXCHANGE_TIMEOUT"
