"""Encodes and decodes messages between coordinators: msgpack of structs as arrays.

Format and cluster of a message are checked before the rest is decoded. The error names the one that differs,
so that messages of other software versions or other clusters are easy to recognize in the log.
"""

from typing import Any

import msgspec

from foxspread.consensus.errors import ForeignMessageError
from foxspread.consensus.messages import Envelope

FORMAT = 1  # version of the encoding on the wire and on disk; any other version is rejected
SHOWN_CHARACTERS = 60  # of received ids in error texts, so that a sender can't flood the log

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(value: Any) -> bytes:
    """Encodes a message, or any other struct of this package."""
    return _ENCODER.encode(value)


def decode(data: bytes) -> Envelope:
    """Decodes an envelope without checking its recipient. Raises `msgspec.DecodeError`."""
    return _DECODER.decode(data)


def decode_for(data: bytes, fleet: str, node_id: str) -> Envelope:
    """Decodes an envelope that must be addressed to this node. Raises `ForeignMessageError`."""
    _check_header(data, fleet)
    try:
        envelope = decode(data)
    except msgspec.DecodeError as error:
        raise ForeignMessageError(f"message can't be decoded: {error}") from None
    if envelope.recipient != node_id:
        raise ForeignMessageError(
            f"message is addressed to {envelope.recipient[:SHOWN_CHARACTERS]!r}, but this node is {node_id!r}"
        )
    return envelope


def _check_header(data: bytes, fleet: str) -> None:
    """Rejects other formats and clusters; the format first, since the rest depends on it."""
    try:
        header = msgspec.msgpack.decode(data)
        message_fleet, message_format = header[0], header[1]
    except (msgspec.DecodeError, LookupError, TypeError):
        raise ForeignMessageError("data is not a coordinator message") from None
    if message_format != FORMAT:
        raise ForeignMessageError(f"message has format {repr(message_format)[:20]}, expected {FORMAT}")
    if message_fleet != fleet:
        raise ForeignMessageError(
            f"message is from fleet {str(message_fleet)[:SHOWN_CHARACTERS]!r}, expected {fleet!r}"
        )
