"""One process by itself: what it takes up of its settings file."""

import asyncio
import copy as copy_module
import io
import json
import logging
import os
import pathlib
import tempfile
import time
from types import SimpleNamespace
from unittest import mock

import testtools

from foxspread.mesh import log
from foxspread.mesh.configuration.items import LEASE, MEMBERS, SERVICE, Item
from foxspread.mesh.node import COMMITTED_SET, Node
from foxspread.mesh.replication.quorum_contact import TELL_S, QuorumContact, Report
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer
from foxspread.mesh.replication.learner import START, Learner, pack_offset, pack_row
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.settings import FILE_VARIABLE, read_settings, settings_from

FILE = {
    "node": "side-1",
    "serves": ["side"],
    "ip": "127.0.0.1",
    "zone": "valley",
    "counters": {"control": "127.0.0.1:0"},
    "inner_ports": [7660, 7675],
    "seeds": ["127.0.0.1:8146"],
    "first_start": True,
    "service": "press",
}


class Reread(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.path = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()), "node.json")
        self.enterContext(mock.patch.dict(os.environ, {FILE_VARIABLE: str(self.path)}))
        self.lines = io.StringIO()
        log.configure_logging("side-1")
        log.LOGGER.handlers[:] = [logging.StreamHandler(self.lines)]

    def told(self, **changes: object) -> None:
        self.path.write_text(json.dumps({**copy_module.deepcopy(FILE), **changes}))

    def test_a_change_is_taken_up_and_told_once(self) -> None:
        """Also where a key differs for good that a running process does not take up, as first_start does."""

        async def play() -> None:
            self.told()
            node = Node(read_settings(), asyncio.get_running_loop())
            self.told(first_start=False)
            node._reread()
            self.assertEqual("", self.lines.getvalue())
            self.told(first_start=False, service="cellar")
            for _ in range(3):
                node._reread()
            self.assertEqual(b"cellar", node.caller_desk.caller)
            self.assertEqual(1, self.lines.getvalue().count("event=settings "))

        asyncio.run(play())


class Dialling(testtools.TestCase):
    def test_every_two_machines_with_a_disk_come_to_a_link(self) -> None:
        """Of two seeds the lower calls; one beyond the seeds, whom nobody knows yet, calls them all."""
        seeds = ["127.0.0.1:8146", "127.0.0.2:8146", "127.0.0.3:8146"]

        async def called(ip: str) -> set[str]:
            told = {"node": f"core-{ip}", "serves": ["control"], "ip": ip, "data_dir": "x", "seeds": seeds}
            node = Node(
                settings_from({**FILE, **told, "counters": {"control": f"{ip}:8146"}}),
                asyncio.get_running_loop(),
            )
            node.replica_server = object()
            with mock.patch.object(node, "_call", mock.AsyncMock()):
                node._dial(node.clock())
            return {place[0] for place, there in node.connection_manager.of.items() if there.calling}

        self.assertEqual({"127.0.0.2", "127.0.0.3"}, asyncio.run(called("127.0.0.1")))
        self.assertEqual(set(), asyncio.run(called("127.0.0.3")))
        self.assertEqual({"127.0.0.1", "127.0.0.2", "127.0.0.3"}, asyncio.run(called("127.0.0.4")))


class Late(testtools.TestCase):
    def test_a_call_that_comes_up_as_its_time_is_over(self) -> None:
        """The loop closes the connection then without a word: the link must be over too, or the next beat on
        it raises, and whatever beats on all links ends."""

        class Transport:
            aborted = False

            def write(self, data: bytes) -> None:
                if self.aborted:
                    raise RuntimeError("the handler is closed")

            def get_write_buffer_size(self) -> int:
                return 0

            def abort(self) -> None:
                self.aborted = True

        async def play() -> None:
            loop, transport = asyncio.get_running_loop(), Transport()

            async def create_connection(factory, *place):
                factory().connection_made(transport)
                raise TimeoutError

            node = Node(
                settings_from(copy_module.deepcopy(FILE)),
                mock.Mock(time=loop.time, create_connection=create_connection),
            )
            place = ("127.0.0.2", 7660)
            node.connection_manager.told(0.0, place)
            node.connection_manager.of[place].calling = True
            await node._call(place)
            self.assertTrue(transport.aborted)
            self.assertEqual((set(), {}), (node.unnamed, node.connections))
            self.assertEqual(
                (False, 1),
                (node.connection_manager.of[place].calling, node.connection_manager.of[place].vain),
            )

        asyncio.run(play())


