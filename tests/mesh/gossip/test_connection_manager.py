"""Which replicas a process stays connected to, in a world where machines answer, refuse or are silent."""

import random

import testtools

from foxspread.mesh.gossip.connection_manager import (
    DIAL_TIMEOUT_S,
    FALLBACK_AFTER_S,
    FORGET_UNREACHABLE_AFTER_S,
    MAX_BACKOFF_REPLICAS_S,
    MAX_BACKOFF_SIDECARS_S,
    MAX_BACKOFF_UNCONFIRMED_S,
    MAX_CONCURRENT_DIALS,
    MAX_FALLBACK_NEIGHBOURS,
    MAX_SIDECAR_CONNECTIONS,
    MAX_UNCONFIRMED_ADDRESSES,
    ConnectionManager,
    NeighbourFallback,
)
from foxspread.mesh.gossip.partial_view import Neighbour


def at(number):
    return ("10.0.0.%d" % number, 8282)


class Play:
    """Calls to `live` come up, to `refuse` are refused, all others are silent, for `DIAL_TIMEOUT_S`."""

    def __init__(self, has_storage=False, own=at(200), seeds=(), members=(), live=(), refuse=(), seed=1):
        self.now, self.live, self.refuse, self.made = 0.0, set(live), set(refuse), []
        self.silent, self.most_at_once = [], 0
        self.cut = set()  # whose contact with a majority is lost
        self.manager = ConnectionManager(0.0, own, has_storage, seeds, random.Random(seed).random)
        self.manager.set_members(0.0, members)

    def step(self, seconds=0.1, times=1):
        for _ in range(times):
            self.now += seconds
            for at, address in [each for each in self.silent if self.now >= each[0] + DIAL_TIMEOUT_S]:
                self.silent.remove((at, address))
                self.manager.dial_failed(self.now, address, False)
            for address in self.manager.addresses_to_dial(self.now):
                self.made.append((self.now, address))
                if address in self.live:
                    self.manager.connected(self.now, address, str(address), address not in self.cut)
                elif address in self.refuse:
                    self.manager.dial_failed(self.now, address, True)
                else:
                    self.silent.append((self.now, address))
            self.most_at_once = max(self.most_at_once, len(self.silent))
            for name in self.manager.connections_to_close(self.now):
                self.manager.disconnected(self.now, name)

    def calls_of(self, address):
        return [now for now, each in self.made if each == address]


