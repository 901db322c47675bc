"""The proposer of the register, which commits calls to change items. It does no I/O.

An attempt has the two phases of Paxos. The proposer asks a majority to promise its number, adopts the newest
value that they have accepted, merges each pending call into it item by item, checks the result as a whole,
and asks a majority to accept it. Any machine with storage may propose at any time; a proposer whose number is
rejected waits a random backoff and retries with a higher one.

A majority is one of the newest committed member set. If a change of the members is proposed, or may have been
accepted, a majority of the new set is needed as well.

An outcome is final: a call is acknowledged, or rejected for good, only once the value against which it was
evaluated is committed. If there is no majority, or the proposer fails, the outcome is unknown.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, ClassVar, NamedTuple

from foxspread.mesh.configuration.idempotency import ChangeResult, apply_change, digest_of_change
from foxspread.mesh.configuration.items import Item, Key
from foxspread.mesh.configuration.retention import tombstone_collection
from foxspread.mesh.errors import Conflict, Failure, OutcomeUnknown
from foxspread.mesh.replication.acceptor import MEMBERS_KEY, Acceptor, current_replies
from foxspread.mesh.replication.learner import CommittedItem, ProposalNumber, Row, unpack_row
from foxspread.mesh.replication.membership import MemberSet, differs_by_one, is_quorum, member_set_of
from foxspread.mesh.replication.messages import (
    Accept,
    Accepted,
    AcceptorRequest,
    Behind,
    Nack,
    Prepare,
    Promise,
    ProposerReply,
    StaleEpoch,
)
from foxspread.mesh.replication.stored_state import Write

PHASE_TIMEOUT_S = 0.45  # time for a majority to reply to one message: two syncs of a slow disk
BACKOFF_INITIAL_S = 0.012  # upper limit of the random backoff, doubled with each failed attempt
BACKOFF_LIMIT_S = 0.2
BACKOFF_DOUBLINGS_LIMIT = 6
AGREED_CLOCK_RATE = 0.98  # relative to a steady clock, so that the agreed clock is no faster than the slowest

Outcome = bool | Failure  # True: the call is committed, or a read is up to date


@dataclass(slots=True)
class PendingCall:
    """A call that has no outcome yet."""

    token: Any  # by which the caller recognises the call
    items: list[Item]
    deadline: float
    digest: str = ""  # digest of the items, by which a retry is recognised
    outcome: Outcome | None = None


class Outgoing(NamedTuple):
    """A message and its recipient."""

    to: str
    message: AcceptorRequest


class CompletedCall(NamedTuple):
    """The token and the outcome of a call."""

    token: Any
    outcome: Outcome


@dataclass(slots=True)
class ProposerOutput:
    """Actions for the caller, in this order: start the writes (no action waits for them), send, complete."""

    writes: list[Write] = field(default_factory=list)
    sends: list[Outgoing] = field(default_factory=list)
    completed: list[CompletedCall] = field(default_factory=list)
    new_items: list[Item] = field(default_factory=list)  # committed items that are new here


class Proposer:
    """The proposer of one machine, which learns into the committed set of its acceptor."""

    def __init__(self, acceptor: Acceptor, incarnation: str, draw: Callable[[], float]) -> None:
        """`draw` returns a random number from 0 up to 1."""
        self.acceptor, self.incarnation, self.draw = acceptor, incarnation, draw
        self.highest_counter = 0  # highest counter of a proposal number that this proposer knows of
        self.waiting: list[PendingCall] = []  # calls for the next attempt
        self.running: list[PendingCall] = []  # calls in the current attempt
        self.proposal_number: ProposalNumber | None = None  # number of the current attempt; None: no attempt
        self.recipients: set[str] = set()  # recipients of this attempt's messages
        self.member_sets: list[MemberSet] = []  # sets of which a majority each must accept the value
        self.promises: dict[str, Promise] = {}
        self.acceptances: dict[str, Accepted] = {}
        self.proposed_delta: dict[Key, Item] | None = None  # None: the attempt is in its first phase
        self.phase_deadline = self.next_attempt_at = 0.0
        self.failed_attempts = 0
        self.attempt_requested = False  # an attempt is wanted even without a call
        self.clock_seen = (0.0, 0.0)  # newest time of the agreed clock, and when it was first seen here

    # Inputs.

    def submit(self, now: float, token: Any, items: Iterable[Item], deadline: float) -> ProposerOutput:
        """Starts a call, whose outcome is unknown if it is not complete by `deadline`.

        A call without items is a read: it is complete once this committed set has everything that was
        committed before the call.
        """
        items = list(items)
        self.waiting.append(PendingCall(token, items, deadline, digest_of_change(items) if items else ""))
        return self.tick(now)

    def request_attempt(self, now: float) -> ProposerOutput:
        """Requests an attempt without a call, to commit a value that was accepted here and not committed."""
        self.attempt_requested = True
        return self.tick(now)

    def tick(self, now: float) -> ProposerOutput:
        """Does what is due by now; call it at `wake_at` or at any other time."""
        out = ProposerOutput()
        if (clock := self.acceptor.learner.clock) > self.clock_seen[0]:
            self.clock_seen = clock, now
        self._expire_calls(now, out)
        if self.proposal_number is not None and now >= self.phase_deadline:
            self._start_backoff(now, 0.0)
        if self.proposal_number is None and now >= self.next_attempt_at and self._has_work:
            self._start_attempt(now, out)
        return out

    def on_connected(self, member: str) -> ProposerOutput:
        """Sends a newly connected member the message of the current phase, which it may have missed."""
        out = ProposerOutput()
        if self.proposal_number is not None and member in self.recipients:
            first_phase = self.proposed_delta is None
            out.sends.append(Outgoing(member, self._prepare() if first_phase else self._accept_for(member)))
        return out

    def wake_at(self) -> float | None:
        """Returns when the next `tick` is due; None: not before another input."""
        times = [call.deadline for call in (*self.waiting, *self.running)]
        if self.proposal_number is not None:
            times.append(self.phase_deadline)
        elif self._has_work:
            times.append(self.next_attempt_at)
        return min(times, default=None)

    def receive(self, now: float, sender: str, message: ProposerReply) -> ProposerOutput:
        """Handles a member's reply; replies to earlier attempts are ignored."""
        out = ProposerOutput()
        if sender not in self.recipients:
            return out
        if isinstance(message, Nack):
            self.highest_counter = max(self.highest_counter, message.promised[0])
        if self.proposal_number is not None and message.proposal_number == self.proposal_number:
            self._HANDLERS[type(message)](self, now, sender, message, out)
        return out

    @property
    def _has_work(self) -> bool:
        return bool(self.waiting or self.running or self.attempt_requested)

    # Replies, by their type.

    def _on_nack(self, now: float, sender: str, message: Nack, out: ProposerOutput) -> None:
        self._start_backoff(now, self.draw())

    def _on_stale_epoch(self, now: float, sender: str, message: StaleEpoch, out: ProposerOutput) -> None:
        self._learn(message.committed_number, message.missing_rows, out)
        self._start_backoff(now, self.draw())

    def _on_promise(self, now: float, sender: str, message: Promise, out: ProposerOutput) -> None:
        if self.proposed_delta is None:
            self.promises[sender] = message
            self._count_promises(now, out)

    def _on_behind(self, now: float, sender: str, message: Behind, out: ProposerOutput) -> None:
        if self.proposed_delta is None:
            return
        accept = self._accept(message.committed_number)
        if accept.missing_rows is not None:  # otherwise the acceptor must read a snapshot first
            out.sends.append(Outgoing(sender, accept))

    def _on_accepted(self, now: float, sender: str, message: Accepted, out: ProposerOutput) -> None:
        if self.proposed_delta is None:
            return
        self.acceptances[sender] = message
        if is_quorum(self.member_sets, current_replies(self.acceptances)):
            self._commit(now, out)

    _HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        Nack: _on_nack,
        StaleEpoch: _on_stale_epoch,
        Promise: _on_promise,
        Behind: _on_behind,
        Accepted: _on_accepted,
    }

    # An attempt.

    def _expire_calls(self, now: float, out: ProposerOutput) -> None:
        for calls in (self.waiting, self.running):
            for call in [each for each in calls if now >= each.deadline]:
                calls.remove(call)
                out.completed.append(CompletedCall(call.token, OutcomeUnknown("no majority in time")))

    def _start_attempt(self, now: float, out: ProposerOutput) -> None:
        acceptor = self.acceptor
        highest = max(self.highest_counter, acceptor.promised[0], acceptor.learner.committed_number[0])
        self.highest_counter = highest + 1
        self.proposal_number = self.highest_counter, self.incarnation
        self.proposed_delta, self.promises, self.acceptances = None, {}, {}
        self.phase_deadline, self.attempt_requested = now + PHASE_TIMEOUT_S, False
        self.running += self.waiting
        self.waiting, self.recipients = [], set()
        self._send_prepare([acceptor.members], out)

    def _send_prepare(self, sets: list[MemberSet], out: ProposerOutput) -> None:
        """Sends the proposal to all members of these sets that have not been sent it in this attempt."""
        message = self._prepare()
        for member in (member for members in sets for member in members.names):
            if member not in self.recipients:
                self.recipients.add(member)
                out.sends.append(Outgoing(member, message))

    def _prepare(self) -> Prepare:
        return Prepare(self.proposal_number, self.acceptor.epoch, self.acceptor.learner.committed_number)

    def _learn(
        self, committed_number: ProposalNumber, missing_rows: list[Row] | None, out: ProposerOutput
    ) -> bool:
        """Updates the committed set from a reply; returns False if the reply lacks the rows for that."""
        if committed_number <= self.acceptor.learner.committed_number:
            return True
        if missing_rows is None:
            return False
        learned = self.acceptor.learn(committed_number, map(unpack_row, missing_rows))
        out.writes += learned.writes
        out.new_items += learned.new_items
        return True

    def _count_promises(self, now: float, out: ProposerOutput) -> None:
        """Proposes once a majority of the members, and of each set that may replace them, has promised."""
        acceptor, promises = self.acceptor, current_replies(self.promises)
        newest = max(promises.values(), key=lambda promise: promise.committed_number, default=None)
        if newest is not None and not self._learn(newest.committed_number, newest.missing_rows, out):
            return self._start_backoff(now, 1.0)  # until a snapshot has brought what is missing
        sets = [acceptor.members]
        last = max(promises.values(), key=lambda promise: promise.accepted, default=None)
        if last is not None and last.accepted > acceptor.learner.committed_number:
            changes = [item for item in last.delta if item.key == MEMBERS_KEY]
            sets += [member_set_of(item) for item in changes if item.version > acceptor.epoch]
        self._send_prepare(sets, out)
        if is_quorum(sets, promises):
            self.promises = promises
            self._propose(now, out)

    def _start_backoff(self, now: float, draw: float) -> None:
        """Ends the attempt; the next one starts after `draw` times the backoff."""
        self.proposal_number = None
        self.failed_attempts = min(self.failed_attempts + 1, BACKOFF_DOUBLINGS_LIMIT)
        self.attempt_requested = self.attempt_requested or not self.running
        backoff = min(BACKOFF_LIMIT_S, BACKOFF_INITIAL_S * 2**self.failed_attempts)
        self.next_attempt_at = now + draw * backoff

    def _propose(self, now: float, out: ProposerOutput) -> None:
        acceptor = self.acceptor
        committed, delta = acceptor.learner.items, {}
        last = max(self.promises.values(), key=lambda promise: promise.accepted)
        in_doubt = last.accepted > acceptor.learner.committed_number
        if in_doubt:  # the value may have been committed by another proposer, so this proposal includes it
            delta = {item.key: item for item in last.delta if committed.get(item.key) != item}
        for call in self.running:
            proposed = {**committed, **delta} if delta else committed
            changes, call.outcome = self._evaluate(proposed, delta, call, now)
            delta.update(changes)
        if delta:
            delta.update(tombstone_collection({**committed, **delta}, acceptor.learner.changed_at))
        if not delta and not in_doubt:
            return self._complete_calls(out)
        self.proposed_delta, self.phase_deadline = delta, now + PHASE_TIMEOUT_S
        self.member_sets = [acceptor.members]
        if (change := delta.get(MEMBERS_KEY)) is not None:
            self.member_sets.append(member_set_of(change))
        for member in dict.fromkeys(member for members in self.member_sets for member in members.names):
            self.recipients.add(member)
            out.sends.append(Outgoing(member, self._accept_for(member)))

    def _evaluate(
        self, proposed: dict[Key, Item], delta: dict[Key, Item], call: PendingCall, now: float
    ) -> ChangeResult:
        """Returns what a call adds to the proposed value, and its outcome if that value is committed.

        `proposed` is the committed set with `delta` applied.
        """
        by_key = {item.key: item for item in call.items}
        if (change := by_key.get(MEMBERS_KEY)) is not None:
            if MEMBERS_KEY in delta:
                return ChangeResult({}, OutcomeUnknown("another change of members is not committed yet"))
            if not differs_by_one(self.acceptor.members, member_set_of(change)):
                return ChangeResult({}, Conflict("members change by one machine at a time"))
        clock, seen_at = self.clock_seen
        agreed_time = clock + AGREED_CLOCK_RATE * max(0.0, now - seen_at)
        return apply_change(proposed, call.items, call.digest, agreed_time)

    def _accept_for(self, member: str) -> Accept:
        promise = self.promises.get(member)
        return self._accept(promise.committed_number if promise else self.acceptor.learner.committed_number)

    def _accept(self, missing_since: ProposalNumber) -> Accept:
        """Returns the message for an acceptor whose committed set is complete up to `missing_since`."""
        # More may be committed now than when the value was proposed: the delta may be applied over that too.
        return Accept(
            self.proposal_number,
            self.acceptor.epoch,
            self.acceptor.learner.committed_number,
            tuple(self.proposed_delta.values()),
            {member: promise.disks[member] for member, promise in self.promises.items()},
            missing_since,
            self.acceptor.rows_since(missing_since),
        )

    def _commit(self, now: float, out: ProposerOutput) -> None:
        number = self.proposal_number
        rows = [CommittedItem(item, number) for item in self.proposed_delta.values()]
        learned = self.acceptor.learn(number, rows)
        out.writes += learned.writes
        out.new_items += learned.new_items
        self._complete_calls(out)

    def _complete_calls(self, out: ProposerOutput) -> None:
        out.completed += [CompletedCall(call.token, call.outcome) for call in self.running]
        self.running, self.proposal_number, self.failed_attempts, self.next_attempt_at = [], None, 0, 0.0
