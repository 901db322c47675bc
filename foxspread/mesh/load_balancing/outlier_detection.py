"""Outlier detection for the servers of one route, and the choice among those that are not ejected.

Each route has its own measurements, ejections and rotation; requests in flight are counted for the service.
"""

import math
from collections import defaultdict
from collections.abc import Container

from foxspread.decisions.ejection import OutlierDetection
from foxspread.decisions.latency import LatencyStatistics
from foxspread.decisions.rotation import Rotation
from foxspread.mesh.load_balancing.upstream_servers import UpstreamServer, UpstreamService
from foxspread.model import Attempt, Category, Endpoint, Outcome
from foxspread.statistics import DecayingMean, SeededRandom

# A server's turn credit is its speed relative to the fastest of its zone, to this power.
SPEED_EXPONENT = 5.0
MIN_TURN_CREDIT = 0.02  # so that a slow server is still used now and then, and its recovery is seen
# A zone serves its own requests as long as its share of late responses exceeds the best zone's by no more.
TOLERATED_LATE_SHARE = 0.05
LATE_SHARE_WEIGHT = 6.0  # beyond that: a zone counts as slower by this factor of its excess share
REFRESH_S = 0.25  # how often zones are weighed
LOW_LOAD_FRACTION = 0.6  # of a server's capacity: with fewer requests in flight it is never overloaded
SLOW_START_CREDIT = 0.5  # of a turn, for a server that has just started


