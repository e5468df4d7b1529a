"""Workers and the runs on them."""

import dataclasses
import enum
import math

from pollenladder.jobs import entities as jobs


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The entry that a worker publishes about itself.

    Attributes:
        worker_id: The worker's id.
        address: IP address and port.
        data_centre: The worker's data centre.
        service: The service whose tasks the worker runs.
        capacity: The worker's total resources.
        is_draining: Whether the worker is about to shut down.
        cold_left_s: For how much longer the worker is slow after its start, in
            seconds, when it published the entry.
    """

    worker_id: str
    address: tuple[str, int]
    data_centre: str
    service: str
    capacity: jobs.Resources
    is_draining: bool
    cold_left_s: float = 0.0


class RunEnd(enum.Enum):
    """How a run ended on its worker.

    If a run ends in another way than DONE or FAILED, its task is placed again
    if the job still needs it, and no failure is counted.

    Attributes:
        DONE: The run completed.
        FAILED: The run failed.
        STOPPED: The run was stopped by a stop order.
        LAPSED: The worker ended the run because its lease had expired.
        BROKEN: The worker reported the run as broken, or another task of its
            gang did not start. A gang is a group of tasks that run only
            together.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRun:
    """A run that a worker reports as in progress.

    Attributes:
        task: The task's name.
        number: The run's number.
        percent: Progress, 0 to 100.
    """

    task: str
    number: int
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedEnd:
    """A run that a worker reports as ended.

    Attributes:
        sequence: Position in the worker's list of ended runs.
        task: The task's name.
        number: The run's number.
        end: How the run ended.
    """

    sequence: int
    task: str
    number: int
    end: RunEnd


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """A worker's reply to a poll.

    Attributes:
        clock_s: The worker's monotonic clock, in seconds.
        started_ms: Start time of the worker's process. A new value means that
            the worker has lost all state of the previous process.
        running: Runs in progress.
        ended: Ended runs that have not been acknowledged.
    """

    clock_s: float
    started_ms: int
    running: tuple[ObservedRun, ...]
    ended: tuple[ObservedEnd, ...]


class MissedPoll(enum.Enum):
    """What a poll without a usable reply tells about the worker's process.

    Attributes:
        NO_REPLY: Nothing. The connection failed or was silent, as it does when the
            network is partitioned.
        CLOSED: The connection was closed in order. The host of a process that ends
            closes its connections, and a partition does not.
        REFUSED: A new connection was refused. No process listens there, or a
            partition refuses connections.
        REPLACED: Another process answers at the worker's address.
    """

    NO_REPLY = "no_reply"
    CLOSED = "closed"
    REFUSED = "refused"
    REPLACED = "replaced"


class ProcessEnd(enum.Enum):
    """What the end of a worker's process is concluded from.

    Attributes:
        CLOSED: Its connections were closed in order and new ones are refused. The
            conclusion is taken back if the same process answers again.
        REPLACED: Another process answers in its place. The end is certain, but not
            its time: a run may have been over before.
    """

    CLOSED = "closed"
    REPLACED = "replaced"


