"""The WSGI application for callers."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
from typing import Any

import gevent
from gevent import socket

from pollenladder.gateway import bodies
from pollenladder.gateway import exceptions as gateway_exceptions
from pollenladder.gateway import handlers
from pollenladder.gateway import replies
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import routing
from pollenladder.logs import lines as logs
from pollenladder.platform import callers
from pollenladder.platform import exceptions
from pollenladder.service import gateway as gateways
from pollenladder.service import job_cancellations
from pollenladder.service import open_jobs

LOGGER = logging.getLogger(__name__)

MAX_JOB_ID_CHARS = 64
# Retry-After of the 503 replies before the daemon has a configuration.
RETRY_AFTER_START_S = 1.0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The components of the daemon that the application uses.

    Attributes:
        gateway: The gateway with the open jobs of this daemon.
        get_routes: Returns the routing table, or None before there is a
            configuration.
        cancel_job: Cancels a job at all daemons. Returns whether this one knew the
            job; raises `job_cancellations.UnconfirmedError`.
        count_pending: Returns the number of jobs of a queue that have not
            begun.
        body_timeout_s: Time in which the body of a request has to arrive, in
            seconds.
    """

    gateway: gateways.Gateway
    get_routes: Callable[[], routing.RoutingTable | None]
    cancel_job: Callable[[str], bool]
    count_pending: Callable[[str], int]
    body_timeout_s: float


