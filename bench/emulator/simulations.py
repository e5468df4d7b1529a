"""Discrete-event simulation of workers, driven by the owners' real code.

The workers may be split into groups. Each group has an owner, and a gateway
shares the jobs between them by loads that are as old as a heartbeat.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
import itertools

from bench.emulator import crashes
from bench.emulator import disturbances
from bench.emulator import gateways
from bench.emulator import loads
from bench.emulator import submissions
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import features as optional_features
from pollenladder.scheduling import intake
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import order_replies
from pollenladder.scheduling import replies
from pollenladder.scheduling import sharing
from pollenladder.scheduling import tables

SERVICE = submissions.SERVICE
# Interval of the owner's maintenance steps.
MAINTENANCE_INTERVAL_S = 0.02
POLL_INTERVAL_S = 0.2
LEASE_S = 1.0
WORKER_CLOCK_AHEAD_S = 1000.0
# One-way latency between an owner and a worker, with processing on both sides.
WORKER_LATENCY_S = 0.001
# Time between a caller and the owner in both directions together.
CALLER_ROUND_TRIP_S = 0.006
# A job's objective is STRETCH times its ideal duration plus SLACK_S.
STRETCH = 1.6
SLACK_S = 0.06
BUDGET_S = 2.0
# A late job earns LATE_SHARE of its value, up to LATE_FACTOR objectives.
LATE_FACTOR = 3.0
LATE_SHARE = 0.2
# A job's ideal duration assumes this share of the region's capacity.
WAVE_CAPACITY_SHARE = 0.25
MEMORY_MB = 131_072
# Interval between the reports of an owner's load.
LOAD_INTERVAL_S = 0.1


@dataclasses.dataclass
class Faults:
    """A fault of some workers during a span of time.

    Only runs that start within the span are affected.

    Attributes:
        begin_s: Simulated time at which the fault begins.
        end_s: Simulated time at which it ends.
        workers: Number of affected workers, the first ones of the list.
        hangs: Whether their runs never end.
        fails: Whether their runs fail.
        slow_factor: Factor on the duration of their runs.
    """

    begin_s: float
    end_s: float
    workers: int
    hangs: bool = False
    fails: bool = False
    slow_factor: float = 1.0


@dataclasses.dataclass
class Outcome:
    """The result of one job.

    Attributes:
        arrival: The submitted job.
        objective_s: Longest response time that counts as in time, in seconds.
        took_s: Response time in seconds; infinite without an answer.
        outcome: Outcome in the answer, None without an answer.
    """

    arrival: loads.Arrival
    objective_s: float
    took_s: float = float("inf")
    outcome: jobs.Outcome | None = None

    def get_earned_share(self) -> float:
        """Return the share of the job's value that was earned."""
        if self.outcome is not jobs.Outcome.COMPLETED:
            return 0.0
        if self.took_s <= self.objective_s:
            return 1.0
        is_paid = self.took_s <= LATE_FACTOR * self.objective_s
        return LATE_SHARE if is_paid else 0.0


@dataclasses.dataclass
class _Run:
    order: effects.StartRun
    fails: bool
    hangs: bool
    progress: disturbances.Progress


