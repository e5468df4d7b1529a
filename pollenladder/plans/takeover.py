"""How a new owner of a shard learns which of the shard's units are in use.

Units of earlier owners may be in use in three places: on the shard's workers,
at shards that borrowed them, and by tasks that workers of other shards run for
this shard. The new owner asks the workers and the other shards. It uses no own
unit until all have answered, or until a loan's term and margin have passed,
because by then nothing that an earlier owner started can still be running.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from pollenladder.plans import escrow
from pollenladder.plans import ledgers


@dataclasses.dataclass(frozen=True)
class HeldUnits:
    """Units of one shard that another shard holds.

    Attributes:
        plan_id: The plan.
        loan_id: The loan; empty for units used by running tasks.
        units: Number of units.
        rate_per_unit: Starts per second that are lent with each unit.
        burst_per_unit: Burst that is lent with each unit.
        remaining_s: Seconds until the units are free.
    """

    plan_id: str
    loan_id: str
    units: int
    rate_per_unit: float
    burst_per_unit: float
    remaining_s: float


def begin_takeover(
    ledger: ledgers.Ledger,
    epoch: int,
    other_shards: Iterable[str],
    worker_ids: Iterable[str],
    now: float,
) -> None:
    """Start a new ownership; own units can't be used until the answers arrive.

    Args:
        ledger: A new ledger.
        epoch: The epoch of the ownership.
        other_shards: The other shards of all data centres; each gets a claim.
        worker_ids: The shard's workers; their lease grants list what they run.
        now: Monotonic time in seconds.
    """
    ledger.epoch = epoch
    ledger.other_shards = tuple(sorted(other_shards))
    # Any reply to the claim removes a shard from `unacknowledged`. Only a reply
    # that lists the units it holds removes it from `awaited`.
    ledger.awaited = {*ledger.other_shards, *worker_ids}
    ledger.unacknowledged = set(ledger.other_shards)
    ledger.takeover_ends_at = now + ledger.term_s + ledger.margin_s
    for account in ledger.accounts.values():
        escrow.update_rate(ledger, account, now)


def record_worker_reply(
    ledger: ledgers.Ledger,
    worker_id: str,
    running: Mapping[str, int],
    until: float,
    now: float,
) -> None:
    """Record the tasks that a worker's lease grant reported as running.

    Args:
        ledger: The shard's ledger.
        worker_id: The worker.
        running: Number of earlier owners' tasks that run there, by plan.
        until: Time by which all these tasks have ended, in monotonic seconds.
        now: Monotonic time in seconds.
    """
    if worker_id not in ledger.awaited:
        return
    for plan_id, units in running.items():
        account = escrow.refresh_account(ledger, plan_id, now)
        account.predecessor_ends += [until] * units
        _reserve(ledger, account, units, until)
    _mark_answered(ledger, worker_id, now)


def record_claim_reply(
    ledger: ledgers.Ledger,
    shard_id: str,
    held: Iterable[HeldUnits] | None,
    now: float,
) -> None:
    """Record which of this shard's units another shard holds.

    Repeated replies are ignored.

    Args:
        ledger: The shard's ledger.
        shard_id: The shard that answered the claim.
        held: The units that it holds. None if it now refuses this shard's
            earlier owners, but doesn't know yet which units it holds; the claim
            has to be sent again.
        now: Monotonic time in seconds.
    """
    ledger.unacknowledged.discard(shard_id)
    if shard_id not in ledger.awaited or held is None:
        return
    for item in held:
        account = escrow.refresh_account(ledger, item.plan_id, now)
        until = now + item.remaining_s + ledger.margin_s
        if not item.loan_id:
            _reserve(ledger, account, item.units, until)
            continue
        account.lent[item.loan_id] = ledgers.LentLoan(
            item.loan_id,
            shard_id,
            item.units,
            item.rate_per_unit,
            item.burst_per_unit,
            until,
        )
    _mark_answered(ledger, shard_id, now)


def list_unanswered_shards(ledger: ledgers.Ledger, now: float) -> list[str]:
    """Return the shards that have not answered this owner's claim yet."""
    if escrow.owns_base(ledger, now):
        return []
    return [s for s in ledger.other_shards if s in ledger.awaited]


