"""Coordinators, instances that own duties, and receivers of what they do, in virtual time: the same `Chief`,
`Owner` and `Guard` as are to stand behind sockets. Judged by what receivers saw, and by the true time of each
act; nothing is asked of those that are judged.

    pass, tidy   orders with a token, to receivers that know tokens
    pay          irreversible effects at a receiver that knows none, each after an intent
"""

import copy
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.fleet_rules.rollout import Terms
from foxspread.consensus.coordinator import Answer, Status
from foxspread.singleton.lease_manager import Chief
from foxspread.singleton.fencing import Guard
from foxspread.singleton.lease_holder import DutyAsk, Given, Owner
from foxspread.singleton.lease_table import Did, DutyCommand, Intend, Registry, Tell, Wish
from foxspread.lab.processes import virtual
from foxspread.lab.processes.fleet_rules_simulation import CAR_FAULTS, NODE_FAULTS, AgreedWorld, Car, Reply
from foxspread.lab.processes.judge import Fault, Judge
from foxspread.lab.processes.virtual import Node, World

DUTIES = ("pass", "tidy", "pay")
OTHER_FAULTS = ("receiver_back", "receiver_wiped", "wish")
RULES = {
    "one_acts": "at no moment does one act under a token after another has acted under a higher one",
    "fenced": "no receiver obeys a token after it has obeyed a higher one, restarts included",
    "once": "no irreversible effect comes twice",
    "intended": "no irreversible effect comes before its intent is written",
    "rising": "a duty's token rises by one with each owner, and never falls",
    "rest": "once nothing fails, each duty has an owner that may act",
}


@dataclass(frozen=True)
class DutyPlan(virtual.Plan):
    cars: int = 6
    acts: float = 6.0  # a second and instance
    late: float = 0.05  # of orders, by seconds
    receivers: int = 3
    sleeps: float = 0.15  # of acts, between a look and the act, or between an intent and its effect
    terms: Terms = Terms(lease=1.5, alone=4.0)
    writers: int = 0
    seconds: float = 14.0
    settle: float = 12.0
    faults: tuple[str, ...] = NODE_FAULTS + tuple(each for each in CAR_FAULTS) + OTHER_FAULTS
    lossy: tuple[str, ...] = ()
    most: int = 12


@dataclass
class Broken(virtual.Broken):
    owner: type[Owner] = Owner
    chief: type[Chief] = Chief
    guard: type[Guard] = Guard
    stops_suspended: bool = False  # clocks stand still while an instance is suspended
    forgets: bool = False  # receivers keep what they know in memory
    by_clock: bool = False  # tokens are the sender's clock
    effect_first: bool = False
    repeats: bool = False  # a new owner does what it finds open


def watched(kind: type[Chief]) -> type[Chief]:
    return type("Watched" + kind.__name__, (Watching, kind), {})


class Watching(Chief):
    def __init__(self, node: Node, *rest: Any) -> None:
        self.kind, self.node = node.world.broken.member, node
        self.compact_bytes = node.world.compact_bytes
        super().__init__(*rest, terms=node.world.plan.terms)

    def _applied(self, index: int, entry: Any) -> None:
        self.node.world.judge.applied(self.node, index, entry)
        super()._applied(index, entry)
        self.node.world.took(self.duties)

    def _restored(self, snapshot: Any) -> None:
        self.node.world.judge.restored(self.node.id, snapshot.index)
        super()._restored(snapshot)


class Receiver:
    """Knows tokens; its disk outlives it unless it is wiped."""

    def __init__(self, world: "DutyWorld", id: str) -> None:
        self.world, self.id, self.disk = world, id, dict[str, int]()
        self.obeyed: dict[str, int] = {}  # the truth: the highest token that it obeyed, whatever it forgot
        self.learning = 0
        self.begin({})

    def begin(self, known: dict[str, int] | None) -> None:
        keep = (lambda duty, token: None) if self.world.broken.forgets else self.disk.__setitem__
        self.guard = self.world.broken.guard(known, keep)

    def restarts(self, wiped: bool) -> None:
        if wiped:
            self.disk.clear()
        if self.world.broken.forgets:
            return self.begin({})
        self.begin(None if wiped else dict(self.disk))
        if wiped:
            self.learn()

    def learn(self) -> None:
        """From any coordinator; again until one answers."""
        if self.guard.known is None:
            self.learning += 1
            world, target = self.world, self.world.chance.choice(self.world.ids)
            token = world.token(Learns(self, self.learning), 0)
            node = world.nodes[target]
            world.clock.after(world.delay(), node.step, lambda host, now: host.ask_duties(now, token, None))
            world.clock.after(0.4, self.learn)

    def told(self, duty: str, token: int, shown: int) -> None:
        """`shown`: what came as the token; `token`: which one it was."""
        if self.guard.admit(duty, shown):
            self.world.counts["obeyed"] += 1
            if token < self.obeyed.get(duty, 0):
                self.world.judge.found(
                    "fenced", f"{self.id} obeys token {token} of {duty} after {self.obeyed[duty]}"
                )
            self.obeyed[duty] = max(token, self.obeyed.get(duty, 0))
        else:
            self.world.counts["refused"] += 1


