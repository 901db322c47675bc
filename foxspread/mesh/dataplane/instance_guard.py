"""Admission control of the sidecar beside a server instance.

The client's sidecar has chosen the server; here the choice is only checked: the request must be meant for an
instance that is still registered here, must not reach it long after it has announced its shutdown, and must
not wait at it for longer than is useful. A request that is rejected here has not reached the server, and the
client's sidecar is told so.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from foxspread.mesh.errors import Failure
from foxspread.mesh.registry.incarnations import DRAINING, GONE, InstanceTable
from foxspread.mesh.retry_budget.repeat_tracking import RepeatTracker
from foxspread.mesh.settings import Address, parse_address
from foxspread.statistics import DecayingMean

# Fraction of `drain_s` for which requests that are on their way to a draining server are still let through.
DRAIN_ADMISSION_FRACTION = 0.6
# Reasons of rejections, as sidecars send and log them.
INSTANCE_GONE, INSTANCE_DRAINING, INSTANCE_FULL, REQUEST_LATE = "gone", "draining", "full", "late"
SHUTTING_DOWN = "shutting down"  # the request may outlast the process
HIGH_PRIORITY = 1  # priorities up to this number are the last to be rejected
# Longest expected wait at the server. High priority: a fraction of the remaining time. Others: a fraction of
# the latency target, for a longer queue delays those behind it and makes the server no busier.
HIGH_PRIORITY_WAIT_FRACTION = 0.35
LOW_PRIORITY_WAIT_FRACTION = 0.15
# For this long after a high-priority request was rejected or had to wait long, other requests may not queue.
PRIORITY_PRESSURE_S = 1.0
MAX_LOAD_UNDER_PRESSURE = 1.0  # requests in flight by the server's capacity
MAX_LOAD = 1.5  # requests in flight by the server's capacity


class RequestHints(NamedTuple):
    """What the inbound proxy needs to know of a request's route."""

    latency_target_s: float = 1.0
    priority: int = 2  # 0 is the highest
    idempotent: bool = False
    is_repeat: bool = False  # beyond the first arrival of its request, or of the request that caused it


@dataclass(slots=True)
class InstanceLoad:
    """The requests that were forwarded to one instance and are not answered."""

    response_time: DecayingMean
    in_flight: int = 0
    pressure_at: float = -math.inf


class InstanceGuard:
    """Decides which requests reach the server instances beside this sidecar."""

    def __init__(self, instances: InstanceTable, app: Address | None, drain_s: float) -> None:
        self.instances, self.app, self.drain_s = instances, app, drain_s
        self.loads: dict[str, InstanceLoad] = {}
        self.repeats = RepeatTracker()

    def load_of(self, id: str) -> InstanceLoad:
        """Returns the load of that instance, which may be unknown yet."""
        load = self.loads.get(id)
        if load is None:
            load = self.loads[id] = InstanceLoad(response_time=DecayingMean(5.0, 0.05, max_count=50.0))
        return load

    def rejection(self, now: float, id: str) -> Failure | None:
        """Returns why no request may reach that instance any more.

        It is checked again before the first byte is written: connecting takes time.
        """
        server = self.instances.by_id.get(id)
        if server is None or server.state == GONE:
            return Failure(INSTANCE_GONE)
        if (
            server.state == DRAINING
            and now - self.instances.draining_since[id] > DRAIN_ADMISSION_FRACTION * self.drain_s
        ):
            return Failure(INSTANCE_DRAINING)
        return None

    def admit(self, now: float, id: str, remaining_s: float, hints: RequestHints) -> Address | Failure:
        """Returns the address to forward to; the request counts as in flight until `release`."""
        if (rejection := self.rejection(now, id)) is not None:
            return rejection
        server, load = self.instances.by_id[id], self.load_of(id)
        mean = load.response_time.read(now)
        wait = max(0, load.in_flight + 1 - server.capacity) * mean / server.capacity
        high = hints.priority <= HIGH_PRIORITY
        max_wait = (
            HIGH_PRIORITY_WAIT_FRACTION * remaining_s
            if high
            else LOW_PRIORITY_WAIT_FRACTION * hints.latency_target_s
        )
        if high and wait > max_wait / 3:
            load.pressure_at = now
        under_pressure = not high and now - load.pressure_at < PRIORITY_PRESSURE_S
        max_load = MAX_LOAD_UNDER_PRESSURE if under_pressure else MAX_LOAD
        if wait > max_wait or load.in_flight >= max_load * server.capacity:
            return Failure(INSTANCE_FULL)
        if remaining_s <= 0.0 or wait + 0.3 * mean > remaining_s:
            return Failure(REQUEST_LATE)
        load.in_flight += 1
        return self.app if self.app is not None else parse_address(server.address)

    def release(self, now: float, id: str, response_time: float | None) -> None:
        """Counts the end of a request; `response_time` is None if it had no response, or has not run."""
        load = self.load_of(id)
        load.in_flight -= 1
        if response_time is not None:
            load.response_time.add(now, response_time)

    def sweep(self) -> None:
        """Drops the loads of instances that are gone."""
        for id in [
            each
            for each, load in self.loads.items()
            if not load.in_flight and each not in self.instances.by_id
        ]:
            del self.loads[id]
