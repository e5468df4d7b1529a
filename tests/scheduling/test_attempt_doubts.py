"""What an owner tells of an attempt once its place is in doubt."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.logs import record_queues
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import intake
from pollenladder.scheduling import recovery
from pollenladder.scheduling import runs
from tests.scheduling import simulations

FIRST = simulations.get_attempt("g1")
SECOND = simulations.get_attempt("g2")
A1_TASK = jobs.format_task_name("a1", 0)
TICK_S = 0.02


class AttemptDoubtsTest(unittest.TestCase):
    """Guards against an overlap of which an owner's log does not name the job."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.region = self.simulation.region
        self.region.gateways_heard_at = {
            "g1": self.simulation.now,
            "g2": self.simulation.now,
        }

    def _tell(self, seconds: float = TICK_S) -> list[dict]:
        """Return what is told of attempts until the next tick."""
        self.simulation.log_events.clear()
        self.simulation.step(seconds)
        return self.simulation.list_logged("attempt_at_owner")

    def _tell_one(self, seconds: float = TICK_S) -> dict:
        (line,) = self._tell(seconds)
        return line

    def _end_runs(self) -> None:
        for order in self.simulation.take_starts():
            self.simulation.end(order)

    def test_attempt_that_is_not_in_doubt_is_not_told(self):
        self.simulation.submit("a1")
        self._end_runs()
        self.assertEqual(self._tell(), [])
        self.assertNotIn("a1", self.region.jobs)
        self.assertIsNotNone(self.region.attempt_records.find("a1"))

    def test_attempt_of_a_lost_gateway_is_told_until_its_runs_are_over(self):
        # The bounds of time are spent: the first owner's runs end too late.
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        self.simulation.now += 0.3
        gateway_links.record_change(
            self.region, "g1", False, self.simulation.now
        )
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"link_changed"})
        self.assertEqual(line["first_start_ago_s"], 0.32)
        self.assertEqual(line["heard_ago_s"], 0.32)
        self.assertEqual((line["starts"], line["runs"]), (1, 1))
        self.assertIsNone(line["ended_ago_s"])
        line = self._tell_one(gateway_links.GATEWAY_GRACE_S + TICK_S)
        self.assertIn("gateway_lost", line["doubts"])
        self.assertEqual(line["removal"], "gateway_lost")
        self.assertEqual(line["removed_ago_s"], 0.0)
        self.assertIsNone(line["runs_over_ago_s"])
        self.simulation.now += 0.2
        self.simulation.end(order, fleet.RunEnd.STOPPED)
        line = self._tell_one(0.0)
        self.assertEqual(line["runs_over_ago_s"], 0.0)
        self.assertEqual(line["removed_ago_s"], 0.2)
        self.assertEqual(line["first_worker"], order.worker_id)

    def test_attempt_of_a_silent_gateway_tells_its_last_contact(self):
        self.simulation.submit("a1", tasks=1)
        self.simulation.now += 1.0
        silent = {"g1": 1.0}
        attempt_leases.end_expired(self.region, silent, self.simulation.now)
        line = self._tell_one()
        self.assertEqual(line["removal"], "gateway_lost")
        self.assertEqual(line["heard_ago_s"], 1.02)

    def test_lease_of_the_runs_of_a_removed_attempt_is_told(self):
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        worker = self.region.workers[order.worker_id]
        worker.granted_until_s = (
            self.simulation.now + worker.clock_ahead_s + 0.7
        )
        self.simulation.now += 0.1
        reason = jobs.Reason.GATEWAY_LOST
        intake.cancel_attempt(
            self.region, "a1", FIRST, reason, self.simulation.now
        )
        self.assertAlmostEqual(self._tell_one()["lease_left_s"], 0.58)

    def test_attempt_that_lasts_to_its_deadline_is_told(self):
        # The clock starts too late: the caller has left, and nobody knows.
        self.simulation.submit("a1", tasks=1, budget_s=1.5)
        line = self._tell_one(1.6)
        self.assertEqual(set(line["doubts"]), {"deadline"})
        self.assertEqual(line["reason"], "deadline")
        self.assertEqual(line["arrived_ago_s"], 1.6)

    def _lose_peer(self) -> None:
        attempt_doubts.record_lost_peer(self.region, self.simulation.now)

    def test_answered_attempt_is_told_if_its_caller_may_have_returned(self):
        # The clock starts too late: its caller was cut off and sent the job again, while
        # the first attempt went on here and was answered.
        self.simulation.submit("a1", tasks=1)
        self._end_runs()
        self.simulation.submit("b2", tasks=1, budget_s=99.0)
        self.simulation.now += 2.0
        self._lose_peer()
        lines = {line["job"]: line for line in self._tell()}
        self.assertEqual(lines["a1"]["outcome"], "completed")
        self.assertEqual(lines["a1"]["ended_ago_s"], 2.02)
        self.assertEqual(set(lines["b2"]["doubts"]), {"peer_lost"})
        self._lose_peer()
        self.assertEqual(self._tell(), [])

    def test_attempt_that_was_parted_is_told_once_its_runs_are_over(self):
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        self._lose_peer()
        self.assertEqual(len(self._tell()), 1)
        self.simulation.now += 0.5
        reason = jobs.Reason.CALLER_LEFT
        intake.cancel_attempt(
            self.region, "a1", FIRST, reason, self.simulation.now
        )
        self.assertEqual(self._tell(), [])
        self.simulation.end(order, fleet.RunEnd.STOPPED)
        line = self._tell_one(0.0)
        self.assertEqual(line["runs_over_ago_s"], 0.0)
        self.assertEqual(line["removal"], "caller_left")

    def test_attempt_that_was_answered_before_the_silence_is_not_told(self):
        self.simulation.submit("a1", tasks=1)
        self._end_runs()
        self.simulation.now += attempt_doubts.SILENCE_S + 0.01
        self._lose_peer()
        self.assertEqual(self._tell(), [])

    def test_attempt_outside_its_home_group_is_told(self):
        # The second owner's side of an overlap, as the first one is not heard.
        self.simulation.submit("a1", tasks=1)
        attempt_doubts.record_doubt(
            self.region,
            "a1",
            doubts.Doubt.HOME_GROUP_PASSED_OVER,
            self.simulation.now,
        )
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"home_group_passed_over"})
        self.assertEqual(line["origin"], "new")
        self.assertEqual(line["first_run"], 1)

    def test_attempt_that_moves_is_told_by_both_owners(self):
        # One attempt in two groups.
        self.simulation.submit("a1", tasks=1)
        reason = jobs.Reason.MOVED
        intake.cancel_attempt(
            self.region, "a1", FIRST, reason, self.simulation.now
        )
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"moved"})
        following = simulations.RegionSimulation(epoch=2)
        following.submit("a1", tasks=1, may_have_begun=True, first_run=33)
        following.step(TICK_S)
        (next_line,) = following.list_logged("attempt_at_owner")
        self.assertEqual(next_line["attempt"], line["attempt"])
        self.assertEqual(next_line["origin"], "forwarded_again")
        self.assertEqual(next_line["epoch"], 2)

    def test_attempt_that_was_elsewhere_meanwhile_is_told(self):
        self.simulation.submit("a1", tasks=1)
        self.simulation.submit("a1", may_have_begun=True, first_run=1 + 2 * 32)
        self.assertEqual(set(self._tell_one()["doubts"]), {"forwarded_again"})

    def test_both_attempts_of_a_job_are_told(self):
        self.simulation.submit("a1", tasks=1)
        self.simulation.now += 1.3
        self.simulation.submit("a1", "g2", tasks=1)
        lines = self._tell()
        found = [(x["attempt"], x["gateway"], x["origin"]) for x in lines]
        self.assertEqual(
            found, [(FIRST, "g1", "new"), (SECOND, "g2", "joined")]
        )
        self.assertEqual(lines[0]["arrived_ago_s"], 1.32)
        for line in lines:
            self.assertEqual(set(line["doubts"]), {"second_attempt"})

    def test_late_copy_is_told_with_the_attempt_that_was_answered(self):
        # The same request arrives again after its answer.
        self.simulation.submit("a1", tasks=1)
        self._end_runs()
        self.simulation.now += 3.0
        self.simulation.submit("a1", "g2", tasks=1)
        first, second = self._tell()
        self.assertEqual(first["outcome"], "completed")
        self.assertEqual(first["ended_ago_s"], 3.02)
        self.assertEqual(second["origin"], "answered")
        self.assertEqual(second["arrived_ago_s"], TICK_S)

    def test_job_that_is_admitted_again_is_told_with_its_last_attempt(self):
        self.simulation.submit("a1", tasks=1)
        reason = jobs.Reason.CALLER_LEFT
        intake.cancel_attempt(
            self.region, "a1", FIRST, reason, self.simulation.now
        )
        self.simulation.now += 1.3
        self.simulation.submit("a1", "g2", tasks=1)
        first, second = self._tell()
        self.assertEqual(first["removal"], "caller_left")
        self.assertEqual(first["ended_ago_s"], 1.32)
        self.assertEqual(second["attempt"], SECOND)
        self.assertIn("run_adopted", second["doubts"])

    def test_run_that_no_job_claims_is_told(self):
        self.simulation.poll("w0", ((A1_TASK, 3, 10.0),))
        line = self._tell_one(runs.ORPHAN_GRACE_S + TICK_S)
        self.assertEqual(set(line["doubts"]), {"run_unclaimed"})
        self.assertEqual((line["job"], line["origin"]), ("a1", "unknown"))
        self.assertEqual((line["last_worker"], line["last_run"]), ("w0", 3))

    def test_runs_that_outlast_their_job_are_told(self):
        self.simulation.submit("a1", tasks=1)
        reason = jobs.Reason.CALLER_LEFT
        intake.cancel_attempt(
            self.region, "a1", FIRST, reason, self.simulation.now
        )
        self.assertEqual(self._tell(), [])
        line = self._tell_one(attempt_doubts.RUNS_LEFT_S + TICK_S)
        self.assertEqual(set(line["doubts"]), {"runs_left"})
        self.assertEqual(line["runs"], 1)
        self.assertEqual(self._tell(1.0), [])

    def test_owner_that_claims_again_keeps_what_it_knows(self):
        self.simulation.submit("a1", tasks=1)
        self.simulation.now += 0.5
        self.simulation.region = self.region = recovery.rebuild_region(
            self.region, 3, self.simulation.now
        )
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"claimed_again"})
        self.assertEqual((line["epoch"], line["starts"]), (3, 1))
        self.assertEqual(line["first_start_ago_s"], 0.52)

    def test_open_attempts_of_an_owner_that_resigns_are_told(self):
        self.simulation.submit("a1", tasks=1)
        attempt_doubts.record_resignation(self.region, self.simulation.now)
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"resigned"})
        self.assertEqual(line["reason"], "resigned")

    def test_attempts_of_a_gateway_with_many_are_told_over_time(self):
        # Guards against a lost link that fills the log.
        for number in range(150):
            self.simulation.submit(f"j{number}", tasks=1, budget_s=99.0)
        gateway_links.record_change(
            self.region, "g1", False, self.simulation.now
        )
        per_s = record_queues.MAX_RECORDS_PER_S
        told = self._tell()
        self.assertEqual(len(told), per_s)
        self.assertEqual(self._tell(0.1), [])
        for _ in range(3):
            lines = self._tell(1.0)
            self.assertLessEqual(len(lines), per_s)
            told += lines
        ended = {
            line["job"] for line in told if line["ended_ago_s"] is not None
        }
        self.assertEqual(len(ended), 150)
