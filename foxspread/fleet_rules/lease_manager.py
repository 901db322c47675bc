"""A coordinator that gives leases on the course (`course`), without I/O. Any member gives them; the one that
leads takes the steps: announce, in force, withdraw.

Why no two contradict each other: a lease is given only on what was committed after it was asked for (a read
through the leader), so one on the phase before an announcement was asked for before that was committed, and
ends a lease after that at the latest. The next step is taken when all holders have confirmed the announced
phase, or when so long has passed since this member saw the announcement committed, drift on both clocks
allowed for. One that leads anew counts from when it saw that itself. `docs/design/agreed.md` has the whole
argument.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from foxspread.fleet_rules.rollout import Announce, Close, Course, Drop, Force, Open, Terms, Withdraw
from foxspread.fleet_rules.lease_holder import Ask, Grant
from foxspread.consensus.coordinator import Answer, Coordinator, Out, Status
from foxspread.consensus.core import Refused, Role
from foxspread.consensus.messages import Row, Snapshot, encoded

GATHER = 0.02  # seconds for which asks gather, for one read and one report together
ASKS_MOST = 8192  # asks that wait; more are turned away at once
BATCH = 256  # holders in one record, or one report
AGAIN = 0.5  # a step that was proposed and not seen by then is proposed again
STRAY_MOST = 4096  # holders of which something was heard, beyond those that are open


class Heard(Row):
    """What a holder last said: the phase that it acts on, one that it refuses and why."""

    phase: int
    refused: int = 0
    why: str = ""


class Report(Row, frozen=True, tag="report"):
    """From a member to the one that leads."""

    heard: dict[str, Heard]


@dataclass
class Waiting:
    ask: Ask
    until: float


@dataclass
class Lead:
    """What one that leads keeps, from its election on."""

    term: int
    since: float
    heard: dict[str, float] = field(default_factory=dict)  # when each holder was last heard of
    told: dict[str, Heard] = field(default_factory=dict)
    strangers: dict[str, None] = field(default_factory=dict)  # heard, and to be opened
    refusing: dict[str, Heard] = field(default_factory=dict)  # those that turned a phase down
    close_at: float = 0.0  # when it looks again who is silent: not each time, that would cost by holders
    looked: int = 0  # the phase whose version was looked at, and what does not fit
    unfit: str = ""
    proposed: dict[str, float] = field(default_factory=dict)  # steps under way, until when they may be


class Steward(Coordinator):
    versions_kind = Course

    def __init__(self, now: float, *told: Any, terms: Terms = Terms(), **more: Any) -> None:
        self.wish = terms  # what it proposes where none are agreed yet
        # What follows is set before the log is read: entries are applied later, by `take`.
        self.asks: dict[int, Waiting] = {}
        self.reading: dict[int, list[int]] = {}  # reads under way, and the asks that wait for each
        self.watchers: dict[int, tuple[int, float]] = {}
        self.news: dict[str, Heard] = {}  # to be told to the one that leads
        self.flush_at = float("inf")
        self.own_tokens = 0
        self.lead: Lead | None = None
        self.phase_at = self.closed_at = self.forced_at = (
            now  # when this member saw the last of each committed
        )
        self.replaced_at: dict[int, float] = {}  # versions whose alone part may still be acted on, since when
        super().__init__(now, *told, **more)

    @property
    def course(self) -> Course:
        return self.versions

    @property
    def terms(self) -> Terms:
        return self.course.terms or self.wish

    # What sidecars ask

    def ask(self, now: float, token: int, ask: Ask) -> None:
        """A lease; answered by a `Grant` on what is committed after this."""
        if len(self.asks) >= ASKS_MOST:
            return self.answers.append(Answer(token, Status.REFUSED, f"{ASKS_MOST} asks wait already"))
        self.asks[token] = Waiting(ask, now + self.patience)
        heard = Heard(ask.phase, ask.refused, ask.why)
        if len(self.news) < STRAY_MOST:
            self.news[ask.holder] = heard
        self.flush_at = min(self.flush_at, now + GATHER)

    def watch_phase(self, now: float, token: int, phase: int, wait: float) -> None:
        """Answered with the phase once it is a later one than this, or after `wait` seconds."""
        if self.course.phase > phase or len(self.watchers) >= ASKS_MOST:
            return self.answers.append(Answer(token, Status.DONE, self.course.phase, self.member.leader))
        self.watchers[token] = (phase, now + wait)

    def left(self, token: int) -> None:
        super().left(token)
        self.asks.pop(token, None)
        self.watchers.pop(token, None)

    def _flush(self, now: float) -> None:
        """One read for all asks that wait and are in no read yet; one report of what they said."""
        self.flush_at = float("inf")
        under_way = {each for tokens in self.reading.values() for each in tokens}
        tokens = [each for each in self.asks if each not in under_way]
        if tokens:
            self.own_tokens -= 1  # below zero: never a call's
            try:
                self.member.read(now, self.own_tokens)
                self.reading[self.own_tokens] = tokens
            except Refused:
                for token in tokens:
                    self._no(token, "nobody leads")
        self._report(now)

    def _report(self, now: float) -> None:
        news, self.news = self.news, {}
        if self.lead is not None:
            self._hear(now, news)
        elif news and self.member.leader:
            rows = list(news.items())
            for at in range(0, len(rows), BATCH):
                self.member.note(now, self.member.leader, encoded(Report(dict(rows[at : at + BATCH]))))

    def _noted(self, now: float, sender: str, body: bytes) -> None:
        try:
            report = msgspec.msgpack.decode(body, type=Report)
        except msgspec.DecodeError:
            return
        if self.lead is not None:
            self._hear(now, report.heard)

    def _hear(self, now: float, heard: dict[str, Heard]) -> None:
        lead = self.lead
        for holder, row in heard.items():
            known = lead.told.get(holder)
            if known is None and len(lead.told) >= len(self.course.holders) + STRAY_MOST:
                continue
            if known is None or row.phase >= known.phase:  # an older one came late
                lead.told[holder] = row
                if row.refused:
                    lead.refusing[holder] = row
                else:
                    lead.refusing.pop(holder, None)
            lead.heard[holder] = now
            if holder not in self.course.holders:
                lead.strangers[holder] = None

    def _no(self, token: int, why: str) -> None:
        if self.asks.pop(token, None) is not None:
            self.answers.append(Answer(token, Status.ELSEWHERE, why, self.member.leader))

    def _granted(self, now: float, token: int) -> None:
        waiting = self.asks.get(token)
        if waiting is None:
            return
        if (
            waiting.ask.holder not in self.course.holders or self.course.terms is None
        ):  # it is being opened: with the next read
            self.flush_at = min(self.flush_at, now + GATHER)
            return
        del self.asks[token]
        self.answers.append(Answer(token, Status.DONE, self.grant(), self.member.leader))

    def grant(self) -> Grant:
        course, terms = self.course, self.terms
        return Grant(course.phase, course.settled, course.next, terms.lease, terms.alone, terms.drift)

    # Steps of the one that leads

    def _lead(self, now: float) -> None:
        member = self.member
        if member.role is not Role.LEADER:
            self.lead = None
            return
        if self.lead is None or self.lead.term != member.term:
            self.lead = Lead(member.term, now)
        if member.applied < member.own_term_at:
            return  # it doesn't know yet what is committed
        lead, course, terms = self.lead, self.course, self.terms
        if course.terms is None:
            self._propose(now, "terms", self.wish)
            return
        if lead.strangers:
            lead.strangers = {each: None for each in lead.strangers if each not in course.holders}
            if lead.strangers:
                self._propose(now, "open", Open([*lead.strangers][:BATCH]))
        if now >= lead.close_at:
            lead.close_at = now + terms.lease / 10
            self._close(now, lead)
        for version, since in self.replaced_at.items():
            if now - since > terms.runs_out(terms.lease + terms.alone):
                self._propose(now, f"drop {version}", Drop(version))
        if not course.next:
            if due := course.due():
                self._propose(now, "step", Announce(due))
            return
        refusing = [(each, row.why) for each, row in lead.refusing.items() if row.refused == course.phase]
        if lead.looked != course.phase:
            lead.looked, lead.unfit = course.phase, course.unfit(course.next)
        if unfit := lead.unfit:
            self._propose(now, "step", Withdraw(course.phase, "the coordinators", unfit[:300]))
        elif len(refusing) > max(terms.refusals, course.by_number[course.next].refusals):
            self._propose(now, "step", Withdraw(course.phase, refusing[0][0], refusing[0][1][:300]))
        elif self._all_confirmed(now, lead) or now - self.phase_at > terms.runs_out(terms.lease):
            self._propose(now, "step", Force(course.phase))

    def _all_confirmed(self, now: float, lead: Lead) -> bool:
        """All that may hold a lease act on the announced phase. Those that were closed a lease ago or less
        may still hold an older one, and nobody hears of them."""
        course = self.course
        return now - self.closed_at > self.terms.runs_out(self.terms.lease) and all(
            each in lead.told and lead.told[each].phase >= course.phase for each in course.holders
        )

    def _close(self, now: float, lead: Lead) -> None:
        """Those of which nothing was heard for two leases. They are asked for no confirmation any more."""
        silent = 2 * self.terms.runs_out(self.terms.lease)
        gone = [each for each in self.course.holders if now - lead.heard.get(each, lead.since) > silent][
            :BATCH
        ]
        if gone:
            self._propose(now, "close", Close(gone))
        for each in [each for each, at in lead.heard.items() if now - at > silent]:
            del lead.heard[each], lead.told[each]
            lead.strangers.pop(each, None)
            lead.refusing.pop(each, None)

    def _propose(self, now: float, what: str, command: Any) -> None:
        if self.lead.proposed.get(what, 0.0) > now:
            return
        try:
            self.member.propose(now, encoded(command))
            self.lead.proposed[what] = now + AGAIN
        except Refused:
            pass

    # What happens

    def tick(self, now: float) -> None:
        super().tick(now)
        for token in [token for token, waiting in self.asks.items() if waiting.until <= now]:
            self._no(token, "no majority answered in time")
        self._watched_phase(now)

    def _watched_phase(self, now: float) -> None:
        for token, (phase, until) in list(self.watchers.items()):
            if self.course.phase > phase or until <= now:
                del self.watchers[token]
                self.answers.append(Answer(token, Status.DONE, self.course.phase, self.member.leader))

    def wake_at(self) -> float:
        first = next(iter(self.asks.values()), None)
        watched = min((until for _, until in self.watchers.values()), default=float("inf"))
        step = self._step_at() if self.lead is not None else float("inf")
        return min(super().wake_at(), self.flush_at, first.until if first else float("inf"), watched, step)

    def _step_at(self) -> float:
        """When a step falls due by time alone."""
        if self.course.next:
            return (
                max(
                    self.phase_at + self.terms.runs_out(self.terms.lease), self.lead.proposed.get("step", 0.0)
                )
                + 1e-3
            )
        return float("inf")

    def take(self, now: float) -> Out:
        if now >= self.flush_at:
            self._flush(now)
        self._lead(now)
        out = super().take(now)
        if self.lead is not None:  # what was applied may call for the next step
            self._lead(now)
            more = super().take(now)
            out.messages += more.messages
            out.writes += more.writes
            out.answers += more.answers
        return out

    def _read_done(self, now: float, token: int, holds: bool) -> bool:
        """True where the read was one of its own."""
        tokens = self.reading.pop(token, None)
        if tokens is None:
            return False
        for each in tokens:
            if holds:
                self._granted(now, each)
            else:
                self._no(each, "it leads no more")
        return True

    def _restored(self, snapshot: Snapshot) -> None:
        super()._restored(snapshot)
        now = self.member.now  # the steps were committed before this
        self.phase_at = self.closed_at = self.forced_at = now
        self.replaced_at = {each: now for each in self.course.alones if each != self.course.settled}
        self._watched_phase(now)

    def _applied(self, index: int, entry: Any) -> None:
        course, now = self.course, self.member.now
        before = (course.phase, course.settled, len(course.holders))
        super()._applied(index, entry)
        if course.phase != before[0]:
            self.phase_at = now
            if self.lead is not None:
                self.lead.proposed.pop("step", None)
            self._watched_phase(now)
        if course.settled != before[1] and before[1]:
            self.replaced_at[before[1]] = now
        self.replaced_at = {each: at for each, at in self.replaced_at.items() if each in course.alones}
        if len(course.holders) < before[2]:
            self.closed_at = now
            if self.lead is not None:  # heard while it was being closed: opened again
                again = [each for each in self.lead.told if each not in course.holders]
                self.lead.strangers |= dict.fromkeys(again)
        if len(course.holders) > before[2]:
            if self.lead is not None:
                self.lead.proposed.pop("open", None)
            if self.asks:
                self.flush_at = min(self.flush_at, now + GATHER)
