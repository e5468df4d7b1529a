"""The lines about invalid rows, and the memory for them, are limited.

The tests guard against a writer that fills the log or the memory of all daemons.
"""

import unittest
from unittest import mock

from pollenladder.platform import exceptions
from pollenladder.platform import store as stores
from pollenladder.service import row_decoding


def reject(value: bytes) -> None:
    """Reject any value."""
    raise exceptions.BadDocumentError("invalid")


class LimitsTest(unittest.TestCase):
    """Rows that are all rejected."""

    def setUp(self):
        self.now = 100.0
        self.decoder = row_decoding.RowDecoder(lambda: self.now)
        patch = mock.patch.object(row_decoding.logs, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def _reject(self, key: str, version: int) -> None:
        row = stores.Row(key, b"", version)
        self.assertIsNone(self.decoder.decode(row, reject))

    def _count_lines(self) -> int:
        return self.log.call_count

    def test_each_version_is_logged_once(self):
        for _ in range(3):
            self._reject("a", 1)
            self.now += row_decoding.ROW_INTERVAL_S
        self.assertEqual(self._count_lines(), 1)
        self._reject("a", 2)
        self.assertEqual(self._count_lines(), 2)

    def test_row_that_keeps_changing(self):
        for version in range(1, 1001):
            self._reject("a", version)
            self.now += 0.5
        self.assertLessEqual(
            self._count_lines(), 1 + 500 / row_decoding.ROW_INTERVAL_S
        )
        self.assertEqual(self.log.call_args.kwargs["omitted"], 119)

    def test_rows_that_come_and_go(self):
        for index in range(5000):
            self._reject(f"a{index}", index + 1)
            self.now += 0.01
        most = row_decoding.MAX_LINES * 50 / row_decoding.LINES_INTERVAL_S
        self.assertLessEqual(self._count_lines(), most + row_decoding.MAX_LINES)
        remembered = self.decoder._rejected
        self.assertLessEqual(len(remembered), row_decoding.MAX_ROWS)

    def test_another_row_is_logged_once_there_is_room_again(self):
        for index in range(500):
            self._reject(f"a{index}", index + 1)
        self.now += row_decoding.LINES_INTERVAL_S
        self._reject("b", 1000)
        line = self.log.call_args.kwargs
        self.assertEqual(line["key"], "b")
        self.assertEqual(line["omitted"], 500 - row_decoding.MAX_LINES)
