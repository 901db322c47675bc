"""Broken ways to act on fleet rules. Each breaks one thing that a sidecar or a coordinator must do, and is to
be caught by the invariant that stands beside it, from acts alone. `newest` is how a fleet without leases does
it: each acts on the newest version that it has heard of, for ever.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.raft import Role
from foxspread.fleet_rules.codec import AloneState, LeaseGrant, LeaseRequest
from foxspread.fleet_rules.flat_rules import FlatRules
from foxspread.fleet_rules.leader_state import HolderStatus, LeaderState
from foxspread.fleet_rules.lease_holder import EffectiveRules, LeaseHolder, Mode
from foxspread.fleet_rules.lease_manager import LeaseManager
from foxspread.fleet_rules.rollout import LeaseTerms, Rollout
from foxspread.fleet_rules.version_content import VersionContent
from foxspread.lab.processes import fleet_rules_simulation
from foxspread.lab.processes.fleet_rules_simulation import Broken, FleetRulesPlan, Result


class FromAnswer(LeaseHolder):
    """Counts a lease from the answer, not from the request."""

    def _expiry(self, sent_at: float, now: float, seconds: float) -> float:
        return now + seconds * (1 - self.drift)


class NoDrift(LeaseHolder):
    """Takes its clock for the coordinators' clock."""

    def _expiry(self, sent_at: float, now: float, seconds: float) -> float:
        return sent_at + seconds


class ChecksEarly(LeaseHolder):
    """Checks whether it may act when it decides, and not again when it acts."""

    def may_act(self, now: float, decided: EffectiveRules) -> bool:
        """Without a look at the present."""
        return decided.mode is not Mode.NONE


class ConfirmsEarly(LeaseHolder):
    """Confirms a phase when it hears of it, before it acts so."""

    heard_phase = 0
    delayed_until = -100.0

    def request_due(self, now: float) -> LeaseRequest | None:
        """Says the phase that it has heard of."""
        request = super().request_due(now)
        return request and replace(request, phase=max(request.phase, self.heard_phase))

    def on_grant(self, now: float, request: LeaseRequest, grant: LeaseGrant) -> None:
        """Is busy, and takes the phase up a second later."""
        self.heard_phase = max(self.heard_phase, grant.phase)
        if grant.phase > self.phase and self.in_force and now < self.lease_until:
            if self.delayed_until < now - 5:
                self.delayed_until = now + 1.0
            if now < self.delayed_until:
                return self.request_now(now + 0.05)
        super().on_grant(now, request, grant)


@dataclass(frozen=True)
class SavedLease:
    """What `ResumesLease` keeps over a restart."""

    phase: int
    in_force: int
    announced: int
    rules: FlatRules
    contents: dict[int, VersionContent]


SAVED_LEASES: dict[str, SavedLease] = {}  # by a sidecar's name


class ResumesLease(LeaseHolder):
    """Acts on after a restart as before it, by the file that it kept."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        restored: AloneState | None = arguments[-1]
        saved = SAVED_LEASES.get(self.holder_id.partition("/")[0])
        if restored is not None and saved is not None:
            self.phase, self.in_force, self.announced = saved.phase, saved.in_force, saved.announced
            self.rules, self.lease_until, self.contents = saved.rules, float("inf"), saved.contents

    def _apply_pending(self, now: float) -> None:
        super()._apply_pending(now)
        SAVED_LEASES[self.holder_id.partition("/")[0]] = SavedLease(
            self.phase, self.in_force, self.announced, self.rules, dict(self.contents)
        )


class AcceptsOlder(LeaseHolder):
    """Goes back to an older phase when an answer comes late."""

    def on_grant(self, now: float, request: LeaseRequest, grant: LeaseGrant) -> None:
        """Forgets its phase first."""
        if grant.phase < self.phase and grant.in_force:
            self.phase = 0
        super().on_grant(now, request, grant)


class Newest(LeaseHolder):
    """No leases: the newest version that it has heard of, for ever."""

    def on_grant(self, now: float, request: LeaseRequest, grant: LeaseGrant) -> None:
        """As of a lease without end."""
        super().on_grant(now, request, replace(grant, lease=1e9))


class DoesntWait(LeaseManager):
    """A new leader takes the next step at once."""

    def _take_steps(self, now: float) -> None:
        raft = self.raft
        if raft.role is Role.LEADER and (
            self.leader_state is None or self.leader_state.term != raft.current_term
        ):
            self.leader_state = LeaderState(raft.current_term, now)
            self.phase_changed_at = -1e9
        super()._take_steps(now)


class Unverified(LeaseManager):
    """Grants leases on what it knows itself, without asking whether that is the latest."""

    def request_lease(self, now: float, token: int, request: LeaseRequest) -> None:
        """Answers at once."""
        super().request_lease(now, token, request)
        if request.holder_id in self.rollout.holders and self.requests.remove(token) is not None:
            self.answers.append(Answer(token, Status.DONE, self.current_grant(), self.raft.leader_id))


class ForgetsRemoved(LeaseManager):
    """Takes a holder of which nothing was heard for half a lease for gone, with all that it was granted."""

    def _remove_timed_out(self, now: float, leader_state: LeaderState) -> None:
        for holder in list(self.rollout.holders):
            if now - leader_state.last_received_at.get(holder, leader_state.since) > 0.5 * self.terms.lease:
                leader_state.statuses[holder] = HolderStatus(self.rollout.phase)


class LooseAlone(Rollout):
    """Doesn't check whether a sidecar that is alone would do what a version forbids."""

    def incompatibility(self, number: int) -> str:
        """Finds nothing."""
        return ""


