"""All messages between replicas, and the codec: `Message.packed` writes one, `decode` reads it.

Malformed messages are rejected here, and nowhere else, with `MalformedMessageError`.
"""

from collections.abc import Callable

from foxspread.mesh.replication.paxos_messages import (
    Accept,
    Accepted,
    Behind,
    Enroll,
    Enrolled,
    Nack,
    Prepare,
    Promise,
    StaleEpoch,
)
from foxspread.mesh.replication.sync_messages import (
    SNAPSHOT_DECODERS,
    ContactReply,
    ContactRequest,
    DiskState,
    Report,
    SnapshotChunkRequest,
    SnapshotReply,
    SnapshotRestart,
    SnapshotRows,
)
from foxspread.mesh.replication.wire_format import Fields, MalformedMessageError, decode_by

__all__ = [
    "Accept",
    "Accepted",
    "AcceptorRequest",
    "Behind",
    "ContactReply",
    "ContactRequest",
    "DECODERS",
    "DiskState",
    "Enroll",
    "Enrolled",
    "Fields",
    "MalformedMessageError",
    "Message",
    "Nack",
    "Prepare",
    "Promise",
    "ProposerReply",
    "Report",
    "SnapshotChunkRequest",
    "SnapshotReply",
    "SnapshotRestart",
    "SnapshotRows",
    "StaleEpoch",
    "decode",
]


AcceptorRequest = Prepare | Accept
ProposerReply = Promise | Accepted | Nack | StaleEpoch | Behind
Message = (
    AcceptorRequest
    | ProposerReply
    | Enroll
    | Enrolled
    | ContactRequest
    | ContactReply
    | SnapshotChunkRequest
    | SnapshotReply
)

_KINDS_WITH_ONE_CLASS = (
    *(Prepare, Promise, Accept, Accepted, Nack, StaleEpoch, Behind),
    *(Enroll, Enrolled, ContactRequest, ContactReply, SnapshotChunkRequest),
)
DECODERS: dict[str, Callable[[Fields], Message]] = {
    **{each.kind: each.unpacked for each in _KINDS_WITH_ONE_CLASS},
    **SNAPSHOT_DECODERS,
}


def decode(fields: Fields) -> Message | None:
    """Returns the message that these fields encode; None if this release does not know its kind.

    Raises `MalformedMessageError` if a field is missing or has the wrong shape.
    """
    return decode_by(DECODERS, fields)
