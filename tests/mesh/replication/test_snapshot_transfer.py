"""Catching up piece by piece: all orders of few changes, pieces and tellers, and what can go wrong on the
way.
"""

from copy import deepcopy

import orjson
from testtools import TestCase

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.replication.snapshot_transfer import (
    ASKED_MOST_S,
    ASKED_S,
    CEILING_S,
    SnapshotTransfer,
    Message,
    ReceivedRows,
)
from foxspread.mesh.replication.learner import NONE, Learner, unpack_offset, unpack_row, end_of_proposal
from tests.mesh.replication.test_learner import at, dropped, kept_dropped, names, service, committed

CHANGES = [
    [service("a", 1), service("b", 1)],
    [service("a", 2)],
    [dropped("b", 3)],
    [service("c", 4), service("a", 4)],
    [kept_dropped(1, 3, 3)],
    [service("b", 6)],
]
HELD = [
    set(),
    {"a1", "b1"},
    {"a2", "b1"},
    {"a2", "b3"},
    {"a4", "b3", "c4"},
    {"a4", "c4", "dropped1"},
    {"a4", "c4", "dropped1", "b6"},
]


def committed_number(number: int) -> Learner:
    return committed(*((place + 1, items) for place, items in enumerate(CHANGES[:number])))


COPIES = [committed_number(number) for number in range(len(CHANGES) + 1)]


def through(message: Message) -> Message:
    """As it comes over a link."""
    return orjson.loads(orjson.dumps(message))


def answered(learner: Learner, message: Message, age: float | None = 0.0, most: int = 1) -> Message:
    """With `most` bytes a piece."""
    small = Small(learner, most)
    return through(SnapshotTransfer.answer(small, through(message), age, True))


class Small:
    """A copy that tells in small pieces."""

    def __init__(self, learner: Learner, most: int) -> None:
        self.learner, self.most = learner, most

    def __getattr__(self, name: str) -> object:
        return getattr(self.learner, name)

    def piece(self, after, bare):
        return self.learner.piece(after, self.most, bare)


def cloned(taker: SnapshotTransfer) -> SnapshotTransfer:
    """With containers of its own."""
    clone = object.__new__(SnapshotTransfer)
    vars(clone).update({k: v.copy() if isinstance(v, dict) else v for k, v in vars(taker).items()})
    clone.learner = Learner()
    vars(clone.learner).update(
        {k: v.copy() if isinstance(v, (dict, list)) else v for k, v in vars(taker.learner).items()}
    )
    return clone


def fold(learner: Learner, taken: ReceivedRows | None) -> list[Item]:
    if taken is None:
        return []
    return (learner.replace if taken.replaced else learner.fold)(
        taken.committed_number, map(unpack_row, taken.rows)
    )


class Orders(TestCase):
    def explored(self, start: int, tellers: tuple[int, ...], under_way: int = 1) -> tuple[int, int]:
        """Everything that can come about with that many changes known at the start to the taker and to the
        tellers, pieces of one row, so many answers under way at the most: each whole is the set as it
        was settled. Returns how many states and wholes there were."""
        catch_up = SnapshotTransfer(committed_number(start), lambda: 0.0)
        states, wholes = [(tellers, catch_up, ())], 0
        seen = set()
        while states:
            held, taker, flying = states.pop()
            # A pieced-together state; numbers of askings do not matter.
            key = repr(
                (
                    held,
                    taker.learner.committed_number,
                    taker.anew,
                    taker.started,
                    taker.cursor,
                    taker.since,
                    taker.ceiling,
                    sorted(taker.staged.items()),
                    [(p, n in taker.askings and taker.askings[n].after, told) for p, n, told in flying],
                )
            )
            if key in seen:
                continue
            seen.add(key)
            for number, teller in enumerate(held):
                if teller < len(CHANGES):
                    later = (*held[:number], teller + 1, *held[number + 1 :])
                    states.append((later, taker, flying))
                # Only this one can be asked now; what is asked is answered at once, and comes when it will.
                if len(flying) < under_way:
                    asker = cloned(taker)
                    for other in range(len(held)):
                        asker.left(other)
                    asker.waiting = None
                    asker.told(number, COPIES[teller].committed_number)
                    for _, message in asker.step(0.0):
                        told = answered(COPIES[teller], message)
                        asker.told(number, NONE)
                        asking = told.pop("n")
                        states.append((held, asker, (*flying, (number, asking, orjson.dumps(told)))))
            for number, (teller, asking, told) in enumerate(flying):
                hearer = cloned(taker)
                taken = hearer.heard(0.0, teller, {**orjson.loads(told), "n": asking})
                if taken is not None:
                    wholes += 1
                    before = names(hearer.learner)
                    fold(hearer.learner, taken)
                    reached = taken.committed_number[0]
                    self.assertEqual(HELD[reached], names(hearer.learner), (start, tellers, before, taken))
                    self.assertEqual(COPIES[reached].items, hearer.learner.items)
                    self.assertEqual(COPIES[reached].at, hearer.learner.at)
                states.append((held, hearer, (*flying[:number], *flying[number + 1 :])))
        return len(seen), wholes

    def test_all_orders_of_few_changes_pieces_and_tellers(self) -> None:
        # Guards the argument of docs/design/catching-up.md: with the last teller older than one before, with
        # an item dropped and collected between two pieces, or with a late answer, a whole would be none.
        cases = ((0, (1, 2), 1), (0, (4, 3), 1), (1, (2, 4), 1), (2, (3, 3), 1), (4, (5, 4), 2))
        for case in cases:
            states, wholes = self.explored(*case)
            self.assertGreater(states, 100, case)
            self.assertGreater(wholes, 20, case)


