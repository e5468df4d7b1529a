"""Closed-loop load of equal jobs, run as a separate process.

`python -m bench.flood SETUP` reads `{ports, clients, batch, seconds, run_ms,
customer_id, kind}` and prints `{"jobs", "bad", "seconds"}`.
"""

import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

import gevent
import geventhttpclient

from bench import arrivals
from bench import callers
from bench import declarations
from bench import ports
from bench import requests


@dataclasses.dataclass
class Score:
    """Counts of the results of a load.

    Attributes:
        jobs: Number of complete answers that are not partial.
        bad: Number of all other results, and of answers with crossed results.
    """

    jobs: int = 0
    bad: int = 0


def run_client(
    setup: dict[str, Any], number: int, end_s: float, score: Score
) -> None:
    """Submit one job after another on a connection until a time."""
    port = setup["ports"][number % len(setup["ports"])]
    client = geventhttpclient.HTTPClient(
        ports.HOST, port, concurrency=1, network_timeout=30.0
    )
    task = arrivals.Task(setup["kind"], setup["run_ms"], setup["run_ms"], 1.0)
    job = arrivals.Arrival(0.0, setup["customer_id"], (task,) * setup["batch"])
    request = requests.build_all(
        [job],
        run_id=f"flood-{number}",
        plan_id=declarations.PLAN_ID,
        targets=1,
        seed=0,
        deadline_ms=declarations.DEADLINE_MS,
    )[0]
    while time.monotonic() < end_s:
        try:
            status, retry_after_s, answer = callers.submit(client, request)
        except callers.BROKEN_ERRORS:
            score.bad += 1
            continue
        outcome = callers.check_answer(
            request, 0.0, status, retry_after_s, answer
        )
        is_ok = outcome.outcome == "complete" and not outcome.partial
        score.jobs += is_ok
        score.bad += not is_ok or bool(outcome.crossed)


def main(arguments: list[str]) -> int:
    """Run all clients for the given time and print the score."""
    setup = json.loads(pathlib.Path(arguments[0]).read_text())
    score = Score()
    start_s = time.monotonic()
    end_s = start_s + setup["seconds"]
    greenlets = [
        gevent.spawn(run_client, setup, number, end_s, score)
        for number in range(setup["clients"])
    ]
    gevent.joinall(greenlets, raise_error=True)
    seconds = time.monotonic() - start_s
    print(json.dumps(dataclasses.asdict(score) | {"seconds": seconds}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
