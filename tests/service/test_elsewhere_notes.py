"""Jobs in another group than their home group, and what its owner is told."""

import itertools
import unittest

import gevent

from pollenladder.cluster import messages
from pollenladder.jobs import entities as jobs
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import open_jobs
from tests.scheduling import simulations

HOME, OTHER = "aarau/0", "bern/0"
# The registrar of the job.
UNREACHABLE = "olten/0"
RESUBMISSION_S = 1.3
BUDGET_S = 1.55
ABSENCE_S = 1.5
SWEEPS = 5


class ElsewhereNotesTest(unittest.TestCase):
    """A gateway of a site with two groups."""

    def setUp(self):
        self.now = 100.0
        # The group that jobs first go to, as the gateway knows the owners.
        self.first = HOME
        self.owners = {HOME: "a", OTHER: "b"}
        self.sent: list[tuple[str, str]] = []
        self.told: list[tuple[str, str]] = []
        self.released: list[str] = []
        self.unlinked: set[str] = set()
        attempts = itertools.count(1)
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: self.owners.get(group, ""),
                get_ownerless_s=lambda group: (
                    0.0 if self.owners.get(group) else 9.0
                ),
                has_group=lambda group: group in self.owners,
                count_groups=lambda: 2,
                choose_first_group=lambda job_id, is_first: self.first,
                rank_registrars=lambda job_id: [UNREACHABLE],
                reserve=lambda message: False,
                choose_group=self._choose_group,
                list_passed_over=lambda job_id, group: (
                    () if group == HOME else (HOME,)
                ),
                tell_runs_elsewhere=self._tell,
                find_room=lambda job, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=self._submit,
                cancel_attempt=lambda *attempt: True,
                release=lambda group, job, attempt: self.released.append(group),
                find_doubt=lambda job_id, group: None,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: self.now,
            lambda: next(attempts),
            RESUBMISSION_S,
            ABSENCE_S,
        )

    def _choose_group(
        self, job: jobs.Submission, refused: frozenset[str], needs_room: bool
    ) -> str:
        return next((n for n in self.owners if n not in refused), "")

    def _tell(self, message: messages.RunsElsewhere) -> bool:
        owner_id = self.owners[message.group]
        if owner_id in self.unlinked:
            return False
        self.told.append((message.group, owner_id))
        return True

    def _submit(
        self, owner_id: str, group: str, submission: jobs.Submission
    ) -> bool:
        self.sent.append((owner_id, group))
        return True

    def _submit_job(self, **changes: object) -> open_jobs.OpenJob:
        changes = {"budget_s": BUDGET_S, "estimate_s": 0.3} | changes
        return self.gateway.submit(
            simulations.build_submission("a1", **changes)
        )

    def _answer(self, outcome: jobs.Outcome, sender: str) -> None:
        reason = jobs.Reason.NO_ROOM_IN_TIME
        self.gateway.handle_answer(
            jobs.Answer("a1", 1, outcome, reason), sender
        )

    def _send_to_other_group(self) -> open_jobs.OpenJob:
        """Submit a job while its home group has no owner."""
        self.first, self.owners[HOME] = OTHER, ""
        job = self._submit_job()
        self.now += BUDGET_S - RESUBMISSION_S + 0.4
        self.gateway.forward_open_jobs()
        return job

    def test_job_in_its_home_group_is_no_news(self):
        self._submit_job()
        self.gateway.forward_open_jobs()
        self.assertEqual(self.sent, [("a", HOME)])
        self.assertEqual(self.told, [])

    def test_other_group_gets_a_job_once_an_earlier_attempt_is_over(self):
        # Guards against an attempt whose gateway has not noticed that its caller
        # has left.
        self.first, self.owners[HOME] = OTHER, ""
        self._submit_job()
        self.now += BUDGET_S - RESUBMISSION_S
        self.gateway.forward_open_jobs()
        self.assertEqual(self.sent, [])
        self.now += 0.4
        self.gateway.forward_open_jobs()
        self.assertEqual(self.sent, [("b", OTHER)])

    def test_job_that_would_have_to_wait_for_too_long_is_refused_at_once(self):
        self.first, self.owners[HOME] = OTHER, ""
        job = self._submit_job(budget_s=9.0)
        self.gateway.expire(self.now)
        self.assertIs(job.answer.outcome, jobs.Outcome.REFUSED)
        self.assertEqual(self.sent, [])

    def test_waiting_job_goes_to_its_home_group_once_that_has_an_owner(self):
        self.first, self.owners[HOME] = HOME, ""
        self._submit_job()
        self.assertEqual(self.sent, [])
        self.owners[HOME] = "a"
        self.gateway.forward_open_jobs()
        self.assertEqual(self.sent, [("a", HOME)])

    def test_owner_of_the_home_group_is_told_once_there_is_one(self):
        # Guards against a second attempt that starts there beside the first one.
        self._send_to_other_group()
        self.assertEqual(self.told, [])
        self.owners[HOME] = "a"
        self.gateway.forward_open_jobs()
        self.gateway.forward_open_jobs()
        self.assertEqual(self.told, [(HOME, "a")])

    def test_next_owner_of_the_home_group_is_told_of_a_refused_job(self):
        # Guards against an owner that does not know what the one before refused.
        self._submit_job()
        self._answer(jobs.Outcome.REFUSED, "a")
        self.gateway.forward_open_jobs()
        self.assertEqual(self.sent, [("a", HOME), ("b", OTHER)])
        self.assertEqual(self.told, [])
        self.owners[HOME] = "c"
        self.gateway.forward_open_jobs()
        self.assertEqual(self.told, [(HOME, "c")])

    def test_owner_is_told_again_over_a_new_link(self):
        self._send_to_other_group()
        self.owners[HOME] = "a"
        self.unlinked = {"a"}
        self.gateway.forward_open_jobs()
        self.assertEqual(self.told, [])
        self.unlinked = set()
        self.gateway.forward_open_jobs()
        self.gateway.handle_link_change("a")
        self.gateway.forward_open_jobs()
        self.assertEqual(self.told, [(HOME, "a")] * 2)

    def test_home_group_is_released_once_the_job_is_complete(self):
        self._send_to_other_group()
        self.owners[HOME] = "a"
        self.gateway.forward_open_jobs()
        self._answer(jobs.Outcome.COMPLETED, "b")
        self.assertEqual(self.released, [HOME])

    def test_next_owner_is_told_of_a_job_whose_caller_has_just_left(self):
        # Guards against a caller that returns at once, before the runs of its
        # first attempt are stopped.
        job = self._submit_job()
        self._answer(jobs.Outcome.REFUSED, "a")
        self.gateway.remove_waiter(job)
        self.owners[HOME] = "c"
        self.gateway.forward_open_jobs()
        self.assertEqual(self.told, [(HOME, "c")])

    def test_next_owner_is_told_by_a_gateway_without_open_jobs(self):
        # Guards against a gateway that sleeps while its last job may have runs.
        running = gevent.spawn(self.gateway.run)
        self.addCleanup(running.kill)
        job = self._submit_job()
        self._answer(jobs.Outcome.REFUSED, "a")
        self.gateway.remove_waiter(job)
        gevent.sleep(SWEEPS * gateways.SWEEP_INTERVAL_S)
        self.owners[HOME] = "c"
        gevent.sleep(SWEEPS * gateways.SWEEP_INTERVAL_S)
        self.assertEqual(self.told, [(HOME, "c")])

    def test_next_owner_is_not_told_once_no_run_can_be_left(self):
        job = self._submit_job()
        self._answer(jobs.Outcome.REFUSED, "a")
        self.gateway.remove_waiter(job)
        self.now += ABSENCE_S + 0.1
        self.owners[HOME] = "c"
        self.gateway.forward_open_jobs()
        self.assertEqual(self.told, [])

    def test_job_that_waits_for_another_group_returns_to_its_own(self):
        # Guards against a run beside that of another attempt, which went there.
        self.first, self.owners[HOME] = OTHER, ""
        self._submit_job()
        self.first, self.owners[HOME] = HOME, "a"
        self.now += BUDGET_S - RESUBMISSION_S + 0.4
        self.gateway.forward_open_jobs()
        self.assertEqual(self.sent, [("a", HOME)])
