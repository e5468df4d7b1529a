"""Pass jobs, cancellations and answers between this daemon and the owners."""

from collections.abc import Callable
import dataclasses
import logging

from pollenladder.cluster import groups as layouts
from pollenladder.cluster import mesh as meshes
from pollenladder.cluster import messages
from pollenladder.cluster import peer_losses
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import regions as fleet_regions
from pollenladder.jobs import cancellations
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.scheduling import home_groups
from pollenladder.scheduling import sharing
from pollenladder.service import groups
from pollenladder.service import membership as memberships

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions of the gateway that the exchange calls.

    Attributes:
        handle_answer: Called with an answer for a caller of this daemon, and the
            daemon that gives it.
        handle_reserved: Called with what the registrar of a job tells, and the
            daemon that tells it.
        handle_crashes: Called with a job's id, the number of the attempt, and the
            crashes under the job's tasks.
        cancel: Answers an open job as cancelled by its caller; returns whether it
            is open at this daemon.
    """

    handle_answer: Callable[[jobs.Answer, str], None]
    handle_reserved: Callable[[messages.Reserved, str], None]
    handle_crashes: Callable[[str, int, tuple[jobs.TaskCrashes, ...]], None]
    cancel: Callable[[str], bool]


class JobExchange:
    """The way of a job from its gateway to a group's owner, and back."""

    def __init__(
        self,
        own: rosters.Member,
        all_groups: groups.Groups,
        membership: memberships.Membership,
        mesh: meshes.Mesh,
        callbacks: Callbacks,
        clock: clocks.Clock,
        regions: fleet_regions.Regions = fleet_regions.NONE,
        absence_s: float = 0.0,
    ):
        """Use the daemon's components.

        Args:
            own: This daemon.
            all_groups: The groups of workers.
            membership: The owners of the groups.
            mesh: The links to other daemons.
            callbacks: The functions of this daemon's gateway.
            clock: Returns the monotonic time in seconds.
            regions: The regions of the data centres.
            absence_s: Time without an owner after which another group may start
                the jobs of a group; see `home_groups`.
        """
        self._regions = regions
        self._absence_s = absence_s
        self._own = own
        self._groups = all_groups
        self._membership = membership
        self._mesh = mesh
        self._callbacks = callbacks
        self._clock = clock
        self._cancellations = cancellations.Cancellations()
        self._peer_losses = peer_losses.PeerLosses()

    def choose_group(
        self,
        submission: jobs.Submission,
        excluded: frozenset[str],
        needs_room: bool,
    ) -> str:
        """Return the group for a refused job, or "" if none is suitable.

        Args:
            submission: The job.
            excluded: The groups that have refused the job.
            needs_room: Whether to choose only a group with room for the job.
        """
        loads = self._list_loads(submission, excluded)
        local = frozenset(
            name
            for name in loads
            if layouts.get_data_centre(name) == self._own.data_centre
        )
        return sharing.choose_group(submission, loads, local, needs_room)

    def choose_first_group(self, job_id: str, is_first_attempt: bool) -> str:
        """Return the group that a job first goes to, or "" if there are none.

        Args:
            job_id: The job.
            is_first_attempt: Whether it was not submitted before.
        """
        ownerless_s = {
            name: self._membership.get_ownerless_s(name)
            for name in self._groups.groups
        }
        absence_s = 0.0 if is_first_attempt else self._absence_s
        return home_groups.choose_first(
            self._rank(job_id), ownerless_s, absence_s
        )

    def list_passed_over(self, job_id: str, chosen: str) -> tuple[str, ...]:
        """Return the groups that a job would have gone to before the chosen one."""
        return home_groups.list_passed_over(self._rank(job_id), chosen)

    def _rank(self, job_id: str) -> list[str]:
        return home_groups.rank(
            job_id, self._groups.groups, self._own.data_centre
        )

    def rank_registrars(self, job_id: str) -> list[str]:
        """Return the groups whose owners may know where a job is, in order."""
        return sharing.rank_groups(job_id, self._groups.groups)

    def reserve(self, message: messages.Reserve) -> bool:
        """Ask the registrar of a job where the job may be.

        Returns:
            Whether the message can arrive.
        """
        owner_id = self._membership.find_owner(message.registrar)
        if owner_id != self._own.daemon_id:
            return self._mesh.send(owner_id, message)
        self.reserve_here(message, owner_id)
        return True

    def reserve_here(self, message: messages.Reserve, gateway_id: str) -> None:
        """Tell a gateway, as the registrar of a job, where the job may be."""
        found = self._groups.groups.get(message.registrar)
        if found is None:
            return
        reserved = found.engine.reserve(message)
        if reserved is None:
            return
        if message.is_there and reserved.group == message.group:
            return
        reply = messages.Reserved(
            message.job_id, message.attempt, reserved.group, reserved.is_first
        )
        if gateway_id == self._own.daemon_id:
            self._callbacks.handle_reserved(reply, gateway_id)
        else:
            self._mesh.send(gateway_id, reply)

    def find_room(
        self, submission: jobs.Submission, asked: frozenset[str]
    ) -> str:
        """Return a group that reports room for a whole job, or "".

        Args:
            submission: The job.
            asked: Groups that are returned only if no other group has room.
        """
        loads = self._list_loads(submission, frozenset())
        roomy = sharing.list_with_room(submission, loads)
        return min(roomy, key=lambda name: (name in asked, name), default="")

    def _list_loads(
        self, submission: jobs.Submission, excluded: frozenset[str]
    ) -> dict[str, fleet.ServiceLoad]:
        """Return the reported load of each group that may run a job.

        Groups without an owner are left out.
        """
        unknown = fleet.ServiceLoad(0, 0, 0.0)
        loads = {}
        for name in self._groups.groups.keys() - excluded:
            # The group of a whole region has no data centre. Its owner decides.
            data_centre = layouts.get_data_centre(name)
            if data_centre and not self._regions.allow(
                submission.allowed_regions, data_centre
            ):
                continue
            state = self._membership.get_group_state(name)
            if state is not None:
                loads[name] = state.loads.get(submission.service, unknown)
        return loads

    def submit(
        self, daemon_id: str, group: str, submission: jobs.Submission
    ) -> bool:
        """Send a job to an owner; return False if it cannot arrive.

        A job that is known here to be cancelled is answered instead. The owner may
        not have heard of the cancellation.
        """
        own_id = self._own.daemon_id
        if daemon_id == own_id:
            return self.submit_here(group, submission, own_id)
        if self._answer_if_cancelled(submission, own_id):
            return True
        return self._mesh.send(daemon_id, messages.Submit(group, submission))

    def submit_here(
        self, group: str, submission: jobs.Submission, gateway_id: str
    ) -> bool:
        """Submit a job to a group's engine; return False if it is not owned.

        A job that its caller has cancelled starts at no owner any more.
        """
        if self._answer_if_cancelled(submission, gateway_id):
            return True
        found = self._groups.groups.get(group)
        return found is not None and found.engine.submit(submission, gateway_id)

    def _answer_if_cancelled(
        self, submission: jobs.Submission, gateway_id: str
    ) -> bool:
        """Answer a job that is known to be cancelled; return whether it is."""
        job_id = submission.job_id
        if not self._cancellations.is_cancelled(job_id, self._clock()):
            return False
        outcome, reason = jobs.Outcome.CANCELLED, jobs.Reason.CALLER_CANCELLED
        answer = jobs.Answer(job_id, submission.attempt, outcome, reason)
        self.answer(gateway_id, answer)
        return True

    def cancel_attempt(
        self, daemon_id: str, job_id: str, attempt: int, reason: jobs.Reason
    ) -> bool:
        """Send an owner the cancellation of an attempt.

        Returns:
            Whether the cancellation can arrive.
        """
        if daemon_id == self._own.daemon_id:
            self.cancel_attempt_here(job_id, attempt, reason, daemon_id)
            return True
        message = messages.CancelAttempt(job_id, attempt, reason)
        return self._mesh.send(daemon_id, message)

    def cancel_attempt_here(
        self, job_id: str, attempt: int, reason: jobs.Reason, gateway_id: str
    ) -> None:
        """Cancel an attempt in any group owned here."""
        known = [
            group.engine.cancel_attempt(job_id, attempt, reason)
            for group in self._groups.groups.values()
        ]
        if not any(known):
            logs.log(
                LOGGER,
                "cancel_ignored",
                job=job_id,
                attempt=attempt,
                gateway=gateway_id,
                reason=reason.value,
            )

    def cancel_job(self, job_id: str) -> bool:
        """Cancel a job for all attempts; return whether this daemon knew it.

        The request is forwarded to all other daemons, which do not answer it. Any
        of them may have the job open, or may be its next owner.
        """
        self._mesh.broadcast(messages.CancelJob(job_id))
        return self.cancel_job_here(job_id)

    def tell_cancellations(self, daemon_id: str) -> None:
        """Tell a daemon with a new link which jobs were cancelled recently.

        What was sent over its last link may be lost, and a daemon that was restarted
        knows of no cancellation.
        """
        for job_id in self._cancellations.list_recent(self._clock()):
            self._mesh.send(daemon_id, messages.CancelJob(job_id))

    def cancel_job_here(self, job_id: str) -> bool:
        """Cancel a job at this daemon; return whether it was known."""
        self._cancellations.record(job_id, self._clock())
        is_open = self._callbacks.cancel(job_id)
        known = [
            group.engine.cancel_job(job_id)
            for group in self._groups.groups.values()
        ]
        return is_open or any(known)

    def release(self, group: str, job_id: str, attempt: int) -> None:
        """Tell a group that refused an attempt that it runs in no other group."""
        owner_id = self._membership.find_owner(group)
        if owner_id == self._own.daemon_id:
            self.release_here(group, job_id, attempt)
        elif owner_id:
            message = messages.Release(group, job_id, attempt)
            self._mesh.send(owner_id, message)

    def release_here(self, group: str, job_id: str, attempt: int) -> None:
        """Forget, as the owner of a group, that a job may run elsewhere."""
        found = self._groups.groups.get(group)
        if found is not None:
            found.engine.release(job_id, attempt)

    def tell_runs_elsewhere(self, message: messages.RunsElsewhere) -> bool:
        """Tell the owner of a group that another one may execute an attempt.

        Returns:
            Whether the message can arrive.
        """
        owner_id = self._membership.find_owner(message.group)
        if owner_id != self._own.daemon_id:
            return self._mesh.send(owner_id, message)
        self.record_elsewhere_here(message)
        return True

    def record_elsewhere_here(self, message: messages.RunsElsewhere) -> None:
        """Record, as an owner, that another group may execute an attempt."""
        found = self._groups.groups.get(message.group)
        if found is not None:
            found.engine.record_elsewhere(
                message.job_id, message.attempt, message.budget_s
            )

    def answer(self, gateway_id: str, answer: jobs.Answer) -> None:
        """Send the final answer of a job to its gateway."""
        if gateway_id == self._own.daemon_id:
            self._callbacks.handle_answer(answer, gateway_id)
        elif not self._mesh.send(gateway_id, messages.Answered(answer)):
            logs.log(
                LOGGER,
                "answer_not_sent",
                job=answer.job_id,
                attempt=answer.attempt,
                outcome=answer.outcome.value,
                peer=gateway_id,
            )

    def report_crashes(
        self,
        gateway_id: str,
        job_id: str,
        attempt: int,
        crashes: tuple[jobs.TaskCrashes, ...],
    ) -> None:
        """Tell the gateway of a job about crashes under its tasks."""
        if gateway_id == self._own.daemon_id:
            self._callbacks.handle_crashes(job_id, attempt, crashes)
        else:
            message = messages.TasksCrashed(job_id, attempt, crashes)
            self._mesh.send(gateway_id, message)

    def reject_attempt(
        self, gateway_id: str, job_id: str, attempt: int
    ) -> None:
        """Tell a gateway that an owner here no longer serves an attempt."""
        self._mesh.send(gateway_id, messages.NotOwner(job_id, attempt))

    def count_pending(self, queue: str) -> int:
        """Return the number of a queue's jobs that have not begun."""
        states = map(self._membership.get_group_state, self._groups.groups)
        return sum(state.pending.get(queue, 0) for state in states if state)

    def record_link_change(self, daemon_id: str, is_linked: bool) -> None:
        """Record that a link was established or has ended."""
        self._peer_losses.record_change(daemon_id, is_linked, self._clock())

    def find_doubt(self, job_id: str, group: str) -> doubts.Doubt | None:
        """Return why a job may be in progress under another owner, or None."""
        if self._is_home_passed_over(job_id, group):
            return doubts.Doubt.HOME_GROUP_PASSED_OVER
        if self._peer_losses.is_recent(self._clock()):
            return doubts.Doubt.PEER_LOST
        return None

    def _is_home_passed_over(self, job_id: str, group: str) -> bool:
        """Return whether a job goes to a group as its home group has no owner."""
        if not self._groups.list_ownerless():
            return False
        home = self._rank(job_id)[0]
        return group != home and not self._membership.find_owner(home)
