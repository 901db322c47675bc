"""Small cases of a singleton role, looked at whole up to a depth: one role, two instances, one receiver that
knows fencing tokens and one that knows none. From a state, time may go on by a tick, any message may be the
next to arrive or never, an instance may ask, decide, act, be stopped between its decision and its act, crash
and start anew; the leader may assign the role, suspect its holder without reason, and free it when its time
has come. `LeaseTable`, `RoleLeaseHolder` and `FencingGuard` are the ones of the product.

Invariants:
    one_acts   no act under a token after one under a higher, for acts that are not stopped after the decision
    fenced     the receiver obeys no token after a higher one
    once       no irreversible effect comes twice
    intended   none comes before its intent is written
    exclusive  at no moment two instances may act

Left out, and looked at by the seeded runs: several coordinators, clocks that run differently (here a tick is
one for all, and no drift is allowed for).
"""

import copy
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from foxspread.lab.processes import singleton_mutants, state_search
from foxspread.lab.processes.state_search import SearchResult, Transition
from foxspread.singleton.fencing import FencingGuard
from foxspread.singleton.lease_holder import RoleLeaseGrant, RoleLeaseHolder, RoleLeaseRequest
from foxspread.singleton.lease_table import (
    AbandonIntent,
    AssignRole,
    CompleteIntent,
    FreeRole,
    IntentState,
    LeaseTable,
    RecordIntent,
    ReleaseRole,
    SingletonRole,
    SuspectHolder,
)

ROLE = "d"
LEASE = 2.0  # ticks


@dataclass(frozen=True)
class Case:
    """Bounds: how often each thing may happen in a run, how deep, and how many states."""

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
class Parts:
    """Kinds of the parts; broken ones in their place. `delay`: ticks from a suspicion until the role is
    free."""

    holder: type[RoleLeaseHolder] = RoleLeaseHolder
    guard: type[FencingGuard] = FencingGuard
    delay: float = LEASE
    repeats: bool = False


@dataclass(frozen=True)
class PendingAnswer:
    """A grant on its way."""

    instance: str
    request: RoleLeaseRequest
    grant: RoleLeaseGrant


@dataclass(frozen=True)
class StoppedAct:
    """An instance that was stopped between its decision and its act; an empty `intent` is an order."""

    instance: str
    token: int
    intent: str = ""


@dataclass
class State:
    """`orders`: tokens on their way to the receiver. `completions`: intents that were done, with tokens, and
    the write of it is on its way. `acted`, `obeyed`: the highest tokens that were."""

    now: float
    table: LeaseTable
    holders: dict[str, RoleLeaseHolder]
    guard: FencingGuard
    disk: dict[str, int]
    answers: tuple[PendingAnswer, ...] = ()
    orders: tuple[int, ...] = ()
    completions: tuple[tuple[int, str], ...] = ()
    stopped: tuple[StoppedAct, ...] = ()
    suspected_at: float = 0.0
    acted: int = 0
    obeyed: int = 0
    effects: tuple[str, ...] = ()
    counts: dict[str, int] = field(default_factory=dict)

    def role(self) -> SingletonRole | None:
        """The role as the table has it."""
        return self.table.roles.get(ROLE)


def cloned(state: State) -> State:
    """A state that shares nothing that changes."""
    twin = copy.copy(state)
    twin.table = LeaseTable()
    twin.table.restore(state.table.saved())
    twin.holders = {}
    for id, holder in state.holders.items():
        twin.holders[id] = copied = copy.copy(holder)
        copied.roles, copied.released_tokens = dict(holder.roles), dict(holder.released_tokens)
        copied.unconfirmed_releases = dict(holder.unconfirmed_releases)
        copied.to_release = set(holder.to_release)
    twin.disk = dict(state.disk)
    twin.guard = copy.copy(state.guard)
    known = state.guard.highest_tokens
    twin.guard.highest_tokens = None if known is None else dict(known)
    twin.guard.persist = twin.disk.__setitem__
    twin.counts = dict(state.counts)
    return twin


def key_of(state: State) -> Hashable:
    """What makes two states the same."""
    holders = tuple(
        (
            id,
            tuple(holder.roles.items()),
            tuple(holder.released_tokens.items()),
            tuple(holder.unconfirmed_releases.items()),
        )
        for id, holder in state.holders.items()
    )
    known = state.guard.highest_tokens
    answers = tuple(
        (each.instance, each.request.sent_at, each.request.released, tuple(each.grant.tokens.items()))
        for each in state.answers
    )
    return (
        state.now,
        state.table.saved(),
        holders,
        None if known is None else tuple(known.items()),
        tuple(state.disk.items()),
        answers,
        state.orders,
        state.completions,
        state.stopped,
        state.suspected_at,
        state.acted,
        state.obeyed,
        state.effects,
        tuple(sorted(state.counts.items())),
    )


