"""Tests of what proves that a run is over."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import effects
from pollenladder.scheduling import run_ends
from tests.scheduling import simulations


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


class OtherNumberTest(unittest.TestCase):
    """Guards against a second run beside one that is known under another number."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=2)
        self.simulation.submit("a1", tasks=1, budget_s=9.0)
        (self.start,) = self.simulation.take_starts()

    def _poll(self, *numbers: int) -> None:
        self.simulation.now += 0.1
        self.simulation.poll(
            self.start.worker_id,
            running=tuple((self.start.task, n, 10.0) for n in numbers),
        )

    def test_task_starts_again_once_no_run_is_there(self):
        self.simulation.confirm(self.start)
        self._poll(9)
        (stop,) = self.simulation.take_stops()
        self.assertEqual(stop.number, 9)
        self._poll(9)
        self.assertEqual(self.simulation.take_starts(), [])
        self._poll()
        self.assertEqual(len(self.simulation.take_starts()), 1)

    def test_rejected_start_does_not_prove_that_the_other_run_is_over(self):
        self._poll(9)
        self.simulation.reply(self.start, fleet.StartReply.OLD_RUN)
        self.assertEqual(self.simulation.take_starts(), [])
        self._poll()
        self.simulation.take_stops()
        stop = effects.StopRun(
            self.start.worker_id, self.start.task, self.start.number
        )
        self.simulation.reply_stop(stop, fleet.StopReply.STOPPED)
        self._poll()
        self.assertEqual(len(self.simulation.take_starts()), 1)


class OrphanTest(unittest.TestCase):
    """Guards against a third run beside one that is being stopped elsewhere."""

    def test_task_waits_until_its_run_on_another_worker_is_stopped(self):
        simulation = simulations.RegionSimulation(workers=3)
        simulation.submit("a1", tasks=1, budget_s=9.0)
        (start,) = simulation.take_starts()
        simulation.confirm(start)
        other_id = min({"w0", "w1", "w2"} - {start.worker_id})
        simulation.now += 0.1
        simulation.poll(other_id, running=((start.task, 9, 10.0),))
        (stop,) = simulation.take_stops()
        self.assertEqual((stop.worker_id, stop.number), (other_id, 9))
        simulation.end(start, fleet.RunEnd.FAILED)
        self.assertEqual(simulation.take_starts(), [])
        simulation.ends[other_id] = [
            fleet.ObservedEnd(1, start.task, 9, fleet.RunEnd.STOPPED)
        ]
        simulation.poll(other_id, running=())
        (second,) = simulation.take_starts()
        self.assertGreater(second.number, 9)
