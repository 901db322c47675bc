"""A coordinator's folder that commit d26c70f wrote: later code reads all of it, whole or with a write-ahead
log (WAL) that is cut off or damaged. make_stored_data.py wrote it and coordinator-expected.json.
"""

import json
import pathlib
import shutil
import sqlite3
import tempfile
import unittest
from typing import Any

import msgspec

from foxspread.consensus.errors import StorageError
from foxspread.consensus.records import StoredState
from foxspread.consensus.storage import Storage
from tests.write_ahead_log import change_byte

STORED = pathlib.Path(__file__).parents[1] / "data" / "stored"
FOLDER = "coordinator"
DATABASE = "coordinator.sqlite"
WAL = DATABASE + "-wal"
STATEMENTS = {
    "a hole in the log": "UPDATE log SET place = 6 WHERE place = 5",
    "another format": "UPDATE state SET value = x'02' WHERE key = 'format'",
    "no term": "DELETE FROM state WHERE key = 'term'",
}
FLEET, MEMBER = "lab", "c1"


def read_coordinator(folder: pathlib.Path, fleet: str = FLEET, member: str = MEMBER) -> dict[str, Any] | str:
    """All that a coordinator finds in its folder, or why it refuses it. This and `as_json` are all here that
    names the code under test."""
    disk = Storage(str(folder), fleet, member, "identity of a new disk")
    try:
        saved = disk.open()
    except StorageError as error:
        return str(error).replace(str(folder), FOLDER)
    disk.close()
    return as_json(saved)


def as_json(saved: StoredState) -> dict[str, Any]:
    """By names that stay, whatever the code calls them; records are told by position, bytes as base64."""
    return msgspec.to_builtins(
        {
            "identity": saved.disk_id,
            "starts": saved.generation,
            "writes": saved.writes,
            "term": saved.term,
            "vote": saved.voted_for,
            "disks_known": saved.observed_storage,
            "disks_retired": saved.removed_disks,
            "barred": saved.barred_reason,
            "seat": saved.member_added_at,
            "snapshot": saved.snapshot,
            "log": saved.entries,
        }
    )


class StoredData(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.expected = json.loads((STORED / "coordinator-expected.json").read_text())[FOLDER]
        self.scratch = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.scratch)

    def copy(self) -> pathlib.Path:
        shutil.rmtree(self.scratch)
        return pathlib.Path(shutil.copytree(STORED / FOLDER, self.scratch))

    def state(self, number: str) -> Any:
        """`number`: of whole transactions in the log; any other text is why the folder is refused."""
        return self.expected["states"].get(number, number)

    def test_all_is_read_back(self) -> None:
        self.assertEqual(self.expected["whole"], read_coordinator(self.copy()))

    def test_the_next_start_reads_the_same_and_counts_one_more(self) -> None:
        folder = self.copy()
        first, second = read_coordinator(folder), read_coordinator(folder)
        self.assertEqual({**first, "starts": first["starts"] + 1}, second)

    def test_a_log_cut_off_anywhere_reads_as_the_last_whole_transaction_before(self) -> None:
        for cut in self.expected["cuts"]:
            with self.subTest(**cut):
                folder = self.copy()
                (folder / WAL).write_bytes((folder / WAL).read_bytes()[: cut["at"]])
                self.assertEqual(self.state(cut["state"]), read_coordinator(folder))

    def test_a_log_with_one_byte_changed_reads_as_the_last_sound_transaction_before(self) -> None:
        for change in self.expected["changed_bytes"]:
            with self.subTest(**change):
                folder = self.copy()
                change_byte(folder / WAL, change["at"])
                self.assertEqual(self.state(change["state"]), read_coordinator(folder))

    def test_a_database_that_lost_its_log_or_is_damaged_is_read_or_refused_as_before(self) -> None:
        for damage in self.expected["damages"]:
            with self.subTest(**damage):
                folder = self.copy()
                damaged(folder, damage["kind"])
                self.assertEqual(self.state(damage["state"]), read_coordinator(folder))

    def test_a_refused_folder_stays_as_it_was(self) -> None:
        for damage in self.expected["damages"]:
            if damage["state"] in self.expected["states"]:
                continue
            with self.subTest(**damage):
                folder = self.copy()
                damaged(folder, damage["kind"])
                before = (folder / DATABASE).read_bytes()
                read_coordinator(folder)
                self.assertEqual(before, (folder / DATABASE).read_bytes())

    def test_the_folder_of_another_member_or_fleet_is_refused_by_name(self) -> None:
        for case in self.expected["strangers"]:
            with self.subTest(**case):
                self.assertEqual(
                    case["refused"], read_coordinator(self.copy(), case["fleet"], case["member"])
                )


def damaged(folder: pathlib.Path, kind: str) -> None:
    """Harm to the database file, by the kinds that coordinator-expected.json names; its log is lost too."""
    (folder / WAL).unlink()
    database = folder / DATABASE
    data = database.read_bytes()
    if kind == "database header overwritten":
        database.write_bytes(b"\xff" * 100 + data[100:])
    elif kind == "database cut to half":
        database.write_bytes(data[: len(data) // 2])
    elif kind in STATEMENTS:
        connection = sqlite3.connect(database)
        connection.execute(STATEMENTS[kind])
        connection.commit()
        connection.close()
    elif kind != "log lost":
        raise ValueError(kind)
