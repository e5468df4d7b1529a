"""A region with simulated workers and a simulated clock."""

import dataclasses
import zlib

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_lists
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import order_replies
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs

LEASE_S = 1.0
EPSILON_S = 0.001
CORES_64 = jobs.Resources(cpu_milli=64_000, memory_mb=131_072)
SERVICE = "training"
STARTED_MS = 1_000


def build_listing(
    worker_id: str, capacity: jobs.Resources = CORES_64
) -> fleet.Listing:
    """Return a worker's entry."""
    return fleet.Listing(
        worker_id, ("10.0.0.1", 80), "norte", SERVICE, capacity, False
    )


def build_submission(job_id: str, **changes: object) -> jobs.Submission:
    """Return a job of two tasks that each need 27 cores for 200 ms."""
    default = jobs.Submission(
        job_id=job_id,
        queue="lookup",
        service=SERVICE,
        priority=1,
        max_attempts=3,
        stretch=1.6,
        slack_s=0.06,
        age_s=0.0,
        budget_s=2.0,
        spec="(spec)",
        tasks=2,
        cpu_milli=27_000,
        memory_mb=64,
        gpus=0,
        estimate_s=0.2,
        may_have_begun=False,
        first_run=1,
    )
    return dataclasses.replace(default, **changes)


def get_attempt(gateway_id: str) -> int:
    """Return the number of the attempt that a gateway submits by default."""
    return zlib.crc32(gateway_id.encode())


def build_list_history(now: float) -> worker_lists.ListHistory:
    """Return the knowledge of a daemon that saw all rows since the start."""
    history = worker_lists.ListHistory(is_first_start=True)
    history.record_store_state(True, now)
    history.record_read(1, now, is_full=True)
    return history


