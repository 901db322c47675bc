"""Calls of the operator: what is refused, with the key and value named, and what only just stands."""

import orjson
import testtools

from foxspread.mesh.configuration.items import LIMITS, ROUTE, SERVICE, Item, consistent, laid_out
from foxspread.mesh.configuration.idempotency import merge
from foxspread.mesh.configuration.validation import parse_call
from foxspread.mesh.errors import Failure
from tests.mesh.helpers import rule

FLEET = {"name": "s1", "health": "/health", "connection_cap": 130, "protocol": "h1", "edition": "r7"}
SIZES = {"envelope_bytes": 16384, "contents_bytes": 67108864, "envelope_s": 3, "idle_s": 15, "edition": "r7"}


def dispatch(**more):
    return rule()["dispatch"] | more


def split(*weights):
    rows = [{"service": f"s{n}", "weight": weight} for n, weight in enumerate(weights)]
    return {"consignments": rows, "deadline_s": 2, "delivery_attempts": 2}


def gates(*rules, host="h.example"):
    return {"lodge": {"gates": [{"destination": host, "regulations": list(rules)}]}}


def outcome(call):
    """Items of a call, or its failure, which must be the last thing told."""
    body = call if isinstance(call, bytes) else orjson.dumps(call)
    steps = [step for step in parse_call(body) if step is not None]
    failures = [step for step in steps if isinstance(step, Failure)]
    assert steps[len(steps) - len(failures) :] == failures and len(failures) < 2
    return failures[0] if failures else steps


