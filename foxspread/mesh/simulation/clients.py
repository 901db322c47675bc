"""Clients of the control API.

A client sends a call to one machine, and retries it unchanged at others until it has a definite answer.
"""

from typing import TYPE_CHECKING

from foxspread.mesh.configuration.items import Item, Key
from foxspread.mesh.errors import Failure, OutcomeUnknown
from foxspread.mesh.simulation.invariants import RECOVERY_LIMIT_S
from foxspread.mesh.simulation.machines import Machine
from foxspread.mesh.simulation.observations import Call

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

ATTEMPT_TIMEOUT_S = 1.0  # after this a client retries at another machine
CALL_TIMEOUT_S = 14.0  # after this a client stops retrying
BACKOFF_S = 0.1  # times the number of attempts, after an answer that leaves the outcome unknown
DELAY_RANGE_S = (0.0005, 0.004)  # between a client and a machine, as between machines
PROBE_DELAY_S = 1.5  # earlier, a recovered machine may not know yet that it is behind
PROBE_INTERVAL_S = 0.25  # between reads at a recovered machine


class Clients:
    """Simulates all clients of a run."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet, self.simulation, self.checker = fleet, fleet.simulation, fleet.checker
        self.call_count = 0

    def call(self, items: tuple[Item, ...], first: Machine) -> None:
        """Submits items, or reads if there are none, starting at the machine `first`."""
        self.call_count += 1
        call = Call(self.call_count, items, self.simulation.now)
        self.checker.calls.append(call)
        self._attempt(call, first, 0)

    def _attempt(self, call: Call, machine: Machine, count: int) -> None:
        if call.ended_at is not None or self.simulation.now - call.started_at > CALL_TIMEOUT_S:
            return
        call.attempts.append((self.simulation.now, machine.name))
        self.fleet.log(f"{call} is sent to {machine.name}")
        attempt = _Attempt(self, call, machine, count)
        self.simulation.after(self.simulation.uniform(*DELAY_RANGE_S), attempt.arrive)
        self.simulation.after(ATTEMPT_TIMEOUT_S, attempt.retry_elsewhere)

    def delayed_copy(self, items: tuple[Item, ...], machine: Machine) -> None:
        """Delivers a delayed copy of an earlier call to this machine."""

        def on_answer(outcome: bool | Failure, read: dict[Key, Item]) -> None:
            self.checker.now = self.simulation.now
            self.checker.observe_answer(items, outcome, f"{machine.name}, late,")
            self.fleet.log(f"late copy at {machine.name}: {outcome if outcome else outcome.reason}")

        machine.execute(lambda: machine.submit(items, on_answer))

    def probe(self, machine: Machine) -> None:
        """Reads from a recovered machine until it answers or its time limit has passed."""
        recovery, deadline = self.checker.recovery_began(machine.name), self.simulation.now + RECOVERY_LIMIT_S

        def on_answer(outcome: bool | Failure, read: dict[Key, Item]) -> None:
            if outcome is True and recovery.served_at is None:
                recovery.served_at = self.simulation.now

        def send_probe() -> None:
            if recovery.served_at is None and self.simulation.now < deadline:
                machine.execute(lambda: machine.submit((), on_answer))
                self.simulation.after(PROBE_INTERVAL_S, send_probe)

        self.simulation.after(PROBE_DELAY_S, send_probe)


class _Attempt:
    """One attempt of a call at one machine, which ends with an answer, an unknown outcome or a timeout."""

    def __init__(self, clients: Clients, call: Call, machine: Machine, count: int) -> None:
        self.clients, self.fleet = clients, clients.fleet
        self.simulation, self.checker = clients.simulation, clients.checker
        self.call, self.machine, self.count = call, machine, count
        self.lowest_versions = self.checker.lowest_read_versions()
        self.closed = False
        known = [each for each in self.fleet.machines if not each.is_spare and each.replaced_at is None]
        self.next_machine = self.simulation.choose([each for each in known if each is not machine])

    def arrive(self) -> None:
        """Submits the call to the machine, or ends the attempt if the machine is down."""
        if not self.machine.up:
            return self._on_received(OutcomeUnknown("nobody there"), {})
        self.machine.execute(lambda: None if self.closed else self._submit())

    def _submit(self) -> None:
        self.machine.submit(self.call.items, self._on_answered)

    def retry_elsewhere(self) -> None:
        """Closes this attempt, if it is open, and starts the next one at another machine."""
        if not self.closed:
            self.closed = True
            self.clients._attempt(self.call, self.next_machine, self.count + 1)

    def _on_answered(self, outcome: bool | Failure, read: dict[Key, Item]) -> None:
        """Sends the machine's answer to the client; the answer may be lost."""
        simulation, call, plan = self.simulation, self.call, self.fleet.plan
        if outcome is True and call.items and self.fleet.faults.on_acknowledgement:
            inject = self.fleet.faults.on_acknowledgement.pop()
            simulation.after(0.0, lambda: inject(self.machine))
        if call.first_answer_at is None and (outcome is True or outcome.status < 500):
            call.first_answer_at = simulation.now
        if plan.lost_answer_rate and simulation.draw() < plan.lost_answer_rate:
            return
        simulation.after(simulation.uniform(*DELAY_RANGE_S), lambda: self._on_received(outcome, read))

    def _on_received(self, outcome: bool | Failure, read: dict[Key, Item]) -> None:
        call, checker = self.call, self.checker
        checker.now = self.simulation.now
        checker.observe_answer(call.items, outcome, self.machine.name)
        if self.closed:
            return
        self.fleet.log(f"{call}: {self.machine.name} answers {outcome if outcome else outcome.reason}")
        if not outcome and outcome.status >= 500:
            self.simulation.after(BACKOFF_S * (1 + self.count), self.retry_elsewhere)
            return
        self.closed = True
        if outcome is True and not call.items:
            checker.check_read(call, self.lowest_versions, self.machine.name, read)
        checker.call_ended(call, outcome)
