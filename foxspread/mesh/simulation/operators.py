"""Operators: each call is sent to one machine, and unchanged to another where no clear answer has come."""

from typing import TYPE_CHECKING

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.errors import Failure, OutcomeUnknown
from foxspread.mesh.simulation.invariants import BACK_S, Call
from foxspread.mesh.simulation.machines import Machine

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

SILENCE_S = 1.0  # after which an operator asks another
GIVES_UP_S = 14.0
PROBE_AFTER_S = 1.5  # before, it may not know yet that it is behind
PROBE_S = 0.25  # between reads at a machine that has come back


class Operators:
    def __init__(self, fleet: "Fleet") -> None:
        self.fleet, self.world, self.judge = fleet, fleet.world, fleet.judge
        self.calls = 0

    def call(self, items: tuple[Item, ...], first: Machine) -> None:
        self.calls += 1
        call = Call(self.calls, items, self.world.now)
        self.judge.calls.append(call)
        self._try(call, first, 0)

    def _try(self, call: Call, machine: Machine, count: int) -> None:
        """Resent unchanged, to another, where no clear answer has come."""
        world, judge = self.world, self.judge
        if call.ended is not None or world.now - call.began > GIVES_UP_S:
            return
        call.tries.append((world.now, machine.name))
        self.fleet.say(f"{call} is sent to {machine.name}")
        floor, over = judge.floor(), []
        listed = [each for each in self.fleet.machines if not each.spare and each.counts_from is None]
        another = world.pick([each for each in listed if each is not machine])
        pause = 0.1 * (1 + count)

        def next_try() -> None:
            if not over:
                over.append(True)
                self._try(call, another, count + 1)

        def told(outcome: bool | Failure, held: dict) -> None:
            if outcome is True and call.items and self.fleet.faults.at_ack:
                befall = self.fleet.faults.at_ack.pop()
                world.after(0.0, lambda: befall(machine))
            if call.said is None and (outcome is True or outcome.status < 500):
                call.said = world.now
            if self.fleet.plan.answers_lost and world.draw() < self.fleet.plan.answers_lost:
                return
            world.after(world.within(0.0005, 0.004), lambda: answered(outcome, held))

        def answered(outcome: bool | Failure, held: dict) -> None:
            judge.now = world.now
            judge.said(call.items, outcome, machine.name)
            if over:
                return
            self.fleet.say(f"{call}: {machine.name} answers {outcome if outcome else outcome.reason}")
            if not outcome and outcome.status >= 500:
                world.after(pause, next_try)
                return
            over.append(True)
            if outcome is True and not call.items:
                judge.read(call, floor, machine.name, held)
            judge.ended(call, outcome)

        def arrives() -> None:
            if not machine.up:
                return answered(OutcomeUnknown("nobody there"), {})
            machine.execute(lambda: None if over else machine.submit(call.items, told))

        world.after(world.within(0.0005, 0.004), arrives)
        world.after(SILENCE_S, next_try)

    def learner(self, items: tuple[Item, ...], machine: Machine) -> None:
        """A copy of an order, sent long ago, that this machine reads only now."""

        def told(outcome: bool | Failure, held: dict) -> None:
            self.judge.now = self.world.now
            self.judge.said(items, outcome, f"{machine.name}, late,")
            self.fleet.say(f"late copy at {machine.name}: {outcome if outcome else outcome.reason}")

        machine.execute(lambda: machine.submit(items, told))

    def probe(self, machine: Machine) -> None:
        """Reads at one that has come back, and nowhere else, until it answers."""
        row, until = self.judge.back(machine.name), self.world.now + BACK_S

        def told(outcome: bool | Failure, held: dict) -> None:
            if outcome is True and row.served is None:
                row.served = self.world.now

        def ask() -> None:
            if row.served is None and self.world.now < until:
                machine.execute(lambda: machine.submit((), told))
                self.world.after(PROBE_S, ask)

        self.world.after(PROBE_AFTER_S, ask)
