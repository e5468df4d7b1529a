"""Tell the story of one request from the logs of several daemons."""

from collections.abc import Iterable
import dataclasses
import datetime
import json
from typing import Any

from pollenladder.logs import events
from pollenladder.logs import exceptions

BASE_FIELDS = ("time", "level", "daemon", "event")
# Changes so long before a request's first line may explain its end.
CONTEXT_S = 3.0
CONTEXT_KINDS = (events.Kind.OWNERSHIP, events.Kind.DEPENDENCY)


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    Attributes:
        time: As it was written; sorts as text.
        daemon: Who wrote it.
        event: What has happened.
        fields: The rest of it.
    """

    time: str
    daemon: str
    event: events.Event
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Story:
    """What became of one request.

    Attributes:
        job: Its id.
        lines: All that touches it, in order of time.
        context: Changes of owners and dependencies meanwhile.
        cause: Why it ended as it did.
    """

    job: str
    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    cause: str


def read_line(text: str, place: str) -> Line:
    """Return a line of a log.

    Args:
        text: The line.
        place: Where it stands, for errors.

    Raises:
        exceptions.BadLogError: It is torn, or no line of a daemon.
    """
    start = text.find("{")
    try:
        found = json.loads(text[start:]) if start >= 0 else None
    except ValueError as error:
        raise exceptions.BadLogError(f"{place}: torn line: {error}") from error
    if not isinstance(found, dict) or any(n not in found for n in BASE_FIELDS):
        raise exceptions.BadLogError(f"{place}: not a line of a daemon")
    event = events.EVENTS.get(found["event"])
    if event is None:
        name = str(found["event"])[:40]
        event = events.Event(name, events.Kind.PROCESS, "an error or a note")
    fields = {k: v for k, v in found.items() if k not in BASE_FIELDS}
    return Line(found["time"], found["daemon"], event, fields)


def build_story(job: str, lines: Iterable[Line]) -> Story | None:
    """Return the story of a job, or None if no line touches it."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = tuple(line for line in ordered if _touches(line, job))
    if not own:
        return None
    first = _shift(own[0].time, -CONTEXT_S)
    last = own[-1].time
    context = tuple(
        line
        for line in ordered
        if line.event.kind in CONTEXT_KINDS and first <= line.time <= last
    )
    return Story(job, own, context, find_cause(own, context))


def find_cause(own: Iterable[Line], context: Iterable[Line]) -> str:
    """Return in one sentence why a job ended as it did."""
    own = tuple(own)
    by_event = {line.event.name: line for line in own}
    for name, describe in _CAUSES:
        line = by_event.get(name)
        text = describe(line.fields, own, tuple(context)) if line else ""
        if text:
            return text
    return "no line tells how it ended: its daemons' logs end before"


def _shift(time: str, seconds: float) -> str:
    """Return a time of a line, moved."""
    at = datetime.datetime.fromisoformat(time)
    moved = at + datetime.timedelta(seconds=seconds)
    text = moved.astimezone(datetime.UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def _touches(line: Line, job: str) -> bool:
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == job or task.split(".", 1)[0] == job


def _describe_rejected(fields: dict, own: tuple, context: tuple) -> str:
    return f"its gateway could not read or run it: {fields['reason']}"


def _describe_refused(fields: dict, own: tuple, context: tuple) -> str:
    if fields["reason"] != "no_room_in_time":
        return f"refused when it came: {fields['reason']}"
    return (
        f"refused when it came: its last task would have waited"
        f" {fields['wait_s']} s, and {fields['allowed_s']} s were left;"
        f" {fields['jobs']} jobs were under way"
    )


def _describe_ended(fields: dict, own: tuple, context: tuple) -> str:
    if fields["outcome"] == "completed" and fields["in_time"]:
        return "none: it was completed in time"
    setbacks = [
        f"{line.fields['task']} on {line.fields.get('worker', '')}:"
        f" {line.fields.get('reason') or line.event.name}"
        for line in own
        if line.event.name in ("task_requeued", "run_failed", "run_moved")
    ]
    text = (
        f"{fields['outcome']} ({fields['reason']}) after {fields['took_s']} s"
    )
    if setbacks:
        return f"{text}; " + "; ".join(setbacks)
    changes = _describe_context(context)
    return f"{text}; {changes}" if changes else text


def _describe_answered(fields: dict, own: tuple, context: tuple) -> str:
    text = f"{fields['outcome']} ({fields['reason']}) by its gateway"
    changes = _describe_context(context)
    return f"{text}; meanwhile {changes}" if changes else text


def _describe_context(context: tuple) -> str:
    names = sorted({line.event.name for line in context})
    return ", ".join(names)


_CAUSES = (
    ("job_rejected", _describe_rejected),
    ("job_refused", _describe_refused),
    ("job_ended", _describe_ended),
    ("job_answered", _describe_answered),
)
