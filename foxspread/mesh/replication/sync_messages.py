"""Messages that keep replicas in contact with each other, and messages that transfer snapshots."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from foxspread.mesh.replication.learner import (
    NO_PROPOSAL,
    Offset,
    ProposalNumber,
    SnapshotChunk,
    pack_offset,
    unpack_offset,
    unpack_proposal_number,
)
from foxspread.mesh.replication.stored_state import DiskIdentity
from foxspread.mesh.replication.wire_format import (
    AFTER,
    CHUNK_COMMITTED_NUMBER,
    COMMITTED_NUMBER,
    DIGEST,
    DISK,
    HEARS,
    HORIZON,
    INCARNATION,
    KIND,
    LEAVING,
    LONG_EPOCH,
    MEMBER,
    MISSING_SINCE,
    MORE,
    NEWEST_NUMBER,
    PROMISED,
    REQUEST_NUMBER,
    ROLLED_BACK,
    ROWS,
    STALENESS,
    START_COUNT,
    START_OVER,
    VOTES,
    ZONE,
    Fields,
    decode_by,
)


@dataclass(frozen=True, slots=True)
class DiskState:
    """State of a replica's disk, from which others detect that its file was restored from an older copy."""

    incarnation: str  # incarnation of the process that opened the file
    identity: DiskIdentity
    start_count: int
    promised: ProposalNumber  # highest promise on disk


@dataclass(frozen=True, slots=True)
class ContactRequest:
    """Asks a replica for its report; replies of a quorum bound the sender's staleness."""

    kind: ClassVar[str] = "contact"
    number: int
    disk: DiskState | None = None  # None only in the simulation, which restores no older copies

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        fields = {KIND: self.kind, REQUEST_NUMBER: self.number}
        if (disk := self.disk) is not None:
            fields[INCARNATION], fields[DISK] = disk.incarnation, disk.identity
            fields[START_COUNT], fields[PROMISED] = disk.start_count, disk.promised
        return fields

    @classmethod
    def unpacked(cls, fields: Fields) -> "ContactRequest":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        if INCARNATION not in fields:
            return cls(fields[REQUEST_NUMBER])
        identity, promised = unpack_proposal_number(fields[DISK]), unpack_proposal_number(fields[PROMISED])
        disk = DiskState(fields[INCARNATION], identity, fields[START_COUNT], promised)
        return cls(fields[REQUEST_NUMBER], disk)


@dataclass(frozen=True, slots=True)
class Report:
    """A replica's report of its own state."""

    member: str  # control address of the replica
    votes: bool = False  # whether the replica has its promises and acceptances, so that it may vote
    epoch: int = 0  # epoch of the newest member set in its committed set
    committed: ProposalNumber = NO_PROPOSAL
    seen: ProposalNumber = NO_PROPOSAL  # newest proposal that the replica has accepted or committed
    zone: str = ""
    leaving: bool = False
    hears: tuple[str, ...] = ()  # replicas whose reports it received within the last second, and itself
    disk: DiskIdentity = (0, "")

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            MEMBER: self.member,
            VOTES: self.votes,
            LONG_EPOCH: self.epoch,
            COMMITTED_NUMBER: self.committed,
            NEWEST_NUMBER: self.seen,
            ZONE: self.zone,
            LEAVING: self.leaving,
            HEARS: self.hears,
            DISK: self.disk,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "Report":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(
            str(fields[MEMBER]),
            bool(fields[VOTES]),
            int(fields[LONG_EPOCH]),
            unpack_proposal_number(fields[COMMITTED_NUMBER]),
            unpack_proposal_number(fields[NEWEST_NUMBER]),
            str(fields[ZONE]),
            bool(fields[LEAVING]),
            tuple(map(str, fields[HEARS])),
            unpack_proposal_number(fields[DISK]),
        )


