"""An incremental HTTP/1.1 parser for requests and responses.

So that no message is buffered beyond its limits, a head is rejected with status 431 and a body with 400 as soon as it
is known to be too large. 413 would be the usual status for a body, but clients treat only 400 as final: they would
repeat the request for a minute.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Generic, Literal, TypeVar, overload

from tealhook.errors import TealhookError

MAX_HEAD_BYTES = 16 * 1024  # start line and headers
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 1024
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


class HttpError(TealhookError):
    """A violation of the protocol by the peer, which a server answers with `status`."""

    def __init__(self, status: int, text: str) -> None:
        """Initialize the error; a server answers it with `status`, and with `text` in the body."""
        super().__init__(text)
        self.status = status


class Request:
    """A request with its complete body."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive")

    def __init__(self, method: str, target: str, headers: dict[str, str], keep_alive: bool) -> None:
        """Initialize the message without its body, which is set once it is complete; header names are lower-case."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = keep_alive

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.split("?", 1)[0]


class Response:
    """A response with its complete body."""

    __slots__ = ("status", "headers", "body", "keep_alive")

    def __init__(self, status: int, headers: dict[str, str], keep_alive: bool) -> None:
        """Initialize the message without its body, which is set once it is complete; header names are lower-case."""
        self.status = status
        self.headers = headers
        self.body = b""
        self.keep_alive = keep_alive


Message = TypeVar("Message", bound=Request | Response)


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not _TOKEN.fullmatch(name):
            raise HttpError(400, "header must have the form name: value")
        name = name.lower()
        value = value.strip(" \t")
        if name == "content-length" and headers.get(name, value) != value:
            raise HttpError(400, "Content-Length must not be given twice with different values")
        headers[name] = value
    return headers


def _allows_keep_alive(version: str, headers: dict[str, str]) -> bool:
    tokens = [part.strip() for part in headers.get("connection", "").lower().split(",")]
    return "close" not in tokens and (version == "HTTP/1.1" or "keep-alive" in tokens)


class MessageParser(Generic[Message]):
    """An incremental parser: `feed()` takes bytes, and `next()` returns each message once it is complete."""

    @overload
    def __init__(
        self: MessageParser[Request], *, responses: Literal[False], max_body_bytes: int = MAX_BODY_BYTES
    ) -> None: ...

    @overload
    def __init__(
        self: MessageParser[Response], *, responses: Literal[True], max_body_bytes: int = MAX_BODY_BYTES
    ) -> None: ...

    def __init__(self, *, responses: bool, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Initialize the parser for responses or for requests; a larger body than `max_body_bytes` is rejected."""
        self._responses = responses
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        # mypy can't infer that `responses` decides the message type, as the overloads declare.
        self._parse_first_line: Callable[[str, dict[str, str]], Message] = (
            self._parse_status_line if responses else self._parse_request_line  # type: ignore[assignment]
        )
        self._message: Message | None = None
        self._body_length: int | None = None  # None if the body ends with the connection
        self._is_chunked = False
        self._chunk_bytes_left = -1  # -1 if a size line is next, -2 if the trailer is next
        self._body = bytearray()
        self.expects_continue = False

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived from the connection, however they are split."""
        self._buffer += data

    @property
    def is_overfull(self) -> bool:
        """True if more bytes wait to be parsed than one message may have."""
        return len(self._buffer) > MAX_HEAD_BYTES + self._max_body_bytes

    @property
    def is_idle(self) -> bool:
        """True if no part of a further message has arrived."""
        return self._message is None and not self._buffer

    def next(self) -> Message | None:
        """Return the next complete message, or None while more bytes are needed."""
        if self._message is None and not self._parse_head():
            return None
        if self._is_chunked:
            if not self._parse_chunks():
                return None
        else:
            if self._body_length is None or len(self._buffer) < self._body_length:
                if len(self._buffer) > self._max_body_bytes:
                    raise HttpError(400, f"body must have at most {self._max_body_bytes} bytes")
                return None
            self._body = self._buffer[: self._body_length]
            del self._buffer[: self._body_length]
        return self._finish()

    def end(self) -> Message | None:
        """Return the response that is complete because the connection has ended, or None if there is none."""
        if self._responses and self._message is not None and self._body_length is None and not self._is_chunked:
            self._body = self._buffer
            self._buffer = bytearray()
            return self._finish()
        return None

    def _finish(self) -> Message:
        message = self._message
        assert message is not None
        message.body = bytes(self._body)
        self._message = None
        self._body = bytearray()
        self._is_chunked = False
        self.expects_continue = False
        return message

    def _parse_head(self) -> bool:
        while self._buffer[:2] == b"\r\n":  # Empty lines before a message are skipped.
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise HttpError(431, f"start line and headers must have at most {MAX_HEAD_BYTES} bytes")
            return False
        if end > MAX_HEAD_BYTES:
            raise HttpError(431, f"start line and headers must have at most {MAX_HEAD_BYTES} bytes")
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        headers = _parse_headers(lines[1:])
        self._message = self._parse_first_line(lines[0], headers)
        self._parse_body_framing(headers)
        return True

    @staticmethod
    def _parse_request_line(line: str, headers: dict[str, str]) -> Request:
        parts = line.split(" ")
        if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]):
            raise HttpError(400, "request line must have the form METHOD TARGET VERSION")
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpError(505 if parts[2].startswith("HTTP/") else 400, "HTTP version must be 1.0 or 1.1")
        if not parts[1].startswith("/") or not parts[1].isascii() or not parts[1].isprintable():
            raise HttpError(400, "target must start with / and consist of printable ASCII characters")
        return Request(parts[0], parts[1], headers, _allows_keep_alive(parts[2], headers))

    @staticmethod
    def _parse_status_line(line: str, headers: dict[str, str]) -> Response:
        parts = line.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not (len(parts[1]) == 3 and parts[1].isdecimal()):
            raise HttpError(400, "status line must have the form HTTP/1.x STATUS REASON with a status of three digits")
        return Response(int(parts[1]), headers, _allows_keep_alive(parts[0], headers))

    def _parse_body_framing(self, headers: dict[str, str]) -> None:
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        self._body_length = 0
        self._is_chunked = False
        if coding is not None:
            if coding.lower() != "chunked" or length is not None:
                raise HttpError(400, "Transfer-Encoding must be chunked, and sent without Content-Length")
            self._is_chunked = True
            self._chunk_bytes_left = -1
        elif length is not None:
            if not (length.isascii() and length.isdecimal()):
                raise HttpError(400, "Content-Length must be a decimal number")
            if len(length) > 12 or int(length) > self._max_body_bytes:
                raise HttpError(400, f"body must have at most {self._max_body_bytes} bytes")
            self._body_length = int(length)
        elif isinstance(self._message, Response) and self._message.status not in (204, 304):
            self._body_length = None
        self.expects_continue = headers.get("expect", "").lower() == "100-continue"

    def _parse_chunks(self) -> bool:
        """Move chunks from the buffer to the body, and return whether the last one and the trailer have arrived."""
        while True:
            if self._chunk_bytes_left < 0:
                line = self._take_line()
                if line is None:
                    return False
                if self._chunk_bytes_left == -2:
                    if not line:
                        return True
                    continue  # A trailer field is ignored.
                self._chunk_bytes_left = self._parse_chunk_size(line)
                if self._chunk_bytes_left == 0:
                    self._chunk_bytes_left = -2
                    continue
            if len(self._buffer) < self._chunk_bytes_left + 2:
                return False
            self._body += self._buffer[: self._chunk_bytes_left]
            if self._buffer[self._chunk_bytes_left : self._chunk_bytes_left + 2] != b"\r\n":
                raise HttpError(400, "chunk must end with CRLF after its announced size")
            del self._buffer[: self._chunk_bytes_left + 2]
            self._chunk_bytes_left = -1

    def _take_line(self) -> bytes | None:
        """Remove the next line, a chunk's size or a trailer field, from the buffer; return None if it is incomplete."""
        end = self._buffer.find(b"\r\n")
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                raise HttpError(400, f"line of a chunked body must have at most {MAX_CHUNK_LINE_BYTES} bytes")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def _parse_chunk_size(self, line: bytes) -> int:
        """Return the chunk size that a line announces.

        A chunk that makes the body too large is rejected before any of it is buffered.
        """
        digits = line.split(b";", 1)[0].strip()
        try:
            if not digits or len(digits) > 8 or not digits.isalnum():
                raise ValueError
            size = int(digits, 16)
        except ValueError:
            raise HttpError(400, "chunk size must be a hexadecimal number of at most 8 digits") from None
        if len(self._body) + size > self._max_body_bytes:
            raise HttpError(400, f"body must have at most {self._max_body_bytes} bytes")
        return size


REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def encode_response(status: int, body: bytes, keep_alive: bool, retry_after_s: int | None = None) -> bytes:
    """Encode a response with a JSON body, and with a Retry-After header if `retry_after_s` is given."""
    head = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
    head += f"Content-Length: {len(body)}\r\n"
    if retry_after_s is not None:
        head += f"Retry-After: {retry_after_s}\r\n"
    if not keep_alive:
        head += "Connection: close\r\n"
    return head.encode("ascii") + b"\r\n" + body


def encode_request(method: str, target: str, host: str, body: bytes | None) -> bytes:
    """Encode a request with a JSON body, or without a body."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body is not None:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode("ascii") + b"\r\n" + (body or b"")
