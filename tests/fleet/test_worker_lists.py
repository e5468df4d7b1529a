"""When the list of workers counts as complete.

The tests guard against a task that starts a second time, because its earlier
run is still active on a worker that is not listed.
"""

import unittest

from pollenladder.fleet import worker_lists

EXPIRED_S = worker_lists.EXPIRED_WORKER_S


class History:
    """The knowledge of one daemon, with a clock of its own.

    Attributes:
        found: The knowledge under test.
        now: Monotonic time in seconds.
    """

    def __init__(self, now: float = 100.0, is_first_start: bool = False):
        self.found = worker_lists.ListHistory(is_first_start)
        self.now = now

    def read(self, version: int, is_full: bool = False) -> bool:
        """Read the table from a store that answers."""
        self.found.record_store_state(True, self.now)
        return self.found.record_read(version, self.now, is_full)

    def lose_store(self) -> None:
        """Fail to read the table."""
        self.found.record_store_state(False, self.now)

    def follow(self, version: int, seconds: float) -> int:
        """Read the changes each second; return the last version read."""
        for _ in range(round(seconds)):
            self.now += 1.0
            version += 1
            self.read(version)
        return version

    def find_doubt(self) -> str:
        """Return why unlisted workers may execute runs."""
        return self.found.find_doubt(self.now)

    def report(self) -> worker_lists.ListReport:
        """Return what the peers are told."""
        return self.found.build_report(self.now)

    def inherit(self, report: worker_lists.ListReport) -> bool:
        """Hear of a peer's knowledge."""
        return self.found.inherit(report, self.now)


class OwnKnowledgeTest(unittest.TestCase):
    """A process without peers."""

    def test_a_restarted_process_does_not_know_what_expired_before(self):
        history = History()
        history.read(1, is_full=True)
        history.follow(1, EXPIRED_S - 1)
        self.assertEqual(history.find_doubt(), "list_new")
        history.follow(40, 1)
        self.assertEqual(history.find_doubt(), "")

    def test_nothing_expired_before_the_first_start_of_the_system(self):
        history = History(is_first_start=True)
        history.lose_store()
        history.read(1, is_full=True)
        self.assertEqual(history.find_doubt(), "")

    def test_an_unread_table_is_not_complete(self):
        self.assertEqual(
            History(is_first_start=True).find_doubt(), "store_lost"
        )

    def test_a_lost_store_hides_workers(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.lose_store()
        self.assertEqual(history.find_doubt(), "store_lost")

    def test_rows_may_return_after_an_outage(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.lose_store()
        history.now += 5.0
        history.read(9)
        self.assertEqual(history.find_doubt(), "store_returned")
        history.follow(9, 3)
        self.assertEqual(history.find_doubt(), "")

    def test_a_process_that_starts_during_an_outage_waits_for_rows(self):
        history = History()
        history.lose_store()
        history.read(1, is_full=True)
        self.assertTrue(history.found.keeps_missing(history.now))

    def test_a_store_without_its_history_may_have_lost_rows(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.found.record_history_lost(history.now)
        history.read(9, is_full=True)
        self.assertEqual(history.find_doubt(), "store_returned")

    def test_an_expired_row_is_remembered(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.found.record_expired(history.now)
        history.follow(1, EXPIRED_S - 1)
        self.assertEqual(history.find_doubt(), "worker_expired")
        history.follow(40, 1)
        self.assertEqual(history.find_doubt(), "")

    def test_a_whole_read_after_a_gap_shows_no_expired_rows(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.now += worker_lists.MAX_READ_GAP_S
        self.assertFalse(history.read(2, is_full=True))
        history.now += worker_lists.MAX_READ_GAP_S + 0.1
        self.assertTrue(history.read(3, is_full=True))
        self.assertEqual(history.find_doubt(), "list_new")

    def test_changes_since_the_last_read_leave_no_gap(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.now += 13.0
        self.assertFalse(history.read(9))
        self.assertFalse(history.read(9, is_full=True))
        self.assertEqual(history.find_doubt(), "")

    def test_a_suspended_process_has_an_old_list(self):
        history = History(is_first_start=True)
        history.read(1, is_full=True)
        history.now += worker_lists.MAX_READ_AGE_S + 0.1
        self.assertEqual(history.find_doubt(), "list_old")


class InheritTest(unittest.TestCase):
    """A restarted process, and a peer that has known the list for long."""

    def setUp(self):
        self.peer = History()
        self.peer.read(1, is_full=True)
        self.version = self.peer.follow(1, EXPIRED_S + 5)
        self.own = History(now=7.0)
        self.own.read(self.version, is_full=True)

    def test_knowledge_of_a_peer_is_inherited(self):
        self.assertTrue(self.own.inherit(self.peer.report()))
        self.assertEqual(self.own.find_doubt(), "")

    def test_an_expiry_is_inherited(self):
        self.peer.found.record_expired(self.peer.now)
        self.own.inherit(self.peer.report())
        self.assertEqual(self.own.find_doubt(), "worker_expired")
        self.own.follow(self.version, EXPIRED_S)
        self.assertEqual(self.own.find_doubt(), "")

    def test_a_row_that_a_peer_misses_counts_as_expired(self):
        # The peer keeps the worker for a while; this process never saw it.
        self.peer.found.record_missing(self.peer.now)
        self.assertEqual(self.peer.find_doubt(), "")
        self.own.inherit(self.peer.report())
        self.assertEqual(self.own.find_doubt(), "worker_expired")

    def test_a_peer_that_read_before_this_process_knows_nothing_since(self):
        late = History(now=7.0)
        late.read(self.version + 1, is_full=True)
        self.assertFalse(late.inherit(self.peer.report()))
        self.peer.follow(self.version, 1)
        self.assertTrue(late.inherit(self.peer.report()))

    def test_a_delayed_report_does_not_count_as_a_later_read(self):
        report = self.peer.report()
        late = History(now=7.0)
        late.read(self.version + 9, is_full=True)
        late.now += 20.0
        self.assertFalse(late.inherit(report))

    def test_a_peer_that_has_not_read_knows_nothing(self):
        self.assertFalse(self.own.inherit(History().report()))
        self.assertFalse(History().inherit(self.peer.report()))

    def test_a_peer_that_was_restarted_too_knows_no_more(self):
        other = History()
        other.read(self.version, is_full=True)
        other.follow(self.version, 2)
        self.own.inherit(other.report())
        self.assertEqual(self.own.find_doubt(), "list_new")

    def test_inherited_knowledge_is_passed_on(self):
        self.peer.found.record_expired(self.peer.now)
        self.own.inherit(self.peer.report())
        third = History(now=900.0)
        third.read(self.version, is_full=True)
        self.assertTrue(third.inherit(self.own.report()))
        self.assertEqual(third.find_doubt(), "worker_expired")

    def test_a_gap_ends_inherited_knowledge(self):
        self.own.inherit(self.peer.report())
        self.own.now += worker_lists.MAX_READ_GAP_S + 0.1
        self.own.read(self.version + 1, is_full=True)
        self.assertEqual(self.own.find_doubt(), "list_new")
