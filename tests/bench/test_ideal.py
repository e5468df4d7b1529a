"""Tests of `bench.ideal`, with responses computed by hand."""

import unittest

from bench import ideal
from tests.bench import jobs

# Name, slots, jobs as (arrival in s, run times in ms), responses in seconds.
CASES = (
    ("one task", 1, [(0.0, 100)], [0.1]),
    ("two at once", 2, [(0.0, 100, 300)], [0.3]),
    ("two in turn", 1, [(0.0, 100, 300)], [0.4]),
    ("longest first", 2, [(0.0, 100, 100, 200)], [0.2]),
    ("no early start", 1, [(1.0, 100)], [0.1]),
    ("jobs in order", 1, [(0.0, 1000), (0.1, 100)], [1.0, 1.0]),
    ("gap between", 1, [(0.0, 100), (5.0, 200)], [0.1, 0.2]),
    ("a later job fills up", 2, [(0.0, 1000, 200), (0.1, 300)], [1.0, 0.4]),
    (
        "a later job does not pass",
        2,
        [(0.0, 500, 500, 500), (0.0, 1)],
        [1, 0.501],
    ),
)


class ReplayTest(unittest.TestCase):
    def test_cases(self):
        for name, slots, job_rows, expected in CASES:
            with self.subTest(name):
                found = ideal.replay(
                    [jobs.make_job(*job) for job in job_rows], slots
                )
                self.assertEqual([round(one, 6) for one in found], expected)