def list_held_from(
    ledger: ledgers.Ledger,
    shard_id: str,
    epoch: int,
    now: float,
) -> list[HeldUnits] | None:
    """List the units held from another shard, for the claim of its new owner.

    From then on, grants and tasks of that shard's earlier owners are refused.

    Args:
        ledger: The shard's ledger.
        shard_id: The shard that was claimed.
        epoch: The epoch of its new owner.
        now: Monotonic time in seconds.

    Returns:
        All units of the claimed shard that may be in use here. None if this
        owner is new itself and doesn't know yet; the claim has to be repeated.
    """
    ledger.claimed[shard_id] = max(epoch, ledger.claimed.get(shard_id, 0))
    workers = ledger.awaited - set(ledger.other_shards)
    unknown = workers or ledger.unacknowledged
    if unknown and now < ledger.takeover_ends_at:
        # Tasks of this shard's earlier owners may run, or may still start, on
        # units that they borrowed from the claimed shard.
        return None
    held = []
    for plan_id in sorted(ledger.accounts):
        account = escrow.refresh_account(ledger, plan_id, now)
        held += [
            _build_held(plan_id, loan, now)
            for loan in account.borrowed.values()
            if loan.lender_id == shard_id
        ]
        # All tasks of earlier owners are reported, because it is not known
        # which shard's units they use.
        account.predecessor_ends = [
            until for until in account.predecessor_ends if until > now
        ]
        held += _combine_tasks(plan_id, account.predecessor_ends, now)
    hosted = [
        task
        for task in ledger.hosted.values()
        if shard_id in (task.origin_id, task.lender_id) and task.until > now
    ]
    held += [HeldUnits(h.plan_id, "", 1, 0, 0, h.until - now) for h in hosted]
    return held


def is_stale(ledger: ledgers.Ledger, shard_id: str, epoch: int) -> bool:
    """Return whether an owner with a higher epoch has claimed the shard."""
    return epoch < ledger.claimed.get(shard_id, 0)


def start_hosting(
    ledger: ledgers.Ledger, hosted: ledgers.HostedTask, origin_epoch: int
) -> bool:
    """Record a task of another shard that will run on this shard's workers.

    Args:
        ledger: The shard's ledger.
        hosted: The task.
        origin_epoch: The epoch of the owner that sent it.

    Returns:
        Whether the task may run: False if its shard has a newer owner.
    """
    if is_stale(ledger, hosted.origin_id, origin_epoch):
        return False
    ledger.hosted[hosted.start_id] = hosted
    return True


def end_hosting(ledger: ledgers.Ledger, start_ids: Collection[str]) -> None:
    """Remove tasks of other shards that have ended."""
    for start_id in start_ids:
        ledger.hosted.pop(start_id, None)


def _reserve(
    ledger: ledgers.Ledger,
    account: ledgers.PlanAccount,
    units: int,
    until: float,
) -> None:
    """Mark own units as in use by earlier owners' tasks."""
    for _ in range(units):
        ledger.last_unit_id += 1
        unit = ledgers.Unit(ledger.last_unit_id, account.plan_id)
        account.units[unit.unit_id] = unit
        account.own_in_use += 1
        escrow.hold_unit(account, unit.unit_id, until)


def _mark_answered(ledger: ledgers.Ledger, name: str, now: float) -> None:
    """Record an answer, and end the takeover if no other one is awaited."""
    ledger.awaited.discard(name)
    if not ledger.awaited:
        escrow.end_takeover(ledger, now)


def _build_held(
    plan_id: str, loan: ledgers.BorrowedLoan, now: float
) -> HeldUnits:
    """Return the entry of a loan.

    More units than the loan has may be in use after the loan was reduced.
    """
    return HeldUnits(
        plan_id,
        loan.loan_id,
        max(loan.units, loan.in_use),
        loan.rate_per_unit,
        loan.burst_per_unit,
        loan.until - now,
    )


def _combine_tasks(
    plan_id: str, ends: list[float], now: float
) -> list[HeldUnits]:
    """Return one entry for all tasks, which lasts until the last one ends."""
    if not ends:
        return []
    return [HeldUnits(plan_id, "", len(ends), 0.0, 0.0, max(ends) - now)]
