"""What an owner knows of recent attempts, kept after their jobs have ended.

The log has a limited rate, and a busy owner's lines about one job may be dropped. These
records are in memory, and `attempt_doubts` decides which of them are logged.
"""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import doubts
from pollenladder.logs import record_queues

MAX_RECORDS = 4096
MAX_RECORD_BYTES = 4 * 1024 * 1024
# Size of a record with one attempt, without the job's id, in bytes.
RECORD_BYTES = 1000
MAX_ATTEMPTS_PER_JOB = 16
# Number of ended jobs of which the runs that are left are watched.
MAX_WATCHED = 1000


class Origin(enum.Enum):
    """How an attempt came to an owner.

    Attributes:
        NEW: No owner can have had it.
        FORWARDED_AGAIN: Another owner may have begun it.
        JOINED: Its job was in progress for another attempt.
        ANSWERED: It was answered at once, as its job had ended or may run elsewhere.
        UNKNOWN: Only runs of the job were found.
    """

    NEW = "new"
    FORWARDED_AGAIN = "forwarded_again"
    JOINED = "joined"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One attempt. Times are monotonic, in seconds; None if there was none.

    Attributes:
        number: The attempt's number; 0 if it is unknown.
        gateway_id: The daemon that has forwarded it; empty if it is unknown.
        origin: How it came to the owner.
        arrived_at: When it came to the owner.
        forwarded_at: When it was last forwarded to the owner.
        removed_at: When it was removed from its job.
        removal: Why it was removed.
        heard_at: When its gateway had last been heard before its removal.
        found_doubts: When each doubt came up first.
    """

    number: int
    gateway_id: str
    origin: Origin
    arrived_at: float
    forwarded_at: float
    removed_at: float | None = None
    removal: str | None = None
    heard_at: float | None = None
    found_doubts: dict[doubts.Doubt, float] | None = None


@dataclasses.dataclass(slots=True)
class JobRecord:
    """A job and its attempts. Times are monotonic, in seconds.

    Attributes:
        job_id: The job.
        epoch: The owner's epoch.
        added_at: When the record was added.
        attempts: All attempts by number, also those that were removed.
        starts: Number of the runs that the owner has started.
        first_start_at: When it started the first of them.
        first_worker: Worker of that run.
        first_run: Number of that run.
        last_start_at: When it started the last of them.
        last_worker: Worker of that run.
        last_run: Number of that run.
        lease_until: Until when the owner has granted leases to the job's runs, as far
            as is known.
        runs_over_at: When no run of the job was left, after it had ended.
        ended_at: When the job ended here.
        outcome: How it ended.
        reason: Reason for the outcome.
    """

    job_id: str
    epoch: int
    added_at: float
    attempts: dict[int, AttemptRecord]
    starts: int = 0
    first_start_at: float | None = None
    first_worker: str | None = None
    first_run: int | None = None
    last_start_at: float | None = None
    last_worker: str | None = None
    last_run: int | None = None
    lease_until: float | None = None
    runs_over_at: float | None = None
    ended_at: float | None = None
    outcome: str | None = None
    reason: str | None = None

    def is_doubtful(self) -> bool:
        """Return whether there has been a doubt about any attempt."""
        return any(a.found_doubts for a in self.attempts.values())

    def is_urgent(self) -> bool:
        """Return whether a doubt about any attempt is told at once."""
        return any(
            doubts.is_urgent(a.found_doubts) for a in self.attempts.values()
        )


class AttemptRecords:
    """The records of one owner.

    Attributes:
        queue: The records that are to be logged.
        watched: Records of ended jobs with runs that are left, by job id.
        latest_at: When a job was last admitted or maintenance last ran.
    """

    def __init__(self):
        self.queue: record_queues.RecordQueue[JobRecord] = (
            record_queues.RecordQueue()
        )
        self.watched: dict[str, JobRecord] = {}
        self.latest_at = 0.0
        self._records: collections.OrderedDict[str, JobRecord] = (
            collections.OrderedDict()
        )
        self._size = 0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, job_id: str) -> JobRecord | None:
        """Return the latest record of a job, or None."""
        return self._records.get(job_id)

    def add(self, record: JobRecord) -> None:
        """Add the record of a job, replacing an earlier one of the same job."""
        job_id = record.job_id
        if self._records.pop(job_id, None) is None:
            self._size += RECORD_BYTES + len(job_id)
        self._records[job_id] = record
        while len(self._records) > MAX_RECORDS or self._size > MAX_RECORD_BYTES:
            oldest_id, _ = self._records.popitem(last=False)
            self._size -= RECORD_BYTES + len(oldest_id)

    def list_added_since(self, since: float) -> Iterator[JobRecord]:
        """Yield the records that were added since a time, the latest first."""
        for record in reversed(self._records.values()):
            if record.added_at < since:
                return
            yield record

    def watch_runs(self, record: JobRecord) -> None:
        """Watch when the last run of an ended job is over."""
        if len(self.watched) < MAX_WATCHED:
            self.watched[record.job_id] = record

    def add_doubt(
        self,
        record: JobRecord,
        attempt: AttemptRecord,
        doubt: doubts.Doubt,
        now: float,
    ) -> None:
        """Add a doubt about an attempt, so that it is logged."""
        if attempt.found_doubts is None:
            attempt.found_doubts = {}
        attempt.found_doubts.setdefault(doubt, now)
        self.queue.add(record, record.is_urgent())

    def tell_change(self, record: JobRecord) -> None:
        """Log a record again if there is a doubt, unless it can wait for more."""
        if not record.is_doubtful():
            return
        is_urgent = record.is_urgent()
        if is_urgent or record.job_id not in self.watched:
            self.queue.add(record, is_urgent)

    def add_job_doubt(
        self, record: JobRecord, doubt: doubts.Doubt, now: float
    ) -> None:
        """Add a doubt about all attempts of a job."""
        for attempt in record.attempts.values():
            self.add_doubt(record, attempt, doubt, now)


def add_attempt(record: JobRecord, attempt: AttemptRecord) -> None:
    """Add an attempt of a job; the first ones are forgotten if there are many."""
    while len(record.attempts) >= MAX_ATTEMPTS_PER_JOB:
        del record.attempts[next(iter(record.attempts))]
    record.attempts[attempt.number] = attempt


def record_start(record: JobRecord, run: fleet.Run) -> None:
    """Record that the owner starts a run of a job."""
    record.starts += 1
    if record.starts == 1:
        record.first_start_at = run.sent_at
        record.first_worker = run.worker_id
        record.first_run = run.number
    record.last_start_at = run.sent_at
    record.last_worker = run.worker_id
    record.last_run = run.number
