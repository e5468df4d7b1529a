"""An owner short of processor, and the part of its jobs that is refused."""

import unittest

from pollenladder.cluster import shedding

STEP_S = 0.1
# From the loop's lateness to what gateways do about it, in steps.
DELAY_STEPS = 2


def _play(load: float, seconds: float, share: float = 0.0) -> list:
    """Let an owner work off jobs; return share and lateness by step.

    Args:
        load: What comes, as a multiple of what it can do.
        seconds: For how long.
        share: The share that is refused at first.
    """
    late_s = 0.0
    told = [share] * DELAY_STEPS
    played = []
    for _ in range(round(seconds / STEP_S)):
        share = shedding.adjust_share(share, late_s)
        told.append(share)
        taken = load * (1 - told.pop(0))
        late_s = max(0.0, late_s + (taken - 1) * STEP_S)
        played.append((share, late_s))
    return played


class ShareTest(unittest.TestCase):
    """The refused share follows what the owner can do."""

    def test_an_owner_in_time_refuses_nothing(self):
        played = _play(load=0.9, seconds=20.0)
        self.assertEqual({share for share, _ in played}, {0.0})

    def test_what_is_too_much_is_refused(self):
        for load in (1.3, 2.0, 4.0):
            with self.subTest(load=load):
                settled = _play(load, seconds=60.0)[300:]
                mean = sum(share for share, _ in settled) / len(settled)
                self.assertAlmostEqual(mean, 1 - 1 / load, delta=0.1)

    def test_lateness_stays_below_a_callers_patience(self):
        settled = _play(load=2.0, seconds=60.0)[300:]
        mean_s = sum(late_s for _, late_s in settled) / len(settled)
        self.assertLess(mean_s, 0.3)

    def test_all_are_taken_again_soon_after(self):
        played = _play(load=0.5, seconds=10.0, share=0.6)
        self.assertEqual(played[-1][0], 0.0)

    def test_some_jobs_always_come_through(self):
        played = _play(load=1000.0, seconds=20.0)
        self.assertLessEqual(max(s for s, _ in played), shedding.MAX_SHARE)


class JobTest(unittest.TestCase):
    """Which jobs are refused."""

    def test_the_part_of_jobs_is_the_share(self):
        names = [f"{number:016x}" for number in range(4000)]
        for share in (0.0, 0.1, 0.5, 0.95):
            with self.subTest(share=share):
                shed = sum(shedding.is_shed(name, share) for name in names)
                self.assertAlmostEqual(shed / len(names), share, delta=0.03)

    def test_a_job_refused_at_one_share_is_refused_at_a_larger_one(self):
        for number in range(200):
            name = f"{number:016x}"
            if shedding.is_shed(name, 0.3):
                self.assertTrue(shedding.is_shed(name, 0.5))
