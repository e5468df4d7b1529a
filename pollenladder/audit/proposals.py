"""Build the transaction of a change, and determine its status.

The transaction checks the version that the change was compared with. It takes
effect at most once, however often it is sent, because the first commit
increases the version.
"""

import dataclasses
from typing import Any

from pollenladder.audit import differences
from pollenladder.audit import exceptions
from pollenladder.audit import records
from pollenladder.audit import tables
from pollenladder.plans import loading


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change relative to a version, ready to be sent to the table.

    Attributes:
        base: The version that the change was compared with; 0 if there are no
            declarations yet.
        record: The record for the audit trail.
        transaction: The transaction that writes the change and its record.
    """

    base: int
    record: records.Record
    transaction: tables.Transaction


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change took effect and is final.

    Attributes:
        version: The version of the row that the change wrote. If another
            change has followed, it is the version in the record instead,
            which is not greater.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The change did not and will not take effect: another one came first.

    Attributes:
        version: The current version in the table.
        operator: The id of the operator who committed the version after the
            base; empty if not known.
    """

    version: int
    operator: str


@dataclasses.dataclass(frozen=True)
class Pending:
    """The change has not taken effect; a copy in transit still may."""


Status = Accepted | Superseded | Pending


def get_files(row: tables.Row | None) -> dict[str, Any]:
    """Return both files in the current row, merged into one object."""
    if row is None:
        return {}
    return row.value["customers"] | row.value["plans"]


def compare_with_row(
    row: tables.Row | None, candidate: loading.Candidate
) -> list[differences.Change]:
    """Return the changes of a candidate relative to the current row."""
    after = candidate.customers | candidate.plans
    return differences.compare(get_files(row), after)


def propose(
    row: tables.Row | None,
    candidate: loading.Candidate,
    operator: str,
    change_id: str,
    applied_at: str,
) -> Proposal:
    """Return the proposal that replaces the current row by the candidate.

    Args:
        row: The current row, or None if there is none.
        candidate: The new declarations.
        operator: The operator's id.
        change_id: A new id that no other change has.
        applied_at: UTC time on the operator's clock, ISO 8601.
    """
    base = row.version if row else 0
    changes = compare_with_row(row, candidate)
    record = records.Record(
        version=base + 1,
        change_id=change_id,
        operator=operator,
        applied_at=applied_at,
        summary=differences.summarize(changes),
        changes=tuple(changes),
    )
    value = {
        "version": record.version,
        "change_id": change_id,
        "customers": candidate.customers,
        "plans": candidate.plans,
    }
    record_key = records.build_key(record.version)
    transaction = tables.Transaction(
        checks={loading.ROW_KEY: base, record_key: 0},
        writes={
            loading.ROW_KEY: value,
            record_key: records.build_value(record),
        },
    )
    return Proposal(base, record, transaction)


def check_expected(row: tables.Row | None, expected: int | None) -> None:
    """Check that the row has the version that the operator expects, if any.

    Raises:
        exceptions.VersionMismatchError: The row has another version.
    """
    found = row.version if row else 0
    if expected is not None and expected != found:
        raise exceptions.VersionMismatchError(expected, found)


def determine_status(
    proposal: Proposal,
    row: tables.Row | None,
    record_row: tables.Row | None,
) -> Status:
    """Return the status of a proposal.

    Args:
        proposal: The proposal.
        row: The current row, which must be read first.
        record_row: The record of the proposal's version, read after `row`. In
            the other order, a commit of the proposal between the two reads
            would look like the commit of another change.
    """
    version = row.version if row else 0
    if record_row is not None:
        return _determine_status_from_record(proposal, row, record_row)
    return Pending() if version == proposal.base else Superseded(version, "")


def _determine_status_from_record(
    proposal: Proposal, row: tables.Row | None, record_row: tables.Row
) -> Status:
    """Return the status of a proposal whose version has a record."""
    version = row.version if row else 0
    try:
        record = records.parse_record(record_row.value)
    except exceptions.RecordInvalidError:
        return Superseded(version, "")
    if record.change_id != proposal.record.change_id:
        return Superseded(version, record.operator)
    is_latest = row is not None and row.value["change_id"] == record.change_id
    return Accepted(version if is_latest else record.version)
