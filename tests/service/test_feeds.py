"""The rate of reads from the store, and their order."""

from collections.abc import Iterable
import json
import unittest
from unittest import mock

from pollenladder.cluster import roster as rosters
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_lists
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.service import feeds
from pollenladder.service import row_decoding

ENTRY = {
    "Service": "s",
    "Addr": "10.0.0.1:80",
    "Zone": "norte",
    "State": "ready",
    "Slots": 8,
    "Capacity": {"Cpu": 1000, "MemMb": 1000, "Gpu": 0},
    "Labels": [],
    "Seq": 1,
}
VALID = json.dumps(ENTRY).encode()
# Also what a feed reports for a removed row.
REMOVED = b""
UNDECODABLE = b"[" * 10_000
FULL = "full"
CHANGES = "changes"
REPORT_INTERVAL_S = 1.5


def _list_entries(reply: Iterable) -> list[tuple[str, bytes]]:
    """Return the rows of a reply; a key alone stands for a valid row."""
    return [(r, VALID) if isinstance(r, str) else r for r in reply]


class _EndOfScriptError(Exception):
    """All scripted replies have been given."""


class _ScriptedStore:
    """Answers reads of the workers' table with scripted replies.

    Attributes:
        kinds: The reads so far, `FULL` or `CHANGES`.
        calls: As in `stores.Store`.
    """

    def __init__(self, replies: list):
        self.kinds: list[str] = []
        self.calls: dict[str, int] = {}
        self._replies = replies

    def read_table(self, table: str) -> stores.Snapshot:
        return self._reply(FULL)

    def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> stores.Snapshot:
        return self._reply(CHANGES)

    def _reply(self, kind: str) -> stores.Snapshot:
        if not self._replies:
            raise _EndOfScriptError
        self.kinds.append(kind)
        reply = self._replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        version = len(self.kinds)
        return stores.Snapshot(
            version,
            tuple(
                stores.Row(key, value, version, value is REMOVED)
                for key, value in _list_entries(reply)
            ),
        )


class WorkersTest(unittest.TestCase):
    """The reads of the workers' table, and what is listed in the end."""

    def _follow(self, replies: list, claims: bool = False) -> list[str]:
        """Follow a scripted table; return the kinds of reads.

        Args:
            replies: The rows of each reply, or an error. A row is its key, or
                its key and its value.
            claims: Whether the daemon claims ownership after the first read.
        """
        self.store = _ScriptedStore(replies)
        self.listed: list[str] = []
        self.history = worker_lists.ListHistory(is_first_start=True)

        def record(listings, is_full_read):
            self.listed = sorted(w.worker_id for w in listings)
            if claims and len(self.store.kinds) == 1:
                followed.refresh_workers()

        followed = feeds.Feeds(
            self.store,
            rosters.Member("d", "10.0.0.1", 1, "norte", 1),
            feeds.Callbacks(
                on_configuration=lambda found: None,
                on_workers=record,
                on_member=lambda member: None,
                on_layout=lambda layout, version: None,
                get_epochs=lambda: {"region": 1},
                on_evacuated=lambda known, began_at: None,
            ),
            lambda: 100.0,
            self.history,
            REPORT_INTERVAL_S,
        )
        with self.assertRaises(_EndOfScriptError):
            followed.run_workers()
        return self.store.kinds

    def test_row_that_fails_unexpectedly_does_not_hold_up_the_others(self):
        # Guards against a table that one row keeps from being read.
        decode = rows.decode_worker

        def fail(worker_id: str, source: bytes) -> fleet.Listing:
            if worker_id == "bad":
                raise ZeroDivisionError
            return decode(worker_id, source)

        with (
            mock.patch.object(rows, "decode_worker", fail),
            self.assertLogs(row_decoding.LOGGER, "ERROR"),
        ):
            self._follow([["w0", "bad", "w1"]])
        self.assertEqual(self.listed, ["w0", "w1"])

    def test_worker_whose_row_becomes_undecodable_is_not_listed(self):
        # Guards against starts on a worker by a row that no longer holds.
        odd = ("w1", UNDECODABLE)
        gone = ("w1", REMOVED)
        for changes, listed in (
            ([odd], ["w0"]),
            (["w1", odd], ["w0"]),
            ([gone, odd], ["w0"]),
            ([odd, gone], ["w0"]),
            ([odd, "w1"], ["w0", "w1"]),
            ([odd, gone, "w1"], ["w0", "w1"]),
        ):
            with self.subTest(changes=[str(c)[:30] for c in changes]):
                self._follow([["w0", "w1"], changes])
                self.assertEqual(self.listed, listed)

    def test_workers_are_kept_in_the_first_read_after_an_outage(self):
        # Guards against dropping workers whose rows are about to come back.
        lost = exceptions.StoreError("lost")
        kinds = self._follow([["w0", "w1"], lost, [], ["w0"]])
        self.assertEqual(kinds, [FULL, CHANGES, CHANGES, FULL])
        self.assertEqual(self.listed, ["w0", "w1"])
        self.assertEqual(self.history.find_doubt(100.0), "store_returned")

    def test_changes_are_read_before_the_whole_table_at_a_claim(self):
        # Guards against workers that came and went unseen before the claim.
        kinds = self._follow([["w0"], [], ["w0"]], claims=True)
        self.assertEqual(kinds, [FULL, CHANGES, FULL])

    def test_workers_are_kept_if_the_store_lost_its_history(self):
        # Guards against a store that came back without its rows.
        gone = exceptions.HistoryLostError("gone")
        kinds = self._follow([["w0", "w1"], gone, ["w0"]])
        self.assertEqual(kinds, [FULL, CHANGES, FULL])
        self.assertEqual(self.listed, ["w0", "w1"])
        self.assertEqual(self.history.find_doubt(100.0), "store_returned")


