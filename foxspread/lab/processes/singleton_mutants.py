"""Broken ways to hold a singleton role, each to be caught by the invariant that stands beside it."""

from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.consensus.coordinator import Answer, Status
from foxspread.lab.processes import singleton_simulation
from foxspread.lab.processes.singleton_simulation import OTHER_FAULTS, Broken, Result, SingletonPlan
from foxspread.singleton.fencing import FencingGuard
from foxspread.singleton.lease_holder import NO_LEASE, RoleLeaseHolder, RoleLeaseRequest
from foxspread.singleton.lease_manager import RoleLeaseManager


class ChecksEarly(RoleLeaseHolder):
    """Checks whether it may act when it decides, and not again when it acts."""

    def fencing_token(self, now: float, role: str) -> int:
        """As if the lease ran for three seconds more."""
        lease = self.roles.get(role, NO_LEASE)
        return lease.token if now < lease.until + 3.0 else 0


class FromAnswer(RoleLeaseHolder):
    """Counts a lease from the answer."""

    def _expiry(self, sent_at: float, now: float, seconds: float) -> float:
        return now + seconds


class ForgetsRelease(RoleLeaseHolder):
    """A late answer gives it back what it has released."""

    def release(self, role: str) -> None:
        """Forgets that it did."""
        super().release(role)
        self.released_tokens.clear()


class NoDelay(RoleLeaseManager):
    """Assigns a role whose holder is suspected to the next at once."""

    def _reassignment_delay(self, lease: float) -> float:
        return 0.0


class Unverified(RoleLeaseManager):
    """Answers by what it knows, without asking whether that is the latest."""

    def request_roles(self, now: float, token: int, request: RoleLeaseRequest | None) -> None:
        """Answers at once."""
        super().request_roles(now, token, request)
        if self.role_requests.remove(token) is not None:
            answer = self.role_grant(request)
            self.answers.append(Answer(token, Status.DONE, answer, self.raft.leader_id))


class Unguarded(FencingGuard):
    """Doesn't look at tokens."""

    def admit(self, role: str, token: int) -> bool:
        """Always."""
        return True


class Trusting(FencingGuard):
    """A receiver that was wiped obeys the first order that comes."""

    def admit(self, role: str, token: int) -> bool | None:
        """Takes nothing known for no token given."""
        self.highest_tokens = self.highest_tokens or {}
        return super().admit(role, token)


@dataclass(frozen=True)
class Mutant:
    """A broken part, the invariants that are to catch it, and what its plan has of its own."""

    broken: Broken
    rules: tuple[str, ...]
    plan: dict[str, Any] = field(default_factory=dict)


BUSY = {"instances": 3, "acts": 12.0, "late_share": 0.2, "receivers": 2, "max_faults": 30}
PROCESS_FAULTS = ("car_stall", "car_silent", "car_out", "car_in", "cars_cut")
MUTANTS: dict[str, Mutant] = {
    "unguarded": Mutant(Broken(guard=Unguarded), ("fenced",), {"faults": PROCESS_FAULTS}),
    "by_clock": Mutant(
        Broken(by_clock=True), ("fenced",), {"faults": (*PROCESS_FAULTS, *OTHER_FAULTS), **BUSY}
    ),
    "forgets": Mutant(
        Broken(forgets=True), ("fenced",), {"faults": (*PROCESS_FAULTS, *OTHER_FAULTS), **BUSY}
    ),
    "trusting": Mutant(
        Broken(guard=Trusting), ("fenced",), {"faults": (*PROCESS_FAULTS, *OTHER_FAULTS), **BUSY}
    ),
    "no_pause": Mutant(Broken(manager=NoDelay), ("one_acts",), {"faults": PROCESS_FAULTS}),
    "checks_early": Mutant(Broken(holder=ChecksEarly), ("one_acts",), {"faults": PROCESS_FAULTS}),
    "from_answer": Mutant(
        Broken(holder=FromAnswer), ("one_acts",), {"faults": ("held", *PROCESS_FAULTS), "max_faults": 16}
    ),
    "takes_back": Mutant(Broken(holder=ForgetsRelease), ("one_acts",), {"faults": ("held", "wish"), **BUSY}),
    "unverified": Mutant(
        Broken(manager=Unverified), ("one_acts",), {"faults": ("silent", "silent_in", "split")}
    ),
    "effect_first": Mutant(Broken(effect_first=True), ("intended",)),
    "repeats": Mutant(Broken(repeats=True), ("once",), {"faults": (*PROCESS_FAULTS, "loss", "car_restart")}),
}


def run_seed(plan: SingletonPlan, seed: int, mutant: str) -> Result:
    """One seed with a broken part; empty: the sound ones."""
    if not mutant:
        return singleton_simulation.run_seed(plan, seed)
    mutant_kind = MUTANTS[mutant]
    return singleton_simulation.run_seed(replace(plan, **mutant_kind.plan), seed, mutant_kind.broken)


def caught(name: str, seeds: range, base: SingletonPlan = SingletonPlan()) -> Result | None:
    """The first run that breaks one of its invariants."""
    for seed in seeds:
        result = run_seed(base, seed, name)
        if any(fault.rule in MUTANTS[name].rules for fault in result.faults):
            return result
    return None
