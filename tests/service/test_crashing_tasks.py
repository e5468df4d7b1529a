"""Tasks that crash the workers that start them, and their neighbours."""

import signal
import time
import unittest

import gevent

from soak import clusters
from standins import site as sites
from tests import waiting

JOB = "a" * 16
OTHER_JOB = "b" * 16
TIMEOUT_MS = 9_000
# A lease of 1 s, its margins, and the time to detect the loss and to start.
RESTART_S = 1.6
# Down for longer than the test waits.
LONG_DOWN_S = 30.0
SETTLED_S = 1.5
# Time after which a caller submits a job again that was answered with 504.
RESUBMISSION_S = 1.3
SUBMISSIONS = 4


def _start_cluster(test, names: list[str], workers: int) -> clusters.Cluster:
    cluster = clusters.Cluster(test.addCleanup, names, workers=workers)
    cluster.site.configure(2, TimeoutMs=TIMEOUT_MS)
    cluster.wait_until_ready()
    return cluster


def _count_runs(cluster: clusters.Cluster) -> int:
    return sum(len(found.history) for found in cluster.site.workers.values())


def _submit_repeatedly(
    cluster: clusters.Cluster, daemon: str, job_id: str, body: bytes
) -> list[int]:
    """Submit a job again after each answer; return the statuses."""
    statuses = []
    for _ in range(SUBMISSIONS):
        reply = cluster.submit(daemon, job_id, body, TIMEOUT_MS / 1000)
        statuses.append(reply.status)
        gevent.sleep(RESUBMISSION_S)
    return statuses


def _wait_for_lasting_owner(cluster: clusters.Cluster) -> str:
    """Return the owner once it has stayed the same for `SETTLED_S`.

    Both daemons may claim the workers one after the other at their start.
    """
    owner = ""
    while owner != cluster.wait_for_owner():
        owner = cluster.wait_for_owner()
        gevent.sleep(SETTLED_S)
    return owner


def _is_requeued(cluster: clusters.Cluster, owner: str) -> bool:
    return any(
        line["event"] == "task_requeued" for line in cluster.read_log(owner)
    )


class CrashedWorkerTest(unittest.TestCase):
    """A worker crashes under tasks that are not the cause."""

    def test_task_on_a_crashed_worker_starts_again_after_its_lease(self):
        """Guards against polls that renew the lease of a worker that is gone.

        The task would wait until its caller leaves.
        """
        cluster = _start_cluster(self, ["d1"], workers=2)
        cluster.site.crash_down_s = LONG_DOWN_S
        body = sites.build_job(tasks=1, run_ms=500)
        pending = gevent.spawn(cluster.submit, "d1", JOB, body)
        waiting.wait_until(lambda: _count_runs(cluster) == 1)
        (used,) = [w for w, f in cluster.site.workers.items() if f.history]
        cluster.site.crash_worker(used)
        crashed_at = time.monotonic()
        self.assertEqual(pending.get().state, "completed")
        (other,) = cluster.site.workers.keys() - {used}
        (again,) = cluster.site.workers[other].history
        self.assertLess(again.began_s - crashed_at, RESTART_S)
        self.assertEqual(cluster.site.find_overlaps(), [])


class CrashingTaskTest(unittest.TestCase):
    """A task crashes each worker that starts it."""

    def test_task_crashes_two_workers_at_most(self):
        """Guards against a task that is started on worker after worker.

        Its caller comes again after each 504, also when the workers have returned.
        """
        cluster = _start_cluster(self, ["d1"], workers=6)
        body = sites.build_job(crashing_task=0)
        statuses = _submit_repeatedly(cluster, "d1", JOB, body)
        self.assertEqual(statuses, SUBMISSIONS * [504])
        self.assertEqual(len(cluster.site.crashes), 2)

    def test_neighbour_of_a_crashing_task_completes(self):
        """Guards against a crash for which an innocent task is given up."""
        cluster = _start_cluster(self, ["d1"], workers=2)
        cluster.site.crash_down_s = 0.3
        body = sites.build_job(tasks=2, run_ms=400, cpu=20_000)
        innocent = gevent.spawn(
            cluster.submit, "d1", OTHER_JOB, body, TIMEOUT_MS / 1000
        )
        waiting.wait_until(lambda: _count_runs(cluster) == 2)
        body = sites.build_job(tasks=1, cpu=20_000, crashing_task=0)
        statuses = _submit_repeatedly(cluster, "d1", JOB, body)
        self.assertEqual(statuses, SUBMISSIONS * [504])
        self.assertEqual(innocent.get().state, "completed")
        self.assertEqual(len(cluster.site.crashes), 2)

    def test_next_owner_knows_of_the_first_crash(self):
        """Guards against a count of crashes that is lost with the owner."""
        cluster = _start_cluster(self, ["d1", "d2"], workers=1)
        cluster.site.crash_down_s = 3.0
        owner = _wait_for_lasting_owner(cluster)
        (gateway,) = cluster.daemons.keys() - {owner}
        body = sites.build_job(tasks=1, crashing_task=0)
        pending = gevent.spawn(
            cluster.submit, gateway, JOB, body, TIMEOUT_MS / 1000
        )
        waiting.wait_until(
            lambda: pending.ready() or _is_requeued(cluster, owner)
        )
        self.assertFalse(pending.ready(), pending.value)
        cluster.signal(owner, signal.SIGKILL)
        self.assertEqual(pending.get().status, 504)
        again = cluster.submit(gateway, JOB, body, TIMEOUT_MS / 1000)
        self.assertEqual(again.status, 504)
        self.assertEqual(len(cluster.site.crashes), 2)