# What is refused for good, and what its reason has to name.
INVALID = {
    "no deadline": (gates(rule(deadline=0)), "r1", "deadline_s: 0"),
    "a deadline below nothing": (gates(rule(deadline=-1)), "r1", "deadline_s: -1"),
    "over ten minutes": (gates(rule(deadline=600.001)), "r1", "deadline_s: 600.001"),
    "a deadline in words": (gates(rule(deadline="2")), "r1", "deadline_s: '2'"),
    "a deadline that is true": (gates(rule(deadline=True)), "r1", "deadline_s: True"),
    "a target a minute over": (gates(rule(deadline=2, target_s=62)), "r1", "target_s: 62"),
    "a target further over": (gates(rule(deadline=0.5, target_s=61)), "r1", "target_s: 61"),
    "no attempts": (gates(rule(attempts=0)), "r1", "delivery_attempts: 0"),
    "half an attempt": (gates(rule(attempts=0.5)), "r1", "delivery_attempts: 0.5"),
    "attempts that are true": (gates(rule(attempts=True)), "r1", "delivery_attempts: True"),
    "another class": (gates(rule(mail_class="loose")), "r1", "mail_class: 'loose'"),
    "no class": (gates({k: v for k, v in rule().items() if k != "mail_class"}), "r1", "mail_class"),
    "no prefix": (gates(rule(sorting={})), "r1", "postcode"),
    "a prefix without its slash": (gates(rule(postcode="a/")), "r1", "postcode: 'a/'"),
    "neither service nor split": (
        gates(rule(dispatch={"deadline_s": 2, "delivery_attempts": 2})),
        "r1",
        "service",
    ),
    "service and split": (gates(rule(dispatch=dispatch(**split(1)))), "r1", "service"),
    "a split without weight": (gates(rule(dispatch=split(0, 0))), "r1", "weight"),
    "a weight below nothing": (gates(rule(dispatch=split(-1, 2))), "r1", "weight: -1"),
    "a split of nothing": (gates(rule(dispatch=split())), "r1", "consignments: []"),
    "no version": (gates({k: v for k, v in rule().items() if k != "edition"}), "r1", "edition"),
    "a version of another kind": (gates(rule(version="7")), "r1", "edition: '7'"),
    "a version with a line's end": (gates(rule(version="r7\n")), "r1", r"edition: 'r7\n'"),
    "a version of letters": (gates(rule(version="r7x")), "r1", "edition: 'r7x'"),
    "two routes at one place": (gates(rule(), rule(name="r2")), "r2", "host and prefix"),
    "two routes at one place, in capitals": (
        {
            "lodge": {
                "gates": [
                    *gates(rule())["lodge"]["gates"],
                    *gates(rule(name="r2"), host="H.Example")["lodge"]["gates"],
                ]
            }
        },
        "r2",
        "host and prefix",
    ),  # fmt: skip
    "one route twice": (gates(rule(), rule(postcode="/b/")), "r1", "twice"),
    "a route that is no object": (gates([1]), "gates", "[1]"),
    "a dispatch that is no object": (gates(rule(dispatch=None)), "r1", "dispatch: None"),
    "a gate without host": ({"lodge": {"gates": [{"regulations": []}]}}, "gates", "destination"),
    "a service without name": ({"lodge": {"fleets": [{"edition": "r1"}]}}, "fleets", "name"),
    "limits below nothing": ({"lodge": {"limits": SIZES | {"idle_s": -1}}}, "limits", "idle_s: -1"),
    "a drop without version": ({"withdraw": {"routes": [{"name": "r1"}]}}, "withdraw.routes", "edition"),
    "drops that are no list": ({"withdraw": {"routes": {"name": "r1"}}}, "withdraw.routes", "list"),
    "lodge is a list": ({"lodge": [rule()]}, "lodge", "object"),
    "lodge is an empty list": ({"lodge": []}, "lodge", "object"),
    "gates are an empty text": ({"lodge": {"gates": ""}}, "gates", "list"),
    "withdraw is nought": ({"withdraw": 0}, "withdraw", "object"),
    "no object": ([], "body", "object"),
    "cut off": (orjson.dumps(gates(rule()))[:-1], "body", "read whole"),
    "nothing": (b"", "body", "read whole"),
    "not of this coding": (b'{"lodge":{"gates":[{"destination":"\xff"}]}}', "body", "read whole"),
    "too deep": (b'{"lodge":' * 5000, "body", "read whole"),
    "deeper than it can be told on": (
        orjson.dumps(gates(rule(more=1))).replace(b'"more":1', b'"more":' + b"[" * 250 + b"]" * 250),
        "body",
        "nested deeper",
    ),
    "endless": (orjson.dumps(gates(rule(deadline=77))).replace(b"77", b"1e999"), "body", "read whole"),
}
VALID = {
    "ten minutes": gates(rule(deadline=600)),
    "a short one": gates(rule(deadline=0.001)),
    "a target just under a minute over": gates(rule(deadline=2, target_s=61.999)),
    "the largest target": gates(rule(deadline=600, target_s=659.999)),
    "one attempt": gates(rule(attempts=1)),
    "a split with an empty part": gates(rule(dispatch=split(0, 5))),
    "one place on two hosts": {"lodge": {"gates": [{"destination": h, "regulations": [rule(name=h)]}
                                                   for h in ("a", "b")]}},
    "keys that nobody knows": gates(rule(colour="red") | {"sorting": {"postcode": "/a/", "more": 1}}),
    "the same twice": gates(rule(), rule()),
    "nothing to do": {"lodge": {}, "withdraw": {"routes": []}},
    "parts left out": {"lodge": None},
    "as deep as it may be": orjson.dumps(gates(rule(more=1))).replace(
        b'"more":1', b'"more":' + b"[" * 190 + b"]" * 190
    ),
    "a large version": gates(rule(version="r999999999999999")),
}  # fmt: skip


class Reads(testtools.TestCase):
    def test_what_is_invalid(self):
        # Guards: every way of being invalid is refused for good, with key and value; nothing of it stands.
        for name, (call, *named) in INVALID.items():
            failure = outcome(call)
            self.assertIsInstance(failure, Failure, name)
            self.assertEqual(400, failure.status, name)
            for each in named:
                self.assertIn(each, failure.reason, name)

    def test_what_only_just_stands(self):
        # Guards: a valid call that is refused is a duty missed.
        for name, call in VALID.items():
            self.assertNotIsInstance(outcome(call), Failure, (name, outcome(call)))

    def test_an_invalid_item_far_down(self):
        # Guards: a call is read to its end before anything of it counts; in slices between other work.
        many = [rule(name=f"r{n}", postcode=f"/{n}/") for n in range(300)]
        self.assertEqual(300, len(outcome(gates(*many))))
        self.assertLess(30, sum(step is None for step in parse_call(orjson.dumps(gates(*many)))))
        self.assertIsInstance(outcome(gates(*many, rule(deadline=601))), Failure)


