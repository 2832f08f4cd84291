"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

# Takes method, target and decoded body; returns status and value, or None to close the connection without an answer.
Handler = Callable[[str, str, Any], Awaitable["tuple[int, Any] | None"]]


class Answer(NamedTuple):
    """An answer; status 0 stands for none."""

    status: int
    value: Any = None
    retry_after_s: float = 0.0


NO_ANSWER = Answer(0)


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of the next message, or None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
        return None
    return first, headers, body


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body) if body else {}
    except ValueError:
        return {}


class Server:
    """An HTTP server on a loopback port, whose requests go to one handler."""

    def __init__(self, port: int, handler: Handler) -> None:
        """Initialize; `start` begins to listen on `port`."""
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20, backlog=256)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                first, _headers, body = message
                method, target, _version = first.split(" ")
                answer = await self._handler(method, target, _decode(body))
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Client:
    """A client with one persistent connection to a loopback port."""

    def __init__(self, port: int) -> None:
        """Initialize without a connection."""
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def request(self, method: str, target: str, value: Any = None, timeout_s: float = 4.0) -> Answer:
        """Send a request; after a failure or `timeout_s` the connection is closed and there is no answer."""
        try:
            return await asyncio.wait_for(self._request(method, target, value), timeout_s)
        except (ConnectionError, OSError, TimeoutError, ValueError):
            self.close()
            return NO_ANSWER

    async def _request(self, method: str, target: str, value: Any) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        reader, writer = self._streams
        body = json.dumps(value, separators=(",", ":")).encode() if value is not None else b""
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        message = await _read_message(reader)
        if message is None:
            raise ConnectionError
        first, headers, data = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        retry_after = headers.get("retry-after", "")
        return Answer(int(first.split(" ")[1]), _decode(data), float(retry_after) if retry_after.isdecimal() else 0.0)
