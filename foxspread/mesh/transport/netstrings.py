"""Netstrings of JSON, without I/O: LENGTH:JSON, with zlib where that is shorter by far (a packed one begins
with 0x78, JSON of ours with a brace). Bounds what a peer may make us hold.

The settled set goes in pieces of some 64 KiB. What may be larger is what a ballot changes, told whole in
`accept` and `promise`: the operator's calls that are under way together.
"""

import zlib
from typing import Any

import orjson

from foxspread.mesh.errors import Failure

MOST = 8 * 1024 * 1024  # bytes of one message, packed or not
PACKED_FROM = 1500  # bytes


def encode(message: dict[str, Any]) -> bytes | Failure:
    """A failure where a peer would not take it, and end the link for it."""
    body = orjson.dumps(message)
    if len(body) > MOST:
        return Failure(f"a message {message.get('t')!r} of {len(body)} bytes")
    if len(body) > PACKED_FROM:
        body = zlib.compress(body, 1)
    return b"%d:%s," % (len(body), body)


class Decoder:
    def __init__(self) -> None:
        self.held = b""

    def feed(self, data: bytes) -> list[dict[str, Any]] | Failure:
        """Whole messages, in order; a failure where what came can't be one: nothing after it counts."""
        self.held = self.held + data if self.held else data
        found: list[dict[str, Any]] = []
        at, held = 0, self.held
        while (colon := held.find(b":", at, at + 9)) >= 0:
            if not held[at:colon].isdigit() or (size := int(held[at:colon])) > MOST:
                return Failure(f"no length: {held[at:colon][:20]!r}")
            end = colon + 1 + size
            if len(held) <= end:
                break
            if held[end : end + 1] != b",":
                return Failure("no comma at the end of a netstring")
            message = _json(held[colon + 1 : end])
            if isinstance(message, Failure):
                return message
            found.append(message)
            at = end + 1
        if at + 9 <= len(held) and held.find(b":", at, at + 9) < 0:
            return Failure(f"no length: {held[at:at + 9]!r}")
        self.held = held[at:]
        return found


def _json(body: bytes) -> dict[str, Any] | Failure:
    try:
        if body[:1] == b"x":
            unpack = zlib.decompressobj()
            body = unpack.decompress(body, MOST)
            if unpack.unconsumed_tail or not unpack.eof:
                return Failure("a packed message is cut off or too large")
        message = orjson.loads(body)
    except (zlib.error, orjson.JSONDecodeError) as error:
        return Failure(f"no JSON: {error}")
    return message if isinstance(message, dict) else Failure("a message must be an object")