class Simulation:
    """A simulation of workers and the owners of their groups.

    Attributes:
        now: Simulated time in seconds.
        regions: The tables of each group's owner, by the group's name.
        region: The tables of the first group's owner.
        outcomes: Results by job id.
        started_job_ids: Ids of the jobs of which any task was started.
        moved_runs: Number of runs that were stopped as stalled.
        disturbed_runs: Number of runs that started on a faulty worker.
        crashes: Number of crashes of workers.
    """

    def __init__(
        self,
        workers: int,
        faults: Iterable[Faults] = (),
        groups: int = 1,
        budget_s: float = BUDGET_S,
        speeds: Sequence[float] = (),
        factors: disturbances.Factors | None = None,
        features: optional_features.Features = optional_features.ALL,
        crash_plan: crashes.Plan = crashes.NONE,
        sizes: loads.Sizes = loads.USUAL_SIZES,
    ):
        self.now = 0.0
        self.crashes = 0
        self._crash_plan = crash_plan
        self._down_until_s: dict[str, float] = {}
        self._started_ms: dict[str, int] = {}
        self._budget_s = budget_s
        self._sizes = sizes
        self.regions = {
            f"g{index}": tables.Region(1, 0.0, LEASE_S, features)
            for index in range(groups)
        }
        self._factors = factors or {}
        self.region = self.regions["g0"]
        self._gateway = gateways.Gateway(
            tuple(self.regions), self._submit_to_group
        )
        self._groups_by_worker: dict[str, str] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.started_job_ids: set[str] = set()
        self.moved_runs = 0
        self.disturbed_runs = 0
        self._speeds = tuple(speeds) or (1.0,) * workers
        self._faults = tuple(faults)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._running: dict[str, dict[str, _Run]] = {}
        self._unreported_ends: dict[str, list[fleet.ObservedEnd]] = {}
        self._sequences: dict[str, int] = {}
        self._add_workers(workers)

    def _add_workers(self, count: int) -> None:
        listings: dict[str, list[fleet.Listing]] = {n: [] for n in self.regions}
        for index in range(count):
            cpus = self._sizes.worker_cpu_milli
            cpu = cpus[index % len(cpus)]
            worker_id = f"w{index}"
            capacity = jobs.Resources(cpu, MEMORY_MB)
            address = ("10.0.0.1", 80)
            group = f"g{index % len(self.regions)}"
            self._groups_by_worker[worker_id] = group
            listings[group].append(
                fleet.Listing(
                    worker_id, address, group, SERVICE, capacity, False
                )
            )
            self._running[worker_id] = {}
            self._unreported_ends[worker_id] = []
            self._sequences[worker_id] = 0
            self._started_ms[worker_id] = 1
        for group, region in self.regions.items():
            region.is_worker_list_current = True
            region.service_shares = {SERVICE: len(listings[group]) / count}
            maintenance.update_workers(region, listings[group], 0.0)
        for worker_id in self._groups_by_worker:
            self._poll(worker_id)
            self._poll_periodically(worker_id)
        self._report_loads()

    def _find_region(self, worker_id: str) -> tables.Region:
        return self.regions[self._groups_by_worker[worker_id]]

    def _report_loads(self) -> None:
        loads_by_group = {
            group: sharing.measure_loads(region, self.now)
            for group, region in self.regions.items()
        }
        self._gateway.loads = {
            group: reported[SERVICE]
            for group, reported in loads_by_group.items()
            if SERVICE in reported
        }
        self._schedule(self.now + LOAD_INTERVAL_S, self._report_loads)

    def run(self, arrivals: Iterable[loads.Arrival]) -> list[Outcome]:
        """Submit the jobs and return their results.

        The simulation ends two budgets after the last arrival; by then every
        job should have an answer.
        """
        last_s = 0.0
        for index, arrival in enumerate(arrivals):
            job_id = f"j{index}"
            self._schedule(
                arrival.at_s, lambda j=job_id, a=arrival: self._submit(j, a)
            )
            last_s = arrival.at_s
        self._maintain()
        while self._events and self.now < last_s + 2 * self._budget_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self._apply_effects()
        return list(self.outcomes.values())

    def _schedule(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (time_s, next(self._event_numbers), action)
        )

    def _maintain(self) -> None:
        for region in self.regions.values():
            maintenance.step(region, self.now)
        self._schedule(self.now + MAINTENANCE_INTERVAL_S, self._maintain)

    def _submit(self, job_id: str, arrival: loads.Arrival) -> None:
        slots = sum(
            worker.listing.capacity.cpu_milli // arrival.cpu_milli
            for region in self.regions.values()
            for worker in region.workers.values()
        )
        waves = -(
            -len(arrival.runs_s) // max(1, int(slots * WAVE_CAPACITY_SHARE))
        )
        objective_s = STRETCH * max(arrival.runs_s) * waves + SLACK_S
        self.outcomes[job_id] = Outcome(arrival, objective_s)
        submission = submissions.build(
            job_id,
            arrival,
            stretch=STRETCH,
            slack_s=SLACK_S,
            age_s=CALLER_ROUND_TRIP_S / 2,
            budget_s=self._budget_s,
        )
        self._gateway.submit(submission, self.now)

    def _submit_to_group(self, group: str, submission: jobs.Submission) -> None:
        intake.submit(self.regions[group], submission, "g", self.now)

    def _apply_effects(self) -> None:
        while any(region.effects for region in self.regions.values()):
            for group, region in self.regions.items():
                for effect in region.take_effects():
                    self._apply(group, effect)

    def _apply(self, group: str, effect: effects.Effect) -> None:
        arrival_s = self.now + WORKER_LATENCY_S
        if isinstance(effect, effects.StartRun):
            self._schedule(arrival_s, lambda: self._start(effect))
        elif isinstance(effect, effects.StopRun):
            self._schedule(arrival_s, lambda: self._stop(effect))
        elif isinstance(effect, effects.LookNow):
            self._schedule(arrival_s, lambda: self._poll(effect.worker_id))
        elif isinstance(effect, effects.LogEvent):
            self.moved_runs += effect.event == "run_moved"
        elif isinstance(effect, effects.AnswerJob):
            if self._gateway.try_another_group(group, effect.answer, self.now):
                return
            outcome = self.outcomes[effect.answer.job_id]
            if outcome.outcome is None:
                outcome.outcome = effect.answer.outcome
                waited_s = self.now - outcome.arrival.at_s
                outcome.took_s = waited_s + CALLER_ROUND_TRIP_S

    def _start(self, order: effects.StartRun) -> None:
        job_id, _, _, index = order.task.split(".")
        if self._is_down(order.worker_id):
            region = self._find_region(order.worker_id)
            reply = fleet.StartReply.NOT_SENT
            order_replies.handle_start_reply(region, order, reply, self.now)
            return
        self.started_job_ids.add(job_id)
        arrival = self.outcomes[job_id].arrival
        fault = self._find_fault(order.worker_id)
        self.disturbed_runs += fault is not None
        run_s = arrival.runs_s[int(index)]
        run_s *= fault.slow_factor if fault else 1.0
        run_s /= self._speeds[int(order.worker_id[1:])]
        run = _Run(
            order,
            fails=bool(fault and fault.fails),
            hangs=bool(fault and fault.hangs),
            progress=disturbances.Progress(
                arrival.get_queue(), run_s, self.now
            ),
        )
        self._running[order.worker_id][order.task] = run
        if self._crash_plan.crashes(arrival.kind, job_id, int(index)):
            self._schedule(
                self.now + crashes.CRASH_DELAY_S,
                lambda: self._crash(order.worker_id),
            )
        order_replies.handle_start_reply(
            self._find_region(order.worker_id),
            order,
            fleet.StartReply.STARTED,
            self.now,
        )
        self._update_rates(order.worker_id)

    def _is_down(self, worker_id: str) -> bool:
        return self.now < self._down_until_s.get(worker_id, 0.0)

    def _crash(self, worker_id: str) -> None:
        """End the process of a worker with all of its runs."""
        if self._is_down(worker_id):
            return
        self.crashes += 1
        self._running[worker_id].clear()
        self._unreported_ends[worker_id].clear()
        self._down_until_s[worker_id] = self.now + crashes.OUTAGE_S
        self._started_ms[worker_id] += 1
        for _ in range(replies.MAX_MISSED_POLLS):
            self._schedule(
                self.now + WORKER_LATENCY_S, lambda: self._poll(worker_id)
            )

    def _update_rates(self, worker_id: str) -> None:
        """Reschedule the ends of the runs whose neighbours changed."""
        worker_runs = list(self._running[worker_id].values())
        for run in worker_runs:
            others = (r.progress.queue for r in worker_runs if r is not run)
            rate = disturbances.compute_rate(
                self._factors, run.progress.queue, others
            )
            if run.progress.rate == rate:
                continue
            at_s = run.progress.set_rate(rate, self.now)
            if not run.hangs:
                self._schedule_end(run, at_s)

    def _schedule_end(self, run: _Run, at_s: float) -> None:
        end = fleet.RunEnd.FAILED if run.fails else fleet.RunEnd.DONE
        updates = run.progress.updates

        def end_if_current() -> None:
            if run.progress.updates == updates:
                self._end(run, end)

        self._schedule(at_s, end_if_current)

    def _find_fault(self, worker_id: str) -> Faults | None:
        index = int(worker_id[1:])
        for fault in self._faults:
            is_active = fault.begin_s <= self.now < fault.end_s
            if is_active and index < fault.workers:
                return fault
        return None

    def _stop(self, order: effects.StopRun) -> None:
        run = self._running[order.worker_id].get(order.task)
        if run is not None and run.order.number == order.number:
            self._end(run, fleet.RunEnd.STOPPED)
        order_replies.handle_stop_reply(
            self._find_region(order.worker_id),
            order,
            fleet.StopReply.STOPPED,
            self.now,
        )

    def _end(self, run: _Run, end: fleet.RunEnd) -> None:
        worker_id = run.order.worker_id
        if self._running[worker_id].get(run.order.task) is not run:
            return
        del self._running[worker_id][run.order.task]
        self._sequences[worker_id] += 1
        self._unreported_ends[worker_id].append(
            fleet.ObservedEnd(
                self._sequences[worker_id],
                run.order.task,
                run.order.number,
                end,
            )
        )
        self._schedule(
            self.now + WORKER_LATENCY_S, lambda: self._poll(worker_id)
        )
        self._update_rates(worker_id)

    def _poll_periodically(self, worker_id: str) -> None:
        self._poll(worker_id)
        self._schedule(
            self.now + POLL_INTERVAL_S,
            lambda: self._poll_periodically(worker_id),
        )

    def _poll(self, worker_id: str) -> None:
        region = self._find_region(worker_id)
        if self._is_down(worker_id):
            replies.handle_missed_poll(
                region, worker_id, self.now, fleet.MissedPoll.CLOSED
            )
            replies.handle_process_end(
                region, worker_id, fleet.ProcessEnd.CLOSED, self.now
            )
            return
        worker = region.workers[worker_id]
        worker.lease_until_s = self.now + WORKER_CLOCK_AHEAD_S + LEASE_S
        ended, self._unreported_ends[worker_id] = (
            self._unreported_ends[worker_id],
            [],
        )
        running = tuple(
            self._observe(run) for run in self._running[worker_id].values()
        )
        reply = fleet.PollReply(
            self.now + WORKER_CLOCK_AHEAD_S,
            self._started_ms[worker_id],
            running,
            tuple(ended),
        )
        replies.handle_poll_reply(
            region,
            worker_id,
            reply,
            self.now - WORKER_LATENCY_S,
            self.now,
        )

    def _observe(self, run: _Run) -> fleet.ObservedRun:
        percent = 0.0
        if not run.hangs:
            share = run.progress.get_done_share(self.now)
            percent = float(min(99, int(100 * share)))
        return fleet.ObservedRun(run.order.task, run.order.number, percent)
