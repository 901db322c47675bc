"""Broken ways to act on agreed rules. Each breaks one thing that a sidecar or a coordinator must do, and is
to be caught by the rule that stands beside it, from acts alone. `newest` is how a fleet without leases does
it: each acts on the newest version that it has heard of, for ever.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.fleet_rules.rollout import Course, Terms
from foxspread.fleet_rules.lease_holder import Acting, Ask, Grant, Holder, Kept, Mode
from foxspread.fleet_rules.lease_manager import Heard, Lead, Steward
from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.core import Role
from foxspread.lab.processes import fleet_rules_simulation
from foxspread.lab.processes.fleet_rules_simulation import AgreedPlan, Broken, Result


class FromAnswer(Holder):
    """Counts a lease from the answer, not from the asking."""

    def _until(self, asked: float, now: float, seconds: float) -> float:
        return now + seconds * (1 - self.drift)


class NoDrift(Holder):
    """Takes its clock for the coordinators' clock."""

    def _until(self, asked: float, now: float, seconds: float) -> float:
        return asked + seconds


class ChecksEarly(Holder):
    """Looks whether it may act when it decides, and not again when it acts."""

    def may(self, now: float, decided: Acting) -> bool:
        return decided.mode is not Mode.NONE


class ConfirmsEarly(Holder):
    """Confirms a phase when it hears of it, before it acts so."""

    def ask(self, now: float) -> Ask | None:
        ask = super().ask(now)
        return ask and replace(ask, phase=max(ask.phase, self.heard))

    heard = 0

    def answered(self, now: float, ask: Ask, grant: Grant) -> None:
        self.heard = max(self.heard, grant.phase)
        if grant.phase > self.phase and self.settled and now < self.until:
            if self.delayed_until < now - 5:
                self.delayed_until = now + 1.0
            if now < self.delayed_until:  # it is busy, and takes the phase up later
                return self.soon(now + 0.05)
        super().answered(now, ask, grant)

    delayed_until = -100.0


class GoesBack(Holder):
    """Acts on after a restart as before it, by the file that it kept."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        kept: Kept | None = told[-1]
        if kept is not None and (lease := LEASES.get(self.id.partition("/")[0])) is not None:
            self.phase, self.settled, self.next, self.rules, self.until, self.contents = lease

    def _adopt(self, now: float) -> None:
        super()._adopt(now)
        LEASES[self.id.partition("/")[0]] = (
            self.phase,
            self.settled,
            self.next,
            self.rules,
            float("inf"),
            dict(self.contents),
        )


LEASES: dict[str, tuple] = {}


class TakesOlder(Holder):
    """Goes back to an older phase when an answer comes late."""

    def answered(self, now: float, ask: Ask, grant: Grant) -> None:
        if grant.phase < self.phase and grant.settled:
            self.phase = 0
        super().answered(now, ask, grant)


class Newest(Holder):
    """No leases: the newest version that it has heard of, for ever."""

    def answered(self, now: float, ask: Ask, grant: Grant) -> None:
        super().answered(now, ask, replace(grant, lease=1e9))


class DoesntWait(Steward):
    """One that leads anew takes the next step at once."""

    def _lead(self, now: float) -> None:
        if self.member.role is Role.LEADER and (self.lead is None or self.lead.term != self.member.term):
            self.lead = Lead(self.member.term, now)
            self.phase_at = -1e9
        super()._lead(now)


class Unverified(Steward):
    """Gives leases on what it knows itself, without asking whether that is the latest."""

    def ask(self, now: float, token: int, ask: Ask) -> None:
        super().ask(now, token, ask)
        if ask.holder in self.course.holders and self.asks.pop(token, None) is not None:
            self.answers.append(Answer(token, Status.DONE, self.grant(), self.member.leader))


class ForgetsClosed(Steward):
    """Takes one of which nothing was heard for half a lease for gone, with all that it was given."""

    def _close(self, now: float, lead: Lead) -> None:
        for each in list(self.course.holders):
            if now - lead.heard.get(each, lead.since) > 0.5 * self.terms.lease:
                lead.told[each] = Heard(self.course.phase)


class LooseAlone(Course):
    """Doesn't look whether one alone would do what a version forbids."""

    def unfit(self, number: int) -> str:
        return ""


class ForcesAtOnce(Steward):
    """Takes the second step with the first."""

    def _all_confirmed(self, now: float, lead: Lead) -> bool:
        return True


@dataclass(frozen=True)
class Mutant:
    broken: Broken
    rules: tuple[str, ...]
    plan: dict[str, Any] = field(default_factory=dict)


WILD = Terms(lease=1.5, alone=4.0, drift=0.1)  # clocks that run a tenth fast or slow
CUT = {"faults": ("car_silent", "car_in", "car_out", "cars_cut"), "most": 12}
MUTANTS: dict[str, Mutant] = {
    "from_answer": Mutant(
        Broken(holder=FromAnswer),
        ("in_force", "bound"),
        {"faults": ("held", "car_stall", "cars_cut", "car_silent"), "most": 14},
    ),
    "no_drift": Mutant(
        Broken(holder=NoDrift),
        ("in_force", "bound"),
        {"faults": ("cars_cut",), "most": 24, "acts": 20.0, "pause": 0.6, "terms": WILD},
    ),
    "checks_early": Mutant(Broken(holder=ChecksEarly), ("in_force", "bound", "none_yet")),
    "confirms_early": Mutant(
        Broken(holder=ConfirmsEarly), ("in_force", "bound"), {"acts": 20.0, "pause": 0.8}
    ),
    "goes_back": Mutant(
        Broken(holder=GoesBack),
        ("in_force", "bound", "none_yet"),
        {"faults": ("car_restart", "cars_cut", "car_restart", "car_silent"), "most": 18, "acts": 20.0},
    ),
    "takes_older": Mutant(
        Broken(holder=TakesOlder), ("in_force", "bound"), {"faults": ("held", "loss"), "most": 8}
    ),
    "newest": Mutant(Broken(holder=Newest), ("in_force", "bound"), CUT),
    "doesnt_wait": Mutant(
        Broken(steward=DoesntWait),
        ("in_force", "bound"),
        {"faults": ("kill", "away", "cars_cut", "car_silent"), "most": 14},
    ),
    "unverified": Mutant(
        Broken(steward=Unverified), ("in_force", "bound"), {"faults": ("silent", "silent_in", "split")}
    ),
    "forgets_closed": Mutant(Broken(steward=ForgetsClosed), ("in_force", "bound"), CUT),
    "loose_alone": Mutant(Broken(course=LooseAlone), ("in_force",), CUT),
    "forces_at_once": Mutant(Broken(steward=ForcesAtOnce), ("in_force", "bound")),
    "suspended_clock": Mutant(
        Broken(stops_suspended=True),
        ("in_force", "bound"),
        {"faults": ("car_stall", "cars_cut", "car_out"), "most": 14, "acts": 20.0},
    ),
}


def caught(name: str, seeds: range, base: AgreedPlan = AgreedPlan()) -> Iterator[Result]:
    """Runs that break a rule."""
    mutant = MUTANTS[name]
    for seed in seeds:
        LEASES.clear()
        result = fleet_rules_simulation.played(replace(base, **mutant.plan), seed, mutant.broken)
        if result.faults:
            yield result
