"""HTTP/1.1 on one caller's connection: h11 parses the requests and encodes the responses.

``RequestReader`` adds the checks of ``headers``, body limits and pipelining to h11::

    reader = http1.RequestReader(body_limit=lambda head: 1_000_000)
    reader.feed(b"GET /stock/17 HTTP/1.1\\r\\nHost: shop.example\\r\\n\\r\\n")
    head, body = reader.next_request()
    sock.sendall(reader.response(200, [("Content-Type", "text/plain")], b"12", close=False))

It does no I/O.
"""

import http
from collections.abc import Callable, Iterable

import h11

from dotterelfront import errors, headers

FREE_FRAGMENTS = 1_000
MIN_FRAGMENT_BYTES = 64
"""The pieces of a chunked body must have this mean size after the first ``FREE_FRAGMENTS``. Each
piece costs processor time, however small it is."""
_BLANK_LINE = b"\r\n\r\n"
_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class RequestReader:
    """Parses the requests of one connection, however their bytes are split.

    ``body_limit`` is called with each head that announces a body and returns its limit in bytes; it
    may raise ``errors.RequestError``. ``response`` must be called before ``next_request`` is called
    again.
    """

    def __init__(self, body_limit: Callable[[headers.RequestHead], int]):
        self._body_limit = body_limit
        self._conn = _new_conn()
        self._buf = bytearray()
        self._searched = 0
        self._method = ""
        self._head: headers.RequestHead | None = None
        self._body_limit_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._fragments = 0
        self._chunk_tail = b""
        """Last bytes of the chunked body received so far."""

    @property
    def started(self) -> bool:
        """Whether part of a request has arrived that ``next_request`` has not returned yet."""
        return bool(self._buf) or self._head is not None

    @property
    def head(self) -> headers.RequestHead | None:
        """Head of the request whose body is still incomplete."""
        return self._head

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` before it sends the body."""
        return self._head is not None and self._conn.they_are_waiting_for_100_continue

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that are not part of a request returned yet."""
        return len(self._buf) + self._body_size

    def feed(self, data: bytes) -> None:
        self._buf += data

    def discard(self) -> None:
        """Drops the received part of a request that is rejected."""
        self._buf.clear()
        self._pop_body()

    def detach_trailing_data(self) -> bytes:
        """Removes and returns the bytes that follow the last request.

        To handle pipelined requests concurrently, feed them to a new reader; each reader encodes
        the response to its own request.
        """
        trailing = bytes(self._buf)
        self._buf.clear()
        self._searched = 0
        return trailing

    def next_request(self) -> tuple[headers.RequestHead, bytes] | None:
        """Returns the next complete request, or None.

        Raises ``errors.RequestError``; the framing is then lost and the connection must be closed.
        """
        try:
            return self._parse_request()
        except errors.FramingError as exc:
            raise errors.MalformedRequestError(str(exc)) from exc
        except h11.RemoteProtocolError as exc:
            # h11 quotes the request after a colon; the error must not repeat it.
            raise errors.MalformedRequestError(str(exc).partition(":")[0]) from exc
        except errors.BodyTooLargeError as exc:
            raise errors.RequestTooLargeError(str(exc)) from exc

    def continue_response(self) -> bytes:
        """Returns the bytes of ``100 Continue``."""
        return self._conn.send(
            h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
        )

    def response(
        self, status: int, pairs: Iterable[tuple[str, str]], body: bytes, close: bool
    ) -> bytes:
        """Returns the bytes of the response to the last request, including a rejected one."""
        sent = headers.response_headers(self._method, status, pairs, len(body), close)
        encoded = [(name.encode(), value.encode("latin-1", "replace")) for name, value in sent]
        event = h11.Response(status_code=status, headers=encoded, reason=_PHRASES.get(status, b""))
        send = self._conn.send_with_data_passthrough
        parts = send(event)
        if body and headers.has_body(self._method, status):
            parts += send(h11.Data(data=body))
        parts += send(h11.EndOfMessage())
        self._start_next()
        return b"".join(parts)

    def _start_next(self) -> None:
        self._method = ""
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return
        if self._conn.trailing_data[0]:
            # ``_buf`` also holds these bytes; the checks of the next head need them there.
            self._conn = _new_conn()
        else:
            self._conn.start_next_cycle()

    def _parse_request(self) -> tuple[headers.RequestHead, bytes] | None:
        if self._head is None and not self._parse_head():
            return None
        body = self._read_chunked_body() if self._head.length is None else self._read_fixed_body()
        if body is None:
            return None
        head, self._head = self._head, None
        return head, body

    def _parse_head(self) -> bool:
        # Robustness rule of RFC 9112 2.2: empty lines before the request line are ignored.
        while self._buf[:2] == b"\r\n":
            del self._buf[:2]
        end = self._buf.find(_BLANK_LINE, max(0, self._searched - 3), headers.MAX_HEAD_BYTES)
        if end < 0:
            if len(self._buf) >= headers.MAX_HEAD_BYTES:
                raise errors.BodyTooLargeError(f"head of more than {headers.MAX_HEAD_BYTES} bytes")
            headers.check_lines(self._buf)
            self._searched = len(self._buf)
            return False
        raw = bytes(self._buf[: end + len(_BLANK_LINE)])
        del self._buf[: len(raw)]
        self._searched = 0
        headers.check_raw_head(raw)
        self._conn.receive_data(raw)
        event = self._conn.next_event()
        self._method = event.method.decode()
        head = headers.request_head(
            self._method,
            event.target.decode(),
            event.http_version,
            [(name.decode(), value.decode("latin-1")) for name, value in event.headers.raw_items()],
        )
        if head.length != 0:
            self._body_limit_bytes = self._body_limit(head)
            if head.length is not None and head.length > self._body_limit_bytes:
                raise errors.BodyTooLargeError(
                    f"body of {head.length} bytes, limit {self._body_limit_bytes}"
                )
        self._head = head
        return True

    def _read_fixed_body(self) -> bytes | None:
        """Returns a body with Content-Length once it is complete.

        h11 gets the whole body at once and no byte after it.
        """
        length = self._head.length
        if len(self._buf) < length:
            return None
        if length:
            self._conn.receive_data(bytes(self._buf[:length]))
            del self._buf[:length]
        self._read_events()
        return self._pop_body()

    def _read_chunked_body(self) -> bytes | None:
        data = bytes(self._buf)
        self._buf.clear()
        if data:
            self._conn.receive_data(data)
        complete = self._read_events()
        trailing = self._conn.trailing_data[0]
        ending = self._chunk_tail + data
        if not complete:
            # Without this check h11 would wait for the missing CR of a line that ends in LF alone.
            headers.check_lines(trailing)
            self._chunk_tail = ending[-len(_BLANK_LINE) :]
            return None
        # h11 also ends the trailer at an empty line without CR; other parsers continue to read.
        if not ending.removesuffix(trailing).endswith(_BLANK_LINE):
            raise errors.FramingError("trailer does not end with CRLF")
        self._chunk_tail = b""
        self._buf += trailing
        return self._pop_body()

    def _read_events(self) -> bool:
        """Collects the received part of the body; returns whether the body is complete."""
        while (event := self._conn.next_event()) is not h11.NEED_DATA:
            if type(event) is h11.EndOfMessage:
                return True
            self._body_parts.append(event.data)
            self._body_size += len(event.data)
            self._fragments += 1
            if self._fragments > FREE_FRAGMENTS + self._body_size / MIN_FRAGMENT_BYTES:
                raise errors.FramingError("body in too many small pieces")
            if self._body_size > self._body_limit_bytes:
                raise errors.BodyTooLargeError(f"body of more than {self._body_limit_bytes} bytes")
        return False

    def _pop_body(self) -> bytes:
        body = b"".join(self._body_parts)
        self._body_parts.clear()
        self._body_size = self._fragments = 0
        return body


def _new_conn() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=headers.MAX_HEAD_BYTES)
