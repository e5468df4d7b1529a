"""Bodies that callers and operators send, checked at the border."""

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

MAX_DECLARED = 1e12
# <shard>~<epoch>~<window>~<the caller's own>
KEY = re.compile(r"[^~\s]{1,96}~[0-9]{1,18}~[0-9]{1,18}~\S{1,128}")
INT64_MIN = -(2**63)
UINT64_MAX = 2**64 - 1
# The floats that JSON has no words for, as msgpack writes them.
NOT_FINITE = tuple(
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
Declared = Annotated[
    float, pydantic.Field(ge=0, le=MAX_DECLARED, allow_inf_nan=False)
]


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class TaskBody(_Body):
    """One task of a submission."""

    id: Id
    kind: Id
    payload: Any = None
    declared_ms: Declared = 0.0
    declared_size: Declared = 0.0


class Submission(_Body):
    """A job as a caller sends it."""

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
    """What an operator wants drained."""

    target: Id


_CODES = {
    "json_invalid": "not_json",
    "missing": "missing",
    "extra_forbidden": "unknown_field",
    "too_short": "too_short",
    "too_long": "too_long",
}


def _make_error(error: pydantic.ValidationError) -> exceptions.RequestError:
    first = error.errors(
        include_url=False, include_context=False, include_input=False
    )[0]
    path = ".".join(str(part)[: limits.MAX_ID_CHARS] for part in first["loc"])
    code = _CODES.get(first["type"], "invalid")
    return exceptions.RequestError(400, code, path or "body", first["msg"])


def _reject(code: str, field: str, detail: str) -> exceptions.RequestError:
    return exceptions.RequestError(400, code, field, detail)


def parse_drain(body: bytes) -> str:
    """Return the id of what is to be drained.

    Raises:
        exceptions.RequestError: 400, the body is not as it must be.
    """
    try:
        return DrainBody.model_validate_json(body).target
    except pydantic.ValidationError as error:
        raise _make_error(error) from error


def parse_submission(body: bytes) -> Submission:
    """Return the submission that a body holds.

    Raises:
        exceptions.RequestError: 400, the body is not as it must be.
    """
    try:
        submission = Submission.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _make_error(error) from error
    if not _is_portable([task.payload for task in submission.tasks]):
        _check_payloads(submission.tasks)
    ids = {task.id for task in submission.tasks}
    if len(ids) != len(submission.tasks):
        raise _find_repeated(submission.tasks)
    return submission


def _find_repeated(tasks: Sequence[TaskBody]) -> exceptions.RequestError:
    seen = set()
    index = 0
    while tasks[index].id not in seen:
        seen.add(tasks[index].id)
        index += 1
    return _reject("repeated", f"tasks.{index}.id", "ids must be unique")


def _is_portable(value: Any) -> bool:
    """Return whether msgpack and JSON can both carry a value.

    The bytes of a text may look like a number that is not finite, so False
    for a list of values calls for a look at each.
    """
    try:
        packed = msgpack.packb(value)
    except OverflowError:
        return False
    return not any(number in packed for number in NOT_FINITE)


def _fits(value: Any) -> bool:
    """Return whether each number within is finite and fits 64 bits."""
    if type(value) is int:
        return INT64_MIN <= value <= UINT64_MAX
    if type(value) is float:
        return math.isfinite(value)
    if type(value) is list:
        return all(map(_fits, value))
    if type(value) is dict:
        return all(map(_fits, value.values()))
    return True


def _check_payloads(tasks: Sequence[TaskBody]) -> None:
    for index, task in enumerate(tasks):
        if not _fits(task.payload):
            field = f"tasks.{index}.payload"
            detail = "numbers must be finite and fit 64 bits"
            raise _reject("invalid", field, detail)


def make_job(
    submission: Submission,
    customer: declarations.Customer,
    plans: dict[str, declarations.Plan],
    job_id: str,
) -> entities.Job:
    """Check a submission against its plan and return the job.

    Raises:
        exceptions.RequestError: 400, the plan does not allow it.
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
        raise _reject("unknown_plan", "plan", "not a plan of this customer")
    return plan


def _check_kinds(submission: Submission, plan: declarations.Plan) -> None:
    needs_key = False
    for index, task in enumerate(submission.tasks):
        kind = plan.kinds.get(task.kind)
        if kind is None:
            field = f"tasks.{index}.kind"
            raise _reject("unknown_kind", field, "not a kind of this plan")
        needs_key |= not kind.idempotent
    if submission.key is None:
        if needs_key:
            detail = "a kind that is not idempotent needs a key"
            raise _reject("missing", "key", detail)
    elif not KEY.fullmatch(submission.key):
        raise _reject("invalid", "key", "must be a stamp, ~ and your own key")


def _get_deadline_s(
    deadline_ms: float | None, plan: declarations.Plan
) -> float:
    if deadline_ms is None:
        return plan.deadline_s
    if deadline_ms > plan.deadline_s * 1000:
        detail = f"the plan allows {plan.deadline_s * 1000:g} at most"
        raise _reject("too_long", "deadline_ms", detail)
    return deadline_ms / 1000
