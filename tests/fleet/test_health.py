"""What outcomes say about workers."""

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
    """Failing workers get little work, ever more seldom, and come back."""

    def setUp(self):
        self.worker = _build_worker()
        self.own = self.worker.health

    def test_a_sound_worker_takes_work(self):
        self.assertTrue(health.may_take_work(self.worker, 0.0))

    def test_one_failure_pauses_and_then_tries_one_task(self):
        health.record_failure(self.own, "j", 0.0)
        self.assertFalse(health.may_take_work(self.worker, 0.1))
        after = health.FIRST_QUARANTINE_S + 0.01
        self.assertTrue(health.may_take_work(self.worker, after))
        run = entities.Run(
            "t", 1, "w", jobs.Resources(), entities.RunState.RUNNING, 0.0, 0.1
        )
        self.worker.add_run(run)
        self.assertFalse(health.may_take_work(self.worker, after))

    def test_pauses_grow_up_to_a_bound(self):
        ends = []
        for _ in range(8):
            health.record_failure(self.own, "j", 0.0)
            ends.append(self.own.quarantined_until)
        self.assertEqual(ends, sorted(ends))
        self.assertEqual(ends[-1], health.MAX_QUARANTINE_S)

    def test_a_success_ends_it(self):
        health.record_failure(self.own, "j", 0.0)
        health.record_success(self.own, 1.0, 1.0)
        self.assertEqual(self.own.failures, 0)
        self.assertFalse(self.own.on_probation)

    def test_a_job_that_fails_everywhere_is_to_blame(self):
        workers = [_build_worker() for _ in range(3)]
        for worker in workers[:2]:
            health.record_failure(worker.health, "poison", 1.0)
        self.assertEqual(health.count_failed(workers, "poison", 1.1), 2)
        for worker in workers:
            health.forgive(worker.health, "poison")
        self.assertTrue(all(health.may_take_work(w, 1.1) for w in workers))

    def test_a_slow_worker_is_left_alone_and_recovers(self):
        for _ in range(10):
            health.record_success(self.own, 6.0, 0.0)
        self.assertFalse(health.may_take_work(self.worker, 0.1))
        for _ in range(10):
            health.record_success(self.own, 1.0, 5.0)
        self.assertTrue(health.may_take_work(self.worker, 7.0))

    def test_a_stall_counts_at_once(self):
        health.record_stall(self.own, 10.0, 0.0)
        self.assertFalse(health.may_take_work(self.worker, 1.0))
