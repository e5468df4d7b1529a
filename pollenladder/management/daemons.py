"""Ask daemons as an operator."""

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
FORBIDDEN = (401, 403)


@dataclasses.dataclass(frozen=True)
class Answers:
    """Statuses of the daemons that answered, and why others did not."""

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
    """Return the body of the first daemon that answers and knows the target.

    Raises:
        exceptions.UnknownTargetError: Daemons answered, but none knows it.
        exceptions.UnreachableError: No daemon answered; nothing was done.
        exceptions.UnsettledError: A daemon was asked to do something, and its
            answer was lost.
        exceptions.ForbiddenError: The token is no operator's.
    """
    failures = []
    unknown = 0
    for address in config.get_daemons():
        try:
            answer = _ask(environment, config, address, method, path, body)
        except connections.RequestError as error:
            lost = error.verdict is not verdicts.Verdict.NOT_RUN
            if method != "GET" and lost:
                detail = f"{error}; ask again, doing it twice is harmless"
                raise exceptions.UnsettledError(detail) from error
            failures.append(str(error))
            continue
        if 200 <= answer.status < 300:
            return answer.body
        if answer.status == connections.HTTP_NOT_FOUND:
            unknown += 1
        failures.append(f"{address}: status {answer.status}")
    if unknown:
        raise exceptions.UnknownTargetError("; ".join(failures))
    raise exceptions.UnreachableError("; ".join(failures))


def fetch_statuses(
    environment: environments.Environment,
    config: configuration.Configuration,
) -> Answers:
    """Return the statuses of all daemons given that answer; maybe none.

    A daemon that refuses the token counts as one that does not answer: it may
    not have the declarations yet that name the operator.
    """
    found, failures = [], []
    is_forbidden = False
    for address in config.get_daemons():
        try:
            answer = _ask(environment, config, address, "GET", STATUS_PATH)
            found.append(statuses.Status.model_validate(answer.body))
        except exceptions.ForbiddenError as error:
            failures.append(str(error))
            is_forbidden = True
        except connections.RequestError as error:
            failures.append(str(error))
        except pydantic.ValidationError:
            failures.append(f"{address}: status {answer.status}, no status")
    return Answers(tuple(found), tuple(failures), is_forbidden)


def _ask(
    environment, config, address, method: str, path: str, body: Any = None
) -> connections.Response:
    token = config.get_token()
    answer = environment.request(address, method, path, token, body)
    if answer.status in FORBIDDEN:
        raise exceptions.ForbiddenError(f"{address}: refuses the token")
    return answer
