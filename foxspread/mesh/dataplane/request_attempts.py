"""Decides the attempts of one request: which server, whether to retry, and what the client is answered.

No I/O: the outbound proxy reports how each attempt ended, and asks for the next step.

One rule comes before all others. A request that is not idempotent is never sent again, nor answered with a
status that promises that it has not run, unless each of its attempts is known not to have run.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from foxspread.mesh.configuration.routes import Route
from foxspread.mesh.load_balancing.outlier_detection import RouteBalancer
from foxspread.mesh.load_balancing.upstream_servers import UpstreamDirectory, UpstreamServer
from foxspread.mesh.retry_budget.budget import RetryBudget
from foxspread.model import Attempt, Outcome
from foxspread.net.http import Message
from foxspread.statistics import SeededRandom

RESPONSE_MARGIN_S = 0.012  # before the client gives up: the response is on its way by then
MAX_ATTEMPTS = 6  # of one request, including those that were never sent
# Fraction of a server's capacity that may queue there, by the request's priority.
QUEUE_FRACTIONS = {0: 0.5, 1: 0.5}
LOW_PRIORITY_QUEUE_FRACTION = 0.25
# Statuses that tell a client that its request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_RETRY_AFTER_FRACTION = 0.25  # of the remaining time
MIN_RETRY_AFTER_S = 0.03
# A retry is only worth starting if this fraction of the usual response time is left.
MIN_RETRY_TIME_FRACTION = 0.7
SIDECAR_COUNT_TTL_S = 0.5  # the count walks all records


@dataclass(slots=True)
class RequestAttempt:
    """One sending of a request to a server."""

    server: UpstreamServer
    record: Attempt  # for the statistics of the balancer
    outcome: Outcome | None = None  # None while it is in flight
    arrived: bool = True  # it may have reached the server
    response: Message | None = None  # of the server itself, if it is whole


@dataclass(slots=True)
class ProxiedRequest:
    """A request of a client, from its arrival to its response."""

    route: Route
    service: str
    balancer: RouteBalancer
    started_at: float
    deadline: float  # by when it has to be answered
    draw: float
    attempts: list[RequestAttempt] = field(default_factory=list)
    finished: bool = False
    successful_attempt: int | None = None  # the attempt whose response goes to the client
    # Caused by a request that was itself a repeat: each of its arrivals counts as a repeat too.
    is_repeat: bool = False

    def in_flight(self) -> list[int]:
        """Returns the numbers of the attempts that have not ended."""
        return [number for number, each in enumerate(self.attempts) if each.outcome is None]

    def may_have_run(self) -> bool:
        """Returns whether any attempt is not known not to have run."""
        return any(each.outcome is None or not each.outcome.never_ran for each in self.attempts)


@dataclass(slots=True)
class SendAttempt:
    """Send the attempt of that number to a server."""

    number: int
    server: UpstreamServer
    is_repeat: bool = False  # if it arrives, it is not the first arrival


@dataclass(slots=True)
class ForwardResponse:
    """Give the response of that attempt to the client, and cancel the attempts still in flight."""

    number: int


@dataclass(slots=True)
class RespondWithError:
    """Answer the client without a response of a server.

    The request has not run and never will where the status says so.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


Step = SendAttempt | ForwardResponse | RespondWithError | None  # None: wait


def remaining_time(route: Route, timeout_s: float | None, waited_s: float) -> float:
    """Returns the seconds that a request has left, by its client's timeout and by its route's."""
    longest_s = route.deadline_s if timeout_s is None else min(timeout_s, route.deadline_s)
    return longest_s - waited_s


