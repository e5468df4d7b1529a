"""Build the transaction of a change, and judge what became of it.

The transaction checks the version that the change was compared with, so it
takes effect at most once however often it is sent: after the first time the
version has moved on.
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
    """A change that was compared with a version, ready to be sent.

    Attributes:
        base: The version compared with; 0 for "none yet".
        record: What the audit trail will say.
        transaction: What the table is asked.
    """

    base: int
    record: records.Record
    transaction: tables.Transaction


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change took effect and will not be undone.

    Attributes:
        version: The row's version that it made; the record's, which is not
            above it, if a later change has already followed.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Beaten:
    """The change did not take effect, nor will: another one came first.

    Attributes:
        version: The version now in the table.
        operator: Who made the version after the base; empty if not known.
    """

    version: int
    operator: str


@dataclasses.dataclass(frozen=True)
class Open:
    """The change has not taken effect yet; a copy on its way still may."""


Fate = Accepted | Beaten | Open


def get_files(row: tables.Row | None) -> dict[str, Any]:
    """Return both files in the current row as one object, to compare."""
    if row is None:
        return {}
    return row.value["customers"] | row.value["plans"]


def compare_with_row(
    row: tables.Row | None, candidate: loading.Candidate
) -> list[differences.Change]:
    """Return what a candidate changes in the current row."""
    after = candidate.customers | candidate.plans
    return differences.compare(get_files(row), after)


def propose(
    row: tables.Row | None,
    candidate: loading.Candidate,
    operator: str,
    change_id: str,
    applied_at: str,
) -> Proposal:
    """Return the proposal that turns the current row into the candidate."""
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
    """Check that the row has the version the operator expects, if any.

    Raises:
        exceptions.VersionMismatchError: It has another version.
    """
    found = row.version if row else 0
    if expected is not None and expected != found:
        raise exceptions.VersionMismatchError(expected, found)


def judge(
    proposal: Proposal,
    row: tables.Row | None,
    record_row: tables.Row | None,
) -> Fate:
    """Return what became of a proposal.

    Args:
        proposal: The proposal.
        row: The current row, read first.
        record_row: The record of the proposal's version, read after `row`;
            the other way round, a commit between both reads would be missed.
    """
    version = row.version if row else 0
    if record_row is not None:
        return _judge_record(proposal, row, record_row)
    return Open() if version == proposal.base else Beaten(version, "")


def _judge_record(
    proposal: Proposal, row: tables.Row | None, record_row: tables.Row
) -> Fate:
    version = row.version if row else 0
    try:
        record = records.parse_record(record_row.value)
    except exceptions.RecordInvalidError:
        return Beaten(version, "")
    if record.change_id != proposal.record.change_id:
        return Beaten(version, record.operator)
    is_latest = row is not None and row.value["change_id"] == record.change_id
    return Accepted(version if is_latest else record.version)
