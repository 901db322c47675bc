"""Records events and decisions in the parts of a balancer. Decides nothing."""

import math
from collections.abc import Iterable, Iterator

from foxspread.decisions.admission import AdmissionControl
from foxspread.decisions.ejection import OutlierDetection
from foxspread.decisions.latency import LatencyStatistics
from foxspread.decisions.slow_start import SlowStart
from foxspread.decisions.subsetting import Subset
from foxspread.indexes import RequestTracking
from foxspread.model import Action, Attempt, Category, Decision, Endpoint, Request
from foxspread.statistics import SeededRandom


class EventRecording(RequestTracking):
    """The recording half of a balancer, which sets these attributes."""

    admission: AdmissionControl
    chance: SeededRandom
    categories: dict[str, Category]
    cancellation: bool
    servers: SlowStart
    outliers: OutlierDetection
    latency: LatencyStatistics
    subset: Subset | None
    subset_servers: set[str]
    panic: bool
    tick: float
    subscribe_at: float
    subscribe_backoff: float
    health_valid_until: float
    next_queue_scan: float

    def update_endpoints(self, now: float, entries: Iterable[Endpoint], full: bool) -> None:
        """The endpoint list, or a change of it, has come."""
        started, changed = self.servers.update(now, entries, full)
        for server in started:
            self.outliers.add_server(server, self.categories)
            self.latency.add_server(now, server, self.servers.endpoints[server].zone)
        self.changed_servers.update(changed)
        self.subscribe_backoff, self.health_valid_until, self.next_queue_scan = 0.5, now, now

    def set_disabled(self, now: float, server: str, disabled: bool) -> bool:
        """The operator has disabled or enabled a server. A disabled one gets nothing, however few are left;
        an enabled one counts as just started, and gets a first request soon. Returns False if no server has
        that id or too many are disabled."""
        if entries := self.servers.set_disabled(now, server, disabled):
            self.update_endpoints(now, entries, False)
            self.servers.first_request_at.update({} if disabled else {server: now + self.chance.draw()})
        return entries is not None

    def body_streaming(self, now: float, id: str, number: int, complete: bool) -> float:
        """An unbuffered body begins to be sent, or is sent completely. Returns the request's time left."""
        request = self.requests[id]
        self._body_streams(now, request, request.attempts[number], complete)
        if complete:
            self._watch(now, request, request.attempts[number])
        return request.deadline - now

    def wake_at(self) -> float | None:
        """Returns when to ask for decisions again; None: not before the next event."""
        scan_at = self.next_queue_scan if self.pending or self.queue else math.inf
        at = min(self.subscribe_at, scan_at, self._next_timer())
        return at if at < math.inf else None

    def _attempt(self, now: float, request: Request, server: str) -> Decision:
        """Records an attempt, and returns the decision to send it."""
        self.servers.spend(now, server)
        self.servers.first_request_at.pop(server, None)
        entry, warmed_up = self.servers.endpoints[server], self.servers.capacity_fraction(now, server) == 1.0
        trial = next(filter(self.outliers.is_ejected, (server, (server, request.category.name))), None)
        attempt = Attempt(server, entry.zone, entry.kind if warmed_up else None, now, trial)
        if trial is not None:
            self.outliers.states[trial].trial_in_flight = True
        self._watch(now, request, attempt)
        self._track(request, attempt)
        may_wait = self.admission.hedging or self.cancellation  # else only a time-out ends it
        end = min(request.deadline - self.tick, math.inf if may_wait else attempt.overdue_at)
        return Decision(Action.ATTEMPT, request.id, server, max(end - now, self.tick))

    def _watch(self, now: float, request: Request, attempt: Attempt) -> None:
        """Sets the time from which an attempt is overdue, and the timers of its request."""
        overdue = self.latency.overdue_after(now, request.category)
        # A server in slow start takes longer without being hung.
        attempt.overdue_at = now + overdue / self.servers.capacity_fraction(now, attempt.server)
        end = request.deadline - 2 * self.tick
        self._set_timers(request.id, attempt.overdue_at, request.expected_at, request.useful_until, end)

    def _record_verdict(
        self, now: float, request: Request, attempt: Attempt, failed: bool | None, weight: int = 1
    ) -> None:
        server, pair = attempt.server, (attempt.server, request.category.name)
        attempt.verdict_recorded = True
        for target in (server, pair) if len(self.categories) > 1 else (server,):
            self.outliers.record(now, target, failed, attempt.trial == target, weight)
        if attempt.trial or self.outliers.is_ejected(server) or self.outliers.is_ejected(pair):
            self.health_valid_until = now
            self.changed_servers.add(server)

    def _close(self, request: Request) -> Iterator[Decision]:
        """Ends a finished request."""
        yield from self._cancel(request)
        self._forget_if_ended(request)

    def _cancel(self, request: Request) -> Iterator[Decision]:
        """Cancels all attempts in flight, where the host can."""
        for number, attempt in enumerate(request.attempts):
            if self.cancellation and attempt.outcome is None and not attempt.cancelled:
                attempt.cancelled = True
                yield Decision(Action.CANCEL, request.id, number=number)

    def _update_ring(self, server: str) -> None:
        """Moves a server into the ring of its zone, or out of it."""
        if self.subset:
            healthy = server in self.subset_servers
        else:
            healthy = server in self.servers.ready and (self.panic or server not in self.outliers.ejected)
        self._move_to_ring(server, self.servers.endpoints[server].zone if healthy else None)

    def _update_subset(self, now: float, unhealthy: set[str]) -> None:
        used = self.subset.choose(now, self.servers, unhealthy)
        self.servers.use_subset(now, used, used - self.subset_servers, self.subset.size)
        self.changed_servers = self.changed_servers | used ^ self.subset_servers
        self.subset_servers = used
