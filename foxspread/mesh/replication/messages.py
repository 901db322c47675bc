"""All messages between replicas, and the codec: `Message.packed` writes one, `decode` reads it.

What is malformed is refused here, and nowhere else, by `MalformedMessageError`.
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
    ContactReply,
    ContactRequest,
    DiskState,
    Report,
    SnapshotChunkRequest,
    SnapshotRestart,
    SnapshotRows,
)
from foxspread.mesh.replication.wire_format import (
    KIND,
    START_OVER,
    Fields,
    MalformedMessageError,
)

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


def _unpack_snapshot_reply(fields: Fields) -> SnapshotRows | SnapshotRestart:
    return (SnapshotRestart if fields.get(START_OVER) else SnapshotRows).unpacked(fields)


AcceptorRequest = Prepare | Accept
ProposerReply = Promise | Accepted | Nack | StaleEpoch | Behind
SnapshotReply = SnapshotRows | SnapshotRestart
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

_PLAIN_KINDS = (
    *(Prepare, Promise, Accept, Accepted, Nack, StaleEpoch, Behind),
    *(Enroll, Enrolled, ContactRequest, ContactReply, SnapshotChunkRequest),
)
DECODERS: dict[str, Callable[[Fields], Message]] = {
    **{each.kind: each.unpacked for each in _PLAIN_KINDS},
    SnapshotRows.kind: _unpack_snapshot_reply,
}


def decode(fields: Fields) -> Message | None:
    """The message that these fields spell; None for a kind that this release does not know.

    Raises `MalformedMessageError` where a field is missing or of another shape.
    """
    if KIND not in fields:
        raise MalformedMessageError("no kind")
    kind = fields[KIND]
    decoder = DECODERS.get(kind) if isinstance(kind, str) else None
    if decoder is None:
        return None
    try:
        return decoder(fields)
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise MalformedMessageError(f"{kind}: {error!r}") from error
