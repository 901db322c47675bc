"""What the system writes into heads, and reads out of them."""

import testtools

from foxspread.net import http
from foxspread.orchard.dataplane import heads
from foxspread.orchard.dataplane.lasthop import Terms


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
        for terms in (Terms(0.25, 1, True), Terms(2.0, 0, False)):
            line = heads.hint(terms)
            self.assertEqual(terms, heads.terms(line.partition(b": ")[2].rstrip()))
        for told in (None, b"", b"5 safe", b"x 1 safe", b"5 -1 safe", b"5 1 2 safe", b"\xb2 1 safe"):
            self.assertEqual(Terms(), heads.terms(told), told)
