"""Tests of decoding callers' jobs and encoding the responses."""

import json
import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.platform import callers
from pollenladder.platform import exceptions
from standins import site as sites

STEP = {"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900}
JOB = {"Spec": "(text)", "Steps": [STEP], "Preemptible": True}


def _encode(**changes: object) -> bytes:
    return json.dumps(JOB | changes).encode()


class JobBodyTest(unittest.TestCase):
    """A body is decoded, or rejected as unsupported or as invalid."""

    def test_valid_job(self):
        body = callers.decode_job(_encode())
        self.assertEqual(body.tasks, 4)
        self.assertEqual(body.resources, jobs.Resources(500, 256, 0))
        self.assertEqual(body.estimate_s, 0.9)

    def test_job_built_by_the_stand_in(self):
        self.assertEqual(callers.decode_job(sites.build_job(tasks=3)).tasks, 3)

    def test_estimates_are_within_what_tasks_can_take(self):
        # Guards against divisions by a run time, and against numbers that
        # overflow when they are multiplied.
        cases = (
            (None, 0.0),
            (0, 0.0),
            (1e-300, callers.MIN_ESTIMATE_S),
            (900, 0.9),
            (1e308, callers.MAX_ESTIMATE_S),
        )
        for estimate_ms, expected_s in cases:
            job = json.loads(sites.build_job())
            job["Steps"][0]["EstimateMs"] = estimate_ms
            if estimate_ms is None:
                del job["Steps"][0]["EstimateMs"]
            with self.subTest(estimate_ms=estimate_ms):
                found = callers.decode_job(json.dumps(job).encode())
                self.assertEqual(found.estimate_s, expected_s)

    def test_unsupported_features(self):
        cases = (
            {"Preemptible": False},
            {"Steps": [STEP, STEP]},
            {"Times": 3},
            {"Steps": [STEP | {"Gang": True}]},
            {"Steps": [STEP | {"LongRunning": True}]},
            {"Steps": [STEP | {"Requires": "b"}]},
            {"Steps": [STEP | {"AntiAffinity": 1}]},
            {"Steps": [STEP | {"Fills": True}]},
        )
        for changes in cases:
            with (
                self.subTest(changes=changes),
                self.assertRaises(exceptions.UnsupportedJobError),
            ):
                callers.decode_job(_encode(**changes))

    def test_invalid_bodies(self):
        cases = (
            b"",
            b"{",
            b"\xff",
            b"[]",
            _encode(Steps=[]),
            _encode(Steps=[STEP | {"Count": 0}]),
            _encode(Steps=[STEP | {"Count": "4"}]),
            _encode(Steps=[STEP | {"Cpu": -1}]),
            _encode(Spec=5),
            _encode(Spec="x" * 4001),
            # Nested too deeply, in a field that is ignored.
            _encode()[:-1]
            + b', "A": '
            + b"[" * 100_000
            + b"]" * 100_000
            + b"}",
        )
        for body in cases:
            with (
                self.subTest(body=body[:60]),
                self.assertRaises(exceptions.BadDocumentError),
            ):
                callers.decode_job(body)


class AnswerTest(unittest.TestCase):
    """The response status tells whether the job may have run."""

    def test_status_of_each_outcome(self):
        cases = (
            (jobs.Outcome.COMPLETED, 200),
            (jobs.Outcome.FAILED, 200),
            (jobs.Outcome.CANCELLED, 504),
            (jobs.Outcome.REFUSED, 429),
            (jobs.Outcome.GIVEN_UP, 504),
        )
        for outcome, status in cases:
            with self.subTest(outcome=outcome):
                answer = jobs.Answer("j", 1, outcome, jobs.Reason.DEADLINE, 2.0)
                self.assertEqual(callers.encode_answer(answer).status, status)

    def test_only_a_job_that_has_ended_is_answered_with_its_state(self):
        # Before, an unforeseen outcome became a 200 with a state that callers
        # can't read, as "cancelled" did.
        states = {
            json.loads(reply.body)["State"]
            for outcome in jobs.Outcome
            for reply in [
                callers.encode_answer(
                    jobs.Answer("j", 1, outcome, jobs.Reason.DEADLINE)
                )
            ]
            if 200 <= reply.status < 300
        }
        self.assertEqual(states, {"completed", "failed"})

    def test_unforeseen_outcome_is_not_encoded(self):
        answer = jobs.Answer("j", 1, "lost", jobs.Reason.DEADLINE)
        with self.assertRaises(AssertionError):
            callers.encode_answer(answer)

    def test_refusal_has_a_retry_delay(self):
        refused = jobs.Answer(
            "j", 1, jobs.Outcome.REFUSED, jobs.Reason.NO_ROOM_IN_TIME, 2.0
        )
        self.assertEqual(callers.encode_answer(refused).retry_after_s, 2.0)

    def test_time_budget_is_read_from_the_deadline_header(self):
        cases = (("1500", 1.5), ("", 9.0), ("soon", 9.0), ("-5", 9.0))
        for text, budget_s in cases:
            with self.subTest(text=text):
                environ = {callers.DEADLINE_VARIABLE: text}
                self.assertEqual(callers.read_budget_s(environ, 9.0), budget_s)
