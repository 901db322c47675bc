"""The phases of a shutdown and their times, in virtual time."""

import testtools

from foxspread.mesh.shutdown import (
    ANNOUNCED_S,
    KEEP_ALIVE_END_REPLICA_S,
    RESERVED_FOR_DRAINING_S,
    RESERVED_FOR_EXIT_S,
    Phase,
    Shutdown,
)

GRACE_S = 10.0


class Endpoints:
    def __init__(self) -> None:
        self.actions, self.in_progress, self.exit_at = [], False, None

    def reject_requests_beyond(self, exit_at: float) -> None:
        self.exit_at = exit_at

    def disable_keep_alive(self) -> None:
        self.actions.append("disable_keep_alive")

    def close_listeners(self) -> None:
        self.actions.append("close_listeners")

    def has_requests_in_progress(self) -> bool:
        return self.in_progress


class SimulatedShutdown:
    """Runs a shutdown in virtual time and records when each phase is entered."""

    def __init__(
        self, is_sidecar=True, alternatives=lambda now: True, leaves=lambda now: True, grace_s=GRACE_S
    ):
        self.now, self.endpoints, self.entered = 100.0, Endpoints(), []
        self.shutdown = Shutdown(
            self.now,
            grace_s,
            is_sidecar,
            self.endpoints,
            lambda now, up_for_s: alternatives(now - 100.0),
            lambda now: leaves(now - 100.0),
        )

    def run(self, busy_until: float = 0.0) -> float:
        while True:
            self.endpoints.in_progress = self.now - 100.0 < busy_until
            wait_s = self.shutdown.advance(self.now)
            if not self.entered or self.entered[-1][1] is not self.shutdown.phase:
                self.entered.append((round(self.now - 100.0, 3), self.shutdown.phase))
            if wait_s is None:
                return self.shutdown.elapsed(self.now)
            self.now += wait_s


class Sidecar(testtools.TestCase):
    def test_the_announcement_comes_first_and_listeners_close_last(self):
        simulated = SimulatedShutdown()
        self.assertAlmostEqual(ANNOUNCED_S + 0.1, simulated.run())
        self.assertEqual(["disable_keep_alive", "close_listeners"], simulated.endpoints.actions)
        self.assertEqual(
            [(0.0, Phase.ANNOUNCED), (2.3, Phase.DISABLING_KEEP_ALIVE), (2.4, Phase.ENDED)], simulated.entered
        )

    def test_a_short_grace_period_shortens_the_announcement(self):
        simulated = SimulatedShutdown(grace_s=3.0)
        simulated.run()
        self.assertEqual((1.2, Phase.DISABLING_KEEP_ALIVE), simulated.entered[1])

    def test_requests_that_may_outlast_the_process_are_rejected_after_the_announcement(self):
        simulated = SimulatedShutdown(alternatives=lambda elapsed: False)
        simulated.now += simulated.shutdown.advance(simulated.now)
        self.assertIsNone(simulated.endpoints.exit_at)
        simulated.shutdown.advance(simulated.now)
        self.assertEqual(100.0 + GRACE_S - RESERVED_FOR_EXIT_S, simulated.endpoints.exit_at)

    def test_waiting_for_other_sidecars_ends_when_the_time_for_draining_begins(self):
        simulated = SimulatedShutdown(alternatives=lambda elapsed: elapsed >= 5.0)
        simulated.run()
        self.assertEqual((2.3, Phase.AWAITING_PEERS), simulated.entered[1])
        self.assertEqual(Phase.DISABLING_KEEP_ALIVE, simulated.entered[2][1])
        self.assertTrue(5.0 <= simulated.entered[2][0] <= 5.11, simulated.entered)
        simulated = SimulatedShutdown(alternatives=lambda elapsed: False)
        simulated.run()
        self.assertAlmostEqual(GRACE_S - RESERVED_FOR_DRAINING_S, simulated.entered[2][0], delta=0.11)

    def test_requests_in_progress_have_until_shortly_before_the_kill(self):
        self.assertAlmostEqual(4.0, SimulatedShutdown().run(busy_until=4.0), delta=0.03)
        simulated = SimulatedShutdown()
        self.assertAlmostEqual(GRACE_S - RESERVED_FOR_EXIT_S, simulated.run(busy_until=99.0), delta=0.03)
        self.assertEqual(Phase.DRAINING, simulated.entered[-2][1])


class Replica(testtools.TestCase):
    def test_a_process_without_callers_disables_keep_alive_at_once(self):
        simulated = SimulatedShutdown(
            is_sidecar=False, alternatives=lambda elapsed: self.fail("a replica has no callers to wait for")
        )
        self.assertAlmostEqual(KEEP_ALIVE_END_REPLICA_S, simulated.run())
        self.assertEqual([(0.0, Phase.DISABLING_KEEP_ALIVE), (0.3, Phase.ENDED)], simulated.entered)

    def test_endpoints_stay_open_until_the_members_do_not_need_the_process(self):
        # This also holds beyond the grace period: a member that just leaves may cost the quorum.
        simulated = SimulatedShutdown(is_sidecar=False, leaves=lambda elapsed: elapsed >= GRACE_S + 2.0)
        while simulated.shutdown.phase is Phase.LEAVING_MEMBERSHIP and simulated.now < 100.0 + GRACE_S + 1.0:
            simulated.now += simulated.shutdown.advance(simulated.now)
        self.assertEqual([], simulated.endpoints.actions)
        simulated.run()
        self.assertEqual(["disable_keep_alive", "close_listeners"], simulated.endpoints.actions)

    def test_no_action_is_repeated_after_the_shutdown(self):
        simulated = SimulatedShutdown(is_sidecar=False)
        simulated.run()
        self.assertIsNone(simulated.shutdown.advance(simulated.now + 1.0))
        self.assertEqual(["disable_keep_alive", "close_listeners"], simulated.endpoints.actions)
