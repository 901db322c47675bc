"""What a coordinator keeps: term, vote, log, snapshot and the disk's identity, in SQLite (WAL,
synchronous=FULL).

All writes are made by one thread, those that have gathered in one transaction, so the loop never waits for a
disk. A write that failed is never tried again nor taken as done: the thread says why, and writes no more.
The folder is held by one process at a time. An unknown format, another member's folder or a damaged file are
refused by name at the start, and stay as they are.
"""

import os
import pathlib
import queue
import sqlite3
import threading
import time
from collections.abc import Callable

import msgspec

from foxspread.consensus.messages import FORMAT, Entry, Known, Members, Saved, Snapshot, Write, encoded

FILE = "coordinator.sqlite"
TABLES = """
CREATE TABLE state (key TEXT PRIMARY KEY, value BLOB NOT NULL);
CREATE TABLE log (place INTEGER PRIMARY KEY, entry BLOB NOT NULL);
"""


class DiskError(Exception):
    """The folder can't be used; the text says why."""


class Disk:
    """`done(number)` and `failed(why)` are called from the disk's thread."""

    def __init__(self, folder: str, fleet: str, member: str, identity: str) -> None:
        self.folder, self.fleet, self.member, self.identity = pathlib.Path(folder), fleet, member, identity
        self.done: Callable[[int], None] = lambda number: None
        self.failed: Callable[[str], None] = lambda why: None
        self.database: sqlite3.Connection | None = None
        self.writes: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.commits, self.records, self.seconds, self.slowest = 0, 0, 0.0, 0.0
        self.base = 0

    # Start

    def open(self) -> Saved:
        """What the folder holds, with this start counted on disk. Raises `DiskError`; the folder stays as it
        is."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.database = sqlite3.connect(
                self.folder / FILE, timeout=0.0, isolation_level=None, check_same_thread=False
            )
            # two processes on one folder would both vote
            self.database.execute("PRAGMA locking_mode=EXCLUSIVE")
            self.database.execute("PRAGMA journal_mode=WAL")
            self.database.execute("PRAGMA synchronous=FULL")
            self.database.execute("BEGIN EXCLUSIVE")
            new = not self.database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
            if new:
                for statement in TABLES.split(";")[:-1]:
                    self.database.execute(statement)
                self._keep(
                    format=FORMAT,
                    fleet=self.fleet,
                    member=self.member,
                    identity=self.identity,
                    generation=0,
                    count=0,
                    term=0,
                    vote="",
                    barred="",
                    seat=-1,
                    known={},
                    retired={},
                    snapshot=Snapshot(),
                )
            saved = self._read()
            self._keep(generation=saved.generation)
            self.database.execute("COMMIT")
        except DiskError:
            self._let_go()
            raise
        except sqlite3.OperationalError as error:
            self._let_go()
            locked = "another process uses it" if "locked" in str(error) else str(error)
            raise DiskError(f"{self.folder}: {locked}") from None
        except (sqlite3.DatabaseError, msgspec.DecodeError, OSError) as error:
            self._let_go()
            raise DiskError(f"{self.folder}: {error}") from None
        self._sync_folder()
        self.base = saved.snapshot.index
        self.thread.start()
        return saved

    def _let_go(self) -> None:
        """What was begun is undone: the folder is as it was, and free for another process."""
        if self.database is not None:
            self.database.close()

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _keep(self, **values: object) -> None:
        self.database.executemany(
            "REPLACE INTO state VALUES (?, ?)", [(key, encoded(value)) for key, value in values.items()]
        )

    def _value(self, key: str, kind: type) -> object:
        row = self.database.execute("SELECT value FROM state WHERE key = ?", (key,)).fetchone()
        if row is None:
            raise DiskError(f"{self.folder}: {key} is missing")
        return msgspec.msgpack.decode(row[0], type=kind)

    def _read(self) -> Saved:
        for key, wanted in (("format", FORMAT), ("fleet", self.fleet), ("member", self.member)):
            if (found := self._value(key, type(wanted))) != wanted:
                raise DiskError(f"{self.folder}: its {key} is {found!r}, not {wanted!r}")
        snapshot = self._value("snapshot", Snapshot)
        rows = self.database.execute("SELECT place, entry FROM log ORDER BY place").fetchall()
        if [place for place, _ in rows] != list(range(snapshot.index + 1, snapshot.index + 1 + len(rows))):
            raise DiskError(f"{self.folder}: its log has a hole")
        return Saved(
            self._value("identity", str),
            self._value("generation", int) + 1,
            self._value("count", int),
            self._value("term", int),
            self._value("vote", str),
            self._value("known", dict[str, Known]),
            self._value("retired", dict[str, str]),
            self._value("barred", str),
            self._value("seat", int),
            snapshot,
            [msgspec.msgpack.decode(entry, type=Entry) for _, entry in rows],
        )

    # Writes

    def put(self, write: Write) -> None:
        self.writes.put(write)

    def _run(self) -> None:
        while (write := self.writes.get()) is not None:
            group = [write]
            while not self.writes.empty() and len(group) < 256:
                group.append(self.writes.get())
            ends = group[-1] is None
            try:
                self.commit([each for each in group if each is not None])
            except (sqlite3.Error, OSError) as error:
                self.failed(str(error))
                return
            if ends:
                break
        self.database.close()

    def commit(self, group: list[Write]) -> None:
        if not group:
            return
        begun = time.monotonic()
        self.database.execute("BEGIN")
        for write in group:
            if write.snapshot is not None:
                self.base = write.snapshot.index
                self._keep(snapshot=write.snapshot)
                self.database.execute(
                    "DELETE FROM log" + (" WHERE place <= ?" if write.kept else ""),
                    (self.base,) if write.kept else (),
                )
            if write.first:
                self.database.execute("DELETE FROM log WHERE place >= ?", (write.first,))
                self.database.executemany(
                    "INSERT INTO log VALUES (?, ?)",
                    [(at, encoded(each)) for at, each in enumerate(write.entries, write.first)],
                )
        last = group[-1]
        count = self._value("count", int) + len(group)
        self._keep(
            term=last.term,
            vote=last.vote,
            known=last.known,
            retired=last.retired,
            barred=last.barred,
            seat=last.seat,
            count=count,
        )
        self.sync()
        took = time.monotonic() - begun
        self.commits, self.records, self.seconds = (
            self.commits + 1,
            self.records + len(group),
            self.seconds + took,
        )
        self.slowest = max(self.slowest, took)
        self.done(last.number)

    def sync(self) -> None:
        self.database.execute("COMMIT")  # with synchronous=FULL it returns after the fsync

    def close(self) -> None:
        self.writes.put(None)
        if self.thread.is_alive():
            self.thread.join(5.0)


def members_of(saved: Saved) -> Members:
    """For people: whom the folder names."""
    return next(
        (each.members for each in reversed(saved.entries) if each.members is not None), saved.snapshot.members
    )