@dataclass
class Learns:
    receiver: Receiver
    number: int

    def told(self, _: int, answer: Answer) -> None:
        late = self.number != self.receiver.learning or self.receiver.guard.known is not None
        if not late and answer.status is Status.DONE:
            self.receiver.guard.learn(answer.value)


class Writes(Reply):
    """The answer to an owner's write."""

    def __init__(self, car: "Instance", command: DutyCommand, then: Callable[[str], None]) -> None:
        super().__init__(car, "write")
        self.command, self.then = command, then

    def told(self, _: int, answer: Answer) -> None:
        if self.run != self.car.run:
            return
        if answer.status is Status.DONE:
            self.car.input(lambda: self.then(answer.value))
        elif answer.status is Status.ELSEWHERE and answer.leader not in ("", self.target):
            again = replace_target(self, answer.leader)
            self.car.input(lambda: self.car.send(again))


def replace_target(reply: Writes, target: str) -> Writes:
    again = copy.copy(reply)
    again.target = target
    return again


class Instance(Car):
    """Offers all duties, and acts for those that it owns."""

    def start(self, kept: Any = None) -> None:
        self.run, self.down, self.stalled, self.wake = self.run + 1, False, None, None
        self.owner = self.world.broken.owner(
            self.local(), f"{self.id}/{self.run}", DUTIES, self.chance.random, self.world.plan.terms.drift
        )
        self.count = 0
        self.world.clock.after(self.chance.expovariate(self.world.plan.acts), self.act, self.run)
        self.due()

    def kill(self) -> None:
        if not self.down:
            self.files.append(None)
            self.down = True

    def due(self) -> None:
        owner, now = self.owner, self.local()
        while (ask := owner.ask(now)) is not None:
            self.target = self.chance.choice(self.world.ids) if owner.tries > 1 else self.target
            self.call(
                Reply(self, "ask", ask, self.target),
                lambda host, at, token, ask=ask: host.ask_duties(at, token, ask),
            )
        wake = self.world.clock.now + max(1, round((owner.wake_at() - now) / self.rate * 1e6) + 1)
        if self.wake is None or wake < self.wake or self.wake <= self.world.clock.now:
            self.wake = wake
            self.world.clock.at(wake, self._woken, self.run, wake)

    def told(self, reply: Reply, answer: Answer) -> None:
        if answer.status is Status.DONE and isinstance(answer.value, Given):
            self.owner.answered(self.local(), reply.ask, answer.value)
            for duty in sorted(self.owner.wanted):
                self.owner.give_up(duty)
                self.owner.soon(self.local())

    def act(self, run: int) -> None:
        if run != self.run or self.down:
            return
        self.world.clock.after(self.chance.expovariate(self.world.plan.acts), self.act, run)
        if self.stalled is None and (mine := self.owner.duties(self.local())):
            duty = self.chance.choice(mine)
            token = self.owner.may(self.local(), duty)
            if duty == "pay":
                self.pay(token)
            else:
                self.later(lambda: self.order(duty, token))

    def later(self, call: Callable[[], None]) -> None:
        """At once, or after a sleep that nobody sees."""
        sleep = self.chance.expovariate(1.0) if self.chance.random() < self.world.plan.sleeps else 0.0
        self.world.clock.after(sleep, self._later, self.run, call)

    def _later(self, run: int, call: Callable[[], None]) -> None:
        if run != self.run or self.down:
            return
        if self.stalled is not None:
            self.stalled.append(lambda: self._later(run, call))
        else:
            call()

    def order(self, duty: str, token: int) -> None:
        if self.owner.may(self.local(), duty) != token:
            return
        world = self.world
        world.acted(self, duty, token)
        receiver = self.chance.choice(world.receivers)
        shown = int(self.local() * 1000) if world.broken.by_clock else token
        if world.chance.random() >= world.loss:
            late = world.chance.uniform(0.5, 4.0) if world.chance.random() < world.plan.late else 0.0
            world.clock.after(world.delay() + late, receiver.told, duty, token, shown)

    # Irreversible effects

    def write(self, command: DutyCommand, then: Callable[[str], None] = lambda against: None) -> None:
        self.send(replace_target(Writes(self, command, then), self.chance.choice(self.world.ids)))

    def send(self, reply: Writes) -> None:
        self.call(reply, lambda host, at, token: host.write_duty(at, token, reply.command))

    def pay(self, token: int) -> None:
        for id, row in self.world.open_intents(self).items():
            if row.token < token:
                if self.world.broken.repeats:
                    self.effect(token, id)
                else:
                    self.write(Tell("pay", token, id))
        self.count += 1
        id, begun = f"{self.owner.id}-{self.count}", self.local()
        intend = Intend("pay", token, id, "a transfer", 2.0)
        if self.world.broken.effect_first:
            self.effect(token, id)
            return self.write(intend)

        def written(against: str) -> None:
            if not against:
                self.later(lambda: self.effect(token, id) if self.local() < begun + 2.0 else None)

        self.write(intend, written)

    def effect(self, token: int, id: str) -> None:
        if self.owner.may(self.local(), "pay") == token:
            self.world.acted(self, "pay", token)
            self.world.effect(id)
            self.write(Did("pay", token, id))


