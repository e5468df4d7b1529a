"""Whole daemons whose callers send a job again while its gateway is silent."""

import contextlib
import signal
import unittest

import gevent

from pollenladder.cluster import heartbeats
from pollenladder.scheduling import sharing
from soak import clusters
from standins import site as sites

DATA_CENTRES = ("norte", "sur")
GROUPS = ("norte/0", "sur/0")
WORKERS = 8
# So small that one owner could carry two of the eight workers.
CPU_SHARE = 0.015
# Jobs of two tasks that fill the workers of one data centre.
FULL = 4
TIMEOUT_MS = 8_000
FILLER_MS = 6_000
RUN_MS = 4_000
# As in the settings that `standins.site` writes.
RESUBMISSION_S = 1.3
WAIT_S = 2.0
MAX_STARTS = 4


class SentAgainTest(unittest.TestCase):
    """Guards against two runs of a task whose job is sent to another group."""

    def setUp(self):
        self._next = 0
        for _ in range(MAX_STARTS):
            with contextlib.ExitStack() as stack:
                self._start_cluster(stack)
                if self._are_owners_local():
                    self.addCleanup(stack.pop_all().close)
                    return
        self.fail("the replay can't begin")

    def _start_cluster(self, stack: contextlib.ExitStack) -> None:
        self.cluster = clusters.Cluster(
            stack.callback,
            [f"d{number}" for number in range(1, 8)],
            workers=WORKERS,
            data_centres=DATA_CENTRES,
            cpu_share=CPU_SHARE,
        )
        self.cluster.site.configure(2, TimeoutMs=TIMEOUT_MS)
        self.cluster.wait_until_ready()
        self._wait_for_workers()

    def _are_owners_local(self) -> bool:
        """Return whether each group is owned in its data centre.

        On a busy machine, a daemon may claim both before its peers have started.
        """
        daemons = self.cluster.daemons
        owners = {group: self._find_owner(group) for group in GROUPS}
        return all(
            group == f"{daemons[owner].data_centre}/0"
            for group, owner in owners.items()
        )

    def tearDown(self):
        self.assertEqual(self.cluster.site.find_overlaps(), [])

    def _wait_for_workers(self) -> None:
        """Wait until the owners have polled all workers and told their load."""
        with gevent.Timeout(10.0, AssertionError("workers not reached")):
            while self._count_reached() < WORKERS:
                gevent.sleep(0.05)
        gevent.sleep(2 * heartbeats.DISTANT_OWNER_INTERVAL_S)

    def _count_reached(self) -> int:
        return sum(
            line["event"] == "worker_reached"
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
        )

    def _find_owner(self, group: str) -> str:
        """Return the last daemon that claimed a group."""
        claims = [
            (line["time"], name)
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == "ownership_claimed" and line["group"] == group
        ]
        return max(claims)[1]

    def _make_job_id(self, group: str) -> str:
        """Return the id of a new job that first goes to a group."""
        while True:
            self._next += 1
            job_id = f"{self._next:016x}"
            if sharing.choose_first_group(job_id, GROUPS) == group:
                return job_id

    def _submit(self, name: str, job_id: str, run_ms: int) -> gevent.Greenlet:
        body = sites.build_job(run_ms=run_ms)
        return gevent.spawn(self.cluster.submit, name, job_id, body)

    def _count_runs(self) -> int:
        workers = self.cluster.site.workers.values()
        return sum(len(worker.history) for worker in workers)

    def _list_runs(self, job_id: str) -> list:
        return [
            run
            for worker in self.cluster.site.workers.values()
            for run in worker.history
            if run.task.startswith(job_id)
        ]

    def _list_others(self, owner: str) -> list[str]:
        """Return the daemons of an owner's data centre but the owner."""
        daemons = self.cluster.daemons
        return [
            name
            for name in daemons
            if daemons[name].data_centre == daemons[owner].data_centre
            and name != owner
        ]

    def test_runs_in_another_group_end_before_the_job_is_sent_again(self):
        # The first group refuses the job, and its next owner does not know
        # that. The owner of the second group hears no more of the gateway.
        owner = self._find_owner("norte/0")
        gateway, other, _ = self._list_others(owner)
        for _ in range(FULL):
            self._submit(owner, self._make_job_id("norte/0"), FILLER_MS)
        with gevent.Timeout(WAIT_S, AssertionError("the group is not full")):
            while self._count_runs() < 2 * FULL:
                gevent.sleep(0.02)
        job_id = self._make_job_id("norte/0")
        self._submit(gateway, job_id, RUN_MS)
        with gevent.Timeout(WAIT_S, AssertionError("the tasks do not start")):
            while len(self._list_runs(job_id)) < 2:
                gevent.sleep(0.02)
        self.cluster.signal(gateway, signal.SIGSTOP)
        self.cluster.signal(owner, signal.SIGKILL)
        gevent.sleep(0.1 + RESUBMISSION_S)
        reply = self._submit(other, job_id, RUN_MS).get()
        self.assertEqual(reply.state, "completed")
        self.assertEqual(len(self._list_runs(job_id)), 4)
