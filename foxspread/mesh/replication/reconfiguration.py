"""Changes of the member set, which one machine at a time decides under a lease.

The module does no I/O: the clock, random numbers and reports are passed in. The caller submits the returned
items to the register and passes the outcome back.

The set grows from the seeds to the size that tolerates the configured losses, spread over zones. A member
that has failed or is leaving is replaced by a standby that has caught up: the standby joins first, then the
member is removed. A removed member that returns becomes a standby. docs/design/members.md has the argument
for each size and figure.

The lease is an item of the register. It is changed by compare-and-set, and only when the member set needs a
change. The holder may act for `LEASE_S` after its request, by its own steady clock. Others may take the lease
over once they have seen the same version unchanged for a quarter longer. The version is also a fencing token:
each change of the set is one call that includes the next version of the lease, so it fails if another machine
has taken the lease meanwhile.
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from foxspread.mesh.configuration.items import LEASE, MEMBERS, Item
from foxspread.mesh.log import log_event
from foxspread.mesh.replication.cluster_view import REPORT_FRESH_S, ClusterView
from foxspread.mesh.replication.learner import ProposalNumber
from foxspread.mesh.replication.membership import MemberSet, is_quorum, membership_change
from foxspread.mesh.replication.messages import Report
from foxspread.mesh.replication.placement import improves_zone_balance, target_size, without_one_member
from foxspread.mesh.replication.proposer import Outcome

REPORT_LAG_S = 0.5  # limit on the time from a request for a report until the report is evaluated
CONTACT_STALENESS_LIMIT_S = 1.0  # staleness above which a machine decides nothing
UNREACHABLE_LIMIT_S = 2.0  # a member that most others receive no reports from for so long has failed
UNHEALTHY_LIMIT_S = 4.0  # a reachable member has failed after so long without a vote or with an older set
STANDBY_HEALTHY_S = 1.0  # time for which a standby must be healthy before it may join
RETURNED_HEALTHY_S = 3.0  # the same for a standby that was lost within `RECENTLY_LOST_S`
RECENTLY_LOST_S = 30.0
LEASE_S = 1.0  # counted from the request for the lease
LEASE_TAKEOVER_FACTOR = 1.25  # others may take the lease after this multiple of `LEASE_S` without a change
LEASE_MARGIN_S = 0.1  # the holder stops this long before the end of its lease
TURN_INTERVAL_S = 0.35  # delay for each member with precedence; longer than the 0.3 s between two reports
BACKOFF_INITIAL_S = 0.1  # after a failure; doubles with each one; at random between half and all of it
BACKOFF_LIMIT_S = 2.0
BACKOFF_DOUBLINGS_LIMIT = 8
CHANGES_LIMIT = 8  # changes of the set that this process has seen in `CHANGES_WINDOW_S`, before it waits
CHANGES_WINDOW_S = 20.0
STEP_GAP_LIMIT_S = 0.5  # after a longer time between two steps, earlier observations are discarded
LEAVE_TIMEOUT_S = 2.5  # time for which a leaving member waits for its replacement, and for others to catch up


@dataclass(slots=True)
class SubmittedCall:
    """A call to the register whose outcome is not known yet."""

    at: float
    lease_version: int  # version of the lease that the call requests


class LeaseVersion(NamedTuple):
    """A version of the lease with a time: when it was first seen or, for the holder, when it expires."""

    version: int
    at: float


class WantedChange(NamedTuple):
    """The time since when a change is wanted, and the random part (0 to 1) of this machine's delay."""

    since: float
    jitter: float


class CommittedAt(NamedTuple):
    """A committed number, and the time at which the local committed set reached it."""

    at: float
    committed_number: ProposalNumber


