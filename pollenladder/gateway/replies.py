"""Replies to requests, and how answers and errors become replies."""

import dataclasses
import http
import math
from typing import Any

import pydantic_core

from pollenladder.core import verdicts
from pollenladder.gateway import exceptions

JSON_TYPE = "application/json"
DEFAULT_RETRY_AFTER_S = 1.0
STATUS_LINES = {s.value: f"{s.value} {s.phrase}" for s in http.HTTPStatus}

_REFUSED_STATUSES = {
    verdicts.Reason.ALLOWANCE: 429,
    verdicts.Reason.NEVER_RUNS: 422,
}
_KEY_REASONS = (verdicts.Reason.KEY_UNKNOWN, verdicts.Reason.KEY_IN_USE)


@dataclasses.dataclass(frozen=True)
class Reply:
    """What is sent back.

    Attributes:
        status: The HTTP status.
        body: The body.
        content_type: Its media type.
        headers: Further header fields.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def make_reply(
    status: int, value: Any, retry_after_s: float | None = None
) -> Reply:
    """Return a reply with a JSON body, and `Retry-After` if it is given."""
    body = pydantic_core.to_json(value, inf_nan_mode="null")
    if retry_after_s is None:
        return Reply(status, body)
    seconds = max(1, math.ceil(retry_after_s))
    return Reply(status, body, headers=(("Retry-After", str(seconds)),))


def describe_error(code: str, field: str, detail: str) -> dict[str, Any]:
    """Return the body of an error."""
    return {"error": {"code": code, "field": field, "detail": detail}}


def make_error_reply(error: exceptions.RequestError) -> Reply:
    """Return the reply to a request that is in error."""
    body = describe_error(error.code, error.field, error.detail)
    if error.retry_after_s is not None:
        body["error"]["retry_after_s"] = error.retry_after_s
    reply = make_reply(error.status, body, error.retry_after_s)
    if error.status != http.HTTPStatus.UNAUTHORIZED:
        return reply
    challenge = (("WWW-Authenticate", "Bearer"),)
    return dataclasses.replace(reply, headers=reply.headers + challenge)


def make_running_reply(job_id: str) -> Reply:
    """Return the reply for a job that has no answer yet."""
    return make_reply(202, {"job": job_id, "state": "running"})


def _describe_result(result: verdicts.TaskResult) -> dict[str, Any]:
    return {
        "id": result.task_id,
        "verdict": result.verdict.value,
        "reason": result.reason.value,
        "output": result.output,
        "run_ms": round(result.run_s * 1000, 3),
    }


def _describe_answer(
    answer: verdicts.Answer,
    outcome: str,
    reason: verdicts.Reason,
    retry_after_s: float | None = None,
) -> dict[str, Any]:
    results = getattr(answer, "results", ())
    return {
        "job": answer.job_id,
        "outcome": outcome,
        "reason": reason.value,
        "detail": getattr(answer, "detail", ""),
        "retry_after_s": retry_after_s,
        "tasks": [_describe_result(result) for result in results],
    }


def _get_status(answer: verdicts.Failed | verdicts.Refused) -> int:
    if answer.reason in _KEY_REASONS:
        return 409
    if isinstance(answer, verdicts.Failed):
        return 502
    return _REFUSED_STATUSES.get(answer.reason, 503)


def make_answer_reply(answer: verdicts.Answer) -> Reply:
    """Return the reply that tells a job's answer."""
    if isinstance(answer, verdicts.Complete):
        reason = verdicts.Reason.OK
        return make_reply(200, _describe_answer(answer, "complete", reason))
    status = _get_status(answer)
    retry_after_s = answer.retry_after_s
    if retry_after_s is None and status in (429, 503):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    failed = isinstance(answer, verdicts.Failed)
    body = _describe_answer(
        answer,
        "failed" if failed else "refused",
        answer.reason,
        retry_after_s,
    )
    return make_reply(status, body, retry_after_s)
