"""A short soak of real processes on loopback addresses, and one of a faulty process that it has to catch."""

import pathlib
import tempfile
from dataclasses import replace

import testtools
import uvloop

from foxspread.mesh.local_cluster.supervisor import NODE_COMMAND
from foxspread.mesh.soak.command import play
from foxspread.mesh.soak.mutants import MODULE, MUTANTS
from foxspread.mesh.soak.plan import Disruption, DisruptionKind, draw_plan

ALL_SIDECARS = ("side-1", "side-2", "side-3")


class Soak(testtools.TestCase):
    def play(self, plan, command=NODE_COMMAND):
        folder = self.enterContext(tempfile.TemporaryDirectory(prefix="soak-test-"))
        report = uvloop.run(play(plan, pathlib.Path(folder), lambda line: None, command))
        self.addDetail("report", testtools.content.text_content("\n".join(report.lines())))
        return report

    def small_plan(self, *disruptions, seconds):
        plan = draw_plan(1, seconds, 6)
        return replace(
            plan, replicas=3, sidecars=3, requests_per_s=60.0, work_s=0.05, disruptions=disruptions
        )

    def test_sidecars_that_are_restarted_in_turn_and_a_replica_that_is_killed_break_no_rule(self):
        report = self.play(
            self.small_plan(
                Disruption(1.0, DisruptionKind.RELOAD, ALL_SIDECARS, 0.5),
                Disruption(3.0, DisruptionKind.STOP, ALL_SIDECARS, 1.0),
                Disruption(9.0, DisruptionKind.KILL, ("core-2",)),
                seconds=14.0,
            )
        )
        self.assertEqual((), report.violations)
        self.assertEqual({"SIGHUP": 3, "SIGTERM": 3, "SIGKILL": 1}, report.signals)
        self.assertGreater(report.endings["200"], 300)
        self.assertGreater(report.changes_acknowledged, 3)

    def test_a_false_refusal_is_caught(self):
        report = self.play(self.small_plan(seconds=10.0), (MODULE, "refused_run"))
        self.assertEqual({"REFUSED"}, {each.rule for each in report.violations})

    def test_each_mutant_has_a_name_and_a_description(self):
        self.assertTrue(all(change.__doc__ for change in MUTANTS.values()))
