"""The order in which customers' jobs get slots.

Start-time fair queueing: each customer has a virtual time that grows with the
run time it was given over its weight, and the smallest goes first. Within a
customer, jobs keep their order.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass
class Line:
    """The queued jobs of one customer under one plan.

    Attributes:
        virtual_time: Seconds given so far over the weight.
        weight: The plan's weight.
        job_ids: Jobs with tasks that wait, in order (a dict as ordered set).
        work_s: Expected run time of all that waits, in seconds.
        tasks: Tasks that wait.
    """

    virtual_time: float
    weight: float
    job_ids: dict[str, None] = dataclasses.field(default_factory=dict)
    work_s: float = 0.0
    tasks: int = 0


@dataclasses.dataclass
class FairQueue:
    """Lines by (customer, plan); a line without jobs is dropped.

    Attributes:
        lines: Lines with jobs that wait.
        past: Virtual times of dropped lines that are ahead of the queue's, so
            that a customer gains nothing by sending in bursts.
        virtual_time: The largest start time served so far.
    """

    lines: dict[tuple[str, str], Line] = dataclasses.field(default_factory=dict)
    past: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    virtual_time: float = 0.0

    @property
    def tasks(self) -> int:
        """Count the tasks that wait."""
        return sum(line.tasks for line in self.lines.values())

    @property
    def work_s(self) -> float:
        """Sum the expected run time of all that waits, in seconds."""
        return sum(line.work_s for line in self.lines.values())


def add_work(
    queue: FairQueue,
    owner: tuple[str, str],
    weight: float,
    job_id: str,
    tasks: int,
    work_s: float,
    first: bool = False,
) -> None:
    """Add tasks of a job to its line, at the line's head if `first`."""
    line = queue.lines.get(owner)
    if line is None:
        start = max(queue.virtual_time, queue.past.pop(owner, 0.0))
        line = queue.lines[owner] = Line(start, weight)
    line.tasks += tasks
    line.work_s += work_s
    if job_id in line.job_ids:
        return
    if first:
        line.job_ids = {job_id: None} | line.job_ids
    else:
        line.job_ids[job_id] = None


def remove_work(
    queue: FairQueue,
    owner: tuple[str, str],
    job_id: str,
    tasks: int,
    work_s: float,
    job_is_done: bool,
) -> None:
    """Take tasks out of a line without giving them a slot."""
    line = queue.lines.get(owner)
    if line is None:
        return
    line.tasks -= tasks
    line.work_s = max(0.0, line.work_s - work_s)
    if job_is_done:
        line.job_ids.pop(job_id, None)
    if not line.job_ids:
        del queue.lines[owner]
        _remember_line(queue, owner, line)


def _remember_line(
    queue: FairQueue, owner: tuple[str, str], line: Line
) -> None:
    for key, ahead in list(queue.past.items()):
        if ahead <= queue.virtual_time:
            del queue.past[key]
    if line.virtual_time > queue.virtual_time:
        queue.past[owner] = line.virtual_time


def charge(queue: FairQueue, owner: tuple[str, str], work_s: float) -> None:
    """Charge a line for run time it is about to be given."""
    line = queue.lines.get(owner)
    if line is None:
        return
    queue.virtual_time = max(queue.virtual_time, line.virtual_time)
    line.virtual_time += work_s / line.weight


def iterate_lines(
    queue: FairQueue, may_start: Callable[[tuple[str, str]], bool]
) -> Iterator[tuple[tuple[str, str], Line]]:
    """Yield lines, the one with most arrears first, as long as any may start.

    The caller charges or empties the line it got before it asks for the next;
    a line for which `may_start` is false is left out.
    """
    while True:
        best = None
        for owner, line in queue.lines.items():
            if best and line.virtual_time >= best[1].virtual_time:
                continue
            if may_start(owner):
                best = owner, line
        if best is None:
            return
        yield best


def get_service_part(
    queue: FairQueue, owner: tuple[str, str], weight: float
) -> float:
    """Return the part of all slots, 0 to 1, that a line is entitled to now."""
    others = sum(
        line.weight for key, line in queue.lines.items() if key != owner
    )
    return weight / (weight + others)
