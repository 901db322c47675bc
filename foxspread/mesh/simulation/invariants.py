"""Invariants of a run, checked only against the answers to clients and the items that processes show.

The checker does not depend on the protocol, so a misunderstanding of it can't hide a defect of the protocol
classes. The invariants are linearizability of the configuration's items, and availability. Each rule reports
its first violation only.
"""

from collections.abc import Iterable

import orjson

from foxspread.mesh.configuration.consistency import find_inconsistency
from foxspread.mesh.configuration.items import LEASE, MEMBERS, Item, Key, is_for_sidecars
from foxspread.mesh.errors import Failure
from foxspread.mesh.simulation.events import format_item
from foxspread.mesh.simulation.observations import Call, FaultPeriod, Recovery, Submission, Violation

ANSWER_LIMIT_S = 4.0  # time limit of an answer from a machine without a fault
FRESHNESS_LIMIT_S = 4.0  # no process shows items, or is ready, without an item that was known for longer
RECOVERY_LIMIT_S = 5.0  # time limit of the first answer of a recovered machine
RETAINED_VERSIONS = 32  # a call that this many newer versions supersede need not get a definite answer

Content = tuple[Key, int, bytes]  # key, version and serialised content of an item


def _content_of(item: Item) -> Content:
    return item.key, item.version, orjson.dumps(item.content, option=orjson.OPT_SORT_KEYS)


