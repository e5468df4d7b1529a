"""Short-lived forecasts of when the waiting tasks of a service start.

A burst in a region of hundreds of workers requires many admission decisions.
The start times of all waiting tasks are therefore computed once and reused for
many decisions, instead of being computed again for each job.
"""

import bisect
import dataclasses
import enum
import heapq


class Rank(enum.IntEnum):
    """Order of waiting jobs, the most urgent first.

    Attributes:
        BEGUN: The job has begun; what has run is worthless until the rest has.
        IN_TIME: The job can be in time.
        OVERDUE: The job has begun, and the loss of a worker has made it late.
        DEFERRED: The job cannot be in time.
    """

    BEGUN = 0
    IN_TIME = 1
    OVERDUE = 2
    DEFERRED = 3


Urgency = tuple[int, float]


@dataclasses.dataclass(slots=True)
class StartForecast:
    """Forecast start times of the waiting tasks of one size.

    Times are monotonic, in seconds.

    Attributes:
        created_at: When the forecast was computed.
        urgencies: Urgency of each waiting job, the most urgent first.
        tasks_before: Number of tasks that start before each of these jobs; the
            last item is the number of all waiting tasks.
        start_times: Start time of each waiting task, in ascending order.
        slot_times: Heap of the time at which each slot becomes free after all
            waiting tasks.
    """

    created_at: float
    urgencies: list[Urgency]
    tasks_before: list[int]
    start_times: list[float]
    slot_times: list[float]

    def find_last_start(
        self, urgency: Urgency, tasks: int, run_s: float
    ) -> float | None:
        """Return when the last task of a job starts, or None without slots.

        Args:
            urgency: The job's urgency.
            tasks: Number of the job's waiting tasks.
            run_s: Expected run time of each task, in seconds.
        """
        if not self.slot_times:
            return None
        before = self.tasks_before[bisect.bisect_left(self.urgencies, urgency)]
        last = before + max(1, tasks) - 1
        if last < len(self.start_times):
            return self.start_times[last]
        return self._find_start_after_all(
            last - len(self.start_times) + 1, run_s
        )

    def add_job(self, urgency: Urgency, tasks: int, run_s: float) -> None:
        """Insert the tasks of a job by its urgency.

        The start times of less urgent jobs shift by the number of inserted
        tasks. This is approximate: a difference between the run times of the
        new tasks and of the tasks that they delay is ignored.
        """
        index = bisect.bisect_right(self.urgencies, urgency)
        self.urgencies.insert(index, urgency)
        before = self.tasks_before
        before.insert(index, before[index])
        for later in range(index + 1, len(before)):
            before[later] += tasks
        if not self.slot_times:
            return
        for _ in range(tasks):
            at = heapq.heapreplace(self.slot_times, self.slot_times[0] + run_s)
            self.start_times.append(at)

    def remove_job(self, urgency: Urgency, tasks: int) -> None:
        """Remove the tasks of a job, so that less urgent ones start earlier.

        `start_times` stay as they are: the tasks behind the removed ones take
        their starts, and the last ones are left for jobs that arrive. This is
        approximate like `add_job`.
        """
        before = self.tasks_before
        first = bisect.bisect_left(self.urgencies, urgency)
        end = bisect.bisect_right(self.urgencies, urgency)
        for index in range(first, end):
            if before[index + 1] - before[index] == tasks:
                del self.urgencies[index]
                del before[index + 1]
                for later in range(index + 1, len(before)):
                    before[later] -= tasks
                return

    def _find_start_after_all(self, tasks: int, run_s: float) -> float:
        """Return when the last of `tasks` tasks behind all others starts."""
        slot_times = list(self.slot_times)
        at = slot_times[0]
        for _ in range(tasks):
            at = heapq.heapreplace(slot_times, slot_times[0] + run_s)
        return at
