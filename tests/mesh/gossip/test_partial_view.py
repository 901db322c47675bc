"""Partial views: a fleet that shuffles, by hand and in rounds."""

import testtools

from foxspread.mesh.gossip.partial_view import OLD, SIZE, Neighbour, PartialView
from foxspread.sums import Chance


class Fleet:
    """Each knows the first three only, as from a list of seeds; datagrams are lost by `lost`."""

    def __init__(self, count, lost=0.0):
        self.chance, self.lost, self.now = Chance(7), lost, 0.0
        self.views = {}
        for number in range(count):
            me = Neighbour(f"n{number}", ("10.0.0.1", number), number < 3)
            self.views[me.place] = PartialView(me, self.chance.draw)
        for view in self.views.values():
            for seed in list(self.views.values())[:3]:
                view.met(seed.me)

    def send(self, place, message):
        there = self.views.get(place)
        if there is not None and self.chance.draw() >= self.lost:
            if (answer := there.heard(message)) is not None:
                self.send(tuple(message["view"][0][1]), answer)

    def rounds(self, count):
        for _ in range(count):
            self.now += 2.0
            for view in list(self.views.values()):
                if (step := view.shuffle(self.now)) is not None:
                    self.send(*step)

    def reached(self):
        """From the first, along views."""
        seen, todo = set(), [next(iter(self.views))]
        while todo:
            if (place := todo.pop()) not in seen and place in self.views:
                seen.add(place)
                todo += [each.place for each in self.views[place].of.values()]
        return len(seen)


class Views(testtools.TestCase):
    def test_a_fleet_stays_connected_with_views_of_a_few(self):
        # Guards: views bounded whatever the size, nobody in its own, everybody reached along them, though a
        # fifth of all datagrams is lost and all began with the same three.
        fleet = Fleet(60, lost=0.2)
        fleet.rounds(40)
        self.assertEqual(60, fleet.reached())
        for view in fleet.views.values():
            self.assertTrue(3 <= len(view.of) <= SIZE, len(view.of))
            self.assertNotIn(view.me.node, view.of)
        known = [sum(v.me.node in other.of for other in fleet.views.values()) for v in fleet.views.values()]
        self.assertTrue(max(known) < 30, max(known))  # the seeds do not stay in all views

    def test_the_gone_fall_out_and_the_rest_stays_connected(self):
        # Guards: a third that is gone, seeds among them, must not fill views for ever, nor split the rest.
        fleet = Fleet(45)
        fleet.rounds(30)
        for place in list(fleet.views)[:15]:
            del fleet.views[place]
        fleet.rounds(OLD + SIZE + 10)
        left = {view.me.node for view in fleet.views.values()}
        for view in fleet.views.values():
            self.assertEqual(set(), view.of.keys() - left)
        self.assertEqual(30, fleet.reached())

    def test_the_younger_word_holds(self):
        # Guards: an old word on a neighbour must not bring back the address that it had before it moved.
        for ages in ((5, 2), (2, 5)):
            view = PartialView(Neighbour("me", ("a", 1), False), lambda: 0.5)
            for age in ages:
                row = ["n", ["a", 10 + age], False, age]
                view.heard({"t": "shuffled", "node": "x", "view": [row]})
            self.assertEqual(("a", 12), view.of["n"].place)

    def test_nobody_to_ask(self):
        view = PartialView(Neighbour("me", ("a", 1), False), lambda: 0.5)
        self.assertIsNone(view.shuffle(0.0))
        view.met(Neighbour("core", ("b", 1), True))
        self.assertEqual([], view.some_sides(2))
        self.assertIsNone(view.shuffle(0.1))  # before its time
        self.assertEqual(("b", 1), view.shuffle(9.0)[0])
