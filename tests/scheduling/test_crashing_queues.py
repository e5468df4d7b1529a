"""Tests of what is concluded about queues from crashes."""

import unittest

from pollenladder.scheduling import crash_records
from pollenladder.scheduling import effects
from tests.scheduling import simulations

LONG = {"budget_s": 20.0, "stretch": 50.0, "estimate_s": 0.5}
STARTED_AGAIN_MS = simulations.STARTED_MS + 5_000


class QueueEvidenceTest(unittest.TestCase):
    """What is concluded about queues from proved and withdrawn crashes."""

    WORKERS = 24

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=self.WORKERS)
        self.region = self.simulation.region
        for index in range(self.WORKERS):
            self._submit(f"{index:016x}", "quotes", run_s=60.0)

    def _submit(
        self, job_id: str, queue: str, run_s: float = 0.2
    ) -> list[effects.StartRun]:
        options = LONG | {"budget_s": 100.0, "estimate_s": run_s}
        self.simulation.submit(job_id, queue=queue, tasks=1, **options)
        starts = self.simulation.take_starts()
        for order in starts:
            self.simulation.confirm(order)
        return starts

    def _is_found(self) -> bool:
        return self.region.crashes.is_crashing("holds", self.simulation.now)

    def _crash(self, count: int) -> list[str]:
        """Crash a worker under each of several tasks of one queue."""
        crashed = []
        for index in range(count):
            self.simulation.step(0.1)
            (order,) = self._submit(f"{1000 + index:016x}", "holds")
            self.simulation.crash(order.worker_id)
            crashed.append(order.worker_id)
        return crashed

    def test_queue_is_cleared_once_all_its_crashes_are_taken_back(self):
        """Guards against callers that are refused as workers were cut off."""
        crashed = self._crash(7)
        self.assertTrue(self._is_found())
        for worker_id in crashed:
            self.simulation.poll(worker_id)
        self.assertFalse(self._is_found())
        self.assertEqual(self.region.crashes.down, {})

    def test_one_withdrawal_leaves_the_evidence_of_other_crashes(self):
        """Guards against a queue that one partition clears of proved crashes."""
        *crashed, cut_off = self._crash(7)
        self.assertTrue(self._is_found())
        for worker_id in crashed:
            self.simulation.replace(worker_id)
        self.simulation.poll(cut_off)
        self.assertTrue(self._is_found())

    def test_crashes_that_are_proved_late_are_evidence_against_the_queue(self):
        """Guards against a queue that is never found as its workers fall silent."""
        for index in range(8):
            for order in self._submit(f"{1000 + index:016x}", "holds"):
                self.simulation.lose(order.worker_id)
                self.simulation.expire_lease()
                for again in self.simulation.take_starts():
                    self.simulation.confirm(again)
                self.simulation.poll(
                    order.worker_id,
                    running=(),
                    started_ms=STARTED_AGAIN_MS + index,
                )
        self.assertTrue(self._is_found())

    def test_withdrawal_leaves_what_another_group_has_found(self):
        """Guards against a group that clears a queue that another group blames."""
        queues = self.region.crashes.queues
        now = self.simulation.now
        for group in ("a", "b"):
            records = crash_records.CrashRecords(group, queues=queues)
            losses = [
                crash_records.WorkerLoss(
                    1,
                    now,
                    [],
                    records.add_evidence(["holds"], {"holds": 0.05}, now),
                )
                for _ in range(6)
            ]
            records.find_crashing(["holds"], now)
        for loss in losses:
            records.withdraw("b0", loss, now)
        self.assertEqual(records.evidence, {})
        self.assertTrue(self._is_found())
