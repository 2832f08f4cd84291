"""Encoding helpers and value types shared by every wire format."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

_encoder = msgspec.json.Encoder()
_raw_decoder = msgspec.json.Decoder()

DecodeError = msgspec.DecodeError

RESOURCE_TOLERANCE = 1e-6  # absorbs rounding errors in sums of requested resources


class Resources(NamedTuple):
    """Amounts of resources, such as the needs of a task or the capacity of a machine."""

    vcpus: float
    gpus: float
    memory_gb: float


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


def encode_json(value: Any) -> bytes:
    """Encode `value` as one line of JSON."""
    return _encoder.encode(value)


def decode_json(data: bytes) -> Any:
    """Decode JSON into plain Python values.

    Raises DecodeError if the data is not valid JSON.
    """
    return _raw_decoder.decode(data)


def error_body(text: str) -> bytes:
    """Return the JSON body of an answer with an error status."""
    return _encoder.encode({"error": text})
