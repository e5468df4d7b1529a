"""The workers whose rows have disappeared.

The tests guard against a worker that is dropped without being remembered as
one that may still execute runs.
"""

import dataclasses
import unittest

from pollenladder.fleet import worker_lists
from pollenladder.fleet import worker_tables
from tests.scheduling import simulations

REPORT_INTERVAL_S = 1.5


class _TwoWorkersTest(unittest.TestCase):
    """A table of two workers."""

    def setUp(self):
        self.now = 100.0
        self.history = worker_lists.ListHistory(is_first_start=True)
        self.history.record_store_state(True, self.now)
        self.table = worker_tables.WorkerTable(self.history, REPORT_INTERVAL_S)
        self.both = {w: simulations.build_listing(w) for w in ("w0", "w1")}
        self._update(self.both, is_full=True)

    def _update(
        self,
        listed: dict,
        removed: tuple = (),
        is_full: bool = False,
        undecodable: tuple = (),
    ) -> list[str]:
        """Apply rows; return the workers that were dropped as expired."""
        self.history.record_read(1, self.now, is_full)
        found = worker_tables.RowChanges(
            listed,
            dict.fromkeys(removed, True),
            dict.fromkeys(undecodable, True),
        )
        return list(self.table.update(found, is_full, self.now).expired)

    def _list(self) -> list[str]:
        return sorted(w.worker_id for w in self.table.list_workers())

    def _has_expired(self) -> bool:
        return self.history.last_expired_at == self.now


class WorkerTableTest(_TwoWorkersTest):
    """Rows that were removed, or are missing from a whole read."""

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

    def test_a_worker_that_drained_and_fell_silent_has_an_unknown_end(self):
        draining = dataclasses.replace(self.both["w1"], is_draining=True)
        self._update({"w1": draining})
        self.now += 3 * REPORT_INTERVAL_S
        self.history.record_read(1, self.now, False)
        found = worker_tables.RowChanges({}, {"w1": True})
        dropped = self.table.update(found, False, self.now)
        self.assertEqual(dropped, worker_tables.Dropped(unexplained=("w1",)))
        self.assertEqual(self._list(), ["w0"])
        self.assertEqual(self.history.find_doubt(self.now), "list_new")

    def test_a_departure_counts_from_the_begin_of_its_read(self):
        # Guards against a row that came back and expired unseen after a slow read.
        draining = dataclasses.replace(self.both["w1"], is_draining=True)
        self._update({"w1": draining})
        self.history.record_read(1, self.now, False)
        read_s = 1.0
        found = worker_tables.RowChanges({}, {"w1": True})
        self.table.update(found, False, self.now + read_s)
        limit_s = worker_tables.MAX_INTERVALS_TO_LEAVE * REPORT_INTERVAL_S
        self.now += limit_s + read_s / 2
        self.assertEqual(self._update({}, ("w1",)), ["w1"])

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
        found = worker_tables.RowChanges(self.both, {"w1": False})
        dropped = self.table.update(found, False, self.now)
        self.assertEqual(dropped, worker_tables.Dropped())
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


class UndecodableRowsTest(_TwoWorkersTest):
    """Rows that cannot be decoded, beside those of two workers."""

    def test_a_listed_worker_is_dropped_as_if_it_had_expired(self):
        # Guards against starts on a worker of which only old rows are known.
        for is_full in (False, True):
            with self.subTest(is_full=is_full):
                self.setUp()
                found = {"w0": self.both["w0"]}
                dropped = self._update(
                    found, is_full=is_full, undecodable=("w1",)
                )
                self.assertEqual(dropped, ["w1"])
                self.assertEqual(self._list(), ["w0"])
                self.assertTrue(self._has_expired())

    def test_a_draining_worker_is_no_exception(self):
        # Its process has not ended, unlike that of one whose row was removed.
        draining = dataclasses.replace(self.both["w1"], is_draining=True)
        self._update({"w1": draining})
        self.assertEqual(self._update({}, undecodable=("w1",)), ["w1"])
        self.assertTrue(self._has_expired())

    def test_no_grace_after_an_outage(self):
        self.history.record_store_state(False, self.now)
        self.now += 5.0
        self.history.record_store_state(True, self.now)
        self.assertEqual(self._update({}, undecodable=("w1",)), ["w1"])
        self.assertEqual(self._list(), ["w0"])

    def test_a_row_that_never_named_a_worker_raises_no_doubt(self):
        # Guards against waiting for leases each time that such a row changes.
        self._update({}, undecodable=("odd",))
        self.now += 0.4
        self._update({}, undecodable=("odd",))
        self.now += 0.4
        self.assertEqual(self._update({}, ("odd",)), [])
        self.assertEqual(self.history.find_doubt(self.now), "")
        self.assertEqual(
            self.history.build_report(self.now).expired_ago_ms,
            worker_lists.MAX_REPORTED_MS,
        )

    def test_it_raises_doubt_if_it_may_have_named_a_worker_unseen(self):
        self._update({}, undecodable=("odd",))
        self.now += worker_lists.MAX_READ_GAP_S + 0.1
        self.assertEqual(self._update({}, ("odd",)), ["odd"])
        self.assertTrue(self._has_expired())

    def test_a_worker_whose_row_stays_undecodable_raises_doubt_once(self):
        self._update({}, undecodable=("w1",))
        dropped_at = self.now
        for _ in range(5):
            self.now += 0.4
            self._update({}, undecodable=("w1",))
        self._update({}, ("w1",))
        self.assertEqual(self.history.last_expired_at, dropped_at)

    def test_a_worker_is_listed_again_once_its_row_can_be_decoded(self):
        self._update({}, undecodable=("w1",))
        self._update(self.both)
        self.assertEqual(self._list(), ["w0", "w1"])
        self.assertEqual(self._update({}, ("w1",)), ["w1"])
