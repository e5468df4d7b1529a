"""Tests of explaining a request's outcome from logs."""

import json
import pathlib
import tempfile
import unittest

from cleo.io.inputs import string_input
from cleo.io.outputs import buffered_output

from pollenladder.logs import exceptions
from pollenladder.logs import explanations
from pollenladder.management import application
from pollenladder.management import environment
from pollenladder.management import exit_codes


def _line(second: int, daemon: str, event: str, **fields: object) -> str:
    time = f"2026-12-04T00:00:{second:02}.000Z"
    base = {"time": time, "level": "INFO", "daemon": daemon, "event": event}
    return json.dumps(base | fields)


REFUSED = (
    _line(
        2,
        "owner",
        "job_refused",
        job="a1",
        queue="q",
        tasks=8,
        reason="no_room_in_time",
        wait_s=0.4,
        allowed_s=0.1,
        jobs=30,
    ),
    _line(
        3,
        "gate",
        "job_answered",
        job="a1",
        queue="q",
        outcome="refused",
        reason="no_room_in_time",
        owner="owner",
        took_s=0.003,
        retry_after_s=0.4,
    ),
)
MOVED = (
    _line(
        4,
        "owner",
        "run_moved",
        job="b2",
        task="b2.0.0.1",
        run=1,
        worker="w9",
        percent=0.0,
        elapsed_s=0.2,
        expected_s=0.1,
    ),
    _line(
        6,
        "owner",
        "job_ended",
        job="b2",
        queue="q",
        outcome="completed",
        reason="all_done",
        took_s=1.2,
        in_time=False,
    ),
)
OWNER_LOST = (
    _line(
        10,
        "gate",
        "owner_changed",
        owner="",
        before="owner",
    ),
    _line(
        11,
        "gate",
        "job_answered",
        job="c3",
        queue="q",
        outcome="given_up",
        reason="deadline",
        owner="",
        took_s=2.0,
        retry_after_s=0.0,
    ),
)


class ExplanationTest(unittest.TestCase):
    """The cause names the values on which the decision was based."""

    def _explain(
        self, job: str, texts: tuple[str, ...]
    ) -> explanations.Explanation:
        lines = [explanations.parse_line(text, "log:1") for text in texts]
        return explanations.explain_job(job, lines)

    def test_causes(self):
        cases = (
            ("a1", REFUSED, "would have waited 0.4 s"),
            ("b2", MOVED, "b2.0.0.1 on w9: run_moved"),
            ("c3", OWNER_LOST, "given_up \\(deadline\\) by its gateway"),
        )
        for job, texts, cause in cases:
            with self.subTest(job=job):
                self.assertRegex(self._explain(job, texts).cause, cause)

    def test_lines_of_several_daemons_are_ordered_by_time(self):
        explanation = self._explain("a1", tuple(reversed(REFUSED)))
        daemons = [line.daemon for line in explanation.lines]
        self.assertEqual(daemons, ["owner", "gate"])

    def test_a_job_that_no_line_mentions(self):
        self.assertIsNone(self._explain("zz", REFUSED))

    def test_malformed_lines(self):
        for text in ("", "hello", '{"time": 1', '{"time": "x"}', "[1]"):
            with (
                self.subTest(text=text),
                self.assertRaisesRegex(exceptions.MalformedLineError, "f:7"),
            ):
                explanations.parse_line(text, "f:7")

    def test_a_prefix_of_a_line_is_skipped(self):
        line = explanations.parse_line(" 1.2 front-1 " + REFUSED[0], "f:1")
        self.assertEqual(line.event.name, "job_refused")


class CommandTest(unittest.TestCase):
    """Tests of the command `pollenladder explain`."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "front.log"
        self.path.write_text("\n".join((*REFUSED, '{"torn', *MOVED)) + "\n")

    def _run(self, text: str) -> tuple[int, str, str]:
        output = buffered_output.BufferedOutput()
        errors = buffered_output.BufferedOutput()
        code = application.run(
            environment.build_environment(),
            string_input.StringInput(text),
            output,
            errors,
        )
        return code, output.fetch(), errors.fetch()

    def test_an_explanation_and_a_truncated_line(self):
        code, output, errors = self._run(f"explain a1 {self.path}")
        self.assertEqual(code, exit_codes.ExitCode.OK)
        self.assertIn("cause: refused on arrival", output)
        self.assertIn(f"{self.path}:3: truncated line", errors)

    def test_as_json(self):
        _, output, _ = self._run(f"explain b2 {self.path} --json")
        found = json.loads(output)
        self.assertEqual(found["job"], "b2")
        self.assertEqual(len(found["lines"]), 2)

    def test_attempts_that_were_in_doubt_are_put_in_order(self):
        line = _line(
            9,
            "owner",
            "attempt_at_owner",
            job="d4",
            attempt=7,
            gateway="gate",
            group="norte",
            epoch=3,
            origin="joined",
            doubts={"second_attempt": 0.5},
            arrived_ago_s=0.5,
        )
        self.path.write_text(line + "\n")
        _, output, _ = self._run(f"explain d4 {self.path}")
        self.assertIn(
            "attempts:\n2026-12-04T00:00:08.500Z   owner 7: comes from gate to"
            " the owner of 'norte', epoch 3: joined\n",
            output,
        )
        _, output, _ = self._run(f"explain d4 {self.path} --json")
        facts = json.loads(output)["attempts"]
        self.assertEqual(facts[1]["text"], "doubt: second_attempt")

    def test_an_unknown_job(self):
        code, _, errors = self._run(f"explain zz {self.path}")
        self.assertEqual(code, exit_codes.ExitCode.UNKNOWN_TARGET)
        self.assertIn("no line mentions job zz", errors)

    def test_a_missing_file(self):
        code, _, errors = self._run("explain a1 /nowhere/x.log")
        self.assertEqual(code, exit_codes.ExitCode.USAGE)
        self.assertIn("/nowhere/x.log", errors)
