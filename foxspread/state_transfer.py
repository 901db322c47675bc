"""State that one process leaves to the next: what it has learnt of the servers, for a later start, and its
whole state, for a successor that starts beside it. Both are plain values (JSON). Also forgets removed
servers. Decides nothing; docs/migration.md and docs/design/handover.md say what is transferred and why.
"""

import math
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from foxspread.model import EjectionState, Endpoint
from foxspread.statistics import DecayingMean, DecayingSum

MAX_EJECTIONS = 4000  # in a record, the longest first
MAX_EJECTION_TIME_S = 64.0
MIN_TURN_SHARE = 0.05  # a lower share would hardly ever be corrected
RESTORED_ANSWER_COUNT = (
    20  # answers that a restored share of turns counts for: the first few must not overrule it
)


class Transferable(Protocol):
    """What is used here of a `foxspread.balancer.Balancer`."""

    categories: dict[str, Any]
    servers: Any
    outliers: Any
    latency: Any
    changed_servers: set[str]
    health_valid_until: float
    client_retries: Any
    mean_priority: DecayingMean
    rotation: Any
    attempts_by_server: dict[str, Any]
    max_abandon_time: float

    def update_endpoints(self, now: float, entries: Iterable[Endpoint], full: bool) -> None:
        """Applies the endpoint list."""


class EjectionRecord(NamedTuple):
    """An ejection as it is written. Id and start name the server: after a restart it counts as another
    one."""

    server: str
    started: float
    category: str | None
    ejected_until: float
    ejection_time: float


def learnt(balancer: Transferable) -> dict[str, Any]:
    """Returns the ejections, and the share of turns of each kind of server."""
    states = balancer.outliers.states
    longest_first = sorted(
        balancer.outliers.ejected, key=lambda target: (-states[target].ejected_until, str(target))
    )
    marks = []
    for target in longest_first[:MAX_EJECTIONS]:
        server, category = (target, None) if isinstance(target, str) else target
        marks.append(
            {
                "server": server,
                "started": balancer.servers.endpoints[server].started,
                "category": category,
                "until": states[target].ejected_until,
                "spell": states[target].ejection_time,
            }
        )
    return {"version": 1, "marks": marks, "turns": dict(balancer.latency.kind_turn_share)}


def number(value: Any) -> float:
    """Returns a finite number. An ejection until NaN would never end, as no time is later than that."""
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return float(value)


def parse_learnt(record: Any) -> tuple[dict[str, float], list[EjectionRecord]]:
    """Returns the shares of turns and the ejections; raises ValueError if the record is malformed."""
    try:
        if record["version"] != 1:
            raise ValueError(f"version {record['version']!r} is not supported")
        shares = {
            str(kind): min(1.0, max(MIN_TURN_SHARE, number(share))) for kind, share in record["turns"].items()
        }
        ejections = [
            EjectionRecord(
                str(row["server"]),
                number(row["started"]),
                row["category"] and str(row["category"]),
                number(row["until"]),
                min(MAX_EJECTION_TIME_S, max(0.0, number(row["spell"]))),
            )
            for row in record["marks"][:MAX_EJECTIONS]
        ]
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed record of learnt state: {error!r}") from None
    return shares, ejections


def restore_learnt(balancer: Transferable, now: float, record: Any) -> int:
    """Takes over what an earlier process has learnt, after the first endpoint list. Returns the number of
    restored ejections; raises ValueError, and takes over nothing, if the record is malformed. An ejection
    lasts no longer than its ejection time from now on, however wrong the clock was that wrote it."""
    shares, ejections = parse_learnt(record)
    balancer.latency.kind_turn_share.update(shares)
    balancer.latency.answer_counts.update(dict.fromkeys(shares, RESTORED_ANSWER_COUNT))
    count = 0
    for each in ejections:
        entry = balancer.servers.endpoints.get(each.server)
        if entry is None or entry.started != each.started:
            continue
        if each.category is not None and each.category not in balancer.categories:
            continue
        target = each.server if each.category is None else (each.server, each.category)
        until = min(each.ejected_until, now + each.ejection_time)
        balancer.outliers.states[target] = EjectionState(
            ejected_until=until, ejection_time=each.ejection_time
        )
        balancer.outliers.ejected.add(target)
        balancer.changed_servers.add(each.server)
        count += 1
    balancer.health_valid_until = now
    return count


