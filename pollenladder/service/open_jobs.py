"""Jobs that a gateway has accepted and not answered yet."""

from collections.abc import Callable
import dataclasses
import enum
import math
import random

from gevent import event

from pollenladder.jobs import entities as jobs

# Attempts are numbered with so many random bits, which messages can carry.
ATTEMPT_BITS = 52

# Returns whether a caller has closed its connection.
CallerCheck = Callable[[], bool]


def draw_attempt() -> int:
    """Return a random number for an attempt, more than 0."""
    return random.getrandbits(ATTEMPT_BITS) + 1


def never_leaves() -> bool:
    """Return False, for a caller whose connection is not known."""
    return False


class ForwardKind(enum.Enum):
    """What the next forward of a job is to its owner.

    Attributes:
        FIRST: No owner has had the job.
        CONFIRMATION: The owner had it last; their link has changed since.
        REPEAT: Another owner had it last.
    """

    FIRST = "first"
    CONFIRMATION = "confirmation"
    REPEAT = "repeat"


class Knowledge(enum.Enum):
    """What a gateway knows about earlier attempts of a job.

    Attributes:
        NONE: The registrar has not answered.
        FIRST: No other group may have the job.
        ELSEWHERE: The job has to go to the group that the registrar has named.
    """

    NONE = "none"
    FIRST = "first"
    ELSEWHERE = "elsewhere"


@dataclasses.dataclass
class PlaceRequest:
    """What the registrar of a job was asked and has told.

    Attributes:
        registrar: The group whose owner is the registrar; "" before it was asked.
        registrar_id: The daemon that was asked or told last; "" if none was, or if
            what was sent may be lost.
        group: The group that it knows the job to be in, as this gateway has told it.
        asked_at: When it was first asked.
        knowledge: What it has told.
    """

    registrar: str = ""
    registrar_id: str = ""
    group: str = ""
    asked_at: float = math.inf
    knowledge: Knowledge = Knowledge.NONE


@dataclasses.dataclass
class OpenJob:
    """A job that has no answer yet, which is one attempt of its caller.

    Attributes:
        submission: The job as the caller submitted it.
        arrived_at: When the job arrived.
        deadline_at: When the caller stops waiting.
        group: The group of workers that the job is for; "" if there is none.
        place: What its registrar has told about the job.
        passed_over: The groups that the job would have gone to first, which had
            no owner.
        refused_by: The groups that have refused the job.
        told_elsewhere: The owners that know that the job may run in another group
            than theirs, by the name of their group.
        capacity_at: The earliest time at which one of these groups expects to
            have capacity for the job.
        may_run_elsewhere: Whether workers of another group may run the job.
        owner_id: The owner that the job was forwarded to; "" if there is none.
        last_owner_id: The owner that the job was forwarded to last, also after
            its link has changed.
        group_owners: The owners that the job was forwarded to since a group last
            refused it, without those in `moved_from`. Any of them that has not
            resigned may execute it.
        moved_from: The earlier owners that were told, over their present link,
            that another one has the job.
        has_been_sent: Whether the job was sent to an owner, which may have
            begun it.
        first_run: The first run number for the next forward; see
            `jobs.Submission`.
        crashes: What owners have told about crashes under the job's tasks.
        times_forwarded: How often the job was forwarded, to any owner of its
            group.
        waiters: For each request that waits for the answer, whether its caller
            has left.
        answered: Set once there is an answer.
        answer: The answer, or None.
    """

    submission: jobs.Submission
    arrived_at: float
    deadline_at: float
    group: str = ""
    place: PlaceRequest = dataclasses.field(default_factory=PlaceRequest)
    passed_over: tuple[str, ...] = ()
    refused_by: frozenset[str] = frozenset()
    told_elsewhere: dict[str, str] = dataclasses.field(default_factory=dict)
    capacity_at: float = math.inf
    may_run_elsewhere: bool = False
    owner_id: str = ""
    last_owner_id: str = ""
    group_owners: set[str] = dataclasses.field(default_factory=set)
    moved_from: set[str] = dataclasses.field(default_factory=set)
    has_been_sent: bool = False
    first_run: int = 1
    crashes: tuple[jobs.TaskCrashes, ...] = ()
    times_forwarded: int = 0
    waiters: list[CallerCheck] = dataclasses.field(default_factory=list)
    answered: event.Event = dataclasses.field(default_factory=event.Event)
    answer: jobs.Answer | None = None

    @property
    def attempt(self) -> int:
        """Number of the attempt."""
        return self.submission.attempt

    def build_answer(
        self,
        outcome: jobs.Outcome,
        reason: jobs.Reason,
        retry_after_s: float = 0.0,
    ) -> jobs.Answer:
        """Return an answer of this gateway for the attempt."""
        job_id = self.submission.job_id
        return jobs.Answer(job_id, self.attempt, outcome, reason, retry_after_s)


def may_be_reassigned(job: OpenJob) -> bool:
    """Return whether a job may go to another group, as it was not sent to one."""
    is_elsewhere = job.place.knowledge is Knowledge.ELSEWHERE
    return not job.has_been_sent and not is_elsewhere


