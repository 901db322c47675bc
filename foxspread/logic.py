"""A lookup's way through all decisions of foxspread; `decisions` has each concern. A host calls
a `Balancer`'s inputs (each only notes what is now known), pulls `next_decision(now)` until None, and wakes it
by `wake_at()`. docs/design.md has the mechanism, its source and each exception to it. There is no clock and
no I/O in here."""

import math
import zlib
from collections.abc import Iterable, Iterator
from functools import partial

from foxspread import carry
from foxspread.decisions.cold import ServerList
from foxspread.decisions.gate import Gate
from foxspread.decisions.marks import Marks
from foxspread.decisions.measures import Measures
from foxspread.decisions.portion import Portion
from foxspread.decisions.rotation import Rotation
from foxspread.model import Act, Category, Customer, Decision, HandOff, ListedServer, Lookup, Outcome
from foxspread.rings import Flight
from foxspread.sums import Chance, Decaying, Mean
from foxspread.tries import Tries


class Balancer(Flight):
    def __init__(self, now: float, seed: int, zone: str, sidecars: int, categories: list[Category],
                 customers: list[Customer], surplus_benefit: float, max_hand_offs: int, copies: bool,
                 calling_off: bool, longest_back_in: float, tick: float, asks: bool, keys_remembered: bool,
                 waste_price: float, cold: tuple[float, ...], position: int = 0, streams: int = 1) -> None:
        super().__init__()
        chance = self.chance = Chance(seed)
        self.tick, self.longest_back_in, self.keys_remembered = tick, longest_back_in, keys_remembered
        self.calling_off, self.sidecars, self.surplus_benefit = calling_off, sidecars, surplus_benefit
        self.categories = {c.name: c for c in categories}
        self.customers = {c.name: (c, Decaying(10.0)) for c in customers}
        self.servers = ServerList(*cold, chance=chance)
        self.measures = Measures(now, categories, waste_price=waste_price)
        self.servers.turn, self.servers.orders = self.measures.turn, {} if streams > 1 else None
        self.servers.slow, self.servers.soon = self.measures.slow, min(0.25, 2 / sidecars)   # soon: for all
        self.gate = Gate(self.servers, max_hand_offs, copies)
        self.longest = max((c.abandon_time for c in categories), default=0.0)
        self.worth, self.tries, self.plan = Mean(10.0, 0.0), Tries(categories), None
        self.spread, self.ask_again = min(5.0, 0.04 * sidecars), 0.5   # the list service does not grow
        self.ask_at = now + chance.draw() * self.spread if asks else math.inf
        self.least = max(1, round(4 / sidecars))   # all floors together must not crowd a server
        self.marks, self.rotation = Marks(), Rotation(zone, chance, few=min(2, self.least))
        self.portion, self.used = Portion(now, position) if streams > 1 else None, set()
        self.next_look = self.view_until = now   # at the queue, at all marks
        self.panic, self.panic_for = False, set()   # are marks ignored: all of them; of which categories

    def lookup_taken(self, now: float, id: str, category: str, time_left: float, customer: str = "",
                     key: str = "", again: bool = False) -> None:
        kind, spent = self.categories[category], self.tries.spent(now, category, time_left, again)
        self.servers.asked.add(now)
        lookup = Lookup(id, kind, now + min(kind.expected_time - spent, time_left), now + time_left,
                        kind.benefit * self._share_left(now, customer) / self.measures.usual(now, kind),
                        self.chance.draw(), key if self.keys_remembered else "")
        self.lookups[id] = self.waiting[id] = lookup
        self.worth.add(now, lookup.worth)
        self._wake(id, lookup.abandon_at - 2 * self.tick)

    def hand_off_ended(self, now: float, id: str, number: int, outcome: Outcome, closed: bool) -> None:
        if (hand_off := self._back(id, number, outcome)) is None:
            return
        lookup = self.lookups[id]
        # Slow servers, whose lookups are called off, never time out: overdue or twice that is as bad.
        overdue = outcome is Outcome.CALLED_OFF and now > min(hand_off.overdue, hand_off.sent + 2 * (
            self.measures.usual(now, lookup.category)) / self.servers.warmth(now, hand_off.server))
        self.measures.ended(now, hand_off, lookup.category)
        if outcome.done and hand_off.kind is not None:
            self.servers.served[hand_off.zone, hand_off.kind].add(now)
        weight = self.marks.max_fails if outcome is Outcome.UNCONNECTED else 1   # the server's own doing
        late = outcome.done and now > lookup.expected_at   # most of its benefit is gone
        if not hand_off.judged:
            self._judge(now, lookup, hand_off, overdue or late or outcome.failure, weight)
        lookup.over, self.next_look = lookup.over or closed or outcome.done, now
        self.waiting[id] = lookup   # to go on, or to call off its other copy
        self._settle(lookup)

    def _judge(self, now: float, lookup: Lookup, hand_off: HandOff, failed: bool | None, weight=1) -> None:
        server, hand_off.judged, pair = hand_off.server, True, (hand_off.server, lookup.category.name)
        for what in (server, pair) if len(self.categories) > 1 else (server,):
            self.marks.record(now, what, failed, hand_off.trial == what, weight)
        if hand_off.trial or self.marks.down(server) or self.marks.down(pair):
            self.view_until = now
            self.touched.add(server)

    def servers_listed(self, now: float, entries: Iterable[ListedServer], whole: bool) -> None:
        fresh, touched = self.servers.update(now, entries, whole)
        for server in fresh:
            self.marks.met(server, self.categories)
            self.measures.met(now, server, self.servers.known[server].zone)
        self.touched.update(touched)
        self.ask_again, self.view_until, self.next_look = 0.5, now, now

    def by_hand(self, now: float, server: str, out: bool) -> bool:
        """Out: nothing goes there, however few are left, until it is called back: it has just started then,
        and gets a trial soon. False where nobody has that id, or too many are out."""
        if entries := self.servers.turn_by_hand(now, server, out):
            self.servers_listed(now, entries, False)
            self.servers.awaited.update({} if out else {server: now + self.chance.draw()})
        return entries is not None

    def list_call_failed(self, now: float) -> None:
        self.ask_at = now + self.ask_again * (0.5 + self.chance.draw())
        self.ask_again = min(max(4.0, 2 * self.spread), 2 * self.ask_again)

    def body_passes(self, now: float, id: str, number: int, gone: bool) -> float:
        """A body that is not kept begins to go out, or has gone: its time stands still in between."""
        lookup = self.lookups[id]
        self._passes(now, lookup, lookup.sent[number], gone)
        if gone:
            self._watch(now, lookup, lookup.sent[number])
        return lookup.abandon_at - now

    def next_decision(self, now: float) -> Decision | None:
        if not (self.plan or self.waiting or self.queue or now >= min(self.ask_at, self.view_until)
                or self.alarms and self.alarms[0][0] <= now + 1e-6):
            self.next_look = now + 4 * self.tick if now >= self.next_look else self.next_look
            return None   # most ends of hand-offs leave nothing to decide
        decision = next(plan := self.plan or self._decisions(now), None)
        self.plan = plan if decision else None
        return decision

    def wake_at(self) -> float | None:
        look = self.next_look if self.waiting or self.queue else math.inf
        at = min(self.ask_at, look, self._next_alarm())
        return at if at < math.inf else None

    def _decisions(self, now: float) -> Iterator[Decision]:
        if now >= self.ask_at:
            self.ask_at = math.inf
            yield Decision(Act.SUBSCRIBE)
        if now >= self.view_until:
            self._look(now)
        for lookup in self._alarmed(now + 1e-6):
            self._let_go(now, lookup)
        if now >= self.next_look:   # not for each lookup that comes: in a burst that would take all of a core
            self.waiting, self.queue, self.next_look = self.queue | self.waiting, {}, now + 4 * self.tick
        waiting, self.waiting = self.waiting.values(), {}
        for lookup in sorted(waiting, key=lambda each: (-each.worth, each.expected_at)):   # most worth first
            if lookup.over:
                yield from self._close(lookup)
            elif lookup.coming:
                continue
            elif (lookup.sent or not self.queue) and (server := self._choose(now, lookup)) is not None:
                yield self._hand_off(now, lookup, server)
            elif lookup.out() and not self._too_late(now, lookup) and not self._lost(now, lookup):
                if not self.gate.copies and self._dead(now, lookup.out()[-1]):
                    yield from self._call_off(lookup)
                else:   # looked at again after the usual time
                    self._wake(lookup.id, now + self.measures.usual(now, lookup.category))
            elif not lookup.out() and self._worth_waiting(now, lookup, len(self.queue)):
                self.queue[lookup.id] = lookup
            else:
                yield from self._give_up(now, lookup)

    def _too_late(self, now: float, lookup: Lookup) -> bool:
        return now + 1e-6 >= min(lookup.useful_until, lookup.abandon_at - 2 * self.tick)

    def _lost(self, now: float, lookup: Lookup) -> bool:
        """Past its expected time, with no answer to be looked for: its client is told at once."""
        return now + 1e-6 >= lookup.expected_at and all(self._dead(now, h) for h in lookup.out())

    def _dead(self, now: float, hand_off: HandOff) -> bool:   # what is merely slow is not done twice
        lost = hand_off.server in self.hushed or self.marks.down(hand_off.server)
        return now >= hand_off.overdue and (lost or hand_off.late and self.portion is not None)

    def _worth_waiting(self, now: float, lookup: Lookup, ahead: int) -> bool:
        mean = self.measures.usual(now, lookup.category)
        in_time = now + mean * ((ahead + 1) / max(1, self._in_flight()) + 1.5) < lookup.expected_at
        told = self.portion and lookup.sent   # turned away: its client is told at once, not kept waiting
        return in_time and not told and not self._too_late(now, lookup) and self.gate.open(now, lookup)

    def _give_up(self, now: float, lookup: Lookup) -> Iterator[Decision]:
        lookup.over, act = True, Act.DISMISS if self.gate.may_dismiss(lookup) else Act.SCRAP
        yield Decision(act, lookup.id, back_in=min(self.longest_back_in, 0.3 + 0.4 * self.chance.draw()))
        yield from self._close(lookup)

    def _close(self, lookup: Lookup) -> Iterator[Decision]:
        yield from self._call_off(lookup)
        self._settle(lookup)

    def _call_off(self, lookup: Lookup) -> Iterator[Decision]:
        for number, hand_off in enumerate(lookup.sent):
            if self.calling_off and hand_off.outcome is None and not hand_off.called_off:
                hand_off.called_off = True
                yield Decision(Act.CALL_OFF, lookup.id, number=number)

    def _choose(self, now: float, lookup: Lookup) -> str | None:
        if not self._may_be_sent(now, lookup):
            return None
        part = min(1.0, 0.5 + 0.5 * lookup.worth / max(1e-9, self.worth.read(now)))   # less yields first
        if self._most_are_full(lookup, part) or not self._has_room(now, lookup, part):
            return None
        return next(self._takers(now, lookup, part), None)

    def _takers(self, now: float, lookup: Lookup, part: float) -> Iterator[str]:
        """Who may get it, the best first: each is worked out only when it is asked for."""
        if not lookup.sent:
            yield from self._back_by_hand(now, lookup)
        mean = self._mean_held()
        zones = self._zones(lookup, mean)
        if zones and not lookup.sent:
            yield from self._due_for_trial(now, lookup, zones[0])
        name = "" if lookup.category.name in self.panic_for else lookup.category.name   # marks are ignored
        only = self.gate.near(lookup) if lookup.sent else None
        fits, turn = partial(self._fits, now, lookup, part, name), partial(self._part_of_turn, now, name)
        for zone in zones if lookup.sent else self._not_full(zones, part):
            ring, key = self.sound[zone], lookup.key
            server = self.rotation.pick(zone, ring, self._held, mean[zone], turn, fits, key, only)
            if server is not None:
                yield server

    def _may_be_sent(self, now: float, lookup: Lookup) -> bool:
        most = math.inf if lookup.sent else lookup.category.expected_time / 2   # a first one needs half of it
        short = lookup.useful_until - now <= min(most, self.measures.usual(now, lookup.category))
        return not short and not self._too_late(now, lookup) and self.gate.open(now, lookup) and not (
            lookup.sent and (out := lookup.out()) and not self._dead(now, out[-1]))

    def _most_are_full(self, lookup: Lookup, part: float) -> bool:
        full = sum(h.outcome is Outcome.FULL for h in lookup.sent)   # where several are: it is to come back
        return self.portion is not None and full >= 5 * part - 2

    def _has_room(self, now: float, lookup: Lookup, part: float) -> bool:   # further ones have theirs
        return bool(lookup.sent) or self._in_flight() < self.measures.room_in_all(
            now, part, len(self.servers.ready) / self.sidecars, lookup.draw, len(self.used))

    def _back_by_hand(self, now: float, lookup: Lookup) -> Iterator[str]:   # they get a trial
        return (server for server, at in self.servers.awaited.items()
                if now >= at and self.gate.lets(now, lookup, server))

    def _zones(self, lookup: Lookup, mean: dict[str, float]) -> list[str]:
        """Zones in turn, by key likewise; those where it has found no connection come last."""
        zones = self.rotation.zones(self.servers.zones, mean, lambda z: self.chance.draw() if not lookup.key
                                    else zlib.crc32(f"{lookup.key}:{z}".encode()) / 2**32)
        lost = {h.zone for h in lookup.sent if h.outcome is Outcome.UNCONNECTED}
        return sorted(zones, key=lost.__contains__) if lost else zones

    def _due_for_trial(self, now: float, lookup: Lookup, zone: str) -> Iterator[str]:
        due = self.due[zone] if now >= self.next_trial.get(zone, math.inf) else ()
        return (each for each in due if self.marks.trial_due(now, each) and self.gate.lets(now, lookup, each))

    def _fits(self, now: float, lookup: Lookup, part: float, name: str, server: str) -> bool:
        """May it take this one? Where nothing goes for a while whatever the lookup, it is parked."""
        if (pair := (server, name)) in self.marks.marked and not self.marks.trial_due(now, pair):
            return False
        if server in self.hushed or lookup.sent and any(h.server == server for h in lookup.sent):
            return self._park(server, server in self.hushed)
        if not self.gate.lets(now, lookup, server):
            return self._park(server, not lookup.sent)
        held, room = self._held(server), self.measures.room(now, server)
        return held < max(self.least, part * room) or self._park(server, held >= room)

    def _part_of_turn(self, now: float, name: str, server: str) -> float:
        mark = self.marks.of.get((server, name))
        sound = 1.0 if mark is None else 1.0 - mark.verdicts.read(now, 0.0)
        entry, largest = self.servers.known[server], self.servers.largest
        return max(0.005, sound ** 4) * self.measures.part_of_turn(now, entry, largest)

    def _let_go(self, now: float, lookup: Lookup) -> None:
        """Guards against lost answers that fill all room: overdue and overtaken, a hand-off has failed."""
        for hand_off in lookup.out():
            if not hand_off.late and now >= hand_off.overdue and self.measures.overtaken(hand_off):
                hand_off.late = True
                self._count(hand_off.server, -1)
                self._judge(now, lookup, hand_off, True)

    def _sort_in(self, server: str) -> None:
        sound = server in self.used if self.portion else server in self.servers.ready and (
            self.panic or server not in self.marks.marked)
        self._place(server, self.servers.known[server].zone if sound else None)

    def _look(self, now: float) -> None:
        """Which servers and zones count as healthy; kept until a mark or the list changes, or a moment."""
        carry.forget(self, now)
        groups, down = self.servers.zones, self.marks.marked & self.servers.ready
        if not self.portion:
            self.servers.in_use = self.servers.warm(now, down)
        panic = self.marks.in_panic(self.servers.ready)   # by zone, a lone hung one would get all its lookups
        self.touched, self.panic = self.touched | (down if panic != self.panic else set()), panic
        self.hushed = self._silent_ones(now)
        if self.portion:
            self._take_portion(now, set() if panic else down)
        for server in self._all_touched():
            self._sort_in(server)
        self.panic_for = self.marks.in_panic_for(self.ring_of, len(self.ring_of))
        self._regroup(groups)
        self.healthy = self._sizes(self.servers.lacking(now, self.ring_of))   # less what the cold ones lack
        self._sort_trials(set() if panic else down, self.servers.known, self.marks.of)
        self._open_all(now)   # what is cold has saved up, what was silent may have spoken
        if self.portion:   # healthy is a part of those that it would use
            groups = {z: [*ring.names, *self.due.get(z, [])] for z, ring in self.sound.items()}
        self.rotation.weigh(groups, self.healthy, self.measures.slowness(now, self.sound, self.rotation.zone))
        self.view_until = now + 0.25

    def _silent_ones(self, now: float) -> set[str]:
        """Not where so many are that nothing could be sent."""
        silent = {s for s in self.out if self._silent(now, s)}
        return silent if len(silent) <= (1 - self.marks.panic) * len(self.servers.ready) else set()

    def _take_portion(self, now: float, unsound: set[str]) -> None:
        used = self.portion.of(now, self.servers, unsound)
        self.servers.use(now, used, used - self.used, self.portion.size)   # what fewer do now, more did
        self.used, self.touched = used, self.touched | used ^ self.used

    def _silent(self, now: float, server: str) -> bool:
        """Hung, before time-outs are counted: one is overdue, and nothing back that was sent there later."""
        first = next((h for h in self.out[server].values() if not h.late), None)
        return first is not None and now > first.overdue and not self.measures.overtaken(first)

    def _hand_off(self, now: float, lookup: Lookup, server: str) -> Decision:
        self.servers.spend(now, server)
        self.servers.awaited.pop(server, None)
        entry, warm = self.servers.known[server], self.servers.warmth(now, server) == 1.0
        trial = next(filter(self.marks.down, (server, (server, lookup.category.name))), None)
        hand_off = HandOff(server, entry.zone, entry.kind if warm else None, now, trial)
        if trial is not None:
            self.marks.of[trial].trial_out = True
        self._watch(now, lookup, hand_off)
        self._sent(lookup, hand_off)
        may_wait = self.gate.copies or self.calling_off   # else only a time-out ends it
        end = min(lookup.abandon_at - self.tick, math.inf if may_wait else hand_off.overdue)
        return Decision(Act.HAND_OFF, lookup.id, server, max(end - now, self.tick))

    def _watch(self, now: float, lookup: Lookup, hand_off: HandOff) -> None:
        overdue = self.measures.overdue(now, lookup.category)
        hand_off.overdue = now + overdue / self.servers.warmth(now, hand_off.server)   # cold is not hung
        end = lookup.abandon_at - 2 * self.tick
        self._wake(lookup.id, hand_off.overdue, lookup.expected_at, lookup.useful_until, end)

    def _share_left(self, now: float, customer: str) -> float:
        if customer not in self.customers:   # who has no share has none to be over
            return 1.0
        entry, sent = self.customers[customer]
        sent.add(now)
        within = max(entry.quota / self.sidecars * sent.span, entry.share * self.servers.asked.read(now))
        return self.surplus_benefit if sent.read(now) > within + math.sqrt(within / 2) else 1.0   # by chance
