"""What is beside the coordinators in the simulation of singleton roles: instances that hold roles, and
receivers of their orders, one kind that knows fencing tokens and one that knows none.
"""

import copy
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from foxspread.consensus.coordinator import Answer, Status
from foxspread.lab.processes.simulated_sidecar import Reply, SimulatedProcess
from foxspread.leases import LeaseRenewal
from foxspread.singleton.lease_holder import RoleLeaseGrant, RoleLeaseHolder, RoleLeaseRequest
from foxspread.singleton.lease_table import AbandonIntent, CompleteIntent, RecordIntent, RoleCommand

ROLES = ("pass", "tidy", "pay")  # `pay` has irreversible effects, the others send orders
PAY = "pay"
LEARN_RETRY_SECONDS = 0.4
INTENT_SECONDS = 2.0  # within which an effect may be done


class Receiver:
    """Obeys by tokens; its disk outlives it unless it is wiped. `obeyed`: the highest token of each role that
    it truly obeyed, whatever it forgot."""

    def __init__(self, world: Any, id: str) -> None:
        self.world, self.id, self.disk = world, id, dict[str, int]()
        self.obeyed: dict[str, int] = {}
        self.query_number = 0
        self.begin({})

    def begin(self, highest_tokens: dict[str, int] | None) -> None:
        """Starts with what it has kept; None: with nothing."""
        persist = (lambda role, token: None) if self.world.broken.forgets else self.disk.__setitem__
        self.guard = self.world.broken.guard(highest_tokens, persist)

    def restart(self, wiped: bool) -> None:
        """Starts anew, from its disk or without it."""
        if wiped:
            self.disk.clear()
        if self.world.broken.forgets:
            return self.begin({})
        self.begin(None if wiped else dict(self.disk))
        if wiped:
            self.learn()

    def learn(self) -> None:
        """Asks any coordinator for the tokens; again until one answers."""
        if self.guard.highest_tokens is not None:
            return
        self.query_number += 1
        world, target = self.world, self.world.chance.choice(self.world.ids)
        token = world.token(TokenQuery(self, self.query_number), 0)
        node = world.nodes[target]
        world.clock.after(
            world.network.delay(), node.step, lambda host, now: host.request_roles(now, token, None)
        )
        world.clock.after(LEARN_RETRY_SECONDS, self.learn)

    def on_order(self, role: str, token: int, shown: int) -> None:
        """`shown`: what came as the token; `token`: which one it was."""
        if not self.guard.admit(role, shown):
            self.world.counts["refused"] += 1
            return
        self.world.counts["obeyed"] += 1
        highest = self.obeyed.get(role, 0)
        if token < highest:
            self.world.judge.record_violation(
                "fenced", f"{self.id} obeys token {token} of {role} after {highest}"
            )
        self.obeyed[role] = max(token, highest)


@dataclass
class TokenQuery:
    """Where the answer to a receiver's question for tokens goes."""

    receiver: Receiver
    number: int

    def on_answer(self, _: int, answer: Answer) -> None:
        """Called by the world with what a coordinator answers."""
        guard = self.receiver.guard
        late = self.number != self.receiver.query_number or guard.highest_tokens is not None
        if not late and answer.status is Status.DONE:
            guard.learn(answer.value)


class WriteReply(Reply):
    """Where the answer to a holder's write goes; the write itself goes on to the leader."""

    def __init__(
        self, process: "Instance", command: RoleCommand, then: Callable[[str], None], target: str
    ) -> None:
        super().__init__(process, "write", target=target)
        self.command, self.then = command, then

    def on_answer(self, _: int, answer: Answer) -> None:
        """Called by the world with what a coordinator answers."""
        if self.run != self.process.run:
            return
        if answer.status is Status.DONE:
            self.process.input(lambda: self.then(answer.value))
        elif answer.status is Status.NOT_LEADER and answer.leader not in ("", self.target):
            forwarded = copy.copy(self)
            forwarded.target = answer.leader
            self.process.input(lambda: self.process.send(forwarded))


