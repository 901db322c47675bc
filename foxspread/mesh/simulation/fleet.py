"""One run of a fleet in virtual time: machines that replicate the configuration, sidecars that receive it,
clients that change and read it, and the faults that a schedule injects.

The protocol classes are those of a real node. A seed draws the schedule, and `minimise` leaves out events to
shorten a counterexample. At most `Plan.tolerated_losses` machines are lost at a time: down, frozen,
partitioned, with storage that does not write, or wiped and not yet caught up. All machines may lose power at
once if they keep their storage.
"""

from dataclasses import dataclass, field

from foxspread.mesh.simulation.clients import Clients
from foxspread.mesh.simulation.events import Event, EventKind
from foxspread.mesh.simulation.faults import Faults
from foxspread.mesh.simulation.invariants import ANSWER_LIMIT_S, InvariantChecker
from foxspread.mesh.simulation.machines import Machine, ProtocolClasses, Sidecar, SimulatedProcess
from foxspread.mesh.simulation.network import Network
from foxspread.mesh.simulation.observations import Call, Violation
from foxspread.mesh.simulation.schedule import Plan, draw_schedule
from foxspread.mesh.simulation.virtual_time import Simulation
from foxspread.mesh.transport.messages import KIND, Fields

# Kinds of messages, as on the wire, that are too frequent for a trace.
UNTRACED_KINDS = ("hello", "have", "pull", "news", "piece", "rows", "contact", "contacted")
# Fields that are too long for a trace, or printed in another form.
UNTRACED_FIELDS = (KIND, "delta", "ahead", "rows", "disks")
CONVERGENCE_S = 5.0  # after the last fault, in which all processes must converge without calls
SETTLING_S = 0.5  # after the time limit of the last answers


@dataclass
class RunResult:
    """Outcome of a run."""

    seed: int
    plan: Plan
    events: list[Event]
    violations: list[Violation]
    calls: list[Call]
    fault_counts: dict[str, int]
    message_count: int
    trace: list[str] = field(default_factory=list)


class Fleet:
    """The processes of one run with their network, clients, faults and invariants."""

    def __init__(
        self, plan: Plan, seed: int, classes: ProtocolClasses = ProtocolClasses(), trace: bool = False
    ) -> None:
        self.plan, self.seed, self.classes = plan, seed, classes
        self.simulation = Simulation(seed)
        self.checker = InvariantChecker()
        self.trace: list[str] | None = [] if trace else None
        self.network = Network(self.simulation, self._deliver)
        self.faults, self.clients = Faults(self), Clients(self)
        self.machines = [
            Machine(self, f"c{n + 1}", n >= plan.machines) for n in range(plan.machines + plan.spares)
        ]
        self.initial_members = tuple(
            each.name for each in self.machines[: plan.initial_members or plan.machines]
        )
        self.sidecars = [Sidecar(self, f"s{n + 1}") for n in range(plan.sidecars)]
        self.processes: dict[str, SimulatedProcess] = {
            each.name: each for each in (*self.machines, *self.sidecars)
        }
        self._start()

    def _start(self) -> None:
        for each in self.machines:
            each.clock_offset_s, each.clock_rate = (
                self.simulation.draw() * 1000,
                self.simulation.uniform(0.98, 1.02),
            )
            if each.is_spare:
                each.catch_up_period = self.checker.fault_began(each.name)
            else:
                each.start(first=True)
        for each in self.sidecars:
            each.start()

    def log(self, text: str) -> None:
        """Appends a line to the trace, if one is recorded."""
        self.checker.now = self.simulation.now
        if self.trace is not None:
            self.trace.append(f"{self.simulation.now:8.4f} {text}")

    def _deliver(self, sender: str, to: str, message: Fields) -> None:
        receiver = self.processes[to]

        def receive() -> None:
            if self.trace is not None and message[KIND] not in UNTRACED_KINDS:
                self.log(f"  {sender} > {to} {_describe_message(message)}")
            self.checker.now = self.simulation.now
            receiver.receive(sender, message)

        receiver.execute(receive)

    def play(self, events: list[Event]) -> RunResult:
        """Plays a schedule, ends all faults, waits for convergence, and checks all invariants."""
        plan, simulation, checker = self.plan, self.simulation, self.checker
        for event in events:
            simulation.at(event.at, lambda event=event: self._play_event(event))
        simulation.run(plan.duration_s)
        self.faults.end()
        simulation.run(plan.duration_s + CONVERGENCE_S)
        checker.now = simulation.now
        checker.check_convergence([each.incarnation_name for each in self.processes.values() if each.up])
        for each in self.machines:
            if each.up:
                self.clients.call((), each)
        simulation.run(plan.duration_s + CONVERGENCE_S + ANSWER_LIMIT_S + SETTLING_S)
        checker.now = simulation.now
        checker.finish()
        return self._result(events)

    def _result(self, events: list[Event]) -> RunResult:
        return RunResult(
            self.seed,
            self.plan,
            events,
            self.checker.violations,
            self.checker.calls,
            self.faults.fault_counts,
            self.network.sent_count,
            self.trace or [],
        )

    def _play_event(self, event: Event) -> None:
        machine = self.machines[event.machine % len(self.machines)]
        if event.kind in (EventKind.CALL, EventKind.READ):
            return self.clients.call(event.items, machine)
        if event.kind == EventKind.DELAYED_COPY:
            return self.clients.delayed_copy(event.items, machine)
        self.faults.inject(event)


def _describe_message(message: Fields) -> str:
    fields = [f"{name}={value}" for name, value in message.items() if name not in UNTRACED_FIELDS]
    delta = [f"{row[1]}@r{row[2]}" for row in message.get("delta", ())]
    return " ".join([message[KIND], *fields, *(["delta=" + ",".join(delta)] if delta else [])])


def play(
    plan: Plan,
    seed: int,
    classes: ProtocolClasses = ProtocolClasses(),
    events: list[Event] | None = None,
    trace: bool = False,
) -> RunResult:
    """Plays one run with these events, by default those that the seed draws."""
    return Fleet(plan, seed, classes, trace).play(draw_schedule(plan, seed) if events is None else events)


def minimise(result: RunResult, classes: ProtocolClasses = ProtocolClasses()) -> RunResult:
    """Returns a run with fewer events that still violates the same rule, with its trace.

    Uses delta debugging: leaves out halves of the events, then smaller parts, down to single events.
    """
    rule, size = result.violations[0].rule, max(1, len(result.events) // 2)
    while size:
        before, begin = len(result.events), 0
        while begin < len(result.events):
            fewer = result.events[:begin] + result.events[begin + size :]
            rerun = play(result.plan, result.seed, classes, fewer)
            if any(violation.rule == rule for violation in rerun.violations):
                result = rerun
            else:
                begin += size
        size = 1 if size == 1 and len(result.events) < before else size // 2
    return play(result.plan, result.seed, classes, result.events, trace=True)
