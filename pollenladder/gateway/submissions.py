"""Parse and validate the bodies that callers and operators send."""

from collections.abc import Sequence
import math
import re
from typing import Annotated
from typing import Any

import msgpack
import pydantic

from pollenladder.core import entities
from pollenladder.gateway import exceptions
from pollenladder.gateway import limits
from pollenladder.plans import declarations

# Upper bound of `declared_ms` and `declared_size`.
MAX_DECLARED_NUMBER = 1e12
# Idempotency keys: <shard>~<epoch>~<window>~<the caller's own key>.
KEY_PATTERN = re.compile(r"[^~\s]{1,96}~[0-9]{1,18}~[0-9]{1,18}~\S{1,128}")
INT64_MIN = -(2**63)
UINT64_MAX = 2**64 - 1
# The msgpack encodings of the floats that JSON can't represent.
NON_FINITE_MSGPACK = tuple(
    msgpack.packb(float(name)) for name in ("nan", "-nan", "inf", "-inf")
)

Id = Annotated[
    str,
    pydantic.StringConstraints(
        min_length=1,
        max_length=limits.MAX_ID_CHARS,
        pattern=r"^[^\x00-\x1f\x7f]+$",
    ),
]
DeclaredNumber = Annotated[
    float, pydantic.Field(ge=0, le=MAX_DECLARED_NUMBER, allow_inf_nan=False)
]


class _Body(pydantic.BaseModel):
    """A JSON body; unknown fields and type conversions are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class TaskBody(_Body):
    """One task of a submission."""

    id: Id
    kind: Id
    payload: Any = None
    declared_ms: DeclaredNumber = 0.0
    declared_size: DeclaredNumber = 0.0


class Submission(_Body):
    """The body with which a caller submits a job."""

    plan: Id
    tasks: Annotated[
        list[TaskBody],
        pydantic.Field(
            min_length=1,
            max_length=entities.MAX_TASKS_PER_JOB,
            fail_fast=True,
        ),
    ]
    deadline_ms: Annotated[
        float | None, pydantic.Field(gt=0, allow_inf_nan=False)
    ] = None
    key: Annotated[
        str | None, pydantic.Field(max_length=limits.MAX_KEY_CHARS)
    ] = None
    wait: bool = True


class DrainBody(_Body):
    """A request to drain a worker or a daemon, given by its id."""

    target: Id


_ERROR_CODES = {
    "json_invalid": "not_json",
    "missing": "missing",
    "extra_forbidden": "unknown_field",
    "too_short": "too_short",
    "too_long": "too_long",
}


def _convert_validation_error(
    error: pydantic.ValidationError,
) -> exceptions.RequestError:
    """Return the error reply for the first invalid field."""
    first_error = error.errors(
        include_url=False, include_context=False, include_input=False
    )[0]
    path = ".".join(
        str(part)[: limits.MAX_ID_CHARS] for part in first_error["loc"]
    )
    code = _ERROR_CODES.get(first_error["type"], "invalid")
    return exceptions.RequestError(
        400, code, path or "body", first_error["msg"]
    )


def _make_bad_request(
    code: str, field: str, detail: str
) -> exceptions.RequestError:
    return exceptions.RequestError(400, code, field, detail)


def parse_drain(body: bytes) -> str:
    """Return the id of the worker or daemon to drain.

    Raises:
        exceptions.RequestError: 400, the body is not valid.
    """
    try:
        return DrainBody.model_validate_json(body).target
    except pydantic.ValidationError as error:
        raise _convert_validation_error(error) from error


def parse_submission(body: bytes) -> Submission:
    """Return the submission in a body.

    Raises:
        exceptions.RequestError: 400, the body is not valid.
    """
    try:
        submission = Submission.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _convert_validation_error(error) from error
    if not _is_surely_encodable([task.payload for task in submission.tasks]):
        _check_payloads(submission.tasks)
    ids = {task.id for task in submission.tasks}
    if len(ids) != len(submission.tasks):
        raise _make_repeated_id_error(submission.tasks)
    return submission


def _make_repeated_id_error(
    tasks: Sequence[TaskBody],
) -> exceptions.RequestError:
    """Return the error for the first task whose id an earlier task has."""
    seen_ids = set()
    index = 0
    while tasks[index].id not in seen_ids:
        seen_ids.add(tasks[index].id)
        index += 1
    return _make_bad_request(
        "repeated", f"tasks.{index}.id", "ids must be unique"
    )


def _is_surely_encodable(value: Any) -> bool:
    """Return whether a value is certain to be encodable in msgpack and JSON.

    The check is fast, but False is not conclusive: the bytes of a string may
    look like the encoding of a non-finite number. `_check_payloads` then
    checks each number.
    """
    try:
        packed = msgpack.packb(value)
    except OverflowError:
        return False
    return not any(number in packed for number in NON_FINITE_MSGPACK)


def _is_encodable(value: Any) -> bool:
    """Return whether all numbers in a value are finite and fit 64 bits."""
    if type(value) is int:
        return INT64_MIN <= value <= UINT64_MAX
    if type(value) is float:
        return math.isfinite(value)
    if type(value) is list:
        return all(map(_is_encodable, value))
    if type(value) is dict:
        return all(map(_is_encodable, value.values()))
    return True


def _check_payloads(tasks: Sequence[TaskBody]) -> None:
    """Raise a `RequestError` for the first payload that can't be encoded."""
    for index, task in enumerate(tasks):
        if not _is_encodable(task.payload):
            field = f"tasks.{index}.payload"
            detail = "numbers must be finite and fit 64 bits"
            raise _make_bad_request("invalid", field, detail)


