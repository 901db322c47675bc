"""The first seconds after a switch: an old instance's knowledge in a new one."""

import json
import unittest

from foxspread.carry import learnt, take_over
from foxspread.model import Act, Outcome
from tests.helpers import acts, balancer, mark_down, pull, sent_to, servers, take

NAMES = [f"s{n:02}" for n in range(12)]


def old():
    it = balancer(servers(NAMES, kind="k"))
    mark_down(it.marks, "s00", "s01", until=104.0)
    it.measures.turn["k"] = 0.5
    return it


def new(listed=None, **changes):
    settings = dict(streams=100, sidecars=300, position=5) | changes
    return balancer(servers(NAMES, kind="k") if listed is None else listed, **settings)


def told(it):
    return json.loads(json.dumps(learnt(it)))


class TestCarry(unittest.TestCase):
    def test_a_marked_server_is_not_taken_for_sound(self):
        it = new(position=0)
        self.assertEqual(take_over(it, 100.0, told(old())), 2)
        sent = set()
        for step in range(60):
            sent |= set(sent_to(take(it, 100.0 + step / 20, f"x{step}")))
            it.hand_off_ended(100.02 + step / 20, f"x{step}", 0, Outcome.DONE, True)
        self.assertFalse(sent & {"s00", "s01"})
        self.assertEqual(it.measures.turn["k"], 1.0)   # the fastest that this one has met

    def test_trials_go_on_where_they_were_due(self):
        it = new(position=0)
        take_over(it, 100.0, told(old()))
        sent = []
        for step in range(4):
            sent += sent_to(take(it, 104.1 + step / 100, f"x{step}"))
        self.assertEqual(sorted(set(sent) & {"s00", "s01"}), ["s00", "s01"])
        self.assertEqual(sent.count("s00"), 1)

    def test_a_server_that_has_started_anew_or_gone_is_not_marked(self):
        it = new([*servers(["s00"], started=99.0), *servers(NAMES[2:])])
        self.assertEqual(take_over(it, 100.0, told(old())), 0)
        self.assertFalse(it.marks.marked)

    def test_a_cold_servers_budget_starts_afresh(self):
        """Guards against a burst of all new sidecars at once, with shares that the old ones had saved."""
        fleet = [new([*servers(NAMES), *servers(["t"], started=100.0)], position=n, seed=n, sidecars=40)
                 for n in range(40)]
        sent = []
        for number, it in enumerate(fleet):
            take_over(it, 100.0, told(old()))
            for step in range(20):
                found = sent_to(take(it, 100.0 + step / 10, f"x{number}-{step}"))
                sent += found
                for id in list(it.lookups):
                    it.hand_off_ended(100.05 + step / 10, id, 0, Outcome.DONE, True)
        # 40 x 20 lookups in 2 s over 12 warm servers, some 33 a second each; a tenth of that, 2.5 times.
        self.assertGreater(len(sent), 700)
        self.assertLess(sent.count("t"), 0.1 * 2.5 * 2 * len(sent) / 2 / 12)

    def test_what_is_out_stays_with_the_old_one_and_is_answered_once(self):
        it = old()
        server = sent_to(take(it, 100.0, "x"))[0]
        fresh = new()
        take_over(fresh, 100.1, told(it))
        self.assertEqual((fresh.lookups, fresh.out), ({}, {}))
        fresh.hand_off_ended(100.2, "x", 0, Outcome.DONE, True)   # not its own: nothing follows
        self.assertEqual(pull(fresh, 100.2), [])
        self.assertIn(server, it.out)
        it.hand_off_ended(100.2, "x", 0, Outcome.ERROR, False)
        self.assertEqual(len([a for a in acts(pull(it, 100.2)) if a in (Act.HAND_OFF, Act.DISMISS)]), 1)

    def test_what_is_no_record_is_refused_whole(self):
        for bad in ([], {}, {"version": 2, "marks": [], "turns": {}},
                    {"version": 1, "marks": [{}], "turns": {}},
                    {"version": 1, "marks": 3, "turns": {"k": 0.2}}):
            it = new()
            with self.subTest(bad), self.assertRaises(ValueError):
                take_over(it, 100.0, bad)
            self.assertEqual((it.marks.marked, it.measures.turn), (set(), {}))


if __name__ == "__main__":
    unittest.main()
