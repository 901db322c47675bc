"""Messages between proposers and acceptors, and messages that enrol a replica with an empty disk.

Names follow L. Lamport, "Paxos Made Simple" (2001), and D. Rystsov, "CASPaxos: Replicated State Machines
without logs" (2018). The value of the register is the set of all items, so messages carry a value as a delta
over a committed set: `delta` has the items that a proposal adds to the set as of `committed_number`, and
`missing_rows` has the rows of that set that the receiver lacks.
"""

from dataclasses import dataclass
from typing import ClassVar

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.replication.learner import (
    NO_PROPOSAL,
    ProposalNumber,
    Row,
    unpack_proposal_number,
)
from foxspread.mesh.replication.stored_state import DiskIdentity
from foxspread.mesh.replication.wire_format import (
    ACCEPTED_NUMBER,
    COMMITTED_NUMBER,
    DELTA,
    DISK,
    DISKS,
    EPOCH,
    KIND,
    LONG_EPOCH,
    MEMBERS,
    MISSING_ROWS,
    MISSING_SINCE,
    PROMISED,
    PROPOSAL_NUMBER,
    ROWS,
    Fields,
    pack_items,
    unpack_disks,
    unpack_items,
)


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1a: a proposer asks an acceptor to promise its proposal number."""

    kind: ClassVar[str] = "prepare"
    proposal_number: ProposalNumber
    epoch: int  # epoch of the member set whose majority the proposer needs
    committed_number: ProposalNumber  # number up to which the proposer's committed set is complete

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            PROPOSAL_NUMBER: self.proposal_number,
            EPOCH: self.epoch,
            COMMITTED_NUMBER: self.committed_number,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "Prepare":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(
            unpack_proposal_number(fields[PROPOSAL_NUMBER]),
            fields[EPOCH],
            unpack_proposal_number(fields[COMMITTED_NUMBER]),
        )


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1b: the acceptor rejects lower proposals from now on, and reports the last value it accepted."""

    kind: ClassVar[str] = "promise"
    proposal_number: ProposalNumber
    accepted: ProposalNumber  # number of the proposal in which `delta` was accepted
    committed_number: ProposalNumber  # number up to which the acceptor's committed set is complete
    disks: dict[str, DiskIdentity]  # newest disk identities that the acceptor knows, including its own
    delta: tuple[Item, ...]
    missing_rows: list[Row] | None  # rows that the proposer lacks; None: too many for one message

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            PROPOSAL_NUMBER: self.proposal_number,
            ACCEPTED_NUMBER: self.accepted,
            COMMITTED_NUMBER: self.committed_number,
            DISKS: self.disks,
            DELTA: pack_items(self.delta),
            MISSING_ROWS: self.missing_rows,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "Promise":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(
            unpack_proposal_number(fields[PROPOSAL_NUMBER]),
            unpack_proposal_number(fields[ACCEPTED_NUMBER]),
            unpack_proposal_number(fields[COMMITTED_NUMBER]),
            unpack_disks(fields[DISKS]),
            unpack_items(fields[DELTA]),
            fields[MISSING_ROWS],
        )


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2a: a proposer asks an acceptor to accept `delta` over the set as of `committed_number`."""

    kind: ClassVar[str] = "accept"
    proposal_number: ProposalNumber
    epoch: int
    committed_number: ProposalNumber
    delta: tuple[Item, ...]
    disks: dict[str, DiskIdentity]  # disks of the acceptors whose promises the proposer counted
    missing_since: ProposalNumber = NO_PROPOSAL  # `missing_rows` has the rows that changed after this number
    missing_rows: list[Row] | None = None

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            PROPOSAL_NUMBER: self.proposal_number,
            EPOCH: self.epoch,
            COMMITTED_NUMBER: self.committed_number,
            DELTA: pack_items(self.delta),
            DISKS: self.disks,
            MISSING_SINCE: self.missing_since,
            MISSING_ROWS: self.missing_rows,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "Accept":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        rows = fields.get(MISSING_ROWS)
        return cls(
            unpack_proposal_number(fields[PROPOSAL_NUMBER]),
            fields[EPOCH],
            unpack_proposal_number(fields[COMMITTED_NUMBER]),
            unpack_items(fields[DELTA]),
            unpack_disks(fields[DISKS]),
            unpack_proposal_number(fields[MISSING_SINCE]) if rows is not None else NO_PROPOSAL,
            rows,
        )


@dataclass(frozen=True, slots=True)
class Accepted:
    """Phase 2b: the acceptor has accepted the proposal."""

    kind: ClassVar[str] = "accepted"
    proposal_number: ProposalNumber
    disks: dict[str, DiskIdentity]

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {KIND: self.kind, PROPOSAL_NUMBER: self.proposal_number, DISKS: self.disks}

    @classmethod
    def unpacked(cls, fields: Fields) -> "Accepted":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(unpack_proposal_number(fields[PROPOSAL_NUMBER]), unpack_disks(fields[DISKS]))


@dataclass(frozen=True, slots=True)
class Nack:
    """The acceptor rejects a proposal: it has promised a higher one, or knows that a disk was replaced."""

    kind: ClassVar[str] = "nack"
    proposal_number: ProposalNumber  # number of the rejected proposal
    promised: ProposalNumber

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {KIND: self.kind, PROPOSAL_NUMBER: self.proposal_number, PROMISED: self.promised}

    @classmethod
    def unpacked(cls, fields: Fields) -> "Nack":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        promised = fields[PROMISED]
        return cls(unpack_proposal_number(fields[PROPOSAL_NUMBER]), unpack_proposal_number(promised))


@dataclass(frozen=True, slots=True)
class StaleEpoch:
    """The acceptor rejects a message that names a replaced member set; the rows contain the newer set."""

    kind: ClassVar[str] = "stale"
    proposal_number: ProposalNumber
    committed_number: ProposalNumber
    missing_rows: list[Row] | None

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            PROPOSAL_NUMBER: self.proposal_number,
            COMMITTED_NUMBER: self.committed_number,
            MISSING_ROWS: self.missing_rows,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "StaleEpoch":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(
            unpack_proposal_number(fields[PROPOSAL_NUMBER]),
            unpack_proposal_number(fields[COMMITTED_NUMBER]),
            fields[MISSING_ROWS],
        )


@dataclass(frozen=True, slots=True)
class Behind:
    """The acceptor's committed set is too old to apply the rows of an `Accept`."""

    kind: ClassVar[str] = "behind"
    proposal_number: ProposalNumber
    committed_number: ProposalNumber

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            PROPOSAL_NUMBER: self.proposal_number,
            COMMITTED_NUMBER: self.committed_number,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "Behind":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        committed_number = unpack_proposal_number(fields[COMMITTED_NUMBER])
        return cls(unpack_proposal_number(fields[PROPOSAL_NUMBER]), committed_number)


