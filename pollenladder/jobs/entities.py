"""Queues, services and jobs."""

import dataclasses
import enum

# Number of tasks without any resource needs that are assumed to fit.
UNLIMITED_COUNT = 64
# Each time a job is forwarded, its runs get a new range of higher numbers.
RUN_NUMBERS_PER_FORWARD = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task needs or a worker has.

    Attributes:
        cpu_milli: Thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Number of accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, other: "Resources") -> bool:
        """Return whether `other` covers these resources."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.gpus <= other.gpus
        )

    def count_fitting(self, other: "Resources") -> int:
        """Return how many times `other` fits into these resources.

        The count is `UNLIMITED_COUNT` if `other` needs no resources.
        """
        count = UNLIMITED_COUNT
        if other.cpu_milli:
            count = self.cpu_milli // other.cpu_milli
        if other.memory_mb:
            count = min(count, self.memory_mb // other.memory_mb)
        if other.gpus:
            count = min(count, self.gpus // other.gpus)
        return max(0, count)

    def add(self, other: "Resources") -> "Resources":
        """Return the sum, component by component."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Return the difference; components may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue that callers submit jobs to.

    Attributes:
        name: The queue's name.
        host: Host header of the requests that submit jobs to the queue.
        prefix: Path prefix of these requests.
        service: The service whose workers run its tasks.
        priority: 0 is the most urgent.
        max_attempts: A job fails once one of its tasks has failed this often.
        timeout_s: The longest time that a caller waits, in seconds.
        stretch: A job is in time if it takes at most `stretch` times the run
            time of its longest task, plus `slack_s`.
        slack_s: See `stretch`; in seconds.
        needs_advice: Whether an external service must choose the workers that
            may run its tasks.
        allowed_regions: The regions whose workers may run its tasks; empty for
            all.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    timeout_s: float
    stretch: float
    slack_s: float
    needs_advice: bool = False
    allowed_regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration that operators have declared.

    Attributes:
        version: Increases with each change.
        queues: The queues.
        max_body_bytes: The largest body that a caller may send.
        source: The document that the configuration was read from. It is sent
            to other daemons.
        cold_starts: For how long workers are slow after their start, in
            seconds, by service; services without such a time are left out.
        unguarded_services: The services whose workers start everything that they
            are told to, even beyond their capacity.
        services: The services that are declared. Queues may use others.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int
    source: bytes
    cold_starts: dict[str, float] = dataclasses.field(default_factory=dict)
    unguarded_services: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCrashes:
    """How many workers crashed or were lost while they ran a task.

    Attributes:
        index: Index of the task in its job.
        suspicions: Number of crashes of which the task is suspected.
        lost_workers: Number of workers that were lost under the task.
    """

    index: int
    suspicions: int
    lost_workers: int


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job as a gateway sends it to the owner that schedules it.

    Times are relative, because daemons do not share a clock.

    Attributes:
        job_id: The id that the caller chose.
        queue: The queue's name.
        service: The service whose workers run the job.
        priority: 0 is the most urgent.
        max_attempts: The job fails once one of its tasks has failed this often.
        stretch: See `Queue`.
        slack_s: See `Queue`.
        age_s: Time since the caller sent the job, in seconds.
        budget_s: Time until the caller gives up, in seconds.
        spec: The specification that workers execute.
        tasks: Number of tasks.
        cpu_milli: CPU that each task needs, in thousandths of a core.
        memory_mb: Memory that each task needs, in MB.
        gpus: Number of accelerators that each task needs.
        estimate_s: Declared run time of a task, in seconds; 0 if the caller has
            declared none.
        may_have_begun: Whether another owner may have started tasks of the job.
        first_run: The lowest run number that its tasks may use, above the
            numbers that earlier owners may have used.
        may_run_elsewhere: Whether workers of another group may still run tasks
            of the job.
        allowed_regions: See `Queue`.
        may_be_late: Whether no other group can serve the job in time, so that it
            may be served late.
        crashes: What earlier owners know of crashes under the job's tasks.
        attempt: Random number that the gateway has given to the attempt; 0 until
            a gateway has accepted the job. An attempt is what one gateway has
            accepted and not answered yet.
    """

    job_id: str
    queue: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    slack_s: float
    age_s: float
    budget_s: float
    spec: str
    tasks: int
    cpu_milli: int
    memory_mb: int
    gpus: int
    estimate_s: float
    may_have_begun: bool
    first_run: int
    may_run_elsewhere: bool = False
    allowed_regions: tuple[str, ...] = ()
    may_be_late: bool = False
    crashes: tuple[TaskCrashes, ...] = ()
    attempt: int = 0


class Outcome(enum.Enum):
    """Result of a job, as its caller receives it.

    Attributes:
        COMPLETED: All tasks have completed.
        FAILED: A task failed as often as the queue allows.
        CANCELLED: The job was cancelled, or its caller or gateway was lost.
        REFUSED: No task has begun, and none will.
        GIVEN_UP: The job was not completed in time; its tasks may have run.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


