"""How the messages between replicas are spelt on the wire: short keys of JSON objects.

The spelling, and the order of the keys, is the protocol between releases and must not change.
"""

from typing import Any

from foxspread.mesh.configuration.items import Item, unpack_item
from foxspread.mesh.replication.learner import unpack_proposal_number
from foxspread.mesh.replication.stored_state import DiskIdentity
from foxspread.mesh.transport.messages import Fields, MalformedMessageError

__all__ = ["Fields", "MalformedMessageError"]  # besides the keys below

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
