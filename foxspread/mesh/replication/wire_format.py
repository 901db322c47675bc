"""How the messages between replicas are spelt on the wire: short keys of JSON objects.

The spelling, and the order of the keys, is the protocol between releases and must not change.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from foxspread.mesh.configuration.items import Item, unpack_item
from foxspread.mesh.replication.learner import unpack_proposal_number
from foxspread.mesh.replication.stored_state import DiskIdentity
from foxspread.mesh.transport.messages import Fields, MalformedMessageError

__all__ = ["Fields", "MalformedMessageError"]  # besides the keys below

Decoded = TypeVar("Decoded")

# Keys of more than one kind of message.
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
# Of enrolment.
ROWS = "rows"
LONG_EPOCH = "epoch"
MEMBERS = "members"
# Of the contact with a quorum.
INCARNATION = "life"
START_COUNT = "boots"
MEMBER = "member"
VOTES = "votes"
NEWEST_NUMBER = "seen"
ZONE = "zone"
LEAVING = "leaving"
HEARS = "hears"
ROLLED_BACK = "older"
# Of a snapshot.
AFTER = "after"
CHUNK_COMMITTED_NUMBER = "upto"
MORE = "more"
DIGEST = "digest"
HORIZON = "horizon"
STALENESS = "age"
START_OVER = "again"


def pack_items(items: tuple[Item, ...]) -> list[list[Any]]:
    """Items as JSON has them."""
    return [item.packed() for item in items]


def unpack_items(packed: list[list[Any]]) -> tuple[Item, ...]:
    """The reverse of `pack_items`."""
    return tuple(map(unpack_item, packed))


def unpack_disks(packed: Fields) -> dict[str, DiskIdentity]:
    """Identities of disks by member."""
    return {member: unpack_proposal_number(disk) for member, disk in packed.items()}


def decode_by(decoders: Mapping[str, Callable[[Fields], Decoded]], fields: Fields) -> Decoded | None:
    """The message that these fields spell; None for a kind that has no decoder here.

    Raises `MalformedMessageError` where a field is missing or of another shape.
    """
    if KIND not in fields:
        raise MalformedMessageError("no kind")
    kind = fields[KIND]
    decoder = decoders.get(kind) if isinstance(kind, str) else None
    if decoder is None:
        return None
    try:
        return decoder(fields)
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise MalformedMessageError(f"{kind}: {error!r}") from error
