"""Headers between callers, the fleet and backend servers on the platform.

::

    head_fields = {"request-deadline": "2500"}
    wire.time_left_s(head_fields)                # 2.5
    wire.to_server(pairs, "i-7f3a91c2", 1.93)    # headers of the request to that server
"""

from collections.abc import Iterable, Mapping

from dotterelfront import headers

READY_PATH = "/v1/readyz"

REQUEST_ID = "request-id"
_TIME_LEFT = "request-deadline"
"""Milliseconds that the caller waits, counted from the request's arrival."""
_SERVER_ID = "target-instance"
_SIGNATURE = "response-sig"
_NOT_RUN = "not-executed"
MISDIRECTED = 421
"""Status of a server that is not the one that the request names."""

_SET_BY_FLEET = frozenset([_TIME_LEFT, _SERVER_ID])
Pairs = list[tuple[str, str]]


def time_left_s(fields: Mapping[str, str]) -> float | None:
    """Returns the caller's time in seconds, None when it names none."""
    text = fields.get(_TIME_LEFT, "")
    return int(text) / 1000 if text.isdecimal() else None


def request_id(fields: Mapping[str, str]) -> str:
    return fields.get(REQUEST_ID, "")


def to_server(pairs: Iterable[tuple[str, str]], server_id: str, left_s: float) -> Pairs:
    """Returns the headers of a request to one server: named instance and remaining time."""
    kept = [pair for pair in pairs if pair[0].lower() not in _SET_BY_FLEET]
    kept.append(("Request-Deadline", str(max(1, int(left_s * 1000)))))
    kept.append(("Target-Instance", server_id))
    return kept


def not_run(status: int, fields: Mapping[str, str]) -> bool:
    """Whether a server's response says that it did not run the request."""
    return _NOT_RUN in fields or status == MISDIRECTED


def signed(fields: Mapping[str, str]) -> bool:
    """Whether a server vouches for the response."""
    return _SIGNATURE in fields


def encoded(fields: Mapping[str, str]) -> bool:
    """Whether the body is not the server's plain body."""
    return fields.get("content-encoding", "identity").lower() != "identity"


def belongs_to(fields: Mapping[str, str], wanted: str) -> bool:
    """Whether a response answers the request; one without an id may be a server's rejection."""
    return fields.get(REQUEST_ID, wanted) == wanted


def refusal(retry_after_s: float | None) -> Pairs:
    """Returns the headers of a refusal, with the time after which a repetition has a chance."""
    return [] if retry_after_s is None else [("Retry-After", f"{retry_after_s:.2f}")]


def from_server(received: headers.Headers, fields: dict[str, str]) -> headers.Headers:
    """Returns the headers of a server's response that the caller gets."""
    return headers.end_to_end(received, fields)
