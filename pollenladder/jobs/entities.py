"""Queues, services and jobs."""

import dataclasses
import enum

# A task that takes nothing fits in so many times.
MANY = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """What a task needs, or what a worker has.

    Attributes:
        cpu_milli: Thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits(self, other: "Resources") -> bool:
        """Return whether this much fits into another."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.gpus <= other.gpus
        )

    def count(self, other: "Resources") -> int:
        """Return how many times another fits into this, at most `MANY`."""
        count = MANY
        if other.cpu_milli:
            count = self.cpu_milli // other.cpu_milli
        if other.memory_mb:
            count = min(count, self.memory_mb // other.memory_mb)
        if other.gpus:
            count = min(count, self.gpus // other.gpus)
        return max(0, count)

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; parts of it may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue that callers submit jobs to.

    Attributes:
        name: Its name.
        host: The host that callers name.
        prefix: What the path of each of its jobs begins with.
        service: The service whose workers run its tasks.
        priority: 0 is the most urgent.
        max_attempts: A task that failed so often fails its job.
        timeout_s: The longest time a caller waits.
        stretch: A job is in time if it takes this many times its longest
            task, and `slack_s` more.
        slack_s: See `stretch`.
        needs_advice: Whether only an outside service knows which workers may
            run its tasks.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All that operators have declared.

    Attributes:
        version: Grows with each change.
        queues: The queues.
        max_body_bytes: The longest body that a caller may send.
        source: The document that it was read from, for other daemons.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int
    source: bytes


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job on its way to the daemon that schedules it.

    Durations are relative, as clocks are not shared.

    Attributes:
        job_id: The caller's id.
        queue: The queue's name.
        service: The service whose workers run it.
        priority: 0 is the most urgent.
        max_attempts: A task that failed so often fails the job.
        stretch: See `Queue`.
        slack_s: See `Queue`.
        age_s: Time since the caller sent it.
        budget_s: Time from now until the caller gives up.
        spec: What workers are told to run.
        tasks: Number of tasks.
        cpu_milli: Each task's need, as in `Resources`.
        memory_mb: As above.
        gpus: As above.
        estimate_s: Declared run time of a task.
        may_have_begun: Whether another owner may have started tasks of it.
        first_run: The lowest number that a run of its tasks may have.
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


class Outcome(enum.Enum):
    """How a job has ended for its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


class Reason(enum.Enum):
    """Why a job ended as it did."""

    ALL_DONE = "all_done"
    TASK_FAILED = "task_failed"
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
    DEADLINE = "deadline"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The final answer to a job.

    Attributes:
        job_id: The job.
        outcome: How it ended; REFUSED says that no task of it has begun.
        reason: Why.
        retry_after_s: With REFUSED, when there should be room again.
    """

    job_id: str
    outcome: Outcome
    reason: Reason
    retry_after_s: float = 0.0


def format_task_name(job_id: str, index: int) -> str:
    """Return the name by which workers know a task of a one-step job."""
    return f"{job_id}.0.0.{index}"


def read_job_id(task_name: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task_name.split(".", 1)[0]
