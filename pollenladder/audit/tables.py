"""The operations of the platform's table that the audit package uses.

The caller passes them in as functions: the operators' tool passes the methods of
the platform's client, and tests pass those of a table in memory.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.core import verdicts


@dataclasses.dataclass(frozen=True)
class Row:
    """A row and its version, which increases with each write."""

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that take effect together if all checked versions still match.

    Attributes:
        checks: Expected versions by key; 0 if there must be no such row.
        writes: New values by key.
    """

    checks: dict[str, int]
    writes: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect; `versions` are the new ones by key."""

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """The transaction did not take effect, because a checked version differs.

    Attributes:
        key: The key of the row.
        version: The current version of the row.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """No answer was received.

    Attributes:
        verdict: `NOT_RUN` if the request can't have left this process, else
            `MAY_HAVE_RUN`.
        detail: The description of the error.
    """

    verdict: verdicts.Verdict
    detail: str


Reply = Committed | Conflicted | Unanswered


@dataclasses.dataclass(frozen=True)
class Table:
    """Functions of the platform's table.

    Attributes:
        read: Called with a key. Return the row, or None if there is none.
            Raises `exceptions.TableUnavailableError`.
        scan: Called with a prefix, a key and a limit. Return the first rows
            after the key whose keys have the prefix, in key order and at most
            as many as the limit. Raises `exceptions.TableUnavailableError`.
        commit: Called with a transaction. Send it once, without retries.
    """

    read: Callable[[str], Row | None]
    scan: Callable[[str, str, int], list[Row]]
    commit: Callable[[Transaction], Reply]
