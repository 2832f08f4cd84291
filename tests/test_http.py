"""The HTTP parser: messages split at any byte, size limits and malformed input."""

import random

import pytest

from tealhook.http import HttpError, MessageParser
from tealhook.http.parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, encode_request, encode_response


def test_messages_parse_alike_however_they_are_split():
    raw = encode_request("POST", "/work", "h", b'{"a":1}') + encode_request("GET", "/healthz", "h", None)
    chunked = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: v\r\n\r\n"
    for seed in range(50):
        rng = random.Random(seed)
        parser, messages, data = MessageParser(responses=False), [], raw + chunked
        while data:
            size = rng.randint(1, 9)
            parser.feed(data[:size])
            data = data[size:]
            while (message := parser.next()) is not None:
                messages.append((message.method, message.target, message.body))
        assert messages == [("POST", "/work", b'{"a":1}'), ("GET", "/healthz", b""), ("POST", "/x", b"abcde")]
        assert parser.is_idle


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GARBAGE\r\n\r\n", 400),
        (b"GET work HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\nbad header: x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * MAX_HEAD_BYTES, 431),
    ],
)
def test_malformed_requests_are_rejected_with_their_status(raw, status):
    parser = MessageParser(responses=False)
    parser.feed(raw)
    with pytest.raises(HttpError) as caught:
        parser.next()
    assert caught.value.status == status


def test_response_body_ends_with_connection():
    parser = MessageParser(responses=True)
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\nhello")
    assert parser.next() is None
    assert parser.end().body == b"hello"


def test_retry_after_and_connection_close_are_sent():
    raw = encode_response(503, b"{}", False, 2)
    assert b"Retry-After: 2\r\n" in raw and b"Connection: close\r\n" in raw
