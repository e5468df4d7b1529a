"""What operators may ask: status, drains and jobs."""

from typing import Any

from pollenladder.gateway import backend
from pollenladder.gateway import bodies
from pollenladder.gateway import exceptions
from pollenladder.gateway import replies
from pollenladder.gateway import submissions
from pollenladder.gateway import tokens

MAX_DRAIN_BODY_BYTES = 1024


class Operators:
    """The operators' interface over one backend."""

    def __init__(
        self,
        source: backend.Backend,
        index: tokens.TokenIndex,
        holdings: bodies.Holdings,
    ):
        self._backend = source
        self._index = index
        self._bounds = holdings.bounds

    def show_status(self, environ: dict[str, Any]) -> replies.Reply:
        """Return the status of this daemon and what it knows of others."""
        self._index.find_operator(environ)
        return replies.make_reply(200, self._backend.describe_status())

    def drain(self, environ: dict[str, Any]) -> replies.Reply:
        """Start the drain of a worker or of this daemon."""
        self._index.find_operator(environ)
        bodies.check_content_type(environ)
        bodies.get_size(environ, MAX_DRAIN_BODY_BYTES)
        target = submissions.parse_drain(
            bodies.read_body(environ, MAX_DRAIN_BODY_BYTES, self._bounds.body_s)
        )
        if not self._backend.drain(target):
            raise exceptions.RequestError(
                404, "unknown", "target", "no worker or daemon of this id"
            )
        return replies.make_reply(200, {"target": target, "draining": True})

    def show_job(self, environ: dict[str, Any], job_id: str) -> replies.Reply:
        """Return what is known of a job."""
        self._index.find_operator(environ)
        known = self._backend.find_job(job_id)
        if known is None:
            raise exceptions.JobUnknownError(job_id)
        return replies.make_reply(200, known)
