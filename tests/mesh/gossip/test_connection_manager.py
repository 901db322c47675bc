"""Whom a process keeps links to, against a world in which machines live, refuse or say nothing."""

import random

import testtools

from foxspread.mesh.gossip.connection_manager import (
    CALL_S,
    CALLS_MOST,
    FORGET_S,
    LINKS_MOST,
    OTHERS_MOST,
    PAUSE_MOST_KEEPERS_S,
    PAUSE_MOST_REST_S,
    PAUSE_MOST_S,
    SIDES_AFTER_S,
    SIDES_MOST,
    ConnectionManager,
    NeighbourFallback,
)


def at(number):
    return ("10.0.0.%d" % number, 8282)


class Play:
    """Calls to `live` come up, to `refuse` are refused, all others are silent, for `CALL_S`."""

    def __init__(self, has_storage=False, own=at(200), seeds=(), members=(), live=(), refuse=(), seed=1):
        self.now, self.live, self.refuse, self.made = 0.0, set(live), set(refuse), []
        self.silent, self.most_at_once = [], 0
        self.cut = set()  # whose contact with a majority is lost
        self.connection_manager = ConnectionManager(0.0, own, has_storage, seeds, random.Random(seed).random)
        self.connection_manager.agreed(0.0, members)

    def step(self, seconds=0.1, times=1):
        for _ in range(times):
            self.now += seconds
            for at, place in [each for each in self.silent if self.now >= each[0] + CALL_S]:
                self.silent.remove((at, place))
                self.connection_manager.vain(self.now, place, False)
            for place in self.connection_manager.calls(self.now):
                self.made.append((self.now, place))
                if place in self.live:
                    self.connection_manager.up(self.now, place, str(place), place not in self.cut)
                elif place in self.refuse:
                    self.connection_manager.vain(self.now, place, True)
                else:
                    self.silent.append((self.now, place))
            self.most_at_once = max(self.most_at_once, len(self.silent))
            for name in self.connection_manager.surplus(self.now):
                self.connection_manager.down(self.now, name)

    def calls_of(self, place):
        return [now for now, each in self.made if each == place]


