"""Tests of how probes of an added queue are checked against the changes."""

import unittest

from soak import configurations

CHANGES = [
    configurations.Change(float("-inf"), False),
    configurations.Change(10.0, True),
    configurations.Change(14.0, False),
]


def _probe(
    sent_s: float, status: int, process_id: int = 1
) -> configurations.Probe:
    return configurations.Probe("d1", process_id, sent_s, sent_s, status)


class RevertedTest(unittest.TestCase):
    """A process must never go back to an older configuration."""

    def _find(self, *probes: configurations.Probe) -> list[str]:
        return configurations.find_reverted(CHANGES, list(probes))

    def test_changes_in_order_are_allowed(self):
        probes = (_probe(9, 404), _probe(11, 404), _probe(12, 200))
        self.assertEqual(self._find(*probes, _probe(15, 404)), [])

    def test_going_back_is_a_violation(self):
        self.assertEqual(
            self._find(_probe(11, 200), _probe(12, 404)),
            ["d1 went back to an older configuration"],
        )

    def test_a_restarted_process_may_show_an_older_change(self):
        probes = (_probe(11, 200), _probe(12, 404, process_id=2))
        self.assertEqual(self._find(*probes), [])

    def test_other_answers_are_inconclusive(self):
        probes = (_probe(11, 200), _probe(12, 503), _probe(13, 0))
        self.assertEqual(self._find(*probes), [])


class LateTest(unittest.TestCase):
    """A change must be in force in time unless a fault interferes."""

    def _find(
        self, probe: configurations.Probe, is_disturbed: bool = False
    ) -> list[str]:
        return configurations.find_late_changes(
            CHANGES, [probe], lambda name, begin_s, end_s: is_disturbed
        )

    def test_both_answers_are_allowed_just_after_a_change(self):
        for status in (200, 404):
            self.assertEqual(self._find(_probe(11.0, status)), [])

    def test_only_the_newer_answer_is_allowed_later(self):
        self.assertEqual(self._find(_probe(12.5, 200)), [])
        (line,) = self._find(_probe(12.5, 404))
        self.assertIn("2.5 s after", line)

    def test_a_disturbed_daemon_may_be_late(self):
        self.assertEqual(self._find(_probe(12.5, 404), is_disturbed=True), [])
