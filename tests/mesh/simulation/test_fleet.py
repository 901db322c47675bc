"""Runs of a simulated fleet: the cores stand them, and each mutant is caught."""

from itertools import product

from testtools import TestCase

from foxspread.mesh.configuration.items import SERVICE, Item
from foxspread.mesh.simulation.fleet import Fleet, RunResult, minimise, play
from foxspread.mesh.simulation.mutants import MUTANTS
from foxspread.mesh.simulation.machines import Cores
from foxspread.mesh.simulation.events import Event
from foxspread.mesh.simulation.schedule import FAULTS, Plan, draw_schedule, named_plans
from foxspread.mesh.simulation.campaign import run_campaign, trace_seed
from tests.mesh.replication.scripted_replicas import SCRIPTS_BY_MUTANT, route, service

CAUGHT_BY = {  # what is broken, by which rule and in which day and seed it is caught
    "any ballot is accepted": ("consistent", "short", 1),
    "news settle another ballot": ("all alike", "short", 22),
    "what an accept brings is not shown": ("all alike", "short", 8),
    "acts before it is chosen": ("refused is nowhere", "short", 1),
    "acknowledges after one acceptance": ("nothing lost", "short", 56),
    "reads from its own copy": ("nothing lost", "short", 13),
    "a disk that lies": ("nothing lost", "short", 13),
    "forgets what was overtaken": ("one content", "long", 1),
    "a refusal is not agreed": ("refused is nowhere", "long", 1),
    "a refusal is not looked up": ("one answer", "long", 1),
    "one answer is contact": ("nothing old", "long", 2),
    "tells and is fresh from the start": ("nothing old", "long", 2),
    "ready by an old basis": ("nothing old", "long", 2),
    "a piece is skipped": ("all alike", "short", 7),
    "shown before it is whole": ("consistent", "long", 1),
}
CAUGHT_BY_THE_EXPLORER = {
    "a change is counted by the new set",
    "changes of members at once",
    "votes before it holds all",
    "any fence is taken",
}
SEEDS = range(1, 13)  # in which a script may show a broken core, and the sound one stands it
SHORT = Plan(duration_s=4.0)


def outcomes(played: RunResult) -> list[int | bool | None]:
    return [call.outcome if call.outcome in (None, True) else call.outcome.status for call in played.calls]


def schedule(*rows: tuple) -> list[Event]:
    """(when, what, machine from 1, seconds or items)"""
    return [
        Event(at, kind, where - 1, *((0.0, tuple(more)) if kind == "call" else more))
        for at, kind, where, *more in rows
    ]


class SoundCores(TestCase):
    def test_short_runs_hold_every_invariant_under_every_fault(self) -> None:
        # Guards the whole: calls that race, disks, links, clocks and power, for three machines and more.
        for machines, seeds in ((3, range(1, 51)), (5, range(1, 7)), (11, range(1, 2))):
            summary = run_campaign(Plan(machines=machines), seeds, jobs=1)
            self.assertEqual([], summary.violations, machines)
            self.assertGreater(summary.acknowledged, summary.calls / 2)
            if machines == 3:
                self.assertEqual(set(FAULTS), set(summary.fault_counts))

    def test_long_runs_and_changes_of_members_hold_every_invariant(self) -> None:
        # Cuts of 20 s of the one that acknowledged, streams of changes, orders read late, losses right after
        # repairs, sidecars that begin anew; members that join, leave, are gone for good and wake up later.
        injected: set[str] = set()
        for machines, day, seeds in (
            (3, "long", range(1, 9)),
            (5, "long", (1,)),
            (5, "members", (7, 9, 12)),
        ):
            summary = run_campaign(named_plans(machines)[day], seeds, jobs=1)
            self.assertEqual([], summary.violations, (machines, day))
            self.assertGreater(summary.acknowledged, summary.calls / 2)
            injected |= set(summary.fault_counts)
        self.assertLessEqual({"next_cut", "loss_after_repair", "sidecar_restart", "gone", "leave"}, injected)

    def test_a_seed_plays_the_same_run_each_time(self) -> None:
        # A failure that does not come again can't be mended.
        first, again = (play(Plan(), 5, trace=True) for _ in range(2))
        self.assertEqual(first.trace, again.trace)
        self.assertNotEqual(first.trace, play(Plan(), 6, trace=True).trace)

    def test_never_more_machines_are_lost_than_are_tolerated(self) -> None:
        # Else a broken rule would say nothing; only power is lost by more at once.
        for machines, seed in product((3, 5), range(1, 9)):
            kinds = ("kill", "wipe", "freeze", "cut", "split", "disk_stalls")
            plan = Plan(machines=machines, max_faults=12, faults=kinds)
            fleet = Fleet(plan, seed)
            lost_counts = []
            play_event = fleet._play_event

            def counted(event: Event) -> None:
                play_event(event)
                lost_counts.append(sum(each.lost for each in fleet.machines))

            fleet._play_event = counted
            fleet.play(draw_schedule(plan, seed))
            self.assertLessEqual(max(lost_counts), plan.tolerate)
            self.assertGreater(max(lost_counts), 0)


