"""Estimates what one process of a large mesh holds and sends, without running the mesh.

The real data structures are filled with that many records and routes, and each kind of message is encoded and
decoded. No sockets are used.
"""

import gc
import random
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

from foxspread.mesh.configuration.items import ROUTE, SERVICE, Item
from foxspread.mesh.configuration.routes import RouteTable
from foxspread.mesh.gossip.anti_entropy import AntiEntropy
from foxspread.mesh.hollow.process import resident_bytes
from foxspread.mesh.hollow.scaling import format_figure
from foxspread.mesh.load_balancing.upstream_servers import UpstreamDirectory
from foxspread.mesh.registry.endpoint_records import EndpointRecords, unpack_record
from foxspread.mesh.replication.learner import Learner, pack_row, unpack_row
from foxspread.mesh.transport.messages import COMMITTED_SET
from foxspread.mesh.transport.netstrings import Decoder, encode

OLDEST_INCARNATION = 1_764_000_000_000  # milliseconds of the wall clock
MAX_INCARNATION_AGE_MS = 30 * 86_400_000
PROPOSAL_NUMBER = (1000, f"{OLDEST_INCARNATION:x}0a1b2c")
TIMING_REPEATS = 5
MAX_SIDECAR_PEERS = 5  # replicas to which a sidecar is connected
SUBSET_SERVICES = 50  # services that a sidecar is interested in


@dataclass(frozen=True)
class SizeEstimate:
    """The cost of one data structure or message; None where a cost does not apply."""

    name: str
    wire_bytes: int | None = None
    seconds: float | None = None  # of processor time
    memory_bytes: int | None = None

    def line(self) -> str:
        """Returns the estimate as a line of a table."""
        wire = "-" if self.wire_bytes is None else f"{self.wire_bytes:,} B"
        seconds = "-" if self.seconds is None else f"{format_figure(1e3 * self.seconds)} ms"
        memory = "-" if self.memory_bytes is None else f"{format_figure(self.memory_bytes / 1e6)} MB"
        return f"{self.name:<62} {wire:>14} {seconds:>12} {memory:>10}"


def record_rows(sidecars: int, services: int, zones: int) -> list[list]:
    """Returns endpoint records as sidecars send them, with one server each."""
    rows, random_source = [], random.Random(1)
    for n in range(sidecars):
        incarnation = OLDEST_INCARNATION + random_source.randrange(MAX_INCARNATION_AGE_MS)
        ip, zone = f"10.{n // 62_500}.{n // 250 % 250}.{n % 250 + 1}", f"zone-{n % zones}"
        server = [
            f"server-{random_source.getrandbits(32):08x}",
            f"service-{n % services}",
            f"{ip}:8147",
            zone,
            17,
            "ready",
            40 + n,
        ]
        rows.append([f"side-{zone}-{n}", [incarnation, 3], zone, "up", f"{ip}:8145", [[*server, 0.0, "r1"]]])
    return rows


def configuration_items(routes: int, services: int) -> list[Item]:
    """Returns the items of a configuration with that many services and routes."""
    items = []
    for n in range(services):
        content = {"name": f"service-{n}", "health": "/health", "connection_cap": 110, "edition": "r1"}
        items.append(Item(SERVICE, f"service-{n}", 1, content))
    for n in range(routes):
        dispatch = {"service": f"service-{n % services}", "deadline_s": 0.8, "delivery_attempts": 2}
        rule = {
            "name": f"route-{n}",
            "mail_class": "safe",
            "target_s": 0.2,
            "priority": 1,
            "edition": "r1",
            "sorting": {"postcode": f"/route-{n}/"},
            "dispatch": dispatch,
        }
        content = {"destination": f"host-{n % services}.example", "rule": rule}
        items.append(Item(ROUTE, f"route-{n}", 1, content))
    return items


def measure_time(action: Callable[[], Any], repeats: int = TIMING_REPEATS) -> float:
    """Returns the seconds of processor time that the action takes, the least of several runs."""
    least = float("inf")
    for _ in range(repeats):
        started_at = time.process_time()
        action()
        least = min(least, time.process_time() - started_at)
    return least


def measure_creation(create: Callable[[], Any]) -> tuple[Any, float, int]:
    """Returns what was created, the seconds of processor time and the bytes of memory that it took."""
    gc.collect()
    bytes_before, started_at = resident_bytes(), time.process_time()
    created = create()
    seconds = time.process_time() - started_at
    gc.collect()
    return created, seconds, max(0, resident_bytes() - bytes_before)


def estimate_message(name: str, fields: dict[str, Any]) -> list[SizeEstimate]:
    """Returns the costs of encoding and of decoding a message."""
    encoded = encode(fields)
    return [
        SizeEstimate(f"{name}: encoded", len(encoded), measure_time(lambda: encode(fields))),
        SizeEstimate(f"{name}: decoded", None, measure_time(lambda: Decoder().feed(encoded))),
    ]


