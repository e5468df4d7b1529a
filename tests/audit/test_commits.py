"""Tests of proposals and their commit: races, lost and delayed replies."""

import itertools
import unittest

from pollenladder.audit import commits
from pollenladder.audit import exceptions
from pollenladder.audit import proposals
from pollenladder.audit import records
from pollenladder.audit import tables
from pollenladder.core import verdicts
from pollenladder.plans import declarations
from pollenladder.plans import loading
from tests import fakes

Accepted, Superseded = proposals.Accepted, proposals.Superseded
UNSETTLED_MAY_HAVE_RUN = commits.Unsettled(
    verdicts.Verdict.MAY_HAVE_RUN, "no reply"
)
UNSETTLED_NOT_RUN = commits.Unsettled(
    verdicts.Verdict.NOT_RUN, "connection refused"
)


def build_candidate(burst: int) -> loading.Candidate:
    plan = {"id": "gold", "allowance": {"burst": burst}, "kinds": []}
    return loading.Candidate(
        customers={"customers": [], "operators": []},
        plans={"plans": [plan]},
        declarations=declarations.EMPTY,
    )


def propose(table: fakes.FakeTable, burst: int, change_id: str):
    return proposals.propose(
        table.rows.get(loading.ROW_KEY),
        build_candidate(burst),
        operator=f"operator-{change_id}",
        change_id=change_id,
        applied_at="2026-01-01T00:00:00Z",
    )


def commit(table: fakes.FakeTable, proposal, attempts: int = 3):
    return commits.commit(proposal, table.open(), lambda: None, attempts)


def read_burst(table: fakes.FakeTable) -> int:
    value = table.rows[loading.ROW_KEY].value
    return value["plans"]["plans"][0]["allowance"]["burst"]


# Faults of successive commits, faults of successive reads, outcome.
FAULTS = (
    ([], [], Accepted(1)),
    (["lost"], [], Accepted(1)),
    (["dropped"], [], Accepted(1)),
    (["delayed"], [], Accepted(1)),
    (["refused"], [], Accepted(1)),
    (["lost"], [1], Accepted(1)),
    (["dropped", "lost"], [1, 1], Accepted(1)),
    (["lost", "lost", "lost"], [1, 1, 1], UNSETTLED_MAY_HAVE_RUN),
    (["delayed", "delayed", "delayed"], [0, 1, 0, 1], Accepted(1)),
    (["dropped"] * 3, [], UNSETTLED_MAY_HAVE_RUN),
    (["refused"] * 3, [], UNSETTLED_NOT_RUN),
    (["refused", "dropped", "refused"], [], UNSETTLED_MAY_HAVE_RUN),
)


class CommitTest(unittest.TestCase):
    def test_outcome_of_each_fault_and_a_single_write(self):
        for commit_faults, read_faults, expected in FAULTS:
            with self.subTest(commit=commit_faults, read=read_faults):
                table = fakes.FakeTable(commit_faults, read_faults)
                outcome = commit(table, propose(table, 5, "a"))
                if isinstance(expected, commits.Unsettled):
                    self.assertEqual(outcome.verdict, expected.verdict)
                else:
                    self.assertEqual(outcome, expected)
                written = loading.ROW_KEY in table.rows
                if written:
                    self.assertEqual(table.rows[loading.ROW_KEY].version, 1)
                self.assertTrue(written or not isinstance(outcome, Accepted))
                if outcome == UNSETTLED_NOT_RUN:
                    self.assertFalse(written)

    def test_exactly_one_racing_change_is_accepted_under_any_faults(self):
        faults = ("", "lost", "dropped", "delayed", "refused")
        for pair in itertools.product(faults, repeat=2):
            for first, second in itertools.product(pair, pair):
                self.check_race(first, second)

    def check_race(self, first: str, second: str) -> None:
        table = fakes.FakeTable([first, second])
        one, two = propose(table, 1, "a"), propose(table, 2, "b")
        table.commit(one.transaction)
        outcomes = [commit(table, two), commit(table, one)]
        with self.subTest(first=first, second=second):
            won = [o for o in outcomes if isinstance(o, Accepted)]
            lost = [o for o in outcomes if isinstance(o, Superseded)]
            self.assertEqual((len(won), len(lost)), (1, 1))
            winner = two if outcomes[0] in won else one
            row = table.rows[loading.ROW_KEY]
            self.assertEqual(row.value["change_id"], winner.record.change_id)
            self.assertEqual(lost[0].operator, winner.record.operator)
            self.assertEqual(row.version, 1)

    def test_change_followed_by_another_after_a_lost_reply_is_accepted(self):
        table = fakes.FakeTable(["lost"])
        one = propose(table, 1, "a")

        def overtake(key: str) -> None:
            table.before_read = lambda key: None
            later = propose(table, 2, "b")
            self.assertEqual(commit(table, later), Accepted(2))

        table.before_read = overtake
        self.assertEqual(commit(table, one), Accepted(1))
        self.assertEqual(read_burst(table), 2)

    def test_commit_between_the_two_reads_is_accepted(self):
        for read_key in (loading.ROW_KEY, records.build_key(1)):
            table = fakes.FakeTable(["dropped"])
            one = propose(table, 1, "a")

            def commit_late(
                key, table=table, one=one, read_key=read_key
            ) -> None:
                if key == read_key:
                    table.before_read = lambda key: None
                    table.commit(one.transaction)

            table.before_read = commit_late
            with self.subTest(read_key):
                self.assertEqual(commit(table, one), Accepted(1))

    def test_row_written_without_a_record_is_not_overwritten(self):
        table = fakes.FakeTable()
        commit(table, propose(table, 1, "a"))
        proposal = propose(table, 2, "b")
        value = table.rows[loading.ROW_KEY].value
        table.write(loading.ROW_KEY, value)
        self.assertEqual(commit(table, proposal), Superseded(2, ""))
        self.assertEqual(table.rows[loading.ROW_KEY].value, value)

    def test_record_left_by_a_deleted_row_is_a_conflict(self):
        table = fakes.FakeTable()
        commit(table, propose(table, 1, "a"))
        del table.rows[loading.ROW_KEY]
        outcome = commit(table, propose(table, 2, "b"))
        self.assertEqual(outcome, Superseded(0, "operator-a"))
        table.write(records.build_key(1), "no record")
        outcome = commit(table, propose(table, 2, "b"))
        self.assertEqual(outcome, Superseded(0, ""))


