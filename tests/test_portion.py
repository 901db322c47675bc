"""Which part of the fleet a sidecar sends to, where connections stay open and lookups share them."""

import unittest
from collections import Counter

from foxspread.logic import Portion
from foxspread.model import ListedServer, Outcome
from foxspread.sums import Decaying
from tests.helpers import balancer, mark_down, pull, sent_to, servers, take

KINDS = ["fast", "slow", "slow"]


def warm(now, server):
    return 1.0


def portion(position, names, rate=0.0):
    it = Portion(0.0, position, shared=True)
    it.listed({"a": sorted(names)}, {n: ListedServer(n, "a", kind=KINDS[int(n) % 3]) for n in names})
    asked = Decaying(10.0)
    asked.add(1000.0, rate * 10)
    return it, asked


class TestPortion(unittest.TestCase):
    def test_hundreds_of_sidecars_fill_no_server_s_table_and_miss_none(self):
        """Guards against a connection from each sidecar to each: on a full table sound servers look dead."""
        names = [f"{n:03}" for n in range(60)]
        count = Counter()
        for position in range(300):
            it, asked = portion(position, names)
            count.update(it.of(1000.0, asked, set(), warm))
        self.assertLessEqual(max(count.values()), 26)   # 20 each are even
        self.assertGreaterEqual(min(count.get(name, 0) for name in names), 14)

    def test_a_portion_has_all_kinds_and_grows_with_the_traffic(self):
        names = [f"{n:03}" for n in range(60)]
        for position in range(40):
            it, asked = portion(position, names, rate=20.0)
            found = it.of(1000.0, asked, set(), warm)
            self.assertEqual(Counter(KINDS[int(n) % 3] for n in found).keys(), set(KINDS))
            self.assertGreaterEqual(len(found), 10)
            self.assertLessEqual(len(portion(position, names)[0].of(1000.0, Decaying(10.0), set(), warm)), 5)

    def test_what_is_marked_is_made_up_for_and_the_rest_stays(self):
        it, asked = portion(7, [f"{n:03}" for n in range(60)])
        before = it.of(1000.0, asked, set(), warm)
        lost = min(before)
        after = it.of(1000.0, asked, {lost}, warm)
        self.assertEqual((len(after), len(after & before)), (len(before), len(before) - 1))

    def test_a_server_less_moves_a_portion_by_one_or_two(self):
        names = [f"{n:03}" for n in range(60)]
        for position in range(40):
            before = portion(position, names)[0]
            after = portion(position, names[:20] + names[21:])[0]
            kept = set(before.orders["a"][:6]) & set(after.orders["a"][:6])
            self.assertGreaterEqual(len(kept), 3)

    def test_where_a_connection_carries_one_lookup_all_servers_are_used(self):
        it = balancer(servers([f"s{n:02}" for n in range(30)]), sidecars=300)
        self.assertEqual(len(it.used), 0)
        take(it, 100.0, "x")
        self.assertEqual(len(it.used), 30)

    def test_lookups_stay_in_the_portion_and_leave_it_for_what_stands_in_for_the_marked(self):
        it = balancer(servers([f"s{n:02}" for n in range(30)]), sidecars=300, streams=100, position=3)
        met = set()
        for n in range(40):
            met |= set(sent_to(take(it, 100.0 + n, f"x{n}")))
            it.hand_off_ended(100.1 + n, f"x{n}", 0, Outcome.DONE, True)
        self.assertLessEqual(len(met), 6)
        mark_down(it.marks, *met, until=1e9)
        it.view_until = 0.0
        found = sent_to(take(it, 150.0, "y"))
        self.assertEqual(len(found), 1)
        self.assertNotIn(found[0], met)
        self.assertEqual(pull(it, 150.0), [])


if __name__ == "__main__":
    unittest.main()
