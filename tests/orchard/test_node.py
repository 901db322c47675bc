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
from foxspread.orchard.settings import FILE_VARIABLE, read

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
