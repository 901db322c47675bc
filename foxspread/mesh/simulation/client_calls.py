"""Calls of a schedule, in which two clients make concurrent changes of the same items."""

from typing import TYPE_CHECKING

from foxspread.mesh.configuration.items import LIMITS, ROUTE, SERVICE, Item
from foxspread.mesh.simulation.events import Event, EventKind
from foxspread.statistics import SeededRandom

if TYPE_CHECKING:
    from foxspread.mesh.simulation.schedule import Plan

FIRST_CALL_S = 0.4
FIRST_ROUND_S = 0.8
BASE_ITEMS = 3  # services v0, v1, v2 and routes r0, r1, r2, over which most calls go


class ClientCalls:
    """Draws the calls and reads of one run, in rounds of one kind each."""

    def __init__(self, random: SeededRandom, plan: "Plan") -> None:
        self.random, self.plan = random, plan
        self.versions: dict[tuple[str, str], int] = {}  # newest version of each item
        self.previous_calls: list[tuple[Item, ...]] = []
        self.last_tag = 0
        self.events: list[Event] = []

    def draw_all(self) -> list[Event]:
        """Returns all calls and reads, not ordered by time."""
        services = tuple(self._service(f"v{n}") for n in range(BASE_ITEMS))
        routes = tuple(self._route(f"r{n}", f"/p{n}/", f"v{n % BASE_ITEMS}") for n in range(BASE_ITEMS))
        self._add_call(FIRST_CALL_S, services + routes)
        at = FIRST_ROUND_S
        rounds = [
            self._race,
            self._change_two,
            self._older_version,
            self._same_path,
            self._drop_against_route,
            self._drop_and_add,
            self._repeat,
            self._race_of_three,
            self._read,
            self._read,
        ]
        if self.plan.concurrent_calls:
            rounds += [
                self._burst,
                self._route_before_service,
                self._two_older_contents,
                self._stream,
                self._stream,
            ]
        for _ in range(self.plan.call_rounds):
            rounds[int(self._draw() * len(rounds))](at)
            at += self._draw() * 2 * (self.plan.duration_s - 2.0) / self.plan.call_rounds
        return [each for each in self.events if each.at < self.plan.duration_s - 0.1]

    def _draw(self) -> float:
        return self.random.draw()

    def _draw_base_index(self) -> int:
        return int(self._draw() * BASE_ITEMS)

    def _draw_machine(self) -> int:
        return int(self._draw() * self.plan.machines)

    def _add_call(self, at: float, items: tuple[Item, ...], machine: int | None = None) -> None:
        if items:
            self.previous_calls.append(items)
        machine = self._draw_machine() if machine is None else machine
        kind = EventKind.CALL if items else EventKind.READ
        self.events.append(Event(at, kind, machine, 0.0, items))

    def _add_concurrent_calls(self, at: float, *calls: tuple[Item, ...]) -> None:
        """Adds nearly simultaneous calls, each at another machine."""
        first = self._draw_machine()
        for n, items in enumerate(calls):
            self._add_call(at + self._draw() ** 2 * 0.03, items, (first + n) % self.plan.machines)

    # Items.

    def _next_version(self, kind: str, name: str) -> int:
        self.versions[kind, name] = self.versions.get((kind, name), 0) + 1 + int(self._draw() * 3)
        return self.versions[kind, name]

    def _next_tag(self) -> int:
        """Returns a new number, which makes a content or a name unique."""
        self.last_tag += 1
        return self.last_tag

    def _service(self, name: str, version: int | None = None) -> Item:
        version = version or self._next_version(SERVICE, name)
        return Item(SERVICE, name, version, {"name": name, "tag": self._next_tag()})

    def _route(self, name: str, path: str, service: str, version: int | None = None) -> Item:
        version = version or self._next_version(ROUTE, name)
        rule = {
            "name": name,
            "sorting": {"postcode": path},
            "dispatch": {"service": service},
            "tag": self._next_tag(),
        }
        return Item(ROUTE, name, version, {"destination": "a.example", "rule": rule})

    def _drop(self, kind: str, name: str) -> Item:
        return Item(kind, name, self._next_version(kind, name), None)

    def _limits(self) -> Item:
        return Item(LIMITS, LIMITS, self._next_version(LIMITS, LIMITS), {"tag": self._next_tag()})

    # Rounds. Each adds its events to `self.events`.

    def _race(self, at: float) -> None:
        """Submits two contents of a route under one version."""
        n = self._draw_base_index()
        one = self._route(f"r{n}", f"/p{n}/", f"v{self._draw_base_index()}")
        two = self._route(f"r{n}", f"/p{n}/", f"v{self._draw_base_index()}", one.version)
        self._add_concurrent_calls(at, (one,), (two, self._limits()) if self._draw() < 0.5 else (two,))

    def _race_of_three(self, at: float) -> None:
        """Submits three contents of a route under one version."""
        n = self._draw_base_index()
        one = self._route(f"r{n}", f"/p{n}/", "v0")
        others = [self._route(f"r{n}", f"/p{n}/", f"v{m}", one.version) for m in (1, 2)]
        self._add_concurrent_calls(at, (one,), *((each,) for each in others))

    def _change_two(self, at: float) -> None:
        """Changes a route and a service in one call."""
        n = self._draw_base_index()
        route = self._route(f"r{n}", f"/p{n}/", f"v{self._draw_base_index()}")
        self._add_concurrent_calls(at, (route, self._service(f"v{n}")))

    def _older_version(self, at: float) -> None:
        """Submits a new content of an item under the version before its newest."""
        kind, name = list(self.versions)[int(self._draw() * len(self.versions))]
        version = max(1, self.versions[kind, name] - 1)
        if kind == SERVICE:
            self._add_concurrent_calls(at, (self._service(name, version),))
        elif kind == ROUTE:
            self._add_concurrent_calls(at, (self._route(name, "/old/", "v0", version),))

    def _same_path(self, at: float) -> None:
        """Submits two new routes with the same path, of which one is refused."""
        path = f"/new{self._next_tag()}/"
        self._add_concurrent_calls(
            at,
            (self._route(f"n{self._next_tag()}", path, "v0"),),
            (self._service(f"w{self._next_tag()}"), self._route(f"n{self._next_tag()}", path, "v1")),
        )

    def _drop_against_route(self, at: float) -> None:
        """Drops a service while a route to it is added."""
        name = f"w{self._next_tag()}"
        self._add_call(at, (self._service(name),))
        dropped_at = at + (0.3 if self._draw() < 0.7 else 0.0)
        route = self._route(f"n{self._next_tag()}", f"/to{name}/", name)
        self._add_concurrent_calls(dropped_at, (self._drop(SERVICE, name),), (route,))
        if self._draw() < 0.4:
            self._add_call(dropped_at + 0.2, (self._service(name),))

    def _drop_and_add(self, at: float) -> None:
        """Drops a route while it is added again."""
        n = self._draw_base_index()
        drop = self._drop(ROUTE, f"r{n}")
        self._add_concurrent_calls(at, (drop,), (self._route(f"r{n}", f"/p{n}/", "v1"),))

    def _repeat(self, at: float) -> None:
        """Submits an earlier call twice at once."""
        call = self.previous_calls[int(self._draw() * len(self.previous_calls))]
        self._add_concurrent_calls(at, call, call)

    def _read(self, at: float) -> None:
        self._add_call(at, ())

    def _burst(self, at: float) -> None:
        """Submits a burst of concurrent calls, some equal and some conflicting."""
        n = self._draw_base_index()
        one = self._route(f"r{n}", f"/p{n}/", f"v{self._draw_base_index()}")
        calls = [(one,), (one,), (self._route(f"r{n}", f"/p{n}/", "v0", one.version),)]
        while len(calls) < self.plan.concurrent_calls:
            calls.append(
                (self._service(f"v{self._draw_base_index()}"),) if self._draw() < 0.5 else (self._limits(),)
            )
        self._add_concurrent_calls(at, *calls)

    def _route_before_service(self, at: float) -> None:
        """Submits a route before its service: it stays refused, even if a copy arrives much later."""
        name = f"w{self._next_tag()}"
        route = (self._route(f"n{self._next_tag()}", f"/to{name}/", name),)
        self._add_call(at, route)
        self._add_call(at + 0.5, (self._service(name),))
        copied_at = at + 0.7 + self._draw()
        self.events.append(Event(copied_at, EventKind.DELAYED_COPY, self._draw_machine(), 0.0, route))

    def _two_older_contents(self, at: float) -> None:
        """Submits two contents under one version, both when a newer version is in force."""
        n = self._draw_base_index()
        version = self.versions[SERVICE, f"v{n}"] + 1
        self._next_version(SERVICE, f"v{n}")
        self._add_call(at, (self._service(f"v{n}"),))
        for delay_s in (0.3, 0.6 + self._draw() * 3):
            self._add_call(at + delay_s, (self._service(f"v{n}", version),))

    def _stream(self, at: float) -> None:
        """Submits three changes a second for seven seconds."""
        for n in range(20):
            self._add_call(at + n / 3, (self._service(f"v{self._draw_base_index()}"),))
