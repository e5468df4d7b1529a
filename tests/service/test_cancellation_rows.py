"""Cancelled jobs that owners learn of from the store."""

import unittest

import gevent

from pollenladder.core import clocks
from pollenladder.jobs import cancellations
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.service import cancellation_rows
from standins import site as sites
from tests import waiting

JOB_ID = "5c0e7a21d94b36f8"
TABLE = rows.CANCELLATIONS_TABLE


class CancellationRowsTest(unittest.TestCase):
    """An owner, and a daemon that writes, on a simulated store."""

    def setUp(self):
        self.site = sites.Site()
        self.addCleanup(self.site.close)
        self.now = 0.0
        self.is_owner = True
        self.cancelled: list[str] = []
        self.store = stores.Store((sites.HOST, self.site.store_port))
        self.owner = self._build(self.store)
        self.writer = self._build(
            stores.Store((sites.HOST, self.site.store_port))
        )

    def _build(self, store: stores.Store) -> cancellation_rows.CancellationRows:
        return cancellation_rows.CancellationRows(
            store,
            cancellation_rows.Callbacks(
                is_owner=lambda: self.is_owner,
                cancel_job=self.cancelled.append,
            ),
            lambda: self.now + clocks.read_monotonic_s(),
        )

    def _run(self) -> None:
        loop = gevent.spawn(self.owner.run)
        self.addCleanup(loop.kill)

    def _list_rows(self) -> list[str]:
        return [row.key for row in self.store.read_table(TABLE).rows]

    def test_owner_learns_of_a_job_that_is_cancelled(self):
        self._run()
        gevent.sleep(cancellation_rows.IDLE_S)
        self.writer.write(JOB_ID)
        waiting.wait_until(lambda: self.cancelled)
        self.assertEqual(self.cancelled, [JOB_ID])

    def test_next_owner_learns_of_jobs_that_were_cancelled_before(self):
        self.is_owner = False
        self._run()
        self.writer.write(JOB_ID)
        gevent.sleep(2 * cancellation_rows.IDLE_S)
        self.assertEqual(self.cancelled, [])
        self.is_owner = True
        waiting.wait_until(lambda: self.cancelled)

    def test_rows_of_other_writers_are_ignored(self):
        # Guards against daemons that end, or stop following the table.
        for key in ("", "a b", "caf\u00e9", "\x00", "x" * 300):
            self.site.store.put(TABLE, key, b"\xff")
        self._run()
        self.writer.write(JOB_ID)
        waiting.wait_until(lambda: self.cancelled)
        self.assertEqual(self.cancelled, [JOB_ID])

    def test_rows_are_deleted_once_nobody_needs_them(self):
        self._run()
        self.writer.write(JOB_ID)
        waiting.wait_until(lambda: self.cancelled)
        self.assertEqual(self._list_rows(), [JOB_ID])
        self.now += cancellations.RETENTION_S + 1.0
        waiting.wait_until(lambda: not self._list_rows())

    def test_row_that_could_not_be_written_is_an_error(self):
        self.site.close()
        with self.assertRaises(exceptions.StoreError):
            self.writer.write(JOB_ID)
