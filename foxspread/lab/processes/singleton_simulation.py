"""Coordinators, instances that hold singleton roles, and receivers of what they do, in virtual time: the same
`RoleLeaseManager`, `RoleLeaseHolder` and `FencingGuard` as are to stand behind sockets. Judged by what
receivers saw, and by the true time of each act; nothing is asked of those that are judged.

    pass, tidy   orders with a token, to receivers that know tokens
    pay          irreversible effects at a receiver that knows none, each after an intent
"""

from dataclasses import asdict, dataclass, field, replace
from typing import Any

from foxspread.consensus.coordinator import Answer
from foxspread.fleet_rules.rollout import LeaseTerms
from foxspread.lab.processes import simulation_plan
from foxspread.lab.processes.fleet_rules_simulation import NODE_FAULTS, SIDECAR_FAULTS, ProcessWorld
from foxspread.lab.processes.judge import Judge, Violation
from foxspread.lab.processes.simulated_node import SimulatedNode
from foxspread.lab.processes.singleton_instance import PAY, ROLES, Instance, Receiver, TokenQuery
from foxspread.singleton.fencing import FencingGuard
from foxspread.singleton.lease_holder import RoleLeaseHolder
from foxspread.singleton.lease_manager import RoleLeaseManager
from foxspread.singleton.lease_table import Intent, IntentState, LeaseTable, PreferHolder

# Names as they stand in scripts, in reports and in the journal.
OTHER_FAULTS = ("receiver_back", "receiver_wiped", "wish")
INVARIANTS = {
    "one_acts": "at no moment does one act under a token after another has acted under a higher one",
    "fenced": "no receiver obeys a token after it has obeyed a higher one, restarts included",
    "once": "no irreversible effect comes twice",
    "intended": "no irreversible effect comes before its intent is written",
    "rising": "a role's token rises by one with each holder, and never falls",
    "rest": "once nothing fails, each role has a holder that may act",
}
MAX_REST_SECONDS = 5.0  # without an act at the end; a role may be moving
OPEN_INTENTS_SHOWN = 20  # of a role, to an instance that looks for them


@dataclass(frozen=True)
class SingletonPlan(simulation_plan.Plan):
    """`acts`: a second and instance. `late_share`: of orders, those that are seconds on their way.
    `sleep_share`: of acts, those that come late after their decision or their intent."""

    instances: int = 6
    acts: float = 6.0
    late_share: float = 0.05
    receivers: int = 3
    sleep_share: float = 0.15
    terms: LeaseTerms = LeaseTerms(lease=1.5, alone=4.0)
    writers: int = 0
    seconds: float = 14.0
    recovery_seconds: float = 12.0
    faults: tuple[str, ...] = NODE_FAULTS + SIDECAR_FAULTS + OTHER_FAULTS
    lossy: tuple[str, ...] = ()
    max_faults: int = 12


@dataclass
class Broken(simulation_plan.Broken):
    """Parts in place of the sound ones."""

    holder: type[RoleLeaseHolder] = RoleLeaseHolder
    manager: type[RoleLeaseManager] = RoleLeaseManager
    guard: type[FencingGuard] = FencingGuard
    stops_suspended: bool = False  # clocks stop while an instance is stalled
    forgets: bool = False  # receivers keep what they know in memory
    by_clock: bool = False  # tokens are the sender's clock
    effect_first: bool = False
    repeats: bool = False  # a new holder does what it finds open


def observed(kind: type[RoleLeaseManager]) -> type[RoleLeaseManager]:
    """A manager that reports to the world and the judge what is applied."""
    return type("Observed" + kind.__name__, (ObservedManager, kind), {})


class ObservedManager(RoleLeaseManager):
    """Reports to the world and the judge what is applied."""

    def __init__(self, node: SimulatedNode, *arguments: Any) -> None:
        self.node_type, self.node = node.world.broken.member, node
        self.min_compaction_bytes = node.world.compact_bytes
        super().__init__(*arguments, terms=node.world.plan.terms)

    def _apply_entry(self, index: int, entry: Any) -> None:
        self.node.world.judge.on_applied(self.node, index, entry)
        super()._apply_entry(index, entry)
        self.node.world.on_applied(self.table)

    def _restore_snapshot(self, snapshot: Any) -> None:
        self.node.world.judge.on_restored(self.node.id, snapshot.index)
        super()._restore_snapshot(snapshot)


@dataclass(frozen=True)
class Assignment:
    """Who held a role as the log had it last."""

    token: int = 0
    holder: str = ""


