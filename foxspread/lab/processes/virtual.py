"""Several coordinators in virtual time, under faults that a seed draws.

A failure is a seed to replay. The coordinators are those behind sockets; network, disks, clocks and writers
are simulated. Faults enter at each seam: messages are lost, late, repeated or reordered; a process is
stopped, or killed right before or after a write is durable; a disk is slow, fails, or loses writes; clocks
drift; members are replaced.
"""

import random
import zlib
from dataclasses import replace
from typing import Any

from foxspread.consensus.coordinator import Answer, Coordinator, Status
from foxspread.consensus.errors import InvariantViolation
from foxspread.consensus.messages import Envelope
from foxspread.consensus.records import MemberAddress
from foxspread.lab.processes.fault_injection import FaultInjector
from foxspread.lab.processes.judge import Judge
from foxspread.lab.processes.simulated_network import SimulatedNetwork
from foxspread.lab.processes.simulated_node import ObservedCoordinator, SimulatedNode
from foxspread.lab.processes.simulated_writer import Writer
from foxspread.lab.processes.simulation_plan import LOSSY, Broken, Plan
from foxspread.lab.world.clock import Clock

ScriptedFault = tuple[float, str, float, str]  # when, which, for how long, and whom
WRITERS_END_BEFORE_S = 2.5  # before the end of a run no more operations begin
SINGLE_ENTRY_BATCH_SHARE = 0.3  # of runs, those that send one entry a message


class World:
    """One run: the coordinators, their network and clients, and the judge of what they do."""

    host: type[Coordinator] = ObservedCoordinator

    def __init__(self, plan: Plan, seed: int, broken: Broken | None = None) -> None:
        self.plan, self.seed, self.broken = plan, seed, broken or Broken()
        self.clock, self.chance = Clock(), self.rng("world")
        if self.chance.random() < SINGLE_ENTRY_BATCH_SHARE:
            self.plan = plan = replace(plan, settings=replace(plan.settings, max_batch_bytes=1))
        self.compact_bytes = self.chance.choice(plan.compact_bytes)
        self.ids = [f"c{number}" for number in range(1, plan.members + 1)]
        self.network = SimulatedNetwork(self.clock, self.chance, self.ids)
        self.judge = Judge(plan.settings)
        members = {each: MemberAddress(f"{each}:1") for each in self.ids}
        self.nodes = {each: SimulatedNode(self, each, self.rng(each), members) for each in self.ids}
        names = [f"w{number}" for number in range(plan.writers)]
        self.writers = [Writer(self, name, self.rng(name)) for name in names]
        self.tokens: dict[int, tuple[Any, int]] = {}
        self.answered_none = False
        self.fault_log: list[str] = []
        self.injector = FaultInjector(self)

    @property
    def now(self) -> float:
        """Seconds of virtual time."""
        return self.clock.now / 1e6

    @property
    def writers_until(self) -> float:
        """Seconds until which operations begin."""
        return self.plan.seconds + self.plan.recovery_seconds - WRITERS_END_BEFORE_S

    def content(self, writer: Writer) -> bytes:
        """Of a put; no two are the same."""
        return f"{writer.id} {writer.count}".encode()

    def rng(self, name: str) -> random.Random:
        """A source of chance for one part of the run."""
        return random.Random(zlib.crc32(f"{name}:{self.seed}".encode()))

    def token(self, client: Any, attempt: int) -> int:
        """A number by which the answer finds its client."""
        self.tokens[len(self.tokens) + 1] = (client, attempt)
        return len(self.tokens)

    def send(self, node: SimulatedNode, envelope: Envelope) -> None:
        """A message between two coordinators, on its way."""
        self.judge.on_sent(node, envelope)
        self.network.send(envelope.sender, envelope.recipient, self._arrive, envelope)

    def _arrive(self, envelope: Envelope) -> None:
        recipient = envelope.recipient
        if not self.network.is_blocked(envelope.sender, recipient) and recipient in self.nodes:
            self.judge.on_received(envelope)
            self.nodes[recipient].step(lambda host, now: host.receive(now, envelope))

    def answer(self, node: SimulatedNode, answer: Answer) -> None:
        """An answer to a client, on its way."""
        if not self.network.loses():
            self.clock.after(self.network.delay(), self._answer_arrives, answer)

    def _answer_arrives(self, answer: Answer) -> None:
        client, attempt = self.tokens.get(answer.token, (None, 0))
        if client is not None:
            self.answered_none = answer.status is Status.DONE and answer.value is None
            client.on_answer(attempt, answer)

    def log_fault(self, text: str) -> None:
        """Notes a fault that strikes now, for people."""
        self.fault_log.append(f"{self.now:.3f} {text}")

    def inject_fault(self, kind: str, lasts: float, target: str = "") -> None:
        """A fault strikes the member `target`, or one that is drawn."""
        self.injector.inject(kind, lasts, target)

    def end_all_faults(self) -> None:
        """From here on nothing fails."""
        self.injector.end_all()

    def run(self) -> Judge:
        """Runs with the faults that the seed draws."""
        for node in self.nodes.values():
            self.clock.after(self.chance.uniform(0, 0.2), node.start)
        for writer in self.writers:
            self.clock.after(self.chance.uniform(0.3, 1.0), writer.begin)
        self.injector.schedule()
        return self.run_to_end()

    def run_script(self, script: list[ScriptedFault]) -> Judge:
        """Runs with the faults of a script in place of those that are drawn. It names whom a fault strikes by
        an id, or as the `leader` or a `follower` of that moment."""
        for node in self.nodes.values():
            node.start()
        for writer in self.writers:
            self.clock.after(0.5, writer.begin)
        for at, kind, lasts, target in script:
            self.clock.after(at, self._inject_scripted, kind, lasts, target)
        return self.run_to_end()

    def _inject_scripted(self, kind: str, lasts: float, target: str) -> None:
        name = self.injector.resolve(target)
        if kind in LOSSY:
            self.injector.inject_lossy(kind, name)
        else:
            self.inject_fault(kind, lasts, name)

    def run_to_end(self) -> Judge:
        """Up to the end of the plan; then all versions are read and the judge checks the outcome."""
        end = round((self.plan.seconds + self.plan.recovery_seconds) * 1e6)
        try:
            self.clock.run(round(self.plan.seconds * 1e6))
            self.end_all_faults()
            self.clock.run(end)
        except InvariantViolation as error:
            self.judge.record_violation("contradiction", str(error))
        self.judge.check_end(self.nodes)
        return self.judge


def run_seed(plan: Plan, seed: int, broken: Broken | None = None) -> Judge:
    """Runs one seed."""
    return World(plan, seed, broken).run()
