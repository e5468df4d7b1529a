"""Cancelled jobs of a real deployment, beyond the daemon that was told."""

import signal
import unittest

from soak import clusters
from standins import site as sites

JOB = "c" * 16
GIVEN_UP = 504


class CancelledJobsTest(unittest.TestCase):
    """Two daemons that are restarted one after the other."""

    def test_cancelled_job_does_not_start_after_a_rolling_restart(self):
        # Guards against a cancellation that ends with the daemons that heard it.
        cluster = clusters.Cluster(self.addCleanup, ["d1", "d2"], workers=2)
        cluster.wait_until_ready()
        cluster.wait_for_owner()
        cluster.cancel("d1", JOB)
        for name in ("d2", "d1"):
            cluster.signal(name, signal.SIGTERM)
            cluster.daemons[name].process.wait()
            cluster.start(name)
            cluster.wait_until_ready(name)
        cluster.wait_for_owner()
        for name in cluster.daemons:
            reply = cluster.submit(name, JOB, sites.build_job(tasks=1))
            self.assertEqual(reply.status, GIVEN_UP)
        history = [w.history for w in cluster.site.workers.values()]
        self.assertEqual(history, [[], []])
