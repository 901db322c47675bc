"""The checker itself: histories that are known to be right, and known to be wrong."""

import random
import unittest

from foxspread.lab.processes.linear import NEVER, Op, Undecided, violation, with_outcomes


def put(called: float, answered: float, number: int, if_version: int = -1) -> Op:
    return Op("w", "put", called, answered, number, f"d{number}", if_version)


def get(called: float, answered: float, number: int, digest: str | None = None) -> Op:
    return Op(
        "r", "get", called, answered, number, digest if digest is not None else f"d{number}" if number else ""
    )


def lost(called: float, digest: str, if_version: int = -1) -> Op:
    return Op("w", "unknown", called, NEVER, 0, digest, if_version)


def conflict(called: float, answered: float, number: int, if_version: int) -> Op:
    return Op("w", "conflict", called, answered, number, "", if_version)


RIGHT = {
    "nothing": [],
    "one after another": [put(0, 1, 1), get(2, 3, 1), put(4, 5, 2), get(6, 7, 2)],
    "reads on both sides of a put that is under way": [
        put(0, 1, 1),
        put(2, 9, 2),
        get(3, 4, 1),
        get(5, 6, 2),
    ],
    "two puts at once, numbered against their answers": [put(0, 5, 2), put(1, 2, 1), get(6, 7, 2)],
    "a lost put that a later read shows": [lost(0, "d1"), get(9, 10, 1)],
    "a lost put that never took effect": [lost(0, "x"), put(1, 2, 1), get(3, 4, 1)],
    "a compare-and-set that lost to a lost put": [put(0, 1, 1), lost(2, "d2"), conflict(3, 4, 2, 1)],
    "none yet": [get(0, 1, 0)],
}
WRONG = {
    "a read of what was before": [put(0, 1, 1), put(2, 3, 2), get(4, 5, 1)],
    "a read goes back": [put(0, 1, 1), put(2, 9, 2), get(3, 4, 2), get(5, 6, 1)],
    "a number twice": [put(0, 1, 1), Op("w", "put", 2, 3, 1, "other")],
    "a number left out": [put(0, 1, 1), put(2, 3, 3)],
    "numbers against the order of time": [put(0, 1, 2), put(2, 3, 1)],
    "a content that nobody wrote": [put(0, 1, 1), get(2, 3, 1, "x")],
    "a read before the put was called": [get(0, 1, 1), put(2, 3, 1)],
    "a compare-and-set on what is not the latest": [put(0, 1, 1), put(2, 3, 2), put(4, 5, 3, if_version=1)],
    "a conflict where there is none": [put(0, 1, 1), conflict(2, 3, 1, 1)],
    "a lost compare-and-set that can't have been": [
        put(0, 1, 1),
        put(2, 3, 2),
        lost(4, "d3", 1),
        get(5, 6, 3),
    ],
    "an acknowledged put that is gone": [put(0, 1, 1), get(2, 3, 0)],
}


class Checker(unittest.TestCase):
    def test_right_and_wrong(self) -> None:
        for name, history in RIGHT.items():
            with self.subTest(name):
                self.assertEqual(violation(history), "")
        for name, history in WRONG.items():
            with self.subTest(name):
                self.assertIn("fit one order", violation(history))

    def test_drawn_histories(self) -> None:
        """Drawn from a real register, with answers that are lost; then one answer in each is made wrong."""
        for seed in range(60):
            chance, now, number, history = random.Random(seed), 0.0, 0, []
            for _ in range(40):
                now += 1.0
                begin, end = now - chance.uniform(0, 4), now + chance.uniform(0, 4)
                if chance.random() < 0.5:
                    number += 1
                    history.append(
                        put(begin, end, number) if chance.random() < 0.8 else lost(begin, f"d{number}")
                    )
                else:
                    history.append(get(begin, end, number))
            self.assertEqual(violation(history), "")
            late = max((op for op in history if op.kind == "get" and op.number), key=lambda op: op.called)
            stale = [get(late.answered + 10, late.answered + 11, late.number - 1)]
            self.assertNotEqual(violation(history + stale), "")

    def test_fates_are_read_from_the_end(self) -> None:
        history = with_outcomes([lost(0, "d1"), lost(0, "x"), get(5, 6, 1)], {1: "d1"})
        self.assertEqual([(op.kind, op.digest) for op in history], [("put", "d1"), ("get", "d1")])

    def test_too_wide(self) -> None:
        with self.assertRaises(Undecided):
            violation([lost(0, f"x{at}") for at in range(30)] + [get(1, 2, 1, "y")], budget=1000)
