"""Figures of one run, from its ledger alone; `cost` adds what only the run itself can tell."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
from hdrh.histogram import HdrHistogram

from foxspread.lab.engines import setup
from foxspread.lab.ledger import Row
from foxspread.lab.scenario import Scenario

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LADEN = 4  # in flight a core, from which a server counts as laden


@dataclass
class Figures:
    numbers: dict[str, float] = field(default_factory=dict)
    by_second: dict[str, list[float]] = field(default_factory=dict)  # series, a value a second
    by_tenant: dict[str, float] = field(default_factory=dict)  # benefit share
    by_category: dict[str, float] = field(default_factory=dict)
    in_flight: dict[str, list[float]] = field(default_factory=dict)  # by server, a value a second
    times: dict[str, float] = field(default_factory=dict)  # seconds, by percentile
    faults: list[tuple[float, float, str]] = field(default_factory=list)


class Load:
    """What servers hold by the ledger, and which of a zone stand idle: blind choice shows in what is
    dismissed or sent to a laden server while one of the same zone has nothing to do."""

    def __init__(self, scenario: Scenario) -> None:
        numbers = range(scenario.instances)
        self.homes = {setup.instance_name(n): setup.instance_zone(scenario, n) for n in numbers}
        self.full = {group.name: LADEN * group.cores for group in scenario.groups}
        self.most: dict[str, int] = {}  # by server: laden from there on
        self.held: dict[str, int] = {}  # of those that are up
        self.zone: dict[str, str] = {}
        self.idle = dict.fromkeys(scenario.network.zones, 0)  # how many, by zone
        self.dismissed = self.sent = 0

    def up(self, server: str, zone: str, group: str) -> None:
        self.down(server)
        self.most[server] = self.full[group]
        self.held[server], self.zone[server] = 0, zone
        self.idle[zone] = self.idle.get(zone, 0) + 1

    def down(self, server: str) -> None:
        if self.held.pop(server, 1) == 0:
            self.idle[self.zone[server]] -= 1

    def change(self, server: str, by: int) -> None:
        if server in self.held:
            before = self.held[server]
            now = self.held[server] = before + by
            self.idle[self.zone[server]] += (now == 0) - (before == 0)

    def arrives(self, server: str) -> None:
        laden = self.held.get(server, 0) >= self.most.get(server, math.inf)
        self.sent += laden and self.idle.get(self.zone[server], 0) > 0
        self.change(server, 1)

    def far(self, server: str, instance: str) -> bool:
        return self.zone.get(server) != self.homes.get(instance)

    def dismisses(self, instance: str) -> None:
        self.dismissed += self.idle.get(self.homes.get(instance, ""), 0) > 0


@dataclass(slots=True)
class _Want:
    asked: float
    kind: str
    tenant: str
    tries: int = 0
    done: float = math.inf  # seconds after the first asking


def work_out(rows: Sequence[Row], scenario: Scenario) -> Figures:
    kinds = {kind.name: kind for kind in scenario.categories}
    wants: dict[str, _Want] = {}
    of_try: dict[str, tuple[str, int]] = {}
    counts = dict.fromkeys(("done", "dismissed", "scrapped", "left"), 0)
    refused_late, arrivals, turned, dropped, connects, crossed = 0, 0, 0, 0, 0, 0
    work_sent, work_used = 0.0, 0.0
    last_work: dict[tuple[str, str], float] = {}
    sent_before: set[str] = set()
    load = Load(scenario)
    flights: dict[str, list[tuple[int, int]]] = {}
    open_at: dict[tuple[str, str], None] = {}
    faults = []
    for row in rows:
        match row.what:
            case "asked":
                want = wants.setdefault(row.label, _Want(row.at / 1e6, row.text, row.who))
                want.tries += 1
                of_try[row.lookup] = row.label, row.at
            case "answered":
                label, at = of_try[row.lookup]
                want = wants[label]
                if row.number == 200:
                    counts["done"] += 1
                    want.done = min(want.done, row.at / 1e6 - want.asked)
                    server = row.text.split("|")[1] if row.text.count("|") == 2 else ""
                    work_used += last_work.get((server, row.lookup), 0.0)
                else:
                    counts["dismissed" if row.number in (429, 503) else "scrapped"] += 1
                    if row.number in (429, 503):
                        load.dismisses(row.instance)
                    half = kinds[want.kind].abandon_time * 1e6 / 2
                    refused_late += row.at - at > half and row.lookup not in sent_before
            case "left":
                counts["left"] += 1
            case "arrived":
                arrivals += 1
                crossed += load.far(row.who, row.instance)
                work_sent += row.number
                last_work[row.who, row.lookup] = row.number
                sent_before.add(row.lookup)
                if (row.who, row.lookup) not in open_at:
                    open_at[row.who, row.lookup] = None
                    load.arrives(row.who)
                    flights.setdefault(row.who, []).append((row.at, 1))
            case "made" | "turned" | "broke" | "cut":
                turned += row.what == "turned"
                if (row.who, row.lookup) in open_at:
                    del open_at[row.who, row.lookup]
                    load.change(row.who, -1)
                    flights[row.who].append((row.at, -1))
            case "connected":
                connects += 1
            case "up":
                zone, _, group, *_ = row.text.split("/")
                load.up(row.who, zone, group)
            case "dropped":
                dropped += 1
            case "down" | "fell":
                load.down(row.who)
                for key in [key for key in open_at if key[0] == row.who]:
                    del open_at[key]
                    flights[row.who].append((row.at, -1))
            case "fault":
                faults.append((row.at / 1e6, row.number, row.who))
    return _together(
        scenario,
        wants,
        counts,
        flights,
        faults,
        {
            "lookups": float(len(of_try)),
            "hand_offs": arrivals / max(1, len(of_try)),
            "turned_away": turned / max(1, arrivals),
            "repeats_dropped": float(dropped),
            "connects": connects / max(1, len(of_try)),
            "cross_zone": crossed / max(1, arrivals),
            "dismissed_beside_idle": load.dismissed / max(1, len(of_try)),
            "sent_to_laden_beside_idle": load.sent / max(1, arrivals),
            "work_wasted": 1 - work_used / work_sent if work_sent else 0.0,
            "refused_late": float(refused_late),
        },
    )


def _together(
    scenario: Scenario,
    wants: dict[str, _Want],
    counts: dict[str, int],
    flights: dict[str, list[tuple[int, int]]],
    faults: list,
    numbers: dict[str, float],
) -> Figures:
    kinds = {kind.name: kind for kind in scenario.categories}
    seconds = max(1, math.ceil(scenario.seconds))
    asked, earned, in_time = np.zeros(seconds), np.zeros(seconds), np.zeros(seconds)
    by: dict[str, dict[str, list[float]]] = {"tenant": {}, "kind": {}}
    histogram = HdrHistogram(1, 120_000_000, 3)
    for want in wants.values():
        kind, second = kinds[want.kind], min(seconds - 1, int(want.asked))
        worth = 1.0 if want.done <= kind.expected_time else kind.late_benefit if want.done < math.inf else 0.0
        asked[second] += kind.benefit
        earned[second] += kind.benefit * worth
        in_time[second] += want.done <= kind.expected_time
        for name, key in (("tenant", want.tenant), ("kind", want.kind)):
            sums = by[name].setdefault(key, [0.0, 0.0])
            sums[0] += kind.benefit
            sums[1] += kind.benefit * worth
        if want.done < math.inf:
            histogram.record_value(max(1, int(want.done * 1e6)))
    wanted = max(1, len(wants))
    share = np.divide(earned, asked, out=np.ones(seconds), where=asked > 0)
    window = min(10, seconds)
    sums = np.convolve(asked, np.ones(window), "valid"), np.convolve(earned, np.ones(window), "valid")
    worst = np.divide(sums[1], sums[0], out=np.ones(len(sums[0])), where=sums[0] > 0)
    figures = Figures(by_second={"asked": asked.tolist(), "share": share.tolist()}, faults=faults)
    figures.numbers = {
        "done_share": float(in_time.sum()) / wanted,
        "benefit": float(earned.sum() / max(1e-9, asked.sum())),
        "worst_10s": float(worst.min()),
        "tries": numbers["lookups"] / wanted,
        **{key: value / max(1.0, numbers["lookups"]) for key, value in counts.items()},
        **numbers,
    }
    for percentile in PERCENTILES:
        value = (
            histogram.get_value_at_percentile(percentile) / 1e6 if histogram.get_total_count() else math.nan
        )
        figures.times[f"p{percentile:g}"] = value
        figures.numbers[f"p{percentile:g}"] = value
    figures.by_tenant = {key: got / all for key, (all, got) in sorted(by["tenant"].items())}
    figures.by_category = {key: got / all for key, (all, got) in sorted(by["kind"].items())}
    figures.numbers["worst_tenant"] = min(figures.by_tenant.values(), default=1.0)
    figures.in_flight = {
        server: _mean_by_second(changes, seconds) for server, changes in sorted(flights.items())
    }
    return figures


def _mean_by_second(changes: list[tuple[int, int]], seconds: int) -> list[float]:
    """The mean of a count over each second, from its changes."""
    out, held, last = [0.0] * seconds, 0, 0
    for at, change in [*changes, (seconds * 1_000_000, 0)]:
        at = min(at, seconds * 1_000_000)
        while last < at:
            second = last // 1_000_000
            until = min(at, (second + 1) * 1_000_000)
            out[second] += held * (until - last) / 1e6
            last = until
        held += change
    return out


def interval(values: Sequence[float], level: float = 0.95, rounds: int = 2000) -> tuple[float, float, float]:
    """Mean and bootstrap confidence interval; the same for the same values."""
    data = np.asarray([value for value in values if not math.isnan(value)], dtype=float)
    if len(data) == 0:
        return math.nan, math.nan, math.nan
    means = np.random.default_rng(0).choice(data, (rounds, len(data))).mean(axis=1)
    low, high = np.quantile(means, [(1 - level) / 2, (1 + level) / 2])
    return float(data.mean()), float(low), float(high)
