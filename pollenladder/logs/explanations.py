"""Explain the outcome of one request from the logs of several daemons."""

from collections.abc import Iterable
import dataclasses
import datetime
import json
from typing import Any

from pollenladder.logs import events
from pollenladder.logs import exceptions

BASE_FIELDS = ("time", "level", "daemon", "event")
# Changes of ownership or of dependencies that precede a request's first line by
# at most this time may explain its outcome.
CONTEXT_BEFORE_S = 3.0
# Events that tell why a run did not complete its task.
_FAILED_RUN_EVENTS = (
    "task_requeued",
    "run_failed",
    "run_moved",
    "run_on_lost_worker",
)
CONTEXT_KINDS = (events.Kind.OWNERSHIP, events.Kind.DEPENDENCY)


@dataclasses.dataclass(frozen=True)
class Line:
    """One parsed line of a log.

    Attributes:
        time: Time as an ISO 8601 string in UTC, which sorts as text.
        daemon: Id of the daemon that wrote the line.
        event: The event that the line reports.
        fields: All other fields of the line.
    """

    time: str
    daemon: str
    event: events.Event
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Explanation of the outcome of one request.

    Attributes:
        job: Id of the request's job.
        lines: All lines about the job or its tasks, ordered by time.
        context: Lines about ownership and dependencies, from shortly before
            the first to the last line of the job, ordered by time.
        cause: The reason for the outcome.
    """

    job: str
    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    cause: str


def parse_line(text: str, location: str) -> Line:
    """Parse one line of a log.

    Text before the first `{`, such as a prefix of the log collector, is
    skipped.

    Args:
        text: The line.
        location: File name and line number for error messages.

    Raises:
        exceptions.MalformedLineError: The line is truncated, or was not written
            by a daemon.
    """
    start = text.find("{")
    try:
        found = json.loads(text[start:]) if start >= 0 else None
    except ValueError as error:
        raise exceptions.MalformedLineError(
            f"{location}: truncated line: {error}"
        ) from error
    if not isinstance(found, dict) or any(n not in found for n in BASE_FIELDS):
        raise exceptions.MalformedLineError(
            f"{location}: not written by a daemon"
        )
    event = events.EVENTS.get(found["event"])
    if event is None:
        name = str(found["event"])[:40]
        event = events.Event(name, events.Kind.PROCESS, "an unlisted event")
    fields = {k: v for k, v in found.items() if k not in BASE_FIELDS}
    return Line(found["time"], found["daemon"], event, fields)


def explain_job(job: str, lines: Iterable[Line]) -> Explanation | None:
    """Return the explanation of a job, or None if no line mentions it."""
    ordered = sorted(lines, key=lambda line: line.time)
    job_lines = tuple(line for line in ordered if _mentions_job(line, job))
    if not job_lines:
        return None
    first = shift_time(job_lines[0].time, -CONTEXT_BEFORE_S)
    last = job_lines[-1].time
    context = tuple(
        line
        for line in ordered
        if line.event.kind in CONTEXT_KINDS and first <= line.time <= last
    )
    return Explanation(job, job_lines, context, find_cause(job_lines, context))


def find_cause(job_lines: Iterable[Line], context: Iterable[Line]) -> str:
    """Return the reason for a job's outcome, in one sentence.

    Args:
        job_lines: Lines about the job.
        context: Lines about ownership and dependencies during the job.
    """
    job_lines = tuple(job_lines)
    by_event = {line.event.name: line for line in job_lines}
    for name, describe in _CAUSE_DESCRIPTIONS:
        line = by_event.get(name)
        text = describe(line.fields, job_lines, tuple(context)) if line else ""
        if text:
            return text
    return "unknown: the logs end before the job's outcome"


def shift_time(time: str, seconds: float) -> str:
    """Add seconds to the time of a line; return it in the same format."""
    at = datetime.datetime.fromisoformat(time)
    shifted = at + datetime.timedelta(seconds=seconds)
    text = shifted.astimezone(datetime.UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def _mentions_job(line: Line, job: str) -> bool:
    """Return whether a line names the job or one of its tasks.

    A task id starts with the id of its job, followed by a dot.
    """
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == job or task.split(".", 1)[0] == job


def _describe_rejected(fields: dict, job_lines: tuple, context: tuple) -> str:
    return (
        "its gateway rejected it as invalid or impossible to run:"
        f" {fields['reason']}"
    )


def _describe_refused(fields: dict, job_lines: tuple, context: tuple) -> str:
    if fields["reason"] != "no_room_in_time":
        return f"refused on arrival: {fields['reason']}"
    return (
        f"refused on arrival: its last task would have waited"
        f" {fields['wait_s']} s, but only {fields['allowed_s']} s were left;"
        f" {fields['jobs']} jobs were in progress"
    )


def _describe_ended(fields: dict, job_lines: tuple, context: tuple) -> str:
    if fields["outcome"] == "completed" and fields["in_time"]:
        return "none: the job was completed in time"
    failures = [
        f"{line.fields['task']} on {line.fields.get('worker', '')}:"
        f" {line.fields.get('reason') or line.event.name}"
        for line in job_lines
        if line.event.name in _FAILED_RUN_EVENTS
    ]
    text = (
        f"{fields['outcome']} ({fields['reason']}) after {fields['took_s']} s"
    )
    if failures:
        return f"{text}; " + "; ".join(failures)
    changes = _describe_context(context)
    return f"{text}; {changes}" if changes else text


def _describe_answered(fields: dict, job_lines: tuple, context: tuple) -> str:
    text = f"{fields['outcome']} ({fields['reason']}) by its gateway"
    changes = _describe_context(context)
    return f"{text}; meanwhile {changes}" if changes else text


def _describe_context(context: tuple) -> str:
    names = sorted({line.event.name for line in context})
    return ", ".join(names)


# The first event in this order that the job's lines contain gives the cause.
_CAUSE_DESCRIPTIONS = (
    ("job_rejected", _describe_rejected),
    ("job_refused", _describe_refused),
    ("job_ended", _describe_ended),
    ("job_answered", _describe_answered),
)
