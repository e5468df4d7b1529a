"""Tests of the lease rules of a simulated worker."""

import unittest

from standins import endpoint_leases

# Each step is (now_s, verb, holder, epoch, ttl_s, expected outcome).
CASES = {
    "granted if there is no lease": [(0, "grant", "a", 1, 5, True)],
    "refused while another daemon has a live lease": [
        (0, "grant", "a", 1, 5, True),
        (4.9, "grant", "b", 9, 5, False),
    ],
    "granted after the lease of another daemon has expired": [
        (0, "grant", "a", 1, 5, True),
        (5, "grant", "b", 2, 5, True),
        (5, "hold", "a", 1, 5, False),
    ],
    "another daemon needs an epoch above all seen": [
        (0, "grant", "a", 7, 5, True),
        (6, "grant", "b", 7, 5, False),
        (6, "grant", "b", 8, 5, True),
    ],
    "the epoch of a refused request counts as seen": [
        (0, "grant", "a", 1, 5, True),
        (1, "grant", "b", 9, 5, False),
        (6, "grant", "c", 9, 5, False),
        (6, "grant", "c", 10, 5, True),
    ],
    "the holder renews with the same epoch or a higher one": [
        (0, "grant", "a", 3, 5, True),
        (1, "grant", "a", 2, 5, False),
        (1, "grant", "a", 3, 5, True),
        (5.5, "hold", "a", 3, 5, True),
    ],
    "a shorter TTL does not shorten the lease": [
        (0, "grant", "a", 3, 5, True),
        (1, "grant", "a", 3, 1, True),
        (4.9, "hold", "a", 3, 5, True),
    ],
    "a renewal extends the lease": [
        (0, "grant", "a", 3, 5, True),
        (4, "renew", "a", 3, 5, True),
        (8.9, "hold", "a", 3, 5, True),
        (9, "hold", "a", 3, 5, False),
    ],
    "an expired lease is not renewed": [
        (0, "grant", "a", 3, 5, True),
        (5, "renew", "a", 3, 5, False),
        (5, "hold", "a", 3, 5, False),
    ],
    "a lower or higher epoch does not hold the lease": [
        (0, "grant", "a", 3, 5, True),
        (1, "hold", "a", 2, 5, False),
        (1, "hold", "a", 4, 5, False),
    ],
    "another daemon is granted the lease right after its release": [
        (0, "grant", "a", 3, 5, True),
        (1, "release", "a", 3, 5, True),
        (1, "release", "a", 3, 5, False),
        (1, "grant", "b", 4, 5, True),
    ],
    "the lease of another daemon is not released": [
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
    """Return the first step with an unexpected outcome, or None."""
    state = endpoint_leases.NO_LEASE
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

    def test_a_lease_is_held_for_its_own_shard_only(self):
        named = endpoint_leases.Lease("s", "a", 1, 5.0)
        state, _ = endpoint_leases.grant(endpoint_leases.NO_LEASE, named, 0)
        other = endpoint_leases.Lease("t", "a", 1, 5.0)
        self.assertTrue(endpoint_leases.is_held(state, named, 1))
        self.assertFalse(endpoint_leases.is_held(state, other, 1))

    def test_cases_see_a_rule_without_the_epoch_check(self):
        original = endpoint_leases.may_grant
        endpoint_leases.may_grant = lambda state, requested, now_s: (
            not endpoint_leases.is_live(state, now_s)
            or state.lease.holder == requested.holder
        )
        self.addCleanup(setattr, endpoint_leases, "may_grant", original)
        failed = [name for name, steps in CASES.items() if run_steps(steps)]
        self.assertIn("another daemon needs an epoch above all seen", failed)
