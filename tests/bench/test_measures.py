"""Tests of `bench.measures`."""

import unittest

from bench import measures
from bench import runs
from bench import sampling
from tests.bench import jobs

# Name, offered work by customer, capacity, expected fair shares.
FAIR_CASES = (
    ("enough for all", {"a": 3, "b": 4}, 10, {"a": 3, "b": 4}),
    ("equal", {"a": 9, "b": 9}, 10, {"a": 5, "b": 5}),
    ("the small one is served", {"a": 20, "b": 2}, 10, {"a": 8, "b": 2}),
    ("in steps", {"a": 9, "b": 4, "c": 1}, 10, {"a": 5, "b": 4, "c": 1}),
)


class RatiosTest(unittest.TestCase):
    def test_ratio_counts_one_round_trip(self):
        outcome = jobs.make_outcome(response_s=1.1)
        self.assertAlmostEqual(
            measures.compute_ratio(outcome, 0.99, 0.005), 1.1
        )

    def test_percentiles_and_late_share(self):
        found = measures.summarize_ratios([1.0] * 97 + [1.2] + [2.0] * 2)
        self.assertEqual(found.answers, 100)
        self.assertAlmostEqual(found.p50, 1.0, delta=0.002)
        self.assertAlmostEqual(found.p99, 2.0, delta=0.004)
        self.assertEqual(found.late_share, 0.02)

    def test_no_answers(self):
        self.assertEqual(measures.summarize_ratios([]).late_share, 0.0)


class CountsTest(unittest.TestCase):
    def test_outcomes(self):
        outcomes = [
            jobs.make_outcome(),
            jobs.make_outcome("failed", crossed=2),
            jobs.make_outcome("lost", partial=True),
        ]
        counts = measures.count_outcomes(outcomes)
        expected = {"jobs": 3, "complete": 1, "failed": 1, "lost": 1}
        self.assertEqual(expected, {k: counts[k] for k in expected})
        self.assertEqual((counts["crossed"], counts["partial"]), (2, 1))

    def test_fair_shares(self):
        for name, offered, capacity, expected in FAIR_CASES:
            with self.subTest(name):
                found = measures.compute_fair_shares(offered, capacity)
                self.assertEqual(found, expected)

    def test_fairness_by_customer(self):
        outcomes = [jobs.make_outcome()] * 3 + [jobs.make_outcome("refused")]
        outcomes += [jobs.make_outcome("complete", "second")] * 2
        found = measures.summarize_fairness(outcomes, 4, 1.0)
        self.assertEqual(found["first"]["offered"], 4)
        self.assertEqual(found["first"]["complete_over_fair"], 1.5)
        self.assertEqual(found["second"]["complete_over_fair"], 1.0)

    def test_refusals_without_retry_after_are_counted(self):
        outcomes = [
            jobs.make_outcome("refused", retry_after_s=1.0, response_s=0.1),
            jobs.make_outcome("refused", response_s=0.3),
        ]
        found = measures.summarize_refusals(outcomes)
        self.assertEqual(found["without_retry_after"], 1)
        self.assertEqual(found["max_s"], 0.3)


class MessagesTest(unittest.TestCase):
    def test_needed_messages_are_not_wasted(self):
        # One job of 10 tasks: one answer, and a start and a reply per task.
        sent = {"http_answer": 1, "start": 10}
        found = measures.summarize_messages(sent, 10, 1, 10)
        self.assertEqual(found["wasted_per_task"], 0.0)

    def test_refused_starts_and_forwarded_jobs_are_wasted(self):
        sent = {"http_answer": 1, "start": 14, "hand_on": 1, "answer": 1}
        found = measures.summarize_messages(sent, 14, 1, 10)
        self.assertEqual(found["wasted_per_task"], 1.0)
        self.assertEqual(found["by_kind_per_task"]["start"], 1.4)

    def test_answers_to_metrics_requests_are_excluded(self):
        found = runs.exclude_metrics_answers({"http_answer": 9, "start": 3}, 7)
        self.assertEqual(found, {"http_answer": 2, "start": 3})
        self.assertEqual(
            runs.exclude_metrics_answers({"job": 1}, 7), {"job": 1}
        )


class SamplesTest(unittest.TestCase):
    def test_mean_within_a_time_window(self):
        samples = [(0.0, 100), (1.0, 10), (2.0, 20), (9.0, 100)]
        self.assertEqual(sampling.compute_mean(samples, 0.5, 2.5), 15)
        self.assertEqual(sampling.compute_mean([], 0.0, 1.0), 0.0)

    def test_nested_counters_are_subtracted(self):
        before = {"a": 1, "refused": {"busy": 1}}
        after = {"a": 4, "refused": {"busy": 3, "fenced": 2}}
        increases = {"a": 3, "refused": {"busy": 2, "fenced": 2}}
        self.assertEqual(runs.subtract(after, before), increases)
