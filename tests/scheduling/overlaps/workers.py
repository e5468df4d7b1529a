"""A simulated worker, by the platform's protocol."""

from collections.abc import Callable
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.platform import workers
from tests.scheduling.overlaps import schedules

MAX_LEASE_S = 1.0
# A worker's clock may be so much slow.
MAX_SLOWNESS = 0.02
CLOCK_ORIGIN_S = 1000.0
# Longest time that a worker takes to stop a run.
MAX_STOP_S = 0.1


@dataclasses.dataclass(eq=False)
class Run:
    """A run in progress.

    Attributes:
        task: The task's name.
        number: The run's number.
        epoch: The epoch of the owner that started it.
        cpu_milli: What it occupies, in thousandths of a core.
        began_at: When it began.
        run_s: How long it lasts.
    """

    task: str
    number: int
    epoch: int
    cpu_milli: int
    began_at: float
    run_s: float


class Worker:
    """One worker, which may end and be followed by another process at its id.

    Attributes:
        worker_id: The worker's id.
        is_up: Whether a process runs.
        started_ms: When the process started, in milliseconds.
        running: The runs in progress, by task.
        lease_until_s: The end of the lease, by the worker's clock.
    """

    def __init__(
        self,
        worker_id: str,
        cpu_milli: int,
        schedule: schedules.Schedule,
        record: Callable[..., None],
    ):
        """Start a worker.

        Args:
            worker_id: The worker's id.
            cpu_milli: Its capacity, in thousandths of a core.
            schedule: What is still to happen.
            record: Records an event of the history, with its fields.
        """
        self.worker_id = worker_id
        self._cpu_milli = cpu_milli
        self._schedule = schedule
        self._record = record
        self.start()

    def start(self) -> None:
        """Start a process that knows nothing of before."""
        self.is_up = True
        self.started_ms = int(self._schedule.now * 1000)
        self.running: dict[str, Run] = {}
        self.lease_until_s = 0.0
        self._rate = 1 - self._schedule.random.uniform(0.0, MAX_SLOWNESS)
        self._origin_at = self._schedule.now
        self._fence = 0
        self._ended: list[fleet.ObservedEnd] = []
        self._ends = 0
        self._highest: dict[str, int] = {}
        self._polls: list[Callable[[], None]] = []

    def kill(self) -> None:
        """End the process, and with it all runs."""
        self.is_up = False
        self._record("worker_killed", runs=list(self.running))
        self.running.clear()

    def get_clock_s(self) -> float:
        """Return the worker's clock, in seconds."""
        passed_s = self._schedule.now - self._origin_at
        return CLOCK_ORIGIN_S + passed_s * self._rate

    def handle_start(
        self,
        task: str,
        number: int,
        cpu_milli: int,
        run_s: float,
        until_s: float,
        epoch: int,
    ) -> fleet.StartReply:
        """Start a run."""
        if not self._accepts(epoch):
            return fleet.StartReply.FENCED
        if until_s < self.get_clock_s():
            return fleet.StartReply.LATE
        self._extend_lease(until_s, epoch)
        known = self.running.get(task)
        if known is not None and known.number == number:
            return fleet.StartReply.STARTED
        if known is not None or number <= self._highest.get(task, 0):
            return fleet.StartReply.OLD_RUN
        used = sum(run.cpu_milli for run in self.running.values())
        if used + cpu_milli > self._cpu_milli:
            return fleet.StartReply.NO_ROOM
        now = self._schedule.now
        run = Run(task, number, epoch, cpu_milli, now, run_s)
        self.running[task] = run
        self._schedule.call_later(
            run_s, None, self._end, run, fleet.RunEnd.DONE
        )
        self._record("run_begins", task=task, run=number, epoch=epoch)
        return fleet.StartReply.STARTED

    def handle_stop(
        self, task: str, number: int, epoch: int
    ) -> fleet.StopReply:
        """Stop a run, or bar its start."""
        if not self._accepts(epoch):
            return fleet.StopReply.FENCED
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            stop_s = self._schedule.random.uniform(0.0, MAX_STOP_S)
            self._schedule.call_later(
                stop_s, None, self._end, run, fleet.RunEnd.STOPPED
            )
        return fleet.StopReply.STOPPED

    def handle_poll(
        self,
        epoch: int,
        cursor: int,
        wait_s: float,
        until_s: float | None,
        reply: Callable[[fleet.PollReply | Exception], None],
    ) -> None:
        """Report the runs, at once or when one ends.

        Args:
            epoch: The owner's epoch.
            cursor: The last end that was processed.
            wait_s: For how long to wait for an end.
            until_s: The new end of the lease, or None.
            reply: Called with the reply.
        """
        if not self._accepts(epoch):
            reply(workers.FencedError("fenced"))
            return
        if until_s is not None:
            self._extend_lease(until_s, epoch)
        self._ended = [end for end in self._ended if end.sequence > cursor]
        started_ms = self.started_ms
        is_answered = False

        def answer() -> None:
            nonlocal is_answered
            if not is_answered and self._is_same(started_ms):
                is_answered = True
                reply(self._build_reply())

        if not wait_s or self._ended:
            answer()
            return
        self._polls.append(answer)
        self._schedule.call_later(wait_s, None, answer)

    def _build_reply(self) -> fleet.PollReply:
        now = self._schedule.now
        return fleet.PollReply(
            int(self.get_clock_s() * 1000) / 1000,
            self.started_ms,
            tuple(
                fleet.ObservedRun(
                    run.task,
                    run.number,
                    int(99 * min(1.0, (now - run.began_at) / run.run_s)),
                )
                for run in self.running.values()
            ),
            tuple(self._ended),
        )

    def _is_same(self, started_ms: int) -> bool:
        return self.is_up and self.started_ms == started_ms

    def _accepts(self, epoch: int) -> bool:
        if epoch < self._fence:
            return False
        self._fence = epoch
        return True

    def _extend_lease(self, until_s: float, epoch: int) -> None:
        clock_s = self.get_clock_s()
        until_s = min(int(until_s * 1000) / 1000, clock_s + MAX_LEASE_S)
        if until_s <= self.lease_until_s:
            return
        self.lease_until_s = until_s
        if self.running:
            self._record(
                "lease_extended",
                until_s=round(until_s, 3),
                clock_s=round(clock_s, 3),
                epoch=epoch,
            )
        left_s = (until_s - clock_s) / self._rate
        self._schedule.call_later(
            left_s, None, self._expire, until_s, self.started_ms
        )

    def _expire(self, until_s: float, started_ms: int) -> None:
        if self._is_same(started_ms) and self.lease_until_s == until_s:
            for run in list(self.running.values()):
                self._end(run, fleet.RunEnd.LAPSED)

    def _end(self, run: Run, how: fleet.RunEnd) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        self._ends += 1
        end = fleet.ObservedEnd(self._ends, run.task, run.number, how)
        self._ended.append(end)
        self._record("run_ends", task=run.task, run=run.number, how=how.value)
        polls, self._polls = self._polls, []
        for answer in polls:
            answer()
