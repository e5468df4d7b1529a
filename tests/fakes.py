"""A platform table in memory, with the faults of a real one."""

from collections.abc import Callable
import copy
from typing import Any

from pollenladder.audit import exceptions
from pollenladder.audit import tables
from pollenladder.core import verdicts

MAY = verdicts.Verdict.MAY_HAVE_RUN
NOT = verdicts.Verdict.NOT_RUN


class FakeTable:
    """Rows by key, and a list of faults that the next commits take.

    A fault is "lost" (takes effect, no answer), "dropped" (no effect, no
    answer), "delayed" (no answer, takes effect at the next read or commit),
    "refused" (no connection) or "" (none). Versions grow
    by `step`.
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
        self._arrive()
        if self.read_faults and self.read_faults.pop(0):
            raise exceptions.TableUnavailableError("the table is down")
        return copy.deepcopy(self.rows.get(key))

    def scan(self, prefix: str, after: str, limit: int) -> list[tables.Row]:
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        return [self.rows[k] for k in keys if k > after][:limit]

    def commit(self, transaction: tables.Transaction) -> tables.Reply:
        self.commits += 1
        self._arrive()
        fault = self.commit_faults.pop(0) if self.commit_faults else ""
        if fault == "refused":
            return tables.Unanswered(NOT, "connection refused")
        if fault == "delayed":
            self.delayed.append(transaction)
        reply = None
        if fault in ("", "lost"):
            reply = self._run(transaction)
        return reply if not fault else tables.Unanswered(MAY, "no reply")

    def write(self, key: str, value: Any) -> None:
        version = self.rows[key].version if key in self.rows else 0
        self.rows[key] = tables.Row(
            key, copy.deepcopy(value), version + self.step
        )

    def _arrive(self) -> None:
        late, self.delayed = self.delayed, []
        for transaction in late:
            self._run(transaction)

    def _run(self, transaction: tables.Transaction) -> tables.Reply:
        for key, version in transaction.checks.items():
            found = self.rows[key].version if key in self.rows else 0
            if self.checked and found != version:
                return tables.Conflicted(key, found)
        for key, value in transaction.writes.items():
            self.write(key, value)
        return tables.Committed(
            {k: self.rows[k].version for k in transaction.writes}
        )
