"""Keeps the replica on this machine in contact with a quorum, and in the membership.

`ReplicaContact` sends contact requests to the other replicas in rounds, answers theirs, detects from their
replies that the own disk was rolled back, and has the membership changed when a member is gone. It does no
I/O: messages to send are returned.
"""

from collections.abc import Callable
from typing import Protocol

from foxspread.mesh.replication.cluster_view import ClusterView
from foxspread.mesh.replication.messages import (
    ContactReply,
    ContactRequest,
    DiskState,
    MalformedMessageError,
    Report,
    decode,
)
from foxspread.mesh.replication.quorum_contact import DiskHistory, QuorumContact
from foxspread.mesh.replication.reconfiguration import Reconfiguration
from foxspread.mesh.replication.replica import Replica
from foxspread.mesh.transport.messages import Fields, kind_of


class ContactSettings(Protocol):
    """Settings that contact and membership need."""

    zone: str
    tolerate: int  # number of machines that may be lost at once
    tolerate_zones: int  # number of zones that may be lost at once


class ReplicaContact:
    """Wrapper of the replica on this machine, used by `StateSync` as its `LocalReplica`.

    `settings` returns the settings in force, `is_leaving` whether the process is shutting down, and
    `new_identity` a random identity for a disk that was rolled back.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        settings: Callable[[], ContactSettings],
        is_leaving: Callable[[], bool],
        replica: Replica,
        quorum_contact: QuorumContact,
        reconfiguration: Reconfiguration,
        new_identity: Callable[[], str],
    ) -> None:
        self.clock, self.settings, self.is_leaving = clock, settings, is_leaving
        self.replica, self.quorum_contact, self.reconfiguration = replica, quorum_contact, reconfiguration
        self.new_identity = new_identity
        self.disk_history = DiskHistory()
        self.announced_contact = False  # contact as of the last notification to peers

    @staticmethod
    def is_reply(fields: Fields) -> bool:
        """Returns whether a message is a reply to a contact request, by which contact may have begun."""
        return kind_of(fields) == ContactReply.kind

    # Methods of `LocalReplica`.

    @property
    def recovered(self) -> bool:
        """Whether the disk has been read."""
        return self.replica.acceptor is not None

    @property
    def fresh(self) -> bool:
        """Whether the replica has learnt everything that was committed before its start."""
        return self.replica.fresh

    def in_contact(self) -> bool:
        """Returns whether this replica holds everything acknowledged up to `STALENESS_LIMIT_S` ago."""
        acceptor = self.replica.acceptor
        if acceptor is None or not acceptor.members_confirmed:
            return False  # the disk is empty: the members are known from the seeds only
        self.quorum_contact.update(self.replica.acceptor.members, acceptor.learner.committed_number)
        return self.quorum_contact.is_current(self.clock())

    def staleness_s(self) -> float | None:
        """Returns for how many seconds the replica may have missed commits; None if that is not known."""
        return self.quorum_contact.staleness_s(self.clock())

    def learn(self, committed_number: tuple[int, str], rows: list, complete_set: bool) -> None:
        """Stores rows of the committed set that a peer has sent."""
        self.replica.learn(committed_number, rows, complete_set)

    def on_peer_committed(self, committed_number: tuple[int, str]) -> None:
        """Handles the report that a peer has committed this proposal."""
        self.replica.on_peer_committed(committed_number)

    # Rounds.

    def replica_connected(self, now: float, member: str) -> None:
        """Starts a new round at the next tick, and has the replica resend unanswered messages."""
        self.quorum_contact.next_request_at = now
        self.replica.on_connected(member)

    def request(self, now: float) -> ContactRequest | None:
        """Returns the request to send to all connected replicas; None if no round is due."""
        replica, acceptor = self.replica, self.replica.acceptor
        disk = DiskState(replica.incarnation, acceptor.disk, acceptor.start_count, replica.durable_promise)
        return self.quorum_contact.request(now, self.report(), disk)

    def handle(self, sender: str, fields: Fields) -> ContactReply | None:
        """Handles a message from the member `sender`; returns the reply, if there is one."""
        kind = kind_of(fields)
        if kind == ContactRequest.kind:
            return self._answer(sender, decode(fields)) if self.recovered else None
        if kind == ContactReply.kind:
            self._on_reply(sender, decode(fields))
        else:
            self.replica.receive(sender, fields)
        return None

    def _answer(self, sender: str, request: ContactRequest) -> ContactReply:
        if request.disk is None:
            raise MalformedMessageError(f"{request.kind}: field 'disk' is missing")
        rolled_back = self.disk_history.is_rolled_back(sender, request.disk)
        return QuorumContact.reply(request, self.report(), rolled_back)

    def _on_reply(self, sender: str, reply: ContactReply) -> None:
        if reply.rolled_back_incarnation == self.replica.incarnation:
            self.replica.on_rolled_back(self.new_identity())
        self.quorum_contact.receive(self.clock(), sender, reply)

    def next_contact_change(self) -> bool | None:
        """Returns whether there is contact with a quorum, or None if unchanged since the last call."""
        in_contact = self.in_contact()
        if in_contact == self.announced_contact:
            return None
        self.announced_contact = in_contact
        return in_contact

    def report(self) -> Report:
        """Returns this replica's report of its own state."""
        acceptor = self.replica.acceptor
        committed_number = acceptor.learner.committed_number
        return Report(
            acceptor.me,
            acceptor.can_serve,
            acceptor.members.epoch,
            committed_number,
            max(acceptor.accepted, committed_number),
            self.settings().zone,
            self.is_leaving(),
            self.quorum_contact.live_replicas(self.clock()),
            acceptor.disk,
        )

    # Membership.

    def cluster_view(self) -> ClusterView:
        """Returns what this replica knows of the members now."""
        self.in_contact()  # updates the contact with what has been committed here since
        return ClusterView.create(
            self.clock(),
            self.report(),
            self.replica.acceptor.members,
            self.replica.acceptor.learner,
            self.quorum_contact.reports,
            self.quorum_contact.staleness_s(self.clock()),
            self.settings().tolerate,
            self.settings().tolerate_zones,
        )

    def reconfigure(self) -> None:
        """Proposes a change of the membership if one is due."""
        self.reconfiguration.run_step(self.clock, self.cluster_view(), self.replica.call)

    def may_leave_membership(self, now: float) -> bool:
        """Returns whether this process may exit: the members do not need it, or it holds no state yet."""
        return not self.recovered or self.reconfiguration.may_leave(now, self.cluster_view())
