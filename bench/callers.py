"""The callers' HTTP as a client sees it: requests built, answers checked."""

import dataclasses
import json
from typing import Any

import geventhttpclient
from geventhttpclient import response as http_response

# What a broken connection or a garbled answer raises.
BROKEN_ERRORS = (OSError, ValueError, EOFError, http_response.HTTPParseError)
OUTCOMES = ("complete", "failed", "refused")


@dataclasses.dataclass(frozen=True)
class Request:
    """A job to submit.

    Attributes:
        at_s: When, in seconds from the start of the load.
        target: The index of the daemon that it is sent to.
        customer_id: Whose it is.
        token: The customer's bearer token.
        body: The JSON object that is sent.
        echoes: What each task has to give back, by task id.
        own_key: The caller's part of a key, for non-idempotent kinds; a stamp
            is fetched and put before it. Empty for no key.
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
    """What became of a job.

    Attributes:
        customer_id: Whose it is.
        tasks: Number of tasks submitted.
        work_ms: Their run times together.
        at_s: When it was due, in seconds from the start of the load.
        response_s: From when it was due to the whole answer.
        outcome: `complete`, `failed`, `refused`; `closed` if the connection
            broke; `lost` if no answer came in time; `error` for any other
            answer.
        status: The HTTP status, 0 if there was none.
        reason: The answer's reason, or what went wrong.
        retry_after_s: The `Retry-After` header, None if it is not there.
        crossed: Results that belong to another request.
        partial: Whether a complete answer lacks a task, or a refused one says
            that a task has run.
        job_id: The system's id of the job.
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
    """Send a job and wait; return status, `Retry-After` and the JSON body."""
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
    """Return what an answer says, and whether it fits its request."""
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
    """Return the outcome of a job that got no answer of the known forms."""
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
    """Return the run times of the tasks together, in milliseconds."""
    return sum(task["payload"]["run_ms"] for task in request.body["tasks"])


def count_crossed(request: Request, results: list[dict[str, Any]]) -> int:
    """Return how many results are not of this request's tasks."""
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
    """Return whether an answer is neither whole, failed nor not run."""
    if outcome == "refused":
        return any(one.get("verdict") != "not_run" for one in results)
    ids = [one.get("id") for one in results]
    whole = sorted(map(str, ids)) == sorted(request.echoes)
    if outcome == "failed":
        return False
    good = all(
        one.get("verdict") == "ran" and one.get("reason") == "ok"
        for one in results
    )
    return not (whole and good)


def _count_verdicts(results: list[dict[str, Any]]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in results:
        verdict = str(result.get("verdict"))
        counts[verdict] = counts.get(verdict, 0) + 1
    return counts
