"""Changes of members, and late copies of refused orders: all orders of small cases, or the one order that
shows a mistake.
"""

from testtools import TestCase

from foxspread.mesh.configuration.items import LEASE, MEMBERS, Item
from foxspread.mesh.replication.membership import MemberSet, membership_change
from foxspread.mesh.simulation.mutants import CORES, InPieces
from foxspread.mesh.simulation.explore import Case, Table, explore
from foxspread.mesh.simulation.machines import Cores
from tests.mesh.replication.scripted_replicas import (
    THREE,
    send_prepare,
    start_attempt,
    send_accept,
    route,
    service,
    wipe_and_enrol,
)

FOUR = ("a", "b", "c", "d")
ROUTE, SERVICE = route("r", "/p/", "v"), service("v")


def to(new: str, old: tuple[str, ...] = FOUR) -> Item:
    return membership_change(MemberSet(0, old), new)


def two_changes(cores: Cores) -> Table:
    """The known example against changes of one machine that the new set alone counts: a takes d out and
    reaches nobody; d takes a out with c; a tries again with b."""
    table = Table.laid(Case(FOUR, (("a", to("abc")), ("d", to("bcd"))), starts=3), cores)
    start_attempt(table, "a")
    send_prepare(table, "a", "bc")
    start_attempt(table, "d", above=1)
    send_prepare(table, "d", "bc")
    send_accept(table, "d", "c")
    start_attempt(table, "a", above=2)
    send_prepare(table, "a", "b")
    if any(each[:2] == ("a", "b") for each in table.flying):
        send_accept(table, "a", "b")
    return table


class MemberChanges(TestCase):
    def test_two_changes_begun_from_one_set(self) -> None:
        # Counted by the new set alone, two sets are agreed under one number; by both, one.
        broken = two_changes(CORES["a change is counted by the new set"])
        self.assertIn("two contents of members@r1 were shown", broken.faults)
        self.assertEqual([], two_changes(Cores()).faults)

    def test_all_orders_of_two_changes(self) -> None:
        # The explorer finds the example by itself, and nothing in all orders of a smaller case: an answer
        # comes at once, or what asks for it is lost.
        asked = ("a", to("abc")), ("d", to("bcd"))
        case = Case(FOUR, asked, starts=0, starts_of=(("a", 2), ("d", 1)), prompt=True, answered=True)
        found = explore(case, CORES["a change is counted by the new set"], most=20_000)
        self.assertIn("two contents of members@r1 were shown", found.faults)
        pair = ("a", "b")
        asked = ("a", to("abc", pair)), ("b", to("b", pair))
        starts = dict(starts=0, starts_of=(("a", 2), ("b", 1)))
        found = explore(Case(pair, asked, **starts, standbys=("c",), prompt=True, answered=True))
        self.assertEqual((True, []), (found.ended, found.faults))

    def test_the_next_change_waits_for_the_last(self) -> None:
        # Taken over unsettled and changed on, two machines go in one step.
        second = membership_change(MemberSet(1, ("a", "b", "c")), "ab")
        for cores, faults in (
            (CORES["changes of members at once"], ["members@r2 was in force before members@r1"]),
            (Cores(), []),
        ):
            table = Table.laid(Case(FOUR, (("a", to("abc")), ("b", second)), starts=3), cores)
            start_attempt(table, "a")
            send_prepare(table, "a", "bc")
            send_accept(table, "a", "c", with_replies=False)
            start_attempt(table, "b", above=1)
            send_prepare(table, "b", "ca")
            send_accept(table, "b", "ca")
            self.assertEqual(faults, table.faults[:1])

    def test_one_that_enrolled_votes_once_it_holds_all(self) -> None:
        # What it lacks comes in pieces; asked before, it would settle another content with one that is
        # behind.
        other = service("v", tag=1)
        for cores, faults in ((CORES["votes before it holds all"], True), (Cores(acceptor=InPieces), False)):
            table = Table.laid(Case(THREE, (("a", SERVICE), ("c", other)), starts=3, wipes=1), cores)
            start_attempt(table, "a")
            send_prepare(table, "a", "b")
            send_accept(table, "a", "b")
            wipe_and_enrol(table, "b", "ac")
            start_attempt(table, "c", above=1)
            send_prepare(table, "c", "b")
            if any(each[:2] == ("c", "b") for each in table.flying):
                send_accept(table, "c", "b")
            self.assertEqual(faults, bool(table.faults))

    def test_one_holds_a_lease(self) -> None:
        # All orders of two that ask for one number, with and without its check.
        asked = tuple((name, Item(LEASE, MEMBERS, 1, {"holder": name, "life": name})) for name in "ab")
        case = Case(("a", "b"), asked, prompt=True)
        found = explore(case)
        self.assertEqual((True, []), (found.ended, found.faults))
        self.assertIn(
            "two contents of lease members@r1 were confirmed",
            explore(case, CORES["any fence is taken"]).faults,
        )


class LateCopies(TestCase):
    def test_all_orders_of_an_order_and_its_late_copy(self) -> None:
        # A route is asked for before its service is there, and a copy is read by another machine at any time:
        # refused by one it is refused by all, or taken by all.
        case = Case(("a", "b"), (("a", ROUTE), ("b", SERVICE), ("b", ROUTE)), prompt=True)
        found = explore(case)
        self.assertEqual((True, []), (found.ended, found.faults))
        self.assertGreater(found.states, 20)
        for name in ("a refusal is not agreed", "a refusal is not looked up"):
            self.assertNotEqual([], explore(case, CORES[name]).faults, name)
