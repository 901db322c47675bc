"""Stored data of coordinators: log entries, snapshots, and the writes that change a disk.

All are structs that are encoded as arrays. Names of fields are therefore not part of the format; their order
and number are. A field may be added only at the end, with a default.
"""

import msgspec

ENTRY_OVERHEAD_BYTES = 32  # estimate of an entry's encoding without its body
MEMBER_BYTES = 64  # estimate of one member's encoding


class ArrayStruct(msgspec.Struct, array_like=True):
    """A struct that is encoded as an array; readers ignore additional fields at its end."""


class MemberAddress(ArrayStruct, frozen=True):
    """A member of the cluster.

    address: HOST:PORT at which peers connect to it.
    voter: False for a learner, which catches up before it votes ([T] 4.2.1).
    added_at: index of the log entry that added the member. It differs after a removal and another addition,
        which distinguishes the member's former disk from its present one.
    """

    address: str
    voter: bool = True
    added_at: int = 0


Members = dict[str, MemberAddress]  # by node id


class LogEntry(ArrayStruct, frozen=True):
    """One log entry: a command of the state machine, a change of members, or a no-op.

    term: the term of the leader that created the entry.
    body: the encoded command; empty if there is none.
    members: all members from this entry on; None if the entry doesn't change them.
    """

    term: int
    body: bytes = b""
    members: Members | None = None

    def size(self) -> int:
        """Returns the estimated size in bytes on the wire and on disk."""
        return (
            len(self.body) + ENTRY_OVERHEAD_BYTES + (MEMBER_BYTES * len(self.members) if self.members else 0)
        )


class StorageIdentity(ArrayStruct, frozen=True):
    """Identity and progress of a disk; part of each message, so that peers detect lost writes.

    disk_id: random id, drawn when the disk is first used.
    generation: number of process starts on this disk.
    incarnation: random id of the process, drawn at each start.
    writes_at_start: number of confirmed writes when the process started.
    writes: number of confirmed writes at present.
    member_added_at: `MemberAddress.added_at` of the member that owns the disk; -1 if not known yet.
    """

    disk_id: str
    generation: int
    incarnation: str
    writes_at_start: int
    writes: int
    member_added_at: int = -1


class ObservedStorage(ArrayStruct, frozen=True):
    """The latest `StorageIdentity` received from a member, and that member's `added_at` at the time."""

    identity: StorageIdentity
    member_added_at: int


class Snapshot(ArrayStruct, frozen=True):
    """The state after all log entries up to `index` ([R] 7).

    index, term: position of the last entry that the snapshot includes.
    members: the members as of `index`.
    members_index: index of the entry that set these members.
    data: state of the state machine, in its own encoding.
    """

    index: int = 0
    term: int = 0
    members: Members = {}
    members_index: int = 0
    data: bytes = b""


class StorageWrite(ArrayStruct, frozen=True):
    """One atomic write to the disk; writes become durable in the order of their numbers.

    number: sequence number within this process, from 1.
    term, voted_for: Raft's persistent state ([R] figure 2).
    observed_storage: latest observation of each member's disk, by node id.
    removed_disks: `disk_id` of each removed member's disk, by node id.
    barred_reason: why the node is barred; empty if it is not.
    first_index: `entries` replace all log entries from this index on; 0 leaves the log unchanged.
    snapshot: a new snapshot, which replaces the log entries up to its index; None if there is none.
    keep_log_suffix: whether the log entries after the snapshot's index are kept.
    member_added_at: as in `StorageIdentity`.
    """

    number: int
    term: int
    voted_for: str
    observed_storage: dict[str, ObservedStorage]
    removed_disks: dict[str, str]
    barred_reason: str
    first_index: int = 0
    entries: list[LogEntry] = []
    snapshot: Snapshot | None = None
    keep_log_suffix: bool = True
    member_added_at: int = -1


class StoredState(msgspec.Struct):
    """Contents of a disk when a process starts on it; `generation` includes this start.

    For the fields see `StorageIdentity` and `StorageWrite`; `writes` is the number of confirmed writes.
    """

    disk_id: str
    generation: int
    writes: int = 0
    term: int = 0
    voted_for: str = ""
    observed_storage: dict[str, ObservedStorage] = {}
    removed_disks: dict[str, str] = {}
    barred_reason: str = ""
    member_added_at: int = -1
    snapshot: Snapshot = Snapshot()
    entries: list[LogEntry] = []

    def apply(self, write: StorageWrite) -> None:
        """Applies a write in memory; used by simulated disks, and by tests as the reference for `storage`."""
        self.term, self.voted_for, self.barred_reason = write.term, write.voted_for, write.barred_reason
        self.observed_storage, self.removed_disks = write.observed_storage, write.removed_disks
        self.member_added_at = write.member_added_at
        self.writes += 1
        base = self.snapshot.index
        if write.snapshot is not None:
            dropped = max(0, write.snapshot.index - base)
            self.entries = self.entries[dropped:] if write.keep_log_suffix else []
            self.snapshot, base = write.snapshot, write.snapshot.index
        if write.first_index:
            self.entries = self.entries[: write.first_index - base - 1] + list(write.entries)
