"""Shares follow demand, at the pace of the system's ticks."""

import unittest

from tests.plans import cluster

ALLOWANCE = 70
TICK_S = 0.01
RUN_S = 0.3
HOPS_A_TICK = 3


def run_demand(world, busy, seconds):
    """Keep one shard's queue full; return the seconds until 90% is in use."""
    reached_s = None
    for step in range(round(seconds / TICK_S)):
        world.advance(TICK_S)
        while world.start(busy, RUN_S):
            pass
        for shard_id in world.ids:
            world.tick(shard_id, 200 if shard_id == busy else 0)
        for _ in range(HOPS_A_TICK):
            for _ in range(len(world.messages)):
                world.deliver(0)
        in_use = sum(run.shard_id == busy for run in world.runs)
        if reached_s is None and in_use >= 0.9 * ALLOWANCE:
            reached_s = step * TICK_S
    return reached_s


class DemandTest(unittest.TestCase):
    def test_shares_follow_demand_within_two_seconds(self):
        world = cluster.Cluster(7, ALLOWANCE, 3.0)
        world.advance(1.0)
        self.assertLess(run_demand(world, world.ids[0], 5.0), 2.0)
        self.assertLess(run_demand(world, world.ids[1], 5.0), 2.0)
        self.assertLess(run_demand(world, world.ids[2], 5.0), 2.0)
