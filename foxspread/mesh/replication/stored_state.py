"""The data that a replica writes to its storage and reads back when it starts.

The acceptor returns `Write`s and does not depend on SQLite; the storage executes them and does not depend on
Paxos. The names of the `meta` rows are part of the stored format and appear only here.
"""

from dataclasses import dataclass, field
from typing import Any

from foxspread.mesh.configuration.items import Key
from foxspread.mesh.replication.learner import NO_PROPOSAL, ProposalNumber, Row, unpack_proposal_number

# Identity of one storage: a number and a random text. The number grows with each wipe of the machine; it is 0
# on the first start of the whole system.
DiskIdentity = ProposalNumber

# Names of the `meta` rows on disk; some differ from the names in the code.
DISK = "disk"
MEMBERS = "members"
VOTING = "voting"
MEMBERS_CONFIRMED = "known"
PROMISED = "promised"
ACCEPTED = "accepted"
COMMITTED = "settled"
DISKS = "disks"
START_COUNT = "boots"


@dataclass(frozen=True, slots=True)
class SetMeta:
    """Sets one named value."""

    name: str  # one of the names above
    value: Any  # a value that JSON can encode


@dataclass(frozen=True, slots=True)
class PutRows:
    """Inserts rows of committed items; existing rows with the same key are replaced."""

    rows: list[Row]


@dataclass(frozen=True, slots=True)
class DeleteRows:
    """Deletes the rows of items that were garbage-collected; keys without a row are ignored."""

    keys: list[Key]


Write = SetMeta | PutRows | DeleteRows


@dataclass
class RecoveredState:
    """The content of a storage when it is opened."""

    disk: DiskIdentity
    members: tuple[str, ...]  # the member set of epoch 0, or the configured seeds
    promised: ProposalNumber = NO_PROPOSAL
    committed: ProposalNumber = NO_PROPOSAL
    accepted: ProposalNumber = NO_PROPOSAL
    rows: list[Row] = field(default_factory=list)
    delta: list[Any] = field(default_factory=list)  # packed items of the proposal `accepted`
    disks: dict[str, DiskIdentity] = field(default_factory=dict)  # disks of other members
    voting: bool = False
    members_confirmed: bool = False  # False: `members` are only configured seeds, which may be out of date
    start_count: int = 0  # how often the storage was opened, including now; 0: only by an older release

    @classmethod
    def from_stored(cls, meta: dict[str, Any], rows: list[Row]) -> "RecoveredState":
        """Decodes the stored rows; raises KeyError, IndexError or TypeError if they are malformed."""
        accepted, delta = meta.get(ACCEPTED, [[0, ""], []])
        return cls(
            unpack_proposal_number(meta[DISK]),
            tuple(meta[MEMBERS]),
            tuple(meta.get(PROMISED, NO_PROPOSAL)),
            tuple(meta.get(COMMITTED, NO_PROPOSAL)),
            tuple(accepted),
            rows,
            delta,
            {member: unpack_proposal_number(disk) for member, disk in meta.get(DISKS, {}).items()},
            meta[VOTING],
            meta[MEMBERS_CONFIRMED],
            meta.get(START_COUNT, 0),
        )
