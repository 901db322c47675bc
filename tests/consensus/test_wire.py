import unittest

from foxspread.consensus import wire
from foxspread.consensus.errors import ForeignMessageError
from foxspread.consensus.messages import Envelope, StorageCheck
from foxspread.consensus.records import StorageIdentity
from foxspread.consensus.wire import FORMAT, encode

STORAGE = StorageIdentity("other", 1, "run", 0, 0)


def encoded_envelope(fleet: str = "lab", message_format: int = FORMAT, recipient: str = "c1") -> bytes:
    return encode(Envelope(fleet, message_format, "c2", recipient, STORAGE, StorageCheck()))


class Decoding(unittest.TestCase):
    def test_an_envelope_for_this_node_is_read_back(self) -> None:
        expected = Envelope("lab", FORMAT, "c2", "c1", STORAGE, StorageCheck())
        self.assertEqual(wire.decode_for(encode(expected), "lab", "c1"), expected)

    def test_a_foreign_message_is_refused_by_what_is_foreign_in_it(self) -> None:
        for data, text in (
            (encoded_envelope(fleet="x"), "fleet 'x', this one is 'lab'"),
            (encoded_envelope(message_format=9), "format 9, this member speaks 1"),
            (encoded_envelope(recipient="c3"), "addressed to 'c3'"),
            (encode(["lab", FORMAT, "c2", "c1", 3]), "can't be read"),
            (b"\xc1garbage", "no message of ours"),
            (b"", "no message of ours"),
            (encode(3), "no message of ours"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ForeignMessageError, text):
                wire.decode_for(data, "lab", "c1")
