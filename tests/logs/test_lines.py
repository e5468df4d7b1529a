"""Lines are whole, bounded in number, and never waited for."""

import json
import logging
import os
import time
import unittest

from pollenladder.logs import events
from pollenladder.logs import lines


class LinesTest(unittest.TestCase):
    """A handler that writes to a pipe."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)
        self.handler = lines.JsonLines("d1", self.writer)
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

    def test_a_line_carries_its_fields(self):
        lines.log(self.logger, "job_rejoined", job="j", gateway="g")
        self.handler.flush_some()
        (line,) = self._read()
        self.assertEqual(line["event"], "job_rejoined")
        self.assertEqual(line["daemon"], "d1")
        self.assertEqual((line["job"], line["gateway"]), ("j", "g"))
        self.assertEqual(
            set(line) - set(events.EVENTS["job_rejoined"].fields),
            {"time", "level", "daemon", "event"},
        )

    def test_too_many_lines_are_dropped_and_counted(self):
        for _ in range(3 * lines.MAX_LINES_PER_S):
            lines.log(self.logger, "job_rejoined", job="j", gateway="g")
        self.handler.flush_some()
        found = self._read()
        told = [line for line in found if line["event"] == lines.DROPPED_EVENT]
        kept = len(found) - len(told)
        self.assertEqual(kept + told[0]["lines"], 3 * lines.MAX_LINES_PER_S)
        # Two seconds may be touched.
        self.assertLessEqual(kept, 2 * lines.MAX_LINES_PER_S)

    def test_a_reader_that_stalls_holds_nobody_up(self):
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x" * 2000, (), None
        )
        began_s = time.monotonic()
        for _ in range(1000):
            self.handler.emit(record)
            self.handler.flush_some()
        self.assertLess(time.monotonic() - began_s, 5.0)
        self.assertGreater(self.handler.dropped, 0)

    def test_lines_stay_whole_when_the_reader_comes_back(self):
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x" * 2000, (), None
        )
        for _ in range(100):
            self.handler.emit(record)
        whole = []
        for _ in range(20):
            self.handler.flush_some()
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

    def test_nobody_reads_any_more(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        handler = lines.JsonLines("d1", writer)
        record = self.logger.makeRecord(
            "t", logging.WARNING, "f", 1, "x", (), None
        )
        handler.emit(record)
        handler.flush_some()
        handler.flush_some()
