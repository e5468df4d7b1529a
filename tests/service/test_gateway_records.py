"""What a gateway tells of an attempt once its place is in doubt."""

import unittest

from pollenladder.cluster import messages
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import gateway_records
from pollenladder.service import open_jobs
from tests.scheduling import simulations

SECOND_ATTEMPT = 2


class GatewayRecordsTest(unittest.TestCase):
    """Guards against an overlap of which a gateway's log does not name the job."""

    def setUp(self):
        self.now = 100.0
        self.owner_id = "a"
        self.doubt: doubts.Doubt | None = None
        self.attempts = iter(range(1, 9999))
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: self.owner_id,
                get_ownerless_s=lambda group: 0.0,
                has_group=lambda group: True,
                count_groups=lambda: 2,
                choose_first_group=lambda *choice: "norte",
                rank_registrars=lambda job_id: ["sur"],
                reserve=self._reserve,
                choose_group=lambda *choice: "norte",
                list_passed_over=lambda job_id, group: (),
                tell_runs_elsewhere=lambda message: True,
                find_room=lambda submission, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=lambda owner_id, group, submission: True,
                cancel_attempt=lambda *cancellation: True,
                release=lambda group, job, attempt: None,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
                find_doubt=lambda job_id, group: self.doubt,
            ),
            lambda: self.now,
            lambda: next(self.attempts),
        )

    def _reserve(self, message: messages.Reserve) -> bool:
        """Answer like a registrar in this process that knows no other group."""
        reply = messages.Reserved(
            message.job_id, message.attempt, message.group, True
        )
        self.gateway.handle_reserved(reply, self.owner_id)
        return True

    def _submit(
        self,
        job_id: str = "a1",
        has_left: open_jobs.CallerCheck = open_jobs.never_leaves,
    ) -> open_jobs.OpenJob:
        return self.gateway.submit(
            simulations.build_submission(job_id), has_left
        )

    def _complete(self, job: open_jobs.OpenJob) -> None:
        answer = job.build_answer(jobs.Outcome.COMPLETED, jobs.Reason.ALL_DONE)
        self.gateway.handle_answer(answer, "a")

    def _tell(self) -> list[dict]:
        """Return what is told of attempts in a sweep."""
        with self.assertLogs(gateway_records.LOGGER, "INFO") as found:
            # There is always one line, as `assertLogs` fails without any.
            gateway_records.LOGGER.info("end")
            self.gateway.write_records()
        return [
            record.fields
            for record in found.records
            if record.getMessage() == "attempt_at_gateway"
        ]

    def _tell_one(self) -> dict:
        (line,) = self._tell()
        return line

    def test_attempt_that_is_not_in_doubt_is_not_told(self):
        self._complete(self._submit())
        self.assertEqual(self._tell(), [])

    def test_open_attempt_is_told_when_the_link_to_its_owner_changes(self):
        self._submit(has_left=lambda: False)
        self.now += 0.4
        self.gateway.handle_link_change("a")
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"link_changed", "peer_lost"})
        self.assertEqual(line["forwards"], [("a", "norte", 0.4)])
        self.assertEqual((line["callers"], line["callers_left"]), (1, False))
        self.assertIsNone(line["outcome"])

    def test_end_of_an_attempt_in_doubt_is_told(self):
        job = self._submit()
        self.gateway.handle_link_change("a")
        self._tell()
        self.now += 0.2
        self._complete(job)
        self.now += 0.1
        line = self._tell_one()
        self.assertEqual(line["ended_ago_s"], 0.1)
        self.assertEqual(line["outcome"], "completed")

    def test_attempt_whose_cancellation_may_be_lost_is_told(self):
        # The bounds of time are spent: the caller has left before the link did.
        self._submit()
        self.gateway.remove_waiter(self.gateway.open_jobs["a1"])
        self.assertEqual(self._tell(), [])
        self.now += 2.0
        self.gateway.handle_link_change("a")
        line = self._tell_one()
        self.assertEqual(line["reason"], "caller_left")
        self.assertEqual(line["ended_ago_s"], 2.0)

    def test_answered_attempt_is_told_if_its_caller_may_have_returned(self):
        # The clock starts too late: its caller was cut off, and the gateway answered.
        self._complete(self._submit())
        self.now += 2.0
        self.gateway.handle_link_change("far")
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"peer_lost"})
        self.assertEqual(line["outcome"], "completed")
        self.gateway.handle_link_change("far")
        self.assertEqual(self._tell(), [])

    def test_attempt_that_was_answered_before_the_silence_is_not_told(self):
        self._complete(self._submit())
        self.now += gateway_records.SILENCE_S + 0.01
        self.gateway.handle_link_change("far")
        self.assertEqual(self._tell(), [])

    def test_attempt_that_lasts_to_its_deadline_is_told(self):
        # The clock starts too late: the gateway does not know that its caller left.
        job = self._submit()
        self.now = job.deadline_at
        self.gateway.expire(self.now)
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"deadline"})
        self.assertEqual(line["callers"], 1)

    def test_caller_that_returns_while_its_attempt_is_open_is_told(self):
        self._submit()
        self.now += 1.3
        self._submit()
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"second_attempt"})
        self.assertEqual(line["requests"], 2)
        self.assertEqual(line["last_request_ago_s"], 0.0)

    def test_attempt_outside_its_home_group_is_told(self):
        self.doubt = doubts.Doubt.HOME_GROUP_PASSED_OVER
        self._submit()
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"home_group_passed_over"})

    def test_attempt_after_a_peer_was_lost_is_told_with_its_end(self):
        self.doubt = doubts.Doubt.PEER_LOST
        job = self._submit()
        self.assertEqual(len(self._tell()), 1)
        self._complete(job)
        line = self._tell_one()
        self.assertEqual(set(line["doubts"]), {"peer_lost"})
        self.assertEqual(line["outcome"], "completed")

    def test_attempt_that_moves_is_told_with_both_owners(self):
        # One attempt in two groups.
        self._submit()
        self.now += 0.1
        self.owner_id = "b"
        self.gateway.forward_open_jobs()
        line = self._tell_one()
        self.assertIn("moved", line["doubts"])
        owners = [owner for owner, _, _ in line["forwards"]]
        self.assertEqual(owners, ["a", "b"])

    def test_attempt_that_its_owner_rejects_is_told(self):
        job = self._submit()
        self.gateway.handle_not_owner("a1", job.attempt, "a")
        self.assertEqual(set(self._tell_one()["doubts"]), {"rejected"})

    def test_late_copy_is_told_with_the_attempt_that_was_answered(self):
        # The same request arrives again after its answer.
        self._complete(self._submit())
        self.now += 3.0
        self._submit()
        first, second = self._tell()
        self.assertEqual(first["outcome"], "completed")
        self.assertEqual(first["ended_ago_s"], 3.0)
        self.assertEqual(second["attempt"], SECOND_ATTEMPT)
        self.assertIsNone(second["outcome"])

    def test_body_of_an_answered_job_is_not_kept(self):
        # Guards against memory that grows with the bodies of all recent jobs.
        job = self._submit()
        self._complete(job)
        record = self.gateway._records._records["a1"]
        self.assertIsNone(record.job)

    def test_number_of_records_is_bounded(self):
        for number in range(gateway_records.MAX_RECORDS + 5):
            self._complete(self._submit(f"j{number}"))
        self.assertEqual(
            len(self.gateway._records), gateway_records.MAX_RECORDS
        )

    def test_attempts_of_an_owner_with_many_are_told_over_time(self):
        for number in range(150):
            self._submit(f"j{number}")
        self.gateway.handle_link_change("a")
        self.assertEqual(len(self._tell()), 100)
        self.assertEqual(self._tell(), [])
        self.now += 1.0
        self.assertEqual(len(self._tell()), 50)

    def test_record_that_cannot_be_told_does_not_hold_up_the_others(self):
        def fail() -> bool:
            raise ValueError

        self._submit("a1", fail)
        self._submit("b2")
        self.gateway.handle_link_change("a")
        self.assertEqual([line["job"] for line in self._tell()], ["b2"])
