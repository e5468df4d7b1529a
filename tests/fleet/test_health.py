"""Tests of worker health."""

import unittest

from pollenladder.fleet import entities
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs


def _build_worker() -> entities.Worker:
    listing = entities.Listing(
        "w", ("10.0.0.1", 80), "norte", "s", jobs.Resources(64_000), False
    )
    return entities.Worker(listing)


class HealthTest(unittest.TestCase):
    """Quarantine grows with consecutive failures, and workers can recover."""

    def setUp(self):
        self.worker = _build_worker()
        self.health = self.worker.health

    def test_a_healthy_worker_accepts_runs(self):
        self.assertTrue(health.can_accept_run(self.worker, 0.0))

    def test_a_failure_quarantines_then_permits_one_run(self):
        health.record_failure(self.health, "j", 0.0)
        self.assertFalse(health.can_accept_run(self.worker, 0.1))
        after = health.FIRST_QUARANTINE_S + 0.01
        self.assertTrue(health.can_accept_run(self.worker, after))
        run = entities.Run(
            "t", 1, "w", jobs.Resources(), entities.RunState.RUNNING, 0.0, 0.1
        )
        self.worker.add_run(run)
        self.assertFalse(health.can_accept_run(self.worker, after))

    def test_quarantine_grows_up_to_a_maximum(self):
        ends = []
        for _ in range(8):
            health.record_failure(self.health, "j", 0.0)
            ends.append(self.health.quarantined_until)
        self.assertEqual(ends, sorted(ends))
        self.assertEqual(ends[-1], health.MAX_QUARANTINE_S)

    def test_failures_for_hours_keep_the_maximum_quarantine(self):
        for index in range(1_100):
            health.record_failure(self.health, f"j{index}", 0.0)
        self.assertEqual(self.health.quarantined_until, health.MAX_QUARANTINE_S)

    def test_a_success_ends_probation(self):
        health.record_failure(self.health, "j", 0.0)
        health.record_success(self.health, 1.0, 1.0)
        self.assertEqual(self.health.failures, 0)
        self.assertFalse(self.health.on_probation)

    def test_failures_of_a_faulty_job_do_not_count_against_workers(self):
        workers = [_build_worker() for _ in range(3)]
        for worker in workers[:2]:
            health.record_failure(worker.health, "poison", 1.0)
        self.assertEqual(
            health.count_workers_failing_job(workers, "poison", 1.1), 2
        )
        for worker in workers:
            health.discount_job_failure(worker.health, "poison")
        self.assertTrue(all(health.can_accept_run(w, 1.1) for w in workers))

    def test_a_slow_worker_is_quarantined_and_recovers(self):
        for _ in range(10):
            health.record_success(self.health, 6.0, 0.0)
        self.assertFalse(health.can_accept_run(self.worker, 0.1))
        for _ in range(10):
            health.record_success(self.health, 1.0, 5.0)
        self.assertTrue(health.can_accept_run(self.worker, 7.0))

    def test_a_stall_quarantines_at_once(self):
        health.record_stall(self.health, 10.0, 0.0)
        self.assertFalse(health.can_accept_run(self.worker, 1.0))