class DutyWorld(AgreedWorld):
    def __init__(self, plan: DutyPlan, seed: int, broken: Broken | None = None) -> None:
        World.__init__(self, plan, seed, broken or Broken())
        self.host = watched(self.broken.chief)
        drift = plan.terms.drift
        for node in self.nodes.values():
            node.rate = self.chance.choice((1 - drift, 1.0, 1 + drift))
        self.cars = {f"s{at}": Instance(self, f"s{at}", self.rng(f"s{at}")) for at in range(plan.cars)}
        self.counts = {"acts": 0, "obeyed": 0, "refused": 0, "effects": 0, "unknown": 0}
        self.receivers = [Receiver(self, f"r{at}") for at in range(plan.receivers)]
        self.highest: dict[
            str, tuple[int, float]
        ] = {}  # by duty: the latest token acted under, and since when
        self.paid: dict[str, int] = {}
        self.intended: set[str] = set()
        self.owners: dict[str, tuple[int, str]] = {}  # by duty, as the log had it last: token and owner
        self.moves: list[float] = []  # from the last act under a token to the first under the next
        self.last_act: dict[str, float] = {}
        self.whole_since = float("inf")

    def answer(self, node: Node, answer: Answer) -> None:
        reply = self.tokens.get(answer.token, (None, 0))[0]
        if isinstance(reply, Learns):
            self.clock.after(self.delay(), reply.told, 0, answer)
        else:
            super().answer(node, answer)

    def took(self, registry: Registry) -> None:
        for name, duty in registry.duties.items():
            self.intended |= duty.intents.keys()
            token, owner = self.owners.get(name, (0, ""))
            if duty.token > token:
                if duty.token != token + 1:
                    self.judge.found("rising", f"{name} goes from token {token} to {duty.token}")
                self.owners[name] = (duty.token, duty.owner)
            elif duty.token == token and duty.owner and duty.owner != owner:
                self.judge.found("rising", f"token {token} of {name} is {owner}'s and {duty.owner}'s")

    def acted(self, car: Instance, duty: str, token: int) -> None:
        self.counts["acts"] += 1
        latest, _ = self.highest.get(duty, (0, 0.0))
        if token < latest:
            self.judge.found("one_acts", f"{car.owner.id} acts for {duty} by token {token} after {latest}")
        elif token > latest:
            if duty in self.last_act:
                self.moves.append(self.now - self.last_act[duty])
            self.highest[duty] = (token, self.now)
        self.last_act[duty] = self.now

    def open_intents(self, car: Instance) -> dict[str, Any]:
        """As some coordinator has them, maybe not the latest."""
        host = self.nodes[car.chance.choice(self.ids)].host
        duty = host.duties.duties.get("pay") if host is not None else None
        found = {id: row for id, row in duty.intents.items() if row.state == "open"} if duty else {}
        return dict(list(found.items())[:20])

    def effect(self, id: str) -> None:
        self.counts["effects"] += 1
        self.paid[id] = self.paid.get(id, 0) + 1
        if self.paid[id] > 1:
            self.judge.found("once", f"{id} came {self.paid[id]} times")
        if id not in self.intended:
            self.judge.found("intended", f"{id} came before its intent")

    def befalls(self, kind: str, lasts: float, of: str = "") -> None:
        if kind not in OTHER_FAULTS:
            return super().befalls(kind, lasts, of)
        if kind == "wish":
            car, duty = self.chance.choice(list(self.cars.values())), self.chance.choice(DUTIES)
            self.told.append(f"{self.now:.3f} wish {duty} {car.id}")
            return car.write(Wish(duty, car.owner.id)) if not car.down else None
        receiver = self.chance.choice(self.receivers)
        self.told.append(f"{self.now:.3f} {kind} {receiver.id}")
        receiver.restarts(kind == "receiver_wiped")

    def played(self) -> Judge:
        judge = World.played(self)
        for duty in DUTIES:
            able = [car.owner.id for car in self.cars.values() if car.owner.may(car.local(), duty)]
            if len(able) > 1 or self.now - self.last_act.get(duty, 0.0) > 5.0:  # it may be moving
                judge.found("rest", f"{duty} is owned by {able}, last act {self.last_act.get(duty)}")
        return judge


