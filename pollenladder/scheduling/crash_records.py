"""What an owner knows about workers that crashed, and the queues involved."""

import collections
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from pollenladder.fleet import crashing_queues
from pollenladder.scheduling import crash_evidence

# Assumed time that a crashed worker is down, in seconds, until one was seen to
# return.
DEFAULT_OUTAGE_S = 3.0
# Weight of the newest outage in the moving average.
OUTAGE_LEARNING_RATE = 0.3


# The counts of a job that has ended are kept for this time after a caller last asked
# for it. Longer than a crashed worker is down and than callers take to submit again.
RETENTION_S = 30.0


@dataclasses.dataclass(slots=True)
class CrashCounts:
    """How many workers crashed or were lost while they ran a task.

    Attributes:
        suspicions: Number of crashes of which the task is suspected.
        lost_workers: Number of workers that were lost under the task.
        proved: Number of the suspected crashes that are proved.
    """

    suspicions: int = 0
    lost_workers: int = 0
    proved: int = 0


@dataclasses.dataclass(slots=True)
class EndedJob:
    """A job that has ended, and under which workers were lost.

    Attributes:
        counts: The counts of its tasks, by index.
        until: When they are forgotten; monotonic, in seconds.
    """

    counts: dict[int, CrashCounts]
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class TaskLoss:
    """A task that ran on a worker when it was lost.

    Attributes:
        job_id: The job's id.
        task_index: Index of the task in its job.
        counts: The counts of the task, also after its job has ended.
        is_suspected: Whether the task is suspected of a crash of the worker.
        is_recent: Whether the task is to be suspected if the worker has crashed.
    """

    job_id: str
    task_index: int
    counts: CrashCounts
    is_suspected: bool
    is_recent: bool


@dataclasses.dataclass(slots=True)
class CrashRecords:
    """Crashes of workers in one group.

    Attributes:
        evidence: Evidence that tasks of a queue crash workers, by queue.
        queues: The queues whose tasks crash workers. It is shared by all groups,
            and with other daemons.
        down: When workers crashed under tasks of a queue, monotonic, in seconds,
            by queue and worker id. Workers that have returned or that are no
            longer listed are left out.
        exposed: The number of runs of a queue's tasks on each worker, by queue
            and worker id.
        losses: The tasks on workers that were lost, by worker id, until it is
            known whether the worker's process runs or has ended.
        ended_jobs: Jobs that have ended without being completed, by id, so that
            their tasks do not crash workers anew if they are submitted again.
        outage_s: How long a crashed worker is down on average, in seconds.
    """

    evidence: dict[str, crash_evidence.Evidence] = dataclasses.field(
        default_factory=dict
    )
    queues: crashing_queues.CrashingQueues = dataclasses.field(
        default_factory=crashing_queues.CrashingQueues
    )
    down: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    exposed: dict[str, collections.Counter[str]] = dataclasses.field(
        default_factory=dict
    )
    losses: dict[str, list[TaskLoss]] = dataclasses.field(default_factory=dict)
    ended_jobs: dict[str, EndedJob] = dataclasses.field(default_factory=dict)
    outage_s: float = DEFAULT_OUTAGE_S

    def keep_job(
        self, job_id: str, counts: dict[int, CrashCounts], now: float
    ) -> None:
        """Keep the counts of a job that has ended."""
        # The newest entries are the last ones.
        self.ended_jobs.pop(job_id, None)
        self.ended_jobs[job_id] = EndedJob(counts, now + RETENTION_S)

    def find_counts(self, job_id: str) -> dict[int, CrashCounts]:
        """Return the counts kept for a job, by task index."""
        ended = self.ended_jobs.get(job_id)
        return ended.counts if ended else {}

    def forget_old_jobs(self, now: float) -> None:
        """Forget the jobs that no caller has asked for lately."""
        for job_id, ended in list(self.ended_jobs.items()):
            if ended.until > now:
                break
            del self.ended_jobs[job_id]

    def add_losses(self, worker_id: str, losses: list[TaskLoss]) -> None:
        """Record the tasks on a worker that was lost."""
        self.losses.setdefault(worker_id, []).extend(losses)

    def take_losses(self, worker_id: str) -> list[TaskLoss]:
        """Return the tasks recorded with a worker, and forget them."""
        return self.losses.pop(worker_id, [])

    def add_run(self, queue: str, worker_id: str) -> None:
        """Record that a worker has another run of a queue's tasks."""
        self.exposed.setdefault(queue, collections.Counter())[worker_id] += 1

    def remove_run(self, queue: str, worker_id: str) -> None:
        """Record that a run of a queue's tasks is over."""
        counts = self.exposed[queue]
        counts[worker_id] -= 1
        if not counts[worker_id]:
            del counts[worker_id]
        if not counts:
            del self.exposed[queue]

    def is_crashing(self, queue: str, now: float) -> bool:
        """Return whether tasks of a queue are taken to crash workers."""
        return self.queues.contains(queue, now)

    def add_crash(
        self,
        worker_id: str,
        suspected: Collection[str],
        rates: Mapping[str, float],
        now: float,
    ) -> list[str]:
        """Record that a worker crashed.

        Args:
            worker_id: The worker.
            suspected: The queues of the suspected tasks.
            rates: See `crash_evidence.update`.
            now: Monotonic time in seconds.

        Returns:
            The queues that are found to crash workers, and were not before.
        """
        self.evidence = crash_evidence.update(
            self.evidence, suspected, rates, now
        )
        found = []
        for queue in suspected:
            self.down.setdefault(queue, {})[worker_id] = now
            was_crashing = self.is_crashing(queue, now)
            if was_crashing or crash_evidence.is_crashing(
                self.evidence, queue, now
            ):
                self.queues.record(queue, now)
            if not was_crashing and self.is_crashing(queue, now):
                found.append(queue)
        return found

    def withdraw_crash(self, worker_id: str) -> None:
        """Take back that queues of this group have crashed a worker.

        How much the worker has added to the evidence is not kept, so the evidence
        about its queues is gathered anew.
        """
        blamed = [q for q, found in self.down.items() if worker_id in found]
        for queue in blamed:
            del self.down[queue][worker_id]
            if not self.down[queue]:
                del self.down[queue]
            self.evidence.pop(queue, None)
            self.queues.withdraw(queue)

    def forget_worker(self, worker_id: str, now: float) -> None:
        """Record that a worker has returned, or is no longer listed."""
        self.losses.pop(worker_id, None)
        crashed_at = None
        for queue, workers in list(self.down.items()):
            crashed_at = workers.pop(worker_id, crashed_at)
            if not workers:
                del self.down[queue]
        if crashed_at is not None:
            outage_s = now - crashed_at
            self.outage_s += OUTAGE_LEARNING_RATE * (outage_s - self.outage_s)
