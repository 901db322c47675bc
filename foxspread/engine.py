"""The decisions as plain calls: each call passes on an event and returns the steps that are now due, for
every request. The caller carries the steps out; it needs neither the balancer's inputs nor its `Decision`s.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from foxspread import reconfiguration, state_transfer
from foxspread.balancer import Balancer
from foxspread.model import Action, Decision, Endpoint, Outcome

__all__ = ["Answer", "Cancel", "DecisionEngine", "DecisionError", "Outcome", "Send", "Step", "Subscribe"]


@dataclass(slots=True)
class Send:
    """Send the request to the server. Ask `DecisionEngine.may_send` right before the first byte; if it says
    no, the attempt ends as unsent. Report the end of each `Send` exactly once by
    `DecisionEngine.attempt_ended`."""

    request_id: str
    number: int
    server: str
    timeout: float


@dataclass(slots=True)
class Cancel:
    """Cancel this attempt of the request."""

    request_id: str
    number: int


@dataclass(slots=True)
class Answer:
    """Answer the client: no server has answered the request."""

    request_id: str
    rejected: bool  # True: it has not been executed or may be repeated; False: it may have been executed
    retry_after: float = 0.0  # seconds; 0: no advice


@dataclass(slots=True)
class Subscribe:
    """Watch the endpoint list; call `endpoint_watch_failed` when the watch fails or ends."""


Step = Send | Cancel | Answer | Subscribe


class DecisionError(Exception):
    """The decisions failed. Carries the steps decided before the failure, which must still be carried out."""

    def __init__(self, steps: list[Step]) -> None:
        super().__init__("the decisions failed")
        self.steps = steps


class DecisionEngine:
    """A balancer behind plain calls. After those that do not return a list of steps, call `tick`."""

    def __init__(self, now: float, settings: dict[str, Any]) -> None:
        self.balancer = Balancer(now, **settings)
        self.categories = frozenset(self.balancer.categories)
        self.start_times = reconfiguration.StartTimes()

    def apply_settings(
        self,
        now: float,
        settings: dict[str, Any],
        disabled: frozenset[str] = frozenset(),
        allowed: frozenset[str] | None = None,
    ) -> None:
        """Makes all further decisions under other settings (foxspread/reconfiguration.py)."""
        reconfiguration.apply_settings(self.balancer, now, settings)
        reconfiguration.restrict_servers(self.balancer, now, disabled, allowed)
        self.categories = frozenset(self.balancer.categories)

    def set_agreed_endpoints(self, now: float, entries: list[Endpoint], alone: bool) -> None:
        """Replaces the endpoint list where fleet rules contain it. `alone`: it is only the part that a
        sidecar uses which has lost contact."""
        entries = self.start_times.started(now, entries, alone)
        reconfiguration.forbid_repeats_across_groups(self.balancer, entries)
        self.balancer.update_endpoints(now, entries, True)

    def halt(self, now: float) -> None:
        """Stops all further attempts until the next `apply_settings`."""
        reconfiguration.halt(self.balancer, now)

    def abandon_time(self, category: str) -> float:
        """Seconds after which clients give up on a request of the category."""
        return self.balancer.categories[category].abandon_time

    def max_abandon_time(self) -> float:
        """Seconds that a client may still wait for an answer, also one of a category that was removed."""
        return self.balancer.max_abandon_time

    def knows(self, id: str) -> bool:
        """Returns whether the request, or an attempt of it, has not ended."""
        return id in self.balancer.requests

    def disable(self, now: float, server: str) -> bool:
        """Sends nothing to a server until it is enabled. Returns False if no server has that id."""
        return self.balancer.set_disabled(now, server, True)

    def enable(self, now: float, server: str) -> bool:
        """Ends a server's being disabled by the operator."""
        return self.balancer.set_disabled(now, server, False)

    def endpoints(self, servers: Iterable[str]) -> list[Endpoint]:
        """Returns the entries of these servers in the endpoint list."""
        return [self.balancer.servers.endpoints[each] for each in servers]

    def ejected_count(self) -> int:
        """Number of listed servers that now get trial requests at most: disabled, ejected or silent."""
        balancer = self.balancer
        disabled = balancer.servers.listed(balancer.servers.disabled)
        ejected = set() if balancer.panic else balancer.outliers.ejected | balancer.silent
        return len(disabled | ejected & balancer.servers.ready)

    def can_serve(self) -> bool:
        """Returns whether any server is ready."""
        return bool(self.balancer.servers.ready)

    def request_received(
        self,
        now: float,
        id: str,
        category: str,
        time_left: float,
        customer: str = "",
        key: str = "",
        again: bool = False,
    ) -> list[Step]:
        """A request has come; `again`: it is marked as a client's retry."""
        self.balancer.request_received(now, id, category, time_left, customer, key, again)
        return self.tick(now)

    def attempt_ended(self, now: float, id: str, number: int, outcome: Outcome) -> list[Step]:
        """An attempt has ended. The first successful one answers its request."""
        self.note_attempt_ended(now, id, number, outcome)
        return self.tick(now)

    def note_attempt_ended(self, now: float, id: str, number: int, outcome: Outcome) -> list[Step]:
        """Like `attempt_ended`, but leaves the steps to the next call, for a caller that has more events to
        pass on first."""
        self.balancer.attempt_ended(now, id, number, outcome, closed=False)
        return []

    def body_streaming(self, now: float, id: str, number: int, complete: bool) -> float:
        """An unbuffered body begins to be sent, or is sent completely. Returns the request's time left."""
        return self.balancer.body_streaming(now, id, number, complete)

    def client_left(self, now: float, id: str) -> list[Step]:
        """The client has closed its connection."""
        self.balancer.client_left(now, id)
        return self.tick(now)

    def endpoints_updated(self, now: float, entries: Iterable[Endpoint], full: bool) -> list[Step]:
        """The endpoint list, or a change of it, has come."""
        self.balancer.update_endpoints(now, entries, full)
        return self.tick(now)

    def endpoint_watch_failed(self, now: float) -> list[Step]:
        """The watch of the endpoint list has failed or ended."""
        self.balancer.endpoint_watch_failed(now)
        return self.tick(now)

    def tick(self, now: float) -> list[Step]:
        """Returns the steps that are due by time alone; to be called at `wake_at`."""
        steps = []
        try:
            while (decision := self.balancer.next_decision(now)) is not None:
                steps.append(self._step(decision))
        except Exception as error:
            raise DecisionError(steps) from error
        return steps

    def _step(self, decision: Decision) -> Step:
        match decision.action:
            case Action.ATTEMPT:  # the request's last attempt, until the next decision is pulled
                number = len(self.balancer.requests[decision.request_id].attempts) - 1
                return Send(decision.request_id, number, decision.server, decision.timeout)
            case Action.CANCEL:
                return Cancel(decision.request_id, decision.number)
            case Action.SUBSCRIBE:
                return Subscribe()
            case action:
                return Answer(decision.request_id, action is Action.REJECT, decision.retry_after)

    def wake_at(self) -> float | None:
        """Time at which to call `tick`; None: not before the next event."""
        return self.balancer.wake_at()

    def learnt(self) -> dict[str, Any]:
        """Returns what has been learnt of the servers, for the next start (foxspread/state_transfer.py)."""
        return state_transfer.learnt(self.balancer)

    def state(self, now: float) -> dict[str, Any]:
        """Returns the whole state that a successor process needs."""
        return state_transfer.state(self.balancer, now)

    def restore(self, now: float, state: Any, entries: Iterable[Endpoint]) -> int:
        """Takes over a predecessor's state, with its endpoint list; otherwise like `restore_learnt`."""
        return state_transfer.restore(self.balancer, now, state, entries)

    def yield_slow_start_budget(self, on: bool) -> None:
        """Sends nothing to servers in slow start while a successor process spends the budget for them."""
        self.balancer.servers.budget_yielded = on

    def restore_learnt(self, now: float, record: Any) -> int:
        """Takes over what an earlier process has learnt; to be called after the first endpoint list. Returns
        the number of restored ejections; raises ValueError if `record` is malformed."""
        return state_transfer.restore_learnt(self.balancer, now, record)

    def may_send(self, now: float, id: str, number: int) -> bool:
        """Returns whether an attempt may still be sent. While the connection was being opened, the server may
        have begun to drain, or another attempt may have been answered."""
        request = self.balancer.requests.get(id)
        return request is not None and self.balancer.admission.may_send(now, request, number)
