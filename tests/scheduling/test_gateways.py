"""Jobs whose gateways are cut off from the owner."""

import unittest

from pollenladder.scheduling import maintenance
from tests.scheduling import simulations


class LostGatewayTest(unittest.TestCase):
    """The other side of a cut starts the jobs anew after a lease."""

    def setUp(self):
        self.world = simulations.RegionSimulation()
        self.world.submit("a1", gateway_id="far")
        self.world.submit("b2", gateway_id="near")
        self.starts = self.world.take_starts()
        for order in self.starts:
            self.world.confirm(order)

    def test_runs_of_a_lost_gateway_are_stopped_within_a_lease(self):
        maintenance.mark_gateway_lost(self.world.region, "far", self.world.now)
        self.world.step(maintenance.GATEWAY_GRACE_S + 0.02)
        stopped = {order.task for order in self.world.take_stops()}
        self.assertEqual(stopped, {"a1.0.0.0", "a1.0.0.1"})
        self.assertNotIn("a1", self.world.region.jobs)
        self.assertLess(maintenance.GATEWAY_GRACE_S + 0.1, simulations.LEASE_S)

    def test_the_jobs_of_others_go_on(self):
        maintenance.mark_gateway_lost(self.world.region, "far", self.world.now)
        self.world.step(maintenance.GATEWAY_GRACE_S + 0.02)
        self.assertIn("b2", self.world.region.jobs)

    def test_a_gateway_that_is_back_soon_keeps_its_jobs(self):
        maintenance.mark_gateway_lost(self.world.region, "far", self.world.now)
        self.world.step(0.2)
        maintenance.mark_gateway_connected(self.world.region, "far")
        self.world.step(maintenance.GATEWAY_GRACE_S)
        self.assertEqual(self.world.take_stops(), [])

    def test_no_answer_is_kept_that_would_contradict_a_later_one(self):
        maintenance.mark_gateway_lost(self.world.region, "far", self.world.now)
        self.world.step(maintenance.GATEWAY_GRACE_S + 0.02)
        self.assertEqual(self.world.take_answers(), [])
        self.assertNotIn("a1", self.world.region.answered)
