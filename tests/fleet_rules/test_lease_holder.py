import unittest

from foxspread.fleet_rules.lease_holder import Content, Grant, Holder, Mode

CONTENT = {
    1: Content({"settings.siblings": 1}, {"settings.siblings": 9}),
    2: Content({"settings.siblings": 2}, {}),
}


def check(text: bytes) -> Content:
    if text == b"bad":
        raise ValueError("'settings.x' is not known")
    return CONTENT[int(text)]


def holder(kept: object = None, boot: str = "b1") -> Holder:
    return Holder(0.0, "s1/1", check, lambda: 0.5, 0.02, boot, kept)


def granted(one: Holder, asked: float, now: float, grant: Grant) -> None:
    """Asked at one moment, answered at another; contents come at once."""
    one.soon(asked)
    ask = one.ask(asked)
    one.answered(now, ask, grant)
    for number in one.wants():
        one.fetched(now, number, b"%d" % number)


class TestHolder(unittest.TestCase):
    def test_a_lease_counts_from_the_asking_less_drift(self) -> None:
        one = holder()
        self.assertIs(one.acting(0.0).mode, Mode.NONE)
        granted(one, 10.0, 12.0, Grant(2, 1, 0, 10.0, 100.0))
        for now, mode in (
            (12.0, Mode.SETTLED),
            (19.7, Mode.SETTLED),
            (19.9, Mode.ALONE),
            (107.9, Mode.ALONE),
            (108.1, Mode.NONE),
        ):
            self.assertIs(one.acting(now).mode, mode, now)
        self.assertEqual(one.acting(50.0).rules, {"settings.siblings": 9})

    def test_what_was_decided_before_a_change_or_a_sleep_is_not_done_after_it(self) -> None:
        one = holder()
        granted(one, 10.0, 10.0, Grant(2, 1, 0, 10.0, 100.0))
        decided = one.acting(10.5)
        self.assertTrue(one.may(11.0, decided))
        self.assertFalse(one.may(30.0, decided))
        granted(one, 12.0, 12.0, Grant(3, 1, 2, 10.0, 100.0))
        self.assertFalse(one.may(12.1, decided))
        self.assertEqual(
            (one.acting(12.1).mode, one.acting(12.1).rules), (Mode.BETWEEN, {"settings.siblings": 2})
        )

    def test_it_confirms_only_what_it_acts_on_and_never_goes_back(self) -> None:
        one = holder()
        granted(one, 1.0, 1.0, Grant(2, 1, 0, 10.0, 100.0))
        one.soon(2.0)
        ask = one.ask(2.0)
        one.answered(2.0, ask, Grant(3, 1, 2, 10.0, 100.0))
        one.soon(2.1)
        self.assertEqual((one.wants(), one.ask(2.1).phase), ([2], 2))  # the content is not here yet
        one.fetched(2.2, 2, b"2")
        self.assertEqual((one.ask(2.2).phase, one.acting(2.2).mode), (3, Mode.BETWEEN))
        granted(one, 3.0, 3.0, Grant(2, 1, 0, 10.0, 100.0))
        self.assertEqual((one.phase, one.acting(3.0).mode), (3, Mode.BETWEEN))

    def test_what_it_cannot_take_it_turns_down_by_name(self) -> None:
        one = holder()
        granted(one, 1.0, 1.0, Grant(2, 1, 0, 10.0, 100.0))
        one.soon(2.0)
        one.answered(2.0, one.ask(2.0), Grant(3, 1, 2, 10.0, 100.0))
        one.fetched(2.1, 2, b"bad")
        ask = one.ask(2.1)
        self.assertEqual((ask.phase, ask.refused, ask.why), (2, 3, "'settings.x' is not known"))
        self.assertIs(one.acting(2.2).mode, Mode.SETTLED)

    def test_after_a_restart_it_is_alone_and_after_another_boot_it_is_nothing(self) -> None:
        one = holder()
        granted(one, 1.0, 1.0, Grant(2, 1, 0, 10.0, 100.0))
        self.assertIs(holder(one.kept()).acting(2.0).mode, Mode.ALONE)
        self.assertIs(holder(one.kept(), "b2").acting(2.0).mode, Mode.NONE)

    def test_asks_that_are_not_answered_come_at_growing_pauses(self) -> None:
        one, times, now = holder(), [], 0.0
        while now < 30.0:
            now = one.wake_at()
            one.ask(now)
            times.append(now)
        pauses = [b - a for a, b in zip(times, times[1:])]
        self.assertTrue(all(b > a - 1e-9 for a, b in zip(pauses, pauses[1:])))
        self.assertLessEqual(max(pauses), 2.0 * 1.5)
        self.assertLess(len(times), 25)
