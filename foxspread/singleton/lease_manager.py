"""A coordinator that gives leases on duties too, without I/O. Any member answers asks, on what was committed
after they came; the one that leads takes the steps: give a duty to one that offers to do it, take it back
from one that says nothing, move it.

Why two never own one duty at a time: after `Lose` no answer holds its token, for each is a read as of after
its ask. So a lease under it was asked for before `Lose` was committed, and has run out a lease after this
member saw that, drift allowed for; only then comes `Free`, and a later `Take`. One that leads anew counts
from when it saw it itself.
"""

import zlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from foxspread.fleet_rules.rollout import Course
from foxspread.fleet_rules.lease_manager import ASKS_MOST, GATHER, STRAY_MOST, Steward
from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.core import Refused, Role
from foxspread.consensus.messages import Row, Snapshot, encoded
from foxspread.singleton import lease_table
from foxspread.singleton.lease_holder import DutyAsk, Given
from foxspread.singleton.lease_table import DutyCommand, Free, Lose, Registry, Take, Wish, Yield, name_of

CALM = 10  # leases in which nothing was lost or moved, before a duty is moved to where it belongs
AGAIN = 0.5  # a step that was proposed and not seen by then is proposed again


class Offer(Row, frozen=True):
    offers: tuple[str, ...]
    yields: tuple[tuple[str, int], ...]


class Offers(Row, frozen=True, tag="offers"):
    """From a member to the one that leads."""

    heard: dict[str, Offer]


class DutyCourse(Course):
    def __init__(self) -> None:
        super().__init__()
        self.duties = Registry()

    def apply(self, body: bytes) -> Any:
        try:
            command = msgspec.msgpack.decode(body, type=DutyCommand)
        except msgspec.ValidationError:
            return super().apply(body)
        return self.duties.obey(command)

    def saved_more(self) -> bytes:
        return self.duties.saved()

    def restore_more(self, data: bytes) -> None:
        self.duties.restore(data)


@dataclass
class DutyLead:
    """What one that leads keeps, from its election on."""

    term: int
    since: float
    heard: dict[str, tuple[float, Offer]] = field(default_factory=dict)
    proposed: dict[str, float] = field(default_factory=dict)
    stirred: float = 0.0  # when a duty last changed hands


def rank(duty: str, name: str) -> int:
    """Rendezvous hashing (D. Thaler and C. Ravishankar 1998): the highest is to have it."""
    return zlib.crc32(f"{duty}:{name}".encode())


