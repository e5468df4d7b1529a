"""A stand-in of a worker on the users' platform: runs, leases, epochs, ends."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json
import time
from typing import Any

import gevent
from gevent import event

from standins import wsgi

STOP_S = 0.03
MAX_LEASE_S = 1.0


@dataclasses.dataclass
class Faults:
    """What goes wrong.

    Attributes:
        fails_all: Each run ends in failure.
        hangs: Runs make no progress.
        slow_factor: Runs take so many times as long.
        is_silent: No call is answered or carried out.
        lost_starts: So many starts are carried out and not answered.
        late_starts: So many starts are not answered, and carried out later.
        late_s: How much later.
        is_unhealthy: Starts are turned away.
        late_replies_s: Starts are carried out at once and answered later.
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
    """A run, and its story for the test that looks at it.

    Attributes:
        task: The task's name.
        number: The run's number.
        began_s: When it began.
        run_s: How long it takes.
        cpu: What it takes of the worker.
        ended_s: When it ended; None while it is at work.
        how: How it ended.
    """

    task: str
    number: int
    began_s: float
    run_s: float
    cpu: int
    ended_s: float | None = None
    how: str = ""


class SiteWorker:
    """One worker.

    A `Spec` is JSON: `{"run_ms": n, "cpu": n, "fail": bool}`.

    Attributes:
        worker_id: Its id.
        faults: What goes wrong.
        history: All runs that were ever begun.
        looks: Looks answered.
        cpu: Thousandths of a core in all.
    """

    def __init__(self, worker_id: str, cpu: int = 64_000):
        self.worker_id = worker_id
        self.cpu = cpu
        self.faults = Faults()
        self.history: list[Run] = []
        self.looks = 0
        self._reset()

    def restart(self) -> None:
        """Begin a new life under the same id; all that ran is gone."""
        for run in self._running.values():
            run.ended_s = time.monotonic()
            run.how = "crashed"
        self._reset()

    def _reset(self) -> None:
        self.born_ms = time.time_ns() // 1_000_000
        self._origin_s = time.monotonic()
        self._fence = 0
        self._until_s = 0.0
        self._running: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._next_end = 1
        self._barred: dict[str, int] = {}
        self._changed = event.Event()

    def serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one call, or fail as the faults say."""
        if self.faults.is_silent:
            gevent.sleep(5)
            return wsgi.drop(environ)
        if environ.get("HTTP_POLLENLADDER_EXPECT_INSTANCE") != self.worker_id:
            return self._reply(start_response, 421, {})
        body = json.loads(environ["wsgi.input"].read())
        self._expire()
        path = environ["PATH_INFO"]
        if path == "/run-start" and self._loses_start(body):
            gevent.sleep(5)
            return wsgi.drop(environ)
        if body.get("Fence", 0) < self._fence:
            return self._reply(start_response, 409, {"Reason": "fence"})
        self._fence = body.get("Fence", 0)
        handlers = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
        }
        reply = handlers[path](body)
        if path == "/run-start" and self.faults.late_replies_s:
            gevent.sleep(self.faults.late_replies_s)
        return self._reply(start_response, *reply)

    def _loses_start(self, body: dict[str, Any]) -> bool:
        """Return whether a start gets no answer; it may be carried out."""
        if self.faults.lost_starts:
            self.faults.lost_starts -= 1
            self._start(body)
            return True
        if self.faults.late_starts:
            self.faults.late_starts -= 1
            gevent.spawn_later(self.faults.late_s, self._start_late, body)
            return True
        return False

    def _start_late(self, body: dict[str, Any]) -> None:
        self._expire()
        if body["Fence"] >= self._fence:
            self._start(body)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["Task"], body["Run"]
        spec = json.loads(body["Spec"])
        if self.faults.is_unhealthy:
            return 503, {}
        if body["UntilMs"] / 1000 < self._get_clock_s():
            return 409, {"Reason": "late"}
        self._extend(body)
        known = self._running.get(task)
        if known and known.number == number:
            return 200, {}
        if known or number <= self._barred.get(task, 0):
            return 409, {"Reason": "old"}
        used = sum(run.cpu for run in self._running.values())
        if used + spec["cpu"] > self.cpu:
            return 409, {"Reason": "room"}
        run_s = spec["run_ms"] / 1000 * self.faults.slow_factor
        run = Run(task, number, time.monotonic(), run_s, spec["cpu"])
        self._running[task] = run
        self.history.append(run)
        fails = self.faults.fails_all or spec.get("fail", False)
        if not self.faults.hangs:
            how = "failed" if fails else "done"
            gevent.spawn_later(run_s, self._end, run, how)
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["Task"], body["Run"]
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self._running.get(task)
        if run and run.number <= number:
            gevent.spawn_later(STOP_S, self._end, run, "stopped")
        return 200, {}

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.looks += 1
        self._extend(body)
        cursor = body.get("AckCursor", 0)
        self._ended = [row for row in self._ended if row[0] > cursor]
        wait_s = body.get("WaitMs", 0) / 1000
        if wait_s and not self._ended:
            self._changed.wait(wait_s)
            self._expire()
        return 200, {
            "born": self.born_ms,
            "Running": [self._describe(r) for r in self._running.values()],
            "Ended": self._ended[:500],
        }

    def _describe(self, run: Run) -> list[Any]:
        percent = 0
        if not self.faults.hangs:
            percent = int(100 * (time.monotonic() - run.began_s) / run.run_s)
        return [run.task, run.number, "", min(percent, 99)]

    def _extend(self, body: dict[str, Any]) -> None:
        if "UntilMs" in body:
            most_s = self._get_clock_s() + MAX_LEASE_S
            until_s = min(body["UntilMs"] / 1000, most_s)
            self._until_s = max(self._until_s, until_s)

    def _expire(self) -> None:
        if self._get_clock_s() > self._until_s:
            for run in list(self._running.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        run.ended_s = time.monotonic()
        run.how = how
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._ended.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self._changed.set()
        self._changed.clear()

    def _get_clock_s(self) -> float:
        return time.monotonic() - self._origin_s + 1000.0

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
