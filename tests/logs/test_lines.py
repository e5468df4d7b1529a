"""Tests that log lines are written whole, rate-limited and without blocking."""

import json
import logging
import os
import time
import unittest
from unittest import mock

from pollenladder.logs import events
from pollenladder.logs import lines
from pollenladder.logs import repeats


class LinesTest(unittest.TestCase):
    """Tests of a handler that writes to a pipe."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)
        self.handler = lines.JsonLinesHandler("d1", self.writer)
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def _read(self) -> list[dict]:
        data = b""
        try:
            while part := os.read(self.reader, 1 << 20):
                data += part
        except BlockingIOError:
            pass
        return [json.loads(line) for line in data.splitlines()]

    def _read_all(self) -> list[dict]:
        """Write all pending lines, more than a pipe holds, and read them."""
        data = b""
        while part := self._write_and_read():
            data += part
        return [json.loads(line) for line in data.splitlines()]

    def _write_and_read(self) -> bytes:
        self.handler.write_pending()
        return b"".join(self._read_bytes())

    def test_a_line_carries_its_fields(self):
        lines.log(self.logger, "job_rejoined", job="j", gateway="g")
        self.handler.write_pending()
        (line,) = self._read()
        self.assertEqual(line["event"], "job_rejoined")
        self.assertEqual(line["daemon"], "d1")
        self.assertEqual((line["job"], line["gateway"]), ("j", "g"))
        self.assertEqual(
            set(line) - set(events.EVENTS["job_rejoined"].fields),
            {"time", "level", "daemon", "event"},
        )

    def _fail(self, subject: str = "w1", where: str = "poll") -> None:
        try:
            raise ValueError(subject)
        except ValueError:
            lines.log_failure(self.logger, where, subject)

    def test_an_unexpected_error_is_logged_with_its_traceback(self):
        self._fail()
        self.handler.write_pending()
        (line,) = self._read()
        self.assertEqual(line["event"], lines.FAILURE_EVENT)
        self.assertEqual((line["where"], line["subject"]), ("poll", "w1"))
        self.assertIn("in _fail", line["error"])
        self.assertTrue(line["error"].endswith("ValueError: w1"))

    def test_an_error_that_repeats_does_not_fill_the_log(self):
        # Guards against a log that holds nothing else, and against a failure
        # that is hidden because it repeats.
        with mock.patch.object(time, "time", return_value=1000.0) as clock:
            for _ in range(50):
                self._fail()
            self._fail(where="session")
            clock.return_value += repeats.INTERVAL_S
            self._fail()
        self.handler.write_pending()
        found = [(line["where"], line["repeated"]) for line in self._read()]
        self.assertEqual(found, [("poll", 0), ("session", 0), ("poll", 49)])

    def test_text_without_an_encoding_is_logged_escaped(self):
        # Guards against a log line that fails the step that logs it.
        lines.log(self.logger, "job_rejoined", job="\ud800", gateway="g")
        self.handler.write_pending()
        (line,) = self._read()
        self.assertIn("ud800", line["job"])

    def test_long_errors_are_cut(self):
        self._fail(100_000 * "x")
        self.handler.write_pending()
        (line,) = self._read()
        self.assertEqual(len(line["error"]), lines.MAX_ERROR_CHARS)
        self.assertEqual(len(line["subject"]), lines.MAX_SUBJECT_CHARS)

    def test_lines_above_the_rate_limit_are_dropped_and_counted(self):
        for _ in range(3 * lines.MAX_LINES_PER_S):
            lines.log(self.logger, "job_rejoined", job="j", gateway="g")
        found = self._read_all()
        summaries = [
            line for line in found if line["event"] == lines.DROPPED_EVENT
        ]
        kept = len(found) - len(summaries)
        self.assertEqual(
            kept + summaries[0]["lines"], 3 * lines.MAX_LINES_PER_S
        )
        # The lines may fall into two seconds of the clock.
        self.assertLessEqual(kept, 2 * lines.MAX_LINES_PER_S)

    def _log_at_once(self, event: str, count: int) -> None:
        """Log lines within one second of the clock."""
        with mock.patch.object(time, "time", return_value=1000.0):
            for _ in range(count):
                lines.log(self.logger, event, job="j")

    def test_attempt_is_told_although_the_limit_of_lines_is_reached(self):
        # Guards against an incident of which no line names the job.
        self._log_at_once("job_admitted", 3 * lines.MAX_LINES_PER_S)
        self._log_at_once("attempt_at_owner", 1)
        found = [line["event"] for line in self._read_all()]
        self.assertEqual(found.count("attempt_at_owner"), 1)
        self.assertEqual(found.count("job_admitted"), lines.MAX_LINES_PER_S)

    def test_reserve_is_bounded_and_the_rest_counted(self):
        most = lines.MAX_LINES_PER_S + lines.MAX_RESERVED_LINES_PER_S
        self._log_at_once("attempt_at_owner", most + 7)
        found = self._read_all()
        told = [line for line in found if line["event"] == "attempt_at_owner"]
        (summary,) = [
            line for line in found if line["event"] == lines.DROPPED_EVENT
        ]
        self.assertEqual(len(told), most)
        self.assertEqual(summary["lines"], 7)

    def test_attempt_is_told_although_the_reader_has_stalled(self):
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x" * 2000, (), None
        )
        while not self.handler.dropped:
            self.handler.emit(record)
        self._log_at_once("attempt_at_owner", 1)
        found = [line["event"] for line in self._read_all()]
        self.assertEqual(found.count("attempt_at_owner"), 1)

    def test_buffer_stays_bounded_with_a_reserve(self):
        line = "x" * 2000
        for _ in range(2 * lines.MAX_BUFFERED_BYTES // len(line)):
            lines.log(self.logger, "attempt_at_owner", job=line)
        size = sum(len(line) for line in self.handler._lines)
        self.assertLess(size, lines.MAX_BUFFERED_BYTES + 2 * len(line))
        self.assertGreater(self.handler.dropped, 0)

    def test_a_stalled_reader_does_not_block_the_writer(self):
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x" * 2000, (), None
        )
        began_s = time.monotonic()
        for _ in range(1000):
            self.handler.emit(record)
            self.handler.write_pending()
        self.assertLess(time.monotonic() - began_s, 5.0)
        self.assertGreater(self.handler.dropped, 0)

    def test_lines_stay_whole_when_a_stalled_reader_resumes(self):
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x" * 2000, (), None
        )
        for _ in range(100):
            self.handler.emit(record)
        whole = []
        for _ in range(20):
            self.handler.write_pending()
            whole += self._read_bytes()
        text = b"".join(whole)
        self.assertEqual(len(text.splitlines()), 100)
        for line in text.splitlines():
            json.loads(line)

    def _read_bytes(self) -> list[bytes]:
        parts = []
        try:
            while part := os.read(self.reader, 1 << 20):
                parts.append(part)
        except BlockingIOError:
            pass
        return parts

    def test_a_pipe_closed_by_its_reader_raises_no_error(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        handler = lines.JsonLinesHandler("d1", writer)
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x", (), None
        )
        handler.emit(record)
        handler.write_pending()
        handler.write_pending()
