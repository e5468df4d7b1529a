"""The systems that run over a shard's tables each tick."""

import collections
from collections.abc import Collection

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import directory
from pollenladder.dispatch import fairness
from pollenladder.dispatch import handover
from pollenladder.dispatch import keys
from pollenladder.dispatch import placement
from pollenladder.dispatch import sharing
from pollenladder.dispatch import spilling
from pollenladder.dispatch import tables
from pollenladder.endpoints import outcomes
from pollenladder.membership import health
from pollenladder.membership import ownership
from pollenladder.plans import declarations
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import takeover

# Taken for a running task of a plan or a kind that is no longer declared.
UNKNOWN_MAX_RUN_S = 10.0


def build(
    *,
    shard_id: str,
    daemon_id: str,
    incarnation: str,
    limits: tables.Limits,
    shard_directory: directory.Directory,
    all_shard_ids: tuple[str, ...],
    loan_term_s: float,
    loan_margin_s: float,
    sibling: tables.Shard | None = None,
) -> tables.Shard:
    """Return the tables of a shard that this daemon does not own yet.

    Args:
        shard_id: The shard.
        daemon_id: This daemon.
        incarnation: Differs from start to start of this daemon.
        limits: Bounds of the policy.
        shard_directory: Where other shards are and how loaded.
        all_shard_ids: Shards of all data centres.
        loan_term_s: Term of loans of allowance, in seconds.
        loan_margin_s: What a lender adds to it.
        sibling: Another shard of this daemon, to share the queue with.
    """
    shard = tables.Shard(
        shard_id=shard_id,
        data_centre=directory.get_data_centre(shard_id),
        daemon_id=daemon_id,
        batch_prefix=f"{daemon_id}-{incarnation}-{shard_id}",
        limits=limits,
        ownership=ownership.Ownership(shard_id, daemon_id, limits.lease_ttl_s),
        ledger=ledgers.Ledger(shard_id, loan_term_s, loan_margin_s),
        shard_directory=shard_directory,
        all_shard_ids=all_shard_ids,
        retry_tokens=limits.retry_burst,
    )
    if sibling:
        shard.local_shards = sibling.local_shards
        shard.queue = sibling.queue
        shard.groups = sibling.groups
        shard.batches = sibling.batches
        shard.ended = sibling.ended
        shard.followed = sibling.followed
        shard.estimates = sibling.estimates
    shard.local_shards[shard_id] = shard
    return shard


def apply_declarations(
    shard: tables.Shard, declared: declarations.Declarations, now: float
) -> None:
    """Put a newer version of the declarations in force; older ones do nothing."""
    if declared.version <= shard.declared.version:
        return
    shard.declared = declared
    _declare_shares(shard, now)


def _declare_shares(shard: tables.Shard, now: float) -> None:
    ids = sorted(set(shard.all_shard_ids))
    position, count = ids.index(shard.shard_id), len(ids)
    for plan in shard.declared.plans.values():
        allowed = plan.allowance
        escrow.set_share(
            shard.ledger,
            plan.plan_id,
            escrow.compute_share(allowed.running_tasks, position, count),
            escrow.compute_rate_share(allowed.starts_per_s, position, count),
            escrow.compute_share(allowed.burst, position, count),
            now,
        )
    for plan_id in list(shard.ledger.accounts):
        if plan_id not in shard.declared.plans:
            escrow.set_share(shard.ledger, plan_id, 0, 0.0, 0, now)


def run_dispatch_pass(
    shards: Collection[tables.Shard], now: float
) -> list[tables.Effect]:
    """Expire, place, spill and announce; return what is to be done.

    Args:
        shards: Those of this daemon, which share one queue; one or more.
        now: Monotonic time in seconds.
    """
    first = next(iter(shards))
    effects = expire(first, now)
    effects += handover.give_up(first, now)
    for shard in shards:
        shard.stalled.clear()
    if first.queue.tasks:
        effects += placement.place(shards, now)
    if first.queue.tasks:
        effects += spilling.spill(shards, now)
    for shard in shards:
        effects += sharing.share(shard, now)
        if shard.ownership_is_held(now):
            effects += spilling.announce(shard, now)
    return effects


