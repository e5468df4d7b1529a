"""What an owner's engine makes of the jobs that reach it."""

import unittest

from pollenladder.service import engine as engines
from tests.scheduling import worlds

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
        return self.engine.submit(worlds.build_submission("a1"), "g1")

    def test_who_is_not_the_owner_takes_no_job(self):
        self.assertFalse(self._submit())

    def test_a_job_that_was_read_late_is_that_much_older(self):
        self.engine.claim(1, reads_store=True)
        self.lag_s = 0.25
        self.assertTrue(self._submit())
        job = self.engine.region.jobs["a1"]
        self.assertEqual(job.submitted_at, 99.75)
        self.assertEqual(job.gives_up_at, 100.0 + 2.0 - 0.25)
