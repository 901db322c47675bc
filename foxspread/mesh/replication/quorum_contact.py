"""Whether this machine is in contact with a majority, and how old what it holds may be. Without I/O.

What a majority answers bounds what may have been acknowledged before it was asked: each tells the newest
ballot that it has accepted or settled. Once all of that is held here, nothing is missing that was
acknowledged before the asking. An age counts from the asking, on this machine's own steady clock: one that
stood still finds it grown. docs/design/cut-off.md has the argument.
"""

from dataclasses import dataclass, field
from typing import Any

from foxspread.mesh.replication.learner import NONE, ProposalNumber
from foxspread.mesh.replication.storage import is_older
from foxspread.mesh.replication.membership import MemberSet, is_quorum

TELL_S = 1.5  # older than that, nothing of the settled set is told to sidecars
ASK_S = 0.3  # between askings
ROUNDS_MOST = 12  # askings whose answers are waited for: 3.6 s, beyond which no age is of use
HEARD_S = 1.0  # after which a keeper that has said nothing is not heard any more
REPORTS_MOST = 64  # keepers whose reports are kept; whoever was heard longest ago goes first


@dataclass(frozen=True, slots=True)
class Report:
    """What a keeper says of itself when it is asked."""

    member: str  # its control address
    votes: bool = False  # its promises and acceptances are all known to it
    epoch: int = 0  # of the members that it holds settled
    committed: ProposalNumber = NONE
    seen: ProposalNumber = NONE  # the newest that it has accepted or settled
    zone: str = ""
    leaving: bool = False
    hears: tuple[str, ...] = ()  # keepers that it has heard within the last second, itself included
    disk: tuple = (0, "")  # the identity of its disk

    def packed(self) -> dict:
        return {
            "member": self.member,
            "votes": self.votes,
            "epoch": self.epoch,
            "s": self.committed,
            "seen": self.seen,
            "zone": self.zone,
            "leaving": self.leaving,
            "hears": self.hears,
            "disk": self.disk,
        }


def unpack_report(told: dict) -> Report:
    return Report(
        str(told["member"]),
        bool(told["votes"]),
        int(told["epoch"]),
        (int(told["s"][0]), str(told["s"][1])),
        (int(told["seen"][0]), str(told["seen"][1])),
        str(told["zone"]),
        bool(told["leaving"]),
        tuple(map(str, told["hears"])),
        (int(told["disk"][0]), str(told["disk"][1])),
    )


@dataclass(slots=True)
class ContactRound:
    number: int
    at: float
    answers: dict[str, ProposalNumber] = field(default_factory=dict)  # by voting member: what it had seen


class QuorumContact:
    """`first`: the number of the first asking, by chance, so that no answer to an earlier life counts."""

    def __init__(self, me: str, first: int = 0) -> None:
        self.me, self.number = me, first
        self.askings: list[ContactRound] = []  # those that may still tell something newer, oldest first
        self.as_of: float | None = None  # all that was acknowledged before is held here
        self.epoch = 0  # the latest that anyone has told
        self.reports: dict[str, tuple[Report, float]] = {}  # the newest of each other keeper, when it came
        self.next_at = 0.0

    def ask(self, now: float, own: Report) -> dict[str, Any] | None:
        """What to ask all keepers that can be reached; None before its time. What this machine itself has
        seen so far counts as its answer, where it votes."""
        if now < self.next_at:
            return None
        self.next_at = now + ASK_S
        self.number += 1
        asking = ContactRound(self.number, now)
        self._count(asking, own)
        self.askings = [*self.askings[-ROUNDS_MOST + 1 :], asking]
        return {"t": "contact", "n": self.number}

    @staticmethod
    def answer(message: dict[str, Any], own: Report) -> dict[str, Any]:
        return {"t": "contacted", "n": message["n"], **own.packed()}

    def heard(self, now: float, sender: str, message: dict[str, Any]) -> None:
        """An answer of that keeper."""
        told = unpack_report(message)
        if told.member != sender:
            return
        self.reports.pop(sender, None)
        self.reports[sender] = told, now
        if len(self.reports) > REPORTS_MOST:
            del self.reports[next(iter(self.reports))]
        for asking in self.askings:
            if asking.number == message["n"]:
                self._count(asking, told)

    def held(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        """The agreed members and the ballot of the settled set, as held here now; asked before each `age`."""
        if members.epoch < self.epoch:
            return  # others have agreed on another set: a majority of this one may be none
        for place in range(len(self.askings) - 1, -1, -1):
            asking = self.askings[place]
            if is_quorum([members], asking.answers.keys()) and committed_number >= max(
                seen for name, seen in asking.answers.items() if name in members
            ):
                self.as_of = asking.at
                del self.askings[: place + 1]
                return

    def age(self, now: float) -> float | None:
        """Seconds for which it may have missed something that was acknowledged; None: not known."""
        return None if self.as_of is None else max(0.0, now - self.as_of)

    def current(self, now: float) -> bool:
        """Whether it may tell sidecars of the settled set; asked at each telling."""
        return self.as_of is not None and now - self.as_of <= TELL_S

    def hears(self, now: float) -> tuple[str, ...]:
        return tuple(sorted({self.me} | {m for m, (_, at) in self.reports.items() if now - at <= HEARD_S}))

    def _count(self, asking: ContactRound, told: Report) -> None:
        self.epoch = max(self.epoch, told.epoch)
        if told.votes:
            asking.answers[told.member] = told.seen


class StartHistory:
    """What the disks of other keepers have told of themselves, by which one that is a copy from before is
    found out: it began fewer times, or has less promised on it, than it had told. Of the keepers heard last
    only, by this process."""

    def __init__(self) -> None:
        self.of: dict[
            str, tuple[str, ProposalNumber, int, ProposalNumber]
        ] = {}  # life, identity, starts, promised

    def told(
        self, member: str, incarnation: str, disk: ProposalNumber, start_count: int, promised: ProposalNumber
    ) -> bool:
        """Whether that disk is older than one of that machine that has told before."""
        held = self.of.pop(member, None)
        new = incarnation, disk, start_count, promised
        if held is not None:
            same = held[1] == disk
            if incarnation != held[0] and (
                disk[0] < held[1][0] or same and is_older(start_count, promised, [held[2:]])
            ):
                self.of[member] = held
                return True
            if incarnation == held[0] and same:  # it may have been under way for long
                new = incarnation, disk, start_count, max(promised, held[3])
        self.of[member] = new
        if len(self.of) > REPORTS_MOST:
            del self.of[next(iter(self.of))]
        return False
