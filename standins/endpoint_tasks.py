"""Tasks that a worker runs or has run, and the count of all starts."""

import collections
import dataclasses
from typing import Any

from gevent import event

ENDED_KEPT_S = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class RunningTask:
    """A task that runs now.

    Attributes:
        task_id: Its id.
        customer: Whose it is.
        plan: The plan it runs under.
        kind: Its kind.
        holder: Who started it.
        epoch: The epoch it was started with.
        started_s: When it was started, on the worker's clock.
        ending: Set to end it early, to "stopped" or to "killed".
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
        output: What it returned.
        run_ms: How long it ran.
        ended_s: When it ended, on the worker's clock.
    """

    status: str
    output: Any
    run_ms: float
    ended_s: float


class TaskTable:
    """The tasks of one worker since its last restart."""

    def __init__(self):
        self.running: set[RunningTask] = set()
        self._ended: collections.OrderedDict[str, EndedTask] = (
            collections.OrderedDict()
        )

    def add_ended(self, task_id: str, ended: EndedTask) -> None:
        """Keep an ended task for `ENDED_KEPT_S`, and forget older ones."""
        self._ended[task_id] = ended
        self._ended.move_to_end(task_id)
        while self._ended:
            oldest = next(iter(self._ended))
            if self._ended[oldest].ended_s > ended.ended_s - ENDED_KEPT_S:
                return
            del self._ended[oldest]

    def find_ended(self, task_id: str, now_s: float) -> EndedTask | None:
        """Return an ended task that is still kept."""
        ended = self._ended.get(task_id)
        if ended is None or ended.ended_s <= now_s - ENDED_KEPT_S:
            return None
        return ended

    def find_running(self, task_id: str) -> RunningTask | None:
        """Return a task that runs now."""
        for task in self.running:
            if task.task_id == task_id:
                return task
        return None

    def kill_all(self) -> None:
        """End all running tasks without an answer and forget the rest."""
        for task in self.running:
            task.ending.set("killed")
        self.running = set()
        self._ended.clear()


class StartLedger:
    """Counts the starts of each task id; it outlives restarts.

    Attributes:
        starts: Starts by task id.
        marks: Starts by the payload's `mark`, if it has one.
        running: Tasks that run now, by plan.
        max_running: The most that ever ran at a time, by plan.
    """

    def __init__(self):
        self.starts: collections.Counter[str] = collections.Counter()
        self.marks: collections.Counter[str] = collections.Counter()
        self.running: collections.Counter[str] = collections.Counter()
        self.max_running: collections.Counter[str] = collections.Counter()

    def begin(self, plan: str) -> None:
        """Note that a task of a plan runs."""
        self.running[plan] += 1
        most = max(self.max_running[plan], self.running[plan])
        self.max_running[plan] = most

    def end(self, plan: str) -> None:
        """Note that a task of a plan has ended, however it did."""
        self.running[plan] -= 1

    def count(self, task_id: str, mark: str | None) -> bool:
        """Count a start; return whether the id was started before."""
        self.starts[task_id] += 1
        if mark is not None:
            self.marks[mark] += 1
        return self.starts[task_id] > 1
