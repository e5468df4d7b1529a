"""State of a simulated worker: lease, slots, tasks and faults."""

import collections
import dataclasses
from typing import Any

from pollenladder.core import clocks
from standins import endpoint_leases
from standins import endpoint_messages
from standins import endpoint_tasks

FAILED_RUN_MS = 1.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults; `endpoint_messages.FaultsMessage` has their effects."""

    fail_all: bool = False
    slow_factor: float = 1.0
    silent: bool = False
    leaving: bool = False
    drop_replies: int = 0
    drop_requests: int = 0
    stalled_until_s: float = 0.0
    down: bool = False


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the process started; restarts of the worker keep them."""

    starts: int = 0
    double_starts: int = 0
    ended: int = 0
    ok: int = 0
    errors: int = 0
    requests: int = 0
    fenced: int = 0
    leases: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSample:
    """Usage at one time on the clock of the worker."""

    running: int
    connections_used: int
    sampled_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Planned end of a run, which a stop or a kill may replace.

    This isn't the plan of a customer, which is a name in messages.

    Attributes:
        run_ms: The run time in milliseconds.
        status: "ok", "error" or "stopped".
        output: The result of the task.
    """

    run_ms: float
    status: str
    output: Any


def plan_run(message: endpoint_messages.StartMessage, faults: Faults) -> Plan:
    """Plan how a task ends from its payload and the active faults."""
    if faults.fail_all:
        return Plan(FAILED_RUN_MS, "error", {"task": message.task})
    payload = message.payload if isinstance(message.payload, dict) else {}
    run_ms = float(payload.get("run_ms", 0)) * faults.slow_factor
    if run_ms > message.max_run_ms:
        return Plan(message.max_run_ms, "stopped", None)
    output = {"task": message.task}
    if "echo" in payload:
        output["echo"] = payload["echo"]
    status = "error" if payload.get("fail") else "ok"
    return Plan(run_ms, status, output)


class Worker:
    """The state of one worker.

    Attributes:
        settings: The address and the capacity of the worker.
        clock: Returns the time in seconds.
        leases: The lease state.
        tasks: The tasks since the last restart.
        faults: The active faults.
        counters: Counts of requests, leases and tasks.
        ledger: The task starts on this worker.
        booted_s: The time of the last restart.
        usage: The latest usage sample.
    """

    def __init__(
        self,
        settings: endpoint_messages.WorkerSettings,
        process_ledger: endpoint_tasks.StartLedger,
        clock: clocks.Clock,
    ):
        self.settings = settings
        self.clock = clock
        self.leases = endpoint_leases.NO_LEASE
        self.tasks = endpoint_tasks.TaskTable()
        self.faults = Faults()
        self.counters = Counters()
        self.ledger = endpoint_tasks.StartLedger()
        self.booted_s = clock()
        self.usage = UsageSample(0, 0, self.booted_s)
        self._process_ledger = process_ledger

    def restart(self) -> None:
        """Discard the lease and all tasks, and kill the running tasks."""
        self.leases = endpoint_leases.NO_LEASE
        self.tasks.kill_all()
        self.booted_s = self.clock()

    def compute_up_ms(self) -> int:
        """Return the milliseconds since the worker last restarted."""
        return int((self.clock() - self.booted_s) * 1000)

    def sample_usage(self, connections_used: int) -> None:
        """Store the sample that `GET /v1/usage` reports until the next one."""
        self.usage = UsageSample(
            len(self.tasks.running), connections_used, self.clock()
        )

    def find_refusal(
        self, message: endpoint_messages.StartMessage
    ) -> str | None:
        """Return why a start is refused, or None if it is accepted.

        The lease is renewed if the request holds it, even if the start is
        refused for another reason.
        """
        now_s = self.clock()
        named = endpoint_leases.Lease(
            message.shard,
            message.holder,
            message.epoch,
            now_s + message.ttl_ms / 1000,
        )
        if not endpoint_leases.is_held(self.leases, named, now_s):
            self.counters.fenced += 1
            return "fenced"
        self.leases = endpoint_leases.renew(self.leases, named, now_s)
        if self.faults.leaving:
            return "leaving"
        kinds = self.settings.kinds
        if kinds is not None and message.kind not in kinds:
            return "unknown_kind"
        if len(self.tasks.running) >= self.settings.slots:
            return "busy"
        return None

    def run(
        self, message: endpoint_messages.StartMessage
    ) -> endpoint_tasks.EndedTask | None:
        """Run an accepted task until it ends.

        Returns:
            The ended task, or None if it was killed.
        """
        task = self._begin(message)
        tasks = self.tasks
        plan = plan_run(message, self.faults)
        ending = task.ending.wait(plan.run_ms / 1000)
        tasks.running.discard(task)
        self._process_ledger.end(task.plan)
        if ending == "killed":
            return None
        now_s = self.clock()
        run_ms = round((now_s - task.started_s) * 1000, 3)
        if ending == "stopped":
            plan = Plan(run_ms, "stopped", None)
        ended = endpoint_tasks.EndedTask(
            plan.status, plan.output, run_ms, now_s
        )
        tasks.add_ended(message.task, ended)
        self._count_end(plan.status)
        return ended

    def _begin(
        self, message: endpoint_messages.StartMessage
    ) -> endpoint_tasks.RunningTask:
        task = endpoint_tasks.RunningTask(
            message.task,
            message.customer,
            message.plan,
            message.kind,
            message.holder,
            message.epoch,
            self.clock(),
        )
        self.tasks.running.add(task)
        self._process_ledger.begin(task.plan)
        payload = message.payload if isinstance(message.payload, dict) else {}
        mark = payload.get("mark")
        self.counters.starts += 1
        self.ledger.count_start(message.task, mark)
        if self._process_ledger.count_start(message.task, mark):
            self.counters.double_starts += 1
        return task

    def _count_end(self, status: str) -> None:
        self.counters.ended += 1
        if status == "ok":
            self.counters.ok += 1
        else:
            self.counters.errors += 1
