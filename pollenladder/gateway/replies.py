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

_REFUSAL_STATUSES = {
    verdicts.Reason.ALLOWANCE: 429,
    verdicts.Reason.NEVER_RUNS: 422,
}
_KEY_REASONS = (verdicts.Reason.KEY_UNKNOWN, verdicts.Reason.KEY_IN_USE)


@dataclasses.dataclass(frozen=True)
class Reply:
    """An HTTP response.

    Attributes:
        status: The HTTP status code.
        body: The response body.
        content_type: The media type of the body.
        headers: Names and values of further header fields.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def make_reply(
    status: int, value: Any, retry_after_s: float | None = None
) -> Reply:
    """Return a reply with a JSON body and, if given, a `Retry-After` header.

    The header holds whole seconds, rounded up, and at least 1.
    """
    body = pydantic_core.to_json(value, inf_nan_mode="null")
    if retry_after_s is None:
        return Reply(status, body)
    whole_seconds = max(1, math.ceil(retry_after_s))
    return Reply(status, body, headers=(("Retry-After", str(whole_seconds)),))


def describe_error(code: str, field: str, detail: str) -> dict[str, Any]:
    """Return the JSON object of an error reply."""
    return {"error": {"code": code, "field": field, "detail": detail}}


def make_error_reply(error: exceptions.RequestError) -> Reply:
    """Return the reply for an error; a 401 also names the `Bearer` scheme."""
    body = describe_error(error.code, error.field, error.detail)
    if error.retry_after_s is not None:
        body["error"]["retry_after_s"] = error.retry_after_s
    reply = make_reply(error.status, body, error.retry_after_s)
    if error.status != http.HTTPStatus.UNAUTHORIZED:
        return reply
    challenge = (("WWW-Authenticate", "Bearer"),)
    return dataclasses.replace(reply, headers=reply.headers + challenge)


def make_running_reply(job_id: str) -> Reply:
    """Return the 202 reply for a job that has no answer yet."""
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
    """Return the HTTP status code of a failure or a refusal."""
    if answer.reason in _KEY_REASONS:
        return 409
    if isinstance(answer, verdicts.Failed):
        return 502
    return _REFUSAL_STATUSES.get(answer.reason, 503)


def make_answer_reply(answer: verdicts.Answer) -> Reply:
    """Return the reply that carries a job's answer."""
    if isinstance(answer, verdicts.Complete):
        reason = verdicts.Reason.OK
        return make_reply(200, _describe_answer(answer, "complete", reason))
    status = _get_status(answer)
    retry_after_s = answer.retry_after_s
    if retry_after_s is None and status in (429, 503):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    is_failed = isinstance(answer, verdicts.Failed)
    body = _describe_answer(
        answer,
        "failed" if is_failed else "refused",
        answer.reason,
        retry_after_s,
    )
    return make_reply(status, body, retry_after_s)
