"""Tests of failed attempts over random histories of workers and owners."""

import dataclasses
import random
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import recovery
from tests.scheduling import simulations

WORKERS = ["w0", "w1", "w2"]
JOBS = ("a" * 16, "b" * 16)
MAX_ATTEMPTS = 3
SEEDS = 40
STEPS = 400
STEP_S = 0.02
# A poll reply is delivered up to so many steps after the worker has written it.
MAX_DELAY_STEPS = 6
ENDS = (
    fleet.RunEnd.FAILED,
    fleet.RunEnd.FAILED,
    fleet.RunEnd.STOPPED,
    fleet.RunEnd.LAPSED,
    fleet.RunEnd.BROKEN,
)


@dataclasses.dataclass
class Worker:
    """The true state of a worker's process.

    Attributes:
        started_ms: Start time of the process.
        started_at: The same on the simulation's clock, in seconds.
        running: Number of the run in progress, by task.
        ended: All ends of the process, which it lists again with each poll.
        highest: Highest number of a run that has ended or was stopped, by task.
    """

    started_ms: int
    started_at: float
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: list[fleet.ObservedEnd] = dataclasses.field(default_factory=list)
    highest: dict[str, int] = dataclasses.field(default_factory=dict)


class History:
    """Workers and an owner whose messages are lost, late and repeated.

    Workers restart under the same id, and the owner claims again.

    Attributes:
        simulation: The region of the owner.
        failed_runs: The runs that have truly failed, by task: worker, start time
            of its process, and number.
        claims: How often the owner has claimed again.
    """

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self.simulation = simulations.RegionSimulation(workers=len(WORKERS))
        self.failed_runs: dict[str, set[tuple[str, int, int]]] = {}
        self.claims = 0
        self._workers = {
            name: Worker(simulations.STARTED_MS, self.simulation.now - 50.0)
            for name in WORKERS
        }
        self._late: list[tuple[int, str, dict]] = []
        for job_id in JOBS:
            self.simulation.submit(
                job_id, tasks=2, max_attempts=MAX_ATTEMPTS, budget_s=60.0
            )

    def advance(self, step: int) -> None:
        """Carry out one random event, then deliver messages."""
        self.simulation.now += STEP_S
        name = self._random.choice(WORKERS)
        worker = self._workers[name]
        roll = self._random.random()
        if roll < 0.45:
            self._end_run(name, worker)
        elif roll < 0.46:
            self._restart(worker)
        elif roll < 0.49:
            self._claim_again()
        elif roll < 0.51:
            self.simulation.miss_polls(name)
        self._deliver_starts()
        self._deliver_stops()
        self._write_reply(step, name, worker)
        self._deliver_replies(step)
        self.simulation.step()

    def _end_run(self, name: str, worker: Worker) -> None:
        if not worker.running:
            return
        task = self._random.choice(sorted(worker.running))
        self._end(name, worker, task, self._random.choice(ENDS))

    def _end(
        self, name: str, worker: Worker, task: str, end: fleet.RunEnd
    ) -> None:
        number = worker.running.pop(task)
        worker.highest[task] = max(worker.highest.get(task, 0), number)
        sequence = len(worker.ended) + 1
        worker.ended.append(fleet.ObservedEnd(sequence, task, number, end))
        if end is fleet.RunEnd.FAILED:
            failed = self.failed_runs.setdefault(task, set())
            failed.add((name, worker.started_ms, number))

    def _restart(self, worker: Worker) -> None:
        worker.started_ms += 1
        worker.started_at = self.simulation.now
        worker.running.clear()
        worker.ended.clear()
        worker.highest.clear()

    def _claim_again(self) -> None:
        simulation = self.simulation
        self.claims += 1
        # The sessions of the earlier ownership are closed.
        self._late.clear()
        simulation.region = recovery.rebuild_region(
            simulation.region, simulation.region.epoch + 1, simulation.now
        )
        simulation.list_workers(WORKERS, synced=False)
        simulation.region.is_worker_list_current = True

    def _deliver_starts(self) -> None:
        for order in self.simulation.take_starts():
            worker = self._workers[order.worker_id]
            is_old = order.number <= worker.highest.get(order.task, 0)
            if self._random.random() < 0.1:
                self.simulation.reply(order, fleet.StartReply.NO_ROOM)
            elif is_old:
                self.simulation.reply(order, fleet.StartReply.OLD_RUN)
            else:
                self._deliver_start(order, worker)

    def _deliver_start(self, order: effects.StartRun, worker: Worker) -> None:
        is_lost = self._random.random() < 0.1
        is_unanswered = self._random.random() < 0.1
        if not is_lost:
            worker.running[order.task] = order.number
        if is_lost or is_unanswered:
            self.simulation.reply(order, fleet.StartReply.NO_REPLY)
        else:
            self.simulation.confirm(order)

    def _deliver_stops(self) -> None:
        for order in self.simulation.take_stops():
            worker = self._workers[order.worker_id]
            if self._random.random() < 0.2:
                continue
            if worker.running.get(order.task) == order.number:
                end = fleet.RunEnd.STOPPED
                self._end(order.worker_id, worker, order.task, end)
            highest = worker.highest.get(order.task, 0)
            worker.highest[order.task] = max(highest, order.number)
            self.simulation.reply_stop(order, fleet.StopReply.STOPPED)

    def _write_reply(self, step: int, name: str, worker: Worker) -> None:
        """Let a worker reply to a poll; another reply may overtake this one."""
        reply = {
            "running": tuple((t, n, 10.0) for t, n in worker.running.items()),
            "started_ms": worker.started_ms,
            "clock_s": self.simulation.now - worker.started_at,
            "ended": list(worker.ended),
            "sent_at": self.simulation.now,
        }
        due = step + self._random.randint(0, MAX_DELAY_STEPS)
        self._late.append((due, name, reply))

    def _deliver_replies(self, step: int) -> None:
        due = [entry for entry in self._late if entry[0] <= step]
        self._late = [entry for entry in self._late if entry[0] > step]
        for _, name, reply in due:
            if reply["started_ms"] != self._workers[name].started_ms:
                # The connections of a process that has ended are closed.
                continue
            self.simulation.ends[name] = reply["ended"]
            self.simulation.poll(
                name,
                running=reply["running"],
                started_ms=reply["started_ms"],
                clock_s=reply["clock_s"],
                sent_ago_s=self.simulation.now - reply["sent_at"],
            )


class AttemptHistoryTest(unittest.TestCase):
    """No history makes a job fail before enough of its runs have failed."""

    def test_job_fails_only_after_enough_runs_have_failed(self):
        """Guards against an end that is counted twice, or that is no failure."""
        failed_jobs = claims = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                history = History(seed)
                for step in range(STEPS):
                    history.advance(step)
                    failed_jobs += self._check_answers(history)
                claims += history.claims
        # Histories without them would not test anything.
        self.assertGreater(failed_jobs, SEEDS)
        self.assertGreater(claims, SEEDS)

    def _check_answers(self, history: History) -> int:
        """Check the answers since the last call; return how many failed."""
        count = 0
        for answer in history.simulation.take_answers():
            if answer.reason is not jobs.Reason.TASK_FAILED:
                continue
            count += 1
            names = [jobs.format_task_name(answer.job_id, i) for i in (0, 1)]
            failed = [len(history.failed_runs.get(name, ())) for name in names]
            self.assertGreaterEqual(max(failed), MAX_ATTEMPTS)
        return count
