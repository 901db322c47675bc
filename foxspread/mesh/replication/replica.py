"""A replica: the acceptor and the proposer of one machine.

A reply of the acceptor is sent once its writes are on disk. Requests and outcomes of the proposer do not wait
for its writes, which are only started before them.

The replica also enrols a disk that came back empty, and commits values that were accepted here but whose
proposer has not committed them. It does no I/O: `write` passes writes to a storage, which calls back once
these and all earlier ones are on disk.
"""

from collections.abc import Callable, Iterable
from typing import ClassVar

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.errors import Failure, OutcomeUnknown
from foxspread.mesh.log import log_event
from foxspread.mesh.replication.acceptor import Acceptor, LearnResult, Response
from foxspread.mesh.replication.learner import NO_PROPOSAL, ProposalNumber, Row, unpack_row
from foxspread.mesh.replication.messages import (
    Accept,
    Accepted,
    Behind,
    Enroll,
    Enrolled,
    Fields,
    Message,
    Nack,
    Prepare,
    Promise,
    ProposerReply,
    StaleEpoch,
    decode,
)
from foxspread.mesh.replication.proposer import Outcome, Proposer, ProposerOutput
from foxspread.mesh.replication.stored_state import Write

CALL_TIMEOUT_S = 0.85  # callers retry at another machine after a second
COMMIT_TAKEOVER_S = 0.35  # time after which another replica commits an accepted value of a proposer
TAKEOVER_STAGGER = 0.4  # added for each member that is earlier in the order, times `COMMIT_TAKEOVER_S`
TAKEOVER_JITTER_S = 0.1
ENROLMENT_RETRY_S = 0.25  # time between the enrolment requests of a replica whose disk came back empty

OnOutcome = Callable[[Outcome], None]


def _do_nothing() -> None:
    pass


