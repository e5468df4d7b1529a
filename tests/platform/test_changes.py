"""Tests of changes whose replies may be lost, on a table in memory."""

import unittest

from pollenladder.platform import changes
from pollenladder.platform import entities
from pollenladder.platform import exceptions
from standins import platform_table

MARKER = "audit/000000000002"
CURRENT = "declarations/current"


class FlakyTable:
    """The stand-in's table, with one fault for each transaction.

    Faults: "ok"; "lost" takes effect without a reply; "dropped" has no effect
    and no reply; "late" takes effect only when the next read has been served;
    "unreachable"; "raced" lets another change come first. "blind" before it
    makes reads fail from then on.
    """

    def __init__(self, faults):
        self.table = platform_table.Table()
        self.commit("first", 0, 1)
        self.faults = list(faults)
        self.reads_fail = False
        self.late = None
        self.effects = 0

    def commit(self, change_id, version, number):
        marker = f"audit/{number:012}"
        writes = [
            platform_table.Write(marker, {"change_id": change_id}),
            platform_table.Write(CURRENT, change_id),
        ]
        checks = [platform_table.Check(CURRENT, version)]
        return self.table.transact(checks, writes)

    def transact(self, checks, writes):
        fault = self.faults.pop(0)
        if fault.startswith("blind "):
            self.reads_fail = True
            fault = fault.removeprefix("blind ")
        if fault == "unreachable":
            raise exceptions.UnreachableError("refused")
        if fault == "raced":
            self.commit("other", self.table.get(CURRENT).version, 2)
        if fault == "dropped":
            raise exceptions.NoReplyError("closed")
        if fault == "late":
            self.late = (checks, writes)
            raise exceptions.NoReplyError("timeout")
        versions = self.apply(checks, writes)
        if fault == "lost":
            raise exceptions.NoReplyError("closed")
        return versions

    def apply(self, checks, writes):
        outcome = self.table.transact(checks, writes)
        if isinstance(outcome, platform_table.Conflict):
            raise exceptions.ConflictError(outcome.key, outcome.version)
        self.effects += 1
        return outcome

    def get_row(self, key):
        if self.reads_fail:
            raise exceptions.NoReplyError("closed")
        row = self.table.get(key)
        if self.late is not None:
            self.apply(*self.late)
            self.late = None
        return row


def build_change(table):
    version = table.table.get(CURRENT).version
    return changes.Change(
        "mine",
        MARKER,
        (entities.Check(CURRENT, version),),
        (
            entities.Write(MARKER, {"change_id": "mine"}),
            entities.Write(CURRENT, "mine"),
        ),
    )


# Faults by attempt, the outcome, and whether the change took effect.
CASES = {
    "applied": (["ok"], changes.Committed, 1),
    "raced": (["raced"], changes.Conflicted, 0),
    "reply lost": (["lost"], changes.Committed, 1),
    "request lost": (["dropped", "ok"], changes.Committed, 1),
    "request lost, then raced": (
        ["dropped", "raced"],
        changes.Conflicted,
        0,
    ),
    "request delayed past the read": (["late", "ok"], changes.Committed, 1),
    "reply lost, reads fail": (["blind lost"], changes.Undecided, 1),
    "request lost, reads fail": (
        ["blind dropped", "ok"],
        changes.Committed,
        1,
    ),
    "never through, reads fail": (
        ["blind dropped", "dropped", "dropped"],
        changes.Undecided,
        0,
    ),
    "never through": (["dropped"] * 3, changes.Undecided, 0),
    "lost, then unreachable": (
        ["dropped", "unreachable", "unreachable"],
        changes.Undecided,
        0,
    ),
    "lost, unreachable, then through": (
        ["dropped", "unreachable", "ok"],
        changes.Committed,
        1,
    ),
}


def commit_once(change, transact, get_row):
    return changes.commit(change, transact, get_row, attempts=3)


def commit_without_marker(change, transact, get_row):
    """Send again until there is a reply, and take it at its word."""
    while True:
        try:
            transact(list(change.checks), list(change.writes))
            return changes.Committed()
        except exceptions.ConflictError as error:
            return changes.Conflicted(error.key, error.version)
        except exceptions.NoReplyError:
            continue


def run_case(name, commit):
    faults, expected, effects = CASES[name]
    table = FlakyTable(faults + ["ok"])
    outcome = commit(build_change(table), table.transact, table.get_row)
    return type(outcome) is expected and table.effects == effects


class ChangeTest(unittest.TestCase):
    def test_cases(self):
        for name in CASES:
            with self.subTest(name):
                self.assertTrue(run_case(name, commit_once))

    def test_cases_see_a_commit_without_marker(self):
        self.assertFalse(run_case("reply lost", commit_without_marker))

    def test_unreachable_from_the_start_is_not_done(self):
        table = FlakyTable(["unreachable"])
        with self.assertRaises(exceptions.UnreachableError):
            commit_once(build_change(table), table.transact, table.get_row)

    def test_a_change_without_its_marker_is_refused(self):
        change = changes.Change("mine", MARKER, (), ())
        with self.assertRaises(ValueError):
            commit_once(change, None, None)
