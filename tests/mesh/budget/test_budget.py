"""The budget of further tries, against a count by hand over every window."""

import random
from bisect import bisect_left, bisect_right

import testtools

from foxspread.mesh.budget.budget import STEPS, Budget, Window
from foxspread.mesh.budget.runs import AFTER_S, SWEEP_S, Runs

RATIO, SLACK, SPAN = 0.2, 50, 10.0


def within(times, begin, end):
    return bisect_right(times, end) - bisect_left(times, begin)


def worst(asked, spent, span=SPAN):
    """By how much further arrivals exceed what is allowed, in the worst of all windows (RULES, BUDGET)."""
    most = -SLACK
    steps = range(int(10 * (spent[0] - span)), int(10 * spent[-1]))
    for begin in [*(number / 10 for number in steps), *spent, *(end - span for end in spent)]:
        requests = max(within(asked, begin - back, begin - back + span) for back in (0, span / 2, span))
        most = max(most, within(spent, begin, begin + span) - RATIO * requests - SLACK)
    return most


def bursts(chance, rate, length, burst, pause):
    """Times at which requests come: bursts of so many at once, between them quiet, over an even rate."""
    times = [chance.uniform(0, length) for _ in range(int(rate * length))]
    at = chance.uniform(0, pause)
    while at < length:
        times += [at + chance.uniform(0, 0.2) for _ in range(burst)]
        at += pause * chance.uniform(0.8, 1.2)
    return sorted(times)


class Spends(testtools.TestCase):
    def test_no_window_is_ever_passed(self):
        # Guards: whatever wants a further try gets it as soon as it is allowed; summed over all sidecars no
        # window of any beginning holds more than the rule allows, steady, in bursts, after a pause, or where
        # each sidecar sees another load.
        for seed, (sidecars, rate, burst, pause) in enumerate(
            ((1, 5, 0, 9), (1, 200, 0, 9), (1, 0, 1000, 7.0), (1, 0, 1500, 8.0), (1, 0, 1500, 9.5),
             (1, 1, 1500, 10.5), (5, 20, 200, 8.0), (5, 0, 300, 9.9), (20, 1, 0, 9), (20, 0, 40, 12.0))
        ):  # fmt: skip
            chance = random.Random(seed)
            budgets = [Budget(RATIO, SLACK, SPAN) for _ in range(sidecars)]
            events = sorted(
                (at, number) for number in range(sidecars) for at in bursts(chance, rate, 60.0, burst, pause)
            )
            asked, spent = [], []
            for at, number in events:
                budgets[number].request(at)
                asked.append(at)
                while chance.random() < 0.9 and budgets[number].allows(at, sidecars):
                    budgets[number].spend(at)
                    spent.append(at)
            self.assertLessEqual(worst(asked, spent), 0.0, (sidecars, rate, burst, pause))
            self.assertLess(SLACK / 10, len(spent))

    def test_what_was_saved_up_is_spent_at_once(self):
        # Guards: two bursts of requests, and servers that fail from the second one on: what both allow is
        # spent within one window, while each window that the rule looks at holds one burst only.
        for apart in [number / 4 for number in range(1, 48)]:
            budget, asked, spent = Budget(RATIO, SLACK, SPAN), [], []
            for at in (100.1, 100.1 + apart):
                asked += [at] * 5000
                for _ in range(5000):
                    budget.request(at)
            while budget.allows(at + 0.01, 1):
                budget.spend(at + 0.01)
                spent.append(at + 0.01)
            self.assertLessEqual(worst(asked, spent), 0.0, apart)

    def test_the_quiet_have_a_little(self):
        # Guards: a sidecar with few requests may try again at all; all of them together not beyond the slack.
        self.assertFalse(Budget(0.0, 0.0, SPAN).allows(0.0, 1))
        for sidecars in (1, 3, 10):
            each = 0
            budget = Budget(RATIO, SLACK, SPAN)
            while budget.allows(0.0, sidecars):
                budget.spend(0.0)
                each += 1
            self.assertLess(0, each)
            self.assertLessEqual(sidecars * each, 0.5 * SLACK)

    def test_a_window_against_a_count(self):
        # Guards: all of the last span are counted, and none older than a step more.
        chance, times, now = random.Random(4), [], 1e6
        window, short, step = Window(SPAN), Window(SPAN, short=True), SPAN / STEPS + 1e-6
        for _ in range(3000):
            now += chance.choice((0.0, 0.01, 0.3, 4.0 if chance.random() < 0.02 else 0.1))
            window.add(now)
            short.add(now)
            times.append(now)
            now += chance.random()
            counts = [within(times, now - back, now) for back in (SPAN - step, SPAN, SPAN + step)]
            found = counts[0], short.read(now), counts[1], window.read(now), counts[2]
            self.assertEqual(sorted(found), list(found))
        self.assertEqual(0, window.read(now + 2 * SPAN))
        self.assertLessEqual(len(window.steps), STEPS + 2)

    def test_what_nobody_was_asked_for_is_spent_too(self):
        # Guards: calls of repeated runs arrive whatever the budget says: they leave less for further tries,
        # in every window that they lie in, also where they are more than the budget has.
        for calls in (0, 3, 30):
            budget = Budget(RATIO, SLACK, SPAN)
            for _ in range(100):
                budget.request(0.0)
            for _ in range(calls):
                budget.spend(0.0, 0.5)
            tries = 0
            while budget.allows(1.0, 0):
                budget.spend(1.0)
                tries += 1
            most = int(0.5 * RATIO * 100 + 0.4 * SLACK / 2)
            self.assertEqual(max(0, int(most - 0.5 * calls)), tries, calls)
            self.assertEqual(0, budget.spent.read(2 * SPAN))


