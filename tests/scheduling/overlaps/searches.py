"""Search seeds for overlaps, shorten the histories found, and print them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from pollenladder.jobs import entities as jobs
from tests.scheduling.overlaps import faults
from tests.scheduling.overlaps import histories

# Events that are printed whatever job they are about.
_GENERAL = frozenset(
    {
        "site",
        "ownership_claimed",
        "ownership_resigned",
        "owner_changed",
        "link_made",
        "link_ended",
        "fenced",
        "attempt_leases_expired",
    }
)


@dataclasses.dataclass(frozen=True)
class Finding:
    """A seed whose history has an overlap.

    Attributes:
        seed: The seed.
        faults: The faults of the history.
        history: The history.
    """

    seed: int
    faults: Sequence[faults.Fault]
    history: histories.History


def play(seed: int, drawn: Sequence[faults.Fault]) -> histories.History:
    """Return the history of a seed under some faults."""
    history = histories.History(seed, drawn)
    history.run()
    return history


def find(
    seeds: Iterable[int],
    draw: Callable[[int], list[faults.Fault]] = faults.draw,
) -> Iterator[Finding]:
    """Yield the seeds whose histories have an overlap.

    Args:
        seeds: The seeds.
        draw: Returns the faults of a seed.
    """
    for seed in seeds:
        drawn = draw(seed)
        history = play(seed, drawn)
        if history.overlap is not None:
            yield Finding(seed, drawn, history)


def shorten(finding: Finding) -> Finding:
    """Return the finding without the faults that it does not need."""
    left = list(finding.faults)
    history = finding.history
    for fault in list(left):
        fewer = [other for other in left if other is not fault]
        shorter = play(finding.seed, fewer)
        if shorter.overlap is not None:
            left, history = fewer, shorter
    return Finding(finding.seed, left, history)


def describe(finding: Finding) -> str:
    """Return the history of a finding, in lines."""
    overlap = finding.history.overlap
    job_id = jobs.parse_job_id(overlap.task)
    lines = [
        f"seed {finding.seed}: two runs of {overlap.task} at "
        f"{overlap.at:.3f} s on {', '.join(overlap.workers)}"
    ]
    lines += [
        _format(event)
        for event in finding.history.events
        if _is_about(event, job_id, overlap)
    ]
    return "\n".join(lines)


def _is_about(
    event: histories.Event, job_id: str, overlap: histories.Overlap
) -> bool:
    if event.name in _GENERAL or event.name.startswith("fault"):
        return True
    fields = event.fields
    if fields.get("job") == job_id:
        return True
    if jobs.parse_job_id(str(fields.get("task", ""))) == job_id:
        return True
    is_recent = event.at > overlap.at - 2.5
    where = {event.who, fields.get("worker")}
    return is_recent and not where.isdisjoint(overlap.workers)


def _format(event: histories.Event) -> str:
    fields = " ".join(f"{key}={event.fields[key]}" for key in event.fields)
    return f"{event.at:8.3f} {event.who:15} {event.name} {fields}"
