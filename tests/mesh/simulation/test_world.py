"""Links and disks of the virtual orchard do what faults say of them, no less: else runs prove little."""

from testtools import TestCase

from foxspread.mesh.replication.learner import NONE
from foxspread.mesh.replication.stored_state import PutRows, SetMeta
from foxspread.mesh.simulation.disks import SimDisk
from foxspread.mesh.simulation.world import Links, World

ROW = ["service", "v", 1, {"name": "v"}, 2, "w"]


class Ends(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world, self.heard = World(3), []
        self.links = Links(self.world, lambda sender, to, message: self.heard.append((sender, to, message)))

    def sent(self, count: int = 200) -> list:
        self.heard.clear()
        for number in range(count):
            self.links.send("a", "b", number)
        self.world.run(self.world.now + 5)
        return [message for _, _, message in self.heard]

    def test_links(self) -> None:
        # In any order, dropped, repeated, late; cut one way; a connection ends with either end's life.
        everything = set(range(200))
        self.assertEqual(everything, set(self.sent()))
        self.links.drops = 0.2
        self.assertTrue(100 < len(self.sent()) < 199)
        self.links.drops, self.links.repeats = 0.0, 0.3
        self.assertTrue(220 < len(self.sent()) < 300)
        self.links.repeats, self.links.late = 0.0, 0.5
        self.assertNotEqual(sorted(everything), self.sent())
        self.links.cut.add(("b", "a"))
        self.assertEqual(everything, set(self.sent()))
        self.links.cut.add(("a", "b"))
        self.assertEqual([], self.sent())
        self.links.cut.clear()
        self.links.send("a", "b", "old")
        self.links.lives["a"] = 1
        self.world.run(self.world.now + 1)
        self.assertEqual([], self.heard)

    def test_disk(self) -> None:
        # Told means there; the batch under way is there whole or not at all; what came after it is not.
        kept = set()
        for seed in range(12):
            world, told = World(seed), []
            disk = SimDisk(world, "a")
            disk.write([SetMeta("disk", (0, "a")), SetMeta("members", ["a"])], lambda: told.append(1))
            disk.write([SetMeta("voting", True), SetMeta("known", True)], lambda: told.append(2))
            world.run(1)
            disk.write([SetMeta("promised", (3, "w")), PutRows([ROW])], lambda: told.append(3))
            disk.write([SetMeta("promised", (4, "w"))], lambda: told.append(4))
            disk.power_lost()
            world.run(2)
            saved = disk.open(("a",), False)
            kept.add((saved.promised, len(saved.rows)))
            self.assertEqual(([1, 2], (0, "a")), (told, saved.disk))
        self.assertEqual({(NONE, 0), ((3, "w"), 1)}, kept)

    def test_a_disk_that_stalls_or_refuses_tells_nothing_meanwhile(self) -> None:
        for trouble in ("stalled", "refuses"):
            world, told = World(1), []
            disk = SimDisk(world, "a")
            setattr(disk, trouble, True)
            disk.write([SetMeta("promised", (3, "w"))], lambda: told.append(world.now))
            world.run(1)
            self.assertEqual(([], {}), (told, disk.meta))
            setattr(disk, trouble, False)
            world.run(2)
            self.assertEqual(1, len(told))

    def test_a_wiped_disk_has_another_identity_and_does_not_vote(self) -> None:
        disk = SimDisk(World(1), "a")
        first = disk.open(("a",), True)
        disk.wipe()
        second = disk.open(("a",), False)
        self.assertEqual((True, False), (first.voting, second.voting or second.members_confirmed))
        self.assertGreater(second.disk, first.disk)
