"""Sending of a load to a cluster, with counters read before and after."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib
import sys
import time
from typing import Any

from bench import arrivals
from bench import callers
from bench import cluster
from bench import counters
from bench import declarations
from bench import load
from bench import requests

# The load process starts and reads its requests in this time.
START_DELAY_S = 1.0
TIMEOUT_S = 90.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a load.

    Attributes:
        outcomes: One outcome per job, in order of arrival.
        daemon_messages: Number of messages that daemons sent during the load,
            by kind.
        endpoint_counters: Increase of the endpoints' counters during the load.
        start_s: Wall-clock time of the load's start, in seconds.
        span_s: Time from the start to the last answer, in seconds.
    """

    outcomes: list[callers.Outcome]
    daemon_messages: dict[str, float]
    endpoint_counters: dict[str, Any]
    start_s: float
    span_s: float


def run_load(
    running: cluster.Cluster,
    jobs: Sequence[arrivals.Arrival],
    run_id: str,
    seed: int,
    during: Callable[[float], None] | None = None,
) -> Result:
    """Send arrivals to a cluster and wait for all answers.

    Args:
        running: Cluster that receives the jobs.
        jobs: Jobs to submit.
        run_id: Id that is unique among the runs of a command.
        seed: Seed of the choice of a daemon for each job.
        during: Function that is called while the load runs, with the wall-clock
            time of the load's start.
    """
    job_requests = requests.build_all(
        jobs,
        run_id=run_id,
        plan_id=declarations.PLAN_ID,
        targets=len(running.daemons),
        seed=seed,
        deadline_ms=declarations.DEADLINE_MS,
    )
    return send(running, job_requests, run_id, during)


def send(
    running: cluster.Cluster,
    job_requests: Sequence[callers.Request],
    run_id: str,
    during: Callable[[float], None] | None = None,
) -> Result:
    """Send requests to a cluster with a load process; see `run_load`."""
    messages = counters.read_messages(running)
    endpoints = counters.read_endpoint_counters(running)
    start_s = time.time() + START_DELAY_S
    settings = load.Settings(
        targets=running.get_http_ports(),
        latency_s=running.layout.client_latency_s,
        timeout_s=TIMEOUT_S,
        start_s=start_s,
    )
    outcomes = start_load(running, settings, job_requests, run_id, during)
    messages_after = counters.read_messages(running)
    endpoints_after = counters.read_endpoint_counters(running)
    answered_at_s = [one.at_s + one.response_s for one in outcomes]
    return Result(
        outcomes=outcomes,
        daemon_messages=exclude_metrics_answers(
            subtract(messages_after, messages), len(running.daemons)
        ),
        endpoint_counters=subtract(endpoints_after, endpoints),
        start_s=start_s,
        span_s=max(answered_at_s, default=0.0),
    )


def start_load(
    running: cluster.Cluster,
    settings: load.Settings,
    job_requests: Sequence[callers.Request],
    run_id: str,
    during: Callable[[float], None] | None,
) -> list[callers.Outcome]:
    """Run the load process and return the outcomes that it wrote."""
    name = f"load-{run_id}"
    jobs_path = running.folder / f"{name}.jobs"
    outcomes_path = running.folder / f"{name}.outcomes"
    load.write_jobs(jobs_path, settings, list(job_requests))
    paths = [str(jobs_path), str(outcomes_path)]
    command = [sys.executable, "-m", "bench.load", *paths]
    running.group.start(name, command)
    if during is not None:
        during(settings.start_s)
    _wait_for(running, name, outcomes_path, job_requests)
    jobs_path.unlink()
    return load.read_outcomes(outcomes_path)


def _wait_for(
    running: cluster.Cluster,
    name: str,
    path: pathlib.Path,
    job_requests: Sequence[callers.Request],
) -> None:
    last_s = max((one.at_s for one in job_requests), default=0.0)
    timeout_s = last_s + TIMEOUT_S + cluster.READY_TIMEOUT_S
    cluster.wait_until(
        lambda: not running.group.is_running(name), name, timeout_s
    )
    if not path.exists():
        raise RuntimeError(running.group.read_tail(name))


def exclude_metrics_answers(
    messages: dict[str, float], daemons: int
) -> dict[str, float]:
    """Subtract the answer of each daemon to the first reading of its metrics.

    Baselines don't count these answers, so their messages stay unchanged.
    """
    if "http_answer" not in messages:
        return messages
    remaining = max(0.0, messages["http_answer"] - daemons)
    return messages | {"http_answer": remaining}


def subtract(after: dict[str, Any], before: dict[str, Any]) -> dict[str, Any]:
    """Return the increase of counters, which may be nested by one level."""
    increases: dict[str, Any] = {}
    for name, value in after.items():
        if isinstance(value, dict):
            increases[name] = subtract(value, before.get(name, {}))
        else:
            increases[name] = value - before.get(name, 0)
    return increases
