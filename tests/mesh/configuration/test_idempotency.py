"""What operators are told: one content for each number, one answer for each order, however late it comes."""

from itertools import permutations

import testtools

from foxspread.mesh.configuration import idempotency
from foxspread.mesh.configuration.items import KEPT, LEASE, MEMBERS, REFUSED, SERVICE, Item
from foxspread.mesh.configuration.idempotency import collectable, digest_of_change, apply_change, merge
from foxspread.mesh.errors import Failure
from tests.mesh.replication.scripted_replicas import route, service


class Register:
    """The agreed set as one writer after another would settle it."""

    def __init__(self, *items):
        self.held = {item.key: item for item in items}
        self.clock = 0.0

    def told(self, *items):
        """What the operator is told: 200 or a status."""
        changes, outcome = apply_change(self.held, list(items), digest_of_change(items), self.clock)
        self.held |= changes
        return outcome.status if isinstance(outcome, Failure) else 200

    def content(self, name):
        return self.held[SERVICE, name].content


V1, V2 = service(version=5, tag=1), service(version=5, tag=2)


class Numbers(testtools.TestCase):
    def test_one_content_of_a_number_is_ever_confirmed(self):
        # Guards: r5 X is confirmed, then r6, then another's r5 Y was confirmed too.
        newer = [service(version=6), Item(SERVICE, "v", 7, None), service(version=9, tag=4)]
        for count in range(len(newer) + 1):
            for first, second in permutations((V1, V2)):
                register = Register()
                self.assertEqual(200, register.told(first))
                for item in newer[:count]:
                    self.assertEqual(200, register.told(item))
                self.assertEqual((409, 200), (register.told(second), register.told(first)), count)

    def test_a_number_that_was_overtaken_unseen_is_confirmed_once(self):
        # An older order that never came through changes nothing and is confirmed, another of its number not.
        for first, second in permutations((V1, V2)):
            register = Register(service(version=8, tag=8))
            told = [register.told(each) for each in (first, second, first, service(version=8, tag=8))]
            self.assertEqual([200, 409, 200, 200], told)
            self.assertEqual(8, register.content("v")["tag"])

    def test_all_orders_of_four_orders(self):
        # Whatever comes first: of each number one content is confirmed, an order has one answer.
        four = [V1, V2, service(version=6), Item(SERVICE, "v", 7, None)]
        for played in permutations([*four, V1, V2], 6):
            register, told = Register(), {}
            for item in played:
                answer = register.told(item)
                self.assertEqual(told.setdefault(str(item), answer), answer, played)
            self.assertEqual([200, 409], sorted(told[str(each)] for each in (V1, V2)))

    def test_what_is_remembered_is_bounded_and_beyond_it_nothing_is_said(self):
        # Past the bound no order is confirmed that may differ from what was, nor refused if it was taken.
        register = Register()
        changes = [service(version=n, tag=n) for n in range(1, idempotency.PAST_MOST + 12)]
        for item in changes:
            self.assertEqual(200, register.told(item))
        floor, known = register.held[SERVICE, "v"].past
        self.assertEqual((10, idempotency.PAST_MOST), (floor, len(known)))
        for item in changes:
            other = service(version=item.version, tag=-1)
            expected = (503, 503) if item.version <= floor else (200, 409)
            self.assertEqual(expected, (register.told(item), register.told(other)), item.version)

    def test_an_older_number_is_noted_without_pushing_out_what_was_confirmed(self):
        register = Register()
        for n in range(100, 100 + idempotency.PAST_MOST + 1):
            register.told(service(version=n, tag=n))
        self.assertEqual(200, register.told(service(version=50, tag=1)))
        self.assertEqual([503, 503], [register.told(service(version=50, tag=tag)) for tag in (1, 2)])
        self.assertEqual(200, register.told(service(version=100, tag=100)))

    def test_numbers_are_one_whether_whole_or_not(self):
        one, same = (Item(SERVICE, "v", 5, {"name": "v", "tag": tag}) for tag in (2, 2.0))
        register = Register()
        told = [register.told(each) for each in (one, same, service(version=6), same)]
        self.assertEqual([200] * 4, told)

    def test_no_number_is_too_large_to_be_overtaken(self):
        # Guards: a whole number beyond 64 bits, which JSON gives as a float: no digest could be made of it.
        for large in (1e40, -1e300, 2.0**53, 2.0**63, 10**18, 0.1):
            register = Register()
            one = Item(SERVICE, "v", 5, {"name": "v", "tag": large})
            self.assertEqual(
                [200, 200, 200], [register.told(each) for each in (one, service(version=6), one)]
            )
            self.assertEqual(409, register.told(V2))

    def test_an_order_is_known_whatever_the_order_of_its_items(self):
        items = [service("a"), service("b"), route("r", "/r/", "a")]
        self.assertEqual(1, len({digest_of_change(each) for each in permutations(items)}))
        self.assertNotEqual(digest_of_change(items), digest_of_change(items[:2]))


