"""Request and response bodies of callers, in the platform's format."""

import dataclasses
import enum
import math
import re
from typing import assert_never

import msgspec

from pollenladder.jobs import entities as jobs
from pollenladder.platform import exceptions
from pollenladder.platform import messages

# WSGI name of the request header with the caller's deadline in milliseconds.
DEADLINE_VARIABLE = "HTTP_POLLENLADDER_DEADLINE_MS"

# Bounds of the estimates of callers.
MIN_ESTIMATE_S = 0.001
MAX_ESTIMATE_S = 3600.0

# An id, at the end of a path.
_JOB_ID_PATTERN = re.compile("[0-9a-fA-F]{16}$", re.ASCII)

_JOB_DECODER = msgspec.json.Decoder(messages.Job)


@dataclasses.dataclass(frozen=True, slots=True)
class JobBody:
    """A job as its caller describes it.

    Attributes:
        spec: The description of the work; passed to workers unchanged.
        tasks: Number of tasks.
        resources: Resources that each task needs.
        estimate_s: Run time of each task as estimated by the caller, in
            seconds; 0 if there is no estimate.
    """

    spec: str
    tasks: int
    resources: jobs.Resources
    estimate_s: float


class FinalState(enum.Enum):
    """State of a job that has ended, in the response to its submission."""

    COMPLETED = "completed"
    FAILED = "failed"


class JobState(enum.Enum):
    """State of a job, in the response to a request that asks for it or cancels it."""

    QUEUED = "queued"
    RUNNING = "running"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response to a caller.

    Attributes:
        status: The HTTP status code.
        body: A JSON document, or empty.
        retry_after_s: Value of the Retry-After header, in seconds; 0 sends no
            such header.
    """

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0


def decode_job(body: bytes) -> JobBody:
    """Return the job that a request body describes.

    Raises:
        exceptions.BadDocumentError: The body is not a valid job.
        exceptions.UnsupportedJobError: The job uses a feature that is not
            supported.
    """
    try:
        job = _JOB_DECODER.decode(body)
    except messages.DECODE_ERRORS as error:
        raise exceptions.BadDocumentError(str(error)) from error
    _check_supported(job)
    step = job.steps[0]
    return JobBody(
        spec=job.spec,
        tasks=step.count,
        resources=jobs.Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_s=_decode_estimate_s(step.estimate_ms),
    )


def _decode_estimate_s(estimate_ms: float) -> float:
    """Return an estimate in seconds; 0 if there is none.

    An estimate is rough, so one that no task of this product can have is replaced
    by the nearest possible one.
    """
    if estimate_ms <= 0:
        return 0.0
    return max(MIN_ESTIMATE_S, min(MAX_ESTIMATE_S, estimate_ms / 1000))


def _check_supported(job: messages.Job) -> None:
    """Raise an error if the job uses a feature that is not supported."""
    step = job.steps[0]
    unsupported_features = (
        (not job.preemptible, "a job that has to be kept"),
        (len(job.steps) > 1, "a job of several steps"),
        (bool(job.times or job.start_at_ms), "a scheduled job"),
        (step.gang, "tasks that run only together"),
        (step.long_running, "tasks that last"),
        (step.fills, "tasks that fill"),
        (bool(step.requires), "a worker label"),
        (bool(step.anti_affinity), "a limit of tasks a worker"),
    )
    for is_requested, text in unsupported_features:
        if is_requested:
            raise exceptions.UnsupportedJobError(text)


def find_job_id(path: str) -> str:
    """Return the job id at the end of a path, or "" if there is none.

    It is found without the prefix of the queue.
    """
    found = _JOB_ID_PATTERN.search(path)
    return found.group() if found else ""


def read_budget_s(environ: dict, default_s: float) -> float:
    """Return how long the caller waits for the answer, in seconds.

    Args:
        environ: The WSGI environment of the request.
        default_s: Returned if the request has no valid deadline header.
    """
    try:
        budget_s = float(environ.get(DEADLINE_VARIABLE, "")) / 1000
    except ValueError:
        return default_s
    return budget_s if 0 < budget_s < math.inf else default_s


def encode_answer(answer: jobs.Answer) -> Reply:
    """Return the HTTP response for a job's final answer.

    Status 200 carries the state of a job that has ended. Status 429 guarantees that
    the job has not run and never will. Status 504 means that it may have run; a
    cancelled job has not ended in any state that its caller could still use.
    """
    match answer.outcome:
        case jobs.Outcome.COMPLETED:
            return _encode_final_state(FinalState.COMPLETED)
        case jobs.Outcome.FAILED:
            return _encode_final_state(FinalState.FAILED)
        case jobs.Outcome.REFUSED:
            body = encode_error(answer.reason.value)
            return Reply(429, body, answer.retry_after_s)
        case jobs.Outcome.GIVEN_UP | jobs.Outcome.CANCELLED:
            return Reply(504, encode_error(answer.reason.value))
        case _:
            assert_never(answer.outcome)


def _encode_final_state(state: FinalState) -> Reply:
    """Return the only kind of response with status 200 to a submission."""
    return Reply(200, msgspec.json.encode({"State": state.value}))


def encode_error(text: str) -> bytes:
    """Return the JSON body of an error response."""
    return msgspec.json.encode({"Error": text})


def encode_pending(count: int) -> Reply:
    """Return the response with the number of a queue's pending jobs."""
    return Reply(200, msgspec.json.encode({"Pending": count}))


def encode_state(state: JobState) -> Reply:
    """Return the response with a job's state, to a request that submits nothing."""
    return Reply(200, msgspec.json.encode({"State": state.value}))
