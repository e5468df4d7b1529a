"""Tests of the store client against the stand-in, with injected faults."""

import base64
import time
import unittest
from unittest import mock

import gevent
import msgspec

from pollenladder.platform import exceptions
from pollenladder.platform import store as stores
from standins import site_store
from tests.platform import served


class StoreTest(unittest.TestCase):
    """Reads return what was written, or raise an error for each fault."""

    def setUp(self):
        self.site = site_store.SiteStore()
        address = served.serve(self, self.site.serve)
        self.store = stores.Store(address)

    def test_round_trip(self):
        self.store.put("mine", "a", b"one")
        self.store.put("mine", "b", b"\x00\xff")
        snapshot = self.store.read_table("mine")
        values = {row.key: row.value for row in snapshot.rows}
        self.assertEqual(values, {"a": b"one", "b": b"\x00\xff"})

    def test_one_row_is_read_without_its_neighbours(self):
        # A table with a row for each group grows with the workers.
        self.store.put("mine", "a", b"one")
        self.store.put("mine", "c", b"two")
        self.assertEqual(self.store.read_row("mine", "a").value, b"one")
        self.assertIsNone(self.store.read_row("mine", "b"))
        self.assertIsNone(self.store.read_row("mine", "d"))

    def test_long_table_is_read_in_pages(self):
        for index in range(site_store.MAX_ROWS + 20):
            self.site.put("mine", f"k{index:05}", b"x")
        snapshot = self.store.read_table("mine")
        self.assertEqual(len(snapshot.rows), site_store.MAX_ROWS + 20)

    def test_page_ends_with_the_longest_key(self):
        # Guards against a table that one row keeps from being read, because the
        # next page begins with a key that the store does not accept.
        for index in range(site_store.MAX_ROWS - 1):
            self.site.put("mine", f"k{index:05}", b"x")
        self.site.put("mine", "l" * site_store.MAX_KEY_BYTES, b"x")
        self.site.put("mine", "m", b"x")
        snapshot = self.store.read_table("mine")
        keys = [row.key for row in snapshot.rows]
        self.assertEqual(len(keys), site_store.MAX_ROWS + 1)
        self.assertEqual(len(set(keys)), len(keys))

    def test_row_with_an_unusable_field_costs_only_itself(self):
        # Guards against a table that one row keeps from being read.
        self.store.put("mine", "a", b"one")
        before = self.site.version
        values = (None, 5, 10**400, 1e308, {"a": [1]}, ["b25l"])
        for index, value in enumerate(values):
            self.site.put_text("mine", f"odd{index}", value)
        self.site.put("mine", "z", b"two")
        read = self.store.read_table("mine").rows
        changed = self.store.wait_for_changes("mine", before, 0.0).rows
        odd = {f"odd{index}": b"" for index in range(len(values))}
        for found in (
            ({"a": b"one"} | odd | {"z": b"two"}, read),
            (
                odd | {"z": b"two"},
                changed,
            ),
        ):
            expected, rows = found
            self.assertEqual({r.key: r.value for r in rows}, expected)

    def test_row_of_another_part_is_another_row(self):
        # Guards against a worker that is listed, or dropped, by another row.
        self.site.put("mine", "a", b"one")
        before = self.site.version
        self.site.put("mine", "a", b"other", part="p")
        self.site.remove_row("mine", "a", part="p")
        changes = self.store.wait_for_changes("mine", before, 0.0)
        self.assertEqual(changes.rows, ())
        self.assertEqual(changes.version, self.site.version)

    def test_feed_reports_changes_and_removals(self):
        snapshot = self.store.read_table("mine")
        self.site.put("mine", "a", b"1")
        self.site.put("other", "z", b"1")
        self.site.remove_row("mine", "a")
        changes = self.store.wait_for_changes("mine", snapshot.version, 1.0)
        reported = [(row.key, row.is_removed) for row in changes.rows]
        self.assertEqual(reported, [("a", False), ("a", True)])

    def test_long_feed_is_read_in_pages(self):
        # Guards against changes that are lost because a page with the version
        # of the store lacks them.
        self.site.put("mine", "a", b"1")
        self.site.put("mine", "b", b"2")
        read = self.store._read

        def read_one(path, query, timeout_s):
            page = read(path, query, timeout_s)
            return msgspec.structs.replace(
                page, rows=page.rows[:1], has_more=len(page.rows) > 1
            )

        with mock.patch.object(self.store, "_read", read_one):
            changes = self.store.wait_for_changes("mine", 0, 1.0)
        self.assertEqual([row.key for row in changes.rows], ["a", "b"])
        self.assertEqual(changes.version, self.site.version)

    def test_feed_responds_as_soon_as_there_is_a_change(self):
        gevent.spawn_later(0.05, self.site.put, "mine", "a", b"1")
        changes = self.store.wait_for_changes("mine", 0, 5.0)
        self.assertEqual([row.key for row in changes.rows], ["a"])

    def test_lost_history_has_its_own_error(self):
        self.site.put("mine", "a", b"1")
        self.site.discard_history()
        with self.assertRaises(exceptions.HistoryLostError):
            self.store.wait_for_changes("mine", 0, 0.0)

    def test_write_without_response_can_be_repeated(self):
        self.site.faults.lost_replies = 1
        with self.assertRaises(exceptions.StoreError):
            self.store.put("mine", "a", b"1")
        self.store.put("mine", "a", b"1")
        self.assertEqual(self.site.get("mine", "a"), b"1")

    def test_error_of_each_fault(self):
        cases = (
            (site_store.FailureMode.BUSY, exceptions.StoreRefusedError),
            (site_store.FailureMode.RESET, exceptions.StoreError),
            (site_store.FailureMode.SILENT, exceptions.StoreError),
            (site_store.FailureMode.GARBAGE, exceptions.StoreError),
        )
        for trouble, error in cases:
            with self.subTest(trouble=trouble):
                self.site.faults.trouble = trouble
                with self.assertRaises(error):
                    self.store.read_table("mine")
                self.site.faults.trouble = site_store.FailureMode.NONE
                self.store.read_table("mine")

    def test_feed_of_a_silent_store_times_out_after_the_wait(self):
        self.site.faults.trouble = site_store.FailureMode.SILENT
        began_s = time.monotonic()
        with self.assertRaises(exceptions.StoreError):
            self.store.wait_for_changes("mine", 0, 0.2)
        waited_s = time.monotonic() - began_s
        self.assertGreaterEqual(waited_s, 0.2)

    def test_value_that_is_not_base64_is_empty(self):
        self.site.put("mine", "a", b"")
        row = stores._decode_row(
            stores.messages.Row(table="t", key="k", ver=1, value="%%")
        )
        self.assertEqual(row.value, b"")

    def test_value_is_base64_on_the_wire(self):
        self.store.put("mine", "a", b"one")
        self.assertEqual(base64.b64encode(b"one"), b"b25l")
        self.assertEqual(self.site.get("mine", "a"), b"one")
