"""The real disk, in a folder of its own: what was told as written is there, what is not sound is not used."""

import os
import queue
import shutil
import sqlite3
import tempfile
from dataclasses import replace
from unittest import mock

from testtools import TestCase

from foxspread.mesh.configuration.items import KEPT, REFUSED, SERVICE, Item
from foxspread.mesh.replication.learner import pack_row, unpack_row
from foxspread.mesh.replication.storage import FILE, Storage, is_older
from foxspread.mesh.replication.acceptor import Saved, Acceptor

MEMBERS = ("a", "b", "c")


def service(name: str) -> Item:
    return Item(SERVICE, name, 1, {"name": name})


class Reopened(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)

    def disk(self) -> Storage:
        self.later: queue.Queue = queue.Queue()
        return Storage(self.folder, self.later.put)

    def opened(self, first: bool = False) -> Saved:
        disk = self.disk()
        saved = disk.open(MEMBERS, first)
        disk.db.close()
        return saved

    def written(self, *steps: list) -> None:
        """By the disk's own thread; returns once it has told that."""
        disk, told = self.disk(), []
        saved = disk.open(MEMBERS, True)
        disk.start()
        for number, writes in enumerate([Acceptor("a", saved).first(), *steps]):
            disk.put(writes, lambda number=number: told.append(number))
        while disk.pending:
            self.later.get(timeout=10)()
        self.assertEqual(list(range(len(steps) + 1)), told)
        disk.db.close()

    def test_what_was_told_as_written_is_there(self) -> None:
        # The whole of what an acceptor writes, read back as an acceptor would be: nothing forgotten by name.
        rows = [pack_row(service("v"), (2, "w"))]
        acceptor = Acceptor("a", Saved((0, "a"), MEMBERS, voting=True, known=True))
        asked = {"b": (3, "w"), "e": 0, "s": (2, "w"), "since": (0, ""), "ahead": rows, "disks": {}}
        accept = acceptor.accept({**asked, "delta": [service("w").packed()]})[0]
        enrol = acceptor.enrol("b", {"disk": (1, "b")})[0]
        self.written(accept, enrol)
        again = Acceptor("a", self.opened())
        for name in ("promised", "accepted", "delta", "disks", "voting", "known", "seeds"):
            self.assertEqual(getattr(acceptor, name), getattr(again, name), name)
        self.assertEqual(vars(acceptor.learner), vars(again.learner))

    def test_what_was_collected_is_gone(self) -> None:
        rows = [pack_row(service(f"s{number}"), (2, "w")) for number in range(600)]
        self.written([("items", rows)], [("drop", [[SERVICE, "s7"], [SERVICE, "none"]])])
        self.assertEqual({each[1] for each in rows} - {"s7"}, {each[1] for each in self.opened().rows})

    def test_a_disk_holds_the_rows_that_its_copy_holds(self) -> None:
        # Whatever is collected, replaced, or refused anew once it was collected, in the same write or later.
        acceptor = Acceptor("a", Saved((0, "a"), MEMBERS, voting=True, known=True))
        committed = [
            [service("v"), Item(SERVICE, "w", 2, None), Item(REFUSED, "r", 1, [409, "x", 3.0])],
            [Item(KEPT, "refused", 1, {"t": 5.0}), Item(REFUSED, "r", 1, [409, "x", 9.0])],
            [Item(REFUSED, "q", 1, [409, "x", 4.0])],
            [Item(KEPT, "dropped", 1, {"floor": 2, "at": [1, "w"]})],
        ]
        steps, held = [], [{}]
        for number, items in enumerate(committed, 1):
            steps.append(acceptor.learn((number, "w"), [(item, (number, "w")) for item in items])[0])
            held.append(dict(acceptor.learner.items))
        self.assertEqual(["v", "refused", "r", "dropped"], [name for _, name in held[-1]])
        steps.append(acceptor.learn((7, "w"), [(service("y"), (6, "w"))], whole=True)[0])
        held.append(dict(acceptor.learner.items))
        for number, items in enumerate(held):
            for name in os.listdir(self.folder):
                os.remove(os.path.join(self.folder, name))
            self.written(*steps[:number])
            self.assertEqual(
                items, {item.key: item for item, _ in map(unpack_row, self.opened().rows)}, number
            )

    def test_starts_are_counted_before_anything_else_is_done(self) -> None:
        # A file put back from before has a start too few, or has forgotten what it told others that it
        # promised; one of an older release begins at the first.
        self.written([("meta", "promised", (3, "w"))])  # its first start
        path, kept = os.path.join(self.folder, FILE), os.path.join(self.folder, "copy")
        shutil.copy(path, kept)
        saved = [self.opened() for _ in range(2)]
        self.assertEqual([2, 3], [each.start_count for each in saved])
        held = [(saved[-1].start_count, saved[-1].promised)]
        self.assertFalse(is_older(4, (3, "w"), held))
        self.assertFalse(is_older(1, (0, ""), []))
        shutil.move(kept, path)
        before = self.opened()
        self.assertEqual((2, True), (before.start_count, is_older(before.start_count, before.promised, held)))
        self.assertTrue(is_older(9, (3, "w"), [(2, (3, "x"))]))
        db = sqlite3.connect(path)
        db.execute("DELETE FROM meta WHERE name = 'boots'")
        db.commit()
        db.close()
        self.assertEqual(1, self.opened().start_count)

    def test_a_damaged_file_counts_as_wiped(self) -> None:
        # Neither half of a promise nor another program's file is voted with.
        def cut_off(path: str) -> None:
            os.truncate(path, 100)

        def overwritten(path: str) -> None:
            with open(path, "r+b") as file:
                file.write(b"\xff" * 4096)

        def changed(path: str) -> None:
            db = sqlite3.connect(path)
            db.execute("UPDATE meta SET body = '[9, \"z\"]' WHERE name = 'promised'")
            db.commit()
            db.close()

        for harm in (cut_off, overwritten, changed):
            for name in os.listdir(self.folder):
                os.remove(os.path.join(self.folder, name))
            self.written([("meta", "promised", (3, "w"))])
            before = self.opened()
            harm(os.path.join(self.folder, FILE))
            after = self.opened(first=True)
            self.assertEqual((False, False, (0, "")), (after.voting, after.known, after.promised), harm)
            self.assertNotEqual(before.disk, after.disk)

    def test_a_disk_that_refuses_to_be_read_is_not_a_damaged_one(self) -> None:
        # Guards against wiping a sound file because another process holds it, or the disk is full or away.
        self.written([("meta", "promised", (3, "w"))])
        before = self.opened()
        codes = (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_IOERR | 1 << 8, sqlite3.SQLITE_FULL)
        for starts, code in enumerate(codes, before.start_count + 1):
            error = sqlite3.OperationalError("refused")
            error.sqlite_errorcode = code
            disk = self.disk()
            sound = disk._connected(os.path.join(self.folder, FILE))
            connected = mock.Mock(side_effect=[error, error, sound])
            with mock.patch.object(disk, "_connected", connected), mock.patch("time.sleep") as slept:
                self.assertEqual(replace(before, start_count=starts), disk.open(MEMBERS, False))
            self.assertEqual(2, slept.call_count)
            disk.db.close()

    def test_a_start_that_can_not_be_counted_is_no_start(self) -> None:
        # Also on a new disk: it waits, and does not stand in its own way with the file that it holds open.
        for first in (True, False):
            disk = self.disk()
            error = sqlite3.OperationalError("refused")
            error.sqlite_errorcode = sqlite3.SQLITE_FULL
            sealed = mock.Mock(side_effect=[error, (b"1", 0)])
            with mock.patch("time.sleep") as slept:
                with mock.patch("foxspread.mesh.replication.storage._seal", sealed):
                    self.assertEqual(1 if first else 2, disk.open(MEMBERS, first).start_count)
            self.assertEqual(1, slept.call_count)
            disk.db.close()
            os.remove(os.path.join(self.folder, FILE))
            if first:
                self.written()

    def test_nothing_is_told_while_the_disk_refuses(self) -> None:
        # The answer waits for the write that it stands on, and for all that was handed over before.
        disk, told = self.disk(), []
        disk.open(MEMBERS, True)
        refusals = iter([False, False, True])
        with mock.patch.object(disk, "_written", lambda writes: next(refusals)), mock.patch("time.sleep"):
            disk.put([("meta", "promised", (1, "w"))], lambda: told.append("promise"))
            disk.put([], lambda: told.append("answer"))
            self.assertEqual([], told)
            disk.start()
            while disk.pending:
                self.later.get(timeout=10)()
        self.assertEqual(["promise", "answer"], told)
        self.assertIsNone(next(refusals, None))
        disk.db.close()
