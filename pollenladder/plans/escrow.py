"""A shard's part of each plan's allowance, held in escrow.

Each shard has a fixed share of an allowance. It may lend idle units of it to
other shards (`plans.loans`), and its next owner finds out what is in use before
it takes any (`plans.takeover`). What all shards use never exceeds the sum of the
shares.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import math

from pollenladder.plans import buckets
from pollenladder.plans import ledgers

# Use is remembered for one to two windows of this length.
WINDOW_S = 0.5
MILLI = 1000

Ledger = ledgers.Ledger
Unit = ledgers.Unit


def split(total: int, shard_ids: Iterable[str]) -> dict[str, int]:
    """Return each shard's share; they add up to the total.

    A larger total makes no share smaller.
    """
    ordered = sorted(set(shard_ids))
    if not ordered:
        return {}
    share, rest = divmod(total, len(ordered))
    return {shard: share + (i < rest) for i, shard in enumerate(ordered)}


def compute_share(total: int, position: int, shards: int) -> int:
    """Return what `split` gives the shard at a position of the sorted ids.

    Sharing out an allowance of one shard among all would cost a change of the
    plans time that grows with the shards of all data centres.
    """
    share, rest = divmod(total, shards)
    return share + (position < rest)


def compute_rate_share(total: float, position: int, shards: int) -> float:
    """Return what `split_rate` gives the shard at a position."""
    return compute_share(int(total * MILLI), position, shards) / MILLI


def split_rate(total: float, shard_ids: Iterable[str]) -> dict[str, float]:
    """Return each shard's share of a rate, to a thousandth of a start."""
    shares = split(int(total * MILLI), shard_ids)
    return {shard: share / MILLI for shard, share in shares.items()}


def set_share(
    ledger: Ledger,
    plan_id: str,
    running_base: int,
    starts_per_s_base: float,
    burst_base: float,
    now: float,
) -> None:
    """Take over this shard's share of a plan, as a new version declares it.

    Units in use beyond a smaller share run on; no new ones are taken. Loans from
    others shrink with the share, as the lender's share does.
    """
    row = refresh_account(ledger, plan_id, now)
    if 0 <= running_base < row.base:
        _shrink_borrowed(row, running_base / row.base)
    if 0 <= starts_per_s_base < row.rate_base:
        _slow_borrowed(row, starts_per_s_base / row.rate_base)
    row.base = running_base
    row.rate_base = starts_per_s_base
    row.burst_base = burst_base
    update_rate(ledger, row, now)


def count_free(
    ledger: Ledger, plan_id: str, max_run_s: float, now: float
) -> int:
    """Return how many units may be taken now for runs of at most `max_run_s`."""
    row = refresh_account(ledger, plan_id, now)
    return min(
        count_free_units(ledger, row, max_run_s, now),
        buckets.count_tokens(row.bucket, now),
    )


def take(
    ledger: Ledger, plan_id: str, max_run_s: float, now: float
) -> Unit | None:
    """Take one unit and one start, or return None.

    Args:
        ledger: The shard's ledger.
        plan_id: The plan.
        max_run_s: Seconds from now within which the task will have ended,
            whatever happens to it.
        now: Monotonic time in seconds.
    """
    row = refresh_account(ledger, plan_id, now)
    loan = None
    if count_own_free(ledger, row, now) <= 0:
        loan = _find_loan(row, max_run_s, now)
        if loan is None:
            return None
    if not buckets.take_token(row.bucket, now):
        return None
    ledger.last_unit_id += 1
    unit = Unit(ledger.last_unit_id, plan_id)
    if loan is not None:
        loan.taken += 1
        unit = dataclasses.replace(
            unit, lender_id=loan.lender_id, loan_id=loan.loan_id
        )
    else:
        row.own_taken += 1
    row.units[unit.unit_id] = unit
    _note_use(row, now, 1)
    return unit


def covers(ledger: Ledger, unit: Unit, max_run_s: float, now: float) -> bool:
    """Return whether a unit taken earlier still allows a run from now on."""
    row = refresh_account(ledger, unit.plan_id, now)
    if unit.unit_id not in row.units:
        return False
    if not unit.loan_id:
        return True
    loan = row.borrowed.get(unit.loan_id)
    return loan is not None and now + max_run_s <= loan.until


def give_back(ledger: Ledger, unit: Unit, now: float) -> None:
    """Free a unit whose task has ended; nothing happens the second time."""
    row = refresh_account(ledger, unit.plan_id, now)
    _free_unit(row, unit.unit_id)


def hold(ledger: Ledger, unit: Unit, until: float) -> None:
    """Keep a unit in use until a moment, as its task may still run.

    Args:
        ledger: The shard's ledger.
        unit: A unit in use.
        until: Monotonic time in seconds; for a borrowed unit, within what was
            passed as `max_run_s` when it was taken.
    """
    row = ledger.accounts.get(unit.plan_id)
    if row is not None and unit.unit_id in row.units:
        hold_unit(row, unit.unit_id, until)


def hold_unit(row: ledgers.PlanAccount, unit_id: int, until: float) -> None:
    """Free a unit in use at a moment; the latest moment asked for counts."""
    until = max(until, row.hold_until.get(unit_id, -math.inf))
    row.hold_until[unit_id] = until
    heapq.heappush(row.holds, (until, unit_id))


def count_in_use(ledger: Ledger, plan_id: str, now: float) -> int:
    """Return how many units are in use, own and borrowed ones."""
    return len(refresh_account(ledger, plan_id, now).units)


