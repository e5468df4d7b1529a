"""Accept the jobs of callers, forward them to the owner, and answer them."""

from collections.abc import Callable
import dataclasses
import logging
import math

import gevent
from gevent import event

from pollenladder.cluster import messages
from pollenladder.cluster import shedding
from pollenladder.core import clocks
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.scheduling import group_retries
from pollenladder.scheduling import home_groups
from pollenladder.scheduling import owner_waits
from pollenladder.service import attempt_cancellations
from pollenladder.service import elsewhere_notes
from pollenladder.service import gateway_callbacks
from pollenladder.service import gateway_events
from pollenladder.service import gateway_records
from pollenladder.service import open_jobs
from pollenladder.service import place_requests
from pollenladder.wire import exceptions

LOGGER = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.03
RETRY_AFTER_WITHOUT_OWNER_S = 1.0
RETRY_AFTER_SHED_S = 1.0
RETRY_AFTER_STOP_S = 1.0
# Most jobs that a gateway forwards again in one sweep, so that a new owner does
# not get the jobs of all gateways at once.
MAX_REPEATS_PER_SWEEP = 8
# The same for an owner that had the jobs last. It removes those that are not
# forwarded within `gateway_links.CONFIRMATION_S` of a new link.
MAX_CONFIRMATIONS_PER_SWEEP = 32
_MAX_FORWARDS = {
    open_jobs.ForwardKind.FIRST: math.inf,
    open_jobs.ForwardKind.CONFIRMATION: MAX_CONFIRMATIONS_PER_SWEEP,
    open_jobs.ForwardKind.REPEAT: MAX_REPEATS_PER_SWEEP,
}


