"""Replays a task that ran twice as a partition healed.

The times are those of the trace, in seconds. A data centre is partitioned from
33.5 to 38.866. Its workers, except for 7, do not list themselves again before
39.366. The owner inside resigns and names a daemon that was restarted during
the partition. Tasks 1 and 2 of a job still run on workers that are not listed.
"""

import unittest
from unittest import mock

from pollenladder.fleet import worker_lists
from pollenladder.fleet import worker_tables
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs
from tests.scheduling import simulations

RESTARTED_AT = 36.0
CLAIMED_AT = 39.065
FORWARDED_AT = 39.3
ADOPTED_AT = 39.366
LISTED_AT = {"w0": 39.366, "w1": 39.768, "w2": 40.672}
ENDED_AT = {"a1.0.0.1": 39.729, "a1.0.0.2": 39.470}
LISTED_FIRST = [f"v{i}" for i in range(7)]
STEP_S = 0.02
# As `handover_delays.bound_handover_delay_s` gives for the longest lease of attempts,
# rounded down.
HANDOVER_DELAY_S = 1.3
REPORT_INTERVAL_S = 1.5


class PartitionTest(unittest.TestCase):
    """The successor's process, with its reads of the store."""

    def setUp(self):
        self.history = worker_lists.ListHistory()
        self.table = worker_tables.WorkerTable(self.history, REPORT_INTERVAL_S)
        self.version = 1_000
        self._read(RESTARTED_AT, LISTED_FIRST, is_full=True)
        self.simulation = simulations.RegionSimulation(workers=0)
        self.simulation.now = CLAIMED_AT
        self.simulation.region = tables.Region(
            2,
            CLAIMED_AT,
            simulations.LEASE_S,
            handover_delay_s=HANDOVER_DELAY_S,
            list_history=self.history,
        )

    def _read(
        self, now: float, worker_ids: list[str], is_full: bool = False
    ) -> None:
        self.version += 1
        self.history.record_store_state(True, now)
        self.history.record_read(self.version, now, is_full)
        listed = {w: simulations.build_listing(w) for w in worker_ids}
        found = worker_tables.RowChanges(listed)
        self.table.update(found, is_full, now)

    def _list(self, is_full: bool = False) -> None:
        """Read the store as the owner, and poll the workers found."""
        simulation = self.simulation
        now = simulation.now
        found = [w for w, at in LISTED_AT.items() if at <= now]
        # The changes since the last read, and at a claim also the whole table.
        self._read(now, LISTED_FIRST + found)
        if is_full:
            self._read(now, LISTED_FIRST + found, is_full)
        maintenance.update_workers(
            simulation.region, self.table.list_workers(), now, is_full
        )
        for worker_id in simulation.region.workers:
            running = ()
            if worker_id == "w0":
                running = (("a1.0.0.0", 1, 50.0), ("a1.0.0.4", 1, 50.0))
            simulation.poll(worker_id, running=running)

    def _replay(self) -> dict[str, float]:
        """Return when the successor starts tasks, by task name."""
        simulation = self.simulation
        simulation.now += 0.01
        self._list(is_full=True)
        simulation.now = FORWARDED_AT
        # The list is read, and all listed workers are polled.
        self._list()
        simulation.submit(
            "a1", tasks=5, may_have_begun=True, first_run=33, budget_s=9.0
        )
        started: dict[str, float] = {}
        while simulation.now < FORWARDED_AT + 5.0:
            for order in simulation.take_starts():
                started[order.task] = simulation.now
            simulation.now += STEP_S
            self._list()
            simulation.step()
        return started

    def _inherit(self, expired_ago_s: float) -> None:
        """Hear of a peer that followed the table during the partition."""
        report = worker_lists.ListReport(
            self.version, 60_000, int(expired_ago_s * 1000)
        )
        self.history.inherit(report, CLAIMED_AT)

    def _check_none_twice(self, started: dict[str, float]) -> None:
        for task, ended_at in ENDED_AT.items():
            self.assertGreater(started[task], ended_at)
        expiry_s = unknown_runs.get_lease_expiry(
            self.simulation.region, FORWARDED_AT
        )
        self.assertGreaterEqual(min(started.values()), expiry_s)

    def test_tasks_wait_for_their_leases_without_a_peer(self):
        self._check_none_twice(self._replay())

    def test_tasks_wait_for_their_leases_if_a_peer_saw_rows_expire(self):
        self._inherit(expired_ago_s=3.0)
        self._check_none_twice(self._replay())

    def test_tasks_start_twice_if_unlisted_workers_are_ignored(self):
        # The replay finds the fault if the rules on the list are left out.
        with mock.patch.object(
            worker_lists.ListHistory, "find_doubt", return_value=""
        ):
            started = self._replay()
        for task, ended_at in ENDED_AT.items():
            self.assertLess(started[task], ended_at)

    def test_nothing_waits_if_a_peer_saw_no_row_expire(self):
        self._inherit(expired_ago_s=60.0)
        started = self._replay()
        self.assertLess(max(started.values()), FORWARDED_AT + 2 * STEP_S)