class Chief(Steward):
    versions_kind = DutyCourse

    def __init__(self, now: float, *told: Any, **more: Any) -> None:
        self.duty_asks: dict[int, tuple[DutyAsk | None, float]] = {}  # None: asks for tokens only
        self.duty_reading: dict[int, list[int]] = {}
        self.duty_news: dict[str, Offer] = {}
        self.lost_at: dict[tuple[str, int], float] = {}  # when this member saw that it was lost
        self.duty_lead: DutyLead | None = None
        super().__init__(now, *told, **more)
        self._seen(now)

    def _seen(self, now: float) -> None:
        """Of duties that a snapshot has as lost nobody knows since when."""
        self.lost_at = {(name, duty.token): now for name, duty in self.duties.duties.items() if duty.lost}

    @property
    def duties(self) -> Registry:
        return self.versions.duties

    # What instances and receivers ask

    def ask_duties(self, now: float, token: int, ask: DutyAsk | None) -> None:
        """Answered by a `Given`, or by all tokens where a receiver asks (None)."""
        if len(self.duty_asks) >= ASKS_MOST:
            return self.answers.append(Answer(token, Status.REFUSED, f"{ASKS_MOST} asks wait already"))
        self.duty_asks[token] = (ask, now + self.patience)
        if ask is not None and len(self.duty_news) < STRAY_MOST:
            self.duty_news[ask.instance] = Offer(ask.offers, ask.yields)
        self.flush_at = min(self.flush_at, now + GATHER)

    def write_duty(self, now: float, token: int, command: DutyCommand) -> None:
        """An owner's write, or a person's; answered with what stands against it, "" where it is done."""
        self._write(now, token, lambda: self.member.propose(now, encoded(command)))

    def left(self, token: int) -> None:
        super().left(token)
        self.duty_asks.pop(token, None)

    def _flush(self, now: float) -> None:
        super()._flush(now)
        under_way = {each for tokens in self.duty_reading.values() for each in tokens}
        if tokens := [each for each in self.duty_asks if each not in under_way]:
            self.own_tokens -= 1
            try:
                self.member.read(now, self.own_tokens)
                self.duty_reading[self.own_tokens] = tokens
            except Refused:
                for token in tokens:
                    self._turned(token, "nobody leads")
        news, self.duty_news = self.duty_news, {}
        if self.duty_lead is not None:
            self._offered(now, news)
        elif news and self.member.leader:
            self.member.note(now, self.member.leader, encoded(Offers(news)))

    def _noted(self, now: float, sender: str, body: bytes) -> None:
        try:
            offers = msgspec.msgpack.decode(body, type=Offers)
        except msgspec.DecodeError:
            return super()._noted(now, sender, body)
        if self.duty_lead is not None:
            self._offered(now, offers.heard)

    def _offered(self, now: float, news: dict[str, Offer]) -> None:
        heard = self.duty_lead.heard
        for instance, offer in news.items():
            if instance in heard or len(heard) < STRAY_MOST:
                heard[instance] = (now, offer)

    def _turned(self, token: int, why: str) -> None:
        if self.duty_asks.pop(token, None) is not None:
            self.answers.append(Answer(token, Status.ELSEWHERE, why, self.member.leader))

    def _read_done(self, now: float, token: int, holds: bool) -> bool:
        tokens = self.duty_reading.pop(token, None)
        if tokens is None:
            return super()._read_done(now, token, holds)
        for each in tokens:
            if not holds:
                self._turned(each, "it leads no more")
            elif (waiting := self.duty_asks.pop(each, None)) is not None:
                self.answers.append(Answer(each, Status.DONE, self.given(waiting[0]), self.member.leader))
        return True

    def given(self, ask: DutyAsk | None) -> Given | dict[str, int]:
        if ask is None:
            return self.duties.tokens()
        held = self.duties.held_by(ask.instance)
        wanted = tuple(each for each in held if self.duties.duties[each].wish)
        return Given(self.terms.lease, self.terms.drift, held, wanted)

    # Steps of the one that leads

    def _lead(self, now: float) -> None:
        super()._lead(now)
        member = self.member
        if member.role is not Role.LEADER:
            self.duty_lead = None
            return
        if self.duty_lead is None or self.duty_lead.term != member.term:
            self.duty_lead = DutyLead(member.term, now, stirred=now)
        if member.applied < member.own_term_at or self.course.terms is None:
            return
        lead, lease = self.duty_lead, self.terms.runs_out(self.terms.lease)
        for instance in [each for each, (at, _) in lead.heard.items() if now - at > 3 * lease]:
            del lead.heard[instance]
        for instance, (_, offer) in lead.heard.items():
            for duty, token in offer.yields:
                found = self.duties.duties.get(duty)
                if found is not None and (found.owner, found.token) == (instance, token):
                    self._step(now, duty, Yield(duty, token))
        offered = {duty for _, offer in lead.heard.values() for duty in offer.offers}
        for name in sorted(offered | self.duties.duties.keys()):
            self._look_at(now, name, self.duties.duties.get(name) or lease_table.Duty(), lease)
        if now - lead.stirred > CALM * lease:
            self._settle(now, offered)

    def _look_at(self, now: float, name: str, duty: lease_table.Duty, lease: float) -> None:
        lead = self.duty_lead
        if duty.lost:
            if now - self.lost_at.get((name, duty.token), now) > self._pause(lease):
                self._step(now, name, Free(name, duty.token))
        elif duty.owner:
            at, _ = lead.heard.get(duty.owner, (lead.since, None))
            if now - at > lease:
                self._step(now, name, Lose(name, duty.token))
        elif not duty.paused and now - lead.since > lease / 2:  # those that offer were heard by then
            if (to := self._next(now, name, duty, lease)) is not None:
                self._step(now, name, Take(name, to, duty.token + 1))

    def _pause(self, lease: float) -> float:
        """Before the next owner, where the last one was lost without a word."""
        return lease

    def _next(self, now: float, name: str, duty: lease_table.Duty, lease: float) -> str | None:
        """Who is to have it: the one that is wished for, else whoever lost least, then by the hash."""
        there = [
            each
            for each, (at, offer) in self.duty_lead.heard.items()
            if now - at < lease and name in offer.offers
        ]
        if duty.wish in there:
            return duty.wish
        losses = self.duties.losses
        return min(
            there,
            key=lambda each: (losses.get(name_of(each), 0), -rank(name, name_of(each)), each),
            default=None,
        )

    def _settle(self, now: float, offered: set[str]) -> None:
        """One duty at a time goes to where the hash has it."""
        lease = self.terms.runs_out(self.terms.lease)
        for name in sorted(offered):
            duty = self.duties.duties.get(name)
            if duty is None or duty.wish or not duty.owner or duty.lost or duty.paused:
                continue
            best = self._next(now, name, duty, lease)
            if best is not None and best != duty.owner:
                return self._step(now, name, Wish(name, best))

    def _step(self, now: float, duty: str, command: DutyCommand) -> None:
        if self.duty_lead.proposed.get(duty, 0.0) > now:
            return
        try:
            self.member.propose(now, encoded(command))
            self.duty_lead.proposed[duty] = now + AGAIN
        except Refused:
            pass

    # What happens

    def tick(self, now: float) -> None:
        super().tick(now)
        for token in [token for token, (_, until) in self.duty_asks.items() if until <= now]:
            self._turned(token, "no majority answered in time")

    def wake_at(self) -> float:
        first = min((until for _, until in self.duty_asks.values()), default=float("inf"))
        due = float("inf")
        if self.duty_lead is not None and any(
            each.lost or not each.owner for each in self.duties.duties.values()
        ):
            due = self.member.now + 0.1
        return min(super().wake_at(), first, due)

    def _restored(self, snapshot: Snapshot) -> None:
        super()._restored(snapshot)
        self._seen(self.member.now)

    def _applied(self, index: int, entry: Any) -> None:
        before = {name: (duty.token, duty.owner, duty.lost) for name, duty in self.duties.duties.items()}
        super()._applied(index, entry)
        now = self.member.now
        for name, duty in self.duties.duties.items():
            if before.get(name) != (duty.token, duty.owner, duty.lost):
                if duty.lost:
                    self.lost_at[name, duty.token] = now
                else:
                    self.lost_at.pop((name, duty.token), None)
                if self.duty_lead is not None:
                    self.duty_lead.proposed.pop(name, None)
                    self.duty_lead.stirred = now
