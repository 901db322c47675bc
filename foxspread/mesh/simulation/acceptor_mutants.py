"""Acceptors with one deliberate defect each; `mutants` has their names."""

from dataclasses import replace

from foxspread.mesh.replication.acceptor import Acceptor, LearnResult, Response
from foxspread.mesh.replication.learner import NO_PROPOSAL, CommittedItem, ProposalNumber, Row
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import Accept, Enrolled, Prepare
from foxspread.mesh.replication.stored_state import ACCEPTED, RecoveredState, SetMeta, Write


class VotesWhenEmpty(Acceptor):
    """A wiped machine votes at once, before it has enrolled."""

    def __init__(self, me: str, saved: RecoveredState) -> None:
        super().__init__(me, saved)
        self.voting = self.members_confirmed = True


class EnrolsWithOneReply(Acceptor):
    """A wiped machine votes again after one reply of another machine."""

    def required_replies(self, members: MemberSet) -> int:
        """Returns 1 for every member set."""
        return 1


class EnrolsWithFirstReply(Acceptor):
    """An enrolling machine takes over the state of the first reply instead of the newest."""

    def receive_enrolled(self, sender: str, message: Enrolled) -> LearnResult | None:
        """Replaces this reply by the first one."""
        if self.enrolment_replies:
            first = next(iter(self.enrolment_replies.values()))
            message = replace(
                message,
                committed_number=first.committed_number,
                rows=first.rows,
                accepted=first.accepted,
                delta=first.delta,
            )
        return super().receive_enrolled(sender, message)


class PromiseForgotten(Acceptor):
    """A promise is never stored."""

    def _promise(self, proposal_number: ProposalNumber) -> list[Write]:
        super()._promise(proposal_number)
        return []


class AcceptForgotten(Acceptor):
    """The number of an accepted proposal is not stored."""

    def accept(self, message: Accept) -> Response:
        """Drops the write of the accepted number."""
        writes, reply, new_items = super().accept(message)
        lost = [each for each in writes if isinstance(each, SetMeta) and each.name == ACCEPTED]
        return Response([each for each in writes if each not in lost], reply, new_items)


class PromisesAnyNumber(Acceptor):
    """Promises any proposal number, also a lower one than it has promised before."""

    def prepare(self, message: Prepare) -> Response:
        """Lowers its promise first."""
        self.promised = min(self.promised, message.proposal_number)
        return super().prepare(message)


class AcceptsAnyNumber(Acceptor):
    """Accepts any proposal number, also a lower one than it has promised."""

    def accept(self, message: Accept) -> Response:
        """Lowers its promise first."""
        self.promised = min(self.promised, message.proposal_number)
        return super().accept(message)


class CommitsAnyAccepted(Acceptor):
    """The commit of any proposal commits the last accepted delta."""

    def commit(self, proposal_number: ProposalNumber) -> LearnResult | None:
        """Commits the accepted delta under the given number."""
        if proposal_number <= self.learner.committed_number or not self.delta:
            return None
        rows = [CommittedItem(item, proposal_number) for item in self.delta.values()]
        return self.learn(proposal_number, rows)


class HidesAccepted(Acceptor):
    """Committed items that an accept request carries are not shown."""

    def accept(self, message: Accept) -> Response:
        """Leaves the new items out of the response."""
        return super().accept(message)._replace(new_items=[])


class IgnoresStorageIdentity(Acceptor):
    """Accept requests are accepted even if a promise came from storage that has been lost."""

    def accept(self, message: Accept) -> Response:
        """Removes the storage identities from the request."""
        return super().accept(replace(message, disks={}))


class ForgetsPromisesOnWipe(Acceptor):
    """A machine enrols without the promises of its peers."""

    def receive_enrolled(self, sender: str, message: Enrolled) -> LearnResult | None:
        """Removes the promise from the reply."""
        return super().receive_enrolled(sender, replace(message, promised=NO_PROPOSAL))


class EnrolsInChunks(Acceptor):
    """Not a mutant: the rows that an enrolling machine lacks do not fit the reply, and follow in chunks."""

    def rows_since(self, committed_number: ProposalNumber) -> list[Row] | None:
        """Returns None for an empty replica, which then has to pull chunks."""
        has_rows = self.learner.committed_number > NO_PROPOSAL
        return None if committed_number == NO_PROPOSAL and has_rows else super().rows_since(committed_number)


class VotesWhileIncomplete(EnrolsInChunks):
    """A machine votes and answers as soon as it has enrolled, even if rows are missing."""

    def receive_enrolled(self, sender: str, message: Enrolled) -> LearnResult | None:
        """Enrols, and votes without waiting for the missing rows."""
        learned = super().receive_enrolled(sender, message)
        if self.enrolment_target is not None:
            self.enrolment_target, self.voting, self.members_confirmed = None, True, True
        return learned
