"""Callers' jobs: taken in, handed to the owner, and answered."""

from collections.abc import Callable
import dataclasses
import logging
import math

import gevent
from gevent import event

from pollenladder.cluster import shedding
from pollenladder.core import clocks
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs

LOGGER = logging.getLogger(__name__)

# Each time a job is handed to another owner, its runs get higher numbers.
RUN_NUMBERS_PER_FORWARD = 32
SWEEP_INTERVAL_S = 0.03
RETRY_AFTER_WITHOUT_OWNER_S = 1.0
RETRY_AFTER_SHED_S = 1.0
# Part of the time in which a job should be answered.
OWNER_WAIT_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Whom the gateway tells.

    Attributes:
        find_owner: Returns the id of the daemon that schedules, or "".
        get_shed_share: Returns the share of new jobs that it does not take.
        submit: Hands a job to a daemon; returns whether it may arrive.
        cancel: Tells a daemon that a job is not wanted.
        on_answered: Called with a job's queue, its answer, and how long it
            took in seconds.
    """

    find_owner: Callable[[], str]
    get_shed_share: Callable[[], float]
    submit: Callable[[str, jobs.Submission], bool]
    cancel: Callable[[str, str, jobs.Reason], None]
    on_answered: Callable[[str, jobs.Answer, float], None]


@dataclasses.dataclass
class OpenJob:
    """A job whose caller waits.

    Attributes:
        submission: As the caller sent it.
        came_at: When it came.
        gives_up_at: The caller waits no longer.
        patience_s: It is refused if no owner has taken it for so long.
        owner_id: The owner that it was handed to; "" if none has it.
        has_been_sent: Whether any owner may have begun it.
        first_run: See `jobs.Submission`.
        times_handed_on: To owners, each time counted.
        waiters: Requests that wait for the answer.
        answered: Set once there is an answer.
        answer: The answer.
    """

    submission: jobs.Submission
    arrived_at: float
    deadline_at: float
    owner_wait_limit_s: float
    owner_id: str = ""
    has_been_sent: bool = False
    first_run: int = 1
    times_forwarded: int = 0
    waiters: int = 0
    answered: event.Event = dataclasses.field(default_factory=event.Event)
    answer: jobs.Answer | None = None


class Gateway:
    """The jobs whose callers are connected to this daemon.

    Attributes:
        open: Jobs without an answer, by id.
    """

    def __init__(self, callbacks: Callbacks, clock: clocks.Clock):
        self.open_jobs: dict[str, OpenJob] = {}
        self._callbacks = callbacks
        self._clock = clock
        self._has_open_jobs = event.Event()

    def submit(self, submission: jobs.Submission) -> OpenJob:
        """Take a job in; one that is known gets another waiter."""
        job_id = submission.job_id
        job = self.open_jobs.get(job_id)
        if job is None:
            now = self._clock()
            job = OpenJob(
                submission=submission,
                arrived_at=now,
                deadline_at=now + submission.budget_s,
                owner_wait_limit_s=_compute_owner_wait_limit_s(submission),
            )
            self.open_jobs[job_id] = job
            self._has_open_jobs.set()
            if shedding.is_shed(job_id, self._callbacks.get_shed_share()):
                reason = jobs.Reason.OWNER_BUSY
                self._refuse(job, reason, RETRY_AFTER_SHED_S)
                return job
            self._forward(job)
        job.waiters += 1
        return job

    def remove_waiter(self, job: OpenJob) -> None:
        """Note that a waiting caller is gone."""
        job.waiters -= 1
        if job.waiters or job.answer is not None:
            return
        self._cancel(job, jobs.Reason.CALLER_LEFT)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job for its caller; return whether it waits here."""
        job = self.open_jobs.get(job_id)
        if job is None:
            return False
        self._cancel(job, jobs.Reason.CALLER_CANCELLED)
        return True

    def handle_answer(self, answer: jobs.Answer, sender: str) -> None:
        """Pass an owner's answer on to whoever waits.

        That a job has not begun counts only as long as it was handed on once,
        from the owner that has it: another one may have begun it since, or the
        same one when it came again.
        """
        job = self.open_jobs.get(answer.job_id)
        if job is None:
            logs.log(
                LOGGER,
                "answer_without_caller",
                job=answer.job_id,
                outcome=answer.outcome.value,
            )
            return
        is_refusal = answer.outcome is jobs.Outcome.REFUSED
        is_from_another = bool(job.owner_id) and sender != job.owner_id
        if is_refusal and (is_from_another or job.times_forwarded > 1):
            logs.log(
                LOGGER,
                "refusal_ignored",
                job=answer.job_id,
                sender=sender,
                owner=job.owner_id,
                times_handed_on=job.times_forwarded,
            )
            return
        self._finish(job, answer)

    def handle_not_owner(self, job_id: str) -> None:
        """Note that a daemon was not the owner and has not begun a job."""
        job = self.open_jobs.get(job_id)
        if job is not None:
            job.owner_id = ""

    def forward_open_jobs(self) -> None:
        """Hand all jobs to the owner of now, if it has not got them."""
        for job in list(self.open_jobs.values()):
            self._forward(job)

    def handle_link_lost(self, daemon_id: str) -> None:
        """Note that the link to a daemon has ended."""
        for job in self.open_jobs.values():
            if job.owner_id == daemon_id:
                job.owner_id = ""

    def run(self) -> None:
        """Answer the jobs that no owner has taken in time, for ever."""
        while True:
            self._has_open_jobs.wait()
            gevent.sleep(SWEEP_INTERVAL_S)
            self.forward_open_jobs()
            self.expire(self._clock())
            if not self.open_jobs:
                self._has_open_jobs.clear()

    def _forward(self, job: OpenJob) -> None:
        owner_id = self._callbacks.find_owner()
        if not owner_id or job.owner_id == owner_id or job.answer is not None:
            return
        now = self._clock()
        submission = dataclasses.replace(
            job.submission,
            age_s=now - job.arrived_at,
            budget_s=job.deadline_at - now,
            may_have_begun=job.has_been_sent,
            first_run=job.first_run,
        )
        # Before the call, which may answer at once.
        was_sent = job.has_been_sent
        job.owner_id = owner_id
        job.has_been_sent = True
        if not self._callbacks.submit(owner_id, submission):
            job.owner_id = ""
            job.has_been_sent = was_sent
            return
        job.first_run += RUN_NUMBERS_PER_FORWARD
        job.times_forwarded += 1
        if was_sent:
            logs.log(
                LOGGER,
                "job_handed_on_again",
                job=submission.job_id,
                owner=owner_id,
                age_s=round(submission.age_s, 3),
            )

    def expire(self, now: float) -> None:
        """Answer the jobs that no owner has taken in time."""
        for job in list(self.open_jobs.values()):
            waited_s = now - job.arrived_at
            if now >= job.deadline_at:
                self._give_up(job, jobs.Reason.DEADLINE)
            elif not job.has_been_sent and waited_s > job.owner_wait_limit_s:
                reason = jobs.Reason.NO_OWNER
                self._refuse(job, reason, RETRY_AFTER_WITHOUT_OWNER_S)

    def _refuse(
        self, job: OpenJob, reason: jobs.Reason, retry_after_s: float
    ) -> None:
        """Answer that a job has not run; no owner has been given it."""
        job_id = job.submission.job_id
        outcome = jobs.Outcome.REFUSED
        self._finish(job, jobs.Answer(job_id, outcome, reason, retry_after_s))

    def _give_up(self, job: OpenJob, reason: jobs.Reason) -> None:
        outcome = jobs.Outcome.GIVEN_UP
        if job.owner_id:
            self._callbacks.cancel(job.owner_id, job.submission.job_id, reason)
        self._finish(job, jobs.Answer(job.submission.job_id, outcome, reason))

    def _cancel(self, job: OpenJob, reason: jobs.Reason) -> None:
        job_id = job.submission.job_id
        if job.owner_id:
            self._callbacks.cancel(job.owner_id, job_id, reason)
        self._finish(job, jobs.Answer(job_id, jobs.Outcome.CANCELLED, reason))

    def _finish(self, job: OpenJob, answer: jobs.Answer) -> None:
        self.open_jobs.pop(answer.job_id, None)
        job.answer = answer
        job.answered.set()
        took_s = self._clock() - job.arrived_at
        self._callbacks.on_answered(job.submission.queue, answer, took_s)
        logs.log(
            LOGGER,
            "job_answered",
            job=answer.job_id,
            queue=job.submission.queue,
            outcome=answer.outcome.value,
            reason=answer.reason.value,
            owner=job.owner_id,
            took_s=round(took_s, 4),
            retry_after_s=round(answer.retry_after_s, 3),
        )


def _compute_owner_wait_limit_s(submission: jobs.Submission) -> float:
    """Return how long a job may wait for an owner, in seconds.

    An owner that was killed is replaced well within it; one that went silent
    is not, and then a late refusal is of no use to the caller.
    """
    allowed_s = submission.stretch * submission.estimate_s + submission.slack_s
    return OWNER_WAIT_SHARE * allowed_s


def format_retry_after(retry_after_s: float) -> str:
    """Return whole seconds, at least one, as the header allows no others."""
    return str(max(1, math.ceil(retry_after_s)))
