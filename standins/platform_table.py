"""Versioned rows and transactions of the simulated table service."""

import bisect
import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes:
        key: The key of the row.
        value: Any JSON value except null.
        version: Number of the transaction that wrote the row; it increases
            with each transaction on the table.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Expected version of a row; 0 means that the row must not exist."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """New value of a row; None deletes the row."""

    key: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The first failed check, with the current version of the row."""

    key: str
    version: int


class Table:
    """Rows in key order."""

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = 0

    def get(self, key: str) -> Row | None:
        """Return a row, or None."""
        return self._rows.get(key)

    def list_rows(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows with a prefix and keys after `after`."""
        first = bisect.bisect_left(self._keys, prefix)
        if after:
            first = max(first, bisect.bisect_right(self._keys, after))
        found = []
        for key in self._keys[first : first + limit]:
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    def transact(
        self, checks: list[Check], writes: list[Write]
    ) -> dict[str, int] | Conflict:
        """Apply all writes if every check succeeds, and none otherwise.

        Returns:
            The new version of each written row, 0 for a deleted one, or the
            conflict.
        """
        for check in checks:
            row = self._rows.get(check.key)
            version = row.version if row else 0
            if version != check.version:
                return Conflict(check.key, version)
        self._version += 1
        return {write.key: self._write(write) for write in writes}

    def _write(self, write: Write) -> int:
        if write.value is None:
            if self._rows.pop(write.key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, write.key)]
            return 0
        if write.key not in self._rows:
            bisect.insort(self._keys, write.key)
        row = Row(write.key, write.value, self._version)
        self._rows[write.key] = row
        return row.version
