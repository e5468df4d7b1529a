"""The systems that run over a shard's tables each tick."""

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import directory
from pollenladder.dispatch import keys
from pollenladder.dispatch import placement
from pollenladder.dispatch import spilling
from pollenladder.dispatch import tables
from pollenladder.membership import ownership
from pollenladder.plans import declarations
from pollenladder.plans import escrow


def build(
    *,
    shard_id: str,
    daemon_id: str,
    incarnation: str,
    limits: tables.Limits,
    loads: directory.Directory,
    all_shard_ids: tuple[str, ...],
    loan_term_s: float,
    loan_margin_s: float,
) -> tables.Shard:
    """Return the tables of a shard that this daemon does not own yet."""
    return tables.Shard(
        shard_id=shard_id,
        data_centre=directory.get_data_centre(shard_id),
        daemon_id=daemon_id,
        batch_prefix=f"{daemon_id}-{incarnation}-{shard_id}",
        limits=limits,
        ownership=ownership.Ownership(shard_id, daemon_id, limits.lease_ttl_s),
        ledger=escrow.Ledger(shard_id, loan_term_s, loan_margin_s),
        loads=loads,
        all_shard_ids=all_shard_ids,
        retry_tokens=limits.retry_burst,
    )


def declare(
    shard: tables.Shard, declared: declarations.Declarations, now: float
) -> None:
    """Put a newer version of the declarations in force; older ones do nothing."""
    if declared.version <= shard.declared.version:
        return
    shard.declared = declared
    for plan in declared.plans.values():
        allowed = plan.allowance
        ids = shard.all_shard_ids
        part = 1 / len(ids)
        escrow.declare(
            shard.ledger,
            plan.plan_id,
            escrow.split(allowed.running_tasks, ids)[shard.shard_id],
            allowed.starts_per_s * part,
            escrow.split(allowed.burst, ids)[shard.shard_id],
            now,
        )
    for plan_id in list(shard.ledger.plans):
        if plan_id not in declared.plans:
            escrow.declare(shard.ledger, plan_id, 0, 0.0, 0, now)


def run_systems(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Expire, place, spill and announce; return what is to be done."""
    effects = expire(shard, now)
    if shard.queue.tasks:
        effects += placement.place(shard, now)
    if shard.queue.tasks:
        effects += spilling.spill(shard, now)
    effects += spilling.announce(shard, now)
    return effects


def expire(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Give up the groups whose deadline has come."""
    completion.forget_ended(shard, now)
    if now < shard.next_expiry_at:
        return []
    due = [g for g in shard.groups.values() if g.deadline_at <= now]
    effects: list[tables.Effect] = []
    for group in due:
        reason = verdicts.Reason.DEADLINE
        effects += completion.fail_group(shard, group, reason, now)
    shard.next_expiry_at = now + tables.EXPIRY_INTERVAL_S
    return effects


def become_owner(shard: tables.Shard, now: float) -> None:
    """Begin an epoch: hold no key, and use no share that may be in use."""
    shard.keys = keys.KeyTable(shard.shard_id, shard.ownership.epoch, now)
    others = [s for s in shard.all_shard_ids if s != shard.shard_id]
    escrow.begin_takeover(shard.ledger, others, now)


def lose_ownership(shard: tables.Shard) -> None:
    """End an epoch: another owner may answer for the keys from now on."""
    shard.keys = None


def list_workers(
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
    ownership.list_workers(shard.ownership, sorted(ids), now)
