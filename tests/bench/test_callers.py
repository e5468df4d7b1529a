"""Tests of the checks of answers in `bench.callers`."""

import unittest

from bench import callers
from tests.bench import jobs

GOOD = (jobs.make_result("t0", "a"), jobs.make_result("t1", "b"))
NOT_RUN = jobs.make_result("t0", "", "not_run", "overload")
FAILED = jobs.make_result("t1", "", "ran", "task_error")

# Name, outcome, results, number of crossed results, whether it is partial.
CASES = (
    ("whole", "complete", GOOD, 0, False),
    (
        "other's echo",
        "complete",
        (GOOD[0], jobs.make_result("t1", "x")),
        1,
        False,
    ),
    (
        "echoes swapped",
        "complete",
        (jobs.make_result("t0", "b"), jobs.make_result("t1", "a")),
        2,
        False,
    ),
    ("unknown task", "complete", (*GOOD, jobs.make_result("t9", "a")), 1, True),
    ("task missing", "complete", GOOD[:1], 0, True),
    ("task twice", "complete", (GOOD[0], GOOD[0]), 0, True),
    ("complete with a failed task", "complete", (GOOD[0], FAILED), 0, True),
    ("failed", "failed", (GOOD[0], FAILED), 0, False),
    ("refused", "refused", (), 0, False),
    ("refused and not run", "refused", (NOT_RUN,), 0, False),
    ("refused but ran", "refused", (GOOD[0],), 0, True),
)


class CheckAnswerTest(unittest.TestCase):
    def test_cases(self):
        request = jobs.make_request("a", "b")
        for name, outcome, results, crossed, partial in CASES:
            with self.subTest(name):
                answer = {
                    "job": "j",
                    "outcome": outcome,
                    "tasks": list(results),
                }
                found = callers.check_answer(request, 1.0, 200, None, answer)
                self.assertEqual(found.outcome, outcome)
                self.assertEqual(found.crossed, crossed)
                self.assertEqual(found.partial, partial)
                self.assertEqual(found.work_ms, 200)

    def test_body_without_a_known_outcome_is_an_error(self):
        request = jobs.make_request("a")
        for answer in ({}, {"error": {"code": "x"}}, {"outcome": "running"}):
            with self.subTest(answer):
                found = callers.check_answer(request, 1.0, 400, None, answer)
                self.assertEqual((found.outcome, found.status), ("error", 400))
