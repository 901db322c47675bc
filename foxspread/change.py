"""Other settings for a balancer that runs: marks, measures, budgets and lookups in flight go on. Bookkeeping,
no decision; docs/design/fleet-rules.md says why it is done in place.

What follows from settings alone is worked out by a new `Balancer`, which has met no server and costs little,
and taken from it: no formula stands twice. Lookups that were taken before go on to their one answer under the
stricter of both categories; one whose category is gone is handed off no more.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from foxspread.logic import Balancer
from foxspread.model import FEWER, Category, Effect, ListedServer
from foxspread.rings import Alternating

NARROWER = ("all", "zone", "cell")  # what else stands there counts as the narrowest
PLAIN = (
    "tick",
    "longest_back_in",
    "keys_remembered",
    "calling_off",
    "sidecars",
    "surplus_benefit",
    "categories",
    "longest",
    "spread",
    "least",
)


def change(it: Balancer, now: float, settings: dict[str, Any]) -> None:
    """`settings` as for a new balancer. What is each sidecar's own (seed, zone, position) and `asks` must be
    as before. Its next decisions are made under these; the host ticks."""
    new = Balancer(now, **settings)
    old_longest = max((each.category.abandon_time for each in it.lookups.values()), default=0.0)
    for name in PLAIN:
        setattr(it, name, getattr(new, name))
    it.longest = max(it.longest, old_longest)
    it.gate.max_hand_offs, it.gate.copies = new.gate.max_hand_offs, new.gate.copies
    it.rotation.few, it.servers.soon = new.rotation.few, new.servers.soon
    it.customers = {
        name: (entry, it.customers[name][1] if name in it.customers else sent)
        for name, (entry, sent) in new.customers.items()
    }
    _lookups(it, now)
    _measures(it, new)
    _pairs(it)
    _cold(it, now, new)
    if (it.portion is None) != (new.portion is None):
        _portion(it, new)
    it.view_until = it.next_look = now  # looks at all of it again


def lists(it: Balancer, now: float, taken_out: frozenset[str], only: frozenset[str] | None) -> None:
    """Who may be sent to by rules of the whole fleet, beside what the list says. One that was taken out and
    is not any more has been restarted, as one that is called back by hand."""
    servers = it.servers
    if (taken_out, only) == (servers.taken_out, servers.only):
        return
    before = {each for each in servers.known if servers.let(each)}
    back = servers.taken_out - taken_out
    servers.taken_out, servers.only = taken_out, only
    changed = {each for each in servers.known if servers.let(each)} ^ before
    for server in sorted(back & changed):
        servers.back.put(server, now)
        servers.awaited[server] = now + it.chance.draw()
    it.servers_listed(now, [servers.known[each] for each in sorted(changed)], False)


def regrouped(it: Balancer, entries: Iterable[ListedServer]) -> None:
    """Guards a labelled lookup that may have run: who drops its repeats is another group from here on, so it
    is not repeated at all."""
    known = it.servers.known
    if any(
        (old := known.get(each.server)) and (old.zone, old.cell) != (each.zone, each.cell) for each in entries
    ):
        for lookup in it.lookups.values():
            if lookup.category.effect is Effect.LABELLED and lookup.may_have_run():
                lookup.spent = True


class Newcomers:
    """Guards the budget of a cold server: one that is new in a list whose rows don't say when it started has
    just started. Of those in the first whole list nobody knows; what one alone doesn't use is neither gone,
    nor new after that."""

    def __init__(self) -> None:
        self.since: dict[str, float] | None = None  # of the last whole list: when each came into it

    def started(self, now: float, entries: Iterable[ListedServer], alone: bool) -> list[ListedServer]:
        entries, known = list(entries), self.since or {}
        new = now if self.since is not None else 0.0
        found = {each.server: known.get(each.server, new) for each in entries}
        self.since = self.since if alone else found
        return [each if each.started else replace(each, started=found[each.server]) for each in entries]


def halt(it: Balancer, now: float) -> None:
    """Nothing may be handed off: what is out goes on to its answer, the rest is given up."""
    it.gate.max_hand_offs, it.gate.copies, it.calling_off = 0, False, False
    it.waiting |= {id: each for id, each in it.lookups.items() if not each.over}
    it.next_look = now


def stricter(old: Category, new: Category) -> Category:
    """For a lookup that was taken under the old one: its times are its own, repeats are what both allow."""
    scopes = [NARROWER.index(each.scope) if each.scope in NARROWER else 2 for each in (old, new)]
    return replace(
        old,
        effect=max(old.effect, new.effect, key=FEWER.index),
        scope=NARROWER[max(scopes)],
        repeat_window=min(old.repeat_window, new.repeat_window),
    )


def _lookups(it: Balancer, now: float) -> None:
    for lookup in it.lookups.values():
        if (category := it.categories.get(lookup.category.name)) is None:
            lookup.spent = True  # no further hand-off, none that is on its way to its first byte
        elif category != lookup.category:
            lookup.category = stricter(lookup.category, category)
        if not lookup.over:
            it.waiting[lookup.id] = lookup


def _measures(it: Balancer, new: Balancer) -> None:
    """What was measured of a category stays while a lookup of it is there."""
    it.measures.expected, it.measures.waste_price = new.measures.expected, new.measures.waste_price
    used = {each.category.name for each in it.lookups.values()}
    for mine, theirs in ((it.measures.times, new.measures.times), (it.tries.first, new.tries.first)):
        for name in [each for each in mine if each not in theirs and each not in used]:
            del mine[name]
        for name, fresh in theirs.items():
            mine.setdefault(name, fresh)
    for name, fresh in new.measures.times.items():
        for mean, other in zip(it.measures.times[name], fresh):
            mean.usual = other.usual


def _pairs(it: Balancer) -> None:
    """Marks for categories that are there no more. With one category none are kept: no verdict on a pair
    would come, and its trial would never end."""
    kept = it.categories if len(it.categories) > 1 else ()
    if gone := [what for what in it.marks.of if not isinstance(what, str) and what[1] not in kept]:
        for what in gone:
            del it.marks.of[what]
        it.marks.marked.difference_update(gone)
    for name in [each for each in it.marks.recent if each and each not in kept]:
        del it.marks.recent[name]


def _cold(it: Balancer, now: float, new: Balancer) -> None:
    servers, told = it.servers, ("cold_from", "cold_time", "headroom", "most")
    if all(getattr(servers, name) == getattr(new.servers, name) for name in told):
        return
    servers.warmed(now)
    for name in told:
        setattr(servers, name, getattr(new.servers, name))
    servers.warmed(now)
    for server in sorted(servers.ready - servers.cold.keys()):
        if servers.warmth(now, server) < 1.0:
            servers._set_cold(server, True)
            servers.tokens[server] = (0.0, now)  # no burst


def _portion(it: Balancer, new: Balancer) -> None:
    it.portion, it.used, it.servers.orders = new.portion, set(), new.servers.orders
    if it.servers.orders is not None:
        for server in it.servers.ready:
            entry = it.servers.known[server]
            it.servers.orders.setdefault(entry.zone, Alternating()).add(server, entry.kind)
    it.touched |= it.servers.ready
