"""What the gateway asks of the rest of the daemon."""

from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.plans import declarations


@dataclasses.dataclass(frozen=True)
class Stamp:
    """What a caller puts before its own idempotency key.

    Attributes:
        text: The stamp.
        expires_in_s: How long new keys with it are accepted, in seconds.
    """

    text: str
    expires_in_s: float


@dataclasses.dataclass(frozen=True)
class Backend:
    """Functions that the gateway calls; none blocks but `wait`.

    Attributes:
        issue_job_id: Return an id never issued before.
        submit: Take a validated job; its answer is had by `wait`.
        wait: Called with job id, customer id and seconds: wait for the job's
            answer at most so long; None if it is still running. Raises
            `gateway.exceptions.JobUnknownError`. Jobs that another daemon
            received are asked for there.
        cancel: Called with job id and customer id: cancel the job; return
            whether it was running. Raises as `wait`.
        issue_stamp: Return a stamp, or None if no key could be taken now.
        get_declarations: Return the declarations now in force here.
        describe_status: Return what the operators' status shows.
        drain: Start the drain of a worker or of this daemon by id; return
            whether the id is known.
        find_job: Return what is known of a job, for operators, or None.
        get_unready_reason: Return why no job can be served, or None.
    """

    issue_job_id: Callable[[], str]
    submit: Callable[[entities.Job], None]
    wait: Callable[[str, str, float], verdicts.Answer | None]
    cancel: Callable[[str, str], bool]
    issue_stamp: Callable[[], Stamp | None]
    get_declarations: Callable[[], declarations.Declarations]
    describe_status: Callable[[], dict[str, Any]]
    drain: Callable[[str], bool]
    find_job: Callable[[str], dict[str, Any] | None]
    get_unready_reason: Callable[[], str | None]
