import unittest
from unittest import mock

from foxspread.consensus import clock


class SuspendedMachine(unittest.TestCase):
    def test_the_clock_counts_on_while_the_machine_is_suspended(self) -> None:
        asked: list[int] = []
        with mock.patch.object(
            clock.time, "clock_gettime", lambda which: asked.append(which) or 100.0 * len(asked)
        ):
            found = clock.Clock(1.02)
            self.assertAlmostEqual(found(), 103.0)
        self.assertEqual(set(asked), {clock.time.CLOCK_BOOTTIME})
