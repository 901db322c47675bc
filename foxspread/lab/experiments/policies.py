"""Baseline policies to compare with: simple choices of a server in place of the balancer's. They use the same
admission control, so they observe the same limits, and they retry a request after a failure or its expected
time. They have no outlier detection, no zones, no subsets and no load shedding.
"""

from collections.abc import Callable
from typing import Any

from foxspread.balancer import Balancer
from foxspread.engine import DecisionEngine
from foxspread.model import Request

BaselineChoice = Callable[[Balancer, list[str]], str]


def _random(balancer: Balancer, candidates: list[str]) -> str:
    return candidates[int(balancer.chance.draw() * len(candidates))]


def _round_robin(balancer: Balancer, candidates: list[str]) -> str:
    """Returns the next server in the order of names after the last one, beginning at a random one."""
    last = getattr(balancer, "last", None) or _random(balancer, candidates)
    balancer.last = next((server for server in candidates if server > last), candidates[0])
    return balancer.last


def _least_in_flight(balancer: Balancer, candidates: list[str]) -> str:
    return min(candidates, key=lambda server: (balancer._in_flight_at(server), balancer.chance.draw()))


def _two_choices(balancer: Balancer, candidates: list[str]) -> str:
    return min((_random(balancer, candidates), _random(balancer, candidates)), key=balancer._in_flight_at)


BASELINES: dict[str, BaselineChoice] = {
    "random": _random,
    "round_robin": _round_robin,
    "least_in_flight": _least_in_flight,
    "two_choices": _two_choices,
}
POLICIES = ("foxspread", *BASELINES)


class BaselineBalancer(Balancer):
    """Balancer that chooses servers by a baseline policy."""

    def __init__(self, now: float, choose_server: BaselineChoice, **settings: Any) -> None:
        super().__init__(now, **settings)
        self.choose_server = choose_server

    def _choose(self, now: float, request: Request) -> str | None:
        if (
            self._too_late(now, request)
            or not self.admission.may_attempt(now, request)
            or (request.in_flight() and not self._given_up_on(now, request))
        ):
            return None
        candidates = [
            server
            for server in sorted(self.servers.ready)
            if all(sent.server != server for sent in request.attempts)
            and self.admission.allows_server(now, request, server)
        ]
        return self.choose_server(self, candidates) if candidates else None

    def _given_up_on(self, now: float, request: Request) -> bool:
        return now >= request.in_flight()[-1].sent_at + request.category.expected_time


class BaselineEngine(DecisionEngine):
    """Decision engine with a `BaselineBalancer`."""

    def __init__(self, now: float, settings: dict[str, Any], choose_server: BaselineChoice) -> None:
        self.balancer = BaselineBalancer(now, choose_server, **settings)
        self.categories = frozenset(self.balancer.categories)


def engine_factory(policy: str) -> Callable[[float, dict[str, Any]], DecisionEngine]:
    """Returns a factory of decision engines with this policy. Raises `KeyError` for an unknown policy."""
    if policy == "foxspread":
        return DecisionEngine
    choose_server = BASELINES[policy]
    return lambda now, settings: BaselineEngine(now, settings, choose_server)
