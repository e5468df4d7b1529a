"""Decisions on the ownership of the workers."""

import dataclasses
import unittest

from pollenladder.cluster import ownership

OWNER = ownership.DaemonView(
    is_owner=True, epoch=7, workers_reached=20, is_settled=True
)
PEER = ownership.DaemonView()
PLAIN = ownership.Situation(
    own_id="b",
    own=PEER,
    reachable={"a": PEER, "c": PEER},
    known=frozenset("abc"),
    is_data_centre_isolated=False,
    may_claim_alone=False,
)


def _decide(**changes: object) -> tuple[ownership.Decision, str]:
    return ownership.decide(dataclasses.replace(PLAIN, **changes))


def _change(
    view: ownership.DaemonView, **changes: object
) -> ownership.DaemonView:
    return dataclasses.replace(view, **changes)


class FollowerTest(unittest.TestCase):
    """Decisions of a daemon that is not the owner."""

    def test_follows_a_reachable_owner(self):
        decision = _decide(reachable={"a": PEER, "c": OWNER})
        self.assertEqual(decision, (ownership.Decision.FOLLOW, "c"))

    def test_follows_the_owner_with_more_workers(self):
        weak = _change(OWNER, epoch=9, workers_reached=3)
        decision = _decide(reachable={"a": OWNER, "c": weak})
        self.assertEqual(decision, (ownership.Decision.FOLLOW, "a"))

    def test_follows_a_new_owner_of_a_higher_epoch(self):
        new = _change(OWNER, epoch=9, workers_reached=0, is_settled=False)
        decision = _decide(reachable={"a": OWNER, "c": new})
        self.assertEqual(decision, (ownership.Decision.FOLLOW, "c"))

    def test_only_the_named_successor_claims(self):
        cases = (
            ("b", {"a": PEER}, ownership.Decision.CLAIM),
            ("c", {"c": PEER}, ownership.Decision.WAIT),
            # Its link may not be up yet, as after a network partition.
            ("d", {"c": PEER}, ownership.Decision.WAIT),
        )
        for successor, reachable, expected in cases:
            with self.subTest(successor=successor):
                decision = _decide(reachable=reachable, successor=successor)
                self.assertEqual(decision[0], expected)

    def test_ranks_itself_as_the_others_do(self):
        late = _change(PEER, lag_s=ownership.SLOW_LAG_S + 0.01)
        reachable = {"c": PEER}
        # The others rank this daemon by its latest heartbeat, in which it was
        # still late, so "c" claims.
        decision = _decide(reachable=reachable, announced=late)
        self.assertEqual(decision[0], ownership.Decision.WAIT)

    def test_daemon_of_best_rank_claims(self):
        self.assertEqual(_decide()[0], ownership.Decision.WAIT)
        decision = _decide(reachable={"c": PEER})
        self.assertEqual(decision, (ownership.Decision.CLAIM, "b"))

    def test_claims_if_the_first_daemon_is_a_worse_owner(self):
        cases = (
            {"is_leaving": True},
            {"reads_store": False},
            {"lag_s": ownership.SLOW_LAG_S + 0.01},
            {"processor_cores": 0.5},
        )
        for changes in cases:
            with self.subTest(changes=changes):
                worse = _change(PEER, **changes)
                decision = _decide(reachable={"a": worse, "c": PEER})
                self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_waits_if_the_others_follow_an_unreachable_owner(self):
        known = frozenset("abcd")
        following = _change(PEER, follows="a")
        reachable = {"c": following, "d": following}
        decision = _decide(reachable=reachable, known=known)
        self.assertEqual(decision, (ownership.Decision.WAIT, ""))

    def test_claims_once_most_others_have_lost_the_owner_too(self):
        known = frozenset("abcd")
        reachable = {
            "c": PEER,
            "d": _change(PEER, follows="a"),
            "e": PEER,
        }
        decision = _decide(reachable=reachable, known=known)
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_waits_if_it_reaches_less_than_half(self):
        known = frozenset("abcdef")
        decision = _decide(reachable={"c": PEER}, known=known)
        self.assertEqual(decision[0], ownership.Decision.WAIT)

    def test_claims_if_its_data_centre_is_isolated(self):
        decision = _decide(
            reachable={"c": PEER},
            known=frozenset("abcdef"),
            is_data_centre_isolated=True,
        )
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_only_known_daemon_claims(self):
        decision = _decide(reachable={}, known=frozenset("b"))
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_waits_while_backing_off(self):
        backing_off = _change(PEER, is_backing_off=True)
        decision = _decide(own=backing_off, reachable={"c": PEER})
        self.assertEqual(decision[0], ownership.Decision.WAIT)

    def test_claims_while_the_first_daemon_backs_off(self):
        backing_off = _change(PEER, is_backing_off=True)
        decision = _decide(reachable={"a": backing_off, "c": PEER})
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_leaving_daemon_does_not_claim(self):
        leaving = _change(PEER, is_leaving=True)
        decision = _decide(own=leaving, reachable={"c": leaving})
        self.assertEqual(decision[0], ownership.Decision.WAIT)


