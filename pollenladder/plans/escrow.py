"""Each shard's fixed share of a plan's allowance, held in escrow.

The allowance of a plan is divided into units; each running task uses one. The
shards have fixed shares of the units that add up to the allowance. A shard may
lend idle units to other shards (`plans.loans`), and a new owner of a shard
finds out which units are in use before it uses any (`plans.takeover`). All
shards together therefore never use more than the allowance.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import math

from pollenladder.plans import buckets
from pollenladder.plans import ledgers

# Recent use covers the current window of this length and the previous one.
USAGE_WINDOW_S = 0.5
# Rates are divided among the shards in thousandths of a start per second.
RATE_PARTS_PER_START = 1000

Ledger = ledgers.Ledger
Unit = ledgers.Unit


def split(total: int, shard_ids: Iterable[str]) -> dict[str, int]:
    """Return the share of each shard; the shares add up to the total.

    A larger total makes no share smaller.
    """
    ordered = sorted(set(shard_ids))
    if not ordered:
        return {}
    share, rest = divmod(total, len(ordered))
    return {shard: share + (i < rest) for i, shard in enumerate(ordered)}


def compute_share(total: int, position: int, shards: int) -> int:
    """Return the share that `split` gives one shard.

    Only one share is computed, so that the time taken by a change of the plans
    doesn't depend on the number of shards in all data centres.

    Args:
        total: The allowance to be divided.
        position: The shard's position among the sorted shard ids.
        shards: Number of shards.
    """
    share, rest = divmod(total, shards)
    return share + (position < rest)


def compute_rate_share(total: float, position: int, shards: int) -> float:
    """Return the share of a rate that `split_rate` gives one shard."""
    return (
        compute_share(int(total * RATE_PARTS_PER_START), position, shards)
        / RATE_PARTS_PER_START
    )


def split_rate(total: float, shard_ids: Iterable[str]) -> dict[str, float]:
    """Return each shard's share of a rate, in whole thousandths of a start."""
    shares = split(int(total * RATE_PARTS_PER_START), shard_ids)
    return {
        shard: share / RATE_PARTS_PER_START for shard, share in shares.items()
    }


def set_share(
    ledger: Ledger,
    plan_id: str,
    base: int,
    base_rate: float,
    base_burst: float,
    now: float,
) -> None:
    """Set this shard's share of a plan after a change of the declarations.

    If the share becomes smaller, the excess units in use stay in use, but no
    new ones are taken. Loans from other shards shrink in proportion, as the
    lenders' shares do.

    Args:
        ledger: The shard's ledger.
        plan_id: The plan.
        base: Share of the running tasks, in units.
        base_rate: Share of the starts per second.
        base_burst: Share of the burst.
        now: Monotonic time in seconds.
    """
    account = refresh_account(ledger, plan_id, now)
    if 0 <= base < account.base:
        _shrink_borrowed_units(account, base / account.base)
    if 0 <= base_rate < account.base_rate:
        _shrink_borrowed_rates(account, base_rate / account.base_rate)
    account.base = base
    account.base_rate = base_rate
    account.base_burst = base_burst
    update_rate(ledger, account, now)


def count_free(
    ledger: Ledger, plan_id: str, max_run_s: float, now: float
) -> int:
    """Return how many units may be taken now, for runs up to `max_run_s`."""
    account = refresh_account(ledger, plan_id, now)
    return min(
        count_free_units(ledger, account, max_run_s, now),
        buckets.count_tokens(account.bucket, now),
    )


def take(
    ledger: Ledger, plan_id: str, max_run_s: float, now: float
) -> Unit | None:
    """Take one unit and one token for a start, or return None.

    Own units are taken first.

    Args:
        ledger: The shard's ledger.
        plan_id: The plan.
        max_run_s: Seconds from now after which the task has ended, whatever
            happens to it.
        now: Monotonic time in seconds.
    """
    account = refresh_account(ledger, plan_id, now)
    loan = None
    if count_own_free(ledger, account, now) <= 0:
        loan = _find_loan(account, max_run_s, now)
        if loan is None:
            return None
    if not buckets.take_token(account.bucket, now):
        return None
    ledger.last_unit_id += 1
    unit = Unit(ledger.last_unit_id, plan_id)
    if loan is not None:
        loan.in_use += 1
        unit = dataclasses.replace(
            unit, lender_id=loan.lender_id, loan_id=loan.loan_id
        )
    else:
        account.own_in_use += 1
    account.units[unit.unit_id] = unit
    _record_usage(account, now, 1)
    return unit


