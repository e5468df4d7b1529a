"""Workers and the runs on them."""

import dataclasses
import enum

from pollenladder.jobs import entities as jobs


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A worker as it describes itself to the others.

    Attributes:
        worker_id: Its id.
        address: IP number and port.
        data_centre: Where it is.
        service: The service that it belongs to.
        capacity: What it has.
        is_draining: Whether it is about to leave.
    """

    worker_id: str
    address: tuple[str, int]
    data_centre: str
    service: str
    capacity: jobs.Resources
    is_draining: bool


class RunEnd(enum.Enum):
    """How a run ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRun:
    """A run that a worker reports to be in progress.

    Attributes:
        task: The task's name.
        number: The run's number.
        percent: How much of it is done, 0 to 100.
    """

    task: str
    number: int
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedEnd:
    """A run that a worker reports to have ended.

    Attributes:
        sequence: Its place in the worker's list of ends.
        task: The task's name.
        number: The run's number.
        end: How it ended.
    """

    sequence: int
    task: str
    number: int
    end: RunEnd


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """What a worker has said about all its runs.

    Attributes:
        clock_s: The worker's own steady clock.
        started_ms: When the worker's process started; another value means that
            it knows nothing of what came before.
        running: Runs in progress.
        ended: Runs that ended and have not been acknowledged.
    """

    clock_s: float
    started_ms: int
    running: tuple[ObservedRun, ...]
    ended: tuple[ObservedEnd, ...]


class StartReply(enum.Enum):
    """What became of an order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    NO_REPLY = "no_reply"


class StopReply(enum.Enum):
    """What became of an order to stop a run."""

    STOPPED = "stopped"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_incarnation"
    NO_REPLY = "no_reply"


class RunState(enum.Enum):
    """What is known of a run.

    STARTING: the order is on its way. RUNNING: the worker has confirmed it.
    UNCERTAIN: the order got no reply. STOPPING: a stop is on its way.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker; it takes room until its end is known.

    Attributes:
        task: The task's name.
        number: Tells it from other runs of the task.
        worker_id: The worker.
        resources: What it takes.
        state: What is known of it.
        sent_at: When its start was sent, or when it was first seen.
        confirmed_at: When the worker confirmed it.
        expected_s: Its expected run time.
        percent: How much of it was done at the last look.
        seen_at: When that was.
        is_orphan: Whether no job here wants it.
        next_stop_at: When its stop is sent again.
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
    seen_at: float = 0.0
    is_orphan: bool = False
    next_stop_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Health:
    """What the outcomes of a worker's runs say about it.

    Attributes:
        failures: Failures in a row.
        quarantined_until: It gets no work before.
        on_probation: Whether it gets one task at a time.
        slowness: Running mean of measured by expected run time.
        failed_jobs: Jobs whose task failed here last, by job id.
    """

    failures: int = 0
    quarantined_until: float = 0.0
    on_probation: bool = False
    slowness: float = 1.0
    failed_jobs: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker under this owner.

    Attributes:
        listing: How it describes itself.
        is_listed: Whether it is still listed.
        is_synced: Whether this owner has seen its runs.
        is_reachable: Whether the last look came back.
        missed_polls: Looks without a reply, in a row.
        missed_at: When a look last got no reply.
        started_ms: The incarnation that was last seen.
        looked_at_s: When it was last seen, by its own clock.
        cursor: The last end that has been taken note of.
        clock_ahead_s: The worker's clock less the local one.
        lease_until_s: The longest lease granted, by the worker's clock.
        busy_until: It had no room for a start that should have fitted.
        free: What its runs leave; parts of it may be negative.
        runs: Runs by task name.
        health: How sound it is.
    """

    listing: Listing
    is_listed: bool = True
    is_synced: bool = False
    is_reachable: bool = False
    missed_polls: int = 0
    missed_at: float = float("-inf")
    started_ms: int = 0
    looked_at_s: float = 0.0
    cursor: int = 0
    clock_ahead_s: float = 0.0
    lease_until_s: float = 0.0
    busy_until: float = 0.0
    free: jobs.Resources = jobs.Resources()
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    health: Health = dataclasses.field(default_factory=Health)

    def __post_init__(self):
        self.free = self.listing.capacity

    def take_listing(self, listing: Listing) -> None:
        """Take how the worker describes itself now."""
        gained = listing.capacity.minus(self.listing.capacity)
        self.listing = listing
        self.free = self.free.plus(gained)

    def add_run(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.resources)

    def remove_run(self, run: Run) -> None:
        """Give back the room of a run."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.free = self.free.plus(run.resources)
