"""Tests of the verdicts."""

import unittest

from pollenladder.core import verdicts


class VerdictTest(unittest.TestCase):
    def test_only_not_run_allows_a_retry(self):
        retriable = [v for v in verdicts.Verdict if v.allows_retry()]
        self.assertEqual(retriable, [verdicts.Verdict.NOT_RUN])
