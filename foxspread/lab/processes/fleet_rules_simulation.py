"""Coordinators and sidecars that act on fleet rules, in virtual time: the same `LeaseManager` and
`LeaseHolder` as behind sockets. Each act of a sidecar is judged at the moment at which a server would have
seen it, against the version in force then by the coordinators' history: nothing in the sidecar is asked.
"""

from dataclasses import asdict, dataclass, field, replace
from typing import Any

from foxspread.consensus.coordinator import Answer
from foxspread.consensus.records import Snapshot
from foxspread.fleet_rules import compatibility, flat_rules, key_rules
from foxspread.fleet_rules.lease_holder import EffectiveRules, LeaseHolder, Mode
from foxspread.fleet_rules.lease_manager import LeaseManager
from foxspread.fleet_rules.rollout import LeaseTerms, Rollout
from foxspread.fleet_rules.version_content import VersionContent, parse_version
from foxspread.lab.processes import simulation_plan
from foxspread.lab.processes.judge import Judge, Violation
from foxspread.lab.processes.random_versions import random_version
from foxspread.lab.processes.simulated_node import SimulatedNode
from foxspread.lab.processes.simulated_sidecar import Reply, SimulatedProcess, SimulatedSidecar
from foxspread.lab.processes.simulation_plan import Plan
from foxspread.lab.processes.virtual import World

# Names as they stand in scripts, in reports and in the journal.
SIDECAR_FAULTS = (
    "car_silent",
    "car_in",
    "car_out",
    "car_stall",
    "car_restart",
    "cars_cut",
    "car_clock",
)
NODE_FAULTS = (
    "silent",
    "silent_in",
    "silent_out",
    "split",
    "loss",
    "held",
    "repeat",
    "stall",
    "away",
    "kill",
    "kill_at_write",
    "disk_slow",
    "clock",
    "hand_over",
)
INVARIANTS = {
    "in_force": "an act is one that the version in force at that moment allows",
    "bound": "where nothing lies between two versions, an act on the older one comes within the bound",
    "none_yet": "nobody acts before a version is in force",
    "settles": "once nothing fails, the latest version is in force, or withdrawn; all act on one",
}
MAX_DOWN_SECONDS = 0.5  # of a sidecar that is restarted


@dataclass(frozen=True)
class FleetRulesPlan(Plan):
    """`acts`: a second and sidecar. `sleep_share`: of acts, those that come late after their decision."""

    sidecars: int = 12
    acts: float = 4.0
    sleep_share: float = 0.15
    terms: LeaseTerms = LeaseTerms(lease=1.5, alone=4.0)
    writers: int = 1
    think_time: float = 1.5
    seconds: float = 12.0
    recovery_seconds: float = 9.0
    long_content_share: float = 0.0
    faults: tuple[str, ...] = NODE_FAULTS + SIDECAR_FAULTS
    lossy: tuple[str, ...] = ()
    max_faults: int = 10


@dataclass
class Broken(simulation_plan.Broken):
    """Parts in place of the sound ones. `stops_suspended`: sidecars' clocks stop while they are stalled."""

    holder: type[LeaseHolder] = LeaseHolder
    manager: type[LeaseManager] = LeaseManager
    rollout: type[Rollout] = Rollout
    stops_suspended: bool = False


@dataclass(frozen=True)
class Step:
    """A step of a rollout: since when, and what holds from then on."""

    at: float
    phase: int
    in_force: int
    announced: int


@dataclass(frozen=True)
class Verdict:
    """What acts on some rules violate of a version: at all, and after the bound only. `rules` are kept so
    that their id, by which the verdict is found, is not used again."""

    violations: list[str]
    late_violations: list[str]
    rules: flat_rules.FlatRules


def observed(kind: type[LeaseManager]) -> type[LeaseManager]:
    """A manager that reports to the world and the judge what is applied."""
    return type("Observed" + kind.__name__, (ObservedManager, kind), {})


class ObservedManager(LeaseManager):
    """Reports to the world and the judge what is applied."""

    def __init__(self, node: SimulatedNode, *arguments: Any) -> None:
        broken = node.world.broken
        self.node_type, self.store_type, self.node = broken.member, broken.rollout, node
        self.min_compaction_bytes = node.world.compact_bytes
        super().__init__(*arguments, terms=node.world.plan.terms)

    def _apply_entry(self, index: int, entry: Any) -> None:
        self.node.world.judge.on_applied(self.node, index, entry)
        super()._apply_entry(index, entry)
        self.node.world.on_applied(self.rollout)

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.node.world.judge.on_restored(self.node.id, snapshot.index)
        super()._restore_snapshot(snapshot)