@dataclass(frozen=True, slots=True)
class Enroll:
    """A replica whose disk came back empty asks the others to record the identity of the new disk."""

    kind: ClassVar[str] = "enrol"
    disk: DiskIdentity

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {KIND: self.kind, DISK: self.disk}

    @classmethod
    def unpacked(cls, fields: Fields) -> "Enroll":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(unpack_proposal_number(fields[DISK]))


@dataclass(frozen=True, slots=True)
class Enrolled:
    """The acceptor has recorded the identity; the other fields are its state after that."""

    kind: ClassVar[str] = "enrolled"
    disk: DiskIdentity  # newest recorded for the sender; higher than requested if the request is outdated
    promised: ProposalNumber
    committed_number: ProposalNumber
    accepted: ProposalNumber
    delta: tuple[Item, ...]
    rows: list[Row] | None  # the whole committed set; None: too large for one message
    disks: dict[str, DiskIdentity]
    epoch: int
    members: tuple[str, ...]

    def packed(self) -> Fields:
        """Returns the fields that are sent."""
        return {
            KIND: self.kind,
            DISK: self.disk,
            PROMISED: self.promised,
            COMMITTED_NUMBER: self.committed_number,
            ACCEPTED_NUMBER: self.accepted,
            DELTA: pack_items(self.delta),
            ROWS: self.rows,
            DISKS: self.disks,
            LONG_EPOCH: self.epoch,
            MEMBERS: self.members,
        }

    @classmethod
    def unpacked(cls, fields: Fields) -> "Enrolled":
        """Decodes the output of `packed`; a lookup or type error means a malformed message."""
        return cls(
            unpack_proposal_number(fields[DISK]),
            unpack_proposal_number(fields[PROMISED]),
            unpack_proposal_number(fields[COMMITTED_NUMBER]),
            unpack_proposal_number(fields[ACCEPTED_NUMBER]),
            unpack_items(fields[DELTA]),
            fields[ROWS],
            unpack_disks(fields[DISKS]),
            fields[LONG_EPOCH],
            tuple(fields[MEMBERS]),
        )