class Told(testtools.TestCase):
    """What a process tells of the settled set, and by what it becomes ready."""

    def node(self, loop: asyncio.AbstractEventLoop, ip: str, **changes: object) -> Node:
        told = {"node": f"n-{ip}", "ip": ip, "counters": {"control": f"{ip}:8146"}}
        node = Node(settings_from({**FILE, **told, **changes}), loop)
        node.now = 1000.0
        node.clock = lambda: node.now
        return node

    def test_a_keeper_out_of_contact_tells_sidecars_nothing_of_the_settled_set(self) -> None:
        """At each answer, also right after a freeze; other keepers are told always."""

        async def play() -> None:
            loop = asyncio.get_running_loop()
            node = self.node(loop, "127.0.0.1", data_dir="x", serves=["control"])
            members = MemberSet(0, ("127.0.0.1:8146", "m2", "m3"))
            node.replica_server = SimpleNamespace(
                acceptor=SimpleNamespace(known=True), members=members, fresh=True
            )
            node.replicas = {"m2": "k2"}
            past = (0, ((1, "d"),))
            rows = [Item(SERVICE, "s", 2, {"name": "s"}, past), Item(LEASE, MEMBERS, 1, {"holder": "m2"})]
            node.learner.fold((4, "l"), [(each, (4, "l")) for each in rows])
            pull = {"t": "pull", "v": {COMMITTED_SET: []}, "at": 7.0}

            def pieces(peer: str) -> list[dict]:
                sent = []
                connection = SimpleNamespace(peer=peer, send=sent.append)
                node._heard(connection, {"t": "piece", "n": 1, "after": pack_offset(START)})
                return sent

            def told(peer: str) -> tuple[bool, bool, int]:
                count = sum(len(each["rows"]) for each in pieces(peer))
                self.assertEqual(bool(count), "upto" in node._news(peer, pull))
                return node._tells(peer, COMMITTED_SET), node._ready(), count

            self.assertEqual((False, False, 0), told("side"))
            self.assertEqual((True, False, 2), told("k2"))
            asking = node.quorum_contact.ask(node.now, Report(members.of[0], True, 0, (4, "l"), (4, "l")))
            node.quorum_contact.heard(
                node.now, "m2", QuorumContact.answer(asking, Report("m2", True, 0, (4, "l"), (4, "l")))
            )
            node.now += 1.0
            self.assertEqual((True, True, 1), told("side"))
            news = node._news("side", pull)
            self.assertEqual((7.0, 1.0), (news["at"], news["age"]))
            self.assertEqual([pack_row(rows[0].bare, (4, "l"))], pieces("side")[0]["rows"])
            node.replica_server.acceptor.known = (
                False  # its disk came back empty: members are known from seeds only
            )
            self.assertEqual((False, False, 0), told("side"))
            node.replica_server.acceptor.known = True
            node.now += TELL_S  # it stood still: nothing has told it so yet
            self.assertEqual((False, False, 0), told("side"))
            self.assertEqual((True, False, 2), told("k2"))

        asyncio.run(play())

    def test_a_sidecar_takes_old_rows_and_is_not_ready_by_them(self) -> None:
        """Nor by what a cut held up; a keeper takes no rows from one that holds but a part of each item."""

        async def play() -> None:
            node = self.node(asyncio.get_running_loop(), "127.0.0.9")
            item = Item(SERVICE, "s", 2, {"name": "s"})
            there, have = Learner(), {"t": "have", "v": {COMMITTED_SET: [4, "l"]}}
            there.fold((4, "l"), [(item, (4, "l"))])

            def takes(node: Node, peer: str, at: float, age: float | None) -> list:
                """Asked at that time, it comes now; whom it asked."""
                node.now = at
                node._heard(SimpleNamespace(peer=peer), have)
                asked = node.snapshot_transfer.step(at)
                node.now = 1000.0
                for name, message in asked:
                    node._heard(
                        SimpleNamespace(peer=name), SnapshotTransfer.answer(there, message, age, False)
                    )
                return [name for name, _ in asked]

            for at, age, ready in ((1000.0, None, False), (1000.0, 9.0, False), (980.0, 0.1, False),
                                   (999.9, 0.2, True)):  # fmt: skip
                fresh = self.node(asyncio.get_running_loop(), "127.0.0.9")
                fresh._take_news("x", {"t": "news", "at": at, "records": []})
                self.assertEqual(["x"], takes(fresh, "x", at, age))
                self.assertEqual((ready, {item.key: item}), (fresh._ready(), fresh.learner.items), (at, age))
            takes(node, "x", 1000.0, None)
            news = {"t": "news", "upto": [4, "l"], "records": []}
            for at, age, ready in ((1000.0, None, False), (1000.0, 9.0, False), (980.0, 0.1, False),
                                   (999.9, 0.2, True), (980.0, 20.0, True)):  # fmt: skip
                node._take_news("x", {**news, "at": at, "age": age})
                self.assertEqual(ready, node._ready(), (at, age))
            replica_server, learnt = self.node(asyncio.get_running_loop(), "127.0.0.8"), []
            replica_server.replica_server = SimpleNamespace(
                learn=lambda *told: learnt.append(told), peer_committed=lambda at: None, acceptor=True
            )
            replica_server.replicas = {"m2": "k2"}
            self.assertEqual([], takes(replica_server, "side", 1000.0, 0.1))
            self.assertEqual((["k2"], 1), (takes(replica_server, "k2", 1000.0, None), len(learnt)))

        asyncio.run(play())

    def test_its_clock_goes_on_while_the_machine_is_suspended(self) -> None:
        async def play() -> None:
            node = Node(settings_from(FILE), asyncio.get_running_loop())
            with mock.patch("time.clock_gettime", lambda which: 7e9 + which):
                self.assertEqual(7e9 + time.CLOCK_BOOTTIME, node.clock())

        asyncio.run(play())

    def test_a_record_outlives_a_clock_that_was_set_back(self) -> None:
        """What others hold of an earlier life is overtaken, also where both began at the same moment."""

        async def play() -> None:
            node = self.node(asyncio.get_running_loop(), "127.0.0.9")
            node._own_record()
            for told in ([node.record_incarnation + 10**12, 3], [node.record_incarnation + 10**12, 9]):
                node._noticed({node.settings.node: told})
                self.assertTrue((node.record_incarnation, node.number) > tuple(told))
                self.assertEqual(
                    (node.record_incarnation, node.number), node.records.of["n-127.0.0.9"].version
                )
            told = node.record_incarnation, node.number + 4
            node._noticed({node.settings.node: list(told)})
            self.assertTrue(node.records.of["n-127.0.0.9"].version > told)
            before = node.records.of["n-127.0.0.9"].version
            node._noticed({node.settings.node: list(before)})
            self.assertEqual(before, node.records.of["n-127.0.0.9"].version)

        asyncio.run(play())
