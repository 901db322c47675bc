import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from foxspread.fleet_rules.rollout import Course, Terms
from foxspread.consensus.messages import encoded
from foxspread.singleton.lease_manager import DutyCourse, rank
from foxspread.singleton.fencing import Guard
from foxspread.singleton.lease_holder import Given, Owner
from foxspread.singleton.lease_table import (
    CLOSED_MOST,
    Did,
    Free,
    Intend,
    Lose,
    Pause,
    Registry,
    Take,
    Tell,
    Wish,
    Yield,
)
from foxspread.lab.processes import singleton_explorer, singleton_simulation

NAMES = st.sampled_from(["a/1", "b/1", "c/1"])
TOKENS = st.integers(0, 5)
COMMANDS = st.one_of(
    st.builds(Take, st.just("d"), NAMES, TOKENS),
    st.builds(Lose, st.just("d"), TOKENS),
    st.builds(Free, st.just("d"), TOKENS),
    st.builds(Yield, st.just("d"), TOKENS),
    st.builds(Wish, st.just("d"), NAMES),
    st.builds(Pause, st.just("d"), st.booleans()),
    st.builds(Intend, st.just("d"), TOKENS, st.sampled_from("xy"), st.just("w"), st.just(1.0)),
    st.builds(Did, st.just("d"), TOKENS, st.sampled_from("xy")),
    st.builds(Tell, st.just("d"), TOKENS, st.sampled_from("xy")),
)


class Log(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(COMMANDS, max_size=40))
    def test_tokens_rise_by_one_and_an_owner_is_gone_before_the_next(self, commands: list) -> None:
        it, last = Registry(), (0, "", False)
        for command in commands:
            it.obey(command)
            duty = it.duties.get("d")
            if duty is None:
                continue
            state = (duty.token, duty.owner, duty.lost)
            if state[0] != last[0]:
                self.assertEqual((state[0], last[1]), (last[0] + 1, ""))  # nobody owned it just before
            if state[1] != last[1] and state[1]:
                self.assertEqual(state[0], last[0] + 1)
            if last[1] and not state[1]:
                self.assertTrue(last[2] or isinstance(command, Yield))  # lost first, unless it gave it up
            last = state
        again = Registry()
        again.restore(it.saved())
        self.assertEqual((again.duties, again.losses), (it.duties, it.losses))

    def test_an_intent_is_closed_once_and_an_old_owners_word_that_it_did_it_counts(self) -> None:
        it = Registry()
        for command, against in (
            (Intend("d", 1, "x", "w", 1.0), "no duty"),
            (Take("d", "a/1", 1), ""),
            (Intend("d", 1, "x", "w", 1.0), ""),
            (Intend("d", 1, "x", "w", 1.0), ""),  # the answer was lost
            (Intend("d", 1, "x", "other", 1.0), "there already"),
            (Intend("d", 1, "y", "w", 1.0), ""),
            (Intend("d", 1, "long", "w" * 301, 1.0), "more than 300 characters"),
            (Tell("d", 1, "x"), "of an earlier owner"),
            (Lose("d", 1), ""),
            (Take("d", "b/1", 2), "is taken"),
            (Free("d", 1), ""),
            (Take("d", "b/1", 2), ""),
            (Intend("d", 1, "z", "w", 1.0), "not the present one"),
            (Tell("d", 2, "x"), ""),
            (Did("d", 1, "y"), ""),
            (Did("d", 1, "x"), ""),
        ):
            with self.subTest(command):
                self.assertIn(against, it.obey(command))
                self.assertEqual(bool(against), bool(it.obey(command)) if against else False)
        self.assertEqual(
            {id: row.state for id, row in it.duties["d"].intents.items()}, {"x": "done", "y": "done"}
        )
        for number in range(2 * CLOSED_MOST):
            it.obey(Intend("d", 2, f"n{number}", "w", 1.0))
            it.obey(Did("d", 2, f"n{number}"))
        self.assertEqual(len(it.duties["d"].intents), CLOSED_MOST)

    def test_it_stands_in_the_coordinators_snapshot_and_an_older_one_is_read(self) -> None:
        old, it, again = Course(), DutyCourse(), DutyCourse()
        for each in (old, it):
            each.apply(encoded(Terms(lease=2.0)))
        it.apply(encoded(Take("d", "a/1", 1)))
        again.restore(it.saved())
        self.assertEqual((again.duties.duties, again.terms), (it.duties.duties, it.terms))
        again.restore(old.saved())
        self.assertEqual((again.duties.duties, again.terms), ({}, old.terms))


