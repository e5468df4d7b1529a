"""Who owns the workers, case by case."""

import dataclasses
import unittest

from pollenladder.cluster import ownership

OWNER = ownership.View(is_owner=True, epoch=7, workers_reached=20)
PEER = ownership.View()
PLAIN = ownership.Situation(
    own_id="b",
    own=PEER,
    heard={"a": PEER, "c": PEER},
    known=frozenset("abc"),
    is_cut_off_with_zone=False,
    may_claim_alone=False,
)


def _decide(**changes: object) -> tuple[ownership.Decision, str]:
    return ownership.decide(dataclasses.replace(PLAIN, **changes))


def _change(view: ownership.View, **changes: object) -> ownership.View:
    return dataclasses.replace(view, **changes)


class FollowerTest(unittest.TestCase):
    """What a daemon without the workers does."""

    def test_an_owner_that_is_heard_is_followed(self):
        decision = _decide(heard={"a": PEER, "c": OWNER})
        self.assertEqual(decision, (ownership.Decision.FOLLOW, "c"))

    def test_of_two_owners_the_one_with_more_workers_is_followed(self):
        weak = _change(OWNER, epoch=9, workers_reached=3)
        decision = _decide(heard={"a": OWNER, "c": weak})
        self.assertEqual(decision, (ownership.Decision.FOLLOW, "a"))

    def test_the_first_one_claims(self):
        self.assertEqual(_decide()[0], ownership.Decision.WAIT)
        decision = _decide(heard={"c": PEER})
        self.assertEqual(decision, (ownership.Decision.CLAIM, "b"))

    def test_better_daemons_go_first(self):
        cases = (
            {"is_leaving": True},
            {"reads_store": False},
            {"lag_s": ownership.SLOW_LAG_S + 0.01},
            {"processor_cores": 0.5},
        )
        for changes in cases:
            with self.subTest(changes=changes):
                worse = _change(PEER, **changes)
                decision = _decide(heard={"a": worse, "c": PEER})
                self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_who_alone_does_not_hear_the_owner_waits(self):
        known = frozenset("abcd")
        following = _change(PEER, follows="a")
        heard = {"c": following, "d": following}
        decision = _decide(heard=heard, known=known)
        self.assertEqual(decision, (ownership.Decision.WAIT, ""))

    def test_once_the_others_have_lost_it_too_the_first_one_claims(self):
        known = frozenset("abcd")
        heard = {"c": PEER, "d": _change(PEER, follows="a"), "e": PEER}
        decision = _decide(heard=heard, known=known)
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_who_hears_too_few_waits(self):
        known = frozenset("abcdef")
        decision = _decide(heard={"c": PEER}, known=known)
        self.assertEqual(decision[0], ownership.Decision.WAIT)

    def test_who_is_cut_off_with_its_data_centre_claims(self):
        decision = _decide(
            heard={"c": PEER},
            known=frozenset("abcdef"),
            is_cut_off_with_zone=True,
        )
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_the_only_daemon_there_is_claims(self):
        decision = _decide(heard={}, known=frozenset("b"))
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_who_has_just_lost_the_workers_waits(self):
        yielding = _change(PEER, is_yielding=True)
        decision = _decide(own=yielding, heard={"c": PEER})
        self.assertEqual(decision[0], ownership.Decision.WAIT)

    def test_who_has_just_lost_the_workers_keeps_nobody_waiting(self):
        yielding = _change(PEER, is_yielding=True)
        decision = _decide(heard={"a": yielding, "c": PEER})
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_who_is_leaving_does_not_claim(self):
        leaving = _change(PEER, is_leaving=True)
        decision = _decide(own=leaving, heard={"c": leaving})
        self.assertEqual(decision[0], ownership.Decision.WAIT)


