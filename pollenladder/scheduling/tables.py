"""What the owner of a region's workers knows, and the effects it decides on."""

import dataclasses
import enum

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as job_entities
from pollenladder.jobs import estimates as run_estimates
from pollenladder.scheduling import admission as job_admission
from pollenladder.scheduling import outlooks as service_outlooks
from pollenladder.scheduling import rooms as worker_rooms


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes:
        index: Its place in the job.
        state: Where it stands.
        next_run: The number of its next run.
        failures: Runs that ended in failure.
        worker_id: Where its run is, or was when it was done.
        took_s: How long its run took; 0 until it is done.
        avoided: Workers on which a run of it went wrong.
        not_before: It is not started before unless all workers are seen, as
            a run of another owner may still be in progress on one that is not.
    """

    index: int
    state: TaskState
    next_run: int
    failures: int = 0
    worker_id: str = ""
    took_s: float = 0.0
    avoided: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0


@dataclasses.dataclass(slots=True)
class Job:
    """A job that has been admitted.

    Attributes:
        submission: What was submitted.
        gateway_id: The daemon that waits for the answer.
        resources: What each task takes.
        tasks: Its tasks.
        expected_s: Expected run time of a task.
        submitted_at: When the caller sent it, by the local clock.
        objective_at: It is in time until then, if the expectation holds.
        latest_start_at: Its last task should have started by then.
        deadline_at: The caller waits no longer.
        has_begun: Whether any task of it was ever started.
        had_to_wait: Whether there was no room for all of it when it came.
    """

    submission: job_entities.Submission
    gateway_id: str
    resources: job_entities.Resources
    tasks: list[Task]
    expected_s: float
    submitted_at: float
    objective_at: float
    latest_start_at: float
    deadline_at: float
    has_begun: bool = False
    had_to_wait: bool = False

    def list_waiting(self) -> list[Task]:
        """Return the tasks that wait for a worker."""
        return [t for t in self.tasks if t.state is TaskState.WAITING]

    def is_complete(self) -> bool:
        """Return whether every task is done."""
        return all(t.state is TaskState.DONE for t in self.tasks)


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Tell a worker to run a task."""

    worker_id: str
    task: str
    number: int
    spec: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Tell a worker to stop a run, or never to begin it."""

    worker_id: str
    task: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LookNow:
    """Look at a worker without waiting for an end."""

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJob:
    """Send the final answer of a job to the daemon that waits for it."""

    gateway_id: str
    answer: job_entities.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """A decision for the log.

    Attributes:
        event: Its name.
        fields: What it was about and what decided it.
    """

    event: str
    fields: dict[str, object]


Effect = StartRun | StopRun | LookNow | AnswerJob | LogEvent


@dataclasses.dataclass(frozen=True, slots=True)
class PredictedEnd:
    """When a run is expected to give its room back.

    Attributes:
        at: Monotonic time in seconds.
        least_s: Its least remaining time from any moment, in seconds.
        resources: What it gives back.
    """

    at: float
    least_s: float
    resources: job_entities.Resources


@dataclasses.dataclass(slots=True)
class Region:
    """All tables of one owner.

    Attributes:
        epoch: The owner's epoch, which fences out earlier owners.
        owned_since: When the ownership began.
        max_lease_s: The longest lease that workers grant.
        workers: Workers by id.
        rooms: The workers by the room that they have.
        runs: The runs on all workers, wanted or not, by job id.
        predicted_ends: What `forecast` has worked out of each worker's runs;
            dropped whenever one of them changes.
        start_forecasts: What was lately foretold, by service and by how many tasks of
            the size fit into its sizes of workers.
        capacities: The sizes of workers, by service.
        jobs: Jobs that have not been answered, by id.
        waiting: Ids of the jobs with a task that waits.
        orphan_ends: When a run without a job here ended well, by task name.
        is_worker_list_current: Whether all workers have been read since this daemon
            became the owner.
        handover_delay_s: How long another owner may go on renewing the leases of a job
            that its gateway has handed on, as it does not know of that yet.
        worker_list_deadline: Nothing is started before, unless all workers have
            been read: some may have said that they leave since they were last
            read here.
        unseen_until: Until then workers may be at work that are not listed, as
            their entries lapsed without a farewell.
        lost_gateways: When the link to a gateway ended, by its id.
        answered: Answers given lately and when, by job id.
        estimates: How far off declared run times are.
        admission: What is known of the load.
        effects: Decided and not yet carried out.
    """

    epoch: int
    owned_since: float
    max_lease_s: float
    workers: dict[str, fleet.Worker] = dataclasses.field(default_factory=dict)
    rooms: worker_rooms.Rooms = dataclasses.field(
        default_factory=worker_rooms.Rooms
    )
    runs: dict[str, list[fleet.Run]] = dataclasses.field(default_factory=dict)
    predicted_ends: dict[str, list[PredictedEnd]] = dataclasses.field(
        default_factory=dict
    )
    start_forecasts: dict[
        tuple[str, tuple[int, ...]], service_outlooks.Outlook
    ] = dataclasses.field(default_factory=dict)
    capacities: dict[str, tuple[job_entities.Resources, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    waiting: set[str] = dataclasses.field(default_factory=set)
    orphan_ends: dict[str, float] = dataclasses.field(default_factory=dict)
    is_worker_list_current: bool = False
    handover_delay_s: float = 0.0
    worker_list_deadline: float = 0.0
    unseen_until: float = 0.0
    lost_gateways: dict[str, float] = dataclasses.field(default_factory=dict)
    answered: dict[str, tuple[job_entities.Answer, float]] = dataclasses.field(
        default_factory=dict
    )
    estimates: run_estimates.Estimates = dataclasses.field(
        default_factory=run_estimates.Estimates
    )
    admission: job_admission.Admission = dataclasses.field(
        default_factory=job_admission.Admission
    )
    effects: list[Effect] = dataclasses.field(default_factory=list)

    def is_awaiting_list(self, now: float) -> bool:
        """Return whether the workers are about to be read."""
        return (
            not self.is_worker_list_current and now < self.worker_list_deadline
        )

    def add_worker(self, worker: fleet.Worker) -> None:
        """Take a worker in."""
        self.workers[worker.listing.worker_id] = worker
        self.rooms.record(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker, on which nothing runs."""
        del self.workers[worker_id]
        self.rooms.forget(worker_id)

    def add_run(self, worker: fleet.Worker, run: fleet.Run) -> None:
        """Note a run on a worker, which takes its room."""
        worker.add_run(run)
        self.note_change(worker)
        job_id = job_entities.read_job_id(run.task)
        self.runs.setdefault(job_id, []).append(run)

    def remove_run(self, worker: fleet.Worker, run: fleet.Run) -> None:
        """Forget a run that is over."""
        worker.remove_run(run)
        self.note_change(worker)
        job_id = job_entities.read_job_id(run.task)
        left = [
            other for other in self.runs.get(job_id, ()) if other is not run
        ]
        if left:
            self.runs[job_id] = left
        else:
            self.runs.pop(job_id, None)

    def note_change(self, worker: fleet.Worker) -> None:
        """Note that a worker's room or its runs' progress has changed."""
        self.rooms.record(worker)
        self.predicted_ends.pop(worker.listing.worker_id, None)

    def log_event(self, event: str, **fields: object) -> None:
        """Decide on a line of the log."""
        self.effects.append(LogEvent(event, fields))

    def take_effects(self) -> list[Effect]:
        """Return what has been decided since the last call."""
        effects, self.effects = self.effects, []
        return effects
