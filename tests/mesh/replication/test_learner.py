"""Copies of the settled set: pieces, collection, a whole set in the place of an older one."""

from testtools import TestCase

from foxspread.mesh.configuration.items import KEPT, REFUSED, ROUTE, SERVICE, Item
from foxspread.mesh.errors import InvariantViolation
from foxspread.mesh.replication.learner import (
    NONE,
    START,
    Learner,
    offset_of,
    pack_row,
    chunk_digest,
    unpack_row,
    end_of_proposal,
)

LIFE = "w"


def at(number: int) -> tuple[int, str]:
    return number, LIFE


def service(name: str, version: int, tag: object = 0) -> Item:
    return Item(SERVICE, name, version, {"tag": tag})


def dropped(name: str, version: int) -> Item:
    return Item(SERVICE, name, version, None)


def refused(name: str, time: int) -> Item:
    return Item(REFUSED, name, 1, [409, "two", time])


def kept_refused(version: int, time: int) -> Item:
    return Item(KEPT, "refused", version, {"t": time})


def kept_dropped(version: int, floor: int, number: int) -> Item:
    return Item(KEPT, "dropped", version, {"floor": floor, "at": [number, LIFE]})


def committed(*changes: tuple[int, list[Item]]) -> Learner:
    learner = Learner()
    for number, items in changes:
        learner.fold(at(number), [(item, at(number)) for item in items])
    return learner


def names(learner: Learner) -> set[str]:
    return {f"{item.name}{item.version}" for item in learner.items.values()}


class Pieces(TestCase):
    def test_each_row_once_in_order_of_ballots_within_the_bytes(self) -> None:
        # One call of many items is one ballot: it has to be cut inside. A large row goes alone.
        first = [service(f"s{number:03}", 1, "x" * (number % 7)) for number in range(200)]
        learner = committed((1, first), (2, [service("s100", 2, "y" * 5000), service("s001", 2)]), (3, []))
        place, found, sizes = START, [], []
        while True:
            piece = learner.piece(place, 1000)
            found += piece.rows
            sizes.append(len(piece.rows))
            if not piece.more:
                break
            place = offset_of(piece.rows[-1])
        self.assertEqual(sorted(found, key=offset_of), found)
        self.assertEqual(learner.items, {item.key: item for item, _ in map(unpack_row, found)})
        self.assertEqual(len(found), len(learner.items))
        self.assertGreater(len(sizes), 8)
        self.assertIn(1, sizes)  # the large one
        self.assertEqual(
            (at(3), [], False),
            (piece.committed_number, learner.piece(end_of_proposal(at(2))).rows, piece.more),
        )

    def test_a_digest_stands_for_all_that_is_said(self) -> None:
        learner = committed((1, [service("a", 1), service("b", 1)]))
        piece = learner.piece(START, 1)
        said = (piece.rows, START, piece.committed_number, piece.more, piece.horizon)
        self.assertEqual(piece.digest, chunk_digest(*said))
        others = (learner.piece().rows, end_of_proposal(at(1)), at(2), False, at(1))
        for number, other in enumerate(others):
            self.assertNotEqual(
                piece.digest, chunk_digest(*said[:number], other, *said[number + 1 :]), number
            )

    def test_without_a_disk_nothing_of_the_keepers_own(self) -> None:
        past = (3, ((4, "digest"),))
        rows = [Item(SERVICE, "a", 5, {}, past), refused("r", 3), kept_refused(1, 2), kept_dropped(1, 2, 0)]
        piece = committed((1, rows)).piece(bare=True)
        self.assertEqual(
            [pack_row(kept_dropped(1, 2, 0), at(1)), pack_row(Item(SERVICE, "a", 5, {}), at(1))], piece.rows
        )

    def test_places_that_are_stale_do_not_pile_up(self) -> None:
        learner = Learner()
        for number in range(1, 2000):
            learner.fold(at(number), [(service(f"s{number % 5}", number), at(number))])
        self.assertLess(len(learner.order), 100)
        self.assertEqual(
            ["s1", "s2", "s3", "s4"], [each[1] for each in learner.piece(end_of_proposal(at(1995))).rows]
        )


