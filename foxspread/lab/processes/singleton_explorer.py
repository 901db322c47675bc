"""One duty, two instances, one receiver that knows tokens and one that knows none, looked at whole up to a
depth: from a state, time may go on by a tick, any message may be the next to arrive or never, an instance may
ask, look, act, be stopped between its look and its act, crash and start anew; the leader may give the duty,
take it for lost without reason, and free it when its time has come. `Registry`, `Owner` and `Guard` are the
ones of the product. Breadth first, so the first fault found is the shortest.

Invariants:
    one_acts   no act under a token after one under a higher, for acts that are not stopped after their look
    fenced     the receiver obeys no token after a higher one
    once       no irreversible effect comes twice
    intended   none comes before its intent is written
    exclusive  at no moment two instances may act

Left out, and looked at by the seeded runs: several coordinators, clocks that run differently (here a tick is
one for all, and no drift is allowed for).
"""

import copy
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from foxspread.singleton.fencing import Guard
from foxspread.singleton.lease_holder import DutyAsk, Given, Owner
from foxspread.singleton.lease_table import Did, Free, Intend, Lose, Registry, Take, Tell, Yield
from foxspread.lab.processes import singleton_simulation as broken

DUTY = "d"
LEASE = 2.0


@dataclass(frozen=True)
class Case:
    """Bounds: how often what may happen in a run."""

    ticks: int = 3
    asks: int = 2
    takes: int = 2
    stalls: int = 0
    crashes: int = 0
    acts: int = 0
    intents: int = 0
    yields: int = 0
    wipes: int = 0
    depth: int = 40
    states: int = 1_000_000


CASES = {
    "orders": Case(acts=2),
    "stalls": Case(acts=2, stalls=1),
    "intents": Case(intents=1, crashes=1),
    "yields": Case(ticks=1, asks=4, yields=1),
    "wiped": Case(acts=2, wipes=1),
    "all": Case(ticks=4, asks=3, stalls=1, crashes=1, acts=2, intents=1, yields=1, depth=9),
}


@dataclass
class Kinds:
    """Of the parts; broken ones in their place."""

    owner: type[Owner] = Owner
    guard: type[Guard] = Guard
    pause: float = LEASE
    repeats: bool = False


@dataclass
class State:
    now: float
    registry: Registry
    owners: dict[str, Owner]
    guard: Guard
    disk: dict[str, int]
    answers: tuple[tuple[str, DutyAsk, Given], ...] = ()  # under way
    orders: tuple[int, ...] = ()  # tokens under way to the receiver
    dids: tuple[tuple[int, str], ...] = ()  # intents that were done, and the word of it is under way
    armed: tuple[tuple[str, int, str], ...] = ()  # stopped between look and act: instance, token, intent
    lost_at: float = 0.0
    acted: int = 0  # the highest token that was acted under
    obeyed: int = 0
    paid: tuple[str, ...] = ()
    counts: dict[str, int] = field(default_factory=dict)


@dataclass
class Found:
    states: int
    depth: int
    whole: bool  # there are no more states within the case's bounds
    seconds: float
    fault: str = ""
    path: tuple[str, ...] = ()


def cloned(state: State) -> State:
    twin = copy.copy(state)
    twin.registry = Registry()
    twin.registry.restore(state.registry.saved())
    twin.owners = {}
    for id, owner in state.owners.items():
        twin.owners[id] = again = copy.copy(owner)
        again.held, again.gone, again.yields = dict(owner.held), dict(owner.gone), dict(owner.yields)
        again.wanted = set(owner.wanted)
    twin.disk = dict(state.disk)
    twin.guard = copy.copy(state.guard)
    twin.guard.known = None if state.guard.known is None else dict(state.guard.known)
    twin.guard.keep = twin.disk.__setitem__
    twin.counts = dict(state.counts)
    return twin


