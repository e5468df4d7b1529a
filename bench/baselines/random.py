"""Random placement: each task on any worker, "not run" retried on another.

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
    pools = [workers.Worker(one, connections) for one in worker_ports]
    for pool in pools:
        pool.take_lease()
    source = random.Random(name)
    counters = {"start": 0, "retry": 0}

    def run_task(task_id: str, task: dict[str, Any]) -> dict[str, Any]:
        pause_s = RETRY_MIN_S
        kind = "start"
        while True:
            counters[kind] += 1
            answer = source.choice(pools).start(task_id, task)
            if answer["verdict"] != "not_run":
                return workers.make_result(task, answer)
            gevent.sleep(source.uniform(0, pause_s))
            pause_s = min(RETRY_MAX_S, pause_s * 2)
            kind = "retry"

    def run_job(job_id: str, tasks: list[dict[str, Any]]) -> list:
        return gateway.run_each(run_task, job_id, tasks)

    gateway.serve(port, name, run_job, counters)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
