"""Fair queueing: the order in which queued jobs get slots.

The jobs of one customer under one plan form a flow. Each job has a due time,
and the job with the earliest due time is served first. The due time is the
arrival time as long as the customer uses at most its fair share of the slots
plus a tolerance. Beyond that the due time is later, as if the customer were
served at exactly its fair rate (the generic cell rate algorithm).

A customer with little work therefore never waits for another's backlog.
Without a backlog, jobs are served in order of arrival, each job as a whole.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

# Work that a flow may get beyond its fair share, in seconds at its fair rate,
# before its jobs are delayed.
BURST_TOLERANCE_S = 5.0


@dataclasses.dataclass
class Flow:
    """The queued jobs of one customer under one plan.

    Attributes:
        weight: The plan's weight.
        due: Due times (monotonic, in seconds) by job id of jobs with waiting
            tasks, the earliest first.
        work_s: Expected run time of the waiting tasks, in seconds.
        tasks: Number of waiting tasks.
    """

    weight: float
    due: dict[str, float] = dataclasses.field(default_factory=dict)
    work_s: float = 0.0
    tasks: int = 0


@dataclasses.dataclass
class FairQueue:
    """The waiting tasks, as flows by (customer id, plan id).

    Attributes:
        flows: Flows with waiting tasks; a flow without jobs is deleted.
        served_until: Monotonic time by flow at which its work so far would
            be done at its fair rate. A flow that is not ahead of its fair
            share has no entry.
        tasks: Number of waiting tasks in all flows.
    """

    flows: dict[tuple[str, str], Flow] = dataclasses.field(default_factory=dict)
    served_until: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    tasks: int = 0

    @property
    def work_s(self) -> float:
        """Return the expected run time of all waiting tasks, in seconds."""
        return sum(flow.work_s for flow in self.flows.values())


def compute_due(
    queue: FairQueue,
    flow_id: tuple[str, str],
    weight: float,
    work_s: float,
    slots: int,
    now: float,
) -> float:
    """Return the due time of a new job, and count its work for later jobs.

    Args:
        queue: The queue.
        flow_id: The customer id and the plan id.
        weight: The plan's weight.
        work_s: Expected run time of the job's tasks, in seconds.
        slots: Number of slots that serve the queue.
        now: Monotonic time in seconds.

    Returns:
        The due time, as monotonic time in seconds.
    """
    if not queue.tasks:
        # No task waits, so no flow is delayed by the work done for another.
        queue.served_until.clear()
    fair_share = compute_fair_share(queue, flow_id, weight)
    start = max(now, queue.served_until.get(flow_id, now))
    queue.served_until[flow_id] = start + work_s / (max(1, slots) * fair_share)
    return max(now, start - BURST_TOLERANCE_S)


def get_ahead_s(
    queue: FairQueue, flow_id: tuple[str, str], now: float
) -> float:
    """Return how far a flow is ahead of its fair share.

    Returns:
        Seconds of service at the flow's fair rate; 0 if it is not ahead.
    """
    if not queue.tasks:
        return 0.0
    return max(0.0, queue.served_until.get(flow_id, now) - now)


def forget_served_flows(queue: FairQueue, now: float) -> None:
    """Delete the entries of flows no longer ahead of their fair share."""
    for flow_id, until in list(queue.served_until.items()):
        if until <= now:
            del queue.served_until[flow_id]


def add_work(
    queue: FairQueue,
    flow_id: tuple[str, str],
    weight: float,
    job_id: str,
    due: float,
    tasks: int,
    work_s: float,
) -> None:
    """Add waiting tasks of a job to its flow, in order of due times.

    Args:
        queue: The queue.
        flow_id: The customer id and the plan id.
        weight: The plan's weight, for a new flow.
        job_id: The job.
        due: The job's due time; ignored if the job is queued already.
        tasks: Number of tasks to add.
        work_s: Expected run time of the tasks, in seconds.
    """
    flow = queue.flows.setdefault(flow_id, Flow(weight))
    queue.tasks += tasks
    flow.tasks += tasks
    flow.work_s += work_s
    if job_id in flow.due:
        return
    is_last = not flow.due or next(reversed(flow.due.values())) <= due
    flow.due[job_id] = due
    if not is_last:
        ordered = sorted(flow.due.items(), key=lambda item: item[1])
        flow.due = dict(ordered)


def remove_work(
    queue: FairQueue,
    flow_id: tuple[str, str],
    job_id: str,
    tasks: int,
    work_s: float,
    job_is_done: bool,
) -> None:
    """Remove tasks that got a slot or were abandoned from their flow.

    Args:
        queue: The queue.
        flow_id: The customer id and the plan id.
        job_id: The job.
        tasks: Number of tasks to remove.
        work_s: Expected run time of the tasks, in seconds.
        job_is_done: Whether the job has no more waiting tasks.
    """
    flow = queue.flows.get(flow_id)
    if flow is None:
        return
    queue.tasks -= tasks
    flow.tasks -= tasks
    flow.work_s = max(0.0, flow.work_s - work_s)
    if job_is_done:
        flow.due.pop(job_id, None)
    if not flow.due:
        del queue.flows[flow_id]


def iterate_flows(
    queue: FairQueue, may_start: Callable[[tuple[str, str]], bool]
) -> Iterator[tuple[tuple[str, str], Flow]]:
    """Yield repeatedly the flow whose first job has the earliest due time.

    Between two steps, the caller removes work from the yielded flow or makes
    `may_start` return False for it. The iteration ends when `may_start` holds
    for no flow.

    Args:
        queue: The queue.
        may_start: Whether a flow, given by its id, may start a task.
    """
    while True:
        best = None
        best_due = float("inf")
        for flow_id, flow in queue.flows.items():
            due = next(iter(flow.due.values()))
            if due < best_due and may_start(flow_id):
                best, best_due = (flow_id, flow), due
        if best is None:
            return
        yield best


def compute_fair_share(
    queue: FairQueue, flow_id: tuple[str, str], weight: float
) -> float:
    """Return a flow's fair share of all slots, from 0 to 1.

    It is the flow's weight over the sum of the weights of all flows with
    waiting tasks, itself included.
    """
    others = sum(
        flow.weight
        for other_id, flow in queue.flows.items()
        if other_id != flow_id
    )
    return weight / (weight + others)
