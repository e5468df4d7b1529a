"""Tests of tasks that crash workers in the emulator."""

import unittest

from bench.emulator import crashes
from bench.emulator import loads
from bench.emulator import simulations

WORKERS = 12
SEED = 3


def _play(share: float, groups: int = 1) -> simulations.Simulation:
    simulation = simulations.Simulation(
        WORKERS,
        groups=groups,
        crash_plan=crashes.Plan("check", share, SEED),
    )
    simulation.run(list(loads.draw(0.5, 12.0, SEED)))
    return simulation


def _compute_share(simulation: simulations.Simulation, kind: str) -> float:
    """Return the share of a kind's value that was earned."""
    found = [
        outcome.get_earned_share()
        for outcome in simulation.outcomes.values()
        if outcome.arrival.kind == kind
    ]
    return sum(found) / len(found)


class CrashTest(unittest.TestCase):
    """A share of one kind of jobs crashes the workers that start them."""

    def test_no_job_crashes_a_worker_without_a_plan(self):
        simulation = simulations.Simulation(WORKERS)
        simulation.run(list(loads.draw(0.5, 4.0, SEED)))
        self.assertEqual(simulation.crashes, 0)

    def test_every_job_gets_an_answer(self):
        """Guards against jobs that wait for a crashed worker."""
        simulation = _play(0.1)
        self.assertGreater(simulation.crashes, 0)
        missing = [o for o in simulation.outcomes.values() if o.outcome is None]
        self.assertEqual(missing, [])

    def test_other_kinds_are_served_though_half_of_one_kind_crashes(self):
        """Guards against one queue that takes down all workers."""
        simulation = _play(0.5)
        for kind in ("release", "lookup"):
            self.assertGreater(_compute_share(simulation, kind), 0.5, kind)
