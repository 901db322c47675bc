"""Single orders of messages that take a mistake to break, and all orders of a few."""

from itertools import permutations

from testtools import TestCase

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.errors import Failure
from foxspread.mesh.replication.messages import Accept, Enroll, Prepare
from foxspread.mesh.replication.acceptor import Acceptor
from foxspread.mesh.replication.stored_state import RecoveredState
from foxspread.mesh.simulation.machines import Cores
from foxspread.mesh.simulation.mutants import MUTANTS
from foxspread.mesh.simulation.explorer import explore
from foxspread.mesh.simulation.cluster_state import Case, ClusterState
from foxspread.mesh.simulation.state_invariants import read_from
from foxspread.mesh.simulation.actions import Crash, Wipe
from tests.mesh.replication.scripted_replicas import (
    FIVE,
    ORDERS,
    SHOWN_BY,
    THREE,
    answer,
    ask,
    begin,
    enrol,
    create_state,
    put,
    route,
    service,
    wipe,
)

V1, V2 = service(tag=1), service(tag=2)


def calls(state: ClusterState, name: str, others: str, above: int | None = None) -> tuple[Item, bool] | None:
    """Its next call, with all answers of `others`; its outcome where there is one."""
    before = len(state.answers)
    begin(state, name, above)
    ask(state, name, others)
    if state.proposers[name].proposed_delta is not None:
        put(state, name, others)
    return state.answers[-1] if len(state.answers) > before else None


def submit(state: ClusterState, name: str, item: Item) -> None:
    proposer = state.proposers[name]
    state.attempts_left[name] = 9
    proposer.next_attempt_at = 1e9
    proposer.submit(0.0, item, [item], 1e9)


class Orders(TestCase):
    def test_orders_that_a_mistake_breaks(self) -> None:
        # The cores stand each; every broken one falls by its own: else an order tests nothing.
        for name, order in ORDERS.items():
            self.assertEqual([], order(Cores()).violations, name)
        for broken, names in SHOWN_BY.items():
            for begins in names:
                order = next(order for name, order in ORDERS.items() if name.startswith(begins))
                self.assertNotEqual([], order(MUTANTS[broken]).violations, (broken, begins))

    def test_all_orders_of_small_cases(self) -> None:
        # Nothing is out of reach of a schedule: every order, of messages, crashes, wipes; states are counted
        # so that a case that shrinks by mistake is seen.
        one, two = (("a", V1),), (("a", V1), ("b", V2))
        cases = (
            (Case(calls=one, attempts=2), 100),
            (Case(calls=one, crashes=1), 100),
            (Case(calls=one, wipes=1, may_wipe=("c",)), 500),
            (Case(calls=two, gossip=True, members=("a", "b")), 50),
        )
        for case, least in cases:
            found = explore(case)
            self.assertEqual((True, []), (found.complete, found.path + found.violations), case)
            self.assertGreater(found.states, least, case)

    def test_the_explorer_finds_what_is_broken(self) -> None:
        for name in ("any ballot is accepted", "acknowledges after one acceptance"):
            found = explore(Case(calls=(("a", V1), ("b", V2))), MUTANTS[name], state_limit=20_000)
            self.assertNotEqual([], found.violations, name)

    def test_three_writers_on_one_version(self) -> None:
        # Whoever comes first with whichever machine, one content is taken and two are refused.
        items = {name: service(tag=n) for n, name in enumerate(THREE)}
        for first, second, third in permutations(THREE):
            state = create_state(THREE, *items.items())
            begin(state, first)
            ask(state, first, second)  # its own disk alone accepts
            begin(state, second, above=1)
            ask(state, second, third)
            begin(state, third, above=2)
            for above, name in enumerate((first, third, second), start=9):
                calls(state, name, second if name != second else third, above)
            self.assertEqual([], state.violations)
            self.assertEqual([False, False, True], sorted(taken for _, taken in state.answers))

    def test_a_writer_dies_and_its_call_is_sent_elsewhere(self) -> None:
        # After none, one, two, three acceptances; resent unchanged it is taken whatever came of it; another
        # content is refused where the first may have been settled, and only one of them ever holds.
        for accepted in ("", "b", "bc"):
            for item in (V1, V2):
                state = create_state(THREE, ("a", V1))
                begin(state, "a")
                ask(state, "a", "bc")
                put(state, "a", accepted, back=False)
                state.do(Crash("a"))
                submit(state, "c", item)
                outcome = calls(state, "c", "b")
                self.assertEqual((item, item is V1 or not accepted), outcome, (accepted, item))
                self.assertEqual([], state.violations)

    def test_power_lost_between_two_syncs_of_one_call(self) -> None:
        # Promised and not accepted: the promise is kept, the call is not half there.
        state = create_state(THREE, ("a", V1))
        begin(state, "a")
        ask(state, "a", "bc")
        for name in THREE:
            state.do(Crash(name))
        self.assertEqual([(1, "a.0")] * 3, [state.acceptors[name].promised for name in THREE])
        submit(state, "b", V2)
        self.assertEqual((V2, True), calls(state, "b", "c"))

    def test_all_start_in_any_order_with_one_disk_empty(self) -> None:
        # An acknowledged call is known to any two that vote, whichever disk was wiped,
        # the proposer's as well.
        for wiped in THREE:
            for others in permutations(name for name in THREE if name != wiped):
                state = create_state(THREE, ("a", V1))
                self.assertEqual((V1, True), calls(state, "a", "c"))
                for name in others:
                    state.do(Crash(name))
                state.do(Wipe(wiped))
                enrol(state, wiped, others[0])
                self.assertFalse(state.acceptors[wiped].serves)
                enrol(state, wiped, others[1])
                self.assertEqual({V1.key: V1}, read_from([state.acceptors[wiped], state.acceptors["b"]]))
                self.assertEqual([], state.violations)

    def test_one_that_was_wiped_keeps_to_what_it_had_promised(self) -> None:
        # Promised to 9, wiped, asked with 7: the promise that it can't remember is told by who made it too.
        state = create_state(THREE, ("a", V1), ("b", V2))
        begin(state, "a", above=8)
        ask(state, "a", "c")
        wipe(state, "c", "ab")
        begin(state, "b", above=6)
        ask(state, "b", "c")
        self.assertEqual((None, 9), (state.proposers["b"].proposal_number, state.acceptors["c"].promised[0]))

    def test_an_older_identity_that_comes_late_does_not_shut_out_the_newer(self) -> None:
        # Guards against a machine that is wiped twice and is never heard again by one it asked meanwhile.
        state = create_state(FIVE, ("a", V1))
        wipe(state, "x", "bcd")
        state.do(Wipe("x"))
        for other in "abd":
            state.deliver_kind("x", other, "enrol", newest=True)
        state.deliver_kind("x", "a", "enrol")  # of the disk before
        for other in "abd":
            state.deliver_kind(other, "x", "enrolled", newest=other != "a")
        self.assertTrue(state.acceptors["x"].voting)
        self.assertEqual((V1, True), calls(state, "a", "xc"))

    def test_a_new_identity_rises_above_all_that_were_noted(self) -> None:
        # Chance alone says nothing of which of two disks is the newer one.
        acceptors = {
            name: Acceptor(name, RecoveredState((0, name), FIVE, voting=True, members_confirmed=True))
            for name in "abc"
        }
        for each in acceptors.values():
            each.enroll("x", Enroll((1, "z")))
        acceptor = Acceptor("x", RecoveredState((1, "m"), FIVE))
        for _ in range(2):
            for name, each in acceptors.items():
                acceptor.take_enrolled(name, each.enroll("x", Enroll(acceptor.disk)).reply)
        self.assertEqual(((2, "m"), True), (acceptor.disk, acceptor.voting))
        self.assertEqual({(2, "m")}, {each.disks["x"] for each in acceptors.values()})

    def test_one_that_is_behind_is_brought_up(self) -> None:
        # A proposer that does not know how far another is asks, and what it sends then is shown there.
        state = create_state(THREE, ("a", V1), ("b", service("w")))
        calls(state, "a", "b")
        calls(state, "b", "a")
        submit(state, "b", service("u"))
        begin(state, "b")
        ask(state, "b", "a")
        state.deliver_kind("b", "c", "accept", newest=True)
        answer(state, "c", "b")  # behind
        put(state, "b", "c")
        self.assertEqual(state.acceptors["b"].learner.items, read_from([state.acceptors["c"]]))
        self.assertEqual(3, len(state.acceptors["c"].learner.items) + len(state.acceptors["c"].delta))


