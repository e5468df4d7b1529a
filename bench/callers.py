"""A client of the callers' HTTP interface that checks every answer."""

import dataclasses
import json
from typing import Any

import geventhttpclient
from geventhttpclient import response as http_response

# Exceptions that a broken connection or a malformed answer raises.
BROKEN_ERRORS = (OSError, ValueError, EOFError, http_response.HTTPParseError)
OUTCOMES = ("complete", "failed", "refused")


@dataclasses.dataclass(frozen=True)
class Request:
    """A job to submit.

    Attributes:
        at_s: Submission time, in seconds from the start of the load.
        target: Index of the daemon that receives the request.
        customer_id: Customer that submits the job.
        token: The customer's bearer token.
        body: JSON object to send.
        echoes: Expected echo in the output of each task, by task id.
        own_key: The caller's part of an idempotency key, for kinds that are not
            idempotent; `submit` prefixes it with a stamp from the daemon.
            Empty for no key.
    """

    at_s: float
    target: int
    customer_id: str
    token: str
    body: dict[str, Any]
    echoes: dict[str, str]
    own_key: str = ""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The result of a submitted job.

    Attributes:
        customer_id: Customer that submitted the job.
        tasks: Number of tasks submitted.
        work_ms: Total run time of the tasks, in milliseconds.
        at_s: Time at which it was due, in seconds from the start of the load.
        response_s: Time from when it was due to the end of the answer.
        outcome: `complete`, `failed`, `refused`; `closed` if the connection
            broke; `lost` if no answer came in time; `error` for any other
            answer.
        status: HTTP status, 0 without an answer.
        reason: Reason in the answer, or a description of the error.
        retry_after_s: Value of the `Retry-After` header, None without one.
        crossed: Number of results that belong to another request.
        partial: Whether a complete answer lacks a successful result of any
            task, or a refusal reports a task that may have run.
        job_id: Id that the daemon gave the job.
        verdicts: Number of tasks by verdict.
    """

    customer_id: str
    tasks: int
    work_ms: int
    at_s: float
    response_s: float
    outcome: str
    status: int = 0
    reason: str = ""
    retry_after_s: float | None = None
    crossed: int = 0
    partial: bool = False
    job_id: str = ""
    verdicts: dict[str, int] = dataclasses.field(default_factory=dict)


def submit(
    client: geventhttpclient.HTTPClient, request: Request
) -> tuple[int, float | None, Any]:
    """Submit a job; return the status, `Retry-After` and the JSON body."""
    body = request.body
    if request.own_key:
        status, retry_after_s, stamp = _post(client, request, "/v1/stamps", {})
        if "stamp" not in stamp:
            return status, retry_after_s, stamp
        body = body | {"key": f"{stamp['stamp']}~{request.own_key}"}
    return _post(client, request, "/v1/jobs", body)


def _post(
    client: geventhttpclient.HTTPClient,
    request: Request,
    path: str,
    body: dict[str, Any],
) -> tuple[int, float | None, Any]:
    response = client.post(
        path,
        body=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {request.token}",
            "Content-Type": "application/json",
        },
    )
    text = response.read()
    return response.status_code, _read_retry_after(response), json.loads(text)


def _read_retry_after(response: Any) -> float | None:
    value = response.get("retry-after")
    return None if value is None else float(value)


def check_answer(
    request: Request,
    response_s: float,
    status: int,
    retry_after_s: float | None,
    answer: dict[str, Any],
) -> Outcome:
    """Convert an answer into an outcome and check it against its request."""
    outcome = answer.get("outcome")
    if outcome not in OUTCOMES:
        return describe_loss(request, response_s, "error", str(answer), status)
    results = answer.get("tasks") or []
    return Outcome(
        customer_id=request.customer_id,
        tasks=len(request.echoes),
        work_ms=compute_work_ms(request),
        at_s=request.at_s,
        response_s=response_s,
        outcome=outcome,
        status=status,
        reason=str(answer.get("reason") or ""),
        retry_after_s=retry_after_s,
        crossed=count_crossed(request, results),
        partial=is_partial(request, outcome, results),
        job_id=str(answer.get("job") or ""),
        verdicts=_count_verdicts(results),
    )


def describe_loss(
    request: Request,
    response_s: float,
    outcome: str,
    reason: str,
    status: int = 0,
) -> Outcome:
    """Return the outcome of a job without a valid answer."""
    return Outcome(
        customer_id=request.customer_id,
        tasks=len(request.echoes),
        work_ms=compute_work_ms(request),
        at_s=request.at_s,
        response_s=response_s,
        outcome=outcome,
        status=status,
        reason=reason[:200],
    )


def compute_work_ms(request: Request) -> int:
    """Return the total run time of the tasks, in milliseconds."""
    return sum(task["payload"]["run_ms"] for task in request.body["tasks"])


def count_crossed(request: Request, results: list[dict[str, Any]]) -> int:
    """Count the results that belong to another request."""
    crossed = 0
    for result in results:
        task_id = result.get("id")
        if task_id not in request.echoes:
            crossed += 1
        elif result.get("verdict") == "ran" and result.get("reason") == "ok":
            output = result.get("output") or {}
            crossed += output.get("echo") != request.echoes[task_id]
    return crossed


def is_partial(
    request: Request, outcome: str, results: list[dict[str, Any]]
) -> bool:
    """Return whether an answer contradicts its own outcome.

    A complete answer must have one successful result for each task, and a
    refusal must not have a result of a task that may have run.
    """
    if outcome == "refused":
        return any(one.get("verdict") != "not_run" for one in results)
    ids = [one.get("id") for one in results]
    has_all_tasks = sorted(map(str, ids)) == sorted(request.echoes)
    if outcome == "failed":
        return False
    all_ok = all(
        one.get("verdict") == "ran" and one.get("reason") == "ok"
        for one in results
    )
    return not (has_all_tasks and all_ok)


def _count_verdicts(results: list[dict[str, Any]]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in results:
        verdict = str(result.get("verdict"))
        counts[verdict] = counts.get(verdict, 0) + 1
    return counts
