"""One process of the mesh: puts the parts together by what its settings say. It decides nothing about
requests, state, servers, links or readiness; its own is only the order of start and end.
"""

import asyncio
import logging
import os
import random
import signal
import time
import traceback
from typing import Any

from foxspread.mesh.event_log import Event, EventLog
from foxspread.mesh.dataplane.caller import CallerDesk
from foxspread.mesh.dataplane.errand import Steering
from foxspread.mesh.dataplane.hop import Hop, HopDesk
from foxspread.mesh.dataplane.lanes import Lanes
from foxspread.mesh.dataplane.lasthop import LastHop
from foxspread.mesh.dataplane.memory import share
from foxspread.mesh.dataplane.serving import Desk, Serving
from foxspread.mesh.control_api.configuration import ConfigurationResource
from foxspread.mesh.control_api.handlers import ControlApi, ReadinessApi
from foxspread.mesh.control_api.instances import InstancesResource
from foxspread.mesh.control_api.readiness import Readiness, PauseDetector
from foxspread.mesh.configuration.items import LIMITS, MEMBERS, Item
from foxspread.mesh.configuration.routes import RouteTable
from foxspread.mesh.registry.incarnations import InstanceTable
from foxspread.mesh.registry.endpoint_records import (
    LEAVING,
    UP,
    EndpointRecord,
    EndpointRecords,
    unpack_record,
)
from foxspread.mesh.registry.drain_propagation import DrainPropagation
from foxspread.mesh.gossip.connection_manager import CALL_S, ConnectionManager, NeighbourFallback
from foxspread.mesh.gossip.anti_entropy import AntiEntropy
from foxspread.mesh.gossip.partial_view import Neighbour, PartialView, unpack_neighbour
from foxspread.mesh.log import log_event
from foxspread.mesh.errors import InvariantViolation, Failure
from foxspread.mesh.transport.datagrams import DatagramEndpoint
from foxspread.mesh.transport.peer_connection import PeerConnection
from foxspread.mesh.health.upstreams import Upstreams
from foxspread.mesh.replication.quorum_contact import QuorumContact, Report, StartHistory
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer
from foxspread.mesh.replication.learner import Learner, unpack_proposal_number, unpack_row
from foxspread.mesh.replication.storage import Storage
from foxspread.mesh.replication.replica_server import CUT_OFF_S, ReplicaServer
from foxspread.mesh.replication.reconfiguration import Reconfiguration, ClusterView as MembersView
from foxspread.mesh.replication.replica import PATIENCE_S
from foxspread.mesh.replication.acceptor import Acceptor
from foxspread.mesh.settings import Address, Settings, parse_address, reloaded, read_settings, format_address
from foxspread.sums import Chance

TICK_S = 0.1
QUIET_S = 2.3  # after SIGTERM, by when the platform has missed twice and sends nobody here any more
BACK_S = 1.5  # after its start, by when the platform sends callers to a sidecar again
LAST_S = 1.7  # of the time that the platform gives, in which what is under way is answered in any case
COMMITTED_SET = "="  # the source of the settled set, among those of records


