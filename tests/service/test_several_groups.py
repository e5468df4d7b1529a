"""Whole daemons of two data centres, each with a group of workers."""

import signal
import unittest

import gevent

from pollenladder.cluster import heartbeats
from soak import clusters
from standins import site as sites

WORKERS = 8
DATA_CENTRES = ("norte", "sur")
# So small that one owner could carry two of the eight workers.
CPU_SHARE = 0.015
# Jobs of two tasks; the group of one data centre has room for four at a time, and
# time for four more.
FULL = 12


class SeveralGroupsTest(unittest.TestCase):
    """Jobs are answered and no task runs twice with an owner for each group."""

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup,
            ["d1", "d2", "d3", "d4"],
            workers=WORKERS,
            data_centres=DATA_CENTRES,
            cpu_share=CPU_SHARE,
        )
        self.cluster.wait_until_ready()
        self._wait_for_owners(set())
        self._wait_for_workers()
        self._next = 0

    def tearDown(self):
        self.assertEqual(self.cluster.site.find_overlaps(), [])
        for name in self.cluster.daemons:
            levels = [line["level"] for line in self.cluster.read_log(name)]
            self.assertNotIn("ERROR", levels, name)

    def _list_owners(self) -> dict[str, str]:
        """Return the last daemon that claimed each group of a data centre."""
        claims = sorted(
            (line["time"], line["group"], name)
            for name in self.cluster.daemons
            for line in self.cluster.read_log(name)
            if line["event"] == "ownership_claimed"
        )
        return {group: name for _, group, name in claims if "/" in group}

    def _wait_for_owners(self, without: set[str]) -> dict[str, str]:
        """Wait until each group has an owner that is none of some daemons."""
        with gevent.Timeout(10.0, AssertionError("no owners")):
            while True:
                owners = self._list_owners()
                if len(owners) == 2 and not without & set(owners.values()):
                    return owners
                gevent.sleep(0.05)

    def _submit(self, names: list[str], **changes: int) -> list:
        pending = []
        for name in names:
            self._next += 1
            body = sites.build_job(**changes)
            job_id = f"{self._next:016x}"
            pending.append(
                gevent.spawn(self.cluster.submit, name, job_id, body)
            )
        return pending

    def _check_completed(self, pending: list) -> None:
        gevent.joinall(pending)
        states = {greenlet.value.state for greenlet in pending}
        self.assertEqual(states, {"completed"})

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

    def test_each_group_is_owned_in_its_data_centre(self):
        daemons = self.cluster.daemons
        for group, owner in self._list_owners().items():
            self.assertEqual(group, f"{daemons[owner].data_centre}/0")
        self._check_completed(self._submit(list(daemons)))

    def test_job_goes_to_the_other_group_if_its_own_is_full(self):
        # One gateway gets more than its group has room for.
        self._check_completed(self._submit(["d1"] * FULL, run_ms=300))
        used = {
            worker_id
            for worker_id, worker in self.cluster.site.workers.items()
            if worker.history
        }
        parities = {int(worker_id[1:]) % 2 for worker_id in used}
        self.assertEqual(parities, {0, 1})

    def test_killed_owner_is_replaced_in_its_data_centre(self):
        daemons = self.cluster.daemons
        owners = self._list_owners()
        killed = owners["norte/0"]
        other = next(
            name
            for name in daemons
            if name != killed and daemons[name].data_centre == "norte"
        )
        pending = self._submit([other, owners["sur/0"]], run_ms=600)
        gevent.sleep(0.2)
        self.cluster.signal(killed, signal.SIGKILL)
        self._check_completed(pending)
        after = self._wait_for_owners({killed})
        self.assertEqual(after, {"norte/0": other, "sur/0": owners["sur/0"]})