class RouteBalancer:
    """Measures, ejects and chooses the servers of one service for one route."""

    def __init__(
        self,
        now: float,
        service: UpstreamService,
        zone: str,
        rng: SeededRandom,
        latency_target_s: float,
        deadline_s: float,
    ) -> None:
        self.service, self.zone, self.rng = service, zone, rng
        self.category = Category("", latency_target_s, deadline_s, late_benefit=0.3)
        self.outlier_detection = OutlierDetection(max_failures=3, failure_window=10.0, ejection_time=4.0)
        self.rotation = Rotation(
            zone,
            rng,
            spill_factor=1.4,
            zone_overload_ratio=1.3,
            server_overload_ratio=1.2,
            overload_floor=2,
        )
        self.latency = LatencyStatistics(now, [self.category])
        # Logarithm of the usual duration of a response.
        self.usual_log_duration = DecayingMean(20.0, math.log(latency_target_s / 4), max_count=200.0)
        # By zone: the share of responses later than the latency target.
        self.late_share: dict[str, DecayingMean] = defaultdict(
            lambda: DecayingMean(8.0, 0.03, max_count=200.0)
        )
        self.least_log_slowness: dict[str, float] = {}  # by zone: of its fastest server
        self.entries: dict[str, Endpoint] = {}
        self.refresh_at, self.seen_ready_version = -math.inf, -1
        self.panic = False
        self.ids_by_zone: dict[str, list[str]] = {}

    def _refresh(self, now: float) -> None:
        """Updates the ready servers and the shares of the zones."""
        service = self.service
        if self.seen_ready_version != service.ready_version:
            for id in [each for each in self.entries if each not in service.by_id]:
                del self.entries[id]
                self._forget(id)
            for id, server in service.by_id.items():
                if id not in self.entries:
                    self.entries[id] = Endpoint(id, server.zone)
                    self.outlier_detection.add_server(id)
                    self.latency.add_server(now, id, server.zone)
            self.seen_ready_version = service.ready_version
        ready = service.ready
        mean_capacity = sum(service.by_id[id].capacity for id in ready) / max(1, len(ready))
        self.rotation.overload_floor = max(2.0, LOW_LOAD_FRACTION * mean_capacity)
        self.panic = self.outlier_detection.in_panic(ready)
        self.ids_by_zone = {zone: ring.names for zone, ring in service.rings.items()}
        healthy = {
            zone: float(
                sum(
                    1.0 if now >= service.by_id[id].warmed_up_at else SLOW_START_CREDIT
                    for id in ids
                    if self.panic or not self.outlier_detection.is_ejected(id)
                )
            )
            for zone, ids in self.ids_by_zone.items()
        }
        late_share = {zone: self.late_share[zone].read(now) for zone in self.ids_by_zone}
        least = min(late_share.values(), default=0.0)
        slowness = {
            zone: 1.0 + LATE_SHARE_WEIGHT * max(0.0, late_share[zone] - least - TOLERATED_LATE_SHARE)
            for zone in self.ids_by_zone
        }
        if self.ids_by_zone:
            self.rotation.update_zone_weights(self.ids_by_zone, healthy, slowness)
        self.least_log_slowness = {
            zone: min(service.log_slowness[id].read(now) for id in ids)
            for zone, ids in self.ids_by_zone.items()
        }
        self.refresh_at = now + REFRESH_S

    def _forget(self, id: str) -> None:
        self.outlier_detection.ejected.discard(id)
        for by_id in (
            self.outlier_detection.states,
            self.latency.completions,
            self.latency.slowness,
            self.latency.latest_answered_sent_at,
            self.rotation.turn_credits,
        ):
            by_id.pop(id, None)

    def choose(self, now: float, tried: Container[str], queue_fraction: float = 0.0) -> UpstreamServer | None:
        """Returns the server whose turn it is, or None where no server has capacity.

        If all are at their capacity, `queue_fraction` of it may queue at a server.
        """
        service = self.service
        if now >= self.refresh_at or self.seen_ready_version != service.ready_version:
            self._refresh(now)
        if not service.ready:
            return None
        by_id, outlier_detection = service.by_id, self.outlier_detection
        mean_load = {
            zone: sum(by_id[id].load(now) for id in ids) / len(ids) for zone, ids in self.ids_by_zone.items()
        }
        zones = self.rotation.zone_order(self.ids_by_zone, mean_load, lambda zone: self.rng.draw())
        if outlier_detection.ejected and not self.panic:
            for id in outlier_detection.ejected:
                if (
                    id in service.ready
                    and id not in tried
                    and outlier_detection.trial_due(now, id)
                    and by_id[id].zone == zones[0]
                ):
                    return by_id[id]

        def load(id: str) -> float:
            return by_id[id].load(now)

        def turn_credit(id: str) -> float:
            warm_up = 1.0 if now >= by_id[id].warmed_up_at else SLOW_START_CREDIT
            slower_by = service.log_slowness[id].read(now) - self.least_log_slowness[by_id[id].zone]
            return warm_up * max(MIN_TURN_CREDIT, math.exp(-SPEED_EXPONENT * slower_by))

        for queue in (0.0, queue_fraction) if queue_fraction else (0.0,):

            def has_capacity(id: str, queue: float = queue) -> bool:
                server = by_id[id]
                return (
                    id not in tried
                    and (self.panic or id not in outlier_detection.ejected)
                    and server.load(now) < server.capacity * (1.0 + queue)
                )

            for zone in zones:
                found = self.rotation.pick(
                    zone, service.rings[zone], load, mean_load[zone], turn_credit, has_capacity
                )
                if found is not None:
                    return by_id[found]
        return None

    def on_attempt_started(self, now: float, server: UpstreamServer) -> Attempt:
        """Counts an attempt as in flight; at an ejected server it is a trial request."""
        trial = server.id if self.outlier_detection.is_ejected(server.id) else None
        if trial:
            self.outlier_detection.states[trial].trial_in_flight = True
        server.in_flight += 1
        return Attempt(server.id, server.zone, "warm" if now >= server.warmed_up_at else None, now, trial)

    def on_attempt_ended(
        self, now: float, server: UpstreamServer, attempt: Attempt, outcome: Outcome, failed: bool | None
    ) -> None:
        """Records the end of an attempt.

        `failed` is the verdict on the server; None for no verdict, as where it was full or we cancelled.
        """
        server.in_flight -= 1
        attempt.outcome = outcome
        if server.id not in self.entries:
            return
        self.latency.record_attempt(now, attempt, self.category)
        duration = now - attempt.sent_at
        if outcome is Outcome.SUCCESS or outcome is Outcome.TIMED_OUT:
            self.late_share[server.zone].add(now, float(duration > self.category.expected_time))
            if attempt.kind is not None and duration > 0.0:  # slowness during slow start will not last
                log_duration = math.log(duration)
                slowness = log_duration - self.usual_log_duration.read(now)
                self.service.log_slowness[server.id].add(now, slowness)
                self.usual_log_duration.add(now, log_duration)
        weight = self.outlier_detection.max_failures if outcome is Outcome.CONNECT_FAILED else 1
        self.outlier_detection.record(now, server.id, failed, attempt.trial is not None, weight)

    def usual_duration(self, now: float) -> float:
        """Returns the usual seconds until a response."""
        return self.latency.mean_time(now, self.category)

    def overdue_after(self, now: float) -> float:
        """Returns the seconds after which an attempt is in flight for unusually long."""
        return self.latency.overdue_after(now, self.category)
