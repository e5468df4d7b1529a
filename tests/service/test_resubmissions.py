"""Whole daemons whose callers submit jobs again or cancel them elsewhere."""

import signal
import time
import unittest

import gevent

from soak import clusters
from standins import site as sites

JOB_ID = "5" * 16


class FrozenGatewayTest(unittest.TestCase):
    """The gateway of a job is frozen, and its caller uses another one."""

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup, ["d1", "d2", "d3"], workers=4
        )
        self.cluster.wait_until_ready()
        self.site = self.cluster.site
        owner = self.cluster.wait_for_owner()
        self.frozen, self.other = (
            name for name in self.cluster.daemons if name != owner
        )

    def _submit_to_frozen(self, body: bytes, leave_after_s: float) -> None:
        """Submit a job, freeze its gateway, and wait until the caller leaves."""
        first = gevent.spawn(
            self.cluster.submit, self.frozen, JOB_ID, body, leave_after_s
        )
        gevent.sleep(0.3)
        self.cluster.signal(self.frozen, signal.SIGSTOP)
        first.join()

    def _list_runs(self) -> list:
        return [
            run
            for worker in self.site.workers.values()
            for run in worker.history
            if run.task.startswith(JOB_ID)
        ]

    def test_gateway_that_wakes_does_not_end_the_next_attempt(self):
        # Guards against a gateway that becomes the job's only one, and cancels it.
        body = sites.build_job(run_ms=2000)
        self._submit_to_frozen(body, leave_after_s=0.6)
        second = gevent.spawn(self.cluster.submit, self.other, JOB_ID, body)
        gevent.sleep(0.6)
        self.cluster.signal(self.frozen, signal.SIGCONT)
        second.join()
        self.assertEqual(second.value.state, "completed")
        self.assertEqual(self.site.find_overlaps(), [])

    def test_job_that_was_cancelled_meanwhile_does_not_start_again(self):
        # Before, the owner had forgotten the job, kept no note of the cancellation,
        # and started the job anew once the gateway woke and forwarded it.
        self.site.configure(2, TimeoutMs=15_000)
        gevent.sleep(1.5)
        body = sites.build_job(tasks=48, run_ms=600)
        first = gevent.spawn(
            self.cluster.submit, self.frozen, JOB_ID, body, 14.0
        )
        gevent.sleep(0.3)
        self.cluster.signal(self.frozen, signal.SIGSTOP)
        gevent.sleep(1.5)
        self.assertIn(
            self.cluster.cancel(self.other, JOB_ID).status, (200, 410)
        )
        cancelled_at = time.monotonic()
        gevent.sleep(0.7)
        self.cluster.signal(self.frozen, signal.SIGCONT)
        first.join()
        self.assertEqual(first.value.status, 504)
        runs = self._list_runs()
        self.assertNotEqual(runs, [])
        late = [run for run in runs if run.began_s > cancelled_at]
        self.assertEqual(late, [])
