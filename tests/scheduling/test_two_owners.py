"""Tests of two owners that do not hear each other and grant leases on one worker.

A run that the first owner has started goes on for as long as any of them extends the
lease of its worker. No task may have two runs at the same time.
"""

from collections.abc import Callable
import unittest

from pollenladder.cluster import heartbeats
from pollenladder.scheduling import runs
from tests.scheduling import simulations
from tests.scheduling import two_owners

TASK = "a1.0.0.0"
SLOW_CLOCK = 1.0 - runs.MAX_CLOCK_DRIFT


class TwoOwnersTest(unittest.TestCase):
    """The first owner loses worker "w1", which has a run of a task.

    The second owner reaches that worker only. Worker "w2" is reached by the first
    owner only, so the task may start there once the run on "w1" is over.
    """

    def _prepare(self, rate: float) -> None:
        self.simulation = two_owners.OwnersSimulation(rate)
        self.simulation.add_worker("w1")
        self.simulation.add_worker("w2")
        self.simulation.list_workers("o1", ["w1"])
        self.simulation.run(0.5)
        self.simulation.submit("a1")
        self.simulation.run(0.5)
        self.assertEqual(self.simulation.workers["w1"].running, {TASK: 1})
        self.simulation.list_workers("o1", ["w1", "w2"])
        self.simulation.run(0.3)

    def _claim(self) -> None:
        self.simulation.claim("o2", 2)
        self.simulation.cut("o2", "w2")
        self.simulation.list_workers("o2", ["w1", "w2"])

    def _check_cases(self, change_owner: Callable[[], None]) -> None:
        """Check that no change of the owner brings a second run about."""
        for loss in two_owners.Loss:
            for rate in (1.0, SLOW_CLOCK):
                for step in range(15):
                    delay_s = step * 0.1
                    with self.subTest(loss=loss, rate=rate, delay_s=delay_s):
                        self._prepare(rate)
                        self.simulation.cut("o1", "w1", loss)
                        self.simulation.run(delay_s)
                        change_owner()
                        self._check_no_overlap()

    def _check_no_overlap(self) -> None:
        self.simulation.run(4.0)
        self.assertEqual(self.simulation.overlaps, [])

    def test_gateway_that_reaches_both_owners(self):
        # Guards against a second run, as the attempt stays at the first owner.
        def change_owner():
            self._claim()
            self.simulation.followed = "o2"

        self._check_cases(change_owner)

    def test_owner_that_loses_the_worker_before_the_gateway(self):
        # Guards against a second run, as the lease that the first owner counts
        # expires before its attempt does.
        def change_owner():
            self.simulation.cut("o1", two_owners.GATEWAY_ID)
            self.simulation.run(heartbeats.OWNER_TIMEOUT_S)
            self._claim()
            self.simulation.followed = "o2"

        self._check_cases(change_owner)

    def test_task_starts_elsewhere_while_the_gateway_is_heard(self):
        # Guards against a task that waits for a worker that is lost for good.
        self._prepare(SLOW_CLOCK)
        self.simulation.cut("o1", "w1", two_owners.Loss.RESET)
        cut_at = self.simulation.now
        self._check_no_overlap()
        self.assertEqual(self.simulation.workers["w2"].running, {TASK: 2})
        started_at = self.simulation.started_at[(TASK, 2)]
        latest_s = simulations.LEASE_S + two_owners.FRAME_INTERVAL_S + 0.2
        self.assertLess(started_at, cut_at + latest_s)

    def test_run_goes_on_if_the_gateway_hears_of_the_next_owner_first(self):
        # Guards against lost work, as the first owner stops what the next one adopts.
        self._prepare(SLOW_CLOCK)
        self._claim()
        self.simulation.cut("o2", "w1")
        self.simulation.followed = "o2"
        self.simulation.run(0.2)
        self.simulation.heal("o2", "w1")
        self._check_no_overlap()
        self.assertEqual(self.simulation.workers["w1"].running, {TASK: 1})

    def test_run_is_over_before_the_next_owner_starts_its_task(self):
        # Guards against a second run on a worker that only the next owner reaches.
        self._prepare(SLOW_CLOCK)
        self.simulation.add_worker("w3")
        self.simulation.claim("o2", 2)
        self.simulation.cut("o2", "w1")
        self.simulation.cut("o2", "w2")
        self.simulation.list_workers("o2", ["w1", "w2", "w3"])
        self.simulation.followed = "o2"
        self._check_no_overlap()
        self.assertEqual(list(self.simulation.workers["w3"].running), [TASK])