class Links(testtools.TestCase):
    def test_unreachable_addresses_never_disaddress_reachable_ones(self):
        # Guards: five dead seeds, four of them refusing, must not hide two that live and were told later.
        dead = [at(n) for n in range(1, 6)]
        for seed in range(20):
            play = Play(seeds=dead, live=[at(8), at(9)], refuse=dead[:4], seed=seed)
            play.step(times=20)
            play.manager.add_address(play.now, at(8))
            play.manager.add_address(play.now, at(9))
            play.step(times=5)
            self.assertEqual({at(8), at(9)}, set(play.manager.connected_addresses))
            # Nor must many that say nothing, each for the time of a call.
            play = Play(live=[at(8), at(9)], seed=seed)
            for number in range(20, 60):
                play.manager.add_address(0.0, at(number))
            play.step(times=80)
            play.manager.add_address(play.now, at(8))
            play.manager.add_address(play.now, at(9))
            play.step(times=int(DIAL_TIMEOUT_S / 0.1) + 1)
            self.assertEqual({at(8), at(9)}, set(play.manager.connected_addresses))

    def test_a_sidecar_keeps_a_few_and_the_fleet_is_spread(self):
        addresses, counts = [at(n) for n in range(1, 23)], {}
        for seed in range(60):
            play = Play(seeds=addresses[:3], live=addresses, seed=seed)
            for each in addresses:
                play.manager.add_address(0.0, each)
            play.step(times=30)
            self.assertEqual(MAX_SIDECAR_CONNECTIONS, len(play.manager.connected_addresses))
            for each in play.manager.connected_addresses:
                counts[each] = counts.get(each, 0) + 1
        self.assertEqual(22, len(counts))
        self.assertTrue(max(counts.values()) < 60 * MAX_SIDECAR_CONNECTIONS / 22 * 2.2, counts)

    def test_agreed_members_come_before_others(self):
        # Guards: links to five that do not vote must not keep a sidecar from those that do.
        others, members = [at(n) for n in range(1, 6)], [at(n) for n in range(11, 14)]
        play = Play(seeds=others, live=[*others, *members])
        play.step(times=5)
        self.assertEqual(set(others), set(play.manager.connected_addresses))
        play.manager.set_members(play.now, members)
        play.step(times=100)
        self.assertTrue(set(members) <= set(play.manager.connected_addresses))
        self.assertEqual(MAX_SIDECAR_CONNECTIONS, len(play.manager.connected_addresses))
        before = set(play.manager.connected_addresses)
        play.step(times=100)
        self.assertEqual(before, set(play.manager.connected_addresses))  # and then nothing changes any more
        for each in play.manager.connected_addresses:
            play.manager.set_quorum_contact(str(each), each != members[0])
        self.assertEqual(4, len(play.manager.replicas_in_contact()))

    def test_with_none_in_contact_replacements_come_at_growing_intervals(self):
        # Guards: five links, all to replicas that are cut off, must not keep a sidecar from one that is not;
        # and where none is in contact, a fleet must not change links for ever.
        addresses = [at(n) for n in range(1, 12)]
        for cut in (addresses[:10], addresses):
            play = Play(seeds=addresses[:3], members=addresses[:5], live=addresses)
            for each in addresses:
                play.manager.add_address(0.0, each)
            play.cut = set(cut)
            play.step(times=2000)
            self.assertEqual(
                [str(each) for each in addresses if each not in cut],
                play.manager.replicas_in_contact(),
            )
            late = [now for now, _ in play.made if now > 100.0]
            self.assertTrue(len(late) <= 4, late)

    def test_failed_dials_back_off_with_a_cap_and_jitter(self):
        seed, other = at(1), at(2)
        play = Play(seeds=[seed], refuse=[seed])
        play.manager.add_address(0.0, other)
        play.step(times=int(0.9 * FORGET_UNREACHABLE_AFTER_S / 0.1))
        for address, most, few in (
            (seed, MAX_BACKOFF_SIDECARS_S, 30),
            (other, MAX_BACKOFF_UNCONFIRMED_S, 18),
        ):
            times = play.calls_of(address)
            intervals = [b - a for a, b in zip(times, times[1:])]
            self.assertTrue(len(times) < few, (address, len(times)))
            self.assertTrue(max(intervals) <= DIAL_TIMEOUT_S + 1.5 * most + 0.21, (address, max(intervals)))
            self.assertTrue(len({round(each, 1) for each in intervals[-5:]}) > 1, intervals)
        # One that is back is reached within the longest pause, by replicas sooner than by sidecars.
        for has_storage, most in ((False, MAX_BACKOFF_SIDECARS_S), (True, MAX_BACKOFF_REPLICAS_S)):
            play = Play(has_storage, at(0), seeds=[seed])
            play.step(times=200)
            play.live.add(seed)
            back = play.now
            play.step(times=40)
            called = [t for t in play.calls_of(seed) if t > back]
            self.assertEqual(1, len(called))
            self.assertTrue(
                called[0] <= back + DIAL_TIMEOUT_S + 1.5 * most + 0.11, (has_storage, called[0] - back)
            )

    def test_unreachable_addresses_are_forgotten_except_seeds_and_members(self):
        play = Play(seeds=[at(1)], members=[at(2)])
        for number in range(3, 3 + 2 * MAX_UNCONFIRMED_ADDRESSES):
            play.manager.add_address(0.0, at(number))
        self.assertEqual(2 + MAX_UNCONFIRMED_ADDRESSES, len(play.manager.addresses))
        play.step(times=int(2 * FORGET_UNREACHABLE_AFTER_S / 0.1))
        self.assertEqual({at(1), at(2)}, set(play.manager.addresses))
        self.assertTrue(play.most_at_once <= MAX_CONCURRENT_DIALS)
        play = Play(True, seeds=[at(n) for n in range(1, 23)])
        play.step(times=100)
        self.assertEqual(MAX_CONCURRENT_DIALS, play.most_at_once)

    def test_every_two_replicas_come_to_a_connection(self):
        # Guards: of two seeds the lower calls, one beyond the seeds calls them all; where only the higher of
        # two knows the other (other seeds, a wiped disk), it calls after a while.
        seeds = [at(1), at(2), at(3)]
        for own, wanted in ((at(1), {at(2), at(3)}), (at(3), set()), (at(4), set(seeds))):
            play = Play(True, own, seeds)
            play.step()
            self.assertEqual(wanted, {address for _, address in play.made})
        play = Play(True, at(3), seeds)
        play.step(times=30)
        self.assertEqual({at(1), at(2)}, {address for _, address in play.made})
        play = Play(True, at(9), seeds, live=[at(n) for n in range(1, 23)])
        for number in range(1, 23):
            play.manager.add_address(0.0, at(number))
        play.step(times=30)
        self.assertEqual(21, len(play.manager.connected_addresses))

    def test_fallback_neighbours_are_missing_only_while_no_replica_is_in_contact(self):
        fallback = NeighbourFallback(0.0, lambda: 0.0)
        self.assertEqual(0, fallback.missing(FALLBACK_AFTER_S, 0, 0))
        self.assertEqual(MAX_FALLBACK_NEIGHBOURS, fallback.missing(FALLBACK_AFTER_S + 0.1, 0, 0))
        self.assertEqual(MAX_FALLBACK_NEIGHBOURS - 1, fallback.missing(FALLBACK_AFTER_S + 0.1, 0, 1))
        self.assertEqual(0, fallback.missing(2.0, 1, 0))
        self.assertEqual(0, fallback.missing(3.0, 0, 0))
        self.assertEqual(MAX_FALLBACK_NEIGHBOURS, fallback.missing(3.1 + FALLBACK_AFTER_S, 0, 0))

    def test_a_neighbour_is_dialled_again_only_after_the_timeout_with_jitter(self):
        fallback = NeighbourFallback(0.0, lambda: 1.0)
        neighbours = [Neighbour("a", at(1), False), Neighbour("b", at(2), False)]
        self.assertEqual([at(1)], fallback.addresses_to_dial(1.0, neighbours, {"b"}))
        self.assertEqual([], fallback.addresses_to_dial(1.0 + 1.5 * DIAL_TIMEOUT_S - 0.01, neighbours, {"b"}))
        self.assertEqual([at(1)], fallback.addresses_to_dial(1.0 + 1.5 * DIAL_TIMEOUT_S, neighbours, {"b"}))
        fallback.missing(2.0, 1, 0)  # a replica in contact: the next isolation begins anew
        self.assertEqual([at(1)], fallback.addresses_to_dial(2.0, neighbours, {"b"}))
