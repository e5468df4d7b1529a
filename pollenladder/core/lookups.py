"""Lookup of a job at the daemon that received it: this one or another."""

from collections.abc import Callable
import dataclasses
from typing import Any

from gevent import event

from pollenladder.core import clocks
from pollenladder.core import engine as engines
from pollenladder.core import mesh as meshes
from pollenladder.core import verdicts
from pollenladder.dispatch import submissions
from pollenladder.gateway import exceptions
from pollenladder.wire import messages

# A remote daemon replies after at most the requested wait. This is added for
# the transit of the lookup and its reply.
REPLY_MARGIN_S = 1.0


class JobLookups:
    """Looks up and cancels jobs, locally or at other daemons."""

    def __init__(
        self,
        daemon_id: str,
        engine: engines.Engine,
        mesh: meshes.Mesh,
        send: Callable[[str, object], bool],
        clock: clocks.Clock,
    ):
        self._daemon_id = daemon_id
        self._engine = engine
        self._mesh = mesh
        self._send = send
        self._clock = clock
        self._pending_replies: dict[int, event.AsyncResult] = {}
        self._last_request_id = 0

    def wait(
        self, job_id: str, customer_id: str, timeout_s: float
    ) -> verdicts.Answer | None:
        """Wait for a job's answer; return None if it is still running.

        Raises:
            exceptions.JobUnknownError: The daemon that received the job is
                unreachable or does not know it.
        """
        if self._parse_receiver(job_id) != self._daemon_id:
            return self._query_receiver(
                job_id, customer_id, timeout_s, False
            ).answer
        if self._find(job_id, customer_id).answer is None:
            self._engine.wait(job_id, timeout_s)
        return self._find(job_id, customer_id).answer

    def cancel(self, job_id: str, customer_id: str) -> bool:
        """Cancel a job; return whether it was still running before.

        Raises:
            exceptions.JobUnknownError: The daemon that received the job is
                unreachable or does not know it.
        """
        if self._parse_receiver(job_id) != self._daemon_id:
            return self._query_receiver(job_id, customer_id, 0.0, True).running
        running = self._find(job_id, customer_id).answer is None
        if running:
            self._engine.cancel(job_id)
        return running

    def describe(self, job_id: str) -> dict[str, Any] | None:
        """Return the status of a job that this daemon received, or None."""
        table = self._engine.submissions
        row = table.pending.get(job_id) or table.answered.get(job_id)
        if row is None:
            return None
        answer = row.answer
        return {
            "job": job_id,
            "customer": row.job.customer_id,
            "plan": row.job.plan_id,
            "tasks": len(row.job.tasks),
            "shard": row.shard_id,
            "owner": row.daemon_id,
            "offers": row.offers,
            "state": type(answer).__name__.lower() if answer else "running",
        }

    def handle_message(self, sender: str, message: object) -> None:
        """Handle another daemon's lookup, or the reply to a lookup."""
        if isinstance(message, messages.JobLookup):
            self._send(sender, self._answer(message))
        elif isinstance(message, messages.JobLookupReply):
            pending = self._pending_replies.pop(message.request_id, None)
            if pending:
                pending.set(message)

    def _find(self, job_id: str, customer_id: str) -> submissions.Submission:
        row = submissions.find(self._engine.submissions, job_id, customer_id)
        if row is None:
            raise exceptions.JobUnknownError(job_id)
        return row

    def _parse_receiver(self, job_id: str) -> str:
        """Return the daemon that received a job and issued its id.

        A job id is "DAEMON_ID-INCARNATION-NUMBER".
        """
        return job_id.rsplit("-", 2)[0]

    def _query_receiver(
        self, job_id: str, customer_id: str, wait_s: float, cancel: bool
    ) -> "Found":
        """Wait for or cancel a job at the daemon that received it."""
        receiver = self._parse_receiver(job_id)
        self._last_request_id += 1
        pending = self._pending_replies[self._last_request_id] = (
            event.AsyncResult()
        )
        lookup = messages.JobLookup(
            self._last_request_id, job_id, customer_id, wait_s, cancel
        )
        try:
            if not self._mesh.connect(receiver):
                raise exceptions.JobUnknownError(job_id)
            self._send(receiver, lookup)
            reply = pending.get(timeout=wait_s + REPLY_MARGIN_S)
        except event.Timeout:
            raise exceptions.JobUnknownError(job_id) from None
        finally:
            self._pending_replies.pop(lookup.request_id, None)
        if not reply.known:
            raise exceptions.JobUnknownError(job_id)
        answer = messages.unpack_answer(reply.answer) if reply.answer else None
        return Found(reply.running, answer)

    def _answer(self, lookup: messages.JobLookup) -> messages.JobLookupReply:
        job_id, customer_id = lookup.job_id, lookup.customer_id
        try:
            if lookup.cancel:
                running = self.cancel(job_id, customer_id)
                answer = None
            else:
                answer = self.wait(job_id, customer_id, lookup.wait_s)
                running = answer is None
        except exceptions.JobUnknownError:
            return messages.JobLookupReply(
                lookup.request_id, False, False, None
            )
        packed = messages.pack_answer(answer) if answer else None
        return messages.JobLookupReply(lookup.request_id, True, running, packed)


@dataclasses.dataclass(frozen=True)
class Found:
    """Another daemon's reply to a lookup.

    Attributes:
        running: Whether the job was still running. The reply to a cancellation
            gives the state before the cancellation.
        answer: The job's answer, or None.
    """

    running: bool
    answer: verdicts.Answer | None
