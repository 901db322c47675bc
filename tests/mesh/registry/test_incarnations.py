"""Lives of servers: all orders in which what they say may arrive."""

from itertools import permutations

import testtools

from foxspread.mesh.registry.incarnations import DRAINING, ENDED_KEPT_S, GONE, MISSED, READY, InstanceTable
from foxspread.mesh.registry.endpoint_records import (
    EndpointRecord,
    EndpointRecords,
    unpack_record,
    unpack_instance,
)
from foxspread.mesh.errors import Failure

BEAT = {"service": "s1", "address": "a:80", "berths": 4, "state": READY, "sequence": 1}
TOLD = {
    "beat 1": lambda instances, now: instances.beat(now, "i", BEAT),
    "beat 2": lambda instances, now: instances.beat(now, "i", BEAT | {"sequence": 2}),
    "drain 3": lambda instances, now: instances.beat(now, "i", BEAT | {"sequence": 3, "state": DRAINING}),
    "leave": lambda instances, now: instances.leave(now, "i"),
}


def state(instances):
    return instances.servers["i"].state if "i" in instances.servers else None


class LivesTold(testtools.TestCase):
    def test_every_order_of_what_a_life_says(self):
        # Guards: a late beat changes nothing; a drain is final, a leave still more, also where it overtakes
        # the drain or the first beat of all; what ended is refused from then on.
        for order in permutations(TOLD):
            instances, left, drained = InstanceTable(1.0), False, False
            for number, name in enumerate(order):
                outcome = TOLD[name](instances, float(number))
                if left:
                    self.assertFalse(outcome)
                    self.assertIsInstance(outcome, Failure, order)
                left, drained = left or name == "leave", drained or name == "drain 3"
                self.assertEqual(None if left else DRAINING if drained else READY, state(instances), order)

    def test_a_lower_number_after_a_higher(self):
        # Guards: what an older beat says is not news, whatever it says.
        instances = InstanceTable(1.0)
        self.assertTrue(instances.beat(0.0, "i", BEAT | {"sequence": 5, "berths": 9}))
        for late in ({"sequence": 4, "berths": 1}, {"sequence": 5, "state": DRAINING}):
            self.assertIs(False, instances.beat(0.1, "i", BEAT | late))
        self.assertEqual([READY, 9], [state(instances), instances.servers["i"].berths])

    def test_only_what_others_have_to_know_is_news(self):
        # Guards: a beat a second of each server must not be a message a second to all sidecars.
        instances = InstanceTable(1.0)
        changes = ({}, {"berths": 5}, {"berths": 5, "state": DRAINING}, {"address": "b:80"}, {"zone": "z"})
        self.assertTrue(instances.beat(0.0, "i", BEAT | {"cold_s_time": 3.0}))
        self.assertIs(False, instances.beat(0.1, "i", BEAT | {"cold_s_time": 2.9, "sequence": 2}))
        for number, change in enumerate(changes[1:], start=3):
            self.assertIs(True, instances.beat(0.2, "i", BEAT | change | {"sequence": number}), change)

    def test_a_drain_told_to_an_earlier_process(self):
        # Guards: who is draining when first heard of may have been acknowledged before this process began, so
        # its part of `drain_s` may be over.
        instances = InstanceTable(1.0)
        instances.beat(9.0, "i", BEAT | {"state": DRAINING})
        instances.beat(9.0, "j", BEAT | {"sequence": 1})
        instances.beat(9.5, "j", BEAT | {"state": DRAINING, "sequence": 2})
        self.assertEqual([float("-inf"), 9.5], [instances.draining_at[each] for each in "ij"])

    def test_missed_beats(self):
        # Guards: a silent server is gone, one that speaks again is back, a draining one is not ready again;
        # and the silence of a process that stood still itself is nobody's.
        instances = InstanceTable(1.0)
        instances.beat(0.0, "i", BEAT)
        self.assertFalse(instances.sweep(MISSED - 0.1))
        self.assertTrue(instances.sweep(MISSED + 0.1))
        self.assertEqual([GONE, False], [state(instances), instances.sweep(MISSED + 0.2)])
        self.assertTrue(instances.beat(3.0, "i", BEAT | {"sequence": 2}))
        instances.slept(20.0)
        self.assertFalse(instances.sweep(23.0))
        instances.beat(23.0, "i", BEAT | {"sequence": 3, "state": DRAINING})
        instances.sweep(30.0)
        instances.beat(30.0, "i", BEAT | {"sequence": 4})
        self.assertEqual(DRAINING, state(instances))

    def test_nothing_is_kept_for_ever(self):
        # Guards: ids of silent and of ended lives have an end of their own.
        instances = InstanceTable(1.0)
        instances.beat(0.0, "i", BEAT | {"state": DRAINING})
        instances.leave(0.0, "j")
        instances.sweep(ENDED_KEPT_S + 1.0)
        for kept in (
            instances.servers,
            instances.heard,
            instances.warm_at,
            instances.ended,
            instances.draining_at,
        ):
            self.assertEqual({}, kept)

    def test_rows_say_how_long_a_server_is_still_cold(self):
        instances = InstanceTable(1.0, zone="here")
        instances.beat(0.0, "i", BEAT | {"cold_s_time": 5.0})
        (row,) = instances.rows(2.0)
        self.assertEqual((3.0, "here"), (unpack_instance(row).warm_in, unpack_instance(row).zone))
        self.assertEqual(0.0, unpack_instance(instances.rows(9.0)[0]).warm_in)


