"""Calls of the operator: what is refused, with the key and value named, and what is only just valid."""

import orjson
import testtools

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.configuration.validation import parse_call
from foxspread.mesh.errors import InvalidRequest
from tests.mesh.configuration.support import LIMITS_CONTENT, dispatch, gates, split
from tests.mesh.helpers import rule


def parsed(call: object) -> list[Item] | InvalidRequest:
    """Items of a call, or its failure, which must be the last step."""
    body = call if isinstance(call, bytes) else orjson.dumps(call)
    steps = [step for step in parse_call(body) if step is not None]
    failures = [step for step in steps if isinstance(step, InvalidRequest)]
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
    "limits below nothing": ({"lodge": {"limits": LIMITS_CONTENT | {"idle_s": -1}}}, "limits", "idle_s: -1"),
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


class ParseCallTest(testtools.TestCase):
    def test_an_invalid_call_is_refused_for_good_with_key_and_value(self) -> None:
        for name, (call, *named) in INVALID.items():
            failure = parsed(call)
            self.assertIsInstance(failure, InvalidRequest, name)
            self.assertEqual(400, failure.status, name)
            for each in named:
                self.assertIn(each, failure.reason, name)

    def test_a_call_that_is_only_just_valid_is_accepted(self) -> None:
        for name, call in VALID.items():
            self.assertNotIsInstance(parsed(call), InvalidRequest, (name, parsed(call)))

    def test_a_call_is_parsed_to_its_end_in_slices(self) -> None:
        # An invalid item far down refuses all; other work may go first now and then.
        many = [rule(name=f"r{n}", postcode=f"/{n}/") for n in range(300)]
        self.assertEqual(300, len(parsed(gates(*many))))
        self.assertLess(30, sum(step is None for step in parse_call(orjson.dumps(gates(*many)))))
        self.assertIsInstance(parsed(gates(*many, rule(deadline=601))), InvalidRequest)
