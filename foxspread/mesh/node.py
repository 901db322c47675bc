"""One process of the mesh: builds its parts from the settings, runs them, and shuts them down in order.

This module contains only the wiring. Requests are handled by `dataplane`, state by `state_sync` and
`replication`, connections to peers by `gossip`, and the order of a shutdown by `shutdown`.
"""

import asyncio
import os
import random
import signal
import time
from typing import TYPE_CHECKING

from foxspread.mesh.boot_clock import boot_clock
from foxspread.mesh.committed_configuration import CommittedConfiguration
from foxspread.mesh.configuration.items import Item
from foxspread.mesh.configuration.routes import RouteTable
from foxspread.mesh.control_api.configuration import ConfigurationResource
from foxspread.mesh.control_api.handlers import ControlApi, ReadinessApi
from foxspread.mesh.control_api.instances import InstancesResource
from foxspread.mesh.control_api.readiness import Readiness, SuspendDetector
from foxspread.mesh.endpoints import Endpoints
from foxspread.mesh.errors import Failure
from foxspread.mesh.event_log import EventKind, EventLog
from foxspread.mesh.exception_handler import handle_uncaught_exception
from foxspread.mesh.gossip.connection_manager import ConnectionManager, NeighbourFallback
from foxspread.mesh.gossip.partial_view import Neighbour, PartialView
from foxspread.mesh.gossip.peer_links import PeerLinks
from foxspread.mesh.load_balancing.upstream_servers import UpstreamDirectory
from foxspread.mesh.log import log_event
from foxspread.mesh.owned_tasks import OwnedTasks
from foxspread.mesh.registry.drain_propagation import DrainOutcome, DrainPropagation
from foxspread.mesh.registry.endpoint_records import LEAVING
from foxspread.mesh.registry.incarnations import InstanceTable
from foxspread.mesh.registry.own_record import OwnRecord
from foxspread.mesh.replication.learner import Learner
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer
from foxspread.mesh.settings import Settings, read_settings, with_reloadable_fields
from foxspread.mesh.shutdown import Shutdown
from foxspread.mesh.state_sync import StateSync
from foxspread.mesh.transport.messages import Fields, Hello, QuorumContactChange, kind_of
from foxspread.statistics import SeededRandom

if TYPE_CHECKING:
    from foxspread.mesh.replica_contact import ReplicaContact
    from foxspread.mesh.replication.replica_server import ReplicaServer
    from foxspread.mesh.replication.storage import Storage

TICK_S = 0.1
SWEEP_TICKS = 5  # idle connections and expired requests are ended every 0.5 s
RELOAD_TICKS = 20  # the settings file is reread every 2 s, since it may change without a signal
REJECTION_LOG_TICKS = 100  # rejected requests are logged every 10 s, if there are any
DRAIN_POLL_S = 0.01
DISK_IDENTITY_BYTES = 8


