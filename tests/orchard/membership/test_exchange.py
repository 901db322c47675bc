"""Who lacks what: pulled once, and from another where one does not give it."""

import testtools

from foxspread.orchard.membership.exchange import ASKED_S, Exchange


class Pulls(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.it = Exchange()
        for peer in "abc":
            self.it.met(peer)

    def pulled(self, now):
        return {peer: set(wanted) for peer, wanted in self.it.pulls(now)}

    def test_what_is_lacking_is_pulled_once(self):
        # Guards: a large piece of news must come over one link once, however many neighbours have it.
        for peer in "abc":
            self.it.told(peer, {"x": (1, 2), "y": (1, 1)})
        self.it.have("y", (1, 1))
        self.assertEqual({"a": {"x"}}, self.pulled(0.0))
        self.assertEqual({}, self.pulled(ASKED_S - 0.01))
        self.it.have("x", (1, 2))
        self.assertEqual({}, self.pulled(10.0))

    def test_from_another_where_the_first_does_not_give_it(self):
        # Guards: one that hangs, or lost what it had, must not be asked for ever while others have it.
        for peer in "abc":
            self.it.told(peer, {"x": (1, 2)})
        asked = [next(iter(self.pulled(n * (ASKED_S + 0.01)))) for n in range(6)]
        self.assertEqual([set("abc")] * 2, [set(asked[:3]), set(asked[3:])])

    def test_an_older_one_is_better_than_none(self):
        # Guards: the newest is asked for first; if it does not come, what others have brings us on.
        self.it.told("a", {"x": (1, 2)})
        self.it.told("b", {"x": (1, 3)})
        self.assertEqual({"b": {"x"}}, self.pulled(0.0))
        self.assertEqual({"a": {"x"}}, self.pulled(ASKED_S + 0.01))
        self.it.have("x", (1, 2))
        self.assertEqual({"b": {"x"}}, self.pulled(2 * ASKED_S + 0.1))

    def test_newer_news_is_pulled_at_once(self):
        self.it.told("a", {"x": (1, 2)})
        self.assertEqual({"a": {"x"}}, self.pulled(0.0))
        self.it.told("b", {"x": (2, 1)})
        self.assertEqual({"b": {"x"}}, self.pulled(0.01))
        self.assertEqual({}, self.pulled(0.02))

    def test_when_the_one_that_was_asked_leaves(self):
        # Guards: what was asked of it is asked of another at once.
        for peer in "ab":
            self.it.told(peer, {"x": (1, 2)})
        self.pulled(0.0)
        self.it.left("a")
        self.assertEqual({"b": {"x"}}, self.pulled(0.01))
        self.it.left("b")
        self.it.told("b", {"x": (9, 9)})  # a late word of one that is not there
        self.assertEqual({}, self.pulled(9.0))

    def test_asks_with_what_it_has(self):
        self.it.have("x", (1, 1))
        self.it.have("x", (1, 0))
        self.it.told("a", {"x": (1, 2)})
        self.assertEqual([("a", {"x": (1, 1)})], self.it.pulls(0.0))


class Notices(testtools.TestCase):
    def test_each_neighbour_is_told_once(self):
        # Guards: a version goes to each neighbour once, an older one never, others' sources only if meant to.
        it = Exchange(lambda peer, source: source != "theirs")
        it.have("x", (1, 1))
        it.met("a")
        self.assertEqual({"x": (1, 1)}, it.whole("a"))
        it.met("b")
        it.whole("b")
        it.have("x", (1, 2))
        it.have("theirs", (1, 1))
        self.assertEqual([("a", {"x": (1, 2)}), ("b", {"x": (1, 2)})], it.notices())
        it.have("x", (1, 1))
        self.assertEqual([], it.notices())
        it.have("x", (1, 3))
        it.met("a")  # comes back, and knows nothing
        self.assertEqual({"x": (1, 3)}, it.whole("a"))
        self.assertEqual([("b", {"x": (1, 3)})], it.notices())

    def test_how_many_know(self):
        # Guards: a drain is acknowledged by what neighbours have said, not by what they were sent.
        it = Exchange()
        it.have("me", (1, 2))
        for peer in "abc":
            it.met(peer)
        it.notices()
        it.told("a", {"me": (1, 2)})
        it.told("b", {"me": (1, 1)})
        self.assertEqual(1, it.known_by("me", (1, 2), "abcd"))
