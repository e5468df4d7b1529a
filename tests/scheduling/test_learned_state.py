"""Tests of passing what was learned to the next owner."""

import dataclasses
import math
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import durations
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.scheduling import features
from pollenladder.scheduling import learned_state
from tests.scheduling import simulations

LEARNED_AT_S = 1_000.0
LOG_SPEED = -0.35
QUEUE = "lookup"


def _build_owner() -> simulations.RegionSimulation:
    """Return an owner that has learned a speed and a distribution."""
    simulation = simulations.RegionSimulation(workers=3)
    worker = simulation.region.workers["w0"]
    worker.speed = fleet.SpeedEstimate(LOG_SPEED, 40.0)
    known = durations.Distribution()
    for _ in range(20):
        for ratio in [1.0] * 29 + [7.5]:
            durations.record(known, ratio)
    simulation.region.estimates.distributions[QUEUE] = known
    return simulation


class LearnedStateTest(unittest.TestCase):
    """A new owner continues with the speeds, unless they may be wrong."""

    def setUp(self):
        before = _build_owner()
        state = learned_state.capture(before.region, LEARNED_AT_S)
        self.state = rows.decode_learned(rows.encode_learned(state))
        self.next = simulations.RegionSimulation(workers=0)

    def _restore(self) -> None:
        learned_state.restore(self.next.region, self.state)

    def _get_log_speed(self, worker_id: str = "w0") -> float:
        return self.next.region.workers[worker_id].speed.log_speed

    def test_the_next_owner_has_the_same_speeds_and_durations(self):
        # Else it moves healthy runs on slow workers until it has learned.
        self.assertTrue(learned_state.is_recent(self.state, LEARNED_AT_S + 2.0))
        self._restore()
        self.next.list_workers(["w0", "w1"])
        self.assertAlmostEqual(self._get_log_speed(), LOG_SPEED)
        self.assertEqual(self._get_log_speed("w1"), 0.0)
        found = self.next.region.estimates.distributions[QUEUE]
        self.assertTrue(found.has_long_tail)

    def test_the_row_may_be_read_after_the_first_polls(self):
        self.next.list_workers(["w0"])
        self._restore()
        self.assertAlmostEqual(self._get_log_speed(), LOG_SPEED)

    def test_the_speed_of_an_earlier_process_is_ignored(self):
        self._restore()
        self.next.list_workers(["w0"], synced=False)
        self.next.poll("w0", started_ms=simulations.STARTED_MS + 1)
        self.assertEqual(self._get_log_speed(), 0.0)

    def test_what_was_learned_here_has_precedence(self):
        self.next.list_workers(["w0"])
        worker = self.next.region.workers["w0"]
        worker.speed = fleet.SpeedEstimate(0.2, 5.0)
        self._restore()
        self.assertEqual(self._get_log_speed(), 0.2)

    def test_an_old_state_or_one_from_the_future_is_ignored(self):
        for after_s in (learned_state.MAX_AGE_S + 1, -5.0):
            with self.subTest(after_s=after_s):
                read_at_s = LEARNED_AT_S + after_s
                self.assertFalse(learned_state.is_recent(self.state, read_at_s))

    def test_with_the_feature_off_nothing_is_restored(self):
        self.next.region.features = features.switch_off(["speeds"])
        self._restore()
        self.assertEqual(self.next.region.inherited_speeds, {})
        self.assertEqual(self.next.region.estimates.distributions, {})

    def test_values_out_of_range_are_bounded_or_ignored(self):
        # Another build, or a fault, may have written the row.
        learned = fleet.LearnedSpeed(simulations.STARTED_MS, -50.0, 1e9)
        self.state = dataclasses.replace(
            self.state,
            speeds={"w0": learned},
            durations={"a": (1.0,), "b": (-1.0,) * durations.BUCKETS},
        )
        self._restore()
        self.next.list_workers(["w0"])
        self.assertAlmostEqual(self._get_log_speed(), math.log(0.4))
        self.assertEqual(self.next.region.estimates.distributions, {})

    def test_a_malformed_row_is_rejected(self):
        for source in (b"", b"[]", b'{"speeds": {}}', b"\xff"):
            with (
                self.subTest(source=source),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                rows.decode_learned(source)

    def test_the_state_is_bounded(self):
        owner = _build_owner()
        owner.list_workers([f"w{n}" for n in range(300)])
        for worker in owner.region.workers.values():
            worker.speed.evidence = 60.0
        known = owner.region.estimates.distributions
        for number in range(100):
            known[f"q{number}"] = known[QUEUE]
        state = learned_state.capture(owner.region, LEARNED_AT_S)
        self.assertEqual(len(state.speeds), learned_state.MAX_WORKERS)
        self.assertEqual(len(state.durations), learned_state.MAX_QUEUES)
        self.assertLess(len(rows.encode_learned(state)), 32_000)

    def test_noise_is_no_reason_to_write_again(self):
        owner = _build_owner()
        changed = learned_state.is_worth_writing
        self.assertTrue(changed(self.state, None))
        owner.region.workers["w0"].speed.log_speed += 0.05
        state = learned_state.capture(owner.region, LEARNED_AT_S + 5)
        self.assertFalse(changed(state, self.state))
        owner.region.workers["w0"].speed.log_speed += 0.1
        state = learned_state.capture(owner.region, LEARNED_AT_S + 5)
        self.assertTrue(changed(state, self.state))
