"""A disk that comes back empty has forgotten what it promised and accepted: nothing may follow from what its
old self has told. Orders by hand, on the explorer's table.
"""

from testtools import TestCase

from foxspread.orchard.graft.items import SERVICE, Item
from foxspread.orchard.rootstock.stock import Saved, Stock
from foxspread.orchard.sim.explore import Case, Table, read_from

FIVE = ("a", "b", "c", "d", "x")


def service(name: str, version: int = 1, tag: int = 0) -> Item:
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


class Mixed(TestCase):
    """Two machines of five may be lost; each of these orders takes one."""

    def begun(self, *calls: tuple[str, Item]) -> Table:
        return Table.laid(Case(FIVE, calls, starts=2, wipes=2))

    def enrolled(self, table: Table, name: str, *others: str) -> None:
        for other in others:
            table.passed(name, other, "enrol")
        for other in others:
            table.passed(other, name, "enrolled")
        self.assertTrue(table.stocks[name].voting)

    def test_acceptances_before_and_after_a_wipe_make_no_majority(self) -> None:
        # x accepts and is wiped; c, asked by its new disk, accepts only then: two disks hold what three said.
        table = self.begun(("a", service("v")))
        table.start("a")
        for other in ("d", "b"):
            table.passed("a", other, "prepare")
            table.passed(other, "a", "promise")
        table.passed("a", "x", "accept")
        table.wipe("x")
        self.enrolled(table, "x", "b", "c", "d")
        table.passed("x", "a", "accepted")
        table.passed("a", "c", "accept")
        table.passed("c", "a", "accepted")
        self.assertEqual([], table.told)
        self.assertEqual([], table.faults)

    def test_promises_before_and_after_a_wipe_make_no_majority(self) -> None:
        # x promises 2 and is wiped; its new disk votes for 1, which two of those that promised 2 never saw.
        table = self.begun(("a", service("v", tag=1)), ("d", service("v", tag=2)))
        table.writers["a"].seen = 1
        table.start("a")
        table.passed("a", "x", "prepare")
        table.wipe("x")
        self.enrolled(table, "x", "b", "c", "d")
        table.start("d")
        for other in ("x", "c"):
            table.passed("d", other, "prepare")
            table.passed(other, "d", "promise")
        for other in ("x", "c"):
            table.passed("d", other, "accept")
            table.passed(other, "d", "accepted")
        self.assertEqual([(service("v", tag=2), True)], table.told)
        table.passed("x", "a", "promise")
        table.passed("a", "b", "prepare")
        table.passed("b", "a", "promise")
        stocks = [table.stocks[name] for name in ("a", "b", "c")]
        self.assertEqual(service("v", tag=2), read_from(stocks)["service", "v"])
        self.assertEqual([], table.faults)

    def test_an_older_identity_that_comes_late_does_not_shut_out_the_newer(self) -> None:
        # Guards against a machine that is wiped twice and is never heard again by one it asked meanwhile.
        table = self.begun(("a", service("v")))
        table.wipe("x")
        self.enrolled(table, "x", "b", "c", "d")
        table.wipe("x")
        for other in ("a", "b", "d"):
            table.passed("x", other, "enrol", newest=True)
        table.passed("x", "a", "enrol")  # of the disk before
        for other in ("a", "b", "d"):
            table.passed(other, "x", "enrolled")
        self.assertTrue(table.stocks["x"].voting)
        table.start("a")
        for kind, back in (("prepare", "promise"), ("accept", "accepted")):
            for other in ("x", "c"):
                table.passed("a", other, kind)
                table.passed(other, "a", back)
        self.assertEqual([(service("v"), True)], table.told)

    def test_a_new_identity_rises_above_all_that_were_noted(self) -> None:
        # Chance alone says nothing of which of two disks is the newer one.
        stocks = {name: Stock(name, Saved((0, name), FIVE, voting=True, known=True)) for name in "abc"}
        for each in stocks.values():
            each.enrol("x", {"disk": (1, "z")})
        stock = Stock("x", Saved((1, "m"), FIVE))
        for _ in range(2):
            for name, each in stocks.items():
                _, answer, _ = each.enrol("x", {"disk": stock.disk})
                stock.take_in(name, answer)
        self.assertEqual(((2, "m"), True), (stock.disk, stock.voting))
        self.assertEqual({(2, "m")}, {each.disks["x"] for each in stocks.values()})
