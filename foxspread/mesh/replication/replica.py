"""What a machine with a disk does with its acceptor and its proposer: written, then sent, then told;
enrolment of a disk that came back empty; what is accepted and not settled is taken up. Without I/O: `put`
hands writes to a disk and calls back once they, and all that was put before, are there.
"""

from collections.abc import Callable, Iterable

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.log import log_event
from foxspread.mesh.errors import Failure, outcome_unknown
from foxspread.mesh.replication.learner import NONE, ProposalNumber, unpack_row
from foxspread.mesh.replication.acceptor import Message, Acceptor, Write
from foxspread.mesh.replication.proposer import ProposerOutput, Proposer

ASKED = ("prepare", "accept")  # of an acceptor
TOLD = ("promise", "nack", "behind", "stale", "accepted")  # to a proposer
PATIENCE_S = 0.85  # for a call: the caller goes elsewhere after a second
COMMIT_TAKEOVER_S = 0.35  # after which what is accepted and not settled is taken up by whoever notices
ENROL_S = 0.25  # between askings of one whose disk came back empty

Tell = Callable[[bool | Failure], None]


class Replica:
    proposes_with = Proposer

    def __init__(
        self,
        clock: Callable[[], float],
        incarnation: str,
        draw: Callable[[], float],
        put: Callable[[list[Write], Callable[[], None]], None],
        send: Callable[[str, Message], object],
        soon: Callable[..., object],
        committed: Callable[[list[Item]], None],
    ) -> None:
        """`soon` has a call made once what is under way is done: so a machine hears itself."""
        self.clock, self.incarnation, self.draw, self.put = clock, incarnation, draw, put
        self.send, self.soon, self.committed = send, soon, committed
        self.acceptor: Acceptor | None = None
        self.proposer: Proposer | None = None
        self.calls: dict[int, Tell] = {}
        self.count = 0
        self.uncommitted_since: tuple[ProposalNumber, float] | None = None
        self.fresh = False  # since its start it has seen all that was settled before
        self.reading = False
        self.next_enrol = 0.0
        self.caught_up = False
        self.durable: ProposalNumber = NONE  # promised, and on disk
        self.others: Callable[[], Iterable[str]] = tuple  # machines with a disk that can be reached

    def begin(self, acceptor: Acceptor) -> None:
        self.acceptor, self.proposer = acceptor, self.proposes_with(acceptor, self.incarnation, self.draw)
        self.caught_up, self.durable = acceptor.known, acceptor.promised
        self.put(acceptor.first(), lambda: None)
        self.committed(list(acceptor.learner.items.values()))

    def ask(self, items: list[Item], tell: Tell, patience: float = PATIENCE_S) -> None:
        """Tells True, or a failure, within `patience` seconds; without items a read: True once this copy is
        as new as any."""
        if self.acceptor is None or not self.acceptor.serves:
            return tell(outcome_unknown("the state is not known here yet"))
        self.count += 1
        self.calls[self.count] = tell
        self._do(self.proposer.submit(self.clock(), self.count, items, self.clock() + patience))

    def heard(self, sender: str, message: Message) -> None:
        """From another keeper, or itself; `sender`: who it is among the members."""
        if self.acceptor is None:
            return
        kind = message["t"]
        if kind in ASKED:
            self._answer(sender, *getattr(self.acceptor, kind)(message))
        elif kind == "enrol":
            self._answer(sender, *self.acceptor.enrol(sender, message))
        elif kind == "enrolled":
            if (found := self.acceptor.take_in(sender, message)) is not None:
                self._learnt(*found)
                if not self.acceptor.known:
                    self.next_enrol = 0.0  # by another identity, or what it lacks comes in pieces
        elif kind in TOLD:
            self._do(self.proposer.heard(self.clock(), sender, message))

    def learn(self, committed_number: ProposalNumber, rows: list, whole: bool = False) -> None:
        """News of the settled set, from another copy; `whole`: all of it, in the place of this one."""
        if self.acceptor is not None:
            self._learnt(*self.acceptor.learn(committed_number, map(unpack_row, rows), whole))

    def found_older(self, chance: str) -> None:
        """Others have heard later things of this machine's disk: it enrols anew. `chance`: of its new
        identity."""
        if self.acceptor is not None and self.acceptor.known:
            log_event("disk_older", disk=self.acceptor.disk, boots=self.acceptor.start_count)
            self.put(self.acceptor.forget(chance), lambda: None)
            self.caught_up, self.fresh, self.next_enrol = False, False, 0.0

    def _learnt(self, writes: list[Write], new: list[Item]) -> None:
        self.put(writes, lambda: None)
        if self.acceptor.known and not self.caught_up:
            self.caught_up = True
            log_event(
                "caught_up",
                members=len(self.acceptor.members.of),
                upto=self.acceptor.learner.committed_number[0],
            )
        self.committed(new)

    def peer_committed(self, at: ProposalNumber) -> None:
        """Another has settled that: if it is what was accepted here, nothing need be pulled."""
        if (
            self.acceptor is not None
            and self.acceptor.voting
            and (found := self.acceptor.commit(at)) is not None
        ):
            self.put(found[0], lambda: None)
            self.committed(found[1])

    def reached(self, member: str) -> None:
        """A link to that member has come up."""
        if self.acceptor is not None and self.acceptor.known:
            self._do(self.proposer.reached(member))
        else:
            self.next_enrol = 0.0
        self.tick()

    def tick(self) -> None:
        if self.acceptor is None:
            return
        now, acceptor = self.clock(), self.acceptor
        self._do(self.proposer.tick(now))
        if not acceptor.known:
            if now >= self.next_enrol:
                self.next_enrol = now + ENROL_S
                asked = {member for each in acceptor.to_enrol_with() for member in each.of}
                for member in sorted({*asked, *acceptor.seeds.of, *self.others()} - {acceptor.me}):
                    self.send(member, {"t": "enrol", "disk": acceptor.disk})
            return
        if not self.fresh and not self.reading:
            self.reading = True
            self.ask([], self._read)
        if not acceptor.uncommitted:
            self.uncommitted_since = None
        elif self.uncommitted_since is None or self.uncommitted_since[0] != acceptor.accepted:
            of = acceptor.members.of
            place = of.index(acceptor.me) if acceptor.me in of else len(of)
            self.uncommitted_since = (
                acceptor.accepted,
                now + COMMIT_TAKEOVER_S * (1 + 0.4 * place) + 0.1 * self.draw(),
            )
        elif now >= self.uncommitted_since[1]:
            self.uncommitted_since = None
            self._do(self.proposer.nudge(now))

    def _read(self, outcome: bool | Failure) -> None:
        self.reading = False
        if outcome is True and not self.fresh:
            self.fresh = True
            log_event(
                "state_known",
                upto=self.acceptor.learner.committed_number[0],
                items=len(self.acceptor.learner.items),
            )
            self.committed([])

    def _answer(self, sender: str, writes: list[Write], reply: Message | None, new: list[Item]) -> None:
        promised = self.acceptor.promised

        def go() -> None:
            self.durable = max(self.durable, promised)
            if reply is not None:
                self._pass(sender, reply)

        self.put(writes, go)
        if new:
            self.committed(new)

    def _pass(self, to: str, message: Message) -> None:
        if to == self.acceptor.me:
            self.soon(self.heard, to, message)
        else:
            self.send(to, message)

    def _do(self, out: ProposerOutput) -> None:
        if out.writes:
            self.put(out.writes, lambda: None)
        for to, message in out.sends:
            self._pass(to, message)
        for token, outcome in out.done:
            self.calls.pop(token)(outcome)
        if out.new or out.done:
            self.committed(out.new)