class RetryAndBalancingPolicy:
    """Chooses servers, retries, hedged attempts and responses for all requests of a sidecar."""

    def __init__(
        self,
        zone: str,
        upstreams: UpstreamDirectory,
        bounds: dict[str, float],
        rng: SeededRandom,
        sidecars: Callable[[], int],
    ) -> None:
        self.zone, self.upstreams, self.bounds, self.rng, self.sidecars = (
            zone,
            upstreams,
            bounds,
            rng,
            sidecars,
        )
        self.balancers: dict[tuple[str, str], RouteBalancer] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.sidecar_count, self.sidecars_counted_at = 0, -math.inf

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of that service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = self.budgets[service] = RetryBudget(
                bounds["budget_ratio"], bounds["budget_slack"], bounds["budget_window_s"]
            )
        return found

    def count_sidecars(self, now: float) -> int:
        """Returns the number of all sidecars, counted at most `SIDECAR_COUNT_TTL_S` ago."""
        if now - self.sidecars_counted_at > SIDECAR_COUNT_TTL_S:
            self.sidecar_count, self.sidecars_counted_at = self.sidecars(), now
        return self.sidecar_count

    def begin(
        self,
        now: float,
        route: Route,
        timeout_s: float | None,
        waited_s: float = 0.0,
        repeat_probability: float = 0.0,
    ) -> ProxiedRequest:
        """Returns the state of a new request.

        `timeout_s` is how long the client still waited when it sent the request, and `waited_s` how long ago
        that was, as far as known. `repeat_probability` says how likely a repeated request has caused this
        one.
        """
        draw = self.rng.draw()
        service = route.service(draw)
        key = route.name, service
        balancer = self.balancers.get(key)
        if balancer is None or balancer.category.expected_time != route.latency_target_s:
            balancer = self.balancers[key] = RouteBalancer(
                now,
                self.upstreams.service(service),
                self.zone,
                self.rng,
                route.latency_target_s,
                route.deadline_s,
            )
        if repeat_probability < 1.0:
            self.budget(service).add_request(now)
        if repeat_probability > 0.0:  # it will arrive, in excess of what clients have asked for
            self.budget(service).spend(now, repeat_probability)
        remaining_s = remaining_time(route, timeout_s, waited_s)
        return ProxiedRequest(
            route,
            service,
            balancer,
            now,
            now + max(0.0, remaining_s - RESPONSE_MARGIN_S),
            draw,
            is_repeat=repeat_probability >= 1.0,
        )

    def forget_routes(self, is_kept: Callable[[str], bool]) -> None:
        """Drops the state of routes that no longer exist."""
        for key in [each for each in self.balancers if not is_kept(each[0])]:
            del self.balancers[key]

    def next_step(self, now: float, request: ProxiedRequest) -> Step:
        """Returns what to do after an event; None while an attempt in flight may still be answered."""
        if request.finished:
            return None
        if request.successful_attempt is not None:
            request.finished = True
            return self._forward(request, request.successful_attempt)
        if request.in_flight():
            return None
        route = request.route
        may_have_run = request.may_have_run()
        if now >= request.deadline or may_have_run and not route.idempotent:
            return self._finish(now, request, may_have_run)
        return self._new_attempt(now, request) or self._finish(now, request, may_have_run)

    def on_overdue(self, now: float, request: ProxiedRequest, number: int) -> Step:
        """Returns a hedged attempt beside one that is in flight for long, if the request is idempotent."""
        attempt = request.attempts[number]
        if (
            request.finished
            or attempt.outcome is not None
            or not request.route.idempotent
            or len(request.in_flight()) > 1
        ):
            return None
        return self._new_attempt(now, request)

    def on_attempt_ended(
        self,
        now: float,
        request: ProxiedRequest,
        number: int,
        outcome: Outcome,
        arrived: bool,
        response: Message | None,
        server_in_flight: int | None,
    ) -> None:
        """Records the end of an attempt.

        `arrived` says that it may have reached a server; `server_in_flight` is the number of requests in
        flight there, where the inbound proxy has reported it.
        """
        attempt = request.attempts[number]
        if attempt.outcome is not None:
            return
        attempt.outcome, attempt.arrived, attempt.response = outcome, arrived, response
        failed = outcome.failure
        if outcome is Outcome.SUCCESS and now - attempt.record.sent_at > request.route.latency_target_s:
            failed = True  # a response later than the target is worth little
        request.balancer.on_attempt_ended(now, attempt.server, attempt.record, outcome, failed)
        if server_in_flight is not None:
            attempt.server.report_in_flight(now, server_in_flight)
        if outcome is Outcome.SUCCESS and request.successful_attempt is None:
            request.successful_attempt = number

    def on_client_gone(self, now: float, request: ProxiedRequest) -> None:
        """Finishes a request whose client has closed its connection."""
        request.finished = True
        for number in request.in_flight():
            self.on_attempt_ended(now, request, number, Outcome.CANCELLED, True, None, None)

    def _new_attempt(self, now: float, request: ProxiedRequest) -> SendAttempt | None:
        attempts, route = request.attempts, request.route
        arrivals = sum(each.arrived for each in attempts)
        if arrivals >= route.max_attempts or len(attempts) >= MAX_ATTEMPTS:
            return None
        usual_s = request.balancer.usual_duration(now)
        if arrivals and (
            now + MIN_RETRY_TIME_FRACTION * usual_s > request.deadline
            or not self.budget(request.service).allows(now, self.count_sidecars(now))
        ):
            return None
        # A retry doubles the work of its request: it goes only to a server with free capacity.
        queue_fraction = 0.0 if arrivals else QUEUE_FRACTIONS.get(route.priority, LOW_PRIORITY_QUEUE_FRACTION)
        server = request.balancer.choose(
            now, {each.server.id for each in attempts} if attempts else (), queue_fraction
        )
        if server is None:
            return None
        if arrivals:
            self.budget(request.service).spend(now)
        attempts.append(RequestAttempt(server, request.balancer.on_attempt_started(now, server)))
        return SendAttempt(len(attempts) - 1, server, request.is_repeat or arrivals > 0)

    def _forward(self, request: ProxiedRequest, number: int) -> ForwardResponse | RespondWithError:
        """Returns the response of that attempt, unless it would be a false promise.

        Without X-Not-Run the server does not promise by such a status that the request has not run; forwarded
        to the client, it would be a promise of the mesh.
        """
        response = request.attempts[number].response
        assert response is not None, "only a whole response is forwarded"
        if not request.route.idempotent and response.status in NOT_RUN_STATUSES:
            return RespondWithError(502, "the server may have run it")
        return ForwardResponse(number)

    def _finish(
        self, now: float, request: ProxiedRequest, may_have_run: bool
    ) -> ForwardResponse | RespondWithError:
        request.finished = True
        attempts = request.attempts
        for number in range(len(attempts) - 1, -1, -1):
            if attempts[number].outcome is Outcome.ERROR and attempts[number].response is not None:
                return self._forward(request, number)  # the server's own error response
        if may_have_run:
            if any(each.outcome is Outcome.TIMED_OUT for each in attempts):
                return RespondWithError(504, "no answer in time")
            return RespondWithError(502, "the answer was lost")
        if now >= request.deadline:
            return RespondWithError(503, "not begun in time", 0.0)
        remaining_s = request.deadline - now
        retry_after_s = min(
            MAX_RETRY_AFTER_FRACTION * remaining_s,
            max(MIN_RETRY_AFTER_S, 0.5 * request.balancer.usual_duration(now)),
        )
        return RespondWithError(503, "no server has room", retry_after_s)
