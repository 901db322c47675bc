"""The bytes between the mesh's own processes, as commit d26c70f sent them, are decoded and encoded again.

tests/data/wire/mesh-messages.jsonl holds them, one a line: kind, where it was recorded (real processes of a
local cluster under kills, or simulated fleets with wipes and partitions), and the netstring in base64.
"""

import base64
import json
import pathlib
import unittest
from collections import Counter

from foxspread.mesh.replication import messages as replication
from foxspread.mesh.transport import messages as transport
from foxspread.mesh.transport.netstrings import Decoder, encode

RECORDED = pathlib.Path(__file__).parents[2] / "data" / "wire" / "mesh-messages.jsonl"
KINDS = set(
    "accept accepted beat behind contact contacted enrol enrolled have hello nack news piece prepare promise "
    "pull rows shuffle shuffled stale standing".split()
)
DECODERS = {**transport.DECODERS, **replication.DECODERS}


def reencode(data: bytes) -> bytes:
    """Decodes one message and encodes it again, through the typed codec of its kind."""
    (fields,) = Decoder().feed(data)
    return encode(DECODERS[fields["t"]](fields).packed())


def recorded() -> list[tuple[str, bytes]]:
    """Kind and bytes of each recorded message."""
    rows = [json.loads(line) for line in RECORDED.read_text().splitlines()]
    return [(row["kind"], base64.b64decode(row["data"])) for row in rows]


class RecordedMessages(unittest.TestCase):
    def test_each_is_encoded_to_the_bytes_it_was_decoded_from(self) -> None:
        for number, (kind, data) in enumerate(recorded()):
            with self.subTest(line=number + 1, kind=kind):
                self.assertEqual(data, reencode(data))

    def test_no_kind_has_two_decoders(self) -> None:
        self.assertEqual(set(), transport.DECODERS.keys() & replication.DECODERS.keys())
        self.assertEqual(KINDS, set(DECODERS))

    def test_each_kind_is_recorded(self) -> None:
        self.assertEqual(KINDS, set(Counter(kind for kind, _ in recorded())))


if __name__ == "__main__":
    unittest.main()
