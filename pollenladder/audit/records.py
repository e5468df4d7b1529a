"""Records of the audit trail: who changed what, when, and in which version."""

import dataclasses
from typing import Any

import pydantic

from pollenladder.audit import differences
from pollenladder.audit import exceptions
from pollenladder.audit import tables

KEY_PREFIX = "audit/"
VERSION_DIGITS = 12
# Growth of the scanned range of versions when it contains too few records.
SCAN_GROWTH_FACTOR = 4


@dataclasses.dataclass(frozen=True)
class Record:
    """The record of one accepted change.

    Attributes:
        version: The version that the change was compared with, plus 1. It
            equals the row's version if the platform increases versions by 1.
        change_id: The unique id that the tool generated.
        operator: The operator's id.
        applied_at: UTC time on the operator's clock, ISO 8601.
        summary: One line that lists the changed paths.
        changes: The changed fields.
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
    """Return the row key of a version's record.

    Keys are padded with zeros, so that they sort by version.
    """
    return f"{KEY_PREFIX}{version:0{VERSION_DIGITS}d}"


def build_value(record: Record) -> dict[str, Any]:
    """Return the row value that holds a record."""
    value = dataclasses.asdict(record)
    return value | {"changes": list(value["changes"])}


def parse_record(value: Any) -> Record:
    """Return the record in a row's value.

    Raises:
        exceptions.RecordInvalidError: The value is not a valid record.
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


def read_latest(
    table: tables.Table, current_version: int, count: int
) -> list[Record]:
    """Return the records of the latest versions, in order of version.

    Versions may have gaps. While too few records are found, the scan is
    repeated with a larger range of versions.

    Args:
        table: The platform's table.
        current_version: The version in force.
        count: Maximum number of records to return.

    Raises:
        exceptions.TableUnavailableError: The table did not answer.
        exceptions.RecordInvalidError: A row is not a valid record.
    """
    scanned_versions = count
    while True:
        after_key = build_key(max(0, current_version - scanned_versions))
        rows = table.scan(KEY_PREFIX, after_key, scanned_versions)[-count:]
        if len(rows) >= count or scanned_versions >= current_version:
            return [parse_record(row.value) for row in rows]
        scanned_versions *= SCAN_GROWTH_FACTOR
