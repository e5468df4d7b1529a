"""The tables of what one owner holds of all plans."""

import dataclasses
import math

from pollenladder.plans import buckets


@dataclasses.dataclass(frozen=True)
class Unit:
    """Leave to have one task running.

    Attributes:
        unit_id: Unique within the ledger.
        plan_id: The plan.
        lender_id: The shard it was borrowed from; empty if it is an own one.
        loan_id: The loan it belongs to; empty if it is an own one.
    """

    unit_id: int
    plan_id: str
    lender_id: str = ""
    loan_id: str = ""


@dataclasses.dataclass
class Lent:
    """Units lent to another shard.

    Attributes:
        loan_id: Issued by the borrower, unique for all time.
        borrower_id: The other shard.
        units: What it may still use.
        rate_per_unit: Starts a second that go with each unit.
        burst_per_unit: Burst that goes with each unit.
        until: The units are ours again then, by own clock, margin included.
    """

    loan_id: str
    borrower_id: str
    units: int
    rate_per_unit: float
    burst_per_unit: float
    until: float


@dataclasses.dataclass
class Borrowed:
    """Units borrowed from another shard.

    Attributes:
        loan_id: The loan.
        lender_id: The other shard.
        lender_epoch: The epoch of its owner when it last granted the loan.
        units: What may be used.
        told: What the lender was last told to be kept.
        rate_per_unit: Starts a second that go with each unit.
        burst_per_unit: Burst that goes with each unit.
        until: All use ends before, by own clock.
        seq: Number of renewals asked for.
        renew_at: No renewal is asked for before.
        taken: Units in use.
    """

    loan_id: str
    lender_id: str
    lender_epoch: int
    units: int
    rate_per_unit: float
    burst_per_unit: float
    until: float
    told: int = 0
    seq: int = 0
    renew_at: float = -math.inf
    taken: int = 0


@dataclasses.dataclass
class PendingAsk:
    """An ask without an answer yet.

    Attributes:
        loan_id: The loan asked for.
        lender_id: Who was asked.
        seq: 0 for a new loan, else the number of the renewal.
        units: How many were asked for.
        asked_at: When it was first sent; the loan's term counts from here.
        sent_at: When it was last sent.
    """

    loan_id: str
    lender_id: str
    seq: int
    units: int
    asked_at: float
    sent_at: float


@dataclasses.dataclass
class Use:
    """The highest use in the present window and in the one before.

    Attributes:
        began_at: When the present window began.
        peak: Most units in use at once in it.
        starts: Units taken in it.
        last_peak: The same of the window before.
        last_starts: The same of the window before.
    """

    began_at: float = 0.0
    peak: int = 0
    starts: int = 0
    last_peak: int = 0
    last_starts: int = 0


@dataclasses.dataclass
class PlanAccount:
    """What a shard holds of one plan.

    Attributes:
        plan_id: The plan.
        base: Own share of the running tasks.
        rate_base: Own share of the starts a second.
        burst_base: Own share of the burst.
        bucket: Starts that may be made now.
        own_taken: Own units in use.
        units: Units in use, by id.
        holds: Heap of (end, unit id) of units that end by themselves.
        hold_until: The latest end asked for, by unit id.
        survivors: Ends of units that a predecessor's tasks keep.
        lent: By loan id.
        borrowed: By loan id.
        pending: Asks without an answer, by loan id.
        wanted: Tasks that waited for a unit when asks were last chosen.
        wanted_at: When some last did.
        use: Recent use.
    """

    plan_id: str
    base: int = 0
    rate_base: float = 0.0
    burst_base: float = 0.0
    bucket: buckets.Bucket = dataclasses.field(default_factory=buckets.Bucket)
    own_taken: int = 0
    units: dict[int, Unit] = dataclasses.field(default_factory=dict)
    holds: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    hold_until: dict[int, float] = dataclasses.field(default_factory=dict)
    survivors: list[float] = dataclasses.field(default_factory=list)
    lent: dict[str, Lent] = dataclasses.field(default_factory=dict)
    borrowed: dict[str, Borrowed] = dataclasses.field(default_factory=dict)
    pending: dict[str, PendingAsk] = dataclasses.field(default_factory=dict)
    wanted: int = 0
    wanted_at: float = -math.inf
    use: Use = dataclasses.field(default_factory=Use)


@dataclasses.dataclass
class HostedTask:
    """A task of another shard that runs on this shard's workers."""

    start_id: str
    plan_id: str
    origin_id: str
    lender_id: str
    until: float


@dataclasses.dataclass
class Ledger:
    """What one owner holds of all plans, for one shard.

    Attributes:
        shard_id: The shard.
        term_s: The term of each loan, in seconds; longer than the longest run
            and a lease together.
        margin_s: What a lender adds to it.
        epoch: The owner's epoch.
        other_shards: All other shards.
        accounts: By plan id.
        awaited: Shards and workers that have not yet answered a takeover.
        unaware: Other shards that may still accept a predecessor's tasks.
        takeover_ends_at: Own units may be used then without their answers.
        claimed: The newest owner's epoch by shard, of those that claimed.
        hosted: Tasks of other shards on this shard's workers, by their id.
        idle_hints: Idle units by (lender, plan), as its last grant told.
        ask_after: No ask goes out before, by (lender, plan).
        loans: Number of loans asked for.
        last_unit_id: The id of the last unit.
    """

    shard_id: str
    term_s: float
    margin_s: float
    epoch: int = 0
    other_shards: tuple[str, ...] = ()
    accounts: dict[str, PlanAccount] = dataclasses.field(default_factory=dict)
    awaited: set[str] = dataclasses.field(default_factory=set)
    unaware: set[str] = dataclasses.field(default_factory=set)
    takeover_ends_at: float = -math.inf
    claimed: dict[str, int] = dataclasses.field(default_factory=dict)
    hosted: dict[str, HostedTask] = dataclasses.field(default_factory=dict)
    idle_hints: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    ask_after: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    loans: int = 0
    last_unit_id: int = 0


def format_loan_id(ledger: Ledger) -> str:
    """Return the id of the loan that is asked for now."""
    return f"{ledger.shard_id}~{ledger.epoch}~{ledger.loans}"


def get_borrower_id(loan_id: str) -> str:
    """Return the shard that issued a loan's id."""
    return loan_id.partition("~")[0]