def covers(ledger: Ledger, unit: Unit, max_run_s: float, now: float) -> bool:
    """Return whether a unit in use covers a run of `max_run_s` from `now`."""
    account = refresh_account(ledger, unit.plan_id, now)
    if unit.unit_id not in account.units:
        return False
    if not unit.loan_id:
        return True
    loan = account.borrowed.get(unit.loan_id)
    return loan is not None and now + max_run_s <= loan.until


def give_back(ledger: Ledger, unit: Unit, now: float) -> None:
    """Free a unit whose task has ended; a repeated call does nothing."""
    account = refresh_account(ledger, unit.plan_id, now)
    _free_unit(account, unit.unit_id)


def hold(ledger: Ledger, unit: Unit, until: float) -> None:
    """Keep a unit in use until a given time, as its task may still run.

    Args:
        ledger: The shard's ledger.
        unit: A unit in use.
        until: Monotonic time in seconds. For a borrowed unit, not later than
            the `max_run_s` with which it was taken allows.
    """
    account = ledger.accounts.get(unit.plan_id)
    if account is not None and unit.unit_id in account.units:
        hold_unit(account, unit.unit_id, until)


def hold_unit(account: ledgers.PlanAccount, unit_id: int, until: float) -> None:
    """Free a unit in use at `until`, or at a later time requested before."""
    until = max(until, account.hold_until.get(unit_id, -math.inf))
    account.hold_until[unit_id] = until
    heapq.heappush(account.holds, (until, unit_id))


def count_in_use(ledger: Ledger, plan_id: str, now: float) -> int:
    """Return how many units are in use, own and borrowed ones."""
    return len(refresh_account(ledger, plan_id, now).units)


def owns_base(ledger: Ledger, now: float) -> bool:
    """Return whether own units may be used, as no takeover is in progress."""
    return not ledger.awaited or now >= ledger.takeover_ends_at


def count_own_free(
    ledger: Ledger, account: ledgers.PlanAccount, now: float
) -> int:
    """Return own units neither lent nor in use; 0 during a takeover."""
    if not owns_base(ledger, now):
        return 0
    lent = sum(loan.units for loan in account.lent.values())
    return max(0, account.base - lent - account.own_in_use)


def count_free_units(
    ledger: Ledger, account: ledgers.PlanAccount, max_run_s: float, now: float
) -> int:
    """Return free units, own and borrowed, regardless of the rate of starts."""
    borrowed = sum(
        max(0, loan.units - loan.in_use)
        for loan in account.borrowed.values()
        if now + max_run_s <= loan.until
    )
    return count_own_free(ledger, account, now) + borrowed


def compute_need(account: ledgers.PlanAccount, now: float) -> int:
    """Return how many units recent use required.

    That is the peak of units in use, or the units whose share of the rate
    covers the recent starts, whichever is larger.
    """
    _record_usage(account, now, 0)
    usage = account.usage
    peak = max(usage.peak, usage.previous_peak)
    starts_per_s = max(usage.starts, usage.previous_starts) / USAGE_WINDOW_S
    if account.base <= 0 or account.base_rate <= 0:
        return peak
    by_rate = math.ceil(starts_per_s * account.base / account.base_rate)
    return max(peak, by_rate)


