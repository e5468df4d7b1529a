"""The functions of the daemon that the gateway calls."""

from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.plans import declarations


@dataclasses.dataclass(frozen=True)
class Stamp:
    """A prefix that callers put before their own idempotency keys.

    Attributes:
        text: The stamp.
        expires_in_s: Seconds for which new keys with this stamp are accepted.
    """

    text: str
    expires_in_s: float


@dataclasses.dataclass(frozen=True)
class Backend:
    """Functions that the gateway calls; only `wait` blocks.

    Attributes:
        issue_job_id: Return a job id that was never issued before.
        submit: Accept a validated job; `wait` returns its answer.
        wait: Called with job id, customer id and a timeout in seconds. Wait
            for the job's answer and return it, or None if the job is still
            running after the timeout. If another daemon received the job,
            query that daemon. Raises `gateway.exceptions.JobUnknownError`.
        cancel: Called with job id and customer id. Cancel the job and return
            whether it was running. Raises the same error as `wait`.
        issue_stamp: Return a stamp, or None if this daemon can accept no
            idempotency key at present.
        get_declarations: Return the declarations in force on this daemon.
        describe_status: Return the JSON object of `/v1/operator/status`.
        drain: Called with the id of a worker or of this daemon. Start its
            drain and return whether the id is known.
        find_job: Called with a job id. Return the JSON object that describes
            the job to operators, or None if the job is unknown.
        get_unready_reason: Return why this daemon can serve no jobs, or None
            if it can.
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
