"""What a seed draws: a list of events, calls of operators and what befalls machines, links and disks."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from foxspread.mesh.configuration.items import LIMITS, ROUTE, SERVICE, Item
from foxspread.mesh.simulation.invariants import shown
from foxspread.sums import Chance

FAULTS = (
    "kill",
    "wipe",
    "freeze",
    "cut",
    "cut_in",
    "cut_out",
    "split",
    "power_off",
    "power_off_wiped",
    "power_at_ack",
    "acker_wiped",
    "behind",
    "disk_slow",
    "disk_stalls",
    "disk_refuses",
    "links_drop",
    "links_repeat",
    "links_late",
    "link_slow",
    "clock",
)
LONG_FAULTS = (  # what a long day has besides
    "next_cut",
    "cut_some",
    "island",
    "sidecar_restart",
    "loss_after_repair",
)
STORIES = ("cut", "away", "repairs", "all_killed", "slow", "asleep")
MEMBERS_STORIES = ("turnover", "leaves", "cut", "all_killed", "asleep")
WIPES = ("wipe", "power_off_wiped", "acker_wiped", "behind")


@dataclass(frozen=True)
class Plan:
    machines: int = 3
    sidecars: int = 2
    seconds: float = 9.0  # calls and faults begin within this; then all is whole again
    rounds: int = 9  # of calls, by two operators
    most: int = 5  # faults
    faults: tuple[str, ...] = FAULTS
    stories: tuple[str, ...] = ()  # of these each day tells two or three
    together: int = 0  # so many orders at once, at times
    copies: float = 0.0  # share of the orders of which a machine reads a copy late, up to the whole day
    answers_lost: float = 0.0  # share
    seeds: int = 0  # of the first start; 0: all machines
    spares: int = 0  # machines that are started when one is gone for good
    bears: int = 0  # machines lost at once; 0: as many as a majority can be without
    calm: float = 0.5  # nothing befalls before
    probes: bool = False  # whoever comes back is read from, it alone, until it answers

    @property
    def tolerate(self) -> int:
        return self.bears or (self.machines - 1) // 2

    @property
    def members_change(self) -> bool:
        return 0 < self.seeds


def long_day(machines: int = 3) -> Plan:
    """A minute: room for cuts of twenty seconds and two hundred changes."""
    return Plan(machines, 3, 60.0, 60, 6, FAULTS + LONG_FAULTS, STORIES, 8, 0.3, 0.05, probes=True)


def members_day(machines: int = 5, bears: int = 2) -> Plan:
    """A minute in which machines with a disk come, leave, are gone for good and return: three seeds,
    the others join or stand by, three more are started as others go."""
    faults = ("kill", "wipe", "freeze", "cut", "cut_in", "cut_out", "cut_some", "power_off", "disk_slow")
    faults += (
        "gone",
        "gone",
        "leave",
        "leave",
        "loss_after_repair",
        "power_at_ack",
        "links_drop",
        "links_late",
    )
    return Plan(
        machines, 2, 60.0, 40, 8, faults, MEMBERS_STORIES, 8, 0.3, 0.05, 3, 3, bears, calm=12.0, probes=True
    )


def days(machines: int, bears: int = 0) -> dict[str, Plan]:
    """By name; `bears`: machines lost at once, 0 for as many as a majority can be without."""
    lost = bears or (machines - 1) // 2
    return {
        "short": Plan(machines, bears=bears),
        "long": replace(long_day(machines), bears=bears),
        "members": members_day(machines, lost),
    }


@dataclass(frozen=True)
class Event:
    at: float
    kind: str  # "call", "read", "copy" (of a call, read late) or one of the faults
    where: int = 0  # a machine
    seconds: float = 0.0
    items: tuple[Item, ...] = ()

    def __str__(self) -> str:
        what = " ".join(shown(item) for item in self.items)
        return f"{self.at:7.3f} {self.kind} c{self.where + 1} {self.seconds:.3f} {what}".rstrip()


def drawn(plan: Plan, seed: int) -> list[Event]:
    chance = Chance(seed * 2 + 1)
    calls = _Calls(chance, plan).all()
    times = [each.at for each in calls]
    events = list(calls)
    for _ in range(int(chance.draw() * (plan.most + 1)) if plan.faults else 0):
        at = plan.calm + chance.draw() * (plan.seconds - plan.calm - 0.5)
        if chance.draw() < 0.6 and not plan.seeds:  # in the midst of a call
            at = times[int(chance.draw() * len(times))] + chance.draw() * 0.06
        kind = plan.faults[int(chance.draw() * len(plan.faults))]
        long = chance.draw() ** 2 * 3.0 + 0.02
        events.append(Event(at, kind, int(chance.draw() * plan.machines), long))
        if kind in WIPES:  # who knows what, while it catches up
            for _ in range(2):
                after = min(at + long / 10 + chance.draw() * 2, plan.seconds - 0.1)
                events.append(Event(after, "read", int(chance.draw() * plan.machines)))
    if plan.stories and plan.faults:
        events += _Stories(chance, plan).all()
    if plan.copies:
        events += list(_copies(chance, plan, calls))
    return sorted(events, key=lambda each: each.at)


def _copies(chance: Chance, plan: Plan, calls: list[Event]) -> Iterator[Event]:
    for each in calls:
        if each.kind == "call" and chance.draw() < plan.copies:
            at = each.at + chance.draw() ** 3 * (plan.seconds - each.at)
            yield Event(at, "copy", int(chance.draw() * plan.machines), 0.0, each.items)


class _Stories:
    """What takes longer than a fault."""

    def __init__(self, chance: Chance, plan: Plan) -> None:
        self.chance, self.plan = chance, plan

    def all(self) -> list[Event]:
        told: list[Event] = []
        for _ in range(2 + int(self.chance.draw() * 2)):
            story = self.plan.stories[int(self.chance.draw() * len(self.plan.stories))]
            calm = max(2.0, self.plan.calm)
            at = calm + self.chance.draw() * (self.plan.seconds - calm - 23.0)
            told += getattr(self, f"_{story}")(at)
        return [each for each in told if each.at < self.plan.seconds - 0.5]

    def _event(self, at: float, kind: str, seconds: float, where: int | None = None) -> Event:
        where = int(self.chance.draw() * self.plan.machines) if where is None else where
        return Event(at, kind, where, seconds)

    def _cut(self, at: float) -> list[Event]:
        """Of the one that acknowledged last, twenty seconds; sidecars begin anew inside and after."""
        restarts = [self._event(at + self.chance.draw() * 22, "sidecar_restart", 0.1) for _ in range(4)]
        return [self._event(at, "next_cut", 20.0), *restarts]

    def _away(self, at: float) -> list[Event]:
        """Through many changes; wiped at times; then sidecars begin anew as it comes back."""
        seconds = 10 + self.chance.draw() * 15
        kind = "wipe" if self.chance.draw() < 0.5 else "kill"
        restarts = [
            self._event(at + seconds + self.chance.draw() / 2, "sidecar_restart", 0.02) for _ in "123"
        ]
        return [self._event(at, kind, seconds), *restarts]

    def _repairs(self, at: float) -> list[Event]:
        return [self._event(at + n * 8, "loss_after_repair", 4.0) for n in range(2)]

    def _all_killed(self, at: float) -> list[Event]:
        return [self._event(at, "power_off", 0.8), self._event(at + 0.8, "sidecar_restart", 0.1)]

    def _turnover(self, at: float) -> list[Event]:
        """One after the other is gone for good, and wakes up later."""
        return [self._event(at + 9 * n, "gone", 20.0) for n in range(3)]

    def _leaves(self, at: float) -> list[Event]:
        """One leaves; the next is killed at some step of it."""
        where = int(self.chance.draw() * self.plan.machines)
        return [
            self._event(at, "leave", 5.0, where),
            self._event(at + self.chance.draw() * 4, "kill", 2.0, where + 1),
            self._event(at + 12, "leave", 5.0),
        ]

    def _slow(self, at: float) -> list[Event]:
        return [self._event(at, "disk_slow", 20.0)]

    def _asleep(self, at: float) -> list[Event]:
        where = int(self.chance.draw() * self.plan.machines)
        return [
            self._event(at, "freeze", 3 + self.chance.draw() * 12, where),
            self._event(at + 1, "clock", 9 * self.chance.draw(), where),
        ]


class _Calls:
    """Two operators that get in each other's way."""

    def __init__(self, chance: Chance, plan: Plan) -> None:
        self.chance, self.plan = chance, plan
        self.versions: dict[tuple[str, str], int] = {}
        self.past: list[tuple[Item, ...]] = []
        self.tags = 0
        self.events: list[Event] = []

    def all(self) -> list[Event]:
        first = tuple(self._service(f"v{n}") for n in range(3)) + tuple(
            self._route(f"r{n}", f"/p{n}/", f"v{n % 3}") for n in range(3)
        )
        self._send(0.4, first)
        at = 0.8
        kinds = (
            self.race,
            self.change,
            self.old,
            self.one_place,
            self.drop_against_route,
            self.drop_and_add,
            self.again,
            self.three,
            self.read,
            self.read,
        )
        if self.plan.together:
            kinds += (self.crowd, self.too_early, self.old_twice, self.stream, self.stream)
        for _ in range(self.plan.rounds):
            kinds[int(self.draw() * len(kinds))](at)
            at += self.draw() * 2 * (self.plan.seconds - 2.0) / self.plan.rounds
        return [each for each in self.events if each.at < self.plan.seconds - 0.1]

    def draw(self) -> float:
        return self.chance.draw()

    def _send(self, at: float, items: tuple[Item, ...], where: int | None = None) -> None:
        if items:
            self.past.append(items)
        where = int(self.draw() * self.plan.machines) if where is None else where
        self.events.append(Event(at, "call" if items else "read", where, 0.0, items))

    def _two(self, at: float, *calls: tuple[Item, ...]) -> None:
        """At once, at several machines."""
        first = int(self.draw() * self.plan.machines)
        for n, items in enumerate(calls):
            self._send(at + self.draw() ** 2 * 0.03, items, (first + n) % self.plan.machines)

    def _next(self, kind: str, name: str) -> int:
        self.versions[kind, name] = self.versions.get((kind, name), 0) + 1 + int(self.draw() * 3)
        return self.versions[kind, name]

    def _tag(self) -> int:
        self.tags += 1
        return self.tags

    def _service(self, name: str, version: int | None = None) -> Item:
        version = version or self._next(SERVICE, name)
        return Item(SERVICE, name, version, {"name": name, "tag": self._tag()})

    def _route(self, name: str, place: str, service: str, version: int | None = None) -> Item:
        version = version or self._next(ROUTE, name)
        rule = {
            "name": name,
            "sorting": {"postcode": place},
            "dispatch": {"service": service},
            "tag": self._tag(),
        }
        return Item(ROUTE, name, version, {"destination": "a.example", "rule": rule})

    def _drop(self, kind: str, name: str) -> Item:
        return Item(kind, name, self._next(kind, name), None)

    def _some(self) -> int:
        return int(self.draw() * 3)

    def race(self, at: float) -> None:
        n = self._some()
        one = self._route(f"r{n}", f"/p{n}/", f"v{self._some()}")
        two = self._route(f"r{n}", f"/p{n}/", f"v{self._some()}", one.version)
        self._two(at, (one,), (two, self._limits()) if self.draw() < 0.5 else (two,))

    def three(self, at: float) -> None:
        n = self._some()
        one = self._route(f"r{n}", f"/p{n}/", "v0")
        others = [self._route(f"r{n}", f"/p{n}/", f"v{m}", one.version) for m in (1, 2)]
        self._two(at, (one,), *((each,) for each in others))

    def change(self, at: float) -> None:
        n = self._some()
        self._two(at, (self._route(f"r{n}", f"/p{n}/", f"v{self._some()}"), self._service(f"v{n}")))

    def old(self, at: float) -> None:
        kind, name = list(self.versions)[int(self.draw() * len(self.versions))]
        version = max(1, self.versions[kind, name] - 1)
        if kind == SERVICE:
            self._two(at, (self._service(name, version),))
        elif kind == ROUTE:
            self._two(at, (self._route(name, "/old/", "v0", version),))

    def one_place(self, at: float) -> None:
        place = f"/new{self._tag()}/"
        self._two(
            at,
            (self._route(f"n{self._tag()}", place, "v0"),),
            (self._service(f"w{self._tag()}"), self._route(f"n{self._tag()}", place, "v1")),
        )

    def drop_against_route(self, at: float) -> None:
        name = f"w{self._tag()}"
        self._send(at, (self._service(name),))
        later = at + (0.3 if self.draw() < 0.7 else 0.0)
        route = self._route(f"n{self._tag()}", f"/to{name}/", name)
        self._two(later, (self._drop(SERVICE, name),), (route,))
        if self.draw() < 0.4:
            self._send(later + 0.2, (self._service(name),))

    def drop_and_add(self, at: float) -> None:
        n = self._some()
        drop = self._drop(ROUTE, f"r{n}")
        self._two(at, (drop,), (self._route(f"r{n}", f"/p{n}/", "v1"),))

    def again(self, at: float) -> None:
        call = self.past[int(self.draw() * len(self.past))]
        self._two(at, call, call)

    def read(self, at: float) -> None:
        self._send(at, ())

    def crowd(self, at: float) -> None:
        """As many at once as there may be: some alike, some against each other."""
        n = self._some()
        one = self._route(f"r{n}", f"/p{n}/", f"v{self._some()}")
        calls = [(one,), (one,), (self._route(f"r{n}", f"/p{n}/", "v0", one.version),)]
        while len(calls) < self.plan.together:
            calls.append((self._service(f"v{self._some()}"),) if self.draw() < 0.5 else (self._limits(),))
        self._two(at, *calls)

    def too_early(self, at: float) -> None:
        """A route to what comes only later: refused, and for good."""
        name = f"w{self._tag()}"
        route = (self._route(f"n{self._tag()}", f"/to{name}/", name),)
        self._send(at, route)
        self._send(at + 0.5, (self._service(name),))
        self.events.append(
            Event(at + 0.7 + self.draw(), "copy", int(self.draw() * self.plan.machines), 0.0, route)
        )

    def old_twice(self, at: float) -> None:
        """Two contents under one number, both sent when a newer one holds."""
        n = self._some()
        version = self.versions[SERVICE, f"v{n}"] + 1
        self._next(SERVICE, f"v{n}")
        self._send(at, (self._service(f"v{n}"),))
        for pause in (0.3, 0.6 + self.draw() * 3):
            self._send(at + pause, (self._service(f"v{n}", version),))

    def stream(self, at: float) -> None:
        """Three changes a second for a while."""
        for n in range(20):
            self._send(at + n / 3, (self._service(f"v{self._some()}"),))

    def _limits(self) -> Item:
        return Item(LIMITS, LIMITS, self._next(LIMITS, LIMITS), {"tag": self._tag()})
