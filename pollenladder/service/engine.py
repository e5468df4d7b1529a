"""Pass events to the owner's scheduling and apply the resulting effects."""

from collections.abc import Iterable
import dataclasses
import logging
import math

import gevent
from gevent import event

from pollenladder.cluster import messages
from pollenladder.core import clocks
from pollenladder.fleet import crashing_queues
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations as fleet_evacuations
from pollenladder.fleet import regions as fleet_regions
from pollenladder.fleet import worker_lists
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import attempt_logs
from pollenladder.scheduling import attempt_records
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import effects
from pollenladder.scheduling import evacuation
from pollenladder.scheduling import features as optional_features
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import intake
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import places
from pollenladder.scheduling import recovery
from pollenladder.scheduling import reservations
from pollenladder.scheduling import sharing
from pollenladder.scheduling import tables
from pollenladder.service import engine_callbacks
from pollenladder.service import handover_delays
from pollenladder.service import sessions

LOGGER = logging.getLogger(__name__)

TICK_S = 0.02
# A new owner waits this long at most for the list of workers, which shows the
# draining ones.
LIST_WAIT_LIMIT_S = 0.3
# A smaller event loop lag is not added to the age of a job.
MIN_COUNTED_LAG_S = 0.005


class Engine:
    """Schedules jobs while this daemon is the owner, and is idle otherwise.

    Attributes:
        region: The owner's tables; None unless this daemon is the owner.
        stalled_runs: Number of runs that were stopped as stalled.
    """

    def __init__(
        self,
        max_lease_s: float,
        callbacks: engine_callbacks.Callbacks,
        clock: clocks.Clock,
        features: optional_features.Features = optional_features.ALL,
        list_history: worker_lists.ListHistory | None = None,
        evacuations: fleet_evacuations.Evacuations | None = None,
        regions: fleet_regions.Regions = fleet_regions.NONE,
        group: str = "",
        queues: crashing_queues.CrashingQueues | None = None,
        resubmission_s: float = math.inf,
        own_id: str = "",
        max_large_tasks: float = math.inf,
    ):
        self.region: tables.Region | None = None
        self.stalled_runs = 0
        self._max_lease_s = max_lease_s
        self._features = features
        self._list_history = list_history or worker_lists.ListHistory()
        self._evacuations = evacuations or fleet_evacuations.Evacuations()
        self._cold_starts: dict[str, float] = {}
        self._unguarded_services: frozenset[str] = frozenset()
        self._regions = regions
        self._group = group
        self._crashing_queues = queues or crashing_queues.CrashingQueues()
        self._callbacks = callbacks
        self._clock = clock
        self._attempt_lease_s = attempt_leases.choose_lease_s(resubmission_s)
        self._run_limit_s = handover_delays.choose_run_limit_s(
            resubmission_s, max_lease_s
        )
        self._own_id = own_id
        self._max_large_tasks = max_large_tasks
        self._contacts = attempt_leases.Contacts(clock(), own_id)
        self._attempt_records = attempt_records.AttemptRecords()
        self._sessions: dict[str, sessions.Session] = {}
        self._listings: tuple[fleet.Listing, ...] = ()
        self._service_shares: dict[str, float] = {}
        self._moved_workers_until = float("-inf")
        self._is_applying_effects = False
        self._owns_workers = event.Event()
        self._is_retired = False

    def claim(self, epoch: int, reads_store: bool) -> None:
        """Become the owner, or continue as the owner with a higher epoch.

        Args:
            epoch: The epoch of the ownership.
            reads_store: Whether the list of workers can be read now.
        """
        now = self._clock()
        if self.region is None:
            self._contacts = attempt_leases.Contacts(now, self._own_id)
            self.region = tables.Region(
                epoch,
                now,
                self._max_lease_s,
                self._features,
                self._group,
                handover_delay_s=handover_delays.bound_handover_delay_s(
                    self._attempt_lease_s
                ),
                gateways_heard_at=self._contacts.heard_at,
                run_limit_s=self._run_limit_s,
                moved_workers_until=self._moved_workers_until,
                list_history=self._list_history,
                evacuations=self._evacuations,
                cold_starts=self._cold_starts,
                unguarded_services=self._unguarded_services,
                regions=self._regions,
                max_large_tasks=self._max_large_tasks,
                crashes=crash_records.CrashRecords(
                    self._group, queues=self._crashing_queues
                ),
                attempt_records=self._attempt_records,
            )
            self._owns_workers.set()
        else:
            self._close_all_sessions()
            self.region = recovery.rebuild_region(self.region, epoch, now)
        if reads_store:
            self.region.worker_list_deadline = now + LIST_WAIT_LIMIT_S
        self.update_workers(self._listings, False, self._service_shares)

    def resign(self) -> None:
        """Stop being the owner; its runs continue for the next owner."""
        if self.region is not None:
            self._log_attempts(self.region)
        self.region = None
        self._owns_workers.clear()
        self._close_all_sessions()

    def _log_attempts(self, region: tables.Region) -> None:
        """Log the open attempts before the owner resigns."""
        now = self._clock()
        others = region.take_effects()
        arguments = (effects.Decision.ATTEMPT_RECORDS, "")
        region.decide(
            *arguments, attempt_doubts.record_resignation, region, now
        )
        region.decide(*arguments, attempt_logs.write, region, now)
        for effect in region.take_effects():
            self._apply_effect(effect)
        region.effects = others

    def retire(self) -> None:
        """End `run`, as the group no longer exists."""
        self._is_retired = True
        self._owns_workers.set()

    def update_workers(
        self,
        listings: Iterable[fleet.Listing],
        is_full_list: bool,
        service_shares: dict[str, float],
    ) -> None:
        """Update the list of workers; see `maintenance.update_workers`.

        Args:
            listings: The listed workers.
            is_full_list: Whether the whole list has just been read.
            service_shares: The share of each service's workers that belongs to
                the group, 0 to 1.
        """
        self._listings = tuple(listings)
        self._service_shares = service_shares
        region = self.region
        if region is None:
            return
        region.service_shares = service_shares
        maintenance.update_workers(
            region, self._listings, self._clock(), is_full_list
        )
        self._open_sessions(region)
        self._apply_effects()

    def update_evacuations(self) -> None:
        """Apply a change of the set of evacuated data centres."""
        if self.region is not None:
            evacuation.apply(self.region, self._clock())
            self._apply_effects()

    def update_services(
        self, cold_starts: dict[str, float], unguarded: frozenset[str]
    ) -> None:
        """Apply the services; see `maintenance.update_services`."""
        self._cold_starts = cold_starts
        self._unguarded_services = unguarded
        if self.region is not None:
            maintenance.update_services(self.region, cold_starts, unguarded)

    def record_moved_workers(self) -> None:
        """Record that workers of the group have moved to another group.

        Peers that are restarted later do not know it, so it is reported to them like
        an expired row.
        """
        now = self._clock()
        self._list_history.record_missing(now)
        until = now + worker_lists.EXPIRED_WORKER_S
        self._moved_workers_until = until
        if self.region is not None:
            self.region.moved_workers_until = until

    def submit(self, submission: jobs.Submission, gateway_id: str) -> bool:
        """Admit or refuse a job; return False if this is not the owner."""
        if self.region is None:
            return False
        self._contacts.record_submission(gateway_id)
        submission = _add_read_delay(submission, self._callbacks.get_lag_s())
        try:
            intake.submit(self.region, submission, gateway_id, self._clock())
        except Exception:
            logs.log_failure(LOGGER, "job_intake", submission.job_id)
            job_ends.answer_failed(self.region, submission, gateway_id)
        doubt = self._callbacks.find_doubt(submission.job_id)
        if doubt is not None:
            job_id, now = submission.job_id, self._clock()
            attempt_doubts.record_doubt(self.region, job_id, doubt, now)
        self._apply_effects()
        return True

    def cancel_attempt(
        self, job_id: str, attempt: int, reason: jobs.Reason
    ) -> bool:
        """Cancel an attempt for its gateway; return whether it was known."""
        if self.region is None:
            return False
        known = intake.cancel_attempt(
            self.region, job_id, attempt, reason, self._clock()
        )
        self._apply_effects()
        return known

    def cancel_job(self, job_id: str) -> bool:
        """Cancel a job for all attempts; return whether it was known."""
        if self.region is None:
            return False
        known = intake.cancel_job(self.region, job_id, self._clock())
        self._apply_effects()
        return known

    def release(self, job_id: str, attempt: int) -> None:
        """Forget that an attempt may be in another group."""
        if self.region is not None:
            job_ends.release_refusal(self.region, job_id, attempt)
            self.region.places.release(job_id, attempt)

    def reserve(self, message: messages.Reserve) -> places.Reservation | None:
        """Tell which group may execute a job; None if this is not the owner."""
        if self.region is None:
            return None
        return reservations.reserve(
            self.region,
            message.job_id,
            message.attempt,
            message.group,
            message.budget_s,
            message.is_there,
            self._clock(),
        )

    def record_elsewhere(
        self, job_id: str, attempt: int, budget_s: float
    ) -> None:
        """Record that another group may execute an attempt of a job."""
        if self.region is None:
            return
        now = self._clock()
        intake.record_elsewhere(self.region, job_id, attempt, budget_s, now)
        self._apply_effects()

    def record_gateway_link(self, gateway_id: str, is_linked: bool) -> None:
        """Record that the link to a gateway was established or has ended."""
        if self.region is not None:
            now = self._clock()
            gateway_links.record_change(
                self.region, gateway_id, is_linked, now, self._attempt_lease_s
            )
            if not is_linked:
                attempt_doubts.record_lost_peer(self.region, now)

    def count_reachable_workers(self) -> int:
        """Return the number of workers that this owner reaches."""
        if self.region is None:
            return 0
        return sum(w.is_reachable for w in self.region.workers.values())

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs that have not begun, by queue."""
        counts: dict[str, int] = {}
        if self.region is None:
            return counts
        for job_id in self.region.waiting:
            job = self.region.jobs[job_id]
            if not job.has_begun:
                queue = job.submission.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def measure_loads(self) -> dict[str, fleet.ServiceLoad]:
        """Return the load of the group's workers, by service."""
        if self.region is None:
            return {}
        return sharing.measure_loads(self.region, self._clock())

    def list_speeds(self) -> list[float]:
        """Return the learned speeds of the group's workers."""
        if self.region is None:
            return []
        return [self.region.get_speed(w) for w in self.region.workers]

    def run(self) -> None:
        """Run the periodic maintenance of the tables, forever."""
        while not self._is_retired:
            self._owns_workers.wait()
            gevent.sleep(TICK_S)
            # Resume before the next poll of the event loop, as the time of a tick must
            # not be later than what this one has found but not read yet.
            gevent.sleep(0)
            if self.region is not None:
                now = self._clock()
                self._end_expired_attempts(self.region, now)
                maintenance.step(self.region, now)
                self._close_sessions(self.region)
                self._apply_effects()

    def _end_expired_attempts(self, region: tables.Region, now: float) -> None:
        """End the attempts whose gateways have been silent for too long."""
        self._contacts.record_tick(self._callbacks.list_read_times(), now)
        if self._contacts.must_read_first():
            gateway_links.postpone_removal(region, now)
        silent = self._contacts.list_silent(self._attempt_lease_s)
        region.decide(
            effects.Decision.ATTEMPT_LEASES,
            "",
            attempt_leases.end_expired,
            region,
            silent,
            now,
        )

    def _open_sessions(self, region: tables.Region) -> None:
        """Open a session with each worker that has none at its address.

        A worker whose session fails stays unreachable and gets no tasks.
        """
        for worker in region.workers.values():
            try:
                self._open_session(region, worker)
            except Exception:
                worker_id = worker.listing.worker_id
                logs.log_failure(LOGGER, "worker_session", worker_id)

    def _open_session(
        self, region: tables.Region, worker: fleet.Worker
    ) -> None:
        worker_id = worker.listing.worker_id
        session = self._sessions.get(worker_id)
        if session and session.address == worker.listing.address:
            return
        if session:
            session.close()
            del self._sessions[worker_id]
        callbacks = sessions.Callbacks(
            on_event=self._apply_effects,
            on_fenced=self._callbacks.on_fenced,
            get_lag_s=self._callbacks.get_lag_s,
        )
        session = sessions.Session(region, worker, callbacks, self._clock)
        self._sessions[worker_id] = session
        session.start_polling()

    def _close_all_sessions(self) -> None:
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def _close_sessions(self, region: tables.Region) -> None:
        for worker_id in list(self._sessions):
            if worker_id not in region.workers:
                self._sessions.pop(worker_id).close()

    def _apply_effects(self) -> None:
        """Apply all effects, including those that they cause in turn.

        One that fails does not hold up the others, which are orders to workers
        and answers of other jobs.
        """
        region = self.region
        if region is None or self._is_applying_effects:
            return
        self._is_applying_effects = True
        try:
            while region.effects:
                for effect in region.take_effects():
                    try:
                        self._apply_effect(effect)
                    except Exception:
                        name = type(effect).__name__
                        logs.log_failure(LOGGER, "effect", name)
        finally:
            self._is_applying_effects = False

    def _apply_effect(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.LogEvent):
            self.stalled_runs += effect.event == "run_moved"
            logs.log(LOGGER, effect.event, **effect.fields)
        elif isinstance(effect, effects.AnswerJob):
            self._callbacks.answer(effect.gateway_id, effect.answer)
        elif isinstance(effect, effects.RejectAttempt):
            self._callbacks.reject_attempt(
                effect.gateway_id, effect.job_id, effect.attempt
            )
        elif isinstance(effect, effects.ReportCrashes):
            self._callbacks.report_crashes(
                effect.gateway_id,
                effect.job_id,
                effect.attempt,
                effect.crashes,
            )
        elif isinstance(effect, effects.CountDecision):
            self._callbacks.count(effect.decision)
        elif isinstance(effect, effects.CountFailure):
            self._callbacks.count_failure(effect.failure.value)
        elif isinstance(effect, effects.DecisionFailed):
            logs.log_failure(
                LOGGER, effect.decision.value, effect.subject, effect.error
            )
        else:
            self._send_order(effect)

    def _send_order(
        self, effect: effects.StartRun | effects.StopRun | effects.LookNow
    ) -> None:
        session = self._sessions.get(effect.worker_id)
        if session is None:
            logs.log(
                LOGGER,
                "order_dropped",
                logging.WARNING,
                worker=effect.worker_id,
                order=type(effect).__name__,
            )
        elif isinstance(effect, effects.StartRun):
            session.start_run(effect)
        elif isinstance(effect, effects.StopRun):
            session.stop_run(effect)
        else:
            session.poll_now()


def _add_read_delay(
    submission: jobs.Submission, lag_s: float
) -> jobs.Submission:
    """Add the event loop's lag to a job's age and subtract it from its budget.

    A job waits for about this time before a busy daemon reads it.
    """
    if lag_s < MIN_COUNTED_LAG_S:
        return submission
    return dataclasses.replace(
        submission,
        age_s=submission.age_s + lag_s,
        budget_s=submission.budget_s - lag_s,
    )
