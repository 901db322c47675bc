"""The virtual orchard: what it plays, that the cores stand it, and that broken ones do not."""

from itertools import product

from testtools import TestCase

from foxspread.mesh.configuration.items import SERVICE, Item
from foxspread.mesh.simulation.fleet import Fleet, Played, minimised, play
from foxspread.mesh.simulation.mutants import CORES
from foxspread.mesh.simulation.machines import Cores
from foxspread.mesh.simulation.schedule import FAULTS, Event, Plan, days, drawn
from foxspread.mesh.simulation.campaign import several, traced
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
SHOWN_IN_TEST_MEMBERS = {
    "a change is counted by the new set",
    "changes of members at once",
    "votes before it holds all",
    "any fence is taken",
}
SEEDS = range(1, 13)  # in which a script may show a broken core, and the sound one stands it
SHORT = Plan(seconds=4.0)


def outcomes(played: Played) -> list[int | bool | None]:
    return [call.outcome if call.outcome in (None, True) else call.outcome.status for call in played.calls]


def told(*rows: tuple) -> list[Event]:
    """(when, what, machine from 1, seconds or items)"""
    return [
        Event(at, kind, where - 1, *((0.0, tuple(more)) if kind == "call" else more))
        for at, kind, where, *more in rows
    ]


class Sound(TestCase):
    def test_seeds_break_nothing_and_every_fault_befalls(self) -> None:
        # Guards the whole: calls that race, disks, links, clocks and power, for three machines and more.
        for machines, seeds in ((3, range(1, 51)), (5, range(1, 7)), (11, range(1, 2))):
            summary = several(Plan(machines=machines), seeds, jobs=1)
            self.assertEqual([], summary.breaks, machines)
            self.assertGreater(summary.acknowledged, summary.calls / 2)
            if machines == 3:
                self.assertEqual(set(FAULTS), set(summary.befell))

    def test_long_days_and_changes_of_members_break_nothing(self) -> None:
        # Cuts of 20 s of the one that acknowledged, streams of changes, orders read late, losses right after
        # repairs, sidecars that begin anew; members that join, leave, are gone for good and wake up later.
        befell: set[str] = set()
        for machines, day, seeds in (
            (3, "long", range(1, 9)),
            (5, "long", (1,)),
            (5, "members", (7, 9, 12)),
        ):
            summary = several(days(machines)[day], seeds, jobs=1)
            self.assertEqual([], summary.breaks, (machines, day))
            self.assertGreater(summary.acknowledged, summary.calls / 2)
            befell |= set(summary.befell)
        self.assertLessEqual({"next_cut", "loss_after_repair", "sidecar_restart", "gone", "leave"}, befell)

    def test_a_seed_is_the_same_each_time(self) -> None:
        # A failure that does not come again can't be mended.
        first, again = (play(Plan(), 5, trace=True) for _ in range(2))
        self.assertEqual(first.told, again.told)
        self.assertNotEqual(first.told, play(Plan(), 6, trace=True).told)

    def test_never_more_machines_are_lost_than_are_tolerated(self) -> None:
        # Else a broken rule would say nothing; only power is lost by more at once.
        for machines, seed in product((3, 5), range(1, 9)):
            kinds = ("kill", "wipe", "freeze", "cut", "split", "disk_stalls")
            plan = Plan(machines=machines, most=12, faults=kinds)
            fleet = Fleet(plan, seed)
            most = []
            befall = fleet._befall

            def watched(event: Event) -> None:
                befall(event)
                most.append(sum(each.is_lost for each in fleet.machines))

            fleet._befall = watched
            fleet.play(drawn(plan, seed))
            self.assertLessEqual(max(most), plan.tolerate)
            self.assertGreater(max(most), 0)


