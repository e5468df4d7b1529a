"""One load sent to one cluster, with everything counted around it."""

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

START_DELAY_S = 1.0
TIMEOUT_S = 90.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What a load did.

    Attributes:
        outcomes: One a job, in order of arrival.
        daemon_messages: Messages that daemons sent meanwhile, by kind.
        endpoint_counters: What the endpoints counted meanwhile.
        start_s: Wall-clock time of the load's start.
        span_s: From the start to the last answer.
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
        running: The cluster.
        jobs: The arrivals.
        run_id: Unique among the runs of one command.
        seed: Draws the daemon that each job goes to.
        during: Called with the wall-clock time of the load's start, while the
            load runs.
    """
    built = requests.build_all(
        jobs,
        run_id=run_id,
        plan_id=declarations.PLAN_ID,
        targets=len(running.daemons),
        seed=seed,
        deadline_ms=declarations.DEADLINE_MS,
    )
    return send(running, built, run_id, during)


def send(
    running: cluster.Cluster,
    built: Sequence[callers.Request],
    run_id: str,
    during: Callable[[float], None] | None = None,
) -> Result:
    """Send requests to a cluster by a load process; see `run_load`."""
    messages = counters.read_messages(running)
    endpoints = counters.read_endpoint_counters(running)
    start_s = time.time() + START_DELAY_S
    settings = load.Settings(
        targets=running.get_http_ports(),
        latency_s=running.layout.client_latency_s,
        timeout_s=TIMEOUT_S,
        start_s=start_s,
    )
    outcomes = start_load(running, settings, built, run_id, during)
    messages_after = counters.read_messages(running)
    endpoints_after = counters.read_endpoint_counters(running)
    ends_s = [one.at_s + one.response_s for one in outcomes]
    return Result(
        outcomes=outcomes,
        daemon_messages=leave_out_readings(
            subtract(messages_after, messages), len(running.daemons)
        ),
        endpoint_counters=subtract(endpoints_after, endpoints),
        start_s=start_s,
        span_s=max(ends_s, default=0.0),
    )


def start_load(
    running: cluster.Cluster,
    settings: load.Settings,
    built: Sequence[callers.Request],
    run_id: str,
    during: Callable[[float], None] | None,
) -> list[callers.Outcome]:
    """Run the load process and return what it wrote."""
    name = f"load-{run_id}"
    jobs_path = running.folder / f"{name}.jobs"
    outcomes_path = running.folder / f"{name}.outcomes"
    load.write_jobs(jobs_path, settings, list(built))
    paths = [str(jobs_path), str(outcomes_path)]
    command = [sys.executable, "-m", "bench.load", *paths]
    running.group.start(name, command)
    if during is not None:
        during(settings.start_s)
    _wait_for(running, name, outcomes_path, built)
    jobs_path.unlink()
    return load.read_outcomes(outcomes_path)


def _wait_for(
    running: cluster.Cluster,
    name: str,
    path: pathlib.Path,
    built: Sequence[callers.Request],
) -> None:
    last_s = max((one.at_s for one in built), default=0.0)
    timeout_s = last_s + TIMEOUT_S + cluster.READY_TIMEOUT_S
    cluster.wait_until(
        lambda: not running.group.is_running(name), name, timeout_s
    )
    if not path.exists():
        raise RuntimeError(running.group.read_tail(name))


def leave_out_readings(
    messages: dict[str, float], daemons: int
) -> dict[str, float]:
    """Return messages without one answer a daemon, that of the first reading.

    Baselines do not count what reads their counters.
    """
    if "http_answer" not in messages:
        return messages
    left = max(0.0, messages["http_answer"] - daemons)
    return messages | {"http_answer": left}


def subtract(after: dict[str, Any], before: dict[str, Any]) -> dict[str, Any]:
    """Return by how much counters have grown; a nested map is one level."""
    grown: dict[str, Any] = {}
    for name, value in after.items():
        if isinstance(value, dict):
            grown[name] = subtract(value, before.get(name, {}))
        else:
            grown[name] = value - before.get(name, 0)
    return grown
