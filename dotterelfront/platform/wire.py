"""Platform headers that callers, the fleet and backend servers exchange.

::

    head_fields = {"request-deadline": "2500"}
    wire.time_left_s(head_fields)                             # 2.5
    wire.server_request_headers(pairs, "i-7f3a91c2", 1.93)    # of the request to that server
"""

import re
from collections.abc import Iterable, Mapping

from dotterelfront import headers

READY_PATH = "/v1/readyz"

REQUEST_ID = "request-id"
_REMAINING_TIME = "request-deadline"
"""Milliseconds that the caller waits, counted from the arrival of the request."""
_SERVER_ID = "target-instance"
_SIGNATURE = "response-sig"
_NOT_EXECUTED = "not-executed"
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_SECONDS = re.compile(r"[0-9]{1,300}(?:\.[0-9]{1,300})?")
_UNAVAILABLE = 503
MAX_TIME_DIGITS = 12
"""A longer number of milliseconds counts as this many nines, about 32 years."""
MISDIRECTED = 421
"""Status from a server that is not the one named in the request."""

_SET_BY_FLEET = frozenset([_REMAINING_TIME, _SERVER_ID])
Pairs = list[tuple[str, str]]


def time_left_s(fields: Mapping[str, str]) -> float | None:
    """Returns the caller's remaining time in seconds, or None when the request states none."""
    text = fields.get(_REMAINING_TIME, "")
    if not text.isdecimal():
        return None
    digits = text.lstrip("0") or "0"
    return int(digits if len(digits) <= MAX_TIME_DIGITS else "9" * MAX_TIME_DIGITS) / 1000


def request_id(fields: Mapping[str, str]) -> str:
    return fields.get(REQUEST_ID, "")


def server_request_headers(
    pairs: Iterable[tuple[str, str]], server_id: str, remaining_s: float
) -> Pairs:
    """Returns the headers of a request to one server, with its id and the remaining time."""
    result = [pair for pair in pairs if pair[0].lower() not in _SET_BY_FLEET]
    result.append(("Request-Deadline", str(max(1, int(remaining_s * 1000)))))
    result.append(("Target-Instance", server_id))
    return result


def not_run(status: int, fields: Mapping[str, str]) -> bool:
    """Whether a server's response states that the server did not run the request."""
    return _NOT_EXECUTED in fields or status == MISDIRECTED


def announces_leaving(fields: Mapping[str, str]) -> bool:
    """Whether a server's response says that the server leaves."""
    return fields.get(_LEAVING, "").strip() == "1"


def requested_pause_s(status: int, fields: Mapping[str, str]) -> float | None:
    """Returns for how long a server that turned a request away wants none, in seconds.

    Of several values in one response the longest counts. Values that are no positive number of
    seconds, such as dates, ask for nothing.
    """
    if status != _UNAVAILABLE:
        return None
    values = [text.strip() for text in fields.get(_RETRY_AFTER, "").split(",")]
    longest = max((float(text) for text in values if _SECONDS.fullmatch(text)), default=0.0)
    return longest if longest > 0.0 else None


def has_signature(fields: Mapping[str, str]) -> bool:
    """Whether the response carries a server's signature."""
    return _SIGNATURE in fields


def has_content_coding(fields: Mapping[str, str]) -> bool:
    """Whether the body has a content coding, such as gzip."""
    return fields.get("content-encoding", "identity").lower() != "identity"


def matches_request_id(fields: Mapping[str, str], expected_id: str) -> bool:
    """Whether a response belongs to the request with ``expected_id``.

    Servers return the id of each request, also when they reject it. A response without an id may be
    a copy of an earlier rejection, so it belongs only to a request without an id.
    """
    return fields.get(REQUEST_ID, "") == expected_id


def refusal_headers(retry_after_s: float | None) -> Pairs:
    """Returns the headers of a refusal, with the time after which a retry may succeed."""
    return [] if retry_after_s is None else [("Retry-After", f"{retry_after_s:.2f}")]


def relayed_response_headers(received: headers.Headers, fields: dict[str, str]) -> headers.Headers:
    """Returns the headers of a server's response that are relayed to the caller."""
    return headers.end_to_end(received, fields)