class HealedPartitionTest(unittest.TestCase):
    """Replays a hunted day on which a task ran twice as a partition healed.

    A data centre was partitioned from 33.5 to 38.6 while daemons were restarted
    one after another. Its owner started a task at 38.168 on a worker of that
    data centre, whose lease expired at 39.176 without being renewed, so that
    the next owner did not poll the worker. That owner started the task on a
    worker of another data centre at 38.879. There are two ways in which its
    list can lack the first worker.
    """

    PARTITIONED_AT = 33.5
    HEALED_AT = 38.6
    CLAIMED_AT = 38.62
    SECOND_START_AT = 38.879

    def setUp(self):
        self.history = worker_lists.ListHistory()
        self.table = worker_tables.WorkerTable(self.history, REPORT_INTERVAL_S)

    def _read(self, now: float, removed: tuple = ()) -> None:
        self.history.record_store_state(True, now)
        listed = {"far": simulations.build_listing("far")}
        for is_full in (False, True):
            self.history.record_read(1_000, now, is_full)
            missing = dict.fromkeys(removed, True)
            found = worker_tables.RowChanges(listed, missing)
            self.table.update(found, is_full, now)

    def _follow_until(self, end: float) -> None:
        for second in range(60, 0, -1):
            self._read(end - second + 0.5)

    def _count_starts(self) -> int:
        """Return the number of tasks started by `SECOND_START_AT`."""
        simulation = simulations.RegionSimulation(workers=0)
        simulation.now = self.CLAIMED_AT
        simulation.region = tables.Region(
            2,
            self.CLAIMED_AT,
            simulations.LEASE_S,
            handover_delay_s=HANDOVER_DELAY_S,
            list_history=self.history,
        )
        maintenance.update_workers(
            simulation.region,
            self.table.list_workers(),
            self.CLAIMED_AT,
            is_full_list=True,
        )
        simulation.poll("far")
        simulation.submit("a1", tasks=1, may_have_begun=True, first_run=33)
        simulation.step(self.SECOND_START_AT - self.CLAIMED_AT)
        return len(simulation.take_starts())

    def _check(self) -> None:
        with mock.patch.object(
            worker_lists.ListHistory, "find_doubt", return_value=""
        ):
            self.assertEqual(self._count_starts(), 1)
        self.assertEqual(self._count_starts(), 0)

    def test_successor_was_restarted_during_the_partition(self):
        self._read(self.CLAIMED_AT)
        self._check()

    def test_successor_had_not_read_the_worker_before_the_partition(self):
        self._follow_until(self.PARTITIONED_AT)
        self.history.record_store_state(False, self.PARTITIONED_AT + 1.0)
        self._read(self.CLAIMED_AT, removed=("near",))
        self._check()

    def test_a_history_that_was_lost_too_hides_the_removed_row(self):
        self._follow_until(self.PARTITIONED_AT)
        self.history.record_store_state(False, self.PARTITIONED_AT + 1.0)
        self.history.record_history_lost(self.HEALED_AT)
        self._read(self.CLAIMED_AT)
        self._check()