class Broken(TestCase):
    def caught(self, name: str) -> Played:
        rule, day, seed = CAUGHT_BY[name]
        played = play(days(3)[day], seed, CORES[name])
        self.assertIn(rule, [each.rule for each in played.breaks], name)
        return played

    def test_each_broken_core_is_caught(self) -> None:
        # A judge that never speaks says nothing: a seed, a script or an order by hand shows each.
        for name in CAUGHT_BY:
            self.caught(name)
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
            for cores, least in ((CORES[name], 1), (Cores(), 0)):
                played = [play(Plan(seconds=seconds), seed, cores, told(first, *rows)) for seed in SEEDS]
                found = sum(each.rule == rule for one in played for each in one.breaks)
                self.assertEqual(least, min(1, found), name)
        self.assertEqual(set(CORES), {*scripts, *CAUGHT_BY, *SCRIPTS_BY_MUTANT, *SHOWN_IN_TEST_MEMBERS})

    def test_a_failure_is_told_with_the_fewest_events(self) -> None:
        name = "reads from its own copy"
        played = self.caught(name)
        fewest = minimised(played, CORES[name])
        self.assertEqual(played.breaks[0].rule, fewest.breaks[0].rule)
        self.assertLess(len(fewest.events), len(played.events) / 1.5)
        self.assertIn("broken at", traced(Plan(), played.seed, name)[-1])


class Scripts(TestCase):
    """Hard cases by name, judged by all rules."""

    first = (service(version=1),)

    def played(self, *rows: tuple, plan: Plan = SHORT) -> Played:
        played = play(plan, 1, events=told((0.4, "call", 1, *self.first), *rows))
        self.assertEqual([], played.breaks)
        faults = {kind for _, kind, *_ in rows if kind in FAULTS}
        self.assertEqual(faults, set(played.befell))
        return played

    def test_cut_in_two_with_an_operator_on_each_side(self) -> None:
        # One version, two contents; cut both ways and one way only; resent over the join: one is taken.
        for way, machines in product(("cut", "cut_in", "cut_out"), (3, 5)):
            one, two = service(version=2, tag=1), service(version=2, tag=2)
            played = self.played(
                (1.0, way, 1, 2.0),
                (1.1, "call", 1, one),
                (1.1, "call", 2, two),
                plan=Plan(machines=machines, seconds=4.0),
            )
            self.assertEqual([True, True, 409], sorted(map(_order, outcomes(played)[:3])), way)

    def test_two_calls_that_may_not_both_stand(self) -> None:
        # Each valid alone; one is refused, whichever, and is nowhere.
        drop, to = Item(SERVICE, "v", 2, None), route("r", "/p/", "v")
        for first, second in (((drop,), (to,)), ((to,), (route("q", "/p/", "v"),))):
            for gap in (0.0, 0.002, 0.004, 0.008, 0.016):
                played = self.played((1.0, "call", 2, *first), (1.0 + gap, "call", 3, *second))
                self.assertEqual([True, True, 400], sorted(map(_order, outcomes(played)[:3])), gap)

    def test_power_is_lost_at_any_time_of_a_call(self) -> None:
        # Before, between and after its syncs; all come back, one of them with nothing, and the call is taken.
        for step in range(0, 24, 2):
            for kind in ("power_off", "power_off_wiped"):
                played = self.played(
                    (1.0, "call", 1, service(version=2)), (1.0 + step / 1000, kind, 1 + step % 3, 0.3)
                )
                self.assertEqual(True, outcomes(played)[1])

    def test_the_one_that_acknowledges_is_wiped_while_the_others_lose_power(self) -> None:
        for machine in (1, 2, 3):
            played = self.played(
                (0.9, "acker_wiped", machine, 0.5),
                (1.0, "call", machine, service(version=2)),
                (1.2, "read", machine),
                (1.6, "read", machine),
            )
            self.assertEqual([True] * 4, outcomes(played)[:4])

    def test_a_read_at_a_wiped_one_is_never_older(self) -> None:
        # Asked while it knows nothing it says so, and the operator is served all the same.
        played = self.played((1.0, "wipe", 2, 0.1), (1.11, "read", 2), (1.13, "read", 2))
        self.assertEqual([True] * 3, outcomes(played)[:3])


def _order(outcome: int | bool | None) -> int:
    return 1 if outcome is True else outcome or 999
