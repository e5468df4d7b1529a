"""The ideal schedule that response times are compared with.

It has a single queue for all slots, no message costs and known run times. Jobs
run in order of arrival, with the longest task of a job first. No task starts
before its job arrives.
"""

from collections.abc import Sequence
import heapq

from bench import arrivals


def replay(jobs: Sequence[arrivals.Arrival], slots: int) -> list[float]:
    """Return each job's ideal response time in seconds, in the given order.

    Args:
        jobs: Jobs in order of arrival.
        slots: Number of tasks that can run at once.
    """
    free_at_s = [0.0] * slots
    return [_replay_job(job, free_at_s) for job in jobs]


def _replay_job(job: arrivals.Arrival, free_at_s: list[float]) -> float:
    finish_s = job.at_s
    for task in sorted(job.tasks, key=lambda task: -task.run_ms):
        start_s = max(job.at_s, free_at_s[0])
        end_s = start_s + task.run_ms / 1000
        heapq.heapreplace(free_at_s, end_s)
        finish_s = max(finish_s, end_s)
    return finish_s - job.at_s
