import unittest

from foxspread.fleet_rules.codec import LeaseGrant
from foxspread.fleet_rules.lease_holder import LeaseHolder, Mode
from foxspread.fleet_rules.version_content import VersionContent

CONTENT = {
    1: VersionContent({"settings.siblings": 1}, {"settings.siblings": 9}),
    2: VersionContent({"settings.siblings": 2}, {}),
}


def check(text: bytes) -> VersionContent:
    if text == b"bad":
        raise ValueError("'settings.x' is not known")
    return CONTENT[int(text)]


def holder(kept: object = None, boot: str = "b1") -> LeaseHolder:
    return LeaseHolder(0.0, "s1/1", check, lambda: 0.5, 0.02, boot, kept)


def granted(one: LeaseHolder, asked: float, now: float, grant: LeaseGrant) -> None:
    """Asked at one moment, answered at another; contents come at once."""
    one.request_now(asked)
    ask = one.request_due(asked)
    one.on_grant(now, ask, grant)
    for number in one.missing_versions():
        one.on_content(now, number, b"%d" % number)


class TestHolder(unittest.TestCase):
    def test_a_lease_counts_from_the_asking_less_drift(self) -> None:
        one = holder()
        self.assertIs(one.effective(0.0).mode, Mode.NONE)
        granted(one, 10.0, 12.0, LeaseGrant(2, 1, 0, 10.0, 100.0))
        for now, mode in (
            (12.0, Mode.IN_FORCE),
            (19.7, Mode.IN_FORCE),
            (19.9, Mode.ALONE),
            (107.9, Mode.ALONE),
            (108.1, Mode.NONE),
        ):
            self.assertIs(one.effective(now).mode, mode, now)
        self.assertEqual(one.effective(50.0).rules, {"settings.siblings": 9})

    def test_what_was_decided_before_a_change_or_a_sleep_is_not_done_after_it(self) -> None:
        one = holder()
        granted(one, 10.0, 10.0, LeaseGrant(2, 1, 0, 10.0, 100.0))
        decided = one.effective(10.5)
        self.assertTrue(one.may_act(11.0, decided))
        self.assertFalse(one.may_act(30.0, decided))
        granted(one, 12.0, 12.0, LeaseGrant(3, 1, 2, 10.0, 100.0))
        self.assertFalse(one.may_act(12.1, decided))
        self.assertEqual(
            (one.effective(12.1).mode, one.effective(12.1).rules), (Mode.TRANSITION, {"settings.siblings": 2})
        )

    def test_it_confirms_only_what_it_acts_on_and_never_goes_back(self) -> None:
        one = holder()
        granted(one, 1.0, 1.0, LeaseGrant(2, 1, 0, 10.0, 100.0))
        one.request_now(2.0)
        ask = one.request_due(2.0)
        one.on_grant(2.0, ask, LeaseGrant(3, 1, 2, 10.0, 100.0))
        one.request_now(2.1)
        # The content is not here yet.
        self.assertEqual((one.missing_versions(), one.request_due(2.1).phase), ([2], 2))
        one.on_content(2.2, 2, b"2")
        self.assertEqual((one.request_due(2.2).phase, one.effective(2.2).mode), (3, Mode.TRANSITION))
        granted(one, 3.0, 3.0, LeaseGrant(2, 1, 0, 10.0, 100.0))
        self.assertEqual((one.phase, one.effective(3.0).mode), (3, Mode.TRANSITION))

    def test_what_it_cannot_take_it_turns_down_by_name(self) -> None:
        one = holder()
        granted(one, 1.0, 1.0, LeaseGrant(2, 1, 0, 10.0, 100.0))
        one.request_now(2.0)
        one.on_grant(2.0, one.request_due(2.0), LeaseGrant(3, 1, 2, 10.0, 100.0))
        one.on_content(2.1, 2, b"bad")
        ask = one.request_due(2.1)
        self.assertEqual(
            (ask.phase, ask.refused_phase, ask.refusal_reason), (2, 3, "'settings.x' is not known")
        )
        self.assertIs(one.effective(2.2).mode, Mode.IN_FORCE)

    def test_after_a_restart_it_is_alone_and_after_another_boot_it_is_nothing(self) -> None:
        one = holder()
        granted(one, 1.0, 1.0, LeaseGrant(2, 1, 0, 10.0, 100.0))
        self.assertIs(holder(one.alone_state()).effective(2.0).mode, Mode.ALONE)
        self.assertIs(holder(one.alone_state(), "b2").effective(2.0).mode, Mode.NONE)

    def test_asks_that_are_not_answered_come_at_growing_pauses(self) -> None:
        one, times, now = holder(), [], 0.0
        while now < 30.0:
            now = one.wake_at()
            one.request_due(now)
            times.append(now)
        pauses = [b - a for a, b in zip(times, times[1:])]
        self.assertTrue(all(b > a - 1e-9 for a, b in zip(pauses, pauses[1:])))
        self.assertLessEqual(max(pauses), 2.0 * 1.5)
        self.assertLess(len(times), 25)
