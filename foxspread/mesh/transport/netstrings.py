"""Frames messages as netstrings of JSON: LENGTH:BODY, with the body compressed by zlib where it is large.

A compressed body begins with 0x78, JSON of ours with a brace. The lengths bound what a peer can make this
process hold. The committed set travels in chunks of some 64 KiB; the largest messages are `accept` and
`promise`, which carry whole proposals: the calls of the operator that are in progress together.

Without I/O.
"""

import zlib

import orjson

from foxspread.mesh.errors import Failure
from foxspread.mesh.transport.messages import KIND, Fields

MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # compressed or not
COMPRESS_FROM_BYTES = 1500  # below that, one packet holds it anyway
COMPRESSION_LEVEL = 1  # the cheapest: the records of a fleet still shrink by far
MAX_LENGTH_DIGITS = 9  # with the colon: a longer length is refused before its end is read


def encode(message: Fields) -> bytes | Failure:
    """The bytes of a message; a failure if it is too large for any peer to accept."""
    body = orjson.dumps(message)
    if len(body) > MAX_MESSAGE_BYTES:
        return Failure(f"a message {message.get(KIND)!r} of {len(body)} bytes")
    if len(body) > COMPRESS_FROM_BYTES:
        body = zlib.compress(body, COMPRESSION_LEVEL)
    return b"%d:%s," % (len(body), body)


class Decoder:
    """Takes the bytes of one connection, cut anywhere."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Fields] | Failure:
        """Complete messages, in order; a failure if the bytes cannot be messages: the connection is lost."""
        self.buffer = self.buffer + data if self.buffer else data
        messages: list[Fields] = []
        at, buffer = 0, self.buffer
        while (colon := buffer.find(b":", at, at + MAX_LENGTH_DIGITS)) >= 0:
            if not buffer[at:colon].isdigit() or (size := int(buffer[at:colon])) > MAX_MESSAGE_BYTES:
                return Failure(f"no length: {buffer[at:colon][:20]!r}")
            end = colon + 1 + size
            if len(buffer) <= end:
                break
            if buffer[end : end + 1] != b",":
                return Failure("no comma at the end of a netstring")
            message = _parse(buffer[colon + 1 : end])
            if isinstance(message, Failure):
                return message
            messages.append(message)
            at = end + 1
        unframed = buffer[at : at + MAX_LENGTH_DIGITS]
        if len(unframed) == MAX_LENGTH_DIGITS and b":" not in unframed:
            return Failure(f"no length: {unframed!r}")
        self.buffer = buffer[at:]
        return messages


def _parse(body: bytes) -> Fields | Failure:
    try:
        if body[:1] == b"x":
            decompressor = zlib.decompressobj()
            body = decompressor.decompress(body, MAX_MESSAGE_BYTES)
            if decompressor.unconsumed_tail or not decompressor.eof:
                return Failure("a packed message is cut off or too large")
        message = orjson.loads(body)
    except (zlib.error, orjson.JSONDecodeError) as error:
        return Failure(f"no JSON: {error}")
    return message if isinstance(message, dict) else Failure("a message must be an object")
