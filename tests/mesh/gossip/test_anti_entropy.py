"""Anti-entropy: what is lacking is pulled once, and from another peer where one does not deliver it."""

from collections import defaultdict
from itertools import product

import testtools

from foxspread.mesh.gossip.anti_entropy import PULL_TIMEOUT_S, AntiEntropy, PendingPull


class Pulls(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.it = AntiEntropy()
        for peer in "abc":
            self.it.add_peer(peer)

    def pulled(self, now):
        return {peer: set(wanted) for peer, wanted in self.it.pulls(now)}

    def test_what_is_lacking_is_pulled_once(self):
        # Guards: a large piece of news must come over one link once, however many neighbours have it.
        for peer in "abc":
            self.it.receive(peer, {"x": (1, 2), "y": (1, 1)})
        self.it.set_version("y", (1, 1))
        self.assertEqual({"a": {"x"}}, self.pulled(0.0))
        self.assertEqual({}, self.pulled(PULL_TIMEOUT_S - 0.01))
        self.it.set_version("x", (1, 2))
        self.assertEqual({}, self.pulled(10.0))

    def test_a_pull_that_times_out_goes_to_the_other_peers_in_turn(self):
        # Guards: one that hangs, or lost what it had, must not be asked for ever while others have it.
        for peer in "abc":
            self.it.receive(peer, {"x": (1, 2)})
        asked = [next(iter(self.pulled(n * (PULL_TIMEOUT_S + 0.01)))) for n in range(6)]
        self.assertEqual([set("abc")] * 2, [set(asked[:3]), set(asked[3:])])

    def test_an_older_version_is_pulled_where_the_newest_does_not_come(self):
        # Guards: the newest is asked for first; if it does not come, what others have brings us on.
        self.it.receive("a", {"x": (1, 2)})
        self.it.receive("b", {"x": (1, 3)})
        self.assertEqual({"b": {"x"}}, self.pulled(0.0))
        self.assertEqual({"a": {"x"}}, self.pulled(PULL_TIMEOUT_S + 0.01))
        self.it.set_version("x", (1, 2))
        self.assertEqual({"b": {"x"}}, self.pulled(2 * PULL_TIMEOUT_S + 0.1))

    def test_a_newer_version_is_pulled_at_once(self):
        self.it.receive("a", {"x": (1, 2)})
        self.assertEqual({"a": {"x"}}, self.pulled(0.0))
        self.it.receive("b", {"x": (2, 1)})
        self.assertEqual({"b": {"x"}}, self.pulled(0.01))
        self.assertEqual({}, self.pulled(0.02))

    def test_a_pending_pull_goes_to_another_peer_when_the_first_disconnects(self):
        # Guards: what was asked of it is asked of another at once.
        for peer in "ab":
            self.it.receive(peer, {"x": (1, 2)})
        self.pulled(0.0)
        self.it.remove_peer("a")
        self.assertEqual({"b": {"x"}}, self.pulled(0.01))
        self.it.remove_peer("b")
        self.it.receive("b", {"x": (9, 9)})  # a late word of one that is not there
        self.assertEqual({}, self.pulled(9.0))

    def test_a_pull_names_the_version_that_is_held(self):
        self.it.set_version("x", (1, 1))
        self.it.set_version("x", (1, 0))
        self.it.receive("a", {"x": (1, 2)})
        self.assertEqual([("a", {"x": (1, 1)})], self.it.pulls(0.0))


class Notices(testtools.TestCase):
    def test_each_version_is_announced_to_each_peer_once(self):
        # Guards: a version goes to each neighbour once, an older one never, others' sources only if meant to.
        it = AntiEntropy(lambda peer, source: source != "theirs")
        it.set_version("x", (1, 1))
        it.add_peer("a")
        self.assertEqual({"x": (1, 1)}, it.full_announcement("a"))
        it.add_peer("b")
        it.full_announcement("b")
        it.set_version("x", (1, 2))
        it.set_version("theirs", (1, 1))
        self.assertEqual([("a", {"x": (1, 2)}), ("b", {"x": (1, 2)})], it.announcements())
        it.set_version("x", (1, 1))
        self.assertEqual([], it.announcements())
        it.set_version("x", (1, 3))
        it.add_peer("a")  # comes back, and knows nothing
        self.assertEqual({"x": (1, 3)}, it.full_announcement("a"))
        self.assertEqual([("b", {"x": (1, 3)})], it.announcements())

    def test_count_with_counts_what_peers_announced_not_what_they_were_sent(self):
        # Guards: a drain is acknowledged by what neighbours have said, not by what they were sent.
        it = AntiEntropy()
        it.set_version("me", (1, 2))
        for peer in "abc":
            it.add_peer(peer)
        it.announcements()
        it.receive("a", {"me": (1, 2)})
        it.receive("b", {"me": (1, 1)})
        self.assertEqual(1, it.count_with("me", (1, 2), "abcd"))


class PlainModel:
    """The same, plainly: walks all that neighbours have at each asking, and holds all that each was told."""

    def __init__(self, may_announce):
        self.may_announce, self.versions, self.peers, self.pending, self.dirty = (
            may_announce,
            {},
            {},
            {},
            set(),
        )

    def add_peer(self, peer):
        self.peers[peer] = {}, {}

    def remove_peer(self, peer):
        self.peers.pop(peer, None)
        self.pending.clear()

    def set_version(self, source, version):
        if version > self.versions.get(source, ()):
            self.versions[source] = version
            self.dirty.add(source)
            if source in self.pending and version >= self.pending[source].version:
                del self.pending[source]

    def receive(self, peer, versions):
        if peer in self.peers:
            self.peers[peer][0].update(versions)

    def full_announcement(self, peer):
        news = {s: v for s, v in self.versions.items() if self.may_announce(peer, s)}
        self.peers[peer][1].update(news)
        return news

    def announcements(self):
        rows = []
        for name, (_, told) in self.peers.items():
            due = [s for s in self.dirty if s in self.versions and told.get(s, ()) < self.versions[s]]
            if news := {s: self.versions[s] for s in due if self.may_announce(name, s)}:
                told.update(news)
                rows.append((name, news))
        self.dirty.clear()
        return rows

    def pulls(self, now):
        having, rows = defaultdict(dict), defaultdict(dict)
        for name, (has, _) in self.peers.items():
            for source, version in has.items():
                if version > self.versions.get(source, ()):
                    having[source][name] = version
        for source, versions in having.items():
            newest, pending = max(versions.values()), self.pending.get(source)
            if pending is None or pending.version < newest:
                pending = PendingPull(newest, 0.0, set())
            elif now < pending.deadline:
                continue
            if pending.attempted >= versions.keys():
                pending.attempted.clear()
            name = max((each for each in versions if each not in pending.attempted), key=versions.__getitem__)
            self.pending[source] = PendingPull(newest, now + PULL_TIMEOUT_S, pending.attempted | {name})
            rows[name][source] = self.versions.get(source, ())
        return list(rows.items())


STEPS = {
    "a has x1": lambda it: it.receive("a", {"x": (1, 1), "=": (1,)}),
    "a has x2": lambda it: it.receive("a", {"x": (1, 2)}),
    "b has x2": lambda it: it.receive("b", {"x": (1, 2), "y": (1, 1)}),
    "c has x3, y2": lambda it: it.receive("c", {"y": (1, 2), "x": (1, 3)}),
    "x2 came": lambda it: it.set_version("x", (1, 2)),
    "x3, y2 came": lambda it: (it.set_version("x", (1, 3)), it.set_version("y", (1, 2))),
    "= came": lambda it: it.set_version("=", (2,)),
    "= may be told": lambda it: (it.may_announce.may.add("="), it.dirty.add("=")),
    "a left": lambda it: it.remove_peer("a"),
    "a is met": lambda it: (it.add_peer("a"), it.full_announcement("a")),
    "b is met": lambda it: it.add_peer("b"),
}


class MayAnnounce:
    """As a machine with a disk: one source is held back until it may be told; b never hears of y."""

    def __init__(self):
        self.may = {"x", "y"}

    def __call__(self, peer, source):
        return source in self.may and (peer, source) != ("b", "y")


class SameAsPlainModel(testtools.TestCase):
    def test_same_announcements_and_pulls_as_the_plain_model_in_every_order(self):
        # Guards: that less is walked and held changes nothing of what is asked of whom, and told to whom.
        for order in product(STEPS, repeat=4):
            plain, it, now = PlainModel(MayAnnounce()), AntiEntropy(MayAnnounce()), 0.0
            for peer in "abc":
                plain.add_peer(peer)
                it.add_peer(peer)
            for number, step in enumerate(order):
                outcomes = [STEPS[step](each) for each in (plain, it)]
                self.assertEqual(outcomes[0], outcomes[1], order)
                now += (0.1, PULL_TIMEOUT_S + 0.01)[number % 2]
                notices = [sorted(each.announcements()) for each in (plain, it)]
                self.assertEqual(notices[0], notices[1], order)
                pulls = [dict(each.pulls(now)) for each in (plain, it)]
                self.assertEqual(pulls[0], pulls[1], order)
                self.assertEqual(plain.versions, it.versions)


class NotIterable(dict):
    def __iter__(self):
        raise AssertionError("walked")

    items = keys = values = __iter__


class Costs(testtools.TestCase):
    def test_no_step_iterates_over_all_versions_of_all_peers(self):
        # Guards: a machine with a disk has a neighbour a sidecar and a source a sidecar; a step that walks
        # them all at each message, or a note of each source for each neighbour, grows by their square.
        it = AntiEntropy(lambda peer, source: peer != source)
        for peer in range(200):
            it.add_peer(peer)
            it.full_announcement(peer)
            it.receive(peer, {peer: (1, 1)})
            it.set_version(peer, (1, 1))
        it.announcements()
        self.assertEqual([], it.pulls(0.0))
        self.assertEqual([{n} for n in range(200)], [it.peers[n].withheld for n in range(200)])
        self.assertEqual({}, it.newer)
        for peer in it.peers.values():
            peer.versions = NotIterable(peer.versions)
        it.receive(7, {7: (1, 2)})
        self.assertEqual([(7, {7: (1, 1)})], it.pulls(1.0))
        it.set_version(7, (1, 2))
        self.assertEqual(199, len(it.announcements()))
        self.assertEqual([], it.pulls(2.0))
        it.remove_peer(7)
        self.assertEqual([], it.pulls(3.0))

    def test_a_forgotten_source_is_pulled_again(self):
        # Guards: forgetting a source leaves none of it behind but what neighbours have.
        it = AntiEntropy()
        for peer in "ab":
            it.add_peer(peer)
        it.receive("a", {"x": (1, 1)})
        it.set_version("x", (1, 1))
        it.forget("x")
        self.assertEqual([("a", {"x": ()})], it.pulls(0.0))
        it.receive("a", {"x": (1, 1)})
        it.remove_peer("a")
        self.assertEqual([{}, {}, {}], [it.newer, it.last_change, it.versions])
        self.assertEqual([], it.announcements())
