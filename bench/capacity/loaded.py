"""What a start and a job cost the gateway and the owner, by size of job."""

import itertools
import time

import gevent
import geventhttpclient

from bench import callers
from bench import cluster
from bench import declarations
from bench import ports
from bench import requests
from bench.capacity import readings
from bench.capacity import sizes
from bench.capacity import slopes

JOB_SIZES = (1, 10, 40, 100)
RUNNING = (200, 800, 1600)
CALLERS = 8
TASKS_A_POINT = 3000
JOBS_AT_MOST = 500
RUN_MS = 10
LONG_MS = 4000
TIMEOUT_S = 60.0
ROLES = ("owner", "gateway")


def measure_all(repeats: int) -> list[slopes.Slope]:
    """Return processor time a job in us, and memory a running task."""
    return [*_measure_jobs(repeats), *_measure_running(repeats)]


def _measure_jobs(repeats: int) -> list[slopes.Slope]:
    layout = sizes.build_layout(workers=16, daemons=2, slots=16)
    points = {role: [[] for _ in range(repeats)] for role in ROLES}
    with sizes.run_cluster(layout) as running:
        daemons = sizes.choose_daemons(running)
        _submit(running, daemons[1], size=10, jobs=50, run_ms=RUN_MS)
        for repeat, size in itertools.product(range(repeats), JOB_SIZES):
            jobs = min(JOBS_AT_MOST, TASKS_A_POINT // size)
            before = [_read_us(running, one) for one in daemons]
            _submit(running, daemons[1], size=size, jobs=jobs, run_ms=RUN_MS)
            after = [_read_us(running, one) for one in daemons]
            for role, old, new in zip(ROLES, before, after, strict=True):
                points[role][repeat].append((size, (new - old) / jobs))
    return [
        slopes.fit(f"job_{role}_us", "tasks of a job", "us", points[role])
        for role in ROLES
    ]


def _measure_running(repeats: int) -> list[slopes.Slope]:
    layout = sizes.build_layout(workers=4, daemons=2, slots=512)
    points = {role: [[] for _ in range(repeats)] for role in ROLES}
    for repeat in range(repeats):
        with sizes.run_cluster(layout) as running:
            daemons = sizes.choose_daemons(running)
            for tasks in RUNNING:
                rows = _hold(running, daemons, tasks)
                for role, rss in zip(ROLES, rows, strict=True):
                    points[role][repeat].append((tasks, rss))
    return [
        slopes.fit(f"running_{role}_rss", "running tasks", "rss", points[role])
        for role in ROLES
    ]


def _hold(
    running: cluster.Cluster, daemons: tuple[str, str], tasks: int
) -> list[float]:
    """Return the memory of both daemons while so many tasks run."""
    load = gevent.spawn(
        _submit,
        running,
        daemons[1],
        size=100,
        jobs=tasks // 100,
        run_ms=LONG_MS,
        concurrency=tasks // 100,
    )
    gevent.sleep(LONG_MS / 1000 * 0.7)
    rows = [readings.read_begin(running, one).rss for one in daemons]
    load.get()
    return rows


def _submit(
    running: cluster.Cluster,
    daemon_id: str,
    *,
    size: int,
    jobs: int,
    run_ms: int,
    concurrency: int = CALLERS,
) -> None:
    """Run so many jobs through one daemon, a few at a time.

    Raises:
        RuntimeError: A job was not answered complete and right.
    """
    port = next(
        row["http_port"] for row in running.daemons if row["vm_id"] == daemon_id
    )
    numbers = iter(range(jobs))

    def call() -> None:
        client = geventhttpclient.HTTPClient(
            ports.HOST, port, network_timeout=TIMEOUT_S
        )
        for number in numbers:
            _run_job(client, number, size, run_ms)
        client.close()

    greenlets = [gevent.spawn(call) for _ in range(concurrency)]
    gevent.joinall(greenlets, raise_error=True)


def _run_job(
    client: geventhttpclient.HTTPClient, number: int, size: int, run_ms: int
) -> None:
    echoes = {f"t{n}": f"{number}-{n}" for n in range(size)}
    tasks = [
        {
            "id": task_id,
            "kind": "lookup",
            "payload": {"run_ms": run_ms, "echo": echo},
            "declared_ms": run_ms,
            "declared_size": 1,
        }
        for task_id, echo in echoes.items()
    ]
    body = {
        "plan": declarations.PLAN_ID,
        "tasks": tasks,
        "deadline_ms": declarations.DEADLINE_MS,
    }
    token = requests.make_token("first")
    request = callers.Request(0.0, 0, "first", token, body, echoes)
    start_s = time.monotonic()
    status, retry_after_s, answer = callers.submit(client, request)
    outcome = callers.check_answer(
        request, time.monotonic() - start_s, status, retry_after_s, answer
    )
    if outcome.outcome != "complete" or outcome.crossed or outcome.partial:
        raise RuntimeError(f"job of {size}: {outcome}")


def _read_us(running: cluster.Cluster, daemon_id: str) -> float:
    return readings.read_cpu_s(readings.get_pid(running, daemon_id)) * 1e6
