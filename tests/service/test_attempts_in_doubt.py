"""Whole daemons tell what each of them knew of a job whose owner was frozen."""

import signal
import unittest

import gevent

from soak import clusters
from standins import site as sites

JOB_ID = "7" * 16
WAIT_S = 10.0


class FrozenOwnerTest(unittest.TestCase):
    """Guards against an overlap that no daemon's log can explain."""

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup, ["d1", "d2", "d3"], workers=4
        )
        self.cluster.wait_until_ready()
        self.owner = self.cluster.wait_for_owner()
        self.gateway = min(set(self.cluster.daemons) - {self.owner})

    def _list_told(self, name: str, event: str) -> list[dict]:
        """Return what a daemon has told of the job, the latest last."""
        return [
            line
            for line in self.cluster.read_log(name)
            if line["event"] == event and line["job"] == JOB_ID
        ]

    def _wait_for(self, name: str, event: str, doubt: str) -> dict:
        """Wait until a daemon has told a doubt about the job."""
        error = AssertionError(f"{name} has not told {doubt}")
        with gevent.Timeout(WAIT_S, error):
            while True:
                for line in self._list_told(name, event):
                    if doubt in line["doubts"]:
                        return line
                gevent.sleep(0.05)

    def test_both_owners_and_the_gateway_tell_the_attempt(self):
        body = sites.build_job(run_ms=4000)
        pending = gevent.spawn(
            self.cluster.submit, self.gateway, JOB_ID, body, 9.0
        )
        gevent.sleep(0.5)
        self.cluster.signal(self.owner, signal.SIGSTOP)
        told = self._wait_for(self.gateway, "attempt_at_gateway", "moved")
        owners = [owner for owner, _, _ in told["forwards"]]
        self.assertEqual(owners[0], self.owner)
        self.assertEqual(told["callers_left"], False)
        at_next = self._wait_for(
            owners[-1], "attempt_at_owner", "forwarded_again"
        )
        self.assertEqual(at_next["attempt"], told["attempt"])
        self.cluster.signal(self.owner, signal.SIGCONT)
        at_first = self._wait_for(self.owner, "attempt_at_owner", "resigned")
        self.assertEqual(at_first["origin"], "new")
        self.assertGreaterEqual(at_first["starts"], 1)
        pending.join()
        self.assertEqual(self.cluster.site.find_overlaps(), [])
