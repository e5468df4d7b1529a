"""The dispatch pass over a daemon's shards, and changes of their state."""

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

# Assumed for a running task whose plan or kind is no longer declared.
UNDECLARED_MAX_RUN_S = 10.0


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
    """Return the state of a shard that this daemon doesn't own yet.

    Args:
        shard_id: The shard.
        daemon_id: This daemon.
        incarnation: Differs each time that this daemon starts.
        limits: Limits of the dispatch policy.
        shard_directory: The owners and loads of all shards.
        all_shard_ids: The shards of all data centres.
        loan_term_s: Term of loans of allowance, in seconds.
        loan_margin_s: Margin that a lender adds to the term, in seconds.
        sibling: Another shard of this daemon; the new one shares its queue,
            groups, batches and estimates.
    """
    shard = tables.Shard(
        shard_id=shard_id,
        data_centre=directory.get_data_centre(shard_id),
        daemon_id=daemon_id,
        batch_id_prefix=f"{daemon_id}-{incarnation}-{shard_id}",
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
        shard.ended_groups = sibling.ended_groups
        shard.followed_group_ids = sibling.followed_group_ids
        shard.estimates = sibling.estimates
    shard.local_shards[shard_id] = shard
    return shard


def apply_declarations(
    shard: tables.Shard, declared: declarations.Declarations, now: float
) -> None:
    """Apply declarations if their version is newer than the current one."""
    if declared.version <= shard.declared.version:
        return
    shard.declared = declared
    _set_shares(shard, now)


def _set_shares(shard: tables.Shard, now: float) -> None:
    """Set the shard's share of each plan's allowance; 0 for removed plans."""
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
    """Run one dispatch pass over the shards of this daemon.

    The pass ends overdue and stranded groups, places waiting tasks, offloads
    surplus tasks to other shards, balances allowance between shards and
    announces the shards' load.

    Args:
        shards: The shards of this daemon, at least one; they share one queue.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out.
    """
    first = next(iter(shards))
    effects = expire(first, now)
    effects += handover.abandon_groups(first, now)
    for shard in shards:
        shard.awaiting_allowance.clear()
    if first.queue.tasks:
        effects += placement.place_tasks(shards, now)
    if first.queue.tasks:
        effects += spilling.offload(shards, now)
    for shard in shards:
        effects += sharing.balance_allowance(shard, now)
        if shard.ownership_is_held(now):
            effects += spilling.announce_load(shard, now)
    return effects


def expire(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """End the groups of this daemon whose deadline has passed.

    A remote batch that may no longer start tasks returns its waiting ones.
    Expired answers and records of hosted tasks are deleted as well.

    Args:
        shard: Any shard of this daemon.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out.
    """
    completion.forget_ended(shard, now)
    if now < shard.next_expiry_at:
        return []
    for host in shard.local_shards.values():
        hosted = host.ledger.hosted.values()
        expired_ids = [item.start_id for item in hosted if item.until <= now]
        takeover.end_hosting(host.ledger, expired_ids)
    shard.next_expiry_at = now + tables.EXPIRY_INTERVAL_S
    fairness.forget_served_flows(shard.queue, now)
    effects: list[tables.Effect] = []
    for group in list(shard.groups.values()):
        home = shard.local_shards[group.shard_id]
        if group.deadline_at <= now:
            reason = verdicts.Reason.DEADLINE
            effects += completion.fail_group(home, group, reason, now)
        elif group.start_by <= now and group.waiting:
            effects += completion.return_waiting_tasks(home, group, now)
    return effects


def become_owner(shard: tables.Shard, now: float) -> None:
    """Begin an epoch of ownership with no keys and a new ledger.

    The shard's allowance is not used until the takeover has established which
    units of the previous owner may still be in use.
    """
    epoch = shard.ownership.epoch
    shard.keys = keys.KeyTable(shard.shard_id, epoch, now)
    old = shard.ledger
    shard.ledger = ledgers.Ledger(shard.shard_id, old.term_s, old.margin_s)
    # Unit ids are never reused, so that units of earlier epochs stay distinct.
    shard.ledger.last_unit_id = old.last_unit_id
    # Tasks of other shards that wait or run here still use units of those
    # shards.
    shard.ledger.hosted = old.hosted
    shard.ledger.claimed = old.claimed
    others = [s for s in shard.all_shard_ids if s != shard.shard_id]
    takeover.begin_takeover(
        shard.ledger, epoch, others, list(shard.workers), now
    )
    _set_shares(shard, now)
    for worker in shard.workers.values():
        # The epoch is higher if another candidate also requested the worker's
        # lease.
        if worker.granted_epoch >= epoch:
            _report_running(shard, worker, now)


def record_lease(
    shard: tables.Shard,
    worker_id: str,
    granted: outcomes.LeaseGranted,
    now: float,
) -> None:
    """Record the slots and the running tasks that a worker reports.

    Args:
        shard: The worker's shard.
        worker_id: The worker.
        granted: Its reply to a lease request.
        now: Monotonic time in seconds.
    """
    worker = shard.workers.get(worker_id)
    if worker is None:
        return
    worker.slots = granted.slots
    worker.leaving = worker.leaving or granted.leaving
    if worker.granted_epoch == granted.epoch:
        return
    worker.granted_epoch = granted.epoch
    own_start_ids = {
        tables.format_start_id(group.job_id, index)
        for group in shard.groups.values()
        for index in group.started
    }
    predecessor_tasks = [
        task for task in granted.running if task.task_id not in own_start_ids
    ]
    worker.predecessor_tasks = collections.Counter(
        task.plan_id for task in predecessor_tasks
    )
    # Tasks that this daemon started in an earlier epoch use units of the
    # earlier ledger. The new ledger treats them like another owner's tasks.
    worker.running_at_takeover = collections.Counter(
        task.plan_id for task in granted.running
    )
    left_s = [_get_remaining_run_s(shard, task) for task in granted.running]
    worker.takeover_tasks_end_at = now + max(left_s, default=0.0)
    if granted.epoch >= shard.ledger.epoch:
        _report_running(shard, worker, now)


def _get_remaining_run_s(
    shard: tables.Shard, task: outcomes.RunningTask
) -> float:
    """Return how many seconds a task of an earlier owner may still run."""
    plan = shard.declared.plans.get(task.plan_id)
    kind = plan.kinds.get(task.kind) if plan else None
    max_run_s = kind.max_run_s if kind else UNDECLARED_MAX_RUN_S
    return max(0.0, max_run_s - task.run_s)


def _report_running(
    shard: tables.Shard, worker: tables.Worker, now: float
) -> None:
    """Report to the takeover which tasks a worker still runs."""
    takeover.record_worker_reply(
        shard.ledger,
        worker.worker_id,
        worker.running_at_takeover,
        worker.takeover_tasks_end_at,
        now,
    )


def update_workers(
    shard: tables.Shard, listed: list[tables.Worker], now: float
) -> None:
    """Update the shard's workers from the VM list.

    A worker that is no longer listed gets no new tasks, and is removed once
    none of this daemon's tasks runs there.
    """
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
