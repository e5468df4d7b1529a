"""Tests of verdicts."""

import unittest

from pollenladder.core import verdicts


class VerdictTest(unittest.TestCase):
    def test_only_not_run_allows_a_retry(self):
        retried = [v for v in verdicts.Verdict if v.allows_retry()]
        self.assertEqual(retried, [verdicts.Verdict.NOT_RUN])
