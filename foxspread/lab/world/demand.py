"""Client load, computed from scenario and seed before the run: open-loop arrivals that do not wait for
answers."""

import bisect
import itertools
import math
import random
import zlib
from dataclasses import dataclass

from foxspread.lab.scenario import Category, Clients, Scenario


@dataclass(slots=True)
class Operation:
    """One client's operation: a request and its retries."""

    at: float
    id: str
    instance: int
    kind: Category
    key: str
    tenant: str
    work: float
    timeout: float  # seconds that the client waits for each request
    abandons_after: float = math.inf  # seconds until the client leaves without notice
    always_fails: bool = False  # every server answers with an error
    honours_retry_after: bool = True
    retries: int = 0
    deadline: float = math.inf  # end of the time that the request and its retries share, if they do
    completed_at: float = math.inf

    @property
    def marked_as_retry(self) -> bool:
        """Returns whether the current request is marked as a retry to the sidecar."""
        return self.retries > 0 and self.deadline < math.inf

    def request_id(self) -> str:
        """Returns the id of the current request; each retry has a new one."""
        return f"{self.id}.{self.retries}"


def rate_at(clients: Clients, at: float) -> float:
    """Returns the requests per second at a time."""
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


def peak_rate(clients: Clients) -> float:
    more = {
        "wave": 1 + clients.swing,
        "burst": max(1.0, clients.multiple),
        "ramp": max(1.0, clients.multiple),
    }
    return clients.rate * more.get(clients.shape, 1.0)


class WeightedChoice:
    """Draws indexes with given weights."""

    def __init__(self, weights: list[float]) -> None:
        self.sums = list(itertools.accumulate(weights))

    def draw(self, chance: random.Random) -> int:
        return min(bisect.bisect_right(self.sums, chance.random() * self.sums[-1]), len(self.sums) - 1)


def instance_shares(scenario: Scenario, seed: int) -> list[float]:
    """Returns relative loads by instance, from a random stream of their own, apart from other load."""
    clients, chance = scenario.clients, random.Random(zlib.crc32(b"parts:%d" % seed))
    sigma = math.sqrt(math.log(1 + clients.scatter**2))
    return [
        (1 - clients.uneven) ** number * math.exp(sigma * chance.gauss(0.0, 1.0))
        for number in range(scenario.instances)
    ]


def plan(scenario: Scenario, seed: int) -> list[Operation]:
    """Returns all operations in order of arrival. Faults use no numbers of the load's random stream, so that
    scenarios that differ only in faults have the same load."""
    clients, chance = scenario.clients, random.Random(zlib.crc32(b"demand:%d" % seed))
    kinds = WeightedChoice([kind.share for kind in scenario.categories])
    tenants = WeightedChoice([tenant.share for tenant in clients.tenants] or [1.0])
    keys = WeightedChoice([1 / rank**clients.zipf for rank in range(1, clients.keys + 1)])
    instances = WeightedChoice(instance_shares(scenario, seed))
    bad = [
        (f.at + n * f.every, f.at + n * f.every + f.lasts, f.share)
        for f in scenario.faults
        if f.what == "lookups_that_fail_everywhere"
        for n in range(f.times)
    ]
    highest, at, operations = peak_rate(clients), 0.0, []
    if highest <= 0:
        return []
    while (at := at - math.log(1 - chance.random()) / highest) < scenario.seconds:
        if chance.random() * highest >= rate_at(clients, at):
            continue
        kind = scenario.categories[kinds.draw(chance)]
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        work = kind.work * math.exp(chance.gauss(0.0, 1.0) * sigma - sigma * sigma / 2)
        low, high = clients.patience
        patience = kind.abandon_time * (low + (high - low) * chance.random())
        id = f"w{len(operations)}"
        operation = Operation(
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
            operation.deadline = operation.at + operation.timeout
        leaving, when, operation.honours_retry_after = (
            chance.random(),
            chance.random(),
            chance.random() < clients.honour,
        )
        if leaving < clients.leave:
            operation.abandons_after = when * patience
        draw = zlib.crc32(f"{seed}:{id}".encode()) / 2**32
        operation.always_fails = any(start <= at < end and draw < share for start, end, share in bad)
        operations.append(operation)
    return operations


def schedule_retry(
    scenario: Scenario, operation: Operation, now: float, advised: float, draw: float
) -> float | None:
    """Returns the seconds until a client retries after a failure at `now`, or None if it gives up. Advances
    the operation to its next request. Clients add jitter of up to a tenth to a retry-after time."""
    if operation.retries >= scenario.clients.retries:
        return None
    wait = scenario.clients.backoff * 2**operation.retries * (0.5 + draw)
    if advised > 0 and operation.honours_retry_after:
        wait = advised * (1 + 0.1 * draw)
    if operation.deadline < math.inf:
        if now + wait >= operation.deadline:
            return None
        operation.timeout = round(operation.deadline - now - wait, 6)
    operation.retries += 1
    return wait
