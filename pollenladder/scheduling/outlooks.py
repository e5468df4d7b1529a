"""What is foretold of a service's places, kept for a moment.

Answers bursts on regions of hundreds of workers: whoever asks when a job could
start looks it up among the starts of all that waits, which are worked out once
for many jobs and not for each of them.
"""

import bisect
import dataclasses
import heapq

Urgency = tuple[bool, float]


@dataclasses.dataclass(slots=True)
class Outlook:
    """When the waiting tasks of one size could start, in the order served.

    Attributes:
        made_at: Monotonic time in seconds.
        urgencies: Of the waiting jobs, the most urgent first.
        tasks_before: For each of them, the tasks that are served before it; at
            the end the number of all.
        starts_at: When each waiting task could start; never falls.
        places: A heap of when each place is free, after all waiting tasks.
    """

    made_at: float
    urgencies: list[Urgency]
    tasks_before: list[int]
    starts_at: list[float]
    places: list[float]

    def find_last_start(
        self, urgency: Urgency, tasks: int, run_s: float
    ) -> float | None:
        """Return when the last task of a job could start, or None if never.

        Args:
            urgency: The job's.
            tasks: Its tasks that wait.
            run_s: Expected run time of each of them.
        """
        if not self.places:
            return None
        before = self.tasks_before[bisect.bisect_left(self.urgencies, urgency)]
        last = before + max(1, tasks) - 1
        if last < len(self.starts_at):
            return self.starts_at[last]
        return self._go_on(last - len(self.starts_at) + 1, run_s)

    def add_job(self, urgency: Urgency, tasks: int, run_s: float) -> None:
        """Put the tasks of a job among the others, by its urgency.

        Those behind it take the places that follow; that the tasks before them
        are now others, with other run times, is left out of account.
        """
        index = bisect.bisect_right(self.urgencies, urgency)
        self.urgencies.insert(index, urgency)
        before = self.tasks_before
        before.insert(index, before[index])
        for later in range(index + 1, len(before)):
            before[later] += tasks
        if not self.places:
            return
        for _ in range(tasks):
            at = heapq.heapreplace(self.places, self.places[0] + run_s)
            self.starts_at.append(at)

    def _go_on(self, tasks: int, run_s: float) -> float:
        """Return when the last of so many tasks behind all others starts."""
        places = list(self.places)
        at = places[0]
        for _ in range(tasks):
            at = heapq.heapreplace(places, places[0] + run_s)
        return at
