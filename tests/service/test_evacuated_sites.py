"""Whole daemons whose data centres are taken out of use and returned."""

import math
import signal
import time
import unittest

import gevent

from soak import clusters
from standins import site as sites

WORKERS = 6
DATA_CENTRES = ("norte", "sur")
# So small that each data centre gets a group of its own.
SMALL_CPU_SHARE = 0.015
# An owner of this size has all workers in one group.
LARGE_CPU_SHARE = 0.5
# Time for the request to reach all daemons, and for a start in flight.
NOTICE_S = 1.5
# `Bounds.EvacuateMs` of the stand-in's settings.
DEADLINE_S = 5.0


class _SitesTest(unittest.TestCase):
    """A cluster with daemons and workers in two data centres."""

    cpu_share: float

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup,
            ["d1", "d2", "d3", "d4"],
            workers=WORKERS,
            data_centres=DATA_CENTRES,
            cpu_share=self.cpu_share,
        )
        self.store = self.cluster.site.store
        self._next = 0
        self.cluster.wait_until_ready()
        self._wait_until(
            lambda: self._count_events("worker_reached") >= WORKERS
        )
        gevent.sleep(0.5)

    def tearDown(self):
        self.assertEqual(self.cluster.site.find_overlaps(), [])
        for name in self.cluster.daemons:
            levels = [line["level"] for line in self.cluster.read_log(name)]
            self.assertNotIn("ERROR", levels, name)

    def _wait_until(self, condition, timeout_s: float = 10.0) -> None:
        with gevent.Timeout(timeout_s, AssertionError("not in time")):
            while not condition():
                gevent.sleep(0.05)

    def _count_events(self, event: str, names: tuple[str, ...] = ()) -> int:
        return sum(
            line["event"] == event
            for name in names or self.cluster.daemons
            for line in self.cluster.read_log(name)
        )

    def _evacuate(self, data_centre: str) -> float:
        """Request an evacuation; return when all daemons should know it."""
        self.store.put("op", f"evacuate/{data_centre}", b"{}")
        return time.monotonic() + NOTICE_S

    def _return(self, data_centre: str) -> None:
        self.store.remove_row("op", f"evacuate/{data_centre}")
        gevent.sleep(NOTICE_S)

    def _submit(self, names: list[str], **changes: int) -> list:
        pending = []
        for name in names:
            self._next += 1
            job_id = f"{self._next:016x}"
            body = sites.build_job(**changes)
            pending.append(
                gevent.spawn(self.cluster.submit, name, job_id, body)
            )
        gevent.joinall(pending)
        return [greenlet.value for greenlet in pending]

    def _submit_to_all(self) -> set[int]:
        """Submit jobs to all daemons; return the statuses."""
        names = list(self.cluster.daemons)
        return {reply.status for reply in self._submit(names, run_ms=40)}

    def _submit_until_served(self) -> None:
        """Submit jobs to all daemons until all of a round complete.

        On a busy machine, ownership may change, which refuses some jobs.
        """
        self._wait_until(lambda: self._submit_to_all() == {200})

    def _is_round_refused(self) -> bool:
        """Return whether all daemons refuse at once, for lack of workers."""
        before = len(self._list_answers())
        began_at = time.monotonic()
        if self._submit_to_all() != {429}:
            return False
        took_s = time.monotonic() - began_at
        answers = self._list_answers()[before:]
        # The wait that the first group has told passes while the second one is asked.
        # Callers get whole seconds.
        reasons = {
            (a["reason"], math.ceil(a["retry_after_s"])) for a in answers
        }
        return took_s < 0.5 and reasons == {("no_workers", 5)}

    def _list_answers(self) -> list[dict]:
        answers = [
            line
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == "job_answered"
        ]
        return sorted(answers, key=lambda line: line["time"])

    def _list_used(self, since: float) -> set[str]:
        """Return the data centres in which runs began since a time."""
        return {
            DATA_CENTRES[int(worker_id[1:]) % 2]
            for worker_id, worker in self.cluster.site.workers.items()
            if any(run.began_s >= since for run in worker.history)
        }

    def _check_evacuation_and_return(self) -> None:
        known_at = self._evacuate("norte")
        while time.monotonic() < known_at + 1.0:
            self._submit_to_all()
        self._submit_until_served()
        self.assertEqual(self._list_used(known_at), {"sur"})
        self._return("norte")
        returned_at = time.monotonic()
        self._wait_until(
            lambda: (
                self._submit_to_all() == {200}
                and self._list_used(returned_at) == set(DATA_CENTRES)
            )
        )

    def _check_all_evacuated(self) -> None:
        self._evacuate("norte")
        known_at = self._evacuate("sur")
        gevent.sleep(known_at - time.monotonic())
        self._wait_until(self._is_round_refused)
        self.assertEqual(self._list_used(known_at), set())