def _add_notified_peer(exchange: AntiEntropy, peer: Hashable) -> None:
    """Adds a peer that was notified of all versions.

    The state is that after `add_peer` and `full_announcement`, which takes milliseconds with many sources.
    """
    exchange.add_peer(peer)
    exchange.peers[peer].notified, exchange.peers[peer].withheld = exchange.change_count, set()


def estimate_sizes(sidecars: int, services: int, routes: int, zones: int, keepers: int) -> list[SizeEstimate]:
    """Returns the costs of all data structures and messages in a mesh of this size; keepers are replicas."""
    rows, items = record_rows(sidecars, services, zones), configuration_items(routes, services)
    versions = {row[0]: row[1] for row in rows}
    estimates: list[SizeEstimate] = []

    def fill_registry() -> tuple[EndpointRecords, UpstreamDirectory]:
        records = EndpointRecords()
        upstreams = UpstreamDirectory(records)
        for row in rows:
            records.update(0.0, unpack_record(row))
            upstreams.apply_record(0.0, row[0])
        return records, upstreams

    created, seconds, memory = measure_creation(fill_registry)
    estimates.append(SizeEstimate(f"{sidecars} records and their servers, folded", None, seconds, memory))
    records = created[0]

    def fill_configuration() -> tuple[Learner, RouteTable]:
        learner, table = Learner(), RouteTable()
        for item in learner.apply(
            PROPOSAL_NUMBER, [unpack_row(pack_row(each, PROPOSAL_NUMBER)) for each in items]
        ):
            table.put(item)
        return learner, table

    created, seconds, memory = measure_creation(fill_configuration)
    estimates.append(
        SizeEstimate(f"{len(items)} items and the table of routes, folded", None, seconds, memory)
    )
    learner = created[0]

    def fill_exchange_of_sidecar() -> AntiEntropy:
        exchange = AntiEntropy(lambda peer, source: source == "me")
        for peer in range(min(MAX_SIDECAR_PEERS, keepers)):
            exchange.add_peer(peer)
            exchange.receive(peer, {source: tuple(v) for source, v in versions.items()})
        for source, version in versions.items():
            exchange.set_version(source, tuple(version))
        exchange.announcements()
        return exchange

    created, seconds, memory = measure_creation(fill_exchange_of_sidecar)
    estimates.append(SizeEstimate("versions at a sidecar, of itself and five keepers", None, seconds, memory))

    def fill_exchange_of_replica() -> AntiEntropy:
        exchange = AntiEntropy(lambda peer, source: source != COMMITTED_SET)
        for source, version in versions.items():
            exchange.set_version(source, tuple(version))
        exchange.dirty.clear()  # all peers were notified when they were added
        for source in versions:
            _add_notified_peer(exchange, source)
            exchange.receive(source, {source: tuple(versions[source])})
        for replica in range(keepers - 1):
            _add_notified_peer(exchange, replica)
            exchange.receive(replica, {source: tuple(v) for source, v in versions.items()})
        exchange.announcements()
        return exchange

    exchange, seconds, memory = measure_creation(fill_exchange_of_replica)
    estimates.append(
        SizeEstimate(
            f"versions at a keeper, {sidecars} neighbours and {keepers - 1} keepers", None, seconds, memory
        )
    )

    first_node, first_version = rows[0][:2]

    def change_version() -> list:
        exchange.set_version(first_node, (OLDEST_INCARNATION * 2, exchange.change_count))
        return exchange.announcements()

    estimates.append(
        SizeEstimate("one change at a keeper: whom to tell what", None, measure_time(change_version))
    )
    estimates.append(
        SizeEstimate(
            "one change at a keeper: what to ask for", None, measure_time(lambda: exchange.pulls(0.0))
        )
    )
    estimates.append(
        SizeEstimate(
            "one newcomer at a keeper: all versions",
            None,
            measure_time(lambda: exchange.full_announcement(first_node)),
        )
    )

    record_row = records.by_node[first_node].packed()
    estimates += estimate_message("notice of one record", {"t": "have", "v": {first_node: first_version}})
    estimates += estimate_message("one record", {"t": "news", "at": 1.5, "records": [record_row]})
    estimates += estimate_message(
        "one route",
        {
            "t": "news",
            "at": 1.5,
            "upto": PROPOSAL_NUMBER,
            "age": 0.1,
            "rows": [pack_row(items[-1], PROPOSAL_NUMBER)],
        },
    )
    estimates += estimate_message("versions of all records", {"t": "have", "v": versions})
    estimates += estimate_message(
        "asking for all records", {"t": "pull", "at": 1.5, "v": {source: [] for source in versions}}
    )
    estimates += estimate_message("all records", {"t": "news", "at": 1.5, "records": rows})
    item_rows = [pack_row(*each) for each in learner.changed_since((0, ""))]
    estimates += estimate_message(
        "all items", {"t": "news", "at": 1.5, "upto": PROPOSAL_NUMBER, "age": 0.1, "rows": item_rows}
    )
    subset = rows[:: max(1, services // SUBSET_SERVICES)]
    estimates += estimate_message(
        f"{len(subset)} records, of an interest in {SUBSET_SERVICES} services",
        {"t": "news", "at": 1.5, "records": subset},
    )
    return estimates
