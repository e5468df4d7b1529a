"""Loans of allowance between shards, idempotent and exact.

The borrower counts a loan's term from the moment it first asked, the lender from
the moment it granted plus a margin, so the borrower stops first whatever is lost,
repeated or late. A loan never grows; each part returned is told by what is kept.
"""

from collections.abc import Mapping
import dataclasses
import math

import xxhash

from pollenladder.plans import escrow
from pollenladder.plans import ledgers

ASKS_AT_ONCE = 4
ASK_AGAIN_S = 0.5
REFUSED_WAIT_S = 1.0
RENEW_PART = 1 / 2
# A loan is a little larger than what is missing, so that asks stay few.
ASK_HEADROOM = 1.25


@dataclasses.dataclass(frozen=True)
class LoanRequest:
    """What a borrower sends: a new loan, or the renewal of what it still keeps.

    Attributes:
        loan_id: Issued by the borrower, unique for all time.
        seq: 0 for a new loan, else the number of the renewal.
        lender_id: The shard that is asked.
        borrower_id: The shard that asks.
        plan_id: The plan.
        units: How many it asks for, or still keeps.
    """

    loan_id: str
    seq: int
    lender_id: str
    borrower_id: str
    plan_id: str
    units: int


@dataclasses.dataclass(frozen=True)
class LoanGrant:
    """The lender's answer; 0 units mean a refusal.

    Attributes:
        loan_id: The loan.
        seq: That of the ask.
        lender_id: The lender.
        lender_epoch: The epoch of its owner.
        plan_id: The plan.
        units: How many the borrower may use.
        rate_per_unit: Starts a second that go with each.
        burst_per_unit: Burst that goes with each.
        idle: What the lender could lend besides.
    """

    loan_id: str
    seq: int
    lender_id: str
    lender_epoch: int
    plan_id: str
    units: int
    rate_per_unit: float
    burst_per_unit: float
    idle: int


@dataclasses.dataclass(frozen=True)
class LoanReturn:
    """What a borrower sends when it needs fewer units; it uses `kept` at most."""

    loan_id: str
    lender_id: str
    plan_id: str
    kept: int


def choose_requests(
    ledger: ledgers.Ledger, wanted: Mapping[str, int], now: float
) -> list[LoanRequest]:
    """Return the loans to ask for now: repeats, renewals and new ones.

    Args:
        ledger: The shard's ledger.
        wanted: Tasks that wait for a unit, by plan.
        now: Monotonic time in seconds.
    """
    asks = []
    for plan_id in sorted(ledger.accounts.keys() | wanted.keys()):
        row = ledger.accounts.get(plan_id)
        if row and _is_quiet(row) and not wanted.get(plan_id):
            continue
        row = escrow.refresh_account(ledger, plan_id, now)
        row.wanted = wanted.get(plan_id, 0)
        if row.wanted:
            row.wanted_at = now
        asks += _repeat_asks(ledger, row, now)
        asks += _choose_renewals(ledger, row, now)
        asks += _choose_new_asks(ledger, row, now)
    return asks


def grant(ledger: ledgers.Ledger, ask: LoanRequest, now: float) -> LoanGrant:
    """Lend, renew, or refuse with 0 units; a repeated ask lends once.

    An ask from a shard that has lent to this one calls back as many units: those
    in use go back as they are freed.
    """
    row = escrow.refresh_account(ledger, ask.plan_id, now)
    if ask.seq == 0:
        _call_back(row, ask.borrower_id, ask.units)
    loan = row.lent.get(ask.loan_id)
    if loan is None:
        units = (
            0 if ask.seq else min(ask.units, count_lendable(ledger, row, now))
        )
        if units <= 0:
            return _make_grant(ledger, row, ask, None, now)
        loan = row.lent[ask.loan_id] = _make_loan(row, ask, units)
        loan.until = now + ledger.term_s + ledger.margin_s
        escrow.update_rate(ledger, row, now)
    elif ask.seq:
        if _is_short(ledger, row, now):
            return _make_grant(ledger, row, ask, None, now)
        loan.units = min(loan.units, ask.units)
        loan.until = max(loan.until, now + ledger.term_s + ledger.margin_s)
    return _make_grant(ledger, row, ask, loan, now)


