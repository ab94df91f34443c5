"""Header rules for both sides of the proxy, in addition to the checks of the HTTP libraries.

A request that two parsers could read differently is rejected rather than repaired. Pure functions::

    headers.check_raw_head(b"GET /stock/17 HTTP/1.1\\r\\nHost: shop.example\\r\\n\\r\\n")
    head = headers.request_head("GET", "/stock/17", b"1.1", [("Host", "shop.example")])

The rules follow RFC 9110 and RFC 9112.
"""

import re
from collections.abc import Iterable

import msgspec

from dotterelfront import errors

MAX_HEAD_BYTES = 32_000
MAX_HEADERS = 128
MAX_TRAILER_BYTES = 8_000

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
INTERNAL_PREFIX = "dotterelfront-"
REJECTED_METHODS = frozenset(["CONNECT", "TRACE"])
"""CONNECT opens a tunnel; TRACE would return headers that the caller must not see."""

_NOT_CONTROL = bytes(byte for byte in range(256) if byte == 0x09 or byte >= 0x20 and byte != 0x7F)
_TOKEN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_LENGTHS = re.compile(rb"(?i)\ncontent-length:[ \t]*([^\r]*?)[ \t]*\r")
_TARGET = re.compile(r"/[!-\"$-~]*|\*")
_HOST = re.compile(r"(?:[A-Za-z0-9._-]*|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?")
_VALUE_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_NO_BODY_STATUSES = frozenset([204, 304])


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers; header names and target are as received.

    ``fields`` maps lower-case names to values; the values of repeated headers are joined by commas.
    ``length`` is the size of the body in bytes, None for a chunked body.
    """

    method: str
    target: str
    headers: Headers
    fields: dict[str, str]
    length: int | None
    keep_alive: bool

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """Host in lower case, without port and trailing dot."""
        host = self.fields.get("host", "").lower()
        if not host.endswith("]"):
            host = re.sub(r":[0-9]*$", "", host)
        return host.rstrip(".")


class ResponseHead(msgspec.Struct, frozen=True):
    """Status line and headers. ``length`` is the body size in bytes, None for a chunked body."""

    status: int
    headers: Headers
    fields: dict[str, str]
    length: int | None
    keep_alive: bool


def check_lines(raw: bytes) -> None:
    """Rejects control characters, and a bare CR or LF, which h11 accepts as a line end.

    A CR at the end of ``raw`` is accepted: its LF may not have arrived yet.
    """
    controls = raw.translate(None, _NOT_CONTROL)
    line_ends = raw.count(b"\r\n")
    if controls != b"\r\n" * line_ends and not (
        raw.endswith(b"\r") and controls == b"\r\n" * line_ends + b"\r"
    ):
        raise errors.FramingError("control character, or line end other than CRLF")


def check_raw_head(raw: bytes) -> None:
    """Checks a raw request head, including its empty line, for faults that h11 repairs silently.

    h11 joins folded lines and merges equal repeated Content-Length headers.
    """
    check_lines(raw)
    if b"\n " in raw or b"\n\t" in raw:
        raise errors.FramingError("folded header line")
    lengths = _LENGTHS.findall(raw)
    if len(lengths) > 1 or not all(_DIGITS.fullmatch(length) for length in lengths):
        raise errors.FramingError("repeated or malformed Content-Length")


def request_head(
    method: str, target: str, version: bytes, pairs: Iterable[tuple[str, str]]
) -> RequestHead:
    """Returns the checked head of a request that h11 has parsed; raises ``errors.FramingError``.

    ``version`` has the format of h11, such as ``b"1.1"``.
    """
    received = tuple(pairs)
    if len(received) > MAX_HEADERS:
        raise errors.FramingError(f"more than {MAX_HEADERS} headers")
    if version not in (b"1.1", b"1.0"):
        raise errors.FramingError("unsupported HTTP version")
    if method in REJECTED_METHODS:
        raise errors.FramingError("method not accepted")
    if not _TARGET.fullmatch(target) or (target == "*" and method != "OPTIONS"):
        raise errors.FramingError("target is not an absolute path")
    fields = _fields_by_name(received)
    # h11 rejects a repeated Host, and a missing one in HTTP/1.1.
    if not _HOST.fullmatch(fields.get("host", "")):
        raise errors.FramingError("malformed Host header")
    if "expect" in fields and fields["expect"].lower() != "100-continue":
        raise errors.FramingError("unsupported Expect header")
    http11 = version == b"1.1"
    length = _body_length(fields, http11)
    if length is None and "transfer-encoding" not in fields:
        length = 0
    return RequestHead(method, target, received, fields, length, _keep_alive(fields, http11))


def response_head(
    status: int, http11: bool, pairs: Iterable[tuple[str, str]], method: str
) -> ResponseHead:
    """Returns the checked head of a parsed response; raises ``errors.FramingError``.

    ``http11`` is true for HTTP/1.1. A body that ends when the connection closes is an error: its
    length is unknown, and a truncated response would look complete.
    """
    if not 200 <= status <= 599:
        raise errors.FramingError("status outside 200 to 599")
    received = tuple((name, value.strip(" \t")) for name, value in pairs)
    for name, value in received:
        # The standard library keeps the line end of a folded line in the value.
        if not _TOKEN.fullmatch(name) or _VALUE_CONTROL.search(value):
            raise errors.FramingError("malformed header line")
    fields = _fields_by_name(received)
    if not has_body(method, status):
        length: int | None = 0
        # The Content-Length is relayed without a body, and h11 refuses to send a malformed one.
        if not _DIGITS.fullmatch(fields.get("content-length", "0").encode()):
            raise errors.FramingError("malformed Content-Length")
    else:
        length = _body_length(fields, http11)
        if length is None and "transfer-encoding" not in fields:
            raise errors.FramingError("response has neither Content-Length nor chunked encoding")
    return ResponseHead(status, received, fields, length, _keep_alive(fields, http11))


def _fields_by_name(received: Headers) -> dict[str, str]:
    """Returns the values by lower-case name; rejects names that servers may read differently."""
    fields: dict[str, str] = {}
    for name, value in received:
        # Servers that map "-" to "_" would read Content_Length as Content-Length.
        if "_" in name:
            raise errors.FramingError("underscore in a header name")
        key = name.lower()
        fields[key] = f"{fields[key]}, {value}" if key in fields else value
    return fields


def _body_length(fields: dict[str, str], http11: bool) -> int | None:
    """Returns the Content-Length; None for a chunked body or without either header."""
    length, encoding = fields.get("content-length"), fields.get("transfer-encoding")
    if encoding is not None:
        if length is not None or not http11 or encoding.lower() != "chunked":
            raise errors.FramingError(
                "Transfer-Encoding other than 'chunked', or with Content-Length or HTTP/1.0"
            )
        return None
    if length is None:
        return None
    # A repeated header was joined by a comma and fails here, even if its values are equal.
    if not _DIGITS.fullmatch(length.encode()):
        raise errors.FramingError("malformed Content-Length")
    return int(length)


def _keep_alive(fields: dict[str, str], http11: bool) -> bool:
    # Keep-alive of HTTP/1.0 is not supported: it has no chunked encoding, and few clients need it.
    return http11 and "close" not in connection_options(fields)


def connection_options(fields: dict[str, str]) -> frozenset[str]:
    """Returns the lower-case options of the ``Connection`` header."""
    value = fields.get("connection")
    if not value:
        return frozenset()
    return frozenset(option.strip().lower() for option in value.split(","))


def end_to_end(headers: Headers, fields: dict[str, str]) -> Headers:
    """Returns the headers to relay, without hop-by-hop ones and those named by ``Connection``."""
    connection_specific = connection_options(fields)
    return tuple(
        pair
        for pair in headers
        if (key := pair[0].lower()) not in HOP_BY_HOP and key not in connection_specific
    )


def without_internal_headers(headers: Headers) -> Headers:
    """Returns the headers without those reserved for messages between proxy and server.

    A caller must not set them for a server, nor a server for a caller.
    """
    return tuple(pair for pair in headers if not pair[0].lower().startswith(INTERNAL_PREFIX))


def has_body(method: str, status: int) -> bool:
    """Whether the response to ``method`` carries a body."""
    return method != "HEAD" and status not in _NO_BODY_STATUSES


def response_headers(
    method: str, status: int, headers: Iterable[tuple[str, str]], length: int, close: bool
) -> list[tuple[str, str]]:
    """Returns the headers of a response to a caller, including its Content-Length.

    For a response without a body (HEAD, 304), the server's Content-Length is relayed.
    """
    with_body = has_body(method, status)
    keep_length = not with_body and status != 204
    pairs = [
        pair
        for pair in headers
        if (key := pair[0].lower()) not in HOP_BY_HOP and (keep_length or key != "content-length")
    ]
    if with_body:
        pairs.append(("Content-Length", str(length)))
    if close:
        pairs.append(("Connection", "close"))
    return pairs
