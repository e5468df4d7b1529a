"""Detection of a stale owner row."""

import unittest

from pollenladder.service import owner_rows

GROUP = "norte/0"


class OwnerRowTest(unittest.TestCase):
    """Whether the owner's row shows a live owner."""

    def setUp(self):
        self.now = 100.0
        callbacks = owner_rows.Callbacks(
            on_epoch=lambda group, epoch: None,
            on_failure=lambda table, error: None,
            get_epochs=dict,
            list_ownerless=lambda: [GROUP],
        )
        self.rows = owner_rows.OwnerRows(None, "d", callbacks, lambda: self.now)

    def _record_rows(
        self, seconds: float, changes: bool, version: int = 5
    ) -> None:
        end = self.now + seconds
        while self.now < end:
            self.rows.record_row(GROUP, version)
            version += changes
            self.now += owner_rows.OWNERSHIP_INTERVAL_S

    def test_changing_row_is_not_stale(self):
        self._record_rows(2 * owner_rows.OWNER_ROW_STALE_S, changes=True)
        self.assertFalse(self.rows.is_stale(GROUP))

    def test_unchanged_row_becomes_stale(self):
        self._record_rows(owner_rows.OWNER_ROW_STALE_S, changes=False)
        self.assertFalse(self.rows.is_stale(GROUP))
        self._record_rows(2 * owner_rows.OWNERSHIP_INTERVAL_S, changes=False)
        self.assertTrue(self.rows.is_stale(GROUP))

    def test_row_without_a_recent_read_is_not_stale(self):
        self._record_rows(2 * owner_rows.OWNER_ROW_STALE_S, changes=False)
        self.now += 3 * owner_rows.OWNERSHIP_INTERVAL_S
        self.assertFalse(self.rows.is_stale(GROUP))
