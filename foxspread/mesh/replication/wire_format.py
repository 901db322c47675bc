"""The encoding of messages between replicas: JSON objects with short keys.

The keys and their order are the protocol between releases and must not change.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from foxspread.mesh.configuration.items import Item, unpack_item
from foxspread.mesh.replication.learner import unpack_proposal_number
from foxspread.mesh.replication.stored_state import DiskIdentity
from foxspread.mesh.transport.messages import Fields, MalformedMessageError

__all__ = ["Fields", "MalformedMessageError"]  # besides the keys below

Decoded = TypeVar("Decoded")

# Keys that several kinds of message share.
KIND = "t"
PROPOSAL_NUMBER = "b"
COMMITTED_NUMBER = "s"
EPOCH = "e"
ACCEPTED_NUMBER = "acc"
PROMISED = "promised"
DELTA = "delta"
MISSING_ROWS = "ahead"
MISSING_SINCE = "since"
DISK = "disk"
DISKS = "disks"
REQUEST_NUMBER = "n"
# Keys of enrolment messages.
ROWS = "rows"
LONG_EPOCH = "epoch"
MEMBERS = "members"
# Keys of messages that maintain contact with a quorum.
INCARNATION = "life"
START_COUNT = "boots"
MEMBER = "member"
VOTES = "votes"
NEWEST_NUMBER = "seen"
ZONE = "zone"
LEAVING = "leaving"
HEARS = "hears"
ROLLED_BACK = "older"
# Keys of snapshot messages.
AFTER = "after"
CHUNK_COMMITTED_NUMBER = "upto"
MORE = "more"
DIGEST = "digest"
HORIZON = "horizon"
STALENESS = "age"
START_OVER = "again"


def pack_items(items: tuple[Item, ...]) -> list[list[Any]]:
    """Returns the items as lists that JSON can encode."""
    return [item.packed() for item in items]


def unpack_items(packed: list[list[Any]]) -> tuple[Item, ...]:
    """Decodes the output of `pack_items`."""
    return tuple(map(unpack_item, packed))


def unpack_disks(packed: Fields) -> dict[str, DiskIdentity]:
    """Decodes a mapping from members to the identities of their disks."""
    return {member: unpack_proposal_number(disk) for member, disk in packed.items()}


def decode_by(decoders: Mapping[str, Callable[[Fields], Decoded]], fields: Fields) -> Decoded | None:
    """Returns the message that these fields encode; None if `decoders` has no decoder for its kind.

    Raises `MalformedMessageError` if a field is missing or has the wrong shape.
    """
    if KIND not in fields:
        raise MalformedMessageError(f"message without the key {KIND!r}")
    kind = fields[KIND]
    decoder = decoders.get(kind) if isinstance(kind, str) else None
    if decoder is None:
        return None
    try:
        return decoder(fields)
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise MalformedMessageError(f"malformed message of kind {kind!r}: {error!r}") from error
