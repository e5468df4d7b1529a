"""Tests of runs that slow each other down in the emulator."""

import unittest

from bench.emulator import disturbances
from bench.emulator import loads
from bench.emulator import simulations
from pollenladder.scheduling import features

FACTORS = {("check", "lookup"): 2.0}
OFF = features.switch_off(["interference"])


def _run_both(
    factors: disturbances.Factors, lookup_at_s: float
) -> dict[str, float]:
    """Run a check of 1 s from 0.1 s and a lookup of 0.4 s on one worker."""
    simulation = simulations.Simulation(1, factors=factors, features=OFF)
    arrivals = [
        loads.Arrival(0.1, "check", 27_000, 1.0, (1.0,)),
        loads.Arrival(lookup_at_s, "lookup", 27_000, 0.4, (0.4,)),
    ]
    outcomes = simulation.run(arrivals)
    return {outcome.arrival.kind: outcome.took_s for outcome in outcomes}


class DisturbanceTest(unittest.TestCase):
    """A wrong emulation would make the trials of the feature worthless."""

    def test_a_run_is_slowed_while_its_neighbour_runs(self):
        plain = _run_both({}, 0.3)
        disturbed = _run_both(FACTORS, 0.3)
        self.assertAlmostEqual(disturbed["lookup"], plain["lookup"])
        # In 0.4 s beside the lookup, half of 0.4 s of work is done.
        self.assertAlmostEqual(disturbed["check"], plain["check"] + 0.2)

    def test_a_pair_counts_in_both_directions(self):
        factors = disturbances.draw(["a", "b", "c"], 2, 1.5, seed=1)
        self.assertEqual(len(factors), 4)
        for first, second in factors:
            self.assertIn((second, first), factors)

    def test_a_load_keeps_its_jobs_when_split_into_queues(self):
        arrivals = list(loads.draw(1.0, 2.0, seed=1))
        split = list(loads.split_queues(arrivals, 4, seed=1))
        self.assertEqual([a.kind for a in split], [a.kind for a in arrivals])
        found = {arrival.get_queue() for arrival in split}
        self.assertLessEqual(found, set(loads.list_queues(4)))
        self.assertGreater(len(found), 8)
