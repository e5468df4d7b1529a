"""Records of the audit trail: who changed what, when, and to which version."""

import dataclasses
from typing import Any

import pydantic

from pollenladder.audit import differences
from pollenladder.audit import exceptions
from pollenladder.audit import tables

PREFIX = "audit/"
VERSION_DIGITS = 12
SPAN_FACTOR = 4


@dataclasses.dataclass(frozen=True)
class Record:
    """One accepted change.

    Attributes:
        version: The version that the change was compared with, plus one. It
            is the row's version if the platform counts by one.
        change_id: Drawn by the tool, unique for all time.
        operator: The operator's id.
        applied_at: UTC time on the operator's clock, ISO 8601.
        summary: One line.
        changes: What changed.
    """

    version: int
    change_id: str
    operator: str
    applied_at: str
    summary: str
    changes: tuple[differences.Change, ...]


class _ChangeModel(pydantic.BaseModel):
    path: str
    before: Any = None
    after: Any = None


class _RecordModel(pydantic.BaseModel):
    version: int
    change_id: str
    operator: str
    applied_at: str
    summary: str
    changes: list[_ChangeModel]


def build_key(version: int) -> str:
    """Return the row key of a version's record; keys sort by version."""
    return f"{PREFIX}{version:0{VERSION_DIGITS}d}"


def build_value(record: Record) -> dict[str, Any]:
    """Return a record as the row's value."""
    value = dataclasses.asdict(record)
    return value | {"changes": list(value["changes"])}


def parse_record(value: Any) -> Record:
    """Return the record in a row's value.

    Raises:
        exceptions.RecordInvalidError: The value has another form.
    """
    try:
        model = _RecordModel.model_validate(value)
    except pydantic.ValidationError as error:
        raise exceptions.RecordInvalidError(str(error)) from error
    changes = tuple(
        differences.Change(c.path, c.before, c.after) for c in model.changes
    )
    fields = {name: getattr(model, name) for name in _RecordModel.model_fields}
    return Record(**(fields | {"changes": changes}))


def read_latest(table: tables.Table, last: int, count: int) -> list[Record]:
    """Return the records of the latest versions, in order of version.

    Where the platform's versions have gaps, it looks further back until it has
    found enough.

    Args:
        table: The platform's table.
        last: The version in force.
        count: How many records at most.

    Raises:
        exceptions.TableUnavailableError: The table did not answer.
        exceptions.RecordInvalidError: A row has another form.
    """
    span = count
    while True:
        after = build_key(max(0, last - span))
        rows = table.scan(PREFIX, after, span)[-count:]
        if len(rows) >= count or span >= last:
            return [parse_record(row.value) for row in rows]
        span *= SPAN_FACTOR