def fleet(name, number=1, content=FLEET):
    return Item(SERVICE, name, number, content and content | {"name": name, "edition": f"r{number}"})


def routed(name="r1", number=1, postcode="/a/", service="s1", host="h"):
    row = rule(name=name, postcode=postcode, dispatch=dispatch(service=service))
    return Item(ROUTE, name, number, {"destination": host, "rule": row})


def held(*items):
    return {item.key: item for item in items}


class Stands(testtools.TestCase):
    HELD = held(fleet("s1"), fleet("s2"), routed("r1"), routed("r2", postcode="/b/", service="s2"))
    # Changes, each valid by itself, and what stands against them beside what is held.
    CHANGES = (
        ([routed("r3", postcode="/c/", service="s9")], "unknown service 's9'"),
        ([routed("r3", postcode="/c/", service="s9"), fleet("s9")], None),
        ([routed("r3", postcode="/b/")], "r2"),
        ([routed("r3", postcode="/b/", host="H")], "r2"),
        ([routed("r3", postcode="/b/", host="other")], None),
        ([routed("r3", postcode="/b/"), Item(ROUTE, "r2", 2, None)], None),
        ([routed("r1", 2, "/b/"), routed("r2", 2, "/a/", "s2")], None),
        ([routed("r1", 2, "/b/")], "r2"),
        ([fleet("s2", 2, None)], "r2 goes there"),
        ([fleet("s2", 2, None), Item(ROUTE, "r2", 2, None)], None),
        ([fleet("s2", 2, None), routed("r2", 2, "/b/", "s1")], None),
        ([fleet("s2", 2, None), routed("r2", 2, "/b/", "s2")], "unknown service 's2'"),
        ([routed("r3", postcode="/c/"), routed("r4", postcode="/c/")], "two routes of one call"),
        ([], None),
    )

    def test_what_may_stand_together(self):
        # Guards: validity spans items: a place that is taken, a service that is not there or goes away.
        for change, against in self.CHANGES:
            found = consistent(self.HELD, held(*change))
            self.assertEqual(against is None, found is None, (change, found))
            if against is not None:
                self.assertIn(against, found.reason)

    def test_the_highest_version_holds(self):
        # Guards: older changes that arrive again, a drop before what it drops, two contents of one version.
        there = held(routed("r1", 5), Item(ROUTE, "gone", 5, None))
        for item, newer in (
            (routed("r1", 4), False),
            (routed("r1", 5), False),
            (routed("r1", 6), True),
            (Item(ROUTE, "r1", 4, None), False),
            (Item(ROUTE, "r1", 6, None), True),
            (routed("gone", 4), False),
            (routed("gone", 6), True),
            (routed("new", 1), True),
        ):
            in_force = {key: each.bare for key, each in {**there, **merge(there, [item])}.items()}
            self.assertEqual({**there, **(held(item) if newer else {})}, in_force)
        for other in (routed("r1", 5, "/other/"), Item(ROUTE, "r1", 5, None), routed("gone", 5)):
            self.assertEqual(409, merge(there, [other]).status)

    def test_it_reads_back_as_it_was_sent(self):
        # Guards: the operator compares what it sent with what it gets: unknown keys too, dropped ones not.
        call = gates(rule(colour="red"), rule(name="r2", postcode="/b/"))
        call["lodge"] |= {"limits": SIZES, "fleets": [FLEET | {"sealed": False}]}
        items = held(*outcome(call), Item(ROUTE, "r9", 3, None), Item(SERVICE, "s9", 3, None))
        self.assertEqual(call["lodge"], laid_out(items.values()))
        self.assertIn((LIMITS, LIMITS), items)
