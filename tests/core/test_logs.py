"""Tests of logging."""

import io
import json
import logging
import unittest

from pollenladder.core import logs


class LogsTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, "handlers", root.handlers)
        root.handlers = []

    def write(self, log_format: str, level: str = "INFO") -> str:
        stream = io.StringIO()
        logs.configure_logging(log_format, level, "d-1", stream)
        logger = logging.getLogger("pollenladder.test")
        logger.debug("hidden")
        logger.info("started %s", "x\ny", extra={"job": "j", "task": "t"})
        try:
            raise ValueError("broken")
        except ValueError:
            logger.exception("failed", extra={"daemon": "d-2"})
        return stream.getvalue()

    def test_json_lines_carry_ids(self):
        first, second = map(json.loads, self.write("json").splitlines())
        ids = {name: first.get(name) for name in logs.FIELDS}
        self.assertEqual(
            ids,
            {
                "job": "j",
                "task": "t",
                "customer": None,
                "worker": None,
                "daemon": "d-1",
            },
        )
        self.assertEqual(first["message"], "started x\ny")
        self.assertEqual(first["level"], "INFO")
        self.assertTrue(first["time"].endswith("Z"))
        self.assertEqual(second["daemon"], "d-2")
        self.assertIn("ValueError: broken", second["exc_info"])

    def test_text_lines_carry_ids(self):
        lines = self.write("text").splitlines()
        self.assertTrue(
            lines[0].endswith("started x\\ny job=j task=t daemon=d-1")
        )
        self.assertEqual(lines[-1], "ValueError: broken")

    def test_a_second_call_replaces_the_first(self):
        self.write("text")
        self.assertEqual(len(self.write("text").splitlines()), 6)