class RegionSimulation:
    """A region, its clock, and the effects that it has decided on.

    Attributes:
        now: Monotonic time in seconds.
        region: The region.
        effects: Effects that no test has taken yet, without log events.
        log_events: All log events.
        ends: Ends that each worker reports, by worker id.
    """

    def __init__(self, workers: int = 3, epoch: int = 1):
        self.now = 100.0
        self.region = tables.Region(
            epoch,
            self.now,
            LEASE_S,
            list_history=build_list_history(self.now),
        )
        self.region.is_worker_list_current = True
        self.now += unknown_runs.OWNER_SETTLING_S
        self.effects: list[effects.Effect] = []
        self.log_events: list[effects.LogEvent] = []
        self.ends: dict[str, list[fleet.ObservedEnd]] = {}
        self.list_workers([f"w{i}" for i in range(workers)])

    def list_workers(
        self,
        worker_ids: list[str],
        synced: bool = True,
        last_expired_at: float = float("-inf"),
    ) -> None:
        """Replace the list of workers, and poll each worker if `synced`."""
        listings = [build_listing(worker_id) for worker_id in worker_ids]
        if last_expired_at > float("-inf"):
            self.region.list_history.record_expired(last_expired_at)
        maintenance.update_workers(self.region, listings, self.now)
        if synced:
            for worker_id in worker_ids:
                self.poll(worker_id)
        self._collect()

    def submit(
        self, job_id: str, gateway_id: str = "g1", **changes: object
    ) -> None:
        """Submit a job; each gateway has an attempt of its own by default."""
        changes.setdefault("attempt", get_attempt(gateway_id))
        submission = build_submission(job_id, **changes)
        intake.submit(self.region, submission, gateway_id, self.now)
        self._collect()

    def step(self, seconds: float = 0.0) -> None:
        """Advance the clock and run maintenance."""
        self.now += seconds
        self.region.list_history.record_read(1, self.now, is_full=False)
        maintenance.step(self.region, self.now)
        self._collect()

    def poll(
        self,
        worker_id: str,
        running: tuple[tuple[str, int, float], ...] | None = None,
        sent_ago_s: float = 0.001,
        started_ms: int = STARTED_MS,
        clock_s: float | None = None,
    ) -> None:
        """Deliver a poll reply; by default it contains all runs known here."""
        worker = self.region.workers[worker_id]
        if running is None:
            running = tuple(
                (run.task, run.number, run.percent)
                for run in worker.runs.values()
            )
        reply = fleet.PollReply(
            clock_s=self.now - 50.0 if clock_s is None else clock_s,
            started_ms=started_ms,
            running=tuple(fleet.ObservedRun(*row) for row in running),
            ended=tuple(self.ends.get(worker_id, ())),
        )
        replies.handle_poll_reply(
            self.region, worker_id, reply, self.now - sent_ago_s, self.now
        )
        self._collect()

    def crash(self, worker_id: str) -> None:
        """End the process of a worker; its host closes the connections."""
        self.lose(worker_id, fleet.MissedPoll.CLOSED)
        replies.handle_process_end(
            self.region, worker_id, fleet.ProcessEnd.CLOSED, self.now
        )
        self._collect()

    def replace(self, worker_id: str) -> None:
        """Let another process answer polls at the address of a lost worker."""
        replies.handle_missed_poll(
            self.region, worker_id, self.now, fleet.MissedPoll.REPLACED
        )
        self._collect()

    def lose(
        self,
        worker_id: str,
        cause: fleet.MissedPoll = fleet.MissedPoll.NO_REPLY,
    ) -> None:
        """Let a worker miss as many polls as make it unreachable."""
        worker = self.region.workers[worker_id]
        worker.lease_until_s = self.now + worker.clock_ahead_s + LEASE_S
        self.miss_polls(worker_id, cause)

    def miss_polls(
        self,
        worker_id: str,
        cause: fleet.MissedPoll = fleet.MissedPoll.NO_REPLY,
    ) -> None:
        """Let a worker miss as many polls, without any lease granted here."""
        for _ in range(replies.MAX_MISSED_POLLS):
            replies.handle_missed_poll(self.region, worker_id, self.now, cause)
        self._collect()

    def expire_lease(self) -> None:
        """Advance the clock beyond the leases of workers that are lost.

        Their clocks may have been slow since their last replies.
        """
        replied_at = min(
            worker.polled_clock_s - worker.clock_ahead_s
            for worker in self.region.workers.values()
        )
        drift_s = runs.MAX_CLOCK_DRIFT * (self.now + LEASE_S - replied_at)
        margin_s = runs.LEASE_EXPIRY_MARGIN_S + drift_s
        self.step(LEASE_S + margin_s + EPSILON_S)

    def list_logged(self, event: str) -> list[dict[str, object]]:
        """Return the fields of all log events of a kind."""
        return [e.fields for e in self.log_events if e.event == event]

    def confirm(self, order: effects.StartRun) -> None:
        """Deliver a worker's confirmation of a start."""
        self.reply(order, fleet.StartReply.STARTED)

    def reply(self, order: effects.StartRun, reply: fleet.StartReply) -> None:
        """Deliver the result of a start."""
        order_replies.handle_start_reply(self.region, order, reply, self.now)
        self._collect()

    def reply_stop(
        self, order: effects.StopRun, reply: fleet.StopReply
    ) -> None:
        """Deliver the result of a stop."""
        order_replies.handle_stop_reply(self.region, order, reply, self.now)
        self._collect()

    def end(
        self, order: effects.StartRun, end: fleet.RunEnd = fleet.RunEnd.DONE
    ) -> None:
        """End a run and deliver a poll reply that reports it."""
        ends = self.ends.setdefault(order.worker_id, [])
        ends.append(
            fleet.ObservedEnd(len(ends) + 1, order.task, order.number, end)
        )
        others = tuple(
            (run.task, run.number, run.percent)
            for run in self.region.workers[order.worker_id].runs.values()
            if run.task != order.task
        )
        self.poll(order.worker_id, running=others)

    def take_starts(self) -> list[effects.StartRun]:
        """Return the start orders since the last call."""
        return self._take(effects.StartRun)

    def take_stops(self) -> list[effects.StopRun]:
        """Return the stop orders since the last call."""
        return self._take(effects.StopRun)

    def take_answers(self) -> list[jobs.Answer]:
        """Return the answers since the last call."""
        return [effect.answer for effect in self._take(effects.AnswerJob)]

    def _take(self, kind: type) -> list:
        taken = [effect for effect in self.effects if type(effect) is kind]
        self.effects = [e for e in self.effects if type(e) is not kind]
        return taken

    def _collect(self) -> None:
        for effect in self.region.take_effects():
            if isinstance(effect, effects.LogEvent):
                self.log_events.append(effect)
            else:
                self.effects.append(effect)
