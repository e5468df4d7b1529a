"""The state of a shard's owner, and the effects of its decisions.

An effect is a request to a worker or a message to a daemon. The functions of
this package return effects, and the engine sends them.

Times are monotonic, in seconds. The index of a task is its position in its job.
"""

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

# Time between two checks of deadlines.
EXPIRY_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the dispatch policy.

    Attributes:
        max_queue_wait_s: A job expected to wait longer than this many seconds
            at its customer's fair share is refused.
        max_queued_jobs: Number of open jobs and batches from which customers
            beyond their fair share are refused. At twice this number, every
            job is refused.
        offload_wait_s: Tasks expected to wait longer than this many seconds
            are offloaded.
        announce_interval_s: Minimum time between two announcements of this
            shard's load to one owner, in seconds.
        max_attempts: Maximum number of attempts to start one task. A task is
            started again only if it certainly has not run.
        retry_ratio: Retries that each start adds to the retry budget.
        retry_burst: Maximum of the retry budget.
        lease_ttl_s: Term of a worker's lease, in seconds.
    """

    max_queue_wait_s: float = 3.0
    max_queued_jobs: int = 2000
    offload_wait_s: float = 0.02
    announce_interval_s: float = 0.02
    max_attempts: int = 6
    retry_ratio: float = 0.1
    retry_burst: float = 50.0
    lease_ttl_s: float = 3.0


@dataclasses.dataclass
class Worker:
    """A worker of the shard.

    Attributes:
        worker_id: The worker's VM id.
        slots: Number of tasks that it runs at once.
        running: Number of tasks that this owner has running there.
        predecessor_tasks: Number by plan of the tasks of earlier owners that
            ran there at takeover. They occupy slots, but `running` doesn't
            count them.
        running_at_takeover: Number by plan of all tasks that ran there at
            takeover, including those that this daemon started in an earlier
            epoch. They use allowance units of earlier epochs.
        takeover_tasks_end_at: Time by which the tasks that ran there at
            takeover must have ended.
        busy_until: The worker gets no tasks before this time, because it
            refused some as busy.
        busy_refusals: Number of tasks that the worker refused as busy since
            it last ran a task.
        leaving: Whether the worker gets no new tasks.
        granted_epoch: Epoch of the last lease that it granted.
    """

    worker_id: str
    slots: int
    running: int = 0
    predecessor_tasks: dict[str, int] = dataclasses.field(default_factory=dict)
    running_at_takeover: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    takeover_tasks_end_at: float = 0.0
    busy_until: float = 0.0
    busy_refusals: int = 0
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
        group_id: The id of the job or the batch.
        shard_id: The shard that received it; a job uses this shard's
            allowance.
        job_id: The job's id.
        reply_to: The daemon that gets the answer.
        is_remote: Whether it is a batch from another owner. A batch uses
            the sender's allowance, not this shard's.
        flow_id: The customer id and the plan id.
        tasks: Tasks by index.
        deadline_at: Time by which the group must be answered.
        start_by: No task of the group may start after this time.
        due_at: Due time that sets the order in the queue; see
            `dispatch.fairness`.
        received_at: Time of arrival.
        expected_s: Expected run time of each task by index, in seconds.
        waiting: Indexes of waiting tasks, used as a stack: the last one starts
            first. They are sorted by ascending expected run time, and tasks to
            retry are appended.
        units: Units of the plan's allowance by task index; each started or
            offloaded task needs one. Tasks of a remote batch have none.
        started: The worker of each running task, by index.
        offloaded: The batch id of each task in a batch elsewhere, by index.
        offloaded_start_by: Time by which a remote owner must start an
            offloaded task, by index. It is kept if that owner is lost, because
            the task may still start until then.
        results: Results by index.
        attempts: Number of attempted starts by index.
        origin_epoch: The epoch of the owner that sent a batch; 0 for a job.
        key: The idempotency key, if the job has one.
        followers: Daemons that wait for the same answer, by the id of the job
            that was resubmitted with the key.
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
    """Tasks of one job that were offloaded to another owner.

    Attributes:
        batch_id: The batch's id.
        group_id: The job's group here.
        from_shard_id: The group's shard.
        shard_id: The shard that the batch was sent to.
        daemon_id: The owner of that shard at the time.
        indexes: Indexes of the tasks.
    """

    batch_id: str
    group_id: str
    from_shard_id: str
    shard_id: str
    daemon_id: str
    indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class EndedGroup:
    """A group that has ended and been answered.

    Attributes:
        message: The answer, sent again if the group's sender asks for it.
        forget_at: Time at which the record is deleted. Until then, late or
            repeated offers of the group are ignored.
    """

    message: object
    forget_at: float


@dataclasses.dataclass
class Shard:
    """The state of one shard at a daemon that may own it.

    The shards of one daemon share their queue, groups, batches, answered
    groups, resubmissions and estimates.

    Attributes:
        shard_id: The shard.
        data_centre: The data centre of the shard.
        daemon_id: This daemon.
        batch_id_prefix: Prefix of batch ids. It contains this daemon's
            incarnation, so that batch ids are never reused.
        limits: Limits of the dispatch policy.
        ownership: The leases on the shard's workers.
        ledger: The shard's share of the allowance of each plan.
        health: The health of the shard's workers.
        local_shards: All shards that this daemon may own, by shard id.
        estimates: Run time estimates by kind.
        queue: The waiting tasks, by customer and plan.
        declared: The declarations in force.
        workers: Workers by id.
        groups: Open jobs and batches by id.
        batches: Batches offloaded to other owners, by id.
        ended_groups: Answered groups by id; their tasks must never start again.
        followed_group_ids: The group whose answer a resubmission waits for, by
            the job id of the resubmission.
        keys: Idempotency keys of the current epoch; None before this daemon
            first owns the shard.
        shard_directory: The owners and loads of all shards.
        retry_tokens: The retry budget: retries allowed now. `shard.build` sets
            it to `Limits.retry_burst`.
        last_batch_number: Number in the id of the last batch.
        awaiting_allowance: Number of waiting tasks by flow, for flows that
            lacked allowance in the last dispatch pass.
        announced_at: Time at which this shard's load was last announced to the
            owner of each other shard, by shard id.
        notified_of_queue: Shards whose owners were last notified that tasks
            are waiting here. Such an owner reports its free slots to this one
            until it is notified that no more tasks wait.
        draining: Whether the shard accepts no new jobs or batches.
        all_shard_ids: The shards of all data centres, this one included.
        next_expiry_at: Time of the next check of deadlines.
        next_sharing_at: Time at which allowance is next requested from and
            returned to other shards.
        next_claim_at: Time at which unanswered claims are sent again.
    """

    shard_id: str
    data_centre: str
    daemon_id: str
    batch_id_prefix: str
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
    ended_groups: dict[str, EndedGroup] = dataclasses.field(
        default_factory=dict
    )
    followed_group_ids: dict[str, str] = dataclasses.field(default_factory=dict)
    keys: keys.KeyTable | None = None
    retry_tokens: float = 50.0
    last_batch_number: int = 0
    awaiting_allowance: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    announced_at: dict[str, float] = dataclasses.field(default_factory=dict)
    notified_of_queue: set[str] = dataclasses.field(default_factory=set)
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
        home_shard_id: The group's shard. The worker may belong to another
            shard of this daemon.
        start_id: Identifies the task at all workers and in all attempts; never
            reused for another task.
        group_id: The task's group at this owner.
        index: The task's index.
        job_id: The job.
        flow_id: The customer id and the plan id.
        task: The task.
        max_run_s: The worker stops the task after this many seconds.
        wait_s: The owner stops waiting for a reply after this many seconds.
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
    """Ask a worker to stop tasks whose results are no longer needed."""

    worker_ref: WorkerRef
    start_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class SendMessage:
    """Send a message to a daemon, which may be this one."""

    daemon_id: str
    message: object


Effect = StartTask | StopTasks | SendMessage


def format_start_id(job_id: str, index: int) -> str:
    """Return the start id of a task, the same wherever the task runs."""
    return f"{job_id}:{index}"
