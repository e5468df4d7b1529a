"""Open-loop load over HTTP, as a process of its own.

`python -m bench.load JOBS OUTCOMES` reads requests as JSON lines and writes
outcomes as JSON lines. A job is sent when it is due, however late others are;
its response time counts from when it was due.
"""

import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

import gevent
import geventhttpclient

from bench import callers
from bench import ports


@dataclasses.dataclass(frozen=True)
class Settings:
    """How a load is sent.

    Attributes:
        targets: Port of each daemon.
        latency_s: One way between caller and daemon, slept on both ways.
        timeout_s: A job without an answer for so long counts as lost.
        start_s: Wall-clock time at which the load starts.
    """

    targets: list[int]
    latency_s: float
    timeout_s: float
    start_s: float


def run_job(settings: Settings, request: callers.Request) -> callers.Outcome:
    """Wait until the job is due, submit it and check the answer."""
    due_s = settings.start_s + request.at_s
    gevent.sleep(max(0.0, due_s - time.time()) + settings.latency_s)
    try:
        status, retry_after_s, answer = _submit(settings, request)
    except TimeoutError as error:
        response_s = time.time() - due_s
        return callers.describe_loss(request, response_s, "lost", repr(error))
    except callers.BROKEN_ERRORS as error:
        response_s = time.time() - due_s
        return callers.describe_loss(request, response_s, "closed", repr(error))
    gevent.sleep(settings.latency_s)
    response_s = time.time() - due_s
    return callers.check_answer(
        request, response_s, status, retry_after_s, answer
    )


def _submit(
    settings: Settings, request: callers.Request
) -> tuple[int, float | None, Any]:
    """Submit to the daemon drawn, or to the next ones while nobody listens.

    This is what a balancer does; a refused connection has run nothing.
    """
    count = len(settings.targets)
    for attempt in range(count):
        port = settings.targets[(request.target + attempt) % count]
        client = geventhttpclient.HTTPClient(
            ports.HOST,
            port,
            connection_timeout=settings.timeout_s,
            network_timeout=settings.timeout_s,
        )
        try:
            return callers.submit(client, request)
        except ConnectionRefusedError:
            if attempt == count - 1:
                raise
        finally:
            client.close()
    raise AssertionError("no targets")


def run_all(
    settings: Settings, requests: list[callers.Request]
) -> list[callers.Outcome]:
    """Submit all jobs, each when due; return outcomes in request order."""
    greenlets = [
        gevent.spawn(run_job, settings, request) for request in requests
    ]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def write_jobs(
    path: pathlib.Path, settings: Settings, requests: list[callers.Request]
) -> None:
    """Write what `main` reads: the settings, then a request a line."""
    with path.open("w") as file:
        for row in (settings, *requests):
            file.write(json.dumps(dataclasses.asdict(row)) + "\n")


def read_jobs(
    path: pathlib.Path,
) -> tuple[Settings, list[callers.Request]]:
    """Read what `write_jobs` wrote."""
    with path.open() as file:
        settings = Settings(**json.loads(file.readline()))
        requests = [callers.Request(**json.loads(line)) for line in file]
    return settings, requests


def read_outcomes(path: pathlib.Path) -> list[callers.Outcome]:
    """Read the outcomes that `main` wrote, in request order."""
    rows: list[dict[str, Any]] = []
    with path.open() as file:
        rows.extend(json.loads(line) for line in file)
    return [callers.Outcome(**row) for row in rows]


def main(arguments: list[str]) -> int:
    """Run the load described by a file and write another."""
    jobs, outcomes = map(pathlib.Path, arguments)
    settings, requests = read_jobs(jobs)
    results = run_all(settings, requests)
    part = outcomes.with_suffix(".part")
    with part.open("w") as file:
        for outcome in results:
            file.write(json.dumps(dataclasses.asdict(outcome)) + "\n")
    part.rename(outcomes)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
