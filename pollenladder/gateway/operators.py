"""Handlers of the operators' requests: status, drains and jobs."""

from typing import Any

from pollenladder.gateway import backend
from pollenladder.gateway import bodies
from pollenladder.gateway import exceptions
from pollenladder.gateway import replies
from pollenladder.gateway import submissions
from pollenladder.gateway import tokens

MAX_DRAIN_BODY_BYTES = 1024


class OperatorHandlers:
    """Handlers of the operators' requests, on top of one backend."""

    def __init__(
        self,
        gateway_backend: backend.Backend,
        index: tokens.TokenIndex,
        in_flight: bodies.InFlight,
    ):
        self._backend = gateway_backend
        self._index = index
        self._bounds = in_flight.bounds

    def show_status(self, environ: dict[str, Any]) -> replies.Reply:
        """Return the status of this daemon and what it knows about others."""
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
        """Return the description of a job."""
        self._index.find_operator(environ)
        description = self._backend.find_job(job_id)
        if description is None:
            raise exceptions.JobUnknownError(job_id)
        return replies.make_reply(200, description)