class Gateway:
    """The jobs whose callers are connected to this daemon.

    Attributes:
        open_jobs: The jobs without an answer, by id.
    """

    def __init__(
        self,
        callbacks: gateway_callbacks.Callbacks,
        clock: clocks.Clock,
        draw_attempt: Callable[[], int] = open_jobs.draw_attempt,
        resubmission_s: float = 0.0,
        absence_s: float = 0.0,
    ):
        """Use the daemon's components.

        Args:
            callbacks: The functions of other components.
            clock: Returns the monotonic time in seconds.
            draw_attempt: Returns a new number for an attempt.
            resubmission_s: Time after which a caller submits its job again.
            absence_s: For how long runs may go on without a gateway; see
                `home_groups`.
        """
        self.open_jobs: dict[str, open_jobs.OpenJob] = {}
        self._callbacks = callbacks
        self._clock = clock
        self._draw_attempt = draw_attempt
        self._resubmission_s = resubmission_s
        self._absence_s = absence_s
        self._silent_registrars = place_requests.SilentRegistrars()
        self._ended_jobs = elsewhere_notes.EndedJobs(self._silent_registrars)
        self._has_open_jobs = event.Event()
        self._records = gateway_records.Records(callbacks.find_doubt)

    def submit(
        self,
        submission: jobs.Submission,
        has_left: open_jobs.CallerCheck = open_jobs.never_leaves,
    ) -> open_jobs.OpenJob:
        """Accept a job, or add a waiter to the open job with its id.

        A new job may be refused at once while the owner is overloaded.

        Args:
            submission: The job.
            has_left: Returns whether its caller has closed the connection.
        """
        job = self.open_jobs.get(submission.job_id)
        if job is not None:
            job.waiters.append(has_left)
            self._records.add_request(job, self._clock())
            return job
        job = self._open(submission, has_left)
        if shedding.is_shed(
            submission.job_id, self._callbacks.get_shed_share(job.group)
        ):
            self._refuse(job, jobs.Reason.OWNER_BUSY, RETRY_AFTER_SHED_S)
        else:
            self._forward(job)
        return job

    def _open(
        self, submission: jobs.Submission, has_left: open_jobs.CallerCheck
    ) -> open_jobs.OpenJob:
        """Begin an attempt of a job."""
        now = self._clock()
        may_be_late = group_retries.may_be_late_at_first(
            self._callbacks.count_groups()
        )
        job = open_jobs.OpenJob(
            submission=dataclasses.replace(
                submission,
                may_be_late=may_be_late,
                attempt=self._draw_attempt(),
            ),
            arrived_at=now,
            deadline_at=now + submission.budget_s,
            waiters=[has_left],
        )
        self.open_jobs[submission.job_id] = job
        self._records.open(job)
        self._has_open_jobs.set()
        self._assign_group(job)
        return job

    def remove_waiter(
        self,
        job: open_jobs.OpenJob,
        has_left: open_jobs.CallerCheck = open_jobs.never_leaves,
    ) -> None:
        """Remove a waiter; cancel the attempt when none is left."""
        job.waiters.remove(has_left)
        if not job.waiters and job.answer is None:
            self._cancel(job, jobs.Reason.CALLER_LEFT)

    def cancel(self, job_id: str) -> bool:
        """Cancel an open job and answer it, as its caller has requested.

        Returns:
            Whether the job is open here.
        """
        job = self.open_jobs.get(job_id)
        if job is None:
            return False
        self._cancel(job, jobs.Reason.CALLER_CANCELLED)
        return True

    def handle_answer(self, answer: jobs.Answer, sender: str) -> None:
        """Answer an open attempt with an owner's answer.

        A refusal says that the job has not begun. It is ignored unless the job
        was forwarded only once and the refusal comes from that owner: another
        owner may have begun the job since, or the same owner when the job was
        forwarded to it again.

        Args:
            answer: The answer.
            sender: The daemon that sent it.
        """
        job = self.open_jobs.get(answer.job_id)
        if job is None:
            gateway_events.log_answer_without_caller(answer, sender)
            return
        if job.attempt != answer.attempt:
            gateway_events.log_answer_for_another(job, answer, sender)
            return
        is_refusal = answer.outcome is jobs.Outcome.REFUSED
        is_from_another = bool(job.owner_id) and sender != job.owner_id
        if is_refusal and (is_from_another or job.times_forwarded > 1):
            gateway_events.log_refusal_ignored(job, sender)
            return
        if is_refusal:
            now = self._clock()
            open_jobs.record_refusal(job, answer, now)
            if self._try_another_group(job, answer):
                return
            answer = open_jobs.combine_refusals(job, answer, now)
        # Another owner would run the job on for nobody.
        reason = jobs.Reason.ANSWERED_ELSEWHERE
        attempt_cancellations.cancel(self._callbacks, job, reason, sender)
        self._finish(job, answer)

    def handle_crashes(
        self, job_id: str, attempt: int, crashes: tuple[jobs.TaskCrashes, ...]
    ) -> None:
        """Keep what an owner tells about crashes, for the next owner."""
        job = self.open_jobs.get(job_id)
        if job is not None and job.attempt == attempt:
            job.crashes = crashes

    def handle_reserved(self, reply: messages.Reserved, sender: str) -> None:
        """Send a job to the group that its registrar has named.

        If the job went to another group meanwhile, it is given up there, as both
        might execute it.
        """
        job = self.open_jobs.get(reply.job_id)
        if job is None or job.attempt != reply.attempt:
            return
        if sender not in job.place.asked_ids:
            return
        if not job.has_been_sent:
            place_requests.record_reply(self._callbacks, job, reply)
            self._try_forward_again(job)
        elif place_requests.is_in_two_groups(job, reply):
            gateway_events.log_in_two_groups(job, reply.group)
            self._give_up(job, jobs.Reason.OWNER_LOST)

    def handle_not_owner(self, job_id: str, attempt: int, sender: str) -> None:
        """Clear the owner of an attempt that a daemon rejected as not the owner."""
        job = self.open_jobs.get(job_id)
        if job is None or job.attempt != attempt or job.owner_id != sender:
            gateway_events.log_rejection_ignored(job_id, attempt, sender)
            return
        self._records.record_rejection(job, self._clock())
        job.owner_id = ""

    def forward_open_jobs(self) -> None:
        """Forward open jobs that the current owner does not have yet.

        Of those that were sent to an earlier owner, only some are forwarded
        now, and the others in the next sweeps.
        """
        left = dict(_MAX_FORWARDS)
        now = self._clock()
        self._tell_of_ended_jobs(now)
        for job in list(self.open_jobs.values()):
            self._tell_place(job, now)
            attempt_cancellations.cancel_moved(self._callbacks, job)
            owner_id = self._callbacks.find_owner(job.group)
            kind = open_jobs.classify_forward(job, owner_id)
            if not left[kind]:
                continue
            left[kind] -= self._try_forward_again(job)

    def _tell_of_ended_jobs(self, now: float) -> None:
        """Tell the owners that don't know yet of the jobs that have ended."""
        try:
            self._ended_jobs.tell_owners(self._callbacks, now)
        except Exception:
            logs.log_failure(LOGGER, "job_place", "ended jobs")

    def _tell_place(self, job: open_jobs.OpenJob, now: float) -> None:
        """Tell the owners that don't know yet where a job is."""
        left_s = job.deadline_at - now
        try:
            elsewhere_notes.tell_owners(self._callbacks, job, left_s)
            place_requests.tell_registrar(
                self._callbacks, self._silent_registrars, job, now
            )
        except Exception:
            # The job itself does not depend on it.
            logs.log_failure(LOGGER, "job_place", job.submission.job_id)

    def handle_link_change(self, daemon_id: str) -> None:
        """Clear the owner of the jobs forwarded to a daemon.

        Its link has ended, or there is a new one. What was on its way may be lost,
        so these jobs are forwarded again, to this owner or the next one, and their
        earlier owners are told again.
        """
        now = self._clock()
        self._records.record_link_change(
            self.open_jobs.values(), daemon_id, now
        )
        self._records.record_lost_peer(now)
        self._has_open_jobs.set()
        for job in self.open_jobs.values():
            open_jobs.record_link_change(job, daemon_id)
        self._ended_jobs.record_link_change(daemon_id)

    def handle_groups_change(self) -> None:
        """Find the first groups and the registrars of open jobs by a new layout.

        Other gateways may send another attempt there.
        """
        for job in self.open_jobs.values():
            job.place.ranked = ()
            job.place.registrar_id = ""
            job.passed_over = self._callbacks.list_passed_over(
                job.submission.job_id, job.group
            )

    def run(self) -> None:
        """Expire and forward open jobs, forever.

        Jobs expire first, as the daemon may have been paused.
        """
        while True:
            self._has_open_jobs.wait()
            gevent.sleep(SWEEP_INTERVAL_S)
            self.expire(self._clock())
            self.forward_open_jobs()
            self.write_records()
            if not self._has_work():
                self._has_open_jobs.clear()

    def _has_work(self) -> bool:
        """Return whether there is anything to do in the next sweep."""
        return bool(self.open_jobs or self._records.queue or self._ended_jobs)

    def write_records(self) -> None:
        """Log the attempts whose place has become doubtful."""
        self._records.write(self._clock())

    def _assign_group(self, job: open_jobs.OpenJob) -> None:
        """Choose the group of a job that no owner of another one has."""
        if job.refused_by:
            job.group = self._callbacks.choose_group(
                job.submission, job.refused_by, False
            )
            return
        job_id = job.submission.job_id
        is_first = job.place.knowledge is open_jobs.Knowledge.FIRST
        job.group = self._callbacks.choose_first_group(job_id, is_first)
        job.passed_over = self._callbacks.list_passed_over(job_id, job.group)

    def _try_another_group(
        self, job: open_jobs.OpenJob, refusal: jobs.Answer
    ) -> bool:
        """Forward a refused job to another group; return whether there is one.

        Every group that the job was sent to has refused it, so it has not begun.
        """
        choice = group_retries.choose_next(
            job.submission,
            refusal.reason,
            self._clock() - job.arrived_at,
            lambda needs_room: self._callbacks.choose_group(
                job.submission, job.refused_by, needs_room
            ),
        )
        group = choice.group
        if not group:
            return False
        job.submission = dataclasses.replace(
            job.submission, may_be_late=choice.may_be_late
        )
        gateway_events.log_sent_to_another_group(job, group, refusal)
        elsewhere_notes.withdraw(self._callbacks, job, group)
        open_jobs.assign_next_group(job, group)
        self._forward_again(job)
        return True

    def _update_group(self, job: open_jobs.OpenJob) -> None:
        """Choose a job's group again if it may have another one now."""
        if not self._callbacks.has_group(job.group):
            job.may_run_elsewhere |= job.has_been_sent
            job.owner_id = ""
            attempt_cancellations.cancel_in_dropped_group(self._callbacks, job)
            self._assign_group(job)
        elif open_jobs.may_be_reassigned(job) and self._may_choose_again(job):
            self._assign_group(job)

    def _may_choose_again(self, job: open_jobs.OpenJob) -> bool:
        """Return whether another group may suit a job that was not sent.

        A group that it would have gone to first may have an owner again.
        """
        if job.passed_over and not job.refused_by:
            return True
        return not self._callbacks.find_owner(job.group)

    def _try_forward_again(self, job: open_jobs.OpenJob) -> bool:
        """Forward a job again; return False if that fails."""
        try:
            return self._forward_again(job)
        except Exception:
            logs.log_failure(LOGGER, "job_forward", job.submission.job_id)
            return False

    def _forward_again(self, job: open_jobs.OpenJob) -> bool:
        """Forward a job unless its callers have left meanwhile.

        The daemon may have been paused, and may not have read yet that they have.

        Returns:
            Whether the job was forwarded.
        """
        owner_id = self._find_next_owner(job)
        if not owner_id:
            return False
        if open_jobs.have_callers_left(job):
            self._cancel(job, jobs.Reason.CALLER_LEFT)
            return False
        return self._forward_to(job, owner_id)

    def _forward(self, job: open_jobs.OpenJob) -> bool:
        """Send a job to its owner unless that has it; return whether it did."""
        owner_id = self._find_next_owner(job)
        return bool(owner_id) and self._forward_to(job, owner_id)

    def _find_next_owner(self, job: open_jobs.OpenJob) -> str:
        """Return the owner to forward a job to, or "" if there is none."""
        if job.answer is not None:
            return ""
        self._update_group(job)
        now = self._clock()
        if place_requests.must_wait(
            self._callbacks, self._silent_registrars, job, now
        ):
            return ""
        if now < self._find_earliest_start(job):
            return ""
        owner_id = self._callbacks.find_owner(job.group)
        return "" if owner_id == job.owner_id else owner_id

    def _find_earliest_start(self, job: open_jobs.OpenJob) -> float:
        """Return when a job may first be sent to its group.

        An earlier attempt may be in a group that was passed over. It has to be over.
        """
        if not open_jobs.may_follow_unknown_attempt(job):
            return job.arrived_at
        budget_s = job.submission.budget_s
        return job.arrived_at + home_groups.bound_earlier_attempt_s(
            budget_s, self._resubmission_s
        )

    def _forward_to(self, job: open_jobs.OpenJob, owner_id: str) -> bool:
        """Send a job to an owner; return whether it did."""
        now = self._clock()
        if now >= job.deadline_at:
            # It expires in the next sweep.
            return False
        submission = open_jobs.build_forward(
            job, now, self._may_have_begun(job)
        )
        # Recorded before the call, as an owner in this process answers the job
        # at once, and a refusal is then forwarded to another group.
        forward = open_jobs.record_forward(job, owner_id)
        self._records.record_forward(job, forward, now)
        attempt_cancellations.cancel_moved(self._callbacks, job)
        if not self._send(job, submission):
            open_jobs.undo_forward(job, forward)
            return False
        if forward.was_sent:
            gateway_events.log_forwarded_again(job, submission.age_s)
        elif job.passed_over and not job.refused_by:
            gateway_events.log_group_passed_over(job, now)
        place_requests.tell_registrar(
            self._callbacks, self._silent_registrars, job, now
        )
        return True

    def _may_have_begun(self, job: open_jobs.OpenJob) -> bool:
        """Return whether a job may have runs that its next owner does not know.

        They may be of an earlier attempt at an earlier owner of its group.
        """
        if job.has_been_sent:
            return True
        if job.refused_by or not open_jobs.has_earlier_attempt(job):
            return False
        age_s = self._callbacks.get_owner_age_s(job.group)
        return age_s < home_groups.RECENT_CLAIM_S

    def _send(
        self, job: open_jobs.OpenJob, submission: jobs.Submission
    ) -> bool:
        """Send a job to its owner; return False if it cannot arrive."""
        try:
            return self._callbacks.submit(job.owner_id, job.group, submission)
        except exceptions.EncodingError:
            # The message was not sent, and the job waits for another attempt.
            logs.log_failure(LOGGER, "job_forward", submission.job_id)
            return False
        except Exception:
            # The owner may have the job, so it may have begun.
            logs.log_failure(LOGGER, "job_forward", submission.job_id)
            return True

    def expire(self, now: float) -> None:
        """Answer jobs past their deadline and jobs without an owner in time.

        A job whose answer fails does not hold up the others.
        """
        for job in list(self.open_jobs.values()):
            try:
                self._expire_job(job, now)
            except Exception:
                logs.log_failure(LOGGER, "job_expiry", job.submission.job_id)

    def _expire_job(self, job: open_jobs.OpenJob, now: float) -> None:
        if now >= job.deadline_at:
            self._give_up(job, jobs.Reason.DEADLINE)
        elif not job.has_been_sent and self._has_waited_too_long(job, now):
            self._end_without_owner(job)

    def _end_without_owner(self, job: open_jobs.OpenJob) -> None:
        """Answer a job whose group has no owner.

        It is refused unless another attempt of it may have begun.
        """
        reason = jobs.Reason.NO_OWNER
        if open_jobs.has_earlier_attempt(job):
            self._give_up(job, reason)
        else:
            self._refuse(job, reason, RETRY_AFTER_WITHOUT_OWNER_S)

    def _has_waited_too_long(self, job: open_jobs.OpenJob, now: float) -> bool:
        """Return whether a job that has no owner is refused."""
        limit_s = owner_waits.compute_wait_limit_s(
            job.submission, self._callbacks.get_ownerless_s(job.group)
        )
        # A job that would have to wait for longer is refused at once.
        earliest_at = max(now, self._find_earliest_start(job))
        return earliest_at - job.arrived_at > limit_s

    def _refuse(
        self, job: open_jobs.OpenJob, reason: jobs.Reason, retry_after_s: float
    ) -> None:
        """Answer that a job has not run; only for jobs not sent to an owner."""
        outcome = jobs.Outcome.REFUSED
        self._finish(job, job.build_answer(outcome, reason, retry_after_s))

    def give_up_all(self) -> None:
        """Answer all open jobs, as the daemon cannot wait any longer for them."""
        for job in list(self.open_jobs.values()):
            try:
                self._give_up_for_stop(job)
            except Exception:
                logs.log_failure(LOGGER, "job_give_up", job.submission.job_id)

    def _give_up_for_stop(self, job: open_jobs.OpenJob) -> None:
        reason = jobs.Reason.DRAINING
        if job.has_been_sent or open_jobs.has_earlier_attempt(job):
            self._give_up(job, reason)
        else:
            self._refuse(job, reason, RETRY_AFTER_STOP_S)

    def _give_up(self, job: open_jobs.OpenJob, reason: jobs.Reason) -> None:
        attempt_cancellations.cancel(self._callbacks, job, reason)
        outcome = jobs.Outcome.GIVEN_UP
        self._finish(job, job.build_answer(outcome, reason))

    def _cancel(self, job: open_jobs.OpenJob, reason: jobs.Reason) -> None:
        attempt_cancellations.cancel(self._callbacks, job, reason)
        outcome = jobs.Outcome.CANCELLED
        self._finish(job, job.build_answer(outcome, reason))

    def _report_room(
        self, job: open_jobs.OpenJob, refusal: jobs.Answer
    ) -> None:
        """Log and count a refusal while some group reports room for the job."""
        group = self._callbacks.find_room(job.submission, job.refused_by)
        if not group:
            return
        self._callbacks.on_refused_with_room()
        gateway_events.log_refused_with_room(job, refusal, group)

    def _finish(self, job: open_jobs.OpenJob, answer: jobs.Answer) -> None:
        # The caller gets its answer, whatever becomes of the reports below.
        self.open_jobs.pop(answer.job_id, None)
        job.answer = answer
        job.answered.set()
        self._records.record_end(job, answer, self._clock())
        if answer.outcome is jobs.Outcome.REFUSED:
            self._report_room(job, answer)
            place_requests.release(self._callbacks, job)
        # After any other answer, tasks may still be active in the last group.
        if answer.outcome in (jobs.Outcome.REFUSED, jobs.Outcome.COMPLETED):
            elsewhere_notes.release(self._callbacks, job)
        elif self._callbacks.count_groups() > 1:
            now = self._clock()
            self._ended_jobs.add(job, now, self._absence_s)
        took_s = self._clock() - job.arrived_at
        self._callbacks.on_answered(job.submission.queue, answer, took_s)
        gateway_events.log_answered(job, answer, took_s)


def format_retry_after(retry_after_s: float) -> str:
    """Return a Retry-After header value, in whole seconds, at least 1."""
    return str(max(1, math.ceil(retry_after_s)))
