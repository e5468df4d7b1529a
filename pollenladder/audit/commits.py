"""Commit a proposal over a table that loses replies."""

from collections.abc import Callable
import dataclasses

from pollenladder.audit import exceptions
from pollenladder.audit import proposals
from pollenladder.audit import records
from pollenladder.audit import tables
from pollenladder.core import verdicts
from pollenladder.plans import loading

ATTEMPTS = 6


@dataclasses.dataclass(frozen=True)
class Unsettled:
    """Every attempt was used up and the fate is not known to be final.

    Attributes:
        verdict: `NOT_RUN` if no attempt can have reached the table, else
            `MAY_HAVE_RUN`: the change may have taken effect, or still may.
        detail: The last thing that went wrong.
    """

    verdict: verdicts.Verdict
    detail: str


Outcome = proposals.Accepted | proposals.Beaten | Unsettled


def commit(
    proposal: proposals.Proposal,
    table: tables.Table,
    pause: Callable[[], None],
    attempts: int = ATTEMPTS,
) -> Outcome:
    """Send a proposal until its fate is known.

    A conflict is looked into as well as a lost reply, since it may come from an
    earlier copy of this very proposal.

    Args:
        proposal: What to commit.
        table: The platform's table.
        pause: Called between attempts.
        attempts: How often to send it at most.
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
            fate = look_up_fate(proposal, table)
        except exceptions.TableUnavailableError as error:
            detail = str(error)
            continue
        if not isinstance(fate, proposals.Open):
            return fate
    return Unsettled(verdict, detail)


def look_up_fate(
    proposal: proposals.Proposal, table: tables.Table
) -> proposals.Fate:
    """Read what became of a proposal; the order of the reads matters.

    Raises:
        exceptions.TableUnavailableError: The table did not answer.
    """
    row = table.read(loading.ROW_KEY)
    record_row = table.read(records.build_key(proposal.record.version))
    return proposals.judge(proposal, row, record_row)
