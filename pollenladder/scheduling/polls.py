"""Decide how long a look at a worker waits for an end.

Answers workers whose replies get lost now and then: an end that was told in a lost
reply is told again by the next look, so after a loss looks are short for a while,
and are given up sooner.
"""

from pollenladder.fleet import entities as fleet

BUSY_WAIT_S = 0.2
IDLE_WAIT_S = 0.4
# After a look without a reply, and for how long.
WARY_WAIT_S = 0.04
WARY_S = 3.0
# How much later than its own longest wait a look may be answered.
SLACK_S = 0.15
WARY_SLACK_S = 0.06


def choose_wait_s(worker: fleet.Worker, now: float) -> float:
    """Return how long the next look waits for an end, in seconds."""
    if not worker.is_synced or not worker.is_reachable:
        return 0.0
    if not worker.runs:
        return IDLE_WAIT_S
    return WARY_WAIT_S if _is_wary(worker, now) else BUSY_WAIT_S


def choose_slack_s(worker: fleet.Worker, now: float) -> float:
    """Return how much longer than its wait a look may take, in seconds."""
    return WARY_SLACK_S if _is_wary(worker, now) else SLACK_S


def _is_wary(worker: fleet.Worker, now: float) -> bool:
    return now < worker.missed_at + WARY_S
