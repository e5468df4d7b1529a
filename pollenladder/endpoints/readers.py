"""Conversion of an endpoint's responses to outcomes.

Only an explicit "not run" reply proves that a request had no effect. Any other
unexpected response leaves this unknown.
"""

from collections.abc import Callable
from typing import TypeVar

import pydantic

from pollenladder.core import verdicts
from pollenladder.endpoints import messages
from pollenladder.endpoints import outcomes
from pollenladder.http import exceptions
from pollenladder.http import responses

OK_STATUS = 200
# Statuses of replies that may say "not run".
NOT_RUN_STATUSES = (400, 409)
# Status of the refusal of a lease.
REFUSED_STATUS = 409

REASONS_BY_STATUS = {
    "ok": verdicts.Reason.OK,
    "error": verdicts.Reason.TASK_ERROR,
    "stopped": verdicts.Reason.STOPPED,
}
REASONS_BY_REFUSAL = {
    "busy": verdicts.Reason.BUSY,
    "fenced": verdicts.Reason.FENCED,
    "leaving": verdicts.Reason.LEAVING,
    "unknown_kind": verdicts.Reason.NEVER_RUNS,
    "bad_request": verdicts.Reason.NEVER_RUNS,
}
REASONS_BY_CAUSE = {
    exceptions.Cause.CLOSED: verdicts.Reason.CONNECTION_LOST,
    exceptions.Cause.RESET: verdicts.Reason.CONNECTION_LOST,
    exceptions.Cause.TIMEOUT: verdicts.Reason.NO_REPLY,
    exceptions.Cause.GARBAGE: verdicts.Reason.BAD_REPLY,
}

Outcome = TypeVar("Outcome")


def classify(error: exceptions.ExchangeError) -> outcomes.Failure:
    """Return the outcome of an exchange that got no response."""
    if isinstance(error, exceptions.NoResponseError):
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        reason = REASONS_BY_CAUSE[error.cause]
    else:
        verdict = verdicts.Verdict.NOT_RUN
        reason = verdicts.Reason.UNREACHABLE
    if isinstance(error, exceptions.NoConnectionError):
        reason = verdicts.Reason.BUSY
    return outcomes.Failure(verdict, reason, str(error))


def read_start(response: responses.Response) -> outcomes.StartOutcome:
    """Convert the response to a start request."""
    if response.status != OK_STATUS:
        return _parse_refused_start(response)
    try:
        message = messages.RanMessage.model_validate_json(response.body)
    except pydantic.ValidationError as error:
        return _build_bad_reply_start(response, error)
    return outcomes.StartOutcome(
        verdicts.Verdict.RAN,
        REASONS_BY_STATUS[message.status],
        message.output,
        message.run_ms / 1000,
        message.running,
        message.leaving,
    )


def _parse_refused_start(response: responses.Response) -> outcomes.StartOutcome:
    if response.status not in NOT_RUN_STATUSES:
        return _build_bad_reply_start(response)
    try:
        message = messages.NotRunMessage.model_validate_json(response.body)
    except pydantic.ValidationError as error:
        return _build_bad_reply_start(response, error)
    return outcomes.StartOutcome(
        verdicts.Verdict.NOT_RUN,
        _get_refusal_reason(message),
        running=message.running,
        leaving=message.leaving,
        detail=message.field,
    )


def _get_refusal_reason(message: messages.NotRunMessage) -> verdicts.Reason:
    return REASONS_BY_REFUSAL.get(message.reason, verdicts.Reason.BAD_REPLY)


def _build_bad_reply_start(
    response: responses.Response,
    error: pydantic.ValidationError | None = None,
) -> outcomes.StartOutcome:
    failure = _build_bad_reply(response, error)
    return outcomes.StartOutcome(
        failure.verdict, failure.reason, detail=failure.detail
    )


