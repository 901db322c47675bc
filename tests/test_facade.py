import unittest
from unittest import mock

from foxspread.facade import Answer, CallOff, Facade, Fault, Outcome, Send, Subscribe
from foxspread.model import Act, Category, Decision, Effect, ListedServer, Readiness

DRAINS = Readiness.DRAINING


def facade(*names, effect=Effect.LABELLED, hand_offs=3, **changes):
    category = Category("c", 0.5, 1.5, 1.0, 0.0, effect, "cell", 7.5)
    settings = dict(
        seed=1,
        zone="a",
        sidecars=1,
        categories=[category],
        customers=[],
        surplus_benefit=0.2,
        max_hand_offs=hand_offs,
        copies=True,
        calling_off=True,
        longest_back_in=0.0,
        tick=0.005,
        asks=False,
        keys_remembered=False,
        waste_price=0.1,
        cold=(0.1, 20.0, 2.5),
    )
    it = Facade(100.0, settings | changes)
    it.listed(100.0, [ListedServer(name, zone="a") for name in names], True)
    return it


class TestFacade(unittest.TestCase):
    def test_a_lookup_is_sent_and_its_hand_offs_are_numbered(self):
        it = facade("s1", "s2")
        [first] = it.pick(100.0, "l1", "c", 1.0)
        [second] = it.report(100.1, "l1", 0, Outcome.ERROR)
        self.assertIsInstance(second, Send)
        self.assertEqual((first.number, second.number), (0, 1))
        self.assertNotEqual(first.server, second.server)

    def test_one_that_is_done_needs_no_step(self):
        it = facade("s1")
        it.pick(100.0, "l1", "c", 1.0)
        self.assertEqual(it.report(100.1, "l1", 0, Outcome.DONE), [])
        self.assertFalse(it.knows("l1"))

    def test_one_that_is_noted_has_its_steps_with_the_next_call(self):
        it = facade("s1", "s2")
        it.pick(100.0, "l1", "c", 1.0)
        self.assertEqual(it.note(100.1, "l1", 0, Outcome.ERROR), [])
        self.assertEqual([step.number for step in it.tick(100.2)], [1])

    def test_what_may_have_run_is_scrapped_and_what_never_ran_is_dismissed(self):
        for outcome, dismissed in ((Outcome.RESET, False), (Outcome.FULL, True)):
            it = facade("s1", effect=Effect.IRREVERSIBLE, hand_offs=1)
            it.pick(100.0, "l1", "c", 1.0)
            self.assertEqual(it.report(100.1, "l1", 0, outcome), [Answer("l1", dismissed)])

    def test_a_client_that_leaves_has_its_hand_off_called_off(self):
        it = facade("s1")
        it.pick(100.0, "l1", "c", 1.0)
        self.assertEqual(it.left(100.1, "l1"), [CallOff("l1", 0)])
        self.assertTrue(it.knows("l1"))

    def test_all_that_is_due_by_time_is_returned_together(self):
        it = facade("s1")
        for id in ("l1", "l2"):
            it.pick(100.0, id, "c", 1.0)
        steps = it.tick(100.5)
        self.assertEqual([s.lookup for s in steps if isinstance(s, Answer)], ["l1", "l2"])
        self.assertEqual([s.lookup for s in steps if isinstance(s, CallOff)], ["l1", "l2"])

    def test_what_was_decided_before_a_fault_is_still_returned(self):
        it = facade("s1")
        decisions = [Decision(Act.SUBSCRIBE), KeyError("x")]
        with mock.patch.object(it.balancer, "next_decision", side_effect=decisions):
            with self.assertRaises(Fault) as caught:
                it.tick(100.0)
        self.assertEqual(caught.exception.steps, [Subscribe()])

    def test_the_list_is_asked_for_and_again_after_a_failure(self):
        it = facade(asks=True)
        self.assertEqual(it.tick(it.wake_at()), [Subscribe()])
        it.list_failed(101.0)
        self.assertEqual(it.tick(it.wake_at()), [Subscribe()])

    def test_a_send_holds_until_something_forbids_it(self):
        it = facade("s1")
        [send] = it.pick(100.0, "l1", "c", 1.0)
        self.assertTrue(it.holds(100.1, "l1", 0))
        self.assertFalse(it.holds(101.0, "l1", 0))  # its client gives up
        self.assertFalse(it.holds(100.1, "other", 0))
        it.listed(100.2, [ListedServer(send.server, zone="a", readiness=DRAINS)], False)
        self.assertFalse(it.holds(100.2, "l1", 0))  # its server drains

    def test_a_send_of_a_lookup_that_is_over_does_not_hold(self):
        it = facade("s1")
        it.pick(100.0, "l1", "c", 1.0)
        it.left(100.1, "l1")
        self.assertFalse(it.holds(100.1, "l1", 0))

    def test_a_cold_server_that_was_chosen_within_its_budget_still_holds(self):
        it = facade()
        it.listed(100.0, [ListedServer("s1", zone="a", started=99.0)], True)
        it.balancer.servers.tokens["s1"] = (1.0, 100.0)
        [send] = it.pick(100.0, "l1", "c", 1.0)
        self.assertTrue(it.holds(100.0, "l1", send.number))
