"""Tests of how long a job without an owner waits for one."""

import unittest

from pollenladder.jobs import estimates
from pollenladder.scheduling import owner_waits
from tests.scheduling import simulations


class WaitLimitTest(unittest.TestCase):
    """A job of 200 ms, of which the objective is 380 ms.

    Guards against refusals while another daemon claims the workers, and against
    callers who wait for an owner that does not come.
    """

    def _compute(self, ownerless_s: float, **changes: object) -> float:
        submission = simulations.build_submission("a1", **changes)
        return owner_waits.compute_wait_limit_s(submission, ownerless_s)

    def test_while_a_claim_is_due_a_job_waits_while_a_late_result_counts(self):
        # Three objectives, less one and a half run times.
        self.assertAlmostEqual(self._compute(0.2), 3 * 0.38 - 0.3)

    def test_a_job_does_not_wait_beyond_its_deadline(self):
        self.assertAlmostEqual(self._compute(0.2, budget_s=0.8), 0.5)

    def test_once_a_claim_is_overdue_a_job_is_refused_soon(self):
        self.assertAlmostEqual(self._compute(3.0), 0.38 / 4)

    def test_a_job_that_cannot_be_late_waits_as_if_the_claim_were_overdue(self):
        self.assertAlmostEqual(self._compute(0.2, budget_s=0.35), 0.38 / 4)

    def test_a_job_without_a_declared_run_time_waits_like_a_usual_one(self):
        # Guards against a refusal as if its objective were next to nothing.
        allowed_s = 1.6 * estimates.UNDECLARED_RUN_S + 0.06
        self.assertAlmostEqual(
            self._compute(3.0, estimate_s=0.0), allowed_s / 4
        )
