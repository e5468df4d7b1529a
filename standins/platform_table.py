"""The platform's table service: rows with versions, and transactions."""

import bisect
import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row.

    Attributes:
        key: Its key.
        value: Any JSON value but null.
        version: Above that of any earlier transaction in the table.
    """

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """What a transaction expects of a row; version 0 means "no such row"."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A new value of a row; None deletes it."""

    key: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The first check that failed, with the version that the row has."""

    key: str
    version: int


class Table:
    """All rows, in key order."""

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = 0

    def get(self, key: str) -> Row | None:
        """Return a row."""
        return self._rows.get(key)

    def list_rows(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows with a prefix and keys above `after`."""
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
        """Apply all writes if all checks hold, else none.

        Returns:
            The new version of each written row, or the conflict.
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
