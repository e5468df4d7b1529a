"""The table of leases that one daemon holds or seeks on a shard's workers."""

import dataclasses
import enum
import math


class Phase(enum.Enum):
    """What a daemon is to a shard.

    Attributes:
        IDLE: It neither owns the shard nor asks for it.
        CAMPAIGN: It asks the workers for leases with a new epoch.
        OWNER: It has owned the shard since it last looked.
        EXPIRED: It has lost the quorum and tries to regain it with its epoch.
    """

    IDLE = "idle"
    CAMPAIGN = "campaign"
    OWNER = "owner"
    EXPIRED = "lapsed"


class OwnershipChange(enum.Enum):
    """How ownership changed."""

    GAINED = "gained"
    LOST = "lost"
    REGAINED = "regained"


@dataclasses.dataclass(frozen=True)
class OwnershipEvent:
    """A change of ownership, and the epoch it concerns."""

    change: OwnershipChange
    epoch: int


@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """A lease to ask a worker for; the term is in seconds."""

    worker_id: str
    epoch: int
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class LeaseRelease:
    """A lease to give back to a worker."""

    worker_id: str
    epoch: int


@dataclasses.dataclass
class WorkerLease:
    """What is known of the lease on one worker.

    Attributes:
        worker_id: The worker.
        epoch: The epoch of the last lease granted; 0 if none.
        asked_epoch: The highest epoch asked for.
        lease_until: End of the lease by own clock; -inf if there is none.
        voided_at: When the lease was last known not to be ours.
        seen_epoch: The highest epoch that a refusal told.
        holder: Who held the lease at the last refusal; empty if unknown.
        blocked_until: End of that holder's lease as it was told.
        next_try: No request goes out before.
        failures: Refused or unanswered requests since the last grant.
    """

    worker_id: str
    epoch: int = 0
    asked_epoch: int = 0
    lease_until: float = -math.inf
    voided_at: float = -math.inf
    seen_epoch: int = 0
    holder: str = ""
    blocked_until: float = -math.inf
    next_try: float = -math.inf
    failures: int = 0


@dataclasses.dataclass
class Ownership:
    """The state of one shard at one daemon.

    Attributes:
        shard_id: The shard.
        daemon_id: This daemon.
        ttl_s: The term of each lease, in seconds.
        epoch: The epoch of the campaign or of the ownership; 0 if none.
        phase: See `Phase`.
        lapsed_at: When the quorum was lost, in the phase `EXPIRED`.
        campaign_at: No campaign begins before.
        quorum_until: A quorum is live at least until then; -inf if not known.
        attempts: Campaigns given up since the last success.
        leases: By worker id, one for each listed worker.
        releases: Leases to give back, not yet taken by `pop_releases`.
        events: Changes not yet taken by `pop_events`.
    """

    shard_id: str
    daemon_id: str
    ttl_s: float
    epoch: int = 0
    phase: Phase = Phase.IDLE
    lapsed_at: float = -math.inf
    campaign_at: float = -math.inf
    quorum_until: float = -math.inf
    attempts: int = 0
    leases: dict[str, WorkerLease] = dataclasses.field(default_factory=dict)
    releases: list[LeaseRelease] = dataclasses.field(default_factory=list)
    events: list[OwnershipEvent] = dataclasses.field(default_factory=list)


def void(state: Ownership, row: WorkerLease, now: float) -> None:
    """End a lease that is known not to be ours."""
    state.quorum_until = -math.inf
    row.lease_until = -math.inf
    row.voided_at = now


def clear_failures(row: WorkerLease) -> None:
    """Forget refusals and unanswered requests, after a grant."""
    row.failures = 0
    row.next_try = -math.inf
    row.holder = ""
    row.blocked_until = -math.inf