class SingletonWorld(ProcessWorld):
    """`highest_tokens`: by role, the latest that was acted under. `effects`: how often each came.
    `handovers`: seconds from the last act under a token to the first under the next."""

    def __init__(self, plan: SingletonPlan, seed: int, broken: Broken | None = None) -> None:
        broken = broken or Broken()
        super().__init__(plan, seed, broken, observed(broken.manager))
        self.add_processes(Instance, plan.instances)
        self.counts = {"acts": 0, "obeyed": 0, "refused": 0, "effects": 0, "unknown": 0}
        self.receivers = [Receiver(self, f"r{number}") for number in range(plan.receivers)]
        self.highest_tokens: dict[str, int] = {}
        self.effects: dict[str, int] = {}
        self.intended: set[str] = set()
        self.assignments: dict[str, Assignment] = {}
        self.handovers: list[float] = []
        self.last_acts: dict[str, float] = {}

    def answer(self, node: SimulatedNode, answer: Answer) -> None:
        """An answer on its way; those to receivers are never lost."""
        reply = self.tokens.get(answer.token, (None, 0))[0]
        if isinstance(reply, TokenQuery):
            self.clock.after(self.network.delay(), reply.on_answer, 0, answer)
        else:
            super().answer(node, answer)

    def on_applied(self, table: LeaseTable) -> None:
        """Judges how tokens rise, as a coordinator has the table."""
        for name, role in table.roles.items():
            self.intended |= role.intents.keys()
            known = self.assignments.get(name, Assignment())
            if role.token > known.token:
                if role.token != known.token + 1:
                    self.judge.record_violation(
                        "rising", f"{name} goes from token {known.token} to {role.token}"
                    )
                self.assignments[name] = Assignment(role.token, role.holder)
            elif role.token == known.token and role.holder and role.holder != known.holder:
                text = f"token {known.token} of {name} is {known.holder}'s and {role.holder}'s"
                self.judge.record_violation("rising", text)

    def acted(self, instance: Instance, role: str, token: int) -> None:
        """Judges an act at this moment."""
        self.counts["acts"] += 1
        latest = self.highest_tokens.get(role, 0)
        if token < latest:
            holder = instance.holder.holder_id
            self.judge.record_violation(
                "one_acts", f"{holder} acts for {role} by token {token} after {latest}"
            )
        elif token > latest:
            if role in self.last_acts:
                self.handovers.append(self.now - self.last_acts[role])
            self.highest_tokens[role] = token
        self.last_acts[role] = self.now

    def open_intents(self, instance: Instance) -> dict[str, Intent]:
        """As some coordinator has them, maybe not the latest."""
        host = self.nodes[instance.chance.choice(self.ids)].host
        role = host.table.roles.get(PAY) if host is not None else None
        intents = role.intents if role else {}
        found = [(id, intent) for id, intent in intents.items() if intent.state == IntentState.OPEN]
        return dict(found[:OPEN_INTENTS_SHOWN])

    def effect(self, intent_id: str) -> None:
        """Judges an irreversible effect."""
        self.counts["effects"] += 1
        self.effects[intent_id] = self.effects.get(intent_id, 0) + 1
        if self.effects[intent_id] > 1:
            self.judge.record_violation("once", f"{intent_id} came {self.effects[intent_id]} times")
        if intent_id not in self.intended:
            self.judge.record_violation("intended", f"{intent_id} came before its intent")

    def inject_fault(self, kind: str, lasts: float, target: str = "") -> None:
        """A fault strikes; of receivers, or a person moves a role."""
        if kind not in OTHER_FAULTS:
            return super().inject_fault(kind, lasts, target)
        if kind == "wish":
            instance = self.chance.choice(list(self.processes.values()))
            role = self.chance.choice(ROLES)
            self.log_fault(f"wish {role} {instance.id}")
            if not instance.down:
                instance.write(PreferHolder(role, instance.holder.holder_id))
            return None
        receiver = self.chance.choice(self.receivers)
        self.log_fault(f"{kind} {receiver.id}")
        receiver.restart(kind == "receiver_wiped")

    def run_to_end(self) -> Judge:
        """The judgment at the end: each role has one holder, which acts."""
        judge = super().run_to_end()
        for role in ROLES:
            able = [
                instance.holder.holder_id
                for instance in self.processes.values()
                if instance.holder.fencing_token(instance.local(), role)
            ]
            if len(able) > 1 or self.now - self.last_acts.get(role, 0.0) > MAX_REST_SECONDS:
                judge.record_violation(
                    "rest", f"{role} is owned by {able}, last act {self.last_acts.get(role)}"
                )
        return judge


@dataclass
class Result:
    """What one seed gave. `events`: the faults that struck, as lines."""

    seed: int
    faults: list[Violation]
    events: list[str]
    counts: dict[str, int]
    handovers: list[float] = field(default_factory=list)

    def as_row(self) -> dict[str, Any]:
        """In the form that `--json` prints and the journal keeps, by its first spelling."""
        return {
            "seed": self.seed,
            "faults": [asdict(fault) for fault in self.faults],
            "told": self.events,
            "counts": self.counts,
            "moves": self.handovers,
        }


def run_seed(plan: SingletonPlan, seed: int, broken: Broken | None = None) -> Result:
    """Plays one seed; each fourth has five coordinators."""
    plan = plan if seed % 4 else replace(plan, members=5)
    world = SingletonWorld(plan, seed, broken)
    judge = world.run()
    return Result(seed, judge.violations, world.fault_log, world.counts, world.handovers)
