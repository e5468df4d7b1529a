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
# What is known about a job that has ended, or about a worker that is lost, is kept for
# this time. Longer than a crashed worker is down and than callers take to return.
RETENTION_S = 30.0


@dataclasses.dataclass(slots=True)
class CrashCounts:
    """How many workers crashed or were lost while they ran a task.

    Attributes:
        suspicions: Number of crashes of which the task is suspected.
        lost_workers: Number of workers that were lost under the task.
    """

    suspicions: int = 0
    lost_workers: int = 0


@dataclasses.dataclass(slots=True)
class KeptCounts:
    """The counts of a job that may be submitted again.

    Attributes:
        queue: The job's queue.
        tasks: The counts of its tasks, by index.
        until: When they are forgotten; monotonic, in seconds.
    """

    queue: str
    tasks: dict[int, CrashCounts]
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class TaskLoss:
    """A task that ran on a worker when it was lost.

    Attributes:
        job_id: The job's id.
        task_index: Index of the task in its job.
        queue: The job's queue.
        counts: The counts of the task, also after its job has ended.
        is_suspected: Whether the task is suspected of a crash of the worker.
        is_recent: Whether the task is to be suspected if the worker has crashed.
    """

    job_id: str
    task_index: int
    queue: str
    counts: CrashCounts
    is_suspected: bool
    is_recent: bool


@dataclasses.dataclass(slots=True)
class WorkerLoss:
    """A worker that was lost with tasks; it may have crashed.

    Attributes:
        started_ms: Start time of the process that was lost. A reply tells whether
            it still runs.
        at: When the loss was recorded; monotonic, in seconds.
        tasks: The tasks that ran on the worker.
        gains: How much the loss has added to the evidence, by queue.
    """

    started_ms: int
    at: float
    tasks: list[TaskLoss]
    gains: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class CrashRecords:
    """Crashes of workers in one group.

    Attributes:
        group: The group.
        evidence: Evidence that tasks of a queue crash workers, by queue.
        queues: The queues whose tasks crash workers. It is shared by all groups,
            and with other daemons.
        down: When workers crashed under tasks of a queue, monotonic, in seconds,
            by queue and worker id. Workers that have returned or that are no
            longer listed are left out.
        exposed: The number of runs of a queue's tasks on each worker, by queue
            and worker id.
        losses: The workers that were lost with tasks, by id, until it is known
            whether their process runs or has ended.
        kept: Counts of jobs that have ended without being completed, by job id,
            so that their tasks do not crash workers anew if they are submitted
            again.
        outage_s: How long a crashed worker is down on average, in seconds.
    """

    group: str = ""
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
    losses: dict[str, WorkerLoss] = dataclasses.field(default_factory=dict)
    kept: dict[str, KeptCounts] = dataclasses.field(default_factory=dict)
    outage_s: float = DEFAULT_OUTAGE_S

    def keep_counts(
        self,
        job_id: str,
        queue: str,
        tasks: dict[int, CrashCounts],
        now: float,
    ) -> None:
        """Keep the counts of a job that may be submitted again."""
        # The newest entries are the last ones.
        self.kept.pop(job_id, None)
        self.kept[job_id] = KeptCounts(queue, tasks, now + RETENTION_S)

    def open_counts(
        self, job_id: str, queue: str, index: int, now: float
    ) -> CrashCounts:
        """Return the counts of a task whose job has ended, and keep them."""
        tasks = self.find_counts(job_id)
        counts = tasks.setdefault(index, CrashCounts())
        self.keep_counts(job_id, queue, tasks, now)
        return counts

    def find_queue(self, job_id: str) -> str:
        """Return the queue of a job whose counts are kept, or ""."""
        kept = self.kept.get(job_id)
        return kept.queue if kept else ""

    def find_counts(self, job_id: str) -> dict[int, CrashCounts]:
        """Return the counts kept for a job, by task index."""
        kept = self.kept.get(job_id)
        return kept.tasks if kept else {}

    def forget_old(self, now: float) -> None:
        """Forget jobs and lost workers of which nothing was heard for long."""
        for job_id, kept in list(self.kept.items()):
            if kept.until > now:
                break
            del self.kept[job_id]
        for worker_id, loss in list(self.losses.items()):
            if now > loss.at + RETENTION_S:
                del self.losses[worker_id]

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

    def add_evidence(
        self,
        suspected: Collection[str],
        rates: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """Record as evidence that a worker crashed.

        Args:
            suspected: The queues of the suspected tasks.
            rates: See `crash_evidence.update`.
            now: Monotonic time in seconds.

        Returns:
            How much was added to the evidence, by queue.
        """
        before = self.evidence
        self.evidence = crash_evidence.update(before, suspected, rates, now)
        get_level = crash_evidence.get_level
        return {
            queue: get_level(self.evidence, queue, now)
            - get_level(before, queue, now)
            for queue in suspected
        }

    def find_crashing(
        self, suspected: Collection[str], now: float
    ) -> list[str]:
        """Return the queues that are found to crash workers, and were not before."""
        found = []
        for queue in suspected:
            was_crashing = self.is_crashing(queue, now)
            if was_crashing or crash_evidence.is_crashing(
                self.evidence, queue, now
            ):
                self.queues.record(queue, now, self.group)
            if not was_crashing and self.is_crashing(queue, now):
                found.append(queue)
        return found

    def mark_down(
        self, worker_id: str, queues: Collection[str], since: float
    ) -> None:
        """Record that a worker is down because of tasks of queues."""
        for queue in queues:
            self.down.setdefault(queue, {})[worker_id] = since

    def withdraw(self, worker_id: str, loss: WorkerLoss, now: float) -> None:
        """Take back what a loss has added to the evidence about queues."""
        for queue, gain in loss.gains.items():
            workers = self.down.get(queue, {})
            workers.pop(worker_id, None)
            if not workers:
                self.down.pop(queue, None)
            self.evidence = crash_evidence.remove(
                self.evidence, queue, gain, loss.at, now
            )
            if not crash_evidence.is_crashing(self.evidence, queue, now):
                self.queues.withdraw(queue, self.group)

    def forget_worker(self, worker_id: str, now: float) -> None:
        """Record that a worker has returned, or is no longer listed."""
        crashed_at = None
        for queue, workers in list(self.down.items()):
            crashed_at = workers.pop(worker_id, crashed_at)
            if not workers:
                del self.down[queue]
        if crashed_at is not None:
            outage_s = now - crashed_at
            self.outage_s += OUTAGE_LEARNING_RATE * (outage_s - self.outage_s)
