"""What makes a process ready, and what a process that was suspended may not take for new."""

import testtools

from foxspread.mesh.control_api.readiness import (
    BASIS_REQUEST_INTERVAL_S,
    MAX_BASIS_AGE_S,
    MAX_AGE_FOR_NEIGHBOURS_S,
    OUTDATED_INPUT_S,
    SUSPENDED_AFTER_S,
    Readiness,
    SuspendDetector,
)


class ReadinessTest(testtools.TestCase):
    def test_only_a_recent_basis_makes_ready_for_good(self):
        # Guards: a keeper that is cut off (age not known, or large), an answer that was held up on its way.
        ready = Readiness()
        for asked_at, age in ((30.0, None), (30.0, MAX_BASIS_AGE_S + 0.1), (30.0 - MAX_BASIS_AGE_S, 0.1)):
            ready.told(30.0, asked_at, age)
            self.assertFalse(ready.ready(True), (asked_at, age))
        ready.told(31.0, 31.5, 0.0)  # of no asking of this life
        self.assertFalse(ready.ready(True))
        ready.told(40.0, 39.9, 0.2)
        self.assertTrue(ready.ready(True))
        self.assertFalse(ready.ready(False))
        self.assertAlmostEqual(0.3, ready.age(40.0))
        ready.told(60.0, 60.0, 25.0)  # an older word takes nothing back
        self.assertTrue(ready.ready(True))
        self.assertAlmostEqual(20.3, ready.age(60.0))

    def test_a_basis_is_requested_until_ready_and_while_neighbours_depend_on_it(self):
        ready = Readiness()
        self.assertTrue(ready.asks(1.0, False))
        self.assertFalse(ready.asks(1.0 + 0.9 * BASIS_REQUEST_INTERVAL_S, False))
        self.assertTrue(ready.asks(1.1 + BASIS_REQUEST_INTERVAL_S, False))
        ready.told(2.0, 2.0, 0.0)
        self.assertFalse(ready.asks(50.0, False))
        self.assertTrue(ready.asks(50.0, True))
        ready.told(50.1, 50.0, 0.1)
        self.assertFalse(ready.asks(50.1 + BASIS_REQUEST_INTERVAL_S, True))
        self.assertTrue(ready.asks(50.2 + MAX_AGE_FOR_NEIGHBOURS_S, True))


class SuspendDetectorTest(testtools.TestCase):
    def test_input_right_after_a_suspension_may_be_outdated(self):
        # Guards: also what is read before the first tick, and what comes out of buffers in the next turns.
        detector = SuspendDetector(10.0, 0.1)
        for number in range(1, 20):
            self.assertEqual(0.0, detector.tick(10.0 + 0.1 * number))
        self.assertFalse(detector.input_may_be_outdated(12.0))
        self.assertTrue(detector.input_may_be_outdated(32.0))
        self.assertTrue(detector.tick(32.0) > 19)
        self.assertTrue(detector.input_may_be_outdated(32.0 + 0.9 * OUTDATED_INPUT_S))
        self.assertEqual(0.0, detector.tick(32.1))
        self.assertTrue(detector.input_may_be_outdated(32.2))
        for number in range(2, 30):
            detector.tick(32.0 + 0.1 * number)
        self.assertFalse(detector.input_may_be_outdated(34.9 + 0.9 * SUSPENDED_AFTER_S))