class Instance(SimulatedProcess):
    """Offers to take all roles, and acts for those that it holds."""

    holder: RoleLeaseHolder

    @property
    def renewal(self) -> LeaseRenewal:
        """The lease holder."""
        return self.holder

    def start(self, kept: Any = None) -> None:
        """Nothing is kept over a restart."""
        self.begin_run()
        self.holder = self.world.broken.holder(
            self.local(), f"{self.id}/{self.run}", ROLES, self.chance.random, self.world.plan.terms.drift
        )
        self.effect_count = 0
        self.schedule_next_act()
        self.renew()

    def kill(self) -> None:
        """Ends the process."""
        if not self.down:
            self.saved_states.append(None)
            self.down = True

    def send_request(self, request: RoleLeaseRequest) -> None:
        """Asks for leases on its roles."""
        self.call(
            Reply(self, "ask", request, self.target),
            lambda host, now, token: host.request_roles(now, token, request),
        )

    def on_answer(self, reply: Reply, answer: Answer) -> None:
        """A grant; roles that are requested back are released at once."""
        if answer.status is Status.DONE and isinstance(answer.value, RoleLeaseGrant):
            self.holder.on_grant(self.local(), reply.request, answer.value)
            for role in sorted(self.holder.to_release):
                self.holder.release(role)
                self.holder.request_now(self.local())

    def act(self, run: int) -> None:
        """Acts for one of its roles."""
        if run != self.run or self.down:
            return
        self.schedule_next_act()
        if self.stalled is None and (mine := self.holder.active_roles(self.local())):
            role = self.chance.choice(mine)
            token = self.holder.fencing_token(self.local(), role)
            if role == PAY:
                self.pay(token)
            else:
                self.after_sleep(lambda: self.order(role, token))

    def after_sleep(self, call: Callable[[], None]) -> None:
        """At once, or after a sleep that nobody sees."""
        sleeps = self.chance.random() < self.world.plan.sleep_share
        self.world.clock.after(
            self.chance.expovariate(1.0) if sleeps else 0.0, self._resume_call, self.run, call
        )

    def _resume_call(self, run: int, call: Callable[[], None]) -> None:
        if run != self.run or self.down:
            return
        if self.stalled is not None:
            self.stalled.append(lambda: self._resume_call(run, call))
        else:
            call()

    def order(self, role: str, token: int) -> None:
        """Sends an order to one of the receivers that know tokens; some are seconds on their way."""
        if self.holder.fencing_token(self.local(), role) != token:
            return
        world = self.world
        world.acted(self, role, token)
        receiver = self.chance.choice(world.receivers)
        shown = int(self.local() * 1000) if world.broken.by_clock else token
        if not world.network.loses():
            late = world.chance.uniform(0.5, 4.0) if world.chance.random() < world.plan.late_share else 0.0
            world.clock.after(world.network.delay() + late, receiver.on_order, role, token, shown)

    # Irreversible effects

    def write(self, command: RoleCommand, then: Callable[[str], None] = lambda against: None) -> None:
        """Writes to the log through any coordinator; `then` is called with why it is refused, or ""."""
        self.send(WriteReply(self, command, then, self.chance.choice(self.world.ids)))

    def send(self, reply: WriteReply) -> None:
        """Sends a write to the coordinator that `reply` names."""
        self.call(reply, lambda host, now, token: host.write_role(now, token, reply.command))

    def pay(self, token: int) -> None:
        """An effect after its intent; what an earlier holder left open is abandoned first."""
        for intent_id, intent in self.world.open_intents(self).items():
            if intent.token < token:
                if self.world.broken.repeats:
                    self.effect(token, intent_id)
                else:
                    self.write(AbandonIntent(PAY, token, intent_id))
        self.effect_count += 1
        intent_id, begun = f"{self.holder.holder_id}-{self.effect_count}", self.local()
        record = RecordIntent(PAY, token, intent_id, "a transfer", INTENT_SECONDS)
        if self.world.broken.effect_first:
            self.effect(token, intent_id)
            return self.write(record)

        def in_time() -> None:
            if self.local() < begun + INTENT_SECONDS:
                self.effect(token, intent_id)

        def recorded(against: str) -> None:
            if not against:
                self.after_sleep(in_time)

        self.write(record, recorded)

    def effect(self, token: int, intent_id: str) -> None:
        """Does the effect, where it still holds the role."""
        if self.holder.fencing_token(self.local(), PAY) == token:
            self.world.acted(self, PAY, token)
            self.world.effect(intent_id)
            self.write(CompleteIntent(PAY, token, intent_id))
