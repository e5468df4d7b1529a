"""A cancellation that arrives after the attempt has been forwarded again."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import intake
from tests.scheduling import simulations


class LateCancellationTest(unittest.TestCase):
    """Guards against a job that waits to its deadline at nobody.

    The attempt moves away and back. The cancellation was sent over the earlier link,
    and is read after the job that is forwarded again over the next one.
    """

    def test_cancellation_of_an_earlier_forward_is_ignored(self):
        simulation = simulations.RegionSimulation(workers=1)
        simulation.submit("a1", "far", tasks=1)
        simulation.submit(
            "a1", "far", tasks=1, may_have_begun=True, first_run=65
        )
        number = simulations.get_attempt("far")
        reason = jobs.Reason.MOVED
        intake.cancel_attempt(
            simulation.region, "a1", number, reason, simulation.now
        )
        self.assertIn("a1", simulation.region.jobs)


if __name__ == "__main__":
    unittest.main()
