"""The end of a soak by signals."""

import asyncio
import os
import signal

import testtools

from foxspread.mesh.soak.command import cancel_on_signal


class CancelOnSignal(testtools.TestCase):
    def test_a_second_signal_does_not_interrupt_the_end_of_the_processes(self):
        # Guards against processes that run on when a soak is told twice to end.
        steps = []

        async def soak():
            cancel_on_signal(asyncio.current_task())
            try:
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.sleep(10.0)
            finally:
                steps.append("ending")
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.sleep(0.05)
                steps.append("ended")

        self.assertRaises(asyncio.CancelledError, asyncio.run, soak())
        self.assertEqual(["ending", "ended"], steps)
