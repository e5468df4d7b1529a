"""Loans of allowance between shards, safe against lost or repeated messages.

The borrower counts a loan's term from the time at which it first sent the
request. The lender counts it from the time of the grant and adds a margin. The
borrower therefore stops using the units before the lender uses them again, even
if messages are lost, repeated or late. The units of a loan never increase. A
return states the units that the borrower keeps, so it may be repeated.
"""

from collections.abc import Mapping
import dataclasses
import math

import xxhash

from pollenladder.plans import escrow
from pollenladder.plans import ledgers

# Unanswered requests for new loans of one plan.
MAX_PENDING_NEW_LOANS = 4
# An unanswered request is sent again after this time.
REQUEST_RETRY_S = 0.5
# Time after a refusal in which the lender gets no request for the same plan.
REFUSAL_BACKOFF_S = 1.0
# A loan is renewed when less than this fraction of its term is left.
RENEW_BELOW_FRACTION = 1 / 2
# Requesting slightly more than is missing reduces the number of requests.
REQUEST_HEADROOM = 1.25


@dataclasses.dataclass(frozen=True)
class LoanRequest:
    """A borrower's request for a new loan, or for the renewal of a loan.

    Attributes:
        loan_id: Issued by the borrower; never reused.
        seq: 0 for a new loan, else the number of the renewal.
        lender_id: The shard that is to lend.
        borrower_id: The requesting shard.
        plan_id: The plan.
        units: Units requested, or still kept in a renewal.
    """

    loan_id: str
    seq: int
    lender_id: str
    borrower_id: str
    plan_id: str
    units: int


@dataclasses.dataclass(frozen=True)
class LoanGrant:
    """The lender's reply to a request; 0 units mean a refusal.

    Attributes:
        loan_id: The loan.
        seq: `seq` of the request.
        lender_id: The lender.
        lender_epoch: The epoch of the lender's owner.
        plan_id: The plan.
        units: Units that the borrower may use.
        rate_per_unit: Starts per second that are lent with each unit.
        burst_per_unit: Burst that is lent with each unit.
        idle: Units that the lender could still lend.
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
    """A borrower's notice that it uses at most `kept` units from now on."""

    loan_id: str
    lender_id: str
    plan_id: str
    kept: int


def choose_requests(
    ledger: ledgers.Ledger, waiting: Mapping[str, int], now: float
) -> list[LoanRequest]:
    """Return the loan requests to send now: repeats, renewals and new loans.

    Args:
        ledger: The shard's ledger.
        waiting: Number of tasks that wait for a unit, by plan.
        now: Monotonic time in seconds.
    """
    requests = []
    for plan_id in sorted(ledger.accounts.keys() | waiting.keys()):
        account = ledger.accounts.get(plan_id)
        if account and _is_idle(account) and not waiting.get(plan_id):
            continue
        account = escrow.refresh_account(ledger, plan_id, now)
        account.waiting = waiting.get(plan_id, 0)
        if account.waiting:
            account.waiting_at = now
        requests += _repeat_requests(ledger, account, now)
        requests += _choose_renewals(ledger, account, now)
        requests += _choose_new_requests(ledger, account, now)
    return requests


def grant(
    ledger: ledgers.Ledger, request: LoanRequest, now: float
) -> LoanGrant:
    """Lend or renew, or refuse with 0 units; a repeated request lends once.

    A request from a shard that has lent units to this one recalls as many of
    them; those in use are returned as they are freed.
    """
    account = escrow.refresh_account(ledger, request.plan_id, now)
    if request.seq == 0:
        _recall_units(account, request.borrower_id, request.units)
    loan = account.lent.get(request.loan_id)
    if loan is None:
        units = (
            0
            if request.seq
            else min(request.units, count_lendable(ledger, account, now))
        )
        if units <= 0:
            return _build_grant(ledger, account, request, None, now)
        loan = account.lent[request.loan_id] = _build_lent(
            account, request, units
        )
        loan.until = now + ledger.term_s + ledger.margin_s
        escrow.update_rate(ledger, account, now)
    elif request.seq:
        if _lacks_units(ledger, account, now):
            return _build_grant(ledger, account, request, None, now)
        loan.units = min(loan.units, request.units)
        loan.until = max(loan.until, now + ledger.term_s + ledger.margin_s)
    return _build_grant(ledger, account, request, loan, now)


