"""Plans of a soak: drawn alike from a seed, kept as JSON, within the limits of the platform."""

from itertools import pairwise

import orjson
import testtools

from foxspread.mesh.soak.plan import (
    CALM_START_S,
    MIN_REPLICAS_FOR_WIPE,
    WIPE_INTERVAL_S,
    DisruptionKind,
    PlanError,
    draw_plan,
    plan_from_json,
)

SEEDS = range(300)


class PlanTest(testtools.TestCase):
    def test_a_seed_draws_the_same_plan_and_json_keeps_it(self):
        for seed in SEEDS:
            plan = draw_plan(seed, 60.0, 20)
            self.assertEqual(plan, draw_plan(seed, 60.0, 20))
            self.assertEqual(plan, plan_from_json(orjson.loads(orjson.dumps(plan.to_json()))))
        self.assertNotEqual(draw_plan(1, 60.0, 20), draw_plan(2, 60.0, 20))

    def test_limits(self):
        for seed in SEEDS:
            plan = draw_plan(seed, 60.0, 20)
            self.assertTrue(plan.replicas + plan.sidecars <= 20)
            self.assertTrue(all(each.at_s >= CALM_START_S and each.nodes for each in plan.disruptions))

    def test_no_more_disks_are_lost_than_the_platform_tolerates(self):
        for seed in SEEDS:
            plan = draw_plan(seed, 120.0, 20)
            wipes = [each for each in plan.disruptions if each.kind is DisruptionKind.WIPE]
            if wipes:
                self.assertTrue(plan.replicas >= MIN_REPLICAS_FOR_WIPE)
            for first, second in pairwise(wipes):
                self.assertTrue(second.at_s - first.at_s >= WIPE_INTERVAL_S)

    def test_some_seeds_use_as_many_machines_as_they_may(self):
        plans = [draw_plan(seed, 60.0, 60) for seed in SEEDS]
        self.assertTrue(any(plan.replicas + plan.sidecars == 60 for plan in plans))

    def test_what_is_no_plan(self):
        for data in ({}, {"disruptions": [{"kind": "melt"}]}, {"disruptions": [], "seed": 1}):
            self.assertRaises(PlanError, plan_from_json, data)
