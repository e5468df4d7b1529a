"""Put in order what daemons have told of the attempts of one job.

Daemons tell times before or after the log line, as they share no monotonic clock. The
clocks that give the lines their times should agree within some milliseconds.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any

from pollenladder.logs import explanations

AT_OWNER = "attempt_at_owner"
AT_GATEWAY = "attempt_at_gateway"


@dataclasses.dataclass(frozen=True, order=True)
class Fact:
    """Something that happened to an attempt.

    Attributes:
        time: When, in the format of the lines' times.
        daemon: The daemon that has told it.
        attempt: Number of the attempt; 0 if it is unknown.
        text: What happened.
    """

    time: str
    daemon: str
    attempt: int
    text: str


def list_facts(lines: Iterable[explanations.Line]) -> list[Fact]:
    """Return the facts in order of time.

    A daemon may tell of an attempt several times; the last line has all facts. Fields
    that a line lacks are left out.

    Args:
        lines: Lines about one job, ordered by time.
    """
    last: dict[tuple, explanations.Line] = {}
    for line in lines:
        if line.event.name in (AT_OWNER, AT_GATEWAY):
            fields = line.fields
            key = (line.daemon, line.event.name, fields.get("attempt"))
            last[*key, fields.get("group"), fields.get("epoch")] = line
    facts = set()
    for line in last.values():
        facts.update(_list_line_facts(line))
    return sorted(facts)


def _list_line_facts(line: explanations.Line) -> Iterator[Fact]:
    is_owner = line.event.name == AT_OWNER
    describe = _describe_owner if is_owner else _describe_gateway
    found = dict(describe(line.fields))
    doubts = line.fields.get("doubts") or {}
    for doubt, ago_s in doubts.items():
        found[f"doubt: {doubt}"] = ago_s
    attempt = line.fields.get("attempt")
    for text, ago_s in found.items():
        if isinstance(ago_s, int | float):
            time = explanations.shift_time(line.time, -ago_s)
            yield Fact(time, line.daemon, attempt or 0, text)


def _describe_owner(fields: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yield what an owner tells, each with its age in seconds, or None."""
    get = fields.get
    gateway = get("gateway")
    place = f"the owner of {get('group')!r}, epoch {get('epoch')}"
    yield (
        f"comes from {gateway} to {place}: {get('origin')}",
        get("arrived_ago_s"),
    )
    yield f"last contact with {gateway}", get("heard_ago_s")
    yield f"removed: {get('removal')}", get("removed_ago_s")
    run = f"run {get('first_run')} on {get('first_worker')}"
    yield f"first start: {run}", get("first_start_ago_s")
    run = f"run {get('last_run')} on {get('last_worker')}"
    yield f"last start: {run}", get("last_start_ago_s")
    yield "no run is left", get("runs_over_ago_s")
    lease_left_s = get("lease_left_s")
    if lease_left_s is not None:
        yield "end of the leases of its runs", -lease_left_s
    yield f"job ends: {_format_end(fields)}", get("ended_ago_s")


def _describe_gateway(fields: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yield what a gateway tells, each with its age in seconds, or None."""
    get = fields.get
    yield "comes from its caller", get("arrived_ago_s")
    yield "its caller sends it again", get("last_request_ago_s")
    for owner, group, ago_s in get("forwards") or ():
        yield f"forwarded to {owner} for {group!r}", ago_s
    deadline_left_s = get("deadline_left_s")
    if deadline_left_s is not None:
        yield "deadline", -deadline_left_s
    yield f"answered: {_format_end(fields)}", get("ended_ago_s")


def _format_end(fields: dict[str, Any]) -> str:
    """Return the outcome, if there is one, and its reason."""
    parts = (fields.get("outcome"), fields.get("reason"))
    return ", ".join(str(part) for part in parts if part)
