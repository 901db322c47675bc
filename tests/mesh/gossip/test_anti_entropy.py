"""Who lacks what: pulled once, and from another where one does not give it."""

from collections import defaultdict
from itertools import product

import testtools

from foxspread.mesh.gossip.anti_entropy import ASKED_S, PendingPull, AntiEntropy


class Pulls(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.it = AntiEntropy()
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
        it = AntiEntropy(lambda peer, source: source != "theirs")
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
        it = AntiEntropy()
        it.have("me", (1, 2))
        for peer in "abc":
            it.met(peer)
        it.notices()
        it.told("a", {"me": (1, 2)})
        it.told("b", {"me": (1, 1)})
        self.assertEqual(1, it.known_by("me", (1, 2), "abcd"))


class Walking:
    """The same, plainly: walks all that neighbours have at each asking, and holds all that each was told."""

    def __init__(self, tells):
        self.tells, self.mine, self.peers, self.asked, self.dirty = tells, {}, {}, {}, set()

    def met(self, peer):
        self.peers[peer] = {}, {}

    def left(self, peer):
        self.peers.pop(peer, None)
        self.asked.clear()

    def have(self, source, version):
        if version > self.mine.get(source, ()):
            self.mine[source] = version
            self.dirty.add(source)
            if source in self.asked and version >= self.asked[source].version:
                del self.asked[source]

    def told(self, peer, versions):
        if peer in self.peers:
            self.peers[peer][0].update(versions)

    def whole(self, peer):
        news = {s: v for s, v in self.mine.items() if self.tells(peer, s)}
        self.peers[peer][1].update(news)
        return news

    def notices(self):
        rows = []
        for name, (_, told) in self.peers.items():
            due = [s for s in self.dirty if s in self.mine and told.get(s, ()) < self.mine[s]]
            if news := {s: self.mine[s] for s in due if self.tells(name, s)}:
                told.update(news)
                rows.append((name, news))
        self.dirty.clear()
        return rows

    def pulls(self, now):
        having, rows = defaultdict(dict), defaultdict(dict)
        for name, (has, _) in self.peers.items():
            for source, version in has.items():
                if version > self.mine.get(source, ()):
                    having[source][name] = version
        for source, versions in having.items():
            newest, under_way = max(versions.values()), self.asked.get(source)
            if under_way is None or under_way.version < newest:
                under_way = PendingPull(newest, 0.0, set())
            elif now < under_way.until:
                continue
            if under_way.of >= versions.keys():
                under_way.of.clear()
            name = max((each for each in versions if each not in under_way.of), key=versions.__getitem__)
            self.asked[source] = PendingPull(newest, now + ASKED_S, under_way.of | {name})
            rows[name][source] = self.mine.get(source, ())
        return list(rows.items())


STEPS = {
    "a has x1": lambda it: it.told("a", {"x": (1, 1), "=": (1,)}),
    "a has x2": lambda it: it.told("a", {"x": (1, 2)}),
    "b has x2": lambda it: it.told("b", {"x": (1, 2), "y": (1, 1)}),
    "c has x3, y2": lambda it: it.told("c", {"y": (1, 2), "x": (1, 3)}),
    "x2 came": lambda it: it.have("x", (1, 2)),
    "x3, y2 came": lambda it: (it.have("x", (1, 3)), it.have("y", (1, 2))),
    "= came": lambda it: it.have("=", (2,)),
    "= may be told": lambda it: (it.tells.may.add("="), it.dirty.add("=")),
    "a left": lambda it: it.left("a"),
    "a is met": lambda it: (it.met("a"), it.whole("a")),
    "b is met": lambda it: it.met("b"),
}


class Tells:
    """As a machine with a disk: one source is held back until it may be told; b never hears of y."""

    def __init__(self):
        self.may = {"x", "y"}

    def __call__(self, peer, source):
        return source in self.may and (peer, source) != ("b", "y")


class AsPlainly(testtools.TestCase):
    def test_every_order_of_few_messages(self):
        # Guards: that less is walked and held changes nothing of what is asked of whom, and told to whom.
        for order in product(STEPS, repeat=4):
            plain, it, now = Walking(Tells()), AntiEntropy(Tells()), 0.0
            for peer in "abc":
                plain.met(peer)
                it.met(peer)
            for number, step in enumerate(order):
                outcomes = [STEPS[step](each) for each in (plain, it)]
                self.assertEqual(outcomes[0], outcomes[1], order)
                now += (0.1, ASKED_S + 0.01)[number % 2]
                notices = [sorted(each.notices()) for each in (plain, it)]
                self.assertEqual(notices[0], notices[1], order)
                pulls = [dict(each.pulls(now)) for each in (plain, it)]
                self.assertEqual(pulls[0], pulls[1], order)
                self.assertEqual(plain.mine, it.mine)


class Unwalked(dict):
    def __iter__(self):
        raise AssertionError("walked")

    items = keys = values = __iter__


class Costs(testtools.TestCase):
    def test_nothing_walks_all_that_neighbours_have(self):
        # Guards: a machine with a disk has a neighbour a sidecar and a source a sidecar; a step that walks
        # them all at each message, or a note of each source for each neighbour, grows by their square.
        it = AntiEntropy(lambda peer, source: peer != source)
        for peer in range(200):
            it.met(peer)
            it.whole(peer)
            it.told(peer, {peer: (1, 1)})
            it.have(peer, (1, 1))
        it.notices()
        self.assertEqual([], it.pulls(0.0))
        self.assertEqual([{n} for n in range(200)], [it.peers[n].held for n in range(200)])
        self.assertEqual({}, it.newer)
        for peer in it.peers.values():
            peer.has = Unwalked(peer.has)
        it.told(7, {7: (1, 2)})
        self.assertEqual([(7, {7: (1, 1)})], it.pulls(1.0))
        it.have(7, (1, 2))
        self.assertEqual(199, len(it.notices()))
        self.assertEqual([], it.pulls(2.0))
        it.left(7)
        self.assertEqual([], it.pulls(3.0))

    def test_what_is_forgotten_is_asked_for_again(self):
        # Guards: forgetting a source leaves none of it behind but what neighbours have.
        it = AntiEntropy()
        for peer in "ab":
            it.met(peer)
        it.told("a", {"x": (1, 1)})
        it.have("x", (1, 1))
        it.forget("x")
        self.assertEqual([("a", {"x": ()})], it.pulls(0.0))
        it.told("a", {"x": (1, 1)})
        it.left("a")
        self.assertEqual([{}, {}, {}], [it.newer, it.changed, it.mine])
        self.assertEqual([], it.notices())
