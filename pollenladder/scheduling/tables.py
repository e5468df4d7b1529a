"""State of a region's owner."""

from collections.abc import Callable
import dataclasses
import enum
import math
from typing import TypeVar

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations as fleet_evacuations
from pollenladder.fleet import regions as fleet_regions
from pollenladder.fleet import speeds
from pollenladder.fleet import worker_lists
from pollenladder.jobs import entities as job_entities
from pollenladder.jobs import estimates as run_estimates
from pollenladder.scheduling import admission as job_admission
from pollenladder.scheduling import attempt_records as job_records
from pollenladder.scheduling import attempts as job_attempts
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import effects as owner_effects
from pollenladder.scheduling import features as optional_features
from pollenladder.scheduling import free_capacity as worker_capacity
from pollenladder.scheduling import interference
from pollenladder.scheduling import neighbourhood as worker_neighbourhood
from pollenladder.scheduling import places as job_places
from pollenladder.scheduling import start_forecasts as service_forecasts

T = TypeVar("T")

# Time from the decision to start a task to its first step, plus time from the
# end of the last task to the caller's receipt of the answer.
OVERHEAD_S = 0.015


class TaskState(enum.Enum):
    """State of a task.

    WAITING: The task waits for a worker.
    PLACED: The task has a run on a worker.
    DONE: A run of the task has completed.
    """

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes:
        index: Index of the task in its job.
        state: State of the task.
        next_run: Number of the task's next run.
        failed_runs: Numbers of the runs that have failed. A worker may report the end
            of a run more than once.
        stalls: Number of stalled runs.
        worker_id: Worker of the current or completed run; empty while waiting.
        took_s: Measured run time in seconds; 0 until the task is done.
        avoided_workers: Workers on which a run failed, stalled or was rejected.
        not_before: Monotonic time before which the task starts only if the runs
            of all workers are known. Another owner's run of the task may still
            be in progress on a worker that has not been polled.
        has_started: Whether this owner has started a run of the task.
        crashes: Numbers of workers that crashed or were lost under the task.
    """

    index: int
    state: TaskState
    next_run: int
    failed_runs: frozenset[int] = frozenset()
    stalls: int = 0
    worker_id: str = ""
    took_s: float = 0.0
    avoided_workers: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0
    has_started: bool = False
    crashes: crash_records.CrashCounts = dataclasses.field(
        default_factory=crash_records.CrashCounts
    )

    @property
    def needs_isolation(self) -> bool:
        """Whether the task may start only on a worker without other runs."""
        return self.crashes.suspicions > 0 or self.crashes.lost_workers > 1


@dataclasses.dataclass(slots=True)
class Job:
    """An admitted job. Times are monotonic, in seconds.

    Attributes:
        submission: The job as it was submitted.
        attempts: The attempts that wait for the job, by number, the newest last.
        resources: Resources that each task needs.
        tasks: The job's tasks.
        expected_s: Expected run time of a task, in seconds; more than 0.
        submitted_at: When the caller sent the job.
        objective_at: The job is in time if it ends by then, provided that
            `expected_s` is right.
        latest_start_at: When the last task must start for the job to be in
            time.
        deadline_at: When the last attempt's caller stops waiting.
        has_begun: Whether any task has been started.
        had_to_wait: Whether capacity for some task was lacking on arrival.
        list_needed_at: A task starts before its `not_before` only if the list
            of workers has been read since then.
        is_deferred: Whether the job cannot be in time and is served late, on
            capacity that other jobs leave.
        last_first_start_at: When this owner last started the first run of one
            of the tasks.
        samples: Completed runs, from which interference is learned. None before
            the first one, and for a job that is not observed.
        is_observed: Whether `samples` are collected; None before the first run
            has completed.
        has_lost_workers: Whether a worker was lost under one of the tasks.
        is_overdue: Whether the job cannot be in time any more, as a worker was
            lost. Jobs that can be in time come before it.
        longest_usual_s: Run time of a task beyond which it is unusual, in
            seconds; None if that is not known.
        attempts_elsewhere: Numbers of the attempts that were removed and that
            another owner may have.
        served_at: When the gateway of the last attempt that was removed had last
            been heard; infinite before.
        record: What is logged if the place of an attempt becomes doubtful; None
            unless the job is admitted.
    """

    submission: job_entities.Submission
    attempts: dict[int, job_attempts.Attempt]
    resources: job_entities.Resources
    tasks: list[Task]
    expected_s: float
    submitted_at: float
    objective_at: float
    latest_start_at: float
    deadline_at: float
    has_begun: bool = False
    had_to_wait: bool = False
    list_needed_at: float = float("-inf")
    is_deferred: bool = False
    last_first_start_at: float = float("-inf")
    samples: list[interference.Sample] | None = None
    is_observed: bool | None = None
    has_lost_workers: bool = False
    is_overdue: bool = False
    longest_usual_s: float | None = None
    served_at: float = math.inf
    attempts_elsewhere: set[int] = dataclasses.field(default_factory=set)
    record: job_records.JobRecord | None = None

    def list_waiting_tasks(self) -> list[Task]:
        """Return the tasks that wait for a worker."""
        return [t for t in self.tasks if t.state is TaskState.WAITING]

    def is_complete(self) -> bool:
        """Return whether every task is done."""
        return all(t.state is TaskState.DONE for t in self.tasks)


@dataclasses.dataclass(frozen=True, slots=True)
class RecentEnd:
    """How a job has ended, in answer to attempts that come later.

    Attributes:
        outcome: The outcome.
        reason: Reason for the outcome.
        ended_at: Monotonic time in seconds.
    """

    outcome: job_entities.Outcome
    reason: job_entities.Reason
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Attempts of a job that another group may execute.

    This group has refused them, or had no owner when they arrived.

    Attributes:
        attempts: Numbers of the attempts.
        until: Monotonic time in seconds after which no run is left.
    """

    attempts: frozenset[int]
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class PredictedEnd:
    """When a run is expected to free its resources.

    Attributes:
        at: Monotonic time in seconds.
        min_remaining_s: Remaining time in seconds that is assumed once `at` has
            passed.
        resources: Resources that the run frees.
    """

    at: float
    min_remaining_s: float
    resources: job_entities.Resources


