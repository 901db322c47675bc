"""The acceptor of a Paxos register whose value is the whole set of items.

docs/design/mesh.md has the safety argument. The acceptor does no I/O. The caller must have the writes that a
method returns, and all writes that were returned before, on disk before it sends the reply returned with
them. Nothing else waits for the disk: neither a proposer's requests, nor reports for contact with a quorum,
nor `Enroll`. This is safe because a call is acknowledged only on acceptances of a majority, and each
acceptance is such a reply.

The value of the register at a proposal is the committed set with a delta over it. A proposal is committed
once a majority has accepted it. Each later value extends it, so a delta over an older committed set may be
applied over a newer one.

A disk that comes back empty has lost its promises and acceptances. It gets a new identity, higher than any
that others have recorded for its machine. It votes again only once enough others have recorded this identity
to intersect each majority that the lost disk may have been part of: their replies then contain everything
that it may have promised and accepted. Each reply lists the disk identities that its sender knows. A reply
from a disk that another reply knows to be replaced does not count, so that no majority mixes votes from
before and after a wipe.

The member set is part of the value and has an epoch. A message that names a past epoch is neither promised
nor accepted; the reply has the rows that its sender lacks.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeVar

from foxspread.mesh.configuration.items import MEMBERS, Item, Key, unpack_item
from foxspread.mesh.replication import stored_state
from foxspread.mesh.replication.learner import (
    NO_PROPOSAL,
    CommittedItem,
    Learner,
    ProposalNumber,
    Row,
    pack_row,
    unpack_proposal_number,
    unpack_row,
)
from foxspread.mesh.replication.membership import MemberSet, enrolment_quorum, member_set_of
from foxspread.mesh.replication.messages import (
    Accept,
    Accepted,
    AcceptorRequest,
    Behind,
    Enroll,
    Enrolled,
    Nack,
    Prepare,
    Promise,
    ProposerReply,
    StaleEpoch,
)
from foxspread.mesh.replication.stored_state import (
    DeleteRows,
    DiskIdentity,
    PutRows,
    RecoveredState,
    SetMeta,
    Write,
)

MISSING_ROWS_LIMIT = 256  # rows in one message; a replica that lacks more reads a snapshot in chunks
DISK_IDENTITIES_LIMIT = 64  # recorded identities; those of members are kept first
MEMBERS_KEY = (MEMBERS, MEMBERS)


class Response(NamedTuple):
    """The result of a message: writes, the reply that waits for them, and newly learned committed items."""

    writes: list[Write]
    reply: ProposerReply | Enrolled | None
    new_items: list[Item]


class LearnResult(NamedTuple):
    """The result of an update of the committed set."""

    writes: list[Write]
    new_items: list[Item]


class _HasDisks(Protocol):
    @property
    def disks(self) -> dict[str, DiskIdentity]: ...


Reply = TypeVar("Reply", bound=_HasDisks)
NO_RESPONSE = Response([], None, [])


def current_replies(replies: Mapping[str, Reply]) -> dict[str, Reply]:
    """Returns the replies by member, without those of disks that another reply knows to be replaced."""
    newest: dict[str, DiskIdentity] = {}
    for reply in replies.values():
        for member, disk in reply.disks.items():
            newest[member] = max(newest.get(member, NO_PROPOSAL), disk)
    return {member: reply for member, reply in replies.items() if reply.disks[member] == newest[member]}


class Acceptor:
    """The acceptor of one machine, with the machine's committed set."""

    def __init__(self, me: str, saved: RecoveredState) -> None:
        """Restores the acceptor from storage. `me` is its name among the members, a control address."""
        self.me, self.disk, self.seeds = me, saved.disk, MemberSet(0, tuple(sorted(saved.members)))
        self.promised, self.accepted = saved.promised, saved.accepted
        self.learner = Learner()
        self.learner.apply(saved.committed, map(unpack_row, saved.rows))
        self.delta: dict[Key, Item] = {item.key: item for item in map(unpack_item, saved.delta)}
        self.disks, self.voting = dict(saved.disks), saved.voting
        self.members_confirmed = saved.members_confirmed
        self.enrolment_replies: dict[str, Enrolled] = {}
        self.start_count = saved.start_count
        # Set once enough replicas have replied to `Enroll`; this acceptor votes as soon as its committed set
        # has reached this number.
        self.enrolment_target: ProposalNumber | None = None

    @property
    def members(self) -> MemberSet:
        """The newest member set in this machine's committed set, or the seeds if it has none."""
        item = self.learner.items.get(MEMBERS_KEY)
        return member_set_of(item) if item is not None else self.seeds

    @property
    def epoch(self) -> int:
        """Epoch of the newest member set in this machine's committed set."""
        item = self.learner.items.get(MEMBERS_KEY)
        return item.version if item is not None else 0

    @property
    def can_serve(self) -> bool:
        """True if the replica may serve calls: it votes, and its member set is not just configured seeds."""
        return self.members_confirmed and self.voting

    @property
    def disk_identities(self) -> dict[str, DiskIdentity]:
        """The newest disk identity recorded here for each machine, including this one."""
        return {**self.disks, self.me: self.disk}

    @property
    def has_uncommitted(self) -> bool:
        """True if this acceptor has accepted a proposal that it does not know to be committed."""
        return self.accepted > self.learner.committed_number

    def initial_writes(self) -> list[Write]:
        """Returns the writes that a new disk needs before any other."""
        return [
            SetMeta(stored_state.DISK, self.disk),
            SetMeta(stored_state.MEMBERS, list(self.seeds.names)),
            SetMeta(stored_state.VOTING, self.voting),
            SetMeta(stored_state.MEMBERS_CONFIRMED, self.members_confirmed),
        ]

    # Requests of proposers.

    def prepare(self, message: Prepare) -> Response:
        """Promises the proposal, unless a higher one was promised before."""
        if not self.voting:
            return NO_RESPONSE
        if message.epoch < self.epoch:
            return self._stale_epoch(message)
        if message.proposal_number < self.promised:
            return self._nack(message)
        writes = self._promise(message.proposal_number)
        promise = Promise(
            message.proposal_number,
            self.accepted,
            self.learner.committed_number,
            self.disk_identities,
            tuple(self.delta.values()),
            self.rows_since(message.committed_number),
        )
        return Response(writes, promise, [])

    def accept(self, message: Accept) -> Response:
        """Accepts the proposal, unless a higher one was promised or a disk that promised it was replaced."""
        if not self.voting:
            return NO_RESPONSE
        if message.epoch < self.epoch:
            return self._stale_epoch(message)
        if message.proposal_number < self.promised or any(
            message.disks.get(member, disk) < disk for member, disk in self.disk_identities.items()
        ):
            return self._nack(message)
        learned = LearnResult([], [])
        if self.learner.committed_number < message.committed_number:
            if message.missing_rows is None or message.missing_since > self.learner.committed_number:
                return Response([], Behind(message.proposal_number, self.learner.committed_number), [])
            learned = self.learn(message.committed_number, map(unpack_row, message.missing_rows))
        writes = learned.writes + self._promise(message.proposal_number)
        if message.proposal_number > self.learner.committed_number:
            self.accepted = message.proposal_number
            self.delta = {item.key: item for item in message.delta}
            writes.append(self._accepted_write())
        return Response(writes, Accepted(message.proposal_number, self.disk_identities), learned.new_items)

    def enroll(self, sender: str, message: Enroll) -> Response:
        """Records the new identity of a disk that came back empty.

        The reply has the promise and acceptance of this acceptor at that time, and a newer identity for the
        sender if one is recorded.
        """
        if not self.voting:
            return NO_RESPONSE
        disk = max(message.disk, self.disks.get(sender, NO_PROPOSAL))
        writes = [self._record_disks({sender: disk})]
        reply = Enrolled(
            disk,
            self.promised,
            self.learner.committed_number,
            self.accepted,
            tuple(self.delta.values()),
            self.rows_since(NO_PROPOSAL),
            self.disk_identities,
            self.epoch,
            self.members.names,
        )
        return Response(writes, reply, [])

    def _record_disks(self, disks: Mapping[str, DiskIdentity]) -> Write:
        for member, disk in disks.items():
            if member != self.me:
                self.disks[member] = max(disk, self.disks.pop(member, NO_PROPOSAL))
        if len(self.disks) > DISK_IDENTITIES_LIMIT:
            members = self.members
            non_members = [member for member in self.disks if member not in members]
            # The oldest records go first. An identity is recorded again before its machine becomes a member.
            for member in non_members[: len(self.disks) - DISK_IDENTITIES_LIMIT]:
                del self.disks[member]
        return SetMeta(stored_state.DISKS, dict(self.disks))

    def _promise(self, proposal_number: ProposalNumber) -> list[Write]:
        if proposal_number <= self.promised:
            return []
        self.promised = proposal_number
        return [SetMeta(stored_state.PROMISED, proposal_number)]

    def _accepted_write(self) -> Write:
        delta = [item.packed() for item in self.delta.values()]
        return SetMeta(stored_state.ACCEPTED, [self.accepted, delta])

    def _nack(self, message: AcceptorRequest) -> Response:
        return Response([], Nack(message.proposal_number, self.promised), [])

    def _stale_epoch(self, message: AcceptorRequest) -> Response:
        missing = self.rows_since(message.committed_number)
        return Response([], StaleEpoch(message.proposal_number, self.learner.committed_number, missing), [])

    def rows_since(self, committed_number: ProposalNumber) -> list[Row] | None:
        """Returns the rows that changed after that number; None if they are too many or not all known."""
        if NO_PROPOSAL < committed_number < self.learner.horizon:
            return None  # tombstones of items that were dropped since may be collected
        if self.learner.committed_number <= committed_number:
            return []
        changed = self.learner.changed_since(committed_number)
        return [pack_row(*row) for row in changed] if len(changed) <= MISSING_ROWS_LIMIT else None

    # The committed set.

    def learn(
        self, committed_number: ProposalNumber, rows: Iterable[CommittedItem], complete_set: bool = False
    ) -> LearnResult:
        """Updates the committed set with rows that include at least everything that it lacks.

        With `complete_set`, the rows replace the set. An acceptance that is not newer is dropped, and an
        enrolment may be finished.
        """
        if committed_number <= self.learner.committed_number:
            return LearnResult([], [])
        rows = list(rows)
        update = self.learner.replace if complete_set else self.learner.apply
        new_items = update(committed_number, rows)
        writes: list[Write] = [
            PutRows([pack_row(*row) for row in rows if row.item.key in self.learner.items]),
            SetMeta(stored_state.COMMITTED, committed_number),
        ]
        if self.learner.collected:
            writes.append(DeleteRows(list(self.learner.collected)))
        writes += self._promise(committed_number)
        if self.accepted <= committed_number:
            self.accepted, self.delta = committed_number, {}
            writes.append(self._accepted_write())
        for item in new_items:
            if item.key == MEMBERS_KEY:
                packed = item.content.get("disks", {})
                disks = {member: unpack_proposal_number(disk) for member, disk in packed.items()}
                writes.append(self._record_disks(disks))
        return LearnResult([*writes, *self._finish_enrolment()], new_items)

    def commit(self, proposal_number: ProposalNumber) -> LearnResult | None:
        """Learns that the proposal with that number, if it is the last accepted here, is committed.

        Returns None if another proposal was accepted last, or if this one is known to be committed.
        """
        if self.accepted != proposal_number or proposal_number <= self.learner.committed_number:
            return None
        rows = [CommittedItem(item, proposal_number) for item in self.delta.values()]
        return self.learn(proposal_number, rows)

    # Enrolment of a disk that came back empty.

    def receive_enrolled(self, sender: str, message: Enrolled) -> LearnResult | None:
        """Handles a reply to `Enroll`; returns None until enough replies have come.

        Then the promise and acceptance that the lost disk may have given are restored. The acceptor votes
        once its committed set is as new as the newest one of the replies.
        """
        if self.members_confirmed or self.enrolment_target is not None or message.disk < self.disk:
            return None
        if message.disk > self.disk:  # recorded for an earlier disk of this machine, which must be exceeded
            self.disk, self.enrolment_replies = (message.disk[0] + 1, self.disk[1]), {}
            return LearnResult([SetMeta(stored_state.DISK, self.disk)], [])
        self.enrolment_replies[sender] = message
        replies = {member: each for member, each in self.enrolment_replies.items() if member != self.me}
        sets = self.enrolment_member_sets()
        for members in sets:
            if sum(member in replies for member in members.names) < self.required_replies(members):
                return None
        writes = self._restore_lost_votes(list(replies.values()))
        if sets[0].epoch == 0:
            self.seeds = sets[0]
        newest = max(replies.values(), key=lambda reply: reply.committed_number)
        self.enrolment_target, new_items = newest.committed_number, []
        if newest.rows is not None:
            learned = self.learn(newest.committed_number, map(unpack_row, newest.rows))
            writes, new_items = writes + learned.writes, learned.new_items
        return LearnResult([*writes, *self._finish_enrolment()], new_items)

    def _restore_lost_votes(self, replies: list[Enrolled]) -> list[Write]:
        """Takes over the highest promise and acceptance of the replies, at least those of the lost disk."""
        writes = self._promise(max(reply.promised for reply in replies))
        last = max(replies, key=lambda reply: reply.accepted)
        if last.accepted > max(self.learner.committed_number, self.accepted):
            self.accepted = last.accepted
            self.delta = {item.key: item for item in last.delta}
            writes.append(self._accepted_write())
        for reply in replies:
            writes.append(self._record_disks(reply.disks))
        return writes

    def _finish_enrolment(self) -> list[Write]:
        if self.enrolment_target is None or self.learner.committed_number < self.enrolment_target:
            return []
        self.enrolment_target, self.voting, self.members_confirmed = None, True, True
        self.enrolment_replies = {}
        return self.initial_writes()

    def required_replies(self, members: MemberSet) -> int:
        """Returns how many other members must record this disk to intersect each majority of the lost one."""
        return enrolment_quorum(members, self.me)

    def reset_identity(self, nonce: str) -> list[Write]:
        """Starts an enrolment, like that of an empty disk, because this disk is an older copy of itself.

        The committed set is kept. `nonce` is the random part of the new identity.
        """
        self.disk = (self.disk[0] + 1, nonce)
        self.enrolment_replies, self.enrolment_target = {}, None
        self.voting = self.members_confirmed = False
        return self.initial_writes()

    def enrolment_member_sets(self) -> list[MemberSet]:
        """Returns the newest member set among the replies, and the sets that may be replacing it."""
        replies = self.enrolment_replies.values()
        reported = [MemberSet(reply.epoch, reply.members) for reply in replies]
        # In the same epoch a reported set has precedence: the local one may be outdated configured seeds.
        newest = max([*reported, self.members], key=lambda members: members.epoch)
        proposed = [
            member_set_of(item) for reply in replies for item in reply.delta if item.key == MEMBERS_KEY
        ]
        return [newest, *(members for members in proposed if members.epoch > newest.epoch)]
