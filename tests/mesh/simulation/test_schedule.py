"""The schedules that seeds draw: they stay as they are, or every recorded seed is another run."""

from hashlib import sha256

from testtools import TestCase

from foxspread.mesh.simulation.events import EventKind
from foxspread.mesh.simulation.schedule import Plan, draw_schedule, named_plans

SEEDS = range(1, 21)
DIGESTS = {  # of the printed events of all seeds, by plan and number of machines
    ("short", 3): "463e4f2855b77659",
    ("long", 3): "ed91942925cd624b",
    ("members", 5): "f1a71cb8b3bca11d",
}


class Schedules(TestCase):
    def test_seeds_draw_the_recorded_schedules(self) -> None:
        # A seed that once found a fault is only worth keeping while it draws the same events.
        for (day, machines), digest in DIGESTS.items():
            plan = named_plans(machines)[day]
            lines = [str(event) for seed in SEEDS for event in draw_schedule(plan, seed)]
            self.assertEqual(digest, sha256("\n".join(lines).encode()).hexdigest()[:16], day)

    def test_events_come_in_order_and_within_the_run(self) -> None:
        for day, plan in named_plans(3).items():
            times = [event.at for event in draw_schedule(plan, 1)]
            self.assertEqual(sorted(times), times, day)
            self.assertTrue(0 < times[0] and times[-1] < plan.duration_s, day)

    def test_without_faults_only_clients_act(self) -> None:
        kinds = {event.kind for seed in SEEDS for event in draw_schedule(Plan(faults=()), seed)}
        self.assertEqual({EventKind.CALL, EventKind.READ}, kinds)
