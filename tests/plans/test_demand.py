"""Loans move units to the shard with demand within two seconds."""

import unittest

from tests.plans import cluster

ALLOWANCE = 70
TICK_S = 0.01
RUN_S = 0.3
# Rounds of delivery per tick. Replies to the messages of one round are delivered
# in the next.
HOPS_PER_TICK = 3


def run_demand(simulation, busy_shard, seconds):
    """Simulate a shard with 200 waiting tasks, and no demand at the others.

    Returns:
        Seconds until the shard uses 90% of the allowance; None if never.
    """
    reached_s = None
    for step in range(round(seconds / TICK_S)):
        simulation.advance(TICK_S)
        while simulation.start(busy_shard, RUN_S):
            pass
        for shard_id in simulation.ids:
            simulation.tick(shard_id, 200 if shard_id == busy_shard else 0)
        for _ in range(HOPS_PER_TICK):
            for _ in range(len(simulation.messages)):
                simulation.deliver(0)
        in_use = sum(run.shard_id == busy_shard for run in simulation.runs)
        if reached_s is None and in_use >= 0.9 * ALLOWANCE:
            reached_s = step * TICK_S
    return reached_s


class DemandTest(unittest.TestCase):
    def test_units_follow_demand_within_two_seconds(self):
        simulation = cluster.Cluster(7, ALLOWANCE, 3.0)
        simulation.advance(1.0)
        self.assertLess(run_demand(simulation, simulation.ids[0], 5.0), 2.0)
        self.assertLess(run_demand(simulation, simulation.ids[1], 5.0), 2.0)
        self.assertLess(run_demand(simulation, simulation.ids[2], 5.0), 2.0)
