"""What an owner's engine makes of the jobs that reach it."""

import unittest

from pollenladder.cluster import cadence
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.service import engine as engines
from tests.scheduling import simulations

LEASE_S = 1.0


class EngineTest(unittest.TestCase):
    """An owner that knows of no worker yet."""

    def setUp(self):
        self.lag_s = 0.0
        self.engine = engines.Engine(
            LEASE_S,
            engines.Outlets(
                answer=lambda gateway_id, answer: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: self.lag_s,
            ),
            lambda: 100.0,
        )

    def _submit(self) -> bool:
        return self.engine.submit(simulations.build_submission("a1"), "g1")

    def test_who_is_not_the_owner_takes_no_job(self):
        self.assertFalse(self._submit())

    def test_a_job_that_was_read_late_is_that_much_older(self):
        self.engine.claim(1, reads_store=True, peers=5)
        self.lag_s = 0.25
        self.assertTrue(self._submit())
        job = self.engine.region.jobs["a1"]
        self.assertEqual(job.submitted_at, 99.75)
        self.assertEqual(job.deadline_at, 100.0 + 2.0 - 0.25)


class CutTest(unittest.TestCase):
    """Two owners on the two sides of a cut, which begins at 0."""

    def _find_last_renewal_s(self, peers: int, alarms: int) -> float:
        """Return when the old side stops renewing a run at the latest."""
        silence_s = cadence.choose_silence_s(peers, False, alarms)
        missed_s = silence_s + maintenance.GATEWAY_GRACE_S + engines.TICK_S
        return missed_s + runs.ORPHAN_GRACE_S + engines.TICK_S

    def _find_first_start_s(self, peers: int) -> float:
        """Return when the new side starts the task anew at the earliest."""
        region = tables.Region(
            1, 0.0, LEASE_S, handover_delay_s=engines.bound_notice_s(peers)
        )
        return runs.get_lease_expiry(region, cadence.OWNER_SILENCE_S)

    def test_a_run_has_lapsed_before_the_task_starts_anew(self):
        for peers in (1, 5, 33, 299):
            for alarms in range(cadence.MAX_DOUBLINGS + 1):
                last_s = self._find_last_renewal_s(peers, alarms)
                lapsed_s = last_s + LEASE_S * (1 + runs.MAX_CLOCK_DRIFT)
                with self.subTest(peers=peers, alarms=alarms):
                    self.assertGreater(
                        self._find_first_start_s(peers), lapsed_s
                    )