def accept(ledger: ledgers.Ledger, granted: LoanGrant, now: float) -> int:
    """Take over a loan or its renewal; return the units that may be used.

    A grant that answers no open ask is ignored, and so is one of an owner
    whose successor has claimed the lender's shard: the successor does not know
    of it.
    """
    row = escrow.refresh_account(ledger, granted.plan_id, now)
    pending = row.pending.get(granted.loan_id)
    if pending is None or pending.seq != granted.seq:
        return 0
    del row.pending[granted.loan_id]
    key = (granted.lender_id, granted.plan_id)
    ledger.idle_hints[key] = granted.idle
    if granted.lender_epoch < ledger.claimed.get(granted.lender_id, 0):
        return 0
    loan = row.borrowed.get(granted.loan_id)
    if granted.units <= 0:
        ledger.ask_after[key] = now + REFUSED_WAIT_S
        if loan is not None:
            loan.renew_at = now + REFUSED_WAIT_S
        return 0
    until = pending.asked_at + ledger.term_s
    if granted.seq == 0 and loan is None and until > now:
        loan = row.borrowed[granted.loan_id] = _make_borrowed(granted, until)
    if loan is None:
        return 0
    loan.units = min(loan.units, granted.units)
    loan.until = max(loan.until, until)
    loan.lender_epoch = granted.lender_epoch
    escrow.update_rate(ledger, row, now)
    return loan.units


def choose_returns(ledger: ledgers.Ledger, now: float) -> list[LoanReturn]:
    """Give up borrowed units that were not needed lately."""
    returns = []
    rows = [row for row in ledger.accounts.values() if row.borrowed]
    for row in sorted(rows, key=lambda row: row.plan_id):
        escrow.refresh_account(ledger, row.plan_id, now)
        returns += _cut_loans(ledger, row, now)
    return returns


def record_return(
    ledger: ledgers.Ledger, returned: LoanReturn, now: float
) -> None:
    """Take back what a borrower no longer keeps; repeats change nothing."""
    row = escrow.refresh_account(ledger, returned.plan_id, now)
    loan = row.lent.get(returned.loan_id)
    if loan is None:
        return
    loan.units = min(loan.units, max(0, returned.kept))
    escrow.update_rate(ledger, row, now)


