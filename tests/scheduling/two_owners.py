"""Owners of one group that do not hear each other, with their workers and a gateway.

All parts are those of the daemon, but for its messages and its sessions with workers.
"""

import dataclasses
import enum
import math

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import polls
from pollenladder.scheduling import replies
from pollenladder.scheduling import tables
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from pollenladder.service import handover_delays
from tests.scheduling import simulations

GROUP = "g"
GATEWAY_ID = "gateway"
RESUBMISSION_S = 1.3
ATTEMPT_LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)
STEP_S = 0.02
# Interval of the frames that a gateway sends to each owner.
FRAME_INTERVAL_S = 0.3


class Loss(enum.Enum):
    """What is lost between two processes.

    Attributes:
        ALL: All messages, without a notice.
        REPLIES: Replies to an owner. Its polls and orders arrive.
        RESET: All messages; each call fails at once.
    """

    ALL = "all"
    REPLIES = "replies"
    RESET = "reset"


class Worker:
    """A worker, with the rules of its leases.

    Attributes:
        worker_id: The worker's id.
        rate: Seconds of its clock in one second.
        fence: The highest epoch that it has seen.
        lease_until_s: The end of its lease, by its clock.
        running: Numbers of the runs in progress, by task name.
        ended: All runs that have ended.
    """

    def __init__(self, worker_id: str, rate: float, now: float):
        self.worker_id = worker_id
        self.rate = rate
        self.fence = 0
        self.lease_until_s = 0.0
        self.running: dict[str, int] = {}
        self.ended: list[fleet.ObservedEnd] = []
        self._started_at = now - 50.0

    def read_clock(self, now: float) -> float:
        """Return the time of the worker's clock."""
        return (now - self._started_at) * self.rate

    def obeys(self, epoch: int) -> bool:
        """Return whether the worker obeys an epoch, and note it."""
        self.fence = max(self.fence, epoch)
        return epoch == self.fence

    def extend_lease(self, until_s: float, now: float) -> None:
        """Extend the lease of all runs; it never shortens."""
        longest_s = self.read_clock(now) + simulations.LEASE_S
        self.lease_until_s = max(self.lease_until_s, min(until_s, longest_s))

    def expire(self, now: float) -> None:
        """End all runs if their lease has expired."""
        if self.read_clock(now) >= self.lease_until_s:
            for task in list(self.running):
                self.end(task, fleet.RunEnd.LAPSED)

    def end(self, task: str, end: fleet.RunEnd) -> None:
        """End a run."""
        number = self.running.pop(task)
        sequence = len(self.ended) + 1
        self.ended.append(fleet.ObservedEnd(sequence, task, number, end))


@dataclasses.dataclass
class Owner:
    """A daemon that owns the workers.

    Attributes:
        simulation: Its region and its clock.
        contacts: When it has heard from the gateway.
        heard_at: When the last bytes from the gateway were read.
        poll_due_at: When it polls each worker next, or stops waiting for a reply.
        unanswered: Ids of the workers that have not replied to the last poll.
        is_suspended: Whether its process is suspended.
    """

    simulation: simulations.RegionSimulation
    contacts: attempt_leases.Contacts
    heard_at: float
    poll_due_at: dict[str, float] = dataclasses.field(default_factory=dict)
    unanswered: set[str] = dataclasses.field(default_factory=set)
    is_suspended: bool = False


