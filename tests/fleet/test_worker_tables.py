"""The workers whose rows have disappeared.

The tests guard against a worker that is dropped without being remembered as
one that may still execute runs.
"""

import dataclasses
import unittest

from pollenladder.fleet import worker_lists
from pollenladder.fleet import worker_tables
from tests.scheduling import simulations


class WorkerTableTest(unittest.TestCase):
    """A table of two workers."""

    def setUp(self):
        self.now = 100.0
        self.history = worker_lists.ListHistory(is_first_start=True)
        self.history.record_store_state(True, self.now)
        self.table = worker_tables.WorkerTable(self.history)
        self.both = {w: simulations.build_listing(w) for w in ("w0", "w1")}
        self._update(self.both, is_full=True)

    def _update(
        self, listed: dict, removed: tuple = (), is_full: bool = False
    ) -> list[str]:
        self.history.record_read(1, self.now, is_full)
        missing = dict.fromkeys(removed, True)
        return self.table.update(listed, missing, is_full, self.now)

    def _list(self) -> list[str]:
        return sorted(w.worker_id for w in self.table.list_workers())

    def _has_expired(self) -> bool:
        return self.history.last_expired_at == self.now

    def test_a_removed_row_has_expired(self):
        self.assertEqual(self._update({}, ("w1",)), ["w1"])
        self.assertEqual(self._list(), ["w0"])
        self.assertTrue(self._has_expired())

    def test_a_row_missing_from_a_whole_read_has_expired(self):
        found = {"w0": self.both["w0"]}
        self.assertEqual(self._update(found, is_full=True), ["w1"])
        self.assertTrue(self._has_expired())

    def test_a_worker_that_drained_has_not_expired(self):
        draining = dataclasses.replace(self.both["w1"], is_draining=True)
        self._update({"w1": draining})
        self.assertEqual(self._update({}, ("w1",)), [])
        # The feed may repeat a change that a whole read has shown.
        self.assertEqual(self._update({}, ("w1",)), [])
        self.assertFalse(self._has_expired())
        self.assertEqual(self._list(), ["w0"])

    def test_a_worker_that_came_and_went_between_two_reads_has_expired(self):
        self.assertEqual(self._update({}, ("w9",)), ["w9"])
        self.assertTrue(self._has_expired())

    def test_a_worker_that_drained_between_two_reads_has_not_expired(self):
        draining = dataclasses.replace(self.both["w1"], is_draining=True)
        self.assertEqual(self._update({"w1": draining}, ("w1",)), [])
        self.assertEqual(self._list(), ["w0"])
        self.assertFalse(self._has_expired())

    def test_a_row_that_was_renewed_before_it_was_removed_has_expired(self):
        self.assertEqual(self._update(self.both, ("w1",)), ["w1"])
        self.assertEqual(self._list(), ["w0"])

    def test_a_row_that_came_back_at_once_is_reported_to_peers(self):
        lapsed = self.table.update(self.both, {"w1": False}, False, self.now)
        self.assertEqual(lapsed, [])
        self.assertEqual(self._list(), ["w0", "w1"])
        report = self.history.build_report(self.now)
        self.assertEqual(report.expired_ago_ms, 0)

    def test_missing_workers_are_kept_after_an_outage(self):
        self.history.record_store_state(False, self.now)
        self.now += 5.0
        self.history.record_store_state(True, self.now)
        self.assertEqual(self._update({}, is_full=True), [])
        self.assertEqual(self._list(), ["w0", "w1"])
        report = self.history.build_report(self.now)
        self.assertEqual(report.expired_ago_ms, 0)
        self.now += worker_lists.STORE_RETURN_GRACE_S
        self.assertEqual(self._update({"w0": self.both["w0"]}), ["w1"])
        self.assertTrue(self._has_expired())