def without(rows: tuple, index: int) -> tuple:
    """All rows but one."""
    return rows[:index] + rows[index + 1 :]


class Model:
    """What may happen in a case. Each generator yields the transitions of one kind."""

    def __init__(self, case: Case, parts: Parts | None = None) -> None:
        self.case, self.parts = case, parts or Parts()

    def _new_holder(self, id: str, now: float) -> RoleLeaseHolder:
        return self.parts.holder(now, id, (ROLE,), lambda: 0.5, 0.0)

    def first(self) -> State:
        """Two instances, and nobody holds the role."""
        disk: dict[str, int] = {}
        holders = {id: self._new_holder(id, 0.0) for id in ("a/1", "b/1")}
        return State(0.0, LeaseTable(), holders, self.parts.guard({}, disk.__setitem__), disk)

    def _left(self, state: State, what: str) -> bool:
        """Whether this may happen once more."""
        return state.counts.get(what, 0) < getattr(self.case, what)

    def _after(self, state: State, what: str = "") -> State:
        """A state to be changed, in which this has happened once more."""
        twin = cloned(state)
        if what:
            twin.counts[what] = twin.counts.get(what, 0) + 1
        return twin

    def transitions(self, state: State) -> Iterator[Transition[State]]:
        """All that may happen in a state."""
        if self._left(state, "ticks"):
            twin = self._after(state, "ticks")
            twin.now += 1.0
            yield Transition("a tick", twin)
        yield from self._leader_steps(state)
        for id in state.holders:
            yield from self._instance_steps(state, id)
        yield from self._wake_ups(state)
        yield from self._crashes(state)
        yield from self._answers(state)
        yield from self._orders(state)
        yield from self._completions(state)
        yield from self._receiver_steps(state)

    def _leader_steps(self, state: State) -> Iterator[Transition[State]]:
        role = state.role()
        if role is None or not role.holder:
            for id in state.holders if self._left(state, "takes") else ():
                twin = self._after(state, "takes")
                twin.table.apply(AssignRole(ROLE, id, (role.token if role else 0) + 1))
                yield Transition(f"{id} is given it", twin)
        elif not role.suspected:
            twin = self._after(state)
            twin.table.apply(SuspectHolder(ROLE, role.token))
            twin.suspected_at = state.now
            yield Transition("taken for lost", twin)
        elif state.now - state.suspected_at >= self.parts.delay:
            twin = self._after(state)
            twin.table.apply(FreeRole(ROLE, role.token))
            yield Transition("freed", twin)

    def _instance_steps(self, state: State, id: str) -> Iterator[Transition[State]]:
        if self._left(state, "asks"):
            yield self._request(state, id)
        token = state.holders[id].fencing_token(state.now, ROLE)
        if not token:
            return
        if self._left(state, "yields"):
            twin = self._after(state, "yields")
            twin.holders[id].release(ROLE)
            yield Transition(f"{id} gives it up", twin)
        if self._left(state, "acts"):
            yield self._act(self._after(state, "acts"), id, token)
            if self._left(state, "stalls"):
                twin = self._after(state, "acts")
                twin.counts["stalls"] = state.counts.get("stalls", 0) + 1
                twin.stopped = (*state.stopped, StoppedAct(id, token))
                yield Transition(f"{id} is stopped after its look", twin)
        if self._left(state, "intents"):
            twin = self._after(state, "intents")
            intent = f"{id}-{state.counts.get('intents', 0)}"
            if not twin.table.apply(RecordIntent(ROLE, token, intent, "pay", 2.0)):
                twin.stopped = (*state.stopped, StoppedAct(id, token, intent))
                yield Transition(f"{id} intends {intent}", twin)
        yield from self._open_intents(state, id, token)

    def _request(self, state: State, id: str) -> Transition[State]:
        twin = self._after(state, "asks")
        released = tuple(state.holders[id].unconfirmed_releases.items())
        request = RoleLeaseRequest(id, state.now, (ROLE,), released)
        for name, token in released:
            twin.table.apply(ReleaseRole(name, token))
        grant = RoleLeaseGrant(LEASE, 0.0, twin.table.tokens_held_by(id))
        twin.answers = (*state.answers, PendingAnswer(id, request, grant))
        return Transition(f"{id} asks", twin)

    def _open_intents(self, state: State, id: str, token: int) -> Iterator[Transition[State]]:
        """Intents of an earlier holder that the present one finds open."""
        role = state.role()
        for intent, row in list(role.intents.items()) if role else ():
            if row.state != IntentState.OPEN or row.token >= token:
                continue
            twin = self._after(state)
            if self.parts.repeats:
                yield self._effect(twin, id, intent)
            else:
                twin.table.apply(AbandonIntent(ROLE, token, intent))
                yield Transition(f"{id} finds {intent} open", twin)

    def _wake_ups(self, state: State) -> Iterator[Transition[State]]:
        for stopped in state.stopped:
            id, token = stopped.instance, stopped.token
            twin = self._after(state)
            twin.stopped = tuple(each for each in state.stopped if each != stopped)
            if not stopped.intent:  # it wakes and sends, whatever the time
                twin.orders = (*state.orders, token)
                yield Transition(f"{id} wakes, and sends by token {token}", twin)
            elif state.holders[id].fencing_token(state.now, ROLE) == token:
                yield self._effect(twin, id, stopped.intent)

    def _crashes(self, state: State) -> Iterator[Transition[State]]:
        if not self._left(state, "crashes"):
            return
        for id in state.holders:
            twin = self._after(state, "crashes")
            del twin.holders[id]
            restarted = f"{id[0]}/{int(id[2:]) + 1}"
            twin.holders[restarted] = self._new_holder(restarted, state.now)
            twin.answers = tuple(each for each in state.answers if each.instance != id)
            twin.stopped = tuple(each for each in state.stopped if each.instance != id)
            yield Transition(f"{id} crashes", twin)

    def _answers(self, state: State) -> Iterator[Transition[State]]:
        for index, answer in enumerate(state.answers):
            twin = self._after(state)
            twin.answers = without(state.answers, index)
            twin.holders[answer.instance].on_grant(state.now, answer.request, answer.grant)
            able = [id for id, holder in twin.holders.items() if holder.fencing_token(state.now, ROLE)]
            violation = f"exclusive: {able} may act" if len(able) > 1 else ""
            yield Transition(f"an answer reaches {answer.instance}", twin, violation)

    def _orders(self, state: State) -> Iterator[Transition[State]]:
        for index, token in enumerate(state.orders):
            twin = self._after(state)
            twin.orders = without(state.orders, index)
            violation = ""
            if twin.guard.admit(ROLE, token):
                if token < state.obeyed:
                    violation = f"fenced: token {token} is obeyed after {state.obeyed}"
                twin.obeyed = max(state.obeyed, token)
            yield Transition(f"an order by token {token} arrives", twin, violation)

    def _completions(self, state: State) -> Iterator[Transition[State]]:
        for index, (token, intent) in enumerate(state.completions):
            twin = self._after(state)
            twin.completions = without(state.completions, index)
            twin.table.apply(CompleteIntent(ROLE, token, intent))
            yield Transition(f"{intent} is known to be done", twin)

    def _receiver_steps(self, state: State) -> Iterator[Transition[State]]:
        if self._left(state, "wipes"):
            twin = self._after(state, "wipes")
            twin.disk = {}
            twin.guard = self.parts.guard(None, twin.disk.__setitem__)
            yield Transition("the receiver is wiped", twin)
        if state.guard.highest_tokens is None:
            twin = self._after(state)
            twin.guard.learn(state.table.tokens())
            yield Transition("the receiver learns", twin)

    def _act(self, twin: State, id: str, token: int) -> Transition[State]:
        violation = ""
        if token < twin.acted:
            violation = f"one_acts: {id} acts by token {token} after {twin.acted}"
        twin.acted = max(twin.acted, token)
        twin.orders = (*twin.orders, token)
        return Transition(f"{id} acts by token {token}", twin, violation)

    def _effect(self, twin: State, id: str, intent: str) -> Transition[State]:
        violation = f"once: {intent} comes again" if intent in twin.effects else ""
        row = twin.table.roles[ROLE].intents.get(intent)
        if row is None:
            violation = f"intended: {intent} comes before its intent"
        else:
            twin.completions = (*twin.completions, (row.token, intent))
        twin.effects = (*twin.effects, intent)
        return Transition(f"{id} does {intent}", twin, violation)


# By name: the case that shows it, and the parts that are broken.
MUTANTS = {
    "no_pause": ("orders", Parts(delay=0.0)),
    "unguarded": ("orders", Parts(guard=singleton_mutants.Unguarded)),
    "from_answer": ("orders", Parts(holder=singleton_mutants.FromAnswer)),
    "repeats": ("intents", Parts(repeats=True)),
    "takes_back": ("yields", Parts(holder=singleton_mutants.ForgetsRelease)),
    "trusting": ("wiped", Parts(guard=singleton_mutants.Trusting)),
}


def explored(name: str, mutant: str = "") -> SearchResult:
    """A case looked at whole, with sound parts or those of a mutant."""
    case = CASES[name]
    model = Model(case, MUTANTS[mutant][1] if mutant else None)
    return state_search.search(model.first(), key_of, model.transitions, case.depth, case.states)