class RecordsTaken(testtools.TestCase):
    def test_the_newest_of_each_sidecar_holds(self):
        # Guards: merge by version, not by arrival; of a later life before more of an earlier one.
        rows = [
            ["n", [incarnation, number], "z", "up", "a:1", []]
            for incarnation, number in ((1, 1), (1, 9), (2, 1))
        ]
        for order in permutations(rows):
            records = EndpointRecords()
            taken = [records.take(0.0, unpack_record(row)) for row in order]
            self.assertEqual((2, 1), records.of["n"].version)
            self.assertTrue(taken[0])
            self.assertFalse(records.take(0.0, unpack_record(order[0])))
        whole = EndpointRecord(
            "n", (1, 2), "z", "up", ("a", 1), (unpack_instance(["i", "s", "a:2", "z", 3, READY, 4]),)
        )
        self.assertEqual(whole, unpack_record(whole.packed()))

    def test_who_may_go_while_others_of_its_zone_are_out(self):
        # Guards: stopped in turn at short gaps, all of a zone would be away at once and callers find nobody.
        records = EndpointRecords()

        def told(now, node, state, number=1, zone="z", incarnation=1):
            records.take(now, unpack_record([node, [incarnation, number], zone, state, "a:1", []]))

        for node in "abc":
            told(0.0, node, "up")
        told(0.0, "far", "up", zone="y")
        spares = [records.spares(now, "a", "z", 1.5) for now in (1.0, 2.0)]
        told(2.0, "b", "leaving", 2)
        spares.append(records.spares(3.0, "a", "z", 1.5))
        told(4.0, "b", "up", 1, incarnation=2)
        told(5.4, "b", "up", 2, incarnation=2)  # more of the same life does not begin anew
        spares += [records.spares(now, "a", "z", 1.5) for now in (5.0, 5.6)]
        self.assertEqual([False, True, False, False, True], spares)
        self.assertTrue(records.spares(9.0, "far", "y", 1.5))  # the only one of its zone waits for nobody

    def test_how_many_sidecars_are_known(self):
        # Guards: counted as records come, whatever their order: the same as counting all of them.
        rows = [
            ["n", [1, 1], "z", "up", "a:1", []],
            ["n", [1, 2], "y", "leaving", "a:1", []],
            ["n", [2, 1], "z", "up", "", []],
            ["m", [1, 1], "y", "up", "b:1", []],
            ["keeper", [1, 1], "z", "up", "", []],
        ]
        for order in permutations(rows):
            records = EndpointRecords()
            for number, row in enumerate(order):
                records.take(float(number), unpack_record(row))
                sides = [each for each in records.of.values() if each.inbound is not None]
                self.assertEqual(len(sides), records.sidecars, order)
                zones = {zone: {each.node for each in sides if each.zone == zone} for zone in "zy"}
                self.assertEqual(zones, {zone: records.of_zone.get(zone, set()) for zone in "zy"}, order)
