"""A replica's storage: one SQLite file with a write-ahead log, to which one thread writes.

The thread syncs many writes at once. Writes are on disk before the callback that was passed with them runs. A
failed write is retried, and no reply of the acceptor is sent meanwhile. A file that is torn, truncated or
foreign is treated like a missing one.

A file that was restored from an older copy is intact, but lacks what was written after the copy. To detect
this, the file counts how often it was opened, and other replicas remember the highest count and the highest
promise that it reported (`is_older_copy`).
"""

import contextlib
import os
import queue
import sqlite3
import threading
import time
import uuid
import zlib
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import orjson

from foxspread.mesh.log import log_event
from foxspread.mesh.replication.learner import ProposalNumber, Row
from foxspread.mesh.replication.stored_state import (
    DISK,
    START_COUNT,
    DeleteRows,
    PutRows,
    RecoveredState,
    SetMeta,
    Write,
)

FILE_NAME = "rootstock.sqlite"
FORMAT_VERSION = "2"
FORMAT_KEY = "format"
RETRY_INTERVAL_S = 0.05  # time until a failed write is retried
ROWS_PER_SLICE = 256  # rows between two points at which the event loop's thread may run
# Errors of the operating system, or because another process has the file open: they do not mean that the file
# is damaged.
TRANSIENT_ERROR_CODES = {
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
PRIMARY_CODE_MASK = 0xFF  # bits of an extended error code of SQLite that hold the primary code


def is_older_copy(
    start_count: int, promised: ProposalNumber, remembered: Iterable[tuple[int, ProposalNumber]]
) -> bool:
    """Tells whether a disk is an older copy of itself.

    `start_count` and `promised` are the disk's values at its start. `remembered` has the highest values that
    other replicas know of a disk with that identity. A lost promise is not detected if no replica that knew
    of it remains.
    """
    return any(start_count < count or promised < highest for count, highest in remembered)


class StorageCorruptedError(Exception):
    """The content of the storage file is damaged or foreign."""


class _Job(NamedTuple):
    writes: list[Write]
    on_written: Callable[[], None]


def _encode_with_checksum(*parts: object) -> tuple[bytes, int]:
    """Returns the last part as JSON, and a checksum over all parts."""
    body = orjson.dumps(parts[-1])
    return body, zlib.crc32(body, zlib.crc32(repr(parts[:-1]).encode()))


def _decode_with_checksum(body: bytes, checksum: int, *key: object) -> Any:
    if zlib.crc32(body, zlib.crc32(repr(key).encode())) != checksum:
        raise StorageCorruptedError(f"wrong checksum of the row with key {key}")
    return orjson.loads(body)


class Storage:
    """The storage file of one replica, and the thread that writes to it."""

    def __init__(self, folder: str, call_in_loop: Callable[[Callable[[], None]], None]) -> None:
        """`call_in_loop` makes a call in the thread of the event loop."""
        self.folder, self.call_in_loop = folder, call_in_loop
        self.jobs: queue.SimpleQueue[_Job] = queue.SimpleQueue()
        self.pending = 0  # jobs whose callback has not run yet
        self.failing_since: float | None = None  # time of the first of the consecutive failures
        self.db: sqlite3.Connection | None = None

    def open(self, members: tuple[str, ...], first_start: bool) -> RecoveredState:
        """Opens the file and returns its content; retries for as long as the disk fails.

        Without an intact file, the state has a new disk identity. It may vote at once only on the
        `first_start` of the whole system.
        """
        while True:
            try:
                os.makedirs(self.folder, exist_ok=True)
                return self._open(os.path.join(self.folder, FILE_NAME), members, first_start)
            except (OSError, sqlite3.OperationalError) as error:
                self._on_disk_error(error)
            time.sleep(RETRY_INTERVAL_S)

    def start(self) -> None:
        """Starts the thread that writes."""
        threading.Thread(target=self._run, daemon=True, name="disk").start()

    def write(self, writes: list[Write], on_written: Callable[[], None]) -> None:
        """Queues writes; calls `on_written` in the event loop once these and all earlier ones are on disk."""
        if not writes and not self.pending:
            return on_written()
        self.pending += 1
        self.jobs.put(_Job(writes, on_written))

    # Opening.

    def _open(self, path: str, members: tuple[str, ...], first_start: bool) -> RecoveredState:
        try:
            self.db = self._connect(path)
            saved = self._read()
            if saved is not None:
                return self._count_start(saved)
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
            if getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK in TRANSIENT_ERROR_CODES:
                raise
            log_event("disk_damaged", file=FILE_NAME, fault=error)
            self._remove_files()
            self.db = self._connect(path)
            first_start = False
        identity = (0 if first_start else 1, uuid.uuid4().hex[:16])
        return self._count_start(
            RecoveredState(identity, members, voting=first_start, members_confirmed=first_start)
        )

    def _remove_files(self) -> None:
        for name in (FILE_NAME, FILE_NAME + "-wal", FILE_NAME + "-journal"):
            if os.path.exists(os.path.join(self.folder, name)):
                os.remove(os.path.join(self.folder, name))

    def _count_start(self, saved: RecoveredState) -> RecoveredState:
        """Counts this start on disk, before the file is used."""
        saved.start_count += 1
        try:
            self._set_meta(START_COUNT, saved.start_count)
        except sqlite3.Error:
            self.db.close()
            raise
        return saved

    def _connect(self, path: str) -> sqlite3.Connection:
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

    def _read(self) -> RecoveredState | None:
        if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
            raise StorageCorruptedError("SQLite's quick_check found damage")
        meta = {
            name: _decode_with_checksum(body, checksum, name)
            for name, body, checksum in self.db.execute("SELECT * FROM meta")
        }
        if DISK not in meta:
            return None
        if meta[FORMAT_KEY] != FORMAT_VERSION:
            raise StorageCorruptedError(f"format is {meta[FORMAT_KEY]!r}, not {FORMAT_VERSION!r}")
        rows = [
            _decode_with_checksum(body, checksum, kind, name)
            for kind, name, body, checksum in self.db.execute("SELECT * FROM items")
        ]
        return RecoveredState.from_stored(meta, rows)

    # Writing, in the storage thread.

    def _run(self) -> None:
        while True:
            jobs = [self.jobs.get()]
            while not self.jobs.empty():
                jobs.append(self.jobs.get())
            writes = [write for job in jobs for write in job.writes]
            while writes and not self._commit(writes):
                time.sleep(RETRY_INTERVAL_S)
            self.call_in_loop(lambda jobs=jobs: self._on_written(jobs))

    def _on_written(self, jobs: list[_Job]) -> None:
        self.pending -= len(jobs)
        for job in jobs:
            job.on_written()

    def _commit(self, writes: list[Write]) -> bool:
        """Writes one transaction; returns False if that failed."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for write in writes:
                self._apply(write)
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            self._on_disk_error(error)
            with contextlib.suppress(sqlite3.Error):  # the transaction may not have begun
                self.db.execute("ROLLBACK")
            return False
        if self.failing_since is not None:
            log_event("disk_writes_again", after=time.monotonic() - self.failing_since)
            self.failing_since = None
        return True

    def _apply(self, write: Write) -> None:
        match write:
            case SetMeta(name, value):
                self._set_meta(name, value)
                if name == DISK:
                    self._set_meta(FORMAT_KEY, FORMAT_VERSION)
            case DeleteRows(keys):
                self.db.executemany("DELETE FROM items WHERE kind = ? AND name = ?", keys)
            case PutRows(rows):
                for start in range(0, len(rows), ROWS_PER_SLICE):
                    self._put_rows(rows[start : start + ROWS_PER_SLICE])

    def _set_meta(self, name: str, value: object) -> None:
        self.db.execute(
            "INSERT OR REPLACE INTO meta VALUES (?, ?, ?)", (name, *_encode_with_checksum(name, value))
        )

    def _put_rows(self, rows: list[Row]) -> None:
        self.db.executemany(
            "INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?)",
            [(row[0], row[1], *_encode_with_checksum(row[0], row[1], row)) for row in rows],
        )
        time.sleep(0)  # lets the event loop's thread run

    def _on_disk_error(self, error: Exception) -> None:
        if self.failing_since is None:
            self.failing_since = time.monotonic()
            log_event("disk_refuses", fault=error)
