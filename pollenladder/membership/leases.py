"""State of the leases that a daemon holds or requests on a shard's workers."""

import dataclasses
import enum
import math


class Phase(enum.Enum):
    """A daemon's role towards a shard.

    Attributes:
        IDLE: It neither owns the shard nor campaigns for it.
        CAMPAIGN: It requests leases from the workers with a new epoch.
        OWNER: It held a quorum of leases when it last checked.
        EXPIRED: It lost the quorum and tries to regain it with its epoch.
    """

    IDLE = "idle"
    CAMPAIGN = "campaign"
    OWNER = "owner"
    EXPIRED = "lapsed"


class OwnershipChange(enum.Enum):
    """How a daemon's ownership of a shard changed.

    Attributes:
        GAINED: It became the owner with a new epoch.
        LOST: It lost the quorum of leases, or resigned.
        REGAINED: It regained the quorum with the epoch it had before.
    """

    GAINED = "gained"
    LOST = "lost"
    REGAINED = "regained"


@dataclasses.dataclass(frozen=True)
class OwnershipEvent:
    """A change of ownership.

    Attributes:
        change: How the ownership changed.
        epoch: The epoch of the ownership that was gained, lost or regained.
    """

    change: OwnershipChange
    epoch: int


@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """A request to a worker for a lease of `ttl_s` seconds."""

    worker_id: str
    epoch: int
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class LeaseRelease:
    """A lease to be returned to a worker."""

    worker_id: str
    epoch: int


@dataclasses.dataclass
class WorkerLease:
    """What a daemon knows of the lease on one worker.

    All times are in seconds of the daemon's monotonic clock.

    Attributes:
        worker_id: The worker.
        epoch: The epoch of the last lease granted; 0 if none.
        requested_epoch: The highest epoch requested; 0 if none.
        lease_until: When the lease ends; -inf if there is none.
        invalidated_at: When this daemon last learned that it doesn't hold the
            lease. Replies to requests sent before that time are ignored.
        max_seen_epoch: The highest epoch reported by a refusal.
        holder: The holder of the lease at the last refusal; empty if unknown.
        blocked_until: When that holder's lease ends, as the refusal reported.
        next_request_at: No request is sent before this time.
        failures: Refused or unanswered requests since the last grant.
    """

    worker_id: str
    epoch: int = 0
    requested_epoch: int = 0
    lease_until: float = -math.inf
    invalidated_at: float = -math.inf
    max_seen_epoch: int = 0
    holder: str = ""
    blocked_until: float = -math.inf
    next_request_at: float = -math.inf
    failures: int = 0


@dataclasses.dataclass
class Ownership:
    """One daemon's state of ownership of one shard.

    All times are in seconds of the daemon's monotonic clock.

    Attributes:
        shard_id: The shard.
        daemon_id: This daemon.
        ttl_s: The term of each lease, in seconds.
        epoch: The epoch of the campaign or of the ownership; 0 if none.
        phase: See `Phase`.
        expired_at: When the quorum was lost, in the phase `EXPIRED`.
        next_campaign_at: No campaign starts before this time.
        quorum_valid_until: Time until which a quorum of leases is known to be
            live; -inf if it must be computed again.
        failed_campaigns: Campaigns given up since the shard was last owned.
        leases: By worker id, one for each listed worker.
        releases: Leases to return, not yet fetched by `pop_releases`.
        events: Changes not yet fetched by `pop_events`.
    """

    shard_id: str
    daemon_id: str
    ttl_s: float
    epoch: int = 0
    phase: Phase = Phase.IDLE
    expired_at: float = -math.inf
    next_campaign_at: float = -math.inf
    quorum_valid_until: float = -math.inf
    failed_campaigns: int = 0
    leases: dict[str, WorkerLease] = dataclasses.field(default_factory=dict)
    releases: list[LeaseRelease] = dataclasses.field(default_factory=list)
    events: list[OwnershipEvent] = dataclasses.field(default_factory=list)


def invalidate(state: Ownership, lease: WorkerLease, now: float) -> None:
    """Record that this daemon doesn't hold a lease, according to its worker."""
    state.quorum_valid_until = -math.inf
    lease.lease_until = -math.inf
    lease.invalidated_at = now


def clear_failures(lease: WorkerLease) -> None:
    """Reset the record of refusals and unanswered requests after a grant."""
    lease.failures = 0
    lease.next_request_at = -math.inf
    lease.holder = ""
    lease.blocked_until = -math.inf