def key_of(state: State) -> tuple:
    owners = tuple(
        (id, tuple(each.held.items()), tuple(each.gone.items()), tuple(each.yields.items()))
        for id, each in state.owners.items()
    )
    known = None if state.guard.known is None else tuple(state.guard.known.items())
    return (
        state.now,
        state.registry.saved(),
        owners,
        known,
        tuple(state.disk.items()),
        tuple((id, ask.at, ask.yields, tuple(given.held.items())) for id, ask, given in state.answers),
        state.orders,
        state.dids,
        state.armed,
        state.lost_at,
        state.acted,
        state.obeyed,
        state.paid,
        tuple(sorted(state.counts.items())),
    )


class Explorer:
    def __init__(self, case: Case, kinds: Kinds | None = None) -> None:
        self.case, self.kinds = case, kinds or Kinds()

    def owner(self, id: str, now: float) -> Owner:
        return self.kinds.owner(now, id, (DUTY,), lambda: 0.5, 0.0)

    def first(self) -> State:
        disk: dict[str, int] = {}
        owners = {each: self.owner(each, 0.0) for each in ("a/1", "b/1")}
        return State(0.0, Registry(), owners, self.kinds.guard({}, disk.__setitem__), disk)

    def next(self, state: State) -> Iterator[tuple[str, State, str]]:
        """What may happen: its name, the state after it, and a fault where one shows."""
        case, counts = self.case, state.counts
        duty = state.registry.duties.get(DUTY)

        def left(what: str) -> bool:
            return counts.get(what, 0) < getattr(case, what)

        def after(what: str = "") -> State:
            twin = cloned(state)
            if what:
                twin.counts[what] = twin.counts.get(what, 0) + 1
            return twin

        if left("ticks"):
            twin = after("ticks")
            twin.now += 1.0
            yield "a tick", twin, ""
        # The leader's steps.
        if duty is None or not duty.owner:
            for id in state.owners if left("takes") else ():
                twin = after("takes")
                twin.registry.obey(Take(DUTY, id, (duty.token if duty else 0) + 1))
                yield f"{id} is given it", twin, ""
        elif not duty.lost:
            twin = after()
            twin.registry.obey(Lose(DUTY, duty.token))
            twin.lost_at = state.now
            yield "taken for lost", twin, ""
        elif state.now - state.lost_at >= self.kinds.pause:
            twin = after()
            twin.registry.obey(Free(DUTY, duty.token))
            yield "freed", twin, ""
        # Instances.
        for id, owner in state.owners.items():
            if left("asks"):
                twin = after("asks")
                ask = DutyAsk(id, state.now, (DUTY,), tuple(owner.yields.items()))
                for name, token in ask.yields:
                    twin.registry.obey(Yield(name, token))
                given = Given(LEASE, 0.0, twin.registry.held_by(id))
                twin.answers = (*state.answers, (id, ask, given))
                yield f"{id} asks", twin, ""
            token = owner.may(state.now, DUTY)
            if not token:
                continue
            if left("yields"):
                twin = after("yields")
                twin.owners[id].give_up(DUTY)
                yield f"{id} gives it up", twin, ""
            if left("acts"):
                yield self._act(after("acts"), id, token, "")
                if left("stalls"):
                    twin = after("acts")
                    twin.counts["stalls"] = counts.get("stalls", 0) + 1
                    twin.armed = (*state.armed, (id, token, ""))
                    yield f"{id} is stopped after its look", twin, ""
            if left("intents"):
                twin = after("intents")
                intent = f"{id}-{counts.get('intents', 0)}"
                if not twin.registry.obey(Intend(DUTY, token, intent, "pay", 2.0)):
                    twin.armed = (*state.armed, (id, token, intent))
                    yield f"{id} intends {intent}", twin, ""
            for intent, row in list(duty.intents.items()) if duty else ():
                if row.state == "open" and row.token < token:
                    twin = after()
                    if self.kinds.repeats:
                        yield self._effect(twin, id, intent)
                    else:
                        twin.registry.obey(Tell(DUTY, token, intent))
                        yield f"{id} finds {intent} open", twin, ""
        for id, token, intent in state.armed:
            twin = after()
            twin.armed = tuple(each for each in state.armed if each != (id, token, intent))
            if not intent:  # it wakes and sends, whatever the time
                twin.orders = (*state.orders, token)
                yield f"{id} wakes, and sends by token {token}", twin, ""
            elif state.owners[id].may(state.now, DUTY) == token:
                yield self._effect(twin, id, intent)
        if left("crashes"):
            for id in state.owners:
                twin = after("crashes")
                del twin.owners[id]
                again = f"{id[0]}/{int(id[2:]) + 1}"
                twin.owners[again] = self.owner(again, state.now)
                twin.answers = tuple(each for each in state.answers if each[0] != id)
                twin.armed = tuple(each for each in state.armed if each[0] != id)
                yield f"{id} crashes", twin, ""
        # What arrives.
        for at, (id, ask, given) in enumerate(state.answers):
            twin = after()
            twin.answers = state.answers[:at] + state.answers[at + 1 :]
            twin.owners[id].answered(state.now, ask, given)
            able = [each for each, owner in twin.owners.items() if owner.may(state.now, DUTY)]
            yield f"an answer reaches {id}", twin, f"exclusive: {able} may act" if len(able) > 1 else ""
        for at, token in enumerate(state.orders):
            twin = after()
            twin.orders = state.orders[:at] + state.orders[at + 1 :]
            fault = ""
            if twin.guard.admit(DUTY, token):
                if token < state.obeyed:
                    fault = f"fenced: token {token} is obeyed after {state.obeyed}"
                twin.obeyed = max(state.obeyed, token)
            yield f"an order by token {token} arrives", twin, fault
        for at, (token, intent) in enumerate(state.dids):
            twin = after()
            twin.dids = state.dids[:at] + state.dids[at + 1 :]
            twin.registry.obey(Did(DUTY, token, intent))
            yield f"{intent} is known to be done", twin, ""
        if left("wipes"):
            twin = after("wipes")
            twin.disk = {}
            twin.guard = self.kinds.guard(None, twin.disk.__setitem__)
            yield "the receiver is wiped", twin, ""
        if state.guard.known is None:
            twin = after()
            twin.guard.learn(state.registry.tokens())
            yield "the receiver learns", twin, ""

    def _act(self, twin: State, id: str, token: int, fault: str) -> tuple[str, State, str]:
        if token < twin.acted:
            fault = f"one_acts: {id} acts by token {token} after {twin.acted}"
        twin.acted = max(twin.acted, token)
        twin.orders = (*twin.orders, token)
        return f"{id} acts by token {token}", twin, fault

    def _effect(self, twin: State, id: str, intent: str) -> tuple[str, State, str]:
        fault = f"once: {intent} comes again" if intent in twin.paid else ""
        row = twin.registry.duties[DUTY].intents.get(intent)
        if row is None:
            fault = f"intended: {intent} comes before its intent"
        else:
            twin.dids = (*twin.dids, (row.token, intent))
        twin.paid = (*twin.paid, intent)
        return f"{id} does {intent}", twin, fault

    def run(self) -> Found:
        begun, first = time.monotonic(), self.first()
        seen, front, depth = {key_of(first)}, [(first, ())], 0
        while front and depth < self.case.depth and len(seen) < self.case.states:
            depth, after = depth + 1, []
            for state, path in front:
                for name, twin, fault in self.next(state):
                    if fault:
                        return Found(len(seen), depth, False, time.monotonic() - begun, fault, (*path, name))
                    if (key := key_of(twin)) not in seen:
                        seen.add(key)
                        after.append((twin, (*path, name)))
            front = after
        return Found(len(seen), depth, not front, time.monotonic() - begun)


# By name: parts that are broken, and the case that shows it.
MUTANTS = {
    "no_pause": ("orders", Kinds(pause=0.0)),
    "unguarded": ("orders", Kinds(guard=broken.Unguarded)),
    "from_answer": ("orders", Kinds(owner=broken.FromAnswer)),
    "repeats": ("intents", Kinds(repeats=True)),
    "takes_back": ("yields", Kinds(owner=broken.TakesBack)),
    "trusting": ("wiped", Kinds(guard=broken.Trusting)),
}


def explored(name: str, mutant: str = "") -> Found:
    return Explorer(CASES[name], MUTANTS[mutant][1] if mutant else None).run()
