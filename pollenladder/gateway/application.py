"""The WSGI application: routing, error replies and request metrics."""

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

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JOBS_PATH = "/v1/jobs"
OPERATOR_JOBS_PATH = "/v1/operator/jobs"

Handler = Callable[..., replies.Reply]


def _show_health(environ: dict[str, Any]) -> replies.Reply:
    return replies.make_reply(200, {"status": "ok"})


def _show_readiness(
    gateway_backend: backend.Backend,
    bounds: limits.Limits,
    environ: dict[str, Any],
) -> replies.Reply:
    reason = gateway_backend.get_unready_reason()
    if reason is None:
        return replies.make_reply(200, {"ready": True})
    body = {"ready": False, "reason": reason}
    return replies.make_reply(503, body, bounds.retry_after_s)


def _make_routes(
    gateway_backend: backend.Backend,
    bounds: limits.Limits,
    meters: registry.Metrics,
    in_flight: bodies.InFlight,
) -> tuple[dict, dict]:
    """Return two tables of handlers by HTTP method.

    The first is keyed by the full path, the second by the part of the path
    before a trailing job id.
    """
    index = tokens.TokenIndex(gateway_backend.get_declarations)
    caller_handlers = callers.CallerHandlers(gateway_backend, index, in_flight)
    operator_handlers = operators.OperatorHandlers(
        gateway_backend, index, in_flight
    )

    def show_metrics(environ: dict[str, Any]) -> replies.Reply:
        meters.http_jobs.set(in_flight.waiting_requests)
        return replies.Reply(200, meters.render(), METRICS_CONTENT_TYPE)

    readiness = functools.partial(_show_readiness, gateway_backend, bounds)
    routes = {
        JOBS_PATH: {"POST": caller_handlers.submit},
        "/v1/stamps": {"POST": caller_handlers.issue_stamp},
        "/v1/operator/status": {"GET": operator_handlers.show_status},
        "/v1/operator/drain": {"POST": operator_handlers.drain},
        "/healthz": {"GET": _show_health},
        "/readyz": {"GET": readiness},
        "/metrics": {"GET": show_metrics},
    }
    id_routes = {
        JOBS_PATH: {
            "GET": caller_handlers.fetch,
            "DELETE": caller_handlers.cancel,
        },
        OPERATOR_JOBS_PATH: {"GET": operator_handlers.show_job},
    }
    return routes, id_routes


def _find_methods(
    path: str, routes: dict, id_routes: dict
) -> tuple[dict[str, Handler], tuple[str, ...]]:
    """Return the handlers of a path by HTTP method, and the ids in the path.

    Raises:
        exceptions.RequestError: 404, there is no such path.
        exceptions.JobUnknownError: The job id is empty or too long.
    """
    methods = routes.get(path)
    if methods is not None:
        return methods, ()
    parent, _, job_id = path.rpartition("/")
    methods = id_routes.get(parent)
    if methods is None:
        raise exceptions.RequestError(404, "unknown", "path", "no such path")
    if not 0 < len(job_id) <= limits.MAX_ID_CHARS:
        raise exceptions.JobUnknownError
    return methods, (job_id,)


def _dispatch(
    environ: dict[str, Any], routes: dict, id_routes: dict
) -> replies.Reply:
    """Call the handler for the path and method; reply 405 if there is none."""
    methods, ids = _find_methods(environ["PATH_INFO"], routes, id_routes)
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


def _handle_request(
    environ: dict[str, Any], routes: dict, id_routes: dict
) -> replies.Reply:
    """Return the reply to a request; errors become error replies."""
    try:
        return _dispatch(environ, routes, id_routes)
    except exceptions.RequestError as error:
        return replies.make_error_reply(error)
    except exceptions.JobUnknownError:
        error = exceptions.RequestError(
            404, "unknown", "job", "no job of this id"
        )
        return replies.make_error_reply(error)
    except Exception:
        LOGGER.exception(
            "request failed: %(REQUEST_METHOD)s %(PATH_INFO)s", environ
        )
        body = replies.describe_error("internal", "request", "see the log")
        return replies.make_reply(500, body)


def make_application(
    gateway_backend: backend.Backend,
    bounds: limits.Limits,
    meters: registry.Metrics,
) -> listeners.Application:
    """Return the WSGI application that serves a backend.

    Args:
        gateway_backend: The functions of the daemon that handlers call.
        bounds: Limits on concurrent requests, memory and waiting time.
        meters: The metrics that requests update and `/metrics` renders.
    """
    in_flight = bodies.InFlight(bounds)
    routes, id_routes = _make_routes(gateway_backend, bounds, meters, in_flight)
    observe = meters.response.observe
    request_counters = {
        status: meters.http_requests.labels(status=str(status)).inc
        for status in replies.STATUS_LINES
    }

    def application(
        environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        started_s = time.perf_counter()
        reply = _handle_request(environ, routes, id_routes)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        start_response(replies.STATUS_LINES[reply.status], headers)
        meters.count_message("http_answer")
        request_counters[reply.status]()
        if environ["PATH_INFO"] == JOBS_PATH:
            observe(time.perf_counter() - started_s)
        return (reply.body,)

    return application
