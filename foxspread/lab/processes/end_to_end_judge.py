"""Judges a run with whole sidecars by what servers and clients saw: each attempt against the version in force
at its moment, each lookup by its one answer in time.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from foxspread.fleet_rules import flat_rules, key_rules
from foxspread.fleet_rules.flat_rules import FlatRules
from foxspread.fleet_rules.version_content import parse_version
from foxspread.lab.processes.end_to_end_server import Attempt
from foxspread.lab.processes.end_to_end_versions import group
from foxspread.lab.processes.fleet_rules_processes import DRIFT, LATE_SECONDS, RunResult

REMAINING_SECONDS = 1.2  # that a client waits
SLACK_SECONDS = 0.1  # that an answer may be late for the lab's own load
LOG_SECONDS = 0.005  # by which a line of a log may be later than the act under it
MAX_FAULTS = 8  # that are reported of a run
STATUS_NAMES = {200: "done", 503: "dismissed", 502: "scrapped", 404: "refused", 0: "none"}
STATED_CATEGORIES = ("docs", "pay", "once")  # in all versions: lookups of these have to be done


@dataclass
class ClientCall:
    """A lookup as its client saw it. `status`: 0 for no answer; `excused`: its sidecar was stopped or ended
    meanwhile."""

    at: float
    sidecar: str
    category: str
    status: int = 0
    took: float = 0.0
    error: str = ""
    id: str = ""
    excused: bool = False


@dataclass(frozen=True)
class InForce:
    """Since when a version is in force, by the first line of any sidecar's log that names it."""

    at: float
    version: int


@dataclass
class EndToEndResult(RunResult):
    """What one run gave. `lookups`: by how they ended. `slowest_change`: ms that a change of rules took in
    any sidecar. `shares`: by second, the share done of lookups that had to be, and of how many."""

    lookups: dict[str, int] = field(default_factory=dict)
    hand_offs: int = 0
    repeats: int = 0
    slowest_change: float = 0.0
    shares: list[tuple[int, float, int]] = field(default_factory=list)

    def as_row(self) -> dict[str, Any]:
        """In the form that `--json` prints and the journal keeps, by its first spelling."""
        return super().as_row() | {
            "lookups": self.lookups,
            "hand_offs": self.hand_offs,
            "repeats": self.repeats,
            "first_in_force": {},
            "slowest_change": self.slowest_change,
            "shares": self.shares,
        }