class Refusals(testtools.TestCase):
    late = route("r", "/r/", "w")

    def test_a_refused_order_never_comes_into_force(self):
        # Guards: a copy that a frozen machine reads late, when it has become valid.
        register = Register(service())
        self.assertEqual(400, register.told(self.late))
        self.assertEqual(200, register.told(service("w")))
        self.assertEqual(400, register.told(self.late))
        self.assertNotIn(self.late.key, register.held)
        again = route("r", "/r/", "w", version=2)
        self.assertEqual(200, register.told(again))
        self.assertEqual(400, register.told(self.late))

    def test_a_taken_order_is_never_refused(self):
        # Not even when what it needs has gone since.
        register = Register(service())
        self.assertEqual(200, register.told(service("w"), self.late))
        for item in (Item(*self.late.key, 2, None), Item(SERVICE, "w", 2, None)):
            self.assertEqual(200, register.told(item))
        self.assertEqual(200, register.told(service("w"), self.late))
        self.assertIsNone(register.held[self.late.key].content)

    def test_refusals_are_kept_for_their_time_and_no_longer(self):
        register = Register()
        for n in range(idempotency.REFUSED_MOST):
            register.clock = n * 0.01
            self.assertEqual(400, register.told(route(f"r{n}", "/r/", "w")))
        self.assertEqual(503, register.told(self.late))  # one that could not be remembered is not told
        register.clock += idempotency.REFUSED_KEPT_S
        self.assertEqual(400, register.told(self.late))
        self.assertGreater(register.held[KEPT, REFUSED].content["t"], 0)


class Own(testtools.TestCase):
    def test_members_and_leases_follow_what_holds(self):
        # Guards: two that change from the same set, or act on the same lease, at once.
        for kind in (MEMBERS, LEASE):
            one, other = (Item(kind, "members", 1, {"of": [name]}) for name in "ab")
            register = Register()
            second, third = (Item(kind, "members", n, {"of": ["a"]}) for n in (2, 3))
            told = [register.told(each) for each in (second, one, other, one, third, second)]
            self.assertEqual([409, 200, 409, 409, 409, 200], told)

    def test_the_oldest_of_too_many_dropped_items_are_forgotten(self):
        # And an unknown name below the floor is left without a clear answer: it may be one of them.
        gone = [Item(SERVICE, f"s{n}", 5 + n % 3, None) for n in range(idempotency.DROPPED_MOST + 1)]
        held = {item.key: item for item in gone}
        at = {item.key: (n + 1, "w") for n, item in enumerate(gone)}
        self.assertEqual({}, collectable(dict(list(held.items())[1:]), at))
        kept = collectable(held, at)[KEPT, "dropped"]
        oldest = idempotency.DROPPED_MOST + 1 - idempotency.DROPPED_REST
        self.assertEqual({"floor": 7, "at": [oldest, "w"]}, kept.content)
        there = {kept.key: kept}
        self.assertEqual(503, merge(there, [service("s0", 7)]).status)
        self.assertIn((SERVICE, "s0"), merge(there, [service("s0", 8)]))
