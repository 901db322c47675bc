"""Each rule speaks when it is broken, and not where it is not."""

from testtools import TestCase

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.errors import Conflict, OutcomeUnknown
from foxspread.mesh.simulation.invariants import BACK_S, FRESH_S, PAST_KEPT, Call, Judge
from tests.mesh.replication.scripted_replicas import route, service

V1, V2, OTHER = service(version=1), service(version=2), service(version=1, tag=1)


def call(judge: Judge, outcome: object, *items: Item, number: int = 1, ended: float = 1.0) -> Call:
    made = Call(number, items, 0.0, [(0.0, "c1")])
    judge.calls.append(made)
    judge.now = ended
    if outcome is not None:
        judge.said(items, outcome, "c1")
        judge.ended(made, outcome)
    return made


def shows(*steps: tuple) -> Judge:
    judge = Judge()
    for learner, *items in steps:
        if learner not in judge.copies:
            judge.started(learner)
        judge.shows(learner, items)
    return judge


def read_after(acknowledged: list[Item], held: list[Item]) -> Judge:
    judge = shows(("a", *acknowledged))
    call(judge, True, *acknowledged)
    judge.read(Call(2, (), 1.0), judge.floor(), "c1", {item.key: item for item in held})
    return judge


def refused(*seen: Item) -> Judge:
    judge = shows(("a", *seen))
    call(judge, Conflict("another"), V1)
    judge.close()
    return judge


def told(*answers: tuple, seen: tuple[Item, ...] = ()) -> Judge:
    """Each: outcome and items of one order."""
    judge = shows(("a", *seen))
    for number, (outcome, *items) in enumerate(answers):
        call(judge, outcome, *items, number=number)
    judge.close()
    return judge


def tells(known_at: float, now: float, *held: Item) -> Judge:
    judge = Judge()
    call(judge, True, V1, ended=known_at)
    judge.now = now
    judge.tells("s1", "shows the set", {item.key: item for item in held})
    return judge


def returned(served: float | None, trouble: tuple | None = None) -> Judge:
    judge = Judge()
    judge.now = 1.0
    if trouble is not None:
        judge.troubles.append(list(trouble))
    judge.back("c1").served = served
    judge.now = 20.0
    judge.close()
    return judge


def answered(ended: float | None, trouble: str | None = "", until: float = 9.0) -> Judge:
    judge = Judge()
    if trouble != "":
        judge.trouble(trouble)[1] = until
    call(judge, None if ended is None else True, ended=ended or 0.0)
    judge.now = 10.0
    judge.close()
    return judge


def overtaken(times: int) -> Judge:
    judge = shows(("a", *(service(version=2 + n) for n in range(times))))
    call(judge, None, V1, ended=0.0)
    judge.now = 10.0
    judge.close()
    return judge


def alike(*held: list[Item]) -> Judge:
    judge = shows(*((f"c{n}", *items) for n, items in enumerate(held)))
    judge.alike(judge.copies)
    return judge


class Rules(TestCase):
    def test_rules(self) -> None:
        needs = route("r", "/p/", "v")
        rows = {
            "two contents of one version": (shows(("a", V1), ("b", OTHER)), "one content"),
            "one content in two copies": (shows(("a", V1), ("b", V1)), None),
            "a version that falls": (shows(("a", V2), ("a", V1)), "no way back"),
            "an older one in another life": (shows(("a.0", V2), ("a.1", V1)), None),
            "a route to nothing": (shows(("a", needs)), "consistent"),
            "a route to what came before": (shows(("a", V1), ("a", needs)), None),
            "a read that lacks it": (read_after([V1], []), "nothing lost"),
            "a read that is older": (read_after([V2], [V1]), "nothing lost"),
            "a read that is newer": (read_after([V1], [V2]), None),
            "a read of another content": (read_after([V1], [OTHER]), "one content"),
            "refused and in force": (refused(V1), "refused is nowhere"),
            "refused, and another is in force": (refused(OTHER), None),
            "two contents of an overtaken number": (
                told((True, V2), (True, V1), (True, OTHER)),
                "one content",
            ),
            "confirmed, another was in force": (told((True, OTHER), seen=(V1, V2)), "one content"),
            "overtaken, confirmed again": (told((True, V1), (True, V2), (True, V1)), None),
            "overtaken, no clear answer": (told((True, V1), (True, V2), (OutcomeUnknown(""), V1)), None),
            "taken, then refused": (told((True, V1), (True, V2), (Conflict(""), V1)), "one answer"),
            "refused, then taken": (told((Conflict(""), V1), (True, V1)), "one answer"),
            "refused twice": (told((Conflict(""), V1), (Conflict(""), V1)), None),
            "refused, in force by a late copy": (
                told((Conflict(""), V1, V2), (None, V1, V2), seen=(V1,)),
                "refused is nowhere",
            ),
            "refused, in force by another order": (
                told((Conflict(""), V1, V2), (True, V1), seen=(V1,)),
                None,
            ),
            "shows old": (tells(1.0, 1.0 + FRESH_S, service(version=0)), "nothing old"),
            "shows nothing": (tells(1.0, 1.0 + FRESH_S), "nothing old"),
            "shows old, not for long": (tells(1.0, 0.9 + FRESH_S), None),
            "shows what is newer": (tells(1.0, 1.0 + FRESH_S, V2), None),
            "back and never of use": (returned(None), "of use again"),
            "back, of use late": (returned(1.1 + BACK_S), "of use again"),
            "back, of use": (returned(0.9 + BACK_S), None),
            "back, in trouble again": (returned(None, (2.0, 3.0, "c1")), None),
            "back, with trouble elsewhere": (returned(None, (2.0, 3.0, "c2")), "of use again"),
            "answered late": (answered(4.5), "answered"),
            "never answered": (answered(None), "answered"),
            "answered in time": (answered(3.5), None),
            "late at a machine in trouble": (answered(4.5, "c1"), None),
            "late with trouble elsewhere": (answered(4.5, "c2"), "answered"),
            "late with trouble everywhere": (answered(4.5, None), None),
            "never answered, far too old": (overtaken(PAST_KEPT), None),
            "never answered, old": (overtaken(PAST_KEPT - 1), "answered"),
            "late after trouble": (answered(4.5, "c1", until=0.0), "answered"),
            "a copy that lacks an item": (alike([V1], []), "all alike"),
            "copies alike": (alike([V1], [V1]), None),
        }
        for name, (judge, rule) in rows.items():
            self.assertEqual([rule] if rule else [], [each.rule for each in judge.breaks], name)

    def test_a_call_without_a_clear_answer_may_be_in_force(self) -> None:
        judge = shows(("a", V1))
        call(judge, OutcomeUnknown("no majority"), V1)
        judge.close()
        self.assertEqual([], judge.breaks)
