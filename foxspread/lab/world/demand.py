"""What clients ask, worked out before the run from scenario and seed: open-loop arrivals that no answer slows
down."""

import bisect
import itertools
import math
import random
import zlib
from dataclasses import dataclass

from foxspread.lab.scenario import Clients, Kind, Scenario


@dataclass(slots=True)
class Want:
    """What one client wants done, over all its tries."""

    at: float
    id: str
    instance: int
    kind: Kind
    key: str
    tenant: str
    work: float
    patience: float  # seconds, of each try
    leaves: float = math.inf  # seconds after asking, unannounced
    bad: bool = False  # fails at every server
    honours: bool = True
    tries: int = 0
    until: float = math.inf  # where its tries share one time: when that is over
    done_at: float = math.inf

    @property
    def marked(self) -> bool:
        """Is the present try told to the sidecar as a further one?"""
        return self.tries > 0 and self.until < math.inf

    def lookup(self) -> str:
        """The id of its present try: new with each."""
        return f"{self.id}.{self.tries}"


def rate(clients: Clients, at: float) -> float:
    """Lookups a second at that moment."""
    match clients.shape:
        case "wave":
            return clients.rate * (1 + clients.swing * math.sin(2 * math.pi * at / max(1e-9, clients.period)))
        case "burst":
            inside = clients.at <= at < clients.at + clients.lasts
            return clients.rate * (clients.multiple if inside else 1.0)
        case "ramp":
            part = min(1.0, max(0.0, (at - clients.at) / max(1e-9, clients.lasts)))
            return clients.rate * (1 + (clients.multiple - 1) * part)
    return clients.rate


def top(clients: Clients) -> float:
    more = {
        "wave": 1 + clients.swing,
        "burst": max(1.0, clients.multiple),
        "ramp": max(1.0, clients.multiple),
    }
    return clients.rate * more.get(clients.shape, 1.0)


class Wheel:
    """Draws by weight."""

    def __init__(self, weights: list[float]) -> None:
        self.sums = list(itertools.accumulate(weights))

    def draw(self, chance: random.Random) -> int:
        return min(bisect.bisect_right(self.sums, chance.random() * self.sums[-1]), len(self.sums) - 1)


def parts(scenario: Scenario, seed: int) -> list[float]:
    """By instance, in no unit. Their chance is their own: a scatter changes nothing else of the demand."""
    clients, chance = scenario.clients, random.Random(zlib.crc32(b"parts:%d" % seed))
    sigma = math.sqrt(math.log(1 + clients.scatter**2))
    return [
        (1 - clients.uneven) ** number * math.exp(sigma * chance.gauss(0.0, 1.0))
        for number in range(scenario.instances)
    ]


def plan(scenario: Scenario, seed: int) -> list[Want]:
    """All wants in the order of their coming. Chance that concerns faults is left out of the stream, so that
    two scenarios that differ in faults alone meet the same demand."""
    clients, chance = scenario.clients, random.Random(zlib.crc32(b"demand:%d" % seed))
    kinds = Wheel([kind.share for kind in scenario.categories])
    tenants = Wheel([tenant.share for tenant in clients.tenants] or [1.0])
    keys = Wheel([1 / rank**clients.zipf for rank in range(1, clients.keys + 1)])
    instances = Wheel(parts(scenario, seed))
    bad = [
        (f.at + n * f.every, f.at + n * f.every + f.lasts, f.share)
        for f in scenario.faults
        if f.what == "lookups_that_fail_everywhere"
        for n in range(f.times)
    ]
    highest, at, wants = top(clients), 0.0, []
    if highest <= 0:
        return []
    while (at := at - math.log(1 - chance.random()) / highest) < scenario.seconds:
        if chance.random() * highest >= rate(clients, at):
            continue
        kind = scenario.categories[kinds.draw(chance)]
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        work = kind.work * math.exp(chance.gauss(0.0, 1.0) * sigma - sigma * sigma / 2)
        low, high = clients.patience
        patience = kind.abandon_time * (low + (high - low) * chance.random())
        id = f"w{len(wants)}"
        want = Want(
            round(at, 6),
            id,
            instances.draw(chance),
            kind,
            f"k{keys.draw(chance)}",
            clients.tenants[tenants.draw(chance)].name if clients.tenants else "",
            work,
            round(patience, 6),
        )
        if clients.one_time:
            want.until = want.at + want.patience
        leaving, when, want.honours = chance.random(), chance.random(), chance.random() < clients.honour
        if leaving < clients.leave:
            want.leaves = when * patience
        draw = zlib.crc32(f"{seed}:{id}".encode()) / 2**32
        want.bad = any(start <= at < end and draw < share for start, end, share in bad)
        wants.append(want)
    return wants


def comes_back(scenario: Scenario, want: Want, now: float, advised: float, draw: float) -> float | None:
    """After a try that did not succeed, by the second `now`: in how many seconds the client tries again, None
    where it gives up. An advised return time is spread by the client by up to a tenth. The want then is at
    its next try."""
    if want.tries >= scenario.clients.retries:
        return None
    wait = scenario.clients.backoff * 2**want.tries * (0.5 + draw)
    if advised > 0 and want.honours:
        wait = advised * (1 + 0.1 * draw)
    if want.until < math.inf:
        if now + wait >= want.until:
            return None
        want.patience = round(want.until - now - wait, 6)
    want.tries += 1
    return wait