class Asked(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.draws = 0.0

    def taker(self, held: int = 0, **settings: float) -> SnapshotTransfer:
        return SnapshotTransfer(committed_number(held), lambda: self.draws, **settings)

    def asked(self, taker: SnapshotTransfer) -> tuple[str, Message]:
        ((peer, message),) = taker.step(self.now)
        return peer, message

    def test_one_change_is_one_round_trip_begun_at_once(self) -> None:
        taker = self.taker(4)
        self.assertEqual(([], None), (taker.step(self.now), taker.wake_at()))
        taker.told("k", at(6))
        peer, message = self.asked(taker)
        self.assertEqual(("k", {"t": "piece", "n": 1, "after": list(at(4))}), (peer, message))
        told = answered(committed_number(6), message, 0.2, most=1000)
        self.assertEqual([], taker.step(self.now + 0.1))
        taken = taker.heard(self.now + 0.1, "k", told)
        self.assertEqual((at(6), False, 2), (taken.committed_number, taken.replaced, len(taken.rows)))
        self.assertAlmostEqual(0.3, taken.age)  # counted from the asking
        fold(taker.learner, taken)
        self.assertEqual(([], None), (taker.step(self.now + 0.1), taker.wake_at()))

    def test_what_does_not_come_is_asked_of_another_at_the_same_place(self) -> None:
        # The time allowed grows to its bound; a piece that comes late after all is taken, once.
        taker = self.taker()
        for peer in "kl":
            taker.told(peer, at(4))
        peer, message = self.asked(taker)
        taker.heard(self.now, peer, answered(committed_number(4), message))
        late = self.asked(taker)
        allowed = []
        for _ in range(7):
            self.assertEqual([], taker.step(taker.wake_at() - 0.01))
            allowed.append(taker.wake_at() - self.now)
            self.now = taker.wake_at()
            peer, message = self.asked(taker)
            self.assertEqual(late[1]["after"], message["after"])
            self.assertNotEqual(late[0], peer) if len(allowed) == 1 else None
        self.assertEqual([ASKED_S, 2 * ASKED_S, 4 * ASKED_S], allowed[:3])
        self.assertEqual(ASKED_MOST_S, max(allowed))
        self.assertIsNone(taker.heard(self.now, late[0], answered(committed_number(4), late[1])))
        self.assertEqual(1, len(taker.staged))  # too late: it was asked more than four askings ago
        told = answered(committed_number(4), message)
        taker.heard(self.now, peer, told)
        taker.heard(self.now, peer, told)
        self.assertEqual(2, len(taker.staged))

    def test_spoilt_pieces_are_not_taken(self) -> None:
        taker = self.taker()
        for peer in "kl":
            taker.told(peer, at(4))
        first, message = self.asked(taker)
        told = answered(committed_number(4), message)
        told["rows"][0][2] += 1
        self.assertIsNone(taker.heard(self.now, first, told))
        self.assertFalse(taker.staged)
        second, message = self.asked(taker)
        self.assertNotEqual(first, second)
        self.assertIsNone(
            taker.heard(self.now, second, {**answered(committed_number(4), message), "more": False})
        )
        self.draws = 0.5  # and with both so, after a pause
        self.assertIsNone(
            taker.heard(self.now, second, {**answered(committed_number(4), message), "upto": at(9)})
        )
        self.assertEqual([], taker.step(self.now))
        self.assertGreater(taker.wake_at(), self.now)

    def test_where_a_teller_leaves_another_goes_on(self) -> None:
        taker = self.taker()
        taker.told("k", at(4))
        peer, message = self.asked(taker)
        taker.heard(self.now, peer, answered(committed_number(4), message))
        self.asked(taker)
        taker.left("k")
        self.assertEqual([], taker.step(self.now))
        taker.told("l", at(4))
        rows = 1
        while True:
            peer, message = self.asked(taker)
            told = answered(committed_number(4), message)
            rows += len(told["rows"])
            if (taken := taker.heard(self.now, peer, told)) is not None:
                break
        self.assertEqual((3, HELD[4]), (rows, names_of(taken)))

    def test_a_teller_with_less_gives_what_it_has_but_no_whole(self) -> None:
        # `a4` hides `a2` at the first teller: with the second alone nothing would be said of `a` at all.
        taker = self.taker()
        taker.told("k", at(4))
        peer, message = self.asked(taker)
        taker.heard(self.now, peer, answered(committed_number(4), message))  # b3
        taker.left("k")
        taker.told("l", at(3))
        while asked := taker.step(self.now):
            self.assertIsNone(taker.heard(self.now, "l", answered(committed_number(3), asked[0][1])))
        self.now = taker.wake_at()
        peer, message = self.asked(taker)  # begun anew, after a while
        self.assertEqual((CEILING_S, None), (self.now, message["after"]))
        while (taken := taker.heard(self.now, "l", answered(committed_number(3), message))) is None:
            peer, message = self.asked(taker)
        self.assertEqual(HELD[3], names_of(taken))

    def test_a_teller_behind_the_place_moves_nothing_back(self) -> None:
        taker = self.taker()
        taker.told("k", at(4))
        for _ in range(2):
            peer, message = self.asked(taker)
            taker.heard(self.now, peer, answered(committed_number(4), message))
        taker.told("k", at(5))
        cursor = taker.cursor
        peer, message = self.asked(taker)  # it had restarted with less when this came
        self.assertIsNone(taker.heard(self.now, peer, answered(committed_number(2), message)))
        self.assertEqual((cursor, at(2), []), (taker.cursor, taker.has["k"], taker.step(self.now)))

    def test_a_teller_that_restarts_with_less(self) -> None:
        # Told of as newer than it is now, or behind the place where this copy stands: asked once, not again.
        taker = self.taker(3)
        taker.told("k", at(4))
        peer, message = self.asked(taker)
        self.assertIsNone(taker.heard(self.now, peer, answered(committed_number(2), message)))
        self.assertEqual(([], None), (taker.step(self.now), taker.wake_at()))
        taker.told("k", at(5))
        self.assertEqual(1, len(taker.step(self.now)))

    def test_too_far_back_begins_anew_and_replaces(self) -> None:
        # It never heard that `b` was dropped, and that is told no more.
        taker = self.taker(2)
        taker.told("k", at(5))
        peer, message = self.asked(taker)
        told = answered(committed_number(5), message)
        self.assertTrue(told["again"])
        self.assertIsNone(taker.heard(self.now, peer, told))
        late = message
        while True:
            peer, message = self.asked(taker)
            self.assertIsNone(taker.heard(self.now, peer, answered(committed_number(4), late)))
            if (taken := taker.heard(self.now, peer, answered(committed_number(5), message))) is not None:
                break
        self.assertTrue(taken.replaced)
        new = fold(taker.learner, taken)
        self.assertEqual((HELD[5], ("b", None)), (names(taker.learner), (new[0].name, new[0].content)))

    def test_a_horizon_that_moves_past_a_whole_under_way(self) -> None:
        # `b1` was staged, then dropped, and the drop collected: with the old teller or a new one, anew.
        taker = self.taker()
        taker.told("k", at(2))
        peer, message = self.asked(taker)
        self.assertIsNone(taker.heard(self.now, peer, answered(committed_number(2), message)))
        taker.told("k", at(5))
        peer, message = self.asked(taker)
        self.assertEqual(list(at(2)), list(message["since"]))
        forged = {
            **through(committed_number(5).piece(unpack_offset(message["after"])).packed()),
            "n": message["n"],
            "age": 0.0,
        }
        for told in (answered(committed_number(5), message), forged):
            hearer = deepcopy(taker)
            hearer.heard(self.now, peer, told)
            self.assertEqual((True, {}), (hearer.anew, hearer.staged))

    def test_learnt_by_another_way(self) -> None:
        taker = self.taker(1)
        taker.told("k", at(4))
        peer, message = self.asked(taker)
        taker.heard(self.now, peer, answered(committed_number(4), message))
        taker.learner.fold(
            at(4), [unpack_row(each) for each in committed_number(4).piece(end_of_proposal(at(1))).rows]
        )
        self.assertEqual(([], {}, None), (taker.step(self.now), taker.staged, taker.wake_at()))

    def test_bytes_a_second_are_bounded(self) -> None:
        taker = self.taker(bytes_a_second=1000.0)
        learner = committed((1, [service(f"s{number}", 1, "x" * 50) for number in range(100)]))
        taker.told("k", at(1))
        size = 0
        while True:
            peer, message = self.asked(taker)
            told = answered(learner, message, most=700)
            size += len(orjson.dumps(told["rows"]))
            if taker.heard(self.now + 0.001, peer, told) is not None:
                break
            self.assertEqual([], taker.step(self.now + 0.01))
            self.now = taker.wake_at()
        self.assertGreater(self.now, 0.9 * (size - 700) / 1000.0)

    def test_peers_as_new_are_asked_evenly(self) -> None:
        found = set()
        for self.draws in (0.0, 0.4, 0.99):
            taker = self.taker()
            for peer in "klm":
                taker.told(peer, at(4))
            taker.told("old", at(3))
            found.add(self.asked(taker)[0])
        self.assertEqual(set("klm"), found)


def names_of(taken: ReceivedRows) -> set[str]:
    return {f"{each[1]}{each[2]}" for each in taken.rows}