class Replica:
    """The replica on one machine with storage."""

    proposer_class = Proposer

    def __init__(
        self,
        clock: Callable[[], float],
        incarnation: str,
        draw: Callable[[], float],
        write: Callable[[list[Write], Callable[[], None]], None],
        send: Callable[[str, Fields], object],
        call_soon: Callable[..., object],
        on_committed: Callable[[list[Item]], None],
    ) -> None:
        """Creates a replica that waits for its storage; `start` follows once that is open.

        `call_soon` defers a call until the current one has returned; it delivers messages of the machine to
        itself. `on_committed` is called with committed items that are new here.
        """
        self.clock, self.incarnation, self.draw, self.write = clock, incarnation, draw, write
        self.send, self.call_soon, self.on_committed = send, call_soon, on_committed
        self.acceptor: Acceptor | None = None  # None: the storage is not open yet
        self.proposer: Proposer | None = None
        self.pending_calls: dict[int, OnOutcome] = {}
        self.call_count = 0
        # Number of the accepted, uncommitted proposal, and when to commit it.
        self.takeover: tuple[ProposalNumber, float] | None = None
        self.fresh = False  # whether a read since the start has completed
        self.read_pending = False
        self.next_enrolment_at = 0.0
        self.caught_up = False  # whether the enrolment, if one was needed, was logged as finished
        self.durable_promise: ProposalNumber = NO_PROPOSAL  # highest promise on disk
        self.reachable_replicas: Callable[[], Iterable[str]] = tuple

    def start(self, acceptor: Acceptor) -> None:
        """Starts the replica with the acceptor that was restored from its storage."""
        self.acceptor = acceptor
        self.proposer = self.proposer_class(acceptor, self.incarnation, self.draw)
        self.caught_up, self.durable_promise = acceptor.members_confirmed, acceptor.promised
        self.write(acceptor.initial_writes(), _do_nothing)
        self.on_committed(list(acceptor.learner.items.values()))

    def call(self, items: list[Item], on_outcome: OnOutcome, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Commits the items; calls `on_outcome` with True or a failure within `timeout_s`.

        A call without items is a read: its outcome is True once this committed set has everything that was
        committed before the call.
        """
        if self.acceptor is None or not self.acceptor.can_serve:
            return on_outcome(OutcomeUnknown("the state is not known here yet"))
        self.call_count += 1
        self.pending_calls[self.call_count] = on_outcome
        now = self.clock()
        self._execute(self.proposer.submit(now, self.call_count, items, now + timeout_s))

    def receive(self, sender: str, fields: Fields) -> None:
        """Handles an encoded message from the replica whose name among the members is `sender`.

        Messages of unknown kind are ignored. Raises `MalformedMessageError`.
        """
        if self.acceptor is not None and (message := decode(fields)) is not None:
            self.deliver(sender, message)

    def deliver(self, sender: str, message: Message) -> None:
        """Handles a message from another replica or from this one itself."""
        handler = self._HANDLERS.get(type(message))
        if handler is not None:
            handler(self, sender, message)

    # Messages, by their type.

    def _on_prepare(self, sender: str, message: Prepare) -> None:
        self._respond(sender, self.acceptor.prepare(message))

    def _on_accept(self, sender: str, message: Accept) -> None:
        self._respond(sender, self.acceptor.accept(message))

    def _on_enroll(self, sender: str, message: Enroll) -> None:
        self._respond(sender, self.acceptor.enroll(sender, message))

    def _on_enrolled(self, sender: str, message: Enrolled) -> None:
        if (learned := self.acceptor.receive_enrolled(sender, message)) is not None:
            self._apply_learned(learned)
            if not self.acceptor.members_confirmed:
                # Either the identity has changed and is sent at once, or a snapshot brings the missing rows.
                self.next_enrolment_at = 0.0

    def _on_reply(self, sender: str, message: ProposerReply) -> None:
        self._execute(self.proposer.receive(self.clock(), sender, message))

    _HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        Prepare: _on_prepare,
        Accept: _on_accept,
        Enroll: _on_enroll,
        Enrolled: _on_enrolled,
        **dict.fromkeys((Promise, Accepted, Nack, StaleEpoch, Behind), _on_reply),
    }

    # Other inputs.

    def learn(self, committed_number: ProposalNumber, rows: list[Row], complete_set: bool = False) -> None:
        """Adds rows of a snapshot to the committed set or, with `complete_set`, replaces the set by them."""
        if self.acceptor is not None:
            self._apply_learned(self.acceptor.learn(committed_number, map(unpack_row, rows), complete_set))

    def on_rolled_back(self, nonce: str) -> None:
        """Enrols this machine's disk again, since another replica knows a newer state of it.

        `nonce` is the random part of the new identity.
        """
        if self.acceptor is not None and self.acceptor.members_confirmed:
            log_event("disk_older", disk=self.acceptor.disk, boots=self.acceptor.start_count)
            self.write(self.acceptor.reset_identity(nonce), _do_nothing)
            self.caught_up, self.fresh, self.next_enrolment_at = False, False, 0.0

    def on_peer_committed(self, proposal_number: ProposalNumber) -> None:
        """Commits the proposal that a peer has committed, if it is the one that was accepted here last."""
        if self.acceptor is None or not self.acceptor.voting:
            return
        if (learned := self.acceptor.commit(proposal_number)) is not None:
            self.write(learned.writes, _do_nothing)
            self.on_committed(learned.new_items)

    def on_connected(self, member: str) -> None:
        """Sends a newly connected member the messages that it may have missed."""
        if self.acceptor is not None and self.acceptor.members_confirmed:
            self._execute(self.proposer.on_connected(member))
        else:
            self.next_enrolment_at = 0.0
        self.tick()

    def tick(self) -> None:
        """Does what is due by now."""
        if self.acceptor is None:
            return
        now = self.clock()
        self._execute(self.proposer.tick(now))
        if not self.acceptor.members_confirmed:
            return self._request_enrolment(now)
        if not self.fresh and not self.read_pending:
            self.read_pending = True
            self.call([], self._on_read)
        self._commit_abandoned_proposal(now)

    def _request_enrolment(self, now: float) -> None:
        if now < self.next_enrolment_at:
            return
        self.next_enrolment_at = now + ENROLMENT_RETRY_S
        acceptor = self.acceptor
        members = {member for each in acceptor.enrolment_member_sets() for member in each.names}
        recipients = {*members, *acceptor.seeds.names, *self.reachable_replicas()} - {acceptor.me}
        message = Enroll(acceptor.disk)
        for member in sorted(recipients):
            self.send(member, message.packed())

    def _commit_abandoned_proposal(self, now: float) -> None:
        """Commits the proposal accepted here if its proposer has not done so in time.

        The members wait for different times, so that usually only one of them proposes.
        """
        acceptor = self.acceptor
        if not acceptor.has_uncommitted:
            self.takeover = None
        elif self.takeover is None or self.takeover[0] != acceptor.accepted:
            members = acceptor.members.names
            position = members.index(acceptor.me) if acceptor.me in members else len(members)
            wait_s = COMMIT_TAKEOVER_S * (1 + TAKEOVER_STAGGER * position) + TAKEOVER_JITTER_S * self.draw()
            self.takeover = acceptor.accepted, now + wait_s
        elif now >= self.takeover[1]:
            self.takeover = None
            self._execute(self.proposer.request_attempt(now))

    def _on_read(self, outcome: bool | Failure) -> None:
        self.read_pending = False
        if outcome is True and not self.fresh:
            self.fresh = True
            learner = self.acceptor.learner
            log_event("state_known", upto=learner.committed_number[0], items=len(learner.items))
            self.on_committed([])

    def _apply_learned(self, learned: LearnResult) -> None:
        self.write(learned.writes, _do_nothing)
        acceptor = self.acceptor
        if acceptor.members_confirmed and not self.caught_up:
            self.caught_up = True
            log_event(
                "caught_up", members=len(acceptor.members.names), upto=acceptor.learner.committed_number[0]
            )
        self.on_committed(learned.new_items)

    def _respond(self, sender: str, response: Response) -> None:
        """Sends the reply once the writes are on disk; new committed items are reported at once."""
        promised = self.acceptor.promised

        def on_written() -> None:
            self.durable_promise = max(self.durable_promise, promised)
            if response.reply is not None:
                self._send(sender, response.reply)

        self.write(response.writes, on_written)
        if response.new_items:
            self.on_committed(response.new_items)

    def _send(self, to: str, message: Message) -> None:
        if to == self.acceptor.me:
            self.call_soon(self.deliver, to, message)
        else:
            self.send(to, message.packed())

    def _execute(self, out: ProposerOutput) -> None:
        if out.writes:
            self.write(out.writes, _do_nothing)
        for to, message in out.sends:
            self._send(to, message)
        for token, outcome in out.completed:
            self.pending_calls.pop(token)(outcome)
        if out.new_items or out.completed:
            self.on_committed(out.new_items)