@dataclass(frozen=True, slots=True)
class ContactReply:
    """The reply to a `ContactRequest`, with the report of the replica."""

    kind: ClassVar[str] = "contacted"
    number: int  # number of the request
    report: Report
    rolled_back_incarnation: str | None = None  # the requester's, if its disk is an older copy of itself

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        fields = {KIND: self.kind, REQUEST_NUMBER: self.number, **self.report.packed()}
        if self.rolled_back_incarnation is not None:
            fields[ROLLED_BACK] = self.rolled_back_incarnation
        return fields

    @classmethod
    def unpacked(cls, fields: Fields) -> "ContactReply":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(fields[REQUEST_NUMBER], Report.unpacked(fields), fields.get(ROLLED_BACK))


@dataclass(frozen=True, slots=True)
class SnapshotChunkRequest:
    """Asks a peer for the rows after an offset."""

    kind: ClassVar[str] = "piece"
    number: int
    after: Offset
    since: ProposalNumber | None = None  # oldest source of the staged rows; None: the number in `after`

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        fields = {KIND: self.kind, REQUEST_NUMBER: self.number, AFTER: pack_offset(self.after)}
        if self.since is not None:
            fields[MISSING_SINCE] = self.since
        return fields

    @classmethod
    def unpacked(cls, fields: Fields) -> "SnapshotChunkRequest":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        since = fields.get(MISSING_SINCE)
        return cls(
            fields[REQUEST_NUMBER],
            unpack_offset(fields[AFTER]),
            None if since is None else unpack_proposal_number(since),
        )


@dataclass(frozen=True, slots=True)
class SnapshotRows:
    """One chunk of the sender's committed set."""

    kind: ClassVar[str] = "rows"
    number: int  # number of the request
    chunk: SnapshotChunk
    staleness_s: float | None  # staleness of the sender's committed set; None: not known

    @property
    def committed_number(self) -> ProposalNumber:
        """Number up to which the sender's committed set is complete."""
        return self.chunk.committed_number

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        chunk = self.chunk
        fields = {
            KIND: self.kind,
            REQUEST_NUMBER: self.number,
            ROWS: chunk.rows,
            CHUNK_COMMITTED_NUMBER: chunk.committed_number,
            MORE: chunk.more,
            DIGEST: chunk.digest,
        }
        if chunk.horizon != NO_PROPOSAL:
            fields[HORIZON] = chunk.horizon
        fields[STALENESS] = self.staleness_s
        return fields

    @classmethod
    def unpacked(cls, fields: Fields) -> "SnapshotRows":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        chunk = SnapshotChunk(
            fields[ROWS],
            unpack_proposal_number(fields[CHUNK_COMMITTED_NUMBER]),
            fields[MORE],
            unpack_proposal_number(fields.get(HORIZON, NO_PROPOSAL)),
            fields[DIGEST],
        )
        return cls(fields[REQUEST_NUMBER], chunk, fields.get(STALENESS))


@dataclass(frozen=True, slots=True)
class SnapshotRestart:
    """The reply to a request for an offset before the sender's garbage collection: request everything."""

    kind: ClassVar[str] = "rows"
    number: int  # number of the request
    committed_number: ProposalNumber

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            REQUEST_NUMBER: self.number,
            CHUNK_COMMITTED_NUMBER: self.committed_number,
            START_OVER: True,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "SnapshotRestart":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(fields[REQUEST_NUMBER], unpack_proposal_number(fields[CHUNK_COMMITTED_NUMBER]))


SnapshotReply = SnapshotRows | SnapshotRestart
SnapshotMessage = SnapshotChunkRequest | SnapshotReply


def _unpack_snapshot_reply(fields: Fields) -> SnapshotReply:
    return (SnapshotRestart if fields.get(START_OVER) else SnapshotRows).unpacked(fields)


SNAPSHOT_DECODERS: dict[str, Callable[[Fields], SnapshotMessage]] = {
    SnapshotChunkRequest.kind: SnapshotChunkRequest.unpacked,
    SnapshotRows.kind: _unpack_snapshot_reply,
}


def decode_snapshot_message(fields: Fields) -> SnapshotMessage | None:
    """Decodes snapshot messages like `messages.decode`.

    Sidecars exchange only these, and need not import the messages of proposers and acceptors.
    """
    return decode_by(SNAPSHOT_DECODERS, fields)
