"""The WSGI application: routes, errors and counts."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import logging
import time
from typing import Any

from pollenladder.gateway import backend
from pollenladder.gateway import bodies
from pollenladder.gateway import callers
from pollenladder.gateway import exceptions
from pollenladder.gateway import limits
from pollenladder.gateway import listeners
from pollenladder.gateway import operators
from pollenladder.gateway import replies
from pollenladder.gateway import tokens
from pollenladder.metrics import registry

LOGGER = logging.getLogger(__name__)

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JOBS = "/v1/jobs"
OPERATOR_JOBS = "/v1/operator/jobs"

Handler = Callable[..., replies.Reply]


def _show_health(environ: dict[str, Any]) -> replies.Reply:
    return replies.make_reply(200, {"status": "ok"})


def _show_readiness(
    source: backend.Backend, bounds: limits.Limits, environ: dict[str, Any]
) -> replies.Reply:
    reason = source.get_unready_reason()
    if reason is None:
        return replies.make_reply(200, {"ready": True})
    body = {"ready": False, "reason": reason}
    return replies.make_reply(503, body, bounds.retry_after_s)


def _make_routes(
    source: backend.Backend,
    bounds: limits.Limits,
    meters: registry.Metrics,
    holdings: bodies.Holdings,
) -> tuple[dict, dict]:
    """Return handlers by path, and those by the path before an id."""
    index = tokens.TokenIndex(source.get_declarations)
    ours = callers.Callers(source, index, holdings)
    theirs = operators.Operators(source, index, holdings)

    def show_metrics(environ: dict[str, Any]) -> replies.Reply:
        meters.http_jobs.set(holdings.jobs)
        return replies.Reply(200, meters.render(), METRICS_TYPE)

    readiness = functools.partial(_show_readiness, source, bounds)
    exact = {
        JOBS: {"POST": ours.submit},
        "/v1/stamps": {"POST": ours.issue_stamp},
        "/v1/operator/status": {"GET": theirs.show_status},
        "/v1/operator/drain": {"POST": theirs.drain},
        "/healthz": {"GET": _show_health},
        "/readyz": {"GET": readiness},
        "/metrics": {"GET": show_metrics},
    }
    by_id = {
        JOBS: {"GET": ours.fetch, "DELETE": ours.cancel},
        OPERATOR_JOBS: {"GET": theirs.show_job},
    }
    return exact, by_id


def _find_methods(
    path: str, exact: dict, by_id: dict
) -> tuple[dict[str, Handler], tuple[str, ...]]:
    """Return the handlers of a path and the ids within it."""
    methods = exact.get(path)
    if methods is not None:
        return methods, ()
    parent, _, job_id = path.rpartition("/")
    methods = by_id.get(parent)
    if methods is None:
        raise exceptions.RequestError(404, "unknown", "path", "no such path")
    if not 0 < len(job_id) <= limits.MAX_ID_CHARS:
        raise exceptions.JobUnknownError
    return methods, (job_id,)


def _call(environ: dict[str, Any], exact: dict, by_id: dict) -> replies.Reply:
    methods, ids = _find_methods(environ["PATH_INFO"], exact, by_id)
    handle = methods.get(environ["REQUEST_METHOD"])
    if handle is not None:
        return handle(environ, *ids)
    allowed = ", ".join(sorted(methods))
    reply = replies.describe_error("method", "method", f"use {allowed}")
    return replies.Reply(
        405,
        replies.make_reply(405, reply).body,
        headers=(("Allow", allowed),),
    )


def _answer(environ: dict[str, Any], exact: dict, by_id: dict) -> replies.Reply:
    try:
        return _call(environ, exact, by_id)
    except exceptions.RequestError as error:
        return replies.make_error_reply(error)
    except exceptions.JobUnknownError:
        error = exceptions.RequestError(
            404, "unknown", "job", "no job of this id"
        )
        return replies.make_error_reply(error)
    except Exception:
        LOGGER.exception("%(REQUEST_METHOD)s %(PATH_INFO)s", environ)
        body = replies.describe_error("internal", "request", "see the log")
        return replies.make_reply(500, body)


def make_application(
    source: backend.Backend,
    bounds: limits.Limits,
    meters: registry.Metrics,
) -> listeners.Application:
    """Return the WSGI application over a backend.

    Args:
        source: The rest of the daemon.
        bounds: What callers may make it hold or wait for.
        meters: Counts requests and answers; shown under /metrics.
    """
    holdings = bodies.Holdings(bounds)
    exact, by_id = _make_routes(source, bounds, meters, holdings)
    observe = meters.response.observe
    counts = {
        status: meters.http_requests.labels(status=str(status)).inc
        for status in replies.STATUS_LINES
    }

    def application(
        environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        started_s = time.perf_counter()
        reply = _answer(environ, exact, by_id)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        start_response(replies.STATUS_LINES[reply.status], headers)
        meters.count_message("http_answer")
        counts[reply.status]()
        if environ["PATH_INFO"] == JOBS:
            observe(time.perf_counter() - started_s)
        return (reply.body,)

    return application