class CallsOfRuns(testtools.TestCase):
    def test_a_call_counts_as_the_run_that_makes_it(self):
        # Guards: only calls of repeats are charged, of runs that are answered or given up as well: a server
        # may work on until its deadline.
        runs = Runs()
        runs.begun(0.0, b"q1", True, 1.0)
        runs.begun(0.0, b"q2", False, 1.0)
        runs.begun(0.0, b"a.b", True, 1.0)
        for id, part in ((b"q1.x", 1), (b"q1.x.y", 1), (b"q2.x", 0), (b"a.b.c", 1), (b"a.c", 0), (b"q1", 0),
                         (b"q12.x", 0), (b"", 0), (b".", 0), (b"q3.x", 0)):  # fmt: skip
            self.assertEqual(part, runs.part(id), id)
        runs.ended(b"q1")
        self.assertEqual([1, 0], [runs.part(b"q1.x"), runs.part(b"q2.x")])

    def test_where_calls_name_no_run(self):
        # Guards: charged as likely as a call here is one of a repeat; what is answered makes none.
        runs = Runs()
        self.assertEqual(0.0, runs.part(b"x"))
        for number in range(4):
            runs.begun(0.0, b"q%d" % number, number == 0, 1.0)
        self.assertEqual([0.25, 0.25], [runs.part(b"x"), runs.part(b"x.y")])
        runs.ended(b"q1")
        self.assertEqual(1 / 3, runs.part(b"x"))
        runs.ended(b"q0")
        self.assertEqual(0.0, runs.part(b"x"))

    def test_what_is_kept_ends(self):
        # Guards: ids of runs go once they can make no more calls; one that is sent again is kept for longer.
        runs = Runs()
        for number in range(1000):
            now = 100.0 + number / 10
            runs.begun(now, b"q%d" % number, False, now + 1.0)
            runs.ended(b"q%d" % number)
            self.assertLessEqual(len(runs.of), 10 * (SWEEP_S + AFTER_S + 1.0) + 2)
        runs.begun(now, b"q999", True, now)
        self.assertEqual((True, now + 1.0), runs.of[b"q999"])
        self.assertEqual({b"q999": True}, runs.out)
