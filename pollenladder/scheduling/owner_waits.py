"""Decide how long a job without an owner waits for one.

The load that this answers: the owner is lost, or all daemons start at once, and jobs
arrive until another daemon has claimed the workers. Most claims come within a
second. A caller that is refused meanwhile cannot come back before its deadline, so
its job waits as long as it can be served, even late. Without an owner for longer
than a claim usually takes, nobody knows when there will be one, and new jobs are
refused soon.
"""

from pollenladder.jobs import entities as jobs
from pollenladder.jobs import estimates
from pollenladder.scheduling import deferral

# Time within which another daemon claims the workers of a lost owner, even if the
# loss is only noticed by its silence.
USUAL_CLAIM_S = 1.5
# Share of a job's response time objective for which it waits for an owner if a claim
# is overdue.
OVERDUE_WAIT_SHARE = 0.25


def compute_wait_limit_s(
    submission: jobs.Submission, ownerless_s: float
) -> float:
    """Return how long a job waits for an owner after its arrival, in seconds.

    Args:
        submission: The job, as it arrived.
        ownerless_s: For how long there has been no owner, in seconds.
    """
    estimate_s = estimates.assume_run_s(submission.estimate_s)
    allowed_s = submission.stretch * estimate_s + submission.slack_s
    shortest_s = OVERDUE_WAIT_SHARE * allowed_s
    if ownerless_s > USUAL_CLAIM_S:
        return shortest_s
    late_s = min(deferral.LATE_FACTOR * allowed_s, submission.budget_s)
    run_s = deferral.RUN_MARGIN * estimate_s
    return max(shortest_s, late_s - run_s)
