import unittest
from zlib import crc32

from foxspread.decisions.measures import Measures
from foxspread.model import Category, Customer, HandOff, ListedServer, Outcome
from foxspread.sums import Decaying, Low, Mean
from tests.helpers import balancer, servers

C = Category("c", 1.0, 3.0)


def measures():
    it = Measures(100.0, [C])
    it.met(100.0, "s1", "a")
    return it


def ended(it, now, took, outcome):
    it.ended(now, HandOff("s1", "a", "k", now - took, False, outcome=outcome), C)


class TestMeasures(unittest.TestCase):
    def test_a_sum_decays(self):
        it = Decaying(10.0)
        it.add(100.0, 4.0)
        self.assertAlmostEqual(it.read(110.0), 4.0 / 2.718, places=2)

    def test_room_grows_with_the_rate(self):
        it = measures()
        it.done["s1"] = (Decaying(8.0), 0.0)
        it.done["s1"][0].add(100.0, 80.0)
        self.assertAlmostEqual(it.room(100.0, "s1"), 1.74, delta=0.1)

    def test_a_full_server_counts_as_slow_though_it_answers_at_once(self):
        it = measures()
        ended(it, 100.0, 0.001, Outcome.FULL)
        self.assertLess(it.part_of_turn(100.0, *servers(["s1"]), 1.0), 0.1)

    def test_a_quiet_sidecar_lets_in_a_share_that_falls_as_answers_take_longer(self):
        it = measures()
        self.assertGreater(it.room_in_all(100.0, 1.0, 0.1, 0.9), 0)
        for _ in range(9):
            it.brisk.add(0.02)
            it.slow[""].add(100.0, 0.86)
        self.assertEqual(it.room_in_all(100.0, 1.0, 0.1, 0.3), 0)
        self.assertGreater(it.room_in_all(100.0, 1.0, 0.1, 0.15), 0)

    def test_where_idle_servers_take_long_that_dismisses_nothing(self):
        """Guards an idle fleet against dismissals for times that no load has made: work that takes a third of
        the expected time by itself."""
        it = measures()
        for step in range(200):
            it.brisk.add(0.25 + step % 5 * 0.05)
            it.slow[""].add(100.0, 0.35)
        self.assertGreater(it.room_in_all(100.0, 0.7, 0.1, 0.95), 0)
        for _ in range(30):  # crowded, though, it dismisses
            it.brisk.add(1.4)
            it.slow[""].add(110.0, 1.4)
        self.assertEqual(it.room_in_all(110.0, 0.7, 0.1, 0.95), 0)

    def test_a_few_in_flight_at_each_server_by_all_sidecars_are_no_crowd(self):
        """Guards quiet sidecars of a fleet with servers enough against a bound of three in flight."""
        for spare, most in ((0.1, 4.93), (1.5, 7.5)):
            self.assertAlmostEqual(measures().room_in_all(100.0, 1.0, spare, 0.0), most, delta=0.01)
        it = measures()
        for done, spare, most in ((20.0, 3.0, 15.0), (80.0, 0.6, 13.9), (8.0, 0.6, 3.3)):  # as they end
            it.done[""] = Decaying(8.0, done), 0.0
            self.assertAlmostEqual(it.room_in_all(100.0, 1.0, spare, 0.0), most, delta=0.4)

    def test_a_server_quicker_than_its_kind_gets_half_a_turn_more_at_most(self):
        for took, part in ((0.5, 1.5), (0.95, 1.17), (2.0, 0.125)):
            it = measures()
            it.slow["s1"] = Mean(12.0, took)
            self.assertAlmostEqual(it.part_of_turn(100.0, ListedServer("s1"), 1.0), part, delta=0.01)

    def test_a_customer_is_over_its_share_only_beyond_chance(self):
        for more, low, high in ((2, 0.0, 0.1), (5, 0.6, 0.9)):  # one in so many lookups is the other's
            it, over = balancer(customers=[Customer(name, 0.5) for name in "mn"], sidecars=100), 0
            for step in range(400):  # ten a second; counted to the last one, half are over at even shares
                it.lookup_taken(100 + step / 10, f"x{step}", "c", 3.0, "mn"[crc32(b"%d" % step) % more == 0])
                over += it.lookups[f"x{step}"].worth * it.measures.usual(140.0, it.categories["c"]) < 0.5
            self.assertTrue(low <= over / 400 < high, over)

    def test_a_low_quantile_falls_soon_and_rises_slowly(self):
        it = Low(0.2)
        for step in range(3000):
            it.add(0.1 + step % 10 / 10)
        usual = it.value
        self.assertTrue(0.18 < usual < 0.32, usual)
        for _ in range(40):
            it.add(5.0)
        self.assertLess(it.value, 1.3 * usual)
        for _ in range(200):
            it.add(0.02)
        self.assertLess(it.value, 0.1)

    def test_where_much_comes_what_is_old_yields(self):
        it = Mean(12.0, most=12.0)
        for value in [1.0] * 100 + [4.0] * 24:
            it.add(100.0, value)
        self.assertGreater(it.read(100.0), 3.0)

    def test_a_slow_server_gets_a_smaller_part_of_its_turn(self):
        it = measures()
        for _ in range(10):
            ended(it, 100.0, 1.0, Outcome.DONE)
        self.assertLess(it.part_of_turn(100.0, *servers(["s1"]), 1.0), 0.6)
        self.assertEqual(it.part_of_turn(1000.0, *servers(["s1"]), 1.0), 1.0)

    def test_what_was_cut_off_lengthens_the_usual_time(self):
        it = measures()
        before = it.usual(100.0, C)
        ended(it, 100.0, 2.0, Outcome.TIMED_OUT)
        self.assertGreater(it.usual(100.0, C), before)