class Mutants(TestCase):
    def caught_result(self, name: str) -> RunResult:
        rule, day, seed = CAUGHT_BY[name]
        played = play(named_plans(3)[day], seed, MUTANTS[name])
        self.assertIn(rule, [each.rule for each in played.violations], name)
        return played

    def test_each_mutant_is_caught_by_its_invariant(self) -> None:
        # A judge that never speaks says nothing: a seed, a script or an order by hand shows each.
        for name in CAUGHT_BY:
            self.caught_result(name)
        first, call = (0.4, "call", 1, service()), (1.1, "call", 1, service(version=2))
        scripts = {
            "pulls no news": ("all alike", 4.0, (0.35, "cut", 3, 2.0), call, (1.4, "read", 2)),
            "answers before it is written": (
                "nothing lost",
                4.0,
                (1.0, "power_at_ack", 1, 0.2),
                call,
                (1.4, "read", 2),
            ),
            # Back from a long cut, between its contact and its news.
            "contact whatever others have seen": ("nothing old", 12.0, (0.9, "cut", 3, 6.8), call),
            # Asked over a slow link, and frozen before the answers come.
            "an age counts from the answer": (
                "nothing old",
                12.0,
                *((1.0 + n / 1000, "link_slow", 3, 9.0) for n in range(6)),
                (1.9, "freeze", 3, 7.0),
                (2.5, *call[1:]),
            ),
        }
        for name, (rule, seconds, *rows) in scripts.items():
            for cores, expected in ((MUTANTS[name], 1), (Cores(), 0)):
                played = [
                    play(Plan(duration_s=seconds), seed, cores, schedule(first, *rows)) for seed in SEEDS
                ]
                found = sum(each.rule == rule for one in played for each in one.violations)
                self.assertEqual(expected, min(1, found), name)
        self.assertEqual(set(MUTANTS), {*scripts, *CAUGHT_BY, *SCRIPTS_BY_MUTANT, *CAUGHT_BY_THE_EXPLORER})

    def test_a_counterexample_is_minimised(self) -> None:
        name = "reads from its own copy"
        played = self.caught_result(name)
        fewest = minimise(played, MUTANTS[name])
        self.assertEqual(played.violations[0].rule, fewest.violations[0].rule)
        self.assertLess(len(fewest.events), len(played.events) / 1.5)
        self.assertIn("broken at", trace_seed(Plan(), played.seed, name)[-1])


class Scripts(TestCase):
    """Hard cases, judged by all invariants."""

    first = (service(version=1),)

    def played(self, *rows: tuple, plan: Plan = SHORT) -> RunResult:
        played = play(plan, 1, events=schedule((0.4, "call", 1, *self.first), *rows))
        self.assertEqual([], played.violations)
        faults = {kind for _, kind, *_ in rows if kind in FAULTS}
        self.assertEqual(faults, set(played.fault_counts))
        return played

    def test_one_of_two_changes_made_on_both_sides_of_a_partition_is_accepted(self) -> None:
        # One version, two contents; cut both ways and one way only; resent over the join: one is taken.
        for way, machines in product(("cut", "cut_in", "cut_out"), (3, 5)):
            one, two = service(version=2, tag=1), service(version=2, tag=2)
            played = self.played(
                (1.0, way, 1, 2.0),
                (1.1, "call", 1, one),
                (1.1, "call", 2, two),
                plan=Plan(machines=machines, duration_s=4.0),
            )
            self.assertEqual([True, True, 409], sorted(map(_order, outcomes(played)[:3])), way)

    def test_one_of_two_conflicting_calls_is_refused(self) -> None:
        # Each valid alone; one is refused, whichever, and is nowhere.
        drop, to = Item(SERVICE, "v", 2, None), route("r", "/p/", "v")
        for first, second in (((drop,), (to,)), ((to,), (route("q", "/p/", "v"),))):
            for gap in (0.0, 0.002, 0.004, 0.008, 0.016):
                played = self.played((1.0, "call", 2, *first), (1.0 + gap, "call", 3, *second))
                self.assertEqual([True, True, 400], sorted(map(_order, outcomes(played)[:3])), gap)

    def test_a_call_survives_a_power_loss_at_any_time_of_it(self) -> None:
        # Before, between and after its syncs; all come back, one of them with nothing, and the call is taken.
        for step in range(0, 24, 2):
            for kind in ("power_off", "power_off_wiped"):
                played = self.played(
                    (1.0, "call", 1, service(version=2)), (1.0 + step / 1000, kind, 1 + step % 3, 0.3)
                )
                self.assertEqual(True, outcomes(played)[1])

    def test_a_call_survives_the_wipe_of_the_machine_that_acknowledged_it(self) -> None:
        for machine in (1, 2, 3):
            played = self.played(
                (0.9, "acker_wiped", machine, 0.5),
                (1.0, "call", machine, service(version=2)),
                (1.2, "read", machine),
                (1.6, "read", machine),
            )
            self.assertEqual([True] * 4, outcomes(played)[:4])

    def test_a_read_at_a_wiped_machine_is_never_older(self) -> None:
        # Asked while it knows nothing it says so, and the operator is served all the same.
        played = self.played((1.0, "wipe", 2, 0.1), (1.11, "read", 2), (1.13, "read", 2))
        self.assertEqual([True] * 3, outcomes(played)[:3])


def _order(outcome: int | bool | None) -> int:
    return 1 if outcome is True else outcome or 999
