"""Effects that an owner decides on, which the daemon carries out."""

import dataclasses
import enum

from pollenladder.jobs import entities as jobs


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Order a worker to run a task."""

    worker_id: str
    task: str
    number: int
    spec: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Order a worker to stop a run, or to reject it if it arrives later."""

    worker_id: str
    task: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LookNow:
    """Poll a worker at once, without waiting for a run to end.

    The class name is a value in the log event `order_dropped`.
    """

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJob:
    """Send the final answer of an attempt to its gateway."""

    gateway_id: str
    answer: jobs.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class RejectAttempt:
    """Tell a gateway to forward an attempt again, as this owner has ended it."""

    gateway_id: str
    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrashes:
    """Tell the gateway of a job how many workers were lost under its tasks."""

    gateway_id: str
    job_id: str
    attempt: int
    crashes: tuple[jobs.TaskCrashes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log.

    Attributes:
        event: Name of the event.
        fields: Fields of the event.
    """

    event: str
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class CountDecision:
    """Add one to the counter of a kind of decision."""

    decision: str


class Failure(enum.Enum):
    """A failure of workers that is counted for the metrics.

    Attributes:
        WORKER_LOST: A worker no longer replies.
        RUN_ON_LOST_WORKER: A run was on a worker when it was lost.
        WORKER_CRASHED: The process of a worker with runs has ended.
        JOB_GIVEN_UP: A job was ended, as workers were lost under one of its
            tasks.
        JOB_REFUSED: A job was refused, as tasks of its queue crash workers.
    """

    WORKER_LOST = "worker_lost"
    RUN_ON_LOST_WORKER = "run_on_lost_worker"
    WORKER_CRASHED = "worker_crashed"
    JOB_GIVEN_UP = "job_given_up"
    JOB_REFUSED = "job_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class CountFailure:
    """Add one to the counter of a kind of failure of workers."""

    failure: Failure


class Decision(enum.Enum):
    """A decision whose unexpected failure does not hold up the others.

    Attributes:
        RUN_END: What follows from the end of a run.
        RUN_REPORT: What follows from a run that a worker reports.
        MISSING_RUNS: What follows from runs that a worker does not report.
        STALLS: Which runs of a worker are stalled.
        LEARNING: What a completed run tells about workers and queues.
        PLACEMENT: Which workers get the waiting tasks.
        JOB_PLACEMENT: Which workers get the tasks of one job.
        EXPIRY: Which jobs and answers are out of time.
        EVACUATION: Which jobs can't be served because of an evacuation.
        DISPLACEMENT: Which waiting jobs can no longer be in time.
        LOST_GATEWAYS: Which attempts have lost their gateway.
        ATTEMPT_LEASES: Which attempts end, as nothing is heard from their gateway.
        WORKER_CHECK: Which leases have expired, and which stops are repeated.
        ORPHAN_ENDS: Which ends of unknown runs are forgotten.
        FAILED_JOBS: How jobs end whose placement has failed.
        RESUBMISSION: How a job goes on after its owner has claimed again.
        ATTEMPT_RECORDS: Which attempts are logged.
    """

    RUN_END = "run_end"
    RUN_REPORT = "run_report"
    MISSING_RUNS = "missing_runs"
    STALLS = "stalls"
    LEARNING = "learning"
    PLACEMENT = "placement"
    JOB_PLACEMENT = "job_placement"
    EXPIRY = "expiry"
    EVACUATION = "evacuation"
    DISPLACEMENT = "displacement"
    ATTEMPT_LEASES = "attempt_leases"
    LOST_GATEWAYS = "lost_gateways"
    WORKER_CHECK = "worker_check"
    ORPHAN_ENDS = "orphan_ends"
    FAILED_JOBS = "failed_jobs"
    RESUBMISSION = "resubmission"
    ATTEMPT_RECORDS = "attempt_records"


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionFailed:
    """Log and count an unexpected exception of a decision.

    Attributes:
        decision: The decision.
        subject: The job, task or worker that it was about; empty for all.
        error: The exception.
    """

    decision: Decision
    subject: str
    error: Exception


Effect = (
    StartRun
    | StopRun
    | LookNow
    | AnswerJob
    | RejectAttempt
    | ReportCrashes
    | LogEvent
    | CountDecision
    | CountFailure
    | DecisionFailed
)
