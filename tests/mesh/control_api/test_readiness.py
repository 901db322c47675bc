"""What makes a process ready, and what a process that stood still may not take for new."""

import testtools

from foxspread.mesh.control_api.readiness import (
    ASK_S,
    BASIS_S,
    LEANT_ON_S,
    STILL_AFTER_S,
    STILL_S,
    Readiness,
    PauseDetector,
)


class Bases(testtools.TestCase):
    def test_only_a_young_basis_makes_ready_and_it_stays_so(self):
        # Guards: a keeper that is cut off (age not known, or large), an answer that was held up on its way.
        ready = Readiness()
        for asked_at, age in ((30.0, None), (30.0, BASIS_S + 0.1), (30.0 - BASIS_S, 0.1)):
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

    def test_it_asks_until_it_is_ready_and_while_others_lean_on_it(self):
        ready = Readiness()
        self.assertTrue(ready.asks(1.0, False))
        self.assertFalse(ready.asks(1.0 + 0.9 * ASK_S, False))
        self.assertTrue(ready.asks(1.1 + ASK_S, False))
        ready.told(2.0, 2.0, 0.0)
        self.assertFalse(ready.asks(50.0, False))
        self.assertTrue(ready.asks(50.0, True))
        ready.told(50.1, 50.0, 0.1)
        self.assertFalse(ready.asks(50.1 + ASK_S, True))
        self.assertTrue(ready.asks(50.2 + LEANT_ON_S, True))


class Still(testtools.TestCase):
    def test_what_is_read_right_after_a_standstill_may_be_old(self):
        # Guards: also what is read before the first tick, and what comes out of buffers in the next turns.
        still = PauseDetector(10.0, 0.1)
        for number in range(1, 20):
            self.assertEqual(0.0, still.beat(10.0 + 0.1 * number))
        self.assertFalse(still.stale(12.0))
        self.assertTrue(still.stale(32.0))
        self.assertTrue(still.beat(32.0) > 19)
        self.assertTrue(still.stale(32.0 + 0.9 * STILL_AFTER_S))
        self.assertEqual(0.0, still.beat(32.1))
        self.assertTrue(still.stale(32.2))
        for number in range(2, 30):
            still.beat(32.0 + 0.1 * number)
        self.assertFalse(still.stale(34.9 + 0.9 * STILL_S))
