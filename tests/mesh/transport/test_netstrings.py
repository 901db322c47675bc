"""Messages between own processes, in any cut; what can't be one ends the connection."""

import zlib

import testtools

from foxspread.mesh.errors import Failure
from foxspread.mesh.transport.netstrings import MOST, PACKED_FROM, Decoder, encode

MESSAGES = [{"t": "beat"}, {"t": "news", "rows": ["x:,{}1:a,"] * 9}, {"v": "ab" * PACKED_FROM}, {}]


def netstring(body):
    return b"%d:%s," % (len(body), body)


class Decodes(testtools.TestCase):
    def test_cut_at_every_byte(self):
        # Guards: messages come out whole, once and in order, wherever the bytes are cut.
        data = b"".join(map(encode, MESSAGES))
        self.assertLess(len(data), 2 * PACKED_FROM)  # the large one is packed
        for cut in range(len(data) + 1):
            decoder = Decoder()
            self.assertEqual(MESSAGES, decoder.feed(data[:cut]) + decoder.feed(data[cut:]))
        decoder = Decoder()
        self.assertEqual(MESSAGES, [each for byte in data for each in decoder.feed(bytes([byte]))])
        self.assertEqual(b"", decoder.held)

    def test_what_can_not_be_one(self):
        # Guards: garbage, a wrong length and what is too large are failures at once or by the ninth byte,
        # also byte by byte; nothing is held for a length that will never come.
        bomb = zlib.compress(b'{"a":"%b"}' % (b"a" * MOST), 9)
        for name, data in {
            "letters": b"GET / HTTP/1.1\r\n",
            "no length": b":{},",
            "a sign": b"-2:{},",
            "a space": b" 2:{},",
            "digits without end": b"1" * 9,
            "too large": b"%d:" % (MOST + 1),
            "no comma": b"2:{};",
            "a length too short": b"1:{},",
            "no JSON": netstring(b"{]"),
            "no object": netstring(b"[1]"),
            "nothing": b"0:,",
            "packed garbage": netstring(b"x\x9c garbage"),
            "packed, cut off": netstring(zlib.compress(b"{}" * 999)[:-4]),
            "packed, too large": netstring(bomb),
        }.items():
            self.assertIsInstance(Decoder().feed(data), Failure, name)
            decoder, found = Decoder(), []
            for byte in data[:2000] if name != "packed, too large" else ():
                found = decoder.feed(bytes([byte]))
                if isinstance(found, Failure):
                    break
                self.assertLess(len(decoder.held), 2000)
            self.assertTrue(name == "packed, too large" or isinstance(found, Failure), name)

    def test_the_largest_that_is_allowed(self):
        for size in (0, MOST - 8):
            text = b'{"a":"%b"}' % (b"a" * size)
            self.assertEqual([size], [len(each["a"]) for each in Decoder().feed(netstring(text))])
        packed = zlib.compress(text)
        self.assertEqual(1, len(Decoder().feed(netstring(packed))))
        most = {"a": "a" * (MOST - 8)}
        self.assertEqual([most], Decoder().feed(encode(most)))

    def test_nothing_is_sent_that_no_peer_takes(self):
        # Guards: a call too large for a message is not settled; it costs no links, now or at each new try.
        self.assertIsInstance(encode({"t": "accept", "delta": "a" * MOST}), Failure)
