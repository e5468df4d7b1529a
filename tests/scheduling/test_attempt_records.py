"""Tests that what is kept of attempts stays bounded."""

import unittest

from pollenladder.scheduling import attempt_records

MAX_RECORDS = attempt_records.MAX_RECORDS
ORIGIN = attempt_records.Origin.NEW


class AttemptRecordsTest(unittest.TestCase):
    """Guards against memory that grows with the number of jobs."""

    def setUp(self):
        self.records = attempt_records.AttemptRecords()

    def _add(self, job_id: str) -> attempt_records.JobRecord:
        record = attempt_records.JobRecord(job_id, 1, 1.0, {})
        self.records.add(record)
        return record

    def test_oldest_records_are_forgotten_first(self):
        for number in range(MAX_RECORDS + 5):
            self._add(f"j{number}")
        self.assertEqual(len(self.records), MAX_RECORDS)
        self.assertIsNone(self.records.find("j4"))
        self.assertIsNotNone(self.records.find("j5"))

    def test_long_names_of_jobs_leave_room_for_fewer_records(self):
        for number in range(20):
            self._add(f"{number:06}" + "x" * 999_000)
        self.assertLess(
            len(self.records) * 1_000_000, attempt_records.MAX_RECORD_BYTES
        )
        self.assertGreater(len(self.records), 0)

    def test_later_record_of_a_job_replaces_the_one_before(self):
        self._add("a1")
        later = self._add("a1")
        self.assertIs(self.records.find("a1"), later)
        self.assertEqual(len(self.records), 1)

    def test_job_keeps_its_latest_attempts(self):
        record = self._add("a1")
        most = attempt_records.MAX_ATTEMPTS_PER_JOB
        for number in range(most + 3):
            attempt = attempt_records.AttemptRecord(
                number, "g1", ORIGIN, 1.0, 1.0
            )
            attempt_records.add_attempt(record, attempt)
        self.assertEqual(list(record.attempts), list(range(3, most + 3)))