def count_lendable(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> int:
    """Return own idle units that recent use did not call for."""
    if row.wanted:
        return 0
    lent = sum(loan.units for loan in row.lent.values())
    spare = row.base - lent - escrow.compute_need(row, now)
    return max(0, min(escrow.count_own_free(ledger, row, now), spare))


def _is_quiet(row: ledgers.PlanAccount) -> bool:
    """Return whether there is nothing to ask for, nor was at the last look."""
    return not (row.wanted or row.borrowed or row.pending)


def _call_back(row: ledgers.PlanAccount, lender_id: str, units: int) -> None:
    for loan in row.borrowed.values():
        if loan.lender_id == lender_id:
            cut = min(units, loan.units)
            units -= cut
            loan.units -= cut


def _is_short(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> bool:
    lent = sum(loan.units for loan in row.lent.values())
    if lent + row.own_taken > row.base:
        return True
    return row.wanted > 0 and escrow.count_own_free(ledger, row, now) == 0


def _repeat_asks(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> list[LoanRequest]:
    asks = []
    for pending in list(row.pending.values()):
        if now - pending.asked_at >= ledger.term_s * RENEW_PART:
            del row.pending[pending.loan_id]
        elif now - pending.sent_at >= ASK_AGAIN_S:
            pending.sent_at = now
            asks.append(_make_ask(ledger, row, pending))
    return asks


def _choose_renewals(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> list[LoanRequest]:
    asks = []
    for loan in row.borrowed.values():
        is_due = loan.until - now < ledger.term_s * RENEW_PART
        if not is_due or loan.loan_id in row.pending or now < loan.renew_at:
            continue
        if loan.units == 0:
            continue
        loan.seq += 1
        kept = max(loan.units, loan.taken)
        pending = ledgers.PendingAsk(
            loan.loan_id, loan.lender_id, loan.seq, kept, now, now
        )
        row.pending[loan.loan_id] = pending
        asks.append(_make_ask(ledger, row, pending))
    return asks


def _choose_new_asks(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> list[LoanRequest]:
    free = escrow.count_free(ledger, row.plan_id, 0.0, now)
    new = [p for p in row.pending.values() if p.seq == 0]
    missing = row.wanted - free - sum(p.units for p in new)
    missing = math.ceil(missing * ASK_HEADROOM)
    asks: list[LoanRequest] = []
    if missing <= 0 or len(new) >= ASKS_AT_ONCE:
        return asks
    for lender_id in _rank_lenders(ledger, row, now):
        if missing <= 0 or len(new) + len(asks) >= ASKS_AT_ONCE:
            break
        # Shares differ by one at most, so the own one tells the lender's.
        hint = ledger.idle_hints.get((lender_id, row.plan_id), row.base)
        units = min(missing, hint if hint > 0 else missing)
        missing -= units
        ledger.loans += 1
        loan_id = ledgers.format_loan_id(ledger)
        pending = ledgers.PendingAsk(loan_id, lender_id, 0, units, now, now)
        row.pending[loan_id] = pending
        asks.append(_make_ask(ledger, row, pending))
    return asks


def _rank_lenders(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> list[str]:
    """Return the shards that may be asked, best first.

    Those that hold own units come first, then the likeliest lenders.
    """
    busy = {pending.lender_id for pending in row.pending.values()}
    borrowers = {loan.borrower_id for loan in row.lent.values()}
    free = [
        lender_id
        for lender_id in ledger.other_shards
        if lender_id not in busy
        and now >= ledger.ask_after.get((lender_id, row.plan_id), -math.inf)
    ]

    def order(lender_id: str) -> tuple[bool, int, int]:
        hint = ledger.idle_hints.get((lender_id, row.plan_id), row.base)
        spread = f"{ledger.shard_id}\0{row.plan_id}\0{lender_id}"
        is_borrower = lender_id in borrowers
        return not is_borrower, -hint, xxhash.xxh3_64_intdigest(spread.encode())

    return sorted(free, key=order)


def _cut_loans(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> list[LoanReturn]:
    if now - row.wanted_at > escrow.WINDOW_S:
        _cut_surplus(ledger, row, now)
    returns = []
    for loan in list(row.borrowed.values()):
        kept = max(loan.units, loan.taken)
        if kept < loan.told:
            loan.told = kept
            returns.append(
                LoanReturn(loan.loan_id, loan.lender_id, row.plan_id, kept)
            )
        if kept == 0:
            del row.borrowed[loan.loan_id]
            row.pending.pop(loan.loan_id, None)
    if returns:
        escrow.update_rate(ledger, row, now)
    return returns


def _cut_surplus(
    ledger: ledgers.Ledger, row: ledgers.PlanAccount, now: float
) -> None:
    """Keep what recent use called for; cut the loans that end first."""
    borrowed = sum(loan.units for loan in row.borrowed.values())
    own = escrow.count_own_free(ledger, row, now) + row.own_taken
    surplus = own + borrowed - escrow.compute_need(row, now)
    for loan in sorted(row.borrowed.values(), key=lambda loan: loan.until):
        cut = min(surplus, loan.units - loan.taken)
        if cut > 0:
            surplus -= cut
            loan.units -= cut


def _make_ask(
    ledger: ledgers.Ledger,
    row: ledgers.PlanAccount,
    pending: ledgers.PendingAsk,
) -> LoanRequest:
    return LoanRequest(
        pending.loan_id,
        pending.seq,
        pending.lender_id,
        ledger.shard_id,
        row.plan_id,
        pending.units,
    )


def _make_loan(
    row: ledgers.PlanAccount, ask: LoanRequest, units: int
) -> ledgers.Lent:
    rate_per_unit = row.rate_base / row.base
    burst_per_unit = row.burst_base / row.base
    return ledgers.Lent(
        ask.loan_id,
        ask.borrower_id,
        units,
        rate_per_unit,
        burst_per_unit,
        -math.inf,
    )


def _make_borrowed(granted: LoanGrant, until: float) -> ledgers.Borrowed:
    return ledgers.Borrowed(
        granted.loan_id,
        granted.lender_id,
        granted.lender_epoch,
        granted.units,
        granted.rate_per_unit,
        granted.burst_per_unit,
        until,
        told=granted.units,
    )


def _make_grant(
    ledger: ledgers.Ledger,
    row: ledgers.PlanAccount,
    ask: LoanRequest,
    loan: ledgers.Lent | None,
    now: float,
) -> LoanGrant:
    return LoanGrant(
        loan_id=ask.loan_id,
        seq=ask.seq,
        lender_id=ledger.shard_id,
        lender_epoch=ledger.epoch,
        plan_id=ask.plan_id,
        units=loan.units if loan else 0,
        rate_per_unit=loan.rate_per_unit if loan else 0.0,
        burst_per_unit=loan.burst_per_unit if loan else 0.0,
        idle=count_lendable(ledger, row, now),
    )
