"""Random baseline: send each task to a random worker.

A task that was not run is retried on a random worker after a random pause;
its upper bound doubles with each attempt, up to RETRY_MAX_S.

`python -m bench.baselines.random NAME PORT CONNECTIONS WORKER_PORT...`
"""

import random
import sys
from typing import Any

import gevent

from bench.baselines import gateway
from bench.baselines import workers

RETRY_MIN_S = 0.002
RETRY_MAX_S = 0.05


def main(arguments: list[str]) -> int:
    """Serve until killed."""
    name = arguments[0]
    port, connections, *worker_ports = map(int, arguments[1:])
    clients = [
        workers.Worker(worker_port, connections) for worker_port in worker_ports
    ]
    for client in clients:
        client.acquire_lease()
    generator = random.Random(name)
    counters = {"start": 0, "retry": 0}

    def run_task(task_id: str, task: dict[str, Any]) -> dict[str, Any]:
        max_pause_s = RETRY_MIN_S
        kind = "start"
        while True:
            counters[kind] += 1
            answer = generator.choice(clients).start(task_id, task)
            if answer["verdict"] != "not_run":
                return workers.make_result(task, answer)
            gevent.sleep(generator.uniform(0, max_pause_s))
            max_pause_s = min(RETRY_MAX_S, max_pause_s * 2)
            kind = "retry"

    def run_job(job_id: str, tasks: list[dict[str, Any]]) -> list:
        return gateway.run_each(run_task, job_id, tasks)

    gateway.serve(port, name, run_job, counters)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