class Outcomes(TestCase):
    """What a second call comes to, at another machine, after a first."""

    def test_outcomes(self) -> None:
        # 409 for another content of a version that holds, 400 for what may not stand, and nothing of either
        # comes into force; what is no news is acknowledged.
        drop = Item("service", "v", 1, None)
        here, there = route("r", "/p/", "v"), route("q", "/p/", "v")
        rows = (
            ("the same", [V1], V1, None),
            ("another content", [V1], V2, 409),
            ("a drop of the version that is set", [V1], drop, 409),
            ("a set of the version that is dropped", [drop], V1, 409),
            ("a lower version", [service(version=2)], V1, None),
            ("a higher version", [V1], service(version=2), None),
            ("the place of another", [V1, here], there, 400),
            ("the place of one that goes", [V1, here, Item("route", "r", 2, None)], there, None),
            ("a drop of what a route needs", [V1, here], Item("service", "v", 2, None), 400),
            ("a route to what is dropped", [V1, Item("service", "v", 2, None)], here, 400),
            ("a route to nothing", [], here, 400),
        )
        for name, before, item, status in rows:
            state = create_state(THREE)
            for each in before:
                submit(state, "a", each)
                self.assertEqual((each, True), calls(state, "a", "b"), name)
            done, acceptors, proposer = [], state.acceptors, state.proposers["c"]
            proposer.highest_seen = 50
            waiting = [("c", *each) for each in proposer.submit(0.0, "call", [item], 1e9).sends]
            while waiting:
                sender, to, message = waiting.pop(0)
                if isinstance(message, Prepare):
                    waiting.append((to, "c", acceptors[to].prepare(message).reply))
                elif isinstance(message, Accept):
                    waiting.append((to, "c", acceptors[to].accept(message).reply))
                else:
                    out = proposer.receive(0.0, sender, message)
                    done += out.completed
                    waiting += [("c", *each) for each in out.sends]
            (_, outcome), held = done[0], acceptors["c"].learner.items.get(item.key)
            self.assertEqual(status, outcome.status if isinstance(outcome, Failure) else None, name)
            if status is not None:
                self.assertNotEqual(item, held, name)
