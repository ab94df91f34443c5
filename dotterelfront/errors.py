"""The exception tree.

Every failure has a stable ``code``. Failures that end a caller's request also say what the caller
may conclude (``outcome``) and the HTTP ``status`` it gets::

    raise errors.NoRouteError("no route matches GET /prices")
"""

from dotterelfront import models


class DotterelfrontError(Exception):
    """Base of all errors of the package."""

    code = "INTERNAL"


class RequestError(DotterelfrontError):
    """Ends a caller's request without a relayed response."""

    code = "REQUEST_FAILED"
    outcome = models.Outcome.UNKNOWN
    status = 502


class NotRunError(RequestError):
    """No server can have run the request."""

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
    """The caller did not send its whole request in time."""

    code = "REQUEST_TIMEOUT"
    status = 408


class OperationRequiredError(NotRunError):
    code = "OPERATION_REQUIRED"
    status = 428


class OperationMismatchError(NotRunError):
    """The operation token was used before for another request."""

    code = "OPERATION_MISMATCH"
    status = 422


class OperationExpiredError(NotRunError):
    """The token expired unused and can no longer run."""

    code = "OPERATION_EXPIRED"


class LedgerFullError(NotRunError):
    """The ledger has no room; tokens refused for that reason never run."""

    code = "LEDGER_FULL"


class WrongOwnerError(NotRunError):
    """The receiver's configuration has no such route, pool or shard."""

    code = "WRONG_OWNER"


class CustomerLimitError(NotRunError):
    code = "CUSTOMER_LIMIT"
    status = 429


class NoConfigurationError(NotRunError):
    code = "NO_CONFIGURATION"


class OverloadedError(NotRunError):
    """``retry_after_s`` is the time in seconds until there should be room, None if unknown."""

    code = "OVERLOADED"

    def __init__(self, detail: str = "", retry_after_s: float | None = None):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class DeadlineError(NotRunError):
    """The request could not be finished in time and was not sent to a server."""

    code = "DEADLINE"


class OwnerUnreachableError(NotRunError):
    """No owner of the pool shard could be reached; nothing was sent."""

    code = "OWNER_UNREACHABLE"


class ServerRefusedError(NotRunError):
    """The server said that it did not run the request, or no connection to it was opened."""

    code = "SERVER_REFUSED"


class OutcomeUnknownError(RequestError):
    """The request may have run."""

    code = "OUTCOME_UNKNOWN"


class IssuerGoneError(OutcomeUnknownError):
    """The issuer of the operation token cannot be asked."""

    code = "ISSUER_GONE"


class ClaimError(OutcomeUnknownError):
    """The store did not say which VM holds the caller's key."""

    code = "CLAIM"


class AlreadyAnsweredError(RequestError):
    """The operation ran and was answered; its response is no longer held."""

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
    """The response carries the id of another request."""

    code = "WRONG_RESPONSE"


class FramingError(DotterelfrontError):
    """Bytes that are not one unambiguous HTTP/1.1 message."""

    code = "FRAMING"


class BodyTooLargeError(DotterelfrontError):
    """A head or body exceeds its limit."""

    code = "BODY_TOO_LARGE"


class PeerError(DotterelfrontError):
    """A call to another VM failed."""

    code = "PEER"


class PeerNotSentError(PeerError):
    """The call failed before the peer can have received it."""

    code = "PEER_NOT_SENT"


class PeerLimitError(PeerNotSentError):
    """The call was not made because of a limit of this VM; it says nothing about the peer."""

    code = "PEER_LIMIT"


class PeerLostError(PeerError):
    """The call was sent and no reply came; the peer may have acted on it."""

    code = "PEER_LOST"


class TransitionError(DotterelfrontError):
    """A state machine was asked for a transition it does not have."""

    code = "TRANSITION"


class MessageError(DotterelfrontError):
    """A message from another VM is malformed or too large."""

    code = "MESSAGE"


class StoreError(DotterelfrontError):
    """A call to the key-value service failed."""

    code = "STORE"


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may or may not have taken effect."""

    code = "STORE_UNAVAILABLE"


class StoreConflictError(StoreError):
    """A compare-and-swap met another version."""

    code = "STORE_CONFLICT"


class StoreRefusedError(StoreError):
    """The store rejected the call; a refused write did not take effect."""

    code = "STORE_REFUSED"


class ConfigurationError(DotterelfrontError):
    """The tables or the settings are not valid."""

    code = "CONFIGURATION"


class InvalidTablesError(ConfigurationError):
    """The operators' files have problems; ``problems`` holds all of them."""

    code = "INVALID_TABLES"

    def __init__(self, problems):
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


class BrokenConfigurationError(ConfigurationError):
    """A root or a chunk is torn, altered or missing."""

    code = "BROKEN_CONFIGURATION"


class RecordError(DotterelfrontError):
    """A record of the store cannot be read, so it names nothing to use."""

    code = "RECORD"


class HistoryLostError(StoreError):
    """The store no longer has the changes that a watch asks for."""

    code = "HISTORY_LOST"


class ExchangeError(DotterelfrontError):
    """A request to a server brought no complete response."""

    code = "EXCHANGE"


class ConnectError(ExchangeError):
    """No connection; no byte of the request was sent."""

    code = "CONNECT"


class BrokenExchangeError(ExchangeError):
    """The connection broke, or the response is malformed; the request may have run."""

    code = "BROKEN_EXCHANGE"


class ExchangeTimeoutError(ExchangeError):
    """No complete response in time; the request may have run."""

    code = "EXCHANGE_TIMEOUT"
