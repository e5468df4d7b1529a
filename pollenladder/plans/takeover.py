"""What a new owner of a shard must know before it uses the shard's units.

A predecessor's units may be in use in three places: on the shard's workers, lent
to other shards, and by tasks that other shards' workers run for it. The new owner
asks all of them, and uses no own unit until all have answered or a full term and
margin have passed, when nothing of the predecessor's can still run.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from pollenladder.plans import escrow
from pollenladder.plans import ledgers


@dataclasses.dataclass(frozen=True)
class HeldUnits:
    """Units of a shard that another one holds.

    Attributes:
        plan_id: The plan.
        loan_id: The loan; empty for tasks that run.
        units: How many.
        rate_per_unit: Starts a second that go with each unit of the loan.
        burst_per_unit: Burst that goes with each unit of the loan.
        remaining_s: They are free after so many seconds.
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
    """Start a new ownership; own units wait for the answers.

    Args:
        ledger: A new ledger.
        epoch: The epoch of the ownership.
        other_shards: All other shards of all data centres, who are to be asked.
        worker_ids: The shard's workers, whose grants tell what they run.
        now: Monotonic time in seconds.
    """
    ledger.epoch = epoch
    ledger.other_shards = tuple(sorted(other_shards))
    ledger.awaited = {*ledger.other_shards, *worker_ids}
    ledger.unaware = set(ledger.other_shards)
    ledger.takeover_ends_at = now + ledger.term_s + ledger.margin_s
    for row in ledger.accounts.values():
        escrow.update_rate(ledger, row, now)


def record_worker_reply(
    ledger: ledgers.Ledger,
    worker_id: str,
    running: Mapping[str, int],
    until: float,
    now: float,
) -> None:
    """Note what a worker runs that its grant of the lease told.

    Args:
        ledger: The shard's ledger.
        worker_id: The worker.
        running: Tasks of earlier owners that run there, by plan.
        until: When they have all ended, by own clock.
        now: Monotonic time in seconds.
    """
    if worker_id not in ledger.awaited:
        return
    for plan_id, units in running.items():
        row = escrow.refresh_account(ledger, plan_id, now)
        row.survivors += [until] * units
        _reserve(ledger, row, units, until)
    _finish_wait(ledger, worker_id, now)


def record_claim_reply(
    ledger: ledgers.Ledger,
    shard_id: str,
    held: Iterable[HeldUnits] | None,
    now: float,
) -> None:
    """Note what another shard holds from this one; repeats are ignored.

    Args:
        ledger: The shard's ledger.
        shard_id: Who answered the claim.
        held: What it holds, or None if it has noted the claim but cannot tell
            yet; it is to be asked again.
        now: Monotonic time in seconds.
    """
    ledger.unaware.discard(shard_id)
    if shard_id not in ledger.awaited or held is None:
        return
    for item in held:
        row = escrow.refresh_account(ledger, item.plan_id, now)
        until = now + item.remaining_s + ledger.margin_s
        if not item.loan_id:
            _reserve(ledger, row, item.units, until)
            continue
        row.lent[item.loan_id] = ledgers.Lent(
            item.loan_id,
            shard_id,
            item.units,
            item.rate_per_unit,
            item.burst_per_unit,
            until,
        )
    _finish_wait(ledger, shard_id, now)


def list_unanswered_shards(ledger: ledgers.Ledger, now: float) -> list[str]:
    """Return the shards that are still to be asked for their claim reply."""
    if escrow.owns_base(ledger, now):
        return []
    return [s for s in ledger.other_shards if s in ledger.awaited]


def list_held_from(
    ledger: ledgers.Ledger,
    shard_id: str,
    epoch: int,
    now: float,
) -> list[HeldUnits] | None:
    """Answer the claim of a new owner of another shard.

    From then on, grants and tasks of that shard's earlier owners are refused.

    Args:
        ledger: The shard's ledger.
        shard_id: The claimed shard.
        epoch: Its new owner's epoch.
        now: Monotonic time in seconds.

    Returns:
        All that may be in use, or None if it is not known yet, as this owner is
        new itself; the claim is to be repeated later.
    """
    ledger.claimed[shard_id] = max(epoch, ledger.claimed.get(shard_id, 0))
    workers = ledger.awaited - set(ledger.other_shards)
    unknown = workers or ledger.unaware
    if unknown and now < ledger.takeover_ends_at:
        # A predecessor's task may still start somewhere on a borrowed unit.
        return None
    held = []
    for plan_id in sorted(ledger.accounts):
        row = escrow.refresh_account(ledger, plan_id, now)
        held += [
            _make_held(plan_id, loan, now)
            for loan in row.borrowed.values()
            if loan.lender_id == shard_id
        ]
        # A predecessor's tasks may run on units of any shard.
        row.survivors = [until for until in row.survivors if until > now]
        held += _group(plan_id, row.survivors, now)
    hosted = [
        item
        for item in ledger.hosted.values()
        if shard_id in (item.origin_id, item.lender_id) and item.until > now
    ]
    held += [HeldUnits(h.plan_id, "", 1, 0, 0, h.until - now) for h in hosted]
    return held


def is_stale(ledger: ledgers.Ledger, shard_id: str, epoch: int) -> bool:
    """Return whether a newer owner of that shard has claimed it here."""
    return epoch < ledger.claimed.get(shard_id, 0)


def start_hosting(
    ledger: ledgers.Ledger, hosted: ledgers.HostedTask, origin_epoch: int
) -> bool:
    """Note a task of another shard that is to run on this shard's workers.

    Args:
        ledger: The shard's ledger.
        hosted: The task; `until` is when it will have ended at the latest.
        origin_epoch: The epoch of the owner that sent it.

    Returns:
        Whether it may run: False if its shard has a newer owner.
    """
    if is_stale(ledger, hosted.origin_id, origin_epoch):
        return False
    ledger.hosted[hosted.start_id] = hosted
    return True


def end_hosting(ledger: ledgers.Ledger, host_ids: Collection[str]) -> None:
    """Forget tasks of other shards that have ended."""
    for host_id in host_ids:
        ledger.hosted.pop(host_id, None)


def _reserve(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, units: int, until: float
) -> None:
    for _ in range(units):
        ledger.last_unit_id += 1
        unit = ledgers.Unit(ledger.last_unit_id, row.plan_id)
        row.units[unit.unit_id] = unit
        row.own_taken += 1
        escrow.hold_unit(row, unit.unit_id, until)


def _finish_wait(ledger: ledgers.Ledger, name: str, now: float) -> None:
    ledger.awaited.discard(name)
    if not ledger.awaited:
        escrow.end_takeover(ledger, now)


def _make_held(plan_id: str, loan: ledgers.Borrowed, now: float) -> HeldUnits:
    return HeldUnits(
        plan_id,
        loan.loan_id,
        max(loan.units, loan.taken),
        loan.rate_per_unit,
        loan.burst_per_unit,
        loan.until - now,
    )


def _group(plan_id: str, ends: list[float], now: float) -> list[HeldUnits]:
    if not ends:
        return []
    return [HeldUnits(plan_id, "", len(ends), 0.0, 0.0, max(ends) - now)]