def refresh_account(
    ledger: Ledger, plan_id: str, now: float
) -> ledgers.PlanAccount:
    """Return a plan's account as of `now`, creating it if necessary.

    End a takeover whose time is over, free held units that are due, and remove
    loans that have ended.
    """
    account = ledger.accounts.get(plan_id)
    if account is None:
        account = ledger.accounts[plan_id] = ledgers.PlanAccount(plan_id)
        account.bucket.refilled_at = now
    if ledger.awaited and now >= ledger.takeover_ends_at:
        end_takeover(ledger, now)
    while account.holds and account.holds[0][0] <= now:
        until, unit_id = heapq.heappop(account.holds)
        if account.hold_until.get(unit_id) == until:
            _free_unit(account, unit_id)
    ended_lent = [loan for loan in account.lent.values() if loan.until <= now]
    for loan in ended_lent:
        del account.lent[loan.loan_id]
    ended_borrowed = [
        loan for loan in account.borrowed.values() if loan.until <= now
    ]
    for loan in sorted(ended_borrowed, key=lambda loan: loan.until):
        _end_borrowed(account, loan)
        # The loan's rate ended with the loan, even if `now` is much later.
        update_rate(ledger, account, loan.until)
    if ended_lent:
        update_rate(ledger, account, now)
    return account


def end_takeover(ledger: Ledger, now: float) -> None:
    """Allow the use of own units from now on."""
    ledger.awaited.clear()
    ledger.unacknowledged.clear()
    for account in ledger.accounts.values():
        update_rate(ledger, account, now)


def update_rate(
    ledger: Ledger, account: ledgers.PlanAccount, now: float
) -> None:
    """Set the bucket to the own rate, less what is lent, plus what is borrowed.

    The bucket holds at least one token, as a share of the burst below 1 could
    never be used otherwise.
    """
    rate, burst = 0.0, 0.0
    if owns_base(ledger, now):
        rate, burst = account.base_rate, float(account.base_burst)
        for loan in account.lent.values():
            rate -= loan.units * loan.rate_per_unit
            burst -= loan.units * loan.burst_per_unit
    rate, burst = max(0.0, rate), max(0.0, burst)
    for loan in account.borrowed.values():
        rate += loan.units * loan.rate_per_unit
        burst += loan.units * loan.burst_per_unit
    buckets.set_rate(account.bucket, rate, max(1.0, burst), now)


def _find_loan(
    account: ledgers.PlanAccount, max_run_s: float, now: float
) -> ledgers.BorrowedLoan | None:
    """Return the loan with a free unit that ends first but outlasts the run."""
    fit = [
        loan
        for loan in account.borrowed.values()
        if loan.in_use < loan.units and now + max_run_s <= loan.until
    ]
    return min(fit, key=lambda loan: (loan.until, loan.loan_id), default=None)


def _free_unit(account: ledgers.PlanAccount, unit_id: int) -> None:
    account.hold_until.pop(unit_id, None)
    unit = account.units.pop(unit_id, None)
    if unit is None:
        return
    if not unit.loan_id:
        account.own_in_use -= 1
    elif unit.loan_id in account.borrowed:
        account.borrowed[unit.loan_id].in_use -= 1


def _end_borrowed(
    account: ledgers.PlanAccount, loan: ledgers.BorrowedLoan
) -> None:
    """Remove a loan that has ended, and free its units."""
    del account.borrowed[loan.loan_id]
    account.pending.pop(loan.loan_id, None)
    if loan.in_use:
        ended = [u for u in account.units.values() if u.loan_id == loan.loan_id]
        for unit in ended:
            _free_unit(account, unit.unit_id)


def _shrink_borrowed_units(account: ledgers.PlanAccount, factor: float) -> None:
    for loan in account.borrowed.values():
        loan.units = math.floor(loan.units * factor)


def _shrink_borrowed_rates(account: ledgers.PlanAccount, factor: float) -> None:
    for loan in account.borrowed.values():
        loan.rate_per_unit *= factor


def _record_usage(
    account: ledgers.PlanAccount, now: float, starts: int
) -> None:
    """Add starts and the units in use to the current time window."""
    usage = account.usage
    if now - usage.started_at >= USAGE_WINDOW_S:
        is_next = now - usage.started_at < 2 * USAGE_WINDOW_S
        usage.previous_peak = usage.peak if is_next else len(account.units)
        usage.previous_starts = usage.starts if is_next else 0
        usage.started_at, usage.peak, usage.starts = now, 0, 0
    usage.starts += starts
    usage.peak = max(usage.peak, len(account.units))