def make_application(dependencies: Dependencies) -> Callable:
    """Return the WSGI application."""

    def serve(
        environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        reply = _answer_always(dependencies, environ)
        headers = [
            ("Content-Type", replies.JSON_TYPE),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.retry_after_s:
            text = gateways.format_retry_after(reply.retry_after_s)
            headers.append(("Retry-After", text))
        start_response(replies.STATUS_LINES[reply.status], headers)
        return [reply.body]

    return serve


def _answer_always(
    dependencies: Dependencies, environ: dict[str, Any]
) -> callers.Reply:
    """Return the reply to a request, also after an unexpected exception.

    The server would close the connection without a reply. The job may have been
    sent to an owner before the exception, so the reply does not tell that it has
    not run.

    Raises:
        OSError: The connection of the caller has failed.
    """
    try:
        return _answer(dependencies, environ)
    except OSError:
        raise
    except Exception:
        logs.log_failure(LOGGER, "request", environ["PATH_INFO"])
        return callers.Reply(504, callers.encode_error("internal error"))


def _answer(
    dependencies: Dependencies, environ: dict[str, Any]
) -> callers.Reply:
    routes = dependencies.get_routes()
    if routes is None:
        body = callers.encode_error("no configuration yet")
        return callers.Reply(503, body, RETRY_AFTER_START_S)
    path = environ["PATH_INFO"]
    method = environ["REQUEST_METHOD"]
    queue = routes.find(environ.get("HTTP_HOST", ""), path)
    if queue is None:
        return _answer_without_queue(dependencies, method, path)
    job_id = path[len(queue.prefix) :]
    if method == "GET" and not job_id:
        return callers.encode_pending(dependencies.count_pending(queue.name))
    if not job_id or len(job_id) > MAX_JOB_ID_CHARS or not job_id.isalnum():
        return callers.Reply(400, callers.encode_error("bad job id"))
    if method == "POST":
        max_bytes = routes.configuration.max_body_bytes
        return _submit(dependencies, queue, job_id, environ, max_bytes)
    if method == "GET":
        return _show_state(dependencies, job_id)
    if method == "DELETE":
        return _cancel(dependencies, job_id)
    return callers.Reply(405, callers.encode_error("unknown method"))


def _answer_without_queue(
    dependencies: Dependencies, method: str, path: str
) -> callers.Reply:
    """Return the reply to a request that no queue matches.

    A job may outlast its queue in the configuration, and can be cancelled until it
    has ended.
    """
    job_id = callers.find_job_id(path)
    if method == "DELETE" and job_id:
        return _cancel(dependencies, job_id)
    return callers.Reply(404, callers.encode_error("no such queue"))


def _show_state(dependencies: Dependencies, job_id: str) -> callers.Reply:
    job = dependencies.gateway.open_jobs.get(job_id)
    if job is None:
        return callers.Reply(410, callers.encode_error("no such job"))
    state = callers.JobState.QUEUED
    if job.has_been_sent:
        state = callers.JobState.RUNNING
    return callers.encode_state(state)


def _cancel(dependencies: Dependencies, job_id: str) -> callers.Reply:
    try:
        is_known = dependencies.cancel_job(job_id)
    except job_cancellations.UnconfirmedError:
        return callers.Reply(504, callers.encode_error("not confirmed"))
    if is_known:
        return callers.encode_state(callers.JobState.CANCELLED)
    return callers.Reply(410, callers.encode_error("no such job"))


def _submit(
    dependencies: Dependencies,
    queue: jobs.Queue,
    job_id: str,
    environ: dict[str, Any],
    max_bytes: int,
) -> callers.Reply:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > max_bytes:
        return callers.Reply(413, callers.encode_error("body too long"))
    timeout_s = dependencies.body_timeout_s
    try:
        source = bodies.read_body(environ, max_bytes, timeout_s)
        body = callers.decode_job(source)
    except gateway_exceptions.RequestError as error:
        return _reject(
            error.status,
            job_id,
            queue,
            error.detail,
            error.retry_after_s or 0.0,
        )
    except exceptions.BadDocumentError as error:
        return _reject(400, job_id, queue, str(error))
    except exceptions.UnsupportedJobError as error:
        return _reject(503, job_id, queue, f"not supported: {error}")
    if queue.needs_advice:
        # Placement by an external service is not supported.
        return _reject(503, job_id, queue, "not supported: advice")
    budget_s = callers.read_budget_s(environ, queue.timeout_s)
    submission = _build_submission(queue, job_id, body, budget_s)
    has_left = _build_caller_check(environ[handlers.SOCKET_VARIABLE])
    if has_left():
        # The daemon was paused before it read the request.
        return _reject(504, job_id, queue, "caller left")
    return _run(dependencies.gateway, submission, has_left, environ)


def _run(
    gateway: gateways.Gateway,
    submission: jobs.Submission,
    has_left: open_jobs.CallerCheck,
    environ: dict[str, Any],
) -> callers.Reply:
    """Return the answer to a job."""
    job = gateway.submit(submission, has_left)
    sock = environ[handlers.SOCKET_VARIABLE]
    _wait_for_answer(gateway, job, sock, has_left)
    if job.answer is None:
        return callers.Reply(504, callers.encode_error("caller left"))
    return callers.encode_answer(job.answer)


def _build_caller_check(sock: socket.socket | None) -> open_jobs.CallerCheck:
    """Return the function that tells whether a connection is closed."""
    if sock is None:
        return open_jobs.never_leaves
    return lambda: _is_closed(sock)


def _reject(
    status: int,
    job_id: str,
    queue: jobs.Queue,
    text: str,
    retry_after_s: float = 0.0,
) -> callers.Reply:
    logs.log(
        LOGGER,
        "job_rejected",
        job=job_id,
        queue=queue.name,
        status=status,
        reason=text[:200],
    )
    return callers.Reply(status, callers.encode_error(text), retry_after_s)


def _build_submission(
    queue: jobs.Queue, job_id: str, body: callers.JobBody, budget_s: float
) -> jobs.Submission:
    return jobs.Submission(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        slack_s=queue.slack_s,
        age_s=0.0,
        budget_s=budget_s,
        spec=body.spec,
        tasks=body.tasks,
        cpu_milli=body.resources.cpu_milli,
        memory_mb=body.resources.memory_mb,
        gpus=body.resources.gpus,
        estimate_s=body.estimate_s,
        may_have_begun=False,
        first_run=1,
        allowed_regions=queue.allowed_regions,
    )


def _wait_for_answer(
    gateway: gateways.Gateway,
    job: open_jobs.OpenJob,
    sock: socket.socket | None,
    has_left: open_jobs.CallerCheck = open_jobs.never_leaves,
) -> None:
    """Wait until there is an answer or the caller closes its connection."""
    watcher = None
    if sock is not None and not job.answered.is_set():
        watcher = gevent.spawn(_watch_connection, gateway, job, sock, has_left)
    job.answered.wait()
    if watcher is not None:
        # Stop the watcher before another greenlet reads or closes the
        # connection.
        watcher.kill()


def _watch_connection(
    gateway: gateways.Gateway,
    job: open_jobs.OpenJob,
    sock: socket.socket,
    has_left: open_jobs.CallerCheck,
) -> None:
    """Remove a job's waiter when its caller closes the connection.

    The gateway cancels the job if it has no other waiter.
    """
    if _wait_for_close(sock):
        gateway.remove_waiter(job, has_left)


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the caller has closed a connection, without waiting."""
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(timeout_s)


def _wait_for_close(sock: socket.socket) -> bool:
    """Wait until bytes arrive or the connection ends; return whether it ended.

    The bytes are left unread, as the start of the caller's next request.
    """
    while True:
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            # The timeout of the connection applies only to sending.
            continue
        except OSError:
            return True
