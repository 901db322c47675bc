"""The acceptor's disk: one SQLite file, written by one thread, many messages to a sync. What is handed over
together with what is to follow it is written and synced first. A disk that refuses a write is asked again,
and nothing goes out meanwhile; a file that is torn, cut off or not ours counts as none.

A file that was copied and put back later is sound, and has forgotten what came between. It counts its own
starts; others hold the highest count, and the highest ballot promised, that its disk has told them (`older`).
"""

import os
import queue
import sqlite3
import threading
import time
import uuid
import zlib
from collections.abc import Callable, Iterable

import orjson

from foxspread.mesh.log import log_event
from foxspread.mesh.replication.acceptor import Saved, Write
from foxspread.mesh.replication.learner import ProposalNumber

FILE = "rootstock.sqlite"
FORMAT = "2"
AGAIN_S = 0.05  # after a write that the disk refused
SLICE = 256  # rows that are made ready for the disk at a time: the loop goes on between
REFUSED = {  # by the system, or held by another process: that says nothing against the file
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_PERM,
    sqlite3.SQLITE_NOMEM,
    sqlite3.SQLITE_PROTOCOL,
}


def is_older(start_count: int, promised: ProposalNumber, held: Iterable[tuple[int, ProposalNumber]]) -> bool:
    """Whether a disk is a copy from before. `boots` and `promised`: what it tells of itself at its start;
    `held`: the highest of both that others have heard from a disk of that identity. A ballot that it has told
    nobody who is left can't be missed by this."""
    return any(start_count < others_boots or promised < others for others_boots, others in held)


class StorageCorruptedError(Exception):
    """What lies there can't be trusted."""


def _seal(*parts: object) -> tuple[bytes, int]:
    body = orjson.dumps(parts[-1])
    return body, zlib.crc32(body, zlib.crc32(repr(parts[:-1]).encode()))


def _unseal(body: bytes, seal: int, *before: object) -> object:
    if zlib.crc32(body, zlib.crc32(repr(before).encode())) != seal:
        raise StorageCorruptedError(f"checksum of {before}")
    return orjson.loads(body)


class Storage:
    def __init__(self, folder: str, later: Callable[[Callable[[], None]], None]) -> None:
        """`later` has a call made in the thread of the loop."""
        self.folder, self.later = folder, later
        self.jobs: queue.SimpleQueue = queue.SimpleQueue()
        self.pending = 0  # handed over, not yet told as written
        self.troubled_since: float | None = None
        self.db: sqlite3.Connection | None = None

    def open(self, members: tuple[str, ...], first: bool) -> Saved:
        """What is there; with nothing there, or nothing sound, a new identity, which votes at once only on
        the first start of the whole system."""
        while True:
            try:
                os.makedirs(self.folder, exist_ok=True)
                return self._found(os.path.join(self.folder, FILE), members, first)
            except (OSError, sqlite3.OperationalError) as error:
                self._troubled(error)
            time.sleep(AGAIN_S)

    def _found(self, path: str, members: tuple[str, ...], first: bool) -> Saved:
        try:
            self.db = self._connected(path)
            saved = self._read()
            if saved is not None:
                return self._booted(saved)
        except (
            StorageCorruptedError,
            sqlite3.DatabaseError,
            orjson.JSONDecodeError,
            KeyError,
            IndexError,
            TypeError,
        ) as error:
            if self.db is not None:
                self.db.close()
            if getattr(error, "sqlite_errorcode", 0) & 0xFF in REFUSED:
                raise
            log_event("disk_damaged", file=FILE, fault=error)
            for name in (FILE, FILE + "-wal", FILE + "-journal"):
                if os.path.exists(os.path.join(self.folder, name)):
                    os.remove(os.path.join(self.folder, name))
            self.db = self._connected(path)
            first = False
        identity = (0 if first else 1, uuid.uuid4().hex[:16])
        return self._booted(Saved(identity, members, voting=first, known=first))

    def _booted(self, saved: Saved) -> Saved:
        """One start more, and that is on disk before anything else is done."""
        saved.start_count += 1
        try:
            self.db.execute(
                "INSERT OR REPLACE INTO meta VALUES (?, ?, ?)", ("boots", *_seal("boots", saved.start_count))
            )
        except sqlite3.Error:
            self.db.close()
            raise
        return saved

    def _connected(self, path: str) -> sqlite3.Connection:
        db = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, body BLOB, seal INT)")
        db.execute(
            "CREATE TABLE IF NOT EXISTS items (kind TEXT, name TEXT, body BLOB, seal INT,"
            " PRIMARY KEY (kind, name))"
        )
        return db

    def _read(self) -> Saved | None:
        if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
            raise StorageCorruptedError("quick_check")
        meta = {name: _unseal(body, seal, name) for name, body, seal in self.db.execute("SELECT * FROM meta")}
        if "disk" not in meta:
            return None
        if meta["format"] != FORMAT:
            raise StorageCorruptedError(f"format {meta['format']!r}")
        rows = [
            _unseal(body, seal, kind, name)
            for kind, name, body, seal in self.db.execute("SELECT * FROM items")
        ]
        return Saved.found(meta, rows)

    def start(self) -> None:
        threading.Thread(target=self._run, daemon=True, name="disk").start()

    def put(self, writes: list[Write], then: Callable[[], None]) -> None:
        """`then` is called once these, and all that was put before, are on disk."""
        if not writes and not self.pending:
            return then()
        self.pending += 1
        self.jobs.put((writes, then))

    def _run(self) -> None:
        while True:
            jobs = [self.jobs.get()]
            while not self.jobs.empty():
                jobs.append(self.jobs.get())
            writes = [write for job in jobs for write in job[0]]
            while writes and not self._written(writes):
                time.sleep(AGAIN_S)
            self.later(lambda jobs=jobs: self._told(jobs))

    def _told(self, jobs: list) -> None:
        self.pending -= len(jobs)
        for _, then in jobs:
            then()

    def _written(self, writes: list[Write]) -> bool:
        db = self.db
        try:
            db.execute("BEGIN IMMEDIATE")
            for write in writes:
                if write[0] == "meta":
                    db.execute(
                        "INSERT OR REPLACE INTO meta VALUES (?, ?, ?)",
                        (write[1], *_seal(write[1], write[2])),
                    )
                    if write[1] == "disk":
                        db.execute(
                            "INSERT OR REPLACE INTO meta VALUES (?, ?, ?)",
                            ("format", *_seal("format", FORMAT)),
                        )
                elif write[0] == "drop":
                    db.executemany("DELETE FROM items WHERE kind = ? AND name = ?", write[1])
                else:
                    for start in range(0, len(write[1]), SLICE):
                        self._keep(write[1][start : start + SLICE])
            db.execute("COMMIT")
        except sqlite3.Error as error:
            self._troubled(error)
            try:
                db.execute("ROLLBACK")
            except sqlite3.Error:
                pass  # nothing was begun
            return False
        if self.troubled_since is not None:
            log_event("disk_writes_again", after=time.monotonic() - self.troubled_since)
            self.troubled_since = None
        return True

    def _keep(self, rows: list) -> None:
        """One slice of a transaction: all of it, with what says that it is settled, is there or nothing."""
        self.db.executemany(
            "INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?)",
            [(row[0], row[1], *_seal(row[0], row[1], row)) for row in rows],
        )
        time.sleep(0)

    def _troubled(self, error: Exception) -> None:
        if self.troubled_since is None:
            self.troubled_since = time.monotonic()
            log_event("disk_refuses", fault=error)