class InvariantChecker:
    """Collects the observations of processes and clients, and records the violations that they show."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.now = 0.0  # seconds of the run, set by callers before each report
        self.calls: list[Call] = []
        self.shown_items: dict[str, dict[Key, Item]] = {}  # by incarnation of a process
        self.recoveries: list[Recovery] = []
        self.fault_periods: list[FaultPeriod] = []
        # Serialised contents, and the process where each was seen first.
        self._in_force: dict[tuple[Key, int], tuple[bytes, str]] = {}
        # Serialised contents that were acknowledged or read, and the machine that answered.
        self._confirmed: dict[tuple[Key, int], tuple[bytes, str]] = {}
        self._ever_in_force: set[Content] = set()
        self._versions: dict[Key, set[int]] = {}  # versions that were in force or confirmed
        self._newest: dict[Key, Item] = {}  # newest acknowledged or read version of each item
        self._newest_since: list[tuple[float, Item]] = []  # when each item became the newest
        self._required_count = 0  # how many of these every process has to have by now
        self._required: dict[Key, Item] = {}  # newest versions among these
        self._member_sets: dict[int, set[str]] = {}  # by epoch
        self._lease_users: dict[int, str] = {}  # by version of the lease
        self._submissions: dict[frozenset[Content], Submission] = {}

    def record_violation(self, rule: str, text: str) -> None:
        """Records the violation of a rule, unless the rule has been violated before."""
        if all(each.rule != rule for each in self.violations):
            self.violations.append(Violation(rule, text, self.now))

    # Observations of processes.

    def incarnation_started(self, process: str) -> None:
        """Begins a new incarnation of a process, which may show older items than the last one."""
        self.shown_items[process] = {}

    def observe_items(self, process: str, new: Iterable[Item]) -> None:
        """Checks items that a process shows as in force."""
        shown = self.shown_items[process]
        before, changed = dict(shown), {}
        for item in new:
            self._check_in_force(process, item)
            old = shown.get(item.key)
            if old is not None and old.version > item.version:
                self.record_violation(
                    "no way back", f"{process} showed {format_item(old)}, then {format_item(item)}"
                )
            shown[item.key] = changed[item.key] = item
            if item.kind == MEMBERS:
                self._check_membership_step(process, item)
        if changed and (why := find_inconsistency(before, changed)) is not None:
            self.record_violation("consistent", f"{process}: {why.reason}")

    def _check_in_force(self, process: str, item: Item) -> None:
        """Checks that each version has one content, in force and confirmed."""
        key, version, packed = content = _content_of(item)
        self._ever_in_force.add(content)
        self._versions.setdefault(key, set()).add(version)
        first = self._in_force.setdefault((key, version), (packed, process))
        for other_packed, where in (first, self._confirmed.get((key, version), first)):
            if other_packed != packed:
                text = f"{format_item(item)} at {process}, another content at {where}"
                self.record_violation("one content", text)

    def _check_membership_step(self, process: str, item: Item) -> None:
        """Checks that the set of members changes by one machine at a time."""
        self._member_sets[item.version] = set(item.content["of"])
        if item.version > 1 and item.version - 1 not in self._member_sets:
            text = f"{process}: members r{item.version}, and nobody showed the one before"
            self.record_violation("one at a time", text)
        for version in (item.version - 1, item.version):
            old, new = self._member_sets.get(version), self._member_sets.get(version + 1)
            if old is not None and new is not None and len(old ^ new) != 1:
                text = f"{process}: members {sorted(old)}, then {sorted(new)}"
                self.record_violation("one at a time", text)

    def observe_lease_use(self, machine: str, items: list[Item], outcome: bool | Failure) -> None:
        """Checks that only one machine acquired each version of a lease, by an acknowledged call."""
        for item in items:
            if item.kind == LEASE and outcome is True:
                other = self._lease_users.setdefault(item.version, machine)
                if other != machine:
                    text = f"lease {item.version} was acted on by {other} and by {machine}"
                    self.record_violation("one holder", text)

    def check_freshness(self, process: str, action: str, items: dict[Key, Item]) -> None:
        """Checks that a process that acts on these items has all that was known `FRESHNESS_LIMIT_S` ago."""
        self._update_required()
        for key, item in self._required.items():
            present = items.get(key)
            if present is None or present.version < item.version:
                basis = format_item(present) if present is not None else "nothing"
                text = f"{process} {action} by {basis}: {format_item(item)} was known long before"
                self.record_violation("nothing old", text)

    def _update_required(self) -> None:
        limit = self.now - FRESHNESS_LIMIT_S
        while (
            self._required_count < len(self._newest_since)
            and self._newest_since[self._required_count][0] <= limit
        ):
            item = self._newest_since[self._required_count][1]
            self._required[item.key] = item
            self._required_count += 1

    # Answers to clients.

    def lowest_read_versions(self) -> dict[Key, Item]:
        """Returns the lowest versions that a read that begins now may return."""
        return dict(self._newest)

    def call_ended(self, call: Call, outcome: bool | Failure) -> None:
        """Records the definite answer that the client of a call received."""
        call.ended_at, call.outcome = self.now, outcome

    def observe_answer(self, items: tuple[Item, ...], outcome: bool | Failure, by: str) -> None:
        """Checks an answer to these items, or to a copy of the call. A definite answer must never change."""
        if not items or (isinstance(outcome, Failure) and outcome.status >= 500):
            return
        submission = self._submissions.setdefault(frozenset(map(_content_of, items)), Submission(items))
        where = f"{by} at {self.now:.3f}"
        if isinstance(outcome, Failure):
            submission.refused.append(f"{where} ({outcome.reason})")
        else:
            submission.acknowledged.append(where)
            for item in items:
                self._observe_confirmed(item, by)
        if submission.acknowledged and submission.refused:
            answers = f"taken by {submission.acknowledged[0]}, refused by {submission.refused[0]}"
            self.record_violation("one answer", f"{' '.join(map(format_item, items))}: {answers}")

    def check_read(
        self, call: Call, lowest_versions: dict[Key, Item], at: str, items: dict[Key, Item]
    ) -> None:
        """Checks that a read returned everything that was known when it began."""
        for key, required in lowest_versions.items():
            item = items.get(key)
            if item is None or item.version < required.version:
                present = format_item(item) if item is not None else "nothing"
                text = f"{call} at {at} began after {format_item(required)} was known: has {present}"
                self.record_violation("nothing lost", text)
        for item in items.values():
            self._observe_confirmed(item, at)

    def _observe_confirmed(self, item: Item, by: str) -> None:
        """Checks that each version keeps one content, even when a newer version supersedes it."""
        key, version, packed = _content_of(item)
        for contents, state in ((self._confirmed, "confirmed"), (self._in_force, "in force")):
            other = contents.get((key, version))
            if other is not None and other[0] != packed:
                self.record_violation(
                    "one content", f"{format_item(item)} by {by}, another was {state} at {other[1]}"
                )
        self._confirmed.setdefault((key, version), (packed, by))
        self._versions.setdefault(key, set()).add(version)
        old = self._newest.get(key)
        if old is None or old.version < version:
            self._newest[key] = item
            self._newest_since.append((self.now, item))

    # Faults, and checks at the end of a run.

    def fault_began(self, machine: str | None) -> FaultPeriod:
        """Begins a fault, in which a machine (all machines if None) need not answer in time."""
        period = FaultPeriod(self.now, None, machine)
        self.fault_periods.append(period)
        return period

    def fault_ended(self, period: FaultPeriod) -> None:
        """Ends a fault, unless it has ended before."""
        if period.ended_at is None:
            period.ended_at = self.now

    def recovery_began(self, machine: str) -> Recovery:
        """Records the end of a machine's fault; the caller sets `served_at` at its first answer."""
        recovery = Recovery(machine, self.now)
        self.recoveries.append(recovery)
        return recovery

    def check_convergence(self, processes: Iterable[str]) -> None:
        """Checks that all these processes show the same items, after a period without faults."""
        shown_by = {
            process: {
                key: item for key, item in self.shown_items.get(process, {}).items() if is_for_sidecars(item)
            }
            for process in processes
        }
        newest: dict[Key, Item] = {}
        for shown in shown_by.values():
            for key, item in shown.items():
                if key not in newest or newest[key].version < item.version:
                    newest[key] = item
        for process, shown in shown_by.items():
            if shown != newest:
                lacks = [format_item(item) for key, item in newest.items() if shown.get(key) != item]
                self.record_violation("all alike", f"{process} lacks {', '.join(lacks)}")

    def finish(self) -> None:
        """Makes the checks that are possible only at the end of a run."""
        self._check_refused()
        self._check_answered()
        self._check_recovered()

    def _check_refused(self) -> None:
        """Checks that a refused call never came into force, not even by a copy of it."""
        refused: dict[Content, Submission] = {}
        for submission in self._submissions.values():
            if submission.refused:
                refused.update((_content_of(item), submission) for item in submission.items)
        for call in self.calls:
            answered = self._submissions.get(frozenset(map(_content_of, call.items)))
            if answered is None or not answered.refused:
                for item in call.items:
                    refused.pop(_content_of(item), None)
        for content, submission in refused.items():
            if content in self._ever_in_force:
                items = " ".join(map(format_item, submission.items))
                text = f"{items}: refused by {submission.refused[0]}, and was in force"
                self.record_violation("refused is nowhere", text)

    def _check_answered(self) -> None:
        """Checks that the first attempt of a call at a machine without a fault was answered in time."""
        for call in self.calls:
            for started_at, machine in call.attempts:
                deadline = started_at + ANSWER_LIMIT_S
                if deadline <= self.now and not self._had_fault(machine, started_at, deadline):
                    answered_at = call.ended_at if call.first_answer_at is None else call.first_answer_at
                    is_late = answered_at is None or answered_at > deadline
                    if is_late and not self._is_superseded(call):
                        text = f"{call} at {machine} at {started_at:.3f}: no answer in time"
                        self.record_violation("answered", text)
                    break

    def _is_superseded(self, call: Call) -> bool:
        """Returns whether so many newer versions exist that replicas need not retain the call's outcome."""
        return any(
            sum(version > item.version for version in self._versions.get(item.key, ())) >= RETAINED_VERSIONS
            for item in call.items
        )

    def _check_recovered(self) -> None:
        for recovery in self.recoveries:
            deadline = recovery.since + RECOVERY_LIMIT_S
            # The machine's own fault ends as recovery begins, so it must not count here.
            if deadline > self.now or self._had_fault(recovery.machine, recovery.since + 1e-6, deadline):
                continue
            if recovery.served_at is None or recovery.served_at > deadline:
                text = f"{recovery.machine} is back at {recovery.since:.3f}: no answer in time"
                self.record_violation("of use again", text)

    def _had_fault(self, machine: str, start: float, end: float) -> bool:
        return any(period.affects(machine, start, end) for period in self.fault_periods)
