"""The report of a soak."""

import orjson
import testtools

from foxspread.mesh.soak.history import Bounds, History, MemorySample, ProcessEnd
from foxspread.mesh.soak.plan import draw_plan
from foxspread.mesh.soak.report import make_report


class ReportTest(testtools.TestCase):
    def test_memory_and_violations(self):
        history = History(Bounds(grace_s=6.0, in_touch_s=3.0, config_s=2.0, memory_mib=300.0))
        history.memory = [MemorySample(100.0 + second, "side-1", 20.0 + second) for second in range(21)]
        history.memory.append(MemorySample(105.0, "core-1", 30.0))
        history.memory.sort(key=lambda sample: sample.at)
        history.process_ends = [ProcessEnd(110.0, "side-1", 70)]
        report = make_report(draw_plan(1, 30.0, 6), history)
        self.assertEqual({"side-1": 40.0, "core-1": 30.0}, report.peak_mib)
        self.assertEqual((21.0, 23.0, 30.0, 27.0, 29.0), report.peak_mib_over_time[:5])
        self.assertEqual(40.0, report.peak_mib_over_time[-1])
        self.assertFalse(report.passed)
        self.assertIn("Fault side-1 ended by itself with code 70", "\n".join(report.lines()))
        self.assertEqual(1, len(orjson.loads(orjson.dumps(report.to_json()))["violations"]))

    def test_nothing_was_seen(self):
        report = make_report(draw_plan(1, 30.0, 6), History(Bounds(6.0, 3.0, 2.0, 300.0)))
        self.assertTrue(report.passed)
        self.assertEqual((), report.peak_mib_over_time)
