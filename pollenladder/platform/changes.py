"""Changes whose fate can be found out after a lost reply.

A change writes a marker: a row that no other change writes, made by this one and
holding its change id. Its transaction checks that the marker is not there, so
that sending it again cannot apply it twice, nor on top of another change.
"""

from collections.abc import Callable
import dataclasses

from pollenladder.platform import entities
from pollenladder.platform import exceptions

CHANGE_ID = "change_id"

Transact = Callable[
    [list[entities.Check], list[entities.Write]], dict[str, int]
]
GetRow = Callable[[str], entities.Row | None]


@dataclasses.dataclass(frozen=True)
class Change:
    """A change to the table.

    Attributes:
        change_id: Unique for all time.
        marker_key: A row among `writes`, whose value is an object that holds
            `change_id`; it must not exist yet.
        checks: Versions that the change rests on, the marker's left out.
        writes: The new rows.
    """

    change_id: str
    marker_key: str
    checks: tuple[entities.Check, ...]
    writes: tuple[entities.Write, ...]


@dataclasses.dataclass(frozen=True)
class Committed:
    """The change took effect."""


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """The change did not take effect, nor will it.

    Attributes:
        key: The row that another change has written.
        version: The version it has; 0 for no row.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The platform is not there to tell; the change may yet take effect."""

    detail: str


CommitOutcome = Committed | Conflicted | Undecided


def check_change(change: Change) -> None:
    """Check that the marker is written with the change id.

    Raises:
        ValueError: It is not.
    """
    marked = any(
        write.key == change.marker_key
        and isinstance(write.value, dict)
        and write.value.get(CHANGE_ID) == change.change_id
        for write in change.writes
    )
    if not marked:
        raise ValueError(f"{change.marker_key!r} does not hold the change id")


def commit(
    change: Change, transact: Transact, get_row: GetRow, attempts: int
) -> CommitOutcome:
    """Apply a change, and find out what came of it if replies are lost.

    Args:
        change: The change.
        transact: Applies a transaction, as the client does.
        get_row: Reads a row, as the client does.
        attempts: How often to send the transaction at most.

    Returns:
        Whether it took effect.

    Raises:
        RequestRefusedError: The platform calls the request wrong.
        UnreachableError: No attempt had any effect.
    """
    check_change(change)
    checks = [entities.Check(change.marker_key, 0), *change.checks]
    detail = ""
    for _ in range(attempts):
        try:
            transact(checks, list(change.writes))
            return Committed()
        except exceptions.ConflictError as conflict:
            refusal = Conflicted(conflict.key, conflict.version)
            # Without a lost reply before it, the conflict is another's.
            return _decide(change, get_row, refusal) if detail else refusal
        except exceptions.NoReplyError as error:
            detail = str(error)
        except exceptions.UnreachableError as error:
            if not detail:
                raise
            detail = str(error)
        outcome = _decide(change, get_row, Undecided(detail))
        if not isinstance(outcome, Undecided):
            return outcome
    return Undecided(detail)


def _decide(
    change: Change, get_row: GetRow, otherwise: CommitOutcome
) -> CommitOutcome:
    """Tell from the marker what came of earlier attempts.

    Args:
        change: The change.
        get_row: Reads a row.
        otherwise: The outcome if there is no marker.
    """
    try:
        marker = get_row(change.marker_key)
    except exceptions.UnavailableError as error:
        return Undecided(str(error))
    if marker is None:
        return otherwise
    value = marker.value if isinstance(marker.value, dict) else {}
    if value.get(CHANGE_ID) == change.change_id:
        return Committed()
    return Conflicted(change.marker_key, marker.version)
