"""Ask daemons as an operator."""

import math
from typing import Any

import pydantic

from pollenladder.audit import spread
from pollenladder.core import verdicts
from pollenladder.management import configuration
from pollenladder.management import connections
from pollenladder.management import environment as environments
from pollenladder.management import exceptions

STATUS_PATH = "/v1/operator/status"
FORBIDDEN = (401, 403)
UNUSABLE = (
    connections.RequestError,
    exceptions.ForbiddenError,
    pydantic.ValidationError,
)


class _Daemon(pydantic.BaseModel):
    daemon: str
    data_centre: str
    version: int | None = None
    state: str = ""
    last_heard_s: float | None = None


class _Status(pydantic.BaseModel):
    daemon: str
    data_centre: str
    version: int | None
    daemons: list[_Daemon] = []
    unreachable_data_centres: list[str] = []


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


def fetch_views(
    environment: environments.Environment,
    config: configuration.Configuration,
) -> list[spread.View]:
    """Return the views of all daemons given that answer; maybe none.

    A daemon that refuses the token counts as one that does not answer: it may
    not have the declarations yet that name the operator.
    """
    views = []
    for address in config.get_daemons():
        try:
            answer = _ask(environment, config, address, "GET", STATUS_PATH)
            views.append(_build_view(_Status.model_validate(answer.body)))
        except UNUSABLE:
            continue
    return views


def _ask(
    environment, config, address, method: str, path: str, body: Any = None
) -> connections.Response:
    token = config.get_token()
    answer = environment.request(address, method, path, token, body)
    if answer.status in FORBIDDEN:
        raise exceptions.ForbiddenError(f"{address}: refuses the token")
    return answer


def _build_view(status: _Status) -> spread.View:
    """Return a status as a view; a daemon's word on itself is the freshest."""
    own = spread.DaemonView(
        status.daemon, status.data_centre, status.version or 0, "", 0.0
    )
    others = [
        _build_daemon_view(daemon)
        for daemon in status.daemons
        if daemon.daemon != status.daemon
    ]
    cut = tuple(status.unreachable_data_centres)
    return spread.View((own, *others), cut)


def _build_daemon_view(daemon: _Daemon) -> spread.DaemonView:
    heard_s = daemon.last_heard_s
    return spread.DaemonView(
        daemon.daemon,
        daemon.data_centre,
        daemon.version or 0,
        daemon.state,
        math.inf if heard_s is None else heard_s,
    )
