"""The order in which jobs get slots: as they came, unless a customer overdoes it.

Each job has a due time. It is the time when the job came, as long as its
customer stays within its fair part of the slots, give or take a tolerance;
beyond that it is later, as if the customer had been served at that rate alone
(the generic cell rate algorithm). The earliest due time goes first, so a light
customer never waits for the backlog of a heavy one, and without a backlog all
are served first come, first served, a whole job at a time.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

# A customer may be ahead of its fair part by so much work, in seconds at its
# fair rate, before its jobs are put back.
TOLERANCE_S = 5.0


@dataclasses.dataclass
class Line:
    """The queued jobs of one customer under one plan.

    Attributes:
        weight: The plan's weight.
        due: Due times by job id, of jobs with tasks that wait, in order.
        work_s: Expected run time of all that waits, in seconds.
        tasks: Tasks that wait.
    """

    weight: float
    due: dict[str, float] = dataclasses.field(default_factory=dict)
    work_s: float = 0.0
    tasks: int = 0


@dataclasses.dataclass
class FairQueue:
    """Lines by (customer, plan); a line without jobs is dropped.

    Attributes:
        lines: Lines with jobs that wait.
        served_until: By line, when its work so far would be done at its fair
            rate; a line that is not ahead has no entry.
        tasks: Tasks that wait in all lines.
    """

    lines: dict[tuple[str, str], Line] = dataclasses.field(default_factory=dict)
    served_until: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    tasks: int = 0

    @property
    def work_s(self) -> float:
        """Sum the expected run time of all that waits, in seconds."""
        return sum(line.work_s for line in self.lines.values())


def compute_due(
    queue: FairQueue,
    line_id: tuple[str, str],
    weight: float,
    work_s: float,
    slots: int,
    now: float,
) -> float:
    """Return when a new job is due, and note its work for the next one.

    Args:
        queue: The queue.
        line_id: The customer and the plan.
        weight: The plan's weight.
        work_s: Expected run time of the job's tasks, in seconds.
        slots: Slots that serve the queue.
        now: Monotonic time in seconds.
    """
    if not queue.tasks:
        # Nobody waits, so nobody is kept from a slot by what others had.
        queue.served_until.clear()
    part = get_service_part(queue, line_id, weight)
    start = max(now, queue.served_until.get(line_id, now))
    queue.served_until[line_id] = start + work_s / (max(1, slots) * part)
    return max(now, start - TOLERANCE_S)


def get_ahead_s(
    queue: FairQueue, line_id: tuple[str, str], now: float
) -> float:
    """Return how far a line is ahead of its fair part, in seconds at it."""
    if not queue.tasks:
        return 0.0
    return max(0.0, queue.served_until.get(line_id, now) - now)


def forget_past(queue: FairQueue, now: float) -> None:
    """Drop the notes on customers that are not ahead of their part."""
    for line_id, until in list(queue.served_until.items()):
        if until <= now:
            del queue.served_until[line_id]


def add_work(
    queue: FairQueue,
    line_id: tuple[str, str],
    weight: float,
    job_id: str,
    due: float,
    tasks: int,
    work_s: float,
) -> None:
    """Add tasks of a job to its line, in the order of due times."""
    line = queue.lines.setdefault(line_id, Line(weight))
    queue.tasks += tasks
    line.tasks += tasks
    line.work_s += work_s
    if job_id in line.due:
        return
    is_last = not line.due or next(reversed(line.due.values())) <= due
    line.due[job_id] = due
    if not is_last:
        ordered = sorted(line.due.items(), key=lambda item: item[1])
        line.due = dict(ordered)


def remove_work(
    queue: FairQueue,
    line_id: tuple[str, str],
    job_id: str,
    tasks: int,
    work_s: float,
    job_is_done: bool,
) -> None:
    """Take tasks out of a line, as they get a slot or are given up."""
    line = queue.lines.get(line_id)
    if line is None:
        return
    queue.tasks -= tasks
    line.tasks -= tasks
    line.work_s = max(0.0, line.work_s - work_s)
    if job_is_done:
        line.due.pop(job_id, None)
    if not line.due:
        del queue.lines[line_id]


def iterate_flows(
    queue: FairQueue, may_start: Callable[[tuple[str, str]], bool]
) -> Iterator[tuple[tuple[str, str], Line]]:
    """Yield the line whose first job is due first, as long as any may start.

    The caller takes work out of the line it got before it asks for the next; a
    line for which `may_start` is false is left out.
    """
    while True:
        best = None
        best_due = float("inf")
        for line_id, line in queue.lines.items():
            due = next(iter(line.due.values()))
            if due < best_due and may_start(line_id):
                best, best_due = (line_id, line), due
        if best is None:
            return
        yield best


def get_service_part(
    queue: FairQueue, line_id: tuple[str, str], weight: float
) -> float:
    """Return the part of all slots, 0 to 1, that a line is entitled to now."""
    others = sum(
        line.weight for key, line in queue.lines.items() if key != line_id
    )
    return weight / (weight + others)
