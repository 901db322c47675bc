"""Applies other settings to a running balancer: ejections, statistics, budgets and requests in flight are
kept. Decides nothing; docs/design/fleet-rules.md says why it is done in place.

What follows from settings alone is computed by a new `Balancer`, which has no servers and costs little, and
is copied from it, so that no formula is written twice. Requests that came before are answered under the
stricter of both categories; one whose category was removed is not sent again.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from foxspread.balancer import Balancer
from foxspread.indexes import InterleavedOrder
from foxspread.model import IDEMPOTENCY_BY_STRICTNESS, Category, Endpoint, Idempotency

SCOPES = ("all", "zone", "cell")  # of deduplication, from the widest; any other value counts as the narrowest
COPIED_ATTRIBUTES = (
    "tick",
    "max_retry_after",
    "use_keys",
    "cancellation",
    "sidecars",
    "surplus_benefit",
    "categories",
    "max_abandon_time",
    "subscribe_spread",
    "min_server_limit",
)
SLOW_START_ATTRIBUTES = ("initial_fraction", "slow_start_time", "headroom", "max_headroom")


def apply_settings(balancer: Balancer, now: float, settings: dict[str, Any]) -> None:
    """Makes the next decisions under these settings, which have the form of a new balancer's arguments. Those
    that belong to one sidecar (seed, zone, position) and `watch_endpoints` must be as before."""
    new = Balancer(now, **settings)
    max_pending_time = max((r.category.abandon_time for r in balancer.requests.values()), default=0.0)
    for name in COPIED_ATTRIBUTES:
        setattr(balancer, name, getattr(new, name))
    balancer.max_abandon_time = max(balancer.max_abandon_time, max_pending_time)
    balancer.admission.max_attempts = new.admission.max_attempts
    balancer.admission.hedging = new.admission.hedging
    balancer.rotation.overload_floor = new.rotation.overload_floor
    balancer.servers.first_request_rate = new.servers.first_request_rate
    balancer.customers = {
        name: (entry, balancer.customers[name][1] if name in balancer.customers else requests)
        for name, (entry, requests) in new.customers.items()
    }
    _update_requests(balancer)
    _update_statistics(balancer, new)
    _drop_pairs(balancer)
    _update_slow_start(balancer, now, new)
    if (balancer.subset is None) != (new.subset is None):
        _switch_subset(balancer, new)
    balancer.health_valid_until = balancer.next_queue_scan = now


def restrict_servers(
    balancer: Balancer, now: float, disabled: frozenset[str], allowed: frozenset[str] | None
) -> None:
    """Applies the fleet rules on which servers may be used; `allowed`: None means all. A server that is not
    disabled any more has been restarted meanwhile, like one that the operator enables."""
    servers = balancer.servers
    if (disabled, allowed) == (servers.disabled_by_rules, servers.allowed_by_rules):
        return
    before = {each for each in servers.endpoints if servers.rules_allow(each)}
    enabled = servers.disabled_by_rules - disabled
    servers.disabled_by_rules, servers.allowed_by_rules = disabled, allowed
    changed = {each for each in servers.endpoints if servers.rules_allow(each)} ^ before
    for server in sorted(enabled & changed):
        servers.enabled_at.put(server, now)
        servers.first_request_at[server] = now + balancer.chance.draw()
    balancer.update_endpoints(now, [servers.endpoints[each] for each in sorted(changed)], False)


def forbid_repeats_across_groups(balancer: Balancer, entries: Iterable[Endpoint]) -> None:
    """Prevents that a deduplicated request runs twice. If any server moves to another zone or cell, other
    servers would recognise a repetition from then on; so no such request that may have run is sent again."""
    known = balancer.servers.endpoints
    if any(
        (old := known.get(each.server)) and (old.zone, old.cell) != (each.zone, each.cell) for each in entries
    ):
        for request in balancer.requests.values():
            if request.category.idempotency is Idempotency.DEDUPLICATED and request.may_have_run():
                request.not_resendable = True


class StartTimes:
    """Start times of servers in a list whose rows do not contain them: a server that is new in the list has
    just started, and gets the budget of slow start. Those of the first full list have an unknown start
    time."""

    def __init__(self) -> None:
        self.first_listed_at: dict[str, float] | None = None  # by server of the last full list

    def started(self, now: float, entries: Iterable[Endpoint], alone: bool) -> list[Endpoint]:
        """Returns the entries with start times. `alone`: they are the part that a sidecar uses which has lost
        contact; the other servers are not removed, and not new when the full list comes again."""
        entries, known = list(entries), self.first_listed_at or {}
        default = now if self.first_listed_at is not None else 0.0
        found = {each.server: known.get(each.server, default) for each in entries}
        self.first_listed_at = self.first_listed_at if alone else found
        return [each if each.started else replace(each, started=found[each.server]) for each in entries]


def halt(balancer: Balancer, now: float) -> None:
    """Stops all further attempts. Those in flight are awaited; all other requests are given up."""
    balancer.admission.max_attempts, balancer.admission.hedging = 0, False
    balancer.cancellation = False
    balancer.pending |= {id: each for id, each in balancer.requests.items() if not each.finished}
    balancer.next_queue_scan = now


def stricter(old: Category, new: Category) -> Category:
    """Returns the category for a request that came under the old one: it keeps its times, and is repeated
    only as both categories allow."""
    scopes = [
        SCOPES.index(each.deduplication_scope) if each.deduplication_scope in SCOPES else len(SCOPES) - 1
        for each in (old, new)
    ]
    return replace(
        old,
        idempotency=max(old.idempotency, new.idempotency, key=IDEMPOTENCY_BY_STRICTNESS.index),
        deduplication_scope=SCOPES[max(scopes)],
        deduplication_window=min(old.deduplication_window, new.deduplication_window),
    )


def _update_requests(balancer: Balancer) -> None:
    for request in balancer.requests.values():
        if (category := balancer.categories.get(request.category.name)) is None:
            request.not_resendable = True  # nor may an attempt that is still connecting be sent
        elif category != request.category:
            request.category = stricter(request.category, category)
        if not request.finished:
            balancer.pending[request.id] = request


def _update_statistics(balancer: Balancer, new: Balancer) -> None:
    """Statistics of a removed category are kept while it has requests."""
    balancer.latency.mean_expected_time = new.latency.mean_expected_time
    balancer.latency.waste_price = new.latency.waste_price
    used = {each.category.name for each in balancer.requests.values()}
    for current, fresh in (
        (balancer.latency.time_moments, new.latency.time_moments),
        (balancer.client_retries.first_time_left, new.client_retries.first_time_left),
    ):
        for name in [each for each in current if each not in fresh and each not in used]:
            del current[name]
        for name, statistic in fresh.items():
            current.setdefault(name, statistic)
    for name, moments in new.latency.time_moments.items():
        for mean, other in zip(balancer.latency.time_moments[name], moments, strict=True):
            mean.prior = other.prior


def _drop_pairs(balancer: Balancer) -> None:
    """Drops the ejections of servers for removed categories; with a single category, for all categories:
    pairs would get no outcomes any more, and their trials would never end."""
    kept = balancer.categories if len(balancer.categories) > 1 else ()
    outliers = balancer.outliers
    if removed := [each for each in outliers.states if not isinstance(each, str) and each[1] not in kept]:
        for pair in removed:
            del outliers.states[pair]
        outliers.ejected.difference_update(removed)
    for name in [each for each in outliers.recent if each and each not in kept]:
        del outliers.recent[name]


def _update_slow_start(balancer: Balancer, now: float, new: Balancer) -> None:
    servers = balancer.servers
    if all(getattr(servers, name) == getattr(new.servers, name) for name in SLOW_START_ATTRIBUTES):
        return
    servers.finish_slow_starts(now)
    for name in SLOW_START_ATTRIBUTES:
        setattr(servers, name, getattr(new.servers, name))
    servers.finish_slow_starts(now)
    for server in sorted(servers.ready - servers.slow_starting.keys()):
        if servers.capacity_fraction(now, server) < 1.0:
            servers._set_slow_starting(server, True)
            servers.tokens[server] = (0.0, now)  # so that there is no burst


def _switch_subset(balancer: Balancer, new: Balancer) -> None:
    """Begins or ends the use of a subset of the servers."""
    servers = balancer.servers
    balancer.subset, balancer.subset_servers, servers.orders = new.subset, set(), new.servers.orders
    if servers.orders is not None:
        for server in servers.ready:
            entry = servers.endpoints[server]
            servers.orders.setdefault(entry.zone, InterleavedOrder()).add(server, entry.kind)
    balancer.changed_servers |= servers.ready