def make_job(
    submission: Submission,
    customer: declarations.Customer,
    plans: dict[str, declarations.Plan],
    job_id: str,
) -> entities.Job:
    """Check a submission against its plan and return the job.

    Raises:
        exceptions.RequestError: 400, the customer does not have the plan, or
            the plan does not allow the job.
    """
    plan = _get_plan(submission.plan, customer, plans)
    _check_kinds(submission, plan)
    deadline_s = _get_deadline_s(submission.deadline_ms, plan)
    tasks = [
        entities.Task(
            task.id,
            task.kind,
            task.payload,
            task.declared_ms,
            task.declared_size,
        )
        for task in submission.tasks
    ]
    return entities.Job(
        job_id,
        customer.customer_id,
        plan.plan_id,
        tuple(tasks),
        deadline_s,
        submission.key,
    )


def _get_plan(
    plan_id: str,
    customer: declarations.Customer,
    plans: dict[str, declarations.Plan],
) -> declarations.Plan:
    plan = plans.get(plan_id) if plan_id in customer.plan_ids else None
    if plan is None:
        raise _make_bad_request(
            "unknown_plan", "plan", "not a plan of this customer"
        )
    return plan


def _check_kinds(submission: Submission, plan: declarations.Plan) -> None:
    """Check that the plan has every task kind, and the idempotency key.

    The key may be missing only if all kinds are idempotent.
    """
    needs_key = False
    for index, task in enumerate(submission.tasks):
        kind = plan.kinds.get(task.kind)
        if kind is None:
            field = f"tasks.{index}.kind"
            raise _make_bad_request(
                "unknown_kind", field, "not a kind of this plan"
            )
        needs_key |= not kind.idempotent
    if submission.key is None:
        if needs_key:
            detail = "a kind that is not idempotent needs a key"
            raise _make_bad_request("missing", "key", detail)
    elif not KEY_PATTERN.fullmatch(submission.key):
        raise _make_bad_request(
            "invalid", "key", "must be a stamp, ~ and your own key"
        )


def _get_deadline_s(
    deadline_ms: float | None, plan: declarations.Plan
) -> float:
    if deadline_ms is None:
        return plan.deadline_s
    if deadline_ms > plan.deadline_s * 1000:
        detail = f"the plan allows {plan.deadline_s * 1000:g} at most"
        raise _make_bad_request("too_long", "deadline_ms", detail)
    return deadline_ms / 1000
