"""Messages between own processes, in any cut; what can't be one ends the connection."""

import zlib

import testtools

from foxspread.mesh.errors import Failure
from foxspread.mesh.transport.netstrings import COMPRESS_FROM_BYTES, MAX_MESSAGE_BYTES, Decoder, encode

MESSAGES = [{"t": "beat"}, {"t": "news", "rows": ["x:,{}1:a,"] * 9}, {"v": "ab" * COMPRESS_FROM_BYTES}, {}]


def netstring(body):
    return b"%d:%s," % (len(body), body)


class Decodes(testtools.TestCase):
    def test_messages_come_out_whole_wherever_the_bytes_are_cut(self):
        # Guards: messages come out whole, once and in order, wherever the bytes are cut.
        data = b"".join(map(encode, MESSAGES))
        self.assertLess(len(data), 2 * COMPRESS_FROM_BYTES)  # the large one is packed
        for cut in range(len(data) + 1):
            decoder = Decoder()
            self.assertEqual(MESSAGES, decoder.feed(data[:cut]) + decoder.feed(data[cut:]))
        decoder = Decoder()
        self.assertEqual(MESSAGES, [each for byte in data for each in decoder.feed(bytes([byte]))])
        self.assertEqual(b"", decoder.buffer)

    def test_bytes_that_cannot_be_a_message_fail_by_the_ninth(self):
        # Guards: garbage, a wrong length and what is too large are failures at once or by the ninth byte,
        # also byte by byte; nothing is held for a length that will never come.
        bomb = zlib.compress(b'{"a":"%b"}' % (b"a" * MAX_MESSAGE_BYTES), 9)
        for name, data in {
            "letters": b"GET / HTTP/1.1\r\n",
            "no length": b":{},",
            "a sign": b"-2:{},",
            "a space": b" 2:{},",
            "digits without end": b"1" * 9,
            "too large": b"%d:" % (MAX_MESSAGE_BYTES + 1),
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
                self.assertLess(len(decoder.buffer), 2000)
            self.assertTrue(name == "packed, too large" or isinstance(found, Failure), name)

    def test_the_largest_message_that_is_allowed_passes(self):
        for size in (0, MAX_MESSAGE_BYTES - 8):
            text = b'{"a":"%b"}' % (b"a" * size)
            self.assertEqual([size], [len(each["a"]) for each in Decoder().feed(netstring(text))])
        packed = zlib.compress(text)
        self.assertEqual(1, len(Decoder().feed(netstring(packed))))
        most = {"a": "a" * (MAX_MESSAGE_BYTES - 8)}
        self.assertEqual([most], Decoder().feed(encode(most)))

    def test_a_message_that_no_peer_accepts_is_not_encoded(self):
        # Guards: a call too large for a message is not settled; it costs no links, now or at each new try.
        self.assertIsInstance(encode({"t": "accept", "delta": "a" * MAX_MESSAGE_BYTES}), Failure)
