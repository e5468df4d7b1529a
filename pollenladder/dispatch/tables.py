"""The rows that the owner of a shard keeps, and the effects it asks for."""

from __future__ import annotations

import dataclasses

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import directory
from pollenladder.dispatch import estimates
from pollenladder.dispatch import fairness
from pollenladder.dispatch import keys
from pollenladder.membership import health
from pollenladder.membership import ownership
from pollenladder.plans import declarations
from pollenladder.plans import ledgers

EXPIRY_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds of the policy.

    Attributes:
        max_queue_wait_s: A job expected to wait longer is refused.
        max_queued_jobs: Jobs and batches held at once.
        spill_wait_s: Tasks expected to wait longer are offloaded.
        announce_interval_s: Least time between two unasked load messages to
            one owner.
        max_attempts: Starts tried for one task, all but the last "not run".
        retry_ratio: Retries allowed for each start, in the long run.
        retry_burst: Retries allowed at once.
        lease_ttl_s: For how long a worker's lease lasts.
    """

    max_queue_wait_s: float = 3.0
    max_queued_jobs: int = 2000
    spill_wait_s: float = 0.02
    announce_interval_s: float = 0.02
    max_attempts: int = 6
    retry_ratio: float = 0.1
    retry_burst: float = 50.0
    lease_ttl_s: float = 3.0


@dataclasses.dataclass
class Worker:
    """A worker of the shard.

    Attributes:
        worker_id: Its VM id.
        slots: Tasks it runs at once.
        running: Tasks that this owner has running there.
        foreign: Tasks of earlier owners that ran at takeover, by plan.
        survivors: All tasks that ran there at takeover, by plan.
        foreign_until: When the last of those must have ended.
        busy_until: It gets no work before, as it refused some as busy.
        refusals: Tasks refused as busy since one last ran there.
        leaving: Whether it gets no new work.
        granted_epoch: The epoch of the last lease it granted.
    """

    worker_id: str
    slots: int
    running: int = 0
    foreign: dict[str, int] = dataclasses.field(default_factory=dict)
    survivors: dict[str, int] = dataclasses.field(default_factory=dict)
    foreign_until: float = 0.0
    busy_until: float = 0.0
    refusals: int = 0
    leaving: bool = False
    granted_epoch: int = 0


@dataclasses.dataclass(frozen=True)
class WorkerRef:
    """A worker and the shard that it belongs to."""

    shard_id: str
    worker_id: str


@dataclasses.dataclass
class Group:
    """A job, or a batch of another owner's job, that this owner answers.

    Attributes:
        group_id: The job's or the batch's id.
        shard_id: The shard it was sent to, whose allowance it uses.
        job_id: The job's id.
        reply_to: The daemon that gets the answer.
        is_remote: Whether it is a batch; a batch takes no allowance here.
        flow_id: The customer and the plan.
        tasks: Tasks by their place in the job.
        deadline_at: When it must be answered.
        start_by: No task of it may start later.
        due_at: Its place in the queue; see `dispatch.fairness`.
        received_at: When it came.
        expected_s: Expected run time of each task, by place.
        waiting: Places of tasks that wait, the longest last.
        units: Allowance held by each task that is started or offloaded.
        started: Places of tasks that are running, with where they run.
        offloaded: Places of tasks in a batch elsewhere, with the batch id.
        offloaded_start_by: When the latest start of a offloaded task may come, by
            place.
        results: Results by place.
        attempts: Starts tried, by place.
        origin_epoch: Of a batch, the epoch of the owner that sent it.
        key: The idempotency key, if it has one.
        followers: Daemons that wait for the same answer, by the id of the job
            that was submitted again with the key.
    """

    group_id: str
    shard_id: str
    job_id: str
    reply_to: str
    is_remote: bool
    flow_id: tuple[str, str]
    tasks: dict[int, entities.Task]
    deadline_at: float
    start_by: float
    due_at: float
    received_at: float
    expected_s: dict[int, float]
    waiting: list[int]
    units: dict[int, ledgers.Unit] = dataclasses.field(default_factory=dict)
    started: dict[int, WorkerRef] = dataclasses.field(default_factory=dict)
    offloaded: dict[int, str] = dataclasses.field(default_factory=dict)
    offloaded_start_by: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    results: dict[int, verdicts.TaskResult] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[int, int] = dataclasses.field(default_factory=dict)
    origin_epoch: int = 0
    key: keys.Key | None = None
    followers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Batch:
    """Tasks of one job that another owner runs for us.

    Attributes:
        batch_id: Its id.
        group_id: The group here.
        from_shard_id: The group's shard.
        shard_id: The shard it went to.
        daemon_id: That shard's owner at the time.
        indexes: Places of its tasks.
    """

    batch_id: str
    group_id: str
    from_shard_id: str
    shard_id: str
    daemon_id: str
    indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Ended:
    """A group that has been answered.

    Attributes:
        message: The answer, should it be asked for again.
        forget_at: Until when a late frame of it may come.
    """

    message: object
    forget_at: float


@dataclasses.dataclass
class Shard:
    """All that the owner of a shard knows.

    A daemon that owns several shards serves them from one queue: their tables
    share the queue, the groups, the batches and the estimates.

    Attributes:
        shard_id: The shard.
        data_centre: Where it is.
        daemon_id: This daemon.
        batch_prefix: Starts the id of each batch, unique for all time.
        limits: Bounds of the policy.
        ownership: Leases on the shard's workers.
        ledger: The shard's part of every allowance.
        health: How the workers are doing.
        local_shards: Tables of all shards that this daemon may own, by shard id.
        estimates: Run times by kind.
        queue: What waits, by customer and plan.
        declared: The declarations in force.
        workers: Workers by id.
        groups: Jobs and batches by id.
        batches: Batches offloaded, by id.
        ended: Groups that must never start again, by id.
        followed: Groups whose answer a resubmission waits for, by its job id.
        keys: Keys of this owner's epoch; None while it is not the owner.
        shard_directory: Where other shards are and how loaded.
        retry_tokens: Retries allowed now.
        next_batch: Number of the next batch.
        stalled: Lines whose tasks waited for allowance in the last tick, with
            how many.
        announced: When each other shard's owner was last told of the load.
        told_of_queue: Shards whose owners were last told that tasks wait here.
        draining: Whether it takes nothing new.
        all_shard_ids: Shards of all data centres, this one among them.
        next_expiry_at: When deadlines are looked at next.
        next_sharing_at: When loans are looked at next.
        next_claim_at: When claims are sent next.
    """

    shard_id: str
    data_centre: str
    daemon_id: str
    batch_prefix: str
    limits: Limits
    ownership: ownership.Ownership
    ledger: ledgers.Ledger
    shard_directory: directory.Directory
    local_shards: dict[str, Shard] = dataclasses.field(default_factory=dict)
    health: health.ShardHealth = dataclasses.field(
        default_factory=health.ShardHealth
    )
    estimates: estimates.Estimates = dataclasses.field(
        default_factory=estimates.Estimates
    )
    queue: fairness.FairQueue = dataclasses.field(
        default_factory=fairness.FairQueue
    )
    declared: declarations.Declarations = declarations.EMPTY
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    groups: dict[str, Group] = dataclasses.field(default_factory=dict)
    batches: dict[str, Batch] = dataclasses.field(default_factory=dict)
    ended: dict[str, Ended] = dataclasses.field(default_factory=dict)
    followed: dict[str, str] = dataclasses.field(default_factory=dict)
    keys: keys.KeyTable | None = None
    retry_tokens: float = 50.0
    next_batch: int = 0
    stalled: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    announced: dict[str, float] = dataclasses.field(default_factory=dict)
    told_of_queue: set[str] = dataclasses.field(default_factory=set)
    draining: bool = False
    all_shard_ids: tuple[str, ...] = ()
    next_expiry_at: float = 0.0
    next_sharing_at: float = 0.0
    next_claim_at: float = 0.0

    def ownership_is_held(self, now: float) -> bool:
        """Return whether this daemon is the owner now."""
        return ownership.owns(self.ownership, now)

    def get_weight(self, plan_id: str) -> float:
        """Return the declared weight of a plan."""
        plan = self.declared.plans.get(plan_id)
        return plan.weight if plan else 1.0


@dataclasses.dataclass(frozen=True)
class StartTask:
    """Ask a worker to run a task, once.

    Attributes:
        worker_ref: The worker.
        home_shard_id: The group's shard.
        start_id: Unique for the task over all time.
        group_id: The group at this owner.
        index: The task's place.
        job_id: The job.
        flow_id: The customer and the plan.
        task: The task.
        max_run_s: The worker stops it after this long.
        wait_s: Give up on a reply after this long.
    """

    worker_ref: WorkerRef
    home_shard_id: str
    start_id: str
    group_id: str
    index: int
    job_id: str
    flow_id: tuple[str, str]
    task: entities.Task
    max_run_s: float
    wait_s: float


@dataclasses.dataclass(frozen=True)
class StopTasks:
    """Ask a worker to stop tasks whose results nobody wants."""

    worker_ref: WorkerRef
    start_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class SendMessage:
    """Send a message to a daemon, which may be this one."""

    daemon_id: str
    message: object


Effect = StartTask | StopTasks | SendMessage


def format_start_id(job_id: str, index: int) -> str:
    """Return the id under which a task of a job starts, wherever it runs."""
    return f"{job_id}:{index}"