class Reconfiguration:
    """Decides on changes of the member set for one machine."""

    def __init__(self, me: str, incarnation: str, draw: Callable[[], float]) -> None:
        """`draw` returns a random number from 0 up to 1."""
        self.me, self.incarnation, self.draw = me, incarnation, draw
        self.submitted: SubmittedCall | None = None
        self.own_lease: LeaseVersion | None = None  # the lease of this machine, with its end
        self.seen_lease = LeaseVersion(-1, 0.0)  # the committed lease, with the time when it was first seen
        self.wanted_change: WantedChange | None = None
        self.failures, self.backoff_until = 0, 0.0
        self.change_times: deque[float] = deque()  # when new member sets were seen
        self.epoch: int | None = None
        self.last_step_at: float | None = None
        self.unreachable_since: dict[str, float] = {}  # members that most others receive no reports from
        self.unhealthy_since: dict[str, float] = {}  # reachable members that are not healthy
        self.standby_since: dict[str, float] = {}  # replicas that could join
        self.lost_at: dict[str, float] = {}  # when a replica was last unreachable, for `RECENTLY_LOST_S`
        self.leaving_since: float | None = None
        self.committed_history: deque[CommittedAt] = deque()

    # Inputs.

    def run_step(
        self,
        clock: Callable[[], float],
        view: ClusterView,
        submit: Callable[[list[Item], Callable[[Outcome], None]], object],
    ) -> None:
        """Makes one step, and passes its call, if there is one, to `submit`."""
        if (items := self.step(clock(), view)) is not None:
            submit(items, lambda outcome: self.on_outcome(clock(), outcome))

    def step(self, now: float, view: ClusterView) -> list[Item] | None:
        """Returns the items of a call, whose outcome goes to `on_outcome`; None if there is nothing to do."""
        self._observe(now, view)
        if self.submitted is not None or not self._may_decide(now, view):
            return None
        names = self.next_members(now, view)
        if names is None:
            self.wanted_change = None
            return None
        if self.wanted_change is None:
            self.wanted_change = WantedChange(now, self.draw())
        if now < self.backoff_until:
            return None
        version = view.lease_version
        own = self.own_lease
        if own is not None and own.version == version and now < own.at - LEASE_MARGIN_S:
            return self._submit(now, version + 1, [membership_change(view.members, names, view.disks(names))])
        if now >= self._turn_at(view, self.wanted_change) and self._may_take_lease(now, view.lease):
            return self._submit(now, version + 1, [])
        return None

    def on_outcome(self, now: float, outcome: Outcome) -> None:
        """Handles the outcome of the call; if it is unknown, the next view shows the current version."""
        submitted, self.submitted = self.submitted, None
        if submitted is None:
            return
        if outcome is True:
            self.own_lease = LeaseVersion(submitted.lease_version, submitted.at + LEASE_S)
            self.failures = 0
            return
        backoff = min(BACKOFF_LIMIT_S, BACKOFF_INITIAL_S * 2**self.failures)
        self.failures = min(self.failures + 1, BACKOFF_DOUBLINGS_LIMIT)
        self.backoff_until = now + backoff * (0.5 + 0.5 * self.draw())

    def may_leave(self, now: float, view: ClusterView) -> bool:
        """Tells whether this machine, which is leaving, may stop.

        It may once it is no longer a member, or if no standby can replace it. In both cases a majority of the
        members, without it, must have caught up with it. After `LEAVE_TIMEOUT_S` it may stop in any case.
        """
        self._record_committed(now, view.committed_number)
        if self.leaving_since is None:
            self.leaving_since = now
        if now - self.leaving_since >= LEAVE_TIMEOUT_S:
            return True
        up_to_date = [
            name
            for name in view.members.names
            if name != self.me
            and (report := view.fresh_report(now, name)) is not None
            and report.votes
            and self._is_caught_up(view, name)
        ]
        if len(up_to_date) < view.members.majority:
            return False
        return self.me not in view.members or not self._standbys(now, view)

    # Observations.

    def _observe(self, now: float, view: ClusterView) -> None:
        if self.last_step_at is not None and now - self.last_step_at > STEP_GAP_LIMIT_S:
            # The process was suspended: other replicas may have joined or left meanwhile.
            self.unreachable_since, self.unhealthy_since, self.standby_since = {}, {}, {}
            self.wanted_change, self.own_lease, self.seen_lease = None, None, LeaseVersion(-1, 0.0)
        self.last_step_at = now
        self._record_committed(now, view.committed_number)
        if view.lease_version != self.seen_lease.version:
            self.seen_lease = LeaseVersion(view.lease_version, now)
        if self.own_lease is not None and self.own_lease.version < view.lease_version:
            self.own_lease = None
        self._observe_epoch(now, view.members)
        fresh = {m: r for m in view.members.names if (r := view.fresh_report(now, m)) is not None}
        self._observe_members(now, view, fresh)
        self._observe_standbys(now, view, fresh)

    def _observe_epoch(self, now: float, members: MemberSet) -> None:
        if self.epoch != members.epoch:
            if self.epoch is not None:
                self.change_times.append(now)
                log_event("members", epoch=members.epoch, of=",".join(members.names))
            self.epoch, self.wanted_change = members.epoch, None
        while self.change_times and now - self.change_times[0] >= CHANGES_WINDOW_S:
            self.change_times.popleft()

    def _observe_members(self, now: float, view: ClusterView, fresh: Mapping[str, Report]) -> None:
        # In an odd set this is a majority. In an even set it is one less, so that a member that was
        # unreachable in the odd set before stays so if the newcomer alone receives its reports.
        half = (len(view.members.names) + 1) // 2

        def is_unreachable(name: str) -> bool:
            others = [report for member, report in fresh.items() if member != name]
            return sum(name not in report.hears for report in others) >= half

        def is_unhealthy(name: str) -> bool:
            return name in fresh and not view.is_healthy(fresh[name])

        _record_since(now, self.unreachable_since, is_unreachable, view.members)
        _record_since(now, self.unhealthy_since, is_unhealthy, view.members)
        silent = (name for name in self.standby_since if view.fresh_report(now, name) is None)
        for name in [*self.unreachable_since, *silent]:
            self.lost_at[name] = now
        for name in [name for name, at in self.lost_at.items() if now - at >= RECENTLY_LOST_S]:
            del self.lost_at[name]

    def _observe_standbys(self, now: float, view: ClusterView, fresh: Mapping[str, Report]) -> None:
        for name in {*self.standby_since, *view.reports}:
            report = view.fresh_report(now, name)
            receivers = sum(name in each.hears for each in fresh.values())
            if (
                name not in view.members
                and report is not None
                and report.votes
                and not report.leaving
                and receivers >= view.members.majority
            ):
                self.standby_since.setdefault(name, now)
            else:
                self.standby_since.pop(name, None)

    def _record_committed(self, now: float, committed_number: ProposalNumber) -> None:
        history = self.committed_history
        if not history or history[-1].committed_number != committed_number:
            history.append(CommittedAt(now, committed_number))
        while len(history) > 1 and history[1].at <= now - REPORT_FRESH_S - REPORT_LAG_S:
            history.popleft()

    def _is_caught_up(self, view: ClusterView, name: str) -> bool:
        """Tells whether a replica's report includes all that was committed here when it was requested.

        Later changes do not count: while there are new changes, no report can include the newest ones.
        """
        report, received_at = view.reports[name]
        requested_at = received_at - REPORT_LAG_S
        before = [each.committed_number for each in self.committed_history if each.at <= requested_at]
        return report.committed >= (before[-1] if before else self.committed_history[0].committed_number)

    def _may_decide(self, now: float, view: ClusterView) -> bool:
        own = view.fresh_report(now, self.me)
        return (
            self.me in view.members
            and self.me not in self.unreachable_since
            and view.staleness_s is not None
            and view.staleness_s <= CONTACT_STALENESS_LIMIT_S
            and own is not None
            and view.is_healthy(own)
            and not own.leaving
        )

    # The next change.

    def next_members(self, now: float, view: ClusterView) -> tuple[str, ...] | None:
        """Returns the members after the next change; None if none is wanted, or it has to wait."""
        if len(self.change_times) >= CHANGES_LIMIT:
            return None
        members, reports = view.members, {}
        failed = {m for m, since in self.unreachable_since.items() if now - since >= UNREACHABLE_LIMIT_S}
        failed |= {m for m, since in self.unhealthy_since.items() if now - since >= UNHEALTHY_LIMIT_S}
        for name in set(members.names) - failed:
            report = view.fresh_report(now, name)
            if report is None or name in self.unreachable_since or not view.is_healthy(report):
                return None  # it is not known yet whether this member, perhaps the newest, has failed
            reports[name] = report
        leaving = {name for name, report in reports.items() if report.leaving}
        after = self._after_change(now, view, [*sorted(failed), *sorted(leaving)])
        if after is None:
            return None
        voting = {*reports, *(after - set(members.names))}
        new = MemberSet(members.epoch + 1, tuple(sorted(after)))
        return new.names if is_quorum((members, new), voting) else None

    def _after_change(self, now: float, view: ClusterView, to_replace: list[str]) -> set[str] | None:
        members, zones = view.members, view.replica_zones()
        size = target_size(view.tolerated_machines, view.tolerated_zones, zones)
        standbys = self._standbys(now, view)
        is_odd = len(members.names) % 2 == 1
        after: set[str] | None = None
        if len(members.names) > size or not is_odd:
            after = without_one_member(members, to_replace, zones, len(members.names) > size)
        if after is None and standbys:
            best = self._best_standby(standbys, members, to_replace, zones)
            grows = len(members.names) < size and (not is_odd or len(standbys) > 1)
            if grows or is_odd and (to_replace or improves_zone_balance(members, best, zones)):
                after = {*members.names, best}
        return after

    def _standbys(self, now: float, view: ClusterView) -> list[str]:
        """Returns the replicas that could join now, according to their reports."""
        return [
            name
            for name, since in sorted(self.standby_since.items())
            if now - since >= (RETURNED_HEALTHY_S if name in self.lost_at else STANDBY_HEALTHY_S)
            and view.is_healthy(view.reports[name].report)
            and self._is_caught_up(view, name)
        ]

    def _best_standby(
        self, standbys: list[str], members: MemberSet, to_replace: list[str], zones: Mapping[str, str]
    ) -> str:
        """Returns a standby of the zone with the fewest remaining members, the one healthy for longest."""
        per_zone = Counter(zones.get(name, "") for name in members.names if name not in to_replace)
        return min(standbys, key=lambda name: (per_zone[zones.get(name, "")], self.standby_since[name], name))

    # The lease.

    def _turn_at(self, view: ClusterView, wanted_change: WantedChange) -> float:
        """Returns when this machine may take the lease.

        The holder comes first and the other members follow in order, each late enough to see that the one
        before it has taken the lease.
        """
        holder = view.lease.content["holder"] if view.lease is not None else None
        candidates = [
            name
            for name in view.members.names
            if name not in self.unreachable_since
            and name not in self.unhealthy_since
            and name in view.reports
            and not view.reports[name].report.leaving
        ]
        order = sorted(candidates, key=lambda name: (name != holder, name))
        return wanted_change.since + TURN_INTERVAL_S * (order.index(self.me) + 0.5 * wanted_change.jitter)

    def _may_take_lease(self, now: float, lease: Item | None) -> bool:
        if lease is None or lease.content == self._lease_content():
            return True
        return now - self.seen_lease.at >= LEASE_S * LEASE_TAKEOVER_FACTOR

    def _lease_content(self) -> dict[str, str]:
        return {"holder": self.me, "life": self.incarnation}

    def _submit(self, now: float, version: int, change: list[Item]) -> list[Item]:
        self.submitted = SubmittedCall(now, version)
        what = "a change" if change else "the lease"
        log_event("members_duty", lease=version, asks=what, failures=self.failures)
        return [Item(LEASE, MEMBERS, version, self._lease_content()), *change]


def _record_since(
    now: float, since: dict[str, float], applies: Callable[[str], bool], members: MemberSet
) -> None:
    """Updates `since`, which has the time since when `applies` has been true for each member."""
    for name in {*since, *members.names}:
        if name in members and applies(name):
            since.setdefault(name, now)
        else:
            since.pop(name, None)
