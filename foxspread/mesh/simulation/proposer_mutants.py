"""Proposers with one deliberate defect each; `mutants` has their names."""

from collections.abc import Iterable
from dataclasses import replace

from foxspread.mesh.configuration.idempotency import apply_change
from foxspread.mesh.configuration.items import LEASE, MEMBERS, REFUSED, Item, Key
from foxspread.mesh.errors import Failure
from foxspread.mesh.replication.learner import NO_PROPOSAL
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import Accepted, Promise, ProposerReply
from foxspread.mesh.replication.proposer import CompletedCall, PendingCall, Proposer, ProposerOutput


class ActsBeforeChosen(Proposer):
    """Shows proposed items before a majority has accepted them."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        if self.proposed_delta:
            out.new_items += self.proposed_delta.values()


class HighestVersion(Proposer):
    """Merges accepted deltas by the highest item version instead of the proposal number."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        best: dict[Key, Item] = {}
        for promise in self.promises.values():
            for item in promise.delta:
                if item.key not in best or best[item.key].version < item.version:
                    best[item.key] = item
        last = max(promise.accepted for promise in self.promises.values())
        for name, promise in self.promises.items():
            self.promises[name] = replace(promise, accepted=last, delta=tuple(best.values()))
        super()._propose(now, out)


class OlderDelta(Proposer):
    """Continues the older of two accepted proposals."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        promises = self.promises
        committed_number = max(promise.committed_number for promise in promises.values())
        in_doubt = [promise for promise in promises.values() if promise.accepted > committed_number]
        if in_doubt:
            first = min(in_doubt, key=lambda promise: promise.accepted)
            for name, promise in promises.items():
                promises[name] = replace(promise, accepted=first.accepted, delta=first.delta)
        super()._propose(now, out)


class DropsUncommitted(Proposer):
    """Does not continue accepted proposals, which may be chosen already."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        for name, promise in self.promises.items():
            self.promises[name] = replace(promise, accepted=NO_PROPOSAL, delta=())
        super()._propose(now, out)


class RefusesBeforeCommit(Proposer):
    """Answers with a refusal before the items that justify it are committed."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        for call in [each for each in self.running if isinstance(each.outcome, Failure)]:
            self.running.remove(call)
            out.completed.append(CompletedCall(call.token, call.outcome))


class AcknowledgesAfterOneReply(Proposer):
    """Commits a proposal after one acceptance."""

    def receive(self, now: float, sender: str, message: ProposerReply) -> ProposerOutput:
        """Commits at the first acceptance."""
        if (
            isinstance(message, Accepted)
            and self.proposed_delta is not None
            and message.proposal_number == self.proposal_number
        ):
            out = ProposerOutput()
            self._commit(now, out)
            return out
        return super().receive(now, sender, message)


class ReadsLocally(Proposer):
    """Answers reads from the local replica, without a majority."""

    def submit(self, now: float, token: object, items: Iterable[Item], deadline: float) -> ProposerOutput:
        """Completes a read at once."""
        items = list(items)
        if not items:
            return ProposerOutput(completed=[CompletedCall(token, True)])
        return super().submit(now, token, items, deadline)


class IgnoresLostStorage(Proposer):
    """Ignores storage that other acceptors know to be lost."""

    def receive(self, now: float, sender: str, message: ProposerReply) -> ProposerOutput:
        """Keeps only the sender's own storage identity of a reply."""
        if isinstance(message, Promise | Accepted):
            message = replace(message, disks={sender: message.disks[sender]})
        return super().receive(now, sender, message)


class ForgetsSuperseded(Proposer):
    """Forgets the content of a version once a newer version is in force."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        return super()._evaluate(
            {key: item.without_history for key, item in proposed.items()}, delta, call, now
        )


class ForgetsRefusal(Proposer):
    """Refuses a call without recording the refusal."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        changes, outcome = super()._evaluate(proposed, delta, call, now)
        return ({} if isinstance(outcome, Failure) else changes), outcome


class IgnoresAgreedRefusal(Proposer):
    """Evaluates a refused call again by the items that are in force now."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        known = {key: item for key, item in proposed.items() if key[0] != REFUSED}
        return super()._evaluate(known, delta, call, now)


class CountsNewSetOnly(Proposer):
    """Counts majorities of the new member set alone, in the proposer and in acceptors."""

    def _send_prepare(self, sets: list[MemberSet], out: ProposerOutput) -> None:
        super()._send_prepare(sets, out)
        del sets[:-1]

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        self.member_sets = self.member_sets[-1:]


class OverlapsMemberChanges(Proposer):
    """Accepts a membership change before the previous one is committed, and of more than one machine."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        return apply_change(proposed, call.items, call.digest, 0.0)


class IgnoresLeaseVersion(Proposer):
    """Grants a lease whatever version the call names."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        lease = proposed.get((LEASE, MEMBERS))
        version = lease.version + 1 if lease is not None else 1
        items = [replace(each, version=version) if each.kind == LEASE else each for each in call.items]
        return super()._evaluate(proposed, delta, replace(call, items=items), now)
