"""What the system writes into heads, and reads out of them."""

import testtools

from foxspread.mesh.dataplane import heads
from foxspread.mesh.dataplane.lasthop import Terms
from foxspread.net import http


class Told(testtools.TestCase):
    def test_deadlines(self):
        # Guards: what a peer may write there becomes a timer and a number in the next head; none may raise.
        longest = heads.LONGEST_S
        for told, wanted in ((b"250", 0.25), (b"-1", 0.0), (b"nan", 0.0), (b"1e400", longest), (b"x", None)):
            message = http.Message(headers=[(b"X-Deadline-Ms", told)])
            self.assertEqual(wanted, heads.deadline(message), told)
        self.assertIsNone(heads.deadline(http.Message()))

    def test_terms_go_over_and_what_is_not_plain_is_the_least(self):
        # Guards: a hint that can't be read must not make an unsafe request a safe one.
        # And one that does not say `first` is charged as a repeat.
        for terms in (Terms(0.25, 1, True), Terms(2.0, 0, False), Terms(2.0, 0, False, True)):
            line = heads.hint(terms, b"1f")
            self.assertEqual((terms, b"1f"), heads.terms(line.partition(b": ")[2].rstrip()))
        for told in (None, b"", b"5 safe", b"x 1 safe first 1", b"5 -1 safe first 1", b"5 1 2 safe first 1",
                     b"\xb2 1 safe first 1", b"5 1 safe", b"5 1 safe first",
                     b"5 1 safe first 1 1"):  # fmt: skip
            self.assertEqual((Terms(again=True), b"-"), heads.terms(told), told)
        self.assertTrue(heads.terms(b"5 1 safe often 1f")[0].again)
        self.assertEqual(b"-", heads.terms(b"5 1 safe first a;b")[1])

    def test_the_line_of_the_last_hop(self):
        # Guards: reasons come from exceptions: nothing in them may end the line, or stand for another field.
        line = heads.word(heads.UNSENT, 3, b"1f", "broke: a\r\nX-Stamp: \xe9 " + "y" * 99)
        self.assertEqual([1, 0], [line.count(b"\r\n"), line[:-2].count(b"\r")])
        answer = http.Message(headers=[tuple(line.rstrip().split(b": ", 1))])
        self.assertEqual(b"1f", heads.mark(answer))
        for told in (b"", b"sent", b"sent 3"):
            self.assertIsNone(heads.mark(http.Message(headers=[(b"x-orchard", told)])))

    def test_what_all_read_is_not_taken_away(self):
        # Guards: a `Connection` that names the id, the stamp or the promise must not make an answer one
        # without: a success without its stamp, or a promise that is none.
        named = b"close, X-Request-Id, x-stamp, Host, X-Not-Run, X-Foo"
        message = http.Message(headers=[(b"Connection", named), (b"X-Stamp", b"s"), (b"X-Request-Id", b"q1"),
                                        (b"Host", b"h"), (b"X-Not-Run", b"1"), (b"X-Foo", b"1")])  # fmt: skip
        kept = [line.partition(b":")[0] for line in heads.kept(message)]
        self.assertEqual([b"X-Stamp", b"X-Request-Id", b"Host", b"X-Not-Run"], kept)