def _build_bad_reply(
    response: responses.Response,
    error: pydantic.ValidationError | None = None,
) -> outcomes.Failure:
    detail = f"status {response.status}"
    if error is not None:
        field = ".".join(str(part) for part in error.errors()[0]["loc"])
        detail = f"{detail}, field {field or 'body'}"
    return outcomes.Failure(
        verdicts.Verdict.MAY_HAVE_RUN, verdicts.Reason.BAD_REPLY, detail
    )


def _parse(
    response: responses.Response,
    message_type: type[pydantic.BaseModel],
    convert: Callable[..., Outcome],
) -> Outcome | outcomes.Failure:
    """Convert a 200 response, or a refusal that says "not run"."""
    is_refusal = response.status in NOT_RUN_STATUSES
    if not is_refusal and response.status != OK_STATUS:
        return _build_bad_reply(response)
    expected = messages.NotRunMessage if is_refusal else message_type
    try:
        message = expected.model_validate_json(response.body)
    except pydantic.ValidationError as error:
        return _build_bad_reply(response, error)
    if not is_refusal:
        return convert(message)
    return outcomes.Failure(
        verdicts.Verdict.NOT_RUN, _get_refusal_reason(message), message.field
    )


def _to_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def read_lease(response: responses.Response) -> outcomes.LeaseOutcome:
    """Convert the response to a lease request."""
    if response.status != REFUSED_STATUS:
        return _parse(response, messages.LeaseGrantedMessage, _convert_granted)
    try:
        message = messages.LeaseRefusedMessage.model_validate_json(
            response.body
        )
    except pydantic.ValidationError as error:
        return _build_bad_reply(response, error)
    return outcomes.LeaseRefused(
        message.holder,
        message.epoch,
        message.remaining_ms / 1000,
        message.max_epoch,
        message.leaving,
    )


def _convert_granted(
    message: messages.LeaseGrantedMessage,
) -> outcomes.LeaseGranted:
    running = tuple(
        outcomes.RunningTask(
            task.task,
            task.customer,
            task.plan,
            task.kind,
            task.holder,
            task.epoch,
            task.run_ms / 1000,
        )
        for task in message.running
    )
    return outcomes.LeaseGranted(
        message.epoch,
        running,
        message.slots,
        message.connections,
        message.leaving,
        _to_seconds(message.up_ms),
    )


def read_release(response: responses.Response) -> outcomes.ReleaseOutcome:
    """Convert the response to the release of a lease."""
    return _parse(
        response,
        messages.ReleasedMessage,
        lambda message: outcomes.LeaseReleased(message.released),
    )


def read_tasks(
    response: responses.Response, task_ids: list[str]
) -> outcomes.TasksOutcome:
    """Convert the response to a query for tasks.

    A response that lacks one of the queried tasks is a failure.
    """
    outcome = _parse(response, messages.TasksSeenMessage, _convert_tasks)
    if isinstance(outcome, outcomes.Failure):
        return outcome
    if not outcome.tasks.keys() >= set(task_ids):
        return outcomes.Failure(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.BAD_REPLY,
            "reply lacks a queried task",
        )
    return outcome


def _convert_tasks(message: messages.TasksSeenMessage) -> outcomes.TasksSeen:
    tasks = {
        task_id: outcomes.TaskSeen(
            outcomes.TaskState(task.state),
            REASONS_BY_STATUS.get(task.status),
            task.output,
            task.run_ms / 1000,
        )
        for task_id, task in message.tasks.items()
    }
    return outcomes.TasksSeen(tasks, _to_seconds(message.up_ms))


def read_stop(response: responses.Response) -> outcomes.StopOutcome:
    """Convert the response to a stop request."""
    return _parse(
        response,
        messages.StoppedMessage,
        lambda message: outcomes.TasksStopped(tuple(message.stopped)),
    )


def read_usage(response: responses.Response) -> outcomes.UsageOutcome:
    """Convert the response to a request for the worker's usage."""
    return _parse(
        response,
        messages.UsageMessage,
        lambda message: outcomes.Usage(
            message.running,
            message.slots,
            message.connections_used,
            message.lag_ms / 1000,
        ),
    )
