"""Tests of jobs that another owner may have begun."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import intake
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import replies
from pollenladder.scheduling import unknown_runs
from tests.scheduling import simulations


class TakeoverTest(unittest.TestCase):
    """No task has two runs at the same time, whichever owners start them."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=2)

    def test_a_reported_run_is_adopted(self):
        self.simulation.poll("w0", running=(("a1.0.0.0", 1, 40.0),))
        self.simulation.submit("a1", may_have_begun=True, first_run=33)
        started = [order.task for order in self.simulation.take_starts()]
        self.assertEqual(started, ["a1.0.0.1"])

    def test_an_adopted_run_reserves_its_resources(self):
        self.simulation.poll("w0", running=(("a1.0.0.0", 1, 40.0),))
        self.simulation.submit("a1", may_have_begun=True, tasks=1)
        worker = self.simulation.region.workers["w0"]
        self.assertEqual(
            worker.free.cpu_milli,
            simulations.CORES_64.cpu_milli
            - simulations.build_submission("a1").cpu_milli,
        )
        (run,) = worker.runs.values()
        self.simulation.region.remove_run(worker, run)
        self.assertEqual(worker.free, simulations.CORES_64)

    def test_an_end_reported_before_the_job_counts(self):
        end = fleet.ObservedEnd(1, "a1.0.0.0", 1, fleet.RunEnd.DONE)
        self.simulation.ends["w0"] = [end]
        self.simulation.poll("w0")
        self.simulation.submit("a1", may_have_begun=True, tasks=1)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_an_end_reported_after_the_job_counts(self):
        self.simulation.list_workers(["w0", "w1", "w2"], synced=False)
        self.simulation.submit("a1", may_have_begun=True, tasks=1, budget_s=5.0)
        end = fleet.ObservedEnd(1, "a1.0.0.0", 1, fleet.RunEnd.DONE)
        self.simulation.ends["w2"] = [end]
        self.simulation.poll("w2")
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_nothing_starts_while_a_worker_is_not_polled(self):
        self.simulation.list_workers(["w0", "w1", "w2"], synced=False)
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(simulations.LEASE_S)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(0.1)
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_second_attempt_waits_for_the_runs_that_the_first_has_waited_for(
        self,
    ):
        # Guards against a caller that returns at once: the owner forgot with the
        # first attempt that an earlier owner may have started the job.
        self.simulation.list_workers(["w0", "w1", "w2"], synced=False)
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        region, now = self.simulation.region, self.simulation.now
        first = next(iter(region.jobs["a1"].attempts))
        reason = jobs.Reason.CALLER_LEFT
        intake.cancel_attempt(region, "a1", first, reason, now)
        self.simulation.submit("a1", attempt=first + 1, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(simulations.LEASE_S + 0.1)
        self.assertEqual(len(self.simulation.take_starts()), 2)
        self.assertEqual(region.unknown_runs_until, {})

    def test_an_unreachable_worker_may_hold_runs(self):
        for _ in range(replies.MAX_MISSED_POLLS):
            replies.handle_missed_poll(
                self.simulation.region, "w1", self.simulation.now
            )
        self.simulation.step(20.0)
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_a_fenced_worker_may_hold_runs(self):
        replies.handle_fenced(self.simulation.region, "w1")
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_nothing_starts_before_ownership_has_settled(self):
        self.simulation.region.owned_since = self.simulation.now
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(unknown_runs.OWNER_SETTLING_S)
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_a_worker_with_an_expired_entry_may_hold_runs(self):
        self.simulation.list_workers(
            ["w0"], last_expired_at=self.simulation.now
        )
        self.simulation.step(5.0)
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])

    def test_tasks_wait_for_leases_that_may_still_be_renewed(self):
        self.simulation.region.handover_delay_s = 2.0
        self.simulation.list_workers(["w0", "w1", "w2", "w3"], synced=False)
        self.simulation.submit("a1", may_have_begun=True, budget_s=9.0)
        self.simulation.step(simulations.LEASE_S + 1.9)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(0.3)
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_tasks_that_may_not_start_yet_take_no_room_from_others(self):
        self.simulation.list_workers(["w0", "w1", "w2", "w3"], synced=False)
        for number in range(4):
            self.simulation.submit(
                f"old{number}",
                estimate_s=0.9,
                age_s=0.6,
                may_have_begun=True,
                budget_s=9.0,
            )
        self.simulation.submit("new")
        self.assertEqual(self.simulation.take_answers(), [])
        started = {order.task[:3] for order in self.simulation.take_starts()}
        self.assertEqual(started, {"new"})

    def test_a_worker_list_from_before_the_takeover_is_outdated(self):
        self.simulation.region.is_worker_list_current = False
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.region.is_worker_list_current = True
        self.simulation.step(0.02)
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_a_run_reported_later_is_adopted_and_the_rest_starts(self):
        self.simulation.list_workers(["w0", "w1", "w2"], synced=False)
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.simulation.step(0.05)
        self.simulation.poll("w2", running=(("a1.0.0.0", 1, 10.0),))
        for worker_id in ("w0", "w1"):
            self.simulation.poll(worker_id)
        started = [order.task for order in self.simulation.take_starts()]
        self.assertEqual(started, ["a1.0.0.1"])

    def test_an_unclaimed_run_is_stopped(self):
        self.simulation.poll("w0", running=(("gone.0.0.0", 1, 10.0),))
        self.simulation.step(0.2)
        self.assertEqual(self.simulation.take_stops(), [])
        self.simulation.step(0.2)
        (order,) = self.simulation.take_stops()
        self.assertEqual((order.task, order.number), ("gone.0.0.0", 1))

    def test_a_job_returned_by_another_owner_may_have_begun(self):
        self.simulation.submit("f1", tasks=4, estimate_s=0.9, budget_s=9.0)
        self.simulation.submit("a1", slack_s=1.2, budget_s=2.0)
        self.simulation.submit("a1", may_have_begun=True, first_run=65)
        self.assertEqual(self.simulation.take_answers(), [])
        # After the latest start, before the deadline.
        self.simulation.step(1.7)
        self.assertEqual(self.simulation.take_answers(), [])
        self.simulation.step(0.4)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_a_job_that_may_have_begun_is_never_refused_as_not_run(self):
        self.simulation.list_workers([])
        self.simulation.submit("a1", may_have_begun=True)
        (answer,) = self.simulation.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def _submit_again(self, forwards: int) -> None:
        """Submit a job that waits, and again after it was forwarded."""
        self.simulation.submit("f1", tasks=4)
        self.fillers = self.simulation.take_starts()
        self.assertEqual(len(self.fillers), 4)
        self.simulation.submit("a1", budget_s=9.0, slack_s=5.0)
        self.simulation.submit(
            "a1",
            may_have_begun=True,
            first_run=1 + forwards * jobs.RUN_NUMBERS_PER_FORWARD,
            budget_s=9.0,
        )

    def _end_fillers(self) -> None:
        for order in self.fillers:
            self.simulation.confirm(order)
            self.simulation.end(order)

    def test_a_job_that_returns_from_another_owner_waits_for_the_list(self):
        # Its tasks wait here, while the other owner may have started them on a
        # worker that is not listed here yet.
        self._submit_again(forwards=2)
        self._end_fillers()
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.list_workers(["w0", "w1", "w9"], synced=False)
        self.simulation.step(0.02)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.poll("w9", running=(("a1.0.0.0", 33, 10.0),))
        (start,) = self.simulation.take_starts()
        self.assertEqual(start.task, "a1.0.0.1")
        self.assertGreater(start.number, 2 * jobs.RUN_NUMBERS_PER_FORWARD)

    def test_a_job_whose_link_broke_does_not_wait(self):
        self._submit_again(forwards=1)
        self._end_fillers()
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_a_job_of_a_rival_waits_until_the_list_is_read_again(self):
        self.simulation.step(unknown_runs.RECENT_CLAIM_S)
        self.simulation.now += 0.01
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])
        self.simulation.step(0.02)
        self.assertEqual(len(self.simulation.take_starts()), 2)

    def test_a_list_that_was_read_before_the_claim_is_outdated(self):
        region = self.simulation.region
        region.is_worker_list_current = False
        region.owned_since = region.list_history.read_at + 0.01
        listings = [w.listing for w in region.workers.values()]
        maintenance.update_workers(
            region, listings, self.simulation.now, is_full_list=True
        )
        self.assertFalse(region.is_worker_list_current)

    def test_workers_that_moved_to_another_group_may_hold_runs(self):
        self.simulation.region.moved_workers_until = self.simulation.now + 30.0
        self.simulation.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.simulation.take_starts(), [])
        (held,) = [
            log.fields
            for log in self.simulation.log_events
            if log.event == "tasks_held_back"
        ]
        self.assertEqual((held["tasks"], held["reason"]), (2, "workers_moved"))
