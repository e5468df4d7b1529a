"""Jobs that another owner may have begun."""

import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from tests.scheduling import simulations


class TakeoverTest(unittest.TestCase):
    """No task runs twice at the same time, whoever started it."""

    def setUp(self):
        self.world = simulations.RegionSimulation(workers=2)

    def test_a_run_that_is_seen_is_adopted(self):
        self.world.look("w0", running=(("a1.0.0.0", 1, 40.0),))
        self.world.submit("a1", may_have_begun=True, first_run=33)
        started = [order.task for order in self.world.take_starts()]
        self.assertEqual(started, ["a1.0.0.1"])

    def test_a_run_that_is_adopted_takes_its_room(self):
        self.world.look("w0", running=(("a1.0.0.0", 1, 40.0),))
        self.world.submit("a1", may_have_begun=True, tasks=1)
        worker = self.world.region.workers["w0"]
        self.assertEqual(
            worker.free.cpu_milli,
            simulations.CORES_64.cpu_milli
            - simulations.build_submission("a1").cpu_milli,
        )
        (run,) = worker.runs.values()
        self.world.region.remove_run(worker, run)
        self.assertEqual(worker.free, simulations.CORES_64)

    def test_an_end_that_was_seen_counts(self):
        end = fleet.ObservedEnd(1, "a1.0.0.0", 1, fleet.RunEnd.DONE)
        self.world.ends["w0"] = [end]
        self.world.look("w0")
        self.world.submit("a1", may_have_begun=True, tasks=1)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)

    def test_an_end_that_is_seen_after_the_job_came_counts(self):
        self.world.list_workers(["w0", "w1", "w2"], synced=False)
        self.world.submit("a1", may_have_begun=True, tasks=1, budget_s=5.0)
        end = fleet.ObservedEnd(1, "a1.0.0.0", 1, fleet.RunEnd.DONE)
        self.world.ends["w2"] = [end]
        self.world.look("w2")
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.COMPLETED)
        self.assertEqual(self.world.take_starts(), [])

    def test_nothing_starts_while_a_worker_is_unseen(self):
        self.world.list_workers(["w0", "w1", "w2"], synced=False)
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.world.take_starts(), [])
        self.world.step(simulations.LEASE_S)
        self.assertEqual(self.world.take_starts(), [])
        self.world.step(0.1)
        self.assertEqual(len(self.world.take_starts()), 2)

    def test_a_worker_lost_long_ago_counts_as_unseen(self):
        for _ in range(replies.MAX_MISSED_POLLS):
            replies.handle_missed_poll(self.world.region, "w1", self.world.now)
        self.world.step(20.0)
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.world.take_starts(), [])

    def test_a_fenced_worker_counts_as_unseen(self):
        replies.handle_fenced(self.world.region, "w1")
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.world.take_starts(), [])

    def test_nothing_starts_before_an_earlier_owner_could_be_heard(self):
        self.world.region.owned_since = self.world.now
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.world.take_starts(), [])
        self.world.step(runs.SETTLING_S)
        self.assertEqual(len(self.world.take_starts()), 2)

    def test_a_worker_whose_entry_lapsed_counts_as_unseen(self):
        self.world.list_workers(["w0"], lapsed_at=self.world.now)
        self.world.step(5.0)
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.world.take_starts(), [])

    def test_what_another_owner_may_still_renew_waits_longer(self):
        self.world.region.handover_delay_s = 2.0
        self.world.list_workers(["w0", "w1", "w2", "w3"], synced=False)
        self.world.submit("a1", may_have_begun=True, budget_s=9.0)
        self.world.step(simulations.LEASE_S + 1.9)
        self.assertEqual(self.world.take_starts(), [])
        self.world.step(0.3)
        self.assertEqual(len(self.world.take_starts()), 2)

    def test_tasks_that_may_not_start_yet_take_no_room_from_others(self):
        self.world.list_workers(["w0", "w1", "w2", "w3"], synced=False)
        for number in range(4):
            self.world.submit(
                f"old{number}",
                estimate_s=0.9,
                age_s=0.6,
                may_have_begun=True,
                budget_s=9.0,
            )
        self.world.submit("new")
        self.assertEqual(self.world.take_answers(), [])
        started = {order.task[:3] for order in self.world.take_starts()}
        self.assertEqual(started, {"new"})

    def test_a_list_from_before_the_takeover_is_not_trusted(self):
        self.world.region.is_worker_list_current = False
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.assertEqual(self.world.take_starts(), [])
        self.world.region.is_worker_list_current = True
        self.world.step(0.02)
        self.assertEqual(len(self.world.take_starts()), 2)

    def test_a_run_seen_meanwhile_is_adopted_and_the_rest_starts(self):
        self.world.list_workers(["w0", "w1", "w2"], synced=False)
        self.world.submit("a1", may_have_begun=True, budget_s=5.0)
        self.world.step(0.05)
        self.world.look("w2", running=(("a1.0.0.0", 1, 10.0),))
        for worker_id in ("w0", "w1"):
            self.world.look(worker_id)
        started = [order.task for order in self.world.take_starts()]
        self.assertEqual(started, ["a1.0.0.1"])

    def test_a_run_nobody_claims_is_stopped(self):
        self.world.look("w0", running=(("gone.0.0.0", 1, 10.0),))
        self.world.step(0.2)
        self.assertEqual(self.world.take_stops(), [])
        self.world.step(0.2)
        (order,) = self.world.take_stops()
        self.assertEqual((order.task, order.number), ("gone.0.0.0", 1))

    def test_a_job_that_comes_back_from_another_owner_may_have_begun(self):
        self.world.submit("f1", tasks=4, estimate_s=0.9, budget_s=9.0)
        self.world.submit("a1", slack_s=1.2, budget_s=2.0)
        self.world.submit("a1", may_have_begun=True, first_run=65)
        self.assertEqual(self.world.take_answers(), [])
        # Past the time in which it should have begun, within its budget.
        self.world.step(1.7)
        self.assertEqual(self.world.take_answers(), [])
        self.world.step(0.4)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_a_job_that_may_have_begun_is_never_refused_as_not_run(self):
        self.world.list_workers([])
        self.world.submit("a1", may_have_begun=True)
        (answer,) = self.world.take_answers()
        self.assertIs(answer.outcome, jobs.Outcome.GIVEN_UP)
