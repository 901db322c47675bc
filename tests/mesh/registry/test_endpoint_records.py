"""Endpoint records: which record of a node is in force, alternatives for callers, count of sidecars."""

from itertools import permutations

import testtools

from foxspread.mesh.registry.endpoint_records import (
    MAX_LEAVING_S,
    EndpointRecord,
    EndpointRecords,
    unpack_record,
)
from foxspread.mesh.registry.heartbeat import READY
from foxspread.mesh.registry.incarnations import unpack_instance


class EndpointRecordsTest(testtools.TestCase):
    def test_the_newest_record_of_each_node_is_in_force(self) -> None:
        # The order is that of versions, not of arrival: a later incarnation precedes a higher counter.
        rows = [
            ["n", [incarnation, number], "z", "up", "a:1", []]
            for incarnation, number in ((1, 1), (1, 9), (2, 1))
        ]
        for sequence in permutations(rows):
            records = EndpointRecords()
            updated = [records.update(0.0, unpack_record(row)) for row in sequence]
            self.assertEqual((2, 1), records.by_node["n"].version)
            self.assertTrue(updated[0])
            self.assertFalse(records.update(0.0, unpack_record(sequence[0])))
        record = EndpointRecord(
            "n", (1, 2), "z", "up", ("a", 1), (unpack_instance(["i", "s", "a:2", "z", 3, READY, 4]),)
        )
        self.assertEqual(record, unpack_record(record.packed()))

    def test_callers_have_alternatives_while_half_of_the_zone_is_up(self) -> None:
        # Otherwise a zone whose sidecars are restarted one by one, shortly after each other, could have none
        # for its callers.
        records = EndpointRecords()

        def publish(
            now: float, node: str, state: str, number: int = 1, zone: str = "z", incarnation: int = 1
        ) -> None:
            records.update(now, unpack_record([node, [incarnation, number], zone, state, "a:1", []]))

        for node in "abc":
            publish(0.0, node, "up")
        publish(0.0, "far", "up", zone="y")
        alternatives = [records.callers_have_alternatives(now, "a", "z", 1.5) for now in (1.0, 2.0)]
        publish(2.0, "b", "leaving", 2)
        alternatives.append(records.callers_have_alternatives(3.0, "a", "z", 1.5))
        publish(4.0, "b", "up", 1, incarnation=2)
        publish(
            5.4, "b", "up", 2, incarnation=2
        )  # a further record of an incarnation does not restart its time
        alternatives += [records.callers_have_alternatives(now, "a", "z", 1.5) for now in (5.0, 5.6)]
        self.assertEqual([False, True, False, False, True], alternatives)
        # The only sidecar of a zone has no others to wait for.
        self.assertTrue(records.callers_have_alternatives(9.0, "far", "y", 1.5))

    def test_sidecars_that_leave_together_wait_only_for_those_that_left_before(self) -> None:
        # Guards against sidecars that wait for each other: each would stay until its grace period ends.
        records = EndpointRecords()
        for state, number, nodes in (("up", 1, "abc"), ("leaving", 2, "bca")):
            for at, node in enumerate(nodes):
                records.update(10.0 * number + at, unpack_record([node, [1, number], "z", state, "a:1", []]))

        def may_leave(now: float) -> list[str]:
            return [node for node in "abc" if records.callers_have_alternatives(now, node, "z", 1.5)]

        self.assertEqual(["b"], may_leave(30.0))
        for now, node, next_to_leave in ((31.0, "b", "c"), (33.0, "c", "a")):
            records.update(now, unpack_record([node, [2, 1], "z", "up", "a:1", []]))
            self.assertNotIn(next_to_leave, may_leave(now + 1.0))
            self.assertIn(next_to_leave, may_leave(now + 1.6))

    def test_sidecars_that_were_taken_away_are_not_waited_for(self) -> None:
        # Guards against a zone that has shrunk: its last sidecars would wait in vain whenever they leave.
        records = EndpointRecords()
        for state, number, nodes in (("up", 1, "abcde"), ("leaving", 2, "cde")):
            for node in nodes:
                records.update(10.0 * number, unpack_record([node, [1, number], "z", state, "a:1", []]))
        gone_at = 20.0 + MAX_LEAVING_S
        self.assertFalse(records.callers_have_alternatives(gone_at, "a", "z", 1.5))
        self.assertTrue(records.callers_have_alternatives(gone_at + 0.1, "a", "z", 1.5))
        records.update(gone_at + 1.0, unpack_record(["c", [2, 1], "z", "up", "a:1", []]))  # one comes back
        self.assertFalse(records.callers_have_alternatives(gone_at + 1.1, "a", "z", 1.5))

    def test_the_count_of_sidecars_follows_the_records(self) -> None:
        # Whatever the order of arrival, the count is that of the records in force.
        rows = [
            ["n", [1, 1], "z", "up", "a:1", []],
            ["n", [1, 2], "y", "leaving", "a:1", []],
            ["n", [2, 1], "z", "up", "", []],
            ["m", [1, 1], "y", "up", "b:1", []],
            ["keeper", [1, 1], "z", "up", "", []],
        ]
        for sequence in permutations(rows):
            records = EndpointRecords()
            for number, row in enumerate(sequence):
                records.update(float(number), unpack_record(row))
                sidecars = [each for each in records.by_node.values() if each.inbound is not None]
                self.assertEqual(len(sidecars), records.sidecar_count, sequence)
                zones = {zone: {each.node for each in sidecars if each.zone == zone} for zone in "zy"}
                self.assertEqual(
                    zones, {zone: records.sidecars_of_zone.get(zone, set()) for zone in "zy"}, sequence
                )

    def test_an_unknown_state_is_sent_on_unchanged(self) -> None:
        row = ["n", [1, 1], "z", "resting", "a:1", [["i", "s", "a:2", "z", 3, "thawing", 4, 0.0, "v1"]]]
        self.assertEqual(row, unpack_record(row).packed())
