"""What callers may ask: jobs and stamps."""

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
MAX_PARAMETERS = 8


class Callers:
    """The callers' interface over one backend."""

    def __init__(
        self,
        source: backend.Backend,
        index: tokens.TokenIndex,
        holdings: bodies.Holdings,
    ):
        self._backend = source
        self._index = index
        self._holdings = holdings
        self._bounds = holdings.bounds

    def submit(self, environ: dict[str, Any]) -> replies.Reply:
        """Take a job and answer it, or say that it is running."""
        customer = self._index.find_customer(environ)
        bodies.check_content_type(environ)
        size = bodies.get_size(environ, self._bounds.max_body_bytes)
        with self._holdings.hold_bytes(size):
            body = bodies.read_body(
                environ, self._bounds.max_body_bytes, self._bounds.body_s
            )
            with self._holdings.hold_job():
                return self._run(body, customer)

    def _run(self, body: bytes, customer: Any) -> replies.Reply:
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
        return self._wait(job)

    def _wait(self, job: entities.Job) -> replies.Reply:
        wait_s = job.deadline_s + self._bounds.wait_margin_s
        answer = self._backend.wait(job.job_id, job.customer_id, wait_s)
        if answer is None:
            return replies.make_running_reply(job.job_id)
        return replies.make_answer_reply(answer)

    def fetch(self, environ: dict[str, Any], job_id: str) -> replies.Reply:
        """Return a job's answer, or that it is still running."""
        customer = self._index.find_customer(environ)
        wait_s = _get_wait_s(environ)
        with self._holdings.hold_job():
            answer = self._backend.wait(job_id, customer.customer_id, wait_s)
        if answer is None:
            return replies.make_running_reply(job_id)
        return replies.make_answer_reply(answer)

    def cancel(self, environ: dict[str, Any], job_id: str) -> replies.Reply:
        """Cancel a job and tell whether it was running."""
        customer = self._index.find_customer(environ)
        cancelled = self._backend.cancel(job_id, customer.customer_id)
        return replies.make_reply(200, {"job": job_id, "cancelled": cancelled})

    def issue_stamp(self, environ: dict[str, Any]) -> replies.Reply:
        """Return a stamp to put before idempotency keys."""
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
    query = environ.get("QUERY_STRING", "")
    if not query:
        return 0.0
    try:
        values = urllib.parse.parse_qs(
            query, True, max_num_fields=MAX_PARAMETERS
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
    whole = len(texts) == 1 and text.isascii() and text.isdecimal()
    if not whole or len(text) > 9 or int(text) > limits.MAX_WAIT_MS:
        raise exceptions.RequestError(
            400, "invalid", "wait_ms", f"0 to {limits.MAX_WAIT_MS}"
        )
    return int(text) / 1000
