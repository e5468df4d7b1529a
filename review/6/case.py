"""A draining worker loses its path to the store, and the owner is restarted."""

import pathlib
import signal
import sys

import gevent

from review import rig_2 as rig
from standins import site as sites

JOB_ID = "36f85c0e7a21d94b"
TASK_MS = 8_500
# The client's own `Pollenladder-Deadline-Ms`.
BUDGET_MS = 20_000
# Until the task has begun.
BEGIN_S = 0.1
# Times since the worker has reported that it drains, in seconds. The next report
# would be due after 1.5 s.
CUT_FROM_S = 1.4
CUT_TO_S = 6.4
RESTART_AT_S = 6.9
WATCH_S = 1.5


def play(deployment: rig.Deployment) -> bool:
    """Restart the owner; return whether no task had two runs at a time."""
    owner = deployment.wait_for_owner()
    entry = next(name for name in deployment.daemons if name != owner)
    body = sites.build_job(tasks=1, run_ms=TASK_MS)
    gevent.spawn(deployment.submit, entry, JOB_ID, body, BUDGET_MS)
    gevent.sleep(BEGIN_S)
    runs = deployment.list_runs(JOB_ID)
    if len(runs) != 1:
        raise rig.NotRunError("the task has not begun")
    worker_id = deployment.find_worker(runs[0])
    deployment.note(f"{worker_id}, with the task, reports draining")
    deployment.entries[worker_id].state = "draining"
    deployment.report(worker_id)
    gevent.sleep(CUT_FROM_S)
    if rig.is_troubled():
        deployment.note(f"{worker_id} is partitioned from the store")
        deployment.entries[worker_id].reaches_store = False
    gevent.sleep(CUT_TO_S - CUT_FROM_S)
    deployment.entries[worker_id].reaches_store = True
    deployment.note(f"{worker_id} reaches the store")
    gevent.sleep(RESTART_AT_S - CUT_TO_S)
    if deployment.wait_for_owner() != owner or runs[0].ended_s is not None:
        raise rig.NotRunError("the owner or the run is not the one before")
    deployment.signal(owner, signal.SIGTERM)
    gevent.sleep(WATCH_S)
    deployment.note(f"owner {deployment.find_owner()}")
    return judge(deployment)


def judge(deployment: rig.Deployment) -> bool:
    """Return whether no two runs of the task were active at the same time."""
    overlaps = deployment.find_overlaps(JOB_ID)
    for first, second in overlaps:
        ended_s = first.ended_s
        both_s = float("inf") if ended_s is None else ended_s - second.began_s
        deployment.note(
            f"{first.task}: run {first.number} on"
            f" {deployment.find_worker(first)} and run {second.number} on"
            f" {deployment.find_worker(second)}, both active for {both_s:.3f} s"
        )
    return not overlaps


if __name__ == "__main__":
    sys.exit(rig.run(play, pathlib.Path(__file__).parent, 3, 6))
