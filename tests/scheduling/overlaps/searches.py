"""Search seeds for overlaps, shorten the histories found, and print them."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from pollenladder.jobs import entities as jobs
from tests.scheduling.overlaps import callers
from tests.scheduling.overlaps import faults
from tests.scheduling.overlaps import histories
from tests.scheduling.overlaps import shapes

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
class Plan:
    """What a history is made of, but for the callers and all delays.

    Attributes:
        seed: The seed of the callers and the delays.
        shape: The site.
        faults: The faults.
        habits: When the callers return.
    """

    seed: int
    shape: shapes.Shape
    faults: tuple[faults.Fault, ...]
    habits: callers.Habits = callers.BY_PROTOCOL


@dataclasses.dataclass(frozen=True)
class Finding:
    """A plan whose history has an overlap.

    Attributes:
        plan: The plan.
        history: The history.
    """

    plan: Plan
    history: histories.History


def draw(seed: int) -> Plan:
    """Return the plan of a seed."""
    shape = shapes.draw(seed)
    return Plan(seed, shape, tuple(faults.draw(seed, shape)))


def play(plan: Plan) -> histories.History:
    """Return the history of a plan."""
    history = histories.History(plan.seed, plan.shape, plan.faults, plan.habits)
    history.run()
    return history


def find(plans: Iterable[Plan]) -> Iterator[Finding]:
    """Yield the plans whose histories have an overlap."""
    for plan in plans:
        history = play(plan)
        if history.overlap is not None:
            yield Finding(plan, history)


def shorten(finding: Finding) -> Finding:
    """Return the finding without the faults that it does not need."""
    for fault in finding.plan.faults:
        plan = finding.plan
        fewer = tuple(other for other in plan.faults if other is not fault)
        shorter = dataclasses.replace(plan, faults=fewer)
        history = play(shorter)
        if history.overlap is not None:
            finding = Finding(shorter, history)
    return finding


def describe(finding: Finding) -> str:
    """Return the history of a finding, in lines."""
    overlap = finding.history.overlap
    job_id = jobs.parse_job_id(overlap.task)
    lines = [
        f"seed {finding.plan.seed}: two runs of {overlap.task} at "
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
