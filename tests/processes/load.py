"""Callers in a closed loop, which record every answer."""

import dataclasses
import http.client
import itertools
import json
import socket
import threading
import time
from typing import Any

from tests.processes import declared

TIMEOUT_S = 45.0
# Values used in place of an HTTP status: the connection was refused, was closed
# without an answer, or timed out.
REFUSED = -2
CLOSED = 0
TIMED_OUT = -1
_job_numbers = itertools.count()


@dataclasses.dataclass(frozen=True)
class Answer:
    """The outcome of one submission.

    Attributes:
        port: The HTTP port of the daemon that the job was sent to.
        marks: The unique mark of each task, by task id. Workers count starts
            by mark.
        status: The HTTP status, or `CLOSED`, `TIMED_OUT` or `REFUSED`.
        body: The decoded JSON answer.
        took_s: The time until the answer, in seconds.
    """

    port: int
    marks: dict[str, str]
    status: int
    body: dict[str, Any]
    took_s: float

    def find_problem(self, marks: dict[str, int], may_close) -> str | None:
        """Return what is wrong with the answer, or None.

        Args:
            marks: The number of starts by task mark.
            may_close: Ports of daemons that may have closed connections.
        """
        if self.status in (CLOSED, REFUSED):
            return None if self.port in may_close else "closed"
        outcome = self.body.get("outcome")
        if outcome not in ("complete", "failed", "refused"):
            return "no answer"
        tasks = {task["id"]: task for task in self.body.get("tasks") or []}
        if outcome == "refused" and not tasks:
            started = [m for m in self.marks.values() if marks.get(m)]
            return f"refused, but started {started}" if started else None
        if tasks.keys() != self.marks.keys():
            return "not all tasks"
        for task_id, task in tasks.items():
            problem = self._check_task(outcome, task_id, task, marks)
            if problem:
                return problem
        return None

    def _check_task(self, outcome, task_id, task, marks) -> str | None:
        mark = self.marks[task_id]
        verdict, starts = task["verdict"], marks.get(mark, 0)
        if verdict == "not_run" and starts:
            return f"{task_id} is reported as not run, but was started"
        if verdict == "ran" and not starts:
            return f"{task_id} is reported as run, but was not started"
        if outcome != "complete":
            return None
        if (verdict, task["reason"]) != ("ran", "ok"):
            return f"complete with {verdict}"
        if task["output"]["echo"] != mark:
            return "another task's output"
        return None


def build_body(
    plan: str, tasks: int, run_ms: int, kind: str = "lookup"
) -> dict[str, Any]:
    """Return the body of a job whose tasks each have a unique mark."""
    number = next(_job_numbers)
    built = []
    for index in range(tasks):
        mark = f"{plan}-{number}-{index}"
        payload = {"run_ms": run_ms, "echo": mark, "mark": mark}
        built.append({"id": f"t{index}", "kind": kind, "payload": payload})
    return {"plan": plan, "tasks": built, "deadline_ms": 15_000}


def submit(
    port: int, plan: str = declared.WIDE, tasks: int = 1, run_ms: int = 50
) -> Answer:
    """Build a job, submit it and wait for the answer."""
    return send(port, build_body(plan, tasks, run_ms))


def send(port: int, body: dict[str, Any]) -> Answer:
    """Submit a job body and wait for the answer."""
    began_s = time.monotonic()
    status, answer = post(port, "/v1/jobs", body)
    took_s = time.monotonic() - began_s
    marks = {task["id"]: task["payload"]["mark"] for task in body["tasks"]}
    return Answer(port, marks, status, answer, took_s)


def post(port: int, path: str, body: Any) -> tuple[int, dict[str, Any]]:
    """Send a request and return the status and the JSON answer."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=TIMEOUT_S
    )
    headers = {
        "Authorization": f"Bearer {declared.TOKEN}",
        "Content-Type": "application/json",
    }
    try:
        connection.connect()
    except OSError:
        return REFUSED, {}
    try:
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.request("POST", path, json.dumps(body), headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except TimeoutError:
        return TIMED_OUT, {}
    except (OSError, http.client.HTTPException):
        return CLOSED, {}
    finally:
        connection.close()


class Load:
    """Callers that submit jobs one after another during a `with` block.

    Attributes:
        answers: All answers received so far.
    """

    def __init__(
        self,
        ports: list[int],
        *,
        callers: int = 3,
        plan: str = declared.WIDE,
        tasks: int = 3,
        run_ms: int = 60,
        stops_when_refused: bool = False,
    ):
        self.answers: list[Answer] = []
        self._job_arguments = (plan, tasks, run_ms)
        self._stops_when_refused = stops_when_refused
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(port,), daemon=True)
            for port in ports
            for _ in range(callers)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def count_complete(self, ports: list[int]) -> int:
        """Return the number of jobs completed through these ports."""
        return sum(
            answer.status == 200 and answer.port in ports
            for answer in list(self.answers)
        )

    def _run(self, port: int) -> None:
        while not self._stopping.is_set():
            answer = submit(port, *self._job_arguments)
            if answer.status == REFUSED and self._stops_when_refused:
                return
            self.answers.append(answer)
            if answer.status != 200:
                self._stopping.wait(0.05)
