"""Links: a peer that reads too slowly, and what it can make us hold."""

import testtools

from foxspread.mesh.configuration.items import SERVICE, Item
from foxspread.mesh.transport.peer_connection import WRITE_BUFFER_LIMIT_BYTES, PeerConnection
from foxspread.mesh.transport.netstrings import MOST, Decoder
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer
from foxspread.mesh.replication.learner import PIECE_BYTES, Learner


class Stuck:
    """A transport whose peer reads nothing."""

    def __init__(self):
        self.held, self.aborted = b"", False

    def write(self, data):
        self.held += data

    def get_write_buffer_size(self):
        return len(self.held)

    def abort(self):
        self.aborted = True


class SlowReader(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ended = []
        self.connection = PeerConnection(
            lambda: 0.0, lambda connection: None, lambda connection, message: None, self.ended.append
        )
        self.transport = Stuck()
        self.connection.connection_made(self.transport)

    def test_it_is_left_once_too_much_waits(self):
        # Guards memory: what waits is bounded by one message more than the bound.
        incompressible = "".join(chr(0x4E00 + number * 7919 % 20000) for number in range(300_000))
        for _ in range(40):
            self.connection.send({"t": "news", "rows": incompressible})
        self.assertEqual(
            (True, "reads too slowly", [self.connection]),
            (self.transport.aborted, self.connection.why, self.ended),
        )
        self.assertLess(len(self.transport.held), WRITE_BUFFER_LIMIT_BYTES + 1_000_000)

    def test_what_is_too_large_is_not_sent_and_ends_nothing(self):
        self.connection.send({"t": "accept", "delta": "a" * MOST})
        self.connection.send({"t": "beat"})
        self.assertEqual(([{"t": "beat"}], []), (Decoder().feed(self.transport.held), self.ended))

    def test_a_catch_up_never_waits_with_more_than_a_piece(self):
        # However large the set: one piece is asked for at a time, and that is all that a slow taker holds up.
        learner = Learner()
        items = [Item(SERVICE, f"s{number}", 1, {"tag": "x" * 300}) for number in range(3000)]
        learner.fold((1, "w"), [(item, (1, "w")) for item in items])
        taker = SnapshotTransfer(Learner(), lambda: 0.0)
        taker.told("k", learner.committed_number)
        pieces = 0
        while asked := taker.step(0.0):
            self.transport.held = b""
            told = SnapshotTransfer.answer(learner, asked[0][1], 0.0, True)
            self.connection.send(told)
            self.assertLess(len(self.transport.held), PIECE_BYTES + 1000)
            pieces += 1
            if taker.heard(0.0, "k", told) is not None:
                break
        self.assertGreater(pieces, 10)
