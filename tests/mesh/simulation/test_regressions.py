"""Seeds that found a fault in a core, each with its cause: they stay."""

from testtools import TestCase

from foxspread.mesh.simulation.fleet import play
from foxspread.mesh.simulation.schedule import named_plans


class Regressions(TestCase):
    def test_a_standby_joins_while_changes_go_on(self) -> None:
        # Its last report lacks the newest change nearly always: named only where none comes for a moment,
        # one that was gone for good stayed a member for 12 s, and the next two losses stopped all writing.
        self.assertEqual([], play(named_plans(5)["members"], 126).violations)
