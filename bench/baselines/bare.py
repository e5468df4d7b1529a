"""A gateway straight to the workers: each task goes to the next, no retry.

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
    pools = [workers.Worker(one, connections) for one in worker_ports]
    for pool in pools:
        pool.take_lease()
    turns = itertools.cycle(pools)
    counters = {"start": 0}

    def run_task(task_id: str, task: dict[str, Any]) -> dict[str, Any]:
        counters["start"] += 1
        return workers.make_result(task, next(turns).start(task_id, task))

    def run_job(job_id: str, tasks: list[dict[str, Any]]) -> list:
        return gateway.run_each(run_task, job_id, tasks)

    gateway.serve(port, name, run_job, counters)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