def steady() -> float:
    """Seconds. It goes on while the machine is suspended, unlike the loop's: an age, a lease or a drain's
    time must not stand still with it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Node:
    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self.settings, self.loop = settings, loop
        self.clock = steady
        self.incarnation = os.urandom(10).hex()  # by chance alone: no clock makes two lives alike
        self.chance = Chance(int.from_bytes(os.urandom(4), "big"))
        self.event_log = EventLog(self.clock)
        self.member = (
            format_address(settings.counters["control"])
            if settings.has_storage and "control" in settings.counters
            else ""
        )
        # State: what is settled, who says what of itself.
        self.table, self.records, self.upstreams = RouteTable(), EndpointRecords(), None
        self.upstreams = Upstreams(self.records)
        self.event_log.view("settled", self._fold_items)
        self.event_log.view("record", self._fold_record)
        self.learner = Learner()
        self.replica_server: ReplicaServer | None = None
        self.reconfiguration: Reconfiguration | None = None
        self.quorum_contact = QuorumContact(self.member, int.from_bytes(os.urandom(4), "big"))
        self.starts = StartHistory()
        self.in_quorum_contact = False  # as others were last told
        self.readiness, self.still = Readiness(), PauseDetector(self.clock(), TICK_S)
        self.anti_entropy = AntiEntropy(self._tells)
        self.snapshot_transfer = SnapshotTransfer(self.learner, self.chance.draw)
        self.number, self.record_incarnation = (
            0,
            int(time.time() * 1e6),
        )  # of the record; raised where it is known
        self.state, self.knows_records = UP, False
        # Links.
        self.connections: dict[str, PeerConnection] = {}
        self.unnamed: set[PeerConnection] = set()
        self.replicas: dict[str, str] = {}  # linked: control address -> node
        draw = random.Random(os.urandom(16)).random
        self.connection_manager = ConnectionManager(
            self.clock(), settings.inner, settings.has_storage, settings.seed_addresses(), draw
        )
        self.leaning, self.sides_called = NeighbourFallback(self.clock()), {}
        self.flushing = False
        me = Neighbour(settings.node, settings.inner, settings.has_storage)
        self.view, self.datagrams = PartialView(me, self.chance.draw), DatagramEndpoint(self._shuffled)
        # The path.
        self.instances = InstanceTable(settings.heartbeat_s, settings.zone)
        self.steering = Steering(settings.zone, self.upstreams, settings.bounds, self.chance, self._sidecars)
        bodies = share(settings.memory_mb)
        self.app_lanes = Lanes(self.clock, 6.0, share=bodies)
        self.lanes = Lanes(self.clock, 60.0, share=bodies, numbered=True)
        self.hop = Hop(
            self.clock, LastHop(self.instances, settings.app, settings.bounds["drain_s"]), self.app_lanes
        )
        self.caller_desk = CallerDesk(
            self.clock,
            settings.node,
            settings.service.encode(),
            self.steering,
            self.table,
            self._knows,
            self.lanes,
            self.hop,
        )
        self.desks: dict[str, Desk] = {}
        self.servers: list[asyncio.Server] = []
        self.ending = False
        self.done = asyncio.Event()

    # Start and end.

    async def run(self) -> None:
        settings, loop = self.settings, self.loop
        loop.set_exception_handler(self._fault)
        loop.add_signal_handler(signal.SIGTERM, self._end)
        loop.add_signal_handler(signal.SIGINT, self._end)
        loop.add_signal_handler(signal.SIGHUP, self._reread)
        control = ControlApi(
            self.clock,
            {"Instances": InstancesResource(self.clock, self.instances, self._own_record, self._spread)},
        )
        self.desks = {
            "control": control,
            "ready": ReadinessApi(self.clock, self._ready),
            "inbound": HopDesk(self.clock, self.hop),
            "outbound": self.caller_desk,
        }
        if settings.has_storage:
            disk = Storage(settings.data_dir, loop.call_soon_threadsafe)
            self.replica_server = ReplicaServer(
                self.clock, self.incarnation, self.chance.draw, disk, self._send_member, self._on_committed
            )
            self.replica_server.others = lambda: self.replicas
            self.reconfiguration = Reconfiguration(self.member, self.incarnation, self.chance.draw)
            self.replica_server.patience = lambda: PATIENCE_S if self._current() else CUT_OFF_S
        control.resources["Config"] = ConfigurationResource(
            self.replica_server, self._a_core, lambda: self.still.stale(self.clock())
        )
        for name, place in settings.counters.items():
            if (desk := self.desks.get(name)) is not None:
                self.servers.append(
                    await loop.create_server(lambda desk=desk: Serving(desk), *place, backlog=1024)
                )
        self.servers.append(await loop.create_server(self._new_connection, *settings.inner, backlog=256))
        await loop.create_datagram_endpoint(lambda: self.datagrams, local_addr=settings.inner)
        self._own_record()
        log_event(
            "start",
            life=self.incarnation,
            keeps=settings.has_storage,
            serves=",".join(settings.serves),
            first=settings.first_start,
            seeds=",".join(settings.seeds),
        )
        if self.replica_server is not None:
            saved = await loop.run_in_executor(
                None, self.replica_server.disk.open, tuple(sorted(settings.seeds)), settings.first_start
            )
            self.replica_server.disk.start()
            self.learner = self.snapshot_transfer.learner = (acceptor := Acceptor(self.member, saved)).learner
            self.replica_server.begin(acceptor)
            self._agreed(self.replica_server.members.of)
            log_event(
                "disk",
                disk=acceptor.disk,
                voting=acceptor.voting,
                upto=acceptor.learner.committed_number[0],
                items=len(acceptor.learner.items),
            )
        self._dial(self.clock())
        ticking = loop.create_task(self._tick())
        await self.done.wait()
        ticking.cancel()

    def _fault(self, loop: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        """What no part has made a value of: told, and survived, unless an invariant is broken."""
        error = told.get("exception")
        log_event(
            "fault", logging.ERROR, what=told.get("message", ""), error=repr(error), where=_where(error)
        )
        if isinstance(error, InvariantViolation):
            os._exit(70)

    def _end(self) -> None:
        if not self.ending:
            self.ending = True
            self.loop.create_task(self._wind_down())

    async def _wind_down(self) -> None:
        """Nobody is sent here any more; what was read is answered; then it ends."""
        grace, began = self.settings.bounds["grace_s"], self.clock()
        log_event("ending")
        self.state = LEAVING
        self._own_record()
        side = "outbound" in self.settings.counters
        if side:
            await asyncio.sleep(min(QUIET_S, 0.4 * grace))
            while self.clock() < began + grace - LAST_S and not self.records.spares(
                self.clock(), self.settings.node, self.settings.zone, BACK_S
            ):
                await asyncio.sleep(TICK_S)
        if self.replica_server is not None and self.replica_server.acceptor is not None:
            while not self.reconfiguration.may_go(self.clock(), self._members_view()):
                await asyncio.sleep(TICK_S)
        for desk in self.desks.values():
            desk.retire()
        await asyncio.sleep(0.1 if side else 0.3)
        for server in self.servers:
            server.close()
        for desk in self.desks.values():
            desk.end_idle()
        while self.clock() < began + grace - 0.5 and any(
            line.owes for desk in self.desks.values() for line in desk.lines
        ):
            await asyncio.sleep(0.02)
        log_event("end", after=self.clock() - began)
        self.done.set()

    def _reread(self) -> None:
        """At SIGHUP, and now and then: the file may also change without a signal."""
        new = read_settings()
        if isinstance(new, Failure):
            return log_event("settings_refused", why=new.reason)
        new = reloaded(self.settings, new)
        if new != self.settings:
            self.settings = new
            self.connection_manager.seeded(self.clock(), new.seed_addresses())
            self.caller_desk.caller = new.service.encode()
            log_event("settings", seeds=",".join(new.seeds), service=new.service)

    async def _tick(self) -> None:
        count, self.still = 0, PauseDetector(self.clock(), TICK_S)  # the start, with its disk, was no sleep
        while True:
            await asyncio.sleep(TICK_S)
            now = self.clock()
            if slept := self.still.beat(now):
                log_event("slept", seconds=slept)
                self.instances.slept(slept)
            for connection in [*self.connections.values(), *self.unnamed]:
                connection.beat(slept)
            if self.replica_server is not None:
                self.replica_server.tick()
                self._ask_contact(now)
                self._tend_members()
            self._dial(now)
            if self.replica_server is None:
                self._lean_on_neighbours(now)
                self._ask_basis(now)
            if (step := self.view.shuffle(now)) is not None:
                self.datagrams.send(*step)
            if self.instances.sweep(now):
                self._own_record()
            self._flush()
            count += 1
            if count % 5 == 0:
                for desk in self.desks.values():
                    desk.sweep(now)
                self.lanes.sweep()
                self.app_lanes.sweep()
            if count % 100 == 0:
                self.caller_desk.tell()
            if count % 20 == 0:
                self._reread()
                self.hop.core.sweep()

    # What it knows.

    def _knows(self) -> bool:
        return bool(self.learner.items)

    def _ready(self) -> bool:
        if self.ending or not self._knows():
            return False
        if self.replica_server is not None:
            return self.replica_server.fresh and self._current()
        return self.readiness.ready(self.knows_records)

    def _current(self) -> bool:
        """Whether this keeper, now, may miss no more than a moment of what was acknowledged."""
        if (
            self.replica_server is None
            or self.replica_server.acceptor is None
            or not self.replica_server.acceptor.known
        ):
            return False  # an empty disk: who the members are is known from seeds only
        self.quorum_contact.held(self.replica_server.members, self.learner.committed_number)
        return self.quorum_contact.current(self.clock())

    def _age(self) -> float | None:
        if self.replica_server is None:
            return self.readiness.age(self.clock())
        return self.quorum_contact.age(self.clock()) if self._current() else None

    def _report(self) -> Report:
        return self.replica_server.own_report(
            self.settings.zone, self.state == LEAVING, self.quorum_contact.hears(self.clock())
        )

    def _ask_contact(self, now: float) -> None:
        if self.replica_server.acceptor is None:
            return
        if (asking := self.quorum_contact.ask(now, self._report())) is not None:
            acceptor = self.replica_server.acceptor
            told = {"boots": acceptor.start_count, "promised": self.replica_server.durable}
            asking |= {"life": self.incarnation, "disk": acceptor.disk, **told}
            for name in self.replicas.values():
                self.connections[name].send(asking)
        self._stand()

    def _tend_members(self) -> None:
        if self.replica_server.acceptor is not None:
            self.reconfiguration.tend(self.clock, self._members_view(), self.replica_server.ask)

    def _members_view(self) -> MembersView:
        self._current()  # what is settled here by now counts
        return MembersView.of(
            self.clock(),
            self._report(),
            self.replica_server.members,
            self.learner,
            self.quorum_contact.reports,
            self.quorum_contact.age(self.clock()),
            self.settings.tolerate,
            self.settings.tolerate_zones,
        )

    def _stand(self) -> None:
        """Others are told when this keeper's contact ends and when it is back; then news goes out again."""
        if (current := self._current()) == self.in_quorum_contact:
            return
        self.in_quorum_contact = current
        log_event(
            "contact",
            majority=current,
            epoch=self.replica_server.members.epoch,
            upto=self.learner.committed_number[0],
        )
        for connection in self.connections.values():
            connection.send({"t": "standing", "contact": current})
        if current:
            self.anti_entropy.dirty.add(COMMITTED_SET)
            self._soon()

    def _sidecars(self) -> int:
        return self.records.sidecars

    def _tells(self, peer: str, source: str) -> bool:
        """Keepers hear of each sidecar from itself; neighbours without a disk hear of all. Sidecars hear of
        the settled set from keepers in contact only; keepers always, for what is settled stays so."""
        if self.replica_server is None:
            return source == self.settings.node or not self._is_replica(peer)
        return source != COMMITTED_SET or self._is_replica(peer) or self._current()

    def _learns_from(self, peer: str) -> bool:
        """Those without a disk hold no more than a part of each item."""
        return self.replica_server is None or self._is_replica(peer)

    def _is_replica(self, peer: str) -> bool:
        return peer in self.replicas.values()

    def _on_committed(self, new: list[Item]) -> None:
        """Items in force that are new here, on a machine with a disk."""
        if new:
            self.event_log.append("settled", new)
        self.anti_entropy.have(COMMITTED_SET, self.learner.committed_number)
        self.anti_entropy.dirty.add(COMMITTED_SET)
        self._soon()

    def _fold_items(self, event: Event) -> None:
        for item in event.body:
            self.table.put(item)
            if item.kind == MEMBERS and item.content is not None:
                self._agreed(item.content["of"])
            if item.kind == LIMITS and item.content is not None:
                self._limit(item.content)
        routes = self.table.places
        self.steering.forget(lambda name: ("route", name) in routes)

    def _agreed(self, members: list[str] | tuple[str, ...]) -> None:
        port = self.settings.inner_ports[0]
        self.connection_manager.agreed(self.clock(), [(parse_address(each)[0], port) for each in members])

    def _limit(self, told: dict[str, Any]) -> None:
        limits = self.caller_desk.limits
        limits.head = int(told.get("envelope_bytes", limits.head))
        most = int(
            self.settings.memory_mb * 1024 * 1024 / 8
        )  # kept whole: no body may take the machine's memory
        limits.body = min(most, int(told.get("contents_bytes", limits.body)))
        limits.head_s = float(told.get("envelope_s", limits.head_s))
        limits.idle_s = float(told.get("idle_s", limits.idle_s))

    def _fold_record(self, event: Event) -> None:
        self.upstreams.fold(self.clock(), event.body)

    def _own_record(self) -> None:
        self.number += 1
        place = self.settings.counters.get("inbound")
        mine = unpack_record(
            [
                self.settings.node,
                [self.record_incarnation, self.number],
                self.settings.zone,
                self.state,
                format_address(place) if place else "",
                self.instances.rows(self.clock()),
            ]
        )
        self._take_record(mine)

    def _take_record(self, new: EndpointRecord) -> None:
        if self.records.take(self.clock(), new):
            self.anti_entropy.have(new.node, new.version)
            self.event_log.append("record", new.node)
            self._soon()

    async def _spread(self) -> bool:
        """Whether a drain that this sidecar's own record tells of is to be acknowledged."""
        version = self.record_incarnation, self.number
        wait = DrainPropagation(self.clock(), "inbound" in self.settings.counters)
        while True:
            linked = self.connection_manager.in_quorum_contact()
            known = self.anti_entropy.known_by(self.settings.node, version, linked)
            replicas = len(self.connection_manager.members or self.connection_manager.seeds)
            if (outcome := wait.outcome(self.clock(), known, linked, replicas)) is not None:
                return outcome
            await asyncio.sleep(0.01)

    # Links.

    def _new_connection(self, dialled: Address | None = None) -> PeerConnection:
        connection = PeerConnection(self.clock, self._opened, self._heard, self._ended)
        connection.dialled = dialled
        return connection

    def _opened(self, connection: PeerConnection) -> None:
        self.unnamed.add(connection)
        hello = {
            "t": "hello",
            "node": self.settings.node,
            "member": self.member,
            "inner": list(self.settings.inner),
            "cores": [list(each) for each in self.connection_manager.live],
            "contact": self._current(),
        }
        connection.send(hello)

    def _ended(self, connection: PeerConnection) -> None:
        self.unnamed.discard(connection)
        if connection.peer is None:
            if connection.dialled is not None:
                self.connection_manager.vain(self.clock(), connection.dialled, False)
        elif self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]
            self.anti_entropy.left(connection.peer)
            self.snapshot_transfer.left(connection.peer)
            self.connection_manager.down(self.clock(), connection.peer)
            self.replicas = {
                member: name for member, name in self.replicas.items() if name != connection.peer
            }
            log_event("link_ended", peer=connection.peer, why=connection.why)

    def _dial(self, now: float) -> None:
        for place in self.connection_manager.calls(now):
            self.loop.create_task(self._call(place))
        for name in self.connection_manager.surplus(now):
            self.connections[name].close("others are better")

    def _lean_on_neighbours(self, now: float) -> None:
        sides = [connection for name, connection in self.connections.items() if not self._is_replica(name)]
        in_quorum_contact = len(self.connection_manager.in_quorum_contact())
        if in_quorum_contact:
            self.sides_called.clear()
            for connection in sides:
                if connection.dialled is not None:
                    connection.close("a keeper in contact is reached")
        for each in self.view.some_sides(self.leaning.wanted(now, in_quorum_contact, len(sides))):
            if each.node not in self.connections and now >= self.sides_called.get(each.place, 0.0):
                self.sides_called[each.place] = now + CALL_S * (1 + 0.5 * self.chance.draw())
                self.loop.create_task(self._call(each.place))

    def _ask_basis(self, now: float) -> None:
        """Until it is ready, and while a neighbour leans on it, a sidecar asks for what is current now."""
        leant_on = any(
            connection.dialled is None and not self._is_replica(name)
            for name, connection in self.connections.items()
        )
        if self.connections and self.readiness.asks(now, leant_on):
            several = self.connection_manager.in_quorum_contact() or list(self.connections)
            self.connections[random.choice(several)].send(
                self._pull(now, {COMMITTED_SET: self.learner.committed_number})
            )

    @staticmethod
    def _pull(now: float, wanted: dict[str, Any]) -> dict[str, Any]:
        """`at`: when it was asked, on the asker's clock; it comes back with the news."""
        return {"t": "pull", "v": wanted, "at": now}

    def _shuffled(self, message: dict[str, Any]) -> None:
        answer = self.view.heard(message)
        if answer is not None:
            self.datagrams.send(unpack_neighbour(message["view"][0]).place, answer)
        for each in self.view.of.values():
            if each.has_storage:
                self.connection_manager.told(self.clock(), each.place)

    async def _call(self, place: Address) -> None:
        refused = False
        connections: list[PeerConnection] = []

        def called() -> PeerConnection:
            connections.append(self._new_connection(place))
            return connections[-1]

        try:
            async with asyncio.timeout(CALL_S):
                return await self.loop.create_connection(called, *place)
        except TimeoutError:
            for connection in connections:  # that came up at that moment: uvloop closes it, and tells nobody
                if connection.transport is not None:
                    return connection.close("too late")
        except OSError:
            refused = True
        self.connection_manager.vain(self.clock(), place, refused)

    def _heard(self, connection: PeerConnection, message: dict[str, Any]) -> None:
        kind = message.get("t")
        if kind == "hello":
            return self._met(connection, message)
        if connection.peer is None:
            return connection.close("no hello")
        if kind == "have":
            versions = {source: tuple(v) for source, v in message["v"].items()}
            if (committed_number := versions.pop(COMMITTED_SET, None)) is not None and self._learns_from(
                connection.peer
            ):
                self.snapshot_transfer.told(connection.peer, unpack_proposal_number(committed_number))
            self.anti_entropy.told(connection.peer, versions)
            self._noticed(message["v"])
            self._soon()
        elif kind == "pull":
            connection.send(self._news(connection.peer, message))
        elif kind == "news":
            self._take_news(connection.peer, message)
        elif kind == "piece":
            if self._may_tell(connection.peer):
                connection.send(
                    SnapshotTransfer.answer(
                        self.learner, message, self._age(), self._is_replica(connection.peer)
                    )
                )
        elif kind == "rows":
            self._take_rows(connection.peer, message)
        elif kind == "standing":
            self.connection_manager.contact(connection.peer, bool(message["contact"]))
        elif self.replica_server is not None and self._is_replica(connection.peer):
            sender = next(member for member, node in self.replicas.items() if node == connection.peer)
            if kind == "contact":
                if self.replica_server.acceptor is not None:
                    disk, promised = (
                        unpack_proposal_number(message["disk"]),
                        unpack_proposal_number(message["promised"]),
                    )
                    past = self.starts.told(sender, message["life"], disk, message["boots"], promised)
                    answer = QuorumContact.answer(message, self._report())
                    connection.send({**answer, "older": message["life"]} if past else answer)
            elif kind == "contacted":
                if message.get("older") == self.incarnation:
                    self.replica_server.found_older(os.urandom(8).hex())
                self.quorum_contact.heard(self.clock(), sender, message)
                self._stand()
            else:
                self.replica_server.heard(sender, message)

    def _met(self, connection: PeerConnection, hello: dict[str, Any]) -> None:
        self.unnamed.discard(connection)
        connection.peer = name = hello["node"]
        if (old := self.connections.get(name)) is not None and old is not connection:
            old.close("a newer link")
        self.connections[name] = connection
        self.view.met(Neighbour(name, tuple(hello["inner"]), bool(hello["member"])))
        now = self.clock()
        if hello["member"]:
            self.replicas[hello["member"]] = name
            self.connection_manager.up(now, tuple(hello["inner"]), name, bool(hello["contact"]))
        elif connection.dialled is not None:
            self.connection_manager.vain(now, connection.dialled, False)  # no keeper is there any more
        for each in hello["cores"]:
            self.connection_manager.told(now, tuple(each))
        self.anti_entropy.met(name)
        connection.send({"t": "have", "v": self.anti_entropy.whole(name)})
        log_event("link", peer=name)
        if hello["member"] and self.replica_server is not None:
            self.quorum_contact.next_at = now  # it is asked at the next tick
            self.replica_server.reached(hello["member"])

    def _noticed(self, versions: dict[str, list]) -> None:
        told = versions.get(self.settings.node)
        if told is not None and tuple(told) > (self.record_incarnation, self.number):
            self.record_incarnation = told[0] + 1  # of an earlier life, by a clock that was ahead
            self._own_record()
        if COMMITTED_SET in versions and self.replica_server is not None:
            self.replica_server.peer_committed(tuple(versions[COMMITTED_SET]))

    def _news(self, peer: str, message: dict[str, Any]) -> dict[str, Any]:
        """Records as they stand; of the settled set how old this copy may be, its rows come in pieces."""
        wanted = message["v"]
        news: dict[str, Any] = {"t": "news", "at": message["at"]}
        if COMMITTED_SET in wanted and self._may_tell(peer):
            news["upto"], news["age"] = self.learner.committed_number, self._age()
        found = [self.records.of[source].packed() for source in wanted if source in self.records.of]
        if found:
            news["records"] = found
        return news

    def _may_tell(self, peer: str) -> bool:
        """Of the settled set, now."""
        return self.replica_server is None or self._is_replica(peer) or self._current()

    def _take_news(self, peer: str, news: dict[str, Any]) -> None:
        if "upto" in news and self.replica_server is None:
            if (committed_number := unpack_proposal_number(news["upto"])) <= self.learner.committed_number:
                self.readiness.told(self.clock(), news["at"], news["age"])
            else:
                self.snapshot_transfer.told(peer, committed_number)
        for told in news.get("records", ()):
            self._take_record(unpack_record(told))
        self.knows_records = self.knows_records or "records" in news
        self._soon()

    def _take_rows(self, peer: str, message: dict[str, Any]) -> None:
        now = self.clock()
        if (taken := self.snapshot_transfer.heard(now, peer, message)) is not None:
            if self.replica_server is not None:
                self.replica_server.learn(taken.committed_number, taken.rows, taken.replaced)
            else:
                rows = map(unpack_row, taken.rows)
                take = self.learner.replace if taken.replaced else self.learner.fold
                if new := take(taken.committed_number, rows):
                    self.event_log.append("settled", new)
                self.anti_entropy.have(COMMITTED_SET, self.learner.committed_number)
                self.readiness.told(now, now, taken.age)
        self._soon()

    def _soon(self) -> None:
        """Notices and pulls go out once for all that changes in one turn of the loop."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for peer, versions in self.anti_entropy.notices():
            if peer in self.connections:
                self.connections[peer].send({"t": "have", "v": versions})
        for peer, wanted in self.anti_entropy.pulls(self.clock()):
            if peer in self.connections:
                self.connections[peer].send(self._pull(self.clock(), wanted))
        if self.replica_server is None or self.replica_server.acceptor is not None:
            for peer, message in self.snapshot_transfer.step(self.clock()):
                if peer in self.connections:
                    self.connections[peer].send(message)

    def _send_member(self, member: str, message: dict[str, Any]) -> bool:
        connection = self.connections.get(self.replicas.get(member, ""))
        if connection is not None:
            connection.send(message)
        return connection is not None

    def _a_core(self) -> str | None:
        """The control address of a linked keeper, of one in contact if there is any."""
        good = self.connection_manager.in_quorum_contact()
        some = [member for member, name in self.replicas.items() if name in good] or list(self.replicas)
        return random.choice(some) if some else None


def _where(error: BaseException | None) -> str:
    """The innermost of our own lines that it went through."""
    steps = traceback.extract_tb(error.__traceback__) if error is not None else []
    ours = [step for step in steps if "mesh" in step.filename]
    return f"{os.path.basename(ours[-1].filename)}:{ours[-1].lineno}" if ours else ""