class Links(testtools.TestCase):
    def test_the_dead_never_take_the_place_of_those_that_live(self):
        # Guards: five dead seeds, four of them refusing, must not hide two that live and were told later.
        dead = [at(n) for n in range(1, 6)]
        for seed in range(20):
            play = Play(seeds=dead, live=[at(8), at(9)], refuse=dead[:4], seed=seed)
            play.step(times=20)
            play.connection_manager.told(play.now, at(8))
            play.connection_manager.told(play.now, at(9))
            play.step(times=5)
            self.assertEqual({at(8), at(9)}, set(play.connection_manager.live))
            # Nor must many that say nothing, each for the time of a call.
            play = Play(live=[at(8), at(9)], seed=seed)
            for number in range(20, 60):
                play.connection_manager.told(0.0, at(number))
            play.step(times=80)
            play.connection_manager.told(play.now, at(8))
            play.connection_manager.told(play.now, at(9))
            play.step(times=int(CALL_S / 0.1) + 1)
            self.assertEqual({at(8), at(9)}, set(play.connection_manager.live))

    def test_a_sidecar_keeps_a_few_and_the_fleet_is_spread(self):
        places, counts = [at(n) for n in range(1, 23)], {}
        for seed in range(60):
            play = Play(seeds=places[:3], live=places, seed=seed)
            for each in places:
                play.connection_manager.told(0.0, each)
            play.step(times=30)
            self.assertEqual(LINKS_MOST, len(play.connection_manager.live))
            for each in play.connection_manager.live:
                counts[each] = counts.get(each, 0) + 1
        self.assertEqual(22, len(counts))
        self.assertTrue(max(counts.values()) < 60 * LINKS_MOST / 22 * 2.2, counts)

    def test_agreed_members_come_before_others(self):
        # Guards: links to five that do not vote must not keep a sidecar from those that do.
        others, members = [at(n) for n in range(1, 6)], [at(n) for n in range(11, 14)]
        play = Play(seeds=others, live=[*others, *members])
        play.step(times=5)
        self.assertEqual(set(others), set(play.connection_manager.live))
        play.connection_manager.agreed(play.now, members)
        play.step(times=100)
        self.assertTrue(set(members) <= set(play.connection_manager.live))
        self.assertEqual(LINKS_MOST, len(play.connection_manager.live))
        before = set(play.connection_manager.live)
        play.step(times=100)
        self.assertEqual(before, set(play.connection_manager.live))  # and then nothing changes any more
        for each in play.connection_manager.live:
            play.connection_manager.contact(str(each), each != members[0])
        self.assertEqual(4, len(play.connection_manager.in_quorum_contact()))

    def test_with_none_in_contact_others_are_tried_ever_more_rarely(self):
        # Guards: five links, all to keepers that are cut off, must not keep a sidecar from one that is not;
        # and where none is in contact, a fleet must not change links for ever.
        places = [at(n) for n in range(1, 12)]
        for cut in (places[:10], places):
            play = Play(seeds=places[:3], members=places[:5], live=places)
            for each in places:
                play.connection_manager.told(0.0, each)
            play.cut = set(cut)
            play.step(times=2000)
            self.assertEqual(
                [str(each) for each in places if each not in cut], play.connection_manager.in_quorum_contact()
            )
            late = [now for now, _ in play.made if now > 100.0]
            self.assertTrue(len(late) <= 4, late)

    def test_calls_in_vain_come_ever_more_rarely_with_a_cap_and_jitter(self):
        seed, other = at(1), at(2)
        play = Play(seeds=[seed], refuse=[seed])
        play.connection_manager.told(0.0, other)
        play.step(times=int(0.9 * FORGET_S / 0.1))
        for place, most, few in ((seed, PAUSE_MOST_S, 30), (other, PAUSE_MOST_REST_S, 18)):
            times = play.calls_of(place)
            pauses = [b - a for a, b in zip(times, times[1:])]
            self.assertTrue(len(times) < few, (place, len(times)))
            self.assertTrue(max(pauses) <= CALL_S + 1.5 * most + 0.21, (place, max(pauses)))
            self.assertTrue(len({round(each, 1) for each in pauses[-5:]}) > 1, pauses)
        # One that is back is reached within the longest pause, by keepers sooner than by sidecars.
        for has_storage, most in ((False, PAUSE_MOST_S), (True, PAUSE_MOST_KEEPERS_S)):
            play = Play(has_storage, at(0), seeds=[seed])
            play.step(times=200)
            play.live.add(seed)
            back = play.now
            play.step(times=40)
            called = [t for t in play.calls_of(seed) if t > back]
            self.assertEqual(1, len(called))
            self.assertTrue(called[0] <= back + CALL_S + 1.5 * most + 0.11, (has_storage, called[0] - back))

    def test_whoever_does_not_answer_is_forgotten_but_seeds_and_members_are_not(self):
        play = Play(seeds=[at(1)], members=[at(2)])
        for number in range(3, 3 + 2 * OTHERS_MOST):
            play.connection_manager.told(0.0, at(number))
        self.assertEqual(2 + OTHERS_MOST, len(play.connection_manager.of))
        play.step(times=int(2 * FORGET_S / 0.1))
        self.assertEqual({at(1), at(2)}, set(play.connection_manager.of))
        self.assertTrue(play.most_at_once <= CALLS_MOST)
        play = Play(True, seeds=[at(n) for n in range(1, 23)])
        play.step(times=100)
        self.assertEqual(CALLS_MOST, play.most_at_once)

    def test_every_two_keepers_come_to_a_link(self):
        # Guards: of two seeds the lower calls, one beyond the seeds calls them all; where only the higher of
        # two knows the other (other seeds, a wiped disk), it calls after a while.
        seeds = [at(1), at(2), at(3)]
        for own, wanted in ((at(1), {at(2), at(3)}), (at(3), set()), (at(4), set(seeds))):
            play = Play(True, own, seeds)
            play.step()
            self.assertEqual(wanted, {place for _, place in play.made})
        play = Play(True, at(3), seeds)
        play.step(times=30)
        self.assertEqual({at(1), at(2)}, {place for _, place in play.made})
        play = Play(True, at(9), seeds, live=[at(n) for n in range(1, 23)])
        for number in range(1, 23):
            play.connection_manager.told(0.0, at(number))
        play.step(times=30)
        self.assertEqual(21, len(play.connection_manager.live))

    def test_neighbours_are_leant_on_only_where_no_keeper_is_in_contact(self):
        leaning = NeighbourFallback(0.0)
        self.assertEqual(0, leaning.wanted(SIDES_AFTER_S, 0, 0))
        self.assertEqual(SIDES_MOST, leaning.wanted(SIDES_AFTER_S + 0.1, 0, 0))
        self.assertEqual(SIDES_MOST - 1, leaning.wanted(SIDES_AFTER_S + 0.1, 0, 1))
        self.assertEqual(0, leaning.wanted(2.0, 1, 0))
        self.assertEqual(0, leaning.wanted(3.0, 0, 0))
        self.assertEqual(SIDES_MOST, leaning.wanted(3.1 + SIDES_AFTER_S, 0, 0))
