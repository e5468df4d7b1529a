"""A worker that follows the pages: runs, leases, generation numbers, crashes."""

import dataclasses
import json
import time
from typing import Any

import gevent
from gevent import event

from standins import wsgi

STOP_S = 0.03
CRASH_AFTER_S = 0.012
LEASE_CHECK_S = 0.01


@dataclasses.dataclass
class Run:
    """One run of a task. Times are monotonic, in seconds."""

    task: str
    number: int
    worker_id: str
    spec: str
    began_s: float
    ends_at_s: float
    cpu: int
    ended_s: float | None = None
    how: str = ""


class Worker:
    """One worker and its HTTP interface.

    A task's `Spec` is JSON: `ms` is its run time, `cpu` its share of the
    capacity, and `deadly` lists the indexes of tasks that crash their worker.

    Attributes:
        history: All runs that were started.
        crashes: When the worker crashed, monotonic, in seconds.
        is_up: Whether the process is up.
    """

    def __init__(self, worker_id: str, cpu: int, max_hold_s: float):
        self.worker_id = worker_id
        self.cpu = cpu
        self.history: list[Run] = []
        self.crashes: list[float] = []
        self.is_up = True
        self._max_hold_s = max_hold_s
        self._reset()
        self._server = wsgi.serve(self._serve)
        self.port = self._server.server_port
        gevent.spawn(self._watch_leases)

    def crash(self, down_s: float) -> None:
        """End the process; it is back after a time under the same id."""
        if not self.is_up:
            return
        self.is_up = False
        now = time.monotonic()
        self.crashes.append(now)
        for run in self._running.values():
            run.ended_s, run.how = now, "crashed"
        self._reset()
        self._server.crash()
        gevent.spawn_later(down_s, self._restart)

    def close(self) -> None:
        """Stop the server."""
        self._server.stop(timeout=0)

    def list_running(self) -> list[Run]:
        """Return the runs in progress."""
        return list(self._running.values())

    def _restart(self) -> None:
        self._reset()
        self._server = wsgi.serve(self._serve, self.port)
        self.is_up = True

    def _reset(self) -> None:
        self._born_ms = time.time_ns() // 1_000_000
        self._origin_s = time.monotonic()
        self._fence = 0
        self._lease_until_s = 0.0
        self._running: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._last_end = 0
        self._finished: dict[str, int] = {}
        self._has_new_end = event.Event()

    def _get_clock_s(self) -> float:
        return time.monotonic() - self._origin_s

    def _watch_leases(self) -> None:
        while True:
            gevent.sleep(LEASE_CHECK_S)
            if self._get_clock_s() > self._lease_until_s:
                for run in self.list_running():
                    self._end(run, "lapsed")

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Any:
        instance = environ.get("HTTP_POLLENLADDER_EXPECT_INSTANCE", "")
        if instance not in ("", self.worker_id):
            return self._reply(start_response, 421, {})
        body = json.loads(environ["wsgi.input"].read())
        if not self.is_up:
            # The process ended while the request arrived.
            return wsgi.drop_connection(environ)
        if body.get("Fence", 0) < self._fence:
            return self._reply(start_response, 409, {"Reason": "fence"})
        self._fence = body.get("Fence", 0)
        handle = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
        }[environ["PATH_INFO"]]
        return self._reply(start_response, *handle(body))

    def _reply(self, start_response: Any, status: int, body: dict) -> list:
        fields = {
            "ClockMs": int(self._get_clock_s() * 1000),
            "born": self._born_ms,
        }
        data = json.dumps(body | fields).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(f"{status} Worker", headers)
        return [data]

    def _extend(self, body: dict[str, Any]) -> None:
        if "UntilMs" in body:
            latest = self._get_clock_s() + self._max_hold_s
            until = min(body["UntilMs"] / 1000, latest)
            self._lease_until_s = max(self._lease_until_s, until)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict]:
        task, number = body["Task"], body["Run"]
        if body["UntilMs"] / 1000 < self._get_clock_s():
            return 409, {"Reason": "late"}
        self._extend(body)
        known = self._running.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if known is not None or number <= self._finished.get(task, 0):
            return 409, {"Reason": "old"}
        spec = json.loads(body["Spec"])
        used = sum(run.cpu for run in self._running.values())
        if used + spec["cpu"] > self.cpu:
            return 409, {"Reason": "room"}
        now = time.monotonic()
        run = Run(
            task,
            number,
            self.worker_id,
            body["Spec"],
            now,
            now + spec["ms"] / 1000,
            spec["cpu"],
        )
        self._running[task] = run
        self.history.append(run)
        index = int(task.rsplit(".", 1)[-1])
        if index in spec.get("deadly", []):
            gevent.spawn_later(CRASH_AFTER_S, self._crash_under, run, spec)
        gevent.spawn_later(spec["ms"] / 1000, self._end, run, "done")
        return 200, {}

    def _crash_under(self, run: Run, spec: dict[str, Any]) -> None:
        if self._running.get(run.task) is run:
            self.crash(spec["down_s"])

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict]:
        task, number = body["Task"], body["Run"]
        highest = max(self._finished.get(task, 0), number)
        self._finished[task] = highest
        run = self._running.get(task)
        if run is not None and run.number <= number:
            gevent.spawn_later(STOP_S, self._end, run, "stopped")
        return 200, {}

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict]:
        self._extend(body)
        cursor = body.get("AckCursor", 0)
        self._ended = [row for row in self._ended if row[0] > cursor]
        wait_s = min(body.get("WaitMs", 0), 2000) / 1000
        if wait_s and not self._ended:
            self._has_new_end.wait(wait_s)
        return 200, {
            "Running": [self._describe(r) for r in self._running.values()],
            "Ended": self._ended[:500],
        }

    def _describe(self, run: Run) -> list[Any]:
        length_s = max(0.001, run.ends_at_s - run.began_s)
        share = (time.monotonic() - run.began_s) / length_s
        return [run.task, run.number, "", min(99, int(100 * share)), run.cpu]

    def _end(self, run: Run, how: str) -> None:
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        run.ended_s, run.how = time.monotonic(), how
        highest = max(self._finished.get(run.task, 0), run.number)
        self._finished[run.task] = highest
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.number, how, ""])
        self._has_new_end.set()
        self._has_new_end.clear()
