"""Commit a proposal to a table whose replies may be lost."""

from collections.abc import Callable
import dataclasses

from pollenladder.audit import exceptions
from pollenladder.audit import proposals
from pollenladder.audit import records
from pollenladder.audit import tables
from pollenladder.core import verdicts
from pollenladder.plans import loading

DEFAULT_ATTEMPTS = 6


@dataclasses.dataclass(frozen=True)
class Unsettled:
    """The outcome is unknown after the last attempt.

    Attributes:
        verdict: `NOT_RUN` if no attempt can have reached the table, else
            `MAY_HAVE_RUN`: the change may already have taken effect, or may
            still take effect.
        detail: The description of the last error.
    """

    verdict: verdicts.Verdict
    detail: str


Outcome = proposals.Accepted | proposals.Superseded | Unsettled


def commit(
    proposal: proposals.Proposal,
    table: tables.Table,
    pause: Callable[[], None],
    attempts: int = DEFAULT_ATTEMPTS,
) -> Outcome:
    """Send a proposal until its outcome is known.

    The status is read from the table after a lost reply and also after a
    conflict, because an earlier copy of the same proposal may have caused the
    conflict.

    Args:
        proposal: The proposal to commit.
        table: The platform's table.
        pause: Called between attempts.
        attempts: Maximum number of attempts.

    Returns:
        The final status of the proposal, or `Unsettled` if it is unknown.
    """
    verdict = verdicts.Verdict.NOT_RUN
    detail = ""
    for attempt in range(attempts):
        if attempt:
            pause()
        reply = table.commit(proposal.transaction)
        if isinstance(reply, tables.Committed):
            return proposals.Accepted(reply.versions[loading.ROW_KEY])
        if isinstance(reply, tables.Unanswered):
            detail = reply.detail
            if reply.verdict is not verdicts.Verdict.NOT_RUN:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
        try:
            status = look_up_status(proposal, table)
        except exceptions.TableUnavailableError as error:
            detail = str(error)
            continue
        if not isinstance(status, proposals.Pending):
            return status
    return Unsettled(verdict, detail)


def look_up_status(
    proposal: proposals.Proposal, table: tables.Table
) -> proposals.Status:
    """Read the status of a proposal from the table.

    The current row is read before the record. In the other order, a commit of
    the proposal between the reads would look like the commit of another change.

    Raises:
        exceptions.TableUnavailableError: The table did not answer.
    """
    row = table.read(loading.ROW_KEY)
    record_row = table.read(records.build_key(proposal.record.version))
    return proposals.determine_status(proposal, row, record_row)