class OwnersSimulation:
    """Owners "o1" and "o2", workers, and a gateway that follows one of the owners.

    Attributes:
        now: Monotonic time in seconds.
        owners: The owners by id.
        workers: The workers by id.
        cuts: What is lost between pairs of daemons and workers, by their ids.
        followed: The owner that the gateway follows.
        started_at: When each run was started, by task name and number.
        overlaps: Names of tasks that had two runs at the same time.
    """

    def __init__(self, rate: float = 1.0):
        self.owners: dict[str, Owner] = {}
        self.workers: dict[str, Worker] = {}
        self.cuts: dict[frozenset[str], Loss] = {}
        self.followed = "o1"
        self.started_at: dict[tuple[str, int], float] = {}
        self.overlaps: list[str] = []
        self._rate = rate
        self._last_frame_at = -math.inf
        self.now = 0.0
        self.claim("o1", 1)
        self.now = self.owners["o1"].simulation.now
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: self.followed,
                get_ownerless_s=lambda group: 0.0,
                has_group=lambda group: True,
                count_groups=lambda: 1,
                choose_first_group=lambda job_id, is_first: GROUP,
                rank_registrars=lambda job_id: [GROUP],
                reserve=lambda message: True,
                choose_group=lambda submission, refused, needs_room: GROUP,
                list_passed_over=lambda job_id, group: (),
                tell_runs_elsewhere=lambda message: True,
                find_room=lambda submission, refused: "",
                get_shed_share=lambda group: 0.0,
                submit=self._submit,
                cancel_attempt=self._cancel_attempt,
                release=lambda group, job, attempt: None,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: self.now,
        )

    def add_worker(self, worker_id: str) -> None:
        """Add a worker."""
        self.workers[worker_id] = Worker(worker_id, self._rate, self.now)

    def claim(self, owner_id: str, epoch: int) -> None:
        """Let a daemon become an owner that knows no worker and no job."""
        simulation = simulations.RegionSimulation(workers=0, epoch=epoch)
        region = simulation.region
        if self.now:
            simulation.now = region.owned_since = self.now
        region.run_limit_s = lease_limits.choose_limit_s(
            RESUBMISSION_S, ATTEMPT_LEASE_S
        )
        region.handover_delay_s = handover_delays.bound_handover_delay_s(
            ATTEMPT_LEASE_S
        )
        self.owners[owner_id] = Owner(
            simulation,
            attempt_leases.Contacts(simulation.now),
            heard_at=simulation.now,
        )

    def list_workers(self, owner_id: str, worker_ids: list[str]) -> None:
        """Replace an owner's list of workers."""
        self.owners[owner_id].simulation.list_workers(worker_ids, synced=False)

    def cut(self, first: str, second: str, loss: Loss = Loss.ALL) -> None:
        """Lose messages between two daemons, or a daemon and a worker."""
        self.cuts[frozenset((first, second))] = loss

    def heal(self, first: str, second: str) -> None:
        """End a cut."""
        del self.cuts[frozenset((first, second))]

    def submit(self, job_id: str) -> None:
        """Submit a job of one task to the gateway, which runs until it is stopped."""
        submission = simulations.build_submission(
            job_id, tasks=1, budget_s=20.0, estimate_s=20.0
        )
        self.gateway.submit(submission)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self._step()

    def count_runs(self, task: str) -> int:
        """Return the number of runs of a task that are in progress."""
        return sum(task in worker.running for worker in self.workers.values())

    def _step(self) -> None:
        self.now += STEP_S
        for worker in self.workers.values():
            worker.expire(self.now)
        if self.now >= self._last_frame_at + FRAME_INTERVAL_S:
            self._last_frame_at = self.now
            for owner_id in self.owners:
                self._deliver_frame(owner_id)
        self.gateway.expire(self.now)
        self.gateway.forward_open_jobs()
        for owner_id, owner in self.owners.items():
            if not owner.is_suspended:
                self._step_owner(owner_id, owner)

    def _step_owner(self, owner_id: str, owner: Owner) -> None:
        simulation = owner.simulation
        simulation.now = self.now
        region = simulation.region
        owner.contacts.record_tick({GATEWAY_ID: owner.heard_at}, self.now)
        region.gateways_heard_at = owner.contacts.heard_at
        silent = owner.contacts.list_silent(ATTEMPT_LEASE_S)
        attempt_leases.end_expired(region, silent, self.now)
        simulation.step()
        for worker_id in list(region.workers):
            self._poll_if_due(owner_id, owner, self.workers[worker_id])
        self._send_orders(owner_id, owner)

    def _poll_if_due(self, owner_id: str, owner: Owner, worker: Worker) -> None:
        worker_id = worker.worker_id
        known = owner.simulation.region.workers[worker_id]
        loss = self._find_loss(owner_id, worker_id)
        is_due = self.now >= owner.poll_due_at.get(worker_id, -math.inf)
        if not is_due and loss is not Loss.RESET:
            return
        if loss is not None:
            self._poll_in_vain(owner, worker, loss)
            return
        owner.unanswered.discard(worker_id)
        # The first poll does not wait for a run to end.
        if known.is_synced:
            owner.poll_due_at[worker_id] = self.now + polls.BUSY_WAIT_S
        self._poll(owner, worker)

    def _poll_in_vain(self, owner: Owner, worker: Worker, loss: Loss) -> None:
        """Count the last poll as missed, and send the next one."""
        worker_id = worker.worker_id
        region = owner.simulation.region
        known = region.workers[worker_id]
        if worker_id in owner.unanswered or loss is Loss.RESET:
            replies.handle_missed_poll(region, worker_id, self.now)
        wait_s = polls.choose_wait_s(known, self.now)
        slack_s = polls.choose_slack_s(known, self.now)
        owner.poll_due_at[worker_id] = self.now + wait_s + slack_s
        owner.unanswered.add(worker_id)
        until_s = self._extend_lease_by_poll(owner, known)
        if loss is Loss.REPLIES:
            self._receive_poll(owner, worker, until_s)

    def _poll(self, owner: Owner, worker: Worker) -> None:
        simulation = owner.simulation
        known = simulation.region.workers[worker.worker_id]
        until_s = self._extend_lease_by_poll(owner, known)
        if not self._receive_poll(owner, worker, until_s):
            replies.handle_fenced(simulation.region, worker.worker_id)
            return
        simulation.ends[worker.worker_id] = worker.ended
        simulation.poll(
            worker.worker_id,
            running=tuple(
                (task, number, 10.0) for task, number in worker.running.items()
            ),
            clock_s=worker.read_clock(self.now),
        )

    def _receive_poll(
        self, owner: Owner, worker: Worker, until_s: float | None
    ) -> bool:
        """Let a worker receive a poll; return whether it obeys the owner."""
        if not worker.obeys(owner.simulation.region.epoch):
            return False
        if until_s is not None:
            worker.extend_lease(until_s, self.now)
        return True

    def _extend_lease_by_poll(
        self, owner: Owner, known: fleet.Worker
    ) -> float | None:
        if not known.is_synced or not known.is_reachable:
            return None
        return self._extend_lease(owner.simulation.region, known)

    def _extend_lease(
        self, region: tables.Region, known: fleet.Worker
    ) -> float | None:
        """Choose the end of a lease, and count it, as a session does."""
        expiry = lease_limits.choose_expiry(region, known, self.now)
        if expiry is None:
            return None
        until_s = expiry + known.clock_ahead_s
        known.lease_until_s = max(known.lease_until_s, until_s)
        known.granted_until_s = max(known.granted_until_s, until_s)
        return until_s

    def _send_orders(self, owner_id: str, owner: Owner) -> None:
        for stop in owner.simulation.take_stops():
            worker = self.workers[stop.worker_id]
            if self._is_cut(owner_id, stop.worker_id):
                continue
            if not worker.obeys(owner.simulation.region.epoch):
                continue
            if worker.running.get(stop.task) == stop.number:
                worker.end(stop.task, fleet.RunEnd.STOPPED)
            owner.simulation.reply_stop(stop, fleet.StopReply.STOPPED)
        for start in owner.simulation.take_starts():
            self._send_start(owner_id, owner, start)

    def _send_start(
        self, owner_id: str, owner: Owner, start: effects.StartRun
    ) -> None:
        region = owner.simulation.region
        worker = self.workers[start.worker_id]
        until_s = self._extend_lease(region, region.workers[start.worker_id])
        reply = fleet.StartReply.NO_REPLY
        if until_s is None:
            reply = fleet.StartReply.NO_LEASE
        elif not self._is_cut(owner_id, start.worker_id):
            reply = fleet.StartReply.FENCED
            if worker.obeys(region.epoch):
                worker.extend_lease(until_s, self.now)
                self._record_start(worker, start)
                reply = fleet.StartReply.STARTED
        owner.simulation.reply(start, reply)

    def _record_start(self, worker: Worker, start: effects.StartRun) -> None:
        if self.count_runs(start.task):
            self.overlaps.append(start.task)
        worker.running[start.task] = start.number
        self.started_at[(start.task, start.number)] = self.now

    def _find_loss(self, first: str, second: str) -> Loss | None:
        return self.cuts.get(frozenset((first, second)))

    def _is_cut(self, first: str, second: str) -> bool:
        return self._find_loss(first, second) is not None

    def _deliver_frame(self, owner_id: str) -> None:
        if not self._is_cut(GATEWAY_ID, owner_id):
            self.owners[owner_id].heard_at = self.now

    def _submit(
        self, owner_id: str, group: str, submission: jobs.Submission
    ) -> bool:
        if not self._is_cut(GATEWAY_ID, owner_id):
            self._deliver_frame(owner_id)
            simulation = self.owners[owner_id].simulation
            simulation.now = self.now
            intake.submit(simulation.region, submission, GATEWAY_ID, self.now)
        # A message that is lost in a partition counts as sent.
        return True

    def _cancel_attempt(
        self, owner_id: str, job_id: str, attempt: int, reason: jobs.Reason
    ) -> bool:
        if not self._is_cut(GATEWAY_ID, owner_id):
            self._deliver_frame(owner_id)
            region = self.owners[owner_id].simulation.region
            intake.cancel_attempt(region, job_id, attempt, reason, self.now)
        return True
