"""The budget of further tries, against a count by hand over every window."""

import random
from bisect import bisect_left, bisect_right

import testtools

from foxspread.orchard.budget.budget import STEPS, Budget, Window

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
                (at, number)
                for number in range(sidecars)
                for at in bursts(chance, rate, 60.0, burst, pause)
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
