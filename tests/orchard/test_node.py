"""One process by itself: what it takes up of its settings file."""

import asyncio
import copy
import io
import json
import logging
import os
import pathlib
import tempfile
from unittest import mock

import testtools

from foxspread.orchard import log
from foxspread.orchard.node import Node
from foxspread.orchard.settings import FILE_VARIABLE, read, taken

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
        log.start("side-1")
        log.LOGGER.handlers[:] = [logging.StreamHandler(self.lines)]

    def told(self, **changes: object) -> None:
        self.path.write_text(json.dumps({**copy.deepcopy(FILE), **changes}))

    def test_a_change_is_taken_up_and_told_once(self) -> None:
        """Also where a key differs for good that a running process does not take up, as first_start does."""

        async def play() -> None:
            self.told()
            node = Node(read(), asyncio.get_running_loop())
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
                taken({**FILE, **told, "counters": {"control": f"{ip}:8146"}}),
                loop := asyncio.get_running_loop(),
            )
            node.keeper = object()
            with mock.patch.object(node, "_call", mock.AsyncMock()):
                node._dial(loop.time())
            return {place[0] for place, there in node.dialling.of.items() if there.calling}

        self.assertEqual({"127.0.0.2", "127.0.0.3"}, asyncio.run(called("127.0.0.1")))
        self.assertEqual(set(), asyncio.run(called("127.0.0.3")))
        self.assertEqual({"127.0.0.1", "127.0.0.2", "127.0.0.3"}, asyncio.run(called("127.0.0.4")))
