"""An incremental HTTP/1.1 parser for requests and responses.

It never holds more than its limits: the head is refused with 431, the body with 400, as soon as they
are known to be too large, and before they are buffered. (413 would be more to the point, but users know only 400 as
final: any other status they would repeat for a minute.)
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Generic, Literal, TypeVar, overload

from tealhook.errors import TealhookError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_LINE = 1024
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


class HttpError(TealhookError):
    """The other side broke the protocol; `status` is what a server answers."""

    def __init__(self, status: int, text: str) -> None:
        """`status` is what a server answers; `text` becomes the error body."""
        super().__init__(text)
        self.status = status


class Request:
    """A request whose body has arrived whole."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive")

    def __init__(self, method: str, target: str, headers: dict[str, str], keep_alive: bool) -> None:
        """Header names are lower-case; the body is set once it is complete."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = keep_alive

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


class Response:
    """A response whose body has arrived whole."""

    __slots__ = ("status", "headers", "body", "keep_alive")

    def __init__(self, status: int, headers: dict[str, str], keep_alive: bool) -> None:
        """Header names are lower-case; the body is set once it is complete."""
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
            raise HttpError(400, "malformed header")
        name = name.lower()
        value = value.strip(" \t")
        if name == "content-length" and headers.get(name, value) != value:
            raise HttpError(400, "conflicting content-length")
        headers[name] = value
    return headers


def _keep_alive(version: str, headers: dict[str, str]) -> bool:
    tokens = [part.strip() for part in headers.get("connection", "").lower().split(",")]
    return "close" not in tokens and (version == "HTTP/1.1" or "keep-alive" in tokens)


class MessageParser(Generic[Message]):
    """Feed it bytes; `next()` gives messages as they become whole."""

    @overload
    def __init__(
        self: MessageParser[Request], *, responses: Literal[False], max_body_bytes: int = MAX_BODY_BYTES
    ) -> None: ...

    @overload
    def __init__(
        self: MessageParser[Response], *, responses: Literal[True], max_body_bytes: int = MAX_BODY_BYTES
    ) -> None: ...

    def __init__(self, *, responses: bool, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """`responses`: parse responses instead of requests; a body above `max_body_bytes` bytes is refused."""
        self._responses = responses
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        # Which of the two it is follows from `responses`, as the overloads say.
        self._first_line: Callable[[str, dict[str, str]], Message] = (
            self._status_line if responses else self._request_line  # type: ignore[assignment]
        )
        self._message: Message | None = None
        self._length: int | None = None  # body bytes wanted; None: until the connection ends
        self._chunked = False
        self._chunk_left = -1  # -1: a size line is next; -2: the trailer is next
        self._body = bytearray()
        self.expects_continue = False

    def feed(self, data: bytes) -> None:
        """Take bytes as they arrive from the connection, however they are split."""
        self._buffer += data

    @property
    def is_overfull(self) -> bool:
        """Whether more bytes wait to be parsed than one message may have."""
        return len(self._buffer) > MAX_HEAD_BYTES + self._max_body_bytes

    @property
    def is_idle(self) -> bool:
        """Whether no message has begun."""
        return self._message is None and not self._buffer

    def next(self) -> Message | None:
        """The next whole message, or None while more bytes are needed."""
        if self._message is None and not self._parse_head():
            return None
        if self._chunked:
            if not self._parse_chunks():
                return None
        else:
            if self._length is None or len(self._buffer) < self._length:
                if len(self._buffer) > self._max_body_bytes:
                    raise HttpError(400, "body too large")
                return None
            self._body = self._buffer[: self._length]
            del self._buffer[: self._length]
        return self._finish()

    def end(self) -> Message | None:
        """The connection has ended: a response delimited by that is whole now."""
        if self._responses and self._message is not None and self._length is None and not self._chunked:
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
        self._chunked = False
        self.expects_continue = False
        return message

    def _parse_head(self) -> bool:
        while self._buffer[:2] == b"\r\n":  # empty lines before a message are passed over
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise HttpError(431, "head too large")
            return False
        if end > MAX_HEAD_BYTES:
            raise HttpError(431, "head too large")
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        headers = _parse_headers(lines[1:])
        self._message = self._first_line(lines[0], headers)
        self._frame_body(headers)
        return True

    @staticmethod
    def _request_line(line: str, headers: dict[str, str]) -> Request:
        parts = line.split(" ")
        if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]):
            raise HttpError(400, "malformed request line")
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpError(505 if parts[2].startswith("HTTP/") else 400, "unknown version")
        if not parts[1].startswith("/") or not parts[1].isascii() or not parts[1].isprintable():
            raise HttpError(400, "malformed target")
        return Request(parts[0], parts[1], headers, _keep_alive(parts[2], headers))

    @staticmethod
    def _status_line(line: str, headers: dict[str, str]) -> Response:
        parts = line.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not (len(parts[1]) == 3 and parts[1].isdecimal()):
            raise HttpError(400, "malformed status line")
        return Response(int(parts[1]), headers, _keep_alive(parts[0], headers))

    def _frame_body(self, headers: dict[str, str]) -> None:
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        self._length = 0
        self._chunked = False
        if coding is not None:
            if coding.lower() != "chunked" or length is not None:
                raise HttpError(400, "unsupported transfer-encoding")
            self._chunked = True
            self._chunk_left = -1
        elif length is not None:
            if not (length.isascii() and length.isdecimal()):
                raise HttpError(400, "malformed content-length")
            if len(length) > 12 or int(length) > self._max_body_bytes:
                raise HttpError(400, "body too large")
            self._length = int(length)
        elif isinstance(self._message, Response) and self._message.status not in (204, 304):
            self._length = None
        self.expects_continue = headers.get("expect", "").lower() == "100-continue"

    def _parse_chunks(self) -> bool:
        """Take chunks off the buffer into the body; True once the last one and the trailer have arrived."""
        while True:
            if self._chunk_left < 0:
                line = self._chunk_line()
                if line is None:
                    return False
                if self._chunk_left == -2:
                    if not line:
                        return True
                    continue  # a trailer field: passed over
                self._chunk_left = self._chunk_size(line)
                if self._chunk_left == 0:
                    self._chunk_left = -2
                    continue
            if len(self._buffer) < self._chunk_left + 2:
                return False
            self._body += self._buffer[: self._chunk_left]
            if self._buffer[self._chunk_left : self._chunk_left + 2] != b"\r\n":
                raise HttpError(400, "malformed chunk")
            del self._buffer[: self._chunk_left + 2]
            self._chunk_left = -1

    def _chunk_line(self) -> bytes | None:
        """The next line, taken off the buffer: a chunk's size or a trailer field. None: not whole yet."""
        end = self._buffer.find(b"\r\n")
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_LINE:
                raise HttpError(400, "malformed chunk")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def _chunk_size(self, line: bytes) -> int:
        """The size that a line announces; refused before any of the chunk is buffered if the body grows too large."""
        digits = line.split(b";", 1)[0].strip()
        try:
            if not digits or len(digits) > 8 or not digits.isalnum():
                raise ValueError
            size = int(digits, 16)
        except ValueError:
            raise HttpError(400, "malformed chunk") from None
        if len(self._body) + size > self._max_body_bytes:
            raise HttpError(400, "body too large")
        return size


REASONS = {
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
    """A whole response with a JSON body; `retry_after_s`: when the client should retry, if it should."""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
    head += f"Content-Length: {len(body)}\r\n"
    if retry_after_s is not None:
        head += f"Retry-After: {retry_after_s}\r\n"
    if not keep_alive:
        head += "Connection: close\r\n"
    return head.encode("ascii") + b"\r\n" + body


def encode_request(method: str, target: str, host: str, body: bytes | None) -> bytes:
    """A whole request with a JSON body, or with none."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body is not None:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode("ascii") + b"\r\n" + (body or b"")
