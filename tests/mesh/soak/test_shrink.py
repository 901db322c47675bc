"""Shrinking a failing plan to the disruptions that it needs."""

import testtools

from foxspread.mesh.soak.plan import draw_plan
from foxspread.mesh.soak.shrink import shrink


class ShrinkTest(testtools.TestCase):
    def test_only_what_is_needed_stays(self):
        for seed in range(40):
            plan = draw_plan(seed, 90.0, 12)
            needed = {plan.disruptions[0], plan.disruptions[-1]}
            found = shrink(plan, lambda each, needed=needed: needed <= set(each.disruptions), 1000)
            self.assertEqual(needed, set(found.disruptions))

    def test_the_number_of_runs_is_bounded(self):
        plan, runs = draw_plan(1, 90.0, 12), []

        def fails(each):
            runs.append(each)
            return False

        self.assertIs(plan, shrink(plan, fails, 5))
        self.assertEqual(5, len(runs))