class Folded(TestCase):
    def test_what_is_past_may_grow_alone(self) -> None:
        # An older version confirmed late is known from then on; for those who show items it is no news.
        learner = committed((1, [service("a", 5)]))
        grown = Item(SERVICE, "a", 5, {"tag": 0}, (3, ((4, "digest"),)))
        self.assertEqual([], learner.fold(at(2), [(grown, at(2))]))
        self.assertEqual(
            [grown], [unpack_row(each)[0] for each in learner.piece(end_of_proposal(at(1))).rows]
        )
        other = Item(SERVICE, "a", 5, {"tag": 1}, (3, ()))
        self.assertRaises(InvariantViolation, learner.fold, at(3), [(other, at(3))])

    def test_refusals_are_collected_by_the_agreed_clock(self) -> None:
        # Now, and whenever one of that time comes later, in one fold or in many; the clock never goes back.
        changes = [
            (1, [refused("a", 5), refused("b", 9), service("s", 1)]),
            (2, [kept_refused(1, 9)]),
            (3, [refused("c", 8), refused("a", 12)]),
        ]
        learner = committed(*changes)
        self.assertEqual({"b1", "a1", "s1", "refused1"}, names(learner))
        self.assertEqual(12, learner.clock)
        late = committed(changes[0])
        rows = [unpack_row(each) for each in learner.piece(end_of_proposal(at(1))).rows]
        late.fold(at(3), rows)  # its refusal of `a` is another than the one that was collected
        self.assertEqual((learner.items, learner.at, learner.clock), (late.items, late.at, late.clock))
        self.assertEqual([], late.collected)  # its row on a disk is the new one
        late.fold(at(4), [(refused("d", 3), at(4)), (service("s", 2), at(4))])
        self.assertEqual([(REFUSED, "d")], late.collected)

    def test_dropped_items_are_collected_and_never_come_back(self) -> None:
        # Only those that are old by both bounds go; rows told before, and late, bring nothing back.
        first = (1, [service("a", 1), service("b", 1), service("c", 1), service("d", 1)])
        second = (2, [dropped("a", 2), dropped("b", 7), service("c", 2)])
        third = (3, [dropped("d", 3)])
        learner = committed(first, second, third)
        early = [unpack_row(each) for each in learner.piece().rows]
        learner.fold(at(4), [(kept_dropped(1, 3, 2), at(4))])
        self.assertEqual({"b7", "c2", "d3", "dropped1"}, names(learner))
        self.assertEqual((at(2), [(SERVICE, "a")]), (learner.horizon, learner.collected))
        old = [(service("a", 1), at(1))]
        self.assertEqual([], learner.fold(at(4), old + early) + learner.fold(at(5), old + early))
        self.assertNotIn((SERVICE, "a"), learner.items)
        self.assertEqual([service("a", 9)], learner.fold(at(6), [(service("a", 9), at(6))]))

    def test_read_from_a_disk_a_copy_is_the_same(self) -> None:
        learner = committed(
            (1, [service("a", 1), refused("r", 4)]),
            (2, [dropped("a", 2), kept_refused(1, 3)]),
            (3, [kept_dropped(1, 2, 2), service("b", 3)]),
        )
        again = Learner()
        again.fold(
            learner.committed_number,
            [unpack_row(pack_row(item, learner.at[key])) for key, item in learner.items.items()],
        )
        for each in (learner, again):
            each.order, each.collected = each.piece().rows, []
        self.assertEqual(vars(learner), vars(again))


class Replaced(TestCase):
    def test_the_whole_set_takes_the_place_of_an_older_one(self) -> None:
        # What was dropped and collected while it was away is told as dropped, before what took its place.
        old = committed((1, [service("a", 1), Item(ROUTE, "r", 1, {}), refused("x", 1)]))
        new = committed((7, [service("a", 6), service("b", 7), kept_dropped(1, 5, 6)]))
        told = old.replace(new.committed_number, [unpack_row(each) for each in new.piece().rows])
        self.assertEqual(Item(ROUTE, "r", 1, None), told[0])
        self.assertEqual({"a6", "b7", "dropped1"}, {f"{each.name}{each.version}" for each in told[1:]})
        self.assertEqual({(ROUTE, "r"), (REFUSED, "x")}, set(old.collected))
        old.collected = []
        self.assertEqual(vars(new), vars(old))

    def test_not_by_an_older_one_nor_by_one_of_another_chain(self) -> None:
        learner = committed((1, [service("a", 2)]), (5, [service("b", 5)]))
        held = dict(learner.items)
        for committed_number in (NONE, at(4), at(5)):
            self.assertEqual([], learner.replace(committed_number, []))
        self.assertEqual(held, learner.items)
        for wrong in (service("a", 1), service("a", 2, "other")):
            self.assertRaises(InvariantViolation, learner.replace, at(6), [(wrong, at(6))])
