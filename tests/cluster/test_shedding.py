"""The share of jobs that is refused while the owner is overloaded."""

import unittest

from pollenladder.cluster import shedding

STEP_S = 0.1
# Steps until gateways apply a new share.
DELAY_STEPS = 2


def _simulate(load: float, seconds: float, share: float = 0.0) -> list:
    """Simulate an owner under load; return the share and lag of each step.

    Args:
        load: The arriving work, as a multiple of the owner's capacity.
        seconds: The simulated time.
        share: The share that is refused at first.
    """
    late_s = 0.0
    in_force = [share] * DELAY_STEPS
    simulated = []
    for _ in range(round(seconds / STEP_S)):
        share = shedding.adjust_share(share, late_s)
        in_force.append(share)
        accepted = load * (1 - in_force.pop(0))
        late_s = max(0.0, late_s + (accepted - 1) * STEP_S)
        simulated.append((share, late_s))
    return simulated


class ShareTest(unittest.TestCase):
    """The refused share follows the owner's capacity."""

    def test_owner_below_capacity_refuses_nothing(self):
        simulated = _simulate(load=0.9, seconds=20.0)
        self.assertEqual({share for share, _ in simulated}, {0.0})

    def test_share_settles_at_the_excess_load(self):
        for load in (1.3, 2.0, 4.0):
            with self.subTest(load=load):
                settled = _simulate(load, seconds=60.0)[300:]
                mean = sum(share for share, _ in settled) / len(settled)
                self.assertAlmostEqual(mean, 1 - 1 / load, delta=0.1)

    def test_lag_stays_below_the_wait_of_callers(self):
        settled = _simulate(load=2.0, seconds=60.0)[300:]
        mean_s = sum(late_s for _, late_s in settled) / len(settled)
        self.assertLess(mean_s, 0.3)

    def test_share_drops_to_zero_after_an_overload(self):
        simulated = _simulate(load=0.5, seconds=10.0, share=0.6)
        self.assertEqual(simulated[-1][0], 0.0)

    def test_some_jobs_are_always_admitted(self):
        simulated = _simulate(load=1000.0, seconds=20.0)
        self.assertLessEqual(max(s for s, _ in simulated), shedding.MAX_SHARE)


class JobTest(unittest.TestCase):
    """The choice of the jobs that are refused."""

    def test_fraction_of_refused_jobs_matches_the_share(self):
        names = [f"{number:016x}" for number in range(4000)]
        for share in (0.0, 0.1, 0.5, 0.95):
            with self.subTest(share=share):
                shed = sum(shedding.is_shed(name, share) for name in names)
                self.assertAlmostEqual(shed / len(names), share, delta=0.03)

    def test_job_refused_at_one_share_is_refused_at_a_larger_one(self):
        for number in range(200):
            name = f"{number:016x}"
            if shedding.is_shed(name, 0.3):
                self.assertTrue(shedding.is_shed(name, 0.5))
