"""Tests of the evidence that tasks of a queue crash workers."""

import math
import unittest

from pollenladder.scheduling import crash_evidence

QUEUE = "holds"
OTHER = "quotes"


def _crash(
    times: int,
    suspected: tuple[str, ...],
    rates: dict[str, float],
    known: dict[str, crash_evidence.Evidence] | None = None,
    interval_s: float = 0.3,
) -> dict[str, crash_evidence.Evidence]:
    """Return the evidence after several crashes of the same kind."""
    found = known or {}
    for index in range(times):
        found = crash_evidence.update(
            found, suspected, rates, index * interval_s
        )
    return found


class EvidenceTest(unittest.TestCase):
    """Odds that tasks of a queue crash workers."""

    def test_few_crashes_identify_a_queue_on_few_workers(self):
        found = _crash(3, (QUEUE,), {QUEUE: 0.15})
        self.assertTrue(crash_evidence.is_crashing(found, QUEUE, 0.6))

    def test_one_crash_identifies_no_queue(self):
        found = _crash(1, (QUEUE,), {QUEUE: 0.0})
        self.assertFalse(crash_evidence.is_crashing(found, QUEUE, 0.0))

    def test_queue_on_every_worker_is_not_blamed(self):
        """Guards against a busy queue that is blamed for any crash."""
        found = _crash(50, (QUEUE,), {QUEUE: 1.0})
        self.assertFalse(crash_evidence.is_crashing(found, QUEUE, 15.0))

    def test_crashes_without_the_queue_clear_it(self):
        found = _crash(2, (QUEUE,), {QUEUE: 0.3})
        found = crash_evidence.update(found, (OTHER,), {OTHER: 0.3}, 0.7)
        self.assertEqual(crash_evidence.get_level(found, QUEUE, 0.7), 0.0)

    def test_two_queues_that_crash_workers_are_both_found(self):
        """Guards against one cause whose crashes clear another one."""
        found = _crash(4, (QUEUE,), {QUEUE: 0.1}, interval_s=0.1)
        for index in range(8):
            queue = OTHER if index % 2 else QUEUE
            found = crash_evidence.update(
                found, (queue,), {queue: 0.1}, 0.4 + index * 0.1
            )
        self.assertTrue(crash_evidence.is_crashing(found, QUEUE, 1.1))
        self.assertTrue(crash_evidence.is_crashing(found, OTHER, 1.1))

    def test_evidence_decays(self):
        found = _crash(9, (QUEUE,), {QUEUE: 0.1}, interval_s=0.0)
        level = crash_evidence.get_level(found, QUEUE, 0.0)
        self.assertEqual(level, crash_evidence.MAX_LEVEL)
        later = 1.01 * crash_evidence.HALF_LIFE_S
        self.assertFalse(crash_evidence.is_crashing(found, QUEUE, later))

    def test_level_stays_finite_for_a_rate_of_zero(self):
        found = _crash(1, (QUEUE,), {})
        level = crash_evidence.get_level(found, QUEUE, 0.0)
        self.assertTrue(math.isfinite(level))
