"""Send operator requests to daemons."""

import dataclasses
from typing import Any

import pydantic

from pollenladder.core import verdicts
from pollenladder.management import configuration
from pollenladder.management import connections
from pollenladder.management import environment as environments
from pollenladder.management import exceptions
from pollenladder.management import statuses

STATUS_PATH = "/v1/operator/status"
FORBIDDEN_STATUSES = (401, 403)


@dataclasses.dataclass(frozen=True)
class Answers:
    """Results of querying the status of several daemons.

    Attributes:
        statuses: Statuses of the daemons that replied.
        failures: Error message for each daemon that did not reply with a
            status.
        is_forbidden: Whether any daemon refused the token.
    """

    statuses: tuple[statuses.Status, ...]
    failures: tuple[str, ...]
    is_forbidden: bool


def fetch_first(
    environment: environments.Environment,
    config: configuration.Configuration,
    method: str,
    path: str,
    body: Any = None,
) -> Any:
    """Send a request to the daemons in turn until one succeeds.

    Returns:
        The response body of the first daemon that knows the target.

    Raises:
        exceptions.UnknownTargetError: Daemons replied, but none knows the
            target.
        exceptions.UnreachableError: No daemon replied with success or with
            status 404.
        exceptions.UnsettledError: The response to a request other than GET was
            lost, so the request may have been executed.
        exceptions.ForbiddenError: A daemon refused the token.
    """
    failures = []
    unknown_count = 0
    for address in config.get_daemons():
        try:
            answer = _send_request(
                environment, config, address, method, path, body
            )
        except connections.RequestError as error:
            lost = error.verdict is not verdicts.Verdict.NOT_RUN
            if method != "GET" and lost:
                detail = f"{error}; repeat the command, which is idempotent"
                raise exceptions.UnsettledError(detail) from error
            failures.append(str(error))
            continue
        if 200 <= answer.status < 300:
            return answer.body
        if answer.status == connections.HTTP_NOT_FOUND:
            unknown_count += 1
        failures.append(f"{address}: status {answer.status}")
    if unknown_count:
        raise exceptions.UnknownTargetError("; ".join(failures))
    raise exceptions.UnreachableError("; ".join(failures))


def fetch_statuses(
    environment: environments.Environment,
    config: configuration.Configuration,
) -> Answers:
    """Query the status of all configured daemons.

    A daemon that refuses the token counts as a failure and does not end the
    query, as it may not have received the declarations with this operator yet.
    """
    found, failures = [], []
    is_forbidden = False
    for address in config.get_daemons():
        try:
            answer = _send_request(
                environment, config, address, "GET", STATUS_PATH
            )
            found.append(statuses.Status.model_validate(answer.body))
        except exceptions.ForbiddenError as error:
            failures.append(str(error))
            is_forbidden = True
        except connections.RequestError as error:
            failures.append(str(error))
        except pydantic.ValidationError:
            failures.append(
                f"{address}: status {answer.status} with an invalid body"
            )
    return Answers(tuple(found), tuple(failures), is_forbidden)


def _send_request(
    environment, config, address, method: str, path: str, body: Any = None
) -> connections.Response:
    token = config.get_token()
    answer = environment.request(address, method, path, token, body)
    if answer.status in FORBIDDEN_STATUSES:
        raise exceptions.ForbiddenError(f"{address}: refuses the token")
    return answer
