"""Tests of the counts of jobs that were not served in time, from logs."""

import json
import pathlib
import tempfile
import unittest

from pollenladder.logs import events
from pollenladder.logs import explanations
from pollenladder.logs import losses
from tests.management import test_commands


def _build_line(second: float, event: str, **fields: object):
    return explanations.Line(
        f"2026-01-01T00:00:{second:06.3f}Z",
        "front-1",
        events.EVENTS[event],
        fields,
    )


def _answer(second: float, job: str, outcome: str, reason: str):
    return _build_line(
        second,
        "job_answered",
        job=job,
        queue="orders",
        outcome=outcome,
        reason=reason,
    )


LINES = (
    _answer(1.9, "a", "refused", "no_owner"),
    _answer(2.1, "b", "refused", "no_owner"),
    _answer(2.2, "c", "refused", "no_owner"),
    _answer(2.3, "d", "completed", "all_done"),
    _build_line(2.3, "job_ended", job="e", in_time=False),
    _answer(2.4, "e", "completed", "all_done"),
)


class LossesTest(unittest.TestCase):
    """Each job counts once, in the window of its answer.

    Guards against an account of an outage that does not add up to the jobs that
    were lost.
    """

    def test_jobs_are_counted_by_window_and_reason(self):
        report = losses.count_losses(LINES, 2.0)
        self.assertEqual(report.answered, 5)
        found = [(x.begin[17:19], x.outcome, x.jobs) for x in report.losses]
        self.assertEqual(
            found,
            [("00", "refused", 1), ("02", "late", 1), ("02", "refused", 2)],
        )

    def test_line_without_a_field_is_skipped(self):
        line = _build_line(1.0, "job_answered", job="a")
        self.assertEqual(losses.count_losses((line,), 2.0).answered, 0)

    def test_command_prints_the_total(self):
        line = {
            "time": "2026-01-01T00:00:01.000Z",
            "level": "INFO",
            "daemon": "front-1",
            "event": "job_answered",
            "job": "a",
            "queue": "orders",
            "outcome": "refused",
            "reason": "no_owner",
            "group": "",
            "owner": "",
            "took_s": 0.1,
            "retry_after_s": 1.0,
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.log"
            path.write_text(json.dumps(line) + "\n")
            simulation = test_commands.Simulation()
            code, output, _ = simulation.run(f"losses {path}")
        self.assertEqual(code, 0)
        self.assertIn("1 of 1 jobs not served in time", output)
