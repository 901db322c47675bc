"""Computes the figures of one run from its event records alone."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
from hdrh.histogram import HdrHistogram

from foxspread.lab.engines import setup
from foxspread.lab.ledger import Row
from foxspread.lab.scenario import Scenario

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OVERLOADED_PER_CORE = 4  # attempts in flight per core from which a server counts as overloaded


@dataclass
class Figures:
    """Figures of one run. A share lies from 0 to 1; a series has one value for each second of the run."""

    numbers: dict[str, float] = field(default_factory=dict)  # by name; what reports show
    by_second: dict[str, list[float]] = field(default_factory=dict)  # by name of the series
    by_tenant: dict[str, float] = field(default_factory=dict)  # benefit share
    by_category: dict[str, float] = field(default_factory=dict)
    in_flight: dict[str, list[float]] = field(default_factory=dict)  # mean, by server
    times: dict[str, float] = field(default_factory=dict)  # seconds until done, by percentile
    faults: list[tuple[float, float, str]] = field(default_factory=list)  # start, duration, name


class ServerLoad:
    """Attempts in flight at each server, and idle servers in each zone, by the event records. Counts the
    avoidable decisions: requests rejected, or sent to an overloaded server, while a server of the same zone
    was idle."""

    def __init__(self, scenario: Scenario) -> None:
        numbers = range(scenario.instances)
        self.instance_zones = {setup.instance_name(n): setup.instance_zone(scenario, n) for n in numbers}
        self.overload_limit_by_group = {
            group.name: OVERLOADED_PER_CORE * group.cores for group in scenario.groups
        }
        self.overload_limits: dict[str, int] = {}  # attempts in flight, by server
        self.in_flight: dict[str, int] = {}  # by server, only servers that are up
        self.zone: dict[str, str] = {}
        self.idle = dict.fromkeys(scenario.network.zones, 0)  # number of idle servers, by zone
        self.rejected_beside_idle = self.overloaded_beside_idle = 0

    def add_server(self, server: str, zone: str, group: str) -> None:
        self.remove_server(server)
        self.overload_limits[server] = self.overload_limit_by_group[group]
        self.in_flight[server], self.zone[server] = 0, zone
        self.idle[zone] = self.idle.get(zone, 0) + 1

    def remove_server(self, server: str) -> None:
        if self.in_flight.pop(server, 1) == 0:
            self.idle[self.zone[server]] -= 1

    def add_in_flight(self, server: str, by: int) -> None:
        if server in self.in_flight:
            before = self.in_flight[server]
            now = self.in_flight[server] = before + by
            self.idle[self.zone[server]] += (now == 0) - (before == 0)

    def count_arrival(self, server: str) -> None:
        overloaded = self.in_flight.get(server, 0) >= self.overload_limits.get(server, math.inf)
        self.overloaded_beside_idle += overloaded and self.idle.get(self.zone[server], 0) > 0
        self.add_in_flight(server, 1)

    def is_cross_zone(self, server: str, instance: str) -> bool:
        return self.zone.get(server) != self.instance_zones.get(instance)

    def count_rejection(self, instance: str) -> None:
        self.rejected_beside_idle += self.idle.get(self.instance_zones.get(instance, ""), 0) > 0


@dataclass(slots=True)
class _Operation:
    """What a client wants done; it sends one or more requests for it."""

    asked: float
    category: str
    tenant: str
    requests: int = 0
    done: float = math.inf  # seconds after the first request


def compute_figures(rows: Sequence[Row], scenario: Scenario) -> Figures:
    """Computes all figures of a run from its event records."""
    categories = {category.name: category for category in scenario.categories}
    operations: dict[str, _Operation] = {}
    request_origins: dict[str, tuple[str, int]] = {}
    counts = dict.fromkeys(("done", "dismissed", "scrapped", "left"), 0)
    refused_late, arrivals, rejected, dropped, connects, crossed = 0, 0, 0, 0, 0, 0
    work_sent, work_used = 0.0, 0.0
    work_by_attempt: dict[tuple[str, str], float] = {}
    sent_requests: set[str] = set()
    load = ServerLoad(scenario)
    in_flight_changes: dict[str, list[tuple[int, int]]] = {}
    open_attempts: dict[tuple[str, str], None] = {}
    faults = []
    for row in rows:
        match row.what:
            case "asked":
                operation = operations.setdefault(row.label, _Operation(row.at / 1e6, row.text, row.who))
                operation.requests += 1
                request_origins[row.lookup] = row.label, row.at
            case "answered":
                label, at = request_origins[row.lookup]
                operation = operations[label]
                if row.number == 200:
                    counts["done"] += 1
                    operation.done = min(operation.done, row.at / 1e6 - operation.asked)
                    server = row.text.split("|")[1] if row.text.count("|") == 2 else ""
                    work_used += work_by_attempt.get((server, row.lookup), 0.0)
                else:
                    counts["dismissed" if row.number in (429, 503) else "scrapped"] += 1
                    if row.number in (429, 503):
                        load.count_rejection(row.instance)
                    half_limit = categories[operation.category].abandon_time * 1e6 / 2
                    refused_late += row.at - at > half_limit and row.lookup not in sent_requests
            case "left":
                counts["left"] += 1
            case "arrived":
                arrivals += 1
                crossed += load.is_cross_zone(row.who, row.instance)
                work_sent += row.number
                work_by_attempt[row.who, row.lookup] = row.number
                sent_requests.add(row.lookup)
                if (row.who, row.lookup) not in open_attempts:
                    open_attempts[row.who, row.lookup] = None
                    load.count_arrival(row.who)
                    in_flight_changes.setdefault(row.who, []).append((row.at, 1))
            case "made" | "turned" | "broke" | "cut":
                rejected += row.what == "turned"
                if (row.who, row.lookup) in open_attempts:
                    del open_attempts[row.who, row.lookup]
                    load.add_in_flight(row.who, -1)
                    in_flight_changes[row.who].append((row.at, -1))
            case "connected":
                connects += 1
            case "up":
                zone, _, group, *_ = row.text.split("/")
                load.add_server(row.who, zone, group)
            case "dropped":
                dropped += 1
            case "down" | "fell":
                load.remove_server(row.who)
                for key in [key for key in open_attempts if key[0] == row.who]:
                    del open_attempts[key]
                    in_flight_changes[row.who].append((row.at, -1))
            case "fault":
                faults.append((row.at / 1e6, row.number, row.who))
    return _summarize(
        scenario,
        operations,
        counts,
        in_flight_changes,
        faults,
        {
            "lookups": float(len(request_origins)),
            "hand_offs": arrivals / max(1, len(request_origins)),
            "turned_away": rejected / max(1, arrivals),
            "repeats_dropped": float(dropped),
            "connects": connects / max(1, len(request_origins)),
            "cross_zone": crossed / max(1, arrivals),
            "dismissed_beside_idle": load.rejected_beside_idle / max(1, len(request_origins)),
            "sent_to_laden_beside_idle": load.overloaded_beside_idle / max(1, arrivals),
            "work_wasted": 1 - work_used / work_sent if work_sent else 0.0,
            "refused_late": float(refused_late),
        },
    )


def _summarize(
    scenario: Scenario,
    operations: dict[str, _Operation],
    counts: dict[str, int],
    in_flight_changes: dict[str, list[tuple[int, int]]],
    faults: list,
    numbers: dict[str, float],
) -> Figures:
    categories = {category.name: category for category in scenario.categories}
    seconds = max(1, math.ceil(scenario.seconds))
    asked, earned, done_in_time = np.zeros(seconds), np.zeros(seconds), np.zeros(seconds)
    sums_by: dict[str, dict[str, list[float]]] = {"tenant": {}, "category": {}}
    histogram = HdrHistogram(1, 120_000_000, 3)
    for operation in operations.values():
        category, second = categories[operation.category], min(seconds - 1, int(operation.asked))
        earned_fraction = (
            1.0
            if operation.done <= category.expected_time
            else category.late_benefit
            if operation.done < math.inf
            else 0.0
        )
        asked[second] += category.benefit
        earned[second] += category.benefit * earned_fraction
        done_in_time[second] += operation.done <= category.expected_time
        for name, key in (("tenant", operation.tenant), ("category", operation.category)):
            sums = sums_by[name].setdefault(key, [0.0, 0.0])
            sums[0] += category.benefit
            sums[1] += category.benefit * earned_fraction
        if operation.done < math.inf:
            histogram.record_value(max(1, int(operation.done * 1e6)))
    operation_count = max(1, len(operations))
    share = np.divide(earned, asked, out=np.ones(seconds), where=asked > 0)
    window = min(10, seconds)
    sums = np.convolve(asked, np.ones(window), "valid"), np.convolve(earned, np.ones(window), "valid")
    worst = np.divide(sums[1], sums[0], out=np.ones(len(sums[0])), where=sums[0] > 0)
    figures = Figures(by_second={"asked": asked.tolist(), "share": share.tolist()}, faults=faults)
    figures.numbers = {
        "done_share": float(done_in_time.sum()) / operation_count,
        "benefit": float(earned.sum() / max(1e-9, asked.sum())),
        "worst_10s": float(worst.min()),
        "tries": numbers["lookups"] / operation_count,
        **{key: value / max(1.0, numbers["lookups"]) for key, value in counts.items()},
        **numbers,
    }
    for percentile in PERCENTILES:
        value = (
            histogram.get_value_at_percentile(percentile) / 1e6 if histogram.get_total_count() else math.nan
        )
        figures.times[f"p{percentile:g}"] = value
        figures.numbers[f"p{percentile:g}"] = value
    figures.by_tenant = {key: earned / asked for key, (asked, earned) in sorted(sums_by["tenant"].items())}
    figures.by_category = {
        key: earned / asked for key, (asked, earned) in sorted(sums_by["category"].items())
    }
    figures.numbers["worst_tenant"] = min(figures.by_tenant.values(), default=1.0)
    figures.in_flight = {
        server: _mean_by_second(changes, seconds) for server, changes in sorted(in_flight_changes.items())
    }
    return figures


def _mean_by_second(changes: list[tuple[int, int]], seconds: int) -> list[float]:
    """Returns the mean of a count in each second. `changes`: time in microseconds and increment."""
    means, count, last = [0.0] * seconds, 0, 0
    for at, change in [*changes, (seconds * 1_000_000, 0)]:
        at = min(at, seconds * 1_000_000)
        while last < at:
            second = last // 1_000_000
            until = min(at, (second + 1) * 1_000_000)
            means[second] += count * (until - last) / 1e6
            last = until
        count += change
    return means


def confidence_interval(
    values: Sequence[float], level: float = 0.95, rounds: int = 2000
) -> tuple[float, float, float]:
    """Returns mean and bootstrap confidence interval; always the same for the same values."""
    data = np.asarray([value for value in values if not math.isnan(value)], dtype=float)
    if len(data) == 0:
        return math.nan, math.nan, math.nan
    means = np.random.default_rng(0).choice(data, (rounds, len(data))).mean(axis=1)
    low, high = np.quantile(means, [(1 - level) / 2, (1 + level) / 2])
    return float(data.mean()), float(low), float(high)
