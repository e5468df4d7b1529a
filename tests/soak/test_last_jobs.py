"""Tests of the last check of a soak round."""

import types
import unittest

from soak import clusters
from soak import last_jobs


class _Submitter:
    """Gives each call the next one of some replies; the last one stays."""

    def __init__(self, *statuses: int):
        self._statuses = list(statuses)
        self.calls = 0

    def submit(self, daemon_id: str, timeout_s: float):
        self.calls += 1
        status = self._statuses[0]
        if len(self._statuses) > 1:
            del self._statuses[0]
        return types.SimpleNamespace(reply=clusters.Reply(status))


class SubmitUntilServedTest(unittest.TestCase):
    """Guards against a shed job that is taken for a daemon that does not serve."""

    def _submit(self, submitter: _Submitter) -> int:
        call = last_jobs.submit_until_served(submitter, "d1", 1.5)
        return call.reply.status

    def test_caller_returns_after_a_refusal(self):
        self.assertEqual(self._submit(_Submitter(429, 200)), 200)

    def test_daemon_that_only_refuses_does_not_serve(self):
        submitter = _Submitter(429)
        self.assertEqual(self._submit(submitter), 429)
        self.assertEqual(submitter.calls, 2)

    def test_failure_is_not_repeated(self):
        submitter = _Submitter(504, 200)
        self.assertEqual(self._submit(submitter), 504)
        self.assertEqual(submitter.calls, 1)
