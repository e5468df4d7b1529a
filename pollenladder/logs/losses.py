"""Count the jobs that were not served in time, from logs of daemons.

After an overload or an outage, operators need to know how many callers of which queue
were refused, failed or served late, when, and for what reason.
"""

from collections.abc import Iterable
import dataclasses
import datetime

from pollenladder.logs import explanations

ANSWERED = "job_answered"
ENDED = "job_ended"
COMPLETED = "completed"
LATE = "late"


@dataclasses.dataclass(frozen=True, order=True)
class Loss:
    """Jobs of one queue that were lost for one reason within one window.

    Attributes:
        begin: Begin of the window, as a time of the logs.
        queue: The queue.
        outcome: The outcome in the answer, or "late" for jobs that were completed
            after their objective, as the owner expects it.
        reason: The reason in the answer.
        jobs: The number of jobs.
    """

    begin: str
    queue: str
    outcome: str
    reason: str
    jobs: int


@dataclasses.dataclass(frozen=True)
class Report:
    """The losses in the logs.

    Attributes:
        answered: The number of answered jobs, including the lost ones.
        losses: The losses, the earliest first.
    """

    answered: int
    losses: tuple[Loss, ...]


def count_losses(lines: Iterable[explanations.Line], window_s: float) -> Report:
    """Return the losses, by windows of equal length.

    A job counts once, with its answer at the gateway. Lines that lack a field or
    have an invalid time are skipped.
    """
    lines = list(lines)
    late = {
        line.fields.get("job")
        for line in lines
        if line.event.name == ENDED and line.fields.get("in_time") is False
    }
    counts: dict[tuple[str, str, str, str], int] = {}
    answered = 0
    for line in lines:
        if line.event.name != ANSWERED:
            continue
        key = _classify(line, late, window_s)
        if key is None:
            continue
        answered += 1
        if key[2] != COMPLETED:
            counts[key] = counts.get(key, 0) + 1
    losses = sorted(Loss(*key, jobs) for key, jobs in counts.items())
    return Report(answered, tuple(losses))


def _classify(
    line: explanations.Line, late: set, window_s: float
) -> tuple[str, str, str, str] | None:
    """Return the window, queue, outcome and reason of an answered job."""
    fields = line.fields
    try:
        begin = _find_window(line.time, window_s)
        queue = str(fields["queue"])
        outcome = str(fields["outcome"])
        reason = str(fields["reason"])
    except (KeyError, ValueError):
        return None
    if outcome == COMPLETED and fields.get("job") in late:
        outcome = LATE
    return begin, queue, outcome, reason


def _find_window(time: str, window_s: float) -> str:
    at_s = datetime.datetime.fromisoformat(time).timestamp()
    begin_s = at_s // window_s * window_s
    begin = datetime.datetime.fromtimestamp(begin_s, datetime.UTC)
    return begin.isoformat(timespec="milliseconds").replace("+00:00", "Z")
