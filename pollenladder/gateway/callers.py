"""Handlers of the callers' requests: jobs and stamps."""

from typing import Any
import urllib.parse

from pollenladder.core import entities
from pollenladder.gateway import backend
from pollenladder.gateway import bodies
from pollenladder.gateway import exceptions
from pollenladder.gateway import limits
from pollenladder.gateway import replies
from pollenladder.gateway import submissions
from pollenladder.gateway import tokens

MAX_STAMP_BODY_BYTES = 1024
MAX_QUERY_PARAMETERS = 8


class CallerHandlers:
    """Handlers of the callers' requests, on top of one backend."""

    def __init__(
        self,
        gateway_backend: backend.Backend,
        index: tokens.TokenIndex,
        in_flight: bodies.InFlight,
    ):
        self._backend = gateway_backend
        self._index = index
        self._in_flight = in_flight
        self._bounds = in_flight.bounds

    def submit(self, environ: dict[str, Any]) -> replies.Reply:
        """Submit a job and return its answer, or 202 while it is running.

        The reply is 202 if the caller does not wait, or if the answer does
        not come within the deadline plus the wait margin.
        """
        customer = self._index.find_customer(environ)
        bodies.check_content_type(environ)
        size = bodies.get_size(environ, self._bounds.max_body_bytes)
        with self._in_flight.admit_body(size):
            body = bodies.read_body(
                environ, self._bounds.max_body_bytes, self._bounds.body_s
            )
            with self._in_flight.admit_waiting_request():
                return self._submit_body(body, customer)

    def _submit_body(self, body: bytes, customer: Any) -> replies.Reply:
        """Submit the job in a body; wait for its answer if `wait` is set."""
        submission = submissions.parse_submission(body)
        job = submissions.make_job(
            submission,
            customer,
            self._backend.get_declarations().plans,
            self._backend.issue_job_id(),
        )
        self._backend.submit(job)
        if not submission.wait:
            return replies.make_running_reply(job.job_id)
        return self._wait_for_answer(job)

    def _wait_for_answer(self, job: entities.Job) -> replies.Reply:
        """Wait until the deadline plus the wait margin; return the reply."""
        wait_s = job.deadline_s + self._bounds.wait_margin_s
        try:
            answer = self._backend.wait(job.job_id, job.customer_id, wait_s)
        except exceptions.JobUnknownError as error:
            # The job was accepted and may have run, so the caller gets an
            # internal error and not the 404 of an unknown job.
            raise RuntimeError(
                f"accepted job {job.job_id} is unknown to the backend"
            ) from error
        if answer is None:
            return replies.make_running_reply(job.job_id)
        return replies.make_answer_reply(answer)

    def fetch(self, environ: dict[str, Any], job_id: str) -> replies.Reply:
        """Return a job's answer, or 202 if it is still running.

        The query parameter `wait_ms` is the maximum time to wait for it.
        """
        customer = self._index.find_customer(environ)
        wait_s = _get_wait_s(environ)
        with self._in_flight.admit_waiting_request():
            answer = self._backend.wait(job_id, customer.customer_id, wait_s)
        if answer is None:
            return replies.make_running_reply(job_id)
        return replies.make_answer_reply(answer)

    def cancel(self, environ: dict[str, Any], job_id: str) -> replies.Reply:
        """Cancel a job and return whether it was running."""
        customer = self._index.find_customer(environ)
        cancelled = self._backend.cancel(job_id, customer.customer_id)
        return replies.make_reply(200, {"job": job_id, "cancelled": cancelled})

    def issue_stamp(self, environ: dict[str, Any]) -> replies.Reply:
        """Return a stamp that the caller puts before its idempotency keys."""
        self._index.find_customer(environ)
        bodies.get_size(environ, MAX_STAMP_BODY_BYTES)
        bodies.read_body(environ, MAX_STAMP_BODY_BYTES, self._bounds.body_s)
        stamp = self._backend.issue_stamp()
        if stamp is None:
            raise exceptions.RequestError(
                503,
                "not_ready",
                "request",
                "no key can be taken now",
                self._bounds.retry_after_s,
            )
        body = {"stamp": stamp.text, "expires_in_s": stamp.expires_in_s}
        return replies.make_reply(200, body)


def _get_wait_s(environ: dict[str, Any]) -> float:
    """Return the value of the parameter `wait_ms` in seconds, 0 by default.

    Raises:
        exceptions.RequestError: 400, the query string is not valid.
    """
    query = environ.get("QUERY_STRING", "")
    if not query:
        return 0.0
    try:
        values = urllib.parse.parse_qs(
            query, True, max_num_fields=MAX_QUERY_PARAMETERS
        )
    except ValueError as error:
        raise exceptions.RequestError(
            400, "invalid", "query", "too many parameters"
        ) from error
    texts = values.pop("wait_ms", ["0"])
    if values:
        field = next(iter(values))[: limits.MAX_ID_CHARS]
        raise exceptions.RequestError(
            400, "unknown_field", field, "not a parameter"
        )
    text = texts[0]
    is_whole_number = len(texts) == 1 and text.isascii() and text.isdecimal()
    if not is_whole_number or len(text) > 9 or int(text) > limits.MAX_WAIT_MS:
        raise exceptions.RequestError(
            400, "invalid", "wait_ms", f"0 to {limits.MAX_WAIT_MS}"
        )
    return int(text) / 1000