class Parts(unittest.TestCase):
    def test_a_lease_counts_from_the_ask_and_a_late_answer_gives_nothing_back(self) -> None:
        one = Owner(0.0, "a/1", ["d"], lambda: 0.5)
        ask = one.ask(10.0)
        one.answered(12.0, ask, Given(10.0, 0.02, {"d": 3}))
        self.assertEqual([one.may(at, "d") for at in (12.0, 19.79, 19.81)], [3, 3, 0])
        one.give_up("d")
        self.assertEqual((one.may(13.0, "d"), one.ask(30.0).yields), (0, (("d", 3),)))
        one.answered(13.0, ask, Given(10.0, 0.02, {"d": 3}))
        self.assertEqual(one.may(13.0, "d"), 0)
        one.answered(40.0, one.ask(40.0), Given(10.0, 0.02, {"d": 4}))
        self.assertEqual((one.may(41.0, "d"), one.yields), (4, {}))

    def test_a_receiver_obeys_no_lower_token_and_none_before_it_knows(self) -> None:
        kept: dict[str, int] = {}
        guard = Guard({}, kept.__setitem__)
        self.assertEqual([guard.admit("d", each) for each in (2, 2, 1, 3)], [True, True, False, True])
        again = Guard(dict(kept), kept.__setitem__)
        self.assertFalse(again.admit("d", 2))
        wiped = Guard(None, kept.__setitem__)
        self.assertIsNone(wiped.admit("d", 9))
        wiped.learn({"d": 5})
        self.assertEqual([wiped.admit("d", each) for each in (4, 5)], [False, True])

    def test_duties_are_spread_and_move_little_where_one_goes(self) -> None:
        names, tasks = [f"s{at}" for at in range(10)], [f"d{at}" for at in range(200)]
        to = {each: max(names, key=lambda name, each=each: rank(each, name)) for each in tasks}
        less = {each: max(names[1:], key=lambda name, each=each: rank(each, name)) for each in tasks}
        counts = [list(to.values()).count(name) for name in names]
        self.assertTrue(min(counts) > 5 and max(counts) < 45, counts)
        self.assertEqual(
            {each for each in tasks if to[each] != less[each]}, {e for e in tasks if to[e] == "s0"}
        )


class Virtual(unittest.TestCase):
    def test_seeds(self) -> None:
        for seed in range(1, 7):
            result = singleton_simulation.played(
                singleton_simulation.DutyPlan(seconds=10.0, settle=9.0), seed
            )
            self.assertEqual((seed, result.faults), (seed, []))
            self.assertGreater(result.counts["obeyed"], 50)

    def test_broken_ones_are_caught_by_their_rules(self) -> None:
        for name in ("unguarded", "checks_early", "effect_first", "repeats", "forgets"):
            with self.subTest(name):
                self.assertIsNotNone(singleton_simulation.caught(name, range(1, 20)))

    def test_small_cases_whole(self) -> None:
        for name in ("orders", "yields"):
            found = singleton_explorer.explored(name)
            self.assertEqual((found.fault, found.whole), ("", True))
            self.assertGreater(found.states, 10_000)
        for name, rule in (
            ("no_pause", "exclusive"),
            ("unguarded", "fenced"),
            ("from_answer", "exclusive"),
            ("repeats", "once"),
            ("takes_back", "exclusive"),
        ):
            with self.subTest(name):
                fault = singleton_explorer.explored(singleton_explorer.MUTANTS[name][0], name).fault
                self.assertEqual(fault.partition(":")[0], rule)
