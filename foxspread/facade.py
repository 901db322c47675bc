"""The decisions in blocking style: each call brings what is known up to date and returns the steps now
due, for every lookup. Who carries them out needs neither the module's inputs nor its `Decision`s.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from foxspread import carry, change
from foxspread.logic import Balancer
from foxspread.model import Act, Decision, ListedServer, Outcome

__all__ = ["Answer", "CallOff", "Facade", "Fault", "Outcome", "Send", "Step", "Subscribe"]


@dataclass(slots=True)
class Send:
    """Hand the lookup to the server. Just before the first byte `Facade.holds` must agree; else it is unsent.
    Each `Send` gets exactly one `Facade.report`."""

    lookup: str
    number: int
    server: str
    time_out: float


@dataclass(slots=True)
class CallOff:
    lookup: str
    number: int


@dataclass(slots=True)
class Answer:
    """The lookup's final answer, where no server gave one."""

    lookup: str
    dismissed: bool  # else scrapped
    back_in: float = 0.0  # 0: no advice


@dataclass(slots=True)
class Subscribe:
    """Ask for the list of servers and its changes; `list_failed` if that fails or ends."""


Step = Send | CallOff | Answer | Subscribe


class Fault(Exception):
    """The decisions failed. Guards the steps decided before that: they must still be carried out."""

    def __init__(self, steps: list[Step]) -> None:
        super().__init__("the decisions failed")
        self.steps = steps


class Facade:
    def __init__(self, now: float, settings: dict[str, Any]) -> None:
        self.balancer = Balancer(now, **settings)
        self.categories = frozenset(self.balancer.categories)
        self.newcomers = change.Newcomers()

    def change(
        self,
        now: float,
        settings: dict[str, Any],
        taken_out: frozenset[str] = frozenset(),
        only: frozenset[str] | None = None,
    ) -> None:
        """Other settings, for all decisions from here on (foxspread/change.py); `tick` follows."""
        change.change(self.balancer, now, settings)
        change.lists(self.balancer, now, taken_out, only)
        self.categories = frozenset(self.balancer.categories)

    def agreed_list(self, now: float, entries: list[ListedServer], alone: bool) -> None:
        """The list, where agreed rules hold it: the whole one, or what one alone uses. `tick` follows."""
        entries = self.newcomers.started(now, entries, alone)
        change.regrouped(self.balancer, entries)
        self.balancer.servers_listed(now, entries, True)

    def halt(self, now: float) -> None:
        """Nothing may be handed off until the next `change`; `tick` follows."""
        change.halt(self.balancer, now)

    def abandon_time(self, category: str) -> float:
        return self.balancer.categories[category].abandon_time

    def longest(self) -> float:
        """Seconds that a lookup may still wait for its answer, of a category that is gone as well."""
        return self.balancer.longest

    def knows(self, id: str) -> bool:
        """Also of a lookup that is over while a hand-off of it is still out."""
        return id in self.balancer.lookups

    def take_out(self, now: float, server: str) -> bool:
        """By hand: nothing goes there until it is called back. `tick` follows. False: nobody has that id."""
        return self.balancer.by_hand(now, server, True)

    def call_back(self, now: float, server: str) -> bool:
        return self.balancer.by_hand(now, server, False)

    def entries(self, servers: Iterable[str]) -> list[ListedServer]:
        return [self.balancer.servers.known[each] for each in servers]

    def avoided(self) -> int:
        """How many of the listed servers get nothing now but trials, by hand or by what they did."""
        it = self.balancer
        listed = it.servers.listed_of(it.servers.by_hand)
        chosen = set() if it.panic else it.marks.marked | it.hushed
        return len(listed | chosen & it.servers.ready)

    def can_serve(self) -> bool:
        return bool(self.balancer.servers.ready)

    def pick(
        self,
        now: float,
        id: str,
        category: str,
        time_left: float,
        customer: str = "",
        key: str = "",
        again: bool = False,
    ) -> list[Step]:
        """A lookup has come; `again` where it is marked as a client's further try."""
        self.balancer.lookup_taken(now, id, category, time_left, customer, key, again)
        return self.tick(now)

    def report(self, now: float, id: str, number: int, outcome: Outcome) -> list[Step]:
        """A hand-off has ended. The first that is done answers its lookup."""
        self.note(now, id, number, outcome)
        return self.tick(now)

    def note(self, now: float, id: str, number: int, outcome: Outcome) -> list[Step]:
        """The same, with no steps before the next call: where more has come that is still to be read."""
        self.balancer.hand_off_ended(now, id, number, outcome, closed=False)
        return []

    def body_passes(self, now: float, id: str, number: int, gone: bool) -> float:
        """What is not kept of a lookup's body begins to go out, or has gone. Returns the time left to it."""
        return self.balancer.body_passes(now, id, number, gone)

    def left(self, now: float, id: str) -> list[Step]:
        """The client has gone away."""
        self.balancer.client_left(now, id)
        return self.tick(now)

    def listed(self, now: float, entries: Iterable[ListedServer], whole: bool) -> list[Step]:
        self.balancer.servers_listed(now, entries, whole)
        return self.tick(now)

    def list_failed(self, now: float) -> list[Step]:
        self.balancer.list_call_failed(now)
        return self.tick(now)

    def tick(self, now: float) -> list[Step]:
        """What is due by time alone; to be called at `wake_at`."""
        steps = []
        try:
            while (decision := self.balancer.next_decision(now)) is not None:
                steps.append(self._step(decision))
        except Exception as error:
            raise Fault(steps) from error
        return steps

    def _step(self, decision: Decision) -> Step:
        match decision.act:
            case Act.HAND_OFF:  # it is the lookup's last one until the next decision is pulled
                number = len(self.balancer.lookups[decision.lookup].sent) - 1
                return Send(decision.lookup, number, decision.server, decision.time_out)
            case Act.CALL_OFF:
                return CallOff(decision.lookup, decision.number)
            case Act.SUBSCRIBE:
                return Subscribe()
            case act:
                return Answer(decision.lookup, act is Act.DISMISS, decision.back_in)

    def wake_at(self) -> float | None:
        return self.balancer.wake_at()

    def learnt(self) -> dict[str, Any]:
        """What still means the same to the next instance (foxspread/carry.py)."""
        return carry.learnt(self.balancer)

    def state(self, now: float) -> dict[str, Any]:
        """All that a successor beside us needs."""
        return carry.state(self.balancer, now)

    def restore(self, now: float, told: Any, entries: Iterable[ListedServer]) -> int:
        """The state of a predecessor, with its list; as `take_over`."""
        return carry.restore(self.balancer, now, told, entries)

    def yields(self, on: bool) -> None:
        """Nothing more to cold servers: the budget that all keep together is a successor's."""
        self.balancer.servers.yielded = on

    def take_over(self, now: float, told: Any) -> int:
        """After the first list: how many marks stand again. ValueError where that is no record."""
        return carry.take_over(self.balancer, now, told)

    def holds(self, now: float, id: str, number: int) -> bool:
        """Guards against a send that was right when decided and is wrong once the connection is up: the
        server drains by now, the lookup is answered, its copy is done."""
        lookup = self.balancer.lookups.get(id)
        return lookup is not None and self.balancer.gate.holds(now, lookup, number)