class AttemptJudge:
    """`in_force`: by phase. `lease`: seconds."""

    def __init__(
        self, result: EndToEndResult, in_force: dict[int, InForce], texts: dict[int, bytes], lease: float
    ) -> None:
        self.result, self.lease = result, lease
        self.texts = texts
        self.first_at = min((each.at for each in in_force.values()), default=float("inf"))
        self.steps = _steps(in_force)
        self.rules_since = [(step.at, self._rules(step)) for step in self.steps]

    def _rules(self, step: InForce) -> FlatRules:
        return parse_version(self.texts[step.version]).rules

    def judge(self, attempts: list[Attempt]) -> None:
        """All attempts, in the order in which servers saw them."""
        following = deque(self.steps)
        rules: FlatRules | None = None
        changed: dict[str, float] = {}  # by key, since when it has its value
        by_lookup: dict[str, list[Attempt]] = {}
        for attempt in sorted(attempts, key=lambda attempt: attempt.at):
            while following and following[0].at + LATE_SECONDS < attempt.at:
                step = following.popleft()
                new = self._rules(step)
                changed |= {key: step.at for key, value in new.items() if rules and rules.get(key) != value}
                rules = new
            earlier = by_lookup.setdefault(attempt.lookup, [])
            if rules is None:
                if attempt.at < self.first_at - LOG_SECONDS:
                    self._report(f"{attempt.lookup} handed off before there were rules")
            else:
                self._judge_attempt(attempt, earlier, rules, list(following), changed)
            earlier.append(attempt)
            self.result.repeats += len(earlier) > 1
        for same in by_lookup.values():
            self._judge_lookup(same)

    def _report(self, text: str) -> None:
        if len(self.result.faults) < MAX_FAULTS:
            self.result.faults.append(text)

    def _judge_attempt(
        self,
        attempt: Attempt,
        earlier: list[Attempt],
        rules: FlatRules,
        following: list[InForce],
        changed: dict[str, float],
    ) -> None:
        violations = self._violations(attempt, earlier, rules)
        for step in following:  # on the next ones already, which came into force a moment ago
            if step.at < attempt.at + LOG_SECONDS and violations:
                violations = self._violations(attempt, earlier, self._rules(step))
        for path, text in violations:
            after = attempt.at - changed.get(path, 0.0)
            if key_rules.is_switch(path):
                longest = self.result.longest_violations.get(path, 0.0)
                self.result.longest_violations[path] = max(longest, after)
                if after <= self.lease * DRIFT + LATE_SECONDS:
                    continue
            self._report(f"{attempt.at:.3f} {attempt.lookup}: {text}; {path} so for {after:.3f} s")

    def _judge_lookup(self, attempts: list[Attempt]) -> None:
        first = attempts[0]
        if first.category == "once" and sum(attempt.ran for attempt in attempts) > 1:
            self.result.faults.append(f"{first.lookup} is irreversible and ran twice")
        if first.category == "old":
            self.result.faults.append(f"{first.lookup} was handed off by rules that were never agreed on")

    def _violations(
        self, attempt: Attempt, earlier: list[Attempt], rules: FlatRules
    ) -> list[tuple[str, str]]:
        """What of this attempt these rules forbid: the key, and what was seen."""
        row = f"settings.categories.{attempt.category}."
        if row not in rules:
            return [(row, "handed off, and its category is not there")]
        violations = []
        limit = rules["settings.limits.max_hand_offs"]
        if len(earlier) >= limit:
            text = f"hand-off {len(earlier) + 1} of at most {limit}"
            violations.append(("settings.limits.max_hand_offs", text))
        open_attempts = [each for each in earlier if each.over > attempt.at + LATE_SECONDS]
        if open_attempts and not rules["settings.limits.parallel_tries"]:
            text = f"a copy while {open_attempts[0].server} has it"
            violations.append(("settings.limits.parallel_tries", text))
        if attempt.server in rules["lists.taken_out"]:
            violations.append(("lists.taken_out", f"sent to {attempt.server}"))
        server_row = f"{flat_rules.SERVERS}{attempt.server}."
        if rules["lists.source"] == "here" and server_row not in rules:
            violations.append((server_row, "sent to, and not in the list"))
        ran = [each for each in earlier if each.ran]
        if ran and rules[row + "semantics"] == "single_shot":
            violations.append((row + "semantics", "repeated"))
        elif ran and rules[row + "semantics"] == "guarded":
            violations += self._repeat_violations(row, ran[0], attempt, rules)
        return violations

    def _repeat_violations(
        self, row: str, first: Attempt, attempt: Attempt, rules: FlatRules
    ) -> list[tuple[str, str]]:
        """Of a repeat that servers are to recognise."""
        violations = []
        after = attempt.at - first.at
        if after > rules[row + "repeat_window_us"] / 1e6:
            violations.append((row + "repeat_window_us", f"repeated after {after:.3f} s"))
        one, other = group(rules, first.server), group(rules, attempt.server)
        rules_then = self._rules_at(first.at + LATE_SECONDS)
        for server, now in ((first.server, one), (attempt.server, other)):
            if (then := group(rules_then, server)) != now:
                path = f"{flat_rules.SERVERS}{server}.cell"
                violations.append((path, f"repeated after {server} went from {then} to {now}"))
        scope = rules[row + "key_scope"]
        if scope != "all" and one[1:] != other[1:] and (scope == "cell" or one[1] != other[1]):
            violations.append((row + "key_scope", f"repeated from {one} to {other}, {scope}"))
        return violations

    def _rules_at(self, moment: float) -> FlatRules:
        first = self.rules_since[0][1]
        return next((rules for at, rules in reversed(self.rules_since) if at <= moment), first)


def _steps(in_force: dict[int, InForce]) -> list[InForce]:
    """In the order of time; a line that came late to an older phase changes nothing."""
    steps, latest = [], 0
    for phase, step in sorted(in_force.items(), key=lambda item: (item[1].at, item[1].version)):
        if phase > latest:
            steps.append(step)
            latest = phase
    return steps


def judge_calls(result: EndToEndResult, calls: list[ClientCall]) -> None:
    """What clients saw: each lookup has one answer, in time."""
    seconds: dict[int, list[bool]] = {}
    for each in calls:
        name = STATUS_NAMES.get(each.status, str(each.status))
        result.lookups[name] = result.lookups.get(name, 0) + 1
        if each.category in STATED_CATEGORIES and not each.excused:
            seconds.setdefault(int(each.at), []).append(each.status == 200)
        if each.excused or len(result.faults) >= MAX_FAULTS:
            continue
        where = f"{each.at:.3f} {each.id} {each.category}"
        if each.status not in STATUS_NAMES or not each.status:
            result.faults.append(f"{where}: answer {each.status} {each.error}")
        elif each.took > REMAINING_SECONDS + SLACK_SECONDS:
            result.faults.append(f"{where}: after {each.took:.3f} s")
    result.shares = [(at, round(sum(row) / len(row), 4), len(row)) for at, row in sorted(seconds.items())]