class Reason(enum.Enum):
    """Reason for the outcome of a job.

    Attributes:
        ALL_DONE: All tasks have completed.
        TASK_FAILED: A task failed as often as the queue allows.
        TASK_CRASHED_WORKERS: Workers crashed under a task, which is not started
            again.
        QUEUE_CRASHES_WORKERS: Tasks of the queue have crashed as many workers as
            the queue may use at a time.
        CALLER_CANCELLED: The caller requested the cancellation.
        CALLER_LEFT: All callers that waited for the job have disconnected.
        NO_ROOM_IN_TIME: On arrival, the job was forecast to start too late.
        WAITED_TOO_LONG: The job was admitted, but did not start in time.
        TOO_LARGE: A task needs more resources than any worker has.
        NO_WORKERS: The service has no workers.
        NO_OWNER: The gateway found no owner to forward the job to.
        OWNER_BUSY: The gateway shed the job because the owner is overloaded, or the
            owner holds as many tasks of large jobs as it may.
        OWNER_LOST: The job may run in another group, as an earlier attempt was
            refused here.
        GATEWAY_LOST: The gateway of the attempt has not forwarded it again after a
            change of the link, or nothing was heard from it.
        ANSWERED_ELSEWHERE: Another owner has answered the attempt.
        MOVED: The gateway of the attempt forwards it to another owner.
        DEADLINE: The time that the caller waits has passed.
        DRAINING: The gateway of the job stops before the job has ended.
        INTERNAL_ERROR: A decision about the job failed unexpectedly.
    """

    ALL_DONE = "all_done"
    TASK_FAILED = "task_failed"
    TASK_CRASHED_WORKERS = "task_crashed_workers"
    QUEUE_CRASHES_WORKERS = "queue_crashes_workers"
    CALLER_CANCELLED = "caller_cancelled"
    CALLER_LEFT = "caller_left"
    NO_ROOM_IN_TIME = "no_room_in_time"
    WAITED_TOO_LONG = "waited_too_long"
    TOO_LARGE = "too_large"
    NO_WORKERS = "no_workers"
    NO_OWNER = "no_owner"
    OWNER_BUSY = "owner_busy"
    OWNER_LOST = "owner_lost"
    GATEWAY_LOST = "gateway_lost"
    ANSWERED_ELSEWHERE = "answered_elsewhere"
    MOVED = "moved"
    DEADLINE = "deadline"
    DRAINING = "draining"
    INTERNAL_ERROR = "internal_error"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The final answer to one attempt of a job.

    A caller whose connection breaks submits its job again, through any gateway. An
    attempt is what one gateway has accepted and not answered yet. Several requests
    to the same gateway share it.

    Attributes:
        job_id: The job's id.
        attempt: Number of the attempt; see `Submission`.
        outcome: The result; REFUSED guarantees that no task has begun.
        reason: Reason for the outcome.
        retry_after_s: Time in seconds until capacity is expected to be free, if
            the outcome is REFUSED.
    """

    job_id: str
    attempt: int
    outcome: Outcome
    reason: Reason
    retry_after_s: float = 0.0


def format_task_name(job_id: str, index: int) -> str:
    """Return the name of a task of a one-step job, as sent to workers.

    The parts of the name between the job's id and the index are always 0 here.
    """
    return f"{job_id}.0.0.{index}"


def parse_job_id(task_name: str) -> str:
    """Return the job id that a task name contains."""
    return task_name.split(".", 1)[0]
