"""Which machine comes into the set of members, or goes out of it, next: a duty under a majority lease.
Without I/O: clock, chance and reports are handed in; what is returned is put to the register, and its outcome
told.

From the seeds the set grows to the size that bears what has to be borne, spread over zones; who is gone, and
who leaves, is replaced by a standby that has caught up, in first, then out; whoever comes back stands by.
docs/design/members.md has the argument for each size and figure.

The lease is an item of the register, changed by compare and set, and written only when there is something to
do. A holder acts for `LEASE_S` from its asking, by its own steady clock; others take the lease over once they
have seen the same version unchanged for a quarter longer. What keeps a late holder out is the number: each
change of the set is one call with the next version of the lease, which fails where another has taken it.
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from foxspread.mesh.configuration.items import LEASE, MEMBERS, Item
from foxspread.mesh.log import log_event
from foxspread.mesh.errors import Failure
from foxspread.mesh.replication.quorum_contact import Report
from foxspread.mesh.replication.learner import ProposalNumber, Learner
from foxspread.mesh.replication.membership import MemberSet, membership_change, is_quorum

LEAST = 3  # members, where there are so many machines: fewer bear nothing
FRESH_S = 1.0  # a report older than that says nothing
LAG_S = 0.5  # between an asking here and when its answer is weighed: what was settled since is not in it
CONTACT_S = 1.0  # whoever has had no contact with a majority for that long decides nothing
GONE_S = 2.0  # unheard by a majority for so long: gone, and replaced if one stands by
MUTE_S = 4.0  # heard, but without a vote or with an older set for so long: as good as gone
JOIN_S = 1.0  # a standby is well for so long before it is named
BACK_S = 3.0  # one that was lost within `LATELY_S`, for so long
LATELY_S = 30.0
LEASE_S = 1.0  # from its asking
OVER = 1.25  # times `LEASE_S`, unchanged: another may take it
SPARE_S = 0.1  # so long before its end a holder stops
STAGGER_S = 0.35  # for each that is to act before: over the 0.3 s between two reports
PAUSE_S = 0.1  # after a failure, doubling, by chance between half and all of it
PAUSE_MOST_S = 2.0
CHANGES_MOST = 8  # of the set, in `CHANGES_S`, that this process has seen; beyond, it waits
CHANGES_S = 20.0
GAP_S = 0.5  # between two steps: longer, and what was seen before it is not carried on
LEAVE_S = 2.5  # so long a leaving member waits for its replacement, and for others to hold what it holds


@dataclass(frozen=True, slots=True)
class ClusterView:
    """What is known here at one time. A change of what is in it, by another process, is not waited for."""

    me: str
    members: MemberSet
    lease: Item | None  # as settled here
    reports: Mapping[str, tuple[float, Report]]  # of keepers, this one too: when heard, and what
    committed_number: ProposalNumber  # of this machine's settled set
    machines: int = 1  # to be borne at once
    zones: int = 0
    age: float | None = None  # seconds since the last contact with a majority; None: none yet

    @classmethod
    def of(
        cls,
        now: float,
        own: Report,
        members: MemberSet,
        learner: Learner,
        heard: Mapping[str, tuple[Report, float]],
        age: float | None,
        machines: int,
        zones: int,
    ) -> "ClusterView":
        """`heard`: the newest report of each other keeper, and when it came, as `Contact` has them."""
        reports = {name: (at, report) for name, (report, at) in heard.items()}
        reports[own.member] = now, own
        lease = learner.items.get((LEASE, MEMBERS))
        return cls(own.member, members, lease, reports, learner.committed_number, machines, zones, age)


@dataclass(slots=True)
class SubmittedChange:
    at: float
    lease: int  # the version asked for


def target_size(machines: int, zones: int, of: Mapping[str, str]) -> int:
    """Members that bear the loss of so many machines, or of so many zones; `of`: the zones of the keepers.
    With fewer zones than two for each to be lost, and one, no number bears it."""
    size, there = max(LEAST, 2 * machines + 1, 2 * zones + 1), len(set(of.values()))
    if zones and there > 2 * zones:
        while sum(sorted(_spread(size, there))[-zones:]) > size // 2:
            size += 2
    return size


def _spread(size: int, zones: int) -> list[int]:
    return [size // zones + (place < size % zones) for place in range(zones)]


class Reconfiguration:
    def __init__(self, me: str, incarnation: str, draw: Callable[[], float]) -> None:
        """`draw`: a number from 0 up to 1."""
        self.me, self.incarnation, self.draw = me, incarnation, draw
        self.asked: SubmittedChange | None = None
        self.held: tuple[int, float] | None = None  # version of the lease, and until when it is acted on
        self.lease: tuple[int, float] = (-1, 0.0)  # the version seen, and since when
        self.need: tuple[float, float] | None = (
            None  # since when there is something to do; own share of chance
        )
        self.failures, self.pause_until = 0, 0.0
        self.epochs: deque[float] = deque()  # when a new set was seen
        self.epoch: int | None = None
        self.stepped: float | None = None
        self.missed: dict[str, float] = {}  # members that a majority does not hear, since when
        self.dumb: dict[str, float] = {}  # members that are heard but not well, since when
        self.well: dict[str, float] = {}  # standbys without a flaw, since when
        self.lost: dict[str, float] = {}  # keepers that were missed, when last; kept for `LATELY_S`
        self.leaving_since: float | None = None
        self.committed: deque[tuple[float, ProposalNumber]] = deque()  # since when that much is settled here

    def tend(
        self,
        clock: Callable[[], float],
        view: ClusterView,
        ask: Callable[[list[Item], Callable[[bool | Failure], None]], object],
    ) -> None:
        """One step, its call put to the register by `ask`, and the outcome told."""
        if (items := self.step(clock(), view)) is not None:
            ask(items, lambda outcome: self.told(clock(), outcome))

    # Inputs.

    def step(self, now: float, view: ClusterView) -> list[Item] | None:
        """A call to be put to the register, with its outcome to `told`; None: nothing is to be done now."""
        self._see(now, view)
        if self.asked is not None or not self._fit(now, view):
            return None
        change = self.next(now, view)
        if change is None:
            self.need = None
            return None
        if self.need is None:
            self.need = now, self.draw()
        if now < self.pause_until:
            return None
        version = view.lease.version if view.lease is not None else 0
        if self.held is not None and self.held[0] == version and now < self.held[1] - SPARE_S:
            return self._ask(
                now, version + 1, [membership_change(view.members, change, _disks(view, change))]
            )
        if now >= self._turn(view) and self._free(now, view.lease):
            return self._ask(now, version + 1, [])
        return None

    def told(self, now: float, outcome: bool | Failure) -> None:
        """How the call came out; where that is not known, the next view shows which version holds."""
        asked, self.asked = self.asked, None
        if asked is None:
            return
        if outcome is True:
            self.held, self.failures = (asked.lease, asked.at + LEASE_S), 0
            return
        pause = min(PAUSE_MOST_S, PAUSE_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.pause_until = now + pause * (0.5 + 0.5 * self.draw())

    def may_go(self, now: float, view: ClusterView) -> bool:
        """Whether this machine, which leaves, may end: it is no member any more, or none stands by to take
        its place; in both cases a majority of the members hold what it holds, without it. Or `LEAVE_S` is
        over."""
        self._note_settled(now, view.committed_number)
        if self.leaving_since is None:
            self.leaving_since = now
        if now - self.leaving_since >= LEAVE_S:
            return True
        others = [
            name
            for name in view.members.of
            if name != self.me
            and (report := self._fresh(now, view, name)) is not None
            and report.votes
            and self._holds(view, name)
        ]
        if len(others) < view.members.majority:
            return False
        return self.me not in view.members or not self._standbys(now, view)

    # What is seen.

    def _see(self, now: float, view: ClusterView) -> None:
        if self.stepped is not None and now - self.stepped > GAP_S:  # asleep: others may have come and gone
            self.missed, self.dumb, self.well, self.need, self.held = {}, {}, {}, None, None
            self.lease = (-1, 0.0)
        self.stepped = now
        self._note_settled(now, view.committed_number)
        version = view.lease.version if view.lease is not None else 0
        if version != self.lease[0]:
            self.lease = version, now
        if self.held is not None and self.held[0] < version:
            self.held = None
        if self.epoch != view.members.epoch:
            if self.epoch is not None:
                self.epochs.append(now)
                log_event("members", epoch=view.members.epoch, of=",".join(view.members.of))
            self.epoch, self.need = view.members.epoch, None
        while self.epochs and now - self.epochs[0] >= CHANGES_S:
            self.epochs.popleft()
        fresh = {m: r for m in view.members.of if (r := self._fresh(now, view, m)) is not None}
        half = (len(view.members.of) + 1) // 2  # of an odd set the majority; of an even one, so that whoever
        # was gone for the odd set before it stays so beside a newcomer that hears it
        self._since(now, self.missed, lambda m: self._unheard(view, fresh, m) >= half, view)
        self._since(now, self.dumb, lambda m: m in fresh and not _well(fresh[m], view), view)
        for name in [*self.missed, *(n for n in self.well if self._fresh(now, view, n) is None)]:
            self.lost[name] = now
        for name in [n for n, at in self.lost.items() if now - at >= LATELY_S]:
            del self.lost[name]
        for name in {*self.well, *view.reports}:
            report = self._fresh(now, view, name)
            hearers = sum(name in each.hears for each in fresh.values())
            if (
                name not in view.members
                and report is not None
                and report.votes
                and not report.leaving
                and hearers >= view.members.majority
            ):
                self.well.setdefault(name, now)
            else:
                self.well.pop(name, None)

    def _note_settled(self, now: float, committed_number: ProposalNumber) -> None:
        if not self.committed or self.committed[-1][1] != committed_number:
            self.committed.append((now, committed_number))
        while len(self.committed) > 1 and self.committed[1][0] <= now - FRESH_S - LAG_S:
            self.committed.popleft()

    def _holds(self, view: ClusterView, name: str) -> bool:
        """Whether that keeper has told that it holds what was settled here when it was asked: while changes
        go on, its report is always older than the newest of them."""
        at, report = view.reports[name]
        before = [committed_number for since, committed_number in self.committed if since <= at - LAG_S]
        return report.committed >= (before[-1] if before else self.committed[0][1])

    def _since(
        self, now: float, of: dict[str, float], holds: Callable[[str], bool], view: ClusterView
    ) -> None:
        for name in {*of, *view.members.of}:
            if name in view.members and holds(name):
                of.setdefault(name, now)
            else:
                of.pop(name, None)

    def _fresh(self, now: float, view: ClusterView, name: str) -> Report | None:
        at, report = view.reports.get(name, (now - FRESH_S - 1, None))
        return report if now - at <= FRESH_S else None

    def _unheard(self, view: ClusterView, fresh: Mapping[str, Report], name: str) -> int:
        return sum(name not in report.hears for other, report in fresh.items() if other != name)

    def _fit(self, now: float, view: ClusterView) -> bool:
        own = self._fresh(now, view, self.me)
        return (
            self.me in view.members
            and self.me not in self.missed
            and view.age is not None
            and view.age <= CONTACT_S
            and own is not None
            and _well(own, view)
            and not own.leaving
        )

    # What is to be done.

    def next(self, now: float, view: ClusterView) -> tuple[str, ...] | None:
        """The set after the next change; None: it is to stay, or has to be waited for."""
        if len(self.epochs) >= CHANGES_MOST:
            return None
        members, reports = view.members, {}
        gone = {m for m, at in self.missed.items() if now - at >= GONE_S}
        gone |= {m for m, at in self.dumb.items() if now - at >= MUTE_S}
        for name in set(members.of) - gone:
            report = self._fresh(now, view, name)
            if report is None or name in self.missed or not _well(report, view):
                return None  # its standing is open, maybe that of the last that came in
            reports[name] = report
        leaving = {m for m, report in reports.items() if report.leaving}
        standbys = self._standbys(now, view)
        zones = self._zones(view)
        size = target_size(view.machines, view.zones, zones)
        odd = len(members.of) % 2 == 1
        bad = [*sorted(gone), *sorted(leaving)]
        after: set[str] | None = None
        if len(members.of) > size or not odd:
            after = self._out(members, bad, zones, len(members.of) > size)
        if after is None and standbys:
            best = self._best(standbys, members, bad, zones)
            few = len(members.of) < size and (not odd or len(standbys) > 1)
            if few or odd and (bad or self._lopsided(members, best, zones)):
                after = {*members.of, best}
        if after is None:
            return None
        voting = {*reports, *(after - set(members.of))}
        new = MemberSet(members.epoch + 1, tuple(sorted(after)))
        return new.of if is_quorum((members, new), voting) else None

    def _standbys(self, now: float, view: ClusterView) -> list[str]:
        """Those that could be named now; what they hold is by their own word."""
        return [
            name
            for name, since in sorted(self.well.items())
            if now - since >= (BACK_S if name in self.lost else JOIN_S)
            and _well(view.reports[name][1], view)
            and self._holds(view, name)
        ]

    def _out(
        self, members: MemberSet, bad: list[str], zones: Mapping[str, str], surplus: bool
    ) -> set[str] | None:
        if len(members.of) <= LEAST or not bad and not surplus:
            return None
        if bad:
            return set(members.of) - {bad[0]}
        full = Counter(zones.get(name, "") for name in members.of)
        return set(members.of) - {max(members.of, key=lambda name: (full[zones.get(name, "")], name))}

    def _best(self, standbys: list[str], members: MemberSet, bad: list[str], zones: Mapping[str, str]) -> str:
        """Of the zone with the fewest members that stay; then the one that has been well longest."""
        full = Counter(zones.get(name, "") for name in members.of if name not in bad)
        return min(standbys, key=lambda name: (full[zones.get(name, "")], self.well[name], name))

    def _lopsided(self, members: MemberSet, best: str, zones: Mapping[str, str]) -> bool:
        """Whether one of the fullest zone less, and that standby more, is evener: by two, or it would
        swing."""
        full = Counter(zones.get(name, "") for name in members.of)
        return max(full.values()) - full[zones.get(best, "")] >= 2

    def _zones(self, view: ClusterView) -> dict[str, str]:
        return {name: report.zone for name, (_, report) in view.reports.items()}

    # The lease.

    def _turn(self, view: ClusterView) -> float:
        """The holder first, then in order; others see by then that the lease is taken."""
        holder = view.lease.content["holder"] if view.lease is not None else None
        able = [
            m
            for m in view.members.of
            if m not in self.missed
            and m not in self.dumb
            and m in view.reports
            and not view.reports[m][1].leaving
        ]
        order = sorted(able, key=lambda name: (name != holder, name))
        since, chance = self.need
        return since + STAGGER_S * (order.index(self.me) + 0.5 * chance)

    def _free(self, now: float, lease: Item | None) -> bool:
        if lease is None or lease.content == self._name():
            return True
        return now - self.lease[1] >= LEASE_S * OVER

    def _name(self) -> dict[str, str]:
        return {"holder": self.me, "life": self.incarnation}

    def _ask(self, now: float, version: int, items: list[Item]) -> list[Item]:
        self.asked = SubmittedChange(now, version)
        log_event(
            "members_duty", lease=version, asks="a change" if items else "the lease", failures=self.failures
        )
        return [Item(LEASE, MEMBERS, version, self._name()), *items]


def _well(report: Report, view: ClusterView) -> bool:
    """It votes, and holds the set that is agreed, or a newer one, with all that was settled before."""
    return report.votes and report.epoch >= view.members.epoch


def _disks(view: ClusterView, of: tuple[str, ...]) -> dict[str, list]:
    """Which disks the members have, as far as told: whoever settles the change knows of these."""
    return {name: list(view.reports[name][1].disk) for name in of if name in view.reports}
