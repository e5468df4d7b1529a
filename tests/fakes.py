"""An in-memory platform table that can inject faults."""

from collections.abc import Callable
import copy
from typing import Any

from pollenladder.audit import exceptions
from pollenladder.audit import tables
from pollenladder.core import verdicts

MAY = verdicts.Verdict.MAY_HAVE_RUN
NOT = verdicts.Verdict.NOT_RUN


class FakeTable:
    """An in-memory table with a queue of faults for the next commits.

    A commit fault is "lost" (the commit is applied, its reply is lost),
    "dropped" (neither applied nor answered), "delayed" (not answered, applied
    at the next read or commit), "refused" (connection refused) or "" (no
    fault).

    Attributes:
        rows: The rows by key.
        commit_faults: The faults of the next commits, in order.
        read_faults: Whether each of the next reads fails, in order.
        checked: Whether a commit fails if a row that it depends on has changed.
        step: How much a write increases a row's version.
        delayed: Commits that have not been applied yet.
        before_read: Called with the key before each read.
        commits: The number of commits so far.
    """

    def __init__(
        self, commit_faults=(), read_faults=(), checked: bool = True, step=1
    ):
        self.rows: dict[str, tables.Row] = {}
        self.commit_faults = list(commit_faults)
        self.read_faults = list(read_faults)
        self.checked = checked
        self.step = step
        self.delayed: list[tables.Transaction] = []
        self.before_read: Callable[[str], None] = lambda key: None
        self.commits = 0

    def open(self) -> tables.Table:
        return tables.Table(self.read, self.scan, self.commit)

    def read(self, key: str) -> tables.Row | None:
        self.before_read(key)
        self._apply_delayed()
        if self.read_faults and self.read_faults.pop(0):
            raise exceptions.TableUnavailableError("the table is down")
        return copy.deepcopy(self.rows.get(key))

    def scan(self, prefix: str, after: str, limit: int) -> list[tables.Row]:
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        return [self.rows[k] for k in keys if k > after][:limit]

    def commit(self, transaction: tables.Transaction) -> tables.Reply:
        self.commits += 1
        self._apply_delayed()
        fault = self.commit_faults.pop(0) if self.commit_faults else ""
        if fault == "refused":
            return tables.Unanswered(NOT, "connection refused")
        if fault == "delayed":
            self.delayed.append(transaction)
        reply = None
        if fault in ("", "lost"):
            reply = self._apply(transaction)
        return reply if not fault else tables.Unanswered(MAY, "no reply")

    def write(self, key: str, value: Any) -> None:
        version = self.rows[key].version if key in self.rows else 0
        self.rows[key] = tables.Row(
            key, copy.deepcopy(value), version + self.step
        )

    def _apply_delayed(self) -> None:
        pending, self.delayed = self.delayed, []
        for transaction in pending:
            self._apply(transaction)

    def _apply(self, transaction: tables.Transaction) -> tables.Reply:
        for key, version in transaction.checks.items():
            found = self.rows[key].version if key in self.rows else 0
            if self.checked and found != version:
                return tables.Conflicted(key, found)
        for key, value in transaction.writes.items():
            self.write(key, value)
        return tables.Committed(
            {k: self.rows[k].version for k in transaction.writes}
        )
