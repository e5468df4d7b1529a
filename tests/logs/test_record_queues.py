"""Tests that records are written at a limited rate, and none is lost unseen."""

import unittest

from pollenladder.logs import record_queues

PER_S = record_queues.MAX_RECORDS_PER_S
MAX_PENDING = record_queues.MAX_PENDING


class RecordQueueTest(unittest.TestCase):
    """A queue that gets more records than may be written in a second."""

    def setUp(self):
        self.queue: record_queues.RecordQueue[list] = (
            record_queues.RecordQueue()
        )

    def _add(self, count: int) -> list[list]:
        records = [[number] for number in range(count)]
        for record in records:
            self.queue.add(record)
        return records

    def test_records_beyond_the_rate_are_written_in_the_next_seconds(self):
        records = self._add(PER_S + 3)
        first = self.queue.take(10.0) + self.queue.take(10.5)
        self.assertEqual(first, records[:PER_S])
        self.assertEqual(self.queue.take(11.0), records[PER_S:])
        self.assertEqual(self.queue.take_omitted(), 0)

    def test_record_that_waits_is_written_once(self):
        (record,) = self._add(1)
        self.queue.add(record)
        self.assertEqual(self.queue.take(10.0), [record])
        self.assertEqual(self.queue.take(12.0), [])

    def test_urgent_records_are_written_first(self):
        weak = [[number] for number in range(PER_S)]
        for record in weak:
            self.queue.add(record, is_urgent=False)
        (urgent,) = self._add(1)
        self.queue.add(urgent, is_urgent=False)
        self.assertEqual(self.queue.take(10.0), [urgent, *weak[:-1]])

    def test_record_that_becomes_urgent_is_written_once(self):
        record = [1]
        self.queue.add(record, is_urgent=False)
        self.queue.add(record)
        self.assertEqual(self.queue.take(10.0), [record])

    def test_records_without_room_are_counted(self):
        self._add(MAX_PENDING + 5)
        self.assertEqual(len(self.queue), MAX_PENDING)
        self.assertEqual(self.queue.take_omitted(), 5)
        self.assertEqual(self.queue.take_omitted(), 0)