class OwnerTest(unittest.TestCase):
    """What an owner does."""

    def test_it_stays(self):
        decision = _decide(own=OWNER)
        self.assertEqual(decision, (ownership.Decision.KEEP, "b"))

    def test_it_stays_though_it_hears_nobody(self):
        decision = _decide(own=OWNER, heard={})
        self.assertEqual(decision[0], ownership.Decision.KEEP)

    def test_it_yields_to_one_with_more_workers(self):
        stronger = _change(OWNER, workers_reached=21, epoch=3)
        decision = _decide(own=OWNER, heard={"a": stronger})
        self.assertEqual(decision, (ownership.Decision.RESIGN, "a"))

    def test_it_outbids_a_weaker_one_with_a_higher_epoch(self):
        weaker = _change(OWNER, workers_reached=3, epoch=9)
        decision = _decide(own=OWNER, heard={"a": weaker})
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_two_owners_never_both_stay(self):
        for reached in (3, 20, 30):
            for epoch in (6, 7, 8):
                other = _change(OWNER, workers_reached=reached, epoch=epoch)
                here = _decide(own=OWNER, heard={"a": other})[0]
                there = _decide(own_id="a", own=other, heard={"b": OWNER})[0]
                resigned = [here, there].count(ownership.Decision.RESIGN)
                with self.subTest(reached=reached, epoch=epoch):
                    self.assertEqual(resigned, 1)

    def test_it_hands_over_when_it_leaves(self):
        leaving = _change(OWNER, is_leaving=True)
        decision = _decide(own=leaving)
        self.assertEqual(decision[0], ownership.Decision.RESIGN)

    def test_it_keeps_the_workers_if_all_are_leaving(self):
        leaving = _change(OWNER, is_leaving=True)
        heard = {"a": _change(PEER, is_leaving=True)}
        decision = _decide(own=leaving, heard=heard)
        self.assertEqual(decision[0], ownership.Decision.KEEP)

    def test_it_hands_over_if_only_others_reach_the_store(self):
        blind = _change(OWNER, reads_store=False)
        self.assertEqual(_decide(own=blind)[0], ownership.Decision.RESIGN)
        none = {"a": _change(PEER, reads_store=False)}
        decision = _decide(own=blind, heard=none)
        self.assertEqual(decision[0], ownership.Decision.KEEP)

    def test_a_smaller_one_that_falls_behind_hands_over_to_a_larger_one(self):
        larger = {"a": _change(PEER, processor_cores=2.0)}
        late = _change(OWNER, lag_s=ownership.QUICK_LAG_S + 0.01)
        cases = (
            (OWNER, ownership.Decision.KEEP),
            (late, ownership.Decision.RESIGN),
        )
        for own, expected in cases:
            with self.subTest(lag_s=own.lag_s):
                decision = _decide(own=own, heard=larger)
                self.assertEqual(decision[0], expected)

    def test_a_larger_one_hands_over_to_a_smaller_one_only_if_stuck(self):
        smaller = {"a": _change(PEER, processor_cores=0.5)}
        cases = (
            (ownership.SLOW_LAG_S, ownership.Decision.KEEP),
            (ownership.STUCK_LAG_S, ownership.Decision.RESIGN),
        )
        for lag_s, expected in cases:
            with self.subTest(lag_s=lag_s):
                late = _change(OWNER, lag_s=lag_s + 0.01)
                decision = _decide(own=late, heard=smaller)
                self.assertEqual(decision[0], expected)

    def test_it_stays_if_one_after_the_other_was_slow(self):
        slow = _change(OWNER, lag_s=ownership.STUCK_LAG_S + 0.01)
        owners = ownership.RESTLESS_OWNERS
        cases = (
            (owners - 1, ownership.Decision.RESIGN),
            (owners, ownership.Decision.KEEP),
        )
        for recent, expected in cases:
            with self.subTest(recent=recent):
                decision = _decide(own=slow, recent_owners=recent)
                self.assertEqual(decision[0], expected)

    def test_it_hands_over_if_it_alone_is_slow(self):
        slow = _change(OWNER, lag_s=ownership.SLOW_LAG_S + 0.01)
        self.assertEqual(_decide(own=slow)[0], ownership.Decision.RESIGN)
        busy = {"a": _change(PEER, lag_s=ownership.SLOW_LAG_S)}
        decision = _decide(own=slow, heard=busy)
        self.assertEqual(decision[0], ownership.Decision.KEEP)
