"""What a folder must bear: cut at any write, held by another process, of another member, damaged, full."""

import pathlib
import shutil
import sqlite3
import tempfile
import threading
import unittest

from foxspread.consensus.errors import StorageError
from foxspread.consensus.storage import FILE, Storage
from foxspread.consensus.records import (
    LogEntry,
    MemberAddress,
    ObservedStorage,
    Snapshot,
    StorageIdentity,
    StorageWrite,
    StoredState,
)

KNOWN = {"c2": ObservedStorage(StorageIdentity("i2", 1, "r", 0, 5), 0)}
WRITES = [
    StorageWrite(1, 1, "", {}, {}, "", snapshot=Snapshot(members={"c1": MemberAddress("a:1")})),
    StorageWrite(2, 1, "c2", KNOWN, {}, ""),
    StorageWrite(3, 1, "c2", KNOWN, {}, "", 1, [LogEntry(1, b"a"), LogEntry(1, b"b"), LogEntry(1, b"c")]),
    StorageWrite(
        4,
        2,
        "",
        KNOWN,
        {"c9": "i9"},
        "",
        2,
        [LogEntry(2, b"d"), LogEntry(2, members={"c1": MemberAddress("a:1", False, 2)})],
    ),
    StorageWrite(5, 2, "", {}, {}, "", snapshot=Snapshot(2, 2, {"c1": MemberAddress("a:1")}, 0, b"all")),
    StorageWrite(6, 2, "", {}, {}, "", 4, [LogEntry(2, b"e")]),
    StorageWrite(7, 3, "", {}, {}, "barred", snapshot=Snapshot(9, 3, {}, 0, b"more"), keep_log_suffix=False),
    StorageWrite(8, 3, "", {}, {}, "", 10, [LogEntry(3, b"f")]),
]


class Folder(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)

    def disk(self, fleet: str = "lab", member: str = "c1") -> Storage:
        return Storage(self.folder, fleet, member, "identity")

    def put(self, disk: Storage, writes: list[StorageWrite]) -> list[object]:
        """What the disk says, once all are done or one has failed."""
        told, over = [], threading.Event()

        def done(number: int) -> None:
            told.append(number)
            if number == writes[-1].number:
                over.set()

        def failed(why: str) -> None:
            told.append(why)
            over.set()

        disk.on_durable, disk.on_failure = done, failed
        for write in writes:
            disk.write(write)
        if writes:
            self.assertTrue(over.wait(10))
        return told

    def test_it_is_after_each_record_what_the_lab_s_disk_is(self) -> None:
        for count in range(len(WRITES) + 1):
            with self.subTest(count):
                shutil.rmtree(self.folder)
                wanted = StoredState("identity", 2)
                for write in WRITES[:count]:
                    wanted.apply(write)
                disk = self.disk()
                self.assertEqual(disk.open(), StoredState("identity", 1))
                told = self.put(disk, WRITES[:count])
                self.assertEqual(told[-1:], [WRITES[count - 1].number] if count else [])
                disk.close()
                again = self.disk()
                self.assertEqual(again.open(), wanted)
                again.close()

    def test_what_is_not_confirmed_may_be_missing_and_nothing_else(self) -> None:
        """The files as they are at each moment, taken away while it writes: a prefix is there, never a
        hole."""
        disk, kept = self.disk(), []
        disk.open()
        done: list[int] = []
        over = threading.Event()

        def note(number: int) -> None:
            kept.append((number, shutil.copytree(self.folder, tempfile.mkdtemp() + "/copy")))
            done.append(number)
            if number == 8:
                over.set()

        disk.on_durable = note
        for write in WRITES:
            disk.write(write)
        self.assertTrue(over.wait(10))
        disk.close()
        for number, folder in kept:
            wanted = StoredState("identity", 2)
            for write in WRITES[:number]:
                wanted.apply(write)
            copy = Storage(folder, "lab", "c1", "x")
            self.assertEqual(copy.open(), wanted)
            copy.close()
            shutil.rmtree(pathlib.Path(folder).parent)

    def test_refused_by_name_and_left_as_it_was(self) -> None:
        disk = self.disk()
        disk.open()
        with self.assertRaisesRegex(StorageError, "another process uses it"):
            self.disk().open()
        self.put(disk, WRITES[:3])
        disk.close()
        with self.assertRaisesRegex(StorageError, "its member is 'c1', not 'c2'"):
            self.disk(member="c2").open()
        with self.assertRaisesRegex(StorageError, "its fleet is 'lab', not 'other'"):
            self.disk("other").open()
        file = pathlib.Path(self.folder, FILE)
        for statement, text in (
            ("DELETE FROM log WHERE place = 2", "its log has a hole"),
            ("UPDATE state SET value = x'02' WHERE key = 'format'", "its format is 2, not 1"),
            ("DELETE FROM state WHERE key = 'term'", "term is missing"),
        ):
            with self.subTest(text):
                sound = file.read_bytes()
                with sqlite3.connect(file) as database:
                    database.execute(statement)
                database.close()
                with self.assertRaisesRegex(StorageError, text):
                    self.disk().open()
                for each in pathlib.Path(self.folder).iterdir():
                    each.unlink()
                file.write_bytes(sound)
        file.write_bytes(b"not a database" * 100)
        with self.assertRaisesRegex(StorageError, "not a database"):
            self.disk().open()
        self.assertEqual(file.read_bytes()[:14], b"not a database")
        with self.assertRaises(StorageError):
            Storage("/proc/nowhere", "lab", "c1", "x").open()

    def test_a_write_that_failed_is_final(self) -> None:
        disk = self.disk()
        disk.open()
        self.put(disk, WRITES[:2])

        def fail() -> None:
            raise sqlite3.OperationalError("disk I/O error")

        disk.sync = fail
        self.assertEqual(self.put(disk, WRITES[2:3]), ["disk I/O error"])
        del disk.sync
        disk.on_durable = lambda number: self.fail("it goes on to write")
        disk.write(WRITES[3])
        disk.thread.join(10)
        self.assertFalse(disk.thread.is_alive())
        disk.database.close()
        wanted = StoredState("identity", 2)
        for write in WRITES[:2]:
            wanted.apply(write)
        again = self.disk()
        self.assertEqual(again.open(), wanted)
        again.close()
