"""A request's way through all decisions of foxspread; `decisions` has a module for each concern. The host
calls the inputs of a `Balancer` (each only records an event), pulls `next_decision(now)` until it returns
None, and does so again at `wake_at()`. docs/design.md describes the algorithms. There is no clock and no I/O
in here."""

import math
import zlib
from collections.abc import Iterator
from functools import partial

from foxspread import state_transfer
from foxspread.client_retries import ClientRetries
from foxspread.decisions.admission import AdmissionControl
from foxspread.decisions.ejection import OutlierDetection
from foxspread.decisions.latency import LatencyStatistics
from foxspread.decisions.rotation import Rotation
from foxspread.decisions.slow_start import SlowStart
from foxspread.decisions.subsetting import Subset
from foxspread.event_recording import EventRecording
from foxspread.model import Action, Attempt, Category, Customer, Decision, Outcome, Request
from foxspread.statistics import DecayingMean, DecayingSum, SeededRandom


class Balancer(EventRecording):
    """Decides which server gets each request, when it is retried, and when it is given up."""

    def __init__(self, now: float, seed: int, zone: str, sidecars: int, categories: list[Category],
                 customers: list[Customer], surplus_benefit: float, max_attempts: int, hedging: bool,
                 cancellation: bool, max_retry_after: float, tick: float, watch_endpoints: bool,
                 use_keys: bool, waste_price: float, slow_start: tuple[float, ...], position: int = 0,
                 streams_per_connection: int = 1) -> None:
        super().__init__()
        chance = self.chance = SeededRandom(seed)
        self.tick, self.max_retry_after, self.use_keys = tick, max_retry_after, use_keys
        self.cancellation, self.sidecars, self.surplus_benefit = cancellation, sidecars, surplus_benefit
        self.categories = {c.name: c for c in categories}
        self.customers = {c.name: (c, DecayingSum(10.0)) for c in customers}   # and their requests
        self.servers = servers = SlowStart(*slow_start, chance=chance)
        self.latency = LatencyStatistics(now, categories, waste_price=waste_price)
        servers.kind_turn_share, servers.slowness = self.latency.kind_turn_share, self.latency.slowness
        servers.first_request_rate = min(0.25, 2 / sidecars)   # of all sidecars together: 2 a second
        self.admission = AdmissionControl(servers, max_attempts, hedging)
        self.max_abandon_time = max((c.abandon_time for c in categories), default=0.0)
        self.mean_priority, self.client_retries = DecayingMean(10.0, 0.0), ClientRetries(categories)
        # Spread over time, since the list service does not grow with the number of sidecars.
        self.subscribe_spread, self.subscribe_backoff = min(5.0, 0.04 * sidecars), 0.5
        self.subscribe_at = now + chance.draw() * self.subscribe_spread if watch_endpoints else math.inf
        self.min_server_limit = max(1, round(4 / sidecars))   # all sidecars' together must not overload it
        self.rotation = Rotation(zone, chance, overload_floor=min(2, self.min_server_limit))
        self.subset = Subset(now, position) if streams_per_connection > 1 else None
        servers.orders, self.subset_servers = {} if self.subset else None, set()
        self.next_queue_scan = self.health_valid_until = now
        self.outliers, self.panic, self.panic_categories = OutlierDetection(), False, set()
        self.remaining_decisions: Iterator[Decision] | None = None

    def request_received(self, now: float, id: str, category: str, time_left: float, customer: str = "",
                         key: str = "", again: bool = False) -> None:
        """A request has come; `again`: it is marked as a client's retry."""
        kind = self.categories[category]
        spent = self.client_retries.time_spent(now, category, time_left, again)
        self.servers.request_count.add(now)
        expected_at, deadline = now + min(kind.expected_time - spent, time_left), now + time_left
        priority = kind.benefit * self._customer_weight(now, customer) / self.latency.mean_time(now, kind)
        request = Request(id, kind, expected_at, deadline, priority, self.chance.draw(),
                          key if self.use_keys else "")
        self.requests[id] = self.pending[id] = request
        self.mean_priority.add(now, request.priority)
        self._set_timers(id, request.deadline - 2 * self.tick)

    def attempt_ended(self, now: float, id: str, number: int, outcome: Outcome, closed: bool) -> None:
        """An attempt has ended; `closed`: the host has closed its request."""
        if (attempt := self._untrack(id, number, outcome)) is None:
            return
        request, succeeded = self.requests[id], outcome.succeeded
        # Attempts that are cancelled never time out: overdue, or twice the mean time, counts as a failure.
        overdue = outcome is Outcome.CANCELLED and now > min(
            attempt.overdue_at, attempt.sent_at + 2 * self.latency.mean_time(now, request.category)
            / self.servers.capacity_fraction(now, attempt.server))
        self.latency.record_attempt(now, attempt, request.category)
        if succeeded and attempt.kind is not None:
            self.servers.completions[attempt.zone, attempt.kind].add(now)
        # A failed connection is the server's own fault.
        weight = self.outliers.max_failures if outcome is Outcome.CONNECT_FAILED else 1
        late = succeeded and now > request.expected_at   # most of its benefit is lost
        if not attempt.verdict_recorded:
            self._record_verdict(now, request, attempt, overdue or late or outcome.failure, weight)
        request.finished, self.next_queue_scan = request.finished or closed or succeeded, now
        self.pending[id] = request   # to be retried, or to have its other attempts cancelled
        self._forget_if_ended(request)

    def endpoint_watch_failed(self, now: float) -> None:
        """The watch of the endpoint list has failed or ended."""
        self.subscribe_at = now + self.subscribe_backoff * (0.5 + self.chance.draw())
        self.subscribe_backoff = min(max(4.0, 2 * self.subscribe_spread), 2 * self.subscribe_backoff)

    def next_decision(self, now: float) -> Decision | None:
        """Returns the next step that is due; None if there is none."""
        if not (self.remaining_decisions or self.pending or self.queue
                or now >= min(self.subscribe_at, self.health_valid_until)
                or self.timers and self.timers[0][0] <= now + 1e-6):
            if now >= self.next_queue_scan:
                self.next_queue_scan = now + 4 * self.tick
            return None   # most ends of attempts leave nothing to decide
        decision = next(remaining := self.remaining_decisions or self._decisions(now), None)
        self.remaining_decisions = remaining if decision else None
        return decision

    def _decisions(self, now: float) -> Iterator[Decision]:
        if now >= self.subscribe_at:
            self.subscribe_at = math.inf
            yield Decision(Action.SUBSCRIBE)
        if now >= self.health_valid_until:
            self._update_health(now)
        for request in self._due_requests(now + 1e-6):
            self._write_off_overtaken(now, request)
        if now >= self.next_queue_scan:   # not for each new request: in a burst that would take a whole core
            self.pending, self.queue = self.queue | self.pending, {}
            self.next_queue_scan = now + 4 * self.tick
        pending, self.pending = self.pending.values(), {}
        for request in sorted(pending, key=lambda each: (-each.priority, each.expected_at)):
            if request.finished:
                yield from self._close(request)
            elif request.body_streaming:
                continue
            elif (request.attempts or not self.queue) and (server := self._choose(now, request)) is not None:
                yield self._attempt(now, request, server)
            elif request.in_flight() and not (self._too_late(now, request) or self._hopeless(now, request)):
                if not self.admission.hedging and self._is_lost(now, request.in_flight()[-1]):
                    yield from self._cancel(request)
                else:   # decides again after the mean time
                    self._set_timers(request.id, now + self.latency.mean_time(now, request.category))
            elif not request.in_flight() and self._worth_waiting(now, request, len(self.queue)):
                self.queue[request.id] = request
            else:
                yield from self._give_up(now, request)

    def _too_late(self, now: float, request: Request) -> bool:
        return now + 1e-6 >= min(request.useful_until, request.deadline - 2 * self.tick)

    def _hopeless(self, now: float, request: Request) -> bool:
        """Returns whether it is past its expected time with all attempts lost: its client is told at once."""
        return now + 1e-6 >= request.expected_at and all(self._is_lost(now, a) for a in request.in_flight())

    def _is_lost(self, now: float, attempt: Attempt) -> bool:   # one that is merely slow is not repeated
        unresponsive = attempt.server in self.silent or self.outliers.is_ejected(attempt.server)
        return now >= attempt.overdue_at and (unresponsive or attempt.not_counted and self.subset is not None)

    def _worth_waiting(self, now: float, request: Request, ahead: int) -> bool:
        mean = self.latency.mean_time(now, request.category)
        in_time = now + mean * ((ahead + 1) / max(1, self._in_flight()) + 1.5) < request.expected_at
        refused = self.subset and request.attempts   # by overloaded servers: its client is told at once
        return (in_time and not refused and not self._too_late(now, request)
                and self.admission.may_attempt(now, request))

    def _give_up(self, now: float, request: Request) -> Iterator[Decision]:
        request.finished, action = True, Action.REJECT if self.admission.may_reject(request) else Action.DROP
        retry_after = min(self.max_retry_after, 0.3 + 0.4 * self.chance.draw())
        yield Decision(action, request.id, retry_after=retry_after)
        yield from self._close(request)

    def _choose(self, now: float, request: Request) -> str | None:
        if not self._may_be_sent(now, request):
            return None
        relative_priority = request.priority / max(1e-9, self.mean_priority.read(now))
        part = min(1.0, 0.5 + 0.5 * relative_priority)   # of all limits: a lower priority is rejected sooner
        if self._most_are_full(request, part) or not self._has_room(now, request, part):
            return None
        return next(self._candidates(now, request, part), None)

    def _candidates(self, now: float, request: Request, part: float) -> Iterator[str]:
        """Yields servers that may get the request, the best first; each is computed only when asked for."""
        if not request.attempts:
            yield from self._just_enabled(now, request)
        mean = self._mean_in_flight()
        zones = self._zone_order(request, mean)
        if zones and not request.attempts:
            yield from self._trials(now, request, zones[0])
        category = "" if (name := request.category.name) in self.panic_categories else name
        only = self.admission.eligible_servers(request) if request.attempts else None
        fits = partial(self._fits, now, request, part, category)
        turn_share = partial(self._turn_share, now, category)
        for zone in zones if request.attempts else self._zones_with_room(zones, part):
            server = self.rotation.pick(zone, self.rings[zone], self._in_flight_at, mean[zone], turn_share,
                                        fits, request.key, only)
            if server is not None:
                yield server

    def _may_be_sent(self, now: float, request: Request) -> bool:
        # A first attempt needs half of the expected time.
        needed = math.inf if request.attempts else request.category.expected_time / 2
        short = request.useful_until - now <= min(needed, self.latency.mean_time(now, request.category))
        if short or self._too_late(now, request) or not self.admission.may_attempt(now, request):
            return False
        in_flight = request.in_flight() if request.attempts else ()
        return not in_flight or self._is_lost(now, in_flight[-1])

    def _most_are_full(self, request: Request, part: float) -> bool:   # its client is to come back later
        full = sum(each.outcome is Outcome.OVERLOADED for each in request.attempts)
        return self.subset is not None and full >= 5 * part - 2

    def _has_room(self, now: float, request: Request, part: float) -> bool:   # further attempts always have
        return bool(request.attempts) or self._in_flight() < self.latency.total_in_flight_limit(
            now, part, len(self.servers.ready) / self.sidecars, request.draw, len(self.subset_servers))

    def _just_enabled(self, now: float, request: Request) -> Iterator[str]:
        """Yields servers that the operator has enabled and that wait for their first request."""
        return (server for server, at in self.servers.first_request_at.items()
                if now >= at and self.admission.allows_server(now, request, server))

    def _zone_order(self, request: Request, mean: dict[str, float]) -> list[str]:
        """Returns the zones in random order, or by key; those where it could not connect come last."""
        zones = self.rotation.zone_order(
            self.servers.zones, mean, lambda z: self.chance.draw() if not request.key
            else zlib.crc32(f"{request.key}:{z}".encode()) / 2**32)
        failed = {each.zone for each in request.attempts if each.outcome is Outcome.CONNECT_FAILED}
        return sorted(zones, key=failed.__contains__) if failed else zones

    def _trials(self, now: float, request: Request, zone: str) -> Iterator[str]:
        """Yields ejected servers that are due for a trial request."""
        due = self.due_for_trial[zone] if now >= self.next_trial.get(zone, math.inf) else ()
        return (each for each in due
                if self.outliers.trial_due(now, each) and self.admission.allows_server(now, request, each))

    def _fits(self, now: float, request: Request, part: float, category: str, server: str) -> bool:
        """Returns whether the server may get it; one that stays unfit for a while is disabled in its ring."""
        if (pair := (server, category)) in self.outliers.ejected and not self.outliers.trial_due(now, pair):
            return False
        if server in self.silent or request.attempts and any(a.server == server for a in request.attempts):
            return self._skip(server, server in self.silent)
        if not self.admission.allows_server(now, request, server):
            return self._skip(server, not request.attempts)
        in_flight, limit = self._in_flight_at(server), self.latency.in_flight_limit(now, server)
        return in_flight < max(self.min_server_limit, part * limit) or self._skip(server, in_flight >= limit)

    def _turn_share(self, now: float, category: str, server: str) -> float:
        state = self.outliers.states.get((server, category))
        success_rate = 1.0 if state is None else 1.0 - state.failure_rate.read(now, 0.0)
        entry, largest = self.servers.endpoints[server], self.servers.largest_weight
        return max(0.005, success_rate ** 4) * self.latency.turn_share(now, entry, largest)

    def _write_off_overtaken(self, now: float, request: Request) -> None:
        """Counts overdue attempts that were overtaken as failed: lost answers must not use up all limits."""
        for attempt in request.in_flight():
            if not attempt.not_counted and now >= attempt.overdue_at and self.latency.is_overtaken(attempt):
                attempt.not_counted = True
                self._count(attempt.server, -1)
                self._record_verdict(now, request, attempt, True)

    def _update_health(self, now: float) -> None:
        """Updates which servers and zones are healthy, for 0.25 s or until an ejection or update."""
        state_transfer.forget_removed_servers(self, now)
        groups, ejected = self.servers.zones, self.outliers.ejected & self.servers.ready
        if not self.subset:
            self.servers.weights_in_use = self.servers.healthy_group_weights(now, ejected)
        # Over all zones: within one zone, a single hung server would get all of its requests.
        panic = self.outliers.in_panic(self.servers.ready)
        self.changed_servers = self.changed_servers | (ejected if panic != self.panic else set())
        self.panic, avoided = panic, set() if panic else ejected
        self.silent = self._silent_servers(now)
        if self.subset:
            self._update_subset(now, avoided)
        for server in self._take_changed_servers():
            self._update_ring(server)
        self.panic_categories = self.outliers.panicking_categories(self.zone_of, len(self.zone_of))
        self._set_zones(groups)
        healthy = self._healthy_capacity(self.servers.missing_capacity(now, self.zone_of))
        self._schedule_trials(avoided, self.servers.endpoints, self.outliers.states)
        self._enable_all(now)   # servers in slow start have new budget, silent ones may have answered
        if self.subset:   # the healthy fraction is that of the subset
            groups = {z: [*ring.names, *self.due_for_trial.get(z, [])] for z, ring in self.rings.items()}
        slowness = self.latency.zone_slowness(now, self.rings, self.rotation.zone)
        self.rotation.update_zone_weights(groups, healthy, slowness)
        self.health_valid_until = now + 0.25

    def _silent_servers(self, now: float) -> set[str]:
        """Returns no server if so many are silent that hardly any would be left."""
        silent = {server for server in self.attempts_by_server if self._is_silent(now, server)}
        most = (1 - self.outliers.panic_threshold) * len(self.servers.ready)
        return silent if len(silent) <= most else set()

    def _is_silent(self, now: float, server: str) -> bool:
        """Detects a hung server before time-outs do: its oldest attempt is overdue, no later one answered."""
        oldest = next((a for a in self.attempts_by_server[server].values() if not a.not_counted), None)
        return oldest is not None and now > oldest.overdue_at and not self.latency.is_overtaken(oldest)

    def _customer_weight(self, now: float, customer: str) -> float:
        if customer not in self.customers:   # without a share there is none to exceed
            return 1.0
        entry, requests = self.customers[customer]
        requests.add(now)
        entitled = max(entry.quota / self.sidecars * requests.time_constant,
                       entry.share * self.servers.request_count.read(now))
        over = requests.read(now) > entitled + math.sqrt(entitled / 2)   # by more than chance explains
        return self.surplus_benefit if over else 1.0
