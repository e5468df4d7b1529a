"""Running and ended tasks of a worker, and counts of task starts."""

import collections
import dataclasses
from typing import Any

from gevent import event

ENDED_TASK_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class RunningTask:
    """A running task.

    Attributes:
        task_id: The id of the task.
        customer: The customer that owns the task.
        plan: The plan under which the task runs.
        kind: The task kind.
        holder: The daemon that started the task.
        epoch: The lease epoch of the start request.
        started_s: The start time on the clock of the worker.
        ending: Set to "stopped" or "killed" to end the task early.
    """

    task_id: str
    customer: str
    plan: str
    kind: str
    holder: str
    epoch: int
    started_s: float
    ending: event.AsyncResult = dataclasses.field(
        default_factory=event.AsyncResult
    )


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """A task that has ended.

    Attributes:
        status: "ok", "error" or "stopped".
        output: The result of the task.
        run_ms: The run time in milliseconds.
        ended_s: The end time on the clock of the worker.
    """

    status: str
    output: Any
    run_ms: float
    ended_s: float


class TaskTable:
    """The tasks of one worker since its last restart.

    Attributes:
        running: The running tasks.
    """

    def __init__(self):
        self.running: set[RunningTask] = set()
        self._ended: collections.OrderedDict[str, EndedTask] = (
            collections.OrderedDict()
        )

    def add_ended(self, task_id: str, ended: EndedTask) -> None:
        """Store an ended task and discard those past their retention."""
        self._ended[task_id] = ended
        self._ended.move_to_end(task_id)
        while self._ended:
            oldest = next(iter(self._ended))
            if (
                self._ended[oldest].ended_s
                > ended.ended_s - ENDED_TASK_RETENTION_S
            ):
                return
            del self._ended[oldest]

    def find_ended(self, task_id: str, now_s: float) -> EndedTask | None:
        """Return an ended task, or None if it is unknown or discarded."""
        ended = self._ended.get(task_id)
        if ended is None or ended.ended_s <= now_s - ENDED_TASK_RETENTION_S:
            return None
        return ended

    def find_running(self, task_id: str) -> RunningTask | None:
        """Return a running task, or None."""
        for task in self.running:
            if task.task_id == task_id:
                return task
        return None

    def kill_all(self) -> None:
        """End all running tasks without an answer and discard all records."""
        for task in self.running:
            task.ending.set("killed")
        self.running = set()
        self._ended.clear()


class StartLedger:
    """Counts of started and running tasks, kept when a worker restarts.

    Attributes:
        starts: Starts by task id.
        marks: Starts by the value of the payload's field `mark`, if it has
            one.
        running: Number of running tasks by plan.
        max_running: Highest number of concurrent tasks by plan.
    """

    def __init__(self):
        self.starts: collections.Counter[str] = collections.Counter()
        self.marks: collections.Counter[str] = collections.Counter()
        self.running: collections.Counter[str] = collections.Counter()
        self.max_running: collections.Counter[str] = collections.Counter()

    def begin(self, plan: str) -> None:
        """Count a task of a plan as running."""
        self.running[plan] += 1
        max_running = max(self.max_running[plan], self.running[plan])
        self.max_running[plan] = max_running

    def end(self, plan: str) -> None:
        """Count a task of a plan as ended, whatever its status."""
        self.running[plan] -= 1

    def count_start(self, task_id: str, mark: str | None) -> bool:
        """Count a start and return whether the task id was started before."""
        self.starts[task_id] += 1
        if mark is not None:
            self.marks[mark] += 1
        return self.starts[task_id] > 1
