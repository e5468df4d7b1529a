"""Round-robin baseline: send each task to the next worker, without retries.

`python -m bench.baselines.bare NAME PORT CONNECTIONS WORKER_PORT...`
"""

import itertools
import sys
from typing import Any

from bench.baselines import gateway
from bench.baselines import workers


def main(arguments: list[str]) -> int:
    """Serve until killed."""
    name = arguments[0]
    port, connections, *worker_ports = map(int, arguments[1:])
    clients = [
        workers.Worker(worker_port, connections) for worker_port in worker_ports
    ]
    for client in clients:
        client.acquire_lease()
    round_robin = itertools.cycle(clients)
    counters = {"start": 0}

    def run_task(task_id: str, task: dict[str, Any]) -> dict[str, Any]:
        counters["start"] += 1
        return workers.make_result(task, next(round_robin).start(task_id, task))

    def run_job(job_id: str, tasks: list[dict[str, Any]]) -> list:
        return gateway.run_each(run_task, job_id, tasks)

    gateway.serve(port, name, run_job, counters)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
