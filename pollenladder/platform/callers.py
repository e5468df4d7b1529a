"""What callers send and get, in the platform's words."""

import dataclasses
import math

import msgspec

from pollenladder.jobs import entities as jobs
from pollenladder.platform import exceptions
from pollenladder.platform import messages

DEADLINE_VARIABLE = "HTTP_POLLENLADDER_DEADLINE_MS"

_JOB = msgspec.json.Decoder(messages.Job)


@dataclasses.dataclass(frozen=True, slots=True)
class JobBody:
    """A job as a caller describes it.

    Attributes:
        spec: What workers are told to run.
        tasks: Number of tasks.
        resources: What each needs.
        estimate_s: Declared run time of each.
    """

    spec: str
    tasks: int
    resources: jobs.Resources
    estimate_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer.

    Attributes:
        status: The status.
        body: JSON, or empty.
        retry_after_s: Sent as a header if it is positive.
    """

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0


def decode_job(body: bytes) -> JobBody:
    """Return the job in a request's body.

    Raises:
        exceptions.BadDocumentError: There is none.
        exceptions.UnsupportedJobError: It is of a shape that is not run here.
    """
    try:
        job = _JOB.decode(body)
    except msgspec.MsgspecError as error:
        raise exceptions.BadDocumentError(str(error)) from error
    _check_shape(job)
    step = job.steps[0]
    return JobBody(
        spec=job.spec,
        tasks=step.count,
        resources=jobs.Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_s=step.estimate_ms / 1000,
    )


def _check_shape(job: messages.Job) -> None:
    """Reject what would need more than one-step jobs that are not kept."""
    step = job.steps[0]
    findings = (
        (not job.preemptible, "a job that has to be kept"),
        (len(job.steps) > 1, "a job of several steps"),
        (bool(job.times or job.start_at_ms), "a scheduled job"),
        (step.gang, "tasks that run only together"),
        (step.long_running, "tasks that last"),
        (step.fills, "tasks that fill"),
        (bool(step.requires), "a worker label"),
        (bool(step.anti_affinity), "a limit of tasks a worker"),
    )
    for is_found, text in findings:
        if is_found:
            raise exceptions.UnsupportedJobError(text)


def read_budget_s(environ: dict, default_s: float) -> float:
    """Return how long the caller waits for the answer, in seconds."""
    try:
        budget_s = float(environ.get(DEADLINE_VARIABLE, "")) / 1000
    except ValueError:
        return default_s
    return budget_s if 0 < budget_s < math.inf else default_s


def encode_answer(answer: jobs.Answer) -> Reply:
    """Return the reply that carries a job's final answer.

    A 429 says that the job has not run and never will; a 504, that it may have.
    """
    outcome = answer.outcome
    if outcome is jobs.Outcome.REFUSED:
        body = encode_error(answer.reason.value)
        return Reply(429, body, answer.retry_after_s)
    if outcome is jobs.Outcome.GIVEN_UP:
        return Reply(504, encode_error(answer.reason.value))
    return Reply(200, msgspec.json.encode({"State": outcome.value}))


def encode_error(text: str) -> bytes:
    """Return the body of an error."""
    return msgspec.json.encode({"Error": text})


def encode_pending(count: int) -> Reply:
    """Return the number of a queue's jobs that have not begun."""
    return Reply(200, msgspec.json.encode({"Pending": count}))


def encode_state(state: str) -> Reply:
    """Return a job's state."""
    return Reply(200, msgspec.json.encode({"State": state}))
