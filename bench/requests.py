"""Conversion of arrivals to requests."""

from collections.abc import Sequence
import random
from typing import Any

from bench import arrivals
from bench import callers


def build_all(
    jobs: Sequence[arrivals.Arrival],
    *,
    run_id: str,
    plan_id: str,
    targets: int,
    seed: int,
    deadline_ms: int,
) -> list[callers.Request]:
    """Build one request per job, each for a random daemon.

    Args:
        jobs: Jobs to submit.
        run_id: Prefix of the tasks' echoes; it must differ between runs.
        plan_id: Plan of the jobs.
        targets: Number of daemons.
        seed: Seed of the choice of daemons.
        deadline_ms: Deadline of each job, in milliseconds.
    """
    generator = random.Random(seed)
    return [
        _build(job, f"{run_id}-{number}", plan_id, target, deadline_ms)
        for number, job in enumerate(jobs)
        for target in (generator.randrange(targets),)
    ]


def make_token(customer_id: str) -> str:
    """Return the bearer token of a customer of `bench.declarations`."""
    return f"bench-token-of-{customer_id}"


def _build(
    job: arrivals.Arrival,
    name: str,
    plan_id: str,
    target: int,
    deadline_ms: int,
) -> callers.Request:
    tasks: list[dict[str, Any]] = []
    echoes: dict[str, str] = {}
    for index, task in enumerate(job.tasks):
        task_id = f"t{index}"
        echoes[task_id] = f"{name}-{index}"
        payload = {"run_ms": task.run_ms, "echo": echoes[task_id]}
        tasks.append(
            {
                "id": task_id,
                "kind": task.kind,
                "payload": payload,
                "declared_ms": task.declared_ms,
                "declared_size": task.declared_size,
            }
        )
    body = {"plan": plan_id, "tasks": tasks, "deadline_ms": deadline_ms}
    return callers.Request(
        at_s=job.at_s,
        target=target,
        customer_id=job.customer_id,
        token=make_token(job.customer_id),
        body=body,
        echoes=echoes,
    )
