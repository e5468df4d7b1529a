"""Choose how long a poll of a worker waits for a run to end.

The replies of some workers are occasionally lost. The next poll repeats an end
that was reported in a lost reply, so polls wait less and time out sooner for
`AFTER_FAILURE_PERIOD_S` after a loss.
"""

from pollenladder.fleet import entities as fleet

# Longest wait of a poll for a worker with runs.
BUSY_WAIT_S = 0.2
# Longest wait of a poll for a worker without runs.
IDLE_WAIT_S = 0.4
# Longest wait of a poll for a worker with runs, for `AFTER_FAILURE_PERIOD_S`
# after a poll without a reply.
AFTER_FAILURE_WAIT_S = 0.04
AFTER_FAILURE_PERIOD_S = 3.0
# Time allowed for a reply beyond the poll's own wait.
SLACK_S = 0.15
AFTER_FAILURE_SLACK_S = 0.06


def choose_wait_s(worker: fleet.Worker, now: float) -> float:
    """Return how long the next poll waits for a run to end, in seconds."""
    if not worker.is_synced or not worker.is_reachable:
        return 0.0
    if not worker.runs:
        return IDLE_WAIT_S
    return (
        AFTER_FAILURE_WAIT_S if _recently_failed(worker, now) else BUSY_WAIT_S
    )


def choose_slack_s(worker: fleet.Worker, now: float) -> float:
    """Return the time allowed for a reply beyond the wait, in seconds."""
    return AFTER_FAILURE_SLACK_S if _recently_failed(worker, now) else SLACK_S


def _recently_failed(worker: fleet.Worker, now: float) -> bool:
    return now < worker.last_missed_at + AFTER_FAILURE_PERIOD_S
