"""What a gateway knows of recent attempts, kept after their answers.

The log has a limited rate, and a busy gateway's lines about one job may be dropped. An
attempt whose place has become doubtful is therefore logged from these records.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging

from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.logs import record_queues
from pollenladder.service import open_jobs

LOGGER = logging.getLogger(__name__)

MAX_RECORDS = 4096
MAX_RECORD_BYTES = 4 * 1024 * 1024
# Size of a record without the job's id, in bytes.
RECORD_BYTES = 1000
# The first and last of more forwards are kept.
MAX_FORWARDS = 8
# An attempt that comes within this time after the end of an earlier one of the same
# job is told with it.
RECENT_END_S = 10.0
# A cancellation that was sent within this time before a change of the link to its
# owner may be lost.
LOST_CANCELLATION_S = 5.0
MAX_CANCELLED = 512
# A lost link may have been silent for so long before it was closed.
SILENCE_S = 3.0
# Attempts that began longer ago are not told when a link is lost.
MAX_OPEN_S = 30.0
_ENDS_BY_CANCELLATION = (jobs.Outcome.CANCELLED, jobs.Outcome.GIVEN_UP)


@dataclasses.dataclass(slots=True)
class Forward:
    """A forward of an attempt to an owner.

    Attributes:
        owner_id: The owner.
        group: The group that it was forwarded for.
        at: When, monotonic, in seconds.
    """

    owner_id: str
    group: str
    at: float


@dataclasses.dataclass(slots=True)
class State:
    """Where an attempt is, now or at its end.

    Attributes:
        owner_id: The owner that it was forwarded to last; empty if that has been
            lost since.
        owners: All owners that might execute it.
        untold: Those of them that do not know that another one has it.
        forwarded: How often it was forwarded.
        callers: Number of the requests that wait for it.
    """

    owner_id: str
    owners: frozenset[str]
    untold: tuple[str, ...]
    forwarded: int
    callers: int


@dataclasses.dataclass(slots=True)
class Record:
    """One attempt. Times are monotonic, in seconds; None if there was none.

    Attributes:
        job_id: The job.
        attempt: The attempt's number.
        arrived_at: When the attempt began.
        deadline_at: When its caller stops waiting.
        job: The attempt while it is open; its body is not kept any longer.
        forwards: To which owners it was forwarded.
        requests: How often the job was sent while the attempt was open.
        last_request_at: When it was last sent again.
        ended_at: When the attempt was answered.
        answer: Its answer.
        state_at_end: Where it was then.
        found_doubts: When each doubt came up first.
    """

    job_id: str
    attempt: int
    arrived_at: float
    deadline_at: float
    job: open_jobs.OpenJob | None
    forwards: list[Forward] = dataclasses.field(default_factory=list)
    requests: int = 1
    last_request_at: float | None = None
    ended_at: float | None = None
    answer: jobs.Answer | None = None
    state_at_end: State | None = None
    found_doubts: dict[doubts.Doubt, float] | None = None


class Records:
    """The records of one gateway.

    Attributes:
        queue: The records that are to be logged.
    """

    def __init__(self, find_doubt: Callable[[str, str], doubts.Doubt | None]):
        """Start without records.

        Args:
            find_doubt: See `gateway_callbacks`.
        """
        self.queue: record_queues.RecordQueue[Record] = (
            record_queues.RecordQueue()
        )
        self._find_doubt = find_doubt
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._cancelled: collections.deque[Record] = collections.deque(
            maxlen=MAX_CANCELLED
        )
        self._size = 0

    def __len__(self) -> int:
        return len(self._records)

    def open(self, job: open_jobs.OpenJob) -> None:
        """Record that an attempt has begun."""
        now = job.arrived_at
        job_id = job.submission.job_id
        record = Record(job_id, job.attempt, now, job.deadline_at, job)
        earlier = self._replace(record)
        if earlier is None or earlier.ended_at is None:
            return
        if now < earlier.ended_at + RECENT_END_S:
            self._add_doubt(earlier, doubts.Doubt.SECOND_ATTEMPT, now)
            self._add_doubt(record, doubts.Doubt.SECOND_ATTEMPT, now)

    def add_request(self, job: open_jobs.OpenJob, now: float) -> None:
        """Record that a job was sent again while its attempt is open."""
        record = self._find(job)
        if record is not None:
            record.requests += 1
            record.last_request_at = now
            self._add_doubt(record, doubts.Doubt.SECOND_ATTEMPT, now)

    def record_forward(
        self, job: open_jobs.OpenJob, forward: open_jobs.Forward, now: float
    ) -> None:
        """Record that an attempt is forwarded to an owner."""
        record = self._find(job)
        if record is None:
            return
        if len(record.forwards) >= MAX_FORWARDS:
            del record.forwards[1]
        record.forwards.append(Forward(job.owner_id, job.group, now))
        if forward.was_sent and job.owner_id != forward.last_owner_id:
            self._add_doubt(record, doubts.Doubt.MOVED, now)
        doubt = self._find_doubt(job.submission.job_id, job.group)
        if doubt is not None:
            self._add_doubt(record, doubt, now)

    def record_link_change(
        self, open_now: Iterable[open_jobs.OpenJob], owner_id: str, now: float
    ) -> None:
        """Record that what was on its way to an owner may be lost.

        Args:
            open_now: The open jobs.
            owner_id: The daemon whose link has changed.
            now: Monotonic time in seconds.
        """
        for job in open_now:
            if owner_id in job.group_owners or owner_id in job.moved_from:
                self._record_lost_link(self._find(job), now)
        for record in self._cancelled:
            is_recent = now < record.ended_at + LOST_CANCELLATION_S
            if is_recent and owner_id in record.state_at_end.owners:
                self._record_lost_link(record, now)

    def record_lost_peer(self, now: float) -> None:
        """Record that the link to any other daemon has changed.

        The callers of the attempts that were open since the link may have been silent
        may have returned there.
        """
        for record in reversed(self._records.values()):
            if now > record.arrived_at + MAX_OPEN_S:
                return
            if record.ended_at is not None and (
                now > record.ended_at + SILENCE_S
            ):
                continue
            doubt = doubts.Doubt.PEER_LOST
            if doubt not in (record.found_doubts or ()):
                self._add_doubt(record, doubt, now)

    def record_rejection(self, job: open_jobs.OpenJob, now: float) -> None:
        """Record that an owner says that it does not have an attempt."""
        record = self._find(job)
        if record is not None:
            self._add_doubt(record, doubts.Doubt.REJECTED, now)

    def record_end(
        self, job: open_jobs.OpenJob, answer: jobs.Answer, now: float
    ) -> None:
        """Record that an attempt was answered."""
        record = self._find(job)
        if record is None:
            return
        record.job = None
        record.ended_at = now
        record.answer = answer
        record.state_at_end = _read_state(job)
        if answer.outcome in _ENDS_BY_CANCELLATION and job.has_been_sent:
            self._cancelled.append(record)
        if answer.reason is jobs.Reason.DEADLINE and job.has_been_sent:
            self._add_doubt(record, doubts.Doubt.DEADLINE, now)
        elif record.found_doubts:
            self.queue.add(record, doubts.is_urgent(record.found_doubts))

    def write(self, now: float) -> None:
        """Log as many records as the rate allows, and how many were omitted."""
        for record in self.queue.take(now):
            try:
                _log_record(record, now)
            except Exception:
                logs.log_failure(LOGGER, "attempt_records", record.job_id)
        omitted = self.queue.take_omitted()
        if omitted:
            logs.log(LOGGER, "attempt_records_omitted", records=omitted)

    def _find(self, job: open_jobs.OpenJob) -> Record | None:
        """Return the record of an attempt, or None if it is no longer kept."""
        record = self._records.get(job.submission.job_id)
        if record is None or record.attempt != job.attempt:
            return None
        return record

    def _replace(self, record: Record) -> Record | None:
        """Add the latest record of a job; return the one before, or None."""
        job_id = record.job_id
        earlier = self._records.pop(job_id, None)
        if earlier is None:
            self._size += RECORD_BYTES + len(job_id)
        self._records[job_id] = record
        while len(self._records) > MAX_RECORDS or self._size > MAX_RECORD_BYTES:
            oldest_id, _ = self._records.popitem(last=False)
            self._size -= RECORD_BYTES + len(oldest_id)
        return earlier

    def _record_lost_link(self, record: Record | None, now: float) -> None:
        doubt = doubts.Doubt.LINK_CHANGED
        if record is not None and doubt not in (record.found_doubts or ()):
            self._add_doubt(record, doubt, now)

    def _add_doubt(
        self, record: Record, doubt: doubts.Doubt, now: float
    ) -> None:
        """Add a doubt about an attempt, so that it is logged."""
        if record.found_doubts is None:
            record.found_doubts = {}
        record.found_doubts.setdefault(doubt, now)
        self.queue.add(record, doubts.is_urgent(record.found_doubts))


def _read_state(job: open_jobs.OpenJob) -> State:
    return State(
        job.owner_id,
        frozenset(job.group_owners),
        tuple(open_jobs.list_untold_owners(job)),
        job.times_forwarded,
        len(job.waiters),
    )


def _log_record(record: Record, now: float) -> None:
    job = record.job
    state = record.state_at_end or _read_state(job)
    answer = record.answer
    logs.log(
        LOGGER,
        "attempt_at_gateway",
        job=record.job_id,
        attempt=record.attempt,
        doubts=doubts.format_doubts(record.found_doubts, now),
        arrived_ago_s=doubts.format_age(record.arrived_at, now),
        deadline_left_s=round(record.deadline_at - now, 3),
        requests=record.requests,
        last_request_ago_s=doubts.format_age(record.last_request_at, now),
        callers=state.callers,
        callers_left=open_jobs.have_callers_left(job) if job else None,
        forwards=[
            (forward.owner_id, forward.group, round(now - forward.at, 3))
            for forward in record.forwards
        ],
        forwarded=state.forwarded,
        owner=state.owner_id,
        owners_not_told=state.untold,
        ended_ago_s=doubts.format_age(record.ended_at, now),
        outcome=answer.outcome.value if answer else None,
        reason=answer.reason.value if answer else None,
    )