class OwnerTest(unittest.TestCase):
    """Decisions of the owner."""

    def test_stays(self):
        decision = _decide(own=OWNER)
        self.assertEqual(decision, (ownership.Decision.KEEP, "b"))

    def test_stays_if_no_daemon_is_reachable(self):
        decision = _decide(own=OWNER, reachable={})
        self.assertEqual(decision[0], ownership.Decision.KEEP)

    def test_resigns_to_an_owner_with_more_workers(self):
        stronger = _change(OWNER, workers_reached=21, epoch=3)
        decision = _decide(own=OWNER, reachable={"a": stronger})
        self.assertEqual(decision, (ownership.Decision.RESIGN, "a"))

    def test_claims_a_higher_epoch_than_a_weaker_owner(self):
        weaker = _change(OWNER, workers_reached=3, epoch=9)
        decision = _decide(own=OWNER, reachable={"a": weaker})
        self.assertEqual(decision[0], ownership.Decision.CLAIM)

    def test_new_owner_of_a_lower_epoch_resigns(self):
        own = _change(OWNER, epoch=5, is_settled=False, workers_reached=30)
        decision = _decide(own=own, reachable={"a": OWNER})
        self.assertEqual(decision, (ownership.Decision.RESIGN, "a"))

    def test_exactly_one_of_two_settled_owners_resigns(self):
        self._check_exactly_one_resigns(is_settled=True)

    def test_exactly_one_of_two_owners_resigns_if_one_is_new(self):
        self._check_exactly_one_resigns(is_settled=False)

    def _check_exactly_one_resigns(self, is_settled: bool) -> None:
        for reached in (3, 20, 30):
            for epoch in (6, 7, 8):
                other = _change(
                    OWNER,
                    workers_reached=reached,
                    epoch=epoch,
                    is_settled=is_settled,
                )
                here = _decide(own=OWNER, reachable={"a": other})[0]
                there = _decide(own_id="a", own=other, reachable={"b": OWNER})[
                    0
                ]
                resigned = [here, there].count(ownership.Decision.RESIGN)
                with self.subTest(reached=reached, epoch=epoch):
                    self.assertEqual(resigned, 1)

    def test_hands_over_when_it_leaves(self):
        leaving = _change(OWNER, is_leaving=True)
        decision = _decide(own=leaving)
        self.assertEqual(decision[0], ownership.Decision.RESIGN)

    def test_stays_if_all_daemons_are_leaving(self):
        leaving = _change(OWNER, is_leaving=True)
        reachable = {"a": _change(PEER, is_leaving=True)}
        decision = _decide(own=leaving, reachable=reachable)
        self.assertEqual(decision[0], ownership.Decision.KEEP)

    def test_hands_over_if_only_others_reach_the_store(self):
        blind = _change(OWNER, reads_store=False)
        self.assertEqual(_decide(own=blind)[0], ownership.Decision.RESIGN)
        none = {"a": _change(PEER, reads_store=False)}
        decision = _decide(own=blind, reachable=none)
        self.assertEqual(decision[0], ownership.Decision.KEEP)

    def test_hands_over_to_a_larger_machine_above_the_low_lag(self):
        larger = {"a": _change(PEER, processor_cores=2.0)}
        late = _change(OWNER, lag_s=ownership.LOW_LAG_S + 0.01)
        cases = (
            (OWNER, ownership.Decision.KEEP),
            (late, ownership.Decision.RESIGN),
        )
        for own, expected in cases:
            with self.subTest(lag_s=own.lag_s):
                decision = _decide(own=own, reachable=larger)
                self.assertEqual(decision[0], expected)

    def test_hands_over_to_a_smaller_machine_above_the_severe_lag(self):
        smaller = {"a": _change(PEER, processor_cores=0.5)}
        cases = (
            (ownership.SLOW_LAG_S, ownership.Decision.KEEP),
            (ownership.SEVERE_LAG_S, ownership.Decision.RESIGN),
        )
        for lag_s, expected in cases:
            with self.subTest(lag_s=lag_s):
                late = _change(OWNER, lag_s=lag_s + 0.01)
                decision = _decide(own=late, reachable=smaller)
                self.assertEqual(decision[0], expected)

    def test_stays_after_too_many_recent_owners(self):
        slow = _change(OWNER, lag_s=ownership.SEVERE_LAG_S + 0.01)
        owners = ownership.MAX_RECENT_OWNERS
        cases = (
            (owners - 1, ownership.Decision.RESIGN),
            (owners, ownership.Decision.KEEP),
        )
        for recent, expected in cases:
            with self.subTest(recent=recent):
                decision = _decide(own=slow, recent_owners=recent)
                self.assertEqual(decision[0], expected)

    def test_hands_over_only_if_the_other_daemon_is_not_slow(self):
        slow = _change(OWNER, lag_s=ownership.SLOW_LAG_S + 0.01)
        self.assertEqual(_decide(own=slow)[0], ownership.Decision.RESIGN)
        busy = {"a": _change(PEER, lag_s=ownership.SLOW_LAG_S)}
        decision = _decide(own=slow, reachable=busy)
        self.assertEqual(decision[0], ownership.Decision.KEEP)
