"""Tests that concurrent runs are found and told with what is known of them."""

import datetime
import time
import unittest

from soak import overlaps
from soak import resubmissions
from standins import site as sites
from standins import site_worker

BEGAN_AT = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
LINES = {
    "d1": [
        {
            "time": "2026-01-01T00:00:03.500Z",
            "event": "job_admitted",
            "job": "a1",
            "attempt": 7,
        },
        {
            "time": "2026-01-01T00:00:01.000Z",
            "event": "ownership_claimed",
            "group": "norte/0",
            "epoch": 5,
        },
    ],
    "d2": [],
}


class OverlapsTest(unittest.TestCase):
    def setUp(self):
        self.site = sites.Site()
        self.addCleanup(self.site.close)
        for name, data_centre in (("w0", "norte"), ("w1", "sur")):
            self.site.add_worker(name, data_centre)

    def _add_run(self, worker_id: str, began_s: float, ended_s: float) -> None:
        run = site_worker.Run(
            "a1.0.0.0",
            1,
            began_s,
            1.0,
            0,
            ended_s,
            "done",
            worker_id=worker_id,
            fence=5,
        )
        self.site.workers[worker_id].history.append(run)

    def test_runs_one_after_the_other_are_no_overlap(self):
        self._add_run("w0", 1.0, 2.0)
        self._add_run("w1", 2.0, 3.0)
        self.assertEqual(self.site.find_overlaps(), [])

    def test_a_long_run_overlaps_all_that_begin_meanwhile(self):
        # Guards against comparing each run only with the one before.
        self._add_run("w0", 1.0, 4.0)
        self._add_run("w1", 2.0, 2.5)
        self._add_run("w1", 3.0, 5.0)
        found = self.site.find_overlaps()
        self.assertEqual([o.second.began_s for o in found], [2.0, 3.0])

    def test_a_line_tells_the_runs_and_the_requests(self):
        self._add_run("w0", 11.0, 12.0)
        self._add_run("w1", 11.5, 13.0)
        requests = [resubmissions.Request("a1", "d2", 10.5, 10.75, "half_open")]
        (line,) = overlaps.describe(
            self.site.find_overlaps(), self.site, requests, LINES, 10.0
        )
        for part in (
            "on w0 in norte under d1, owner of norte/0 from 1.000 s",
            "on w1 in sur under d1, owner of norte/0 from 1.500 s",
            "to d2 at 0.500 s (half_open at 0.750 s)",
        ):
            self.assertIn(part, line)

    def test_history_of_a_job(self):
        self.assertEqual(
            overlaps.collect_history("a1", LINES, BEGAN_AT),
            ["3.500 s d1 job_admitted attempt=7"],
        )


class LapsedRunTest(unittest.TestCase):
    """A run ends with the lease of its worker, also if nobody calls it."""

    def test_a_run_ends_with_the_lease(self):
        worker = site_worker.SiteWorker("w0")
        now = time.monotonic()
        run = site_worker.Run("a1.0.0.0", 1, now - 9.0, 20.0, 0)
        worker._running[run.task] = run
        worker.history.append(run)
        # The clock of the worker starts at 1000 s.
        worker._clock_origin_s = now - 9.0
        worker._lease_expires_s = 1002.0
        self.assertEqual(worker.list_runs(), [run])
        self.assertEqual(run.how, "lapsed")
        self.assertAlmostEqual(run.ended_s, now - 7.0, places=3)