def state(balancer: Transferable, now: float) -> dict[str, Any]:
    """Returns the whole state for a successor: what has been learnt, and what the rules depend on."""
    servers, latency = balancer.servers, balancer.latency
    quantile = latency.idle_time_quantile
    return learnt(balancer) | {
        "by_hand": list(servers.disabled),
        "back": dict(servers.enabled_at),
        "awaited": dict(servers.first_request_at),
        "tokens": {each: servers.tokens[each] for each in servers.slow_starting},
        "asked": servers.request_count.read(now),
        "worth": balancer.mean_priority.totals(now),
        "served": [(*group, each.read(now)) for group, each in servers.completions.items()],
        "done": {server: (each.read(now), since) for server, (each, since) in latency.completions.items()},
        "slow": {name: each.totals(now) for name, each in latency.slowness.items()},
        "brisk": (quantile.value, quantile.count),
        "heard": dict(latency.answer_counts),
        "times": {name: [each.totals(now) for each in both] for name, both in latency.time_moments.items()},
        "first": {name: each.totals(now) for name, each in balancer.client_retries.first_time_left.items()},
    }


def restore(balancer: Transferable, now: float, state: Any, entries: Iterable[Endpoint]) -> int:
    """Takes over a predecessor's whole state, with its full endpoint list. Returns the number of restored
    ejections; raises ValueError, and takes over nothing, if the state is malformed. Values of an unknown
    server or category are left out."""
    try:
        disabled = [str(each) for each in state["by_hand"]]
        completions = [((str(zone), str(kind)), number(value)) for zone, kind, value in state["served"]]
        enabled_at, first_request_at = (numbers(state[key]) for key in ("back", "awaited"))
        tokens, done, slow, first = (pairs(state[key]) for key in ("tokens", "done", "slow", "first"))
        times = {str(name): [pair(each) for each in both] for name, both in state["times"].items()}
        quantile, priority = pair(state["brisk"]), pair(state["worth"])
        request_count = number(state["asked"])
        answer_counts = {str(kind): int(number(count)) for kind, count in state["heard"].items()}
        parse_learnt(state)
        if any(len(both) != 2 for both in times.values()):
            raise ValueError("malformed state: 'times' must hold two pairs for each category")
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed state: {error!r}") from None
    servers, latency = balancer.servers, balancer.latency
    servers.disabled.update(dict.fromkeys(disabled))
    for server, at in enabled_at.items():
        servers.enabled_at.put(server, at)
    balancer.update_endpoints(now, entries, True)
    servers.tokens.update({each: token for each, token in tokens.items() if each in servers.slow_starting})
    servers.first_request_at.update(
        {each: at for each, at in first_request_at.items() if each in servers.endpoints}
    )
    servers.request_count.value = request_count
    for group, value in completions:
        servers.completions[group].value = value
    for server, (value, since) in done.items():
        if server in latency.completions:
            latency.completions[server] = DecayingSum(latency.rate_window, value), min(now, since)
    for means, values in ((latency.slowness, slow), (balancer.client_retries.first_time_left, first)):
        for name, totals in values.items():
            if name in means:
                set_totals(means[name], totals)
    for name, both in times.items():
        for mean, totals in zip(latency.time_moments.get(name, ()), both, strict=False):
            set_totals(mean, totals)
    set_totals(balancer.mean_priority, priority)
    latency.idle_time_quantile.value = max(1e-6, quantile[0])
    latency.idle_time_quantile.count = int(quantile[1])
    count = restore_learnt(balancer, now, state)
    latency.answer_counts.update(answer_counts)
    return count


def forget_removed_servers(balancer: Transferable, now: float) -> None:
    """Deletes all that is kept of servers that were removed and have no attempt in flight any more, so that
    state does not grow where servers are ever new."""
    servers, outliers, latency = balancer.servers, balancer.outliers, balancer.latency
    rotation = balancer.rotation
    for server in servers.removed_before(now - balancer.max_abandon_time, balancer.attempts_by_server):
        servers.forget(server)
        outliers.add_server(server, balancer.categories)
        for by_server in (
            servers.tokens,
            servers.first_request_at,
            outliers.states,
            latency.completions,
            latency.slowness,
            latency.latest_answered_sent_at,
            rotation.turn_credits,
            rotation.keyed_credits,
        ):
            by_server.pop(server, None)


def set_totals(mean: DecayingMean, totals: tuple[float, float]) -> None:
    """Sets total and count of a mean."""
    mean.total, mean.count = totals


def pair(value: Any) -> tuple[float, float]:
    """Returns two finite numbers."""
    one, other = value
    return number(one), number(other)


def pairs(values: Any) -> dict[str, tuple[float, float]]:
    """Returns pairs of finite numbers by name."""
    return {str(key): pair(value) for key, value in values.items()}


def numbers(values: Any) -> dict[str, float]:
    """Returns finite numbers by name."""
    return {str(key): number(value) for key, value in values.items()}