def accept(ledger: ledgers.Ledger, granted: LoanGrant, now: float) -> int:
    """Record a loan or its renewal, and return the units that may be used.

    A grant that matches no pending request is ignored. A grant from an earlier
    owner of the lender is ignored too once its successor has sent a claim, as
    the successor doesn't know of the loan.
    """
    account = escrow.refresh_account(ledger, granted.plan_id, now)
    pending = account.pending.get(granted.loan_id)
    if pending is None or pending.seq != granted.seq:
        return 0
    del account.pending[granted.loan_id]
    key = (granted.lender_id, granted.plan_id)
    ledger.idle_hints[key] = granted.idle
    if granted.lender_epoch < ledger.claimed.get(granted.lender_id, 0):
        return 0
    loan = account.borrowed.get(granted.loan_id)
    if granted.units <= 0:
        ledger.next_request_at[key] = now + REFUSAL_BACKOFF_S
        if loan is not None:
            loan.renew_at = now + REFUSAL_BACKOFF_S
        return 0
    until = pending.first_sent_at + ledger.term_s
    if granted.seq == 0 and loan is None and until > now:
        loan = account.borrowed[granted.loan_id] = _build_borrowed(
            granted, until
        )
    if loan is None:
        return 0
    loan.units = min(loan.units, granted.units)
    loan.until = max(loan.until, until)
    loan.lender_epoch = granted.lender_epoch
    escrow.update_rate(ledger, account, now)
    return loan.units


def choose_returns(ledger: ledgers.Ledger, now: float) -> list[LoanReturn]:
    """Give up borrowed units that recent use did not require.

    Returns:
        The returns to send to the lenders.
    """
    returns = []
    accounts = [
        account for account in ledger.accounts.values() if account.borrowed
    ]
    for account in sorted(accounts, key=lambda account: account.plan_id):
        escrow.refresh_account(ledger, account.plan_id, now)
        returns += _collect_returns(ledger, account, now)
    return returns


def record_return(
    ledger: ledgers.Ledger, returned: LoanReturn, now: float
) -> None:
    """Reduce a loan to what its borrower keeps; repeats change nothing."""
    account = escrow.refresh_account(ledger, returned.plan_id, now)
    loan = account.lent.get(returned.loan_id)
    if loan is None:
        return
    loan.units = min(loan.units, max(0, returned.kept))
    escrow.update_rate(ledger, account, now)