class ForcesAtOnce(LeaseManager):
    """Takes the second step with the first."""

    def _all_confirmed(self, now: float, leader_state: LeaderState) -> bool:
        return True


@dataclass(frozen=True)
class Mutant:
    """A broken part, the invariants that are to catch it, and what its plan has of its own."""

    broken: Broken
    rules: tuple[str, ...]
    plan: dict[str, Any] = field(default_factory=dict)


WILD_TERMS = LeaseTerms(lease=1.5, alone=4.0, drift=0.1)  # clocks that run a tenth fast or slow
PARTITIONS = {"faults": ("car_silent", "car_in", "car_out", "cars_cut"), "max_faults": 12}
MUTANTS: dict[str, Mutant] = {
    "from_answer": Mutant(
        Broken(holder=FromAnswer),
        ("in_force", "bound"),
        {"faults": ("held", "car_stall", "cars_cut", "car_silent"), "max_faults": 14},
    ),
    "no_drift": Mutant(
        Broken(holder=NoDrift),
        ("in_force", "bound"),
        {"faults": ("cars_cut",), "max_faults": 24, "acts": 20.0, "think_time": 0.6, "terms": WILD_TERMS},
    ),
    "checks_early": Mutant(Broken(holder=ChecksEarly), ("in_force", "bound", "none_yet")),
    "confirms_early": Mutant(
        Broken(holder=ConfirmsEarly), ("in_force", "bound"), {"acts": 20.0, "think_time": 0.8}
    ),
    "goes_back": Mutant(
        Broken(holder=ResumesLease),
        ("in_force", "bound", "none_yet"),
        {"faults": ("car_restart", "cars_cut", "car_restart", "car_silent"), "max_faults": 18, "acts": 20.0},
    ),
    "takes_older": Mutant(
        Broken(holder=AcceptsOlder), ("in_force", "bound"), {"faults": ("held", "loss"), "max_faults": 8}
    ),
    "newest": Mutant(Broken(holder=Newest), ("in_force", "bound"), PARTITIONS),
    "doesnt_wait": Mutant(
        Broken(manager=DoesntWait),
        ("in_force", "bound"),
        {"faults": ("kill", "away", "cars_cut", "car_silent"), "max_faults": 14},
    ),
    "unverified": Mutant(
        Broken(manager=Unverified), ("in_force", "bound"), {"faults": ("silent", "silent_in", "split")}
    ),
    "forgets_closed": Mutant(Broken(manager=ForgetsRemoved), ("in_force", "bound"), PARTITIONS),
    "loose_alone": Mutant(Broken(rollout=LooseAlone), ("in_force",), PARTITIONS),
    "forces_at_once": Mutant(Broken(manager=ForcesAtOnce), ("in_force", "bound")),
    "suspended_clock": Mutant(
        Broken(stops_suspended=True),
        ("in_force", "bound"),
        {"faults": ("car_stall", "cars_cut", "car_out"), "max_faults": 14, "acts": 20.0},
    ),
}


def run_seed(plan: FleetRulesPlan, seed: int, mutant: str) -> Result:
    """One seed with a broken part; empty: the sound ones."""
    if not mutant:
        return fleet_rules_simulation.run_seed(plan, seed)
    kind = MUTANTS[mutant]
    SAVED_LEASES.clear()
    return fleet_rules_simulation.run_seed(replace(plan, **kind.plan), seed, kind.broken)


def caught(name: str, seeds: range, base: FleetRulesPlan = FleetRulesPlan()) -> Iterator[Result]:
    """Runs that break an invariant."""
    for seed in seeds:
        result = run_seed(base, seed, name)
        if result.faults:
            yield result
