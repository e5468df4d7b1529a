"""Build submissions from the arrivals of a load."""

from bench.emulator import loads
from pollenladder.jobs import entities as jobs

SERVICE = "service"
MAX_ATTEMPTS = 3
MEMORY_MB = 64


def build(
    job_id: str,
    arrival: loads.Arrival,
    stretch: float,
    slack_s: float,
    age_s: float,
    budget_s: float,
) -> jobs.Submission:
    """Return the submission of an arrival.

    Args:
        job_id: The job's id.
        arrival: The arrival.
        stretch: See `jobs.Queue`.
        slack_s: See `jobs.Queue`.
        age_s: Time since the caller sent the job, in seconds.
        budget_s: Time until the caller gives up, in seconds.
    """
    kind = next(k for k in loads.REQUEST_KINDS if k.name == arrival.kind)
    return jobs.Submission(
        job_id=job_id,
        queue=arrival.get_queue(),
        service=SERVICE,
        priority=kind.priority,
        max_attempts=MAX_ATTEMPTS,
        stretch=stretch,
        slack_s=slack_s,
        age_s=age_s,
        budget_s=budget_s,
        spec="",
        tasks=len(arrival.runs_s),
        cpu_milli=arrival.cpu_milli,
        memory_mb=MEMORY_MB,
        gpus=0,
        estimate_s=arrival.declared_s,
        may_have_begun=False,
        first_run=1,
    )
