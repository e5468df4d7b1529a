"""Ask the registrar of a job where it may be, and tell it where the job is.

A job that is submitted again through a gateway of another data centre would otherwise
go to another group than its first submission. If the registrar cannot be reached, the
next one is asked. Without any answer, the job goes to the group of its gateway's data
centre.
"""

import dataclasses

from pollenladder.cluster import messages
from pollenladder.service import gateway_callbacks
from pollenladder.service import open_jobs

# After this time without an answer, the next registrar is asked.
REPLY_TIMEOUT_S = 0.05
# After this time without any answer, a job goes to the group of the own data centre.
MAX_WAIT_S = 0.1
# A registrar that was lost for less may be back within the timeout, as after a reset
# of its links.
RECENT_LOSS_S = 0.5
# A registrar that has not answered in time is not asked again for this long.
SILENCE_S = 1.0


class SilentRegistrars:
    """The groups whose owners have not answered a gateway in time lately."""

    def __init__(self):
        self._until: dict[str, float] = {}

    def record(self, group: str, now: float) -> None:
        """Record that the owner of a group has not answered in time."""
        self._until[group] = now + SILENCE_S

    def is_silent(self, group: str, now: float) -> bool:
        """Return whether the owner of a group has not answered lately."""
        return now < self._until.get(group, 0.0)


def must_wait(
    callbacks: gateway_callbacks.Callbacks,
    silent: SilentRegistrars,
    job: open_jobs.OpenJob,
    now: float,
) -> bool:
    """Ask the registrar of a job if needed; return whether to wait for its answer."""
    if job.has_been_sent or job.refused_by or not job.group:
        return False
    if job.place.knowledge is not open_jobs.Knowledge.NONE:
        return False
    if callbacks.count_groups() == 1:
        return False
    if _is_lost_recently(callbacks, job):
        return now < job.arrived_at + REPLY_TIMEOUT_S
    place = job.place
    if place.registrar_id and now >= place.asked_at + REPLY_TIMEOUT_S:
        silent.record(place.registrar, now)
    _tell(callbacks, silent, job, now, is_there=False)
    if job.place.knowledge is not open_jobs.Knowledge.NONE:
        return False
    is_asked = bool(job.place.registrar_id)
    return is_asked and now < min(
        job.place.asked_at + REPLY_TIMEOUT_S, job.arrived_at + MAX_WAIT_S
    )


def tell_registrar(
    callbacks: gateway_callbacks.Callbacks,
    silent: SilentRegistrars,
    job: open_jobs.OpenJob,
    now: float,
) -> None:
    """Tell the registrar where a job is, unless it knows."""
    if job.has_been_sent:
        _tell(callbacks, silent, job, now, is_there=True)


def _is_lost_recently(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob
) -> bool:
    """Return whether the first registrar has had no owner for a short time only."""
    ranked = _rank_registrars(callbacks, job)
    ownerless_s = callbacks.get_ownerless_s(ranked[0]) if ranked else 0.0
    return 0.0 < ownerless_s < RECENT_LOSS_S


def record_reply(
    callbacks: gateway_callbacks.Callbacks,
    job: open_jobs.OpenJob,
    reply: messages.Reserved,
) -> None:
    """Record what the registrar of a job that was not sent yet tells.

    Args:
        callbacks: The functions of other components.
        job: The job.
        reply: What the registrar tells.
    """
    if reply.is_first:
        job.place.knowledge = open_jobs.Knowledge.FIRST
        return
    if callbacks.has_group(reply.group) and reply.group not in job.refused_by:
        job.place.knowledge = open_jobs.Knowledge.ELSEWHERE
        job.place.group = reply.group
        job.group = reply.group
        job.passed_over = callbacks.list_passed_over(reply.job_id, reply.group)


def is_in_two_groups(job: open_jobs.OpenJob, reply: messages.Reserved) -> bool:
    """Return whether a late reply names a group that may execute a job too.

    A group that has refused the job does not start it. A reply that there is no
    other attempt may name a group that the gateway has asked for before.
    """
    if reply.is_first:
        return False
    return reply.group not in {job.group, *job.refused_by}


def release(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob
) -> None:
    """Tell the registrar of a refused job that it is in no group."""
    if job.place.registrar_id:
        callbacks.release(
            job.place.registrar, job.submission.job_id, job.attempt
        )


def _tell(
    callbacks: gateway_callbacks.Callbacks,
    silent: SilentRegistrars,
    job: open_jobs.OpenJob,
    now: float,
    is_there: bool,
) -> None:
    """Send the registrar the group of a job, unless it has got that.

    Where there is only one group, nobody needs to know.
    """
    if callbacks.count_groups() == 1:
        return
    registrar = _find_registrar(callbacks, silent, job, now)
    registrar_id = callbacks.find_owner(registrar) if registrar else ""
    if not registrar_id:
        # If the same daemon claims again, it does not know the job any more.
        job.place.group = ""
        return
    before = job.place
    told = (before.registrar, before.registrar_id, before.group)
    if told == (registrar, registrar_id, job.group):
        return
    # Recorded before the call, as a registrar in this process answers at once.
    job.place = dataclasses.replace(
        before,
        registrar=registrar,
        registrar_id=registrar_id,
        asked_ids=before.asked_ids | {registrar_id},
        group=job.group,
        asked_at=now,
    )
    message = messages.Reserve(
        registrar,
        job.submission.job_id,
        job.attempt,
        job.group,
        0.0 if job.answer is not None else job.deadline_at - now,
        is_there,
    )
    if not callbacks.reserve(message):
        job.place = before


def _find_registrar(
    callbacks: gateway_callbacks.Callbacks,
    silent: SilentRegistrars,
    job: open_jobs.OpenJob,
    now: float,
) -> str:
    """Return the first group whose owner can be asked, or "" if there is none.

    Gateways on the same side of a network partition find the same one.
    """
    for group in _rank_registrars(callbacks, job):
        if callbacks.find_owner(group) and not silent.is_silent(group, now):
            return group
    return ""


def _rank_registrars(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob
) -> tuple[str, ...]:
    """Return the groups whose owners may be the registrar, in order."""
    if not job.place.ranked:
        job_id = job.submission.job_id
        job.place.ranked = tuple(callbacks.rank_registrars(job_id))
    return job.place.ranked
