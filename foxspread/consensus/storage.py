"""The durable state of a coordinator: term, vote, log, snapshot and the disk's identity, in SQLite.

SQLite runs in WAL mode with synchronous=FULL, so a commit returns after fsync. A thread of its own does all
writes and commits queued ones together in one transaction, so the event loop never waits for the disk. A
failed write is neither retried nor regarded as durable, since the state of a file is unknown after a failed
fsync. One process at a time can open the folder. Opening fails, and changes nothing, if the folder belongs to
another format, cluster or member, or is damaged.
"""

import os
import pathlib
import queue
import sqlite3
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from foxspread.consensus.errors import StorageCorruptedError, StorageError
from foxspread.consensus.records import (
    LogEntry,
    Members,
    ObservedStorage,
    Snapshot,
    StorageWrite,
    StoredState,
)
from foxspread.consensus.wire import FORMAT, encode

T = TypeVar("T")

DATABASE_FILE = "coordinator.sqlite"
MAX_WRITES_PER_COMMIT = 256  # bounds the time until the first of these writes is confirmed
CLOSE_TIMEOUT_S = 5.0  # for the last commit at the end of the process

# The schema and the keys of `state` are the format on disk, so their spelling is fixed.
SCHEMA = """
CREATE TABLE state (key TEXT PRIMARY KEY, value BLOB NOT NULL);
CREATE TABLE log (place INTEGER PRIMARY KEY, entry BLOB NOT NULL);
"""
KEY_FORMAT = "format"
KEY_FLEET = "fleet"
KEY_MEMBER = "member"
KEY_DISK_ID = "identity"
KEY_GENERATION = "generation"
KEY_WRITES = "count"
KEY_TERM = "term"
KEY_VOTED_FOR = "vote"
KEY_BARRED_REASON = "barred"
KEY_MEMBER_ADDED_AT = "seat"
KEY_OBSERVED_STORAGE = "known"
KEY_REMOVED_DISKS = "retired"
KEY_SNAPSHOT = "snapshot"


