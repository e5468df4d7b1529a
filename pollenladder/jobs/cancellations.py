"""Jobs that callers have cancelled recently.

A cancelled job may still be open at a gateway that was paused or cut off when its
caller cancelled it elsewhere. That gateway forwards it later, to any owner. And a
caller that was given no answer may submit it again. So a daemon that could not be told
at once, or that has been started since, is told over its next link.
"""

# Longer than gateways are paused, and than most callers wait for a job.
RETENTION_S = 60.0
MAX_JOBS = 20_000
# Jobs that a daemon with a new link is told of.
MAX_TOLD_JOBS = 2_000


class Cancellations:
    """The cancelled jobs that a daemon knows of."""

    def __init__(self):
        # In the order of insertion, the oldest first.
        self._cancelled_at: dict[str, float] = {}

    def record(self, job_id: str, now: float) -> None:
        """Record that the caller of a job has cancelled it."""
        self._cancelled_at.pop(job_id, None)
        self._cancelled_at[job_id] = now
        self._delete_old(now)

    def is_cancelled(self, job_id: str, now: float) -> bool:
        """Return whether a job was cancelled recently."""
        cancelled_at = self._cancelled_at.get(job_id)
        return cancelled_at is not None and now < cancelled_at + RETENTION_S

    def list_recent(self, now: float) -> list[str]:
        """Return the jobs that were cancelled recently, the latest ones if too many."""
        self._delete_old(now)
        return list(self._cancelled_at)[-MAX_TOLD_JOBS:]

    def _delete_old(self, now: float) -> None:
        while self._cancelled_at:
            job_id, cancelled_at = next(iter(self._cancelled_at.items()))
            is_old = now >= cancelled_at + RETENTION_S
            if not is_old and len(self._cancelled_at) <= MAX_JOBS:
                break
            del self._cancelled_at[job_id]
