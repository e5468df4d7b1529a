"""What the audit package asks of the platform's table.

The functions are given by the caller, so that decisions are tested on a table
in memory and wired to the platform's client by the tool.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.core import verdicts


@dataclasses.dataclass(frozen=True)
class Row:
    """A row and its version, which grows with each write."""

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that take effect together, if no checked version has changed.

    Attributes:
        checks: Expected version by key; 0 means "no such row".
        writes: New value by key.
    """

    checks: dict[str, int]
    writes: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect; the new versions by key."""

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """The transaction did not take effect, as this row has this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """No answer came.

    Attributes:
        verdict: `NOT_RUN` if the request can't have left this process, else
            `MAY_HAVE_RUN`.
        detail: What went wrong.
    """

    verdict: verdicts.Verdict
    detail: str


Reply = Committed | Conflicted | Unanswered


@dataclasses.dataclass(frozen=True)
class Table:
    """Functions of the platform's table.

    Attributes:
        read: Return a row by key, or None if there is none. Raises
            `exceptions.TableUnavailableError`.
        scan: Return at most so many rows whose keys have a prefix and follow a
            key, in key order. Raises `exceptions.TableUnavailableError`.
        commit: Run a transaction once, without retries.
    """

    read: Callable[[str], Row | None]
    scan: Callable[[str, str, int], list[Row]]
    commit: Callable[[Transaction], Reply]