def count_lendable(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> int:
    """Return own idle units that recent use did not require."""
    if account.waiting:
        return 0
    lent = sum(loan.units for loan in account.lent.values())
    spare = account.base - lent - escrow.compute_need(account, now)
    return max(0, min(escrow.count_own_free(ledger, account, now), spare))


def _is_idle(account: ledgers.PlanAccount) -> bool:
    """Return whether an account needs no loans and has none.

    This is the case if no tasks waited for a unit when requests were last
    chosen, and no loan or request is open.
    """
    return not (account.waiting or account.borrowed or account.pending)


def _recall_units(
    account: ledgers.PlanAccount, lender_id: str, units: int
) -> None:
    """Reduce the loans from a lender by a number of units in total."""
    for loan in account.borrowed.values():
        if loan.lender_id == lender_id:
            cut = min(units, loan.units)
            units -= cut
            loan.units -= cut


def _lacks_units(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> bool:
    """Return whether this shard needs the units that it has lent."""
    lent = sum(loan.units for loan in account.lent.values())
    if lent + account.own_in_use > account.base:
        return True
    return (
        account.waiting > 0 and escrow.count_own_free(ledger, account, now) == 0
    )


def _repeat_requests(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> list[LoanRequest]:
    """Repeat unanswered requests, and drop those that are too old."""
    requests = []
    for pending in list(account.pending.values()):
        if now - pending.first_sent_at >= ledger.term_s * RENEW_BELOW_FRACTION:
            del account.pending[pending.loan_id]
        elif now - pending.last_sent_at >= REQUEST_RETRY_S:
            pending.last_sent_at = now
            requests.append(_build_request(ledger, account, pending))
    return requests


def _choose_renewals(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> list[LoanRequest]:
    requests = []
    for loan in account.borrowed.values():
        is_due = loan.until - now < ledger.term_s * RENEW_BELOW_FRACTION
        if not is_due or loan.loan_id in account.pending or now < loan.renew_at:
            continue
        if loan.units == 0:
            continue
        loan.seq += 1
        kept = max(loan.units, loan.in_use)
        pending = ledgers.PendingRequest(
            loan.loan_id, loan.lender_id, loan.seq, kept, now, now
        )
        account.pending[loan.loan_id] = pending
        requests.append(_build_request(ledger, account, pending))
    return requests


def _choose_new_requests(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> list[LoanRequest]:
    """Request the missing units from the best lenders."""
    free = escrow.count_free(ledger, account.plan_id, 0.0, now)
    new = [p for p in account.pending.values() if p.seq == 0]
    missing = account.waiting - free - sum(p.units for p in new)
    missing = math.ceil(missing * REQUEST_HEADROOM)
    requests: list[LoanRequest] = []
    if missing <= 0 or len(new) >= MAX_PENDING_NEW_LOANS:
        return requests
    for lender_id in _rank_lenders(ledger, account, now):
        if missing <= 0 or len(new) + len(requests) >= MAX_PENDING_NEW_LOANS:
            break
        # The bases of two shards differ by at most one unit, so this shard's
        # base estimates the lender's.
        hint = ledger.idle_hints.get((lender_id, account.plan_id), account.base)
        units = min(missing, hint if hint > 0 else missing)
        missing -= units
        ledger.loan_count += 1
        loan_id = ledgers.format_loan_id(ledger)
        pending = ledgers.PendingRequest(loan_id, lender_id, 0, units, now, now)
        account.pending[loan_id] = pending
        requests.append(_build_request(ledger, account, pending))
    return requests


def _rank_lenders(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> list[str]:
    """Return the shards that a loan may be requested from, best first.

    Shards that hold units of this shard come first, as the request recalls
    those. The others follow by the number of units they are likely to lend.
    """
    busy = {pending.lender_id for pending in account.pending.values()}
    borrowers = {loan.borrower_id for loan in account.lent.values()}
    candidates = [
        lender_id
        for lender_id in ledger.other_shards
        if lender_id not in busy
        and now
        >= ledger.next_request_at.get((lender_id, account.plan_id), -math.inf)
    ]

    def order(lender_id: str) -> tuple[bool, int, int]:
        hint = ledger.idle_hints.get((lender_id, account.plan_id), account.base)
        # Different borrowers rank equally good lenders differently.
        seed = f"{ledger.shard_id}\0{account.plan_id}\0{lender_id}"
        is_borrower = lender_id in borrowers
        return not is_borrower, -hint, xxhash.xxh3_64_intdigest(seed.encode())

    return sorted(candidates, key=order)


def _collect_returns(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> list[LoanReturn]:
    """Reduce loans to what is needed, and report the reductions.

    Returns:
        Returns of the loans that keep fewer units than last reported.
    """
    if now - account.waiting_at > escrow.USAGE_WINDOW_S:
        _cut_surplus(ledger, account, now)
    returns = []
    for loan in list(account.borrowed.values()):
        kept = max(loan.units, loan.in_use)
        if kept < loan.reported_units:
            loan.reported_units = kept
            returns.append(
                LoanReturn(loan.loan_id, loan.lender_id, account.plan_id, kept)
            )
        if kept == 0:
            del account.borrowed[loan.loan_id]
            account.pending.pop(loan.loan_id, None)
    if returns:
        escrow.update_rate(ledger, account, now)
    return returns


def _cut_surplus(
    ledger: ledgers.Ledger, account: ledgers.PlanAccount, now: float
) -> None:
    """Reduce loans to what recent use required, those that end first first."""
    borrowed = sum(loan.units for loan in account.borrowed.values())
    own = escrow.count_own_free(ledger, account, now) + account.own_in_use
    surplus = own + borrowed - escrow.compute_need(account, now)
    for loan in sorted(account.borrowed.values(), key=lambda loan: loan.until):
        cut = min(surplus, loan.units - loan.in_use)
        if cut > 0:
            surplus -= cut
            loan.units -= cut


def _build_request(
    ledger: ledgers.Ledger,
    account: ledgers.PlanAccount,
    pending: ledgers.PendingRequest,
) -> LoanRequest:
    return LoanRequest(
        pending.loan_id,
        pending.seq,
        pending.lender_id,
        ledger.shard_id,
        account.plan_id,
        pending.units,
    )


def _build_lent(
    account: ledgers.PlanAccount, request: LoanRequest, units: int
) -> ledgers.LentLoan:
    rate_per_unit = account.base_rate / account.base
    burst_per_unit = account.base_burst / account.base
    return ledgers.LentLoan(
        request.loan_id,
        request.borrower_id,
        units,
        rate_per_unit,
        burst_per_unit,
        -math.inf,
    )


def _build_borrowed(granted: LoanGrant, until: float) -> ledgers.BorrowedLoan:
    return ledgers.BorrowedLoan(
        granted.loan_id,
        granted.lender_id,
        granted.lender_epoch,
        granted.units,
        granted.rate_per_unit,
        granted.burst_per_unit,
        until,
        reported_units=granted.units,
    )


def _build_grant(
    ledger: ledgers.Ledger,
    account: ledgers.PlanAccount,
    request: LoanRequest,
    loan: ledgers.LentLoan | None,
    now: float,
) -> LoanGrant:
    return LoanGrant(
        loan_id=request.loan_id,
        seq=request.seq,
        lender_id=ledger.shard_id,
        lender_epoch=ledger.epoch,
        plan_id=request.plan_id,
        units=loan.units if loan else 0,
        rate_per_unit=loan.rate_per_unit if loan else 0.0,
        burst_per_unit=loan.burst_per_unit if loan else 0.0,
        idle=count_lendable(ledger, account, now),
    )
