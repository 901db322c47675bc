"""A fleet in virtual time: machines with a disk that agree, sidecars that hold copies, operators that call,
and what befalls them. What is played is a list of events that a seed draws; leaving some out is another run.

Never more machines than `tolerate` are lost at a time (down, frozen, cut off, with a disk that does not
write, or wiped and not yet caught up); all may lose power at once with their disks kept.
"""

from dataclasses import dataclass, field
from typing import Any

from foxspread.mesh.simulation.faults import Faults
from foxspread.mesh.simulation.invariants import ANSWERED_S, Break, Call, Judge
from foxspread.mesh.simulation.machines import Cores, Machine, SimProcess, Sidecar
from foxspread.mesh.simulation.operators import Operators
from foxspread.mesh.simulation.schedule import Event, Plan, drawn
from foxspread.mesh.simulation.world import Links, World

QUIET = ("hello", "have", "pull", "news", "piece", "rows", "contact", "contacted")  # not told in a trace
ALIKE_S = 5.0  # after which all that live hold the same, without a call


@dataclass
class Played:
    seed: int
    plan: Plan
    events: list[Event]
    breaks: list[Break]
    calls: list[Call]
    befell: dict[str, int]
    messages: int
    told: list[str] = field(default_factory=list)


class Fleet:
    def __init__(self, plan: Plan, seed: int, cores: Cores = Cores(), trace: bool = False) -> None:
        self.plan, self.seed, self.cores = plan, seed, cores
        self.world = World(seed)
        self.judge = Judge()
        self.told: list[str] | None = [] if trace else None
        self.links = Links(self.world, self._deliver)
        self.faults, self.operators = Faults(self), Operators(self)
        self.machines = [
            Machine(self, f"c{n + 1}", n >= plan.machines) for n in range(plan.machines + plan.spares)
        ]
        self.seeds = tuple(each.name for each in self.machines[: plan.seeds or plan.machines])
        self.sidecars = [Sidecar(self, f"s{n + 1}") for n in range(plan.sidecars)]
        self.processes: dict[str, SimProcess] = {each.name: each for each in (*self.machines, *self.sidecars)}
        for each in self.machines:
            each.offset, each.rate = self.world.draw() * 1000, self.world.within(0.98, 1.02)
            if each.spare:
                each.wiped = self.judge.trouble(each.name)
            else:
                each.start(first=True)
        for each in self.sidecars:
            each.start()

    def say(self, text: str) -> None:
        self.judge.now = self.world.now
        if self.told is not None:
            self.told.append(f"{self.world.now:8.4f} {text}")

    def _deliver(self, sender: str, to: str, message: dict[str, Any]) -> None:
        process = self.processes[to]

        def hear() -> None:
            if self.told is not None and message["t"] not in QUIET:
                self.say(f"  {sender} > {to} {_line(message)}")
            self.judge.now = self.world.now
            process.receive(sender, message)

        process.execute(hear)

    def play(self, events: list[Event]) -> Played:
        for event in events:
            self.world.at(event.at, lambda event=event: self._befall(event))
        self.world.run(self.plan.seconds)
        self.faults.end()
        self.world.run(self.plan.seconds + ALIKE_S)
        self.judge.now = self.world.now
        self.judge.alike([each.incarnation_name for each in self.processes.values() if each.up])
        for each in self.machines:
            if each.up:
                self.operators.call((), each)
        self.world.run(self.plan.seconds + ALIKE_S + ANSWERED_S + 0.5)
        self.judge.now = self.world.now
        self.judge.close()
        return Played(
            self.seed,
            self.plan,
            events,
            self.judge.breaks,
            self.judge.calls,
            self.faults.befell,
            self.links.sent,
            self.told or [],
        )

    def _befall(self, event: Event) -> None:
        machine = self.machines[event.where % len(self.machines)]
        if event.kind in ("call", "read"):
            return self.operators.call(event.items, machine)
        if event.kind == "copy":
            return self.operators.learner(event.items, machine)
        self.faults.befall(event)


def _line(message: dict[str, Any]) -> str:
    rows = [f"{k}={v}" for k, v in message.items() if k not in ("t", "delta", "ahead", "rows", "disks")]
    delta = [f"{each[1]}@r{each[2]}" for each in message.get("delta", ())]
    return " ".join([message["t"], *rows, *(["delta=" + ",".join(delta)] if delta else [])])


def play(
    plan: Plan, seed: int, cores: Cores = Cores(), events: list[Event] | None = None, trace: bool = False
) -> Played:
    return Fleet(plan, seed, cores, trace).play(drawn(plan, seed) if events is None else events)


def minimised(played: Played, cores: Cores = Cores()) -> Played:
    """Fewer events that still break the same rule: parts are left out, halves of them, single ones."""
    rule, size = played.breaks[0].rule, max(1, len(played.events) // 2)
    while size:
        before, begin = len(played.events), 0
        while begin < len(played.events):
            fewer = played.events[:begin] + played.events[begin + size :]
            again = play(played.plan, played.seed, cores, fewer)
            if any(each.rule == rule for each in again.breaks):
                played = again
            else:
                begin += size
        size = 1 if size == 1 and len(played.events) < before else size // 2
    return play(played.plan, played.seed, cores, played.events, trace=True)