def expire(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Give up the groups of this daemon whose deadline has come."""
    completion.forget_ended(shard, now)
    if now < shard.next_expiry_at:
        return []
    for host in shard.local_shards.values():
        hosted = host.ledger.hosted.values()
        over = [item.start_id for item in hosted if item.until <= now]
        takeover.end_hosting(host.ledger, over)
    shard.next_expiry_at = now + tables.EXPIRY_INTERVAL_S
    fairness.forget_past(shard.queue, now)
    effects: list[tables.Effect] = []
    for group in list(shard.groups.values()):
        home = shard.local_shards[group.shard_id]
        if group.deadline_at <= now:
            reason = verdicts.Reason.DEADLINE
            effects += completion.fail_group(home, group, reason, now)
        elif group.start_by <= now and group.waiting:
            effects += completion.hand_back_waiting(home, group, now)
    return effects


def become_owner(shard: tables.Shard, now: float) -> None:
    """Begin an epoch: hold no key, and use no share that may be in use."""
    epoch = shard.ownership.epoch
    shard.keys = keys.KeyTable(shard.shard_id, epoch, now)
    old = shard.ledger
    shard.ledger = ledgers.Ledger(shard.shard_id, old.term_s, old.margin_s)
    # Units of an earlier epoch must not be taken for new ones.
    shard.ledger.last_unit_id = old.last_unit_id
    # Tasks of others that wait or run here keep using units of others.
    shard.ledger.hosted = old.hosted
    shard.ledger.claimed = old.claimed
    others = [s for s in shard.all_shard_ids if s != shard.shard_id]
    takeover.begin_takeover(
        shard.ledger, epoch, others, list(shard.workers), now
    )
    _declare_shares(shard, now)
    for worker in shard.workers.values():
        # A worker that another candidate has asked grants a higher epoch.
        if worker.granted_epoch >= epoch:
            _report_running(shard, worker, now)


def record_lease(
    shard: tables.Shard,
    worker_id: str,
    granted: outcomes.LeaseGranted,
    now: float,
) -> None:
    """Take in what a worker tells with a lease: its slots and what it runs."""
    worker = shard.workers.get(worker_id)
    if worker is None:
        return
    worker.slots = granted.slots
    worker.leaving = worker.leaving or granted.leaving
    if worker.granted_epoch == granted.epoch:
        return
    worker.granted_epoch = granted.epoch
    ours = {
        tables.format_start_id(group.job_id, index)
        for group in shard.groups.values()
        for index in group.started
    }
    foreign = [task for task in granted.running if task.task_id not in ours]
    worker.foreign = collections.Counter(task.plan_id for task in foreign)
    # Units of tasks that this daemon started in an earlier epoch were of the
    # earlier ledger: to the new one, they are like those of another owner.
    worker.survivors = collections.Counter(
        task.plan_id for task in granted.running
    )
    left_s = [_get_left_s(shard, task) for task in granted.running]
    worker.foreign_until = now + max(left_s, default=0.0)
    if granted.epoch >= shard.ledger.epoch:
        _report_running(shard, worker, now)


def _get_left_s(shard: tables.Shard, task: outcomes.RunningTask) -> float:
    """Return for how long a task of an earlier owner may still run."""
    plan = shard.declared.plans.get(task.plan_id)
    kind = plan.kinds.get(task.kind) if plan else None
    max_run_s = kind.max_run_s if kind else UNKNOWN_MAX_RUN_S
    return max(0.0, max_run_s - task.run_s)


def _report_running(
    shard: tables.Shard, worker: tables.Worker, now: float
) -> None:
    takeover.record_worker_reply(
        shard.ledger,
        worker.worker_id,
        worker.survivors,
        worker.foreign_until,
        now,
    )


def update_workers(
    shard: tables.Shard, listed: list[tables.Worker], now: float
) -> None:
    """Take in the workers of the shard as the VM list shows them."""
    for worker in listed:
        known = shard.workers.get(worker.worker_id)
        if known is None:
            shard.workers[worker.worker_id] = worker
            continue
        known.slots = worker.slots
        known.leaving = known.leaving or worker.leaving
    ids = {worker.worker_id for worker in listed}
    for worker_id in [w for w in shard.workers if w not in ids]:
        if not shard.workers[worker_id].running:
            del shard.workers[worker_id]
        else:
            shard.workers[worker_id].leaving = True
    ownership.set_workers(shard.ownership, sorted(ids), now)
    health.set_workers(shard.health, ids)
