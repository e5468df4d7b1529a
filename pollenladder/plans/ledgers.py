"""The ledger of a shard's owner: the units that it uses, lends and borrows."""

import dataclasses
import math

from pollenladder.plans import buckets


@dataclasses.dataclass(frozen=True)
class Unit:
    """Permission to have one task running.

    Attributes:
        unit_id: Unique within the ledger.
        plan_id: The plan.
        lender_id: The shard that lent it; empty for the shard's own units.
        loan_id: The loan it belongs to; empty for the shard's own units.
    """

    unit_id: int
    plan_id: str
    lender_id: str = ""
    loan_id: str = ""


@dataclasses.dataclass
class LentLoan:
    """A loan to another shard, as the lender records it.

    Attributes:
        loan_id: Issued by the borrower; never reused.
        borrower_id: The borrowing shard.
        units: Units that the borrower may still use.
        rate_per_unit: Starts per second that are lent with each unit.
        burst_per_unit: Burst that is lent with each unit.
        until: When the units may be used here again, in monotonic seconds of
            this daemon, margin included.
    """

    loan_id: str
    borrower_id: str
    units: int
    rate_per_unit: float
    burst_per_unit: float
    until: float


@dataclasses.dataclass
class BorrowedLoan:
    """A loan from another shard, as the borrower records it.

    Attributes:
        loan_id: The loan.
        lender_id: The lending shard.
        lender_epoch: Epoch of the lender's owner at the last grant.
        units: Units that may be used.
        rate_per_unit: Starts per second that are lent with each unit.
        burst_per_unit: Burst that is lent with each unit.
        until: All use ends before then, in monotonic seconds of this daemon.
        reported_units: Units kept, as last reported to the lender.
        seq: Number of the last renewal requested; 0 before the first.
        renew_at: No renewal is requested before this time.
        in_use: Units in use.
    """

    loan_id: str
    lender_id: str
    lender_epoch: int
    units: int
    rate_per_unit: float
    burst_per_unit: float
    until: float
    reported_units: int = 0
    seq: int = 0
    renew_at: float = -math.inf
    in_use: int = 0


@dataclasses.dataclass
class PendingRequest:
    """A loan request that has not been answered yet.

    Attributes:
        loan_id: The requested loan.
        lender_id: The shard that the request was sent to.
        seq: 0 for a new loan, else the number of the renewal.
        units: Units requested.
        first_sent_at: When it was first sent; the loan's term counts from then.
        last_sent_at: When it was last sent.
    """

    loan_id: str
    lender_id: str
    seq: int
    units: int
    first_sent_at: float
    last_sent_at: float


@dataclasses.dataclass
class Usage:
    """Recent use of a plan, in the current time window and the previous one.

    Attributes:
        started_at: When the current window started.
        peak: Most units in use at once in the current window.
        starts: Units taken in the current window.
        previous_peak: `peak` of the previous window.
        previous_starts: `starts` of the previous window.
    """

    started_at: float = 0.0
    peak: int = 0
    starts: int = 0
    previous_peak: int = 0
    previous_starts: int = 0


@dataclasses.dataclass
class PlanAccount:
    """A shard's account of one plan.

    The base is the shard's fixed share of the plan's allowance. The shard's own
    units are those of the base, as opposed to borrowed ones.

    Attributes:
        plan_id: The plan.
        base: The shard's share of the running tasks, in units.
        base_rate: The shard's share of the starts per second.
        base_burst: The shard's share of the burst.
        bucket: Limits the task starts.
        own_in_use: Own units in use.
        units: Units in use, own and borrowed, by id.
        holds: Heap of (time, unit id) at which held units are freed.
        hold_until: Latest time until which a unit is held, by unit id.
        predecessor_ends: When tasks of earlier owners on the shard's workers
            end at the latest, one time for each task.
        lent: Loans to other shards, by loan id.
        borrowed: Loans from other shards, by loan id.
        pending: Unanswered loan requests, by loan id.
        waiting: Tasks that waited for a unit when requests were last chosen.
        waiting_at: When tasks last waited for a unit.
        usage: Recent use.
    """

    plan_id: str
    base: int = 0
    base_rate: float = 0.0
    base_burst: float = 0.0
    bucket: buckets.Bucket = dataclasses.field(default_factory=buckets.Bucket)
    own_in_use: int = 0
    units: dict[int, Unit] = dataclasses.field(default_factory=dict)
    holds: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    hold_until: dict[int, float] = dataclasses.field(default_factory=dict)
    predecessor_ends: list[float] = dataclasses.field(default_factory=list)
    lent: dict[str, LentLoan] = dataclasses.field(default_factory=dict)
    borrowed: dict[str, BorrowedLoan] = dataclasses.field(default_factory=dict)
    pending: dict[str, PendingRequest] = dataclasses.field(default_factory=dict)
    waiting: int = 0
    waiting_at: float = -math.inf
    usage: Usage = dataclasses.field(default_factory=Usage)


@dataclasses.dataclass
class HostedTask:
    """A task of another shard that may run on this shard's workers.

    Attributes:
        start_id: The id of the task's start.
        plan_id: The plan.
        origin_id: The shard that the task belongs to.
        lender_id: The shard that lent the task's unit; empty if it is an own
            unit of the origin.
        until: When the task has ended at the latest, in monotonic seconds.
    """

    start_id: str
    plan_id: str
    origin_id: str
    lender_id: str
    until: float


@dataclasses.dataclass
class Ledger:
    """The accounts of all plans, kept by a shard's owner.

    All times are in seconds of the daemon's monotonic clock.

    Attributes:
        shard_id: The shard.
        term_s: Term of each loan, in seconds; longer than the longest run and
            the term of a lease together.
        margin_s: Seconds that the lender adds to the term.
        epoch: The owner's epoch.
        other_shards: All other shards.
        accounts: By plan id.
        awaited: Shards and workers that have not answered the takeover yet.
        unacknowledged: Shards that have not noted the claim of this owner, and
            may still accept tasks of its predecessors.
        takeover_ends_at: From then on, own units may be used even if answers
            are missing.
        claimed: The highest epoch of an owner that sent a claim, by its shard.
        hosted: Tasks of other shards on this shard's workers, by start id.
        idle_hints: Units that a lender had left to lend at its last grant, by
            (lender, plan).
        next_request_at: No new loan is requested before this time, by
            (lender, plan).
        loan_count: Number of loans requested.
        last_unit_id: The id of the unit created last; 0 before the first.
    """

    shard_id: str
    term_s: float
    margin_s: float
    epoch: int = 0
    other_shards: tuple[str, ...] = ()
    accounts: dict[str, PlanAccount] = dataclasses.field(default_factory=dict)
    awaited: set[str] = dataclasses.field(default_factory=set)
    unacknowledged: set[str] = dataclasses.field(default_factory=set)
    takeover_ends_at: float = -math.inf
    claimed: dict[str, int] = dataclasses.field(default_factory=dict)
    hosted: dict[str, HostedTask] = dataclasses.field(default_factory=dict)
    idle_hints: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    next_request_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    loan_count: int = 0
    last_unit_id: int = 0


def format_loan_id(ledger: Ledger) -> str:
    """Return the id of the last loan counted in `loan_count`."""
    return f"{ledger.shard_id}~{ledger.epoch}~{ledger.loan_count}"


def get_borrower_id(loan_id: str) -> str:
    """Return the shard that issued a loan id."""
    return loan_id.partition("~")[0]
