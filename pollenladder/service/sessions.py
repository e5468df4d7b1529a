"""The owner's session with one worker: polls, starts and stops."""

from collections.abc import Callable
import dataclasses
import logging
import math

import gevent

from pollenladder.cluster import heartbeats
from pollenladder.core import clocks
from pollenladder.fleet import entities as fleet
from pollenladder.logs import lines as logs
from pollenladder.platform import workers
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import order_replies
from pollenladder.scheduling import polls
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import witnesses

LOGGER = logging.getLogger(__name__)

# Pause before the next poll of an unreachable worker.
UNREACHABLE_PAUSE_S = 0.15
# Pause after a poll that failed unexpectedly.
FAILED_PAUSE_S = 0.15
FENCED_PAUSE_S = 0.3
# A start is not sent any more this long after it was decided: daemons that have not
# heard from this one since may have claimed the workers and started the task.
MAX_START_AGE_S = heartbeats.OWNER_TIMEOUT_S - heartbeats.MIN_INTERVAL_S


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that a session calls.

    Attributes:
        on_event: Called after the region's tables have changed.
        on_fenced: Called with the worker's id when the worker has seen a
            higher epoch.
        get_lag_s: Returns the mean lag of the event loop, in seconds.
    """

    on_event: Callable[[], None]
    on_fenced: Callable[[str], None]
    get_lag_s: Callable[[], float]


class Session:
    """Polls one worker and sends it orders, while this daemon owns it.

    Attributes:
        address: The address of the worker.
    """

    def __init__(
        self,
        region: tables.Region,
        worker: fleet.Worker,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._region = region
        self._worker = worker
        self._worker_id = worker.listing.worker_id
        self._callbacks = callbacks
        self._clock = clock
        self._client = workers.WorkerClient(
            self._worker_id, worker.listing.address, clock, callbacks.get_lag_s
        )
        self._closed = False
        self._extra_wanted = False
        self._extra_running = False
        self.address = worker.listing.address

    @property
    def connections_opened(self) -> int:
        """The number of connections opened so far."""
        return self._client.connections_opened

    def start_polling(self) -> None:
        """Start to poll the worker."""
        gevent.spawn(self._run)

    def close(self) -> None:
        """Stop polling; orders that were already sent are not revoked."""
        self._closed = True
        self._client.close()

    def start_run(self, order: effects.StartRun) -> None:
        """Send an order to start a run, without waiting for the reply."""
        gevent.spawn(self._start_run_safely, order)

    def stop_run(self, order: effects.StopRun) -> None:
        """Send an order to stop a run, without waiting for the reply."""
        gevent.spawn(self._stop_run, order)

    def poll_now(self) -> None:
        """Poll once more, without waiting for the poll in progress."""
        self._extra_wanted = True
        if not self._extra_running:
            self._extra_running = True
            gevent.spawn(self._poll_extra)

    def _run(self) -> None:
        while not self._closed:
            pause_s = self._poll_safely(is_extra=False)
            if pause_s:
                gevent.sleep(pause_s)

    def _poll_extra(self) -> None:
        while self._extra_wanted and not self._closed:
            self._extra_wanted = False
            self._poll_safely(is_extra=True)
        self._extra_running = False

    def _poll_safely(self, is_extra: bool) -> float:
        """Poll once; see `_poll`. A poll that fails unexpectedly counts as missed.

        Otherwise the worker would count as reachable and get tasks, although
        the owner hears nothing from it.
        """
        try:
            return self._poll(is_extra)
        except Exception as error:
            logs.log_failure(LOGGER, "worker_poll", self._worker_id)
            missed = workers.PollError(f"unexpected error: {error!a:.200}")
        try:
            self._handle_missed_poll(missed)
        except Exception:
            logs.log_failure(LOGGER, "missed_poll", self._worker_id)
        gevent.sleep(FAILED_PAUSE_S)
        return 0.0

    def _poll(self, is_extra: bool) -> float:
        """Poll once; return the pause before the next poll, in seconds.

        Each poll of a reachable worker also renews the leases of its runs, unless
        one of them is unclaimed. Those of an unreachable worker expire, so that its
        tasks can start elsewhere.

        Args:
            is_extra: Whether the worker replies at once, without waiting for a
                run to end.
        """
        sent_at = self._clock()
        worker = self._worker
        wait_s = 0.0 if is_extra else polls.choose_wait_s(worker, sent_at)
        renews = worker.is_synced and worker.is_reachable
        lease_until_s = self._extend_lease() if renews else None
        try:
            reply = self._client.poll(
                self._region.epoch,
                worker.cursor,
                wait_s,
                lease_until_s,
                polls.choose_slack_s(worker, sent_at),
            )
        except workers.FencedError:
            self._handle_fenced()
            return FENCED_PAUSE_S
        except workers.PollError as error:
            return self._handle_missed_poll(error)
        if not self._closed:
            replies.handle_poll_reply(
                self._region, self._worker_id, reply, sent_at, self._clock()
            )
            self._callbacks.on_event()
        return 0.0

    def _handle_fenced(self) -> None:
        if self._closed:
            return
        replies.handle_fenced(self._region, self._worker_id)
        self._callbacks.on_fenced(self._worker_id)

    def _handle_missed_poll(self, error: workers.PollError) -> float:
        if self._closed:
            return 0.0
        was_reachable = self._worker.is_reachable
        replies.handle_missed_poll(
            self._region,
            self._worker_id,
            self._clock(),
            error.cause,
        )
        if was_reachable:
            logs.log(
                LOGGER,
                "look_missed",
                worker=self._worker_id,
                error=str(error),
                cause=error.cause.value,
                missed=self._worker.missed_polls,
            )
        self._callbacks.on_event()
        if isinstance(error, workers.RefusedError):
            self._check_refusal()
        if self._worker.missed_polls < replies.MAX_MISSED_POLLS:
            return 0.0
        return UNREACHABLE_PAUSE_S

    def _check_refusal(self) -> None:
        """Find out whether the process has ended or the network refuses.

        A refusal alone counts as silence. A process that has ended has closed its
        connections before, and the others of its data centre accept new ones.
        """
        worker = self._worker
        if not worker.has_closed_connections():
            return
        if worker.is_reachable or not crashes.is_crash_possible(worker):
            return
        is_only = not witnesses.has_others(self._region, worker)
        if not is_only and not self._do_witnesses_accept():
            return
        if not self._closed:
            replies.handle_process_end(
                self._region,
                self._worker_id,
                fleet.ProcessEnd.CLOSED,
                self._clock(),
            )
            self._callbacks.on_event()

    def _do_witnesses_accept(self) -> bool:
        chosen = witnesses.choose(self._region, self._worker)
        return bool(chosen) and all(
            workers.accepts_connection(witness.listing.address)
            for witness in chosen
        )

    def _extend_lease(self, latest: float = math.inf) -> float | None:
        """Return a lease expiry by the worker's clock; record the latest.

        Args:
            latest: The latest expiry, monotonic, in seconds.

        Returns:
            None if the leases must not be extended.
        """
        worker = self._worker
        now = self._clock()
        expiry = lease_limits.choose_expiry(self._region, worker, now)
        if expiry is None:
            return None
        error_s = _bound_clock_error_s(worker, now)
        until_s = min(expiry, latest) + worker.clock_ahead_s - error_s
        worker.lease_until_s = max(worker.lease_until_s, until_s)
        worker.granted_until_s = max(worker.granted_until_s, until_s)
        return until_s

    def _start_run_safely(self, order: effects.StartRun) -> None:
        """Start a run; after an unexpected error, the run may exist."""
        try:
            self._start_run(order)
        except Exception:
            logs.log_failure(LOGGER, "run_start", order.task)
            self._handle_start_reply(order, fleet.StartReply.NO_REPLY)

    def _start_run(self, order: effects.StartRun) -> None:
        # The process may have been paused since the order was decided on. The
        # lease is computed only here, so it would not bound the delay.
        if self._region.evacuations.is_current(self._clock()):
            reply = self._send_start(order)
        else:
            reply = fleet.StartReply.NOT_SENT
        self._handle_start_reply(order, reply)

    def _send_start(self, order: effects.StartRun) -> fleet.StartReply:
        """Send a start unless it is outdated; its lease counts from the decision."""
        run = self._worker.runs.get(order.task)
        if run is None or not self._is_start_current(order, run):
            return fleet.StartReply.OUTDATED
        lease_until_s = self._extend_lease(
            run.sent_at + self._region.max_lease_s
        )
        if lease_until_s is None:
            return fleet.StartReply.NO_LEASE
        return self._client.start(
            order.task,
            order.number,
            order.spec,
            lease_until_s,
            self._region.epoch,
        )

    def _is_start_current(
        self, order: effects.StartRun, run: fleet.Run
    ) -> bool:
        """Return whether a run is still to be started; log it if not."""
        age_s = self._clock() - run.sent_at
        is_wanted = (
            run.number == order.number
            and run.state is fleet.RunState.STARTING
            and not run.is_orphan
            and not self._closed
        )
        if is_wanted and age_s <= MAX_START_AGE_S:
            return True
        logs.log(
            LOGGER,
            "start_outdated",
            worker=self._worker_id,
            task=order.task,
            run=order.number,
            age_s=round(age_s, 3),
        )
        return False

    def _handle_start_reply(
        self, order: effects.StartRun, reply: fleet.StartReply
    ) -> None:
        if self._closed:
            return
        if reply is fleet.StartReply.FENCED:
            self._handle_fenced()
        order_replies.handle_start_reply(
            self._region, order, reply, self._clock()
        )
        self._callbacks.on_event()

    def _stop_run(self, order: effects.StopRun) -> None:
        reply = self._client.stop(order.task, order.number, self._region.epoch)
        if self._closed:
            return
        order_replies.handle_stop_reply(
            self._region, order, reply, self._clock()
        )
        self._callbacks.on_event()


def _bound_clock_error_s(worker: fleet.Worker, now: float) -> float:
    """Return by how much a worker's clock may be behind since its last poll reply.

    The reply may be from before a pause of this process.
    """
    replied_at = worker.polled_clock_s - worker.clock_ahead_s
    return runs.MAX_CLOCK_DRIFT * (now - replied_at)