class GroupPerDataCentreTest(_SitesTest):
    """Each data centre has a group and an owner of its own."""

    cpu_share = SMALL_CPU_SHARE

    def test_evacuated_data_centre_gets_no_run_until_its_return(self):
        self._check_evacuation_and_return()

    def test_all_data_centres_evacuated(self):
        self._check_all_evacuated()

    def test_queue_of_one_region_uses_only_its_data_centre(self):
        # Jobs whose first group is in the other region must be sent on.
        self.cluster.site.configure(2, AllowedRegions=["costa"])
        gevent.sleep(NOTICE_S)
        since = time.monotonic()
        self._submit_until_served()
        self._submit_to_all()
        self.assertEqual(self._list_used(since), {"sur"})


class RegionGroupTest(_SitesTest):
    """All data centres are one group, of which an evacuation takes a part."""

    cpu_share = LARGE_CPU_SHARE

    def test_evacuated_data_centre_gets_no_run_until_its_return(self):
        self._check_evacuation_and_return()

    def test_all_data_centres_evacuated(self):
        self._check_all_evacuated()

    def test_row_deleted_while_the_history_was_lost(self):
        gevent.sleep(max(0.0, self._evacuate("norte") - time.monotonic()))
        self.store.remove_row("op", "evacuate/norte")
        self.store.discard_history()
        gevent.sleep(NOTICE_S)
        since = time.monotonic()
        self._wait_until(
            lambda: (
                self._submit_to_all() == {200}
                and self._list_used(since) == set(DATA_CENTRES)
            )
        )

    def test_cold_workers_take_a_share_of_their_capacity(self):
        # A quarter of a worker has room for one of these tasks.
        cold_ms = 60_000
        self.cluster.site.configure(2, cold_start_s=cold_ms / 1000)
        for worker_id in self.cluster.site.workers:
            data_centre = DATA_CENTRES[int(worker_id[1:]) % 2]
            self.cluster.site.list_worker(
                worker_id, data_centre, cold_left_ms=cold_ms
            )
        gevent.sleep(NOTICE_S)
        began_at = time.monotonic()
        names = list(self.cluster.daemons) * 2
        self._submit(names, run_ms=200, cpu=15_000)
        self.assertTrue(self._list_used(began_at))
        for worker in self.cluster.site.workers.values():
            runs = sorted(run.began_s for run in worker.history)
            pauses = [b - a for a, b in zip(runs, runs[1:], strict=False)]
            self.assertGreaterEqual(min(pauses, default=1.0), 0.2)

    def test_owner_paused_over_the_request_starts_nothing_there(self):
        claims = [
            (line["time"], name)
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == "ownership_claimed"
        ]
        owner = max(claims)[1]
        pending = gevent.spawn(self._submit, [owner] * 8, run_ms=400)
        gevent.sleep(0.1)
        self.cluster.signal(owner, signal.SIGSTOP)
        acknowledged_at = self._evacuate("norte") - NOTICE_S
        gevent.sleep(DEADLINE_S + 0.2)
        self.cluster.signal(owner, signal.SIGCONT)
        for _ in range(4):
            self._submit_to_all()
        pending.join()
        used = self._list_used(acknowledged_at + DEADLINE_S)
        self.assertNotIn("norte", used)


del _SitesTest
