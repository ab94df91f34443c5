"""Header and framing rules, tested through ``http1.RequestReader``."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelfront import errors, headers, http1

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
LIMIT = 64


def _read(raw: bytes, cuts=()):
    """Feeds the bytes in segments; returns the requests, and the error code if one is rejected."""
    reader = http1.RequestReader(lambda head: LIMIT)
    results = []
    offsets = [0, *sorted(cut % (len(raw) + 1) for cut in cuts), len(raw)]
    try:
        for start, end in zip(offsets, offsets[1:], strict=False):
            reader.feed(raw[start:end])
            while request := reader.next_request():
                results.append(request)
                reader.response(200, (), b"", close=False)
    except errors.RequestError as exc:
        results.append(exc.code)
    return results


AMBIGUOUS = [
    HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    HEAD + b"Content-Length: -4\r\n\r\n",
    HEAD + b"Content-Length: +4\r\n\r\nabcd",
    HEAD + b"Content-Length: 0x4\r\n\r\nabcd",
    HEAD + b"Content-Length: \r\n\r\n",
    HEAD + b"Content_Length: 4\r\n\r\nabcd",
    HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: xchunked\r\n\r\n",
    b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Content-Length : 4\r\n\r\nabcd",
    HEAD + b"X-A: 1\r\n folded\r\n\r\n",
    HEAD + b"X-A: 1\r\n\tfolded\r\n\r\n",
    HEAD + b"X-A: a\x00b\r\n\r\n",
    HEAD + b"X-A: a\rb\r\n\r\n",
    HEAD + b"X-A: a\nContent-Length: 4\r\n\r\n",
    HEAD + b": empty\r\n\r\n",
    HEAD + b"no colon\r\n\r\n",
    HEAD + b"Expect: 200-maybe\r\n\r\n",
    b"POST /a HTTP/1.1\nHost: h\n\n",
    b"GET /a HTTP/1.1\r\n\r\n",
    b"GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
    b"GET /a HTTP/1.1\r\nHost: h/x\r\n\r\n",
    b"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
    b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\nab",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nT: a\n\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nT: a\r\n\n",
    HEAD + b"Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 3, 3\r\n\r\nabc",
    HEAD + b"Content-Length: 3\r\ncontent-length:3\r\n\r\nabc",
    HEAD + b"X-A: a\x7fb\r\n\r\n",
    b"GET /a HTTP/1.0\r\nHost: h\r\nHost: h\r\n\r\n",
    b"GET /a HTTP/1.2\r\nHost: h\r\n\r\n",
]


@pytest.mark.parametrize("raw", AMBIGUOUS)
def test_ambiguous_request_is_rejected(raw):
    """Guards against request smuggling: proxy and server must agree where a request ends."""
    assert _read(raw) == ["MALFORMED_REQUEST"]


BODIES = st.binary(max_size=LIMIT)


def _chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b"".join(b"%X;x=1\r\n%s\r\n" % (len(part), part) for part in parts)
    return b"Transfer-Encoding: Chunked\r\n\r\n" + chunks + b"0\r\nTrailer: t\r\n\r\n"


@given(
    st.lists(st.tuples(BODIES, st.integers(0, 20)), max_size=4),
    st.lists(st.integers(0, 2000), max_size=6),
)
def test_requests_do_not_depend_on_segments(bodies, cuts):
    """Guards against wrong framing when a segment ends inside a head, chunk or trailer."""
    raw = b""
    for body, chunk in bodies:
        plain = b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        raw += HEAD + (_chunked(body, chunk) if chunk else plain)
    assert [body for _, body in _read(raw, cuts)] == [body for body, _ in bodies]


def test_upgrade_request_is_ignored():
    """Guards against a connection that stalls after a request to upgrade the protocol."""
    upgrade = b"GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n"
    assert len(_read(upgrade * 2)) == 2


@given(st.binary(min_size=LIMIT + 1, max_size=300), st.integers(0, 40), st.integers(0, 400))
def test_large_body_is_rejected_before_it_is_read(body, chunk, cut):
    """Guards against memory use by bodies over the limit."""
    plain = b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    assert _read(HEAD + (_chunked(body, chunk) if chunk else plain), [cut]) == ["REQUEST_TOO_LARGE"]
    announced = b"Content-Length: %d\r\n\r\n" % len(body)
    assert _read(HEAD + announced) == ["REQUEST_TOO_LARGE"]


def test_unbounded_head_is_rejected():
    """Guards against memory use by a head that does not end."""
    assert _read(HEAD + b"X: " + b"a" * headers.MAX_HEAD_BYTES) == ["REQUEST_TOO_LARGE"]
    assert _read(HEAD + b"X: a\r\n" * (headers.MAX_HEADERS + 1) + b"\r\n") == ["MALFORMED_REQUEST"]


@given(st.lists(st.sampled_from(["Keep-Alive", "TE", "X-Hop", "X-Keep", "Set-Cookie"])))
def test_only_end_to_end_headers_are_relayed(names):
    """Guards against relayed hop-by-hop headers, and lost or reordered repeated headers."""
    pairs = tuple((name, str(index)) for index, name in enumerate(names))
    fields = {"connection": "x-hop, Close"}
    relayed = [pair for pair in pairs if pair[0] in ("X-Keep", "Set-Cookie")]
    assert list(headers.end_to_end((("Connection", "x-hop"), *pairs), fields)) == relayed


def test_content_length_is_relayed_for_responses_without_body():
    """Guards against Content-Length 0 for HEAD and 304, and any Content-Length for 204."""
    pairs = [("Content-Length", "7"), ("ETag", "x")]
    for method, status in (("HEAD", 200), ("GET", 304), ("GET", 204)):
        reader = http1.RequestReader(lambda head: LIMIT)
        reader.feed(method.encode() + b" /a HTTP/1.1\r\nHost: h\r\n\r\n")
        reader.next_request()
        raw = reader.response(status, pairs, b"unsent", False)
        assert raw.count(b"Content-Length: 7") == (status != 204)
        assert raw.count(b"Length") == (status != 204)
        assert raw.endswith(b"\r\n\r\n")