class MissingGuardTest(unittest.TestCase):
    """Each guard of `commit` is needed: without it, a wrong result is seen.

    The guards are the check of the version, reading the status after a
    conflict, and reading the row before the record.
    """

    def test_without_compare_and_set_an_update_is_lost(self):
        table = fakes.FakeTable(checked=False)
        one, two = propose(table, 1, "a"), propose(table, 2, "b")
        outcomes = [commit(table, two), commit(table, one)]
        self.assertEqual(outcomes, [Accepted(1), Accepted(2)])
        self.assertEqual(read_burst(table), 1)

    def test_conflict_reply_alone_would_deny_an_accepted_change(self):
        table = fakes.FakeTable(["delayed"])
        one = propose(table, 1, "a")
        table.commit(one.transaction)
        reply = table.commit(one.transaction)
        self.assertIsInstance(reply, tables.Conflicted)
        self.assertEqual(commit(table, one), Accepted(1))

    def test_reading_the_record_before_the_row_denies_an_accepted_change(self):
        table = fakes.FakeTable()
        one = propose(table, 1, "a")
        record_row = table.read(records.build_key(1))
        table.commit(one.transaction)
        row = table.read(loading.ROW_KEY)
        status = proposals.determine_status(one, row, record_row)
        self.assertIsInstance(status, Superseded)
        self.assertEqual(commits.look_up_status(one, table.open()), Accepted(1))


class ProposalTest(unittest.TestCase):
    def test_the_expected_version_is_checked(self):
        table = fakes.FakeTable()
        commit(table, propose(table, 1, "a"))
        row = table.rows[loading.ROW_KEY]
        proposals.check_expected(row, 1)
        proposals.check_expected(row, None)
        proposals.check_expected(None, 0)
        for given, expected in ((row, 0), (row, 2), (None, 1)):
            with self.assertRaises(exceptions.VersionMismatchError):
                proposals.check_expected(given, expected)

    def test_read_latest_returns_records_in_order_of_version(self):
        table = fakes.FakeTable()
        for version in range(1, 13):
            commit(table, propose(table, version, str(version)))
        latest = records.read_latest(table.open(), 12, 3)
        self.assertEqual([r.version for r in latest], [10, 11, 12])
        change = latest[-1].changes[0]
        self.assertEqual(change.path, "plans.gold.allowance.burst")
        self.assertEqual((change.before, change.after), (11, 12))
        self.assertEqual(latest[-1].summary, f"change {change.path}")
        self.assertEqual(len(records.read_latest(table.open(), 12, 99)), 12)

    def test_platform_versions_that_grow_by_more_than_one(self):
        table = fakes.FakeTable(["", "lost", "delayed"], step=1000)
        outcomes = [commit(table, propose(table, n, str(n))) for n in "123"]
        self.assertEqual(outcomes, [Accepted(n * 1000) for n in (1, 2, 3)])
        for count in (1, 2, 3, 9):
            latest = records.read_latest(table.open(), 3000, count)
            self.assertEqual(len(latest), min(count, 3))
            self.assertEqual(latest[-1].change_id, "3")

    def test_invalid_row_is_not_a_record(self):
        for value in (None, {}, {"version": "x"}):
            with self.assertRaises(exceptions.RecordInvalidError):
                records.parse_record(value)