@dataclass
class Result:
    seed: int
    faults: list[Fault]
    told: list[str]
    counts: dict[str, int]
    moves: list[float] = field(default_factory=list)


def played(plan: DutyPlan, seed: int, broken: Broken | None = None) -> Result:
    plan = plan if seed % 4 else replace(plan, members=5)
    world = DutyWorld(plan, seed, broken)
    judge = world.play()
    return Result(seed, judge.faults, world.told, world.counts, world.moves)


# Broken ones


class ChecksEarly(Owner):
    """Looks whether it may act when it decides, and not again when it acts."""

    def may(self, now: float, duty: str) -> int:
        token, until = self.held.get(duty, (0, 0.0))
        return token if now < until + 3.0 else 0


class FromAnswer(Owner):
    """Counts a lease from the answer."""

    def _until(self, asked: float, now: float, lease: float) -> float:
        return now + lease


class TakesBack(Owner):
    """A late answer gives it back what it has given up."""

    def give_up(self, duty: str) -> None:
        super().give_up(duty)
        self.gone.clear()


class NoPause(Chief):
    """Gives a lost duty to the next at once."""

    def _pause(self, lease: float) -> float:
        return 0.0


class Unverified(Chief):
    """Answers by what it knows, without asking whether that is the latest."""

    def ask_duties(self, now: float, token: int, ask: DutyAsk | None) -> None:
        super().ask_duties(now, token, ask)
        if self.duty_asks.pop(token, None) is not None:
            self.answers.append(Answer(token, Status.DONE, self.given(ask), self.member.leader))


class Unguarded(Guard):
    """Doesn't look at tokens."""

    def admit(self, duty: str, token: int) -> bool:
        return True


class Trusting(Guard):
    """One that was wiped obeys the first that comes."""

    def admit(self, duty: str, token: int) -> bool | None:
        self.known = self.known or {}
        return super().admit(duty, token)


@dataclass(frozen=True)
class Mutant:
    broken: Broken
    rules: tuple[str, ...]
    plan: dict[str, Any] = field(default_factory=dict)


BUSY = {"cars": 3, "acts": 12.0, "late": 0.2, "receivers": 2, "most": 30}
CARS = ("car_stall", "car_silent", "car_out", "car_in", "cars_cut")
MUTANTS: dict[str, Mutant] = {
    "unguarded": Mutant(Broken(guard=Unguarded), ("fenced",), {"faults": CARS}),
    "by_clock": Mutant(Broken(by_clock=True), ("fenced",), {"faults": (*CARS, *OTHER_FAULTS), **BUSY}),
    "forgets": Mutant(Broken(forgets=True), ("fenced",), {"faults": (*CARS, *OTHER_FAULTS), **BUSY}),
    "trusting": Mutant(Broken(guard=Trusting), ("fenced",), {"faults": (*CARS, *OTHER_FAULTS), **BUSY}),
    "no_pause": Mutant(Broken(chief=NoPause), ("one_acts",), {"faults": CARS}),
    "checks_early": Mutant(Broken(owner=ChecksEarly), ("one_acts",), {"faults": CARS}),
    "from_answer": Mutant(Broken(owner=FromAnswer), ("one_acts",), {"faults": ("held", *CARS), "most": 16}),
    "takes_back": Mutant(Broken(owner=TakesBack), ("one_acts",), {"faults": ("held", "wish"), **BUSY}),
    "unverified": Mutant(
        Broken(chief=Unverified), ("one_acts",), {"faults": ("silent", "silent_in", "split")}
    ),
    "effect_first": Mutant(Broken(effect_first=True), ("intended",)),
    "repeats": Mutant(Broken(repeats=True), ("once",), {"faults": (*CARS, "loss", "car_restart")}),
}


def caught(name: str, seeds: range, base: DutyPlan = DutyPlan()) -> Result | None:
    """The first run that breaks one of its rules."""
    mutant = MUTANTS[name]
    for seed in seeds:
        result = played(replace(base, **mutant.plan), seed, mutant.broken)
        if any(each.rule in mutant.rules for each in result.faults):
            return result
    return None
