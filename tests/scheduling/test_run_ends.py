"""Tests of what proves that a run is over."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import run_ends


class ProofTest(unittest.TestCase):
    """Guards against a start beside a run that an order may have started."""

    def test_start_that_may_have_arrived_proves_nothing(self):
        for reply in (fleet.StartReply.NO_REPLY, fleet.StartReply.STARTED):
            self.assertIsNone(run_ends.prove_by_rejection(reply))

    def test_rejected_start_is_named_in_the_log(self):
        proof = run_ends.prove_by_rejection(fleet.StartReply.NO_ROOM)
        self.assertIs(proof.ground, run_ends.Ground.NOT_STARTED)
        self.assertEqual(proof.reason, "no_room")

    def test_confirmed_stop_does_not_prove_the_end(self):
        # The run goes on for as long as the worker takes to stop it.
        self.assertIsNone(run_ends.prove_by_stop(fleet.StopReply.STOPPED))
        self.assertIsNone(run_ends.prove_by_stop(fleet.StopReply.NO_REPLY))


if __name__ == "__main__":
    unittest.main()