class _TablesStore:
    """Answers one read of each table, and then fails.

    Attributes:
        tables: The rows of the tables that can be read.
        calls: As in `stores.Store`.
    """

    def __init__(self):
        self.tables: dict[str, tuple[stores.Row, ...]] = {}
        self.calls: dict[str, int] = {}

    def read_table(self, table: str) -> stores.Snapshot:
        if table not in self.tables:
            raise _EndOfScriptError
        return stores.Snapshot(1000, self.tables.pop(table))

    def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> stores.Snapshot:
        raise _EndOfScriptError


class TablesTest(unittest.TestCase):
    """Rows of other writers in several tables."""

    def setUp(self):
        self.own = rosters.Member("d", "10.0.0.1", 1, "norte", 1)
        self.store = _TablesStore()
        self.daemons: list[str] = []
        self.feeds = feeds.Feeds(
            self.store,
            self.own,
            feeds.Callbacks(
                on_configuration=lambda found: None,
                on_workers=lambda listings, is_full_read: None,
                on_member=lambda member: self.daemons.append(member.daemon_id),
                on_layout=lambda layout, version: None,
                get_epochs=dict,
                on_evacuated=lambda known, began_at: None,
            ),
            lambda: 100.0,
            worker_lists.ListHistory(),
            REPORT_INTERVAL_S,
        )

    def _read_daemons(self, *found: stores.Row) -> None:
        entry = rows.encode_member(self.own)
        registered = stores.Row("d", entry, 1)
        self.store.tables[rows.DAEMONS_TABLE] = (*found, registered)
        with self.assertRaises(_EndOfScriptError):
            self.feeds.run_daemons()

    def _read_workers(self, *found: stores.Row) -> None:
        self.store.tables[rows.WORKERS_TABLE] = found
        with self.assertRaises(_EndOfScriptError):
            self.feeds.run_workers()

    def test_undecodable_rows_do_not_count_as_daemons(self):
        # Guards against daemons that stop following the workers, as the pause
        # between two reads grows with the number of daemons.
        odd = [stores.Row(f"odd{n}", UNDECODABLE, n + 2) for n in range(600)]
        self._read_daemons(*odd)
        self.assertEqual(self.daemons, [])
        self.assertEqual(self.feeds._choose_pause_s(), feeds.MIN_PAUSE_S)

    def test_rows_of_two_tables_with_the_same_key_are_told_apart(self):
        # Guards against a row that counts as changed each time that it is read.
        patch = mock.patch.object(feeds, "MIN_PAUSE_S", 0.01)
        patch.start()
        self.addCleanup(patch.stop)
        for _ in range(3):
            self._read_workers(stores.Row("odd", UNDECODABLE, 2))
            self._read_daemons(stores.Row("odd", UNDECODABLE, 3))
        with self.assertLogs(row_decoding.LOGGER) as logged:
            self._read_workers(stores.Row("odd2", UNDECODABLE, 4))
        self.assertEqual(logged.records[0].fields["omitted"], 0)


class PauseTest(unittest.TestCase):
    """The reads by all daemons together are bounded."""

    def test_few_daemons_use_the_least_pause(self):
        self.assertEqual(feeds.choose_pause_s(6), feeds.MIN_PAUSE_S)

    def test_many_daemons_stay_below_the_maximum_rate(self):
        for daemons in (36, 100, 300):
            reads_per_s = daemons / feeds.choose_pause_s(daemons)
            self.assertLessEqual(reads_per_s, feeds.MAX_READS_PER_S + 1e-9)
