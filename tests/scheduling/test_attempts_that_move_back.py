"""An attempt that moves to the next owner and back to the first one.

Both owners go on, as they do not hear each other. The gateway reaches both, or loses
one of them meanwhile.
"""

import itertools
import unittest

from tests.scheduling import test_two_owners
from tests.scheduling import two_owners

AWAY_S = (0.02, 0.06, 0.2, 0.4, 0.8, 1.2, 2.0, 3.0)


class MovesBackTest(unittest.TestCase):
    """Guards against a second run of the task on a worker of the other owner."""

    def _play(self, loss, rate, delay_s, away_s, link_cut, w1_healed) -> list:
        simulation = two_owners.OwnersSimulation(rate)
        simulation.add_worker("w1")
        simulation.add_worker("w2")
        simulation.list_workers("o1", ["w1"])
        simulation.run(0.5)
        simulation.submit("a1")
        simulation.run(0.5)
        simulation.list_workers("o1", ["w1", "w2"])
        simulation.run(0.3)
        simulation.cut("o1", "w1", loss)
        simulation.run(delay_s)
        simulation.claim("o2", 2)
        simulation.cut("o2", "w2")
        simulation.list_workers("o2", ["w1", "w2"])
        simulation.followed = "o2"
        simulation.run(away_s)
        if link_cut:
            # The next owner does not get the cancellation.
            simulation.cut("o2", two_owners.GATEWAY_ID)
        simulation.followed = "o1"
        simulation.run(0.3)
        if w1_healed:
            simulation.heal("o1", "w1")
        simulation.run(5.0)
        return simulation.overlaps

    def test_no_overlap(self):
        for case in itertools.product(
            two_owners.Loss,
            (1.0, test_two_owners.SLOW_CLOCK),
            (0.0, 0.3, 0.6, 0.9, 1.1),
            AWAY_S,
            (False, True),
            (False, True),
        ):
            with self.subTest(case=case):
                self.assertEqual(self._play(*case), [])