class StartReply(enum.Enum):
    """Result of an order to start a run.

    Attributes:
        STARTED: The worker has started the run, or had started it before.
        FENCED: The worker has received a higher epoch from another owner.
        OLD_RUN: The worker rejected the run number because of another run of
            the task, or of an earlier stop order.
        LATE: The order arrived after the lease that it grants had expired.
        NO_ROOM: The worker has too little free capacity.
        UNHEALTHY: The worker reported that it is overloaded or unavailable.
        OTHER_INCARNATION: The reply came from another instance at the worker's
            address, which doesn't have the run.
        REJECTED: The worker rejected the order for any other reason.
        NOT_SENT: The order was not sent, so no run exists.
        NO_LEASE: The order was not sent, as the leases on the worker must not be
            extended.
        OUTDATED: The order was not sent, as it was decided too long ago or its run
            is not wanted any more.
        NO_REPLY: The order may have been received, so the run may exist.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    NO_LEASE = "no_lease"
    OUTDATED = "outdated"
    NO_REPLY = "no_reply"


class StopReply(enum.Enum):
    """Result of an order to stop a run.

    Attributes:
        STOPPED: The worker accepted the order, even if it never had the run.
        FENCED: The worker has received a higher epoch from another owner.
        OTHER_INCARNATION: The reply came from another instance at the worker's
            address, which doesn't have the run.
        NO_REPLY: The order may or may not have been received.
    """

    STOPPED = "stopped"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_incarnation"
    NO_REPLY = "no_reply"


class RunState(enum.Enum):
    """State of a run as the owner knows it.

    Attributes:
        STARTING: The start order was sent and has no reply yet.
        RUNNING: The worker has confirmed the run.
        UNCERTAIN: The start order got no reply, so the run may not exist.
        STOPPING: A stop order was sent.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    A run occupies its resources until its end is known. Times are monotonic, in
    seconds.

    Attributes:
        task: The task's name.
        number: Distinguishes the runs of a task; later runs have higher
            numbers.
        worker_id: The worker.
        resources: Resources that the run occupies.
        state: State as the owner knows it.
        sent_at: When the start order was sent. If this owner has no record of
            the order, when a poll reply first contained the run.
        expected_s: Expected run time in seconds.
        confirmed_at: When the worker confirmed the run; 0 before.
        percent: Progress at the last poll, 0 to 100.
        percent_at: When `percent` was received.
        is_orphan: Whether no job of this owner needs the run.
        claim_by: When an orphan is stopped unless a job of this owner needs it.
        next_stop_at: When the stop order is sent again.
        kind: The kind of the task, by which interference is learned; empty if
            the job is not known.
        is_start_known: Whether this owner has started the run, so that its run
            time can be measured.
        ends_by: Until when the lease is renewed at the latest, as no caller waits
            for the run; infinite while one may.
    """

    task: str
    number: int
    worker_id: str
    resources: jobs.Resources
    state: RunState
    sent_at: float
    expected_s: float
    confirmed_at: float = 0.0
    percent: float = 0.0
    percent_at: float = 0.0
    is_orphan: bool = False
    claim_by: float = 0.0
    next_stop_at: float = 0.0
    kind: str = ""
    is_start_known: bool = True
    ends_by: float = math.inf


@dataclasses.dataclass(slots=True)
class Health:
    """A worker's health, derived from the results of its runs.

    Attributes:
        failures: Consecutive failures.
        quarantined_until: The worker gets no work before this monotonic time.
        on_probation: Whether the worker gets only one task at a time.
        slowness: Moving average of measured run time divided by expected run
            time.
        failed_jobs: When a task of a job last failed on this worker, by job id.
    """

    failures: int = 0
    quarantined_until: float = 0.0
    on_probation: bool = False
    slowness: float = 1.0
    failed_jobs: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class SpeedEstimate:
    """The estimated speed of a worker; see `speeds`.

    Attributes:
        log_speed: Natural logarithm of the speed.
        evidence: Amount of evidence, in comparisons with siblings.
        reported: The speed that was last logged.
    """

    log_speed: float = 0.0
    evidence: float = 0.0
    reported: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedSpeed:
    """The speed of one worker, as one owner passes it to the next.

    Attributes:
        started_ms: Start time of the worker's process.
        log_speed: Natural logarithm of the speed.
        evidence: Amount of evidence, in comparisons with siblings.
    """

    started_ms: int
    log_speed: float
    evidence: float


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker as its owner sees it.

    Attributes:
        listing: The worker's latest published entry.
        is_listed: Whether the entry still exists.
        is_synced: Whether this owner knows the worker's runs from a poll reply.
            Reset when the worker follows another owner.
        is_reachable: Whether the worker replies to polls.
        missed_polls: Consecutive polls without a reply.
        last_missed_at: Monotonic time in seconds at which a poll last got no
            reply.
        lost_at: Monotonic time in seconds since which the worker has not been
            reachable; only meaningful while it is not.
        missed_causes: What the polls since the last reply have told about the
            worker's process.
        has_crash_recorded: Whether the end of the process, or the loss of the
            worker, has been recorded against the runs on the worker.
        is_loss_reported: Whether runs that outlast the longest lease have been
            logged since the worker was lost.
        started_ms: Process start time in the last poll reply.
        polled_clock_s: The worker's clock in the last poll reply. A reply with
            an earlier time is outdated.
        cursor: Sequence number of the last ended run that was processed.
        clock_ahead_s: The worker's clock minus the local clock.
        lease_until_s: Latest expiry of a lease granted, by the worker's clock.
        granted_until_s: The same, without leases granted by earlier owners.
        busy_until: The worker gets no starts before this monotonic time, which
            is set when it rejects a start.
        free: Capacity minus the resources of the runs; components may be
            negative.
        runs: Runs by task name.
        unclaimed_runs: The tasks of the runs that this owner has not started and
            that no job has claimed here. Another owner may still count their
            leases, so these must not be extended, nor those of the other runs.
        renumbered_runs: The tasks that the last poll reply had under another number
            than this owner. The same holds for these.
        health: Health derived from the results of the runs.
        is_evacuated: Whether the worker's data centre is taken out of use.
        warm_at: Monotonic time until which the worker is cold; see `warmup`.
        cold_start_s: For how long the workers of the service are cold after
            their start, in seconds; 0 if there is no limit.
        speed: Speed derived from the run times.
        guards_capacity: Whether the worker rejects a start that exceeds its
            capacity.
        isolated_task: The task that runs alone on the worker, or for which the
            worker is reserved; empty if there is none.
    """

    listing: Listing
    is_listed: bool = True
    is_synced: bool = False
    is_reachable: bool = False
    missed_polls: int = 0
    last_missed_at: float = float("-inf")
    lost_at: float = float("inf")
    missed_causes: frozenset[MissedPoll] = frozenset()
    has_crash_recorded: bool = False
    is_loss_reported: bool = False
    started_ms: int = 0
    polled_clock_s: float = 0.0
    cursor: int = 0
    clock_ahead_s: float = 0.0
    lease_until_s: float = 0.0
    granted_until_s: float = 0.0
    busy_until: float = 0.0
    free: jobs.Resources = jobs.Resources()
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    unclaimed_runs: set[str] = dataclasses.field(default_factory=set)
    renumbered_runs: set[str] = dataclasses.field(default_factory=set)
    health: Health = dataclasses.field(default_factory=Health)
    is_evacuated: bool = False
    warm_at: float = float("-inf")
    cold_start_s: float = 0.0
    speed: SpeedEstimate = dataclasses.field(default_factory=SpeedEstimate)
    guards_capacity: bool = True
    isolated_task: str = ""

    def __post_init__(self):
        self.free = self.listing.capacity

    def update_listing(self, listing: Listing) -> None:
        """Replace the worker's entry and adjust its free capacity."""
        gained = listing.capacity.subtract(self.listing.capacity)
        self.listing = listing
        self.free = self.free.add(gained)

    def has_foreign_runs(self) -> bool:
        """Return whether another owner may count the leases of a run."""
        return bool(self.unclaimed_runs or self.renumbered_runs)

    def has_closed_connections(self) -> bool:
        """Return whether the host has closed the connections of the process.

        If any poll since the last reply met another failure, the network may be
        the cause.
        """
        return (
            MissedPoll.CLOSED in self.missed_causes
            and MissedPoll.NO_REPLY not in self.missed_causes
        )

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task] = run
        self.free = self.free.subtract(run.resources)
        if run.is_orphan:
            self.unclaimed_runs.add(run.task)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.unclaimed_runs.discard(run.task)
            self.free = self.free.add(run.resources)


@dataclasses.dataclass(frozen=True)
class ServiceLoad:
    """The load of the workers of one service in a group.

    Attributes:
        capacity_milli: The capacity of the available workers, in thousandths of
            a core.
        free_milli: The part of it that is free.
        waiting_milli_s: The expected work of the waiting tasks, in thousandths
            of a core times seconds.
    """

    capacity_milli: int
    free_milli: int
    waiting_milli_s: float