def owns_base(ledger: Ledger, now: float) -> bool:
    """Return whether own units may be used: no takeover is going on."""
    return not ledger.awaited or now >= ledger.takeover_ends_at


def count_own_free(ledger: Ledger, row: ledgers.PlanAccount, now: float) -> int:
    """Return own units neither lent nor in use; 0 during a takeover."""
    if not owns_base(ledger, now):
        return 0
    lent = sum(loan.units for loan in row.lent.values())
    return max(0, row.base - lent - row.own_taken)


def count_free_units(
    ledger: Ledger, row: ledgers.PlanAccount, max_run_s: float, now: float
) -> int:
    """Return free units, own and borrowed, whatever the rate of starts."""
    borrowed = sum(
        max(0, loan.units - loan.taken)
        for loan in row.borrowed.values()
        if now + max_run_s <= loan.until
    )
    return count_own_free(ledger, row, now) + borrowed


def compute_need(row: ledgers.PlanAccount, now: float) -> int:
    """Return how many units recent use called for, by number and by rate."""
    _note_use(row, now, 0)
    use = row.use
    peak = max(use.peak, use.last_peak)
    starts_per_s = max(use.starts, use.last_starts) / WINDOW_S
    if row.base <= 0 or row.rate_base <= 0:
        return peak
    by_rate = math.ceil(starts_per_s * row.base / row.rate_base)
    return max(peak, by_rate)


def refresh_account(
    ledger: Ledger, plan_id: str, now: float
) -> ledgers.PlanAccount:
    """Return the plan's row, after ending what has run out by `now`."""
    row = ledger.accounts.get(plan_id)
    if row is None:
        row = ledger.accounts[plan_id] = ledgers.PlanAccount(plan_id)
        row.bucket.at = now
    if ledger.awaited and now >= ledger.takeover_ends_at:
        end_takeover(ledger, now)
    while row.holds and row.holds[0][0] <= now:
        until, unit_id = heapq.heappop(row.holds)
        if row.hold_until.get(unit_id) == until:
            _free_unit(row, unit_id)
    ended = [loan for loan in row.lent.values() if loan.until <= now]
    for loan in ended:
        del row.lent[loan.loan_id]
    over = [loan for loan in row.borrowed.values() if loan.until <= now]
    for loan in sorted(over, key=lambda loan: loan.until):
        _end_borrowed(row, loan)
        # Its rate ended with it, however late that is noticed.
        update_rate(ledger, row, loan.until)
    if ended:
        update_rate(ledger, row, now)
    return row


def end_takeover(ledger: Ledger, now: float) -> None:
    """Let own units be used from now on."""
    ledger.awaited.clear()
    ledger.unaware.clear()
    for row in ledger.accounts.values():
        update_rate(ledger, row, now)


def update_rate(ledger: Ledger, row: ledgers.PlanAccount, now: float) -> None:
    """Set the bucket to the own rate less what is lent plus what is borrowed.

    A bucket holds at least one start, else a small burst could never be used.
    """
    rate, burst = 0.0, 0.0
    if owns_base(ledger, now):
        rate, burst = row.rate_base, float(row.burst_base)
        for loan in row.lent.values():
            rate -= loan.units * loan.rate_per_unit
            burst -= loan.units * loan.burst_per_unit
    rate, burst = max(0.0, rate), max(0.0, burst)
    for loan in row.borrowed.values():
        rate += loan.units * loan.rate_per_unit
        burst += loan.units * loan.burst_per_unit
    buckets.set_rate(row.bucket, rate, max(1.0, burst), now)


def _find_loan(
    row: ledgers.PlanAccount, max_run_s: float, now: float
) -> ledgers.Borrowed | None:
    """Return the loan with a free unit that ends first, but late enough."""
    fit = [
        loan
        for loan in row.borrowed.values()
        if loan.taken < loan.units and now + max_run_s <= loan.until
    ]
    return min(fit, key=lambda loan: (loan.until, loan.loan_id), default=None)


def _free_unit(row: ledgers.PlanAccount, unit_id: int) -> None:
    row.hold_until.pop(unit_id, None)
    unit = row.units.pop(unit_id, None)
    if unit is None:
        return
    if not unit.loan_id:
        row.own_taken -= 1
    elif unit.loan_id in row.borrowed:
        row.borrowed[unit.loan_id].taken -= 1


def _end_borrowed(row: ledgers.PlanAccount, loan: ledgers.Borrowed) -> None:
    del row.borrowed[loan.loan_id]
    row.pending.pop(loan.loan_id, None)
    if loan.taken:
        ended = [u for u in row.units.values() if u.loan_id == loan.loan_id]
        for unit in ended:
            _free_unit(row, unit.unit_id)


def _shrink_borrowed(row: ledgers.PlanAccount, part: float) -> None:
    for loan in row.borrowed.values():
        loan.units = math.floor(loan.units * part)


def _slow_borrowed(row: ledgers.PlanAccount, part: float) -> None:
    for loan in row.borrowed.values():
        loan.rate_per_unit *= part


def _note_use(row: ledgers.PlanAccount, now: float, starts: int) -> None:
    use = row.use
    if now - use.began_at >= WINDOW_S:
        is_next = now - use.began_at < 2 * WINDOW_S
        use.last_peak = use.peak if is_next else len(row.units)
        use.last_starts = use.starts if is_next else 0
        use.began_at, use.peak, use.starts = now, 0, 0
    use.starts += starts
    use.peak = max(use.peak, len(row.units))