class Storage:
    """The data folder of one coordinator.

    The disk thread calls `on_durable` with the number of the last write of each commit, and `on_failure`
    with the reason after a failed write, which is its last call.
    """

    def __init__(self, folder: str, fleet: str, member: str, disk_id: str) -> None:
        """`disk_id` becomes the id of an empty folder; a folder with data keeps the id that it has."""
        self.folder, self.fleet, self.member, self.disk_id = pathlib.Path(folder), fleet, member, disk_id
        self.on_durable: Callable[[int], None] = lambda number: None
        self.on_failure: Callable[[str], None] = lambda reason: None
        self._connection: sqlite3.Connection | None = None
        self.write_queue: queue.SimpleQueue[StorageWrite | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run_disk_thread, name="disk", daemon=True)
        self.commit_count, self.write_count = 0, 0
        self.total_commit_s, self.slowest_commit_s = 0.0, 0.0
        self.snapshot_index = 0

    # Start

    def open(self) -> StoredState:
        """Reads the folder, and counts this start in it. Raises `StorageError`, and then changes nothing."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._connect()
            stored = self._start_generation()
        except StorageError:
            self._close_database()
            raise
        except sqlite3.OperationalError as error:
            self._close_database()
            reason = "another process uses this folder" if "locked" in str(error) else str(error)
            raise StorageError(f"{self.folder}: {reason}") from None
        except OSError as error:
            self._close_database()
            raise StorageError(f"{self.folder}: {error}") from None
        except (sqlite3.DatabaseError, msgspec.DecodeError) as error:
            self._close_database()
            raise StorageCorruptedError(f"{self.folder}: {error}") from None
        self._sync_folder()
        self.snapshot_index = stored.snapshot.index
        self.thread.start()
        return stored

    @property
    def database(self) -> sqlite3.Connection:
        """The database connection; available once the folder is open."""
        if self._connection is None:
            raise StorageError(f"{self.folder}: the folder is not open")
        return self._connection

    def _connect(self) -> None:
        self._connection = sqlite3.connect(
            self.folder / DATABASE_FILE, timeout=0.0, isolation_level=None, check_same_thread=False
        )
        self.database.execute("PRAGMA locking_mode=EXCLUSIVE")  # two processes on one folder would both vote
        self.database.execute("PRAGMA journal_mode=WAL")
        self.database.execute("PRAGMA synchronous=FULL")

    def _start_generation(self) -> StoredState:
        """Reads the state, after creating it in an empty folder, and stores the incremented generation."""
        self.database.execute("BEGIN EXCLUSIVE")
        if not self.database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
            self._initialize()
        stored = self._read_state()
        self._set_state({KEY_GENERATION: stored.generation})
        self.database.execute("COMMIT")
        return stored

    def _initialize(self) -> None:
        for statement in SCHEMA.split(";")[:-1]:
            self.database.execute(statement)
        empty = StoredState(self.disk_id, 0)
        self._set_state(
            {
                KEY_FORMAT: FORMAT,
                KEY_FLEET: self.fleet,
                KEY_MEMBER: self.member,
                KEY_DISK_ID: empty.disk_id,
                KEY_GENERATION: empty.generation,
                KEY_WRITES: empty.writes,
                KEY_TERM: empty.term,
                KEY_VOTED_FOR: empty.voted_for,
                KEY_BARRED_REASON: empty.barred_reason,
                KEY_MEMBER_ADDED_AT: empty.member_added_at,
                KEY_OBSERVED_STORAGE: empty.observed_storage,
                KEY_REMOVED_DISKS: empty.removed_disks,
                KEY_SNAPSHOT: empty.snapshot,
            }
        )

    def _close_database(self) -> None:
        """Rolls back the open transaction, and releases the folder for other processes."""
        if self._connection is not None:
            self._connection.close()

    def _sync_folder(self) -> None:
        """Makes the directory entries of new files durable; SQLite syncs only the files' content."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _set_state(self, values: dict[str, object]) -> None:
        self.database.executemany(
            "REPLACE INTO state VALUES (?, ?)", [(key, encode(value)) for key, value in values.items()]
        )

    def _get_state(self, key: str, value_type: type[T]) -> T:
        row = self.database.execute("SELECT value FROM state WHERE key = ?", (key,)).fetchone()
        if row is None:
            raise StorageCorruptedError(f"{self.folder}: key '{key}' is missing in table 'state'")
        return msgspec.msgpack.decode(row[0], type=value_type)

    def _read_state(self) -> StoredState:
        for key, expected in ((KEY_FORMAT, FORMAT), (KEY_FLEET, self.fleet), (KEY_MEMBER, self.member)):
            if (actual := self._get_state(key, type(expected))) != expected:
                raise StorageError(f"{self.folder}: the folder's {key} is {actual!r}, expected {expected!r}")
        snapshot = self._get_state(KEY_SNAPSHOT, Snapshot)
        return StoredState(
            self._get_state(KEY_DISK_ID, str),
            self._get_state(KEY_GENERATION, int) + 1,
            self._get_state(KEY_WRITES, int),
            self._get_state(KEY_TERM, int),
            self._get_state(KEY_VOTED_FOR, str),
            self._get_state(KEY_OBSERVED_STORAGE, dict[str, ObservedStorage]),
            self._get_state(KEY_REMOVED_DISKS, dict[str, str]),
            self._get_state(KEY_BARRED_REASON, str),
            self._get_state(KEY_MEMBER_ADDED_AT, int),
            snapshot,
            self._read_entries(snapshot.index + 1),
        )

    def _read_entries(self, first_index: int) -> list[LogEntry]:
        rows = self.database.execute("SELECT place, entry FROM log ORDER BY place").fetchall()
        if [index for index, _ in rows] != list(range(first_index, first_index + len(rows))):
            raise StorageCorruptedError(f"{self.folder}: the log has missing entries")
        return [msgspec.msgpack.decode(entry, type=LogEntry) for _, entry in rows]

    # Writes

    def write(self, write: StorageWrite) -> None:
        """Queues a write; returns at once."""
        self.write_queue.put(write)

    def _run_disk_thread(self) -> None:
        """Commits queued writes in batches until a None is taken from the queue, or a write fails."""
        while (write := self.write_queue.get()) is not None:
            batch = [write]
            while not self.write_queue.empty() and len(batch) < MAX_WRITES_PER_COMMIT:
                batch.append(self.write_queue.get())
            closing = batch[-1] is None
            try:
                self.commit_writes([each for each in batch if each is not None])
            except (sqlite3.Error, OSError) as error:
                self.on_failure(str(error))
                return
            if closing:
                break
        self.database.close()

    def commit_writes(self, batch: list[StorageWrite]) -> None:
        """Makes writes durable in one transaction, and reports the number of the last one."""
        if not batch:
            return
        started_at = time.monotonic()
        self.database.execute("BEGIN")
        for write in batch:
            self._write_log(write)
        self._write_state(batch[-1], len(batch))
        self.commit_transaction()
        elapsed_s = time.monotonic() - started_at
        self.commit_count, self.write_count = self.commit_count + 1, self.write_count + len(batch)
        self.total_commit_s, self.slowest_commit_s = (
            self.total_commit_s + elapsed_s,
            max(self.slowest_commit_s, elapsed_s),
        )
        self.on_durable(batch[-1].number)

    def _write_log(self, write: StorageWrite) -> None:
        if write.snapshot is not None:
            self.snapshot_index = write.snapshot.index
            self._set_state({KEY_SNAPSHOT: write.snapshot})
            if write.keep_log_suffix:
                self.database.execute("DELETE FROM log WHERE place <= ?", (self.snapshot_index,))
            else:
                self.database.execute("DELETE FROM log")
        if write.first_index:
            self.database.execute("DELETE FROM log WHERE place >= ?", (write.first_index,))
            self.database.executemany(
                "INSERT INTO log VALUES (?, ?)",
                [(index, encode(entry)) for index, entry in enumerate(write.entries, write.first_index)],
            )

    def _write_state(self, last: StorageWrite, count: int) -> None:
        """Stores the state of the last write, which supersedes that of the earlier ones."""
        self._set_state(
            {
                KEY_TERM: last.term,
                KEY_VOTED_FOR: last.voted_for,
                KEY_OBSERVED_STORAGE: last.observed_storage,
                KEY_REMOVED_DISKS: last.removed_disks,
                KEY_BARRED_REASON: last.barred_reason,
                KEY_MEMBER_ADDED_AT: last.member_added_at,
                KEY_WRITES: self._get_state(KEY_WRITES, int) + count,
            }
        )

    def commit_transaction(self) -> None:
        """Commits the transaction; with synchronous=FULL this returns after fsync."""
        self.database.execute("COMMIT")

    def close(self) -> None:
        """Makes queued writes durable, then closes the folder."""
        self.write_queue.put(None)
        if self.thread.is_alive():
            self.thread.join(CLOSE_TIMEOUT_S)


def latest_members(stored: StoredState) -> Members:
    """Returns the latest members in a stored log or its snapshot, committed or not."""
    return next(
        (entry.members for entry in reversed(stored.entries) if entry.members is not None),
        stored.snapshot.members,
    )
