"""Tests of the lease rules of a worker."""

import unittest

from standins import endpoint_leases

# Steps: now, verb, holder, epoch, ttl; then the expected outcome.
CASES = {
    "granted when there is none": [(0, "grant", "a", 1, 5, True)],
    "refused while another's is live": [
        (0, "grant", "a", 1, 5, True),
        (4.9, "grant", "b", 9, 5, False),
    ],
    "granted when another's has lapsed": [
        (0, "grant", "a", 1, 5, True),
        (5, "grant", "b", 2, 5, True),
        (5, "hold", "a", 1, 5, False),
    ],
    "another needs an epoch above all seen": [
        (0, "grant", "a", 7, 5, True),
        (6, "grant", "b", 7, 5, False),
        (6, "grant", "b", 8, 5, True),
    ],
    "a refused request's epoch counts as seen": [
        (0, "grant", "a", 1, 5, True),
        (1, "grant", "b", 9, 5, False),
        (6, "grant", "c", 9, 5, False),
        (6, "grant", "c", 10, 5, True),
    ],
    "the holder renews with an epoch not smaller": [
        (0, "grant", "a", 3, 5, True),
        (1, "grant", "a", 2, 5, False),
        (1, "grant", "a", 3, 5, True),
        (5.5, "hold", "a", 3, 5, True),
    ],
    "a shorter term does not shorten it": [
        (0, "grant", "a", 3, 5, True),
        (1, "grant", "a", 3, 1, True),
        (4.9, "hold", "a", 3, 5, True),
    ],
    "a renewal puts off the lapse": [
        (0, "grant", "a", 3, 5, True),
        (4, "renew", "a", 3, 5, True),
        (8.9, "hold", "a", 3, 5, True),
        (9, "hold", "a", 3, 5, False),
    ],
    "a lapsed lease is not renewed": [
        (0, "grant", "a", 3, 5, True),
        (5, "renew", "a", 3, 5, False),
        (5, "hold", "a", 3, 5, False),
    ],
    "an older or newer epoch holds nothing": [
        (0, "grant", "a", 3, 5, True),
        (1, "hold", "a", 2, 5, False),
        (1, "hold", "a", 4, 5, False),
    ],
    "released, another gets it at once": [
        (0, "grant", "a", 3, 5, True),
        (1, "release", "a", 3, 5, True),
        (1, "release", "a", 3, 5, False),
        (1, "grant", "b", 4, 5, True),
    ],
    "another's lease is not released": [
        (0, "grant", "a", 3, 5, True),
        (1, "release", "b", 3, 5, False),
        (1, "hold", "a", 3, 5, True),
    ],
}


def apply(state, now_s, verb, named):
    if verb == "grant":
        return endpoint_leases.grant(state, named, now_s)
    if verb == "release":
        return endpoint_leases.release(state, named, now_s)
    held = endpoint_leases.is_held(state, named, now_s)
    if verb == "renew":
        state = endpoint_leases.renew(state, named, now_s)
    return state, held


def run_steps(steps):
    """Return the first step whose outcome is not the expected one."""
    state = endpoint_leases.FORGOTTEN
    for step in steps:
        now_s, verb, holder, epoch, ttl_s, expected = step
        named = endpoint_leases.Lease("s", holder, epoch, now_s + ttl_s)
        state, outcome = apply(state, now_s, verb, named)
        if outcome is not expected:
            return step
    return None


class LeaseTest(unittest.TestCase):
    def test_cases(self):
        for name, steps in CASES.items():
            with self.subTest(name):
                self.assertIsNone(run_steps(steps))

    def test_another_shard_holds_nothing(self):
        named = endpoint_leases.Lease("s", "a", 1, 5.0)
        state, _ = endpoint_leases.grant(endpoint_leases.FORGOTTEN, named, 0)
        other = endpoint_leases.Lease("t", "a", 1, 5.0)
        self.assertTrue(endpoint_leases.is_held(state, named, 1))
        self.assertFalse(endpoint_leases.is_held(state, other, 1))

    def test_cases_see_a_rule_without_the_epoch_check(self):
        guard = endpoint_leases.may_grant
        endpoint_leases.may_grant = lambda state, asked, now_s: (
            not endpoint_leases.is_live(state, now_s)
            or state.lease.holder == asked.holder
        )
        self.addCleanup(setattr, endpoint_leases, "may_grant", guard)
        failed = [name for name, steps in CASES.items() if run_steps(steps)]
        self.assertIn("another needs an epoch above all seen", failed)