@dataclasses.dataclass(slots=True)
class Region:
    """All state of one owner. Times are monotonic, in seconds.

    Attributes:
        epoch: The owner's epoch, which fences out earlier owners.
        owned_since: When this daemon became the owner.
        max_lease_s: The longest lease that workers grant, in seconds.
        features: The optional decisions that are switched on.
        group: Name of the group of workers, for the log.
        workers: Workers by id.
        free_capacity: Index of the workers by free CPU.
        runs: Runs on all workers, including orphans, by job id.
        predicted_ends: Cached predictions of `forecast` for each worker's runs;
            removed when one of the runs changes.
        start_forecasts: Cached start forecasts, by service, by the number of
            tasks that fit into each of its capacities, by allowed regions, and by
            the queue if that may not use all workers.
        capacities: Distinct capacities of workers, by service.
        worker_counts: Number of listed workers, by service.
        crashes: What is known about crashes of workers.
        jobs: Unanswered jobs by id.
        waiting: Ids of the jobs with a waiting task.
        orphan_ends: When a run without a job here completed, by task name.
        is_worker_list_current: Whether all worker entries have been read since
            this daemon became the owner.
        handover_delay_s: How long another owner may renew the leases of a job
            after the gateway has forwarded the job to this owner, because it
            does not know that yet; in seconds.
        worker_list_deadline: Until then, nothing starts before all worker
            entries have been read. Workers may have announced that they leave
            since the entries were last read here.
        moved_workers_until: Until then, workers that have moved to another
            group may still execute runs of this one.
        list_history: Tells whether unlisted workers may still execute runs. It
            is shared by all groups, and changes as the list is read.
        service_shares: Share of each service's workers that belongs to this
            owner's group, 0 to 1.
        gateways_heard_at: When each linked daemon was last heard; see
            `attempt_leases`.
        run_limit_s: For how long runs go on after the last contact with their
            gateways, in seconds; see `lease_limits`.
        confirmations_due: When the last attempts of a gateway have to be
            forwarded again after a change of its link, by gateway id.
        recent_ends: How jobs have ended recently, by job id.
        refusals: The jobs that may run in another group, by job id.
        unknown_runs_until: Until when runs of an earlier owner may be left of jobs
            that have ended before this was disproved, by job id.
        places: The groups of the jobs of which this owner is the registrar.
        failed_jobs: Ids of the jobs whose placement has failed unexpectedly.
        estimates: Bias of declared run times.
        admission: State of admission control.
        jobs_until_centred: Number of completed jobs after which the speeds of
            workers are centred again.
        fastest_speed: Speed of the fastest worker when speeds were last
            centred.
        neighbourhood: What is known about tasks that slow each other down.
        inherited_speeds: Speeds that an earlier owner learned, by worker id,
            until the worker is polled; see `learned_state`.
        effects: Effects that have not been carried out yet.
        evacuations: The data centres that are taken out of use.
        evacuated_services: The services whose listed workers are all in
            evacuated data centres.
        cold_starts: For how long workers are cold after their start, in
            seconds, by service.
        unguarded_services: The services whose workers do not reject what exceeds
            their capacity.
        regions: The regions of the data centres.
        max_large_tasks: The number of tasks of large jobs that may be held.
        attempt_records: What is known of recent attempts, for the log.
    """

    epoch: int
    owned_since: float
    max_lease_s: float
    features: optional_features.Features = optional_features.ALL
    group: str = ""
    workers: dict[str, fleet.Worker] = dataclasses.field(default_factory=dict)
    free_capacity: worker_capacity.FreeCapacityIndex = dataclasses.field(
        default_factory=worker_capacity.FreeCapacityIndex
    )
    runs: dict[str, list[fleet.Run]] = dataclasses.field(default_factory=dict)
    predicted_ends: dict[str, list[PredictedEnd]] = dataclasses.field(
        default_factory=dict
    )
    start_forecasts: dict[
        tuple[str, tuple[int, ...], tuple[str, ...], str],
        service_forecasts.StartForecast,
    ] = dataclasses.field(default_factory=dict)
    capacities: dict[str, tuple[job_entities.Resources, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    worker_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    crashes: crash_records.CrashRecords = dataclasses.field(
        default_factory=crash_records.CrashRecords
    )
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    waiting: set[str] = dataclasses.field(default_factory=set)
    orphan_ends: dict[str, float] = dataclasses.field(default_factory=dict)
    is_worker_list_current: bool = False
    handover_delay_s: float = 0.0
    worker_list_deadline: float = 0.0
    moved_workers_until: float = float("-inf")
    list_history: worker_lists.ListHistory = dataclasses.field(
        default_factory=worker_lists.ListHistory
    )
    service_shares: dict[str, float] = dataclasses.field(default_factory=dict)
    gateways_heard_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    run_limit_s: float = math.inf
    confirmations_due: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    recent_ends: dict[str, RecentEnd] = dataclasses.field(default_factory=dict)
    refusals: dict[str, Refusal] = dataclasses.field(default_factory=dict)
    unknown_runs_until: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    places: job_places.Places = dataclasses.field(
        default_factory=job_places.Places
    )
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    estimates: run_estimates.Estimates = dataclasses.field(
        default_factory=run_estimates.Estimates
    )
    admission: job_admission.AdmissionState = dataclasses.field(
        default_factory=job_admission.AdmissionState
    )
    jobs_until_centred: int = 0
    fastest_speed: float = 1.0
    neighbourhood: worker_neighbourhood.Neighbourhood = dataclasses.field(
        default_factory=worker_neighbourhood.Neighbourhood
    )
    inherited_speeds: dict[str, fleet.LearnedSpeed] = dataclasses.field(
        default_factory=dict
    )
    effects: list[owner_effects.Effect] = dataclasses.field(
        default_factory=list
    )
    evacuations: fleet_evacuations.Evacuations = dataclasses.field(
        default_factory=fleet_evacuations.Evacuations
    )
    evacuated_services: frozenset[str] = frozenset()
    cold_starts: dict[str, float] = dataclasses.field(default_factory=dict)
    unguarded_services: frozenset[str] = frozenset()
    regions: fleet_regions.Regions = fleet_regions.NONE
    max_large_tasks: float = math.inf
    attempt_records: job_records.AttemptRecords = dataclasses.field(
        default_factory=job_records.AttemptRecords
    )

    def is_awaiting_worker_list(self, now: float) -> bool:
        """Return whether a current list of workers is still awaited."""
        return (
            not self.is_worker_list_current and now < self.worker_list_deadline
        )

    def get_speed(self, worker_id: str) -> float:
        """Return the speed of a worker; 1.0 if it is not known."""
        worker = self.workers.get(worker_id)
        if worker is None or not self.features.speeds:
            return 1.0
        return speeds.get_speed(worker.speed)

    def add_worker(self, worker: fleet.Worker) -> None:
        """Add a worker."""
        self.workers[worker.listing.worker_id] = worker
        self.free_capacity.update(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has no runs."""
        del self.workers[worker_id]
        self.free_capacity.remove(worker_id)
        self.neighbourhood.ended.pop(worker_id, None)

    def add_run(self, worker: fleet.Worker, run: fleet.Run) -> None:
        """Add a run to a worker, reserving its resources."""
        worker.add_run(run)
        self.crashes.add_run(run.kind, run.worker_id)
        self.record_worker_change(worker)
        job_id = job_entities.parse_job_id(run.task)
        self.runs.setdefault(job_id, []).append(run)

    def remove_run(self, worker: fleet.Worker, run: fleet.Run) -> None:
        """Remove a run that is over, freeing its resources."""
        if worker.runs.get(run.task) is run:
            self.crashes.remove_run(run.kind, run.worker_id)
        worker.remove_run(run)
        if worker.isolated_task == run.task:
            worker.isolated_task = ""
        self.record_worker_change(worker)
        job_id = job_entities.parse_job_id(run.task)
        left = [
            other for other in self.runs.get(job_id, ()) if other is not run
        ]
        if left:
            self.runs[job_id] = left
        else:
            self.runs.pop(job_id, None)

    def record_worker_change(self, worker: fleet.Worker) -> None:
        """Update indexes after a change of capacity, runs or progress."""
        self.free_capacity.update(worker)
        self.predicted_ends.pop(worker.listing.worker_id, None)

    def decide(
        self,
        decision: owner_effects.Decision,
        subject: str,
        function: Callable[..., T],
        *arguments: object,
    ) -> T | None:
        """Return the result of a function; None if it fails unexpectedly.

        The failure is logged and counted, and the other decisions go on.

        Args:
            decision: The decision that the function makes.
            subject: The job, task or worker that it is about; empty for all.
            function: The function.
            *arguments: Its arguments.
        """
        try:
            return function(*arguments)
        except Exception as error:
            failed = owner_effects.DecisionFailed(decision, subject, error)
            self.effects.append(failed)
            return None

    def log_event(self, event: str, **fields: object) -> None:
        """Queue an event for the log."""
        self.effects.append(owner_effects.LogEvent(event, fields))

    def count(self, decision: str) -> None:
        """Queue the count of a kind of decision, for the metrics."""
        self.effects.append(owner_effects.CountDecision(decision))

    def count_failure(self, failure: owner_effects.Failure) -> None:
        """Queue the count of a failure of workers, for the metrics."""
        self.effects.append(owner_effects.CountFailure(failure))

    def take_effects(self) -> list[owner_effects.Effect]:
        """Return and clear the effects decided on since the last call."""
        effects, self.effects = self.effects, []
        return effects
