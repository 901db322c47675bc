"""Holds the bytes between coordinators and on their disks.

tests/data/wire/consensus-messages.json has them as they were recorded on 2026-12-02, before the messages were
renamed. A change here breaks running fleets.
"""

import json
import pathlib
import unittest

from foxspread.consensus import messages
from foxspread.consensus.messages import (
    FORMAT,
    Append,
    Appended,
    AskVote,
    Entry,
    Envelope,
    HandOver,
    Hello,
    Install,
    Installed,
    Known,
    Message,
    Note,
    Objection,
    ReadAsk,
    ReadIs,
    Seat,
    Snapshot,
    Stamp,
    Vote,
    Welcome,
    encoded,
)
from foxspread.consensus.versions import Put, State, Version

RECORDED = pathlib.Path(__file__).parents[1] / "data/wire/consensus-messages.json"
STAMP = Stamp("0123456789abcdef", 3, "a1b2c3d4e5f6", 17, 42, 5)
FIRST = {"c1": Seat("10.0.0.1:8601"), "c2": Seat("10.0.0.2:8601", False, 300)}
KNOWN = {"c2": Known(Stamp("fedcba9876543210", 1, "00ff", 0, 70_000), 300), "c3": Known(STAMP, 0)}
VERSION = Version(7, "d" * 64, b"az = 'a'", 6, "r-7", "ada", "why", 1_700_000_000.25, 2)

MESSAGES: dict[str, list[Message]] = {
    "RequestVote": [
        AskVote(4, 128, 3),
        AskVote(5, 0, 0, pre=True),
        AskVote(70_000, 1 << 33, 69_999, False, True),
    ],
    "RequestVoteReply": [Vote(4, True), Vote(5, False, True)],
    "AppendEntries": [
        Append(4, 10, 3, [], 9, 77),
        Append(4, 10, 3, [Entry(4), Entry(4, b"body"), Entry(4, members=FIRST)], 9, 77, 5, "01ab", KNOWN),
    ],
    "AppendEntriesReply": [Appended(4, True, 12, 77), Appended(4, False, 0, 1)],
    "InstallSnapshot": [
        Install(4, 900, 3, FIRST, 300, 0, b"\0" * 40, False, 78),
        Install(4, 900, 3, {}, 0, 24_576, b"end", True, 79, 300, "01ab"),
    ],
    "InstallSnapshotReply": [Installed(4, 900, 24_576, 78), Installed(5, 0, 0, 0)],
    "TimeoutNow": [HandOver(4), HandOver(1_000)],
    "ReadIndex": [ReadAsk(4, "a1b2c3d4e5f6", 9), ReadAsk(1, "", -3)],
    "ReadIndexReply": [ReadIs(4, "a1b2c3d4e5f6", 9, 300, True), ReadIs(4, "", -3, 0, False)],
    "HostMessage": [Note(4, b"\x93\xa6report"), Note(0, b"")],
    "StorageCheck": [Hello()],
    "StorageCheckReply": [Welcome("a1b2c3d4e5f6"), Welcome("")],
    "StorageRejected": [
        Objection("a1b2", "another disk: wiped, or copied", 300, -1),
        Objection("", "", 0, 5),
    ],
}
STORED: dict[str, list[object]] = {
    "LogEntry": [Entry(4), Entry(4, b"body"), Entry(4, b"", FIRST)],
    "Snapshot": [Snapshot(), Snapshot(900, 3, FIRST, 300, b"data")],
    "ObservedStorage": [{}, KNOWN],
    "PutVersion": [Put("r-7", b"az = 'a'"), Put("r-8", b"", 7, "ada", "why", 1.5, 3)],
    "Version": [VERSION],
    "VersionHistory": [State(0, []), State(7, [VERSION])],
}


def envelope_bytes(message: Message) -> bytes:
    return encoded(Envelope("lab", FORMAT, "c1", "c2", STAMP, message))


def spelled() -> dict[str, list[str]]:
    """Hexadecimal bytes by kind, in the order above; each message in an envelope of its own."""
    sent = {kind: [envelope_bytes(each).hex() for each in each_kind] for kind, each_kind in MESSAGES.items()}
    return sent | {kind: [encoded(each).hex() for each in each_kind] for kind, each_kind in STORED.items()}


class WireBytes(unittest.TestCase):
    def test_each_message_encodes_to_the_recorded_bytes(self) -> None:
        recorded, current = json.loads(RECORDED.read_text()), spelled()
        self.assertEqual(recorded.keys(), current.keys())
        for kind, rows in recorded.items():
            with self.subTest(kind):
                self.assertEqual(rows, current[kind])

    def test_each_recorded_message_decodes_to_the_same_message(self) -> None:
        recorded = json.loads(RECORDED.read_text())
        for kind, sent in MESSAGES.items():
            for message, row in zip(sent, recorded[kind], strict=True):
                with self.subTest(kind, message=message):
                    self.assertEqual(messages.envelope(bytes.fromhex(row), "lab", "c2").message, message)


if __name__ == "__main__":  # records anew; only where the format's version rises with it
    RECORDED.write_text(json.dumps(spelled(), indent=1) + "\n")
