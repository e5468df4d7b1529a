"""Builders of jobs, requests and outcomes for tests."""

from typing import Any

from bench import arrivals
from bench import callers


def make_job(at_s: float, *run_ms: int) -> arrivals.Arrival:
    """Return a job with one task for each run time."""
    tasks = tuple(arrivals.Task("lookup", one, one, 1.0) for one in run_ms)
    return arrivals.Arrival(at_s, "first", tasks)


def make_request(*echoes: str) -> callers.Request:
    """Return a request with a task t0, t1, ... for each echo."""
    ids = {f"t{index}": echo for index, echo in enumerate(echoes)}
    tasks = [{"id": one, "payload": {"run_ms": 100}} for one in ids]
    return callers.Request(0.0, 0, "first", "", {"tasks": tasks}, ids)


def make_result(
    task_id: str, echo: str, verdict: str = "ran", reason: str = "ok"
) -> dict[str, Any]:
    """Return the result of a task, as in an answer."""
    output = {"echo": echo, "task": f"j:{task_id}"}
    return {
        "id": task_id,
        "verdict": verdict,
        "reason": reason,
        "output": output,
    }


def make_outcome(
    outcome: str = "complete", customer_id: str = "first", **fields: Any
) -> callers.Outcome:
    """Return the outcome of a job with one task of one second."""
    values = {"tasks": 1, "work_ms": 1000, "at_s": 0.0, "response_s": 1.0}
    return callers.Outcome(
        customer_id=customer_id, outcome=outcome, **(values | fields)
    )
