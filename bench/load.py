"""Open-loop load over HTTP, run as a separate process.

`python -m bench.load JOBS OUTCOMES` reads requests as JSON lines and writes
outcomes as JSON lines. Each job is sent when it is due, even if earlier jobs
are late, and its response time is measured from when it was due.
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
    """Settings of a load.

    Attributes:
        targets: Port of each daemon.
        latency_s: One-way latency between caller and daemon, in seconds. It is
            simulated by a sleep before the request and after the answer.
        timeout_s: Time without an answer after which a job counts as lost.
        start_s: Wall-clock time at which the load starts, in seconds.
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
    """Submit to the target daemon, or to the next one that accepts.

    A load balancer does the same. It is safe because nothing has run if the
    connection was refused.
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
    """Submit each job when it is due; return outcomes in request order."""
    greenlets = [
        gevent.spawn(run_job, settings, request) for request in requests
    ]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def write_jobs(
    path: pathlib.Path, settings: Settings, requests: list[callers.Request]
) -> None:
    """Write the input of `main`: the settings, then one request per line."""
    with path.open("w") as file:
        for row in (settings, *requests):
            file.write(json.dumps(dataclasses.asdict(row)) + "\n")


def read_jobs(
    path: pathlib.Path,
) -> tuple[Settings, list[callers.Request]]:
    """Read the settings and requests that `write_jobs` wrote."""
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
    """Run the load in the first file and write outcomes to the second.

    The outcomes are renamed into place when they are complete, so that a reader
    never sees a part of them.
    """
    jobs, outcomes = map(pathlib.Path, arguments)
    settings, requests = read_jobs(jobs)
    results = run_all(settings, requests)
    partial_path = outcomes.with_suffix(".part")
    with partial_path.open("w") as file:
        for outcome in results:
            file.write(json.dumps(dataclasses.asdict(outcome)) + "\n")
    partial_path.rename(outcomes)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
