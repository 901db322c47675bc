"""Frames messages as netstrings of JSON, `LENGTH:BODY,`; a large body is compressed by zlib.

A compressed body begins with 0x78, a JSON object with a brace. The limits on lengths bound the memory that a
peer can make this process use. The committed set is sent in chunks of about 64 KiB; the largest messages are
`accept` and `promise`, which carry whole proposals: all calls of the operator that are in progress.

This module does no I/O.
"""

import zlib

import orjson

from foxspread.mesh.errors import Failure
from foxspread.mesh.transport.messages import KIND, Fields

MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # of the body, both compressed and decompressed
COMPRESS_FROM_BYTES = 1500  # a shorter message fits into one packet anyway
COMPRESSION_LEVEL = 1  # the cheapest level already shrinks the records of a fleet well
MAX_PREFIX_BYTES = 9  # `LENGTH:`; a longer length is rejected before its end is read


def encode(message: Fields) -> bytes | Failure:
    """Returns the bytes of a message, or a failure if it is too large for any peer to accept."""
    body = orjson.dumps(message)
    if len(body) > MAX_MESSAGE_BYTES:
        return Failure(
            f"message {message.get(KIND)!r}: {len(body)} bytes exceed the limit of {MAX_MESSAGE_BYTES}"
        )
    if len(body) > COMPRESS_FROM_BYTES:
        body = zlib.compress(body, COMPRESSION_LEVEL)
    return b"%d:%s," % (len(body), body)


class Decoder:
    """Decodes the byte stream of one connection."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Fields] | Failure:
        """Returns the messages that `data` completes, in order.

        Returns a failure if the bytes are not messages; the connection can no longer be used then.
        """
        self.buffer = self.buffer + data if self.buffer else data
        messages: list[Fields] = []
        start, buffer = 0, self.buffer
        while (colon := buffer.find(b":", start, start + MAX_PREFIX_BYTES)) >= 0:
            if not buffer[start:colon].isdigit() or (size := int(buffer[start:colon])) > MAX_MESSAGE_BYTES:
                return Failure(f"invalid netstring length: {buffer[start:colon][:20]!r}")
            end = colon + 1 + size
            if len(buffer) <= end:
                break
            if buffer[end : end + 1] != b",":
                return Failure(f"netstring ends with {buffer[end : end + 1]!r} instead of a comma")
            message = _parse(buffer[colon + 1 : end])
            if isinstance(message, Failure):
                return message
            messages.append(message)
            start = end + 1
        unframed = buffer[start : start + MAX_PREFIX_BYTES]
        if len(unframed) == MAX_PREFIX_BYTES and b":" not in unframed:
            return Failure(f"invalid netstring length: {unframed!r}")
        self.buffer = buffer[start:]
        return messages


def _parse(body: bytes) -> Fields | Failure:
    try:
        if body[:1] == b"x":
            decompressor = zlib.decompressobj()
            body = decompressor.decompress(body, MAX_MESSAGE_BYTES)
            if decompressor.unconsumed_tail or not decompressor.eof:
                return Failure(f"compressed message is truncated or exceeds {MAX_MESSAGE_BYTES} bytes")
        message = orjson.loads(body)
    except (zlib.error, orjson.JSONDecodeError) as error:
        return Failure(f"message is not valid JSON: {error}")
    return (
        message
        if isinstance(message, dict)
        else Failure(f"message must be a JSON object, not {type(message).__name__}")
    )
