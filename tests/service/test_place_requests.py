"""What a gateway asks the registrar of a job, and tells it."""

import itertools
import unittest

from pollenladder.cluster import messages
from pollenladder.jobs import entities as jobs
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import place_requests
from tests.scheduling import simulations

OWN, OTHER, REGISTRAR = "aarau/0", "bern/0", "olten/0"
ATTEMPT = 1


class PlaceRequestsTest(unittest.TestCase):
    """A gateway in aarau, and a job whose registrar is in olten."""

    def setUp(self):
        self.now = 100.0
        self.owners = {OWN: "a", OTHER: "b", REGISTRAR: "c"}
        # The group that the job goes to first, and the one that it should go to.
        self.first = OWN
        self.home = OWN
        self.ownerless_s = 9.0
        self.next_group = OTHER
        self.ranked = [REGISTRAR]
        self.groups = 3
        self.lookups = 0
        self.asked: list[messages.Reserve] = []
        self.sent: list[tuple[str, str]] = []
        self.submissions: list[jobs.Submission] = []
        self.owner_age_s = 9.0
        self.reserve_fails = False
        self.told: list[str] = []
        self.released: list[str] = []
        attempts = itertools.count(ATTEMPT)
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: self.owners.get(group, ""),
                get_ownerless_s=lambda group: (
                    0.0 if self.owners[group] else self.ownerless_s
                ),
                has_group=lambda group: group in self.owners,
                count_groups=lambda: self.groups,
                choose_first_group=self._choose_first_group,
                rank_registrars=self._rank_registrars,
                reserve=self._reserve,
                choose_group=lambda job, refused, needs_room: self.next_group,
                list_passed_over=lambda job_id, group: (
                    () if group == self.home else (self.home,)
                ),
                tell_runs_elsewhere=self._tell_runs_elsewhere,
                find_room=lambda job, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=self._submit,
                cancel_attempt=lambda *attempt: True,
                release=lambda group, *attempt: self.released.append(group),
                find_doubt=lambda job_id, group: None,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
                get_owner_age_s=lambda group: self.owner_age_s,
            ),
            lambda: self.now,
            lambda: next(attempts),
            resubmission_s=1.3,
            absence_s=1.5,
        )
        self.job = None

    def _choose_first_group(self, job_id: str, is_first: bool) -> str:
        return OTHER if is_first and not self.owners[OWN] else self.first

    def _rank_registrars(self, job_id: str) -> list[str]:
        self.lookups += 1
        return self.ranked

    def _reserve(self, message: messages.Reserve) -> bool:
        if self.reserve_fails:
            raise ValueError
        self.asked.append(message)
        return True

    def _tell_runs_elsewhere(self, message: messages.RunsElsewhere) -> bool:
        self.told.append(message.group)
        return True

    def _submit(
        self, owner_id: str, group: str, submission: jobs.Submission
    ) -> bool:
        self.sent.append((owner_id, group))
        self.submissions.append(submission)
        return True

    def _submit_job(self) -> None:
        submission = simulations.build_submission("a1", budget_s=9.0)
        self.job = self.gateway.submit(submission)

    def _reply(
        self, group: str, sender: str = "c", is_first: bool = True
    ) -> None:
        is_first = group == OWN and is_first
        reply = messages.Reserved("a1", ATTEMPT, group, is_first)
        self.gateway.handle_reserved(reply, sender)

    def _refuse(self, sender: str) -> None:
        reason = jobs.Reason.NO_ROOM_IN_TIME
        answer = jobs.Answer("a1", ATTEMPT, jobs.Outcome.REFUSED, reason)
        self.gateway.handle_answer(answer, sender)

    def _sweep(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.gateway.forward_open_jobs()

    def test_job_waits_for_its_registrar(self):
        self._submit_job()
        self._sweep()
        self.assertEqual(self.sent, [])
        self.assertEqual([m.group for m in self.asked], [OWN])
        self._reply(OWN)
        self.assertEqual(self.sent, [("a", OWN)])

    def test_job_joins_the_attempt_in_another_data_centre(self):
        # Guards against two data centres that execute one job.
        self._submit_job()
        self._reply(OTHER)
        self._sweep()
        self.assertEqual(self.sent, [("b", OTHER)])

    def test_job_does_not_wait_for_a_silent_registrar(self):
        # Guards against callers that pay for a cut that was not noticed yet.
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self.assertEqual(self.sent, [("a", OWN)])

    def test_job_does_not_wait_for_a_registrar_without_an_owner(self):
        self.owners[REGISTRAR] = ""
        self._submit_job()
        self.assertEqual(self.sent, [("a", OWN)])

    def test_job_waits_for_a_registrar_that_was_just_lost(self):
        # Guards against a reset of all links.
        self.owners[REGISTRAR], self.ownerless_s = "", 0.01
        self._submit_job()
        self.assertEqual(self.sent, [])
        self.owners[REGISTRAR] = "c"
        self._sweep()
        self._reply(OTHER)
        self.assertEqual(self.sent, [("b", OTHER)])

    def test_only_group_needs_no_registrar(self):
        self.groups = 1
        self._submit_job()
        self.assertEqual(self.sent, [("a", OWN)])
        self.assertEqual(self.asked, [])

    def test_first_attempt_does_not_wait_for_the_owner_of_its_group(self):
        self.owners[OWN] = ""
        self._submit_job()
        self._reply(OWN)
        self.assertEqual(self.sent, [("b", OTHER)])
        # The registrar knows where it is.
        self.assertEqual(self.asked[-1].group, OTHER)
        self.assertTrue(self.asked[-1].is_there)

    def test_next_owner_of_the_registrar_is_told(self):
        self._submit_job()
        self._reply(OWN)
        self.owners[REGISTRAR] = "d"
        self._sweep()
        self._sweep()
        told = [m for m in self.asked if m.is_there]
        self.assertEqual(
            [(m.registrar, m.group) for m in told], [(REGISTRAR, OWN)]
        )

    def test_registrar_is_told_again_over_a_new_link(self):
        self._submit_job()
        self._reply(OWN)
        self.gateway.handle_link_change("c")
        self._sweep()
        self.assertEqual([m.is_there for m in self.asked], [False, True])

    def test_late_reply_ends_a_job_that_is_in_two_groups(self):
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self._reply(OTHER)
        self.assertIs(self.job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_reply_of_another_daemon_is_ignored(self):
        self._submit_job()
        self._reply(OTHER, sender="x")
        self.assertEqual(self.sent, [])

    def test_job_elsewhere_without_an_owner_is_not_refused(self):
        # Guards against "not run" for a job of which an attempt may have begun.
        self._submit_job()
        self.owners[OTHER] = ""
        self._reply(OTHER)
        self.gateway.expire(self.now + 8.9)
        self.assertIs(self.job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_group_of_the_data_centre_is_told_of_a_job_elsewhere(self):
        # Guards against a third attempt that starts there behind a cut.
        self._submit_job()
        self._reply(OTHER)
        self._sweep()
        self.assertEqual(self.told, [OWN])

    def test_registrar_forgets_a_refused_job(self):
        # Guards against a job that returns to a group that has refused it.
        self._submit_job()
        self._reply(OWN)
        answer = jobs.Answer(
            "a1",
            ATTEMPT,
            jobs.Outcome.REFUSED,
            jobs.Reason.QUEUE_CRASHES_WORKERS,
        )
        self.gateway.handle_answer(answer, "a")
        self.assertIn(REGISTRAR, self.released)

    def test_group_that_was_told_otherwise_may_get_a_refused_job(self):
        # Guards against an owner that takes the attempt for one of another group.
        self._submit_job()
        self._reply(OTHER)
        self._sweep()
        self.next_group = OWN
        answer = jobs.Answer(
            "a1", ATTEMPT, jobs.Outcome.REFUSED, jobs.Reason.NO_ROOM_IN_TIME
        )
        self.gateway.handle_answer(answer, "b")
        self.assertEqual(self.released, [OWN])
        self.assertEqual(self.sent, [("b", OTHER), ("a", OWN)])

    def test_second_attempt_waits_for_the_next_owner_of_its_group(self):
        # Guards against another group that starts the job while runs are left.
        self.owners[OWN] = ""
        self._submit_job()
        self._reply(OWN, is_first=False)
        self._sweep()
        self.assertEqual(self.sent, [])
        self.owners[OWN] = "d"
        self._sweep()
        self.assertEqual(self.sent, [("d", OWN)])

    def test_registrar_and_first_group_of_a_new_layout_are_told(self):
        # Guards against a second attempt in a group that the id now belongs to.
        self._submit_job()
        self._reply(OTHER)
        self._sweep()
        self.asked.clear()
        self.told.clear()
        self.gateway.handle_groups_change()
        self.job.told_elsewhere.clear()
        self._sweep()
        self.assertEqual([m.group for m in self.asked], [OTHER])
        self.assertEqual(self.told, [OWN])

    def test_job_elsewhere_is_not_refused_as_the_daemon_stops(self):
        # Guards against "not run" for a job of which an attempt may have begun.
        self._submit_job()
        self.owners[OTHER] = ""
        self._reply(OTHER)
        self.gateway.give_up_all()
        self.assertIs(self.job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_reply_does_not_start_a_job_whose_caller_has_left(self):
        # Guards against a daemon that was paused and reads the reply before it
        # reads that the caller has left.
        submission = simulations.build_submission("a1", budget_s=9.0)
        self.job = self.gateway.submit(submission, lambda: True)
        self._reply(OWN)
        self.assertEqual(self.sent, [])
        self.assertIs(self.job.answer.outcome, jobs.Outcome.CANCELLED)

    def test_late_first_reply_for_an_earlier_choice_ends_nothing(self):
        # Guards against a 504 for a job of which there is only one attempt: the
        # registrar confirms the group that the gateway had asked for at first.
        self.owners[OWN], self.first = "", OTHER
        self._submit_job()
        self.owners[OWN], self.first = "a", OWN
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self.assertEqual(self.sent, [("a", OWN)])
        reply = messages.Reserved("a1", ATTEMPT, OTHER, is_first=True)
        self.gateway.handle_reserved(reply, "c")
        self.assertIsNone(self.job.answer)

    def test_late_reply_ends_a_refused_job_that_is_in_two_groups(self):
        # Guards against two data centres that execute one job: the first group has
        # refused the second attempt before the registrar has replied.
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self._refuse("a")
        self.assertEqual(self.sent, [("a", OWN), ("b", OTHER)])
        reply = messages.Reserved("a1", ATTEMPT, REGISTRAR, is_first=False)
        self.gateway.handle_reserved(reply, "c")
        self.assertIs(self.job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_late_reply_that_names_a_group_that_has_refused_ends_nothing(self):
        # A group that has refused a job does not start another attempt of it.
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self._refuse("a")
        self._reply(OWN, is_first=False)
        self.assertIsNone(self.job.answer)

    def test_registrar_that_claims_again_is_told(self):
        # Guards against a registrar that has resigned and lost its table.
        self._submit_job()
        self._reply(OWN)
        self.owners[REGISTRAR] = ""
        self._sweep()
        self.owners[REGISTRAR] = "c"
        self._sweep()
        self.assertEqual([m.is_there for m in self.asked], [False, True])

    def test_group_whose_owner_claims_again_is_told(self):
        # Guards against an owner that has resigned and lost its table.
        self._submit_job()
        self._reply(OTHER)
        self._sweep()
        self.owners[OWN] = ""
        self._sweep()
        self.owners[OWN] = "a"
        self._sweep()
        self.assertEqual(self.told, [OWN, OWN])

    def test_registrar_without_an_owner_is_looked_up_once_for_a_job(self):
        # Guards against sweeps that hash the id of each open job for each group.
        self.owners[REGISTRAR] = ""
        self._submit_job()
        for _ in range(10):
            self._sweep(0.03)
        self.assertEqual(self.lookups, 1)
        self.gateway.handle_groups_change()
        self._sweep(0.03)
        self.assertEqual(self.lookups, 2)

    def test_next_registrar_is_told_of_a_job_whose_caller_has_just_left(self):
        # Guards against a caller that returns to another data centre before the
        # runs of its first attempt are over.
        self._submit_job()
        self._reply(OWN)
        self.gateway.remove_waiter(self.job)
        self.owners[REGISTRAR] = "d"
        self._sweep()
        self._sweep()
        told = [(m.group, m.is_there) for m in self.asked]
        self.assertEqual(told, [(OWN, False), (OWN, True)])

    def test_next_registrar_is_told_of_a_job_past_its_deadline(self):
        self._submit_job()
        self._reply(OWN)
        self.now += 9.1
        self.gateway.expire(self.now)
        self.owners[REGISTRAR] = "d"
        self._sweep()
        self.assertEqual(len(self.asked), 2)
        self.assertEqual(self.asked[1].budget_s, 0.0)

    def test_next_registrar_is_not_told_once_no_run_can_be_left(self):
        self._submit_job()
        self._reply(OWN)
        self.gateway.remove_waiter(self.job)
        self.owners[REGISTRAR] = "d"
        self._sweep(1.6)
        self.assertEqual(len(self.asked), 1)

    def test_next_registrar_is_asked_if_the_first_one_is_silent(self):
        # Guards against two gateways that are both cut off from the registrar.
        self.ranked = [REGISTRAR, OTHER]
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self.assertEqual([m.registrar for m in self.asked], [REGISTRAR, OTHER])
        self.assertEqual(self.sent, [])
        self._reply(OTHER, sender="b")
        self.assertEqual(self.sent, [("b", OTHER)])

    def test_next_registrar_is_asked_if_the_first_one_has_no_owner(self):
        self.ranked = [REGISTRAR, OTHER]
        self.owners[REGISTRAR] = ""
        self._submit_job()
        self.assertEqual([m.registrar for m in self.asked], [OTHER])

    def test_next_registrar_learns_of_jobs_if_the_first_one_is_silent(self):
        # Guards against a registrar that knows of no job from before a cut.
        self.ranked = [REGISTRAR, OTHER]
        self._submit_job()
        self._reply(OWN)
        submission = simulations.build_submission("b1", budget_s=9.0)
        self.gateway.submit(submission)
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self._sweep()
        told = [m for m in self.asked if m.job_id == "a1" and m.is_there]
        self.assertEqual([m.registrar for m in told], [OTHER])

    def test_later_jobs_do_not_wait_for_a_silent_registrar(self):
        # Guards against callers that all pay for a cut that was not noticed yet.
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self.sent.clear()
        submission = simulations.build_submission("b1", budget_s=9.0)
        self.gateway.submit(submission)
        self.assertEqual(self.sent, [("a", OWN)])

    def test_job_does_not_wait_for_registrar_after_registrar(self):
        self.ranked = [REGISTRAR, OTHER, OWN]
        self._submit_job()
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self._sweep(place_requests.REPLY_TIMEOUT_S)
        self.assertEqual(self.sent, [("a", OWN)])

    def test_registrar_that_knows_another_attempt_ends_this_one(self):
        # Guards against two attempts that a new registrar is told of.
        self._submit_job()
        self._reply(OWN)
        reply = messages.Reserved("a1", ATTEMPT, OTHER, is_first=False)
        self.gateway.handle_reserved(reply, "c")
        self.assertIs(self.job.answer.outcome, jobs.Outcome.GIVEN_UP)

    def test_second_attempt_may_have_begun_under_an_earlier_owner(self):
        # Guards against a new owner that starts a job beside the run of its first
        # attempt on a worker that it has not reached.
        self.owner_age_s = 0.1
        self._submit_job()
        self._reply(OWN, is_first=False)
        self.assertTrue(self.submissions[0].may_have_begun)

    def test_owner_for_long_knows_the_runs_of_a_second_attempt(self):
        # Guards against jobs that wait for the list of workers at each return.
        self._submit_job()
        self._reply(OWN, is_first=False)
        self.assertFalse(self.submissions[0].may_have_begun)

    def test_first_attempt_at_a_new_owner_has_not_begun(self):
        self.owner_age_s = 0.1
        self._submit_job()
        self._reply(OWN)
        self.assertFalse(self.submissions[0].may_have_begun)

    def test_next_owner_of_the_registrar_is_told_of_a_job_whose_caller_has_left(
        self,
    ):
        # Guards against a second attempt that counts as the first one, though runs
        # are left on a worker that the stop has not reached.
        submission = simulations.build_submission("a1", budget_s=9.0)
        job = self.gateway.submit(submission)
        self._reply(OWN)
        self.gateway.remove_waiter(job)
        self.owners[REGISTRAR] = "d"
        self._sweep(0.1)
        self.assertEqual([m.is_there for m in self.asked], [False, True])
        self.assertLess(self.asked[-1].budget_s, 2.0)

    def test_failure_to_tell_a_registrar_does_not_hold_up_the_job(self):
        # Guards against a sweep that ends before it comes to the other jobs.
        self._submit_job()
        self._reply(OWN)
        self.gateway.handle_link_change("c")
        self.reserve_fails = True
        self.owners[OWN] = "d"
        self._sweep()
        self.assertEqual(self.sent, [("a", OWN), ("d", OWN)])

    def test_registrar_of_a_new_layout_is_told(self):
        # Guards against another first group and another registrar, which do not
        # know of the attempt that goes on in a group of the layout before.
        self._submit_job()
        self._reply(OWN)
        self.ranked = [OTHER]
        self.gateway.handle_groups_change()
        self._sweep()
        self._sweep()
        told = [(m.registrar, m.group, m.is_there) for m in self.asked]
        self.assertEqual(told[1:], [(OTHER, OWN, True)])

    def test_first_group_of_a_new_layout_is_told(self):
        # Guards against a second run in the group that the job now goes to first.
        self._submit_job()
        self._reply(OWN)
        self.home = OTHER
        self.gateway.handle_groups_change()
        self._sweep()
        self._sweep()
        self.assertEqual(self.sent, [("a", OWN)])
        self.assertEqual(self.told, [OTHER])