class Node:
    """One process of the mesh; `run` returns once it has shut down."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self.settings, self.loop = settings, loop
        self.clock = boot_clock
        self.incarnation = os.urandom(10).hex()  # random, so that two starts of a node never share it
        self.random_source = SeededRandom(int.from_bytes(os.urandom(4), "big"))
        self.event_log = EventLog(self.clock)
        self.member_name = settings.member_name
        self.replica_server: ReplicaServer | None = None
        self.replica_contact: ReplicaContact | None = None
        self.instances = InstanceTable(settings.heartbeat_s, settings.zone)
        self.suspend_detector = SuspendDetector(self.clock(), TICK_S)
        self._build_state()
        self._build_peer_links()
        self._build_endpoints()
        self.is_shutting_down = False
        self.stopped = asyncio.Event()
        self.tasks = OwnedTasks(loop)

    def _build_state(self) -> None:
        self.routes = RouteTable()
        own_record = OwnRecord(
            self.settings.node, self.settings.counters.get("inbound"), int(time.time() * 1e6)
        )
        self.state_sync = StateSync(
            self.clock,
            own_record,
            SnapshotTransfer(Learner(), self.random_source.draw),
            send=lambda peer, fields: self.peer_links.send(peer, fields),
            schedule=self.loop.call_soon,
            is_replica=lambda peer: self.peer_links.is_replica(peer),
            on_committed=self._on_committed,
            on_record=lambda node: self.event_log.append(EventKind.RECORD_UPDATED, node),
            publish_own_record=self.publish_own_record,
            readiness=Readiness(),
        )
        self.records = self.state_sync.records
        self.upstreams = UpstreamDirectory(self.records)
        self.event_log.subscribe(
            EventKind.ITEMS_COMMITTED, lambda event: self.configuration.apply(event.body)
        )
        self.event_log.subscribe(
            EventKind.RECORD_UPDATED, lambda event: self.upstreams.apply_record(self.clock(), event.body)
        )

    def _build_peer_links(self) -> None:
        settings, now = self.settings, self.clock()
        draw = random.Random(os.urandom(16)).random
        manager = ConnectionManager(
            now, settings.peer_address, settings.has_storage, settings.seed_addresses(), draw
        )
        own = Neighbour(settings.node, settings.peer_address, settings.has_storage)
        self.connection_manager = manager
        self.peer_links = PeerLinks(
            self.loop,
            self.clock,
            manager,
            NeighbourFallback(now, self.random_source.draw),
            PartialView(own, self.random_source.draw),
            self,
        )

    def _build_endpoints(self) -> None:
        settings = self.settings
        self.endpoints = Endpoints(
            settings,
            self.clock,
            self.random_source,
            self.instances,
            self.routes,
            self.upstreams,
            lambda: bool(self.state_sync.learner.items),
            lambda: self.records.sidecar_count,
        )
        self.configuration = CommittedConfiguration(
            self.clock,
            self.routes,
            self.connection_manager,
            self.endpoints.outbound,
            settings.inner_ports[0],
            lambda: self.settings.memory_mb,
        )

    # Start and shutdown.

    async def run(self) -> None:
        """Runs the process until SIGTERM or SIGINT has shut it down."""
        settings, loop = self.settings, self.loop
        loop.set_exception_handler(handle_uncaught_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        storage = self._build_replica() if settings.has_storage else None
        await self._listen()
        self.publish_own_record()
        log_event(
            "start",
            life=self.incarnation,
            keeps=settings.has_storage,
            serves=",".join(settings.serves),
            first=settings.first_start,
            seeds=",".join(settings.seeds),
        )
        if storage is not None:
            await self._recover(storage)
        self.peer_links.maintain(self.clock())
        self.tasks.start(self._tick_forever())
        await self.stopped.wait()
        self.peer_links.cancel_dials()
        self.tasks.cancel()

    def _build_replica(self) -> "Storage":
        """Builds the replica of a process with storage.

        Its modules are imported here, so that a sidecar, which has a small share of a processor, starts
        without them.
        """
        from foxspread.mesh.replica_contact import ReplicaContact
        from foxspread.mesh.replication.quorum_contact import QuorumContact
        from foxspread.mesh.replication.reconfiguration import Reconfiguration
        from foxspread.mesh.replication.replica import CALL_TIMEOUT_S
        from foxspread.mesh.replication.replica_server import NO_QUORUM_TIMEOUT_S, ReplicaServer
        from foxspread.mesh.replication.storage import Storage

        storage = Storage(self.settings.data_dir, self.loop.call_soon_threadsafe)
        self.replica_server = server = ReplicaServer(
            self.clock,
            self.incarnation,
            self.random_source.draw,
            storage,
            self.peer_links.send_to_member,
            self.state_sync.on_replica_committed,
        )
        self.replica_contact = contact = ReplicaContact(
            self.clock,
            lambda: self.settings,
            lambda: self.state_sync.own_record.state == LEAVING,
            server,
            QuorumContact(self.member_name, int.from_bytes(os.urandom(4), "big")),
            Reconfiguration(self.member_name, self.incarnation, self.random_source.draw),
            lambda: os.urandom(DISK_IDENTITY_BYTES).hex(),
        )
        self.state_sync.replica = contact
        server.reachable_replicas = lambda: self.peer_links.replicas
        server.call_timeout_s = lambda: CALL_TIMEOUT_S if contact.in_contact() else NO_QUORUM_TIMEOUT_S
        return storage

    async def _listen(self) -> None:
        instances = InstancesResource(
            self.clock, self.instances, self.publish_own_record, self._drain_is_propagated
        )
        configuration = ConfigurationResource(
            self.replica_server,
            self.peer_links.any_replica,
            lambda: self.suspend_detector.input_may_be_outdated(self.clock()),
        )
        control = ControlApi(self.clock, {"Instances": instances, "Config": configuration})
        readiness = ReadinessApi(self.clock, self.ready)
        await self.endpoints.listen(self.loop, self.settings.counters, control, readiness)
        self.endpoints.servers.append(await self.peer_links.listen(self.settings.peer_address))

    async def _recover(self, storage: "Storage") -> None:
        """Loads the stored state; until then peers are served without it."""
        from foxspread.mesh.replication.acceptor import Acceptor

        settings, server = self.settings, self.replica_server
        saved = await self.loop.run_in_executor(
            None, storage.open, tuple(sorted(settings.seeds)), settings.first_start
        )
        storage.start()
        acceptor = Acceptor(self.member_name, saved)
        self.state_sync.use_learner(acceptor.learner)
        server.start(acceptor)
        self.configuration.set_members(server.members.names)
        log_event(
            "disk",
            disk=acceptor.disk,
            voting=acceptor.voting,
            upto=acceptor.learner.committed_number[0],
            items=len(acceptor.learner.items),
        )

    def _begin_shutdown(self) -> None:
        if not self.is_shutting_down:
            self.is_shutting_down = True
            self.tasks.start(self._shut_down())

    async def _shut_down(self) -> None:
        """Runs the phases of `Shutdown`, sleeping between them."""
        shutdown = Shutdown(
            self.clock(),
            self.settings.bounds["grace_s"],
            "outbound" in self.settings.counters,
            self.endpoints,
            lambda now, s: self.records.callers_have_alternatives(
                now, self.settings.node, self.settings.zone, s
            ),
            lambda now: self.replica_contact is None or self.replica_contact.may_leave_membership(now),
        )
        log_event("ending")
        self.state_sync.own_record.state = LEAVING
        self.publish_own_record()
        while (wait_s := shutdown.advance(self.clock())) is not None:
            await asyncio.sleep(wait_s)
        self.endpoints.outbound.log_failures()
        log_event(
            "end",
            after=shutdown.elapsed(self.clock()),
            unfinished=self.endpoints.count_unfinished_connections(),
        )
        self.stopped.set()

    def reload_settings(self) -> None:
        """Rereads the settings file, on SIGHUP and at intervals."""
        new = read_settings()
        if isinstance(new, Failure):
            return log_event("settings_refused", why=new.reason)
        new = with_reloadable_fields(self.settings, new)
        if new != self.settings:
            self.settings = new
            self.connection_manager.set_seeds(self.clock(), new.seed_addresses())
            self.endpoints.outbound.service = new.service.encode()
            log_event("settings", seeds=",".join(new.seeds), service=new.service)

    # Periodic work.

    async def _tick_forever(self) -> None:
        count = 0
        self.suspend_detector = SuspendDetector(self.clock(), TICK_S)  # reading the disk was no suspension
        while True:
            await asyncio.sleep(TICK_S)
            count += 1
            self._tick(self.clock())
            self._tick_rarely(count)

    def _tick(self, now: float) -> None:
        suspended_s = self.suspend_detector.tick(now)
        if suspended_s:
            log_event("slept", seconds=suspended_s)
            self.instances.exclude_suspension(suspended_s)
        self.peer_links.check_liveness(suspended_s)
        if self.replica_server is not None:
            self.replica_server.tick()
            self._tick_contact(now)
        self.peer_links.maintain(now)
        if self.replica_server is None:
            self.peer_links.maintain_fallback(now)
            self._request_staleness(now)
        self.peer_links.shuffle(now)
        if self.instances.sweep(now):
            self.publish_own_record()
        self.state_sync.flush()

    def _tick_rarely(self, count: int) -> None:
        if count % SWEEP_TICKS == 0:
            self.endpoints.sweep(self.clock())
        if count % REJECTION_LOG_TICKS == 0:
            self.endpoints.outbound.log_failures()
        if count % RELOAD_TICKS == 0:
            self.reload_settings()
            self.endpoints.forwarder.guard.sweep()

    def _tick_contact(self, now: float) -> None:
        if self.replica_contact.recovered:
            if (request := self.replica_contact.request(now)) is not None:
                self.peer_links.send_to_replicas(request.packed())
            self._announce_contact()
            self.replica_contact.reconfigure()

    def _announce_contact(self) -> None:
        """Notifies peers when contact with a quorum begins or ends; announces the state when it begins."""
        if (in_contact := self.replica_contact.next_contact_change()) is None:
            return
        server = self.replica_server
        log_event(
            "contact",
            majority=in_contact,
            epoch=server.members.epoch,
            upto=server.acceptor.learner.committed_number[0],
        )
        self.peer_links.broadcast(QuorumContactChange(in_contact).packed())
        if in_contact:
            self.state_sync.announce_committed_set()

    def _request_staleness(self, now: float) -> None:
        """Asks a peer how stale the state here is.

        A sidecar does so until it is ready, and while a neighbour relies on it as a fallback.
        """
        links = self.peer_links
        if links.connections and self.state_sync.readiness.should_request_basis(
            now, links.serves_as_fallback
        ):
            links.send(links.any_informed_peer(), self.state_sync.staleness_pull(now))

    # State.

    def ready(self) -> bool:
        """Returns whether the platform may send requests to this process."""
        return not self.is_shutting_down and self.state_sync.ready()

    def publish_own_record(self) -> None:
        """Publishes a new version of this process's endpoint record."""
        own, rows = self.state_sync.own_record, self.instances.rows(self.clock())
        self.state_sync.accept_record(own.next_record(self.settings.zone, rows))

    def _on_committed(self, new: list[Item]) -> None:
        if new:
            self.event_log.append(EventKind.ITEMS_COMMITTED, new)

    async def _drain_is_propagated(self) -> bool:
        """Waits for peers to learn of the drain in the own record; returns whether to acknowledge it."""
        manager, version = self.connection_manager, self.state_sync.own_record.version
        wait = DrainPropagation(self.clock(), "inbound" in self.settings.counters)
        while True:
            in_contact = manager.replicas_in_contact()
            informed = self.state_sync.anti_entropy.count_with(self.settings.node, version, in_contact)
            replicas = len(manager.members or manager.seeds)
            outcome = wait.outcome(self.clock(), informed, in_contact, replicas)
            if outcome is not DrainOutcome.WAITING:
                return outcome is DrainOutcome.ACKNOWLEDGED
            await asyncio.sleep(DRAIN_POLL_S)

    # Methods of `PeerObserver`.

    def hello(self) -> Hello:
        """Returns the message by which this process introduces itself to a peer."""
        return Hello(
            self.settings.node,
            self.member_name,
            self.settings.peer_address,
            self.connection_manager.connected_addresses,
            self.replica_contact is not None and self.replica_contact.in_contact(),
        )

    def peer_connected(self, hello: Hello) -> None:
        """Announces the versions held here to the peer, and starts the exchange between replicas."""
        self.state_sync.peer_connected(hello.node)
        log_event("link", peer=hello.node)
        if hello.member and self.replica_contact is not None:
            self.replica_contact.replica_connected(self.clock(), hello.member)

    def peer_disconnected(self, peer: str) -> None:
        """Drops what was expected from the peer."""
        self.state_sync.peer_disconnected(peer)

    def on_message(self, peer: str, fields: Fields) -> None:
        """Passes a message to `StateSync`, or to the replica if it comes from another replica."""
        if (handler := self.state_sync.handlers.get(kind_of(fields))) is not None:
            handler(peer, fields)
        elif self.replica_contact is not None and self.peer_links.is_replica(peer):
            reply = self.replica_contact.handle(self.peer_links.member_at(peer), fields)
            if reply is not None:
                self.peer_links.send(peer, reply.packed())
            if self.replica_contact.is_reply(fields):
                self._announce_contact()
