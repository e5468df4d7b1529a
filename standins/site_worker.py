"""Simulated platform worker with runs, leases and epoch fencing."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json
import time
from typing import Any

import gevent
from gevent import event

from standins import wsgi

# Time between a stop request and the end of the run.
STOP_DELAY_S = 0.03
# Time between the start of a task that crashes its worker and the crash.
CRASH_DELAY_S = 0.012
# Leases that are requested for longer are shortened to this.
MAX_LEASE_S = 1.0
# What the clock of a worker shows at each restart.
CLOCK_START_S = 1000.0


@dataclasses.dataclass
class Faults:
    """Active faults of the worker.

    Attributes:
        fails_all: Each run ends with "failed".
        hangs: Runs report no progress, and new runs do not end by
            themselves.
        slow_factor: Factor by which run times are multiplied.
        is_silent: Calls are neither processed nor answered.
        lost_starts: Number of starts that are processed but not answered.
        late_starts: Number of starts that are not answered and are processed
            after `late_s`.
        late_s: Delay of late starts in seconds.
        is_unhealthy: Starts are refused with status 503.
        late_replies_s: Seconds by which the replies to starts are delayed;
            the starts are processed at once.
    """

    fails_all: bool = False
    hangs: bool = False
    slow_factor: float = 1.0
    is_silent: bool = False
    lost_starts: int = 0
    late_starts: int = 0
    late_s: float = 2.0
    is_unhealthy: bool = False
    late_replies_s: float = 0.0


@dataclasses.dataclass
class Run:
    """A run, with the times and the outcome that tests check.

    Attributes:
        task: The name of the task.
        number: The run number, which increases with each run of a task.
        began_s: The monotonic start time in seconds.
        run_s: The run time in seconds.
        cpu: The CPU demand in thousandths of a core.
        ended_s: The monotonic end time in seconds; None while it runs.
        how: The outcome: "done", "failed", "stopped", "lapsed" or "crashed".
        worker_id: The id of the worker.
        fence: The epoch of the owner that started it.
    """

    task: str
    number: int
    began_s: float
    run_s: float
    cpu: int
    ended_s: float | None = None
    how: str = ""
    worker_id: str = ""
    fence: int = 0


class SiteWorker:
    """A worker and its WSGI application.

    The `Spec` of a task is JSON: `{"run_ms": n, "cpu": n, "fail": bool,
    "crashing_task": n}`. The last one, if present, is the index of the task of
    the job that crashes its worker.

    Attributes:
        worker_id: The id of the worker.
        data_centre: The data centre of the worker.
        faults: The active faults.
        history: All runs that were ever started.
        polls: Number of polls that were not fenced.
        cpu: CPU capacity in thousandths of a core.
        max_cpu: The largest capacity that the worker ever has.
        started_ms: Wall-clock start time of this incarnation in milliseconds.
    """

    def __init__(
        self,
        worker_id: str,
        cpu: int = 64_000,
        crash: Callable[[str], None] | None = None,
        data_centre: str = "",
    ):
        """Start a worker.

        Args:
            worker_id: The id of the worker.
            cpu: CPU capacity in thousandths of a core.
            crash: Crashes the worker; called with its id.
            data_centre: The data centre of the worker.
        """
        self._crash = crash or (lambda worker_id: self.restart())
        self.worker_id = worker_id
        self.data_centre = data_centre
        self.cpu = cpu
        self.max_cpu = cpu
        self.faults = Faults()
        self.history: list[Run] = []
        self.polls = 0
        self._reset()

    @property
    def lease_expires_s(self) -> float:
        """The monotonic time at which the lease expires, in seconds."""
        elapsed_s = self._lease_expires_s - CLOCK_START_S
        return self._clock_origin_s + elapsed_s

    def restart(self) -> None:
        """Restart under the same id; running tasks count as crashed."""
        for run in self._running.values():
            run.ended_s = time.monotonic()
            run.how = "crashed"
        self._reset()

    def _reset(self) -> None:
        self.started_ms = time.time_ns() // 1_000_000
        self._clock_origin_s = time.monotonic()
        self._fence = 0
        self._lease_expires_s = 0.0
        self._running: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._next_end = 1
        # Highest run number by task that has ended or was stopped. Starts up
        # to this number are refused as old.
        self._finished_runs: dict[str, int] = {}
        self._changed = event.Event()

    def list_runs(self) -> list[Run]:
        """Return all runs; those with an expired lease have ended with it."""
        self._expire_runs()
        return self.history

    def serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one call, or fail it according to the active faults."""
        if self.faults.is_silent:
            gevent.sleep(5)
            return wsgi.drop_connection(environ)
        if environ.get("HTTP_POLLENLADDER_EXPECT_INSTANCE") != self.worker_id:
            return self._reply(start_response, 421, {})
        body = json.loads(environ["wsgi.input"].read())
        self._expire_runs()
        path = environ["PATH_INFO"]
        if path == "/run-start" and self._withhold_start_reply(body):
            gevent.sleep(5)
            return wsgi.drop_connection(environ)
        if body.get("Fence", 0) < self._fence:
            return self._reply(start_response, 409, {"Reason": "fence"})
        self._fence = body.get("Fence", 0)
        handlers = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._poll,
        }
        reply = handlers[path](body)
        if path == "/run-start" and self.faults.late_replies_s:
            gevent.sleep(self.faults.late_replies_s)
        return self._reply(start_response, *reply)

    def _withhold_start_reply(self, body: dict[str, Any]) -> bool:
        """Apply the lost and late start faults to a start.

        Returns:
            Whether the start must not be answered.
        """
        if self.faults.lost_starts:
            self.faults.lost_starts -= 1
            self._start(body)
            return True
        if self.faults.late_starts:
            self.faults.late_starts -= 1
            gevent.spawn_later(
                self.faults.late_s, self._start_after_delay, body
            )
            return True
        return False

    def _start_after_delay(self, body: dict[str, Any]) -> None:
        self._expire_runs()
        if body["Fence"] >= self._fence:
            self._start(body)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["Task"], body["Run"]
        spec = json.loads(body["Spec"])
        if self.faults.is_unhealthy:
            return 503, {}
        if body["UntilMs"] / 1000 < self._get_clock_s():
            return 409, {"Reason": "late"}
        self._extend_lease(body)
        known = self._running.get(task)
        if known and known.number == number:
            return 200, {}
        if known or number <= self._finished_runs.get(task, 0):
            return 409, {"Reason": "old"}
        used = sum(run.cpu for run in self._running.values())
        if used + spec["cpu"] > self.cpu:
            return 409, {"Reason": "room"}
        run_s = spec["run_ms"] / 1000 * self.faults.slow_factor
        run = Run(
            task,
            number,
            time.monotonic(),
            run_s,
            spec["cpu"],
            worker_id=self.worker_id,
            fence=body.get("Fence", 0),
        )
        self._running[task] = run
        self.history.append(run)
        if spec.get("crashing_task") == int(task.rsplit(".", 1)[-1]):
            gevent.spawn_later(CRASH_DELAY_S, self._crash, self.worker_id)
        fails = self.faults.fails_all or spec.get("fail", False)
        if not self.faults.hangs:
            how = "failed" if fails else "done"
            gevent.spawn_later(run_s, self._finish, run, how)
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["Task"], body["Run"]
        self._finished_runs[task] = max(
            self._finished_runs.get(task, 0), number
        )
        run = self._running.get(task)
        if run and run.number <= number:
            gevent.spawn_later(STOP_DELAY_S, self._end, run, "stopped")
        return 200, {}

    def _poll(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.polls += 1
        self._extend_lease(body)
        cursor = body.get("AckCursor", 0)
        self._ended = [row for row in self._ended if row[0] > cursor]
        wait_s = body.get("WaitMs", 0) / 1000
        if wait_s and not self._ended:
            self._changed.wait(wait_s)
            self._expire_runs()
        return 200, {
            "born": self.started_ms,
            "Running": [self._describe(r) for r in self._running.values()],
            "Ended": self._ended[:500],
        }

    def _describe(self, run: Run) -> list[Any]:
        percent = 0
        if not self.faults.hangs:
            percent = int(100 * (time.monotonic() - run.began_s) / run.run_s)
        return [run.task, run.number, "", min(percent, 99)]

    def _extend_lease(self, body: dict[str, Any]) -> None:
        if "UntilMs" in body:
            max_expires_s = self._get_clock_s() + MAX_LEASE_S
            expires_s = min(body["UntilMs"] / 1000, max_expires_s)
            self._lease_expires_s = max(self._lease_expires_s, expires_s)

    def _expire_runs(self) -> None:
        """End all runs at the end of the lease, if it has expired."""
        late_s = self._get_clock_s() - self._lease_expires_s
        if late_s > 0:
            ended_s = time.monotonic() - late_s
            for run in list(self._running.values()):
                self._end(run, "lapsed", ended_s)

    def _finish(self, run: Run, how: str) -> None:
        self._expire_runs()
        self._end(run, how)

    def _end(self, run: Run, how: str, ended_s: float | None = None) -> None:
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        run.ended_s = ended_s or time.monotonic()
        run.how = how
        self._finished_runs[run.task] = max(
            self._finished_runs.get(run.task, 0), run.number
        )
        self._ended.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self._changed.set()
        self._changed.clear()

    def _get_clock_s(self) -> float:
        return time.monotonic() - self._clock_origin_s + CLOCK_START_S

    def _reply(
        self, start_response: Callable, status: int, reply: dict[str, Any]
    ) -> list[bytes]:
        reply = reply | {"ClockMs": int(self._get_clock_s() * 1000)}
        body = json.dumps(reply).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} Stand-in", headers)
        return [body]
