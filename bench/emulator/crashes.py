"""Jobs with a task that crashes the workers that start it."""

import dataclasses
import random

# Time between the start of such a task and the crash.
CRASH_DELAY_S = 0.012
# For how long a crashed worker is down.
OUTAGE_S = 3.3
# Index of the task of a job that crashes its workers.
CRASHING_TASK = 0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Which jobs contain a task that crashes workers.

    Attributes:
        kind: The kind of these jobs; empty if there are none.
        share: The share of the jobs of that kind.
        seed: Selects the jobs.
    """

    kind: str = ""
    share: float = 0.0
    seed: int = 0

    def crashes(self, kind: str, job_id: str, task_index: int) -> bool:
        """Return whether a task crashes the workers that start it."""
        if kind != self.kind or task_index != CRASHING_TASK:
            return False
        return random.Random(f"{self.seed} {job_id}").random() < self.share


NONE = Plan()