class ProcessWorld(World):
    """A world with processes beside the coordinators, and the faults that strike them."""

    processes: dict[str, SimulatedProcess]

    def __init__(self, plan: Any, seed: int, broken: Any, host: type[LeaseManager]) -> None:
        super().__init__(plan, seed, broken)
        self.host = host
        drift = plan.terms.drift
        for node in self.nodes.values():
            node.rate = self.chance.choice((1 - drift, 1.0, 1 + drift))

    def add_processes(self, kind: type[SimulatedProcess], count: int) -> None:
        """Processes s0, s1, ..., each with a seed of its own."""
        names = [f"s{number}" for number in range(count)]
        self.processes = {name: kind(self, name, self.rng(name)) for name in names}

    def answer(self, node: SimulatedNode, answer: Answer) -> None:
        """An answer on its way; lost where the way to its process is cut."""
        reply = self.tokens.get(answer.token, (None, 0))[0]
        if isinstance(reply, Reply) and self.network.is_blocked(node.id, reply.process.id):
            return
        super().answer(node, answer)

    def run(self) -> Judge:
        """Processes start within the first second; then as `World.run`."""
        for process in self.processes.values():
            self.clock.after(self.chance.uniform(0, 1.0), process.start)
        return super().run()

    def inject_fault(self, kind: str, lasts: float, target: str = "") -> None:
        """A fault strikes the process or coordinator `target`, or one that is drawn."""
        if kind not in SIDECAR_FAULTS:
            return super().inject_fault(kind, lasts, target)
        process = self.processes.get(target) or self.chance.choice(list(self.processes.values()))
        self.log_fault(f"{kind} {process.id} {lasts:.3f}")
        if kind == "cars_cut":
            self._partition_a_third(lasts)
        elif kind in ("car_silent", "car_in", "car_out"):
            out_of = [(process.id, node) for node in self.ids] if kind != "car_in" else []
            into = [(node, process.id) for node in self.ids] if kind != "car_out" else []
            self.network.block(out_of + into, lasts)
        elif kind == "car_stall" and not process.down and process.stalled is None:
            process.stalled = []
            self.clock.after(lasts, self._resume_process, process, process.run, self.now)
        elif kind == "car_restart" and not process.down:
            process.kill()
            states = process.saved_states
            kept = self.chance.choice((None, states[-1], self.chance.choice(states)))
            self.clock.after(min(lasts, MAX_DOWN_SECONDS), self._restart_process, process, kept)
        elif kind == "car_clock" and not process.down:
            self._change_rate(process)

    def _partition_a_third(self, lasts: float) -> None:
        third = self.chance.sample(sorted(self.processes), max(1, len(self.processes) // 3))
        self.network.block(
            [pair for one in third for node in self.ids for pair in ((one, node), (node, one))], lasts
        )

    def _change_rate(self, process: SimulatedProcess) -> None:
        local, drift = process.local(), self.plan.terms.drift
        process.rate = self.chance.choice((1 - drift, 1 + drift))
        process.offset = local - process.rate * (self.now - process.slept)

    def _resume_process(self, process: SimulatedProcess, run: int, began: float) -> None:
        if process.run == run and not process.down and process.stalled is not None:
            process.resume(began)

    def _restart_process(self, process: SimulatedProcess, kept: Any) -> None:
        if process.down:
            process.start(kept)

    def end_all_faults(self) -> None:
        """From here on nothing fails."""
        super().end_all_faults()
        for process in self.processes.values():
            if process.down:
                process.start()
            elif process.stalled is not None:
                process.resume(self.now)


class FleetRulesWorld(ProcessWorld):
    """`steps`: of all rollouts. `act_counts`: acts by mode. `longest_violations`: by key, how long after a
    change the older value was acted on. `rollout_seconds`: from announcement to force."""

    def __init__(self, plan: FleetRulesPlan, seed: int, broken: Broken | None = None) -> None:
        broken = broken or Broken()
        super().__init__(plan, seed, broken, observed(broken.manager))
        self.add_processes(SimulatedSidecar, plan.sidecars)
        self.steps = [Step(0.0, 0, 0, 0)]
        self.parsed: dict[bytes, VersionContent] = {}
        self.texts: dict[int, bytes] = {}
        self.act_counts = {mode.value: 0 for mode in Mode}
        self.longest_violations: dict[str, float] = {}
        self.verdicts: dict[tuple[int, int], Verdict] = {}
        self.rollout_seconds: list[float] = []

    @property
    def writers_until(self) -> float:
        """Seconds until which versions are put."""
        return self.plan.seconds

    def content(self, writer: Any) -> bytes:
        """What a writer puts."""
        return random_version(writer.chance, len(self.processes), writer.count)

    def checked(self, text: bytes) -> VersionContent:
        """A version's content, parsed once."""
        if text not in self.parsed:
            self.parsed[text] = parse_version(text)
        return self.parsed[text]

    def on_applied(self, rollout: Rollout) -> None:
        """The first to apply a step is the one that committed it."""
        last = self.steps[-1]
        if rollout.phase <= last.phase:
            return
        if rollout.in_force != last.in_force:
            self.rollout_seconds.append(self.now - last.at)
        self.steps.append(Step(self.now, rollout.phase, rollout.in_force, rollout.announced))
        for number in (rollout.in_force, rollout.announced):
            if number:
                self.texts[number] = rollout.by_number[number].content

    def acted(self, sidecar: SimulatedSidecar, effective: EffectiveRules) -> None:
        """Judges an act at this moment."""
        in_force = self.steps[-1].in_force
        self.act_counts[effective.mode.value] += 1
        if not in_force:
            return self.judge.record_violation("none_yet", f"{sidecar.id} acts, and no version is in force")
        verdict = self._verdict(effective.rules, in_force)
        after = self.now - next(step.at for step in self.steps if step.in_force == in_force)
        if verdict.violations:
            self._record_violation(verdict.violations[0], after)
            self.judge.record_violation(
                "in_force",
                f"{sidecar.id} {effective.mode.value} in phase {effective.phase}, {after:.3f} s "
                f"after: {verdict.violations[0]}",
            )
        for text in verdict.late_violations:
            self._record_violation(text, after)
            if after > self.plan.terms.contradiction_bound():
                self.judge.record_violation(
                    "bound", f"{sidecar.id} {effective.mode.value}, {after:.3f} s after: {text}"
                )

    def _verdict(self, acting: flat_rules.FlatRules, in_force: int) -> Verdict:
        key = (id(acting), in_force)
        if key not in self.verdicts:
            rules = self.checked(self.texts[in_force]).rules
            violations, late = [], []
            for path, text in compatibility.violations(acting, rules):
                row = f"{path} {text}, version {in_force} is in force"
                (late if key_rules.is_switch(path) else violations).append(row)
            self.verdicts[key] = Verdict(violations, late, acting)
        return self.verdicts[key]

    def _record_violation(self, text: str, after: float) -> None:
        path = text.partition(" ")[0]
        self.longest_violations[path] = max(self.longest_violations.get(path, 0.0), after)

    def run_to_end(self) -> Judge:
        """The judgment at the end: all act on the latest version, or it is withdrawn."""
        judge = super().run_to_end()
        last = self.steps[-1]
        manager = most_advanced_manager(self)
        rollout = manager.rollout if manager is not None else Rollout()
        behind = [
            (sidecar.id, sidecar.holder.phase, sidecar.holder.effective(sidecar.local()).mode.value)
            for sidecar in self.processes.values()
            if sidecar.holder.phase != last.phase
            or sidecar.holder.effective(sidecar.local()).mode is not Mode.IN_FORCE
        ]
        unfinished = last.announced or rollout.next_to_announce() or last.in_force and behind
        if rollout.latest and unfinished:
            judge.record_violation(
                "settles",
                f"phase {last.phase}, in force {last.in_force}, announced {last.announced}, "
                f"latest {rollout.latest}, withdrawn {sorted(rollout.withdrawn)}, behind {behind[:4]}",
            )
        return judge


def most_advanced_manager(world: World) -> LeaseManager | None:
    """Of the coordinator that has applied most; None where none is up."""
    hosts = [node.host for node in world.nodes.values() if node.host is not None]
    return max(hosts, key=lambda host: host.raft.last_applied, default=None)


@dataclass
class Result:
    """What one seed gave. `events`: the faults that struck, as lines."""

    seed: int
    faults: list[Violation]
    events: list[str]
    acts: dict[str, int]
    versions: int
    withdrawn: int
    rollout_seconds: list[float] = field(default_factory=list)
    longest_violations: dict[str, float] = field(default_factory=dict)

    def as_row(self) -> dict[str, Any]:
        """In the form that `--json` prints and the journal keeps, by its first spelling."""
        return {
            "seed": self.seed,
            "faults": [asdict(fault) for fault in self.faults],
            "told": self.events,
            "acts": self.acts,
            "versions": self.versions,
            "withdrawn": self.withdrawn,
            "settling": self.rollout_seconds,
            "worst": self.longest_violations,
        }


def run_seed(plan: FleetRulesPlan, seed: int, broken: Broken | None = None) -> Result:
    """Plays one seed; each fourth has five coordinators."""
    plan = plan if seed % 4 else replace(plan, members=5)
    world = FleetRulesWorld(plan, seed, broken)
    judge = world.run()
    manager = most_advanced_manager(world)
    return Result(
        seed,
        judge.violations,
        world.fault_log,
        world.act_counts,
        world.steps[-1].in_force,
        len(manager.rollout.withdrawn) if manager else 0,
        world.rollout_seconds,
        world.longest_violations,
    )