def may_follow_unknown_attempt(job: OpenJob) -> bool:
    """Return whether an earlier attempt may be in a group that was passed over."""
    if job.place.knowledge is not Knowledge.NONE or job.refused_by:
        return False
    return bool(job.passed_over) and not job.has_been_sent


def have_callers_left(job: OpenJob) -> bool:
    """Return whether all callers have closed their connections."""
    return all(has_left() for has_left in job.waiters)


def classify_forward(job: OpenJob, owner_id: str) -> ForwardKind:
    """Return what the forward of a job to an owner would be."""
    if not job.has_been_sent:
        return ForwardKind.FIRST
    if owner_id == job.last_owner_id:
        return ForwardKind.CONFIRMATION
    return ForwardKind.REPEAT


def build_forward(job: OpenJob, now: float) -> jobs.Submission:
    """Return a job as it is sent to its next owner."""
    return dataclasses.replace(
        job.submission,
        age_s=now - job.arrived_at,
        budget_s=job.deadline_at - now,
        may_have_begun=job.has_been_sent,
        first_run=job.first_run,
        may_run_elsewhere=job.may_run_elsewhere,
        crashes=job.crashes,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """What a forward has changed in the record of a job, so that it can be undone.

    Attributes:
        group: The group of the job.
        first_run: The first run number of the forward.
        was_sent: Whether the job had been sent to an owner before.
        last_owner_id: The owner that the job was forwarded to before.
    """

    group: str
    first_run: int
    was_sent: bool
    last_owner_id: str


def record_forward(job: OpenJob, owner_id: str) -> Forward:
    """Record that a job is sent to an owner, which may begin it."""
    forward = Forward(
        job.group, job.first_run, job.has_been_sent, job.last_owner_id
    )
    job.owner_id = owner_id
    job.last_owner_id = owner_id
    job.group_owners.add(owner_id)
    job.moved_from.discard(owner_id)
    job.has_been_sent = True
    job.first_run += jobs.RUN_NUMBERS_PER_FORWARD
    job.times_forwarded += 1
    return forward


def undo_forward(job: OpenJob, forward: Forward) -> None:
    """Undo the record of a forward that could not be sent.

    If the job was forwarded to another group meanwhile, its record is kept.
    """
    next_first_run = forward.first_run + jobs.RUN_NUMBERS_PER_FORWARD
    if job.group != forward.group or job.first_run != next_first_run:
        return
    job.owner_id = ""
    job.last_owner_id = forward.last_owner_id
    if not forward.was_sent:
        job.group_owners.clear()
    job.has_been_sent = forward.was_sent
    job.first_run = forward.first_run
    job.times_forwarded -= 1


def list_untold_owners(job: OpenJob) -> list[str]:
    """Return the earlier owners that do not know yet that another one has a job."""
    if not job.owner_id or len(job.group_owners) == 1:
        return []
    return sorted(job.group_owners - {job.owner_id})


def record_told(job: OpenJob, owner_id: str) -> None:
    """Record that an earlier owner was told that another one has a job."""
    job.group_owners.discard(owner_id)
    job.moved_from.add(owner_id)


def record_link_change(job: OpenJob, daemon_id: str) -> None:
    """Record that what was on its way to a daemon may be lost."""
    if job.owner_id == daemon_id:
        job.owner_id = ""
    if job.place.registrar_id == daemon_id:
        job.place.registrar_id = ""
    for group, owner_id in list(job.told_elsewhere.items()):
        if owner_id == daemon_id:
            del job.told_elsewhere[group]
    if daemon_id in job.moved_from:
        job.moved_from.discard(daemon_id)
        job.group_owners.add(daemon_id)


def record_groups_change(
    job: OpenJob, passed_over: tuple[str, ...], registrar: str
) -> None:
    """Record where another attempt of a job may arrive by a new layout.

    Args:
        job: The job.
        passed_over: The groups that it would go to first, before its group.
        registrar: Its registrar.
    """
    job.passed_over = passed_over
    if job.place.registrar != registrar:
        job.place.registrar_id = ""


def list_groups_to_tell(job: OpenJob) -> list[str]:
    """Return the groups in which another attempt of a job may arrive."""
    if not job.has_been_sent:
        return []
    return sorted({*job.passed_over, *job.refused_by} - {job.group})


def assign_next_group(job: OpenJob, group: str) -> None:
    """Assign a job to a group, after all groups that had it have refused it."""
    job.group = group
    job.owner_id = ""
    job.group_owners = set()
    job.moved_from = set()
    job.has_been_sent = False
    job.times_forwarded = 0


def record_refusal(job: OpenJob, answer: jobs.Answer, now: float) -> None:
    """Record that the group that a job was sent to has refused it."""
    job.refused_by |= {job.group}
    job.told_elsewhere[job.group] = job.owner_id
    job.capacity_at = min(job.capacity_at, now + answer.retry_after_s)


def combine_refusals(
    job: OpenJob, answer: jobs.Answer, now: float
) -> jobs.Answer:
    """Return the refusal for the caller of a job.

    The caller may return to any gateway, and its job may then run in any group.
    It may thus return once the first of the groups that were asked expects to
    have capacity, not the one that happened to be asked last.
    """
    if not math.isfinite(job.capacity_at):
        return answer
    wait_s = max(0.0, job.capacity_at - now)
    return dataclasses.replace(answer, retry_after_s=wait_s)
