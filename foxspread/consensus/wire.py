"""The codec between coordinators: msgpack of positional structs.

A message is refused by name before it is read further where its format or cluster differs, so that
processes of other versions and other clusters are noticed in the log rather than guessed at.
"""

from typing import Any

import msgspec

from foxspread.consensus.errors import ForeignMessageError
from foxspread.consensus.messages import Envelope

FORMAT = 1  # version of the encoding on the wire and on disk; any other one is refused
SHOWN_CHARACTERS = 60  # of a foreign id in an error's text: a peer must not fill the log

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(value: Any) -> bytes:
    """The bytes of a message, or of any record of this package."""
    return _ENCODER.encode(value)


def decode(data: bytes) -> Envelope:
    """The envelope in `data`, whoever it is for. Raises `msgspec.DecodeError`."""
    return _DECODER.decode(data)


def decode_for(data: bytes, fleet: str, node_id: str) -> Envelope:
    """The envelope in `data`, where it is for this node. Raises `ForeignMessageError`."""
    _check_header(data, fleet)
    try:
        envelope = decode(data)
    except msgspec.DecodeError as error:
        raise ForeignMessageError(f"a message that can't be read: {error}") from None
    if envelope.recipient != node_id:
        raise ForeignMessageError(
            f"addressed to {envelope.recipient[:SHOWN_CHARACTERS]!r}, this member is {node_id!r}"
        )
    return envelope


def _check_header(data: bytes, fleet: str) -> None:
    """Refuses other clusters and formats; the format comes first, since it says how to read the rest."""
    try:
        header = msgspec.msgpack.decode(data)
        message_fleet, message_format = header[0], header[1]
    except (msgspec.DecodeError, LookupError, TypeError):
        raise ForeignMessageError("no message of ours") from None
    if message_format != FORMAT:
        raise ForeignMessageError(f"format {repr(message_format)[:20]}, this member speaks {FORMAT}")
    if message_fleet != fleet:
        raise ForeignMessageError(f"fleet {str(message_fleet)[:SHOWN_CHARACTERS]!r}, this one is {fleet!r}")
